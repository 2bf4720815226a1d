"""Control engines on a simulated network with faults, driven by a seed.

The simulation has one clock and one event queue, so the same seed gives the
same log.
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

#: Sizes of the design page: 64 sections of about 2 KB at the target size.
SECTION_COUNT: Final = 64
SECTION_BYTES: Final = 2000

#: The head holds the last submissions with id and fingerprint.
SUBMISSION_COUNT: Final = 64
SUBMISSION_BYTES: Final = 68

READERS_PER_ZONE: Final = 2
WATCH_PERIOD_S: Final = 1.0
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


def _digest_of(blob: bytes) -> bytes:
    return hashlib.sha256(blob).digest()


def _sections_of(head: bytes) -> Iterable[bytes]:
    return _HEAD_DECODER.decode(head).digests


def _assemble(
    head: bytes,
    sections: Mapping[bytes, bytes],
) -> tuple[int, Configuration]:
    decoded = _HEAD_DECODER.decode(head)
    zones = tuple(Zone(name) for name in decoded.zones)
    return decoded.generation, Configuration('fake', zones, ())


FAKE_CODEC: Final = ConfigurationCodec(_digest_of, _sections_of, _assemble)


class FakeStore:
    """Configuration in the store of the platform, and its outages."""

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
        """Accept a change of one section and return its generation."""
        index = self._rng.randrange(SECTION_COUNT)
        self._sections[index] = self._rng.randbytes(SECTION_BYTES)
        added = self._rng.randbytes(SUBMISSION_BYTES)
        self._submissions = (*self._submissions[1:], added)
        self.generation += 1
        digests = tuple(map(_digest_of, self._sections))
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
        """Whether instances of a zone reach the store."""
        return self.available and zone not in self.cut_zones


@dataclass
class NetworkFaults:
    """Faults of the network; all of them may change during a run.

    Parameters
    ----------
    loss, duplication, reordering : float
        Probability for each datagram.
    blocked : set of (str, str)
        Directed pairs of zones or instance names between which nothing is
        delivered.
    """

    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    blocked: set[tuple[str, str]] = field(default_factory=set)


class _Envelope(NamedTuple):
    """Datagram under way."""

    zone: str
    sent_s: float
    payload: bytes


class FakeNode:
    """Instance of the cluster with its state in the simulation."""

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
        self.queued: list[_Envelope] = []
        self.window_bytes: dict[int, int] = defaultdict(int)
        #: Time at which the newest datagram received from a zone was sent.
        self.evidence_s: dict[str, float] = {}

    @property
    def running_since_s(self) -> float:
        """Time of the start or of the last resumption."""
        return max(self.started_s, self.resumed_s)

    @property
    def is_running(self) -> bool:
        """Whether the process exists and is not frozen."""
        return self.engine is not None and not self.frozen


_QueueItem: TypeAlias = tuple[float, int, Callable[[], None]]


class FakeCluster:
    """Cluster of control engines.

    Parameters
    ----------
    size : int
        Number of instances.
    zones : int
        Number of availability zones.
    seed : int
        Seed of all random choices.
    latency_s : float
        Delay of a datagram one way.
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
        self._by_address: dict[str, FakeNode] = {}
        self._queue: list[_QueueItem] = []
        self._order = 0
        for index in range(size):
            self._add_node(index, zone_names[index % zones])

    # Control of a run

    def start_all(self, spread_s: float = 1.0) -> None:
        """Start all instances within `spread_s`."""
        for name in self.nodes:
            delay_s = self.rng.random() * spread_s
            self.schedule(delay_s, partial(self.start, name))

    def start(self, name: str) -> None:
        """Start an instance, again if it ran before."""
        node = self.nodes[name]
        node.starts += 1
        node.started_s = self.now_s
        node.frozen = False
        node.queued.clear()
        node.evidence_s.clear()
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
        self._note(name, 'started')
        self._perform(
            node,
            node.engine.set_packet_connected(True, self._clock(node)),
        )
        engine = node.engine
        phase_s = self.rng.random() * TIMER_PERIOD_S
        self.schedule(phase_s, lambda: self._tick(node, engine))
        self.schedule(phase_s, lambda: self._read_store(node, engine))

    def kill(self, name: str) -> None:
        """End an instance without notice."""
        self.nodes[name].engine = None
        self._note(name, 'killed')

    def freeze(self, name: str) -> None:
        """Pause an instance; its datagrams wait in its socket."""
        self.nodes[name].frozen = True
        self._note(name, 'frozen')

    def resume(self, name: str) -> None:
        """Resume a paused instance."""
        node = self.nodes[name]
        node.frozen = False
        node.resumed_s = self.now_s
        self._note(name, 'resumed')
        queued = list(node.queued)
        node.queued.clear()
        for envelope in queued:
            self._receive(node, envelope)

    def jump_clock(self, name: str, jump_s: float) -> None:
        """Move the clock of an instance forward or back."""
        node = self.nodes[name]
        node.clock_offset_s += jump_s
        node.clock_jumps += 1
        self._note(name, f'clock jumped {jump_s:.3f}')

    def block(self, sources: Iterable[str], receivers: Iterable[str]) -> None:
        """Block datagrams from zones or instances to others."""
        pairs = {(one, other) for one in sources for other in receivers}
        self.faults.blocked |= {pair for pair in pairs if pair[0] != pair[1]}
        self._note('-', f'blocked {sorted(pairs)}')

    def note(self, event: str) -> None:
        """Add a line of the scenario to the log."""
        self._note('-', event)

    def heal(self) -> None:
        """Remove all partitions."""
        self.faults.blocked.clear()
        self._note('-', 'healed')

    def accept(self) -> int:
        """Accept a configuration change in the store."""
        generation = self.store.accept(self.now_s)
        self._note('-', f'accepted generation={generation}')
        for node in self.nodes.values():
            if node.is_reader and node.engine is not None:
                self.schedule(
                    STORE_LATENCY_S,
                    partial(self._read_once, node, node.engine),
                )
        return generation

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after a delay."""
        self._order += 1
        due_s = self.now_s + delay_s
        heapq.heappush(self._queue, (due_s, self._order, action))

    def run(self, duration_s: float) -> None:
        """Advance the simulation."""
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
        """Whether datagrams pass in both directions."""
        return not (
            self._is_blocked(one, other) or self._is_blocked(other, one)
        )

    def clock(self, node: FakeNode) -> float:
        """Return the time as an instance sees it."""
        return self._clock(node)

    def most_bytes_in_a_second(self, since_s: float = 0) -> int:
        """Return the largest control traffic of a node in one second."""
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
        self._by_address[address] = node

    def _clock(self, node: FakeNode) -> float:
        return self.now_s + node.clock_offset_s

    def _tick(self, node: FakeNode, engine: ControlEngine) -> None:
        if node.engine is not engine:
            return
        self.schedule(TIMER_PERIOD_S, lambda: self._tick(node, engine))
        if not node.frozen:
            self._perform(node, engine.on_timer(self._clock(node)))

    def _read_store(self, node: FakeNode, engine: ControlEngine) -> None:
        """Read the store; all but the readers only until they have it."""
        if node.engine is not engine:
            return
        self._read_once(node, engine)
        if node.is_reader or not engine.configuration.generation:
            self.schedule(
                WATCH_PERIOD_S,
                lambda: self._read_store(node, engine),
            )

    def _read_once(self, node: FakeNode, engine: ControlEngine) -> None:
        if node.engine is not engine or node.frozen:
            return
        if not self.store.is_reachable(node.zone):
            return
        now_s = self._clock(node)
        if engine.configuration.generation == self.store.generation:
            engine.note_store_read(self.store.generation, now_s)
            return
        step = engine.adopt_from_store(
            self.store.head,
            self.store.sections,
            now_s,
            now_s,
        )
        self._perform(node, step)

    def _perform(self, node: FakeNode, step: ControlStep) -> None:
        for event in step.events:
            pairs = ' '.join(
                f'{key}={text}' for key, text in event.pairs.items()
            )
            self._note(node.name, f'{event.name} {pairs}')
        for datagram in step.datagrams:
            self._count(node, len(datagram.payload))
            receiver = self._by_address.get(datagram.address[0])
            if receiver is not None:
                self._transmit(node, receiver, datagram.payload)

    def _transmit(
        self,
        sender: FakeNode,
        receiver: FakeNode,
        payload: bytes,
    ) -> None:
        faults = self.faults
        envelope = _Envelope(sender.zone, self.now_s, payload)
        copies = 2 if self.rng.random() < faults.duplication else 1
        for _ in range(copies):
            if self.rng.random() < faults.loss:
                continue
            delay_s = self.latency_s * (0.8 + 0.4 * self.rng.random())
            if self.rng.random() < faults.reordering:
                delay_s += self.rng.random() * 0.05
            self.schedule(
                delay_s,
                partial(self._deliver, sender, receiver, envelope),
            )

    def _deliver(
        self,
        sender: FakeNode,
        receiver: FakeNode,
        envelope: _Envelope,
    ) -> None:
        if self._is_blocked(sender, receiver) or receiver.engine is None:
            return
        self._count(receiver, len(envelope.payload))
        if receiver.frozen:
            receiver.queued.append(envelope)
            return
        self._receive(receiver, envelope)

    def _receive(self, node: FakeNode, envelope: _Envelope) -> None:
        if node.engine is None:
            return
        known_s = node.evidence_s.get(envelope.zone, envelope.sent_s)
        node.evidence_s[envelope.zone] = max(known_s, envelope.sent_s)
        now_s = self._clock(node)
        self._perform(node, node.engine.on_datagram(envelope.payload, now_s))

    def _is_blocked(self, sender: FakeNode, receiver: FakeNode) -> bool:
        blocked = self.faults.blocked
        if not blocked:
            return False
        return any(
            (one, other) in blocked
            for one in (sender.zone, sender.name)
            for other in (receiver.zone, receiver.name)
        )

    def _count(self, node: FakeNode, size: int) -> None:
        node.window_bytes[int(self.now_s)] += size + UDP_OVERHEAD_BYTES

    def _note(self, name: str, event: str) -> None:
        self.log.append(f'time={self.now_s:.6f} instance={name} {event}')
