"""Packet format of the platform.

A datagram holds one packet: a head of 31 bytes in network order, then data.
Offsets are read in place, since each packet passes through here.
"""

import struct
from typing import Final

from siskinproxy.entry import packets
from siskinproxy.entry.records import Address

__all__ = ('FRAME', 'HEAD', 'HEAD_BYTES', 'PlatformCodec')

#: len, dst, sport, dport, src, flags, seq, ack, sum, echo.
HEAD: Final = struct.Struct('>H4s2s2s4sBIIII')
HEAD_BYTES: Final = HEAD.size
# Positions of the fields; the sum is keyed, so it is passed on unread.
_LEN: Final = 0
_DST: Final = 1
_SPORT: Final = 2
_DPORT: Final = 3
_SRC: Final = 4
_WIRE_FLAGS: Final = 5
_SEQ: Final = 6
_ACK_NUMBER: Final = 7
_ECHO: Final = 9
_TOKEN_OFFSET: Final = 27
_TOKEN: Final = struct.Struct('>I')
FRAME: Final = struct.Struct('>Q')

_SYN: Final = 64
_ACK: Final = 2
_FIN: Final = 4
_RST: Final = 8
#: Product's flags by the flags byte; BOUNCED carries nothing for the product.
_FLAGS: Final = bytes(
    bool(wire & _SYN) * packets.SYN
    + bool(wire & _ACK) * packets.ACK
    + bool(wire & _FIN) * packets.FIN
    + bool(wire & _RST) * packets.RST
    for wire in range(256)
)


class PlatformCodec:
    """Codec of the platform's packets.

    Parameters
    ----------
    caller_port : int
        Port at which every caller's address receives packets.
    """

    def __init__(self, caller_port: int) -> None:
        self._caller_port = caller_port

    def read_head(self, packet: bytes) -> packets.PacketHead | None:
        """Return the header, None if the datagram holds no whole packet."""
        if len(packet) < HEAD_BYTES:
            return None
        fields = HEAD.unpack_from(packet)
        if len(packet) != HEAD_BYTES + fields[_LEN]:
            return None
        virtual = fields[_DST] + fields[_DPORT]
        return packets.PacketHead(
            flow=fields[_SRC] + fields[_SPORT] + virtual,
            destination=virtual,
            flags=_FLAGS[fields[_WIRE_FLAGS]],
            sequence=fields[_SEQ],
            copy=fields[_ACK_NUMBER],
            token=fields[_ECHO],
            data_bytes=fields[_LEN],
        )

    def frame_for_target(
        self, target_id: int, token: int, packet: bytes
    ) -> bytes:
        """Return the datagram that takes a packet to one target only.

        The sum of a packet does not cover the token.
        """
        return b''.join(
            (
                FRAME.pack(target_id),
                packet[:_TOKEN_OFFSET],
                _TOKEN.pack(token),
                packet[HEAD_BYTES:],
            )
        )

    def build_reset(self, head: packets.PacketHead) -> bytes:
        """Return the reset that ends the flow of a caller's packet.

        Callers accept a reset whose sequence number is near the last number
        that they acknowledged; any number ends a flow that is not open.
        """
        sequence = 0 if head.flags & packets.SYN else head.copy
        return HEAD.pack(
            0,
            head.flow[:4],
            head.flow[10:12],
            head.flow[4:6],
            head.flow[6:10],
            _RST,
            sequence,
            0,
            0,
            0,
        )

    def caller_address(self, head: packets.PacketHead) -> Address:
        """Return where packets for the caller are sent."""
        host = '.'.join(map(str, head.flow[:4]))
        return Address(host, self._caller_port)
