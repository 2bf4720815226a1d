"""Event queue with virtual time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ('VirtualClock',)


#: Time in seconds, order among calls at equal times, action, its arguments.
_Call = tuple[float, int, Callable[..., None], Any]


class VirtualClock:
    """Runs scheduled calls in the order of their time.

    Calls at the same time run in the order in which they were scheduled.

    Attributes
    ----------
    now_s : float
        Current virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now_s: float = 0
        self._calls: list[_Call] = []
        self._call_numbers = itertools.count()

    def call_at(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a call at a time, or at once if the time is past."""
        due_s = max(time_s, self.now_s)
        number = next(self._call_numbers)
        heapq.heappush(self._calls, (due_s, number, action, arguments))

    def call_after(
        self, delay_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a call after a delay in seconds."""
        self.call_at(self.now_s + delay_s, action, *arguments)

    def run_until(self, end_s: float) -> None:
        """Run all calls that are due by a time, and set the clock to it."""
        while self._calls and self._calls[0][0] <= end_s:
            due_s, _, action, arguments = heapq.heappop(self._calls)
            self.now_s = due_s
            action(*arguments)
        self.now_s = end_s
