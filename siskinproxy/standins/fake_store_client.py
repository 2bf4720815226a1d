"""Client that calls a `MemoryStore` directly, with planned faults."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Literal, TypeAlias

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRateLimitError,
    StoreUnavailableError,
    StoreValueSizeError,
)
from siskinproxy.standins.memory_store import WRITE_CALLS, MemoryStore
from siskinproxy.standins.store_watch import wait_for_change
from siskinproxy.store.client import KeyValue

__all__ = ('FakeKeyValueClient', 'PlannedFault')

_Execute: TypeAlias = Callable[[], Any]

# Faults of one call:
# unavailable: the call is not executed;
# rate_limit: the store rejects the call;
# lost_request: the request is lost after it was sent;
# lost_answer: the call is executed and its answer is lost;
# late: the answer is lost and the call is executed after ``late_s``.
PlannedFault: TypeAlias = Literal[
    'unavailable',
    'rate_limit',
    'lost_request',
    'lost_answer',
    'late',
]


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class FakeKeyValueClient:
    """Client that calls a `MemoryStore` directly, for tests.

    Parameters
    ----------
    store : MemoryStore
        Store to call.
    name : str
        Name of the client, for ``Faults.cut_clients``.
    clock : callable, optional
        Returns the current time in seconds; the event loop's time by default.
    sleep : callable
        Coroutine function that waits for some seconds.
    plan : mapping of int to str
        Faults by the number of the call, starting at 0.
    late_s : float
        Delay of a call with the fault ``late``.

    Attributes
    ----------
    calls : Counter of str
        Number of calls by kind.
    log : list of tuple of str
        Kind and key of each call.
    """

    def __init__(
        self,
        store: MemoryStore,
        name: str = '',
        clock: Callable[[], float] | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        plan: Mapping[int, PlannedFault] | None = None,
        late_s: float = 5,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self.log: list[tuple[str, str]] = []
        self._store = store
        self._name = name
        self._clock = clock or _loop_time
        self._sleep = sleep
        self._plan = dict(plan or {})
        self._late_s = late_s
        self._late: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; present for parity with `GrpcKeyValueClient`."""

    async def close(self) -> None:
        """Do nothing; present for parity with `GrpcKeyValueClient`."""

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key, `ABSENT` if there is none."""
        return await self._call(
            'Get', key, lambda: self._store.get(key, self._clock())
        )

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        lease_id: int = 0,
    ) -> KeyValue:
        """Write a value if the key has the expected version."""
        return await self._call(
            'CompareAndSwap',
            key,
            lambda: self._store.compare_and_swap(
                key, value, expected_version, lease_id, self._clock()
            ),
        )

    async def list(self, prefix: str) -> tuple[tuple[str, KeyValue], ...]:
        """Return all keys with a prefix and their values, sorted by key."""
        return await self._call(
            'List', prefix, lambda: self._store.list(prefix, self._clock())
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that lasts for some seconds."""
        return await self._call(
            'GrantLease',
            '',
            lambda: self._store.grant_lease(ttl_s, self._clock()),
        )

    async def keep_alive(self, lease_id: int) -> None:
        """Restart the duration of a lease."""
        await self._call(
            'KeepAlive',
            str(lease_id),
            lambda: self._store.keep_alive(lease_id, self._clock()),
        )

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove all of its keys."""
        await self._call(
            'RevokeLease',
            str(lease_id),
            lambda: self._store.revoke_lease(lease_id, self._clock()),
        )

    async def watch(
        self,
        key: str,
        after_version: int,
        timeout_s: float,
    ) -> KeyValue:
        """Wait until a key has another version than the given one."""
        # Checks and counts the call; the store is looked at below.
        await self._call('Watch', key, lambda: None)
        return await wait_for_change(
            self._store,
            key,
            after_version,
            timeout_s,
            self._clock,
            self._check_reachable,
        )

    def _check_reachable(self) -> None:
        faults = self._store.faults
        if faults.outage or self._name in faults.cut_clients:
            raise StoreUnavailableError('reason="planned outage"')

    async def _run_late(self, execute: _Execute) -> None:
        await asyncio.sleep(self._late_s)
        self._run_unheard(execute)

    def _run_unheard(self, execute: _Execute) -> None:
        """Execute a call whose caller does not hear the result."""
        try:
            execute()
        except (StoreConflictError, LeaseLostError, StoreValueSizeError):
            return

    async def _call(
        self,
        kind: str,
        key: str,
        execute: _Execute,
    ) -> Any:
        number = len(self.log)
        self.calls[kind] += 1
        self.log.append((kind, key))
        # Other tasks run here, as they do during a call over the network.
        await self._sleep(self._store.faults.latency_s)
        fault = self._plan.get(number)
        self._check_reachable()
        if fault == 'unavailable':
            raise StoreUnavailableError('reason="planned fault"')
        if fault == 'rate_limit':
            raise StoreRateLimitError('reason="planned fault"')
        self._store.admit(kind, self._clock())
        lost = kind in WRITE_CALLS and self._store.faults.take_lost_answer()
        if lost or fault is not None:
            self._lose(kind, execute, fault)
        return execute()

    def _lose(
        self,
        kind: str,
        execute: _Execute,
        fault: PlannedFault | None,
    ) -> None:
        if fault == 'late':
            late = asyncio.create_task(self._run_late(execute))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
        elif fault != 'lost_request':
            self._run_unheard(execute)
        if kind in WRITE_CALLS:
            raise StoreOutcomeUnknownError('reason="planned fault"')
        raise StoreUnavailableError('reason="planned fault"')
