"""Load balancer instances: the product's engine run in virtual time."""

import enum
from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.engines import (
    EngineFactory,
    EngineParts,
    HeaderCodec,
    NullEventLog,
    build_configuration,
    build_engine,
)
from siskinproxy.emulator.policies import Policy
from siskinproxy.emulator.store import decode_target
from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.evidence import EvidenceReport
from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord
from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.packets import PacketHeader
from siskinproxy.entry.records import Address
from siskinproxy.entry.responsiveness import CheckOutcome, Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.store import PrefixChanges

__all__ = (
    'DetectionNetwork',
    'EmulatedInstance',
    'ReportMode',
)

#: Checks that an instance starts at the same time.
_MAX_CHECKS: Final = 16
#: Flows that an instance with wrong reports claims at each target.
_WRONG_FLOWS: Final = 50
#: Packets and messages that are kept for a paused process; the socket buffers
#: drop further ones.
_MAX_HELD_BACK: Final = 1000


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


class ReportMode(enum.Enum):
    """What an instance tells the others in its load reports."""

    TRUE = 'true'
    #: All targets have far more flows than slots.
    ALL_FULL = 'all_full'
    SILENT = 'silent'


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
    engine_factory : callable
        Builds the engine at each start.

    Attributes
    ----------
    is_up : bool
        Whether the process runs.
    is_ready : bool
        Whether it answers readiness probes with success.
    report_mode : ReportMode
        What it tells the others in its load reports.
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
        engine_factory: EngineFactory = build_engine,
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_up = False
        self.is_ready = False
        self.report_mode = ReportMode.TRUE
        self.incarnation = 0
        self.record = InstanceRecord(name, zone, '127.0.0.1', 1)
        self._day = day
        self._policy = policy
        self._clock = clock
        self._send = send
        self._network = network
        self._engine_factory = engine_factory
        self._held_back: list[tuple[Callable[..., None], Any]] | None = None
        self._timer_s: float | None = None
        self._has_timer = True
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
            NullEventLog(),
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
        self.engine = self._engine_factory(
            EngineParts(
                self.record,
                HeaderCodec(),
                self.directory,
                routes,
                placer,
                self.responsiveness,
                self,
                NullEventLog(),
                self.loads,
                lambda: sum(each.zone == self.zone for each in self._instances),
            )
        )

    def stop(self) -> None:
        """End the process at once, without notice to callers or instances."""
        self.is_up = False
        self.is_ready = False
        self._held_back = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.is_up and self._held_back is None

    @property
    def answers_probes(self) -> bool:
        """Whether a readiness probe gets success in time."""
        return self.is_ready and self._held_back is None

    def pause(self) -> None:
        """Let the process stand still until `resume`."""
        if self.is_running:
            self._held_back = []

    def resume(self) -> None:
        """Handle what has arrived during the pause, and go on.

        As in the product, timeouts are applied after all packets.
        """
        if self._held_back is None:
            return
        held_back = self._held_back
        self._held_back = None
        self._has_timer = False
        for action, arguments in held_back:
            action(*arguments)
        self._has_timer = True
        self._timer_s = None
        self._run_timer()

    def _hold_back(
        self,
        action: Callable[..., None],
        *arguments: Any,
        may_drop: bool = False,
    ) -> bool:
        """Return whether an event has to wait for the end of a pause.

        With `may_drop`, it is dropped if too many wait already.
        """
        if self._held_back is None:
            return False
        if not may_drop or len(self._held_back) < _MAX_HELD_BACK:
            self._held_back.append((action, arguments))
        return True

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
        if self._hold_back(self.on_list, changes):
            return
        if self.is_up:
            self._cluster_state.apply_changes(
                changes, self._clock.now_s, source='store'
            )

    def expire(self) -> None:
        """Do the periodic work on targets that lapsed or are held back."""
        if self.is_running:
            self._cluster_state.expire(self._clock.now_s)
            self.directory.expire(self._clock.now_s)

    def on_packet(self, head: PacketHeader) -> None:
        """Handle a packet from the fabric."""
        if self._hold_back(self.on_packet, head, may_drop=True):
            return
        if self.is_up:
            self.engine.on_packet(head, self._clock.now_s)
            self._run_timer()

    def report(self) -> LoadReport | None:
        """Return the load report for the other instances, None for none."""
        if self.report_mode is ReportMode.SILENT:
            return None
        scheduler = self.engine.scheduler
        report = LoadReport(
            self.name,
            self.zone,
            not self.is_ready,
            dict(self.loads.own_flows),
            self.engine.take_ended_hashes(),
            *(scheduler.report(self._clock.now_s) if scheduler else ()),
        )
        if self.report_mode is ReportMode.ALL_FULL:
            flows = {
                target.token: _WRONG_FLOWS
                for target in self.directory.targets()
            }
            return msgspec.structs.replace(report, flows=flows)
        return report

    def on_report(self, report: LoadReport) -> None:
        """Apply the load report of another instance."""
        if self._hold_back(self.on_report, report, may_drop=True):
            return
        if self.is_up:
            now_s = self._clock.now_s
            self.loads.apply_report(report, now_s)
            self.loads.expire(now_s)
            self.loads.update_sample_scale(self.zone, self._instances)
            self.engine.on_ended_hashes(report.ended, now_s)
            if self.engine.scheduler is not None:
                self.engine.scheduler.on_report(report, now_s)
            self._run_timer()

    def on_evidence(self, report: EvidenceReport) -> None:
        """Apply the evidence of another instance."""
        if self._hold_back(self.on_evidence, report):
            return
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
        if self._hold_back(
            self.on_checked, incarnation, target, outcome, sent_s
        ):
            return
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
        if not self._has_timer:
            return
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
            self.is_running
            and incarnation == self.incarnation
            and due_s == self._timer_s
        ):
            self._timer_s = None
            self._run_timer()
