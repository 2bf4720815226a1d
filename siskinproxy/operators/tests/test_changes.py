import pytest
from msgspec.structs import replace

from siskinproxy.operators import with_target_draining, with_zone_in_service
from siskinproxy.operators.changes import (
    DrainChange,
    SubmitChange,
    Unchanged,
    ZoneChange,
    read_running,
)
from siskinproxy.operators.tests import admin_region, samples
from siskinproxy.standins.store import FakeKeyValueClient, MemoryStore
from siskinproxy.standins.virtual_time import run_virtual
from siskinproxy.store.results import (
    Accepted,
    Conflict,
    OutcomeUnknown,
    Rejected,
)

CFG = samples.CONFIGURATION
FASTER = samples.with_services(
    replace(
        samples.DESK,
        targets=(replace(samples.DESK_1, slots=9), samples.DESK_2),
    ),
    samples.ARCHIVE,
)

CHANGES = {
    'submit': (SubmitChange(admin_region.encode(FASTER), 1), FASTER),
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

#: More calls than any change makes without faults.
CALLS = 18


async def _started():
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
    """Guards against a false outcome and against a change applied twice.

    Whatever fails, a repetition with the same id ends with the change
    accepted once, and a definite result is the true one.
    """

    async def scenario(number):
        store = await _started()
        faulty = FakeKeyValueClient(store, plan={number: fault})
        log = admin_region.RecordingLog()
        executor = admin_region.make_executor(faulty, log, limit_s)
        outcome = (await executor.execute(change, 'ildiko', 'x')).outcome
        client = FakeKeyValueClient(store)
        running = await read_running(client, admin_region.REGION)
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
        running = await read_running(client, admin_region.REGION)
        assert running.head.generation == 2
        assert _is_applied(running, expected)

    for number in range(CALLS):
        run_virtual(scenario(number))


def test_late_write_of_a_command_cannot_apply_twice():
    """Guards against a delayed write that takes effect after a repetition."""

    async def scenario():
        store = await _started()
        change = ZoneChange('b', in_service=False)
        plan = {number: 'late' for number in range(CALLS)}
        slow = FakeKeyValueClient(store, plan=plan)
        log = admin_region.RecordingLog()
        executor = admin_region.make_executor(slow, log, limit_s=0)
        await executor.execute(change, 'ildiko', 'x')
        client = FakeKeyValueClient(store)
        again = admin_region.make_executor(client, log)
        await again.execute(change, 'ildiko', 'x')
        back = ZoneChange('b', in_service=True)
        await again.execute(back, 'ana', 'y')
        # Lets every delayed write of the first attempt happen.
        await executor.execute(change, 'ildiko', 'x')
        running = await read_running(client, admin_region.REGION)
        assert all(zone.in_service for zone in running.configuration.zones)

    run_virtual(scenario())


def test_command_without_configuration_is_refused():
    """Guards against a traceback before the first configuration."""

    async def scenario():
        log = admin_region.RecordingLog()
        client = FakeKeyValueClient(MemoryStore())
        executor = admin_region.make_executor(client, log)
        for change in (ZoneChange('a', False), DrainChange('desk-1', True)):
            outcome = (await executor.execute(change, 'ana', 'x')).outcome
            assert isinstance(outcome, Rejected)
            assert outcome.reason == 'invalid'

    run_virtual(scenario())


def test_command_without_effect_makes_no_generation():
    """Guards against audit entries for commands that changed nothing."""

    async def scenario():
        store = await _started()
        client = FakeKeyValueClient(store)
        log = admin_region.RecordingLog()
        executor = admin_region.make_executor(client, log)
        change = ZoneChange('a', in_service=True)
        outcome = (await executor.execute(change, 'ana', 'x')).outcome
        assert outcome == Unchanged(1)
        assert client.calls['CompareAndSwap'] == 0

    run_virtual(scenario())


def test_two_operators_submit_on_the_same_generation():
    """Guards against the second of two operators undoing the first."""

    async def scenario():
        store = await _started()
        log = admin_region.RecordingLog()
        client = FakeKeyValueClient(store)
        executor = admin_region.make_executor(client, log)
        submitted = SubmitChange(admin_region.encode(FASTER), 1)
        first = await executor.execute(submitted, 'ana', 'x')
        second = await executor.execute(submitted, 'ildiko', 'y')
        assert first.outcome == Accepted(2)
        assert second.outcome == Conflict(1, 2)

    run_virtual(scenario())
