"""Waiting for a change of a key of the stand-in store."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Final

from siskinproxy.standins.memory_store import MemoryStore
from siskinproxy.store.client import KeyValue

__all__ = ('wait_for_change',)

#: A waiting watch looks at its key at least this often, since expired leases
#: and switched faults do not wake it.
MAX_WAIT_S: Final = 0.5


async def wait_for_change(
    store: MemoryStore,
    key: str,
    after_version: int,
    timeout_s: float,
    clock: Callable[[], float],
    on_wake: Callable[[], None] | None = None,
) -> KeyValue:
    """Wait until a key has another version than the given one.

    Parameters
    ----------
    store : MemoryStore
        Store to watch.
    key : str
        Key to watch.
    after_version : int
        Version that the caller knows.
    timeout_s : float
        Time after which the present value is returned.
    clock : callable
        Returns the current time in seconds.
    on_wake : callable, optional
        Called before each look; may raise an error to end the watch.

    Returns
    -------
    KeyValue
        Present value of the key.
    """
    end_s = clock() + timeout_s
    with _subscribed(store) as changed:
        while True:
            changed.clear()
            if on_wake is not None:
                on_wake()
            found = store.get(key, clock())
            left_s = end_s - clock()
            if found.version != after_version or left_s <= 0:
                return found
            with contextlib.suppress(asyncio.TimeoutError):
                wait_s = min(left_s, MAX_WAIT_S)
                await asyncio.wait_for(changed.wait(), wait_s)


@contextlib.contextmanager
def _subscribed(store: MemoryStore) -> Iterator[asyncio.Event]:
    changed = asyncio.Event()
    with contextlib.ExitStack() as stack:
        stack.callback(store.unsubscribe, changed.set)
        store.subscribe(changed.set)
        yield changed
