"""Stand-ins for the network fabric and for callers."""

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

#: Times at which the SYN of a flow is sent, in seconds from the first one; at the
#: last time the request fails instead.
_SYN_TIMES_S: Final = (0.0, 0.2, 0.6, 1.4)
#: Time without an answer after which a request is retransmitted, in seconds.
_REQUEST_RETRANSMIT_S: Final = 0.2
#: Pause between readiness probes and timeout of each, in seconds, and number of
#: consecutive failures after which an instance gets no more packets.
_PROBE_INTERVAL_S: Final = 0.25
_PROBE_FAILURE_THRESHOLD: Final = 2


class SoakFabric:
    """Sends callers' packets to instances that pass their readiness probes.

    Each flow is assigned to an instance by a hash. If fewer than half of the
    instances are ready, packets are sent to all of them, ready or not.

    Parameters
    ----------
    instances : list of tuple
        Address for packets and address for readiness probes of each instance.
    """

    def __init__(self, instances: list[tuple[Address, Address]]) -> None:
        self._instances = instances
        self._failed_probes = [0] * len(instances)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the readiness probes, each in a greenlet."""
        for number, (_, address) in enumerate(self._instances):
            self._greenlets.append(gevent.spawn(self._probe, number, address))

    def close(self) -> None:
        """Stop the probes and close the socket."""
        gevent.killall(self._greenlets)
        self._socket.close()

    def deliver(self, packet: bytes, flow: bytes) -> None:
        """Send a packet to the instance that its flow is assigned to."""
        ready = [
            instance
            for instance, failures in zip(
                self._instances, self._failed_probes, strict=True
            )
            if failures < _PROBE_FAILURE_THRESHOLD
        ]
        instances = (
            ready if 2 * len(ready) >= len(self._instances) else self._instances
        )
        address, _ = instances[zlib.crc32(flow) % len(instances)]
        self._socket.sendto(packet, address)

    def _probe(self, number: int, address: Address) -> None:
        while True:
            is_ready = False
            with gevent.Timeout(_PROBE_INTERVAL_S, exception=False):
                is_ready = _is_ready(address)
            self._failed_probes[number] = (
                0 if is_ready else self._failed_probes[number] + 1
            )
            gevent.sleep(_PROBE_INTERVAL_S)


def _is_ready(address: Address) -> bool:
    try:
        with socket.create_connection(address) as conn:
            conn.sendall(b'GET / HTTP/1.1\r\n\r\n')
            return conn.recv(100).startswith(b'HTTP/1.1 200')
    except OSError:
        return False


class Outcome:
    """Result of one request.

    Attributes
    ----------
    is_open : bool
        Whether a target accepted the flow.
    answer : bytes or None
        Payload of the answer; None without an answer.
    was_reset : bool
        Whether the flow was reset.
    """

    def __init__(self) -> None:
        self.is_open = False
        self.answer: bytes | None = None
        self.was_reset = False


class Caller:
    """Sends requests from one address, each on a flow of its own.

    Parameters
    ----------
    host : str
        Loopback address of the caller.
    port : int
        UDP port on which it receives packets.
    deliver : callable
        Called with a packet and its flow, to send it.
    rng : random.Random
        Random source for sequence numbers.
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
        self._pending: dict[bytes, AsyncResult] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._greenlet = gevent.spawn(self._receive_packets)

    def close(self) -> None:
        """Stop receiving."""
        self._greenlet.kill()
        self._socket.close()

    def send_request(
        self, text: str, destination: bytes, deadline_s: float
    ) -> Outcome:
        """Send a request on a new flow and return its result.

        Parameters
        ----------
        text : str
            Payload of the request.
        destination : bytes
            Destination address and port, 6 bytes.
        deadline_s : float
            Time after which the caller gives up, in seconds.

        Returns
        -------
        Outcome
            Result.
        """
        self._next_port += 1
        source = socket.inet_aton(self._host) + self._next_port.to_bytes(2)
        flow = source + destination
        outcome = Outcome()
        with gevent.Timeout(deadline_s, exception=False):
            self._run_request(flow, text, outcome)
        self._pending.pop(flow, None)
        return outcome

    def _run_request(self, flow: bytes, text: str, outcome: Outcome) -> None:
        number = self._rng.randrange(1, 2**31)
        accepted = self._open(flow, number, outcome)
        if accepted is None:
            return
        outcome.is_open = True
        token = accepted.head.token
        while outcome.answer is None and not outcome.was_reset:
            self._pending[flow] = AsyncResult()
            request = build_packet(
                flow,
                ACK,
                number + 1,
                accepted.head.sequence,
                token,
                text.encode(),
            )
            self._deliver(request, flow)
            answer = self._wait_for_packet(flow, _REQUEST_RETRANSMIT_S)
            if answer is None:
                continue
            if answer.head.flags & RST:
                outcome.was_reset = True
            elif answer.data:
                token = answer.head.token
                outcome.answer = answer.data
        fin_packet = build_packet(
            flow, ACK | FIN, number + 2, accepted.head.sequence, token
        )
        self._deliver(fin_packet, flow)

    def _open(
        self, flow: bytes, number: int, outcome: Outcome
    ) -> Packet | None:
        for copy in range(len(_SYN_TIMES_S) - 1):
            self._pending[flow] = AsyncResult()
            self._deliver(build_packet(flow, SYN, number, copy), flow)
            wait_s = _SYN_TIMES_S[copy + 1] - _SYN_TIMES_S[copy]
            answer = self._wait_for_packet(flow, wait_s)
            if answer is None:
                continue
            if answer.head.flags & RST:
                outcome.was_reset = True
                return None
            return answer
        return None

    def _wait_for_packet(self, flow: bytes, timeout_s: float) -> Packet | None:
        try:
            return self._pending[flow].get(timeout=timeout_s)
        except gevent.Timeout:
            return None

    def _receive_packets(self) -> None:
        while True:
            packet = parse_packet(self._socket.recv(2048))
            if packet is None:
                continue
            flow = packet.head.flow[6:] + packet.head.flow[:6]
            pending = self._pending.get(flow)
            if pending is not None and not pending.ready():
                pending.set(packet)
