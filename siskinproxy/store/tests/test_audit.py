import pytest

from siskinproxy.errors import StoreDataError, StoreUnavailableError
from siskinproxy.standins.store import (
    FakeKeyValueClient,
    MemoryStore,
    StoreLimits,
)
from siskinproxy.standins.virtual_time import run_virtual
from siskinproxy.store import Accepted, AuditEntry, read_audit, submit
from siskinproxy.store import audit as audits
from siskinproxy.store.head import audit_key, audit_prefix
from siskinproxy.store.tests.configurations import (
    REGION,
    ZONES_WITHOUT_C,
    make_configuration,
)

#: Calls of the second change of one service; the last one writes its entry.
OWN_ENTRY_CALL = 7


def send(client, base, **changes):
    cfg = make_configuration(slots=base + 4, **changes)
    return submit(client, REGION, cfg, base, f's{base}', 'bela', 1000 + base)


def fast_store():
    return MemoryStore(StoreLimits(writes_per_s=10**6, reads_per_s=10**6))


def entry_keys(store):
    return [key for key, _found in store.list(audit_prefix(REGION), 0)]


def test_entry_tells_who_when_and_what():
    """Guards against a trail that does not identify a change."""

    async def scenario():
        client = FakeKeyValueClient(fast_store())
        await send(client, 0)
        await send(client, 1, zones=ZONES_WITHOUT_C)
        assert await read_audit(client, REGION) == (
            AuditEntry(
                generation=2,
                base_generation=1,
                operator='bela',
                unix_s=1001,
                submission_id='s1',
                summary=(
                    'zone c changed: now out of service; '
                    'target service-000-0 of service service-000 changed: '
                    'slots 4 to 5; '
                    'target service-000-1 of service service-000 changed: '
                    'slots 4 to 5; '
                    'target service-000-2 of service service-000 changed: '
                    'slots 4 to 5'
                ),
                result='accepted',
            ),
            AuditEntry(1, 0, 'bela', 1000, 's0', 'first configuration'),
        )
        assert len(await read_audit(client, REGION, limit=1)) == 1

    run_virtual(scenario())


@pytest.mark.parametrize('repairer', ['reader', 'writer'])
def test_missing_entry_is_repaired(repairer):
    """Guards against an entry that the next commit overwrites in the head."""

    async def scenario():
        store = fast_store()
        client = FakeKeyValueClient(store)
        await send(client, 0)
        failing = FakeKeyValueClient(
            store, plan={OWN_ENTRY_CALL: 'lost_request'}
        )
        assert await send(failing, 1) == Accepted(2)
        assert entry_keys(store) == [audit_key(REGION, 1)]
        if repairer == 'reader':
            trail = await read_audit(client, REGION)
            assert [item.generation for item in trail] == [2, 1]
            assert len(entry_keys(store)) == 2
        await send(client, 2)
        trail = await read_audit(client, REGION)
        assert [item.submission_id for item in trail] == ['s2', 's1', 's0']

    run_virtual(scenario())


def test_reader_shows_an_entry_that_it_cannot_repair():
    """Guards against a trail that hides the last change during a failure."""

    async def scenario():
        store = fast_store()
        # The first change has no section to read and writes three.
        await send(FakeKeyValueClient(store, plan={5: 'lost_request'}), 0)
        assert entry_keys(store) == []
        client = FakeKeyValueClient(store, plan={2: 'unavailable'})
        trail = await read_audit(client, REGION)
        assert [item.submission_id for item in trail] == ['s0']
        assert entry_keys(store) == []

    run_virtual(scenario())


def test_unreadable_trail_has_a_typed_error():
    """Guards against showing an empty trail during an outage."""

    async def scenario():
        store = fast_store()
        client = FakeKeyValueClient(store)
        store.faults.outage = True
        with pytest.raises(StoreUnavailableError):
            await read_audit(client, REGION)
        store.faults.outage = False
        store.compare_and_swap(audit_key(REGION, 1), b'{', 0, 0, 0)
        with pytest.raises(StoreDataError):
            await read_audit(client, REGION)

    run_virtual(scenario())


def fill(store, count):
    for generation in range(1, count + 1):
        value = audits.msgspec.json.encode(
            AuditEntry(generation, generation - 1, 'b', 0, f's{generation}', '')
        )
        key = audit_key(REGION, generation)
        store.compare_and_swap(key, value, 0, 0, 0)


def test_trail_is_bounded():
    """Guards against a trail that fills the store."""

    async def scenario():
        store = fast_store()
        fill(store, 1030)
        client = FakeKeyValueClient(store)
        assert await audits.prune_audit(client, REGION, 1030) == 30
        keys = entry_keys(store)
        assert len(keys) == audits.MAX_AUDIT_ENTRIES
        assert keys[0] == audit_key(REGION, 31)
        assert await audits.prune_audit(client, REGION, 1030) == 0
        trail = await read_audit(client, REGION)
        assert len(trail) == 1000

    run_virtual(scenario())


@pytest.mark.parametrize('call', range(8))
@pytest.mark.parametrize('fault', ['unavailable', 'lost_answer'])
def test_interrupted_pruning_loses_no_recent_entry(call, fault):
    """Guards against pruning that removes too much or blocks later pruning."""

    async def scenario():
        store = fast_store()
        fill(store, 1005)
        client = FakeKeyValueClient(store, plan={call: fault})
        try:
            await audits.prune_audit(client, REGION, 1005)
        except audits.StoreError:
            pass
        assert await audits.prune_audit(
            FakeKeyValueClient(store), REGION, 1005
        ) in {0, 1, 5}
        trail = await read_audit(FakeKeyValueClient(store), REGION)
        assert [item.generation for item in trail] == list(range(1005, 5, -1))

    run_virtual(scenario())


def test_commits_prune_the_trail():
    """Guards against pruning that is never called."""

    async def scenario():
        store = fast_store()
        client = FakeKeyValueClient(store)
        for base in range(audits.PRUNE_INTERVAL):
            await send(client, base)
        assert client.calls['List'] == 1

    run_virtual(scenario())
