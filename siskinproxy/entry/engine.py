"""Packet handling of an entry process, independent of sockets and clocks.

Callers open a flow with an opening packet (SYN), see
`siskinproxy.entry.openings`. Targets send their packets to callers directly,
not through the instances, so the engine sees only what callers send. Packets of
established flows are forwarded by the token of their target and need no state
of the flow.
"""

import zlib
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from siskinproxy.entry.counting import FlowCounter
from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.ended_evidence import EndedEvidence
from siskinproxy.entry.ended_flows import EndedFlows
from siskinproxy.entry.flow_reports import EventSink, FlowReports, Outbox
from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.metrics import Histogram
from siskinproxy.entry.openings import FlowOpener
from siskinproxy.entry.packets import (
    FIN,
    RST,
    SYN,
    PacketCodec,
    PacketHeader,
)
from siskinproxy.entry.records import NO_TOKEN
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.target_selection import Placer
from siskinproxy.entry.timing import EngineTiming
from siskinproxy.entry.waiting_queue import WaitingOpenings

if TYPE_CHECKING:
    from siskinproxy.entry.scheduling.requests import (
        FinishedRequest,
        RequestTracker,
    )
    from siskinproxy.entry.scheduling.scheduler import Scheduler

__all__ = ('EngineTiming', 'EntryEngine', 'EventSink', 'Outbox')


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
    scheduler : Scheduler or None
        Decisions under scarcity, see `attach`.
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
        self._events = events
        self._timing = timing or EngineTiming()
        self._counter = FlowCounter(
            self.flows, placer, self._timing.min_counting_timeout_s
        )
        self._reports = FlowReports(self.counters, events)
        self._ended = ended and EndedFlows(
            ended, codec, directory, routes, outbox, self._reports
        )
        self._opener = FlowOpener(
            codec,
            directory,
            routes,
            placer,
            responsiveness,
            outbox,
            events,
            self.flows,
            self._counter,
            self._reports,
            self._timing,
        )
        self.scheduler: Scheduler | None = None
        self._tracker: RequestTracker | None = None

    def attach(self, scheduler: 'Scheduler') -> None:
        """Follow requests from now on, and let a scheduler decide.

        Its modules are loaded here, so that an instance which starts serves
        callers before that.

        Parameters
        ----------
        scheduler : Scheduler
            Decisions under scarcity.
        """
        from siskinproxy.entry.scheduling.requests import RequestTracker

        self.scheduler = scheduler
        self._opener.scheduler = scheduler
        self._tracker = RequestTracker(
            self.flows,
            self._counter,
            self._routes,
            self.counters,
            scheduler.on_started,
            self._on_finished,
        )

    @property
    def timing(self) -> EngineTiming:
        """Timeouts and intervals; may be replaced at any time."""
        return self._timing

    @timing.setter
    def timing(self, timing: EngineTiming) -> None:
        self._timing = timing
        self._opener.timing = timing
        self._counter.min_timeout_s = timing.min_counting_timeout_s

    @property
    def waiting(self) -> WaitingOpenings:
        """Openings that wait for a target."""
        return self._opener.waiting

    @property
    def answer_times(self) -> Histogram:
        """Time from an opening to its answer."""
        return self._opener.answer_times

    @property
    def wait_times(self) -> Histogram:
        """Time for which openings waited for a target."""
        return self._opener.wait_times

    @property
    def flow_times(self) -> Histogram:
        """Time for which flows were in progress."""
        return self._counter.times

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
            self._opener.on_opening(head, packet, now_s)
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
            self._counter.uncount(expired)
            if not expired.is_answered:
                self._reports.unanswered(expired, now_s)
        self.flows.remove_expired(now_s)
        if self._opener.restart_after_pause(now_s) and self._ended:
            self._ended.note_paused(now_s)
        if self._ended is not None:
            self._ended.run(
                self.flows, now_s, self._counter.uncount, self._opener.move
            )
        due_s = self._opener.check_answers(now_s)
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
        self._opener.release(now_s)

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
                self._counter.uncount(flow)
            return
        out_for_s = self._directory.zone_out_for_s(target.record.zone, now_s)
        if out_for_s > self._timing.zone_out_s:
            self.counters['dropped_zone_out'] += 1
            return
        self._opener.forward(target, packet)
        self.counters['forwarded'] += 1
        if self._tracker is not None:
            has_room = self._tracker.on_packet(head, flow, target, now_s)
            if has_room and self.waiting:
                self._opener.release(now_s)
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
            self._opener.note_answered(flow, target, now_s)
        return target

    def _resolve(self, head: PacketHeader, now_s: float) -> KnownTarget | None:
        route = self._routes.find(head.destination)
        if route is None:
            since_s = now_s - self._timing.removed_route_s
            route = self._routes.find_removed(head.destination, since_s)
        if route is None:
            return None
        return self._directory.resolve(head.token, route.services)

    def _on_closing(
        self, key: bytes, flow: OpenedFlow | None, now_s: float
    ) -> None:
        if flow is None:
            self.flows.ended_hashes.add(zlib.crc32(key))
        elif self.scheduler is not None:
            self._counter.uncount(flow)
            if flow.requests:
                self.scheduler.on_closed(flow)
                flow.requests = 0
        elif flow.is_counted:
            self._counter.uncount(flow)
            duration_s = now_s - flow.sent_s
            self._counter.note_duration(duration_s)
            if duration_s > flow.route.record.objective_s:
                self._reports.slow(flow, duration_s, now_s)
        if self.waiting:
            self.release(now_s)

    def _on_finished(self, request: 'FinishedRequest', now_s: float) -> None:
        if not self.scheduler.on_finished(request, now_s):
            return
        self._counter.note_duration(request.response_s)
        if request.response_s > request.flow.route.record.objective_s:
            self._reports.slow(request.flow, request.response_s, now_s)

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
        ended = tuple(self.flows.ended_hashes)
        self.flows.ended_hashes.clear()
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
                self._counter.uncount(flow)
            self.waiting.discard_hash(flow_hash)
        if self.waiting:
            self.release(now_s)
