"""Fabric, instances, targets and callers of one day."""

import random
import zlib
from collections import Counter
from functools import partial
from typing import Final

from siskinproxy.emulator.callers import CallerRequest, Outcome
from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.faults import apply_fault
from siskinproxy.emulator.instances import EmulatedInstance, destination_of
from siskinproxy.emulator.policies import Policy
from siskinproxy.emulator.targets import (
    HEARTBEAT_S,
    MISSED_HEARTBEATS,
    EmulatedTarget,
    Job,
)
from siskinproxy.entry.packets import FIN, RST, SYN, PacketHead
from siskinproxy.entry.records import Address, token_of

__all__ = ('EmulatedDay', 'play')

#: Time between two looks of the routers at the readiness of an instance, in
#: seconds, and how many failures take it out; from the users' pages.
PROBE_S: Final = 0.5
FAILED_PROBES: Final = 2
#: Delay of the target list, in seconds; from the users' site files.
LIST_DELAY_S: Final = 0.8
#: Time from the start of a process to its first packet, in seconds: measured
#: on 0.236 of a core (docs/platform.md).
START_S: Final = 0.6
#: Time for which a stopping instance forwards, in seconds, as the product.
FORWARD_S: Final = 1.2
#: Time between two reports of instances, in seconds, as the product.
REPORT_S: Final = 0.05
#: Time after the last request in which answers still count, in seconds.
SETTLE_S: Final = 6.0
#: Attempts that a request may make; each has a flow number.
FLOWS_PER_REQUEST: Final = 8
_MS_PER_S: Final = 1000


class EmulatedDay:
    """One run of a day under one policy.

    Parameters
    ----------
    day : Day
        What is played.
    policy : Policy
        How instances place flows.
    seed : int
        Seed of all randomness. Callers draw from a source of their own, so
        that all policies get the same requests.

    Attributes
    ----------
    outcomes : list of Outcome
        Ends of the requests.
    """

    def __init__(self, day: Day, policy: Policy, seed: int) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(f'faults {seed}')
        self.outcomes: list[Outcome] = []
        self.rate_factor: float = 1
        self.cut_zones: set[str] = set()
        self._day = day
        self._policy = policy
        self._caller_rng = random.Random(f'callers {seed}')
        self._requests: dict[int, CallerRequest] = {}
        self._next_flow = 0
        self._fabric: dict[str, tuple[EmulatedInstance, ...]] = {}
        self._failures: Counter[tuple[str, str]] = Counter()
        self.targets = self._build_targets()
        self._by_address = {each.address: each for each in self.targets}
        self.instances = self._build_instances()
        self._names = tuple(each.name for each in self.instances)

    def run(self) -> None:
        """Play the day."""
        for instance in self.instances:
            instance.start(self.targets, self._names)
        self._probe_instances()
        for zone, rate in zip(
            self._day.zones, self._day.requests_per_s, strict=True
        ):
            self._offer(zone, rate)
        if self._policy.shares_counts:
            self._exchange_reports()
        for fault in self._day.faults:
            self.clock.call_at(fault.at_s, apply_fault, self, fault)
        self.clock.run_until(self._day.length_s + SETTLE_S)

    # Disruptions

    def silence_target(self, target: EmulatedTarget, for_s: float) -> None:
        """Let a target answer nothing; its entry ends as without heartbeats."""
        target.is_silent = True
        gone_s = MISSED_HEARTBEATS * HEARTBEAT_S
        self.clock.call_after(gone_s, self._withdraw, target)
        self.clock.call_after(for_s, self._revive, target)

    def restart_target(self, target: EmulatedTarget, for_s: float) -> None:
        """Take a target down as planned and start it cold."""
        target.is_silent = True
        self._withdraw(target)
        self.clock.call_after(for_s, self._revive, target)

    def stop_instance(self, instance: EmulatedInstance) -> None:
        """Stop an instance as planned and start it again."""
        instance.is_ready = False
        self.clock.call_after(FORWARD_S, self.kill_instance, instance, 0)

    def kill_instance(self, instance: EmulatedInstance, for_s: float) -> None:
        """End an instance at once and start it again later."""
        instance.stop()
        self.clock.call_after(for_s + START_S, self._start_instance, instance)

    # Set-up

    def _build_targets(self) -> list[EmulatedTarget]:
        places = [
            (layout, zone)
            for layout in self._day.services
            for zone in self._spread(layout.targets)
        ]
        return [
            EmulatedTarget(number, layout, zone, self.clock)
            for number, (layout, zone) in enumerate(places, start=1)
        ]

    def _spread(self, counts: tuple[int, ...]) -> list[str]:
        """Return each zone as often as its count says."""
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
            )
            for number, zone in enumerate(self._spread(self._day.instances))
        ]

    # Callers

    def _offer(self, zone: str, rate: float) -> None:
        now_s = self.clock.now_s
        if now_s >= self._day.length_s:
            return
        classes = self._day.classes
        number = self._caller_rng.choices(
            range(len(classes)), [each.share for each in classes]
        )[0]
        flow = self._next_flow * FLOWS_PER_REQUEST
        self._next_flow += 1
        request_rng = random.Random(self._caller_rng.random())
        delay_s = self._caller_rng.expovariate(rate * self.rate_factor)
        CallerRequest(
            flow,
            classes[number],
            zone,
            destination_of(number),
            self.clock,
            request_rng,
            self._send_from_caller,
            self.outcomes.append,
        )
        self.clock.call_after(delay_s, self._offer, zone, rate)

    def _send_from_caller(self, req: CallerRequest, packet: PacketHead) -> None:
        self._requests[req.flow // FLOWS_PER_REQUEST] = req
        fabric = self._fabric[req.zone]
        if not fabric:
            return
        instance = fabric[zlib.crc32(packet.flow) % len(fabric)]
        if self._is_cut(req.zone, instance.zone):
            return
        delay_s = self._day.caller_ms / _MS_PER_S
        self.clock.call_after(delay_s, instance.on_packet, packet)

    # Fabric

    def _probe_instances(self) -> None:
        for zone in self._day.zones:
            self._fabric[zone] = tuple(
                each for each in self.instances if self._is_routed(zone, each)
            )
        self.clock.call_after(PROBE_S, self._probe_instances)

    def _is_routed(self, zone: str, instance: EmulatedInstance) -> bool:
        """Look at the readiness of an instance from the routers of a zone."""
        key = (zone, instance.name)
        answers = instance.is_ready and not self._is_cut(zone, instance.zone)
        self._failures[key] = 0 if answers else self._failures[key] + 1
        return self._failures[key] < FAILED_PROBES

    def _exchange_reports(self) -> None:
        running = [each for each in self.instances if each.is_up]
        for sender in running:
            report = sender.report()
            for receiver in running:
                if receiver is sender or self._is_cut(
                    sender.zone, receiver.zone
                ):
                    continue
                delay_s = self._delay_s(sender.zone, receiver.zone)
                self.clock.call_after(delay_s, receiver.hear, report)
        self.clock.call_after(REPORT_S, self._exchange_reports)

    def _start_instance(self, instance: EmulatedInstance) -> None:
        known = [each for each in self.targets if not each.is_silent]
        instance.start(known, self._names)

    def _is_cut(self, one: str, other: str) -> bool:
        return one != other and bool(self.cut_zones & {one, other})

    def _delay_s(self, one: str, other: str) -> float:
        return 0 if one == other else self._day.cross_zone_ms / _MS_PER_S

    # Targets

    def _send_from_instance(
        self, instance: EmulatedInstance, address: Address, packet: PacketHead
    ) -> None:
        target = self._by_address.get(address)
        if target is None:
            delay_s = self._day.caller_ms / _MS_PER_S
            flow = int.from_bytes(packet.flow[:6])
            self.clock.call_after(delay_s, self._reset, flow)
        elif not self._is_cut(instance.zone, target.zone):
            delay_s = self._delay_s(instance.zone, target.zone)
            self.clock.call_after(delay_s, self._arrive, target, packet)

    def _arrive(self, target: EmulatedTarget, packet: PacketHead) -> None:
        flow = int.from_bytes(packet.flow[:6])
        req = self._requests[flow // FLOWS_PER_REQUEST]
        if target.is_silent or self._is_cut(req.zone, target.zone):
            return
        delay_s = self._day.caller_ms / _MS_PER_S
        if packet.flags & SYN:
            token = token_of(target.number)
            self.clock.call_after(delay_s, req.on_accepted, flow, token)
        elif not packet.flags & (FIN | RST):
            self._run_request(target, req, flow)

    def _run_request(
        self, target: EmulatedTarget, req: CallerRequest, flow: int
    ) -> None:
        job = Job(req.work_s, partial(self._answer, req, flow))
        if target.take(job):
            req.runs += 1
        else:
            delay_s = self._day.caller_ms / _MS_PER_S
            self.clock.call_after(delay_s, req.on_reset, flow)

    def _answer(self, req: CallerRequest, flow: int) -> None:
        delay_s = self._day.caller_ms / _MS_PER_S
        self.clock.call_after(delay_s, req.on_answer, flow)

    def _reset(self, flow: int) -> None:
        self._requests[flow // FLOWS_PER_REQUEST].on_reset(flow)

    def _withdraw(self, target: EmulatedTarget) -> None:
        if not target.is_silent:
            return
        self.clock.call_after(LIST_DELAY_S, self._tell_gone, target)

    def _tell_gone(self, target: EmulatedTarget) -> None:
        for instance in self.instances:
            if instance.is_up and target.is_silent:
                instance.directory.withdraw(
                    f'i-{target.number:x}', self.clock.now_s, may_return=False
                )

    def _revive(self, target: EmulatedTarget) -> None:
        target.is_silent = False
        target.restart()
        self.clock.call_after(LIST_DELAY_S, self._tell_back, target)

    def _tell_back(self, target: EmulatedTarget) -> None:
        for instance in self.instances:
            if instance.is_up and not target.is_silent:
                instance.directory.announce(target.record(), self.clock.now_s)


def play(day: Day, policy: Policy, seed: int) -> EmulatedDay:
    """Return a day that has been played.

    Parameters
    ----------
    day, policy, seed
        As `EmulatedDay`.

    Returns
    -------
    EmulatedDay
        World at the end of the day.
    """
    found = EmulatedDay(day, policy, seed)
    found.run()
    return found
