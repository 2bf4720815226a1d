"""Datagrams between the packet processes of different instances."""

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
    'Kind',
    'TunnelHeader',
    'decode',
    'decode_entries',
    'encode',
    'encode_entries',
    'member_id',
)

#: Differs from 0x45, with which each IPv4 packet of the fabric starts.
TUNNEL_VERSION: Final = 0xA1

#: Target field of a datagram whose sender has no entry for the flow.
NO_TARGET: Final = bytes(6)

_HEADER = struct.Struct('!BBBBIQ6s')
_ENTRY = struct.Struct('!12s6sBB')

HEADER_BYTES: Final = _HEADER.size
COPY_ENTRY_BYTES: Final = _ENTRY.size


class Kind(IntEnum):
    """Purpose of a datagram."""

    #: A SYN on its way to the owner of its shard.
    OPEN = 1
    #: A SYN whose target is chosen, on its way through the homes.
    REPLICATE = 2
    #: A segment of a flow for which the sender has no entry.
    RELAY = 3
    #: A segment from a target that the owner has to check.
    ANSWER = 4
    #: Header of a segment that changes the state of a flow.
    NOTICE = 5
    #: Flow entries for a new home.
    COPY = 6
    #: Nothing but the header; shows that the sender is reachable.
    HELLO = 7
    #: A SYN of which the owner asks an earlier owner.
    LOOKUP = 8
    #: A SYN of which the earlier owner has no entry.
    FRESH = 9
    #: Targets of a shard that warm up, for its homes.
    WARM_UP = 10


class TunnelHeader(NamedTuple):
    """Header of a datagram.

    Parameters
    ----------
    kind : Kind
        Purpose of the datagram.
    flags : int
        Index of the ingress zone in `Kind.OPEN`, otherwise 0.
    position : int
        Number of homes that the datagram has visited.
    generation : int
        Configuration generation that the sender has in force.
    sender : int
        `member_id` of the sender.
    target : bytes
        Address and port of the flow's target, or `NO_TARGET`.
    """

    kind: int
    flags: int
    position: int
    generation: int
    sender: int
    target: bytes


class CopyEntry(NamedTuple):
    """Flow entry as one home sends it to another."""

    flow_key: bytes
    target: bytes
    state: int


def member_id(name: str) -> int:
    """Return the 64-bit identifier of an instance name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode(header: TunnelHeader, body: bytes = b'') -> bytes:
    """Return the datagram of a header and a body."""
    return _HEADER.pack(TUNNEL_VERSION, *header) + body


def decode(datagram: bytes) -> tuple[TunnelHeader, bytes]:
    """Return header and body of a datagram.

    Raises
    ------
    TunnelFormatError
        If the datagram is too short or has another version.
    """
    if len(datagram) < HEADER_BYTES or datagram[0] != TUNNEL_VERSION:
        raise TunnelFormatError(f'length={len(datagram)}')
    fields = _HEADER.unpack_from(datagram)
    return TunnelHeader(*fields[1:]), datagram[HEADER_BYTES:]


def encode_entries(entries: list[CopyEntry]) -> bytes:
    """Return the body of a `Kind.COPY` datagram."""
    return b''.join(
        _ENTRY.pack(entry.flow_key, entry.target, entry.state, 0)
        for entry in entries
    )


def decode_entries(body: bytes) -> list[CopyEntry]:
    """Return the entries of a `Kind.COPY` datagram.

    Raises
    ------
    TunnelFormatError
        If the body does not hold whole entries.
    """
    if len(body) % COPY_ENTRY_BYTES:
        raise TunnelFormatError(f'copy_bytes={len(body)}')
    return [CopyEntry(*fields[:3]) for fields in _ENTRY.iter_unpack(body)]
