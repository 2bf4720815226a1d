"""Instances: the product's engine in virtual time."""

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
from siskinproxy.entry.packets import RST, PacketHead
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

_IDLE_S: Final = 15.0
_MS_PER_S: Final = 1000


def destination_of(number: int) -> bytes:
    """Return address and port at which callers reach a kind of request."""
    return bytes((198, 18, 0, 1 + number, 1, 187))


def build_configuration(day: Day) -> OperatorConfiguration:
    """Return a configuration with a route for each kind of request."""
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
        idle_timeout_s=_IDLE_S,
    )


class _HeadCodec:
    """Codec of an emulator whose packets are headers."""

    def read_head(self, packet: Any) -> PacketHead:
        return packet

    def frame_for_target(self, target_id: int, token: int, packet: Any) -> Any:
        return packet

    def build_reset(self, head: PacketHead) -> PacketHead:
        return PacketHead(
            head.flow, head.destination, RST, head.sequence, 0, 0, 0
        )

    def caller_address(self, head: PacketHead) -> Address:
        return Address('caller', int.from_bytes(head.flow[:6]))


class _Silence:
    """Sink of events."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Ignore an event."""


class EmulatedInstance:
    """An instance.

    Parameters
    ----------
    name, zone : str
        Identity.
    day : Day
        Deployment.
    policy : Policy
        How it places flows.
    clock : VirtualClock
        Time.
    send : callable
        Gets this instance, the receiver's address and a header.

    Attributes
    ----------
    is_up : bool
        Whether the process runs.
    is_ready : bool
        Whether it asks for packets.
    life : int
        Number of starts; what an earlier life scheduled does nothing.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        day: Day,
        policy: Policy,
        clock: VirtualClock,
        send: Callable[['EmulatedInstance', Address, PacketHead], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_up = False
        self.is_ready = False
        self.life = 0
        self.record = InstanceRecord(name, zone, '127.0.0.1', 1)
        self._day = day
        self._policy = policy
        self._clock = clock
        self._send = send
        self._timer_s: float | None = None

    def start(
        self, targets: Iterable[EmulatedTarget], names: tuple[str, ...]
    ) -> None:
        """Start the process with empty memory and learn the targets."""
        self.life += 1
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
            _HeadCodec(),
            self.directory,
            routes,
            placer,
            responsiveness,
            self,
            _Silence(),
        )

    def stop(self) -> None:
        """End the process."""
        self.is_up = False
        self.is_ready = False

    def send(self, address: Address, datagram: Any) -> None:
        """Send a header; the engine's outbox."""
        self._send(self, address, datagram)

    def on_packet(self, head: PacketHead) -> None:
        """Handle a packet from the fabric."""
        if self.is_up:
            self.engine.on_packet(head, self._clock.now_s)
            self._run_timer()

    def report(self) -> LoadReport:
        """Return the report for other instances."""
        return LoadReport(
            self.name,
            self.zone,
            not self.is_ready,
            dict(self.loads.own_flows),
            self.engine.take_ended_elsewhere(),
        )

    def hear(self, report: LoadReport) -> None:
        """Handle the report of another instance."""
        if self.is_up:
            now_s = self._clock.now_s
            self.loads.hear(report, now_s)
            self.loads.expire(now_s)
            self.engine.on_ended_elsewhere(report.ended, now_s)
            self._run_timer()

    def _run_timer(self) -> None:
        due_s = self.engine.on_timer(self._clock.now_s)
        is_sooner = self._timer_s is None or (
            due_s is not None and due_s < self._timer_s
        )
        if due_s is not None and is_sooner:
            self._timer_s = due_s
            self._clock.call_at(due_s, self._on_timer, self.life, due_s)

    def _on_timer(self, life: int, due_s: float) -> None:
        if self.is_up and life == self.life and due_s == self._timer_s:
            self._timer_s = None
            self._run_timer()
