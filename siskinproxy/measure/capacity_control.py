"""Measures how the costs of the control process and the store grow.

Covers gossip between the control processes, the encoding of configurations
and of routing snapshots, and the store calls of a configuration change.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from siskinproxy.balancer.control_link import (
    SnapshotMessage,
    decode_frame,
    encode_frame,
)
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.measure.capacity_packets import (
    MEMBER_COUNTS,
    TARGET_COUNTS,
    ZONES,
    least_cpu_time_s,
)
from siskinproxy.measure.fake_cluster import FakeCluster
from siskinproxy.measure.flow_samples import make_configuration
from siskinproxy.measure.slopes import Series
from siskinproxy.operators.configuration import Configuration
from siskinproxy.standins.fake_store_client import FakeKeyValueClient
from siskinproxy.standins.memory_store import MemoryStore, StoreLimits
from siskinproxy.store.head import (
    AuditEntry,
    Head,
    SubmissionRecord,
    assemble_configuration,
    decode_head,
    encode_head,
    fetch_sections,
    head_key,
)
from siskinproxy.store.results import Accepted
from siskinproxy.store.sections import encode_sections, section_of_service
from siskinproxy.store.submission import submit

__all__ = ('control_series',)

CLUSTER_SIZES: Final = (8, 16, 32, 64, 121)
CHANGED_SECTIONS: Final = (1, 4, 16, 32)
#: Simulated time from the start of a cluster until its traffic is counted.
_SETTLE_S: Final = 20.0
#: Simulated time over which the traffic is counted.
_OBSERVED_S: Final = 10.0
_MS_PER_S: Final = 1e3
_REGION: Final = 'alfold'
_FRAME_HEADER_BYTES: Final = 4
_HEAD_SUBMISSIONS: Final = 64
_TIMESTAMP_UNIX_S: Final = 1_800_000_000


def control_series() -> Iterator[Series]:
    """Yield the measured series of the control process and the store."""
    traffic, cpu = zip(*map(_cluster_cost, CLUSTER_SIZES), strict=True)
    yield _series(
        'gossip-bytes', 'control bytes of a node', 'member', 'bytes/s', traffic
    )
    yield _series(
        'gossip-cpu', 'time of a node for gossip', 'member', 'ms/s', cpu
    )
    yield _series(
        'section-bytes',
        'sections of a region',
        'target',
        'bytes',
        [(count, _section_bytes(count)) for count in TARGET_COUNTS],
    )
    yield _series(
        'head-bytes',
        'head',
        'submission',
        'bytes',
        [(count, _head_bytes(count)) for count in (8, 16, 32, 64)],
    )
    yield _series(
        'configuration-encode',
        'encode all sections',
        'target',
        'ms',
        [(count, _encode_ms(count)) for count in TARGET_COUNTS],
    )
    yield _series(
        'configuration-decode',
        'assemble all sections',
        'target',
        'ms',
        [(count, _decode_ms(count)) for count in TARGET_COUNTS],
    )
    yield from _snapshot_series()
    reads, writes, reader = zip(
        *(asyncio.run(_store_calls(count)) for count in CHANGED_SECTIONS),
        strict=True,
    )
    yield _series(
        'submission-reads', 'reads of a submission', 'section', 'calls', reads
    )
    yield _series(
        'submission-writes',
        'writes of a submission',
        'section',
        'calls',
        writes,
    )
    yield _series(
        'reader-reads',
        'reads of a reader, a change',
        'section',
        'calls',
        reader,
    )


def _series(
    name: str,
    title: str,
    size: str,
    unit: str,
    points: Any,
) -> Series:
    return Series(name, title, size, unit, tuple(points))


def _snapshot_series() -> Iterator[Series]:
    yield _series(
        'snapshot-targets',
        'snapshot, 330 members',
        'target',
        'bytes',
        [(count, _snapshot_bytes(count, 330)) for count in TARGET_COUNTS],
    )
    yield _series(
        'snapshot-members',
        'snapshot, 2000 targets',
        'member',
        'bytes',
        [(count, _snapshot_bytes(2000, count)) for count in MEMBER_COUNTS],
    )
    yield _series(
        'snapshot-time',
        'encode and decode a snapshot, 330 members',
        'target',
        'ms',
        [(count, _snapshot_ms(count, 330)) for count in TARGET_COUNTS],
    )


def _cluster_cost(size: int) -> tuple[Any, Any]:
    """Return the gossip bytes and processor time of a node per second.

    The configuration and the membership of the cluster do not change. Each
    result is a pair of cluster size and value; the time is in milliseconds.
    """
    cluster = FakeCluster(size, len(ZONES), seed=1)
    cluster.start_all()
    cluster.run(_SETTLE_S)
    first = int(cluster.now_s)
    started_s = time.process_time()
    cluster.run(_OBSERVED_S)
    spent_s = time.process_time() - started_s
    last = first + int(_OBSERVED_S)
    total = sum(
        node.window_bytes[second]
        for node in cluster.nodes.values()
        for second in range(first, last)
    )
    node_seconds = size * _OBSERVED_S
    return (size, total / node_seconds), (
        size,
        spent_s * _MS_PER_S / node_seconds,
    )


def _section_bytes(targets: int) -> int:
    sections = encode_sections(make_configuration(targets, ZONES))
    return sum(len(section.encoded) for section in sections)


def _make_head(
    cfg: Configuration, submissions: int = _HEAD_SUBMISSIONS
) -> Head:
    digests = tuple(section.digest for section in encode_sections(cfg))
    records = tuple(
        SubmissionRecord(f'submission-{index:026}', index, bytes(16))
        for index in range(submissions)
    )
    entry = AuditEntry(
        64, 63, 'operator', _TIMESTAMP_UNIX_S, 'submission', 'changed'
    )
    return Head(_REGION, 64, digests, records, entry)


def _head_bytes(submissions: int) -> int:
    cfg = make_configuration(TARGET_COUNTS[-1], ZONES)
    return len(encode_head(_make_head(cfg, submissions)))


def _encode_ms(targets: int) -> float:
    cfg = make_configuration(targets, ZONES)
    return _MS_PER_S * least_cpu_time_s(lambda: encode_sections(cfg))


def _decode_ms(targets: int) -> float:
    cfg = make_configuration(targets, ZONES)
    known = {item.digest: item.encoded for item in encode_sections(cfg)}
    head = _make_head(cfg)
    return _MS_PER_S * least_cpu_time_s(
        lambda: assemble_configuration(head, known)
    )


def _snapshot_frame(targets: int, members: int) -> bytes:
    instances = tuple(
        Member(
            f'instance-{index:04d}',
            ZONES[index % len(ZONES)],
            f'10.2.{index // 250}.{index % 250 + 1}',
            7400,
            7402,
            _TIMESTAMP_UNIX_S,
        )
        for index in range(members)
    )
    cfg = make_configuration(targets, ZONES)
    sight_s = dict.fromkeys(ZONES, 0.5)
    snapshot = RoutingSnapshot(64, cfg, instances, sight_s)
    return encode_frame(SnapshotMessage(snapshot))


def _snapshot_bytes(targets: int, members: int) -> int:
    return len(_snapshot_frame(targets, members))


def _snapshot_ms(targets: int, members: int) -> float:
    body = _snapshot_frame(targets, members)[_FRAME_HEADER_BYTES:]
    message = decode_frame(body)
    decode_s = least_cpu_time_s(lambda: decode_frame(body))
    return _MS_PER_S * (
        decode_s + least_cpu_time_s(lambda: encode_frame(message))
    )


async def _store_calls(sections: int) -> tuple[Any, Any, Any]:
    """Count the store calls of a change of some configuration sections.

    Returns pairs of the number of sections and of calls: reads and writes of
    the submission, and the calls of an instance that fetches the change.
    """
    store = MemoryStore(StoreLimits(writes_per_s=10**6, reads_per_s=10**6))
    client = FakeKeyValueClient(store)
    cfg = make_configuration(2000, ZONES)
    await _submit(client, cfg, 0)
    known: dict[bytes, bytes] = {}
    stored = await client.get(head_key(_REGION))
    await fetch_sections(client, decode_head(_REGION, stored), known)
    before = client.calls.copy()
    await _submit(client, _drain_targets(cfg, sections), 1)
    spent = client.calls - before
    read = await _read_change(client, stored.version, known)
    reads = {kind: spent[kind] for kind in spent if _is_read(kind)}
    return (
        (sections, sum(reads.values())),
        (sections, spent.total() - sum(reads.values())),
        (sections, read.total()),
    )


async def _read_change(
    client: FakeKeyValueClient, version: int, known: dict[bytes, bytes]
) -> Counter[str]:
    """Fetch a change as the instance with the reader role does.

    Returns the number of store calls by kind.
    """
    before = client.calls.copy()
    stored = await client.watch(head_key(_REGION), version, 1)
    await fetch_sections(client, decode_head(_REGION, stored), known)
    return client.calls - before


def _is_read(kind: str) -> bool:
    return kind.lower() in {'get', 'list', 'watch'}


async def _submit(
    client: FakeKeyValueClient, cfg: Configuration, base: int
) -> None:
    outcome = await submit(
        client,
        _REGION,
        cfg,
        base,
        f'change-{base}',
        'capacity',
        _TIMESTAMP_UNIX_S,
    )
    if not isinstance(outcome, Accepted):
        raise TypeError(f'expected Accepted from the store, got {outcome}')


def _drain_targets(cfg: Configuration, sections: int) -> Configuration:
    """Mark a target of one service as draining in each of some sections."""
    changed_sections: set[int] = set()
    services = []
    for service in cfg.services:
        index = section_of_service(service.name)
        if index in changed_sections or len(changed_sections) == sections:
            services.append(service)
            continue
        changed_sections.add(index)
        first = msgspec.structs.replace(service.targets[0], draining=True)
        targets = (first, *service.targets[1:])
        services.append(msgspec.structs.replace(service, targets=targets))
    return msgspec.structs.replace(cfg, services=tuple(services))
