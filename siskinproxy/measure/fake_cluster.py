"""Cluster of control engines on a simulated network with faults.

The simulation has one clock, one event queue and one random generator, so the
same seed gives the same log.
"""

import hashlib
import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Final, NamedTuple, TypeAlias

import msgspec

from siskinproxy.balancer.control_engine import (
    ConfigurationCodec,
    ControlEngine,
    ControlStep,
)
from siskinproxy.balancer.snapshot import Member
from siskinproxy.instances.gossip import UDP_OVERHEAD_BYTES
from siskinproxy.instances.membership import TIMER_PERIOD_S
from siskinproxy.operators.configuration import Configuration, Zone

__all__ = (
    'FAKE_CODEC',
    'FakeCluster',
    'FakeNode',
    'FakeStore',
    'NetworkFaults',
)

#: A configuration of the size that the design has to support: 64 sections of
#: about 2 KB.
SECTION_COUNT: Final = 64
SECTION_BYTES: Final = 2000

#: The head also holds the latest submissions, each with id and fingerprint.
SUBMISSION_COUNT: Final = 64
SUBMISSION_BYTES: Final = 68

#: Instances of a zone that read the store all the time.
READERS_PER_ZONE: Final = 2
STORE_POLL_PERIOD_S: Final = 1.0
#: Time from a change in the store until the readers fetch it.
STORE_LATENCY_S: Final = 0.005

_FIRST_UNIX_S: Final = 1_800_000_000
_CONTROL_PORT: Final = 7402
_PACKET_PORT: Final = 7400


class _FakeHead(msgspec.Struct, frozen=True, array_like=True):
    generation: int
    digests: tuple[bytes, ...]
    submissions: tuple[bytes, ...]
    zones: tuple[str, ...]


_HEAD_DECODER = msgspec.msgpack.Decoder(_FakeHead)


def _section_digest(blob: bytes) -> bytes:
    return hashlib.sha256(blob).digest()


def _section_digests(head: bytes) -> Iterable[bytes]:
    return _HEAD_DECODER.decode(head).digests


def _assemble(
    head: bytes,
    sections: Mapping[bytes, bytes],
) -> tuple[int, Configuration]:
    decoded = _HEAD_DECODER.decode(head)
    zones = tuple(Zone(name) for name in decoded.zones)
    return decoded.generation, Configuration('fake', zones, ())


FAKE_CODEC: Final = ConfigurationCodec(
    _section_digest, _section_digests, _assemble
)


class FakeStore:
    """Store of the platform with a configuration and simulated outages.

    Attributes
    ----------
    available : bool
        Whether any instance can read the store.
    cut_zones : set of str
        Zones whose instances cannot reach the store.
    accepted_s : dict
        Time of acceptance of each generation, in seconds.
    generation : int
        Generation of the current configuration.
    head : bytes
        Encoded generation, section digests, submissions and zone names.
    sections : dict
        Encoded sections by digest.
    """

    def __init__(self, zones: tuple[str, ...], rng: random.Random) -> None:
        self.available = True
        self.cut_zones: set[str] = set()
        self.accepted_s: dict[int, float] = {}
        self._rng = rng
        self._zones = zones
        self._sections = [
            rng.randbytes(SECTION_BYTES) for _ in range(SECTION_COUNT)
        ]
        self._submissions: tuple[bytes, ...] = tuple(
            rng.randbytes(SUBMISSION_BYTES) for _ in range(SUBMISSION_COUNT)
        )
        self.generation = 0
        self.head = b''
        self.sections: dict[bytes, bytes] = {}
        self.accept(0)

    def accept(self, now_s: float) -> int:
        """Change one section at random and return the new generation."""
        index = self._rng.randrange(SECTION_COUNT)
        self._sections[index] = self._rng.randbytes(SECTION_BYTES)
        added = self._rng.randbytes(SUBMISSION_BYTES)
        self._submissions = (*self._submissions[1:], added)
        self.generation += 1
        digests = tuple(map(_section_digest, self._sections))
        self.sections = dict(zip(digests, self._sections, strict=True))
        head = _FakeHead(
            self.generation,
            digests,
            self._submissions,
            self._zones,
        )
        self.head = msgspec.msgpack.encode(head)
        self.accepted_s[self.generation] = now_s
        return self.generation

    def is_reachable(self, zone: str) -> bool:
        """Whether instances of a zone can read the store."""
        return self.available and zone not in self.cut_zones


@dataclass
class NetworkFaults:
    """Faults of the network, which a scenario may change during a run.

    Parameters
    ----------
    loss, duplication, reordering : float
        Probability of each fault for each datagram, from 0 to 1.
    blocked : set of (str, str)
        Directed pairs of zones or instance names between which nothing is
        delivered.
    """

    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    blocked: set[tuple[str, str]] = field(default_factory=set)


class _Datagram(NamedTuple):
    """Datagram in transit, with the zone of its sender."""

    zone: str
    sent_s: float
    payload: bytes


class FakeNode:
    """Instance of the cluster with its state in the simulation.

    Attributes
    ----------
    engine : ControlEngine or None
        None while the process does not run.
    frozen : bool
        Whether the process is paused, as with SIGSTOP.
    clock_offset_s : float
        Offset of the clock of the instance from the simulated time.
    is_reader : bool
        Whether the instance reads the store all the time.
    queued : list
        Datagrams received while the instance is frozen.
    window_bytes : dict
        Control bytes sent and received in each second of simulated time.
    last_contact_s : dict
        Time at which the newest datagram received from each zone was sent.
    """

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.engine: ControlEngine | None = None
        self.starts = 0
        self.started_s: float = 0
        self.frozen = False
        self.resumed_s: float = 0
        self.clock_offset_s: float = 0
        self.clock_jumps = 0
        self.is_reader = False
        self.queued: list[_Datagram] = []
        self.window_bytes: dict[int, int] = defaultdict(int)
        self.last_contact_s: dict[str, float] = {}

    @property
    def running_since_s(self) -> float:
        """Time of the start or of the last resumption, in seconds."""
        return max(self.started_s, self.resumed_s)

    @property
    def is_running(self) -> bool:
        """Whether the process exists and is not frozen."""
        return self.engine is not None and not self.frozen


_QueueItem: TypeAlias = tuple[float, int, Callable[[], None]]


class FakeCluster:
    """Cluster of control engines with its clock, network and store.

    Parameters
    ----------
    size : int
        Number of instances.
    zones : int
        Number of availability zones.
    seed : int
        Seed of all random choices.
    latency_s : float
        Mean one-way delay of a datagram, in seconds.
    """

    def __init__(
        self,
        size: int,
        zones: int,
        seed: int,
        latency_s: float = 0.0015,
    ) -> None:
        self.now_s: float = 0
        self.faults = NetworkFaults()
        self.rng = random.Random(seed)
        self.latency_s = latency_s
        self.log: list[str] = []
        zone_names = tuple(f'zone-{index}' for index in range(zones))
        self.store = FakeStore(zone_names, self.rng)
        self.nodes: dict[str, FakeNode] = {}
        self._nodes_by_address: dict[str, FakeNode] = {}
        self._queue: list[_QueueItem] = []
        self._sequence = 0
        for index in range(size):
            self._add_node(index, zone_names[index % zones])

    # Control of a run

    def start_all(self, spread_s: float = 1.0) -> None:
        """Start all instances at random times within `spread_s`."""
        for name in self.nodes:
            delay_s = self.rng.random() * spread_s
            self.schedule(delay_s, partial(self.start, name))

    def start(self, name: str) -> None:
        """Start an instance, or start it again with a new engine."""
        node = self.nodes[name]
        node.starts += 1
        node.started_s = self.now_s
        node.frozen = False
        node.queued.clear()
        node.last_contact_s.clear()
        identity = Member(
            name,
            node.zone,
            node.address,
            _PACKET_PORT,
            _CONTROL_PORT,
            _FIRST_UNIX_S + int(self.now_s),
        )
        seeds = tuple(
            (other.address, _CONTROL_PORT)
            for other in list(self.nodes.values())[:3]
        )
        node.engine = ControlEngine(
            identity,
            FAKE_CODEC,
            random.Random(self.rng.random()),
            seeds,
            self._clock(node),
        )
        self._log_event(name, 'started')
        self._apply_step(
            node,
            node.engine.set_packet_connected(True, self._clock(node)),
        )
        engine = node.engine
        phase_s = self.rng.random() * TIMER_PERIOD_S
        self.schedule(phase_s, lambda: self._run_timer(node, engine))
        self.schedule(phase_s, lambda: self._poll_store(node, engine))

    def kill(self, name: str) -> None:
        """End an instance without a message to the others."""
        self.nodes[name].engine = None
        self._log_event(name, 'killed')

    def freeze(self, name: str) -> None:
        """Pause an instance; datagrams for it wait in its socket."""
        self.nodes[name].frozen = True
        self._log_event(name, 'frozen')

    def resume(self, name: str) -> None:
        """Resume a paused instance, which then gets the queued datagrams."""
        node = self.nodes[name]
        node.frozen = False
        node.resumed_s = self.now_s
        self._log_event(name, 'resumed')
        queued = list(node.queued)
        node.queued.clear()
        for message in queued:
            self._receive(node, message)

    def jump_clock(self, name: str, jump_s: float) -> None:
        """Move the clock of an instance by a positive or negative time."""
        node = self.nodes[name]
        node.clock_offset_s += jump_s
        node.clock_jumps += 1
        self._log_event(name, f'clock jumped {jump_s:.3f}')

    def block(self, sources: Iterable[str], receivers: Iterable[str]) -> None:
        """Block datagrams from zones or instances to others, one way only."""
        pairs = {(one, other) for one in sources for other in receivers}
        self.faults.blocked |= {pair for pair in pairs if pair[0] != pair[1]}
        self._log_event('-', f'blocked {sorted(pairs)}')

    def log_event(self, event: str) -> None:
        """Add an event that concerns no single instance to the log."""
        self._log_event('-', event)

    def heal(self) -> None:
        """Deliver datagrams between all zones and instances again."""
        self.faults.blocked.clear()
        self._log_event('-', 'healed')

    def accept(self) -> int:
        """Accept a configuration change in the store; return its generation."""
        generation = self.store.accept(self.now_s)
        self._log_event('-', f'accepted generation={generation}')
        for node in self.nodes.values():
            if node.is_reader and node.engine is not None:
                self.schedule(
                    STORE_LATENCY_S,
                    partial(self._read_store, node, node.engine),
                )
        return generation

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay of simulated time."""
        self._sequence += 1
        due_s = self.now_s + delay_s
        heapq.heappush(self._queue, (due_s, self._sequence, action))

    def run(self, duration_s: float) -> None:
        """Run all events that are due within a duration."""
        until_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= until_s:
            due_s, _, action = heapq.heappop(self._queue)
            self.now_s = due_s
            action()
        self.now_s = until_s

    # Observation

    def running(self) -> list[FakeNode]:
        """Return the instances that run and are not frozen."""
        return [node for node in self.nodes.values() if node.is_running]

    def are_connected(self, one: FakeNode, other: FakeNode) -> bool:
        """Whether datagrams are delivered in both directions."""
        return not (
            self._is_blocked(one, other) or self._is_blocked(other, one)
        )

    def clock(self, node: FakeNode) -> float:
        """Return the time of the clock of an instance, jumps included."""
        return self._clock(node)

    def most_bytes_in_a_second(self, since_s: float = 0) -> int:
        """Return the largest control traffic of an instance in one second."""
        first = int(since_s)
        return max(
            (
                count
                for node in self.nodes.values()
                for second, count in node.window_bytes.items()
                if second >= first
            ),
            default=0,
        )

    # Events

    def _add_node(self, index: int, zone: str) -> None:
        name = f'instance-{index:03d}'
        address = f'10.0.{index // 250}.{index % 250 + 1}'
        node = FakeNode(name, zone, address)
        same_zone = [
            other for other in self.nodes.values() if other.zone == zone
        ]
        node.is_reader = len(same_zone) < READERS_PER_ZONE
        self.nodes[name] = node
        self._nodes_by_address[address] = node

    def _clock(self, node: FakeNode) -> float:
        return self.now_s + node.clock_offset_s

    def _run_timer(self, node: FakeNode, engine: ControlEngine) -> None:
        if node.engine is not engine:
            return
        self.schedule(TIMER_PERIOD_S, lambda: self._run_timer(node, engine))
        if not node.frozen:
            self._apply_step(node, engine.on_timer(self._clock(node)))

    def _poll_store(self, node: FakeNode, engine: ControlEngine) -> None:
        """Read the store once a second.

        Instances that are not readers stop once they have a configuration.
        """
        if node.engine is not engine:
            return
        self._read_store(node, engine)
        if node.is_reader or not engine.configuration.generation:
            self.schedule(
                STORE_POLL_PERIOD_S,
                lambda: self._poll_store(node, engine),
            )

    def _read_store(self, node: FakeNode, engine: ControlEngine) -> None:
        if node.engine is not engine or node.frozen:
            return
        if not self.store.is_reachable(node.zone):
            return
        now_s = self._clock(node)
        if engine.configuration.generation == self.store.generation:
            engine.note_store_read(self.store.generation, now_s)
            return
        step = engine.apply_from_store(
            self.store.head,
            self.store.sections,
            now_s,
            now_s,
        )
        self._apply_step(node, step)

    def _apply_step(self, node: FakeNode, step: ControlStep) -> None:
        for event in step.events:
            pairs = ' '.join(
                f'{key}={text}' for key, text in event.pairs.items()
            )
            self._log_event(node.name, f'{event.name} {pairs}')
        for datagram in step.datagrams:
            self._count_bytes(node, len(datagram.payload))
            receiver = self._nodes_by_address.get(datagram.address[0])
            if receiver is not None:
                self._transmit(node, receiver, datagram.payload)

    def _transmit(
        self,
        sender: FakeNode,
        receiver: FakeNode,
        payload: bytes,
    ) -> None:
        faults = self.faults
        message = _Datagram(sender.zone, self.now_s, payload)
        copies = 2 if self.rng.random() < faults.duplication else 1
        for _ in range(copies):
            if self.rng.random() < faults.loss:
                continue
            delay_s = self.latency_s * (0.8 + 0.4 * self.rng.random())
            if self.rng.random() < faults.reordering:
                delay_s += self.rng.random() * 0.05
            self.schedule(
                delay_s,
                partial(self._deliver, sender, receiver, message),
            )

    def _deliver(
        self,
        sender: FakeNode,
        receiver: FakeNode,
        message: _Datagram,
    ) -> None:
        if self._is_blocked(sender, receiver) or receiver.engine is None:
            return
        self._count_bytes(receiver, len(message.payload))
        if receiver.frozen:
            receiver.queued.append(message)
            return
        self._receive(receiver, message)

    def _receive(self, node: FakeNode, message: _Datagram) -> None:
        if node.engine is None:
            return
        known_s = node.last_contact_s.get(message.zone, message.sent_s)
        node.last_contact_s[message.zone] = max(known_s, message.sent_s)
        now_s = self._clock(node)
        self._apply_step(node, node.engine.on_datagram(message.payload, now_s))

    def _is_blocked(self, sender: FakeNode, receiver: FakeNode) -> bool:
        blocked = self.faults.blocked
        if not blocked:
            return False
        return any(
            (one, other) in blocked
            for one in (sender.zone, sender.name)
            for other in (receiver.zone, receiver.name)
        )

    def _count_bytes(self, node: FakeNode, size: int) -> None:
        node.window_bytes[int(self.now_s)] += size + UDP_OVERHEAD_BYTES

    def _log_event(self, name: str, event: str) -> None:
        self.log.append(f'time={self.now_s:.6f} instance={name} {event}')
