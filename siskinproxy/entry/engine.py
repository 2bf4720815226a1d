"""Packet decisions of an entry process, without sockets and clocks."""

import math
import zlib
from collections import Counter, deque
from collections.abc import Iterable
from typing import Any, Final, Protocol

import msgspec

from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.metrics import Histogram
from siskinproxy.entry.packets import (
    FIN,
    RST,
    SYN,
    PacketCodec,
    PacketHead,
)
from siskinproxy.entry.placing import (
    FULL_LOAD,
    Placement,
    PlacementReason,
    Placer,
)
from siskinproxy.entry.records import NO_TOKEN, Address
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import ActiveRoute, RouteTable
from siskinproxy.entry.waiting import WaitingOpening, WaitingOpenings

__all__ = ('EngineTiming', 'EntryEngine', 'EventSink', 'Outbox')


class Outbox(Protocol):
    """Where the engine sends datagrams."""

    def send(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; one that cannot be sent is lost."""


class EventSink(Protocol):
    """Where the engine reports decisions."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Report a decision."""


class EngineTiming(msgspec.Struct, frozen=True):
    """Times of the engine, in seconds.

    Parameters
    ----------
    least_answer_s : float
        Shortest time after which an opening counts as unanswered.
    most_answer_s : float
        Longest such time; less than the 200 ms after which callers send their
        opening packet again.
    answer_factor : float
        Multiple of the usual time to an answer after which an opening counts
        as unanswered.
    pause_s : float
        Time between two runs of the process after which it counts as paused;
        what it missed meanwhile says nothing about targets.
    release_s : float
        Time between two looks at openings that wait, besides those when a
        flow ends.
    least_counted_s : float
        Least time for which a flow counts whose closing packet is not seen.
    flow_grace_s : float
        Time after the deadline of a request at which its flow counts as ended.
    zone_out_s : float
        Time after which nothing is sent to a zone that is taken out.
    dropped_route_s : float
        Time in which open flows of a dropped route may end.
    """

    least_answer_s: float = 0.03
    most_answer_s: float = 0.15
    answer_factor: float = 4.0
    pause_s: float = 0.25
    release_s: float = 0.02
    least_counted_s: float = 0.25
    flow_grace_s: float = 1.0
    zone_out_s: float = 4.0
    dropped_route_s: float = 2.0


#: Weight of a new answer in the usual time to an answer.
_ANSWER_WEIGHT: Final = 1 / 16
#: Usual time to an answer before any was seen, in seconds.
_FIRST_ANSWER_S: Final = 0.02
#: Weight of a closed flow in the usual duration of flows.
_DURATION_WEIGHT: Final = 1 / 16
#: Usual duration of a flow before any was seen, in seconds.
_FIRST_DURATION_S: Final = 0.1
#: Usual durations for which a flow counts whose closing packet is not seen.
#: Closing packets pass through another instance after each change of the
#: fabric, and slots must not be held for flows that have ended.
_COUNTED_DURATIONS: Final = 3


class EntryEngine:
    """Forwards packets and decides on new flows.

    Parameters
    ----------
    codec : PacketCodec
        Packet format.
    directory : TargetDirectory
        Known targets.
    routes : RouteTable
        Routes in force.
    placer : Placer
        Choice of targets.
    responsiveness : Responsiveness
        Evidence on silent targets.
    outbox : Outbox
        Where datagrams are sent.
    events : EventSink
        Where decisions are reported.
    timing : EngineTiming
        Times.

    Attributes
    ----------
    counters : Counter
        Packets and flows by outcome.
    flows : FlowTable
        Flows that this instance opened.
    waiting : WaitingOpenings
        Openings that wait for a target.
    timing : EngineTiming
        Times; may be replaced.
    answer_times, flow_times, wait_times : Histogram
        Durations of openings, flows and waits.
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
        timing: EngineTiming | None = None,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.flows = FlowTable()
        self._codec = codec
        self._directory = directory
        self._routes = routes
        self._placer = placer
        self._responsiveness = responsiveness
        self._outbox = outbox
        self._events = events
        self.timing = timing or EngineTiming()
        self.waiting = WaitingOpenings()
        self._ended_elsewhere: set[int] = set()
        self._unanswered: deque[tuple[float, OpenedFlow]] = deque()
        self.answer_times = Histogram()
        self.flow_times = Histogram()
        self.wait_times = Histogram()
        self._usual_answer_s = _FIRST_ANSWER_S
        self._usual_duration_s = _FIRST_DURATION_S
        self._ran_s: float | None = None

    @property
    def answer_limit_s(self) -> float:
        """Time after which an opening counts as unanswered."""
        timing = self.timing
        limit_s = timing.answer_factor * self._usual_answer_s
        return min(max(limit_s, timing.least_answer_s), timing.most_answer_s)

    def on_packet(self, packet: bytes, now_s: float) -> None:
        """Handle a packet of a caller.

        Parameters
        ----------
        packet : bytes
            Datagram from the fabric.
        now_s : float
            Current time in seconds.
        """
        head = self._codec.read_head(packet)
        if head is None:
            self.counters['malformed'] += 1
            return
        if head.flags & SYN:
            self._on_opening(head, packet, now_s)
        else:
            self._on_established(head, packet, now_s)

    def on_timer(self, now_s: float) -> float | None:
        """Move openings that were not answered, and end expired flows.

        Packets that have arrived must be handled before.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            When to call again, in seconds; None if nothing is pending.
        """
        for uncounted in self.flows.uncounted(now_s):
            self._uncount(uncounted)
            if not uncounted.is_answered:
                self._report_unanswered(uncounted, now_s)
        self.flows.forget_expired(now_s)
        if self._was_paused(now_s):
            self._postpone(now_s)
        due_s = self._check_unanswered(now_s)
        if not self.waiting:
            return due_s
        self.release(now_s)
        retry_s = now_s + self.timing.release_s
        return retry_s if due_s is None else min(due_s, retry_s)

    def release(self, now_s: float) -> None:
        """Open waiting flows for which a target is free; refuse late ones."""
        for late in self.waiting.overdue(now_s):
            self.waiting.remove(late)
            self._refuse(late.head, 'waited_too_long')
        for opening in self.waiting.in_order(now_s):
            self._try_to_open(opening, now_s)

    def _try_to_open(self, opening: WaitingOpening, now_s: float) -> None:
        placement = self._place(
            opening.route, opening.head.flow, now_s, full_load=FULL_LOAD
        )
        if placement.target is not None:
            self.waiting.remove(opening)
            self.wait_times.observe(now_s - opening.arrived_s)
            self._open(opening, placement, now_s)

    def _check_unanswered(self, now_s: float) -> float | None:
        while self._unanswered:
            due_s, flow = self._unanswered[0]
            is_open = self.flows.get(flow.key) is flow
            if is_open and not flow.is_answered and due_s > now_s:
                return due_s
            self._unanswered.popleft()
            if is_open and not flow.is_answered:
                self._on_late_answer(flow, now_s)
        return None

    def _on_late_answer(self, flow: OpenedFlow, now_s: float) -> None:
        """Move an opening, once, unless its target answers other callers.

        The answer may also be missing here because the caller's packets take
        another way; then a second target would only disturb the flow.
        """
        self._note_missed(flow, now_s)
        if flow.tried or self._responsiveness.has_answered_since(
            flow.target, flow.sent_s
        ):
            return
        self._move(flow, now_s)

    def _on_opening(
        self, head: PacketHead, packet: bytes, now_s: float
    ) -> None:
        flow = self.flows.get(head.flow)
        if flow is not None and flow.head.sequence == head.sequence:
            self._on_copy(flow, packet, now_s)
            return
        if flow is not None:
            self._uncount(flow)
            self.flows.remove(flow)
        route = self._routes.find(head.destination)
        if route is None:
            self._refuse(head, 'no_route')
            return
        if head.copy:
            # Another instance may hold an earlier copy.
            self._ended_elsewhere.add(zlib.crc32(head.flow))
        opening = WaitingOpening(head, packet, route, now_s)
        placement = self._place(route, head.flow, now_s, full_load=FULL_LOAD)
        if placement.target is not None:
            self._open(opening, placement, now_s)
        elif placement.reason is PlacementReason.NO_TARGET:
            self._refuse(head, placement.reason.value)
        elif head.flow not in self.waiting:
            self.waiting.add(opening)
            self.counters['waited'] += 1
            self._events.event(
                'flow_waits',
                flow=head.caller,
                route=route.record.name,
                reason=placement.reason.value,
                waiting=len(self.waiting),
            )

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
        self.flows.add(flow, expires_s)
        self.flows.count_until(flow, now_s + self._counted_life_s)
        self._placer.note_started(placement.target)
        self._send_opening(flow, placement, now_s)
        self.counters['opened'] += 1
        self._events.event(
            'flow_opened',
            flow=opening.head.caller,
            route=record.name,
            target=placement.target.name,
            reason=placement.reason.value,
            copy=opening.head.copy,
            waited_ms=round(1000 * (now_s - opening.arrived_s)),
            config=self._routes.version,
        )

    def _on_copy(self, flow: OpenedFlow, packet: bytes, now_s: float) -> None:
        """Handle a repeated opening packet: its answer did not arrive."""
        self.counters['copies'] += 1
        flow.packet = packet
        if flow.is_answered or now_s - flow.sent_s < self.answer_limit_s:
            self._forward(flow.target, packet)
            return
        self._note_missed(flow, now_s)
        self._move(flow, now_s)

    def _note_missed(self, flow: OpenedFlow, now_s: float) -> None:
        if flow.was_missed:
            return
        flow.was_missed = True
        self.counters['unanswered'] += 1
        suspected = self._responsiveness.note_missed(
            flow.target, flow.sent_s, now_s
        )
        if suspected:
            self._events.event(
                'target_suspected',
                target=flow.target.name,
                suspected=len(suspected),
                waited_ms=round(1000 * (now_s - flow.sent_s)),
            )

    def _move(self, flow: OpenedFlow, now_s: float) -> None:
        target = flow.target
        tried = (*flow.tried, target)
        placement = self._place(flow.route, flow.key, now_s, tried)
        if placement.target is None:
            return
        self._uncount(flow)
        flow.move_to(placement.target, now_s)
        self._count(flow, now_s + self._counted_life_s)
        self._events.event(
            'opening_moved',
            flow=flow.head.caller,
            route=flow.route.record.name,
            earlier=target.name,
            target=placement.target.name,
            reason=placement.reason.value,
            waited_ms=round(1000 * (now_s - flow.first_s)),
        )
        self.counters['moved'] += 1
        self._send_opening(flow, placement, now_s)

    def _send_opening(
        self, flow: OpenedFlow, placement: Placement, now_s: float
    ) -> None:
        target = flow.target
        if placement.reason is PlacementReason.PROBE:
            self._responsiveness.note_probe(target, now_s)
        self._placer.note_sent(target, now_s)
        self._forward(target, flow.packet)
        self._unanswered.append((now_s + self.answer_limit_s, flow))

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
        candidates = self._directory.of_service(service)
        return self._placer.choose(
            candidates, rate_per_s, now_s, tried, full_load=full_load
        )

    def _refuse(self, head: PacketHead, reason: str) -> None:
        """Reset a flow that is not open, so its request has not run."""
        self.counters[f'refused_{reason}'] += 1
        self._events.event(
            'flow_refused',
            flow=head.caller,
            destination=head.destination.hex(),
            reason=reason,
            config=self._routes.version,
        )
        address = self._codec.caller_address(head)
        self._outbox.send(address, self._codec.build_reset(head))

    def _on_established(
        self, head: PacketHead, packet: bytes, now_s: float
    ) -> None:
        flow = self.flows.get(head.flow)
        if self.waiting and head.flow in self.waiting:
            # The caller has given up, or another instance has opened it.
            self.waiting.discard(head.flow)
        target = self._target_of(head, flow, now_s)
        if target is None:
            return
        out_s = self._directory.out_for_s(target.record.zone, now_s)
        if out_s > self.timing.zone_out_s:
            self.counters['dropped_zone_out'] += 1
            return
        self._forward(target, packet)
        self.counters['forwarded'] += 1
        if head.flags & (FIN | RST):
            self._on_closing(head.flow, flow, now_s)

    def _target_of(
        self, head: PacketHead, flow: OpenedFlow | None, now_s: float
    ) -> KnownTarget | None:
        if flow is not None and flow.is_answered:
            # A late answer of a target that was tried before may have changed
            # the token that the caller returns.
            return flow.target
        if head.token == NO_TOKEN:
            self.counters['dropped_no_token'] += 1
            return None
        target = self._resolve(head, now_s)
        if target is None:
            self.counters['dropped_unknown_token'] += 1
            self._events.event(
                'token_unknown',
                flow=head.caller,
                destination=head.destination.hex(),
                token=head.token,
                config=self._routes.version,
            )
            return None
        if flow is not None:
            self._on_answered(flow, target, now_s)
        return target

    def _resolve(self, head: PacketHead, now_s: float) -> KnownTarget | None:
        route = self._routes.find(head.destination)
        if route is None:
            since_s = now_s - self.timing.dropped_route_s
            route = self._routes.find_dropped(head.destination, since_s)
        if route is None:
            return None
        return self._directory.resolve(head.token, route.services)

    def _on_answered(
        self, flow: OpenedFlow, target: KnownTarget, now_s: float
    ) -> None:
        flow.is_answered = True
        flow.packet = b''
        if target is flow.target:
            waited_s = now_s - flow.sent_s
            self.answer_times.observe(waited_s)
            difference_s = waited_s - self._usual_answer_s
            self._usual_answer_s += _ANSWER_WEIGHT * difference_s
        self._uncount(flow)
        flow.target = target
        self._count(flow, now_s + self._counted_life_s)
        if self._responsiveness.note_answered(target, now_s):
            self._events.event('target_trusted', target=target.name)

    def _on_closing(
        self, key: bytes, flow: OpenedFlow | None, now_s: float
    ) -> None:
        if flow is None:
            self._ended_elsewhere.add(zlib.crc32(key))
        elif flow.is_counted:
            self._uncount(flow)
            duration_s = now_s - flow.sent_s
            self.flow_times.observe(duration_s)
            if duration_s > flow.route.record.objective_s:
                self._report_slow(flow, duration_s, now_s)
            difference_s = duration_s - self._usual_duration_s
            self._usual_duration_s += _DURATION_WEIGHT * difference_s
        if self.waiting:
            self.release(now_s)

    def _report_slow(
        self, flow: OpenedFlow, duration_s: float, now_s: float
    ) -> None:
        self.counters['slow'] += 1
        self._events.event(
            'flow_slow',
            flow=flow.head.caller,
            route=flow.route.record.name,
            target=flow.target.name,
            took_ms=round(1000 * duration_s),
            objective_ms=round(1000 * flow.route.record.objective_s),
            since_first_ms=round(1000 * (now_s - flow.first_s)),
        )

    def _report_unanswered(self, flow: OpenedFlow, now_s: float) -> None:
        self.counters['never_answered'] += 1
        self._events.event(
            'opening_unanswered',
            flow=flow.head.caller,
            route=flow.route.record.name,
            target=flow.target.name,
            tried=len(flow.tried) + 1,
            since_first_ms=round(1000 * (now_s - flow.first_s)),
        )

    def take_ended_elsewhere(self) -> tuple[int, ...]:
        """Return hashes of flows that ended here but were opened elsewhere.

        Returns
        -------
        tuple of int
            Those since the last call, for the next report.
        """
        ended = tuple(self._ended_elsewhere)
        self._ended_elsewhere.clear()
        return ended

    def on_ended_elsewhere(self, hashes: Iterable[int], now_s: float) -> None:
        """Cease to count flows that another instance ended or took over."""
        for number in hashes:
            flow = self.flows.get_by_hash(number)
            if flow is not None:
                self._uncount(flow)
            self.waiting.discard_hash(number)
        if self.waiting:
            self.release(now_s)

    @property
    def _counted_life_s(self) -> float:
        """Time for which a flow counts if its closing packet is not seen."""
        life_s = _COUNTED_DURATIONS * self._usual_duration_s
        return max(life_s, self.timing.least_counted_s)

    def _count(self, flow: OpenedFlow, until_s: float) -> None:
        flow.is_counted = True
        self._placer.note_started(flow.target)
        self.flows.count_until(flow, until_s)

    def _uncount(self, flow: OpenedFlow) -> None:
        if flow.is_counted:
            flow.is_counted = False
            self._placer.note_ended(flow.target)

    def _forward(self, target: KnownTarget, packet: bytes) -> None:
        record = target.record
        datagram = self._codec.frame_for_target(
            record.target_id, target.token, packet
        )
        self._outbox.send(record.address, datagram)

    def _was_paused(self, now_s: float) -> bool:
        last_s = self._ran_s
        self._ran_s = now_s
        if last_s is None or not self._unanswered:
            return False
        due_s = self._unanswered[0][0]
        return now_s - max(last_s, due_s) > self.timing.pause_s

    def _postpone(self, now_s: float) -> None:
        """Give answers that arrived during a pause time to be handled."""
        self.counters['pauses'] += 1
        limit_s = self.answer_limit_s
        self._unanswered = deque(
            (now_s + limit_s, flow) for _, flow in self._unanswered
        )
