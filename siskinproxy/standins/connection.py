"""One endpoint of a TCP connection, without sockets or clocks.

A subset of TCP that is enough for simulated clients and servers: handshake,
ordered data with retransmission, FIN and RST. There is no congestion control,
no window scaling and no TCP option.

References
----------
RFC 9293 (TCP), RFC 5961 (acceptance of RST and challenge ACK).
"""

import math
from typing import Final, Literal

from siskinproxy.fabric.segments import (
    ACK,
    FIN,
    PSH,
    RST,
    SYN,
    Endpoint,
    Segment,
    build_segment,
)

__all__ = ('Connection', 'sequence_distance')

State = Literal['syn-sent', 'syn-received', 'established', 'reset']

_MASK_32: Final = 0xFFFFFFFF
_SIGN_BIT: Final = 0x80000000
_MAX_PAYLOAD_BYTES: Final = 1200
#: Maximum of unacknowledged data; limits how much is lost when a socket
#: buffer overflows.
_SEND_WINDOW_BYTES: Final = 32768
_RECEIVE_WINDOW_BYTES: Final = 65535
#: The retransmission timeout doubles from the initial to the maximum value.
_INITIAL_RETRANSMISSION_TIMEOUT_S: Final = 0.2
_MAX_RETRANSMISSION_TIMEOUT_S: Final = 1.6
#: Maximum of data that one timeout retransmits.
_MAX_RETRANSMITTED_BYTES: Final = 4 * _MAX_PAYLOAD_BYTES


def sequence_distance(later: int, earlier: int) -> int:
    """Return ``later - earlier`` modulo 2**32 as a signed number."""
    distance = (later - earlier) & _MASK_32
    if distance & _SIGN_BIT:
        return distance - _MASK_32 - 1
    return distance


class Connection:
    """State of one endpoint of a TCP connection.

    Methods return the packets to send; times are in seconds.

    Parameters
    ----------
    local, remote : Endpoint
        Address and port of this endpoint and of the other one.
    initial_sequence : int
        Own initial sequence number.
    remote_sequence : int or None
        Sequence number of the received SYN; None if this endpoint opens the
        connection.

    Attributes
    ----------
    state : str
        ``syn-sent``, ``syn-received``, ``established`` or ``reset``; a
        connection that both endpoints closed stays ``established``.
    received : bytearray
        Data in order that the application has not consumed yet.
    receive_next : int
        Next sequence number expected (RCV.NXT in RFC 9293).
    send_base : int
        Oldest unacknowledged sequence number (SND.UNA in RFC 9293).
    remote_closed : bool
        True after all data and the FIN of the other endpoint arrived.
    timer_s : float
        Time of the next retransmission; infinite if nothing is unacknowledged.
    retransmissions : int
        Number of timeouts since the last new acknowledgment.
    """

    __slots__ = (
        '_in_flight_bytes',
        '_is_closing',
        '_is_fin_acknowledged',
        '_is_fin_sent',
        '_out_of_order',
        '_remote_fin_sequence',
        '_retransmission_timeout_s',
        '_send_buffer',
        'initial_sequence',
        'local',
        'receive_next',
        'received',
        'remote',
        'remote_closed',
        'retransmissions',
        'send_base',
        'state',
        'timer_s',
    )

    def __init__(
        self,
        local: Endpoint,
        remote: Endpoint,
        initial_sequence: int,
        remote_sequence: int | None = None,
    ) -> None:
        self.local = local
        self.remote = remote
        self.initial_sequence = initial_sequence
        self.send_base = initial_sequence
        self.state: State = 'syn-sent'
        self.receive_next = 0
        if remote_sequence is not None:
            self.state = 'syn-received'
            self.receive_next = (remote_sequence + 1) & _MASK_32
        self.received = bytearray()
        self.remote_closed = False
        self.timer_s = math.inf
        self.retransmissions = 0
        self._retransmission_timeout_s = _INITIAL_RETRANSMISSION_TIMEOUT_S
        self._send_buffer = bytearray()
        self._in_flight_bytes = 0
        self._is_closing = False
        self._is_fin_sent = False
        self._is_fin_acknowledged = False
        self._out_of_order: dict[int, bytes] = {}
        self._remote_fin_sequence: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether both endpoints closed and acknowledged, or one reset."""
        if self.state == 'reset':
            return True
        return self.remote_closed and self._is_fin_acknowledged

    def open(self, now_s: float) -> list[bytes]:
        """Return the SYN or SYN-ACK and start its retransmission timer."""
        self._start_timer(now_s)
        return [self._handshake_packet()]

    def send(self, payload: bytes, now_s: float) -> list[bytes]:
        """Queue data and return the packets that the send window allows."""
        self._send_buffer += payload
        return self._flush(now_s)

    def close(self, now_s: float) -> list[bytes]:
        """Queue a FIN after the data and return what the window allows."""
        self._is_closing = True
        return self._flush(now_s)

    def abort(self) -> list[bytes]:
        """Reset the connection; return the RST, or nothing if it was reset."""
        if self.state == 'reset':
            return []
        packet = self._build_packet(RST | ACK, self._next_offset())
        self.state = 'reset'
        self.timer_s = math.inf
        return [packet]

    def on_segment(self, segment: Segment, now_s: float) -> list[bytes]:
        """Process a segment of this connection.

        Parameters
        ----------
        segment : Segment
            Segment whose source and destination match the connection.
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of bytes
            Packets to send.
        """
        if segment.flags & RST:
            return self._on_reset(segment)
        if self.state == 'syn-sent':
            return self._on_syn_ack(segment, now_s)
        if segment.flags & SYN:
            return self._on_repeated_syn()
        if self.state == 'syn-received':
            if self._acknowledges_syn(segment):
                self._establish(segment)
            else:
                return [self._rst_packet(segment)]
        if self.state == 'reset':
            return []
        return self._on_established(segment, now_s)

    def on_timer(self, now_s: float) -> list[bytes]:
        """Return the packets to retransmit if the timer has expired."""
        if now_s < self.timer_s:
            return []
        self.retransmissions += 1
        self._retransmission_timeout_s = min(
            self._retransmission_timeout_s * 2, _MAX_RETRANSMISSION_TIMEOUT_S
        )
        self._start_timer(now_s)
        if self.state in {'syn-sent', 'syn-received'}:
            return [self._handshake_packet()]
        return self._retransmitted_packets()

    def _on_reset(self, segment: Segment) -> list[bytes]:
        if self.state == 'syn-sent':
            accepted = self._acknowledges_syn(segment)
        else:
            distance = self._receive_distance(segment.sequence)
            accepted = 0 <= distance <= _RECEIVE_WINDOW_BYTES
        if accepted:
            self.state = 'reset'
            self.timer_s = math.inf
        return []

    def _on_syn_ack(
        self,
        segment: Segment,
        now_s: float,
    ) -> list[bytes]:
        if not segment.flags & SYN or not self._acknowledges_syn(segment):
            return []
        self.receive_next = (segment.sequence + 1) & _MASK_32
        self._establish(segment)
        return self._flush(now_s) or [self._ack_packet()]

    def _on_repeated_syn(self) -> list[bytes]:
        if self.state == 'syn-received':
            return [self._handshake_packet()]
        # A challenge ACK (RFC 5961 section 4); it also replaces a lost ACK of
        # the handshake.
        return [self._ack_packet()]

    def _on_established(self, segment: Segment, now_s: float) -> list[bytes]:
        acceptable = self._accept_acknowledgment(segment, now_s)
        if not acceptable:
            return [self._ack_packet()]
        carries_data = bool(segment.payload) or bool(segment.flags & FIN)
        if carries_data:
            self._accept_payload(segment)
        packets = self._flush(now_s)
        if carries_data and not packets:
            packets = [self._ack_packet()]
        return packets

    def _accept_acknowledgment(self, segment: Segment, now_s: float) -> bool:
        """Process an ACK; return False if it acknowledges unsent data."""
        outstanding = self._in_flight_bytes + self._in_flight_fin()
        advance = sequence_distance(segment.acknowledgment, self.send_base)
        if advance > outstanding:
            return False
        if advance <= 0:
            return True
        if advance > self._in_flight_bytes:
            self._is_fin_acknowledged = True
        acknowledged = min(advance, self._in_flight_bytes)
        self._send_buffer = self._send_buffer[acknowledged:]
        self._in_flight_bytes -= acknowledged
        self.send_base = segment.acknowledgment
        self._on_ack_progress()
        if advance < outstanding:
            self._start_timer(now_s)
        return True

    def _accept_payload(self, segment: Segment) -> None:
        distance = sequence_distance(segment.sequence, self.receive_next)
        if distance > _RECEIVE_WINDOW_BYTES:
            return
        if segment.flags & FIN:
            end = segment.sequence + len(segment.payload)
            self._remote_fin_sequence = end & _MASK_32
        if segment.payload and distance + len(segment.payload) > 0:
            self._out_of_order[segment.sequence] = segment.payload
        self._deliver()

    def _deliver(self) -> None:
        """Move the data that is in order now to ``received``."""
        # A retransmission may split the data at other offsets, so the part of
        # a segment that was delivered before is removed.
        for sequence in sorted(self._out_of_order, key=self._receive_distance):
            payload = self._out_of_order[sequence]
            overlap = -self._receive_distance(sequence)
            if overlap < 0:
                break
            self._out_of_order.pop(sequence)
            new_data = payload[overlap:]
            self.received += new_data
            self.receive_next = (self.receive_next + len(new_data)) & _MASK_32
        if (
            self._remote_fin_sequence == self.receive_next
            and not self.remote_closed
        ):
            self.remote_closed = True
            self.receive_next = (self.receive_next + 1) & _MASK_32

    def _receive_distance(self, sequence: int) -> int:
        return sequence_distance(sequence, self.receive_next)

    def _acknowledges_syn(self, segment: Segment) -> bool:
        expected = (self.initial_sequence + 1) & _MASK_32
        return bool(segment.flags & ACK) and segment.acknowledgment == expected

    def _establish(self, segment: Segment) -> None:
        self.state = 'established'
        self.send_base = segment.acknowledgment
        self._on_ack_progress()

    def _on_ack_progress(self) -> None:
        self.retransmissions = 0
        self._retransmission_timeout_s = _INITIAL_RETRANSMISSION_TIMEOUT_S
        self.timer_s = math.inf

    def _start_timer(self, now_s: float) -> None:
        self.timer_s = now_s + self._retransmission_timeout_s

    def _flush(self, now_s: float) -> list[bytes]:
        """Return new data and the FIN as far as the send window allows."""
        packets: list[bytes] = []
        if self.state != 'established':
            return packets
        limit = min(len(self._send_buffer), _SEND_WINDOW_BYTES)
        while self._in_flight_bytes < limit:
            start = self._in_flight_bytes
            packets.append(self._data_packet(start))
            self._in_flight_bytes = min(
                start + _MAX_PAYLOAD_BYTES,
                len(self._send_buffer),
            )
        is_last = self._in_flight_bytes == len(self._send_buffer)
        if self._is_closing and not self._is_fin_sent and is_last:
            self._is_fin_sent = True
            packets.append(self._build_packet(FIN | ACK, self._in_flight_bytes))
        if packets and self.timer_s == math.inf:
            self._start_timer(now_s)
        return packets

    def _retransmitted_packets(self) -> list[bytes]:
        """Return the oldest unacknowledged data, and the FIN if it fits."""
        limit = min(self._in_flight_bytes, _MAX_RETRANSMITTED_BYTES)
        offsets = range(0, limit, _MAX_PAYLOAD_BYTES)
        packets = [self._data_packet(offset) for offset in offsets]
        if (
            self._in_flight_fin()
            and self._in_flight_bytes <= _MAX_RETRANSMITTED_BYTES
        ):
            packets.append(self._build_packet(FIN | ACK, self._in_flight_bytes))
        return packets

    def _in_flight_fin(self) -> int:
        """Return 1 if an own FIN is unacknowledged, otherwise 0."""
        return int(self._is_fin_sent and not self._is_fin_acknowledged)

    def _next_offset(self) -> int:
        """Return the next sequence number to send, relative to send_base."""
        if self.state != 'established':
            # The SYN takes up one sequence number.
            return 1
        return self._in_flight_bytes + self._in_flight_fin()

    def _handshake_packet(self) -> bytes:
        """Return the SYN or SYN-ACK of this endpoint."""
        if self.state == 'syn-sent':
            return build_segment(
                self.local,
                self.remote,
                SYN,
                self.initial_sequence,
            )
        return self._build_packet(SYN | ACK, 0)

    def _ack_packet(self) -> bytes:
        return self._build_packet(ACK, self._next_offset())

    def _data_packet(self, offset: int) -> bytes:
        payload = self._send_buffer[offset : offset + _MAX_PAYLOAD_BYTES]
        return self._build_packet(ACK | PSH, offset, bytes(payload))

    def _rst_packet(self, segment: Segment) -> bytes:
        return build_segment(
            self.local,
            self.remote,
            RST,
            segment.acknowledgment,
        )

    def _build_packet(
        self, flags: int, offset: int, payload: bytes = b''
    ) -> bytes:
        return build_segment(
            self.local,
            self.remote,
            flags,
            self.send_base + offset,
            self.receive_next,
            payload,
        )
