"""Event loop in virtual time: waiting costs no time and is reproducible."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = ('VirtualTimeLoop', 'run_virtual')

#: Time that an iteration of the loop takes. Timers fire up to the resolution
#: of the clock early, so a task that waits for less than this would repeat
#: without an end if the time stood still.
ITERATION_S: Final = 1e-9

_Result = TypeVar('_Result')


class _VirtualSelector(selectors.SelectSelector):
    """Advances the time instead of waiting."""

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
            raise RuntimeError('every task waits without a time limit')
        self.now_s += max(timeout, ITERATION_S)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock starts at 0 and jumps to the next timer.

    For tests whose tasks wait for timers only, not for sockets.
    """

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


def run_virtual(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end in virtual time.

    Parameters
    ----------
    main : coroutine
        Coroutine to run.

    Returns
    -------
    object
        Result of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
