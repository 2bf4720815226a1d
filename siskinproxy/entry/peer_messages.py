"""Messages between instances and their encoding.

A frame on a TCP connection is a length of 4 bytes and a msgpack array.
"""

import struct
import zlib
from typing import Final

import msgspec

from siskinproxy.entry.store import ItemRemoved, StoredItem
from siskinproxy.errors import LinkFormatError

__all__ = (
    'LENGTH',
    'MAX_FRAME_BYTES',
    'ChangesAnswer',
    'ChangesQuery',
    'decode_answer',
    'decode_query',
    'encode_frame',
    'pack_items',
    'unpack_items',
)

LENGTH: Final = struct.Struct('>I')
#: More than all items of a region at the target size.
MAX_FRAME_BYTES: Final = 32 * 1024 * 1024


class ChangesQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks an instance for changes.

    Parameters
    ----------
    instance : str
        Name of the instance that asks.
    revision : int
        Revision that it knows; 0 for none.
    wait_ms : int
        How long the answer may wait for a change, in milliseconds.
    """

    instance: str
    revision: int
    wait_ms: int


class ChangesAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the store as the answering instance knows them.

    Parameters
    ----------
    packed : bytes
        Items, by `pack_items`.
    revision : int
        Revision up to which they are complete.
    is_complete : bool
        Whether other keys do not exist.
    age_ms : int or None
        Time since the store confirmed the revision, in milliseconds; None if
        it has never done so.
    may_have_lapsed : bool
        Whether removed entries may have expired while the store was away.
    """

    packed: bytes
    revision: int
    is_complete: bool
    age_ms: int | None
    may_have_lapsed: bool


#: Fastest level of zlib: small instances have a fraction of a core.
_COMPRESSION: Final = 1

_ITEMS: Final = msgspec.msgpack.Decoder(tuple[StoredItem | ItemRemoved, ...])
_QUERY: Final = msgspec.msgpack.Decoder(ChangesQuery)
_ANSWER: Final = msgspec.msgpack.Decoder(ChangesAnswer)


def pack_items(items: tuple[StoredItem | ItemRemoved, ...]) -> bytes:
    """Return items compressed; configurations shrink to a tenth."""
    return zlib.compress(msgspec.msgpack.encode(items), _COMPRESSION)


def unpack_items(packed: bytes) -> tuple[StoredItem | ItemRemoved, ...]:
    """Return packed items.

    Raises
    ------
    LinkFormatError
        The bytes hold no items.
    """
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(packed, MAX_FRAME_BYTES)
        return _ITEMS.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise LinkFormatError(str(exc)) from exc


def encode_frame(message: ChangesQuery | ChangesAnswer) -> bytes:
    """Return a message with its length."""
    body = msgspec.msgpack.encode(message)
    return LENGTH.pack(len(body)) + body


def decode_query(body: bytes) -> ChangesQuery:
    """Return the query of a frame.

    Raises
    ------
    LinkFormatError
        The frame holds no query.
    """
    try:
        return _QUERY.decode(body)
    except msgspec.MsgspecError as exc:
        raise LinkFormatError(str(exc)) from exc


def decode_answer(body: bytes) -> ChangesAnswer:
    """Return the answer of a frame.

    Raises
    ------
    LinkFormatError
        The frame holds no answer.
    """
    try:
        return _ANSWER.decode(body)
    except msgspec.MsgspecError as exc:
        raise LinkFormatError(str(exc)) from exc
