"""Event loop in virtual time, for fast and reproducible tests.

The clock of the loop jumps to the next timer instead of waiting for it.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = ('VirtualTimeLoop', 'run_in_virtual_time')

#: Minimum step of the clock. The loop runs timers up to the resolution of the
#: clock early, so a task that waits for less than that would repeat forever if
#: the clock did not move.
MIN_ADVANCE_S: Final = 1e-9

_Result = TypeVar('_Result')


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        events = super().select(0)
        if events:
            return events
        if timeout is None:
            raise RuntimeError(
                'event loop in virtual time: all tasks are blocked'
                ' and no timer is pending'
            )
        self.now_s += max(timeout, MIN_ADVANCE_S)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock starts at 0 and jumps to the next timer.

    It is for tests whose tasks wait only for timers and for each other, not
    for sockets or threads.
    """

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_in_virtual_time(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end in a new `VirtualTimeLoop`.

    Parameters
    ----------
    main : coroutine
        Coroutine to run.

    Returns
    -------
    object
        Result of the coroutine.

    Raises
    ------
    RuntimeError
        If all tasks are blocked and no timer is pending.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
