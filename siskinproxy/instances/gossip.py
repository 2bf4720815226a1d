"""Messages between control processes and their encoding.

Every message starts with a header that announces the sender's record, the
generation of its configuration and the age of the latest store read that it
knows of. A datagram holds one message of at most 1,200 bytes, encoded as
MessagePack. Structs are encoded as arrays, so the order of their fields is
part of the format.
"""

from typing import Final, Literal

import msgspec

from siskinproxy.balancer.snapshot import Member
from siskinproxy.errors import GossipFormatError

__all__ = (
    'CONDITION_ALIVE',
    'CONDITION_DEAD',
    'CONDITION_SUSPECT',
    'HEAD_DIGEST_BYTES',
    'MAX_DATAGRAM_BYTES',
    'NEVER_READ',
    'UDP_OVERHEAD_BYTES',
    'Ack',
    'BlobBusy',
    'BlobChunk',
    'BlobRequest',
    'Gossip',
    'Header',
    'MembersPage',
    'MembersRequest',
    'Message',
    'Ping',
    'PingRequest',
    'Record',
    'Update',
    'chunk_bytes',
    'decode_message',
    'encode_message',
    'fit_updates',
    'member_of',
    'record_of',
)

#: With headers it fits into 1,280 bytes, the minimum MTU of IPv6, so no path
#: fragments it.
MAX_DATAGRAM_BYTES: Final = 1200

#: Leading bytes of a head's digest that each message carries; 64 bits are
#: enough to exclude an accidental match.
HEAD_DIGEST_BYTES: Final = 8

#: IPv4 and UDP headers, which count as control traffic of an instance.
UDP_OVERHEAD_BYTES: Final = 28

#: `Header.store_age_ms` of a sender that knows of no store read.
NEVER_READ: Final = -1

#: Conditions of a member in an `Update`; at the same incarnation the higher
#: number takes precedence.
CONDITION_ALIVE: Final = 0
CONDITION_SUSPECT: Final = 1
CONDITION_DEAD: Final = 2

#: Upper bound of the size of the array header, tags and sequence numbers
#: around the updates.
_ENVELOPE_BYTES: Final = 32

#: Upper bound of the size of the array header, tag, numbers and two SHA-256
#: digests around a chunk.
_CHUNK_ENVELOPE_BYTES: Final = 96


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Description of an instance that only the instance itself changes.

    Parameters
    ----------
    name : str
        Unique name of the instance.
    zone : str
        Availability zone.
    address : str
        IPv4 address of both processes.
    packet_port : int
        UDP port of the packet process.
    control_port : int
        UDP port of the control process.
    incarnation : int
        Version of the record. Only the instance itself raises it: at each
        start, at each change of its status and to refute a suspicion.
    status : {'joining', 'alive', 'leaving'}
        A ``joining`` instance has no configuration yet or no packet process;
        it is not a home of any shard, nor is a ``leaving`` one, which stops
        as planned.
    """

    name: str
    zone: str
    address: str
    packet_port: int
    control_port: int
    incarnation: int = 0
    status: Literal['joining', 'alive', 'leaving'] = 'joining'


class Update(msgspec.Struct, frozen=True, array_like=True):
    """State of a member that is passed on from member to member.

    Parameters
    ----------
    record : Record
        Latest known record of the member.
    condition : int
        ``CONDITION_ALIVE``, ``CONDITION_SUSPECT`` or ``CONDITION_DEAD``.
    age_ms : int
        Milliseconds since the member is suspected, so that all members
        declare it dead at about the same time; 0 in other conditions.
    """

    record: Record
    condition: int = CONDITION_ALIVE
    age_ms: int = 0


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Sender of a message and the configuration that it has in force.

    Parameters
    ----------
    record : Record
        The sender.
    generation : int
        Generation in force, 0 without a configuration.
    head_digest : bytes
        First ``HEAD_DIGEST_BYTES`` bytes of the digest of that head.
    store_age_ms : int
        Milliseconds since the latest store read that the sender made or
        that a peer reported to it, or ``NEVER_READ``.
    """

    record: Record
    generation: int = 0
    head_digest: bytes = b''
    store_age_ms: int = NEVER_READ


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages; `header` describes the sender."""

    header: Header


class Ping(_Message, frozen=True, array_like=True, tag='p'):
    """Probe that the receiver answers with an `Ack` of the same sequence."""

    sequence: int
    updates: tuple[Update, ...] = ()


class PingRequest(_Message, frozen=True, array_like=True, tag='r'):
    """Asks the receiver to probe `target` on behalf of the sender."""

    sequence: int
    target: Record
    updates: tuple[Update, ...] = ()


class Ack(_Message, frozen=True, array_like=True, tag='a'):
    """Answer to a probe; `subject` is the member that is alive."""

    sequence: int
    subject: str
    updates: tuple[Update, ...] = ()


class Gossip(_Message, frozen=True, array_like=True, tag='g'):
    """Updates that are sent without a probe and not acknowledged."""

    updates: tuple[Update, ...] = ()


class MembersPage(_Message, frozen=True, array_like=True, tag='l'):
    """Page of the member list.

    Parameters
    ----------
    updates : tuple of Update
        Members that are not dead, in the order of their names.
    page_end : str
        Name after which the next page starts; empty for the last page.
    """

    updates: tuple[Update, ...] = ()
    page_end: str = ''


class MembersRequest(_Message, frozen=True, array_like=True, tag='m'):
    """Asks for the members whose names follow `after`."""

    after: str = ''


class BlobRequest(_Message, frozen=True, array_like=True, tag='q'):
    """Asks for a chunk of the head or a section, named by its digest.

    Parameters
    ----------
    digest : bytes
        Digest of the whole blob, or its first bytes.
    offset : int
        Byte offset of the chunk in the encoded blob.
    base : bytes
        Digest of a head that the sender has, against which the answer may
        be compressed; empty for none.
    """

    digest: bytes
    offset: int
    base: bytes = b''


class BlobChunk(_Message, frozen=True, array_like=True, tag='c'):
    """Answer to a `BlobRequest`: chunk of the head or of a section.

    Parameters
    ----------
    digest : bytes
        Digest of the whole blob as in the request.
    offset : int
        Byte offset of the chunk in the encoded blob.
    size_bytes : int
        Size of the whole encoded blob.
    chunk : bytes
        Bytes of the encoded blob from `offset` on.
    base : bytes
        Digest of the head that the encoded blob is compressed against;
        empty if it is not compressed.
    """

    digest: bytes
    offset: int
    size_bytes: int
    chunk: bytes
    base: bytes = b''


class BlobBusy(_Message, frozen=True, array_like=True, tag='b'):
    """Answer to a `BlobRequest` that the sender cannot serve now.

    Parameters
    ----------
    digest : bytes
        Digest of the blob as in the request.
    missing : bool
        True if the sender lacks the blob, False if it has used up its byte
        budget.
    """

    digest: bytes
    missing: bool = False


Message = (
    Ping
    | PingRequest
    | Ack
    | Gossip
    | MembersPage
    | MembersRequest
    | BlobRequest
    | BlobChunk
    | BlobBusy
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as one datagram.

    Parameters
    ----------
    message : Message
        Any of the message types of this module.

    Returns
    -------
    bytes
        At most ``MAX_DATAGRAM_BYTES`` bytes.

    Raises
    ------
    GossipFormatError
        If the message is longer than ``MAX_DATAGRAM_BYTES``.
    """
    datagram = _ENCODER.encode(message)
    if len(datagram) > MAX_DATAGRAM_BYTES:
        kind = type(message).__name__
        raise GossipFormatError(
            f'message too long: kind={kind} bytes={len(datagram)} '
            f'limit={MAX_DATAGRAM_BYTES}',
        )
    return datagram


def decode_message(datagram: bytes) -> Message:
    """Decode a datagram.

    Parameters
    ----------
    datagram : bytes
        Payload of a UDP datagram.

    Returns
    -------
    Message
        The message.

    Raises
    ------
    GossipFormatError
        If the datagram is too long or does not encode a message of this
        module.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise GossipFormatError(
            f'datagram too long: bytes={len(datagram)} '
            f'limit={MAX_DATAGRAM_BYTES}',
        )
    try:
        return _DECODER.decode(datagram)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise GossipFormatError(f'not a message: reason="{exc}"') from exc


def fit_updates(
    header: Header,
    updates: tuple[Update, ...],
    extra_bytes: int = 0,
) -> tuple[Update, ...]:
    """Return the leading updates that fit into a datagram.

    Parameters
    ----------
    header : Header
        Header of the message.
    updates : tuple of Update
        Updates, the most urgent first.
    extra_bytes : int
        Upper bound of the encoded size of the other fields of the message.

    Returns
    -------
    tuple of Update
        The updates that fit.
    """
    room = MAX_DATAGRAM_BYTES - _ENVELOPE_BYTES - extra_bytes
    room -= len(_ENCODER.encode(header))
    chosen = []
    for update in updates:
        room -= len(_ENCODER.encode(update))
        if room < 0:
            break
        chosen.append(update)
    return tuple(chosen)


def chunk_bytes(header: Header) -> int:
    """Return the largest size of a chunk, in bytes, that fits a datagram."""
    header_bytes = len(_ENCODER.encode(header))
    return MAX_DATAGRAM_BYTES - _CHUNK_ENVELOPE_BYTES - header_bytes


def record_of(member: Member) -> Record:
    """Return the record of an instance that is about to join the region."""
    return Record(
        member.name,
        member.zone,
        member.address,
        member.packet_port,
        member.control_port,
        member.incarnation,
    )


def member_of(record: Record) -> Member:
    """Return the entry of a member in a routing snapshot."""
    return Member(
        record.name,
        record.zone,
        record.address,
        record.packet_port,
        record.control_port,
        record.incarnation,
        'leaving' if record.status == 'leaving' else 'alive',
    )
