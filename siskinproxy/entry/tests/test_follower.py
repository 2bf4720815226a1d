"""Tests of following changes through the store and other instances."""

import gevent
import pytest

from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.directory import Presence, TargetDirectory
from siskinproxy.entry.follower import ChangeFollower, FollowerTiming
from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord
from siskinproxy.entry.peer_link import PeerServer
from siskinproxy.entry.peer_messages import ChangesQuery
from siskinproxy.entry.records import Address
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.sources import STORE, Source
from siskinproxy.entry.store import PrefixChanges, StoredItem
from siskinproxy.entry.tests.fakes import Events, configuration, target
from siskinproxy.errors import (
    StoreHistoryLostError,
    StoreRateLimitError,
    StoreUnavailableError,
)

TIMING = FollowerTiming(
    watch_s=0.05,
    peer_timeout_s=0.05,
    stale_s=0.3,
    hurried_wait_s=0.025,
    retry_s=0.01,
    reregistration_s=0.5,
)
RECORDS_BY_VALUE = {
    'cfg-1': configuration(1),
    'cfg-2': configuration(2),
    't-1': target(1),
    't-2': target(2),
}


def decode(item):
    return RECORDS_BY_VALUE[item.value.decode()]


class FakeStore:
    """Store in memory whose calls can be made to fail.

    A removal also discards the history of changes up to it.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history_from = 0
        self.error = None
        self.calls = []
        self.epoch = 1

    def put(self, key, value, lease_id=0):
        self.revision += 1
        self.items[key] = StoredItem(key, value.encode(), self.revision)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history_from = self.revision

    def read(self, prefix):
        self._call('read')
        return PrefixChanges(
            tuple(self.items.values()), self.revision, True, self.epoch
        )

    def watch(self, prefix, after_revision, timeout_s):
        self._call('watch')
        gevent.sleep(0.01)
        if after_revision < self.history_from:
            raise StoreHistoryLostError('gone')
        found = tuple(
            item
            for item in self.items.values()
            if item.revision > after_revision
        )
        return PrefixChanges(found, self.revision, False, self.epoch)

    def _call(self, kind):
        self.calls.append(kind)
        if self.error is not None:
            raise self.error


class FakeSelector:
    """Selects the next source of a list after each failure."""

    def __init__(self, *sources):
        self.sources = list(sources)
        self.failed = []

    is_reader = True

    def choose(self, now_s):
        return self.sources[0]

    def note_failed(self, source, now_s):
        self.failed.append(source.name)
        self.sources.append(self.sources.pop(0))

    def note_stale(self, source, now_s):
        self.note_failed(source, now_s)

    def note_answered(self, source):
        pass


class FollowerSetup:
    """A follower with the state that it keeps up to date."""

    def __init__(self, store, *sources):
        self.directory = TargetDirectory()
        self.routes = RouteTable()
        self.events = Events()
        self.cluster_state = ClusterState(
            StoreSchema('', decode),
            self.directory,
            self.routes,
            InstanceDirectory(),
            self.events,
        )
        self.selector = FakeSelector(*sources or (STORE,))
        self.follower = ChangeFollower(
            'i-1',
            store,
            '',
            self.cluster_state,
            self.selector,
            self.events,
            TIMING,
        )

    def wait_for(self, condition):
        with gevent.Timeout(5):
            while not condition():
                gevent.sleep(0.005)

    @property
    def names(self):
        return {known.name for known in self.directory.usable_targets('desk')}


@pytest.fixture
def store():
    found = FakeStore()
    found.put('op/config', 'cfg-1')
    found.put('servers/1', 't-1')
    return found


@pytest.fixture
def make_follower():
    followers = []

    def start(store, *sources):
        follower = FollowerSetup(store, *sources)
        followers.append(follower)
        follower.follower.start()
        return follower

    yield start
    for follower in followers:
        follower.follower.close()


def test_changes_arrive_by_watch(store, make_follower):
    """Guards against changes that instances only learn by a restart."""
    found = make_follower(store)
    found.wait_for(lambda: found.routes.version == 1)
    store.put('op/config', 'cfg-2')
    store.put('servers/2', 't-2')
    found.wait_for(lambda: found.routes.version == 2)
    found.wait_for(lambda: found.names == {'t-1', 't-2'})
    assert store.calls.count('read') == 1


def test_lost_history_is_read_again(store, make_follower):
    """Guards against removals that an instance never learns.

    They are lost if the store has discarded the history since the last watch
    and the follower does not read all items again.
    """
    found = make_follower(store)
    found.wait_for(lambda: found.names == {'t-1'})
    store.remove('servers/1')
    found.wait_for(lambda: found.names == set())
    assert found.events.named('store_history_lost')


def test_a_restore_of_the_store_is_logged(store, make_follower):
    """Guards against a restored store that leaves no trace in the log."""
    found = make_follower(store)
    found.wait_for(lambda: found.names == {'t-1'})
    known = found.cluster_state.mirror.revision
    store.epoch += 1
    found.wait_for(lambda: found.events.named('store_restored'))
    restored = found.events.named('store_restored')[0]
    assert restored['epoch'] == restored['known_epoch'] + 1
    assert restored['known_revision'] == known


@pytest.mark.parametrize(
    'error',
    [StoreUnavailableError('status=503'), StoreRateLimitError('status=429')],
    ids=['unavailable', 'rate_limited'],
)
def test_outages_are_logged_and_end(store, make_follower, error):
    """Guards against a store error that ends the follower or is not logged."""
    found = make_follower(store)
    found.wait_for(lambda: found.routes.version == 1)
    store.error = error
    found.wait_for(lambda: found.events.named('source_lost'))
    store.error = None
    store.put('op/config', 'cfg-2')
    found.wait_for(lambda: found.routes.version == 2)
    lost = found.events.named('source_lost')[0]
    assert lost['kind'] == type(error).__name__


def test_entries_that_lapse_in_an_outage_stay_for_a_while(store, make_follower):
    """Guards against a service without targets after an outage of the store.

    Targets cannot renew their leases during the outage, so their entries are
    missing until they are written again.
    """
    found = make_follower(store)
    found.wait_for(lambda: found.names == {'t-1'})
    store.error = StoreUnavailableError('down')
    gevent.sleep(TIMING.stale_s + 0.1)
    store.remove('servers/1')
    store.error = None
    known = next(found.directory.targets())
    found.wait_for(lambda: known.presence is Presence.LAPSED)
    assert found.names == {'t-1'}
    assert found.directory.expire(known.absent_since_s + 3) == [known]
    assert found.names == set()


def test_instances_pass_on_changes(store, make_follower):
    """Guards against an instance that learns no changes from other instances.

    It also has to drop an instance that has lost the store as a source.
    """
    first = make_follower(store)
    server = PeerServer(
        Address('127.0.0.1', 0), first.follower.answer, first.events
    )
    server.start()
    try:
        port = server.port
        peer = InstanceRecord('i-2', 'a', '127.0.0.1', port)
        first.wait_for(lambda: first.routes.version == 1)
        second = make_follower(FakeStore(), Source(peer))
        second.wait_for(lambda: second.routes.version == 1)
        store.put('op/config', 'cfg-2')
        second.wait_for(lambda: second.routes.version == 2)
        store.error = StoreUnavailableError('down')
        second.wait_for(lambda: 'i-2' in second.selector.failed)
    finally:
        server.close()


def test_an_instance_that_never_heard_from_the_store_is_no_source(
    store, make_follower
):
    """Guards against an age of days for state that was never confirmed.

    The initial value of the confirmation time is no time; an age computed from
    it would be the uptime of the machine.
    """
    store.error = StoreUnavailableError('down')
    first = make_follower(store)
    server = PeerServer(
        Address('127.0.0.1', 0), first.follower.answer, first.events
    )
    server.start()
    try:
        peer = InstanceRecord('i-2', 'a', '127.0.0.1', server.port)
        second = make_follower(FakeStore(), Source(peer))
        second.wait_for(lambda: 'i-2' in second.selector.failed)
    finally:
        server.close()
    chosen = second.events.named('source_chosen')
    assert [pairs['age_ms'] for pairs in chosen] == [None]
    assert second.follower.age_s(1e9) is None


@pytest.mark.parametrize(('share', 'wait_ms'), [(1, 50), (0.5, 25)])
def test_an_instance_is_asked_to_wait_as_the_source_says(
    store, make_follower, share, wait_ms
):
    """Guards against answers that are stale at the end of a chain.

    An instance that passes on what it learns from another zone has to learn it
    sooner than the instances that ask it.
    """
    queries = []

    def answer(query):
        queries.append(query)
        return first.follower.answer(query)

    first = make_follower(store)
    server = PeerServer(Address('127.0.0.1', 0), answer, first.events)
    server.start()
    try:
        peer = InstanceRecord('i-2', 'b', '127.0.0.1', server.port)
        second = make_follower(FakeStore(), Source(peer, share))
        second.wait_for(lambda: queries)
    finally:
        server.close()
    assert queries[0].wait_ms == wait_ms


def test_a_silent_instance_is_given_up(store, make_follower):
    """Guards against waiting for an instance that accepts but never answers."""
    listener = gevent.socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(5)
    peer = InstanceRecord('i-2', 'a', *listener.getsockname())
    found = make_follower(store, Source(peer), STORE)
    found.wait_for(lambda: found.routes.version == 1)
    listener.close()
    assert found.selector.failed == ['i-2']


class PausedStore(FakeStore):
    """Store whose answer to a watch is read only after a pause."""

    def __init__(self, pause_s):
        super().__init__()
        self.now_s = 100.0
        self.pause_s = pause_s

    def clock(self):
        return self.now_s

    def watch(self, prefix, after_revision, timeout_s):
        found = super().watch(prefix, after_revision, timeout_s)
        self.now_s += self.pause_s
        return found


@pytest.mark.parametrize(
    ('pause_s', 'oldest_s', 'newest_s'), [(0.01, 0, 0.02), (10, 8.5, 10)]
)
def test_an_answer_read_after_a_pause_confirms_nothing_since(
    pause_s, oldest_s, newest_s
):
    """Guards against old state that counts as confirmed just now.

    The answer arrived before or during a pause of the process. Instances that
    ask this one would take its state for newer than that of the store's other
    readers, and use targets and routes that have been withdrawn meanwhile.
    """
    store = PausedStore(pause_s)
    store.put('op/config', 'cfg-1')
    setup = FollowerSetup(store)
    follower = setup.follower
    follower._clock = store.clock
    follower._needs_full_read = False
    follower._ask(STORE)
    age_s = follower.age_s(store.now_s)
    assert oldest_s <= age_s <= newest_s
    answer = follower.answer(ChangesQuery('i-2', 1, 0))
    assert answer.age_ms == round(1000 * age_s)
