"""Detection of cold starts from the traffic of a target.

Detection is passive: health and load endpoints may return stale or misleading
values, so only refusals, resets and completion times count.
"""

import enum
import statistics
from collections import deque
from typing import Final

__all__ = ('ColdStartReason', 'ColdStartDetector')

#: Consecutive refusals, or resets without a completed request between them,
#: that show a cold start.
CONSECUTIVE_FAILURES: Final = 2
#: Number of recent requests whose mean slowdown is evaluated.
SLOWDOWN_SAMPLES: Final = 8
#: Mean completion time relative to the baseline that shows a cold start.
COLD_SLOWDOWN: Final = 3.0
#: Upper bound of a single completion time relative to the baseline, so that
#: one slow request does not look like a slow target.
MAX_SLOWDOWN: Final = 2 * COLD_SLOWDOWN
#: Completed requests after which the baseline of a listener is known.
BASELINE_COMPLETIONS: Final = 16
#: Weight of a completed request in the baseline: about the last 64 count.
BASELINE_WEIGHT: Final = 1 / 64
#: Weight of a completed request in the recent mean: about the last 8 count.
RECENT_WEIGHT: Final = 1 / 8
#: Completed requests of a listener whose median bounds the next completion
#: time in the recent mean. A network pause delays at most as many requests as
#: there are slots, so they stay a minority of this number.
MEDIAN_COMPLETIONS: Final = 16
#: Completed requests of a listener from which on their median is used.
MIN_MEDIAN_COMPLETIONS: Final = 3
#: Upper bound of a completion time in the recent mean, relative to the median.
MAX_RECENT_FACTOR: Final = 2.5


class ColdStartReason(enum.Enum):
    """What showed that a target is in a cold start."""

    #: A configuration change, or the warm-up report of another owner.
    ANNOUNCED = 'announced'
    #: Consecutive refused or unanswered opening segments.
    REFUSALS = 'refusals'
    #: Flows that the target reset, without a completed request between them.
    RESETS = 'resets'
    #: High completion times relative to the baseline and the other targets.
    SLOW_COMPLETIONS = 'slow_completions'
    #: High ages of the requests in progress.
    STALLED = 'stalled'


class _Baseline:
    """Mean completion time of a warm target's requests of one listener."""

    __slots__ = ('count', 'mean_s')

    def __init__(self) -> None:
        self.count = 0
        self.mean_s: float = 0

    def add(self, duration_s: float) -> None:
        """Add a completion time, in seconds.

        The mean is arithmetic at first and exponentially weighted later.
        """
        self.count += 1
        if self.is_known:
            # Outliers are bounded, so that a cold start cannot raise the
            # baseline before it is detected.
            duration_s = min(duration_s, COLD_SLOWDOWN * self.mean_s)
        weight = max(1 / self.count, BASELINE_WEIGHT)
        self.mean_s += weight * (duration_s - self.mean_s)

    @property
    def is_known(self) -> bool:
        """Whether enough requests were completed."""
        return self.count > BASELINE_COMPLETIONS


class ColdStartDetector:
    """Passive detector of cold starts of one target.

    Attributes
    ----------
    recent_completion_s : float
        Exponentially weighted mean of the completion times, in seconds; 0
        before the first. Each counts as at most `MAX_RECENT_FACTOR` times the
        median of its listener, so that a pause of an instance on the way is
        not taken for a slow target.
    recent_deviation_s : float
        Exponentially weighted mean of their absolute deviations, in seconds.
    """

    __slots__ = (
        '_baselines',
        '_consecutive_refusals',
        '_consecutive_resets',
        '_durations_s',
        '_slowdowns',
        'recent_completion_s',
        'recent_deviation_s',
    )

    def __init__(self) -> None:
        self._baselines: dict[int, _Baseline] = {}
        self._durations_s: dict[int, deque[float]] = {}
        self._slowdowns: deque[float] = deque(maxlen=SLOWDOWN_SAMPLES)
        self._consecutive_refusals = 0
        self._consecutive_resets = 0
        self.recent_completion_s: float = 0
        self.recent_deviation_s: float = 0

    @property
    def consecutive_refusals(self) -> int:
        """Number of consecutive refused or unanswered opening segments."""
        return self._consecutive_refusals

    @property
    def slowdown(self) -> float:
        """Mean of recent completion times relative to the baseline.

        It is 1 before the first sample.
        """
        if not self._slowdowns:
            return 1.0
        return sum(self._slowdowns) / len(self._slowdowns)

    def baseline_s(self, port: int) -> float | None:
        """Return the baseline of the completion times of a listener.

        Parameters
        ----------
        port : int
            Target port of the listener.

        Returns
        -------
        float or None
            Mean completion time in seconds; None until it is known.
        """
        baseline = self._baselines.get(port)
        if baseline is None or not baseline.is_known:
            return None
        return baseline.mean_s

    def note_accepted(self) -> None:
        """Record an accepted opening segment."""
        self._consecutive_refusals = 0

    def note_refused(self) -> None:
        """Record a refused or unanswered opening segment."""
        self._consecutive_refusals += 1

    def note_reset(self) -> None:
        """Record a flow that the target reset."""
        self._consecutive_resets += 1

    def note_completed(
        self,
        port: int,
        duration_s: float,
        *,
        warm: bool,
    ) -> None:
        """Record a completed request.

        Parameters
        ----------
        port : int
            Target port of the listener.
        duration_s : float
            Time from admission to the end of the flow, in seconds.
        warm : bool
            False during a warm-up, whose completion times are not typical and
            do not enter the baseline.
        """
        self._consecutive_refusals = 0
        self._consecutive_resets = 0
        known_s = self.baseline_s(port)
        if known_s:
            self._note_slowdown(duration_s / known_s)
        if warm:
            self._baselines.setdefault(port, _Baseline()).add(duration_s)
        self._note_recent(self._without_outlier_s(port, duration_s))

    def note_abandoned(self, port: int, duration_s: float) -> None:
        """Record a request that its caller gave up.

        Its completion time is unknown but exceeds the elapsed time, which
        therefore counts only if it is above the baseline.

        Parameters
        ----------
        port : int
            Target port of the listener.
        duration_s : float
            Time from admission to the cancellation, in seconds.
        """
        known_s = self.baseline_s(port)
        if known_s and duration_s > known_s:
            self._note_slowdown(duration_s / known_s)

    def cold_start(self, peer_slowdown: float) -> ColdStartReason | None:
        """Return which sign of a cold start is present, if any.

        Parameters
        ----------
        peer_slowdown : float
            Median slowdown of the other targets. A slowdown of all targets
            has another cause, and reducing the load on all of them would only
            remove capacity.

        Returns
        -------
        ColdStartReason or None
            The first sign that applies, or None.
        """
        if self._consecutive_refusals >= CONSECUTIVE_FAILURES:
            return ColdStartReason.REFUSALS
        if self._consecutive_resets >= CONSECUTIVE_FAILURES:
            return ColdStartReason.RESETS
        if len(self._slowdowns) < SLOWDOWN_SAMPLES:
            return None
        if self.slowdown >= COLD_SLOWDOWN * max(peer_slowdown, 1):
            return ColdStartReason.SLOW_COMPLETIONS
        return None

    def _note_slowdown(self, slowdown: float) -> None:
        self._slowdowns.append(min(slowdown, MAX_SLOWDOWN))

    def _without_outlier_s(self, port: int, duration_s: float) -> float:
        """Return a completion time bounded by the median of its listener."""
        durations_s = self._durations_s.setdefault(
            port, deque(maxlen=MEDIAN_COMPLETIONS)
        )
        durations_s.append(duration_s)
        if len(durations_s) < MIN_MEDIAN_COMPLETIONS:
            return duration_s
        bound_s = MAX_RECENT_FACTOR * statistics.median(durations_s)
        return min(duration_s, bound_s)

    def _note_recent(self, duration_s: float) -> None:
        """Update the weighted mean of the completion times and its deviation.

        The first completion time becomes the mean, with a deviation of 0.
        """
        difference_s = duration_s - (self.recent_completion_s or duration_s)
        self.recent_completion_s = (
            duration_s - (1 - RECENT_WEIGHT) * difference_s
        )
        deviation_s = abs(difference_s) - self.recent_deviation_s
        self.recent_deviation_s += RECENT_WEIGHT * deviation_s

    def restart(self) -> None:
        """Discard slowdowns and resets, but keep baselines and refusals."""
        self._slowdowns.clear()
        self._consecutive_resets = 0

    def forget_baselines(self) -> None:
        """Discard the baselines; later requests establish new ones."""
        self._baselines.clear()
        self._slowdowns.clear()
