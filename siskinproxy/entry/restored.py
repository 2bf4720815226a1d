"""Entries that a restored store lacks, or holds again after their removal.

When the store is restored from a copy, entries written after the copy are
missing, and entries removed after it are back. Their writers write or remove
them again within seconds. Until then an instance keeps what it knew.
"""

from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import msgspec

from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.records import TargetRecord

__all__ = ('Deadlines', 'RestoreTiming', 'grace_s')


class RestoreTiming(msgspec.Struct, frozen=True):
    """Times for which entries stay as known after a restore, in seconds.

    Parameters
    ----------
    rewrite_s : float
        Time in which operators and targets that live have written again.
    target_silence_s : float
        Time after which the store has removed the entry of a target that does
        not renew it.
    lease_s : float
        Time after which the store has removed the registration of an instance
        that does not renew it.
    """

    rewrite_s: float = 2.5
    target_silence_s: float = 4.6
    lease_s: float = 20.0


@singledispatch
def grace_s(record: Any, timing: RestoreTiming) -> float:
    """Return for how long an entry stays as known before the restore.

    Parameters
    ----------
    record : DecodedRecord or InstanceRecord
        Entry that is missing, or that is back.
    timing : RestoreTiming
        Times for the kinds of entries.

    Returns
    -------
    float
        Seconds since the first list of the restored store.
    """
    return timing.rewrite_s


@grace_s.register
def _target_grace_s(record: TargetRecord, timing: RestoreTiming) -> float:
    return timing.target_silence_s


@grace_s.register
def _instance_grace_s(record: InstanceRecord, timing: RestoreTiming) -> float:
    return timing.lease_s


class Deadlines:
    """Keys with the time at which the state of the store counts again."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}

    def __contains__(self, key: str) -> bool:
        """Return whether a key has a deadline."""
        return key in self._due_s

    def __len__(self) -> int:
        """Return the number of keys that have a deadline."""
        return len(self._due_s)

    def set(self, key: str, due_s: float) -> None:
        """Set the deadline of a key, in seconds."""
        self._due_s[key] = due_s

    def cancel(self, key: str) -> None:
        """Remove the deadline of a key, if it has one."""
        self._due_s.pop(key, None)

    def take_due(self, now_s: float) -> Iterator[str]:
        """Yield the keys whose deadline has passed, and remove them."""
        for key, due_s in tuple(self._due_s.items()):
            if due_s <= now_s:
                del self._due_s[key]
                yield key
