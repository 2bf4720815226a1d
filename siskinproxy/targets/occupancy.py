"""Number of flows in progress at a target, now and over the last 10 s."""

from collections import deque
from typing import Final

__all__ = ('WINDOW_S', 'Occupancy')

#: Length of the window over which the busy time of targets is compared.
WINDOW_S: Final = 10.0
#: Minimum time between samples of the integral; limits their number.
_SAMPLE_INTERVAL_S: Final = 0.5


class Occupancy:
    """Counter of flows in progress, with its integral over the last 10 s.

    The integral is sampled; between samples it is interpolated linearly.

    Parameters
    ----------
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    count : int
        Flows in progress.
    """

    __slots__ = ('_integral_s', '_samples', '_updated_s', 'count')

    def __init__(self, now_s: float) -> None:
        self.count = 0
        self._integral_s: float = 0
        self._updated_s = now_s
        self._samples: deque[tuple[float, float]] = deque([(now_s, 0)])

    def change(self, difference: int, now_s: float) -> None:
        """Count flows that started or ended.

        The count does not fall below 0 if the end of a flow is reported twice.

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
        """Return the integral of the number of flows over the last 10 s.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Sum over all flows of the time in progress, in seconds.
        """
        if now_s > self._updated_s:
            self._advance(now_s)
        window_start_s = now_s - WINDOW_S
        samples = self._samples
        while len(samples) > 1 and samples[1][0] <= window_start_s:
            samples.popleft()
        start_s, start_integral_s = samples[0]
        if start_s >= window_start_s:
            return self._integral_s - start_integral_s
        end_s, end_integral_s = self._updated_s, self._integral_s
        if len(samples) > 1:
            end_s, end_integral_s = samples[1]
        share = (window_start_s - start_s) / (end_s - start_s)
        skipped_s = share * (end_integral_s - start_integral_s)
        return self._integral_s - start_integral_s - skipped_s

    def _advance(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._integral_s += self.count * elapsed_s
        self._updated_s = now_s
        samples = self._samples
        if now_s - samples[-1][0] < _SAMPLE_INTERVAL_S:
            return
        samples.append((now_s, self._integral_s))
        while samples[1][0] <= now_s - WINDOW_S:
            samples.popleft()
