"""Load generator of the benchmark.

Sends the segments of callers and targets to a receiver and counts the
datagrams that the receiver forwards.
"""

import os
import select
import socket
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from siskinproxy.fabric.segments import FLAGS_OFFSET, SYN
from siskinproxy.measure.flow_samples import (
    TARGET_PORT,
    SampleFlows,
    accept_syn,
    make_configuration,
    reset_of_syn,
)

__all__ = ('LoadGenerator', 'RoundResult', 'processor_time_s')

#: Maximum of datagrams in flight. A default socket buffer of 208 KiB holds
#: about 500 datagrams; half as many keep the receiver busy without loss.
WINDOW_DATAGRAMS: Final = 256

#: Datagrams sent by one system call. The kernel splits the buffer
#: (UDP_SEGMENT), so that the sender is much faster than the receiver.
BURST_DATAGRAMS: Final = 32

#: Open flows whose segments are sent; their state exceeds the processor's
#: caches.
SENT_FLOWS: Final = 60_000

#: Time from the acceptance of a new flow until it is reset.
FLOW_LIFETIME_S: Final = 0.5

#: Maximum of datagrams in one round.
MAX_ROUND_DATAGRAMS: Final = 3_000_000

#: Socket option of Linux that the socket module lacks.
_UDP_SEGMENT: Final = 103
#: Without a datagram for this long, all datagrams in flight count as lost.
_LOSS_TIMEOUT_S: Final = 0.05
_LOOPBACK: Final = '127.0.0.1'


@dataclass(frozen=True)
class RoundResult:
    """Result of one round.

    Parameters
    ----------
    duration_s : float
        Duration of the round in seconds.
    received : int
        Datagrams that the receiver forwarded.
    opened : int
        New flows whose SYN the receiver forwarded.
    lost : int
        Datagrams that the receiver did not forward in time.
    cpu_s : float
        Processor time of the receiver in seconds.
    """

    duration_s: float
    received: int
    opened: int
    lost: int
    cpu_s: float = 0.0


class LoadGenerator:
    """Sends segments of open flows and opens new flows at a fixed rate.

    Parameters
    ----------
    target_count : int
        Targets of the configuration.
    flow_count : int
        Flows that are open at the receiver.
    new_flows_per_s : float
        New flows per second.
    """

    def __init__(
        self,
        target_count: int,
        flow_count: int,
        new_flows_per_s: float,
    ) -> None:
        cfg = make_configuration(target_count)
        self._rate_per_s = new_flows_per_s
        self._new_flows = SampleFlows(cfg, caller_net=2)
        self._next_flow = 0
        self._bursts = _make_bursts(SampleFlows(cfg), flow_count)
        self._sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self._sink.bind(('0.0.0.0', TARGET_PORT))
        self._sink.setblocking(False)
        self._closing: deque[tuple[float, bytes]] = deque()
        self._opening: dict[bytes, bytes] = {}
        self._outstanding = 0
        self._opened = 0
        self._lost = 0

    def run_round(self, port: int, pid: int, duration_s: float) -> RoundResult:
        """Send load to a receiver for one round.

        Parameters
        ----------
        port : int
            UDP port of the receiver.
        pid : int
            Process id of the receiver.
        duration_s : float
            Duration of the round in seconds.

        Returns
        -------
        RoundResult
            Counts and processor time of the round.
        """
        self._outstanding = 0
        self._opened = 0
        self._lost = 0
        received = 0
        sent = 0
        single, bulk = _connect(port), _connect(port)
        # Each segment has 40 bytes of headers and the payload.
        segment_bytes = len(self._bursts[0]) // BURST_DATAGRAMS
        bulk.setsockopt(socket.IPPROTO_UDP, _UDP_SEGMENT, segment_bytes)
        self._drain(single)
        cpu_s = processor_time_s(pid)
        started_s = time.perf_counter()
        now_s = started_s
        next_open_s = started_s
        while now_s < started_s + duration_s and sent < MAX_ROUND_DATAGRAMS:
            bulk.send(
                self._bursts[(sent // BURST_DATAGRAMS) % len(self._bursts)]
            )
            sent += BURST_DATAGRAMS
            self._outstanding += BURST_DATAGRAMS
            while next_open_s <= now_s:
                next_open_s += 1 / self._rate_per_s
                self._open_flow(single)
            self._close_flows(single, now_s)
            received += self._receive(single)
            now_s = time.perf_counter()
        elapsed_s = time.perf_counter() - started_s
        result = RoundResult(
            elapsed_s,
            received,
            self._opened,
            self._lost,
            processor_time_s(pid) - cpu_s,
        )
        self._finish(single)
        single.close()
        bulk.close()
        return result

    def close(self) -> None:
        """Close the receiving socket."""
        self._sink.close()

    def _open_flow(self, sock: socket.socket) -> None:
        syn = self._new_flows.request(self._next_flow, SYN)
        self._next_flow += 1
        # The caller's address and port also identify the forwarded SYN, whose
        # destination can be that of a target.
        self._opening[syn[12:16] + syn[20:22]] = syn
        sock.send(syn)
        self._outstanding += 1

    def _close_flows(self, sock: socket.socket, now_s: float) -> None:
        while self._closing and self._closing[0][0] <= now_s:
            sock.send(self._closing.popleft()[1])
            self._outstanding += 1

    def _receive(self, sock: socket.socket) -> int:
        received = 0
        recv = self._sink.recv
        while self._outstanding > WINDOW_DATAGRAMS - BURST_DATAGRAMS:
            try:
                datagram = recv(2048)
            except BlockingIOError:
                if not select.select([self._sink], [], [], _LOSS_TIMEOUT_S)[0]:
                    self._lost += self._outstanding
                    self._outstanding = 0
                continue
            self._outstanding -= 1
            received += 1
            if datagram[FLAGS_OFFSET] == SYN:
                self._accept(sock, datagram)
        return received

    def _accept(self, sock: socket.socket, syn: bytes) -> None:
        self._opened += 1
        sock.send(accept_syn(syn))
        self._outstanding += 1
        caller = syn[12:16] + syn[20:22]
        original = self._opening.pop(caller, syn)
        due_s = time.perf_counter() + FLOW_LIFETIME_S
        self._closing.append((due_s, reset_of_syn(original)))

    def _finish(self, sock: socket.socket) -> None:
        """Reset the flows that the round opened.

        Each round then starts with the same open flows.
        """
        for _, reset in self._closing:
            sock.send(reset)
            self._drain(sock)
        self._closing.clear()
        self._opening.clear()
        time.sleep(_LOSS_TIMEOUT_S)
        self._drain(sock)

    def _drain(self, sock: socket.socket) -> None:
        while select.select([self._sink], [], [], 0.001)[0]:
            self._sink.recv(2048)


def processor_time_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def _connect(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.connect((_LOOPBACK, port))
    return sock


def _make_bursts(flows: SampleFlows, flow_count: int) -> list[bytes]:
    """Return bursts of segments, alternately from callers and from targets."""
    count = min(SENT_FLOWS, flow_count) // BURST_DATAGRAMS
    step = max(1, flow_count // (count * BURST_DATAGRAMS))
    bursts = []
    for index in range(count):
        make = flows.response if index % 2 else flows.request
        numbers = range(index * BURST_DATAGRAMS, (index + 1) * BURST_DATAGRAMS)
        bursts.append(
            b''.join(make(number * step + number % step) for number in numbers)
        )
    return bursts
