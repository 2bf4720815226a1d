"""Watch calls of the stand-in store: wait until a key changes."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Final

from siskinproxy.standins.memory_store import MemoryStore
from siskinproxy.store.client import KeyValue

__all__ = ('wait_for_change',)

#: Maximum time between two checks of a watched key. Expired leases and changed
#: faults call no subscribed function, so a watch would not notice them.
RECHECK_INTERVAL_S: Final = 0.5


async def wait_for_change(
    store: MemoryStore,
    key: str,
    after_version: int,
    timeout_s: float,
    clock: Callable[[], float],
    before_check: Callable[[], None] | None = None,
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
        Maximum wait in seconds; then the present value is returned.
    clock : callable
        Returns the current time in seconds.
    before_check : callable, optional
        Called before each check of the key; may raise an error to end the
        watch.

    Returns
    -------
    KeyValue
        Present value of the key; its version is ``after_version`` if the
        wait timed out.
    """
    deadline_s = clock() + timeout_s
    with _subscribed(store) as changed:
        while True:
            changed.clear()
            if before_check is not None:
                before_check()
            found = store.get(key, clock())
            remaining_s = deadline_s - clock()
            if found.version != after_version or remaining_s <= 0:
                return found
            with contextlib.suppress(asyncio.TimeoutError):
                wait_s = min(remaining_s, RECHECK_INTERVAL_S)
                await asyncio.wait_for(changed.wait(), wait_s)


@contextlib.contextmanager
def _subscribed(store: MemoryStore) -> Iterator[asyncio.Event]:
    """Provide an event that is set after each change of the store."""
    changed = asyncio.Event()
    with contextlib.ExitStack() as stack:
        stack.callback(store.unsubscribe, changed.set)
        store.subscribe(changed.set)
        yield changed
