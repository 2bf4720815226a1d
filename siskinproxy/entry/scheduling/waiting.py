"""Whether an opening that finds no free target should wait.

An opening that waits helps its caller only if a target becomes free in time.
While demand exceeds the room for longer, a queue would only make callers wait
for their refusal, or serve them too late in the place of others. After an
outage, in contrast, targets become free one after the other, and waiting serves
nearly all: callers that were refused would use up their tries.
"""

from collections import deque
from math import exp
from typing import Final

__all__ = ('WaitPolicy',)

#: Time over which releases are counted, in seconds.
RATE_WINDOW_S: Final = 0.5
#: Time constant of the pressure on a class, in seconds.
PRESSURE_TIME_S: Final = 0.6
#: Pressure from which on demand counts as exceeding the room for longer.
HIGH_PRESSURE: Final = 0.6


class _ClassState:
    """Releases of one class of openings, and how often it finds no target."""

    __slots__ = ('pressure', 'released_s', 'updated_s')

    def __init__(self, now_s: float) -> None:
        self.pressure: float = 0
        self.updated_s = now_s
        self.released_s: deque[float] = deque()

    def update(self, is_blocked: float, now_s: float) -> None:
        elapsed_s = max(now_s - self.updated_s, 0)
        kept = exp(-elapsed_s / PRESSURE_TIME_S)
        self.pressure = is_blocked + kept * (self.pressure - is_blocked)
        self.updated_s = now_s


class WaitPolicy:
    """Predicts whether waiting openings will find a target in time.

    Openings of one class, a priority of a service, compete for the same
    targets. The pressure on a class is a moving average over time of whether
    its openings find no target.
    """

    def __init__(self) -> None:
        self._classes: dict[tuple[str, int], _ClassState] = {}

    def note_arrival(
        self, key: tuple[str, int], now_s: float, *, is_blocked: bool
    ) -> None:
        """Record whether an opening that arrives finds no target."""
        state = self._classes.get(key)
        if state is None:
            if not is_blocked:
                return
            state = _ClassState(now_s)
            self._classes[key] = state
        state.update(is_blocked, now_s)

    def note_released(self, key: tuple[str, int], now_s: float) -> None:
        """Record that a waiting opening has found a target."""
        state = self._classes.get(key)
        if state is not None:
            state.released_s.append(now_s)

    def pressure(self, key: tuple[str, int]) -> float:
        """Return the pressure on a class, from 0 to 1."""
        state = self._classes.get(key)
        return 0.0 if state is None else state.pressure

    def expected_wait_s(
        self, key: tuple[str, int], position: int, now_s: float
    ) -> float:
        """Return how long an opening at a position of its class will wait.

        Parameters
        ----------
        key : tuple of str and int
            Service and priority.
        position : int
            Number of openings of the class up to this one.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Time in seconds; infinite if no target has become free recently.
        """
        state = self._classes.get(key)
        if state is None:
            return 0.0
        released_s = state.released_s
        while released_s and released_s[0] <= now_s - RATE_WINDOW_S:
            released_s.popleft()
        if not released_s:
            return float('inf')
        return position * RATE_WINDOW_S / len(released_s)

    def is_hopeless(
        self,
        key: tuple[str, int],
        position: int,
        latest_s: float,
        now_s: float,
    ) -> bool:
        """Return whether an opening should be refused instead of waiting.

        Parameters
        ----------
        key : tuple of str and int
            Service and priority.
        position : int
            Number of openings of the class up to this one.
        latest_s : float
            Time until which it must be sent for an answer in time, in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether demand exceeds the room for longer, and no target is
            expected in time.
        """
        if self.pressure(key) < HIGH_PRESSURE:
            return False
        return now_s + self.expected_wait_s(key, position, now_s) > latest_s
