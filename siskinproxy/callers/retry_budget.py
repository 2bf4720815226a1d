"""Limit on the retries of a shard."""

from collections import deque
from typing import Final

__all__ = ('RetryBudget',)

WINDOW_S: Final = 1.0


class RetryBudget:
    """Permits retries as a share of the flows admitted in the last second.

    Without a limit, retries multiply the load on a service whose targets
    refuse flows because of overload.

    Parameters
    ----------
    share : float
        Retries per admitted flow.
    floor_per_s : int
        Retries permitted in each second however few flows are admitted.
    """

    def __init__(self, share: float, floor_per_s: int) -> None:
        self.floor_per_s = floor_per_s
        self._share = share
        self._admitted_s: deque[float] = deque()
        self._retried_s: deque[float] = deque()

    def note_admitted(self, now_s: float) -> None:
        """Count a flow that was admitted for the first time.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._admitted_s.append(now_s)
        self._discard(now_s)

    def allows(self, now_s: float) -> bool:
        """Return whether one more retry keeps the budget.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True if a retry may start now.
        """
        self._discard(now_s)
        allowed = max(self.floor_per_s, self._share * len(self._admitted_s))
        return len(self._retried_s) + 1 <= allowed

    def note_retried(self, now_s: float) -> None:
        """Count a retry.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._retried_s.append(now_s)

    def _discard(self, now_s: float) -> None:
        oldest_s = now_s - WINDOW_S
        for times in (self._admitted_s, self._retried_s):
            while times and times[0] <= oldest_s:
                times.popleft()
