"""Virtual time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ('VirtualClock',)


#: Time, order among equal times, action and its arguments.
_Call = tuple[float, int, Callable[..., None], Any]


class VirtualClock:
    """Runs calls in the order of their time.

    Attributes
    ----------
    now_s : float
        Current time in seconds.
    """

    def __init__(self) -> None:
        self.now_s: float = 0
        self._calls: list[_Call] = []
        self._numbers = itertools.count()

    def call_at(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Call an action at a time, or now if that is in the past."""
        due_s = max(time_s, self.now_s)
        number = next(self._numbers)
        heapq.heappush(self._calls, (due_s, number, action, arguments))

    def call_after(
        self, delay_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Call an action after a delay."""
        self.call_at(self.now_s + delay_s, action, *arguments)

    def run_until(self, end_s: float) -> None:
        """Run all calls up to a time."""
        while self._calls and self._calls[0][0] <= end_s:
            due_s, _, action, arguments = heapq.heappop(self._calls)
            self.now_s = due_s
            action(*arguments)
        self.now_s = end_s
