"""State of the stand-in store: keys, versions, leases and rate limits.

There are no sockets and no clock; the time is passed in.
"""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Final, Literal

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreRateLimitError,
    StoreValueSizeError,
)
from siskinproxy.store.client import ABSENT, MAX_VALUE_BYTES, KeyValue

__all__ = (
    'INSTANCES_PREFIX',
    'WRITE_CALLS',
    'Faults',
    'MemoryStore',
    'PlatformInstance',
    'StoreLimits',
)

INSTANCES_PREFIX: Final = 'platform/instances/'

#: Methods that count against the limit of writes.
WRITE_CALLS: Final = frozenset(
    ('CompareAndSwap', 'GrantLease', 'KeepAlive', 'RevokeLease'),
)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the platform's store.

    Parameters
    ----------
    writes_per_s : int
        Writes accepted within each second.
    reads_per_s : int
        Reads accepted within each second; a watch counts as one.
    value_bytes : int
        Largest value.
    list_lag_s : float
        Delay of changes to the platform's list of instances.
    """

    writes_per_s: int = 300
    reads_per_s: int = 2000
    value_bytes: int = MAX_VALUE_BYTES
    list_lag_s: float = 0


@dataclass(slots=True)
class Faults:
    """Faults that can be switched while the store runs.

    Parameters
    ----------
    outage : bool
        No call reaches the store.
    latency_s : float
        Delay before each call is executed.
    lost_answers : int
        Number of writes whose answer is lost after they took effect.
    cut_clients : set of str
        Clients whose calls never arrive.
    """

    outage: bool = False
    latency_s: float = 0
    lost_answers: int = 0
    cut_clients: set[str] = field(default_factory=set)

    def take_lost_answer(self) -> bool:
        """Tell whether the answer of the current write is lost."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True


@dataclass(frozen=True, slots=True)
class PlatformInstance:
    """Entry of the platform's list of instances."""

    name: str
    zone: str
    address: str
    packet_port: int
    control_port: int
    state: Literal['live', 'leaving'] = 'live'


@dataclass(slots=True)
class _Entry:
    value: bytes
    version: int
    lease_id: int = 0


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_s: float


class MemoryStore:
    """State of the store: keys with versions, leases and rate limits.

    Parameters
    ----------
    limits : StoreLimits
        Limits that calls have to respect.
    """

    def __init__(self, limits: StoreLimits | None = None) -> None:
        self.limits = limits or StoreLimits()
        self.faults = Faults()
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 0
        self._last_lease_id = 0
        self._window_s = -1
        self._used: Counter[str] = Counter()
        self._pending: list[tuple[float, str, bytes]] = []
        self._listeners: set[Callable[[], None]] = set()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of a key."""
        self._listeners.add(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """End a subscription."""
        self._listeners.discard(listener)

    def admit(self, kind: str, now_s: float) -> None:
        """Count a call against the rate limit.

        Parameters
        ----------
        kind : str
            Name of the method, such as ``CompareAndSwap``.
        now_s : float
            Current time in seconds.

        Raises
        ------
        StoreRateLimitError
            The limit of the current second is exhausted.
        """
        if int(now_s) != self._window_s:
            self._window_s = int(now_s)
            self._used.clear()
        writes = kind in WRITE_CALLS
        group = 'writes' if writes else 'reads'
        limit = self.limits.writes_per_s if writes else self.limits.reads_per_s
        if self._used[group] >= limit:
            raise StoreRateLimitError(f'call={kind} limit={limit}/s')
        self._used[group] += 1

    def get(self, key: str, now_s: float) -> KeyValue:
        """Return the value of a key, `ABSENT` if there is none."""
        self._advance(now_s)
        entry = self._entries.get(key)
        if entry is None:
            return ABSENT
        return KeyValue(entry.value, entry.version)

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        lease_id: int,
        now_s: float,
    ) -> KeyValue:
        """Write a value if the key has the expected version.

        Raises
        ------
        StoreValueSizeError
            The value is too large.
        LeaseLostError
            The lease does not exist any more.
        StoreConflictError
            The key has another version.
        """
        if len(value) > self.limits.value_bytes:
            raise StoreValueSizeError(key, len(value), self.limits.value_bytes)
        found = self.get(key, now_s).version
        self._check_lease(lease_id)
        if found != expected_version:
            raise StoreConflictError(key, expected_version, found)
        self._write(key, value, lease_id)
        return KeyValue(value, self._revision)

    def list(
        self,
        prefix: str,
        now_s: float,
    ) -> tuple[tuple[str, KeyValue], ...]:
        """Return all keys with a prefix and their values, sorted by key."""
        self._advance(now_s)
        return tuple(
            (key, KeyValue(entry.value, entry.version))
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        )

    def grant_lease(self, ttl_s: float, now_s: float) -> int:
        """Return the id of a new lease."""
        self._advance(now_s)
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _Lease(ttl_s, now_s + ttl_s)
        return self._last_lease_id

    def keep_alive(self, lease_id: int, now_s: float) -> None:
        """Restart the duration of a lease.

        Raises
        ------
        LeaseLostError
            The lease expired or was revoked.
        """
        self._advance(now_s)
        self._check_lease(lease_id)
        lease = self._leases[lease_id]
        lease.expires_s = now_s + lease.ttl_s

    def revoke_lease(self, lease_id: int, now_s: float) -> None:
        """End a lease and remove its keys."""
        self._advance(now_s)
        self._check_lease(lease_id)
        self._end_lease(lease_id)

    def put_instance(self, instance: PlatformInstance, now_s: float) -> None:
        """Show an instance in the platform's list after the list lag."""
        value = json.dumps(asdict(instance)).encode()
        key = INSTANCES_PREFIX + instance.name
        self._pending.append((now_s + self.limits.list_lag_s, key, value))

    def remove_instance(self, name: str, now_s: float) -> None:
        """Remove an instance from the platform's list after the list lag."""
        key = INSTANCES_PREFIX + name
        self._pending.append((now_s + self.limits.list_lag_s, key, b''))

    def _check_lease(self, lease_id: int) -> None:
        if lease_id and lease_id not in self._leases:
            raise LeaseLostError(f'lease={lease_id}')

    def _write(self, key: str, value: bytes, lease_id: int = 0) -> None:
        self._entries[key] = _Entry(value, self._revision + 1, lease_id)
        self._notify()

    def _remove(self, key: str) -> None:
        self._entries.pop(key, None)
        self._notify()

    def _notify(self) -> None:
        self._revision += 1
        for listener in tuple(self._listeners):
            listener()

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id)
        owned = [
            key
            for key, entry in self._entries.items()
            if entry.lease_id == lease_id
        ]
        for key in owned:
            self._remove(key)

    def _advance(self, now_s: float) -> None:
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in expired:
            self._end_lease(lease_id)
        due = [change for change in self._pending if change[0] <= now_s]
        for change in due:
            self._pending.remove(change)
            self._apply(change[1], change[2])

    def _apply(self, key: str, value: bytes) -> None:
        if value:
            self._write(key, value)
        else:
            self._remove(key)
