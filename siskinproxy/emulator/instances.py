"""Load balancer instances: the product's engine run in virtual time."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.policies import Policy
from siskinproxy.emulator.targets import EmulatedTarget
from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.engine import EntryEngine
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.packets import RST, PacketHeader
from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
)
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import RouteTable

__all__ = ('EmulatedInstance', 'build_configuration', 'destination_of')

_IDLE_TIMEOUT_S: Final = 15.0
_MS_PER_S: Final = 1000


def destination_of(number: int) -> bytes:
    """Return the virtual address and port of a request class, 6 bytes."""
    return bytes((198, 18, 0, 1 + number, 1, 187))


def build_configuration(day: Day) -> OperatorConfiguration:
    """Return a configuration with one route for each request class."""
    return OperatorConfiguration(
        version=1,
        routes=tuple(
            RouteRecord(
                name=each.name,
                destination=destination_of(number),
                shares=(ServiceShare(each.service, 1),),
                kind=each.kind,
                deadline_s=each.deadline_ms / _MS_PER_S,
                objective_s=each.aim_ms / _MS_PER_S,
                priority=1,
            )
            for number, each in enumerate(day.classes)
        ),
        services=tuple(
            ServiceRecord(
                each.name, '/', 2000, each.cold_s, each.cold_rate_per_s
            )
            for each in day.services
        ),
        idle_timeout_s=_IDLE_TIMEOUT_S,
    )


class _HeaderCodec:
    """Codec for emulated packets, which are header objects without payload."""

    def decode_header(self, packet: Any) -> PacketHeader:
        return packet

    def frame_for_target(self, target_id: int, token: int, packet: Any) -> Any:
        return packet

    def build_reset(self, head: PacketHeader) -> PacketHeader:
        return PacketHeader(
            head.flow, head.destination, RST, head.sequence, 0, 0, 0
        )

    def caller_address(self, head: PacketHeader) -> Address:
        return Address('caller', int.from_bytes(head.flow[:6]))


class _NullEventLog:
    """Event log that discards all events."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Discard an event."""


class EmulatedInstance:
    """An instance of the load balancer.

    Parameters
    ----------
    name, zone : str
        Name and availability zone.
    day : Day
        Scenario with the routes and services.
    policy : Policy
        How the instance selects the target of a new flow.
    clock : VirtualClock
        Clock.
    send : callable
        Called with this instance, the address of the receiver and a header.

    Attributes
    ----------
    is_up : bool
        Whether the process runs.
    is_ready : bool
        Whether it answers readiness probes with success.
    incarnation : int
        Number of starts; timers set by an earlier incarnation are ignored.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        day: Day,
        policy: Policy,
        clock: VirtualClock,
        send: Callable[['EmulatedInstance', Address, PacketHeader], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_up = False
        self.is_ready = False
        self.incarnation = 0
        self.record = InstanceRecord(name, zone, '127.0.0.1', 1)
        self._day = day
        self._policy = policy
        self._clock = clock
        self._send = send
        self._timer_s: float | None = None

    def start(
        self, targets: Iterable[EmulatedTarget], names: tuple[str, ...]
    ) -> None:
        """Start the process without state from an earlier run.

        Parameters
        ----------
        targets : iterable of EmulatedTarget
            Targets that are listed at this time.
        names : tuple of str
            Names of all instances.
        """
        self.incarnation += 1
        self.is_up = True
        self.is_ready = True
        self._timer_s = None
        self.directory = TargetDirectory()
        for target in targets:
            self.directory.announce(target.record(), self._clock.now_s)
        routes = RouteTable()
        routes.apply(build_configuration(self._day), self._clock.now_s)
        self.loads = LoadView()
        cold_limit = ColdLimit(self.name, ColdBounds())
        cold_limit.set_instances(names)
        responsiveness = Responsiveness()
        placer = self._policy.build_placer(
            self.zone, cold_limit, responsiveness, self.loads
        )
        self.engine = EntryEngine(
            _HeaderCodec(),
            self.directory,
            routes,
            placer,
            responsiveness,
            self,
            _NullEventLog(),
        )

    def stop(self) -> None:
        """End the process at once, without notice to callers or instances."""
        self.is_up = False
        self.is_ready = False

    def send(self, address: Address, datagram: Any) -> None:
        """Send a header; the engine calls it to send a packet."""
        self._send(self, address, datagram)

    def on_packet(self, head: PacketHeader) -> None:
        """Handle a packet from the fabric."""
        if self.is_up:
            self.engine.on_packet(head, self._clock.now_s)
            self._run_timer()

    def report(self) -> LoadReport:
        """Return the load report for the other instances."""
        return LoadReport(
            self.name,
            self.zone,
            not self.is_ready,
            dict(self.loads.own_flows),
            self.engine.take_ended_hashes(),
        )

    def on_report(self, report: LoadReport) -> None:
        """Apply the load report of another instance."""
        if self.is_up:
            now_s = self._clock.now_s
            self.loads.apply_report(report, now_s)
            self.loads.expire(now_s)
            self.engine.on_ended_hashes(report.ended, now_s)
            self._run_timer()

    def _run_timer(self) -> None:
        due_s = self.engine.on_timer(self._clock.now_s)
        is_sooner = self._timer_s is None or (
            due_s is not None and due_s < self._timer_s
        )
        if due_s is not None and is_sooner:
            self._timer_s = due_s
            self._clock.call_at(due_s, self._on_timer, self.incarnation, due_s)

    def _on_timer(self, incarnation: int, due_s: float) -> None:
        if (
            self.is_up
            and incarnation == self.incarnation
            and due_s == self._timer_s
        ):
            self._timer_s = None
            self._run_timer()
