"""Table of the flows that an instance opened and that have not expired.

Forwarding needs no state of a flow, since its packets name the target. The
table serves to detect targets that do not answer, to move unanswered openings
to another target, and to count the flows in progress at each target.
"""

import zlib
from collections import deque
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.packets import PacketHeader
from siskinproxy.entry.routes import ActiveRoute

__all__ = ('FlowTable', 'OpenedFlow')


class OpenedFlow:
    """State of a flow that this instance opened.

    Parameters
    ----------
    head : PacketHeader
        Header of the opening packet.
    packet : bytes
        Opening packet.
    route : ActiveRoute
        Route of the flow.
    target : KnownTarget
        Target that the opening packet is sent to.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    key : bytes
        Source and destination address and port of the caller's packets.
    head : PacketHeader
        Header of the opening packet.
    packet : bytes
        Latest opening packet; empty once it is answered.
    route : ActiveRoute
        Route of the flow.
    target : KnownTarget
        Target that the opening packet was last sent to, or that answered.
    tried : tuple of KnownTarget
        Targets that the opening packet was sent to before.
    opened_s : float
        Time at which the opening packet was first sent to a target, in
        seconds.
    sent_s : float
        Time at which the opening packet was sent to `target`, in seconds.
    was_timeout_noted : bool
        Whether the missing answer of `target` was already recorded.
    is_answered : bool
        Whether the caller has acknowledged the answer of `target`.
    is_counted : bool
        Whether the flow counts as in progress at `target`.
    counted_until_s : float
        Time at which the flow stops counting as in progress even if its
        closing packet is not seen, in seconds.
    expires_s : float
        Time at which the flow is removed from the table, in seconds.
    is_requesting : bool
        Whether a request is in progress, if requests are followed.
    request_s : float
        Time of the first packet of the latest request, in seconds.
    request_end : int or None
        Sequence number after the latest request; None before the first.
    request_ack : int
        Acknowledgment number when the latest request began.
    requests : int
        Requests that the flow has carried.
    latest : PacketHeader or None
        Newest header of the caller on the open flow; None while it is not
        answered, or if resets of ended targets are off.
    latest_s : float
        Time of the caller's last packet that was not older than `latest`, in
        seconds.
    established_s : float
        Time of its first packet on the open flow, in seconds; -1 if unknown.
    heard_s, asked_s : float
        Time at which the caller last acknowledged new data of the target, and
        time at which it last sent new data, in seconds; -1 if never.
    is_reset : bool
        Whether this instance has reset the flow, or has failed to move its
        opening, after the end of its target.
    """

    __slots__ = (
        'asked_s',
        'counted_until_s',
        'established_s',
        'expires_s',
        'head',
        'heard_s',
        'is_answered',
        'is_counted',
        'is_requesting',
        'is_reset',
        'key',
        'latest',
        'latest_s',
        'opened_s',
        'packet',
        'request_ack',
        'request_end',
        'request_s',
        'requests',
        'route',
        'sent_s',
        'target',
        'tried',
        'was_timeout_noted',
    )

    def __init__(
        self,
        head: PacketHeader,
        packet: bytes,
        route: ActiveRoute,
        target: KnownTarget,
        now_s: float,
    ) -> None:
        self.key = head.flow
        self.head = head
        self.packet = packet
        self.route = route
        self.target = target
        self.tried: tuple[KnownTarget, ...] = ()
        self.opened_s = now_s
        self.sent_s = now_s
        self.was_timeout_noted = False
        self.is_answered = False
        self.is_counted = False
        self.counted_until_s: float = 0
        self.expires_s: float = 0
        self.is_requesting = False
        self.request_s: float = 0
        self.request_end: int | None = None
        self.request_ack = 0
        self.requests = 0
        self.latest: PacketHeader | None = None
        self.latest_s: float = -1
        self.established_s: float = -1
        self.heard_s: float = -1
        self.asked_s: float = -1
        self.is_reset = False

    def move_to(self, target: KnownTarget, now_s: float) -> None:
        """Record that the opening packet is sent to another target."""
        self.tried = (*self.tried, self.target)
        self.target = target
        self.sent_s = now_s
        self.was_timeout_noted = False


class FlowTable:
    """Flows by key, with their timeouts.

    A flow has two timeouts: after the first, it no longer counts as in
    progress, since its closing packet may have passed through another
    instance; after the second, it is removed.

    Attributes
    ----------
    ended_hashes : set of int
        CRC-32 of the keys of flows that other instances should no longer count
        or keep waiting, since packets of them have passed through this one.
    """

    def __init__(self) -> None:
        self.ended_hashes: set[int] = set()
        self._flows: dict[bytes, OpenedFlow] = {}
        self._by_hash: dict[int, OpenedFlow] = {}
        self._removal_queue: deque[OpenedFlow] = deque()
        self._counting_deadlines: list[tuple[float, int, OpenedFlow]] = []
        self._tie_breakers = count()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def __iter__(self) -> Iterator[OpenedFlow]:
        """Iterate over the flows, the oldest first."""
        return iter(self._flows.values())

    def get(self, key: bytes) -> OpenedFlow | None:
        """Return a flow, None if it is not in the table."""
        return self._flows.get(key)

    @staticmethod
    def hash_of(key: bytes) -> int:
        """Return the hash by which reports name a flow."""
        return zlib.crc32(key)

    def get_by_hash(self, flow_hash: int) -> OpenedFlow | None:
        """Return a flow by the CRC-32 of its key, None if there is none."""
        return self._by_hash.get(flow_hash)

    def add(self, flow: OpenedFlow, expires_s: float) -> None:
        """Add a flow that is removed at a time in seconds."""
        flow.expires_s = expires_s
        self._flows[flow.key] = flow
        self._by_hash[self.hash_of(flow.key)] = flow
        self._removal_queue.append(flow)

    def count_until(self, flow: OpenedFlow, until_s: float) -> None:
        """Set the time in seconds at which a flow stops counting."""
        flow.counted_until_s = until_s
        heappush(
            self._counting_deadlines, (until_s, next(self._tie_breakers), flow)
        )

    def remove(self, flow: OpenedFlow) -> None:
        """Remove a flow; does nothing if it was replaced or removed."""
        if self._flows.get(flow.key) is flow:
            self._delete(flow)

    def counting_expired(self, now_s: float) -> Iterator[OpenedFlow]:
        """Yield counted flows that should no longer count as in progress.

        Each is yielded once; the caller clears `OpenedFlow.is_counted`.
        """
        while (
            self._counting_deadlines and self._counting_deadlines[0][0] <= now_s
        ):
            until_s, _, flow = heappop(self._counting_deadlines)
            if flow.is_counted and flow.counted_until_s == until_s:
                yield flow

    def remove_expired(self, now_s: float) -> None:
        """Remove flows that have expired.

        Flows are checked in the order in which they were added. One that
        expires late delays the removal of those added after it, which does no
        harm.
        """
        while self._removal_queue:
            flow = self._removal_queue[0]
            is_known = self._flows.get(flow.key) is flow
            if is_known and flow.expires_s > now_s:
                return
            self._removal_queue.popleft()
            if is_known:
                self._delete(flow)

    def _delete(self, flow: OpenedFlow) -> None:
        del self._flows[flow.key]
        flow_hash = self.hash_of(flow.key)
        if self._by_hash.get(flow_hash) is flow:
            del self._by_hash[flow_hash]
