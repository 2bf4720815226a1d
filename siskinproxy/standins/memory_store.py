"""In-memory key-value store that stands in for the platform's store.

It has keys with versions, compare-and-swap, leases, rate limits and the
platform's list of instances. It has no sockets and no clock: callers pass
the current time. `StoreServer` serves it over gRPC, `FakeKeyValueClient`
calls it directly.
"""

import json
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
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

#: Prefix of the keys of the platform's list of instances.
INSTANCES_PREFIX: Final = 'platform/instances/'

#: Earlier states that are kept, one for each write and lease.
_MAX_COPIES: Final = 200

#: Methods that count against the rate limit of writes; all others count
#: against that of reads.
WRITE_CALLS: Final = frozenset(
    ('CompareAndSwap', 'GrantLease', 'KeepAlive', 'RevokeLease'),
)


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the platform's store.

    Parameters
    ----------
    writes_per_s : int
        Writes accepted within each second of the clock.
    reads_per_s : int
        Reads accepted within each second of the clock; a watch counts once.
    value_bytes : int
        Largest size of a value, in bytes.
    list_lag_s : float
        Delay before a change to the platform's list of instances becomes
        visible, in seconds.
    """

    writes_per_s: int = 300
    reads_per_s: int = 2000
    value_bytes: int = MAX_VALUE_BYTES
    list_lag_s: float = 0


@dataclass(slots=True)
class Faults:
    """Faults that can be changed while the store runs.

    Parameters
    ----------
    outage : bool
        Whether the store can't be reached.
    latency_s : float
        Delay before each call is executed, in seconds.
    lost_answers : int
        Number of next writes that take effect but whose answer is lost.
    cut_clients : set of str
        Clients whose calls do not reach the store: names of
        `FakeKeyValueClient`, or whole tokens of calls over gRPC, with ``@``
        and the name of the client if the token has them.
    """

    outage: bool = False
    latency_s: float = 0
    lost_answers: int = 0
    cut_clients: set[str] = field(default_factory=set)

    def take_lost_answer(self) -> bool:
        """Return whether to lose the answer of this write, and count it."""
        if self.lost_answers <= 0:
            return False
        self.lost_answers -= 1
        return True


@dataclass(frozen=True, slots=True)
class PlatformInstance:
    """Entry of the platform's list of instances.

    The store holds it as a JSON object with the names of these parameters.

    Parameters
    ----------
    name : str
        Name of the instance.
    zone : str
        Availability zone.
    address : str
        IPv4 address.
    packet_port : int
        UDP port of the packet process.
    control_port : int
        UDP port of the control process.
    state : str
        ``live``, or ``leaving`` when the platform is about to stop it.
    """

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


@dataclass(frozen=True, slots=True)
class _Copy:
    """State of the store after a change."""

    taken_s: float
    entries: dict[str, _Entry]
    leases: dict[int, _Lease]
    revision: int
    last_lease_id: int


class MemoryStore:
    """Key-value store in memory, with leases and rate limits.

    Each change of a key increments the revision of the store, and the new
    revision is the version of the key. Versions are not used again, except
    after `restore`.

    Parameters
    ----------
    limits : StoreLimits, optional
        Rate limits, size limit and delay of the instance list.

    Attributes
    ----------
    limits : StoreLimits
        Limits in effect.
    faults : Faults
        Faults that the clients and the server of the store apply.
    """

    def __init__(self, limits: StoreLimits | None = None) -> None:
        self.limits = limits or StoreLimits()
        self.faults = Faults()
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._revision = 0
        self._last_lease_id = 0
        self._rate_window_s = -1
        self._calls_in_window: Counter[str] = Counter()
        # Time when the change is visible, key and value; an empty value removes
        # the key.
        self._pending_changes: list[tuple[float, str, bytes]] = []
        self._listeners: set[Callable[[], None]] = set()
        self._copies: deque[_Copy] = deque(maxlen=_MAX_COPIES)
        self._take_copy(0)

    def restore(self, age_s: float, now_s: float) -> None:
        """Return to the state of some seconds ago.

        Later changes are lost, and their versions and lease ids are given out
        again.

        Parameters
        ----------
        age_s : float
            Age of the copy in seconds.
        now_s : float
            Current time in seconds.
        """
        while len(self._copies) > 1 and (
            self._copies[-1].taken_s > now_s - age_s
        ):
            self._copies.pop()
        copy = self._copies[-1]
        self._entries = dict(copy.entries)
        self._leases = {key: replace(each) for key, each in copy.leases.items()}
        self._revision = copy.revision
        self._last_lease_id = copy.last_lease_id

    def _take_copy(self, now_s: float) -> None:
        self._copies.append(
            _Copy(
                now_s,
                dict(self._entries),
                {key: replace(each) for key, each in self._leases.items()},
                self._revision,
                self._last_lease_id,
            )
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a function without arguments after each change of a key."""
        self._listeners.add(listener)

    def unsubscribe(self, listener: Callable[[], None]) -> None:
        """Stop calling a function that was passed to `subscribe`."""
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
            The limit is exhausted until the next second of the clock.
        """
        if int(now_s) != self._rate_window_s:
            self._rate_window_s = int(now_s)
            self._calls_in_window.clear()
        writes = kind in WRITE_CALLS
        group = 'writes' if writes else 'reads'
        limit = self.limits.writes_per_s if writes else self.limits.reads_per_s
        if self._calls_in_window[group] >= limit:
            raise StoreRateLimitError(f'call={kind} limit={limit}/s')
        self._calls_in_window[group] += 1

    def get(self, key: str, now_s: float) -> KeyValue:
        """Return the value of a key, `ABSENT` if the key does not exist."""
        self._apply_due_changes(now_s)
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

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value.
        expected_version : int
            Version that the key must have, 0 for an absent key.
        lease_id : int
            Lease that the key ends with, 0 for none.
        now_s : float
            Current time in seconds.

        Returns
        -------
        KeyValue
            Value with its new version.

        Raises
        ------
        StoreValueSizeError
            The value is larger than the limit.
        LeaseLostError
            The lease expired or was revoked.
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
        self._take_copy(now_s)
        return KeyValue(value, self._revision)

    def list(
        self,
        prefix: str,
        now_s: float,
    ) -> tuple[tuple[str, KeyValue], ...]:
        """Return all keys with a prefix and their values, sorted by key."""
        self._apply_due_changes(now_s)
        return tuple(
            (key, KeyValue(entry.value, entry.version))
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        )

    def grant_lease(self, ttl_s: float, now_s: float) -> int:
        """Return the id of a new lease that expires after ``ttl_s`` seconds."""
        self._apply_due_changes(now_s)
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _Lease(ttl_s, now_s + ttl_s)
        self._take_copy(now_s)
        return self._last_lease_id

    def keep_alive(self, lease_id: int, now_s: float) -> None:
        """Renew a lease for its full duration.

        Raises
        ------
        LeaseLostError
            The lease expired or was revoked.
        """
        self._apply_due_changes(now_s)
        self._check_lease(lease_id)
        lease = self._leases[lease_id]
        lease.expires_s = now_s + lease.ttl_s

    def revoke_lease(self, lease_id: int, now_s: float) -> None:
        """End a lease and remove the keys that were written with it.

        Raises
        ------
        LeaseLostError
            The lease expired or was revoked.
        """
        self._apply_due_changes(now_s)
        self._check_lease(lease_id)
        self._end_lease(lease_id)

    def put_instance(self, instance: PlatformInstance, now_s: float) -> None:
        """Add or replace an entry of the platform's list of instances.

        The change becomes visible after ``list_lag_s``.
        """
        value = json.dumps(asdict(instance)).encode()
        key = INSTANCES_PREFIX + instance.name
        self._pending_changes.append(
            (now_s + self.limits.list_lag_s, key, value)
        )

    def remove_instance(self, name: str, now_s: float) -> None:
        """Remove an entry from the platform's list of instances.

        The change becomes visible after ``list_lag_s``.
        """
        key = INSTANCES_PREFIX + name
        self._pending_changes.append((now_s + self.limits.list_lag_s, key, b''))

    def _check_lease(self, lease_id: int) -> None:
        if lease_id and lease_id not in self._leases:
            raise LeaseLostError(f'lease={lease_id}')

    def _write(self, key: str, value: bytes, lease_id: int = 0) -> None:
        self._entries[key] = _Entry(value, self._revision + 1, lease_id)
        self._publish_change()

    def _remove(self, key: str) -> None:
        self._entries.pop(key, None)
        self._publish_change()

    def _publish_change(self) -> None:
        """Increment the revision and call the subscribed functions."""
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

    def _apply_due_changes(self, now_s: float) -> None:
        """End expired leases and apply due changes of the instance list."""
        expired = [
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_s <= now_s
        ]
        for lease_id in expired:
            self._end_lease(lease_id)
        due = [change for change in self._pending_changes if change[0] <= now_s]
        for change in due:
            self._pending_changes.remove(change)
            self._write_or_remove(change[1], change[2])

    def _write_or_remove(self, key: str, value: bytes) -> None:
        if value:
            self._write(key, value)
        else:
            self._remove(key)
