"""Limit on the rate of retries after refusals by targets."""

from collections import deque
from typing import Final

__all__ = ('RetryBudget',)

#: Length of the sliding window in which admissions and retries are counted.
WINDOW_S: Final = 1.0


class RetryBudget:
    """Retry budget in proportion to the flows admitted in the last second.

    Without a budget, retries multiply the load on a service whose targets
    refuse flows because of overload.

    Parameters
    ----------
    ratio : float
        Retries that are permitted for each admitted flow.
    min_retries_per_s : int
        Retries per second that are permitted however few flows are admitted.
    """

    def __init__(self, ratio: float, min_retries_per_s: int) -> None:
        self.min_retries_per_s = min_retries_per_s
        self._ratio = ratio
        self._admitted_s: deque[float] = deque()
        self._retried_s: deque[float] = deque()

    def note_admitted(self, now_s: float) -> None:
        """Count a flow that was admitted for the first time, not as a retry.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._admitted_s.append(now_s)
        self._discard_old_times(now_s)

    def allows(self, now_s: float) -> bool:
        """Return whether one more retry is within the budget.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True if a retry may start now.
        """
        self._discard_old_times(now_s)
        permitted = max(
            self.min_retries_per_s, self._ratio * len(self._admitted_s)
        )
        return len(self._retried_s) + 1 <= permitted

    def note_retried(self, now_s: float) -> None:
        """Count a retry against the budget.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._retried_s.append(now_s)

    def _discard_old_times(self, now_s: float) -> None:
        window_start_s = now_s - WINDOW_S
        for times in (self._admitted_s, self._retried_s):
            while times and times[0] <= window_start_s:
                times.popleft()
