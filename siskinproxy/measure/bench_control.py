"""Measures the resource use of control processes in steady state.

The processes run on the loopback interface with the production code, as
instances of a region with three availability zones. One more process answers
on the control links in place of the packet processes: without a packet
process, a control process does not join the membership.
"""

import asyncio
import multiprocessing
import os
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any, Final, NamedTuple

import gevent
import msgspec
from gevent import monkey

from siskinproxy.balancer.control_engine import ControlStep
from siskinproxy.balancer.control_link import ControlLinkServer, CounterReport
from siskinproxy.balancer.control_process import ControlProcess
from siskinproxy.balancer.settings import InstanceSettings, read_settings
from siskinproxy.instances.gossip import UDP_OVERHEAD_BYTES
from siskinproxy.logs import EventLog
from siskinproxy.measure.bench_relays import resident_bytes
from siskinproxy.measure.flow_samples import make_configuration
from siskinproxy.operators.configuration import Configuration
from siskinproxy.standins.memory_store import MemoryStore, PlatformInstance
from siskinproxy.standins.store import StoreServer
from siskinproxy.store.client import GrpcKeyValueClient
from siskinproxy.store.results import Accepted
from siskinproxy.store.submission import submit

__all__ = (
    'ControlCost',
    'free_port',
    'measure_control',
    'running_process',
    'write_settings',
)

INSTANCES: Final = 8
ZONES: Final = ('a', 'b', 'c')

_LOOPBACK: Final = '127.0.0.1'
_REGION: Final = 'alfold'
_STOP_TIMEOUT_S: Final = 5.0
_MEMBERSHIP_SETTLE_S: Final = 4.0
_REPLY_TIMEOUT_S: Final = 30.0
_BYTES_PER_MB: Final = 1_000_000
_PERCENT: Final = 100


class ControlCost(NamedTuple):
    """Resource use of the control processes.

    Parameters
    ----------
    cpu_percent : float
        Processor time of the busiest process in percent of a core.
    rss_mb : float
        Resident memory of the largest process in megabytes.
    bytes_per_s : float
        Gossip that the busiest process sent and received, with IP and UDP
        headers.
    store_calls_per_s : float
        Calls per second that reached the store, from all processes.
    members : int
        Members that the first process listed at the end; ``INSTANCES`` if
        the membership is complete.
    """

    cpu_percent: float
    rss_mb: float
    bytes_per_s: float
    store_calls_per_s: float
    members: int


class _CountingControlProcess(ControlProcess):
    """Control process that counts the bytes of its gossip datagrams."""

    gossip_bytes = 0

    def on_datagram(self, payload: bytes) -> None:
        """Count a received datagram, then handle it."""
        self.gossip_bytes += len(payload) + UDP_OVERHEAD_BYTES
        super().on_datagram(payload)

    def _execute_step(self, step: ControlStep) -> None:
        for datagram in step.datagrams:
            self.gossip_bytes += len(datagram.payload) + UDP_OVERHEAD_BYTES
        super()._execute_step(step)


def free_port(kind: int) -> int:
    """Return a free port of the loopback interface.

    The port is not reserved: another process can take it before its use.
    """
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((_LOOPBACK, 0))
        return int(sock.getsockname()[1])


def write_settings(
    path: Path, name: str, packet: str, control: str, zone: str = 'a'
) -> str:
    """Write the settings file of one instance.

    Parameters
    ----------
    path : Path
        Path of the file.
    name : str
        Name of the instance.
    packet, control : str
        TOML lines of the sections ``packet`` and ``control``; ``control``
        may go on with further sections.
    zone : str
        Zone of the instance.

    Returns
    -------
    str
        The path as text.
    """
    text = (
        f'[instance]\nname = "{name}"\nregion = "{_REGION}"\n'
        f'zone = "{zone}"\naddress = "{_LOOPBACK}"\n'
        f'[packet]\nfabric_address = "{_LOOPBACK}"\n{packet}\n'
        f'[control]\n{control}\n'
    )
    path.write_text(text)
    return str(path)


@contextmanager
def running_process(
    target: Any, *args: Any
) -> Iterator[tuple[BaseProcess, Connection]]:
    """Run a function in a spawned process and stop it on exit.

    The function gets one end of a pipe as its last argument; the context
    yields the process and the other end.
    """
    context = multiprocessing.get_context('spawn')
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=target, args=(*args, child_end), daemon=True
    )
    process.start()
    try:
        yield process, parent_end
    finally:
        _stop(process)


def _stop(process: BaseProcess) -> None:
    process.terminate()
    process.join(_STOP_TIMEOUT_S)
    if process.is_alive():
        process.kill()


def measure_control(
    directory: Path,
    target_count: int,
    duration_s: float,
) -> ControlCost:
    """Measure ``INSTANCES`` control processes in steady state.

    Parameters
    ----------
    directory : Path
        Directory for the settings files.
    target_count : int
        Targets of the configuration in the store.
    duration_s : float
        Duration of the measurement in seconds.

    Returns
    -------
    ControlCost
        Resource use during the measurement.
    """
    store_port = free_port(socket.SOCK_STREAM)
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(INSTANCES)]
    links = [free_port(socket.SOCK_STREAM) for _ in range(INSTANCES)]
    seeds = ', '.join(f'"{_LOOPBACK}:{port}"' for port in ports[:3])
    store = f'\n[store]\naddress = "{_LOOPBACK}"\nport = {store_port}'
    with ExitStack() as stack:
        _, store_pipe = stack.enter_context(
            running_process(
                _serve_store, store_port, target_count, tuple(ports)
            ),
        )
        _receive(store_pipe)
        _, link_pipe = stack.enter_context(
            running_process(_serve_links, tuple(links))
        )
        _receive(link_pipe)
        nodes = []
        for index in range(INSTANCES):
            path = write_settings(
                directory / f'control-{index}.toml',
                f'i{index}',
                f'link_port = {links[index]}',
                f'port = {ports[index]}\nseeds = [{seeds}]{store}',
                ZONES[index % len(ZONES)],
            )
            nodes.append(
                stack.enter_context(running_process(_serve_control, path))
            )
        for _, pipe in nodes:
            _receive(pipe)
        time.sleep(_MEMBERSHIP_SETTLE_S)
        return _measure_steady_state(nodes, store_pipe, duration_s)


def _measure_steady_state(
    nodes: list[tuple[BaseProcess, Connection]],
    store_pipe: Connection,
    duration_s: float,
) -> ControlCost:
    before = [_query(pipe) for _, pipe in nodes]
    calls = _query(store_pipe)
    started_s = time.perf_counter()
    time.sleep(duration_s)
    after = [_query(pipe) for _, pipe in nodes]
    store_calls = _query(store_pipe) - calls
    elapsed_s = time.perf_counter() - started_s
    pairs = list(zip(before, after, strict=True))
    cpu_s = max(last['cpu_s'] - first['cpu_s'] for first, last in pairs)
    traffic_bytes = max(last['bytes'] - first['bytes'] for first, last in pairs)
    return ControlCost(
        cpu_s / elapsed_s * _PERCENT,
        max(last['rss'] for last in after) / _BYTES_PER_MB,
        traffic_bytes / elapsed_s,
        store_calls / elapsed_s,
        after[0]['members'],
    )


def _receive(pipe: Connection) -> Any:
    if not pipe.poll(_REPLY_TIMEOUT_S):
        raise TimeoutError(
            f'no message from a benchmark process in {_REPLY_TIMEOUT_S} s'
        )
    return pipe.recv()


def _query(pipe: Connection) -> Any:
    pipe.send(None)
    return _receive(pipe)


# Processes


def _serve_control(path: str, pipe: Connection) -> None:
    # The production process applies the gevent patches as well; without them
    # the measured costs would differ.
    monkey.patch_all()
    asyncio.run(_run_control(path, pipe))


async def _run_control(path: str, pipe: Connection) -> None:
    cfg = read_settings(path, InstanceSettings)
    process = _CountingControlProcess(path, cfg, EventLog('control'))
    await process.start()
    pipe.send(True)
    while True:
        await asyncio.sleep(0.1)
        if not pipe.poll(0):
            continue
        pipe.recv()
        times = os.times()
        pipe.send(
            {
                'cpu_s': times.user + times.system,
                'bytes': process.gossip_bytes,
                'rss': resident_bytes(),
                'members': len(process.engine.membership.members()),
            },
        )


def _serve_links(ports: tuple[int, ...], pipe: Connection) -> None:
    monkey.patch_all()
    for port in ports:
        ControlLinkServer(port, _ignore_message, _report_no_entries).start()
    pipe.send(True)
    while True:
        gevent.sleep(1)


def _report_no_entries() -> CounterReport:
    return CounterReport(0, {'entries_to_copy': 0})


def _ignore_message(message: object) -> None:
    """Discard a message of a control process."""


def _serve_store(
    port: int,
    target_count: int,
    control_ports: tuple[int, ...],
    pipe: Connection,
) -> None:
    asyncio.run(_run_store(port, target_count, control_ports, pipe))


async def _run_store(
    port: int,
    target_count: int,
    control_ports: tuple[int, ...],
    pipe: Connection,
) -> None:
    store = _CountingStore()
    server = StoreServer(store, port)
    await server.start()
    for index, control_port in enumerate(control_ports):
        instance = PlatformInstance(
            f'i{index}',
            ZONES[index % len(ZONES)],
            _LOOPBACK,
            0,
            control_port,
        )
        store.put_instance(instance, 0)
    await _submit(port, make_configuration(target_count, ZONES))
    pipe.send(True)
    while True:
        await asyncio.sleep(0.1)
        if pipe.poll(0):
            pipe.recv()
            pipe.send(store.calls)


class _CountingStore(MemoryStore):
    calls = 0

    def admit(self, kind: str, now_s: float) -> None:
        """Count a call, then check the rate limit."""
        self.calls += 1
        super().admit(kind, now_s)


async def _submit(port: int, cfg: Configuration) -> None:
    client = GrpcKeyValueClient(_LOOPBACK, port, '')
    await client.start()
    outcome = await submit(
        client, _REGION, cfg, 0, 'bench-1', 'bench', int(time.time())
    )
    if not isinstance(outcome, Accepted):
        raise RuntimeError(
            'store did not accept the configuration: '
            + msgspec.json.encode(str(outcome)).decode(),
        )
    await client.close()
