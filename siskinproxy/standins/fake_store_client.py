"""Store client for tests: calls a `MemoryStore` in the same process.

It has the methods of `GrpcKeyValueClient`. Tests inject faults into single
calls by the number of the call.
"""

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

__all__ = ('FakeKeyValueClient', 'InjectedFault')

_Execute: TypeAlias = Callable[[], Any]

# Faults of one call:
# unavailable: the store can't be reached, the call is not executed;
# rate_limit: the store rejects the call, it is not executed;
# lost_request: the request is lost on its way, the call is not executed;
# lost_answer: the call is executed, but its answer is lost;
# late: the call is executed after ``late_s``, and its answer is lost.
# With the last three the caller of a write can't tell whether it was executed.
InjectedFault: TypeAlias = Literal[
    'unavailable',
    'rate_limit',
    'lost_request',
    'lost_answer',
    'late',
]


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class FakeKeyValueClient:
    """Client that calls a `MemoryStore` in the same process, for tests.

    Besides the faults in ``fault_by_call``, the faults of the store apply, such as an
    outage. The methods raise errors of the same classes as those of
    `GrpcKeyValueClient`.

    Parameters
    ----------
    store : MemoryStore
        Store to call.
    name : str
        Name of the client; calls fail while ``Faults.cut_clients`` has it.
    clock : callable, optional
        Returns the current time in seconds; the event loop's time by default.
    sleep : callable
        Coroutine function that waits for a number of seconds; it is called
        before each call, with ``Faults.latency_s``.
    fault_by_call : mapping of int to str
        Fault of a call by the number of the call, which starts at 0 and
        counts calls of all kinds.
    late_s : float
        Delay of the execution of a call with the fault ``late``, in seconds.

    Attributes
    ----------
    calls : Counter of str
        Number of calls by kind.
    log : list of tuple of str
        Kind and key of each call; the lease id or an empty string if the
        call has no key.
    """

    def __init__(
        self,
        store: MemoryStore,
        name: str = '',
        clock: Callable[[], float] | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        fault_by_call: Mapping[int, InjectedFault] | None = None,
        late_s: float = 5,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self.log: list[tuple[str, str]] = []
        self._store = store
        self._name = name
        self._clock = clock or _loop_time
        self._sleep = sleep
        self._fault_by_call = dict(fault_by_call or {})
        self._late_s = late_s
        self._late_calls: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; `GrpcKeyValueClient` has this method."""

    async def close(self) -> None:
        """Do nothing; `GrpcKeyValueClient` has this method."""

    async def get(self, key: str) -> KeyValue:
        """Return the value of a key, `ABSENT` if the key does not exist."""
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
        """Write a value if the key has the expected version, 0 if absent."""
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
        """Return the id of a new lease that expires after ``ttl_s`` seconds."""
        return await self._call(
            'GrantLease',
            '',
            lambda: self._store.grant_lease(ttl_s, self._clock()),
        )

    async def keep_alive(self, lease_id: int) -> None:
        """Renew a lease for its full duration."""
        await self._call(
            'KeepAlive',
            str(lease_id),
            lambda: self._store.keep_alive(lease_id, self._clock()),
        )

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and remove the keys that were written with it."""
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
        """Wait until a key has another version than the given one.

        Returns the present value after ``timeout_s`` seconds at the latest.
        """
        # Counts the call and applies the faults; the wait follows below.
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
            raise StoreUnavailableError(
                'reason="simulated outage of the store or of the connection"'
            )

    async def _execute_late(self, execute: _Execute) -> None:
        await asyncio.sleep(self._late_s)
        self._execute_without_answer(execute)

    def _execute_without_answer(self, execute: _Execute) -> None:
        """Execute a call whose caller gets neither result nor error."""
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
        """Count a call, apply the faults, and execute it unless one prevents it.

        A fault other than latency raises an error, also if the call is executed.
        """
        number = len(self.log)
        self.calls[kind] += 1
        self.log.append((kind, key))
        # Lets other tasks run, as they do during a call over the network.
        await self._sleep(self._store.faults.latency_s)
        fault = self._fault_by_call.get(number)
        self._check_reachable()
        if fault == 'unavailable':
            raise StoreUnavailableError('reason="injected unavailability"')
        if fault == 'rate_limit':
            raise StoreRateLimitError('reason="injected rate limit"')
        self._store.admit(kind, self._clock())
        lost = kind in WRITE_CALLS and self._store.faults.take_lost_answer()
        if lost or fault is not None:
            self._fail_call(kind, execute, fault)
        return execute()

    def _fail_call(
        self,
        kind: str,
        execute: _Execute,
        fault: InjectedFault | None,
    ) -> None:
        """Execute a call or not, as its fault says, and raise an error."""
        if fault == 'late':
            late = asyncio.create_task(self._execute_late(execute))
            self._late_calls.add(late)
            late.add_done_callback(self._late_calls.discard)
        elif fault != 'lost_request':
            self._execute_without_answer(execute)
        if kind in WRITE_CALLS:
            raise StoreOutcomeUnknownError('reason="injected loss of a call"')
        raise StoreUnavailableError('reason="injected loss of a call"')
