"""Whether an opening that finds no free target should wait.

An opening that waits helps its caller only if a target becomes free in time.
While demand exceeds the room for longer, a queue would only make callers wait
for their refusal; they then return too late to be served within their latency
objective. After an outage, in contrast, targets become free one after the
other, and waiting serves nearly all.
"""

from collections import deque
from typing import Final

__all__ = ('WaitPolicy',)

#: Part of the latency objective for which an opening may wait while no target
#: becomes free.
PATIENCE_FRACTION: Final = 0.25
#: Time over which releases are counted, in seconds.
RATE_WINDOW_S: Final = 0.5


class _ClassState:
    """Releases of one class of openings, and since when none was possible."""

    __slots__ = ('blocked_since_s', 'released_s')

    def __init__(self) -> None:
        self.blocked_since_s: float | None = None
        self.released_s: deque[float] = deque()


class WaitPolicy:
    """Predicts whether waiting openings will find a target in time.

    Openings of one class, a priority of a service, compete for the same
    targets.
    """

    def __init__(self) -> None:
        self._classes: dict[tuple[str, int], _ClassState] = {}

    def note_released(
        self, key: tuple[str, int], now_s: float, *, has_waited: bool
    ) -> None:
        """Record that a target was free for an opening of a class."""
        state = self._classes.get(key)
        if state is None:
            if not has_waited:
                return
            state = self._classes.setdefault(key, _ClassState())
        state.blocked_since_s = None
        if has_waited:
            state.released_s.append(now_s)

    def note_blocked(self, key: tuple[str, int], now_s: float) -> None:
        """Record that no target was free for an opening of a class."""
        state = self._classes.setdefault(key, _ClassState())
        if state.blocked_since_s is None:
            state.blocked_since_s = now_s

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
        objective_s: float,
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
        objective_s : float
            Latency objective of the route, in seconds.
        latest_s : float
            Time at which an answer comes too late for the caller, in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether no target was free for `PATIENCE_FRACTION` of the objective
            and none is expected in time.
        """
        state = self._classes.get(key)
        if state is None or state.blocked_since_s is None:
            return False
        if now_s - state.blocked_since_s < PATIENCE_FRACTION * objective_s:
            return False
        return now_s + self.expected_wait_s(key, position, now_s) > latest_s
