"""Resets open flows whose target has ended, and moves their openings."""

from collections.abc import Callable
from typing import Final

from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.ended_evidence import EndedEvidence
from siskinproxy.entry.ended_targets import (
    NEVER_S,
    Decision,
    FlowEvidence,
)
from siskinproxy.entry.flow_reports import FlowReports, Outbox
from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.packets import FIN, RST, PacketCodec, PacketHeader
from siskinproxy.entry.records import RequestKind
from siskinproxy.entry.routes import ActiveRoute, RouteTable

__all__ = ('MAX_FLOWS_PER_RUN', 'EndedFlows')

#: Flows that one run of the timer resets or moves at most.
MAX_FLOWS_PER_RUN: Final = 64
#: Time between two searches of the flow table without new evidence, in seconds.
_SEARCH_INTERVAL_S: Final = 0.5
#: Numbers of packets are 32 bits wide; one is ahead of another by less than half
#: of that range.
_HALF_RANGE: Final = 2**31
_NUMBER_MASK: Final = 2**32 - 1


class EndedFlows:
    """Applies the decision on ended targets to the flows of an instance.

    Parameters
    ----------
    evidence : EndedEvidence
        Evidence, and the decision on each flow.
    codec : PacketCodec
        Builds the resets.
    directory : TargetDirectory
        Known targets.
    routes : RouteTable
        Routes of flows that this instance did not open.
    outbox : Outbox
        Sender of the resets.
    reports : FlowReports
        Counts and logs the resets.
    """

    def __init__(
        self,
        evidence: EndedEvidence,
        codec: PacketCodec,
        directory: TargetDirectory,
        routes: RouteTable,
        outbox: Outbox,
        reports: FlowReports,
    ) -> None:
        self._evidence = evidence
        self._codec = codec
        self._directory = directory
        self._routes = routes
        self._outbox = outbox
        self._reports = reports
        self._searched_s: float = NEVER_S

    def note_paused(self, now_s: float) -> None:
        """Record the end of a pause of the process."""
        self._evidence.note_paused(now_s)

    def on_packet(
        self,
        head: PacketHeader,
        flow: OpenedFlow | None,
        target: KnownTarget,
        now_s: float,
    ) -> bool:
        """Handle a caller's packet of an open flow before it is forwarded.

        Parameters
        ----------
        head : PacketHeader
            Header of the packet.
        flow : OpenedFlow or None
            Flow; None if this instance did not open it.
        target : KnownTarget
            Target of the flow.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the flow was reset, so that nothing is to be forwarded.
        """
        if flow is not None:
            self._note_progress(head, flow, target, now_s)
        if head.flags & (FIN | RST) or self._evidence.is_clear(target):
            return False
        route = flow.route if flow else self._routes.find(head.destination)
        if route is None:
            return False
        decision = self._evidence.decide(
            target, _describe(route, flow, now_s), now_s
        )
        if decision.is_reset:
            if flow is not None:
                flow.is_reset = True
            self._reset(head, route, target, decision, now_s)
        return decision.is_reset

    def run(
        self,
        flows: FlowTable,
        now_s: float,
        uncount: Callable[[OpenedFlow], None],
        move: Callable[[OpenedFlow, float], None],
    ) -> None:
        """Reset the flows held towards ended targets; move their openings.

        Handles `MAX_FLOWS_PER_RUN` flows at most; the next run continues.

        Parameters
        ----------
        flows : FlowTable
            Flows that this instance opened.
        now_s : float
            Current time in seconds.
        uncount : callable
            Frees the slot of a flow that was reset.
        move : callable
            Sends an opening without an answer to another target.
        """
        is_due = now_s - self._searched_s >= _SEARCH_INTERVAL_S
        if not (is_due or self._evidence.has_news):
            return
        if self._evidence.has_news:
            self._evidence.forget(frozenset(self._directory.targets()))
        found = self._find_ended(flows, now_s)
        for flow, decision in found:
            target = flow.target
            if flow.latest is None:
                move(flow, now_s)
                # Without a free target, only a copy of the opening moves it.
                flow.is_reset = flow.target is target
                continue
            flow.is_reset = True
            uncount(flow)
            self._reset(flow.latest, flow.route, target, decision, now_s)
        if len(found) < MAX_FLOWS_PER_RUN:
            self._searched_s = now_s
            self._evidence.has_news = False

    def _find_ended(
        self, flows: FlowTable, now_s: float
    ) -> list[tuple[OpenedFlow, Decision]]:
        found = []
        for flow in flows:
            if flow.is_reset or self._evidence.is_clear(flow.target):
                continue
            if flow.latest is None and flow.is_answered:
                continue
            if flow.latest and flow.latest.flags & (FIN | RST):
                continue
            description = _describe(flow.route, flow, now_s)
            decision = self._evidence.decide(flow.target, description, now_s)
            if decision.is_reset:
                found.append((flow, decision))
            if len(found) >= MAX_FLOWS_PER_RUN:
                break
        return found

    def _reset(
        self,
        head: PacketHeader,
        route: ActiveRoute,
        target: KnownTarget,
        decision: Decision,
        now_s: float,
    ) -> None:
        address = self._codec.caller_address(head)
        self._outbox.send(address, self._codec.build_reset(head))
        age_s = now_s - decision.since_s
        self._reports.reset(head, route, target, decision.reason.value, age_s)

    def _note_progress(
        self,
        head: PacketHeader,
        flow: OpenedFlow,
        target: KnownTarget,
        now_s: float,
    ) -> None:
        latest = flow.latest
        if latest is None:
            flow.established_s = now_s
            flow.heard_s = now_s
            self._evidence.note_heard(target, now_s)
        elif _is_ahead(head.copy, latest.copy):
            flow.heard_s = now_s
            self._evidence.note_progress(
                target, flow.established_s, flow.latest_s, now_s
            )
        elif latest.copy != head.copy:
            # An older packet, which was overtaken or is sent again.
            return
        flow.latest_s = now_s
        is_new = latest is None or _is_ahead(_end(head), _end(latest))
        if is_new and head.data_bytes:
            flow.asked_s = now_s
        if is_new or head.copy != latest.copy or head.flags & (FIN | RST):
            flow.latest = head


def _describe(
    route: ActiveRoute, flow: OpenedFlow | None, now_s: float
) -> FlowEvidence:
    record = route.record
    if flow is None:
        return FlowEvidence(record.kind, record.objective_s)
    if not flow.is_answered:
        # Nothing of the request was sent, so its kind does not matter.
        return FlowEvidence(RequestKind.SAFE, 0, flow.sent_s)
    is_waiting = (
        flow.asked_s >= max(flow.heard_s, 0)
        and now_s - flow.asked_s <= record.deadline_s
    )
    return FlowEvidence(
        record.kind,
        record.objective_s,
        flow.sent_s,
        flow.asked_s if is_waiting else NEVER_S,
        flow.heard_s,
    )


def _end(head: PacketHeader) -> int:
    return head.sequence + head.data_bytes


def _is_ahead(number: int, other: int) -> bool:
    return 0 < (number - other) & _NUMBER_MASK < _HALF_RANGE
