"""Decisions under scarcity, and the state that they need.

The scheduler learns from the requests that pass how much each priority needs
and how fast each target responds. It tells which targets a new flow may use at
which load, and which openings are refused at once.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from math import inf
from typing import Any, Final

import msgspec

from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.flows import OpenedFlow
from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.records import RouteRecord
from siskinproxy.entry.routes import ActiveRoute, RouteTable
from siskinproxy.entry.scheduling.demand import (
    DemandView,
    answered_key,
    demand_key,
)
from siskinproxy.entry.scheduling.divisions import (
    Lane,
    PlacementStep,
    ServiceDivision,
)
from siskinproxy.entry.scheduling.lanes import (
    MIN_ZONE_TARGETS,
    lane_shares,
    lane_sizes,
)
from siskinproxy.entry.scheduling.requests import (
    REJECTION_FRACTION,
    FinishedRequest,
)
from siskinproxy.entry.scheduling.rooms import ZoneLoads, zone_key
from siskinproxy.entry.scheduling.speeds import TargetSpeeds
from siskinproxy.entry.scheduling.waiting import WaitPolicy
from siskinproxy.entry.target_selection import FULL_LOAD

__all__ = ('PlacementStep', 'Scheduler', 'SchedulingOptions')

#: Load up to which a priority uses the targets of its lane before it looks at
#: others, in requests per slot.
LANE_LOAD: Final = 1.0
#: Load up to which a priority uses targets of a higher priority's lane, in
#: requests per slot; for a target and on the mean of its lane and zone. The
#: flows stay there, so the lane must have room to spare.
LENT_LOAD: Final = 0.3
#: Age from which on the mean load of the own zone is computed anew, in seconds.
LOAD_AGE_S: Final = 0.02
#: Time between two looks at the sizes of the lanes and at the speeds of the
#: targets of a service, in seconds.
REVIEW_INTERVAL_S: Final = 0.5


class SchedulingOptions(msgspec.Struct, frozen=True):
    """What the settings ask for.

    Parameters
    ----------
    lanes : bool
        Whether priorities prefer different targets.
    refuses_early : bool
        Whether openings that will not be served in time are refused at once.
    learns_speeds : bool
        Whether the load of a target follows what it takes well.
    """

    lanes: bool = False
    refuses_early: bool = False
    learns_speeds: bool = False


class Scheduler:
    """Divides targets between priorities, and learns from requests.

    Parameters
    ----------
    directory : TargetDirectory
        Known targets.
    routes : RouteTable
        Routes in force.
    options : SchedulingOptions
        What the settings ask for.
    loads : LoadView
        Requests in progress at each target.
    zone : str
        Availability zone of this instance.
    count_members : callable
        Returns the number of instances of the zone.
    events : EventSink
        Log of decisions.

    Attributes
    ----------
    options : SchedulingOptions
        As above; may be replaced at any time.
    demand : DemandView
        Need of each priority.
    speeds : TargetSpeeds
        Speed of each target.
    zone_loads : ZoneLoads
        Mean load of the targets of each zone.
    waits : WaitPolicy
        Predicts whether waiting openings find a target.
    counters : Counter
        Number of requests by outcome.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        routes: RouteTable,
        options: SchedulingOptions,
        loads: LoadView,
        zone: str,
        count_members: Callable[[], int],
        events: Any,
    ) -> None:
        self.options = options
        self.demand = DemandView()
        self.speeds = TargetSpeeds()
        self.waits = WaitPolicy()
        self.counters: Counter[str] = Counter()
        self._directory = directory
        self._routes = routes
        self._loads = loads
        self.zone_loads = ZoneLoads()
        self._means: dict[int, tuple[float, float]] = {}
        self._zone = zone
        self._count_members = count_members
        self._events = events
        self._services: dict[str, ServiceDivision] = {}
        self._priorities: dict[str, tuple[int, ...]] = {}
        self._priorities_version = -1

    def on_started(self, flow: OpenedFlow, now_s: float) -> None:
        """Count a request for the demand of its priority."""
        service = flow.target.record.service
        self._note_demand(flow.route.record, service, now_s)

    def note_refused(
        self, record: RouteRecord, service: str, now_s: float
    ) -> None:
        """Count a refused opening for the demand of its priority."""
        self._note_demand(record, service, now_s)

    def _note_demand(
        self, record: RouteRecord, service: str, now_s: float
    ) -> None:
        work_s = self.speeds.usual_response_s(record.name)
        key = demand_key(service, record.priority)
        self.demand.note_request(key, work_s, now_s)

    def on_finished(self, request: FinishedRequest, now_s: float) -> bool:
        """Learn from a response; return whether its request was run.

        Parameters
        ----------
        request : FinishedRequest
            Request whose response has begun.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            False if the target has rejected it.
        """
        flow = request.flow
        name = flow.route.record.name
        service = flow.target.record.service
        self._state(service).note_finished()
        usual_s = self.speeds.usual_response_s(name)
        is_rejection = (
            request.is_bodiless
            and request.response_s < REJECTION_FRACTION * usual_s
        )
        if is_rejection:
            self.counters['requests_rejected'] += 1
            return False
        self.counters['requests_answered'] += 1
        self.demand.note_request(answered_key(service), usual_s, now_s)
        if not request.is_bodiless:
            self.speeds.note_response(
                flow.target.token, name, request.response_s, now_s
            )
        return True

    def report(self, now_s: float) -> tuple[dict, dict, dict]:
        """Return what load reports say of room, demand and speed.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        zone_loads, needs, speeds : dict
            Last fields of `siskinproxy.entry.load_view.LoadReport`.
        """
        return (
            self.zone_loads.report(now_s),
            self.demand.report(now_s),
            self.speeds.take_samples(),
        )

    def on_report(self, report: LoadReport, now_s: float) -> None:
        """Apply what the load report of another instance says."""
        self.zone_loads.apply_report(report.zone_loads, now_s)
        if report.zone == self._zone:
            self.demand.apply_report(report.instance, report.needs, now_s)
            self.speeds.apply_samples(report.instance, report.speeds, now_s)

    def on_closed(self, flow: OpenedFlow) -> None:
        """Count a flow that its caller has closed."""
        self._state(flow.target.record.service).note_closed()

    def refuses_early(self, service: str) -> bool:
        """Return whether openings of a service may be refused at once.

        This is so where requests on open flows fill the targets. If each
        request opens a flow, a queue of openings is all the demand there is,
        and a caller that waits keeps the tries that it has left.
        """
        return self.options.refuses_early and self._state(service).keeps_flows

    def steps(
        self, route: ActiveRoute, service: str, full_load: float, now_s: float
    ) -> tuple[PlacementStep, ...]:
        """Return which targets a new flow may use, in order.

        Parameters
        ----------
        route : ActiveRoute
            Route of the flow.
        service : str
            Service of the flow.
        full_load : float
            Load from which on no target is used, in requests per slot.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of PlacementStep
            Steps; a single one if the service has no lanes.
        """
        candidates = self._directory.usable_targets(service)
        state = self._state(service)
        if now_s - state.reviewed_s >= REVIEW_INTERVAL_S:
            self._review(service, state, candidates, now_s)
        if full_load == inf:
            return (PlacementStep(candidates, full_load),)
        lanes = state.lanes(candidates)
        own = state.lane_of(route.record.priority)
        mean_load = partial(self._mean_load, service, lanes, now_s)
        # Exact counts of each target say more than the mean.
        load_of = mean_load if self._loads.is_sampled else _no_load
        steps = []
        if len(lanes) > 1:
            lane_load = min(LANE_LOAD, full_load)
            lower = range(own, len(lanes))
            steps += [state.step(each, lane_load, load_of) for each in lower]
            higher = range(own)
            steps += [state.step(each, LENT_LOAD, mean_load) for each in higher]
        steps.append(state.step(own, full_load, load_of))
        return tuple(step for step in steps if step.targets)

    def _mean_load(
        self,
        service: str,
        lanes: Sequence[Lane],
        now_s: float,
        number: int,
        zone: str,
    ) -> float | None:
        """Return the mean load of a lane in a zone, None if it is unknown."""
        key = zone_key(zone, service, number)
        if zone != self._zone and self._loads.is_sampled:
            return self.zone_loads.load(key, now_s)
        measured_s, load = self._means.get(key, (-inf, 0))
        if now_s - measured_s >= LOAD_AGE_S:
            targets = lanes[number][zone]
            flows = sum(map(self._loads.estimated_flows, targets))
            limits = sum(map(partial(self._limit, now_s=now_s), targets))
            load = FULL_LOAD * flows / limits
            self._means[key] = (now_s, load)
            self.zone_loads.note_own(key, load, now_s)
        return load

    def _limit(self, target: KnownTarget, now_s: float) -> float:
        slots = target.record.slots
        if not self.options.learns_speeds:
            return FULL_LOAD * slots
        return self.speeds.limit(target.token, slots, now_s)

    def _state(self, service: str) -> ServiceDivision:
        state = self._services.get(service)
        if state is None:
            state = ServiceDivision()
            self._services[service] = state
        return state

    def _review(
        self,
        service: str,
        state: ServiceDivision,
        candidates: tuple[KnownTarget, ...],
        now_s: float,
    ) -> None:
        """Compare speeds and adapt the sizes of the lanes."""
        state.reviewed_s = now_s
        if self.options.learns_speeds:
            self.speeds.balance([each.token for each in candidates], now_s)
        priorities = self._priorities_of(service)
        sizes: dict[str, tuple[int, ...]] = {}
        if self.options.lanes and len(priorities) > 1 and state.keeps_flows:
            sizes = self._sizes(service, state, priorities, candidates, now_s)
        if sizes != state.sizes or priorities != state.priorities:
            state.priorities = priorities
            state.divide(sizes)
            self._events.event(
                'lanes_changed',
                service=service,
                priorities=','.join(map(str, priorities)),
                sizes=' '.join(
                    f'{zone}:' + ','.join(map(str, lanes))
                    for zone, lanes in sorted(sizes.items())
                ),
            )

    def _sizes(
        self,
        service: str,
        state: ServiceDivision,
        priorities: tuple[int, ...],
        candidates: tuple[KnownTarget, ...],
        now_s: float,
    ) -> dict[str, tuple[int, ...]]:
        if not self.demand.is_known:
            return state.sizes
        members = self._count_members()
        needs = [
            self.demand.need(demand_key(service, each), members, now_s)
            for each in priorities
        ]
        by_zone = Counter(each.record.zone for each in candidates)
        slots = sum(
            each.record.slots
            for each in candidates
            if each.record.zone == self._zone
        )
        # Response times are longer than the time at a slot, so the targets'
        # slots bound what the answered requests can have needed.
        answered = self.demand.need(answered_key(service), members, now_s)
        if answered > slots:
            needs = [need * slots / answered for need in needs]
        shares = lane_shares(needs, slots)
        is_same = priorities == state.priorities
        return {
            zone: lane_sizes(
                shares, count, state.sizes.get(zone) if is_same else None
            )
            for zone, count in by_zone.items()
            if count >= MIN_ZONE_TARGETS
        }

    def _priorities_of(self, service: str) -> tuple[int, ...]:
        """Return the priorities of a service's routes, the highest first."""
        if self._priorities_version != self._routes.version:
            self._priorities_version = self._routes.version
            found: dict[str, set[int]] = {}
            for record in self._routes.records():
                for share in record.shares:
                    found.setdefault(share.service, set()).add(record.priority)
            self._priorities = {
                name: tuple(sorted(each)) for name, each in found.items()
            }
        return self._priorities.get(service, ())


def _no_load(number: int, zone: str) -> None:
    """Return that the mean load of a lane in a zone is not looked at."""
