"""Load balancer instances: the product's engine run in virtual time."""

from collections.abc import Callable
from typing import Any, Final, Protocol

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.policies import Policy
from siskinproxy.emulator.store import decode_target
from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.engine import EntryEngine
from siskinproxy.entry.evidence import EvidenceReport
from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord
from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.packets import RST, PacketHeader
from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
)
from siskinproxy.entry.responsiveness import CheckOutcome, Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.store import PrefixChanges

__all__ = (
    'DetectionNetwork',
    'EmulatedInstance',
    'build_configuration',
    'destination_of',
)

_IDLE_TIMEOUT_S: Final = 15.0
_MS_PER_S: Final = 1000
#: Checks that an instance starts at the same time.
_MAX_CHECKS: Final = 16


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


class DetectionNetwork(Protocol):
    """Carries checks of targets, and evidence between instances."""

    def check(self, instance: 'EmulatedInstance', target: KnownTarget) -> None:
        """Check a target; `EmulatedInstance.on_checked` gets the outcome."""

    def send_evidence(
        self,
        instance: 'EmulatedInstance',
        report: EvidenceReport,
        names: frozenset[str] | None,
    ) -> None:
        """Send a report to instances of the zone: these, or all if None."""


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
    network : DetectionNetwork
        Carries checks and evidence on targets.

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
        network: DetectionNetwork,
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
        self._network = network
        self._timer_s: float | None = None
        self._instances: tuple[InstanceRecord, ...] = ()

    def start(
        self,
        listed: PrefixChanges,
        instances: tuple[InstanceRecord, ...],
    ) -> None:
        """Start the process without state from an earlier run.

        Parameters
        ----------
        listed : PrefixChanges
            Target list of the store.
        instances : tuple of InstanceRecord
            All instances.
        """
        self.incarnation += 1
        self._instances = instances
        self.is_up = True
        self.is_ready = True
        self._timer_s = None
        self.directory = TargetDirectory()
        routes = RouteTable()
        routes.apply(build_configuration(self._day), self._clock.now_s)
        self._cluster_state = ClusterState(
            StoreSchema('', decode_target),
            self.directory,
            routes,
            InstanceDirectory(),
            _NullEventLog(),
        )
        self.on_list(listed)
        self.loads = LoadView()
        cold_limit = ColdLimit(self.name, ColdBounds())
        cold_limit.set_instances(tuple(each.name for each in instances))
        self.responsiveness = Responsiveness(
            name=self.name, zone=self.zone, directory=self.directory
        )
        self.responsiveness.set_members(
            each.name for each in instances if each.zone == self.zone
        )
        placer = self._policy.build_placer(
            self.zone, cold_limit, self.responsiveness, self.loads
        )
        self.engine = EntryEngine(
            _HeaderCodec(),
            self.directory,
            routes,
            placer,
            self.responsiveness,
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

    def on_list(self, changes: PrefixChanges) -> None:
        """Apply the target list, or a change of it, unless the process is down.

        Parameters
        ----------
        changes : PrefixChanges
            Answer of the store.
        """
        if self.is_up:
            self._cluster_state.apply_changes(
                changes, self._clock.now_s, source='store'
            )

    def expire(self) -> None:
        """Do the periodic work on targets that lapsed or are held back."""
        if self.is_up:
            self._cluster_state.expire(self._clock.now_s)
            self.directory.expire(self._clock.now_s)

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
            self.loads.update_sample_scale(self.zone, self._instances)
            self.engine.on_ended_hashes(report.ended, now_s)
            self._run_timer()

    def on_evidence(self, report: EvidenceReport) -> None:
        """Apply the evidence of another instance."""
        if self.is_up:
            self.responsiveness.apply_report(report, self._clock.now_s)
            self._run_timer()

    def on_checked(
        self,
        incarnation: int,
        target: KnownTarget,
        outcome: CheckOutcome,
        sent_s: float,
    ) -> None:
        """Apply the outcome of a check that this incarnation has started."""
        if self.is_up and incarnation == self.incarnation:
            self.responsiveness.note_check(
                target, outcome, sent_s, self._clock.now_s
            )
            self._run_timer()

    def _run_detection(self) -> float | None:
        """Start due checks and send evidence; return the time of the next."""
        now_s = self._clock.now_s
        if self.responsiveness.has_work(now_s):
            for target in self.responsiveness.take_due_checks(
                now_s, _MAX_CHECKS
            ):
                self._network.check(self, target)
            repeated_to = self.responsiveness.checkers(
                self.responsiveness.repeated_targets()
            )
            news, repeated = self.responsiveness.take_reports(now_s)
            if news is not None:
                self._network.send_evidence(self, news, None)
            if repeated is not None:
                self._network.send_evidence(self, repeated, repeated_to)
        return self.responsiveness.next_check_s

    def _run_timer(self) -> None:
        due_s = self.engine.on_timer(self._clock.now_s)
        check_s = self._run_detection()
        if check_s is not None:
            due_s = check_s if due_s is None else min(due_s, check_s)
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
