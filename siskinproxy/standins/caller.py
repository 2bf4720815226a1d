"""Stand-in for callers: sends requests and keeps long flows open.

`CallerPool` is the library class; `main` runs one pool as a process.
"""

import itertools
import math
import random
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any, Final, Literal

import fire
import gevent
import msgspec
from gevent import socket
from hdrh.histogram import HdrHistogram

from siskinproxy.fabric.segments import Endpoint
from siskinproxy.logs import EventLog, set_up_logs
from siskinproxy.standins.caller_flow import (
    Outcome,
    RequestFlow,
    StreamFlow,
)
from siskinproxy.standins.control_port import ControlServer
from siskinproxy.standins.messages import Request
from siskinproxy.standins.process import (
    MAX_DATAGRAM_BYTES,
    StopEvent,
    parse_endpoint,
)

__all__ = ('CallerPool', 'Load', 'main', 'run')

_FIRST_PORT: Final = 10000
_LAST_PORT: Final = 60000
_SHORTEST_WAIT_S: Final = 0.0005
#: Wait before a long flow that was not established is tried again.
_REOPEN_S: Final = 0.2
_MAX_DURATION_MS: Final = 600_000
_FAULTS: Final = frozenset(
    (Outcome.UNKNOWN, Outcome.BROKEN, Outcome.MISMATCHED),
)

_Response = Mapping[str, Any]
_Command = Callable[..., _Response]


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load of one listener.

    Parameters
    ----------
    name : str
        Unique name; prefix of the request ids.
    service : str
        Service that the answers must come from.
    address : str
        Service address.
    port : int
        Service port.
    kind : {'request', 'stream'}
        Requests at a rate, or a number of long flows.
    rate : float
        Requests a second (Poisson arrivals, open loop).
    flows : int
        Long flows to keep open.
    work_ms : float
        Mean execution time; uniform between half and one and a half of it.
    size_bytes : int
        Size of an answer or a chunk.
    deadline_ms : float
        Time for the answer or a chunk, in milliseconds.
    interval_ms : float
        Mean time between two chunks of a long flow.
    """

    name: str
    service: str
    address: str
    port: int
    kind: Literal['request', 'stream'] = 'request'
    rate: float = 10
    flows: int = 0
    work_ms: float = 10
    size_bytes: int = 200
    deadline_ms: float = 5000
    interval_ms: float = 1000


class _Record:
    """Results of one load."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.greenlets: list[gevent.Greenlet] = []
        self.is_stopping = False
        self.in_progress = 0
        self.established = 0
        self.established_total = 0
        self.chunks = 0
        self.ids: dict[Outcome, list[str]] = defaultdict(list)
        self.faults: list[dict[str, Any]] = []
        self.durations_ms = HdrHistogram(1, _MAX_DURATION_MS, 3)

    def add_fault(self, flow: RequestFlow | StreamFlow) -> None:
        fault = {
            'id': flow.request.id,
            'outcome': flow.outcome,
            'caller': f'{flow.local.address}:{flow.local.port}',
            'target': flow.target,
            'detail': flow.detail,
            'unix_s': time.time(),
            'opened_unix_s': time.time() - time.monotonic() + flow.opened_s,
        }
        self.faults.append(fault)

    def stats(self) -> dict[str, Any]:
        counts = {outcome.value: len(self.ids[outcome]) for outcome in Outcome}
        return {
            **counts,
            'requests': sum(counts.values()) + self.in_progress,
            'in_progress': self.in_progress,
            'established': self.established,
            'established_total': self.established_total,
            'chunks': self.chunks,
            'p50_ms': self.durations_ms.get_value_at_percentile(50),
            'p99_ms': self.durations_ms.get_value_at_percentile(99),
        }


class CallerPool:
    """Callers with one UDP socket per flow.

    Parameters
    ----------
    name : str
        Unique name; prefix of the request ids.
    addresses : tuple of str
        IPv4 addresses of the callers.
    fabric : Endpoint
        UDP address and port of the fabric.
    rng : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        name: str,
        addresses: tuple[str, ...],
        fabric: Endpoint,
        rng: random.Random,
    ) -> None:
        self.records: dict[str, _Record] = {}
        self._name = name
        self._fabric = fabric
        self._rng = rng
        self._numbers = itertools.count()
        # Ports are used in turn, so that a port is not used again while
        # another instance still knows the earlier flow.
        ports = range(_FIRST_PORT, _LAST_PORT)
        endpoints = [
            Endpoint(address, port) for port in ports for address in addresses
        ]
        start = rng.randrange(len(endpoints))
        self._endpoints = itertools.cycle(
            endpoints[start:] + endpoints[:start],
        )

    def request(self, load: Load) -> RequestFlow:
        """Send one request, and return its flow after it finished."""
        sock = self._open_socket()
        with sock:
            flow = RequestFlow(
                Endpoint(*sock.getsockname()),
                Endpoint(load.address, load.port),
                self._request_of(load),
                self._rng.getrandbits(32),
                load.deadline_ms / 1000,
            )
            self._drive(sock, flow)
        return flow

    def start(self, load: Load) -> None:
        """Start a load in the background.

        Raises
        ------
        ValueError
            If a load of that name exists.
        """
        if load.name in self.records:
            raise ValueError(f'load exists: {load.name}')
        record = _Record(load)
        self.records[load.name] = record
        if load.kind == 'request':
            record.greenlets.append(gevent.spawn(self._send_load, record))
            return
        for _ in range(load.flows):
            record.greenlets.append(gevent.spawn(self._keep_stream, record))

    def stop(self, name: str) -> None:
        """Stop a load; requests in progress are completed."""
        self.records[name].is_stopping = True

    def close(self) -> None:
        """End all loads without waiting."""
        for record in self.records.values():
            gevent.killall(record.greenlets)

    def _send_load(self, record: _Record) -> None:
        next_s = time.monotonic()
        while not record.is_stopping:
            next_s += self._rng.expovariate(record.load.rate)
            gevent.sleep(max(next_s - time.monotonic(), 0))
            if not record.is_stopping:
                record.in_progress += 1
                gevent.spawn(self._send_request, record)

    def _send_request(self, record: _Record) -> None:
        flow = self.request(record.load)
        record.in_progress -= 1
        record.ids[flow.outcome].append(flow.request.id)
        if flow.outcome in _FAULTS:
            record.add_fault(flow)
        if flow.outcome == Outcome.ANSWERED:
            duration_s = flow.ended_s - flow.opened_s
            record.durations_ms.record_value(max(1, int(duration_s * 1000)))

    def _keep_stream(self, record: _Record) -> None:
        # Spreads the handshakes, so that the start is no burst.
        gevent.sleep(self._rng.uniform(0, record.load.interval_ms / 1000))
        while not record.is_stopping:
            record.in_progress += 1
            flow = self._run_stream(record)
            record.in_progress -= 1
            record.ids[flow.outcome].append(flow.request.id)
            if flow.outcome in _FAULTS:
                record.add_fault(flow)
            gevent.sleep(_REOPEN_S)

    def _run_stream(self, record: _Record) -> StreamFlow:
        load = record.load
        sock = self._open_socket()
        with sock:
            flow = StreamFlow(
                Endpoint(*sock.getsockname()),
                Endpoint(load.address, load.port),
                self._request_of(load),
                self._rng.getrandbits(32),
                load.deadline_ms / 1000,
            )
            self._drive(sock, flow, record)
        return flow

    def _drive(
        self,
        sock: socket.socket,
        flow: RequestFlow | StreamFlow,
        record: _Record | None = None,
    ) -> None:
        packets = flow.start(time.monotonic())
        asker = _ChunkAsker(flow, record, self._rng) if record else None
        while True:
            for packet in packets:
                sock.sendto(packet, self._fabric)
            if flow.is_finished:
                break
            due_s = flow.next_timer_s()
            if asker:
                due_s = min(due_s, asker.next_s)
            packets = self._wait(sock, flow, due_s)
            if asker:
                packets += asker.run()
        if asker:
            asker.close()

    def _wait(
        self,
        sock: socket.socket,
        flow: RequestFlow | StreamFlow,
        due_s: float,
    ) -> list[bytes]:
        wait_s = max(due_s - time.monotonic(), _SHORTEST_WAIT_S)
        sock.settimeout(None if wait_s == math.inf else wait_s)
        try:
            datagram = sock.recv(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return flow.on_timer(time.monotonic())
        return flow.on_datagram(datagram, time.monotonic())

    def _open_socket(self) -> socket.socket:
        while True:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(next(self._endpoints))
            except OSError:
                sock.close()
                continue
            return sock

    def _request_of(self, load: Load) -> Request:
        return Request(
            id=f'{self._name}-{load.name}-{next(self._numbers)}',
            service=load.service,
            kind=load.kind,
            work_ms=load.work_ms * self._rng.uniform(0.5, 1.5),
            size_bytes=load.size_bytes,
        )


class _ChunkAsker:
    """Asks for the chunks of one long flow and counts them."""

    def __init__(
        self,
        flow: StreamFlow,
        record: _Record,
        rng: random.Random,
    ) -> None:
        self.next_s = time.monotonic()
        self._flow = flow
        self._record = record
        self._rng = rng
        self._is_counted = False
        self._chunks = 0
        self._schedule()

    def run(self) -> list[bytes]:
        """Update the record; return the packets of the next question."""
        flow = self._flow
        if flow.is_established and not self._is_counted:
            self._is_counted = True
            self._record.established += 1
            self._record.established_total += 1
        self._record.chunks += flow.chunks - self._chunks
        self._chunks = flow.chunks
        if self._record.is_stopping and flow.outcome is None:
            return flow.finish(time.monotonic())
        if time.monotonic() < self.next_s:
            return []
        self._schedule()
        return flow.ask(time.monotonic())

    def close(self) -> None:
        """Remove the flow from the open ones."""
        if self._is_counted:
            self._record.established -= 1

    def _schedule(self) -> None:
        mean_s = self._record.load.interval_ms / 1000
        self.next_s = time.monotonic() + mean_s * self._rng.uniform(0.5, 1.5)


class CallerProcess:
    """Control port around a `CallerPool`.

    Parameters
    ----------
    pool : CallerPool
        The callers.
    control : Endpoint
        TCP address and port for commands, port 0 for any.
    """

    def __init__(self, pool: CallerPool, control: Endpoint) -> None:
        self.stop_event = StopEvent()
        self._pool = pool
        self._log = EventLog('standin-caller')
        commands: dict[str, _Command] = {
            'outcomes': self._outcomes,
            'start': self._start,
            'stats': self._stats,
            'stop': self.stop_event.command,
            'stop_load': self._stop_load,
        }
        self._control = ControlServer(*control, commands)

    def start(self) -> None:
        """Serve in the background."""
        self._control.start()
        self._log.event('ready', control_port=self._control.port)

    def close(self) -> None:
        """Stop all loads and the control port."""
        self._pool.close()
        self._control.close()
        self._log.event('stopped')

    def _start(self, **load: object) -> _Response:
        settings = msgspec.convert(load, Load)
        self._pool.start(settings)
        self._log.event('load', **load)
        return {'name': settings.name}

    def _stop_load(self, name: str) -> _Response:
        self._pool.stop(name)
        self._log.event('load_stopping', name=name)
        return {'name': name}

    def _stats(self) -> _Response:
        return {
            name: record.stats() for name, record in self._pool.records.items()
        }

    def _outcomes(self) -> _Response:
        return {
            name: {'ids': record.ids, 'faults': record.faults}
            for name, record in self._pool.records.items()
        }


def run(
    fabric: str,
    name: str = 'callers',
    addresses: str = '127.0.9.1',
    address: str = '127.0.0.1',
    control_port: int = 0,
    seed: int = 1,
) -> None:
    """Run callers until SIGTERM.

    Parameters
    ----------
    fabric : str
        Address and UDP port of the fabric, as ``address:port``.
    name : str
        Unique name; prefix of the request ids.
    addresses : str
        IPv4 addresses of the callers, separated by spaces.
    address : str
        IPv4 address of the control port.
    control_port : int
        TCP port for commands, 0 for any.
    seed : int
        Seed of the random choices.
    """
    set_up_logs()
    pool = CallerPool(
        name,
        tuple(addresses.split()),
        parse_endpoint(fabric),
        random.Random(seed),
    )
    process = CallerProcess(pool, Endpoint(address, control_port))
    process.start()
    process.stop_event.wait()
    process.close()


def main() -> None:
    """Entry point of ``siskinproxy-standin-caller``."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
