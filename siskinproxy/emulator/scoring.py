"""Score of a scenario from the results of its requests.

Each request class gives points for an answer within its latency objective and
for a later one. A share is the number of points reached divided by the number
of points possible.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from siskinproxy.emulator.callers import Outcome
from siskinproxy.emulator.day import Day, RequestClass

__all__ = ('DayScore', 'score_day')

#: Length of the time windows, in seconds, and how many of the windows with the
#: lowest shares are averaged for a part of the score. A request counts in the
#: window in which its first attempt started.
WINDOW_S: Final = 2.0
WORST_WINDOW_COUNT: Final = 2
_MS_PER_S: Final = 1000


class DayScore(msgspec.Struct, frozen=True):
    """Score of a scenario; all shares are between 0 and 1.

    Parameters
    ----------
    worth : float
        Score: the weighted sum of the four shares.
    whole_day, worst_windows, worst_class, worst_zone : float
        Share of all requests, mean share of the worst windows, share of the
        worst request class, and that of the worst zone of callers.
    requests, answered, late, failed : int
        Number of requests by outcome; late ones are among the answered.
    doubled : int
        Unsafe requests that were accepted for execution more than once.
    windows : tuple of float
        Share of each window with requests, by time.
    classes : dict of str to float
        Share of each request class.
    """

    worth: float
    whole_day: float
    worst_windows: float
    worst_class: float
    worst_zone: float
    requests: int
    answered: int
    late: int
    failed: int
    doubled: int
    windows: tuple[float, ...]
    classes: dict[str, float]


def score_day(day: Day, outcomes: Sequence[Outcome]) -> DayScore:
    """Compute the score of a scenario.

    Parameters
    ----------
    day : Day
        Scenario.
    outcomes : sequence of Outcome
        Results of its requests.

    Returns
    -------
    DayScore
        Score, with its shares rounded to 4 digits.
    """
    classes = {each.name: each for each in day.classes}
    scorer = _Scorer(classes)
    whole_day = scorer.share(outcomes)
    windows = scorer.shares_by(
        outcomes, lambda outcome: int(outcome.asked_s / WINDOW_S)
    )
    by_class = scorer.shares_by(outcomes, lambda outcome: outcome.kind)
    by_zone = scorer.shares_by(outcomes, lambda outcome: outcome.zone)
    worst = sorted(windows.values())[:WORST_WINDOW_COUNT]
    worst_windows = sum(worst) / len(worst) if worst else 0
    weights = day.weights
    worst_class = min(by_class.values(), default=0)
    worst_zone = min(by_zone.values(), default=0)
    answered = [each for each in outcomes if each.took_s is not None]
    return DayScore(
        worth=round(
            weights.whole_day * whole_day
            + weights.worst_windows * worst_windows
            + weights.worst_class * worst_class
            + weights.worst_zone * worst_zone,
            4,
        ),
        whole_day=round(whole_day, 4),
        worst_windows=round(worst_windows, 4),
        worst_class=round(worst_class, 4),
        worst_zone=round(worst_zone, 4),
        requests=len(outcomes),
        answered=len(answered),
        late=sum(scorer.is_late(each) for each in answered),
        failed=len(outcomes) - len(answered),
        doubled=sum(scorer.ran_twice(each) for each in outcomes),
        windows=tuple(round(windows[key], 4) for key in sorted(windows)),
        classes={name: round(share, 4) for name, share in by_class.items()},
    )


class _Scorer:
    """Rates outcomes by the properties of their request class."""

    def __init__(self, classes: dict[str, RequestClass]) -> None:
        self._classes = classes

    def is_late(self, outcome: Outcome) -> bool:
        """Return whether an answer came after the latency objective."""
        objective_s = self._classes[outcome.kind].aim_ms / _MS_PER_S
        return outcome.took_s is not None and outcome.took_s > objective_s

    def ran_twice(self, outcome: Outcome) -> bool:
        """Return whether an unsafe request was accepted more than once."""
        request_class = self._classes[outcome.kind]
        return request_class.kind.value == 'unsafe' and outcome.runs > 1

    def share(self, outcomes: Iterable[Outcome]) -> float:
        """Return points reached divided by points possible; 0 for none."""
        reached: float = 0
        possible: float = 0
        for outcome in outcomes:
            request_class = self._classes[outcome.kind]
            possible += request_class.worth
            if outcome.took_s is not None:
                is_late = self.is_late(outcome)
                reached += (
                    request_class.late_worth if is_late else request_class.worth
                )
        return reached / possible if possible else 0

    def shares_by(
        self,
        outcomes: Iterable[Outcome],
        key: Callable[[Outcome], int | str],
    ) -> dict[int | str, float]:
        """Return the share of each group of outcomes with an equal key."""
        groups: defaultdict[int | str, list[Outcome]] = defaultdict(list)
        for outcome in outcomes:
            groups[key(outcome)].append(outcome)
        return {name: self.share(group) for name, group in groups.items()}
