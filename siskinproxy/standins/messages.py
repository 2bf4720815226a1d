"""Messages between caller and target stand-ins.

Each message is msgpack with a 4-byte length in network order in front.
"""

import struct
from typing import Final, Literal, TypeVar

import msgspec

__all__ = ('Answer', 'Request', 'decode_frames', 'encode_frame')

_LENGTH: Final = struct.Struct('!I')
_Message = TypeVar('_Message', bound=msgspec.Struct)


class Request(msgspec.Struct, frozen=True):
    """What a caller asks a target to do.

    Parameters
    ----------
    id : str
        Unique id of the request, or of the long flow.
    service : str
        Service that the caller wants.
    kind : {'request', 'stream'}
        ``request`` is executed once and closes the connection; ``stream``
        asks for one chunk.
    work_ms : float
        Time that the execution takes a slot, in milliseconds.
    size_bytes : int
        Size of the body of the answer.
    chunk : int
        Number of the chunk of a stream.
    """

    id: str
    service: str
    kind: Literal['request', 'stream'] = 'request'
    work_ms: float = 10
    size_bytes: int = 100
    chunk: int = 0


class Answer(msgspec.Struct, frozen=True):
    """Answer of a target; fields as in `Request`."""

    id: str
    service: str
    target: str
    body: bytes
    chunk: int = 0


def encode_frame(message: msgspec.Struct) -> bytes:
    """Return a message with its length in front."""
    encoded = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(encoded)) + encoded


def decode_frames(
    buffer: bytearray,
    kind: type[_Message],
) -> list[_Message]:
    """Remove all complete messages from a buffer and decode them.

    Parameters
    ----------
    buffer : bytearray
        Received data in order; complete frames are removed.
    kind : type
        Type of the messages.

    Returns
    -------
    list
        The decoded messages.

    Raises
    ------
    msgspec.ValidationError
        If a frame holds another kind of message.
    """
    messages = []
    while len(buffer) >= _LENGTH.size:
        end = _LENGTH.size + _LENGTH.unpack_from(buffer)[0]
        if len(buffer) < end:
            break
        frame = bytes(buffer[_LENGTH.size : end])
        buffer[:end] = b''
        messages.append(msgspec.msgpack.decode(frame, type=kind))
    return messages
