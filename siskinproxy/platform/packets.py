"""Packet format of the platform.

Each UDP datagram holds one packet: a header of 31 bytes in network order, then
data. Datagrams to targets start with the target's id, 8 bytes. The functions
work at fixed offsets, since they run for each packet.
"""

import struct
from typing import Final

from siskinproxy.entry import packets
from siskinproxy.entry.records import Address

__all__ = ('HEADER', 'HEADER_BYTES', 'TARGET_ID_PREFIX', 'PlatformCodec')

#: Header of a packet: len, dst, sport, dport, src, flags, seq, ack, sum, echo.
#: ``len`` is the length of the data, ``sum`` a checksum, ``echo`` the token.
#: ``ack`` of a SYN is the number of times that it was sent before.
HEADER: Final = struct.Struct('>H4s2s2s4sBIIII')
HEADER_BYTES: Final = HEADER.size
# Indexes of the fields of `HEADER`. The checksum has none: it depends on a secret
# key, so it is neither checked nor changed.
_DATA_LENGTH: Final = 0
_DST: Final = 1
_SPORT: Final = 2
_DPORT: Final = 3
_SRC: Final = 4
_FLAGS_BYTE: Final = 5
_SEQ: Final = 6
_ACK_NUMBER: Final = 7
_ECHO: Final = 9
_TOKEN_OFFSET: Final = 27  # bytes
_TOKEN: Final = struct.Struct('>I')
#: 64-bit id of the target, in front of each packet that is sent to a target.
TARGET_ID_PREFIX: Final = struct.Struct('>Q')

# Bits of the flags byte.
_SYN: Final = 64
_ACK: Final = 2
_FIN: Final = 4
_RST: Final = 8
#: Flags of `siskinproxy.entry.packets`, by the value of the flags byte. Other
#: bits, such as BOUNCED, are ignored, since instances make no use of them.
_FLAGS_BY_BYTE: Final = bytes(
    bool(wire & _SYN) * packets.SYN
    + bool(wire & _ACK) * packets.ACK
    + bool(wire & _FIN) * packets.FIN
    + bool(wire & _RST) * packets.RST
    for wire in range(256)
)


class PlatformCodec:
    """Decodes the platform's packets, and builds those that instances send.

    Parameters
    ----------
    caller_port : int
        UDP port at which callers receive packets, the same for all.
    """

    def __init__(self, caller_port: int) -> None:
        self._caller_port = caller_port

    def decode_header(self, packet: bytes) -> packets.PacketHeader | None:
        """Return the header, or None if the length of the packet is wrong."""
        if len(packet) < HEADER_BYTES:
            return None
        fields = HEADER.unpack_from(packet)
        if len(packet) != HEADER_BYTES + fields[_DATA_LENGTH]:
            return None
        destination = fields[_DST] + fields[_DPORT]
        return packets.PacketHeader(
            flow=fields[_SRC] + fields[_SPORT] + destination,
            destination=destination,
            flags=_FLAGS_BY_BYTE[fields[_FLAGS_BYTE]],
            sequence=fields[_SEQ],
            copy=fields[_ACK_NUMBER],
            token=fields[_ECHO],
            data_bytes=fields[_DATA_LENGTH],
        )

    def frame_for_target(
        self, target_id: int, token: int, packet: bytes
    ) -> bytes:
        """Return the datagram that forwards a packet to a target.

        It starts with the target's id, since a target ignores datagrams with
        another id. The token of the packet is replaced by the given one; the
        checksum stays valid, since it does not cover the token.
        """
        return b''.join(
            (
                TARGET_ID_PREFIX.pack(target_id),
                packet[:_TOKEN_OFFSET],
                _TOKEN.pack(token),
                packet[HEADER_BYTES:],
            )
        )

    def build_reset(self, head: packets.PacketHeader) -> bytes:
        """Return the RST that ends the flow of a caller's packet.

        Callers accept an RST whose sequence number is near the last number
        that they acknowledged, and any number while the flow is not open yet.
        So the sequence number is the packet's acknowledgment number, or 0 for
        a SYN, whose field has another meaning (see `HEAD`).
        """
        sequence = 0 if head.flags & packets.SYN else head.copy
        return HEADER.pack(
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

    def caller_address(self, head: packets.PacketHeader) -> Address:
        """Return the address at which a packet's sender receives packets."""
        host = '.'.join(map(str, head.flow[:4]))
        return Address(host, self._caller_port)
