"""Decoded packet headers, and the interface of the packet format.

The platform's package implements `PacketCodec`.
"""

from typing import Final, Protocol

import msgspec

from siskinproxy.entry.records import Address

__all__ = (
    'ACK',
    'FIN',
    'RST',
    'SYN',
    'PacketCodec',
    'PacketHeader',
)

# Flags of a packet, combined by bitwise OR. The values are those of
# `PacketHeader.flags`; the packet format has its own.
SYN: Final = 1
ACK: Final = 2
FIN: Final = 4
RST: Final = 8


class PacketHeader(msgspec.Struct, frozen=True, gc=False):
    """Decoded header of a packet.

    Parameters
    ----------
    flow : bytes
        Flow key: source and destination address and port of the packet, 12
        bytes. Equal for all packets of one direction of a flow.
    destination : bytes
        Destination address and port, 6 bytes.
    flags : int
        Bitwise OR of `SYN`, `ACK`, `FIN` and `RST`.
    sequence : int
        Sequence number.
    copy : int
        For an opening packet, how many times the caller has sent it before;
        otherwise the acknowledgment number.
    token : int
        Token of the flow's target, as the sender last received it; `NO_TOKEN`
        before that.
    data_bytes : int
        Length of the payload.
    """

    flow: bytes
    destination: bytes
    flags: int
    sequence: int
    copy: int
    token: int
    data_bytes: int

    @property
    def caller(self) -> str:
        """Source address and port as ``host:port``, for logs."""
        host = '.'.join(map(str, self.flow[:4]))
        return f'{host}:{int.from_bytes(self.flow[4:6])}'


class PacketCodec(Protocol):
    """Packet format: decodes headers and builds datagrams."""

    def decode_header(self, packet: bytes) -> PacketHeader | None:
        """Return the header, None if the datagram is no complete packet."""

    def frame_for_target(
        self, target_id: int, token: int, packet: bytes
    ) -> bytes:
        """Return the packet with this token, framed for this target only."""

    def build_reset(self, head: PacketHeader) -> bytes:
        """Return the reset packet that ends the flow of a caller's packet."""

    def caller_address(self, head: PacketHeader) -> Address:
        """Return the address to which packets for the caller are sent."""
