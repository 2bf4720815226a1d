"""Load generator that simulates clients (callers) of the load balancer.

`CallerPool` sends requests at a given rate and keeps long flows open; `main`
runs one pool as a process with a control port.
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

#: Range of the source ports of flows; the last one is excluded.
_FIRST_PORT: Final = 10000
_LAST_PORT: Final = 60000
#: Shortest receive timeout; 0 would make the socket non-blocking.
_MIN_WAIT_S: Final = 0.0005
#: Delay before a long flow that ended is opened again.
_REOPEN_DELAY_S: Final = 0.2
#: Highest duration that the histogram of request durations records.
_MAX_DURATION_MS: Final = 600_000
#: Outcomes that are recorded with details for the report of a run.
_FAULT_OUTCOMES: Final = frozenset(
    (Outcome.UNKNOWN, Outcome.BROKEN, Outcome.MISMATCHED),
)

_Response = Mapping[str, Any]
_Command = Callable[..., _Response]


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load that callers generate on one listener.

    Parameters
    ----------
    name : str
        Unique name; prefix of the request ids.
    service : str
        Name of the service that has to answer.
    address : str
        IPv4 address of the listener.
    port : int
        Port of the listener.
    kind : {'request', 'stream'}
        ``request`` sends requests at a rate, each on its own connection;
        ``stream`` keeps a number of long flows open.
    rate : float
        Requests per second, for ``request``. Arrivals are a Poisson process
        that does not wait for answers (open loop).
    flows : int
        Number of long flows to keep open, for ``stream``.
    work_ms : float
        Mean execution time in milliseconds; drawn uniformly between 0.5 and
        1.5 times this value.
    size_bytes : int
        Size of the body of an answer or a chunk.
    deadline_ms : float
        Time from the first SYN to the complete answer of a request; for a
        long flow, time limit of the handshake and of each chunk. In
        milliseconds.
    interval_ms : float
        Mean time between two chunk requests of a long flow, in milliseconds.
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


class _LoadRecord:
    """Counters, outcomes and latency histogram of one load."""

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
        """Record the details of a flow that ended with a fault."""
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
        """Return the counters, and p50 and p99 of the time to an answer."""
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
    """Simulated clients that use one UDP socket per flow.

    Each datagram holds one IPv4 packet with a TCP segment.

    Parameters
    ----------
    name : str
        Unique name; prefix of the request ids.
    addresses : tuple of str
        IPv4 addresses of the callers.
    fabric : Endpoint
        Address and UDP port of the fabric.
    rng : random.Random
        Source of all random choices.

    Attributes
    ----------
    records : dict of str to _LoadRecord
        Results by name of the load.
    """

    def __init__(
        self,
        name: str,
        addresses: tuple[str, ...],
        fabric: Endpoint,
        rng: random.Random,
    ) -> None:
        self.records: dict[str, _LoadRecord] = {}
        self._name = name
        self._fabric = fabric
        self._rng = rng
        self._request_numbers = itertools.count()
        # Ports are used in turn: a port that is reused too early would match
        # the entry of the earlier flow that an instance still holds.
        ports = range(_FIRST_PORT, _LAST_PORT)
        endpoints = [
            Endpoint(address, port) for port in ports for address in addresses
        ]
        start = rng.randrange(len(endpoints))
        self._endpoints = itertools.cycle(
            endpoints[start:] + endpoints[:start],
        )

    def request(self, load: Load) -> RequestFlow:
        """Send one request and return its flow once it has finished."""
        sock = self._open_socket()
        with sock:
            flow = RequestFlow(
                Endpoint(*sock.getsockname()),
                Endpoint(load.address, load.port),
                self._build_request(load),
                self._rng.getrandbits(32),
                load.deadline_ms / 1000,
            )
            self._run_flow(sock, flow)
        return flow

    def start(self, load: Load) -> None:
        """Start a load in the background.

        Raises
        ------
        ValueError
            If a load of that name was started before.
        """
        if load.name in self.records:
            raise ValueError(f'load was started before: name={load.name}')
        record = _LoadRecord(load)
        self.records[load.name] = record
        if load.kind == 'request':
            record.greenlets.append(
                gevent.spawn(self._generate_requests, record)
            )
            return
        for _ in range(load.flows):
            record.greenlets.append(gevent.spawn(self._maintain_stream, record))

    def stop(self, name: str) -> None:
        """Stop a load; requests in progress run to their end."""
        self.records[name].is_stopping = True

    def close(self) -> None:
        """End all loads at once, also requests in progress."""
        for record in self.records.values():
            gevent.killall(record.greenlets)

    def _generate_requests(self, record: _LoadRecord) -> None:
        next_s = time.monotonic()
        while not record.is_stopping:
            next_s += self._rng.expovariate(record.load.rate)
            gevent.sleep(max(next_s - time.monotonic(), 0))
            if not record.is_stopping:
                record.in_progress += 1
                gevent.spawn(self._send_request, record)

    def _send_request(self, record: _LoadRecord) -> None:
        flow = self.request(record.load)
        record.in_progress -= 1
        record.ids[flow.outcome].append(flow.request.id)
        if flow.outcome in _FAULT_OUTCOMES:
            record.add_fault(flow)
        if flow.outcome == Outcome.ANSWERED:
            duration_s = flow.ended_s - flow.opened_s
            record.durations_ms.record_value(max(1, int(duration_s * 1000)))

    def _maintain_stream(self, record: _LoadRecord) -> None:
        # Spreads the handshakes over time instead of a burst at the start.
        gevent.sleep(self._rng.uniform(0, record.load.interval_ms / 1000))
        while not record.is_stopping:
            record.in_progress += 1
            flow = self._run_stream(record)
            record.in_progress -= 1
            record.ids[flow.outcome].append(flow.request.id)
            if flow.outcome in _FAULT_OUTCOMES:
                record.add_fault(flow)
            gevent.sleep(_REOPEN_DELAY_S)

    def _run_stream(self, record: _LoadRecord) -> StreamFlow:
        load = record.load
        sock = self._open_socket()
        with sock:
            flow = StreamFlow(
                Endpoint(*sock.getsockname()),
                Endpoint(load.address, load.port),
                self._build_request(load),
                self._rng.getrandbits(32),
                load.deadline_ms / 1000,
            )
            self._run_flow(sock, flow, record)
        return flow

    def _run_flow(
        self,
        sock: socket.socket,
        flow: RequestFlow | StreamFlow,
        record: _LoadRecord | None = None,
    ) -> None:
        """Run a flow until it is finished; ``record`` is that of a stream."""
        packets = flow.start(time.monotonic())
        requester = _ChunkRequester(flow, record, self._rng) if record else None
        while True:
            for packet in packets:
                sock.sendto(packet, self._fabric)
            if flow.is_finished:
                break
            due_s = flow.next_timer_s()
            if requester:
                due_s = min(due_s, requester.next_s)
            packets = self._wait_for_event(sock, flow, due_s)
            if requester:
                packets += requester.run()
        if requester:
            requester.close()

    def _wait_for_event(
        self,
        sock: socket.socket,
        flow: RequestFlow | StreamFlow,
        due_s: float,
    ) -> list[bytes]:
        """Process the next datagram, or the timers at ``due_s``."""
        wait_s = max(due_s - time.monotonic(), _MIN_WAIT_S)
        sock.settimeout(None if wait_s == math.inf else wait_s)
        try:
            datagram = sock.recv(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return flow.on_timer(time.monotonic())
        return flow.on_datagram(datagram, time.monotonic())

    def _open_socket(self) -> socket.socket:
        """Return a socket bound to the next free address and port."""
        while True:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind(next(self._endpoints))
            except OSError:
                sock.close()
                continue
            return sock

    def _build_request(self, load: Load) -> Request:
        return Request(
            id=f'{self._name}-{load.name}-{next(self._request_numbers)}',
            service=load.service,
            kind=load.kind,
            work_ms=load.work_ms * self._rng.uniform(0.5, 1.5),
            size_bytes=load.size_bytes,
        )


class _ChunkRequester:
    """Requests the chunks of one long flow and updates the load's counters."""

    def __init__(
        self,
        flow: StreamFlow,
        record: _LoadRecord,
        rng: random.Random,
    ) -> None:
        self.next_s = time.monotonic()
        self._flow = flow
        self._record = record
        self._rng = rng
        self._is_counted_established = False
        self._counted_chunks = 0
        self._schedule()

    def run(self) -> list[bytes]:
        """Update the counters and return the packets that are due.

        These are the next chunk request or, while the load is stopping, the
        packets that close the flow.
        """
        flow = self._flow
        if flow.is_established and not self._is_counted_established:
            self._is_counted_established = True
            self._record.established += 1
            self._record.established_total += 1
        self._record.chunks += flow.chunks - self._counted_chunks
        self._counted_chunks = flow.chunks
        if self._record.is_stopping and flow.outcome is None:
            return flow.finish(time.monotonic())
        if time.monotonic() < self.next_s:
            return []
        self._schedule()
        return flow.request_chunk(time.monotonic())

    def close(self) -> None:
        """Remove the flow from the number of established flows."""
        if self._is_counted_established:
            self._record.established -= 1

    def _schedule(self) -> None:
        mean_s = self._record.load.interval_ms / 1000
        self.next_s = time.monotonic() + mean_s * self._rng.uniform(0.5, 1.5)


class CallerProcess:
    """Control port for a `CallerPool`.

    Parameters
    ----------
    pool : CallerPool
        Simulated clients to control.
    control : Endpoint
        Address and TCP port for commands; port 0 selects a free port.
    """

    def __init__(self, pool: CallerPool, control: Endpoint) -> None:
        self.stop_event = StopEvent()
        self._pool = pool
        self._log = EventLog('standin-caller')
        commands: dict[str, _Command] = {
            'outcomes': self._outcomes,
            'start': self._start,
            'stats': self._stats,
            'stop': self.stop_event.handle_stop_command,
            'stop_load': self._stop_load,
        }
        self._control = ControlServer(*control, commands)

    def start(self) -> None:
        """Start the control port in the background."""
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
    """Run callers until SIGTERM, SIGINT or the stop command.

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
        TCP port for commands; 0 selects a free port.
    seed : int
        Seed of the random number generator.
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
