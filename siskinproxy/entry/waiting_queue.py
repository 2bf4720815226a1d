"""Queue of opening packets that wait for a free target.

Openings wait while the demand exceeds the capacity of the targets: in bursts,
and after an outage, when callers retransmit the openings that failed. Those
that can still meet the latency objective of their route go first, by priority
and then newest first, since the oldest will be late in any case. The others
follow in the same order, since the caller of the oldest is the most likely to
give up before its answer arrives. An opening that can't be answered before its
caller gives up is refused as soon as that is certain.
"""

import zlib
from collections.abc import Iterator
from typing import Final

import msgspec

from siskinproxy.entry.packets import PacketHeader
from siskinproxy.entry.routes import ActiveRoute

__all__ = ('WaitingLimits', 'WaitingOpening', 'WaitingOpenings')

#: Times at which callers send an opening packet: first, first retransmission
#: and second one, in seconds since the first.
RETRANSMISSION_OFFSETS_S: Final = (0.0, 0.2, 0.6)


class WaitingLimits(msgspec.Struct, frozen=True):
    """Time limits of waiting openings.

    Parameters
    ----------
    caller_timeout_s : float
        Time after which a caller gives up an unanswered opening, in seconds.
    answer_margin_s : float
        Part of that time that is reserved for the answer to arrive, in seconds.
    expected_response_s : float
        Expected time from the opening of a flow to the response to its
        request, in seconds.
    """

    caller_timeout_s: float = 1.4
    answer_margin_s: float = 0.1
    expected_response_s: float = 0.08


class WaitingOpening:
    """An opening packet that has arrived but was not sent to a target.

    Parameters
    ----------
    head : PacketHeader
        Header of the packet.
    packet : bytes
        Opening packet.
    route : ActiveRoute
        Route of the flow.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    head : PacketHeader
        Header of the packet.
    packet : bytes
        Opening packet.
    route : ActiveRoute
        Route of the flow.
    arrived_s : float
        Time at which the packet arrived, in seconds.
    sent_s : float
        Time at which the caller sent the opening packet for the first time, in
        seconds. Estimated from the number of retransmissions; the true time may
        be earlier.
    """

    __slots__ = ('arrived_s', 'head', 'packet', 'route', 'sent_s')

    def __init__(
        self,
        head: PacketHeader,
        packet: bytes,
        route: ActiveRoute,
        now_s: float,
    ) -> None:
        self.head = head
        self.packet = packet
        self.route = route
        self.arrived_s = now_s
        retransmissions = min(head.copy, len(RETRANSMISSION_OFFSETS_S) - 1)
        self.sent_s = now_s - RETRANSMISSION_OFFSETS_S[retransmissions]


class WaitingOpenings:
    """Queue of waiting openings, at most one for each flow.

    Parameters
    ----------
    limits : WaitingLimits
        Time limits.
    """

    def __init__(self, limits: WaitingLimits | None = None) -> None:
        self._limits = limits or WaitingLimits()
        self._openings: dict[bytes, WaitingOpening] = {}

    def __len__(self) -> int:
        """Return the number of waiting openings."""
        return len(self._openings)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether an opening of a flow waits."""
        return flow in self._openings

    def add(self, opening: WaitingOpening) -> None:
        """Add an opening unless one of the same flow is waiting already."""
        self._openings.setdefault(opening.head.flow, opening)

    def remove(self, opening: WaitingOpening) -> None:
        """Remove an opening that is sent to a target or refused."""
        self._openings.pop(opening.head.flow, None)

    def discard(self, flow: bytes) -> None:
        """Remove the opening of a flow, if any, by the key of the flow."""
        self._openings.pop(flow, None)

    def discard_hash(self, flow_hash: int) -> None:
        """Remove the opening of a flow, if any, by the CRC-32 of its key."""
        for flow in tuple(self._openings):
            if zlib.crc32(flow) == flow_hash:
                del self._openings[flow]

    def in_release_order(self, now_s: float) -> list[WaitingOpening]:
        """Return the openings in the order in which targets are assigned."""
        expected_response_s = self._limits.expected_response_s
        return sorted(
            self._openings.values(),
            key=lambda opening: _release_order(
                opening, now_s, expected_response_s
            ),
        )

    def latest_in_time_s(self, opening: WaitingOpening) -> float:
        """Return until when an opening can still meet its objective."""
        objective_s = opening.route.record.objective_s
        return opening.sent_s + objective_s - self._limits.expected_response_s

    def overdue(self, now_s: float) -> Iterator[WaitingOpening]:
        """Yield openings whose answer would arrive after the caller gave up."""
        limits = self._limits
        latest_sent_s = now_s - limits.caller_timeout_s + limits.answer_margin_s
        for opening in tuple(self._openings.values()):
            if opening.sent_s <= latest_sent_s:
                yield opening


def _release_order(
    opening: WaitingOpening, now_s: float, expected_response_s: float
) -> tuple[bool, int, float]:
    record = opening.route.record
    expected_total_s = now_s - opening.sent_s + expected_response_s
    is_late = expected_total_s > record.objective_s
    return is_late, record.priority, -opening.sent_s
