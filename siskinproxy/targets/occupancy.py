"""Number of flows in progress and their busy time."""

from collections import deque
from typing import Final

__all__ = ('WINDOW_S', 'Occupancy')

#: Length of the window over which busy time is compared, in seconds.
WINDOW_S: Final = 10.0
_SAMPLE_S: Final = 0.5


class Occupancy:
    """Counter of flows with the integral of its value over 10 s.

    Parameters
    ----------
    now_s : float
        Current time in seconds.
    """

    __slots__ = ('_integral_s', '_samples', '_updated_s', 'count')

    def __init__(self, now_s: float) -> None:
        self.count = 0
        self._integral_s: float = 0
        self._updated_s = now_s
        self._samples: deque[tuple[float, float]] = deque([(now_s, 0)])

    def change(self, difference: int, now_s: float) -> None:
        """Add or remove flows.

        Parameters
        ----------
        difference : int
            Number of flows that started (positive) or ended (negative).
        now_s : float
            Current time in seconds.
        """
        self._advance(now_s)
        self.count = max(self.count + difference, 0)

    def busy_s(self, now_s: float) -> float:
        """Return the busy time of the last 10 s.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Sum of the time that each flow was in progress, in seconds.
        """
        if now_s > self._updated_s:
            self._advance(now_s)
        oldest_s = now_s - WINDOW_S
        samples = self._samples
        while len(samples) > 1 and samples[1][0] <= oldest_s:
            samples.popleft()
        start_s, start_integral_s = samples[0]
        if start_s >= oldest_s:
            return self._integral_s - start_integral_s
        end_s, end_integral_s = self._updated_s, self._integral_s
        if len(samples) > 1:
            end_s, end_integral_s = samples[1]
        share = (oldest_s - start_s) / (end_s - start_s)
        skipped_s = share * (end_integral_s - start_integral_s)
        return self._integral_s - start_integral_s - skipped_s

    def _advance(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._integral_s += self.count * elapsed_s
        self._updated_s = now_s
        samples = self._samples
        if now_s - samples[-1][0] < _SAMPLE_S:
            return
        samples.append((now_s, self._integral_s))
        while samples[1][0] <= now_s - WINDOW_S:
            samples.popleft()
