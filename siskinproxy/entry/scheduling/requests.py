"""Follows requests on open flows by the packets of their callers.

A flow can carry many requests with pauses between them, so the number of open
flows says little about the load of a target. The caller's packets tell more: a
packet with new data begins a request, and the first acknowledgment of bytes
beyond it shows that the response has begun.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import msgspec

from siskinproxy.entry.counting import FlowCounter
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.flows import FlowTable, OpenedFlow
from siskinproxy.entry.packets import PacketHeader
from siskinproxy.entry.routes import RouteTable

__all__ = ('FinishedRequest', 'RequestTracker')

_SEQUENCE_RANGE: Final = 2**32
_HALF_RANGE: Final = 2**31
#: Time after the deadline of a request at which the state of its flow is
#: deleted, in seconds.
FLOW_GRACE_S: Final = 1.0
#: Largest size of a response that has no body, in bytes. A target that rejects
#: a request since it is full answers without one.
MAX_BODILESS_BYTES: Final = 200
#: A response without a body that takes less than this part of the usual time
#: of its route is a rejection.
REJECTION_FRACTION: Final = 0.9


class FinishedRequest(msgspec.Struct, frozen=True):
    """A request whose response has begun.

    Parameters
    ----------
    flow : OpenedFlow
        Flow that carried it.
    response_s : float
        Time from its first packet to the first acknowledgment of the response,
        in seconds.
    response_bytes : int
        Bytes of the response that were acknowledged first.
    """

    flow: OpenedFlow
    response_s: float
    response_bytes: int

    @property
    def is_bodiless(self) -> bool:
        """Whether the response can't hold more than a status and headers."""
        return self.response_bytes <= MAX_BODILESS_BYTES


class RequestTracker:
    """Counts requests in progress instead of open flows.

    Flows that another instance has opened are followed from their next request
    on, so that counts recover after a change of the fabric.

    Parameters
    ----------
    flows : FlowTable
        Flows of this instance.
    counter : FlowCounter
        Counts the work in progress at each target.
    routes : RouteTable
        Routes in force.
    counters : Counter
        Number of packets and requests by outcome.
    on_started, on_finished : callable
        Called with the flow of each request that begins, and with each request
        that ends; also with the current time in seconds.
    """

    def __init__(
        self,
        flows: FlowTable,
        counter: FlowCounter,
        routes: RouteTable,
        counters: Counter[str],
        on_started: Callable[[OpenedFlow, float], Any],
        on_finished: Callable[[FinishedRequest, float], Any],
    ) -> None:
        self._flows = flows
        self._counter = counter
        self._routes = routes
        self._counters = counters
        self._on_started = on_started
        self._on_finished = on_finished

    def on_packet(
        self,
        head: PacketHeader,
        flow: OpenedFlow | None,
        target: KnownTarget,
        now_s: float,
    ) -> bool:
        """Follow a packet of an established flow.

        Parameters
        ----------
        head : PacketHeader
            Header of the packet.
        flow : OpenedFlow or None
            Flow, None if this instance does not know it.
        target : KnownTarget
            Target of the flow.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether a request has finished, so that its target may be free.
        """
        if flow is None:
            if not head.data_bytes:
                return False
            flow = self._follow(head, target, now_s)
            if flow is None:
                return False
        is_answering = flow.is_requesting and _is_after(
            head.copy, flow.request_ack
        )
        if is_answering:
            self._finish(flow, head, now_s)
        if head.data_bytes:
            self._on_data(flow, head, now_s)
        return is_answering

    def _follow(
        self, head: PacketHeader, target: KnownTarget, now_s: float
    ) -> OpenedFlow | None:
        route = self._routes.find(head.destination)
        if route is None:
            return None
        flow = OpenedFlow(head, b'', route, target, now_s)
        flow.is_answered = True
        self._flows.add(flow, now_s + route.record.deadline_s + FLOW_GRACE_S)
        # The instance that opened the flow must not count it as well.
        self._flows.ended_hashes.add(self._flows.hash_of(head.flow))
        self._counters['flows_followed'] += 1
        return flow

    def _on_data(
        self, flow: OpenedFlow, head: PacketHeader, now_s: float
    ) -> None:
        end = (head.sequence + head.data_bytes) % _SEQUENCE_RANGE
        known_end = flow.request_end
        if known_end is not None and not _is_after(end, known_end):
            return
        flow.request_end = end
        if flow.is_requesting:
            return
        flow.is_requesting = True
        flow.request_ack = head.copy
        flow.request_s = now_s
        flow.requests += 1
        expires_s = now_s + flow.route.record.deadline_s + FLOW_GRACE_S
        flow.expires_s = max(flow.expires_s, expires_s)
        self._counter.count(flow, now_s)
        self._on_started(flow, now_s)

    def _finish(
        self, flow: OpenedFlow, head: PacketHeader, now_s: float
    ) -> None:
        flow.is_requesting = False
        self._counter.uncount(flow)
        size = (head.copy - flow.request_ack) % _SEQUENCE_RANGE
        self._on_finished(
            FinishedRequest(flow, now_s - flow.request_s, size), now_s
        )


def _is_after(number: int, other: int) -> bool:
    """Return whether a sequence number comes after another one."""
    return 0 < (number - other) % _SEQUENCE_RANGE < _HALF_RANGE
