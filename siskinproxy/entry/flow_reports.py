"""Counters and log events of flows, and the interfaces of log and sender."""

from collections import Counter
from typing import Any, Final, Protocol

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.flows import OpenedFlow
from siskinproxy.entry.packets import PacketHeader
from siskinproxy.entry.records import Address
from siskinproxy.entry.routes import ActiveRoute
from siskinproxy.entry.target_selection import Placement

__all__ = ('EventSink', 'FlowReports', 'Outbox')

_MS_PER_S: Final = 1000


class Outbox(Protocol):
    """Sender of the engine's datagrams."""

    def send(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; one that can't be sent is dropped without error."""


class EventSink(Protocol):
    """Log of the engine's decisions."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log a decision under a name, with its key-value pairs."""


class FlowReports:
    """Counts and logs what becomes of flows.

    Parameters
    ----------
    counters : Counter
        Number of flows by outcome.
    events : EventSink
        Log.

    Attributes
    ----------
    counters : Counter
        As above.
    """

    def __init__(self, counters: Counter[str], events: EventSink) -> None:
        self.counters = counters
        self._events = events

    def waits(
        self, head: PacketHeader, route: ActiveRoute, reason: str, waiting: int
    ) -> None:
        """Report an opening that waits for a target."""
        self.counters['waited'] += 1
        self._events.event(
            'flow_waits',
            flow=head.caller,
            route=route.record.name,
            reason=reason,
            waiting=waiting,
        )

    def opened(
        self,
        flow: OpenedFlow,
        placement: Placement,
        waited_s: float,
        version: int,
    ) -> None:
        """Report an opening that was sent to a target."""
        self.counters['opened'] += 1
        self._events.event(
            'flow_opened',
            flow=flow.head.caller,
            route=flow.route.record.name,
            target=placement.target.name,
            reason=placement.reason.value,
            copy=flow.head.copy,
            waited_ms=_milliseconds(waited_s),
            config=version,
        )

    def moved(
        self,
        flow: OpenedFlow,
        earlier: KnownTarget,
        placement: Placement,
        now_s: float,
    ) -> None:
        """Report an opening that is sent to another target."""
        self._events.event(
            'opening_moved',
            flow=flow.head.caller,
            route=flow.route.record.name,
            earlier=earlier.name,
            target=placement.target.name,
            reason=placement.reason.value,
            waited_ms=_milliseconds(now_s - flow.opened_s),
        )
        self.counters['moved'] += 1

    def slow(self, flow: OpenedFlow, duration_s: float, now_s: float) -> None:
        """Report a flow that took longer than its objective."""
        self.counters['slow'] += 1
        self._events.event(
            'flow_slow',
            flow=flow.head.caller,
            route=flow.route.record.name,
            target=flow.target.name,
            took_ms=_milliseconds(duration_s),
            objective_ms=_milliseconds(flow.route.record.objective_s),
            since_first_ms=_milliseconds(now_s - flow.opened_s),
        )

    def unanswered(self, flow: OpenedFlow, now_s: float) -> None:
        """Report an opening that no target has answered."""
        self.counters['never_answered'] += 1
        self._events.event(
            'opening_unanswered',
            flow=flow.head.caller,
            route=flow.route.record.name,
            target=flow.target.name,
            tried=len(flow.tried) + 1,
            since_first_ms=_milliseconds(now_s - flow.opened_s),
        )

    def reset(
        self,
        head: PacketHeader,
        route: ActiveRoute,
        target: KnownTarget,
        reason: str,
        age_s: float,
    ) -> None:
        """Report an open flow that is reset, and the age of the evidence."""
        self.counters[f'reset_{reason}'] += 1
        self._events.event(
            'flow_reset',
            flow=head.caller,
            route=route.record.name,
            target=target.name,
            reason=reason,
            evidence_ms=_milliseconds(age_s),
        )


def _milliseconds(duration_s: float) -> int:
    return round(_MS_PER_S * duration_s)
