"""Limits of the failure detection, its state of one target, order of checks."""

import enum
import zlib
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.evidence import Evidence, EvidenceReport, Finding

__all__ = (
    'MS_PER_S',
    'OWN_CHECK',
    'CheckOutcome',
    'CheckingOrder',
    'ResponsivenessLimits',
    'SuspicionChange',
    'TargetState',
    'build_report',
    'list_changes',
)

MS_PER_S: Final = 1000
#: Sender of evidence that is not known by name: the own checks. Together with
#: the own openings, they are two witnesses for this instance only.
OWN_CHECK: Final = 'own check'


class CheckOutcome(enum.Enum):
    """Outcome of a check of a target over TCP."""

    #: The target has sent a response, with any status.
    ANSWERED = 'answered'
    #: The target's host has refused the connection.
    REFUSED = 'refused'
    #: The connection was accepted, and broke before the end of the response.
    RESET = 'reset'
    #: The host has accepted the connection, but no response has arrived in
    #: time.
    TIMED_OUT = 'timed_out'
    #: The host has not accepted the connection in time.
    UNREACHABLE = 'unreachable'


class ResponsivenessLimits(msgspec.Struct, frozen=True):
    """Thresholds of the failure detection.

    Parameters
    ----------
    unanswered : int
        Consecutive unanswered openings of this instance, or instances with
        evidence against a target, from which on it is suspected. A single one
        may be due to a lost datagram or to a fault of the instance.
    suspected_zone_targets : int
        Suspected targets of a zone from which on the other targets of the zone
        are suspected or checked as well, provided that none of them has
        answered since the first was suspected.
    probe_interval_s : float
        Time between two openings that probe a suspected target if there are no
        checks, in seconds.
    doubt_s : float
        Time for which a target with one witness gets no new flows if there are
        others, in seconds.
    evidence_age_s : float
        Age from which on evidence against a target no longer counts, in
        seconds.
    check_interval_s, max_check_interval_s : float
        Shortest and longest time between two checks of a suspected target, in
        seconds; it doubles with each failed check.
    rank_delay_s : float
        Time for which an instance waits for the result of each instance before
        it in the order of checking, in seconds.
    relapse_s : float
        Time after the end of a suspicion in which new evidence raises no
        doubt, and after which the interval of the checks starts anew, in
        seconds.
    unheard_s : float
        Time without any evidence from which on an instance checks a suspected
        target itself, in seconds.
    """

    unanswered: int = 2
    suspected_zone_targets: int = 2
    probe_interval_s: float = 0.7
    doubt_s: float = 0.5
    evidence_age_s: float = 2.0
    check_interval_s: float = 0.7
    max_check_interval_s: float = 2.8
    rank_delay_s: float = 0.15
    relapse_s: float = 5.0
    unheard_s: float = 10.0


class SuspicionChange(msgspec.Struct, frozen=True):
    """A change that evidence from others or a check has caused.

    Parameters
    ----------
    target : str
        Name of the target.
    is_suspected : bool
        Whether the target is suspected from now on; else it is no longer.
    witnesses : tuple of str
        Instances with evidence against the target, with ``own check`` for a
        check of this one; the source of the answer if it is trusted again.
    """

    target: str
    is_suspected: bool
    witnesses: tuple[str, ...]


class TargetState:
    """Answers and suspicion of one target; a time of -1 means never.

    `unanswered` is the number of consecutive unanswered openings of this
    instance, `witnesses` the time at which each witness sent what was not
    answered, `failed_checks` the number of failed checks in a row.
    `answered_s` is the time of the last answer of any kind, `served_s` that of
    the last one to an opening of this instance, `heard_s` that of the last new
    data that a caller acknowledged on an open flow, and `heard_flow_s` the time
    since which that flow is open. `lost_s` is the start of the last check of this
    instance after which the process may have ended.
    """

    __slots__ = (
        'answered_s',
        'cleared_s',
        'doubted_until_s',
        'failed_checks',
        'heard_flow_s',
        'heard_s',
        'is_refused',
        'lost_s',
        'next_check_s',
        'next_probe_s',
        'refuted_s',
        'served_s',
        'started_unix_ms',
        'suspected_s',
        'target',
        'unanswered',
        'witnesses',
    )

    def __init__(self, target: KnownTarget) -> None:
        self.target = target
        self.started_unix_ms = target.record.started_unix_ms
        self.unanswered = 0
        self.answered_s: float = -1
        self.served_s: float = -1
        self.heard_s: float = -1
        self.heard_flow_s: float = -1
        self.lost_s: float = -1
        self.suspected_s: float = -1
        self.next_probe_s: float = 0
        self.next_check_s: float | None = None
        self.doubted_until_s: float = -1
        self.cleared_s: float = -1
        self.refuted_s: float = -1
        self.failed_checks = 0
        self.is_refused = False
        self.witnesses: dict[str, float] = {}

    @property
    def is_suspected(self) -> bool:
        """Whether the target is suspected."""
        return self.suspected_s >= 0

    @property
    def zone(self) -> str:
        """Availability zone of the target."""
        return self.target.record.zone

    def has_relapsed(self, now_s: float, relapse_s: float) -> bool:
        """Return whether a suspicion of the target has ended recently."""
        since_s = now_s - self.cleared_s
        return self.cleared_s >= 0 and since_s < relapse_s

    def drop_witnesses(self, oldest_s: float) -> None:
        """Drop the witnesses with evidence from before a time in seconds."""
        self.witnesses = {
            witness: sent_s
            for witness, sent_s in self.witnesses.items()
            if sent_s >= oldest_s
        }

    def clear(self, answered_s: float, now_s: float) -> bool:
        """Apply an answer; return whether the target was suspected."""
        if answered_s < self.answered_s:
            return False
        self.answered_s = answered_s
        self.witnesses = {
            witness: sent_s
            for witness, sent_s in self.witnesses.items()
            if sent_s > answered_s
        }
        if answered_s < self.suspected_s or self.witnesses:
            return False
        was_suspected = self.is_suspected
        self.unanswered = 0
        self.is_refused = False
        self.suspected_s = -1
        self.doubted_until_s = -1
        self.next_check_s = None
        if was_suspected:
            self.cleared_s = now_s
        return was_suspected


class CheckingOrder:
    """Order in which the instances of a zone check each target.

    Parameters
    ----------
    name : str
        Name of this instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._members: tuple[str, ...] = (name,)

    def __len__(self) -> int:
        """Return the number of instances, this one included."""
        return len(self._members)

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of the instances of the zone."""
        self._members = tuple(sorted({*names, self._name}))

    def rank(self, target: str) -> int:
        """Return the place of this instance in the order for a target."""
        own = _hash_of(self._name, target)
        return sum(
            (_hash_of(member, target), member) > (own, self._name)
            for member in self._members
        )

    def first(self, target: str, count: int) -> list[str]:
        """Return the instances that come first in the order for a target."""
        return sorted(
            self._members,
            key=lambda member: (_hash_of(member, target), member),
            reverse=True,
        )[:count]


def build_report(
    instance: str,
    zone: str,
    findings: Mapping[tuple[str, Finding], float],
    states: Mapping[str, TargetState],
    now_s: float,
) -> EvidenceReport | None:
    """Return a report of findings, given by target and kind with their times.

    Targets without a state are left out; None if no finding remains.
    """
    evidence = []
    for (name, finding), found_s in findings.items():
        state = states.get(name)
        if state is not None:
            age_ms = max(round(MS_PER_S * (now_s - found_s)), 0)
            token, started = state.target.token, state.started_unix_ms
            evidence.append(Evidence(token, started, finding, age_ms))
    if not evidence:
        return None
    return EvidenceReport(instance, zone, tuple(evidence))


def list_changes(
    states: Mapping[str, TargetState],
    names: Iterable[str],
    *,
    is_suspected: bool,
    source: str = '',
) -> tuple[SuspicionChange, ...]:
    """Return the changes of the targets with these names."""
    return tuple(
        SuspicionChange(
            name,
            is_suspected,
            tuple(sorted(states[name].witnesses))
            if is_suspected
            else (source or OWN_CHECK,),
        )
        for name in names
    )


def _hash_of(member: str, target: str) -> int:
    return zlib.crc32(f'{target}/{member}'.encode())
