"""Messages by which instances relay changes of the store, and their encoding.

A frame on a TCP connection is the length of the body, 4 bytes in network byte
order, and the body, a message as a msgpack array.
"""

import struct
import zlib
from typing import Final

import msgspec

from siskinproxy.entry.store import ItemRemoved, StoredItem
from siskinproxy.entry.value_bounds import (
    DECODING_ERRORS,
    BoundedInt,
    Name,
    WaitMs,
)
from siskinproxy.errors import LinkFormatError

__all__ = (
    'LENGTH_PREFIX',
    'MAX_FRAME_BYTES',
    'ChangesAnswer',
    'ChangesQuery',
    'decode_answer',
    'decode_query',
    'encode_frame',
    'pack_items',
    'unpack_items',
)

#: Length of the body of a frame, in bytes.
LENGTH_PREFIX: Final = struct.Struct('>I')
#: Largest body of a frame and largest size of unpacked items. All items of a
#: region at the largest supported size are smaller.
MAX_FRAME_BYTES: Final = 32 * 1024 * 1024


class ChangesQuery(msgspec.Struct, frozen=True, array_like=True):
    """Query for the changes of the store that an instance lacks.

    Parameters
    ----------
    instance : str
        Name of the instance that asks.
    revision : int
        Revision of the store that it knows; 0 if it knows none.
    wait_ms : int
        Longest time to wait for a change before answering, in milliseconds.
    epoch : int
        Epoch of the store to which the revision belongs; 0 if not stated.
    """

    instance: Name
    revision: BoundedInt
    wait_ms: WaitMs
    epoch: BoundedInt = 0


class ChangesAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a `ChangesQuery`, as far as the answering instance knows.

    Parameters
    ----------
    packed : bytes
        Items, encoded by `pack_items`.
    revision : int
        Revision of the store up to which no change is missing.
    is_complete : bool
        Whether these are all items, so that other keys do not exist.
    age_ms : int or None
        Time since the store confirmed the revision, in milliseconds; None if
        it has never done so.
    may_have_lapsed : bool
        Whether missing entries may only have expired because their owners
        could not renew them while the store was unavailable.
    epoch : int
        Epoch of the store to which the revision belongs; 0 if not stated.
    waited_ms : int or None
        Time from the query to this answer, in milliseconds. An answer that was
        held up on its way is thus not taken for newer than it is. None if not
        stated.
    """

    packed: bytes
    revision: BoundedInt
    is_complete: bool
    age_ms: BoundedInt | None
    may_have_lapsed: bool
    epoch: BoundedInt = 0
    waited_ms: BoundedInt | None = None


#: zlib level; the fastest, since small instances have a fraction of a core.
_COMPRESSION_LEVEL: Final = 1

#: Errors of decompressing and decoding.
_UNPACKING_ERRORS: Final = (zlib.error, *DECODING_ERRORS)

_ITEMS_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[StoredItem | ItemRemoved, ...]
)
_QUERY_DECODER: Final = msgspec.msgpack.Decoder(ChangesQuery)
_ANSWER_DECODER: Final = msgspec.msgpack.Decoder(ChangesAnswer)


def pack_items(items: tuple[StoredItem | ItemRemoved, ...]) -> bytes:
    """Return encoded, compressed items; configurations shrink to a tenth."""
    return zlib.compress(msgspec.msgpack.encode(items), _COMPRESSION_LEVEL)


def unpack_items(packed: bytes) -> tuple[StoredItem | ItemRemoved, ...]:
    """Return the items that `pack_items` has packed.

    Raises
    ------
    LinkFormatError
        The bytes cannot be decompressed or decoded, or the items are larger
        than `MAX_FRAME_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MAX_FRAME_BYTES)
        return _ITEMS_DECODER.decode(plain)
    except _UNPACKING_ERRORS as exc:
        raise LinkFormatError(str(exc)) from exc


def encode_frame(message: ChangesQuery | ChangesAnswer) -> bytes:
    """Return the frame of a message: the length and the encoded body."""
    body = msgspec.msgpack.encode(message)
    return LENGTH_PREFIX.pack(len(body)) + body


def decode_query(body: bytes) -> ChangesQuery:
    """Return the query in the body of a frame.

    Raises
    ------
    LinkFormatError
        The body is not an encoded `ChangesQuery`.
    """
    try:
        return _QUERY_DECODER.decode(body)
    except DECODING_ERRORS as exc:
        raise LinkFormatError(str(exc)) from exc


def decode_answer(body: bytes) -> ChangesAnswer:
    """Return the answer in the body of a frame.

    Raises
    ------
    LinkFormatError
        The body is not an encoded `ChangesAnswer`.
    """
    try:
        return _ANSWER_DECODER.decode(body)
    except DECODING_ERRORS as exc:
        raise LinkFormatError(str(exc)) from exc
