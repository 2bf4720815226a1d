"""Measures the costs of an entry process at several sizes.

Run ``python -m siskinproxy.measure.entry_costs``. It prints one JSON object
for each cost and size. The engine runs without sockets, so that the costs of
system calls are missing; docs/CAPACITY.md adds those from the benchmark.
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
from siskinproxy.entry.packets import ACK, FIN, SYN, PacketHeader
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
from siskinproxy.entry.target_selection import Placer

__all__ = (
    'EntryCost',
    'main',
    'measure_engine',
    'measure_log',
    'measure_reports',
)

_FLOWS: Final = 2000
_REPORTS: Final = 500
#: Address and port 198.18.0.1:443.
_DESTINATION: Final = bytes((198, 18, 0, 1, 1, 187))
_STORED_ITEM_BYTES: Final = 230
_LOG_DURATION_S: Final = 50
_FLOWS_PER_SLOW_FLOW: Final = 10


class EntryCost(msgspec.Struct, frozen=True):
    """Cost of one operation or unit at one size.

    Parameters
    ----------
    what : str
        Name of the operation or unit.
    size : int
        Number of targets or routes, or of new flows per second.
    microseconds : float
        Processor time of one operation; 0 if only bytes are measured.
    bytes : float
        Memory, message size, bytes written to the log or, for
        ``log_lines``, lines; 0 if only time is measured.
    """

    what: str
    size: int
    microseconds: float = 0
    bytes: float = 0


class _HeadCodec:
    """Codec for packets that are already decoded heads."""

    def decode_header(self, packet: Any) -> PacketHeader:
        return packet

    def frame_for_target(self, target_id: int, token: int, packet: Any) -> Any:
        return packet

    def build_reset(self, head: PacketHeader) -> PacketHeader:
        return head

    def caller_address(self, head: PacketHeader) -> Address:
        return Address('127.0.0.1', 1)


class _DiscardingSink:
    """Outbox and event log that discard everything."""

    def send(self, address: Address, datagram: Any) -> None:
        """Discard a datagram."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Discard an event."""


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
                destination=_DESTINATION[:2]
                + number.to_bytes(2)
                + _DESTINATION[4:],
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


def _build_engine(targets: int) -> tuple[EntryEngine, list[TargetRecord]]:
    directory = TargetDirectory()
    records = [_target(number) for number in range(1, targets + 1)]
    for record in records:
        directory.announce(record, 0)
    routes = RouteTable()
    routes.apply(_configuration(1), 0)
    responsiveness = Responsiveness()
    sink = _DiscardingSink()
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


def _head(number: int, flags: int, token: int = 0) -> PacketHeader:
    destination = _DESTINATION[:2] + (1).to_bytes(2) + _DESTINATION[4:]
    flow = number.to_bytes(6) + destination
    return PacketHeader(flow, destination, flags, 7, 0, token, 0)


def _time_us(function: Callable[[int], None], count: int) -> float:
    started_s = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - started_s) * 1e6 / count


def measure_engine(targets: int) -> Iterator[EntryCost]:
    """Measure packets and flows of a service with a number of targets.

    Parameters
    ----------
    targets : int
        Targets of the service.

    Yields
    ------
    EntryCost
        Memory of a flow, then the time for an opening, an established and a
        closing packet.
    """
    engine, records = _build_engine(targets)
    token = records[0].token
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    for flow_number in range(_FLOWS):
        engine.on_packet(_head(flow_number, SYN), 0)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield EntryCost(
        'flow', targets, bytes=(after_bytes - before_bytes) / _FLOWS
    )
    engine, _ = _build_engine(targets)
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
    """Measure a load report that lists two flows at each target.

    Parameters
    ----------
    targets : int
        Targets in the report.

    Yields
    ------
    EntryCost
        Size of the encoded report, then the time to decode and apply it.
    """
    flows = {_target(number).token: 2 for number in range(1, targets + 1)}
    datagram = msgspec.msgpack.encode(LoadReport('i-1', 'z0', False, flows))
    yield EntryCost('report', targets, bytes=len(datagram))
    view = LoadView()
    report_us = _time_us(
        lambda number: view.apply_report(decode_report(datagram), number),
        _REPORTS,
    )
    yield EntryCost('report_heard', targets, microseconds=report_us)


def measure_store_state(size: int) -> Iterator[EntryCost]:
    """Measure the state that an entry process keeps from the store.

    Parameters
    ----------
    size : int
        Number of targets and of routes.

    Yields
    ------
    EntryCost
        Time and memory of one target, then the time of one route.
    """
    value = b'x' * _STORED_ITEM_BYTES
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
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
    after_bytes, _ = tracemalloc.get_traced_memory()
    elapsed_s = time.process_time() - started_s
    tracemalloc.stop()
    yield EntryCost(
        'target_known',
        size,
        microseconds=elapsed_s * 1e6 / size,
        bytes=(after_bytes - before_bytes) / size,
    )
    cfg = _configuration(size)
    routes = RouteTable()
    started_s = time.process_time()
    routes.apply(cfg, 0)
    elapsed_s = time.process_time() - started_s
    yield EntryCost('route_applied', size, elapsed_s * 1e6 / size)


def measure_log(flows_per_s: int) -> Iterator[EntryCost]:
    """Measure the log of one second at a rate of new flows.

    Each flow logs an event when it is opened, and every tenth flow one more
    because it is slow, as when targets are impaired.

    Parameters
    ----------
    flows_per_s : int
        New flows per second of one instance.

    Yields
    ------
    EntryCost
        Processor time and bytes written per second, then lines per second.
    """
    events = ['flow_opened'] * flows_per_s
    events += ['flow_slow'] * (flows_per_s // _FLOWS_PER_SLOW_FLOW)
    line_numbers = iter(range(_LOG_DURATION_S * len(events)))
    with tempfile.TemporaryFile() as log_file:
        log = BoundedLog(
            'entry',
            log_file.fileno(),
            lambda: float(next(line_numbers) // len(events)),
            instance='i-1',
        )
        started_s = time.process_time()
        for _ in range(_LOG_DURATION_S):
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
        written_bytes = log_file.tell()
        log_file.seek(0)
        lines = log_file.read().count(b'\n')
    yield EntryCost(
        'log_second',
        flows_per_s,
        microseconds=elapsed_s * 1e6 / _LOG_DURATION_S,
        bytes=written_bytes / _LOG_DURATION_S,
    )
    yield EntryCost('log_lines', flows_per_s, bytes=lines / _LOG_DURATION_S)


def _run() -> None:
    """Print all costs as JSON lines."""
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
        for cost in measure_store_state(size):
            _print(cost)


def _print(cost: EntryCost) -> None:
    sys.stdout.write(f'{msgspec.json.encode(cost).decode()}\n')


def main() -> None:
    """Run the measurements from the command line."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
