"""Opening of flows: selection of a target, waiting, retries and refusal.

Callers open a flow with an opening packet (SYN), which is sent to a target or
held back while all targets are busy. Targets send their packets to callers
directly, so an opening counts as answered once a later packet of the caller
returns the token of the target.
"""

import math
import zlib
from collections import Counter, deque
from typing import TYPE_CHECKING, Final

from siskinproxy.entry.counting import FlowCounter
from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.flow_reports import EventSink, FlowReports, Outbox
from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.metrics import Histogram
from siskinproxy.entry.packets import PacketCodec, PacketHeader
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import ActiveRoute, RouteTable
from siskinproxy.entry.target_selection import (
    FULL_LOAD,
    Placement,
    PlacementReason,
    Placer,
)
from siskinproxy.entry.timing import EngineTiming
from siskinproxy.entry.waiting_queue import WaitingOpening, WaitingOpenings

if TYPE_CHECKING:
    from siskinproxy.entry.scheduling.divisions import PlacementStep
    from siskinproxy.entry.scheduling.scheduler import Scheduler

__all__ = ('FlowOpener',)

#: Weight of a new sample in the moving average of the time to an answer.
_ANSWER_WEIGHT: Final = 1 / 16
#: Initial value of that average, in seconds.
_INITIAL_MEAN_ANSWER_S: Final = 0.02


class FlowOpener:
    """Opens flows for callers, or refuses them.

    Parameters
    ----------
    codec : PacketCodec
        Packet format.
    directory : TargetDirectory
        Known targets.
    routes : RouteTable
        Routes in force.
    placer : Placer
        Selects the targets of new flows.
    responsiveness : Responsiveness
        Detects targets that do not answer.
    outbox : Outbox
        Sender of datagrams.
    events : EventSink
        Log of decisions.
    flows : FlowTable
        Flows of this instance.
    counter : FlowCounter
        Counts the flows in progress.
    reports : FlowReports
        Counts and logs what becomes of flows.
    timing : EngineTiming
        Timeouts and intervals.

    Attributes
    ----------
    scheduler : Scheduler or None
        Decisions under scarcity; None if the settings ask for none.
    timing : EngineTiming
        Timeouts and intervals; may be replaced at any time.
    waiting : WaitingOpenings
        Openings that wait for a target.
    answer_times, wait_times : Histogram
        Time from an opening to its answer, and time for which openings waited
        for a target.
    """

    def __init__(
        self,
        codec: PacketCodec,
        directory: TargetDirectory,
        routes: RouteTable,
        placer: Placer,
        responsiveness: Responsiveness,
        outbox: Outbox,
        events: EventSink,
        flows: FlowTable,
        counter: FlowCounter,
        reports: FlowReports,
        timing: EngineTiming,
    ) -> None:
        self.scheduler: Scheduler | None = None
        self._codec = codec
        self._directory = directory
        self._routes = routes
        self._placer = placer
        self._responsiveness = responsiveness
        self._outbox = outbox
        self._events = events
        self._flows = flows
        self._counter = counter
        self._reports = reports
        self._counters = reports.counters
        self.timing = timing
        self.waiting = WaitingOpenings()
        self.answer_times = Histogram()
        self.wait_times = Histogram()
        self._mean_answer_s = _INITIAL_MEAN_ANSWER_S
        self._answer_deadlines: deque[tuple[float, OpenedFlow]] = deque()
        self._last_run_s: float | None = None

    @property
    def answer_timeout_s(self) -> float:
        """Time after which an opening counts as unanswered, in seconds."""
        timing = self.timing
        timeout_s = timing.answer_timeout_factor * self._mean_answer_s
        return min(
            max(timeout_s, timing.min_answer_timeout_s),
            timing.max_answer_timeout_s,
        )

    def restart_after_pause(self, now_s: float) -> bool:
        """Restart the answer timeouts if the process has just been paused.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it has.
        """
        was_paused = self._was_paused(now_s)
        if was_paused:
            self._restart_answer_timeouts(now_s)
        return was_paused

    def on_opening(
        self, head: PacketHeader, packet: bytes, now_s: float
    ) -> None:
        """Handle an opening packet: forward it, hold it back or refuse it."""
        flow = self._flows.get(head.flow)
        if flow is not None and flow.head.sequence == head.sequence:
            self._on_retransmission(flow, packet, now_s)
            return
        if flow is not None:
            self._counter.uncount(flow)
            self._flows.remove(flow)
        route = self._routes.find(head.destination)
        if route is None:
            self.refuse(head, 'no_route')
            return
        if head.copy:
            # An earlier transmission may have reached another instance, which
            # must no longer count the flow or keep its opening waiting.
            self._flows.ended_hashes.add(zlib.crc32(head.flow))
        opening = WaitingOpening(head, packet, route, now_s)
        placement = self._place(route, head.flow, now_s, full_load=FULL_LOAD)
        if self.scheduler is not None:
            self.scheduler.waits.note_arrival(
                self._class_of(opening),
                now_s,
                is_blocked=placement.target is None,
            )
        if placement.target is not None:
            self._open(opening, placement, now_s)
        elif placement.reason is PlacementReason.NO_TARGET:
            self.refuse(head, placement.reason.value)
        elif head.flow not in self.waiting:
            self._hold_back(opening, placement, now_s)

    def _hold_back(
        self, opening: WaitingOpening, placement: Placement, now_s: float
    ) -> None:
        """Let an opening wait for a target unless that is hopeless."""
        key = self._class_of(opening)
        position = len(self.waiting) + 1
        if self._is_hopeless(opening, key, position, now_s):
            self._refuse_for_room(opening, now_s)
            return
        self.waiting.add(opening)
        self._reports.waits(
            opening.head,
            opening.route,
            placement.reason.value,
            len(self.waiting),
        )

    def release(self, now_s: float) -> None:
        """Open waiting flows as targets are free; refuse hopeless ones.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        for late in self.waiting.overdue(now_s):
            self.waiting.remove(late)
            self.refuse(late.head, 'waited_too_long')
        # Selection scans all targets of a service. If the first opening finds
        # none that is free, the others of its class would not either.
        ahead: Counter[tuple[str, int]] = Counter()
        for opening in self.waiting.in_release_order(now_s):
            key = self._class_of(opening)
            if not ahead[key] and self._try_to_open(opening, key, now_s):
                continue
            ahead[key] += 1
            if self._is_hopeless(opening, key, ahead[key], now_s):
                self.waiting.remove(opening)
                self._refuse_for_room(opening, now_s)

    def _refuse_for_room(self, opening: WaitingOpening, now_s: float) -> None:
        service = opening.route.service_of(opening.head.flow)
        self.scheduler.note_refused(opening.route.record, service, now_s)
        self.refuse(opening.head, 'no_room')

    def _class_of(self, opening: WaitingOpening) -> tuple[str, int]:
        """Return what openings that compete for the same targets share."""
        service = opening.route.service_of(opening.head.flow)
        if self.scheduler is None:
            return service, 0
        return service, opening.route.record.priority

    def _is_hopeless(
        self,
        opening: WaitingOpening,
        key: tuple[str, int],
        position: int,
        now_s: float,
    ) -> bool:
        """Return whether an opening will not find a target in time."""
        scheduler = self.scheduler
        if scheduler is None or not scheduler.refuses_early(key[0]):
            return False
        latest_s = self.waiting.latest_in_time_s(opening)
        return scheduler.waits.is_hopeless(key, position, latest_s, now_s)

    def _try_to_open(
        self, opening: WaitingOpening, key: tuple[str, int], now_s: float
    ) -> bool:
        """Open a waiting flow if a target is free; return whether one was."""
        placement = self._place(
            opening.route, opening.head.flow, now_s, full_load=FULL_LOAD
        )
        if placement.target is not None:
            self.waiting.remove(opening)
            self.wait_times.observe(now_s - opening.arrived_s)
            self._open(opening, placement, now_s)
            if self.scheduler is not None:
                self.scheduler.waits.note_released(key, now_s)
        return placement.target is not None

    def _open(
        self, opening: WaitingOpening, placement: Placement, now_s: float
    ) -> None:
        record = opening.route.record
        flow = OpenedFlow(
            opening.head,
            opening.packet,
            opening.route,
            placement.target,
            now_s,
        )
        expires_s = now_s + record.deadline_s + self.timing.flow_grace_s
        self._flows.add(flow, expires_s)
        self._counter.count(flow, now_s)
        self._send_opening(flow, placement, now_s)
        self._reports.opened(
            flow, placement, now_s - opening.arrived_s, self._routes.version
        )

    def note_answered(
        self, flow: OpenedFlow, target: KnownTarget, now_s: float
    ) -> None:
        """Record that a packet of the caller has named the flow's target."""
        flow.is_answered = True
        flow.packet = b''
        # The time of an answer is known only for the target that the opening
        # was last sent to; an earlier one may have answered instead.
        if target is flow.target:
            waited_s = now_s - flow.sent_s
            self.answer_times.observe(waited_s)
            difference_s = waited_s - self._mean_answer_s
            self._mean_answer_s += _ANSWER_WEIGHT * difference_s
        self._counter.uncount(flow)
        flow.target = target
        self._counter.count(flow, now_s)
        if self._responsiveness.note_answered(target, now_s):
            self._events.event('target_trusted', target=target.name)

    def check_answers(self, now_s: float) -> float | None:
        """Move openings without an answer; return when the next is due.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Time of the next call, in seconds; None if no answer is awaited.
        """
        while self._answer_deadlines:
            due_s, flow = self._answer_deadlines[0]
            is_open = self._flows.get(flow.key) is flow
            if is_open and not flow.is_answered and due_s > now_s:
                return due_s
            self._answer_deadlines.popleft()
            if is_open and not flow.is_answered:
                self._on_answer_timeout(flow, now_s)
        return None

    def _on_answer_timeout(self, flow: OpenedFlow, now_s: float) -> None:
        """Move an opening once, unless its target answers other callers.

        If the target answers others, the caller's packets may now pass through
        another instance; a second target would then disrupt an open flow.
        """
        self._note_unanswered(flow, now_s)
        if flow.tried or self._responsiveness.has_answered_since(
            flow.target, flow.sent_s
        ):
            return
        self.move(flow, now_s)

    def _on_retransmission(
        self, flow: OpenedFlow, packet: bytes, now_s: float
    ) -> None:
        """Handle a retransmitted opening packet of a flow that is open here.

        The caller had no answer when it sent the packet. It is forwarded to
        the same target, or to another one if the answer timeout is over.
        """
        self._counters['copies'] += 1
        flow.packet = packet
        if flow.is_answered or now_s - flow.sent_s < self.answer_timeout_s:
            self.forward(flow.target, packet)
            return
        self._note_unanswered(flow, now_s)
        self.move(flow, now_s)

    def _note_unanswered(self, flow: OpenedFlow, now_s: float) -> None:
        if flow.was_timeout_noted:
            return
        flow.was_timeout_noted = True
        self._counters['unanswered'] += 1
        suspected = self._responsiveness.note_unanswered(
            flow.target, flow.sent_s, now_s
        )
        if suspected:
            self._events.event(
                'target_suspected',
                target=flow.target.name,
                suspected=len(suspected),
                waited_ms=round(1000 * (now_s - flow.sent_s)),
            )

    def move(self, flow: OpenedFlow, now_s: float) -> None:
        """Send an opening without an answer to another target, if any."""
        target = flow.target
        tried = (*flow.tried, target)
        placement = self._place(flow.route, flow.key, now_s, tried)
        if placement.target is None:
            return
        self._counter.uncount(flow)
        flow.move_to(placement.target, now_s)
        self._counter.count(flow, now_s)
        self._reports.moved(flow, target, placement, now_s)
        self._send_opening(flow, placement, now_s)

    def _send_opening(
        self, flow: OpenedFlow, placement: Placement, now_s: float
    ) -> None:
        target = flow.target
        if placement.reason is PlacementReason.PROBE:
            self._responsiveness.note_probe(target, now_s)
        self._placer.note_sent(target, now_s)
        self.forward(target, flow.packet)
        self._answer_deadlines.append((now_s + self.answer_timeout_s, flow))

    def _place(
        self,
        route: ActiveRoute,
        key: bytes,
        now_s: float,
        tried: tuple[KnownTarget, ...] = (),
        *,
        full_load: float = math.inf,
    ) -> Placement:
        service = route.service_of(key)
        record = self._routes.services.get(service)
        rate_per_s = record.warmup_per_s if record else 0
        candidates = self._directory.usable_targets(service)
        if self.scheduler is None or tried or not candidates:
            return self._placer.choose(
                candidates, rate_per_s, now_s, tried, full_load=full_load
            )
        steps = self.scheduler.steps(route, service, full_load, now_s)
        return self._place_in_steps(steps, rate_per_s, now_s)

    def _place_in_steps(
        self,
        steps: 'tuple[PlacementStep, ...]',
        rate_per_s: float,
        now_s: float,
    ) -> Placement:
        """Return the first placement without a doubt, else the last one.

        Without steps, all targets that the flow may use are full.
        """
        placement = Placement(None, PlacementReason.ALL_BUSY)
        for step in steps:
            placement = self._placer.choose(
                step.targets, rate_per_s, now_s, full_load=step.full_load
            )
            is_settled = placement.reason is not PlacementReason.ALL_SUSPECTED
            if placement.target is not None and is_settled:
                return placement
        return placement

    def refuse(self, head: PacketHeader, reason: str) -> None:
        """Reset a flow that is not open; its request has therefore not run."""
        self._counters[f'refused_{reason}'] += 1
        self._events.event(
            'flow_refused',
            flow=head.caller,
            destination=head.destination.hex(),
            reason=reason,
            config=self._routes.version,
        )
        address = self._codec.caller_address(head)
        self._outbox.send(address, self._codec.build_reset(head))

    def forward(self, target: KnownTarget, packet: bytes) -> None:
        """Send a packet of a caller to a target."""
        record = target.record
        datagram = self._codec.frame_for_target(
            record.target_id, target.token, packet
        )
        self._outbox.send(record.address, datagram)

    def _was_paused(self, now_s: float) -> bool:
        """Return whether the timer ran late for the first answer timeout.

        The delay counts from the time at which the timeout was due, or from
        the previous run of the timer if that was later.
        """
        last_s = self._last_run_s
        self._last_run_s = now_s
        if last_s is None or not self._answer_deadlines:
            return False
        due_s = self._answer_deadlines[0][0]
        return now_s - max(last_s, due_s) > self.timing.pause_s

    def _restart_answer_timeouts(self, now_s: float) -> None:
        """Restart all answer timeouts after a pause of the process.

        Answers that arrived during the pause are then handled before their
        openings time out.
        """
        self._counters['pauses'] += 1
        timeout_s = self.answer_timeout_s
        self._answer_deadlines = deque(
            (now_s + timeout_s, flow) for _, flow in self._answer_deadlines
        )
