"""Flows that an instance opened and that have not ended."""

import zlib
from collections import deque
from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.packets import PacketHead
from siskinproxy.entry.routes import ActiveRoute

__all__ = ('FlowTable', 'OpenedFlow')


class OpenedFlow:
    """A flow that this instance opened.

    Packets are forwarded without it; it serves the evidence on targets, the
    count of flows in progress and openings that have to move.

    Attributes
    ----------
    key : bytes
        Addresses and ports.
    head : PacketHead
        Header of the opening packet.
    packet : bytes
        Opening packet, until it is answered.
    route : ActiveRoute
        Route of the flow.
    target : KnownTarget
        Target that got the opening packet last.
    tried : tuple of KnownTarget
        Targets that got it before.
    first_s : float
        When the first opening packet came, in seconds.
    sent_s : float
        When `target` got the opening packet, in seconds.
    was_missed : bool
        Whether the missing answer of `target` was counted.
    is_answered : bool
        Whether the caller has acknowledged the answer of `target`.
    is_counted : bool
        Whether the flow counts as in progress at `target`.
    counted_until_s : float
        When it ceases to count without a closing packet, in seconds.
    expires_s : float
        When the flow is forgotten, in seconds.
    """

    __slots__ = (
        'counted_until_s',
        'expires_s',
        'first_s',
        'head',
        'is_answered',
        'is_counted',
        'key',
        'packet',
        'route',
        'sent_s',
        'target',
        'tried',
        'was_missed',
    )

    def __init__(
        self,
        head: PacketHead,
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
        self.first_s = now_s
        self.sent_s = now_s
        self.was_missed = False
        self.is_answered = False
        self.is_counted = True
        self.counted_until_s: float = 0
        self.expires_s: float = 0

    def move_to(self, target: KnownTarget, now_s: float) -> None:
        """Record that another target gets the opening packet."""
        self.tried = (*self.tried, self.target)
        self.target = target
        self.sent_s = now_s
        self.was_missed = False


class FlowTable:
    """Opened flows by key, with the times at which they expire.

    A flow ceases to count before it is forgotten: its closing packet may pass
    through another instance.
    """

    def __init__(self) -> None:
        self._flows: dict[bytes, OpenedFlow] = {}
        self._by_hash: dict[int, OpenedFlow] = {}
        self._forgotten: deque[OpenedFlow] = deque()
        self._uncounted: list[tuple[float, int, OpenedFlow]] = []
        self._numbers = count()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def get(self, key: bytes) -> OpenedFlow | None:
        """Return a flow, None if this instance did not open it."""
        return self._flows.get(key)

    def get_by_hash(self, number: int) -> OpenedFlow | None:
        """Return a flow by the CRC-32 of its key."""
        return self._by_hash.get(number)

    def add(self, flow: OpenedFlow, expires_s: float) -> None:
        """Add a flow."""
        flow.expires_s = expires_s
        self._flows[flow.key] = flow
        self._by_hash[zlib.crc32(flow.key)] = flow
        self._forgotten.append(flow)

    def count_until(self, flow: OpenedFlow, until_s: float) -> None:
        """Set when a flow ceases to count as in progress."""
        flow.counted_until_s = until_s
        heappush(self._uncounted, (until_s, next(self._numbers), flow))

    def remove(self, flow: OpenedFlow) -> None:
        """Remove a flow."""
        if self._flows.get(flow.key) is flow:
            self._forget(flow)

    def uncounted(self, now_s: float) -> Iterator[OpenedFlow]:
        """Yield flows that cease to count now."""
        while self._uncounted and self._uncounted[0][0] <= now_s:
            until_s, _, flow = heappop(self._uncounted)
            if flow.is_counted and flow.counted_until_s == until_s:
                yield flow

    def forget_expired(self, now_s: float) -> None:
        """Forget flows whose time is over.

        Flows are looked at in the order in which they were added; one with a
        long life delays those behind it, which only delays their removal.
        """
        while self._forgotten:
            flow = self._forgotten[0]
            is_known = self._flows.get(flow.key) is flow
            if is_known and flow.expires_s > now_s:
                return
            self._forgotten.popleft()
            if is_known:
                self._forget(flow)

    def _forget(self, flow: OpenedFlow) -> None:
        del self._flows[flow.key]
        number = zlib.crc32(flow.key)
        if self._by_hash.get(number) is flow:
            del self._by_hash[number]
