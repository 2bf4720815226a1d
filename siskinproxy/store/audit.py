"""Audit trail of accepted changes, kept in the store.

The head holds the entry of the last change, so a commit writes the change and
its entry atomically. Afterwards the entry is copied to its own key. If that
copy fails, the next reader of the trail or the next commit writes it; a commit
does so before it replaces the head, which holds the only other copy.
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
    'PRUNE_INTERVAL_GENERATIONS',
    'prune_audit',
    'read_audit',
    'read_audit_entry',
    'store_audit_entry',
)

#: Number of newest entries that pruning keeps.
MAX_AUDIT_ENTRIES: Final = 1000

#: Old entries are pruned when the generation is a multiple of this number, not
#: with each commit, since pruning costs one call for the list and two for the
#: lease.
PRUNE_INTERVAL_GENERATIONS: Final = 25

#: Lifetime of the lease that pruned keys are attached to. If the process stops
#: before it revokes the lease, the store removes the keys when it expires.
_PRUNE_LEASE_TTL_S: Final = 30

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(AuditEntry)


async def store_audit_entry(
    client: KeyValueClient,
    region: str,
    entry: AuditEntry | None,
) -> None:
    """Write an audit entry under its own key unless the key exists.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the trail.
    entry : AuditEntry or None
        Entry of an accepted change; with None the call does nothing.

    Raises
    ------
    StoreError
        The entry may not have been written. The call may be repeated.
    """
    if entry is None:
        return
    key = audit_key(region, entry.generation)
    try:
        await client.compare_and_swap(key, _encoder.encode(entry), 0)
    except StoreConflictError:
        # Entries are immutable, so the existing value is the same entry.
        return


async def read_audit_entry(
    client: KeyValueClient,
    region: str,
    generation: int,
) -> AuditEntry | None:
    """Return the audit entry of a generation, None if it is absent.

    An entry is absent if it has been pruned, or not yet copied from the head.
    One that cannot be decoded raises `StoreDataError`.
    """
    key = audit_key(region, generation)
    return _decode_entry(key, await client.get(key))


async def read_audit(
    client: KeyValueClient,
    region: str,
    limit: int = MAX_AUDIT_ENTRIES,
) -> tuple[AuditEntry, ...]:
    """Read the audit trail, and write its last entry if that is missing.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the trail.
    limit : int
        Largest number of entries to return.

    Returns
    -------
    tuple of AuditEntry
        Entries sorted by generation, the newest first.

    Raises
    ------
    StoreUnavailableError
        The trail could not be read.
    StoreRateLimitError
        The trail could not be read, since the rate limit is exceeded.
    StoreDataError
        The head or an entry cannot be decoded.
    """
    head = decode_head(region, await client.get(head_key(region)))
    stored = await client.list(audit_prefix(region))
    decoded = [_decode_entry(key, found) for key, found in stored]
    entries = {
        entry.generation: entry for entry in decoded if entry is not None
    }
    if head.audit is not None and head.generation not in entries:
        entries[head.generation] = head.audit
        await _store_missing_entry(client, head)
    newest = sorted(entries, reverse=True)[:limit]
    return tuple(entries[generation] for generation in newest)


async def prune_audit(
    client: KeyValueClient,
    region: str,
    newest_generation: int,
) -> int:
    """Remove all but the newest `MAX_AUDIT_ENTRIES` entries.

    The store has no call that deletes a key. The keys are therefore attached
    to a new lease, and revoking the lease removes them.

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
        Number of entries that were found in excess.

    Raises
    ------
    StoreError
        A call failed. Entries that are already attached to the lease end with
        it; a later pruning finds the others.
    """
    last = audit_key(region, max(newest_generation - MAX_AUDIT_ENTRIES, 0))
    stored = await client.list(audit_prefix(region))
    excess = [(key, found.version) for key, found in stored if key <= last]
    if not excess:
        return 0
    lease_id = await client.grant_lease(_PRUNE_LEASE_TTL_S)
    await run_all(
        _attach_to_lease(client, key, version, lease_id)
        for key, version in excess
    )
    await client.revoke_lease(lease_id)
    return len(excess)


async def _attach_to_lease(
    client: KeyValueClient,
    key: str,
    version: int,
    lease_id: int,
) -> None:
    """Replace an entry by an empty value that ends with the lease."""
    try:
        await client.compare_and_swap(key, b'', version, lease_id)
    except (StoreConflictError, LeaseLostError):
        # Another instance is pruning the same entries, or the lease expired.
        return


async def _store_missing_entry(client: KeyValueClient, head: Head) -> None:
    """Copy the last entry from the head; errors of the store are ignored."""
    try:
        await store_audit_entry(client, head.region, head.audit)
    except StoreError:
        # The head still holds the entry. The next commit writes it before it
        # replaces the head.
        return


def _decode_entry(key: str, stored: KeyValue) -> AuditEntry | None:
    """Decode an entry; None if the key is absent or is being pruned."""
    if not stored.value:
        return None
    try:
        return _decoder.decode(stored.value)
    except msgspec.DecodeError as exc:
        raise StoreDataError(key, str(exc)) from exc
