"""Emulation of a scenario: network fabric, instances, targets and callers."""

import random
import zlib
from functools import partial
from typing import Final

from siskinproxy.emulator.caller_flow import CallerFlow
from siskinproxy.emulator.callers import CallerRequest, Outcome
from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.engines import (
    EngineFactory,
    build_engine,
    destination_of,
)
from siskinproxy.emulator.faults import apply_fault
from siskinproxy.emulator.flow_callers import CallerPools, FlowRequest
from siskinproxy.emulator.instances import EmulatedInstance
from siskinproxy.emulator.load import LoadGenerator
from siskinproxy.emulator.policies import Policy
from siskinproxy.emulator.recorder import Recorder
from siskinproxy.emulator.routers import Routers
from siskinproxy.emulator.target_list import TargetList
from siskinproxy.emulator.targets import EmulatedTarget, Job
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.evidence import EvidenceReport
from siskinproxy.entry.load_view import report_receivers
from siskinproxy.entry.packets import FIN, RST, SYN, PacketHeader
from siskinproxy.entry.records import Address, token_of
from siskinproxy.entry.responsiveness import CheckOutcome
from siskinproxy.entry.target_check import CHECK_TIMEOUT_S

__all__ = ('Emulation', 'emulate')

#: Time from the start of an instance's process until it can receive packets,
#: in seconds, with 0.236 of a CPU core.
PROCESS_START_S: Final = 0.6
#: Time for which a stopping instance still forwards packets, in seconds. The
#: product forwards them longer, for `FORWARD_AFTER_UNREADY_S` in
#: `siskinproxy.entry.stopping`.
STOP_FORWARDING_S: Final = 1.2
#: Interval of the load reports between instances, in seconds; the same as in
#: the product while targets are busy. The emulator uses it at any load.
REPORT_INTERVAL_S: Final = 0.05
#: Time from evidence to its receipt at another instance of the zone, and time
#: in which a target answers a check, in seconds.
EVIDENCE_DELAY_S: Final = 0.006
CHECK_WORK_S: Final = 0.002
#: Interval at which instances look for entries that lapse, in seconds.
EXPIRY_INTERVAL_S: Final = 0.5
#: Time after the last request for which the emulation continues, in seconds, so
#: that late answers still count.
FINAL_WAIT_S: Final = 6.0
#: Flow numbers reserved for the attempts of a request; each attempt uses
#: one.
FLOWS_PER_REQUEST: Final = 8
_MS_PER_S: Final = 1000


class Emulation:
    """One run of a scenario under one policy.

    Parameters
    ----------
    day : Day
        Scenario.
    policy : Policy
        How instances select the target of a new flow.
    seed : int
        Seed of all random choices. Callers have a random generator of their
        own, so that all policies get the same requests.
    engine_factory : callable
        Builds the engine of each instance from its parts.

    Attributes
    ----------
    clock : VirtualClock
        Clock of all parts.
    rng : random.Random
        Random source for the faults.
    outcomes : list of Outcome
        Results of the requests that have ended.
    recorder : Recorder
        Refusals, and what the targets could do.
    routers : Routers
        Routers of the zones; they know the zones that are cut off.
    load : LoadGenerator
        Arrivals of requests.
    target_list : TargetList
        Ends and starts targets.
    lost_reports : float
        Share of the load reports that are lost.
    checks, evidence_sent : int
        Checks of targets, and datagrams with evidence between instances.
    targets : list of EmulatedTarget
        Targets of all services.
    instances : list of EmulatedInstance
        Instances of all zones.
    """

    def __init__(
        self,
        day: Day,
        policy: Policy,
        seed: int,
        engine_factory: EngineFactory = build_engine,
    ) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(f'faults {seed}')
        self.outcomes: list[Outcome] = []
        self.lost_reports: float = 0
        self._day = day
        self._policy = policy
        self._engine_factory = engine_factory
        self._network_rng = random.Random(f'network {seed}')
        self._requests: dict[int, CallerRequest | CallerFlow] = {}
        self.load = LoadGenerator(
            day,
            self.clock,
            random.Random(f'callers {seed}'),
            self._start_request,
        )
        self._pools = CallerPools(
            day.classes,
            self.clock,
            self._take_flow_number,
            self._send_from_caller,
        )
        self._next_flow = 0
        self.checks = 0
        self.evidence_sent = 0
        self.targets = self._build_targets()
        self._targets_by_address = {each.address: each for each in self.targets}
        self.instances = self._build_instances()
        self.target_list = TargetList(
            self.clock, self.rng, self.targets, self.instances
        )
        self.routers = Routers(self.clock, day.zones, self.instances)
        self.recorder = Recorder(day, self.clock, self.targets)
        self._instance_records = tuple(each.record for each in self.instances)
        self._report_receivers = self._find_report_receivers()

    def run(self) -> None:
        """Run the scenario to its end."""
        for instance in self.instances:
            instance.start(self.target_list.read(), self._instance_records)
        self.routers.probe()
        self._expire_entries()
        self.recorder.sample_capacity()
        self.load.start()
        if self._policy.shares_counts:
            self._exchange_reports()
        for fault in self._day.faults:
            self.clock.call_at(fault.at_s, apply_fault, self, fault)
        self.clock.run_until(self._day.length_s + FINAL_WAIT_S)

    # Faults

    def stop_instance(self, instance: EmulatedInstance) -> None:
        """Stop an instance as planned and start it again.

        It fails its readiness probes and forwards packets until it exits.
        """
        instance.is_ready = False
        self.clock.call_after(
            STOP_FORWARDING_S, self.kill_instance, instance, 0
        )

    def kill_instance(self, instance: EmulatedInstance, for_s: float) -> None:
        """Kill an instance and start it again after a time, in seconds."""
        instance.stop()
        self.clock.call_after(
            for_s + PROCESS_START_S, self._start_instance, instance
        )

    # Checks and evidence

    def check(self, instance: EmulatedInstance, target: KnownTarget) -> None:
        """Check a target; the outcome goes to `EmulatedInstance.on_checked`."""
        checked = self._targets_by_address[target.record.address]
        self.checks += 1
        if self.routers.is_partitioned(instance.zone, checked.zone) or (
            checked.is_unresponsive and not checked.resets_openings
        ):
            outcome, took_s = CheckOutcome.TIMED_OUT, CHECK_TIMEOUT_S
        else:
            outcome = (
                CheckOutcome.REFUSED
                if checked.is_unresponsive
                else CheckOutcome.ANSWERED
            )
            round_trip_s = 2 * self._delay_s(instance.zone, checked.zone)
            took_s = round_trip_s + CHECK_WORK_S
        self.clock.call_after(
            took_s,
            instance.on_checked,
            instance.incarnation,
            target,
            outcome,
            self.clock.now_s,
        )

    def send_evidence(
        self,
        instance: EmulatedInstance,
        report: EvidenceReport,
        names: frozenset[str] | None,
    ) -> None:
        """Send a report to instances of the zone: these, or all if None."""
        for receiver in self.instances:
            if receiver.zone != instance.zone or receiver is instance:
                continue
            if names is None or receiver.name in names:
                self.evidence_sent += 1
                self.clock.call_after(
                    EVIDENCE_DELAY_S, receiver.on_evidence, report
                )

    # Construction

    def _build_targets(self) -> list[EmulatedTarget]:
        locations = [
            (layout, zone)
            for layout in self._day.services
            for zone in self._zones_of_members(layout.targets)
        ]
        return [
            EmulatedTarget(number, layout, zone, self.clock)
            for number, (layout, zone) in enumerate(locations, start=1)
        ]

    def _zones_of_members(self, counts: tuple[int, ...]) -> list[str]:
        """Return a list with the zone of each member, by counts per zone."""
        pairs = zip(self._day.zones, counts, strict=True)
        return [zone for zone, count in pairs for _ in range(count)]

    def _build_instances(self) -> list[EmulatedInstance]:
        return [
            EmulatedInstance(
                f'i-{number}',
                zone,
                self._day,
                self._policy,
                self.clock,
                self._send_from_instance,
                self,
                self._engine_factory,
            )
            for number, zone in enumerate(
                self._zones_of_members(self._day.instances)
            )
        ]

    def _find_report_receivers(self) -> dict[str, tuple[EmulatedInstance, ...]]:
        records = self._instance_records
        by_name = {each.name: each for each in self.instances}
        return {
            record.name: tuple(
                by_name[each.name] for each in report_receivers(record, records)
            )
            for record in records
        }

    # Callers

    def _start_request(
        self, number: int, zone: str, rng: random.Random
    ) -> None:
        request_class = self._day.classes[number]
        destination = destination_of(number)
        if request_class.response_bytes:
            caller = self._pools.draw(number, zone, destination, rng)
            FlowRequest(caller, rng, self.outcomes.append)
            return
        CallerRequest(
            self._take_flow_number(),
            request_class,
            zone,
            destination,
            self.clock,
            rng,
            self._send_from_caller,
            self.outcomes.append,
        )

    def _take_flow_number(self) -> int:
        number = self._next_flow * FLOWS_PER_REQUEST
        self._next_flow += 1
        return number

    def _send_from_caller(
        self, req: CallerRequest | CallerFlow, packet: PacketHeader
    ) -> None:
        self._requests[req.flow // FLOWS_PER_REQUEST] = req
        routed = self.routers.instances_of(req.zone)
        if not routed:
            return
        instance = routed[zlib.crc32(packet.flow) % len(routed)]
        if self.routers.is_partitioned(req.zone, instance.zone):
            return
        delay_s = self._day.caller_ms / _MS_PER_S
        self.clock.call_after(delay_s, instance.on_packet, packet)

    # Fabric

    def _exchange_reports(self) -> None:
        running = [each for each in self.instances if each.is_running]
        for sender in running:
            report = sender.report()
            if report is None:
                continue
            for receiver in self._report_receivers[sender.name]:
                if not receiver.is_up or self.routers.is_partitioned(
                    sender.zone, receiver.zone
                ):
                    continue
                if self._network_rng.random() < self.lost_reports:
                    continue
                delay_s = self._delay_s(sender.zone, receiver.zone)
                self.clock.call_after(delay_s, receiver.on_report, report)
        self.clock.call_after(REPORT_INTERVAL_S, self._exchange_reports)

    def _start_instance(self, instance: EmulatedInstance) -> None:
        """Start an instance with the current entries of the live targets."""
        instance.start(self.target_list.read_live(), self._instance_records)

    def _delay_s(self, zone_a: str, zone_b: str) -> float:
        return 0 if zone_a == zone_b else self._day.cross_zone_ms / _MS_PER_S

    def _send_from_instance(
        self, instance: EmulatedInstance, address: Address, packet: PacketHeader
    ) -> None:
        target = self._targets_by_address.get(address)
        if target is None:
            delay_s = self._day.caller_ms / _MS_PER_S
            flow = int.from_bytes(packet.flow[:6])
            self.recorder.note_refusal(packet)
            self.clock.call_after(delay_s, self._send_reset, flow)
        elif not self.routers.is_partitioned(instance.zone, target.zone):
            delay_s = self._delay_s(instance.zone, target.zone)
            self.clock.call_after(
                delay_s, self._deliver_to_target, target, packet
            )

    def _deliver_to_target(
        self, target: EmulatedTarget, packet: PacketHeader
    ) -> None:
        flow = int.from_bytes(packet.flow[:6])
        req = self._requests[flow // FLOWS_PER_REQUEST]
        if self.routers.is_partitioned(req.zone, target.zone):
            return
        if target.is_unresponsive:
            if target.resets_openings:
                self.clock.call_after(
                    self._day.caller_ms / _MS_PER_S, req.on_reset, flow
                )
            return
        delay_s = self._day.caller_ms / _MS_PER_S
        if packet.flags & SYN:
            token = token_of(target.number)
            self.clock.call_after(delay_s, req.on_accepted, flow, token)
        elif isinstance(req, CallerFlow):
            req.on_target_packet(target, packet, delay_s)
        elif not packet.flags & (FIN | RST):
            self._run_request(target, req, flow)

    def _run_request(
        self, target: EmulatedTarget, req: CallerRequest, flow: int
    ) -> None:
        job = Job(req.work_s, partial(self._send_answer, req, flow))
        if target.accept(job):
            req.runs += 1
        else:
            delay_s = self._day.caller_ms / _MS_PER_S
            self.clock.call_after(delay_s, req.on_reset, flow)

    def _send_answer(self, req: CallerRequest, flow: int) -> None:
        delay_s = self._day.caller_ms / _MS_PER_S
        self.clock.call_after(delay_s, req.on_answer, flow)

    def _send_reset(self, flow: int) -> None:
        self._requests[flow // FLOWS_PER_REQUEST].on_reset(flow)

    def _expire_entries(self) -> None:
        for instance in self.instances:
            instance.expire()
        self.clock.call_after(EXPIRY_INTERVAL_S, self._expire_entries)


def emulate(day: Day, policy: Policy, seed: int) -> Emulation:
    """Run a scenario and return the emulation at its end.

    Parameters
    ----------
    day, policy, seed
        As `Emulation`.

    Returns
    -------
    Emulation
        Emulation; its outcomes hold the results of the requests.
    """
    emulation = Emulation(day, policy, seed)
    emulation.run()
    return emulation
