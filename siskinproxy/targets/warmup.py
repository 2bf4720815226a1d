"""Slow start of a cold target: its load rises linearly to the full load."""

from typing import Final

__all__ = ('WarmUp',)

#: Share of the full load that a target gets when its warm-up starts.
START_FRACTION: Final = 0.1
#: Longest duration of a warm-up, in multiples of the configured time. It ends
#: then even if completion times stay high, since the baseline may be outdated.
MAX_DURATION_FACTOR: Final = 3.0


class WarmUp:
    """Linear increase of the load from a tenth of the full load to all of it.

    It limits the number of flows in progress and the rate of new flows.

    Parameters
    ----------
    warmup_s : float
        Time from the start to the full load, in seconds.
    now_s : float
        Current time in seconds, at which the warm-up starts.
    """

    __slots__ = (
        '_advanced_s',
        '_next_start_s',
        '_progress_s',
        '_started_s',
        '_warmup_s',
    )

    def __init__(self, warmup_s: float, now_s: float) -> None:
        self._warmup_s = warmup_s
        self._started_s = now_s
        self._advanced_s = now_s
        self._progress_s: float = 0
        self._next_start_s = now_s

    @property
    def fraction(self) -> float:
        """Share of the full load that the target gets, 0.1 to 1."""
        if self._progress_s >= self._warmup_s:
            return 1.0
        progress = self._progress_s / self._warmup_s
        return START_FRACTION + (1 - START_FRACTION) * progress

    def skip_to(self, fraction: float) -> None:
        """Move forward to a share of the full load; never move back.

        Parameters
        ----------
        fraction : float
            Value of `fraction` at the owner that began the warm-up.
        """
        progress = (fraction - START_FRACTION) / (1 - START_FRACTION)
        reached_s = max(progress, 0) * self._warmup_s
        self._progress_s = max(self._progress_s, reached_s)

    def advance(self, now_s: float, *, hold: bool) -> None:
        """Increase the load by the time since the last call.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        hold : bool
            Whether to keep the load constant, because completion times are
            high.
        """
        if not hold:
            self._progress_s += max(now_s - self._advanced_s, 0)
        self._advanced_s = now_s

    def restart(self, now_s: float) -> None:
        """Start the warm-up again from the lowest load.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._started_s = now_s
        self._advanced_s = now_s
        self._progress_s = 0

    def is_complete(self, now_s: float) -> bool:
        """Return whether the warm-up has ended.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True at the full load, or after the longest duration.
        """
        if self._progress_s >= self._warmup_s:
            return True
        return now_s - self._started_s >= MAX_DURATION_FACTOR * self._warmup_s

    def limit(self, full_limit: float) -> int:
        """Return how many flows may be in progress now.

        Parameters
        ----------
        full_limit : float
            Limit of the warm target.

        Returns
        -------
        int
            At least 1; otherwise the share of the full limit, rounded down.
        """
        return max(int(self.fraction * full_limit), 1)

    def may_start(self, now_s: float) -> bool:
        """Return whether the start rate permits another flow now.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True if the interval since the last start is long enough.
        """
        return now_s >= self._next_start_s

    def note_start(self, now_s: float, full_rate_per_s: float) -> None:
        """Count the start of a flow against the start rate.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        full_rate_per_s : float
            Rate at which the warm target can start flows, per second.
        """
        self._next_start_s = now_s + 1 / (self.fraction * full_rate_per_s)
