"""Packets as callers and targets of the soak write them."""

from typing import Final

import msgspec

from siskinproxy.entry.packets import ACK, FIN, RST, SYN, PacketHead
from siskinproxy.platform.packets import HEAD, PlatformCodec

__all__ = ('Packet', 'build_packet', 'parse_packet')

_WIRE: Final = {SYN: 64, ACK: 2, FIN: 4, RST: 8}
_CODEC: Final = PlatformCodec(0)


class Packet(msgspec.Struct, frozen=True):
    """Header and data of a packet.

    Parameters
    ----------
    head : PacketHead
        Header.
    data : bytes
        Data.
    """

    head: PacketHead
    data: bytes


def build_packet(
    flow: bytes,
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    token: int = 0,
    data: bytes = b'',
) -> bytes:
    """Return a packet.

    Parameters
    ----------
    flow : bytes
        Source and destination address and port, 12 bytes.
    flags : int
        Flags of `siskinproxy.entry.packets`.
    sequence, acknowledged : int
        Numbers; the second counts copies of an opening packet.
    token : int
        Token that the sender received last.
    data : bytes
        Data.
    """
    wire = sum(bit for flag, bit in _WIRE.items() if flags & flag)
    return (
        HEAD.pack(
            len(data),
            flow[6:10],
            flow[4:6],
            flow[10:12],
            flow[:4],
            wire,
            sequence,
            acknowledged,
            1,
            token,
        )
        + data
    )


def parse_packet(packet: bytes) -> Packet | None:
    """Return the header and data of a packet, None if it is cut."""
    head = _CODEC.read_head(packet)
    return head and Packet(head, packet[len(packet) - head.data_bytes :])
