"""Audit trail: content, repair after a failed copy, and pruning."""

import pytest

from siskinproxy.errors import StoreDataError, StoreUnavailableError
from siskinproxy.standins.store import (
    FakeKeyValueClient,
    MemoryStore,
    StoreLimits,
)
from siskinproxy.standins.virtual_time import run_in_virtual_time
from siskinproxy.store import Accepted, AuditEntry, read_audit, submit
from siskinproxy.store import audit as audits
from siskinproxy.store.head import audit_key, audit_prefix
from siskinproxy.store.tests.configurations import (
    REGION,
    ZONES_WITHOUT_C,
    make_configuration,
)

#: Number, counted from 0, of the call in the second change of one service that
#: copies the change's own audit entry; it is the last call.
OWN_ENTRY_CALL = 7


def submit_change(client, base, **changes):
    """Submit a configuration that differs for each base generation."""
    cfg = make_configuration(slots=base + 4, **changes)
    return submit(client, REGION, cfg, base, f's{base}', 'bela', 1000 + base)


def unlimited_store():
    """Return a store whose rate limits no test reaches."""
    return MemoryStore(StoreLimits(writes_per_s=10**6, reads_per_s=10**6))


def entry_keys(store):
    return [key for key, _found in store.list(audit_prefix(REGION), 0)]


def test_entry_tells_who_when_and_what():
    """Guards against an audit entry that lacks the operator, time or change.

    Operators read the trail to find out who changed what, and when.
    """

    async def scenario():
        client = FakeKeyValueClient(unlimited_store())
        await submit_change(client, 0)
        await submit_change(client, 1, zones=ZONES_WITHOUT_C)
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

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('repairer', ['reader', 'writer'])
def test_missing_entry_is_repaired(repairer):
    """Guards against the loss of an entry whose copy to its own key failed.

    The next commit replaces the head, which holds the only other copy.
    """

    async def scenario():
        store = unlimited_store()
        client = FakeKeyValueClient(store)
        await submit_change(client, 0)
        failing = FakeKeyValueClient(
            store, fault_by_call={OWN_ENTRY_CALL: 'lost_request'}
        )
        assert await submit_change(failing, 1) == Accepted(2)
        assert entry_keys(store) == [audit_key(REGION, 1)]
        if repairer == 'reader':
            trail = await read_audit(client, REGION)
            assert [item.generation for item in trail] == [2, 1]
            assert len(entry_keys(store)) == 2
        await submit_change(client, 2)
        trail = await read_audit(client, REGION)
        assert [item.submission_id for item in trail] == ['s2', 's1', 's0']

    run_in_virtual_time(scenario())


def test_reader_shows_an_entry_that_it_cannot_repair():
    """Guards against a trail that omits the last change while writes fail.

    The entry is in the head only, and the reader's attempt to copy it fails.
    """

    async def scenario():
        store = unlimited_store()
        # Calls of the first change: 0 reads the head, 1 to 3 write sections, 4
        # replaces the head, 5 copies the audit entry.
        await submit_change(
            FakeKeyValueClient(store, fault_by_call={5: 'lost_request'}), 0
        )
        assert entry_keys(store) == []
        # Call 2 of the reader, after the head and the list, copies the entry.
        client = FakeKeyValueClient(store, fault_by_call={2: 'unavailable'})
        trail = await read_audit(client, REGION)
        assert [item.submission_id for item in trail] == ['s0']
        assert entry_keys(store) == []

    run_in_virtual_time(scenario())


def test_unreadable_trail_has_a_typed_error():
    """Guards against an empty or partial trail that looks complete.

    The store is unavailable, or an entry in it cannot be decoded.
    """

    async def scenario():
        store = unlimited_store()
        client = FakeKeyValueClient(store)
        store.faults.outage = True
        with pytest.raises(StoreUnavailableError):
            await read_audit(client, REGION)
        store.faults.outage = False
        store.compare_and_swap(audit_key(REGION, 1), b'{', 0, 0, 0)
        with pytest.raises(StoreDataError):
            await read_audit(client, REGION)

    run_in_virtual_time(scenario())


def add_entries(store, count):
    """Write the audit entries of the generations 1 to ``count``."""
    for generation in range(1, count + 1):
        value = audits.msgspec.json.encode(
            AuditEntry(generation, generation - 1, 'b', 0, f's{generation}', '')
        )
        key = audit_key(REGION, generation)
        store.compare_and_swap(key, value, 0, 0, 0)


def test_trail_is_bounded():
    """Guards against pruning that keeps too many or too few entries."""

    async def scenario():
        store = unlimited_store()
        add_entries(store, 1030)
        client = FakeKeyValueClient(store)
        assert await audits.prune_audit(client, REGION, 1030) == 30
        keys = entry_keys(store)
        assert len(keys) == audits.MAX_AUDIT_ENTRIES
        assert keys[0] == audit_key(REGION, 31)
        assert await audits.prune_audit(client, REGION, 1030) == 0
        trail = await read_audit(client, REGION)
        assert len(trail) == 1000

    run_in_virtual_time(scenario())


@pytest.mark.parametrize('call', range(8))
@pytest.mark.parametrize('fault', ['unavailable', 'lost_answer'])
def test_interrupted_pruning_loses_no_recent_entry(call, fault):
    """Guards against pruning that removes too much or blocks later pruning.

    One call of the pruning fails, or its response is lost: call 0 lists the
    entries, 1 grants the lease, 2 to 6 attach five entries, 7 revokes it.
    """

    async def scenario():
        store = unlimited_store()
        add_entries(store, 1005)
        client = FakeKeyValueClient(store, fault_by_call={call: fault})
        try:
            await audits.prune_audit(client, REGION, 1005)
        except audits.StoreError:
            pass
        assert await audits.prune_audit(
            FakeKeyValueClient(store), REGION, 1005
        ) in {0, 1, 5}
        trail = await read_audit(FakeKeyValueClient(store), REGION)
        assert [item.generation for item in trail] == list(range(1005, 5, -1))

    run_in_virtual_time(scenario())


def test_commits_prune_the_trail():
    """Guards against a trail that keeps growing because no commit prunes it."""

    async def scenario():
        store = unlimited_store()
        client = FakeKeyValueClient(store)
        for base in range(audits.PRUNE_INTERVAL_GENERATIONS):
            await submit_change(client, base)
        assert client.calls['List'] == 1

    run_in_virtual_time(scenario())
