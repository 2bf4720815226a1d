"""Measures how long the packet engine takes for one segment.

The engine runs without sockets, with given numbers of flows and targets.
"""

import gc
import random
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.fabric.segments import SYN
from siskinproxy.measure.flow_samples import (
    SampleFlows,
    accept_syn,
    adopt_flows,
    make_configuration,
    reset_of_syn,
)

__all__ = (
    'DecisionCost',
    'RecordingOutbox',
    'make_engine',
    'measure_decisions',
    'timing_histogram',
)

_MAX_RECORDED_NS: Final = 1_000_000_000
_SIGNIFICANT_DIGITS: Final = 3
_SAMPLES: Final = 20_000
_OPENINGS: Final = 2_000
_NS_PER_US: Final = 1000


class DecisionCost(NamedTuple):
    """Time that the packet engine takes for one segment, in microseconds.

    Parameters
    ----------
    flows, targets : int
        Numbers of open flows and of targets.
    p50_us, p99_us : float
        Median and 99th percentile for segments of open flows, in both
        directions.
    open_p50_us, open_p99_us : float
        Median and 99th percentile for SYNs at the instance that admits the
        new flows of the target.
    """

    flows: int
    targets: int
    p50_us: float
    p99_us: float
    open_p50_us: float
    open_p99_us: float


class RecordingOutbox:
    """Keeps the last datagram instead of sending it.

    It also counts the datagrams to other instances and their bytes.
    """

    __slots__ = ('last', 'sent_bytes', 'sent_count')

    def __init__(self) -> None:
        self.last = b''
        self.sent_bytes = 0
        self.sent_count = 0

    def to_target(self, address: tuple[str, int], segment: bytes) -> None:
        """Keep a segment for a target."""
        self.last = segment

    def to_caller(self, segment: bytes) -> None:
        """Keep a segment for a caller."""
        self.last = segment

    def to_instance(self, member: Member, datagram: bytes) -> None:
        """Keep and count a datagram for another instance."""
        self.last = datagram
        self.sent_count += 1
        self.sent_bytes += len(datagram)


def make_engine(
    target_count: int,
    members: int = 1,
    zones: tuple[str, ...] = ('a',),
    mode: str = 'stream',
) -> PacketEngine:
    """Return a packet engine that applied a routing snapshot at time 0.

    Parameters
    ----------
    target_count : int
        Targets of the configuration.
    members : int
        Instances of the region, this one included.
    zones : tuple of str
        Zones of members and targets.
    mode : {'request', 'stream'}
        Mode of the listeners.

    Returns
    -------
    PacketEngine
        The engine of the first instance; its outbox is a
        ``RecordingOutbox``.
    """
    instances = tuple(
        Member(
            f'instance-{index:04d}',
            zones[index % len(zones)],
            f'127.2.{index // 250}.{index % 250 + 1}',
            7400,
            7402,
        )
        for index in range(members)
    )
    outbox = RecordingOutbox()
    engine = PacketEngine(instances[0], outbox, Limits(), random.Random(1))
    cfg = make_configuration(target_count, zones, mode=mode)
    sight_s = dict.fromkeys(zones, 0.0)
    engine.apply_snapshot(RoutingSnapshot(1, cfg, instances, sight_s), 0)
    return engine


def timing_histogram() -> HdrHistogram:
    """Return an empty histogram of nanoseconds up to one second."""
    return HdrHistogram(1, _MAX_RECORDED_NS, _SIGNIFICANT_DIGITS)


def measure_decisions(flows: int, targets: int) -> DecisionCost:
    """Measure the time for segments of open flows and for SYNs.

    Parameters
    ----------
    flows : int
        Open flows with this instance as their home.
    targets : int
        Targets of the configuration.

    Returns
    -------
    DecisionCost
        Quantiles of the time for one segment.
    """
    engine = make_engine(targets)
    cfg = make_configuration(targets)
    samples = SampleFlows(cfg)
    adopt_flows(engine, samples, flows)
    numbers = random.Random(2).choices(range(flows), k=_SAMPLES // 2)
    segments = [
        make(number)
        for number in numbers
        for make in (samples.request, samples.response)
    ]
    gc.collect()
    established = _time_each(engine.on_segment, segments)
    opening = _time_openings(engine, SampleFlows(cfg, caller_net=2))
    return DecisionCost(
        flows,
        targets,
        established.get_value_at_percentile(50) / _NS_PER_US,
        established.get_value_at_percentile(99) / _NS_PER_US,
        opening.get_value_at_percentile(50) / _NS_PER_US,
        opening.get_value_at_percentile(99) / _NS_PER_US,
    )


def _time_each(
    handle_segment: Callable[[bytes, float], None],
    segments: list[bytes],
) -> HdrHistogram:
    histogram = timing_histogram()
    for segment in segments:
        started_ns = time.perf_counter_ns()
        handle_segment(segment, 0)
        histogram.record_value(time.perf_counter_ns() - started_ns)
    return histogram


def _time_openings(engine: PacketEngine, flows: SampleFlows) -> HdrHistogram:
    """Time SYNs at the instance that admits the flows.

    The segments that accept and reset each flow are not timed.
    """
    histogram = timing_histogram()
    outbox = engine.state.outbox
    for number in range(_OPENINGS):
        syn = flows.request(number, SYN)
        started_ns = time.perf_counter_ns()
        engine.on_segment(syn, 0)
        histogram.record_value(time.perf_counter_ns() - started_ns)
        engine.on_segment(accept_syn(outbox.last), 0)
        engine.on_segment(reset_of_syn(syn), 0)
    return histogram
