"""Audit trail of accepted changes, kept in the store.

The head holds the entry of the last change, so a commit writes the change and
its entry at once. The entry is copied to a key of its own afterwards; if that
did not happen, the next reader or writer does it, before the head is replaced.
"""

from typing import Final

import msgspec

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreDataError,
    StoreError,
)
from siskinproxy.store.client import KeyValue, KeyValueClient
from siskinproxy.store.concurrency import run_all
from siskinproxy.store.head import (
    AuditEntry,
    Head,
    audit_key,
    audit_prefix,
    decode_head,
    head_key,
)

__all__ = (
    'MAX_AUDIT_ENTRIES',
    'PRUNE_INTERVAL',
    'prune_audit',
    'read_audit',
    'read_entry',
    'store_entry',
)

#: Entries that the trail keeps.
MAX_AUDIT_ENTRIES: Final = 1000

#: Old entries are removed once in this many generations, since removing costs
#: two calls for the lease and one for the list.
PRUNE_INTERVAL: Final = 25

#: Removed keys disappear with this lease even if their remover stops halfway.
_PRUNE_LEASE_S: Final = 30

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AuditEntry)


async def store_entry(
    client: KeyValueClient,
    region: str,
    entry: AuditEntry | None,
) -> None:
    """Write an entry under its own key unless it is there already.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the trail.
    entry : AuditEntry or None
        Entry of an accepted change; None does nothing.

    Raises
    ------
    StoreError
        The entry may be missing. Calling again is safe.
    """
    if entry is None:
        return
    key = audit_key(region, entry.generation)
    try:
        await client.compare_and_swap(key, _encoder.encode(entry), 0)
    except StoreConflictError:
        # Entries never change: the present value is this entry.
        return


async def read_entry(
    client: KeyValueClient,
    region: str,
    generation: int,
) -> AuditEntry | None:
    """Return the entry of a generation, None if the trail lacks it."""
    key = audit_key(region, generation)
    return _decode(key, await client.get(key))


async def read_audit(
    client: KeyValueClient,
    region: str,
    limit: int = MAX_AUDIT_ENTRIES,
) -> tuple[AuditEntry, ...]:
    """Read the audit trail and repair it if the last entry is missing.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the trail.
    limit : int
        Largest number of entries.

    Returns
    -------
    tuple of AuditEntry
        Entries sorted by generation, the newest first.

    Raises
    ------
    StoreUnavailableError
        The trail could not be read.
    StoreDataError
        The head or an entry cannot be decoded.
    """
    head = decode_head(region, await client.get(head_key(region)))
    stored = await client.list(audit_prefix(region))
    decoded = [_decode(key, found) for key, found in stored]
    entries = {
        entry.generation: entry for entry in decoded if entry is not None
    }
    if head.audit is not None and head.generation not in entries:
        entries[head.generation] = head.audit
        await _repair(client, head)
    newest = sorted(entries, reverse=True)[:limit]
    return tuple(entries[generation] for generation in newest)


async def prune_audit(
    client: KeyValueClient,
    region: str,
    newest_generation: int,
) -> int:
    """Remove the entries that exceed the bound of the trail.

    The store has no call that removes a key, so the keys are attached to a
    lease, which is then revoked.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the trail.
    newest_generation : int
        Generation of the newest entry.

    Returns
    -------
    int
        Number of removed entries.
    """
    last = audit_key(region, max(newest_generation - MAX_AUDIT_ENTRIES, 0))
    stored = await client.list(audit_prefix(region))
    excess = [(key, found.version) for key, found in stored if key <= last]
    if not excess:
        return 0
    lease_id = await client.grant_lease(_PRUNE_LEASE_S)
    await run_all(
        _attach(client, key, version, lease_id) for key, version in excess
    )
    await client.revoke_lease(lease_id)
    return len(excess)


async def _attach(
    client: KeyValueClient,
    key: str,
    version: int,
    lease_id: int,
) -> None:
    try:
        await client.compare_and_swap(key, b'', version, lease_id)
    except (StoreConflictError, LeaseLostError):
        # Another instance is removing the same entries.
        return


async def _repair(client: KeyValueClient, head: Head) -> None:
    try:
        await store_entry(client, head.region, head.audit)
    except StoreError:
        # The head still holds the entry, and the next commit writes it first.
        return


def _decode(key: str, stored: KeyValue) -> AuditEntry | None:
    if not stored.value:
        return None
    try:
        return _decoder.decode(stored.value)
    except msgspec.DecodeError as exc:
        raise StoreDataError(key, str(exc)) from exc
