"""Messages between simulated callers and targets.

A frame on the connection is a 4-byte length in network byte order, followed by
the message in MessagePack.
"""

import struct
from typing import Final, Literal, TypeVar

import msgspec

__all__ = ('Answer', 'Request', 'decode_frames', 'encode_frame')

_LENGTH_PREFIX: Final = struct.Struct('!I')
_Message = TypeVar('_Message', bound=msgspec.Struct)


class Request(msgspec.Struct, frozen=True):
    """Request of a caller to a target.

    Parameters
    ----------
    id : str
        Unique id of the request, or of the long flow.
    service : str
        Name of the service that has to answer.
    kind : {'request', 'stream'}
        ``request`` is executed once, then the connection is closed;
        ``stream`` requests one chunk of a long flow.
    work_ms : float
        Time that the execution occupies a slot of the target, in
        milliseconds.
    size_bytes : int
        Size of the body of the answer.
    chunk : int
        Number of the chunk within the long flow, from 0.
    """

    id: str
    service: str
    kind: Literal['request', 'stream'] = 'request'
    work_ms: float = 10
    size_bytes: int = 100
    chunk: int = 0


class Answer(msgspec.Struct, frozen=True):
    """Answer of a target; ``id``, ``service`` and ``chunk`` repeat the request.

    Parameters
    ----------
    id : str
        Id of the request.
    service : str
        Service that the target belongs to.
    target : str
        Name of the target.
    body : bytes
        Body of the size that was requested.
    chunk : int
        Number of the chunk.
    """

    id: str
    service: str
    target: str
    body: bytes
    chunk: int = 0


def encode_frame(message: msgspec.Struct) -> bytes:
    """Return the frame of a message."""
    encoded = msgspec.msgpack.encode(message)
    return _LENGTH_PREFIX.pack(len(encoded)) + encoded


def decode_frames(
    buffer: bytearray,
    kind: type[_Message],
) -> list[_Message]:
    """Remove all complete frames from a buffer and decode their messages.

    Parameters
    ----------
    buffer : bytearray
        Received data in order; an incomplete frame at the end stays.
    kind : type
        Message type to decode.

    Returns
    -------
    list
        Decoded messages in order.

    Raises
    ------
    msgspec.DecodeError
        If a frame is not valid MessagePack or holds another message type.
    """
    messages = []
    while len(buffer) >= _LENGTH_PREFIX.size:
        end = _LENGTH_PREFIX.size + _LENGTH_PREFIX.unpack_from(buffer)[0]
        if len(buffer) < end:
            break
        frame = bytes(buffer[_LENGTH_PREFIX.size : end])
        buffer[:end] = b''
        messages.append(msgspec.msgpack.decode(frame, type=kind))
    return messages
