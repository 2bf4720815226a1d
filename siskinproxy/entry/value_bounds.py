"""Bounds on values that other programs send or store, and decoding errors.

Entries of the store, messages of other instances and answers of targets may
hold any value. The types below carry the bounds to the structs that describe
such values, so that msgspec checks them where a value is decoded and no later
computation meets a number that it can't represent.
"""

from typing import Annotated, Final

import msgspec

__all__ = (
    'DECODING_ERRORS',
    'MAX_INTEGER',
    'MAX_NAME_CHARACTERS',
    'MAX_PORT',
    'MAX_RATE_PER_S',
    'MAX_TIME_MS',
    'MAX_WAIT_MS',
    'BoundedInt',
    'Milliseconds',
    'Name',
    'Port',
    'RatePerS',
    'Seconds',
    'WaitMs',
    'WholeNumber',
)

#: Largest signed 64-bit integer: codecs and floats can hold every number up to
#: it.
MAX_INTEGER: Final = 2**63 - 1
MAX_PORT: Final = 65535
#: Largest number up to which a float holds every whole number.
_MAX_EXACT: Final = 2**53
#: Longest name, in characters; names are written to the log.
MAX_NAME_CHARACTERS: Final = 200
#: Longest time that an entry may state, in milliseconds: a day.
MAX_TIME_MS: Final = 86_400_000
_MAX_TIME_S: Final = MAX_TIME_MS / 1000
#: Longest time for which another instance may ask this one to wait, in
#: milliseconds.
MAX_WAIT_MS: Final = 30_000
#: Largest rate that an entry may state, in requests per second.
MAX_RATE_PER_S: Final = 1e6

#: Whole number of 0 or more that fits into 64 bits with a sign.
BoundedInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
#: Number of 0 or more that may be written as a fraction; rounded down when used.
WholeNumber = Annotated[float, msgspec.Meta(ge=0, le=_MAX_EXACT)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_TIME_S)]
WaitMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]
RatePerS = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]

#: Errors that decoding a value can raise, whatever the value is. msgspec raises
#: `RecursionError` for deep nesting, also in fields that no struct has.
DECODING_ERRORS: Final = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    OSError,
    RecursionError,
)
