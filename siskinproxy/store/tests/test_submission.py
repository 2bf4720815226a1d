"""Submission: results under faults, repetition, rules and bounded retries."""

import asyncio
import random

import pytest

from siskinproxy import operators
from siskinproxy.errors import (
    ConfigurationError,
    SectionDigestError,
    StoreRateLimitError,
    StoreUnavailableError,
    SubmissionReusedError,
)
from siskinproxy.standins.store import (
    FakeKeyValueClient,
    MemoryStore,
    StoreLimits,
)
from siskinproxy.standins.virtual_time import run_in_virtual_time
from siskinproxy.store import head as heads
from siskinproxy.store.audit import read_audit
from siskinproxy.store.options import RetryPolicy, SubmitOptions
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    OutcomeUnknown,
    Rejected,
)
from siskinproxy.store.sections import (
    canonical_configuration,
    section_of_service,
)
from siskinproxy.store.submission import (
    submit,
)
from siskinproxy.store.tests.configurations import (
    REGION,
    ZONES,
    ZONES_WITHOUT_C,
    make_configuration,
)

#: Faults of one call, as `FakeKeyValueClient` injects them: ``lost_request`` is
#: not executed, ``lost_answer`` is executed, and ``late`` is executed after a
#: delay; the caller gets no response to any of the three.
FAULTS = ('unavailable', 'rate_limit', 'lost_request', 'lost_answer', 'late')

#: Number of calls of a change of one service: read the head and three sections,
#: write the changed section, copy the previous audit entry, replace the head,
#: copy the own audit entry.
CALLS = 8

#: Number, counted from 0, of the call that replaces the head.
HEAD_CALL = 6

FIRST = make_configuration()
SECOND = make_configuration(slots=5)
THIRD = make_configuration(slots=6)


def make_options(limit_s=15, **changes):
    return SubmitOptions(
        retry=RetryPolicy(limit_s=limit_s), rng=random.Random(1), **changes
    )


def submit_change(client, cfg, base, submission_id, **changes):
    return submit(
        client,
        REGION,
        cfg,
        base,
        submission_id,
        'ildiko',
        1000 + base,
        make_options(**changes),
    )


async def read_state(store):
    """Return the head and the configuration that a store holds."""
    client = FakeKeyValueClient(store)
    head = heads.decode_head(REGION, await client.get(heads.head_key(REGION)))
    known = {}
    await heads.fetch_sections(client, head, known)
    return head, heads.assemble_configuration(
        head, known
    ) if head.generation else None


async def make_store():
    """Return a store that holds the configuration ``FIRST``."""
    store = MemoryStore(StoreLimits(writes_per_s=10**6, reads_per_s=10**6))
    first = await submit_change(FakeKeyValueClient(store), FIRST, 0, 'first')
    assert first == Accepted(1)
    return store


async def assert_applied_once(store, cfg, base, submission_id):
    """Assert that a change is in effect, listed once and in the audit trail."""
    head, found = await read_state(store)
    assert found == canonical_configuration(cfg)
    assert head.generation == base + 1
    ids = [record.submission_id for record in head.submissions]
    assert ids.count(submission_id) == 1
    trail = await read_audit(FakeKeyValueClient(store), REGION)
    assert [item.generation for item in trail] == list(range(base + 1, 0, -1))
    assert trail[0].submission_id == submission_id


def test_change_needs_few_calls():
    """Guards against a number of calls that grows with the configuration."""

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(store)
        assert await submit_change(client, SECOND, 1, 'second') == Accepted(2)
        assert len(client.log) == CALLS
        assert client.log[HEAD_CALL] == (
            'CompareAndSwap',
            heads.head_key(REGION),
        )
        assert client.calls == {'Get': 4, 'CompareAndSwap': 4}
        await assert_applied_once(store, SECOND, 1, 'second')

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('call', range(CALLS))
def test_single_fault_at_each_call(call, fault):
    """Guards against a change that is lost, applied twice or misreported.

    Each kind of fault occurs at each call of a submission in turn.
    """

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(
            store, fault_by_call={call: fault}, late_s=0.07
        )
        outcome = await submit_change(client, SECOND, 1, 'second')
        assert isinstance(outcome, Accepted), outcome
        assert outcome.generation == 2
        await asyncio.sleep(60)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('first', FAULTS)
@pytest.mark.parametrize('second', FAULTS)
def test_two_faults_around_the_commit(first, second):
    """Guards against a wrong result when resolving a fault fails as well.

    Three calls in a row fail, starting with the one that replaces the head.
    """

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(
            store,
            fault_by_call={
                HEAD_CALL: first,
                HEAD_CALL + 1: second,
                HEAD_CALL + 2: first,
            },
            late_s=0.5,
        )
        outcome = await submit_change(client, SECOND, 1, 'second')
        assert isinstance(outcome, Accepted), outcome
        await asyncio.sleep(60)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('call', range(CALLS))
@pytest.mark.parametrize('fault', FAULTS)
def test_outage_from_each_call_on(call, fault):
    """Guards against a wrong result when the store stays unavailable.

    The outage starts at each call in turn and outlasts the retries.
    """

    async def scenario():
        store = await make_store()
        plan = dict.fromkeys(range(call + 1, 100), 'unavailable')
        plan[call] = fault
        client = FakeKeyValueClient(store, fault_by_call=plan, late_s=30)
        outcome = await submit_change(client, SECOND, 1, 'second')
        await asyncio.sleep(20)
        head, _cfg = await read_state(store)
        if isinstance(outcome, Rejected):
            assert call <= HEAD_CALL
            assert outcome.reason == 'store'
            assert isinstance(
                outcome.errors[0],
                StoreUnavailableError | StoreRateLimitError,
            )
            await asyncio.sleep(60)
            assert (await read_state(store))[0].generation == 1
        elif isinstance(outcome, OutcomeUnknown):
            assert call == HEAD_CALL
            assert fault in {'lost_request', 'lost_answer', 'late'}
        else:
            assert call > HEAD_CALL
            assert outcome == Accepted(2)
            assert head.generation == 2
        # The operator repeats the submission after the outage.
        again = await submit_change(
            FakeKeyValueClient(store), SECOND, 1, 'second'
        )
        assert isinstance(again, Accepted)
        assert again.generation == 2
        await asyncio.sleep(60)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_in_virtual_time(scenario())


def test_late_write_cannot_replace_a_later_change():
    """Guards against a delayed write that reverts a later change.

    The write reaches the store after another operator's change was accepted.
    """

    async def scenario():
        store = await make_store()
        plan = dict.fromkeys(range(HEAD_CALL + 1, 100), 'unavailable')
        plan[HEAD_CALL] = 'late'
        late = FakeKeyValueClient(store, fault_by_call=plan, late_s=60)
        unknown = await submit_change(late, SECOND, 1, 'second')
        assert isinstance(unknown, OutcomeUnknown)
        other = await submit_change(
            FakeKeyValueClient(store), THIRD, 1, 'third'
        )
        assert other == Accepted(2)
        await asyncio.sleep(120)
        await assert_applied_once(store, THIRD, 1, 'third')
        again = await submit_change(
            FakeKeyValueClient(store), SECOND, 1, 'second'
        )
        assert again == Conflict(1, 2)

    run_in_virtual_time(scenario())


def test_repeated_submission_is_applied_once():
    """Guards against a repeated submission that is applied again.

    The operator repeats it after another change has been accepted.
    """

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(store)
        assert await submit_change(client, SECOND, 1, 'second') == Accepted(2)
        assert await submit_change(client, FIRST, 2, 'third') == Accepted(3)
        again = await submit_change(client, SECOND, 1, 'second')
        assert again == Accepted(2, 'found_in_head')
        head, cfg = await read_state(store)
        assert head.generation == 3
        assert cfg == canonical_configuration(FIRST)

    run_in_virtual_time(scenario())


def test_forgotten_submission_is_found_in_the_trail():
    """Guards against an accepted change that is reported as a conflict.

    The submission is so old that the head does not list it any more.
    """

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(store)
        for base in range(1, 90):
            cfg = make_configuration(slots=base)
            await submit_change(client, cfg, base, f's{base}')
        again = await submit_change(
            client, make_configuration(slots=3), 3, 's3'
        )
        assert again == Accepted(4, 'found_in_audit')
        foreign = await submit_change(
            client, make_configuration(slots=3), 3, 'x'
        )
        assert foreign == Conflict(3, 90)

    run_in_virtual_time(scenario())


def test_reused_id_is_rejected():
    """Guards against reporting a configuration as accepted that was not.

    Its submission id was accepted earlier with another configuration.
    """

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(store)
        await submit_change(client, SECOND, 1, 'second')
        outcome = await submit_change(client, THIRD, 2, 'second')
        assert outcome.reason == 'submission_reused'
        assert isinstance(outcome.errors[0], SubmissionReusedError)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_in_virtual_time(scenario())


def test_validation_and_retirement_are_applied():
    """Guards against a change that is committed without the rules passed in."""

    def refuse(cfg, previous=None, now_unix_s=0):
        assert previous == canonical_configuration(FIRST)
        assert now_unix_s == 1001
        return (ConfigurationError('refused'),)

    def retire(previous, cfg, generation, now_unix_s):
        assert previous == canonical_configuration(FIRST)
        assert (generation, now_unix_s) == (2, 1001)
        return make_configuration(slots=9)

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(store)
        outcome = await submit_change(
            client, SECOND, 1, 'x', validate=refuse, retire=None
        )
        assert outcome.reason == 'invalid'
        assert client.calls == {'Get': 4}
        await submit_change(client, SECOND, 1, 'y', retire=retire)
        _head, cfg = await read_state(store)
        assert cfg == canonical_configuration(make_configuration(slots=9))

    run_in_virtual_time(scenario())


def test_rules_of_operators_apply_by_default():
    """Guards against unvalidated changes by callers that pass no rules."""

    async def scenario():
        store = await make_store()
        client = FakeKeyValueClient(store)
        cfg = make_configuration(zones=ZONES[:2])
        outcome = await submit_change(client, cfg, 1, 'second')
        assert outcome.reason == 'invalid'
        assert (await read_state(store))[0].generation == 1
        without = make_configuration(services=1)
        assert await submit_change(client, without, 1, 'third') == Accepted(2)
        _head, found = await read_state(store)
        assert {entry.service for entry in found.retired} == {'service-001'}

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ('submission_id', 'operator', 'fields'),
    [
        ('', 'ines', ['submission_id']),
        ('x' * 65, 'ines', ['submission_id']),
        ('x', '', ['operator']),
        ('', 'x' * 65, ['submission_id', 'operator']),
    ],
)
def test_malformed_fields_are_rejected(submission_id, operator, fields):
    """Guards against submission ids shared by accident and oversized heads.

    An empty id would be the same for all callers that do not set one.
    """

    async def scenario():
        client = FakeKeyValueClient(MemoryStore())
        outcome = await submit(
            client, REGION, FIRST, 0, submission_id, operator, 0, make_options()
        )
        assert outcome.reason == 'invalid'
        assert [error.field for error in outcome.errors] == fields
        assert not client.log

    run_in_virtual_time(scenario())


def test_wrong_region_is_rejected():
    """Guards against a configuration that replaces that of another region."""

    async def scenario():
        client = FakeKeyValueClient(MemoryStore())
        outcome = await submit(
            client, 'lisboa', FIRST, 0, 'x', 'ines', 0, make_options()
        )
        assert outcome.reason == 'invalid'
        assert client.calls == {'Get': 1}

    run_in_virtual_time(scenario())


def test_known_sections_are_not_read():
    """Guards against reading sections that the caller has already."""

    async def scenario():
        store = await make_store()
        head, _cfg = await read_state(store)
        known = {}
        await heads.fetch_sections(FakeKeyValueClient(store), head, known)
        client = FakeKeyValueClient(store)
        await submit_change(client, SECOND, 1, 'second', known_sections=known)
        assert client.calls == {'Get': 1, 'CompareAndSwap': 4}

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('zone_out', [True, False])
def test_section_with_wrong_content_is_replaced(zone_out):
    """Guards against committing a head whose sections cannot be assembled.

    The key of a changed section already holds a value with another digest.
    """

    async def scenario():
        store = await make_store()
        zones = ZONES_WITHOUT_C if zone_out else ZONES
        cfg = make_configuration(slots=5, zones=zones)
        # The same change to a second store tells the key of the section.
        probe = await make_store()
        await submit_change(FakeKeyValueClient(probe), cfg, 1, 'second')
        head, _cfg = await read_state(probe)
        index = 64 if zone_out else section_of_service('service-000')
        key = heads.section_key(REGION, head.digests[index])
        store.compare_and_swap(key, b'wrong', 0, 0, 0)
        await submit_change(FakeKeyValueClient(store), cfg, 1, 'second')
        # Adds the time at which zone c was taken out of service.
        expected = operators.retire(FIRST, cfg, 2, 1001)
        await assert_applied_once(store, expected, 1, 'second')

    run_in_virtual_time(scenario())


def test_corrupt_section_stops_the_submission():
    """Guards against a change based on a configuration that cannot be read.

    A section of the current configuration does not match its digest.
    """

    async def scenario():
        store = await make_store()
        head, _cfg = await read_state(store)
        key = heads.section_key(REGION, head.digests[64])
        version = store.get(key, 0).version
        store.compare_and_swap(key, b'wrong', version, 0, 0)
        outcome = await submit_change(
            FakeKeyValueClient(store), SECOND, 1, 'second'
        )
        assert outcome.reason == 'store'
        assert isinstance(outcome.errors[0], SectionDigestError)

    run_in_virtual_time(scenario())


def test_oversized_section_is_rejected():
    """Guards against an unknown outcome for a value that the store rejects."""

    async def scenario():
        store = MemoryStore(StoreLimits(value_bytes=100))
        outcome = await submit_change(
            FakeKeyValueClient(store), FIRST, 0, 'first'
        )
        assert outcome.reason == 'store'

    run_in_virtual_time(scenario())


def test_rate_limit_delays_a_large_change():
    """Guards against a change that fails at the rate limit of the store.

    It writes many sections at once; the writes must be spread by retries.
    """

    async def scenario():
        store = MemoryStore(StoreLimits(writes_per_s=40, reads_per_s=40))
        cfg = make_configuration(services=200)
        outcome = await submit_change(
            FakeKeyValueClient(store), cfg, 0, 'first'
        )
        assert outcome == Accepted(1)
        store.limits = StoreLimits()
        await assert_applied_once(store, cfg, 0, 'first')

    run_in_virtual_time(scenario())


def test_short_outage_during_a_large_change():
    """Guards against a short outage that uses up the retries of a change.

    All concurrent writes of a large change fail at the same time.
    """

    async def scenario():
        store = MemoryStore()
        cfg = make_configuration(services=200)
        plan = dict.fromkeys(range(1, 200), 'unavailable')
        client = FakeKeyValueClient(store, fault_by_call=plan)
        assert await submit_change(client, cfg, 0, 'first') == Accepted(1)
        await assert_applied_once(store, cfg, 0, 'first')

    run_in_virtual_time(scenario())


def test_slow_store_delays_a_change():
    """Guards against a change that fails because the store is slow."""

    async def scenario():
        store = await make_store()
        store.faults.latency_s = 5
        outcome = await submit_change(
            FakeKeyValueClient(store), SECOND, 1, 'second'
        )
        assert outcome == Accepted(2)

    run_in_virtual_time(scenario())


def test_retries_are_bounded():
    """Guards against a submission that never ends, or calls too often.

    The store is unavailable throughout.
    """

    async def scenario():
        store = await make_store()
        store.faults.outage = True
        client = FakeKeyValueClient(store)
        outcome = await submit_change(client, SECOND, 1, 'second')
        assert outcome.reason == 'store'
        assert client.calls['Get'] < 20
        assert 10 < asyncio.get_running_loop().time() <= 15

    run_in_virtual_time(scenario())
