"""Deterministic simulation around packet engines: clock, network and peers.

Targets and callers are the stand-ins of `siskinproxy.standins` without their
sockets. Members and configuration reach each instance as a routing snapshot
after a random delay, as control processes would deliver them.
"""

import hashlib
import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.fabric.segments import (
    FLAGS_OFFSET,
    RST,
    SYN,
    Endpoint,
    build_abort,
    unpack_endpoint,
)
from siskinproxy.instances.tunnel import DatagramKind
from siskinproxy.operators.configuration import Configuration, Target
from siskinproxy.standins.caller_flow import RequestFlow, StreamFlow
from siskinproxy.standins.target_server import TargetServer, TargetSettings

__all__ = ('Engine', 'FakeInstance', 'NetworkFaults', 'World', 'WorldOutbox')

_TIMER_PERIOD_S: Final = 0.01
_LOCAL_LATENCY_S: Final = 0.0001
_KEEPALIVE_PERIOD_S: Final = 0.5
#: Control processes read the platform's list of instances this often while
#: they hear from no instance of a zone.
_INSTANCE_LIST_PERIOD_S: Final = 5.0
#: Number of datagrams that the socket of a frozen process holds; further ones
#: are dropped.
_SOCKET_BUFFER_DATAGRAMS: Final = 500
#: UDP and IPv4 headers of a datagram.
_UDP_IPV4_HEADER_BYTES: Final = 28
_CONTROL_TRAFFIC_KINDS: Final = frozenset(
    (DatagramKind.COPY, DatagramKind.HELLO)
)


_Event = tuple[float, int, Callable[..., None], Any]


class Engine(Protocol):
    """Packet engine, or a baseline algorithm with the same interface."""

    def apply_snapshot(self, snapshot: RoutingSnapshot, now_s: float) -> None:
        """Apply the configuration, members and zone contacts of a snapshot."""

    def record_zone_contacts(
        self, zone_sight_s: dict[str, float], now_s: float
    ) -> None:
        """Record the time since the last message from each zone."""

    def on_segment(self, segment: bytes, now_s: float) -> None:
        """Handle a datagram from the fabric."""

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Handle a datagram from another instance."""

    def on_timer(self, now_s: float) -> None:
        """Run the timers that are due."""


EngineFactory = Callable[[Member, 'WorldOutbox', Limits, random.Random], Engine]


@dataclass
class NetworkFaults:
    """Faults of the network between instances, targets and callers.

    Parameters
    ----------
    loss, duplication, reordering : float
        Probability of each fault for each datagram, from 0 to 1.
    reordering_s : float
        Largest extra delay of a reordered datagram, in seconds.
    cuts : set of (str, str)
        Pairs of source and destination zone between which nothing is
        delivered. An empty name stands for the zone of the callers.
    """

    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    reordering_s: float = 0.02
    cuts: set[tuple[str, str]] = field(default_factory=set)


class FakeInstance:
    """Simulated instance with its engine, which faults may stop or pause.

    Parameters
    ----------
    member : Member
        Name, zone and addresses of the instance.
    engine : Engine
        Packet engine or baseline.

    Attributes
    ----------
    is_alive : bool
        Whether the instance runs; also true while it is frozen.
    is_frozen : bool
        Whether the process is paused, as with SIGSTOP.
    has_control : bool
        Whether the control process delivers snapshots and zone contacts.
    backlog : deque
        Datagrams received while frozen, as calls that handle them.
    snapshot_number : int
        Number of the newest snapshot received.
    missed_snapshot : RoutingSnapshot or None
        Newest snapshot that could not be applied.
    """

    def __init__(self, member: Member, engine: Engine) -> None:
        self.member = member
        self.engine = engine
        self.is_alive = True
        self.is_frozen = False
        self.has_control = True
        self.backlog: deque[Callable[[], None]] = deque()
        self.snapshot_number = 0
        self.missed_snapshot: RoutingSnapshot | None = None


class WorldOutbox:
    """Sends the datagrams of one engine into the simulated network."""

    def __init__(self, world: 'World', member: Member) -> None:
        self._world = world
        self._member = member

    def to_target(self, address: tuple[str, int], segment: bytes) -> None:
        """Send a segment to a target."""
        self._world.send_to_target(self._member, address, segment)

    def to_caller(self, segment: bytes) -> None:
        """Send a segment to a caller."""
        self._world.send_to_caller(self._member.zone, segment)

    def to_instance(self, member: Member, datagram: bytes) -> None:
        """Send a tunnel datagram to another instance."""
        self._world.send_to_instance(self._member, member, datagram)


class World:
    """Clock, network, targets and callers around a set of engines.

    Parameters
    ----------
    seed : int
        Seed of all randomness; the same seed gives the same run.
    cfg : Configuration
        Configuration of generation 1.
    factory : callable
        Creates the engine of an instance.
    zone_latency_s, caller_latency_s : float
        One-way latencies in seconds.
    limits : Limits
        Limits that each engine gets.

    Attributes
    ----------
    counters : Counter
        Bytes between instances, and packets that found no instance.
    to_zone_s : dict
        Time of the last datagram sent to the targets of each zone, in seconds.
    detection_delay_s : float
        Time in seconds until the members and the fabric learn that an instance
        has failed.
    spread_s : float
        Largest delay of a snapshot on its way to an instance, in seconds.
    fabric : list of str
        Names of the instances to which the fabric sends packets.
    """

    def __init__(
        self,
        seed: int,
        cfg: Configuration,
        factory: EngineFactory,
        *,
        zone_latency_s: float,
        caller_latency_s: float,
        limits: Limits | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = float(1)
        self.cfg = cfg
        self.generation = 1
        self.limits = limits or Limits()
        self.faults = NetworkFaults()
        self.counters: Counter[str] = Counter()
        self.instances: dict[str, FakeInstance] = {}
        self.targets: dict[str, TargetServer] = {}
        self.former_targets: list[TargetServer] = []
        self.target_zones: dict[str, str] = {}
        #: Time since which a zone has no instance. Control processes report such
        #: a zone as reachable once the platform's list shows no instance there.
        self.empty_since_s: dict[str, float] = {}
        #: Zone of the target that got the last SYN from each caller endpoint.
        self.opened_in: dict[Endpoint, str] = {}
        self.callers: dict[Endpoint, RequestFlow | StreamFlow] = {}
        self.fabric: list[str] = []
        self.members: tuple[Member, ...] = ()
        self.to_zone_s: dict[str, float] = {}
        self.detection_delay_s = 1.2
        self.spread_s = 1.0
        self._factory = factory
        self._zone_latency_s = zone_latency_s
        self._caller_latency_s = caller_latency_s
        self._events: list[_Event] = []
        self._sequence = itertools.count()
        self._target_timers: dict[str, float] = {}
        self._log = hashlib.blake2b(digest_size=16)
        self._last_control: dict[str, float] = {}

    # Clock

    def schedule(
        self, delay_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Run an action after a delay."""
        self.schedule_at(self.now_s + delay_s, action, *arguments)

    def schedule_at(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Run an action at a time, or now if this time has passed."""
        due_s = max(time_s, self.now_s)
        entry = (due_s, next(self._sequence), action, arguments)
        heapq.heappush(self._events, entry)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_s:
            due_s, _, action, arguments = heapq.heappop(self._events)
            self.now_s = due_s
            action(*arguments)
        self.now_s = end_s

    def log_digest(self) -> str:
        """Return the digest of all datagrams and their times so far."""
        return self._log.hexdigest()

    # Peers

    def add_target(self, target: Target, service: str, *, cold: bool) -> None:
        """Start a backend server of a service; `cold` starts its warm-up."""
        declared = next(
            item for item in self.cfg.services if item.name == service
        )
        settings = TargetSettings(
            name=target.name,
            service=service,
            address=target.address,
            ports={
                listener.target_port: listener.mode
                for listener in declared.listeners
            },
            slots=target.slots,
            connections=target.connections,
            warmup_s=target.warmup_s,
            cold=cold,
        )
        server = TargetServer(settings, self._child_rng(), self.now_s)
        self.targets[target.address] = server
        self.target_zones[target.address] = target.zone

    def remove_target(self, address: str) -> None:
        """Stop a backend server, which loses its flows."""
        self.former_targets.append(self.targets.pop(address))
        self._target_timers.pop(address, None)

    def add_instance(self, name: str, zone: str) -> FakeInstance:
        """Start an instance; `announce` makes it known to the members."""
        number = next(self._sequence) % 250 + 1
        member = Member(name, zone, f'127.2.0.{number}', 7000, 7001)
        outbox = WorldOutbox(self, member)
        engine = self._factory(member, outbox, self.limits, self._child_rng())
        instance = FakeInstance(member, engine)
        self.instances[name] = instance
        self.schedule(0, self._run_timer, instance)
        self.schedule(0, self._report_zone_contacts, instance)
        return instance

    def kill(self, name: str) -> None:
        """End an instance; the others learn of it after `detection_delay_s`."""
        instance = self.instances[name]
        instance.is_alive = False
        self.schedule(self.detection_delay_s, self.remove_member, name)
        self.schedule(self.detection_delay_s, self.leave_fabric, name)

    def freeze(self, name: str, duration_s: float) -> None:
        """Pause an instance for a while, as with SIGSTOP and SIGCONT."""
        instance = self.instances[name]
        instance.is_frozen = True
        if duration_s > self.detection_delay_s:
            self.schedule(self.detection_delay_s, self.remove_member, name)
            self.schedule(duration_s + 0.3, self._rejoin_member, name)
        self.schedule(duration_s, self._resume, instance)

    def stop(self, name: str, *, stays_s: float = 8) -> None:
        """Stop an instance gracefully: it announces first that it leaves."""
        self.set_status(name, 'leaving')
        self.schedule(1, self.leave_fabric, name)
        self.schedule(stays_s, self._end_process, name)

    # Snapshots

    def join(self, name: str, zone: str) -> None:
        """Start an instance and announce it to the other members."""
        instance = self.add_instance(name, zone)
        self.members += (instance.member,)
        self.empty_since_s.pop(zone, None)
        self.schedule(0.5, self._join_fabric, name)
        self.announce(first=name)

    def set_status(self, name: str, status: str) -> None:
        """Change the status of a member."""
        self.members = tuple(
            Member(
                member.name,
                member.zone,
                member.address,
                member.packet_port,
                member.control_port,
                member.incarnation,
                status,
            )
            if member.name == name
            else member
            for member in self.members
        )
        self.announce()

    def remove_member(self, name: str) -> None:
        """Remove a member and announce this to the others."""
        self.members = tuple(
            member for member in self.members if member.name != name
        )
        populated = {member.zone for member in self.members}
        self.empty_since_s = {
            zone.name: self.empty_since_s.get(zone.name, self.now_s)
            for zone in self.cfg.zones
            if zone.name not in populated
        }
        self.announce()

    def configure(self, cfg: Configuration) -> None:
        """Announce a configuration with the next generation number."""
        self.cfg = cfg
        self.generation += 1
        self.announce()

    def announce(self, first: str = '') -> None:
        """Send a snapshot to all instances after random delays.

        The instance named by `first` gets it without delay.
        """
        snapshot = RoutingSnapshot(self.generation, self.cfg, self.members)
        snapshot_number = next(self._sequence)
        for name, instance in self.instances.items():
            if instance.is_alive:
                delay_s = 0 if name == first else self._random_delay_s()
                self.schedule(
                    delay_s,
                    self.deliver,
                    instance,
                    snapshot,
                    snapshot_number,
                )

    def deliver(
        self,
        instance: FakeInstance,
        snapshot: RoutingSnapshot,
        snapshot_number: int,
    ) -> None:
        """Apply a snapshot at an instance unless it has received a newer one.

        An instance that is frozen or has no control process keeps it for later.
        """
        if not instance.is_alive or snapshot_number < instance.snapshot_number:
            return
        instance.snapshot_number = snapshot_number
        if instance.is_frozen or not instance.has_control:
            instance.missed_snapshot = snapshot
            return
        instance.engine.apply_snapshot(snapshot, self.now_s)

    # Network

    def send_via_fabric(self, zone: str, segment: bytes) -> None:
        """Send a segment to a random instance, as the fabric does."""
        names = [
            name
            for name in self.fabric
            if (zone, self.instances[name].member.zone) not in self.faults.cuts
        ]
        if not names:
            self.counters['no_instance'] += 1
            return
        instance = self.instances[self.rng.choice(names)]
        latency_s = self._latency_between_s(zone, instance.member.zone)
        self._transmit(latency_s, self._receive_segment, instance, segment)

    def send_to_target(
        self, member: Member, address: tuple[str, int], segment: bytes
    ) -> None:
        """Send a segment from an instance to a target."""
        zone = self.target_zones.get(address[0], '')
        self.to_zone_s[zone] = self.now_s
        if (member.zone, zone) in self.faults.cuts:
            return
        latency_s = self._latency_between_s(member.zone, zone)
        self._transmit(latency_s, self._receive_at_target, address, segment)

    def send_to_caller(self, zone: str, segment: bytes) -> None:
        """Send a segment from an instance in a zone to its caller."""
        if (zone, '') in self.faults.cuts:
            return
        endpoint = unpack_endpoint(segment[16:20] + segment[22:24])
        self._transmit(
            self._caller_latency_s,
            self._receive_at_caller,
            endpoint,
            segment,
        )

    def send_to_instance(
        self, sender: Member, member: Member, datagram: bytes
    ) -> None:
        """Send a tunnel datagram from one instance to another."""
        size_bytes = len(datagram) + _UDP_IPV4_HEADER_BYTES
        self.counters['tunnel_bytes'] += size_bytes
        if datagram[1] in _CONTROL_TRAFFIC_KINDS:
            self.counters['control_bytes'] += size_bytes
        receiver = self.instances.get(member.name)
        if receiver is None or (sender.zone, member.zone) in self.faults.cuts:
            return
        latency_s = self._latency_between_s(sender.zone, member.zone)
        self._transmit(latency_s, self._receive_tunnel, receiver, datagram)

    def start_flow(
        self, local: Endpoint, flow: RequestFlow | StreamFlow
    ) -> None:
        """Open a flow of a caller from a local endpoint."""
        self.callers[local] = flow
        self.send_from_caller(flow.start(self.now_s))
        self.follow_caller(local, flow)

    def send_from_caller(self, packets: list[bytes]) -> None:
        """Send segments of a caller through the fabric."""
        for packet in packets:
            self.schedule(
                self._caller_latency_s, self.send_via_fabric, '', packet
            )

    # Internals

    def _child_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def _random_delay_s(self) -> float:
        return self.rng.uniform(0.02, self.spread_s)

    def _latency_between_s(self, one: str, other: str) -> float:
        if not one or not other:
            return _LOCAL_LATENCY_S
        return _LOCAL_LATENCY_S if one == other else self._zone_latency_s

    def _transmit(
        self, latency_s: float, receive: Callable[..., None], *arguments: Any
    ) -> None:
        faults = self.faults
        latency_s *= self.rng.uniform(1, 1.2)
        if faults.loss and self.rng.random() < faults.loss:
            return
        if faults.reordering and self.rng.random() < faults.reordering:
            latency_s += self.rng.uniform(0, faults.reordering_s)
        self.schedule(latency_s, receive, *arguments)
        if faults.duplication and self.rng.random() < faults.duplication:
            extra_s = self.rng.uniform(0, faults.reordering_s)
            self.schedule(latency_s + extra_s, receive, *arguments)

    def _log_datagram(self, kind: bytes, datagram: bytes) -> None:
        self._log.update(b'%s %.9f ' % (kind, self.now_s))
        self._log.update(datagram)

    def _receive_segment(self, instance: FakeInstance, segment: bytes) -> None:
        self._deliver_to_instance(instance, instance.engine.on_segment, segment)

    def _receive_tunnel(self, instance: FakeInstance, datagram: bytes) -> None:
        self._deliver_to_instance(instance, instance.engine.on_tunnel, datagram)

    def _deliver_to_instance(
        self,
        instance: FakeInstance,
        handler: Callable[[bytes, float], None],
        datagram: bytes,
    ) -> None:
        if not instance.is_alive:
            return
        if instance.is_frozen:
            if len(instance.backlog) < _SOCKET_BUFFER_DATAGRAMS:
                instance.backlog.append(
                    lambda: handler(datagram, self.now_s),
                )
            return
        self._log_datagram(b'instance', datagram)
        handler(datagram, self.now_s)

    def _receive_at_target(
        self, address: tuple[str, int], segment: bytes
    ) -> None:
        server = self.targets.get(address[0])
        if server is None:
            return
        self._log_datagram(b'target', segment)
        if segment[FLAGS_OFFSET] & SYN:
            source = unpack_endpoint(segment[12:16] + segment[20:22])
            self.opened_in[source] = self.target_zones[address[0]]
        packets = server.on_datagram(address[1], segment, self.now_s)
        self._send_from_target(address[0], packets)
        self._schedule_target_timer(address[0])

    def _send_from_target(self, address: str, packets: list[bytes]) -> None:
        zone = self.target_zones[address]
        for packet in packets:
            self.send_via_fabric(zone, packet)

    def _schedule_target_timer(self, address: str) -> None:
        due_s = self.targets[address].next_timer_s()
        if due_s >= self._target_timers.get(address, float('inf')):
            return
        self._target_timers[address] = due_s
        self.schedule_at(due_s, self._run_target_timer, address)

    def _run_target_timer(self, address: str) -> None:
        self._target_timers.pop(address, None)
        server = self.targets.get(address)
        if server is not None:
            self._send_from_target(address, server.on_timer(self.now_s))
            self._schedule_target_timer(address)

    def _receive_at_caller(self, endpoint: Endpoint, segment: bytes) -> None:
        flow = self.callers.get(endpoint)
        if flow is None:
            # The kernel of a caller that has given up resets the connection.
            if not segment[FLAGS_OFFSET] & RST:
                self.send_from_caller([build_abort(segment)])
            return
        self._log_datagram(b'caller', segment)
        self.send_from_caller(flow.on_datagram(segment, self.now_s))
        self.follow_caller(endpoint, flow)

    def follow_caller(
        self, endpoint: Endpoint, flow: RequestFlow | StreamFlow
    ) -> None:
        """Schedule the next timer of a caller's flow."""
        if flow.is_finished:
            self.callers.pop(endpoint, None)
            return
        due_s = flow.next_timer_s()
        if due_s != float('inf'):
            self.schedule_at(due_s, self._run_caller_timer, endpoint, flow)

    def _run_caller_timer(
        self, endpoint: Endpoint, flow: RequestFlow | StreamFlow
    ) -> None:
        if self.callers.get(endpoint) is not flow:
            return
        if flow.next_timer_s() <= self.now_s:
            self.send_from_caller(flow.on_timer(self.now_s))
            self.follow_caller(endpoint, flow)

    def _run_timer(self, instance: FakeInstance) -> None:
        if not instance.is_alive:
            return
        if not instance.is_frozen:
            instance.engine.on_timer(self.now_s)
        self.schedule(_TIMER_PERIOD_S, self._run_timer, instance)

    def _report_zone_contacts(self, instance: FakeInstance) -> None:
        """Report zone contacts to the engine, as the control process does."""
        if not instance.is_alive:
            return
        if instance.has_control and not instance.is_frozen:
            instance.engine.record_zone_contacts(
                self._zone_contact_ages_s(instance),
                self.now_s,
            )
        self.schedule(_KEEPALIVE_PERIOD_S, self._report_zone_contacts, instance)

    def _zone_contact_ages_s(self, instance: FakeInstance) -> dict[str, float]:
        own_zone = instance.member.zone
        ages_s = {
            zone: float(0)
            for zone, since_s in self.empty_since_s.items()
            if self.now_s - since_s >= _INSTANCE_LIST_PERIOD_S
        }
        return ages_s | {
            other.member.zone: float(0)
            for other in self.instances.values()
            if other.is_alive
            and not other.is_frozen
            and (other.member.zone, own_zone) not in self.faults.cuts
        }

    def _resume(self, instance: FakeInstance) -> None:
        instance.is_frozen = False
        backlog = list(instance.backlog)
        instance.backlog.clear()
        for action in backlog:
            action()
        self._deliver_missed(instance)

    def _deliver_missed(self, instance: FakeInstance) -> None:
        missed = instance.missed_snapshot
        instance.missed_snapshot = None
        if missed is not None:
            self.schedule(
                self._random_delay_s(),
                self.deliver,
                instance,
                missed,
                instance.snapshot_number,
            )

    def _rejoin_member(self, name: str) -> None:
        instance = self.instances[name]
        known = any(member.name == name for member in self.members)
        if instance.is_alive and not known:
            self.members += (instance.member,)
            self.announce()

    def _join_fabric(self, name: str) -> None:
        if name not in self.fabric:
            self.fabric.append(name)

    def leave_fabric(self, name: str) -> None:
        """Stop the fabric from sending packets to an instance."""
        if name in self.fabric:
            self.fabric.remove(name)

    def _end_process(self, name: str) -> None:
        self.instances[name].is_alive = False
        self.remove_member(name)
