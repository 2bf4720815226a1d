"""Packet handling of an entry process, independent of sockets and clocks.

Callers open a flow with an opening packet (SYN), which the engine forwards to
a target of its choice or holds back while all targets are busy. Targets send
their packets to callers directly, not through the instances, so the engine
sees only what callers send: an opening counts as answered once a later packet
of the caller returns the token of the target. Packets of established flows are
forwarded by that token and need no state of the flow.
"""

import math
import zlib
from collections import Counter, deque
from collections.abc import Iterable
from typing import Final

import msgspec

from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.ended_evidence import EndedEvidence
from siskinproxy.entry.ended_flows import EndedFlows
from siskinproxy.entry.flow_reports import EventSink, FlowReports, Outbox
from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.metrics import Histogram
from siskinproxy.entry.packets import (
    FIN,
    RST,
    SYN,
    PacketCodec,
    PacketHeader,
)
from siskinproxy.entry.records import NO_TOKEN
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import ActiveRoute, RouteTable
from siskinproxy.entry.target_selection import (
    FULL_LOAD,
    Placement,
    PlacementReason,
    Placer,
)
from siskinproxy.entry.waiting_queue import WaitingOpening, WaitingOpenings

__all__ = ('EngineTiming', 'EntryEngine', 'EventSink', 'Outbox')


class EngineTiming(msgspec.Struct, frozen=True):
    """Timeouts and intervals of the engine.

    Parameters
    ----------
    min_answer_timeout_s : float
        Lower limit of the answer timeout, in seconds.
    max_answer_timeout_s : float
        Upper limit of the answer timeout, in seconds; less than the 200 ms
        after which callers retransmit their opening packet.
    answer_timeout_factor : float
        Answer timeout as a multiple of the mean time to an answer.
    pause_s : float
        Delay of a timer, in seconds, from which on the process counts as
        paused. Answers that it could not read meanwhile are no evidence that
        targets are unresponsive.
    waiting_check_s : float
        Interval at which waiting openings are checked, in seconds; they are
        also checked whenever a flow ends.
    min_counting_timeout_s : float
        Lower limit of the time for which a flow counts as in progress if its
        closing packet is not seen, in seconds.
    flow_grace_s : float
        Time after the deadline of a request at which the state of its flow is
        deleted, in seconds.
    zone_out_s : float
        Time after a zone is taken out of service from which on no packet is
        forwarded to it, in seconds.
    removed_route_s : float
        Time for which packets of open flows are still forwarded after their
        route was removed, in seconds.
    """

    min_answer_timeout_s: float = 0.03
    max_answer_timeout_s: float = 0.15
    answer_timeout_factor: float = 4.0
    pause_s: float = 0.25
    waiting_check_s: float = 0.02
    min_counting_timeout_s: float = 0.25
    flow_grace_s: float = 1.0
    zone_out_s: float = 4.0
    removed_route_s: float = 2.0


#: Weight of a new sample in the moving average of the time to an answer.
_ANSWER_WEIGHT: Final = 1 / 16
#: Initial value of that average, in seconds.
_INITIAL_MEAN_ANSWER_S: Final = 0.02
#: Weight of a new sample in the moving average of the duration of flows.
_DURATION_WEIGHT: Final = 1 / 16
#: Initial value of that average, in seconds.
_INITIAL_MEAN_DURATION_S: Final = 0.1
#: Time for which a flow counts as in progress if its closing packet is not
#: seen, as a multiple of the mean duration. After a change of the fabric,
#: closing packets pass through another instance, and slots must not stay
#: occupied by flows that have ended.
_COUNTED_DURATION_FACTOR: Final = 3


class EntryEngine:
    """Forwards packets, and selects targets for new flows.

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
    timing : EngineTiming
        Timeouts and intervals.
    ended : EndedEvidence or None
        Evidence on ended targets; None if their flows are not reset.

    Attributes
    ----------
    counters : Counter
        Number of packets and flows by outcome.
    flows : FlowTable
        Flows that this instance opened.
    waiting : WaitingOpenings
        Openings that wait for a target.
    timing : EngineTiming
        Timeouts and intervals; may be replaced at any time.
    answer_times, flow_times, wait_times : Histogram
        Time from an opening to its answer, duration of flows, and time for
        which openings waited for a target.
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
        ended: EndedEvidence | None = None,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.flows = FlowTable()
        self._codec = codec
        self._directory = directory
        self._routes = routes
        self._placer = placer
        self._reports = FlowReports(self.counters, events)
        self._ended = ended and EndedFlows(
            ended, codec, directory, routes, outbox, self._reports
        )
        self._responsiveness = responsiveness
        self._outbox = outbox
        self._events = events
        self.timing = timing or EngineTiming()
        self.waiting = WaitingOpenings()
        self._ended_hashes: set[int] = set()
        self._answer_deadlines: deque[tuple[float, OpenedFlow]] = deque()
        self.answer_times = Histogram()
        self.flow_times = Histogram()
        self.wait_times = Histogram()
        self._mean_answer_s = _INITIAL_MEAN_ANSWER_S
        self._mean_duration_s = _INITIAL_MEAN_DURATION_S
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

    def on_packet(self, packet: bytes, now_s: float) -> None:
        """Handle a packet of a caller.

        A malformed datagram is counted and dropped.

        Parameters
        ----------
        packet : bytes
            Datagram received from the fabric.
        now_s : float
            Current time in seconds.
        """
        head = self._codec.decode_header(packet)
        if head is None:
            self.counters['malformed'] += 1
            return
        if head.flags & SYN:
            self._on_opening(head, packet, now_s)
        else:
            self._on_established(head, packet, now_s)

    def on_timer(self, now_s: float) -> float | None:
        """Apply timeouts: move unanswered openings, delete expired flows.

        Packets that have already arrived must be handled first; otherwise
        answers among them are taken for missing.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Time of the next call, in seconds; None if no timeout is pending.
        """
        for expired in self.flows.counting_expired(now_s):
            self._uncount(expired)
            if not expired.is_answered:
                self._reports.unanswered(expired, now_s)
        self.flows.remove_expired(now_s)
        if self._was_paused(now_s):
            self._restart_answer_timeouts(now_s)
        if self._ended is not None:
            self._ended.run(
                self.flows, now_s, self._uncount, self._move_opening
            )
        due_s = self._check_answer_deadlines(now_s)
        if not self.waiting:
            return due_s
        self.release(now_s)
        retry_s = now_s + self.timing.waiting_check_s
        return retry_s if due_s is None else min(due_s, retry_s)

    def release(self, now_s: float) -> None:
        """Open waiting flows as targets are free; refuse overdue ones.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        for late in self.waiting.overdue(now_s):
            self.waiting.remove(late)
            self._refuse(late.head, 'waited_too_long')
        # Selection scans all targets of a service. If the first opening finds
        # none that is free, the others of the service would not either.
        full_services: set[str] = set()
        for opening in self.waiting.in_release_order(now_s):
            service = opening.route.service_of(opening.head.flow)
            if service in full_services:
                continue
            if not self._try_to_open(opening, now_s):
                full_services.add(service)

    def _try_to_open(self, opening: WaitingOpening, now_s: float) -> bool:
        """Open a waiting flow if a target is free; return whether one was."""
        placement = self._place(
            opening.route, opening.head.flow, now_s, full_load=FULL_LOAD
        )
        if placement.target is not None:
            self.waiting.remove(opening)
            self.wait_times.observe(now_s - opening.arrived_s)
            self._open(opening, placement, now_s)
        return placement.target is not None

    def _check_answer_deadlines(self, now_s: float) -> float | None:
        while self._answer_deadlines:
            due_s, flow = self._answer_deadlines[0]
            is_open = self.flows.get(flow.key) is flow
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
        self._move_opening(flow, now_s)

    def _on_opening(
        self, head: PacketHeader, packet: bytes, now_s: float
    ) -> None:
        flow = self.flows.get(head.flow)
        if flow is not None and flow.head.sequence == head.sequence:
            self._on_retransmission(flow, packet, now_s)
            return
        if flow is not None:
            self._uncount(flow)
            self.flows.remove(flow)
        route = self._routes.find(head.destination)
        if route is None:
            self._refuse(head, 'no_route')
            return
        if head.copy:
            # An earlier transmission may have reached another instance, which
            # must no longer count the flow or keep its opening waiting.
            self._ended_hashes.add(zlib.crc32(head.flow))
        opening = WaitingOpening(head, packet, route, now_s)
        placement = self._place(route, head.flow, now_s, full_load=FULL_LOAD)
        if placement.target is not None:
            self._open(opening, placement, now_s)
        elif placement.reason is PlacementReason.NO_TARGET:
            self._refuse(head, placement.reason.value)
        elif head.flow not in self.waiting:
            self.waiting.add(opening)
            self._reports.waits(
                head, route, placement.reason.value, len(self.waiting)
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
        self.flows.count_until(flow, now_s + self._counting_timeout_s)
        self._placer.note_started(placement.target)
        self._send_opening(flow, placement, now_s)
        self._reports.opened(
            flow, placement, now_s - opening.arrived_s, self._routes.version
        )

    def _on_retransmission(
        self, flow: OpenedFlow, packet: bytes, now_s: float
    ) -> None:
        """Handle a retransmitted opening packet of a flow that is open here.

        The caller had no answer when it sent the packet. It is forwarded to
        the same target, or to another one if the answer timeout is over.
        """
        self.counters['copies'] += 1
        flow.packet = packet
        if flow.is_answered or now_s - flow.sent_s < self.answer_timeout_s:
            self._forward(flow.target, packet)
            return
        self._note_unanswered(flow, now_s)
        self._move_opening(flow, now_s)

    def _note_unanswered(self, flow: OpenedFlow, now_s: float) -> None:
        if flow.was_timeout_noted:
            return
        flow.was_timeout_noted = True
        self.counters['unanswered'] += 1
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

    def _move_opening(self, flow: OpenedFlow, now_s: float) -> None:
        target = flow.target
        tried = (*flow.tried, target)
        placement = self._place(flow.route, flow.key, now_s, tried)
        if placement.target is None:
            return
        self._uncount(flow)
        flow.move_to(placement.target, now_s)
        self._count(flow, now_s + self._counting_timeout_s)
        self._reports.moved(flow, target, placement, now_s)
        self._send_opening(flow, placement, now_s)

    def _send_opening(
        self, flow: OpenedFlow, placement: Placement, now_s: float
    ) -> None:
        target = flow.target
        if placement.reason is PlacementReason.PROBE:
            self._responsiveness.note_probe(target, now_s)
        self._placer.note_sent(target, now_s)
        self._forward(target, flow.packet)
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
        return self._placer.choose(
            candidates, rate_per_s, now_s, tried, full_load=full_load
        )

    def _refuse(self, head: PacketHeader, reason: str) -> None:
        """Reset a flow that is not open; its request has therefore not run."""
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
        self, head: PacketHeader, packet: bytes, now_s: float
    ) -> None:
        flow = self.flows.get(head.flow)
        if self.waiting and head.flow in self.waiting:
            # The caller has given up, or another instance has opened the flow.
            self.waiting.discard(head.flow)
        target = self._target_of(head, flow, now_s)
        if target is None:
            return
        if self._ended and self._ended.on_packet(head, flow, target, now_s):
            if flow is not None:
                self._uncount(flow)
            return
        out_for_s = self._directory.zone_out_for_s(target.record.zone, now_s)
        if out_for_s > self.timing.zone_out_s:
            self.counters['dropped_zone_out'] += 1
            return
        self._forward(target, packet)
        self.counters['forwarded'] += 1
        if head.flags & (FIN | RST):
            self._on_closing(head.flow, flow, now_s)

    def _target_of(
        self, head: PacketHeader, flow: OpenedFlow | None, now_s: float
    ) -> KnownTarget | None:
        if flow is not None and flow.is_answered:
            # The token may name another target if one that was tried earlier
            # has answered late, so the target of the flow takes precedence.
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

    def _resolve(self, head: PacketHeader, now_s: float) -> KnownTarget | None:
        route = self._routes.find(head.destination)
        if route is None:
            since_s = now_s - self.timing.removed_route_s
            route = self._routes.find_removed(head.destination, since_s)
        if route is None:
            return None
        return self._directory.resolve(head.token, route.services)

    def _on_answered(
        self, flow: OpenedFlow, target: KnownTarget, now_s: float
    ) -> None:
        flow.is_answered = True
        flow.packet = b''
        # The time of an answer is known only for the target that the opening
        # was last sent to; an earlier one may have answered instead.
        if target is flow.target:
            waited_s = now_s - flow.sent_s
            self.answer_times.observe(waited_s)
            difference_s = waited_s - self._mean_answer_s
            self._mean_answer_s += _ANSWER_WEIGHT * difference_s
        self._uncount(flow)
        flow.target = target
        self._count(flow, now_s + self._counting_timeout_s)
        if self._responsiveness.note_answered(target, now_s):
            self._events.event('target_trusted', target=target.name)

    def _on_closing(
        self, key: bytes, flow: OpenedFlow | None, now_s: float
    ) -> None:
        if flow is None:
            self._ended_hashes.add(zlib.crc32(key))
        elif flow.is_counted:
            self._uncount(flow)
            duration_s = now_s - flow.sent_s
            self.flow_times.observe(duration_s)
            if duration_s > flow.route.record.objective_s:
                self._reports.slow(flow, duration_s, now_s)
            difference_s = duration_s - self._mean_duration_s
            self._mean_duration_s += _DURATION_WEIGHT * difference_s
        if self.waiting:
            self.release(now_s)

    def take_ended_hashes(self) -> tuple[int, ...]:
        """Return and clear the hashes of flows to release at other instances.

        These are flows that were opened, or whose opening waits, at another
        instance: this one forwarded their closing packet without having opened
        them, or got their opening packet as a retransmission. The next load
        report tells the other instance not to count them, or not to keep them
        waiting, any more.

        Returns
        -------
        tuple of int
            CRC-32 of the keys of the flows since the last call.
        """
        ended = tuple(self._ended_hashes)
        self._ended_hashes.clear()
        return ended

    def on_ended_hashes(self, hashes: Iterable[int], now_s: float) -> None:
        """Apply the end of flows that another instance reports.

        A flow that this instance opened no longer counts as in progress; an
        opening that waits here is removed. Other waiting openings are then
        sent to the targets that have become free.

        Parameters
        ----------
        hashes : iterable of int
            CRC-32 of the keys of flows whose closing packet or retransmitted
            opening packet passed through the other instance.
        now_s : float
            Current time in seconds.
        """
        for flow_hash in hashes:
            flow = self.flows.get_by_hash(flow_hash)
            if flow is not None:
                self._uncount(flow)
            self.waiting.discard_hash(flow_hash)
        if self.waiting:
            self.release(now_s)

    @property
    def _counting_timeout_s(self) -> float:
        """Time for which a flow counts as in progress without being closed."""
        timeout_s = _COUNTED_DURATION_FACTOR * self._mean_duration_s
        return max(timeout_s, self.timing.min_counting_timeout_s)

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
        self.counters['pauses'] += 1
        if self._ended is not None:
            self._ended.note_paused(now_s)
        timeout_s = self.answer_timeout_s
        self._answer_deadlines = deque(
            (now_s + timeout_s, flow) for _, flow in self._answer_deadlines
        )
