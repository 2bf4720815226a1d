"""Stand-ins for the fabric and for callers."""

import random
import zlib
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket
from gevent.event import AsyncResult

from siskinproxy.entry.packets import ACK, FIN, RST, SYN
from siskinproxy.entry.records import Address
from siskinproxy.soak.wire import Packet, build_packet, parse_packet

__all__ = ('Caller', 'Outcome', 'SoakFabric')

#: Times of the copies of an opening packet, and of the end of an attempt.
_OPENINGS_S: Final = (0.0, 0.2, 0.6, 1.4)
_REPEAT_S: Final = 0.2
_PROBE_S: Final = 0.25
_MAX_MISSES: Final = 2


class SoakFabric:
    """Delivers callers' packets to the instances that say they are ready.

    Parameters
    ----------
    nodes : list of tuple
        Packet and readiness address of each instance.
    """

    def __init__(self, nodes: list[tuple[Address, Address]]) -> None:
        self._nodes = nodes
        self._misses = [0] * len(nodes)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Ask each instance whether it is ready, in greenlets."""
        for number, (_, address) in enumerate(self._nodes):
            self._greenlets.append(gevent.spawn(self._probe, number, address))

    def close(self) -> None:
        """Stop."""
        gevent.killall(self._greenlets)
        self._socket.close()

    def deliver(self, packet: bytes, flow: bytes) -> None:
        """Send a packet to the instance of its flow."""
        ready = [
            node
            for node, misses in zip(self._nodes, self._misses, strict=True)
            if misses < _MAX_MISSES
        ]
        nodes = ready if 2 * len(ready) >= len(self._nodes) else self._nodes
        address, _ = nodes[zlib.crc32(flow) % len(nodes)]
        self._socket.sendto(packet, address)

    def _probe(self, number: int, address: Address) -> None:
        while True:
            is_ready = False
            with gevent.Timeout(_PROBE_S, exception=False):
                is_ready = _is_ready(address)
            self._misses[number] = 0 if is_ready else self._misses[number] + 1
            gevent.sleep(_PROBE_S)


def _is_ready(address: Address) -> bool:
    try:
        with socket.create_connection(address) as conn:
            conn.sendall(b'GET / HTTP/1.1\r\n\r\n')
            return conn.recv(100).startswith(b'HTTP/1.1 200')
    except OSError:
        return False


class Outcome:
    """What became of one attempt.

    Attributes
    ----------
    is_open : bool
        Whether a target accepted the flow.
    answer : bytes or None
        Whole answer; None if there was none.
    was_reset : bool
        Whether the attempt ended by a reset.
    """

    def __init__(self) -> None:
        self.is_open = False
        self.answer: bytes | None = None
        self.was_reset = False


class Caller:
    """Address from which requests are sent.

    Parameters
    ----------
    host : str
        Loopback address of the caller.
    port : int
        Port at which it receives packets.
    deliver : callable
        Gets a packet and its flow.
    rng : random.Random
        Source of sequence numbers.
    """

    def __init__(
        self,
        host: str,
        port: int,
        deliver: Callable[[bytes, bytes], None],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._deliver = deliver
        self._rng = rng
        self._next_port = 1024
        self._flows: dict[bytes, AsyncResult] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop receiving."""
        self._greenlet.kill()
        self._socket.close()

    def ask(self, text: str, destination: bytes, deadline_s: float) -> Outcome:
        """Send a request on a flow of its own and return what became of it."""
        self._next_port += 1
        source = socket.inet_aton(self._host) + self._next_port.to_bytes(2)
        flow = source + destination
        outcome = Outcome()
        with gevent.Timeout(deadline_s, exception=False):
            self._attempt(flow, text, outcome)
        self._flows.pop(flow, None)
        return outcome

    def _attempt(self, flow: bytes, text: str, outcome: Outcome) -> None:
        number = self._rng.randrange(1, 2**31)
        opened = self._open(flow, number, outcome)
        if opened is None:
            return
        outcome.is_open = True
        token = opened.head.token
        while outcome.answer is None and not outcome.was_reset:
            self._flows[flow] = AsyncResult()
            request = build_packet(
                flow,
                ACK,
                number + 1,
                opened.head.sequence,
                token,
                text.encode(),
            )
            self._deliver(request, flow)
            answer = self._wait(flow, _REPEAT_S)
            if answer is None:
                continue
            if answer.head.flags & RST:
                outcome.was_reset = True
            elif answer.data:
                token = answer.head.token
                outcome.answer = answer.data
        closing = build_packet(
            flow, ACK | FIN, number + 2, opened.head.sequence, token
        )
        self._deliver(closing, flow)

    def _open(
        self, flow: bytes, number: int, outcome: Outcome
    ) -> Packet | None:
        for copy in range(len(_OPENINGS_S) - 1):
            self._flows[flow] = AsyncResult()
            self._deliver(build_packet(flow, SYN, number, copy), flow)
            wait_s = _OPENINGS_S[copy + 1] - _OPENINGS_S[copy]
            answer = self._wait(flow, wait_s)
            if answer is None:
                continue
            if answer.head.flags & RST:
                outcome.was_reset = True
                return None
            return answer
        return None

    def _wait(self, flow: bytes, timeout_s: float) -> Packet | None:
        try:
            return self._flows[flow].get(timeout=timeout_s)
        except gevent.Timeout:
            return None

    def _run(self) -> None:
        while True:
            packet = parse_packet(self._socket.recv(2048))
            if packet is None:
                continue
            flow = packet.head.flow[6:] + packet.head.flow[:6]
            waiting = self._flows.get(flow)
            if waiting is not None and not waiting.ready():
                waiting.set(packet)
