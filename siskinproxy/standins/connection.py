"""One side of a TCP connection over segments, without sockets or clocks.

Only what the stand-ins need: handshake, ordered data with retransmission,
FIN and RST. No congestion control, window scaling or options.

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
#: Unacknowledged data; bounds what is lost when a socket buffer overflows.
_SEND_WINDOW_BYTES: Final = 32768
_RECEIVE_WINDOW_BYTES: Final = 65535
_FIRST_TIMEOUT_S: Final = 0.2
_LONGEST_TIMEOUT_S: Final = 1.6
#: Segments that one timeout sends again.
_BURST_BYTES: Final = 4 * _MAX_PAYLOAD_BYTES


def sequence_distance(later: int, earlier: int) -> int:
    """Return the signed distance of two sequence numbers modulo 2**32."""
    distance = (later - earlier) & _MASK_32
    if distance & _SIGN_BIT:
        return distance - _MASK_32 - 1
    return distance


class Connection:
    """State of one connection at one side.

    Parameters
    ----------
    local, remote : Endpoint
        Addresses and ports of the segments.
    initial_sequence : int
        Own initial sequence number.
    remote_sequence : int or None
        Sequence number of the received SYN; None if this side opens.

    Attributes
    ----------
    state : str
        ``syn-sent``, ``syn-received``, ``established`` or ``reset``.
    received : bytearray
        Data in order that the application has not consumed yet.
    remote_closed : bool
        True after all data and the FIN of the other side arrived.
    timer_s : float
        Time of the next retransmission; infinite if nothing is outstanding.
    retransmissions : int
        Timeouts since the last progress.
    """

    __slots__ = (
        '_closing',
        '_early',
        '_fin_acknowledged',
        '_fin_sent',
        '_outgoing',
        '_remote_fin',
        '_sent_bytes',
        '_timeout_s',
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
        self._timeout_s = _FIRST_TIMEOUT_S
        self._outgoing = bytearray()
        self._sent_bytes = 0
        self._closing = False
        self._fin_sent = False
        self._fin_acknowledged = False
        self._early: dict[int, bytes] = {}
        self._remote_fin: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether both sides closed and acknowledged, or one reset."""
        if self.state == 'reset':
            return True
        return self.remote_closed and self._fin_acknowledged

    def open(self, now_s: float) -> list[bytes]:
        """Return the SYN or the SYN with ACK and start its timer."""
        self._start_timer(now_s)
        return [self._opening_packet()]

    def send(self, payload: bytes, now_s: float) -> list[bytes]:
        """Queue data and return the packets that can be sent now."""
        self._outgoing += payload
        return self._flush(now_s)

    def close(self, now_s: float) -> list[bytes]:
        """Queue a FIN after the data and return what can be sent now."""
        self._closing = True
        return self._flush(now_s)

    def abort(self) -> list[bytes]:
        """Reset the connection and return the RST."""
        if self.state == 'reset':
            return []
        packet = self._packet(RST | ACK, self._unacknowledged())
        self.state = 'reset'
        self.timer_s = math.inf
        return [packet]

    def on_segment(self, segment: Segment, now_s: float) -> list[bytes]:
        """Process a segment of this connection.

        Parameters
        ----------
        segment : Segment
            Segment whose endpoints match the connection.
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
            return self._on_opening_answer(segment, now_s)
        if segment.flags & SYN:
            return self._on_repeated_syn()
        if self.state == 'syn-received':
            if self._acknowledges_syn(segment):
                self._establish(segment)
            else:
                return [self._reset_for(segment)]
        if self.state == 'reset':
            return []
        return self._on_established(segment, now_s)

    def on_timer(self, now_s: float) -> list[bytes]:
        """Return the packets whose retransmission is due."""
        if now_s < self.timer_s:
            return []
        self.retransmissions += 1
        self._timeout_s = min(self._timeout_s * 2, _LONGEST_TIMEOUT_S)
        self._start_timer(now_s)
        if self.state in {'syn-sent', 'syn-received'}:
            return [self._opening_packet()]
        return self._outstanding_packets()

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

    def _on_opening_answer(
        self,
        segment: Segment,
        now_s: float,
    ) -> list[bytes]:
        if not segment.flags & SYN or not self._acknowledges_syn(segment):
            return []
        self.receive_next = (segment.sequence + 1) & _MASK_32
        self._establish(segment)
        return self._flush(now_s) or [self._acknowledgment()]

    def _on_repeated_syn(self) -> list[bytes]:
        if self.state == 'syn-received':
            return [self._opening_packet()]
        # A challenge ACK (RFC 5961 section 4); it also repeats a lost ACK.
        return [self._acknowledgment()]

    def _on_established(self, segment: Segment, now_s: float) -> list[bytes]:
        acceptable = self._accept_acknowledgment(segment, now_s)
        if not acceptable:
            return [self._acknowledgment()]
        carries_data = bool(segment.payload) or bool(segment.flags & FIN)
        if carries_data:
            self._accept_payload(segment)
        packets = self._flush(now_s)
        if carries_data and not packets:
            packets = [self._acknowledgment()]
        return packets

    def _accept_acknowledgment(self, segment: Segment, now_s: float) -> bool:
        outstanding = self._sent_bytes + self._outstanding_fin()
        advance = sequence_distance(segment.acknowledgment, self.send_base)
        if advance > outstanding:
            return False
        if advance <= 0:
            return True
        if advance > self._sent_bytes:
            self._fin_acknowledged = True
        acknowledged = min(advance, self._sent_bytes)
        self._outgoing = self._outgoing[acknowledged:]
        self._sent_bytes -= acknowledged
        self.send_base = segment.acknowledgment
        self._on_progress()
        if advance < outstanding:
            self._start_timer(now_s)
        return True

    def _accept_payload(self, segment: Segment) -> None:
        distance = sequence_distance(segment.sequence, self.receive_next)
        if distance > _RECEIVE_WINDOW_BYTES:
            return
        if segment.flags & FIN:
            end = segment.sequence + len(segment.payload)
            self._remote_fin = end & _MASK_32
        if segment.payload and distance + len(segment.payload) > 0:
            self._early[segment.sequence] = segment.payload
        self._deliver()

    def _deliver(self) -> None:
        # Retransmitted segments may be cut at other offsets, so the parts
        # that were delivered already are removed here.
        for sequence in sorted(self._early, key=self._receive_distance):
            payload = self._early[sequence]
            overlap = -self._receive_distance(sequence)
            if overlap < 0:
                break
            self._early.pop(sequence)
            fresh = payload[overlap:]
            self.received += fresh
            self.receive_next = (self.receive_next + len(fresh)) & _MASK_32
        if self._remote_fin == self.receive_next and not self.remote_closed:
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
        self._on_progress()

    def _on_progress(self) -> None:
        self.retransmissions = 0
        self._timeout_s = _FIRST_TIMEOUT_S
        self.timer_s = math.inf

    def _start_timer(self, now_s: float) -> None:
        self.timer_s = now_s + self._timeout_s

    def _flush(self, now_s: float) -> list[bytes]:
        packets: list[bytes] = []
        if self.state != 'established':
            return packets
        limit = min(len(self._outgoing), _SEND_WINDOW_BYTES)
        while self._sent_bytes < limit:
            start = self._sent_bytes
            packets.append(self._data_packet(start))
            self._sent_bytes = min(
                start + _MAX_PAYLOAD_BYTES,
                len(self._outgoing),
            )
        is_last = self._sent_bytes == len(self._outgoing)
        if self._closing and not self._fin_sent and is_last:
            self._fin_sent = True
            packets.append(self._packet(FIN | ACK, self._sent_bytes))
        if packets and self.timer_s == math.inf:
            self._start_timer(now_s)
        return packets

    def _outstanding_packets(self) -> list[bytes]:
        limit = min(self._sent_bytes, _BURST_BYTES)
        offsets = range(0, limit, _MAX_PAYLOAD_BYTES)
        packets = [self._data_packet(offset) for offset in offsets]
        if self._outstanding_fin() and self._sent_bytes <= _BURST_BYTES:
            packets.append(self._packet(FIN | ACK, self._sent_bytes))
        return packets

    def _outstanding_fin(self) -> int:
        return int(self._fin_sent and not self._fin_acknowledged)

    def _unacknowledged(self) -> int:
        if self.state != 'established':
            return 1
        return self._sent_bytes + self._outstanding_fin()

    def _opening_packet(self) -> bytes:
        if self.state == 'syn-sent':
            return build_segment(
                self.local,
                self.remote,
                SYN,
                self.initial_sequence,
            )
        return self._packet(SYN | ACK, 0)

    def _acknowledgment(self) -> bytes:
        return self._packet(ACK, self._unacknowledged())

    def _data_packet(self, offset: int) -> bytes:
        payload = self._outgoing[offset : offset + _MAX_PAYLOAD_BYTES]
        return self._packet(ACK | PSH, offset, bytes(payload))

    def _reset_for(self, segment: Segment) -> bytes:
        return build_segment(
            self.local,
            self.remote,
            RST,
            segment.acknowledgment,
        )

    def _packet(self, flags: int, offset: int, payload: bytes = b'') -> bytes:
        return build_segment(
            self.local,
            self.remote,
            flags,
            self.send_base + offset,
            self.receive_next,
            payload,
        )
