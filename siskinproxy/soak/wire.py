"""Encoding and decoding of packets for the soak test's callers and targets."""

from typing import Final

import msgspec

from siskinproxy.entry.packets import ACK, FIN, RST, SYN, PacketHeader
from siskinproxy.platform.packets import HEADER, PlatformCodec

__all__ = ('Packet', 'build_packet', 'parse_packet')

_WIRE_FLAGS: Final = {SYN: 64, ACK: 2, FIN: 4, RST: 8}
_CODEC: Final = PlatformCodec(0)


class Packet(msgspec.Struct, frozen=True):
    """Decoded packet.

    Parameters
    ----------
    head : PacketHeader
        Header.
    data : bytes
        Payload.
    """

    head: PacketHeader
    data: bytes


def build_packet(
    flow: bytes,
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    token: int = 0,
    data: bytes = b'',
) -> bytes:
    """Encode a packet.

    Parameters
    ----------
    flow : bytes
        Source and destination address and port, 12 bytes.
    flags : int
        Sum of flags of `siskinproxy.entry.packets`.
    sequence, acknowledged : int
        Sequence number, and the number that the packet acknowledges. For a
        SYN, the second is the number of times it was sent before.
    token : int
        Token that the sender received last.
    data : bytes
        Payload.
    """
    wire_flags = sum(bit for flag, bit in _WIRE_FLAGS.items() if flags & flag)
    return (
        HEADER.pack(
            len(data),
            flow[6:10],
            flow[4:6],
            flow[10:12],
            flow[:4],
            wire_flags,
            sequence,
            acknowledged,
            1,
            token,
        )
        + data
    )


def parse_packet(packet: bytes) -> Packet | None:
    """Decode a packet; return None if its length is not as stated."""
    head = _CODEC.decode_header(packet)
    return head and Packet(head, packet[len(packet) - head.data_bytes :])
