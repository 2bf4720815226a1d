"""Openings that wait for a target, and the order in which they leave.

Answers the load of seconds in which more is asked than the targets can work
on: after an outage, when callers repeat what they could not open, and in
bursts. What can still meet its objective goes first, by priority and the
newest before older ones, since the oldest are late whatever is done; the
others use what is left, again the newest first: the caller of the oldest may
have given up before the answer arrives. An opening that cannot leave while its caller waits
is refused as soon as that is known.
"""

import zlib
from collections.abc import Iterator
from typing import Final

import msgspec

from siskinproxy.entry.packets import PacketHead
from siskinproxy.entry.routes import ActiveRoute

__all__ = ('WaitingLimits', 'WaitingOpening', 'WaitingOpenings')

#: Time from the first opening packet to each copy of it, in seconds.
COPY_AFTER_S: Final = (0.0, 0.2, 0.6)


class WaitingLimits(msgspec.Struct, frozen=True):
    """Limits of waiting.

    Parameters
    ----------
    attempt_s : float
        Time after which a caller gives up an opening, in seconds.
    margin_s : float
        Part of that time that the answer needs, in seconds.
    service_s : float
        Usual time from the opening to the answer of a request, in seconds,
        until it is known.
    """

    attempt_s: float = 1.4
    margin_s: float = 0.1
    service_s: float = 0.08


class WaitingOpening:
    """An opening packet that waits.

    Attributes
    ----------
    head : PacketHead
        Its header.
    packet : bytes
        The packet.
    route : ActiveRoute
        Its route.
    arrived_s : float
        When the packet arrived, in seconds.
    sent_s : float
        When the caller sent the first copy, at the latest, in seconds.
    """

    __slots__ = ('arrived_s', 'head', 'packet', 'route', 'sent_s')

    def __init__(
        self,
        head: PacketHead,
        packet: bytes,
        route: ActiveRoute,
        now_s: float,
    ) -> None:
        self.head = head
        self.packet = packet
        self.route = route
        self.arrived_s = now_s
        copies = min(head.copy, len(COPY_AFTER_S) - 1)
        self.sent_s = now_s - COPY_AFTER_S[copies]


class WaitingOpenings:
    """Openings that wait, at most one for each flow.

    Parameters
    ----------
    limits : WaitingLimits
        Limits.
    """

    def __init__(self, limits: WaitingLimits | None = None) -> None:
        self._limits = limits or WaitingLimits()
        self._openings: dict[bytes, WaitingOpening] = {}

    def __len__(self) -> int:
        """Return the number of openings."""
        return len(self._openings)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether an opening of a flow waits."""
        return flow in self._openings

    def add(self, opening: WaitingOpening) -> None:
        """Let an opening wait."""
        self._openings.setdefault(opening.head.flow, opening)

    def remove(self, opening: WaitingOpening) -> None:
        """Remove an opening that leaves or is refused."""
        self._openings.pop(opening.head.flow, None)

    def discard(self, flow: bytes) -> None:
        """Remove the opening of a flow that its caller gave up."""
        self._openings.pop(flow, None)

    def discard_hash(self, number: int) -> None:
        """Remove the opening of a flow by the CRC-32 of its key."""
        for flow in tuple(self._openings):
            if zlib.crc32(flow) == number:
                del self._openings[flow]

    def in_order(self, now_s: float) -> list[WaitingOpening]:
        """Return the openings in the order in which they should leave."""
        service_s = self._limits.service_s
        return sorted(
            self._openings.values(),
            key=lambda opening: _rank(opening, now_s, service_s),
        )

    def overdue(self, now_s: float) -> Iterator[WaitingOpening]:
        """Yield openings that could not be answered in time any more."""
        limits = self._limits
        first_s = now_s - limits.attempt_s + limits.margin_s
        for opening in tuple(self._openings.values()):
            if opening.sent_s <= first_s:
                yield opening


def _rank(
    opening: WaitingOpening, now_s: float, service_s: float
) -> tuple[bool, int, float]:
    record = opening.route.record
    finished_s = now_s - opening.sent_s + service_s
    is_late = finished_s > record.objective_s
    return is_late, record.priority, -opening.sent_s
