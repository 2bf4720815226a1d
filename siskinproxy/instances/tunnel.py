"""Encoding of the datagrams between packet processes of different instances.

A datagram consists of a header of fixed size and a body. Depending on the
kind, the body is an IPv4 packet, the headers of one, flow entries, a warm-up
report or empty.
"""

import struct
from enum import IntEnum
from typing import Final, NamedTuple

import xxhash

from siskinproxy.errors import TunnelFormatError

__all__ = (
    'COPY_ENTRY_BYTES',
    'HEADER_BYTES',
    'NO_TARGET',
    'TUNNEL_VERSION',
    'CopyEntry',
    'DatagramKind',
    'TunnelHeader',
    'decode',
    'decode_entries',
    'encode',
    'encode_entries',
    'member_id',
)

#: First byte of each datagram. It differs from 0x45, the first byte of each
#: IPv4 packet from the fabric, which arrives at the same port.
TUNNEL_VERSION: Final = 0xA1

#: Target field of a datagram whose sender knows no target for the flow.
NO_TARGET: Final = bytes(6)

_HEADER = struct.Struct('!BBBBIQ6s')
_ENTRY = struct.Struct('!12s6sBB')

HEADER_BYTES: Final = _HEADER.size
COPY_ENTRY_BYTES: Final = _ENTRY.size


class DatagramKind(IntEnum):
    """Kind of a datagram, which determines its body."""

    #: A SYN for the owner of its shard.
    OPEN = 1
    #: A SYN and its selected target; the homes record it one after the other.
    REPLICATE = 2
    #: A segment from a caller for which the sender has no flow entry.
    RELAY = 3
    #: A segment from a target that the owner of the shard has to check.
    ANSWER = 4
    #: Headers of a segment that changes the state of a flow, for its homes.
    STATE_CHANGE = 5
    #: Flow entries for another home, see `encode_entries`.
    COPY = 6
    #: Empty body; shows that the sender is alive and reachable.
    HELLO = 7
    #: A SYN for which an earlier owner has to look up the flow entry.
    LOOKUP = 8
    #: The SYN of a `LOOKUP` for which the earlier owner has no live entry.
    LOOKUP_MISS = 9
    #: Warm-up state of targets of a shard, from its owner to its homes.
    WARM_UP = 10


class TunnelHeader(NamedTuple):
    """Header of a datagram.

    Parameters
    ----------
    kind : DatagramKind
        Kind of the datagram.
    flags : int
        In `DatagramKind.OPEN`, `DatagramKind.LOOKUP` and
        `DatagramKind.LOOKUP_MISS` the index of the ingress zone in the lower 7
        bits. The highest bit of `DatagramKind.OPEN` is set if the sender
        suspects that the owner failed. Otherwise 0.
    hop_count : int
        Number of instances that have passed the datagram on before the
        sender; 255 if a `DatagramKind.REPLICATE` is sent to each home directly.
    generation : int
        Configuration generation that the sender has in force.
    sender : int
        `member_id` of the sender.
    target : bytes
        IPv4 address and port of the flow's target, or `NO_TARGET`.
    """

    kind: int
    flags: int
    hop_count: int
    generation: int
    sender: int
    target: bytes


class CopyEntry(NamedTuple):
    """Flow entry as one home sends it to another.

    Parameters
    ----------
    flow_key : bytes
        The 12 bytes of the caller's and the listener's address and port.
    target : bytes
        IPv4 address and port of the target, 6 bytes.
    state : int
        Number of the state of the flow.
    """

    flow_key: bytes
    target: bytes
    state: int


def member_id(name: str) -> int:
    """Return the 64-bit hash of an instance name that headers carry."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode(header: TunnelHeader, body: bytes = b'') -> bytes:
    """Return the datagram of a header and a body."""
    return _HEADER.pack(TUNNEL_VERSION, *header) + body


def decode(datagram: bytes) -> tuple[TunnelHeader, bytes]:
    """Split a datagram into header and body.

    Raises
    ------
    TunnelFormatError
        If the datagram is shorter than a header or its version is not
        ``TUNNEL_VERSION``.
    """
    if len(datagram) < HEADER_BYTES or datagram[0] != TUNNEL_VERSION:
        raise TunnelFormatError(
            f'datagram too short or of another version: bytes={len(datagram)} '
            f'version={datagram[:1].hex()}',
        )
    fields = _HEADER.unpack_from(datagram)
    return TunnelHeader(*fields[1:]), datagram[HEADER_BYTES:]


def encode_entries(entries: list[CopyEntry]) -> bytes:
    """Return the body of a `DatagramKind.COPY` datagram."""
    return b''.join(
        _ENTRY.pack(entry.flow_key, entry.target, entry.state, 0)
        for entry in entries
    )


def decode_entries(body: bytes) -> list[CopyEntry]:
    """Return the entries of a `DatagramKind.COPY` datagram.

    Raises
    ------
    TunnelFormatError
        If the length of the body is no multiple of ``COPY_ENTRY_BYTES``.
    """
    if len(body) % COPY_ENTRY_BYTES:
        raise TunnelFormatError(
            f'incomplete flow entry: copy_bytes={len(body)} '
            f'entry_bytes={COPY_ENTRY_BYTES}',
        )
    return [CopyEntry(*fields[:3]) for fields in _ENTRY.iter_unpack(body)]
