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
from siskinproxy.standins.virtual_time import run_virtual
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

FAULTS = ('unavailable', 'rate_limit', 'lost_request', 'lost_answer', 'late')

#: Calls of a change of one service: head, three sections, section, audit entry
#: of the previous change, head, own audit entry.
CALLS = 8
HEAD_CALL = 6

FIRST = make_configuration()
SECOND = make_configuration(slots=5)
THIRD = make_configuration(slots=6)


def options(limit_s=15, **changes):
    return SubmitOptions(
        retry=RetryPolicy(limit_s=limit_s), rng=random.Random(1), **changes
    )


def send(client, cfg, base, submission_id, **changes):
    return submit(
        client,
        REGION,
        cfg,
        base,
        submission_id,
        'ildiko',
        1000 + base,
        options(**changes),
    )


async def read_state(store):
    client = FakeKeyValueClient(store)
    head = heads.decode_head(REGION, await client.get(heads.head_key(REGION)))
    known = {}
    await heads.fetch_sections(client, head, known)
    return head, heads.assemble(head, known) if head.generation else None


async def prepared():
    store = MemoryStore(StoreLimits(writes_per_s=10**6, reads_per_s=10**6))
    first = await send(FakeKeyValueClient(store), FIRST, 0, 'first')
    assert first == Accepted(1)
    return store


async def assert_applied_once(store, cfg, base, submission_id):
    head, found = await read_state(store)
    assert found == canonical_configuration(cfg)
    assert head.generation == base + 1
    ids = [record.submission_id for record in head.submissions]
    assert ids.count(submission_id) == 1
    trail = await read_audit(FakeKeyValueClient(store), REGION)
    assert [item.generation for item in trail] == list(range(base + 1, 0, -1))
    assert trail[0].submission_id == submission_id


def test_change_needs_few_calls():
    """Guards against calls that grow with the configuration."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store)
        assert await send(client, SECOND, 1, 'second') == Accepted(2)
        assert len(client.log) == CALLS
        assert client.log[HEAD_CALL] == (
            'CompareAndSwap',
            heads.head_key(REGION),
        )
        assert client.calls == {'Get': 4, 'CompareAndSwap': 4}
        await assert_applied_once(store, SECOND, 1, 'second')

    run_virtual(scenario())


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('call', range(CALLS))
def test_single_fault_at_each_call(call, fault):
    """Guards against a change that one fault loses, repeats or misreports."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store, plan={call: fault}, late_s=0.07)
        outcome = await send(client, SECOND, 1, 'second')
        assert isinstance(outcome, Accepted), outcome
        assert outcome.generation == 2
        await asyncio.sleep(60)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_virtual(scenario())


@pytest.mark.parametrize('first', FAULTS)
@pytest.mark.parametrize('second', FAULTS)
def test_two_faults_around_the_commit(first, second):
    """Guards against a second fault while the first one is resolved."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(
            store,
            plan={
                HEAD_CALL: first,
                HEAD_CALL + 1: second,
                HEAD_CALL + 2: first,
            },
            late_s=0.5,
        )
        outcome = await send(client, SECOND, 1, 'second')
        assert isinstance(outcome, Accepted), outcome
        await asyncio.sleep(60)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_virtual(scenario())


@pytest.mark.parametrize('call', range(CALLS))
@pytest.mark.parametrize('fault', FAULTS)
def test_outage_from_each_call_on(call, fault):
    """Guards against a false result when the store does not come back."""

    async def scenario():
        store = await prepared()
        plan = dict.fromkeys(range(call + 1, 100), 'unavailable')
        plan[call] = fault
        client = FakeKeyValueClient(store, plan=plan, late_s=30)
        outcome = await send(client, SECOND, 1, 'second')
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
        again = await send(FakeKeyValueClient(store), SECOND, 1, 'second')
        assert isinstance(again, Accepted)
        assert again.generation == 2
        await asyncio.sleep(60)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_virtual(scenario())


def test_late_write_cannot_replace_a_later_change():
    """Guards against a delayed write that reverts the configuration."""

    async def scenario():
        store = await prepared()
        plan = dict.fromkeys(range(HEAD_CALL + 1, 100), 'unavailable')
        plan[HEAD_CALL] = 'late'
        late = FakeKeyValueClient(store, plan=plan, late_s=60)
        unknown = await send(late, SECOND, 1, 'second')
        assert isinstance(unknown, OutcomeUnknown)
        other = await send(FakeKeyValueClient(store), THIRD, 1, 'third')
        assert other == Accepted(2)
        await asyncio.sleep(120)
        await assert_applied_once(store, THIRD, 1, 'third')
        again = await send(FakeKeyValueClient(store), SECOND, 1, 'second')
        assert again == Conflict(1, 2)

    run_virtual(scenario())


def test_repeated_submission_is_applied_once():
    """Guards against a retry by the operator that applies a change again."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store)
        assert await send(client, SECOND, 1, 'second') == Accepted(2)
        assert await send(client, FIRST, 2, 'third') == Accepted(3)
        again = await send(client, SECOND, 1, 'second')
        assert again == Accepted(2, 'found_in_head')
        head, cfg = await read_state(store)
        assert head.generation == 3
        assert cfg == canonical_configuration(FIRST)

    run_virtual(scenario())


def test_forgotten_submission_is_found_in_the_trail():
    """Guards against reporting an old accepted change as a conflict."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store)
        for base in range(1, 90):
            cfg = make_configuration(slots=base)
            await send(client, cfg, base, f's{base}')
        again = await send(client, make_configuration(slots=3), 3, 's3')
        assert again == Accepted(4, 'found_in_audit')
        foreign = await send(client, make_configuration(slots=3), 3, 'x')
        assert foreign == Conflict(3, 90)

    run_virtual(scenario())


def test_reused_id_is_rejected():
    """Guards against reporting another configuration as accepted."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store)
        await send(client, SECOND, 1, 'second')
        outcome = await send(client, THIRD, 2, 'second')
        assert outcome.reason == 'submission_reused'
        assert isinstance(outcome.errors[0], SubmissionReusedError)
        await assert_applied_once(store, SECOND, 1, 'second')

    run_virtual(scenario())


def test_validation_and_retirement_are_applied():
    """Guards against a change that bypasses the operators' rules."""

    def refuse(cfg, previous=None, now_unix_s=0):
        assert previous == canonical_configuration(FIRST)
        assert now_unix_s == 1001
        return (ConfigurationError('refused'),)

    def retire(previous, cfg, generation, now_unix_s):
        assert previous == canonical_configuration(FIRST)
        assert (generation, now_unix_s) == (2, 1001)
        return make_configuration(slots=9)

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store)
        outcome = await send(
            client, SECOND, 1, 'x', validate=refuse, retire=None
        )
        assert outcome.reason == 'invalid'
        assert client.calls == {'Get': 4}
        await send(client, SECOND, 1, 'y', retire=retire)
        _head, cfg = await read_state(store)
        assert cfg == canonical_configuration(make_configuration(slots=9))

    run_virtual(scenario())


def test_rules_of_operators_apply_by_default():
    """Guards against a caller that forgets to pass the validation."""

    async def scenario():
        store = await prepared()
        client = FakeKeyValueClient(store)
        cfg = make_configuration(zones=ZONES[:2])
        outcome = await send(client, cfg, 1, 'second')
        assert outcome.reason == 'invalid'
        assert (await read_state(store))[0].generation == 1
        without = make_configuration(services=1)
        assert await send(client, without, 1, 'third') == Accepted(2)
        _head, found = await read_state(store)
        assert {entry.service for entry in found.retired} == {'service-001'}

    run_virtual(scenario())


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
    """Guards against ids shared by accident and heads that grow."""

    async def scenario():
        client = FakeKeyValueClient(MemoryStore())
        outcome = await submit(
            client, REGION, FIRST, 0, submission_id, operator, 0, options()
        )
        assert outcome.reason == 'invalid'
        assert [error.field for error in outcome.errors] == fields
        assert not client.log

    run_virtual(scenario())


def test_wrong_region_is_rejected():
    """Guards against a configuration that replaces another region's."""

    async def scenario():
        client = FakeKeyValueClient(MemoryStore())
        outcome = await submit(
            client, 'lisboa', FIRST, 0, 'x', 'ines', 0, options()
        )
        assert outcome.reason == 'invalid'
        assert client.calls == {'Get': 1}

    run_virtual(scenario())


def test_known_sections_are_not_read():
    """Guards against reading all sections from the store at each change."""

    async def scenario():
        store = await prepared()
        head, _cfg = await read_state(store)
        known = {}
        await heads.fetch_sections(FakeKeyValueClient(store), head, known)
        client = FakeKeyValueClient(store)
        await send(client, SECOND, 1, 'second', known_sections=known)
        assert client.calls == {'Get': 1, 'CompareAndSwap': 4}

    run_virtual(scenario())


@pytest.mark.parametrize('zone_out', [True, False])
def test_section_with_wrong_content_is_replaced(zone_out):
    """Guards against committing a head that no instance can assemble."""

    async def scenario():
        store = await prepared()
        zones = ZONES_WITHOUT_C if zone_out else ZONES
        cfg = make_configuration(slots=5, zones=zones)
        probe = await prepared()
        await send(FakeKeyValueClient(probe), cfg, 1, 'second')
        head, _cfg = await read_state(probe)
        index = 64 if zone_out else section_of_service('service-000')
        key = heads.section_key(REGION, head.digests[index])
        store.compare_and_swap(key, b'wrong', 0, 0, 0)
        await send(FakeKeyValueClient(store), cfg, 1, 'second')
        # Adds the time at which zone c was taken out of service.
        expected = operators.retire(FIRST, cfg, 2, 1001)
        await assert_applied_once(store, expected, 1, 'second')

    run_virtual(scenario())


def test_corrupt_section_stops_the_submission():
    """Guards against a change based on a configuration that was not read."""

    async def scenario():
        store = await prepared()
        head, _cfg = await read_state(store)
        key = heads.section_key(REGION, head.digests[64])
        version = store.get(key, 0).version
        store.compare_and_swap(key, b'wrong', version, 0, 0)
        outcome = await send(FakeKeyValueClient(store), SECOND, 1, 'second')
        assert outcome.reason == 'store'
        assert isinstance(outcome.errors[0], SectionDigestError)

    run_virtual(scenario())


def test_oversized_section_is_rejected():
    """Guards against an unknown outcome for a value that is too large."""

    async def scenario():
        store = MemoryStore(StoreLimits(value_bytes=100))
        outcome = await send(FakeKeyValueClient(store), FIRST, 0, 'first')
        assert outcome.reason == 'store'

    run_virtual(scenario())


def test_rate_limit_delays_a_large_change():
    """Guards against a change that fails because it writes many sections."""

    async def scenario():
        store = MemoryStore(StoreLimits(writes_per_s=40, reads_per_s=40))
        cfg = make_configuration(services=200)
        outcome = await send(FakeKeyValueClient(store), cfg, 0, 'first')
        assert outcome == Accepted(1)
        store.limits = StoreLimits()
        await assert_applied_once(store, cfg, 0, 'first')

    run_virtual(scenario())


def test_short_outage_during_a_large_change():
    """Guards against retries used up by concurrent writes that fail at once."""

    async def scenario():
        store = MemoryStore()
        cfg = make_configuration(services=200)
        plan = dict.fromkeys(range(1, 200), 'unavailable')
        client = FakeKeyValueClient(store, plan=plan)
        assert await send(client, cfg, 0, 'first') == Accepted(1)
        await assert_applied_once(store, cfg, 0, 'first')

    run_virtual(scenario())


def test_slow_store_delays_a_change():
    """Guards against a timeout inside the protocol at a slow store."""

    async def scenario():
        store = await prepared()
        store.faults.latency_s = 5
        outcome = await send(FakeKeyValueClient(store), SECOND, 1, 'second')
        assert outcome == Accepted(2)

    run_virtual(scenario())


def test_retries_are_bounded():
    """Guards against a submission that calls a failed store for ever."""

    async def scenario():
        store = await prepared()
        store.faults.outage = True
        client = FakeKeyValueClient(store)
        outcome = await send(client, SECOND, 1, 'second')
        assert outcome.reason == 'store'
        assert client.calls['Get'] < 20
        assert 10 < asyncio.get_running_loop().time() <= 15

    run_virtual(scenario())
