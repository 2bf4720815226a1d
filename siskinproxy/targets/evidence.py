"""Evidence from traffic that a target is in a cold start.

Health and load endpoints may return stale or misleading values, so only
refusals, resets and completion times count.
"""

import enum
from collections import deque
from typing import Final

__all__ = ('ColdStartReason', 'Evidence')

REFUSALS_IN_A_ROW: Final = 2
SLOW_COMPLETIONS: Final = 8
SLOW_FACTOR: Final = 3.0
#: Bounds a single completion time relative to the baseline, so that one slow
#: request does not look like a slow target.
MAX_SLOWDOWN: Final = 2 * SLOW_FACTOR
#: Completions after which the baseline of a listener counts as known.
BASELINE_COMPLETIONS: Final = 16
#: Weight of a completion in the baseline: about the last 64 of them.
BASELINE_WEIGHT: Final = 1 / 64
RECENT_WEIGHT: Final = 1 / 8


class ColdStartReason(enum.Enum):
    """What showed that a target is in a cold start."""

    ANNOUNCED = 'announced'
    REFUSALS = 'refusals'
    RESETS = 'resets'
    SLOW_COMPLETIONS = 'slow_completions'
    STALLED = 'stalled'


class _Baseline:
    """Typical completion time of one listener at one target."""

    __slots__ = ('count', 'mean_s')

    def __init__(self) -> None:
        self.count = 0
        self.mean_s: float = 0

    def add(self, duration_s: float) -> None:
        """Average evenly at first, exponentially once the mean is known."""
        self.count += 1
        if self.is_known:
            # Bounds outliers, so that a cold start cannot raise the baseline
            # before it is detected.
            duration_s = min(duration_s, SLOW_FACTOR * self.mean_s)
        weight = max(1 / self.count, BASELINE_WEIGHT)
        self.mean_s += weight * (duration_s - self.mean_s)

    @property
    def is_known(self) -> bool:
        """Whether enough completions were seen."""
        return self.count > BASELINE_COMPLETIONS


class Evidence:
    """Refusals, resets and completion times of one target."""

    __slots__ = (
        '_baselines',
        '_refusals',
        '_resets',
        '_slowdowns',
        'recent_completion_s',
        'recent_deviation_s',
    )

    def __init__(self) -> None:
        self._baselines: dict[int, _Baseline] = {}
        self._slowdowns: deque[float] = deque(maxlen=SLOW_COMPLETIONS)
        self._refusals = 0
        self._resets = 0
        self.recent_completion_s: float = 0
        self.recent_deviation_s: float = 0

    @property
    def refusals(self) -> int:
        """Refused or unanswered opening segments in a row."""
        return self._refusals

    @property
    def slowdown(self) -> float:
        """Mean of recent completion times relative to the baseline."""
        if not self._slowdowns:
            return 1.0
        return sum(self._slowdowns) / len(self._slowdowns)

    def baseline_s(self, port: int) -> float | None:
        """Return the baseline of a listener.

        Parameters
        ----------
        port : int
            Target port of the listener.

        Returns
        -------
        float or None
            Seconds; None until enough completions were observed.
        """
        baseline = self._baselines.get(port)
        if baseline is None or not baseline.is_known:
            return None
        return baseline.mean_s

    def note_accepted(self) -> None:
        """Count an accepted opening segment."""
        self._refusals = 0

    def note_refused(self) -> None:
        """Count a refused or unanswered opening segment."""
        self._refusals += 1

    def note_reset(self) -> None:
        """Count a flow that the target reset."""
        self._resets += 1

    def note_completed(
        self,
        port: int,
        duration_s: float,
        *,
        warm: bool,
    ) -> None:
        """Count a complete request.

        Parameters
        ----------
        port : int
            Target port of the listener.
        duration_s : float
            Time from admission to the end of the flow, in seconds.
        warm : bool
            False in a warm-up, whose completion times are no baseline.
        """
        self._refusals = 0
        self._resets = 0
        known_s = self.baseline_s(port)
        if known_s:
            self._note_slowdown(duration_s / known_s)
        if warm:
            self._baselines.setdefault(port, _Baseline()).add(duration_s)
        self._note_recent(duration_s)

    def note_abandoned(self, port: int, duration_s: float) -> None:
        """Count a request that its caller gave up.

        Its completion time is unknown but longer than the time that passed,
        which counts only if that is already above the baseline.

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
        """Return what shows a cold start, if anything does.

        Parameters
        ----------
        peer_slowdown : float
            Median slowdown of the other targets. A slowdown that all targets
            share has another cause, and reducing the load on all of them
            would only remove capacity.

        Returns
        -------
        ColdStartReason or None
            The rule that applies.
        """
        if self._refusals >= REFUSALS_IN_A_ROW:
            return ColdStartReason.REFUSALS
        if self._resets >= REFUSALS_IN_A_ROW:
            return ColdStartReason.RESETS
        if len(self._slowdowns) < SLOW_COMPLETIONS:
            return None
        if self.slowdown >= SLOW_FACTOR * max(peer_slowdown, 1):
            return ColdStartReason.SLOW_COMPLETIONS
        return None

    def _note_slowdown(self, slowdown: float) -> None:
        self._slowdowns.append(min(slowdown, MAX_SLOWDOWN))

    def _note_recent(self, duration_s: float) -> None:
        difference_s = duration_s - (self.recent_completion_s or duration_s)
        self.recent_completion_s = (
            duration_s - (1 - RECENT_WEIGHT) * difference_s
        )
        deviation_s = abs(difference_s) - self.recent_deviation_s
        self.recent_deviation_s += RECENT_WEIGHT * deviation_s

    def restart(self) -> None:
        """Forget everything except baselines and refusals in a row."""
        self._slowdowns.clear()
        self._resets = 0

    def forget_baselines(self) -> None:
        """Learn the baselines again from the following completions."""
        self._baselines.clear()
        self._slowdowns.clear()
