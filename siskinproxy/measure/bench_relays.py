"""Receivers that the benchmark compares, each run in a separate process."""

import signal
import socket
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, Final

import gevent
from gevent import monkey
from gevent.hub import get_hub

from siskinproxy.balancer.packet_process import PacketProcess
from siskinproxy.balancer.settings import InstanceSettings, read_settings
from siskinproxy.logs import EventLog
from siskinproxy.measure.flow_samples import (
    SampleFlows,
    adopt_flows,
    make_configuration,
)

__all__ = ('resident_bytes', 'run_bare_loop', 'run_packet_process')

#: Event mask of libev for a readable socket.
_READ_EVENT: Final = 1
_MAX_DATAGRAM_BYTES: Final = 65535
_SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024
#: Datagrams handled before the loop yields to other greenlets.
_BURST_DATAGRAMS: Final = 128
_SNAPSHOT_TIMEOUT_S: Final = 20.0
#: Addresses and ports of a segment.
_FLOW_KEY: Final = slice(12, 24)


def resident_bytes(pid: int | str = 'self') -> int:
    """Return the resident memory of a process in bytes."""
    status = Path(f'/proc/{pid}/status').read_text()
    line = next(
        status_line
        for status_line in status.splitlines()
        if status_line.startswith('VmRSS')
    )
    return int(line.split()[1]) * 1024


def run_packet_process(
    settings: str,
    target_count: int,
    flow_count: int,
    pipe: Connection,
) -> None:
    """Run the packet process with flows that are already open.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    target_count : int
        Targets of the configuration that the control process sends.
    flow_count : int
        Flows that become open, with this instance as their home, after the
        first snapshot.
    pipe : Connection
        Receives the resident memory of one flow in bytes once the flows are
        open, and the counters after SIGTERM.
    """
    monkey.patch_all()
    cfg = read_settings(settings, InstanceSettings)
    process = PacketProcess(cfg, EventLog('packet'))
    process.start()
    stopped = _stop_on_sigterm()
    _wait_for(lambda: process.engine.state.generation > 0)
    before_bytes = resident_bytes()
    flows = SampleFlows(make_configuration(target_count))
    adopt_flows(process.engine, flows, flow_count)
    pipe.send((resident_bytes() - before_bytes) / flow_count)
    stopped.wait()
    pipe.send(process.engine.counters().as_dict())
    process.close()


def run_bare_loop(
    port: int,
    target_count: int,
    flow_count: int,
    pipe: Connection,
) -> None:
    """Forward datagrams by a lookup of the flow in a dictionary.

    This is the minimum of work for a forwarder in Python, the reference for
    the throughput of the packet process.

    Parameters
    ----------
    port : int
        UDP port to receive on.
    target_count : int
        Targets of the configuration.
    flow_count : int
        Flows in the dictionary.
    pipe : Connection
        Receives 0 when the loop is ready, and an empty dictionary after
        SIGTERM.
    """
    monkey.patch_all()
    cfg = make_configuration(target_count)
    flows = SampleFlows(cfg)
    addresses = [
        (target.address, service.listeners[0].target_port)
        for service in cfg.services
        for target in service.targets
    ]
    table: dict[bytes, Any] = {
        flows.entry(number).flow_key: addresses[number % target_count]
        for number in range(flow_count)
    }
    # The packet process uses a socket without gevent patches as well.
    plain_socket = monkey.get_original('socket', 'socket')
    sock = plain_socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
    sock.bind(('127.0.0.1', port))
    stopped = _stop_on_sigterm()
    gevent.spawn(_forward, sock, table, addresses)
    pipe.send(0)
    stopped.wait()
    pipe.send({})


def _forward(
    sock: socket.socket,
    table: dict[bytes, Any],
    addresses: list[Any],
) -> None:
    hub = get_hub()
    watcher = hub.loop.io(sock.fileno(), _READ_EVENT)
    while True:
        hub.wait(watcher)
        _forward_burst(sock, table, addresses)


def _forward_burst(
    sock: socket.socket,
    table: dict[bytes, Any],
    addresses: list[Any],
) -> None:
    recv, sendto = sock.recv, sock.sendto
    count = len(addresses)
    for _ in range(_BURST_DATAGRAMS):
        try:
            datagram = recv(_MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        key = datagram[_FLOW_KEY]
        address = table.get(key)
        if address is None:
            address = addresses[hash(key) % count]
            table[key] = address
        try:
            sendto(datagram, address)
        except OSError:
            # Drop the segment, as the packet process does; TCP retransmits it.
            address = None


def _stop_on_sigterm() -> gevent.event.Event:
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    return stopped


def _wait_for(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + _SNAPSHOT_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                'no snapshot from the control process '
                f'in {_SNAPSHOT_TIMEOUT_S} s',
            )
        gevent.sleep(0.02)
