import asyncio

import pytest
from msgspec.structs import replace

from siskinproxy.operators import with_target_draining, with_zone_in_service
from siskinproxy.operators.changes import (
    ChangeExecutor,
    DrainChange,
    SubmitChange,
    Unchanged,
    ZoneChange,
    read_stored_configuration,
)
from siskinproxy.operators.tests import admin_region, samples
from siskinproxy.standins.store import FakeKeyValueClient, MemoryStore
from siskinproxy.standins.virtual_time import run_in_virtual_time
from siskinproxy.store.head import decode_head, fetch_sections, head_key
from siskinproxy.store.restoration import AcceptedHead
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    OutcomeUnknown,
    Rejected,
)

CFG = samples.CONFIGURATION
MORE_SLOTS = samples.with_services(
    replace(
        samples.DESK,
        targets=(replace(samples.DESK_1, slots=9), samples.DESK_2),
    ),
    samples.ARCHIVE,
)

CHANGES = {
    'submit': (SubmitChange(admin_region.encode(MORE_SLOTS), 1), MORE_SLOTS),
    'zone': (
        ZoneChange('b', in_service=False),
        with_zone_in_service(CFG, 'b', flag=False),
    ),
    'drain': (
        DrainChange('desk-1', draining=True),
        with_target_draining(CFG, 'desk-1', flag=True),
    ),
}
FAULTS = ('unavailable', 'rate_limit', 'lost_request', 'lost_answer', 'late')

#: Upper bound of the store calls that a change makes without faults. A fault is
#: injected at each of these calls in turn.
MAX_STORE_CALLS = 18


async def _store_with_configuration():
    store = MemoryStore()
    client = FakeKeyValueClient(store)
    executor = admin_region.make_executor(client, admin_region.RecordingLog())
    first = SubmitChange(admin_region.encode(CFG), 0)
    result = await executor.execute(first, 'ana', 'first')
    assert result.outcome == Accepted(1)
    return store


def _is_applied(running, expected):
    cfg = running.configuration
    services = {service.name: service for service in cfg.services}
    return services == {each.name: each for each in expected.services} and [
        zone.in_service for zone in cfg.zones
    ] == [zone.in_service for zone in expected.zones]


@pytest.mark.parametrize('limit_s', [0, 5], ids=['no-retry', 'retries'])
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    ('change', 'expected'),
    CHANGES.values(),
    ids=CHANGES,
)
def test_every_fault_at_every_call(change, expected, fault, limit_s):
    """Guards against a wrong outcome and against a change applied twice.

    A store call that fails or is delayed leaves open whether the change took
    effect. An outcome other than `OutcomeUnknown` must be correct, and a
    repetition with the same id must end with the change accepted once.
    """

    async def scenario(number):
        store = await _store_with_configuration()
        faulty = FakeKeyValueClient(store, fault_by_call={number: fault})
        log = admin_region.RecordingLog()
        executor = admin_region.make_executor(faulty, log, limit_s)
        outcome = (await executor.execute(change, 'ildiko', 'x')).outcome
        client = FakeKeyValueClient(store)
        running = await read_stored_configuration(client, admin_region.REGION)
        if isinstance(outcome, Accepted):
            assert running.head.generation == outcome.generation == 2
        elif isinstance(outcome, Rejected):
            assert outcome.reason == 'store'
            assert running.head.generation == 1
        else:
            assert isinstance(outcome, OutcomeUnknown)
        (event,) = log.events
        assert event[1]['result'] == type(outcome).__name__.lower()
        again = admin_region.make_executor(client, log)
        repeated = (await again.execute(change, 'ildiko', 'x')).outcome
        assert isinstance(repeated, Accepted)
        assert repeated.generation == 2
        running = await read_stored_configuration(client, admin_region.REGION)
        assert running.head.generation == 2
        assert _is_applied(running, expected)

    for number in range(MAX_STORE_CALLS):
        run_in_virtual_time(scenario(number))


def test_late_write_of_a_command_cannot_apply_twice():
    """Guards against a delayed write that takes effect after a repetition.

    Each write of the first attempt reaches the store late, after a repetition
    of the command and a command that reverses it.
    """

    async def scenario():
        store = await _store_with_configuration()
        change = ZoneChange('b', in_service=False)
        plan = {number: 'late' for number in range(MAX_STORE_CALLS)}
        slow = FakeKeyValueClient(store, fault_by_call=plan)
        log = admin_region.RecordingLog()
        executor = admin_region.make_executor(slow, log, limit_s=0)
        await executor.execute(change, 'ildiko', 'x')
        client = FakeKeyValueClient(store)
        again = admin_region.make_executor(client, log)
        await again.execute(change, 'ildiko', 'x')
        back = ZoneChange('b', in_service=True)
        await again.execute(back, 'ana', 'y')
        # Makes the delayed writes of the first attempt take effect.
        await executor.execute(change, 'ildiko', 'x')
        running = await read_stored_configuration(client, admin_region.REGION)
        assert all(zone.in_service for zone in running.configuration.zones)

    run_in_virtual_time(scenario())


def test_command_without_configuration_is_refused():
    """Guards against a traceback if a command precedes any configuration."""

    async def scenario():
        log = admin_region.RecordingLog()
        client = FakeKeyValueClient(MemoryStore())
        executor = admin_region.make_executor(client, log)
        for change in (ZoneChange('a', False), DrainChange('desk-1', True)):
            outcome = (await executor.execute(change, 'ana', 'x')).outcome
            assert isinstance(outcome, Rejected)
            assert outcome.reason == 'invalid'

    run_in_virtual_time(scenario())


def test_command_without_effect_makes_no_generation():
    """Guards against audit entries for commands that change nothing.

    The zone is in service already, so the command must not write to the store.
    """

    async def scenario():
        store = await _store_with_configuration()
        client = FakeKeyValueClient(store)
        log = admin_region.RecordingLog()
        executor = admin_region.make_executor(client, log)
        change = ZoneChange('a', in_service=True)
        outcome = (await executor.execute(change, 'ana', 'x')).outcome
        assert outcome == Unchanged(1)
        assert client.calls['CompareAndSwap'] == 0

    run_in_virtual_time(scenario())


def test_two_operators_submit_on_the_same_generation():
    """Guards against a submission that overwrites one it does not know.

    Two operators submit on the same generation; the second one must conflict.
    """

    async def scenario():
        store = await _store_with_configuration()
        log = admin_region.RecordingLog()
        client = FakeKeyValueClient(store)
        executor = admin_region.make_executor(client, log)
        submitted = SubmitChange(admin_region.encode(MORE_SLOTS), 1)
        first = await executor.execute(submitted, 'ana', 'x')
        second = await executor.execute(submitted, 'ildiko', 'y')
        assert first.outcome == Accepted(2)
        assert second.outcome == Conflict(1, 2)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ('change', 'expected'), list(CHANGES.values())[1:], ids=list(CHANGES)[1:]
)
def test_no_change_is_based_on_a_restored_older_configuration(change, expected):
    """Guards against a generation that is accepted twice, and a lost change."""

    async def scenario():
        store = await _store_with_configuration()
        client = FakeKeyValueClient(store)
        now_s = asyncio.get_running_loop().time
        region = admin_region.REGION
        first = admin_region.make_executor(client, admin_region.RecordingLog())
        await asyncio.sleep(5)
        lost = await first.execute(CHANGES['submit'][0], 'ana', 'lost')
        assert lost.outcome == Accepted(2)
        head = await client.get(head_key(region))
        sections: dict[bytes, bytes] = {}
        await fetch_sections(client, decode_head(region, head), sections)
        accepted = AcceptedHead(2, head.value, sections)
        store.restore(1, now_s())
        executor = ChangeExecutor(
            region,
            lambda: client,
            admin_region.RecordingLog(),
            accepted=lambda: accepted,
        )
        result = await executor.execute(change, 'ildiko', 'x')
        assert result.outcome == Accepted(3)
        running = await read_stored_configuration(client, region)
        slots = {
            each.name: each.slots
            for service in running.configuration.services
            for each in service.targets
        }
        assert slots['desk-1'] == 9
        assert [zone.in_service for zone in running.configuration.zones] == [
            zone.in_service for zone in expected.zones
        ]

    run_in_virtual_time(scenario())
