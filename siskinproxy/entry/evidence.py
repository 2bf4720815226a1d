"""Evidence on unresponsive targets that the instances of a zone exchange.

All instances of an availability zone reach a target over the same path, so
evidence counts in the zone of its reporter only: a cut between two zones is
not taken for the failure of a target by instances that still reach it. Findings
on the process of a target count in all zones.

A datagram is `DATAGRAM_PREFIX` and an `EvidenceReport` as a msgpack array.
"""

import enum
from typing import Final

import msgspec

from siskinproxy.addresses import is_host_address
from siskinproxy.entry.value_bounds import (
    DECODING_ERRORS,
    BoundedInt,
    Name,
    Port,
)

__all__ = (
    'DATAGRAM_PREFIX',
    'PROCESS_FINDINGS',
    'Evidence',
    'EvidenceReport',
    'Finding',
    'ReplyAddress',
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
    ENDED = 3
    #: The first answer after that, or after `LOST`.
    RETURNED = 4
    #: The host was silent, or a connection broke, while others answered: its
    #: process may have ended.
    LOST = 5
    #: The process is the one of before `LOST`.
    SAME = 6


#: Findings on the process of a target; they count in all zones.
PROCESS_FINDINGS: Final = frozenset(
    (Finding.ENDED, Finding.RETURNED, Finding.LOST, Finding.SAME)
)


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


class ReplyAddress(msgspec.Struct, frozen=True, array_like=True):
    """Address of an instance that asks others.

    Parameters
    ----------
    host : str
        IPv4 address.
    port : int
        UDP port.
    """

    host: Name
    port: Port


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one instance.

    Parameters
    ----------
    instance, zone : str
        Name and availability zone of the instance.
    evidence : tuple of Evidence
        Findings since the previous report.
    reply_to : ReplyAddress or None
        Where to send what is known of the processes of targets, if the
        instance asks for it.
    """

    instance: Name
    zone: Name
    evidence: tuple[Evidence, ...]
    reply_to: ReplyAddress | None = None


_DECODER: Final = msgspec.msgpack.Decoder(EvidenceReport)


def encode_evidence(report: EvidenceReport) -> bytes:
    """Return the datagram of a report."""
    return DATAGRAM_PREFIX + msgspec.msgpack.encode(report)


def decode_evidence(datagram: bytes) -> EvidenceReport | None:
    """Return the report in a datagram, None if it can't be decoded."""
    try:
        report = _DECODER.decode(datagram[len(DATAGRAM_PREFIX) :])
    except DECODING_ERRORS:
        return None
    if report.reply_to and not is_host_address(report.reply_to.host):
        return None
    return report
