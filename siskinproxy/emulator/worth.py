"""What a day was worth to its callers."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from siskinproxy.emulator.callers import Outcome
from siskinproxy.emulator.day import CallerClass, Day

__all__ = ('DayWorth', 'find_worth')

#: Length of a window, in seconds, and how many of the worst ones count; from
#: the users' pages.
WINDOW_S: Final = 2.0
WORST_WINDOWS: Final = 2
_MS_PER_S: Final = 1000


class DayWorth(msgspec.Struct, frozen=True):
    """Shares of the worth that callers could have had, 0 to 1.

    Parameters
    ----------
    worth : float
        Weighted sum of the four shares.
    whole_day, worst_windows, worst_class, worst_zone : float
        Shares.
    requests, answered, late, failed : int
        Requests by outcome; late ones are among the answered.
    doubled : int
        Unsafe requests that more than one target worked on.
    windows : tuple of float
        Share of each window, in order.
    classes : dict of str to float
        Share of each kind of request.
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


def find_worth(day: Day, outcomes: Sequence[Outcome]) -> DayWorth:
    """Return what a day was worth.

    Parameters
    ----------
    day : Day
        Day.
    outcomes : sequence of Outcome
        Ends of its requests.

    Returns
    -------
    DayWorth
        Shares.
    """
    classes = {each.name: each for each in day.classes}
    ledger = _Ledger(classes)
    whole_day = ledger.share(outcomes)
    windows = ledger.shares_by(
        outcomes, lambda outcome: int(outcome.asked_s / WINDOW_S)
    )
    by_class = ledger.shares_by(outcomes, lambda outcome: outcome.kind)
    by_zone = ledger.shares_by(outcomes, lambda outcome: outcome.zone)
    worst = sorted(windows.values())[:WORST_WINDOWS]
    worst_windows = sum(worst) / len(worst) if worst else 0
    weights = day.weights
    worst_class = min(by_class.values(), default=0)
    worst_zone = min(by_zone.values(), default=0)
    answered = [each for each in outcomes if each.took_s is not None]
    return DayWorth(
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
        late=sum(ledger.is_late(each) for each in answered),
        failed=len(outcomes) - len(answered),
        doubled=sum(ledger.is_doubled(each) for each in outcomes),
        windows=tuple(round(windows[key], 4) for key in sorted(windows)),
        classes={name: round(share, 4) for name, share in by_class.items()},
    )


class _Ledger:
    """Worth of outcomes by the kind of their request."""

    def __init__(self, classes: dict[str, CallerClass]) -> None:
        self._classes = classes

    def is_late(self, outcome: Outcome) -> bool:
        """Return whether an answer missed its objective."""
        aim_s = self._classes[outcome.kind].aim_ms / _MS_PER_S
        return outcome.took_s is not None and outcome.took_s > aim_s

    def is_doubled(self, outcome: Outcome) -> bool:
        """Return whether a request that must run once ran twice."""
        layout = self._classes[outcome.kind]
        return layout.kind.value == 'unsafe' and outcome.runs > 1

    def share(self, outcomes: Iterable[Outcome]) -> float:
        """Return the worth of outcomes relative to that of the best ones."""
        reached: float = 0
        possible: float = 0
        for outcome in outcomes:
            layout = self._classes[outcome.kind]
            possible += layout.worth
            if outcome.took_s is not None:
                is_late = self.is_late(outcome)
                reached += layout.late_worth if is_late else layout.worth
        return reached / possible if possible else 0

    def shares_by(
        self,
        outcomes: Iterable[Outcome],
        key: Callable[[Outcome], int | str],
    ) -> dict[int | str, float]:
        """Return the share of each group of outcomes."""
        groups: defaultdict[int | str, list[Outcome]] = defaultdict(list)
        for outcome in outcomes:
            groups[key(outcome)].append(outcome)
        return {name: self.share(group) for name, group in groups.items()}
