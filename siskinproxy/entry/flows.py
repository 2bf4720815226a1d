"""Flows that an instance opened and that have not ended."""

from collections import deque
from collections.abc import Iterator

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
    expires_s : float
        When the flow counts as ended without a closing packet, in seconds.
    """

    __slots__ = (
        'expires_s',
        'first_s',
        'head',
        'is_answered',
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
        self.expires_s: float = 0

    def move_to(self, target: KnownTarget, now_s: float) -> None:
        """Record that another target gets the opening packet."""
        self.tried = (*self.tried, self.target)
        self.target = target
        self.sent_s = now_s
        self.was_missed = False


class FlowTable:
    """Opened flows by key, with the time at which they expire."""

    def __init__(self) -> None:
        self._flows: dict[bytes, OpenedFlow] = {}
        self._expiring: deque[OpenedFlow] = deque()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def get(self, key: bytes) -> OpenedFlow | None:
        """Return a flow, None if this instance did not open it."""
        return self._flows.get(key)

    def add(self, flow: OpenedFlow, expires_s: float) -> None:
        """Add a flow."""
        flow.expires_s = expires_s
        self._flows[flow.key] = flow
        self._expiring.append(flow)

    def remove(self, flow: OpenedFlow) -> None:
        """Remove a flow that has ended."""
        if self._flows.get(flow.key) is flow:
            del self._flows[flow.key]

    def expired(self, now_s: float) -> Iterator[OpenedFlow]:
        """Yield flows whose time is over.

        Flows are looked at in the order in which they were added; a flow with
        a long life delays those behind it, which only delays their removal.
        """
        while self._expiring:
            flow = self._expiring[0]
            is_known = self._flows.get(flow.key) is flow
            if is_known and flow.expires_s > now_s:
                return
            self._expiring.popleft()
            if is_known:
                yield flow
