"""What callers get in a time window of a scenario, by route and zone."""

import statistics
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from siskinproxy.emulator.callers import Outcome
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.emulation import Emulation

__all__ = ('Experience', 'GroupExperience', 'measure')

#: Time for which a slot is free before other instances can know of it, in
#: seconds: two intervals of the load reports.
KNOWN_FREE_S: Final = 0.1
_MS_PER_S: Final = 1000


class GroupExperience(msgspec.Struct, frozen=True):
    """What the callers of a group of requests got.

    Parameters
    ----------
    requests : int
        Number of requests.
    in_time, late, refused, failed : float
        Share of the requests that were answered within the objective and
        later, that were not run since the system refused or a full target
        rejected the last attempt, and that failed otherwise.
    refusal_s : float
        Median time from an opening to its reset, in seconds; 0 for none.
    gave_up_s : float
        Median time from the first attempt of a refused request to the end of
        the last, in seconds, with the pauses of the caller; 0 for none.
    """

    requests: int
    in_time: float
    late: float
    refused: float
    failed: float
    refusal_s: float
    gave_up_s: float


class Experience(msgspec.Struct, frozen=True):
    """What callers got in a time window.

    Parameters
    ----------
    whole : GroupExperience
        All requests.
    routes, zones : dict of str to GroupExperience
        By name of the request class, and by zone of the caller.
    routes_by_zone : dict of tuple of str to GroupExperience
        By both.
    used : float
        Work of the answers within the objective that arrived in the window, as
        a share of what the targets could do, or of what callers asked for if
        that is less.
    demand : float
        Work of all requests, as a share of what the targets could do.
    rejected : float
        Share of the arrivals at targets that full ones rejected; over the
        whole scenario.
    refusals : int
        Number of openings that instances have reset.
    refused_while_free : int
        Number of these at which a target of the service had a free slot.
    refused_while_known_free : int
        Number of these at which one had had it for `KNOWN_FREE_S`.
    """

    whole: GroupExperience
    routes: dict[str, GroupExperience]
    zones: dict[str, GroupExperience]
    routes_by_zone: dict[tuple[str, str], GroupExperience]
    used: float
    demand: float
    rejected: float
    refusals: int
    refused_while_free: int
    refused_while_known_free: int


def measure(
    day: Day, emulation: Emulation, from_s: float, until_s: float
) -> Experience:
    """Measure what callers got whose requests began in a time window.

    Parameters
    ----------
    day : Day
        Scenario.
    emulation : Emulation
        Emulation at its end.
    from_s, until_s : float
        Start and end of the window, in seconds.

    Returns
    -------
    Experience
        Shares, rounded to 4 digits.
    """
    meter = _Meter(day)
    outcomes = [
        each for each in emulation.outcomes if from_s <= each.asked_s < until_s
    ]
    routes = sorted({each.kind for each in outcomes})
    zones = sorted({each.zone for each in outcomes})
    capacities = [
        capacity
        for at_s, capacity in emulation.recorder.capacities
        if from_s <= at_s < until_s
    ]
    capacity_s = statistics.fmean(capacities) * (until_s - from_s)
    asked_s = sum(each.work_s for each in outcomes)
    served_s = sum(
        each.work_s
        for each in emulation.outcomes
        if meter.is_in_time(each)
        and from_s <= each.asked_s + (each.took_s or 0) < until_s
    )
    refusals = [
        each
        for each in emulation.recorder.refusals
        if from_s <= each.at_s < until_s
    ]
    free_for_s = [
        each.free_for_s for each in refusals if each.free_for_s is not None
    ]
    arrived = sum(each.arrived for each in emulation.targets)
    shed = sum(each.shed for each in emulation.targets)
    return Experience(
        whole=meter.rate(outcomes),
        routes={
            route: meter.rate(each for each in outcomes if each.kind == route)
            for route in routes
        },
        zones={
            zone: meter.rate(each for each in outcomes if each.zone == zone)
            for zone in zones
        },
        routes_by_zone={
            (route, zone): meter.rate(
                each
                for each in outcomes
                if (each.kind, each.zone) == (route, zone)
            )
            for route in routes
            for zone in zones
        },
        used=round(served_s / min(capacity_s, asked_s), 4),
        demand=round(asked_s / capacity_s, 4),
        rejected=round(shed / max(arrived, 1), 4),
        refusals=len(refusals),
        refused_while_free=len(free_for_s),
        refused_while_known_free=sum(
            each >= KNOWN_FREE_S for each in free_for_s
        ),
    )


class _Meter:
    """Rates outcomes by the objectives of their routes."""

    def __init__(self, day: Day) -> None:
        self._objectives_s = {
            each.name: each.aim_ms / _MS_PER_S for each in day.classes
        }

    def is_in_time(self, outcome: Outcome) -> bool:
        """Return whether an answer came within the objective."""
        objective_s = self._objectives_s[outcome.kind]
        return outcome.took_s is not None and outcome.took_s <= objective_s

    def rate(self, group: Iterable[Outcome]) -> GroupExperience:
        """Return what the callers of a group of requests got."""
        outcomes = tuple(group)
        answered = [each for each in outcomes if each.took_s is not None]
        in_time = sum(self.is_in_time(each) for each in answered)
        refused = [each for each in outcomes if each.is_refused]
        count = max(len(outcomes), 1)
        failed = len(outcomes) - len(answered) - len(refused)
        return GroupExperience(
            requests=len(outcomes),
            in_time=round(in_time / count, 4),
            late=round((len(answered) - in_time) / count, 4),
            refused=round(len(refused) / count, 4),
            failed=round(failed / count, 4),
            refusal_s=_median(
                [wait for each in outcomes for wait in each.refused_after_s]
            ),
            gave_up_s=_median(
                [
                    each.gave_up_s
                    for each in refused
                    if each.gave_up_s is not None
                ]
            ),
        )


def _median(values: Sequence[float]) -> float:
    return round(statistics.median(values), 4) if values else 0
