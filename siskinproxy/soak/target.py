"""Stand-in for a backend server, which counts how often each request runs."""

import random
from collections import Counter
from typing import Final

import gevent
from gevent import socket

from siskinproxy.entry.packets import ACK, FIN, RST, SYN
from siskinproxy.entry.records import Address
from siskinproxy.platform.packets import TARGET_ID_PREFIX
from siskinproxy.soak.wire import Packet, build_packet, parse_packet

__all__ = ('SoakTarget',)

_MAX_DATAGRAM_BYTES: Final = 2048


class SoakTarget:
    """Accepts flows, executes one request on each, answers it and sends FIN.

    It answers a packet of an unknown flow with RST, and sends the answer again
    if the caller retransmits the request.

    Parameters
    ----------
    target_id : int
        64-bit id; frames for other targets are ignored.
    service : str
        Name of the service.
    address : Address
        Address to listen on.
    caller_port : int
        UDP port on which all callers receive packets.
    rng : random.Random
        Random source for sequence numbers and execution times.

    Attributes
    ----------
    runs : Counter
        Number of executions of each request, by its text.
    misrouted_frames : int
        Number of frames received for other targets.
    """

    def __init__(
        self,
        target_id: int,
        service: str,
        address: Address,
        caller_port: int,
        rng: random.Random,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.address = address
        self.runs: Counter[str] = Counter()
        self.misrouted_frames = 0
        self._caller_port = caller_port
        self._rng = rng
        self._flows: dict[bytes, tuple[int, bool]] = {}
        self._answers: dict[bytes, bytes] = {}
        self._socket: socket.socket | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Receive packets in a greenlet."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self.address)
        self._greenlet = gevent.spawn(self._receive_packets)

    def close(self) -> None:
        """Stop receiving packets."""
        self._greenlet.kill()
        self._socket.close()

    def _receive_packets(self) -> None:
        while True:
            datagram = self._socket.recv(_MAX_DATAGRAM_BYTES)
            if TARGET_ID_PREFIX.unpack_from(datagram)[0] != self.target_id:
                self.misrouted_frames += 1
                continue
            packet = parse_packet(datagram[TARGET_ID_PREFIX.size :])
            if packet is not None:
                self._on_packet(packet)

    def _on_packet(self, packet: Packet) -> None:
        head = packet.head
        if head.flags & SYN:
            sequence, _ = self._flows.setdefault(
                head.flow, (self._rng.randrange(1, 2**31), False)
            )
            self._reply(packet, SYN | ACK, sequence)
            return
        flow_state = self._flows.get(head.flow)
        if flow_state is None:
            if not head.flags & (FIN | RST):
                self._reply(packet, RST)
            return
        sequence, has_run = flow_state
        # Except for a SYN, `copy` holds the acknowledged sequence number.
        if head.copy != sequence or not packet.data:
            return
        if has_run:
            answer = self._answers.get(head.flow)
            if answer is not None:
                self._reply(packet, ACK | FIN, sequence, answer)
            return
        self._flows[head.flow] = (sequence, True)
        gevent.spawn(self._execute, packet, sequence)

    def _execute(self, packet: Packet, sequence: int) -> None:
        text = packet.data.decode()
        self.runs[text] += 1
        gevent.sleep(self._rng.uniform(0.005, 0.03))
        answer = f'{text} by {self.service}'.encode()
        self._answers[packet.head.flow] = answer
        self._reply(packet, ACK | FIN, sequence, answer)

    def _reply(
        self, packet: Packet, flags: int, sequence: int = 0, data: bytes = b''
    ) -> None:
        head = packet.head
        answer = build_packet(
            head.flow[6:] + head.flow[:6],
            flags,
            sequence,
            head.sequence,
            head.token,
            data,
        )
        host = socket.inet_ntoa(head.flow[:4])
        self._socket.sendto(answer, (host, self._caller_port))
