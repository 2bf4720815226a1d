"""Repair of a store that was restored from an older copy.

A restore loses accepted changes. Instances still have the configuration that
they accepted, so a reader that finds an older head writes the newer one back.
"""

from collections.abc import Mapping
from typing import NamedTuple

from siskinproxy.errors import StoreConflictError
from siskinproxy.store.client import KeyValue, KeyValueClient
from siskinproxy.store.concurrency import run_all
from siskinproxy.store.head import decode_head, head_key, section_key

__all__ = ('AcceptedHead', 'write_back')


class AcceptedHead(NamedTuple):
    """Head of an accepted configuration, with its sections.

    Parameters
    ----------
    generation : int
        Generation of the head.
    head : bytes
        Encoded head.
    sections : mapping of bytes to bytes
        Encoded sections by digest.
    """

    generation: int
    head: bytes
    sections: Mapping[bytes, bytes]


async def write_back(
    client: KeyValueClient,
    region: str,
    found: KeyValue,
    accepted: AcceptedHead | None,
) -> bool:
    """Write an accepted head back if the store holds an older one.

    Parameters
    ----------
    client : KeyValueClient
        Client of the store.
    region : str
        Region of the configuration.
    found : KeyValue
        Value of the head key.
    accepted : AcceptedHead or None
        Newest head that this instance knows to have been accepted.

    Returns
    -------
    bool
        Whether the store held an older head. It may hold the newer one now, or
        one that another instance wrote meanwhile.

    Raises
    ------
    StoreError
        The store failed.
    """
    generation = decode_head(region, found).generation
    if accepted is None or generation >= accepted.generation:
        return False
    await run_all(
        _write_if_absent(client, section_key(region, digest), encoded)
        for digest, encoded in accepted.sections.items()
    )
    try:
        await client.compare_and_swap(
            head_key(region), accepted.head, found.version
        )
    except StoreConflictError:
        # Another instance was faster; the next read shows what it wrote.
        return True
    return True


async def _write_if_absent(
    client: KeyValueClient, key: str, encoded: bytes
) -> None:
    try:
        await client.compare_and_swap(key, encoded, 0)
    except StoreConflictError:
        # The key is the digest of the value, which therefore is the same.
        return
