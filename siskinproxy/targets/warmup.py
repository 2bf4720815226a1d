"""Ramp of the load on a target after a cold start."""

from typing import Final

__all__ = ('WarmUp',)

#: Share of the full load that a target gets at the start of the ramp.
START_FRACTION: Final = 0.1
#: The ramp ends after this multiple of the configured time even if
#: completion times stay high, since the baseline may be out of date.
MAX_STRETCH: Final = 3.0


class WarmUp:
    """Ramp from a tenth of the full load to the full load.

    Parameters
    ----------
    warmup_s : float
        Time from a cold start to full load, in seconds.
    now_s : float
        Time at which the ramp starts, in seconds.
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
        """Move the ramp forward to a share of the full load.

        Parameters
        ----------
        fraction : float
            Value of `fraction` at the owner that began the warm-up.
        """
        progress = (fraction - START_FRACTION) / (1 - START_FRACTION)
        reached_s = max(progress, 0) * self._warmup_s
        self._progress_s = max(self._progress_s, reached_s)

    def advance(self, now_s: float, *, hold: bool) -> None:
        """Move the ramp forward.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        hold : bool
            Keep the load constant because completion times are high.
        """
        if not hold:
            self._progress_s += max(now_s - self._advanced_s, 0)
        self._advanced_s = now_s

    def restart(self, now_s: float) -> None:
        """Begin the ramp again.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._started_s = now_s
        self._advanced_s = now_s
        self._progress_s = 0

    def is_complete(self, now_s: float) -> bool:
        """Return whether the target gets the full load.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True at the end of the ramp.
        """
        if self._progress_s >= self._warmup_s:
            return True
        return now_s - self._started_s >= MAX_STRETCH * self._warmup_s

    def limit(self, full_limit: float) -> int:
        """Return how many flows may be in progress.

        Parameters
        ----------
        full_limit : float
            Limit of the warm target.

        Returns
        -------
        int
            At least one flow, at most the full limit rounded down.
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
            Start rate of the warm target.
        """
        self._next_start_s = now_s + 1 / (self.fraction * full_rate_per_s)
