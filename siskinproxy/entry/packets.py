"""Packets as the entry process sees them."""

from typing import Final, Protocol

import msgspec

from siskinproxy.entry.records import Address

__all__ = (
    'ACK',
    'FIN',
    'RST',
    'SYN',
    'PacketCodec',
    'PacketHead',
)

# Flags of a packet; they combine.
SYN: Final = 1
ACK: Final = 2
FIN: Final = 4
RST: Final = 8


class PacketHead(msgspec.Struct, frozen=True, gc=False):
    """Decoded header of a packet.

    Parameters
    ----------
    flow : bytes
        Source and destination address and port of the packet, 12 bytes.
        Equal for all packets of one direction of a flow.
    destination : bytes
        Destination address and port, 6 bytes.
    flags : int
        Sum of `SYN`, `ACK`, `FIN` and `RST`.
    sequence : int
        Sequence number.
    copy : int
        For an opening packet, how many times the caller sent it before;
        otherwise the number that the packet acknowledges.
    token : int
        Token that the sender received last, `NO_TOKEN` at first.
    data_bytes : int
        Length of the data.
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
        """Address and port of the sender, for logs."""
        host = '.'.join(map(str, self.flow[:4]))
        return f'{host}:{int.from_bytes(self.flow[4:6])}'


class PacketCodec(Protocol):
    """Translates between datagrams and `PacketHead`."""

    def read_head(self, packet: bytes) -> PacketHead | None:
        """Return the header, None if the datagram holds no whole packet."""

    def frame_for_target(
        self, target_id: int, token: int, packet: bytes
    ) -> bytes:
        """Return the datagram that takes a packet to one target only."""

    def build_reset(self, head: PacketHead) -> bytes:
        """Return the reset that ends the flow of a caller's packet."""

    def caller_address(self, head: PacketHead) -> Address:
        """Return where packets for the caller are sent."""
