"""Time until an instance learns of a change while its sources fail.

The tests have neither a network nor a real clock: sources are objects, and
waiting moves a clock on. The store answers at once; the instance whose time
counts is undisturbed. All others may fail in any manner, at any query.
"""

import itertools
import random

import pytest

from siskinproxy.entry import follower as follower_module
from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.follower import ChangeFollower, FollowerTiming
from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord
from siskinproxy.entry.peer_messages import ChangesAnswer, pack_items
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.sources import SourceLimits, SourceSelector
from siskinproxy.entry.store import PrefixChanges, StoredItem
from siskinproxy.entry.tests.fakes import Events, configuration
from siskinproxy.errors import StoreUnavailableError

#: Bound of the platform from the acknowledgement of a change to the last flow
#: that does not follow it, in seconds.
BOUND_S = 3.0
#: Part of it for a call of the store, late timers, and the last flow itself.
LAST_FLOW_S = 0.2
#: Time of the change. The last state without it was confirmed just before.
CHANGE_S = 100.0
#: Time that a call of the store takes.
STORE_CALL_S = 0.02
TIMING = FollowerTiming()
MANNERS = ('stale', 'silent', 'refused', 'slow')
#: Queries that can be needed until the change is known.
QUERIES = 4
MAX_CLOCK_READS = 1000


class ChangeLearnedError(Exception):
    """Ends the loop of the follower."""


class Clock:
    """Clock that waiting moves on; reading it ends a test without end."""

    def __init__(self):
        self.now_s = CHANGE_S
        self.reads = 0

    def __call__(self):
        self.reads += 1
        assert self.reads < MAX_CLOCK_READS, 'the change is never learned'
        return self.now_s

    def sleep(self, seconds):
        self.now_s += seconds


class FailingSource:
    """Instance without the change, which fails as the next manner says.

    stale: it has lost the store, answers at once if its state is stale, or
    when it gets stale, or after the wait. silent: paused, or cut off. slow:
    the answer, prepared at once, arrives just before the timeout.
    """

    def __init__(self, clock, manners):
        self.clock = clock
        self.manners = manners

    def ask(self, query, timeout_s=None):
        wait_s = query.wait_ms / 1000
        if timeout_s is None:
            timeout_s = wait_s + TIMING.peer_timeout_s
        manner = next(self.manners)
        age_s = self.clock.now_s - CHANGE_S
        if manner == 'refused':
            raise StoreUnavailableError('refused')
        if manner == 'silent':
            self.clock.sleep(timeout_s)
            raise StoreUnavailableError('timeout')
        if manner == 'slow':
            self.clock.sleep(timeout_s - 0.001)
            return self.answer(age_s, 0)
        until_stale_s = max(TIMING.stale_s - age_s, 0)
        waited_s = min(wait_s, until_stale_s or TIMING.hurried_wait_s)
        self.clock.sleep(waited_s)
        # Just above the limit, so that rounding doesn't decide.
        return self.answer(age_s + waited_s + 0.002, waited_s)

    def answer(self, age_s, waited_s):
        return ChangesAnswer(
            pack_items(()),
            1,
            False,
            round(1000 * age_s),
            False,
            0,
            round(1000 * waited_s),
        )

    def close(self):
        pass


class HealthySource:
    """Instance that learns of the change at a time."""

    def __init__(self, clock, learns_s):
        self.clock = clock
        self.learns_s = learns_s

    def ask(self, query, timeout_s=None):
        missing_s = self.learns_s - self.clock.now_s
        wait_s = min(query.wait_ms / 1000, TIMING.hurried_wait_s)
        if missing_s <= wait_s:
            self.clock.sleep(max(missing_s, 0))
            raise ChangeLearnedError
        self.clock.sleep(wait_s)
        age_s = self.clock.now_s - CHANGE_S
        return ChangesAnswer(
            pack_items(()),
            1,
            False,
            round(1000 * age_s),
            False,
            0,
            round(1000 * wait_s),
        )

    def close(self):
        pass


class Store:
    """Store that has the change."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = 0

    def watch(self, *args):
        self.calls += 1
        self.clock.sleep(STORE_CALL_S)
        raise ChangeLearnedError

    read = watch


def build_follower(rank, size, clock, store):
    """Return a follower of a rank in a zone, and the names above it."""
    instances = InstanceDirectory()
    names = [f'i-{number:02}' for number in range(size)]
    records = [
        InstanceRecord(name, 'z', '10.0.0.1', 7720, link_mbps=1000 - number)
        for number, name in enumerate(names)
    ]
    for record in records:
        instances.register(record)
    own = records[rank - 1]
    events = Events()
    state = ClusterState(
        StoreSchema('', lambda item: configuration(1)),
        TargetDirectory(),
        RouteTable(),
        instances,
        events,
    )
    known = StoredItem('op/config', b'cfg-1', 1)
    state.mirror.apply(PrefixChanges((known,), 1, is_complete=True))
    found = ChangeFollower(
        own.name,
        store,
        '',
        state,
        SourceSelector(own, instances, random.Random(1)),
        events,
        TIMING,
        clock,
    )
    found.confirmed_s = CHANGE_S
    return found, names


def learning_time_s(rank, first, second, learns_s=None, size=8):
    """Return the time from the change until an instance has learned of it.

    Parameters
    ----------
    rank : int
        Place of the instance among those of its zone.
    first, second : sequence of str
        Manners in which the first two instances of the zone fail.
    learns_s : float or None
        Time from the change until the third instance has learned of it.
    size : int
        Number of instances of the zone.
    """
    clock = Clock()
    store = Store(clock)
    found, names = build_follower(rank, size, clock, store)
    sources = [
        FailingSource(clock, itertools.cycle(first)),
        FailingSource(clock, itertools.cycle(second)),
    ]
    if learns_s is not None:
        sources += [HealthySource(clock, CHANGE_S + learns_s)] * (size - 2)
    for name, source in zip(names, sources, strict=False):
        found._clients[name] = source
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(follower_module.gevent, 'sleep', clock.sleep)
        found._needs_full_read = False
        with pytest.raises(ChangeLearnedError):
            found._run()
    return clock.now_s - CHANGE_S


def worst_s(rank, learns_s=None):
    sequences = list(itertools.product(MANNERS, repeat=QUERIES))
    rng = random.Random(rank)
    mixed = [(rng.choice(sequences), rng.choice(sequences)) for _ in range(800)]
    constant = [
        (first * QUERIES, second * QUERIES)
        for first in [(manner,) for manner in MANNERS]
        for second in [(manner,) for manner in MANNERS]
    ]
    return max(
        learning_time_s(rank, first, second, learns_s)
        for first, second in constant + mixed
    )


@pytest.mark.parametrize('first', MANNERS)
@pytest.mark.parametrize('second', MANNERS)
def test_two_sources_that_fail_in_succession_leave_time_for_the_store(
    first, second
):
    """Guards against flows to a target that left over 3 s ago (review/3).

    The first source had lost the store and its answer was stale, the second
    one was paused; the first one was asked again before the store.
    """
    found_s = learning_time_s(3, [first], [second])
    assert found_s <= BOUND_S - LAST_FLOW_S


@pytest.mark.parametrize('rank', [2, 3])
def test_sources_that_fail_differently_each_time_leave_time(rank):
    """Guards against a source that is waited for again and again."""
    assert worst_s(rank) <= BOUND_S - LAST_FLOW_S


@pytest.mark.parametrize('rank', [4, 8])
def test_instances_below_the_leads_learn_in_time(rank):
    """Guards against a chain of waits behind the instance that asks the store.

    The third instance learns as late as the tests above allow it; the others
    learn from it without a call to the store.
    """
    third_s = worst_s(3)
    assert worst_s(rank, third_s) <= BOUND_S - LAST_FLOW_S


def test_leads_are_those_that_ask_the_store():
    """Guards against tests above that count a lead for an instance below."""
    assert SourceLimits().zone_attempts == 2
