"""Reader role: leases, claims of slots, retries and a simulation of a zone."""

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from siskinproxy.standins.store import MemoryStore
from siskinproxy.store import reader_role
from siskinproxy.store.reader_role import (
    ClaimSlot,
    ListReaders,
    ReaderRecord,
    ReaderRole,
    RenewLease,
    RequestLease,
    Sleep,
)

ZONE = ('alfold', 'a')
LOST = StoreOutcomeUnknownError('lost')
DOWN = StoreUnavailableError('down')


def make_role(name='n1', now_s=0):
    """Return a role and a time at which its first call is due."""
    role = ReaderRole(name, random.Random(1), now_s)
    return role, now_s + reader_role.START_JITTER_S


def claiming():
    """Return a role that is about to claim slot 1, the time, and the step."""
    role, now_s = make_role()
    assert isinstance(role.next_step(now_s), ListReaders)
    role.on_readers_listed({0: ReaderRecord('n9', 9)}, now_s)
    assert role.next_step(now_s) == RequestLease(reader_role.LEASE_TTL_S)
    role.on_lease_granted(7, now_s, now_s)
    step = role.next_step(now_s)
    assert step == ClaimSlot(1, ReaderRecord('n1', 7))
    return role, now_s, step


def holding():
    """Return a role that has claimed slot 1, and the time."""
    role, now_s, _step = claiming()
    role.on_claimed(now_s)
    assert role.is_reader(now_s)
    return role, now_s


def test_holder_renews_until_the_lease_is_lost():
    """Guards against a holder that keeps the role after it lost its lease.

    Another instance may claim the slot as soon as the lease has ended.
    """
    role, now_s = holding()
    due_s = now_s + reader_role.RENEW_INTERVAL_S
    assert role.next_step(now_s) == Sleep(due_s, 'renew the lease')
    assert role.next_step(due_s) == RenewLease(7)
    role.on_renewed(due_s, due_s + 0.5)
    assert role.next_step(due_s + 1) == RenewLease(7)
    assert role.is_reader(due_s + 8.9)
    role.on_failure(RenewLease(7), LeaseLostError(), due_s + 1.2)
    assert not role.is_reader(due_s + 1.2)


@pytest.mark.parametrize('pause_s', [9.0, 9.5, 60, 10**6])
def test_paused_holder_is_no_reader(pause_s):
    """Guards against a holder that acts on an expired lease after a pause.

    It must find the deadline passed before it calls the store again.
    """
    role, now_s = holding()
    assert not role.is_reader(now_s + pause_s)
    step = role.next_step(now_s + pause_s)
    assert isinstance(step, Sleep)
    assert step.until_s <= now_s + pause_s + reader_role.FIRST_RETRY_DELAY_S
    assert role.reason == 'lease deadline passed'


def test_lease_counts_from_before_the_call():
    """Guards against a lease that a slow response makes look longer.

    The store starts the lease before it responds.
    """
    role, now_s = make_role()
    role.on_readers_listed({}, now_s)
    role.on_lease_granted(7, now_s, now_s + 8)
    role.on_claimed(now_s + 8.5)
    assert role.is_reader(now_s + 8.9)
    assert not role.is_reader(now_s + 9)
    role.on_renewed(now_s + 8, now_s + 20)
    assert not role.is_reader(now_s + 20)


@pytest.mark.parametrize(
    ('records', 'reader', 'step'),
    [
        ({1: ReaderRecord('n1', 7)}, True, None),
        ({}, False, ClaimSlot(1, ReaderRecord('n1', 7))),
        ({1: ReaderRecord('n1', 6)}, False, None),
        ({1: ReaderRecord('n2', 8)}, False, None),
    ],
    ids=['took-effect', 'not-yet', 'former-lease', 'lost-the-race'],
)
def test_lost_answer_of_a_claim_is_resolved(records, reader, step):
    """Guards against two holders of a slot, or one holder of two slots.

    The response to a claim is lost, so the slots are listed to resolve it.
    """
    role, now_s, claim = claiming()
    role.on_failure(claim, LOST, now_s)
    assert not role.is_reader(now_s)
    now_s += reader_role.FIRST_RETRY_DELAY_S
    assert isinstance(role.next_step(now_s), ListReaders)
    role.on_readers_listed(records, now_s)
    assert role.is_reader(now_s) is reader
    if step is not None:
        assert role.next_step(now_s) == step


@pytest.mark.parametrize('members', [1, 8, 121])
def test_instance_without_role_looks_rarely(members):
    """Guards against polling whose rate grows with the number of instances."""
    role, now_s = make_role()
    role.set_zone_members(members)
    taken = {0: ReaderRecord('n8', 8), 1: ReaderRecord('n9', 9)}
    polls = 0
    end_s = now_s + 36000
    while now_s < end_s:
        step = role.next_step(now_s)
        if isinstance(step, Sleep):
            assert step.until_s >= now_s + reader_role.SLOT_POLL_INTERVAL_S
            now_s = step.until_s
            continue
        polls += 1
        # Failed polls must not raise the rate either.
        if polls % 2:
            role.on_readers_listed(taken, now_s)
        else:
            role.on_failure(step, DOWN, now_s)
    zone_rate = polls * members / 36000
    assert zone_rate < 0.2 * 1.4


def test_former_holder_retries_with_growing_delay():
    """Guards against a burst of calls at the end of a long outage.

    The retry delay must grow to its limit and stay there.
    """
    role, now_s = holding()
    end_s = now_s + 3600
    delays = []
    while now_s < end_s:
        step = role.next_step(now_s)
        if isinstance(step, Sleep):
            delays.append(step.until_s - now_s)
            now_s = step.until_s
        else:
            role.on_failure(step, DOWN, now_s)
    assert all(delay <= reader_role.MAX_RETRY_DELAY_S for delay in delays)
    assert len(delays) < 3600 / (reader_role.MAX_RETRY_DELAY_S / 2) + 20
    assert min(delays[-50:]) >= reader_role.MAX_RETRY_DELAY_S / 2


def test_former_holder_waits_for_its_own_lease_to_end():
    """Guards against a slot that stays vacant after a short partition.

    The store still lists the former lease of the instance as the holder.
    """
    role, now_s = holding()
    now_s += reader_role.LEASE_TTL_S - reader_role.LEASE_MARGIN_S
    now_s = role.next_step(now_s).until_s
    assert isinstance(role.next_step(now_s), ListReaders)
    role.on_readers_listed(
        {0: ReaderRecord('n9', 9), 1: ReaderRecord('n1', 7)}, now_s
    )
    assert role.next_step(now_s).until_s < now_s + 1


def test_conflict_ends_the_attempt():
    """Guards against an instance that keeps claiming a slot that is taken."""
    role, now_s, claim = claiming()
    role.on_failure(claim, StoreConflictError('k', 0, 3), now_s)
    step = role.next_step(now_s)
    assert step.until_s >= now_s + reader_role.SLOT_POLL_INTERVAL_S


def test_unreadable_record_counts_as_taken():
    """Guards against claiming a slot whose record cannot be decoded.

    An instance of a later version may write records in another format.
    """
    store = MemoryStore()
    store.compare_and_swap(reader_role.reader_key(*ZONE, 0), b'{', 0, 0, 0)
    store.compare_and_swap(reader_role.reader_prefix(*ZONE) + 'x', b'', 0, 0, 0)
    listed = store.list(reader_role.reader_prefix(*ZONE), 0)
    assert set(reader_role.decode_readers(listed)) == {0}


class Simulation:
    """Discrete-event simulation of the reader roles of one zone.

    Calls take random times and lose responses; instances pause at random.
    """

    def __init__(self, seed, instances):
        self.rng = random.Random(seed)
        self.store = MemoryStore()
        self.events = []
        self.order = itertools.count()
        self.roles = [
            ReaderRole(f'n{number}', random.Random(seed + number), 0)
            for number in range(instances)
        ]
        self.outage_until_s = 0
        self.handovers = 0
        for role in self.roles:
            self.at(0, self.step, role)

    def at(self, time_s, handler, *args):
        heapq.heappush(self.events, (time_s, next(self.order), handler, args))

    def run(self, end_s):
        while self.events[0][0] < end_s:
            now_s, _order, handler, args = heapq.heappop(self.events)
            handler(now_s, *args)
            self.check(now_s)

    def check(self, now_s):
        """Check that each reader holds the key of a slot in the store."""
        listed = self.store.list(reader_role.reader_prefix(*ZONE), now_s)
        records = reader_role.decode_readers(listed).values()
        acting = [role for role in self.roles if role.is_reader(now_s)]
        assert len(acting) <= reader_role.READERS_PER_ZONE
        for role in acting:
            assert ReaderRecord(role._name, role.lease_id) in records

    def step(self, now_s, role):
        if self.rng.random() < 0.05:
            # The process is paused, then resumed.
            self.at(now_s + self.rng.uniform(0, 40), self.step, role)
            return
        if self.rng.random() < 0.01:
            self.outage_until_s = now_s + self.rng.uniform(0, 60)
        step = role.next_step(now_s)
        if isinstance(step, Sleep):
            self.at(step.until_s, self.step, role)
            return
        request_delay_s = self.rng.choice([0.001, 0.001, 0.5, 5, 15])
        self.at(now_s + request_delay_s, self.execute, role, step, now_s)

    def execute(self, now_s, role, step, sent_s):
        outcome = self.call(role, step, now_s)
        answered_s = now_s + self.rng.choice([0.001, 0.001, 0.5, 5, 15])
        if self.rng.random() < 0.1:
            outcome = LOST
        self.at(answered_s, self.answer, role, step, sent_s, outcome)

    def call(self, role, step, now_s):
        if now_s < self.outage_until_s:
            return DOWN
        try:
            match step:
                case ListReaders():
                    prefix = reader_role.reader_prefix(*ZONE)
                    listed = self.store.list(prefix, now_s)
                    return reader_role.decode_readers(listed)
                case RequestLease(ttl_s=ttl_s):
                    return self.store.grant_lease(ttl_s, now_s)
                case RenewLease(lease_id=lease_id):
                    return self.store.keep_alive(lease_id, now_s)
            key = reader_role.reader_key(*ZONE, step.slot)
            value = reader_role.encode_reader(step.record)
            self.store.compare_and_swap(
                key, value, 0, step.record.lease_id, now_s
            )
            self.handovers += 1
        except StoreError as exc:
            return exc

    def answer(self, now_s, role, step, sent_s, outcome):
        if isinstance(outcome, StoreError):
            role.on_failure(step, outcome, now_s)
        elif isinstance(step, ListReaders):
            role.on_readers_listed(outcome, now_s)
        elif isinstance(step, RequestLease):
            role.on_lease_granted(outcome, sent_s, now_s)
        elif isinstance(step, ClaimSlot):
            role.on_claimed(now_s)
        else:
            role.on_renewed(sent_s, now_s)
        self.at(now_s, self.step, role)


@settings(deadline=None, max_examples=100)
@given(st.integers(0, 2**32), st.integers(1, 6))
def test_readers_hold_a_lease_at_all_times(seed, instances):
    """Guards against a reader whose lease the store has ended.

    Calls are slow or fail, and instances pause at random times.
    """
    Simulation(seed, instances).run(600)


def test_simulation_changes_readers():
    """Guards against a simulation without changes of the role's holders."""
    simulation = Simulation(1, 5)
    simulation.run(3600)
    assert simulation.handovers > 20


def _extend_from_answer(self, sent_s, now_s):
    self._extend_deadline(now_s)
    self._failures = 0
    self._due_s = now_s + reader_role.RENEW_INTERVAL_S


def _is_reader_without_deadline(self, now_s):
    return self._phase is reader_role._Phase.HOLDING


@pytest.mark.parametrize(
    ('owner', 'attribute', 'broken'),
    [
        (ReaderRole, 'on_renewed', _extend_from_answer),
        (ReaderRole, 'is_reader', _is_reader_without_deadline),
        (reader_role, 'LEASE_MARGIN_S', -5),
    ],
    ids=['from-answer', 'no-deadline', 'too-long'],
)
def test_lease_check_can_fail(monkeypatch, owner, attribute, broken):
    """Guards against a check of the leases that cannot fail.

    Each case breaks the deadline of the role in another way.
    """
    monkeypatch.setattr(owner, attribute, broken)
    with pytest.raises(AssertionError):
        for seed in range(50):
            Simulation(seed, 5).run(3600)
