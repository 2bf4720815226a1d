"""Control processes of one zone set on the loopback interface, measured.

Each control process is the shipped one. A process of the benchmark serves
the packet side of all control links, so that the control processes take part
in the membership.
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
    'running',
    'write_settings',
)

INSTANCES: Final = 8
ZONES: Final = ('a', 'b', 'c')

_LOOPBACK: Final = '127.0.0.1'
_REGION: Final = 'alfold'
_STOP_LIMIT_S: Final = 5.0
_JOIN_S: Final = 4.0
_START_LIMIT_S: Final = 30.0
_BYTES_PER_MB: Final = 1_000_000
_PERCENT: Final = 100


class ControlCost(NamedTuple):
    """Mean and largest figures of the control processes.

    Parameters
    ----------
    cpu_percent : float
        Processor time of the busiest process in percent of a core.
    rss_mb : float
        Resident memory of the largest process in megabytes.
    bytes_per_s : float
        Gossip sent and received by the busiest process, with headers.
    store_calls_per_s : float
        Calls that reached the store from all processes.
    members : int
        Members that the first process knew at the end.
    """

    cpu_percent: float
    rss_mb: float
    bytes_per_s: float
    store_calls_per_s: float
    members: int


class _CountingControlProcess(ControlProcess):
    """Control process that counts the bytes of its datagrams."""

    gossip_bytes = 0

    def on_datagram(self, payload: bytes) -> None:
        """Count and handle a datagram."""
        self.gossip_bytes += len(payload) + UDP_OVERHEAD_BYTES
        super().on_datagram(payload)

    def _perform(self, step: ControlStep) -> None:
        for datagram in step.datagrams:
            self.gossip_bytes += len(datagram.payload) + UDP_OVERHEAD_BYTES
        super()._perform(step)


def free_port(kind: int) -> int:
    """Return a port of the loopback interface that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((_LOOPBACK, 0))
        return int(sock.getsockname()[1])


def write_settings(
    path: Path, name: str, packet: str, control: str, zone: str = 'a'
) -> str:
    """Write a settings file.

    Parameters
    ----------
    path : Path
        The file.
    name : str
        Name of the instance.
    packet, control : str
        Lines of the sections ``packet`` and ``control`` and what follows.
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
def running(
    target: Any, *args: Any
) -> Iterator[tuple[BaseProcess, Connection]]:
    """Run a function in a process of its own that gets a pipe last."""
    context = multiprocessing.get_context('spawn')
    ours, theirs = context.Pipe()
    process = context.Process(target=target, args=(*args, theirs), daemon=True)
    process.start()
    try:
        yield process, ours
    finally:
        _end(process)


def _end(process: BaseProcess) -> None:
    process.terminate()
    process.join(_STOP_LIMIT_S)
    if process.is_alive():
        process.kill()


def measure_control(
    directory: Path,
    target_count: int,
    duration_s: float,
) -> ControlCost:
    """Measure eight control processes in steady state.

    Parameters
    ----------
    directory : Path
        Where the settings files are written.
    target_count : int
        Targets of the configuration in the store.
    duration_s : float
        Length of the measurement in seconds.

    Returns
    -------
    ControlCost
        Figures over the measurement.
    """
    store_port = free_port(socket.SOCK_STREAM)
    ports = [free_port(socket.SOCK_DGRAM) for _ in range(INSTANCES)]
    links = [free_port(socket.SOCK_STREAM) for _ in range(INSTANCES)]
    seeds = ', '.join(f'"{_LOOPBACK}:{port}"' for port in ports[:3])
    store = f'\n[store]\naddress = "{_LOOPBACK}"\nport = {store_port}'
    with ExitStack() as stack:
        _, store_pipe = stack.enter_context(
            running(_serve_store, store_port, target_count, tuple(ports)),
        )
        _receive(store_pipe)
        _, link_pipe = stack.enter_context(running(_serve_links, tuple(links)))
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
            nodes.append(stack.enter_context(running(_serve_control, path)))
        for _, pipe in nodes:
            _receive(pipe)
        time.sleep(_JOIN_S)
        return _observe(nodes, store_pipe, duration_s)


def _observe(
    nodes: list[tuple[BaseProcess, Connection]],
    store_pipe: Connection,
    duration_s: float,
) -> ControlCost:
    before = [_ask(pipe) for _, pipe in nodes]
    calls = _ask(store_pipe)
    started_s = time.perf_counter()
    time.sleep(duration_s)
    after = [_ask(pipe) for _, pipe in nodes]
    store_calls = _ask(store_pipe) - calls
    elapsed_s = time.perf_counter() - started_s
    pairs = list(zip(before, after, strict=True))
    cpu_s = max(late['cpu_s'] - early['cpu_s'] for early, late in pairs)
    sent = max(late['bytes'] - early['bytes'] for early, late in pairs)
    return ControlCost(
        cpu_s / elapsed_s * _PERCENT,
        max(late['rss'] for late in after) / _BYTES_PER_MB,
        sent / elapsed_s,
        store_calls / elapsed_s,
        after[0]['members'],
    )


def _receive(pipe: Connection) -> Any:
    if not pipe.poll(_START_LIMIT_S):
        raise TimeoutError('a process of the benchmark did not start')
    return pipe.recv()


def _ask(pipe: Connection) -> Any:
    pipe.send(None)
    return _receive(pipe)


# Processes


def _serve_control(path: str, pipe: Connection) -> None:
    # The shipped process patches, too, so that its costs are the same.
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
        ControlLinkServer(port, _ignore, _report_nothing).start()
    pipe.send(True)
    while True:
        gevent.sleep(1)


def _report_nothing() -> CounterReport:
    return CounterReport(0, {'entries_to_copy': 0})


def _ignore(message: object) -> None:
    """Take a message of a control process."""


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
        """Count a call and check the rate limit."""
        self.calls += 1
        super().admit(kind, now_s)


async def _submit(port: int, cfg: Configuration) -> None:
    client = GrpcKeyValueClient(_LOOPBACK, port, '')
    await client.start()
    outcome = await submit(
        client, _REGION, cfg, 0, 'bench-1', 'bench', int(time.time())
    )
    if not isinstance(outcome, Accepted):
        raise RuntimeError(msgspec.json.encode(str(outcome)).decode())
    await client.close()
