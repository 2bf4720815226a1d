"""Costs of an entry process as slopes: ``python -m siskinproxy.measure.entry_costs``.

Prints one line of JSON per size. The engine runs without sockets, so costs of
system calls come on top; docs/CAPACITY.md adds those of the bench.
"""

import random
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any, Final

import fire
import msgspec

from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.engine import EntryEngine
from siskinproxy.entry.event_log import BoundedLog
from siskinproxy.entry.load_view import LoadReport, LoadView, decode_report
from siskinproxy.entry.mirror import StoreMirror
from siskinproxy.entry.packets import ACK, FIN, SYN, PacketHead
from siskinproxy.entry.placing import Placer
from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RequestKind,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
    TargetRecord,
)
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.store import PrefixChanges, StoredItem

__all__ = (
    'EntryCost',
    'main',
    'measure_engine',
    'measure_log',
    'measure_reports',
)

_FLOWS: Final = 2000
_REPORTS: Final = 500
_VIRTUAL: Final = bytes((198, 18, 0, 1, 1, 187))
_ITEM_BYTES: Final = 230
_LOG_SECONDS: Final = 50
_FLOWS_PER_SLOW_ONE: Final = 10


class EntryCost(msgspec.Struct, frozen=True):
    """One measured cost.

    Parameters
    ----------
    what : str
        What was done.
    size : int
        Number of targets, routes or flows.
    microseconds : float
        Processor time of one operation; 0 if only memory was measured.
    bytes : float
        Memory or message bytes of one unit; 0 if only time was measured.
    """

    what: str
    size: int
    microseconds: float = 0
    bytes: float = 0


class _HeadCodec:
    """Codec whose packets are headers already."""

    def read_head(self, packet: Any) -> PacketHead:
        return packet

    def frame_for_target(self, target_id: int, token: int, packet: Any) -> Any:
        return packet

    def build_reset(self, head: PacketHead) -> PacketHead:
        return head

    def caller_address(self, head: PacketHead) -> Address:
        return Address('127.0.0.1', 1)


class _Sink:
    """Outbox and event sink that keep nothing."""

    def send(self, address: Address, datagram: Any) -> None:
        """Drop a datagram."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Drop an event."""


def _target(number: int, service: str = 'desk') -> TargetRecord:
    return TargetRecord(
        name=f't-{number:x}',
        target_id=number,
        service=service,
        address=Address('127.0.0.1', 1 + number % 60000),
        zone=f'z{number % 3}',
        slots=1000,
        is_draining=False,
        warmup_left_s=0,
        started_unix_ms=1,
        revision=number,
    )


def _configuration(routes: int) -> OperatorConfiguration:
    return OperatorConfiguration(
        version=1,
        routes=tuple(
            RouteRecord(
                name=f'r-{number}',
                destination=_VIRTUAL[:2] + number.to_bytes(2) + _VIRTUAL[4:],
                shares=(ServiceShare('desk', 1),),
                kind=RequestKind.SAFE,
                deadline_s=4,
                objective_s=0.25,
                priority=1,
            )
            for number in range(1, routes + 1)
        ),
        services=(ServiceRecord('desk', '/', 2000, 2, 10),),
        idle_timeout_s=15,
    )


def _build(targets: int) -> tuple[EntryEngine, list[TargetRecord]]:
    directory = TargetDirectory()
    records = [_target(number) for number in range(1, targets + 1)]
    for record in records:
        directory.announce(record, 0)
    routes = RouteTable()
    routes.apply(_configuration(1), 0)
    responsiveness = Responsiveness()
    sink = _Sink()
    placer = Placer(
        'z0',
        ColdLimit('i', ColdBounds()),
        responsiveness,
        LoadView(),
        random.Random(1),
    )
    engine = EntryEngine(
        _HeadCodec(),
        directory,
        routes,
        placer,
        responsiveness,
        sink,
        sink,
    )
    return engine, records


def _head(number: int, flags: int, token: int = 0) -> PacketHead:
    destination = _VIRTUAL[:2] + (1).to_bytes(2) + _VIRTUAL[4:]
    flow = number.to_bytes(6) + destination
    return PacketHead(flow, destination, flags, 7, 0, token, 0)


def _time_us(function: Callable[[int], None], count: int) -> float:
    started_s = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - started_s) * 1e6 / count


def measure_engine(targets: int) -> Iterator[EntryCost]:
    """Yield the costs of packets and flows with targets of one service.

    Parameters
    ----------
    targets : int
        Targets of the service.

    Yields
    ------
    EntryCost
        Opening, established packet, closing, and memory of a flow.
    """
    engine, records = _build(targets)
    token = records[0].token
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for each in range(_FLOWS):
        engine.on_packet(_head(each, SYN), 0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield EntryCost('flow', targets, bytes=(after - before) / _FLOWS)
    engine, _ = _build(targets)
    opened_us = _time_us(
        lambda number: engine.on_packet(_head(number, SYN), 0), _FLOWS
    )
    yield EntryCost('opening', targets, microseconds=opened_us)
    packet_us = _time_us(
        lambda number: engine.on_packet(_head(number, ACK, token), 0.01),
        _FLOWS,
    )
    yield EntryCost('established_packet', targets, microseconds=packet_us)
    closed_us = _time_us(
        lambda number: engine.on_packet(_head(number, ACK | FIN, token), 0.05),
        _FLOWS,
    )
    yield EntryCost('closing_packet', targets, microseconds=closed_us)


def measure_reports(targets: int) -> Iterator[EntryCost]:
    """Yield the size and costs of a report with flows at many targets."""
    flows = {_target(number).token: 2 for number in range(1, targets + 1)}
    datagram = msgspec.msgpack.encode(LoadReport('i-1', 'z0', False, flows))
    yield EntryCost('report', targets, bytes=len(datagram))
    view = LoadView()
    heard_us = _time_us(
        lambda number: view.hear(decode_report(datagram), number), _REPORTS
    )
    yield EntryCost('report_heard', targets, microseconds=heard_us)


def measure_beliefs(size: int) -> Iterator[EntryCost]:
    """Yield the costs of a list of targets and of a configuration."""
    value = b'x' * _ITEM_BYTES
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    started_s = time.process_time()
    mirror = StoreMirror()
    mirror.apply(
        PrefixChanges(
            tuple(
                StoredItem(f'servers/{number:016x}', value, number)
                for number in range(1, size + 1)
            ),
            size,
            is_complete=True,
        )
    )
    directory = TargetDirectory()
    for number in range(1, size + 1):
        directory.announce(_target(number, f's{number % 4000}'), 0)
    after, _ = tracemalloc.get_traced_memory()
    elapsed_s = time.process_time() - started_s
    tracemalloc.stop()
    yield EntryCost(
        'target_known',
        size,
        microseconds=elapsed_s * 1e6 / size,
        bytes=(after - before) / size,
    )
    cfg = _configuration(size)
    routes = RouteTable()
    started_s = time.process_time()
    routes.apply(cfg, 0)
    elapsed_s = time.process_time() - started_s
    yield EntryCost('route_applied', size, elapsed_s * 1e6 / size)


def measure_log(flows_per_s: int) -> Iterator[EntryCost]:
    """Yield the cost of logging during a second with new flows.

    Each flow has a line when it is opened, and a tenth of them one because
    they are slow, as on a day with trouble.

    Parameters
    ----------
    flows_per_s : int
        New flows of one instance in a second.

    Yields
    ------
    EntryCost
        Processor time and bytes written in a second, and lines in a second.
    """
    events = ['flow_opened'] * flows_per_s
    events += ['flow_slow'] * (flows_per_s // _FLOWS_PER_SLOW_ONE)
    second = iter(range(_LOG_SECONDS * len(events)))
    with tempfile.TemporaryFile() as kept:
        log = BoundedLog(
            'entry',
            kept.fileno(),
            lambda: float(next(second) // len(events)),
            instance='i-1',
        )
        started_s = time.process_time()
        for _ in range(_LOG_SECONDS):
            for name in events:
                log.event(
                    name,
                    flow='100.64.0.7:40001',
                    route='r-desk',
                    target='i-9ec4913bdc',
                    reason='least_loaded',
                    copy=0,
                    waited_ms=0,
                    config=4,
                )
            log.flush()
        elapsed_s = time.process_time() - started_s
        written = kept.tell()
        kept.seek(0)
        lines = kept.read().count(b'\n')
    yield EntryCost(
        'log_second',
        flows_per_s,
        microseconds=elapsed_s * 1e6 / _LOG_SECONDS,
        bytes=written / _LOG_SECONDS,
    )
    yield EntryCost('log_lines', flows_per_s, bytes=lines / _LOG_SECONDS)


def _run() -> None:
    """Print all costs."""
    for flows_per_s in (40, 400):
        for cost in measure_log(flows_per_s):
            _print(cost)
    for targets in (4, 16, 64):
        for cost in measure_engine(targets):
            _print(cost)
    for targets in (10, 40, 160):
        for cost in measure_reports(targets):
            _print(cost)
    for size in (500, 2000, 8000):
        for cost in measure_beliefs(size):
            _print(cost)


def _print(cost: EntryCost) -> None:
    sys.stdout.write(f'{msgspec.json.encode(cost).decode()}\n')


def main() -> None:
    """Entry point of ``python -m siskinproxy.measure.entry_costs``."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
