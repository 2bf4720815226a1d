"""Evidence on unresponsive targets that the instances of a zone exchange.

All instances of an availability zone reach a target over the same path, so
evidence counts in the zone of its reporter only: a cut between two zones is
not taken for the failure of a target by instances that still reach it.

A datagram is `DATAGRAM_PREFIX` and an `EvidenceReport` as a msgpack array.
"""

import enum
from typing import Final

import msgspec

from siskinproxy.entry.value_bounds import (
    DECODING_ERRORS,
    BoundedInt,
    Name,
)

__all__ = (
    'DATAGRAM_PREFIX',
    'Evidence',
    'EvidenceReport',
    'Finding',
    'decode_evidence',
    'encode_evidence',
)

#: Byte that no msgpack value starts with. It tells the datagrams from load
#: reports, which are received at the same port.
DATAGRAM_PREFIX: Final = b'\xc1'


class Finding(enum.IntEnum):
    """What an instance has found out."""

    #: An opening or a check was not answered in time, or was refused.
    SILENT = 0
    #: A check was answered.
    CHECKED = 1
    #: A caller has acknowledged the answer to an opening.
    SERVED = 2
    #: The target's host has refused a connection, so its process has ended.
    #: Unlike the findings above, it counts in all zones.
    ENDED = 3
    #: The first answer after that; counts in all zones.
    RETURNED = 4


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """What one instance has found out about one target.

    Parameters
    ----------
    token : int
        Token of the target.
    started_unix_ms : int
        Start of the target, which tells it from its earlier incarnations.
    finding : Finding
        What was found out.
    age_ms : int
        Time since the answer, or since the unanswered opening or check was
        sent, in milliseconds.
    """

    token: BoundedInt
    started_unix_ms: BoundedInt
    finding: Finding
    age_ms: BoundedInt


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one instance.

    Parameters
    ----------
    instance, zone : str
        Name and availability zone of the instance.
    evidence : tuple of Evidence
        Findings since the previous report.
    """

    instance: Name
    zone: Name
    evidence: tuple[Evidence, ...]


_DECODER: Final = msgspec.msgpack.Decoder(EvidenceReport)


def encode_evidence(report: EvidenceReport) -> bytes:
    """Return the datagram of a report."""
    return DATAGRAM_PREFIX + msgspec.msgpack.encode(report)


def decode_evidence(datagram: bytes) -> EvidenceReport | None:
    """Return the report in a datagram, None if it can't be decoded."""
    try:
        return _DECODER.decode(datagram[len(DATAGRAM_PREFIX) :])
    except DECODING_ERRORS:
        return None
