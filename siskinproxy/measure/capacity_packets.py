"""Measures how the costs of the packet process grow.

Covers the time for each segment and flow, the memory of flows, the pauses by
changes of membership and configuration, and the copies of flow entries
between instances. Times are processor times.
"""

import multiprocessing
import random
import socket
import time
from collections.abc import Callable, Iterator
from functools import partial
from multiprocessing.connection import Connection
from typing import Any, Final

import msgspec

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.snapshot import RoutingSnapshot
from siskinproxy.fabric.segments import SYN
from siskinproxy.instances.tunnel import CopyEntry, encode_entries
from siskinproxy.measure.bench_relays import resident_bytes
from siskinproxy.measure.decision_cost import make_engine
from siskinproxy.measure.flow_samples import (
    SampleFlows,
    accept_syn,
    adopt_flows,
    make_configuration,
    reset_of_syn,
)
from siskinproxy.measure.slopes import Series

__all__ = ('least_cpu_time_s', 'packet_series')

ZONES: Final = ('a', 'b', 'c')
TARGETS: Final = 200

#: Members of a region at the target size, which also has 571 services.
REGION_MEMBERS: Final = 330

SEGMENT_COUNTS: Final = (2500, 5000, 10_000, 20_000)
OPENING_COUNTS: Final = (100, 200, 400, 800)
FLOW_COUNTS: Final = (50_000, 100_000, 200_000, 400_000)
#: Below the default limit of 200,000 learned flows.
LEARNED_COUNTS: Final = (25_000, 50_000, 100_000, 190_000)
MEMBER_COUNTS: Final = (8, 32, 121, REGION_MEMBERS)
SHARD_COUNTS: Final = (50, 100, 200, 571)
TARGET_COUNTS: Final = (250, 500, 1000, 2000)
ENTRY_COUNTS: Final = (5000, 10_000, 20_000, 40_000)

_US_PER_S: Final = 1e6
_MS_PER_S: Final = 1e3
#: Runs of each measurement; the fastest counts.
_REPEATS: Final = 7


def least_cpu_time_s(
    action: Callable[[], Any], repeats: int = _REPEATS
) -> float:
    """Return the processor time of the fastest of some calls in seconds."""
    times = []
    for _ in range(repeats):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return min(times)


def packet_series() -> Iterator[Series]:
    """Yield the measured series of the packet process."""
    yield from _segment_series()
    yield from _flow_series()
    yield from _change_series()


def _segment_series() -> Iterator[Series]:
    yield _series(
        'forwarded', 'forwarded segment', 'segment', 'us', _forwarded()
    )
    yield _series('answered', 'response segment', 'segment', 'us', _answered())
    yield _series(
        'relay-sent', 'segment sent to a home', 'segment', 'us', _relay_sent()
    )
    yield _series(
        'relay-received',
        'segment received as home',
        'segment',
        'us',
        _relay_received(),
    )
    yield _series(
        'sockets', 'receive and send of a datagram', 'segment', 'us', _sockets()
    )


def _flow_series() -> Iterator[Series]:
    yield _series(
        'opened', 'SYN at the owner, three homes', 'flow', 'us', _opened()
    )
    yield _series(
        'flow-life',
        'SYN, SYN-ACK and RST, one home',
        'flow',
        'us',
        _flow_lifetimes(),
    )
    yield _series(
        'home-memory',
        'memory of home flows',
        'flow',
        'bytes',
        _memory(FLOW_COUNTS, 'home'),
    )
    yield _series(
        'learned-memory',
        'memory of learned flows',
        'flow',
        'bytes',
        _memory(LEARNED_COUNTS, 'learned'),
    )


def _change_series() -> Iterator[Series]:
    yield _series(
        'view-members',
        'pause by a view change, 571 shards',
        'member',
        'ms',
        [(count, _view_ms(count, 571)) for count in MEMBER_COUNTS],
    )
    yield _series(
        'view-shards',
        'pause by a view change, 330 members',
        'shard',
        'ms',
        [(count, _view_ms(REGION_MEMBERS, count)) for count in SHARD_COUNTS],
    )
    yield _series(
        'takeover',
        'pause of an owner of 20 shards that joins',
        'flow',
        'ms',
        [(count, _takeover_ms(count)) for count in FLOW_COUNTS],
    )
    yield _series(
        'apply-targets',
        'pause by a new configuration',
        'target',
        'ms',
        [(count, _apply_ms(count)) for count in TARGET_COUNTS],
    )
    yield _series('copy-bytes', 'bytes of COPY', 'entry', 'bytes', _copy_size())
    yield _series(
        'copy-time', 'encode, decode and adopt', 'entry', 'us', _copy_time()
    )


def _series(
    name: str,
    title: str,
    size: str,
    unit: str,
    points: Any,
) -> Series:
    return Series(name, title, size, unit, tuple(points))


def _samples(count: int = TARGETS, net: int = 1) -> SampleFlows:
    return SampleFlows(make_configuration(count, ZONES), caller_net=net)


def _region_engine(members: int = 8, targets: int = TARGETS) -> PacketEngine:
    return make_engine(targets, members, ZONES)


def _repeated(
    handle: Callable[[bytes, float], None], segments: list[bytes]
) -> Iterator[tuple[int, float]]:
    for count in SEGMENT_COUNTS:
        batch = segments[:count]
        yield (
            count,
            _US_PER_S * least_cpu_time_s(partial(_handle_all, handle, batch)),
        )


def _handle_all(
    handle: Callable[[bytes, float], None], segments: list[bytes]
) -> None:
    for segment in segments:
        handle(segment, 0)


def _forwarded() -> Iterator[tuple[int, float]]:
    engine = _region_engine()
    adopt_flows(engine, _samples(), SEGMENT_COUNTS[-1])
    segments = [_samples().request(number) for number in range(20_000)]
    return _repeated(engine.on_segment, segments)


def _answered() -> Iterator[tuple[int, float]]:
    engine = _region_engine()
    adopt_flows(engine, _samples(), SEGMENT_COUNTS[-1])
    segments = [_samples().response(number) for number in range(20_000)]
    return _repeated(engine.on_segment, segments)


def _relay_sent() -> Iterator[tuple[int, float]]:
    engine = _region_engine(REGION_MEMBERS)
    segments = [_samples().request(number) for number in range(20_000)]
    return _repeated(engine.on_segment, segments)


def _relay_received() -> Iterator[tuple[int, float]]:
    engine = _region_engine()
    adopt_flows(engine, _samples(), SEGMENT_COUNTS[-1])
    sender = _region_engine(REGION_MEMBERS)
    relayed = []
    for number in range(SEGMENT_COUNTS[-1]):
        # Stays empty if the sender sends nothing for this segment.
        sender.state.outbox.last = b''
        sender.on_segment(_samples_of_region.request(number), 0)
        relayed.append(sender.state.outbox.last)
    return _repeated(engine.on_tunnel, [item for item in relayed if item])


_samples_of_region = _samples()


def _sockets() -> Iterator[tuple[int, float]]:
    """Time the sending and receiving of datagrams on the loopback interface.

    The datagrams go in batches that fit into the socket buffer.
    """
    source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with source, sink:
        sink.bind(('127.0.0.1', 0))
        address = sink.getsockname()
        for count in SEGMENT_COUNTS:
            spent_s = least_cpu_time_s(
                partial(_exchange, source, sink, address, count)
            )
            yield count, _US_PER_S * spent_s


def _exchange(
    source: socket.socket, sink: socket.socket, address: Any, count: int
) -> None:
    for _ in range(count // 100):
        for _ in range(100):
            source.sendto(bytes(140), address)
        for _ in range(100):
            sink.recv(65535)


def _opened() -> Iterator[tuple[int, float]]:
    engine = _region_engine(3)
    owned = _owned_syns(engine, sum(OPENING_COUNTS) * _REPEATS)
    for count in OPENING_COUNTS:
        spent = [_time_syns(engine, owned, count) for _ in range(_REPEATS)]
        yield count, _US_PER_S * min(spent)


def _owned_syns(engine: PacketEngine, count: int) -> Iterator[bytes]:
    """Return SYNs of flows that this instance admits as owner of the shard."""
    syns = []
    number = 0
    while len(syns) < count:
        syn = _samples_of_openings.request(number, SYN)
        listener = engine.state.routes.listeners[syn[16:20] + syn[22:24]]
        shard = engine.state.shard(listener.service, syn[12:24])
        if shard in engine.opener.admissions:
            syns.append(syn)
        number += 1
    return iter(syns)


_samples_of_openings = _samples(net=2)


def _time_syns(
    engine: PacketEngine, syns: Iterator[bytes], count: int
) -> float:
    batch = [next(syns) for _ in range(count)]
    started_s = time.process_time()
    _handle_all(engine.on_segment, batch)
    return time.process_time() - started_s


def _flow_lifetimes() -> Iterator[tuple[int, float]]:
    engine = make_engine(TARGETS)
    flows = SampleFlows(make_configuration(TARGETS), caller_net=2)
    number = 0
    for count in OPENING_COUNTS:
        syns = [
            flows.request(index, SYN) for index in range(number, number + count)
        ]
        number += count
        yield (
            count,
            _US_PER_S
            * least_cpu_time_s(partial(_open_and_close_all, engine, syns)),
        )


def _open_and_close_all(engine: PacketEngine, syns: list[bytes]) -> None:
    for syn in syns:
        engine.on_segment(syn, 0)
        engine.on_segment(accept_syn(engine.state.outbox.last), 0)
        engine.on_segment(reset_of_syn(syn), 0)
        # The entry of a closed flow is kept for a while and blocks a new flow
        # with the same addresses and ports.
        engine.state.streams.pop(syn[12:24])


def _memory(counts: tuple[int, ...], kind: str) -> list[tuple[int, int]]:
    """Measure the memory of flows in a new process.

    In a process that freed memory before, new flows reuse that memory, and
    the resident memory grows too little.
    """
    context = multiprocessing.get_context('spawn')
    parent_end, child_end = context.Pipe()
    process = context.Process(target=_add_flows, args=(counts, kind, child_end))
    process.start()
    points = parent_end.recv()
    process.join()
    return list(points)


def _add_flows(counts: tuple[int, ...], kind: str, pipe: Connection) -> None:
    engine = _region_engine()
    flows = _samples()
    route = next(iter(engine.state.routes.by_target.values()))
    before_bytes = resident_bytes()
    points = []
    number = 0
    for count in counts:
        while number < count:
            entry = flows.entry(number)
            number += 1
            if kind == 'home':
                engine.copier.on_copy(encode_entries([entry]), 0)
            else:
                engine.state.learned.put(entry.flow_key, route.bindings[1])
        points.append((count, resident_bytes() - before_bytes))
    pipe.send(points)


def _view_ms(members: int, shards: int) -> float:
    """Time the snapshots by which the last member leaves and joins again.

    Returns the time of the slower one in milliseconds, each the fastest of
    ``_REPEATS`` runs. Each shard is a service with ten targets.
    """
    engine = _region_engine(members, shards * 10)
    snapshot = _snapshot(engine)
    all_members = snapshot.members
    without = msgspec.structs.replace(snapshot, members=all_members[:-1])
    leaves, joins = [], []
    for _ in range(_REPEATS):
        leaves.append(_time_snapshot(engine, without))
        joins.append(_time_snapshot(engine, snapshot))
    return _MS_PER_S * max(min(leaves), min(joins))


def _time_snapshot(engine: PacketEngine, snapshot: RoutingSnapshot) -> float:
    started_s = time.process_time()
    engine.apply_snapshot(snapshot, 1)
    return time.process_time() - started_s


def _snapshot(engine: PacketEngine) -> RoutingSnapshot:
    state = engine.state
    members = (state.identity, *state.peers.values())
    cfg = make_configuration(len(state.routes.by_target), ZONES)
    sight_s = dict.fromkeys(ZONES, 0.0)
    return RoutingSnapshot(1, cfg, members, sight_s)


def _takeover_ms(flows: int) -> float:
    """Time the snapshot by which a leaving instance becomes a member again.

    The instance is the only one of the region and the home of the flows.
    Returns the time in milliseconds.
    """
    engine = make_engine(TARGETS)
    cfg = make_configuration(TARGETS)
    adopt_flows(engine, SampleFlows(cfg), flows)
    own_member = engine.state.identity
    leaving = msgspec.structs.replace(own_member, status='leaving')
    spent = []
    for now_s in range(_REPEATS):
        snapshot = RoutingSnapshot(1, cfg, (leaving,), {'a': 0.0})
        engine.apply_snapshot(snapshot, now_s)
        snapshot = RoutingSnapshot(1, cfg, (own_member,), {'a': 0.0})
        started_s = time.process_time()
        engine.apply_snapshot(snapshot, now_s)
        spent.append(time.process_time() - started_s)
    return _MS_PER_S * min(spent)


def _apply_ms(targets: int) -> float:
    engine = _region_engine(REGION_MEMBERS, targets)
    snapshot = _snapshot(engine)
    spent = []
    for generation in range(2, 2 + _REPEATS):
        changed = msgspec.structs.replace(snapshot, generation=generation)
        started_s = time.process_time()
        engine.apply_snapshot(changed, 1)
        spent.append(time.process_time() - started_s)
    return _MS_PER_S * min(spent)


def _copy_size() -> Iterator[tuple[int, int]]:
    flows = _samples()
    for count in ENTRY_COUNTS:
        entries = [flows.entry(number) for number in range(count)]
        yield count, len(encode_entries(entries))


def _copy_time() -> Iterator[tuple[int, float]]:
    flows = _samples()
    for count in ENTRY_COUNTS:
        entries = [flows.entry(number) for number in range(count)]
        random.Random(1).shuffle(entries)
        yield count, _US_PER_S * least_cpu_time_s(partial(_copy_all, entries))


def _copy_all(entries: list[CopyEntry]) -> None:
    engine = _region_engine(1)
    engine.copier.on_copy(encode_entries(entries), 0)
