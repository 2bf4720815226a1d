"""Passive failure detection: which targets don't answer opening packets.

Answers of targets do not pass through the instances, so an opening counts as
answered when the caller's next packet carries the token of the target. The
store's list drops a failed target only after three missed heartbeats;
unanswered openings show the failure within a few tens of milliseconds.
"""

import msgspec

from siskinproxy.entry.directory import KnownTarget

__all__ = ('Responsiveness', 'ResponsivenessLimits')


class ResponsivenessLimits(msgspec.Struct, frozen=True):
    """Thresholds of the failure detection.

    Parameters
    ----------
    unanswered : int
        Consecutive unanswered openings from which on a target is suspected. A
        single one may be due to a lost datagram.
    suspected_zone_targets : int
        Suspected targets of a zone from which on the other targets of the zone
        are suspected as well, provided that none of them has answered since
        the first was suspected.
    probe_interval_s : float
        Time between two openings that probe a suspected target, in seconds.
    """

    unanswered: int = 2
    suspected_zone_targets: int = 2
    probe_interval_s: float = 0.7


class _TargetState:
    """Answers and suspicion of one target; a time of -1 means never.

    `unanswered` is the number of consecutive unanswered openings.
    `suspected_s` is the time since which the target is suspected, -1 if it is
    not.
    """

    __slots__ = (
        'answered_s',
        'next_probe_s',
        'suspected_s',
        'unanswered',
        'zone',
    )

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.unanswered = 0
        self.answered_s: float = -1
        self.suspected_s: float = -1
        self.next_probe_s: float = 0

    @property
    def is_suspected(self) -> bool:
        return self.suspected_s >= 0


class Responsiveness:
    """Set of the targets that are suspected of not answering.

    Parameters
    ----------
    limits : ResponsivenessLimits
        Thresholds of the failure detection.
    """

    def __init__(self, limits: ResponsivenessLimits | None = None) -> None:
        self._limits = limits or ResponsivenessLimits()
        self._records: dict[str, _TargetState] = {}

    def is_suspected(self, target: KnownTarget) -> bool:
        """Return whether the target is suspected of not answering."""
        record = self._records.get(target.name)
        return record is not None and record.is_suspected

    def has_answered_since(self, target: KnownTarget, sent_s: float) -> bool:
        """Return whether the target has answered any caller since a time.

        Parameters
        ----------
        target : KnownTarget
            Target.
        sent_s : float
            Start of the period, in seconds.

        Returns
        -------
        bool
            Whether an answer was seen at or after `sent_s`.
        """
        record = self._records.get(target.name)
        return record is not None and record.answered_s >= sent_s

    def may_probe(self, target: KnownTarget, now_s: float) -> bool:
        """Return whether a probe of a suspected target is due."""
        record = self._records.get(target.name)
        return record is not None and now_s >= record.next_probe_s

    def note_probe(self, target: KnownTarget, now_s: float) -> None:
        """Record that an opening is sent to a suspected target as a probe."""
        record = self._records.get(target.name)
        if record is not None:
            record.next_probe_s = now_s + self._limits.probe_interval_s

    def note_answered(self, target: KnownTarget, now_s: float) -> bool:
        """Record an answer of a target, which is then no longer suspected.

        Returns
        -------
        bool
            Whether the target was suspected until now.
        """
        record = self._record(target)
        was_suspected = record.is_suspected
        record.unanswered = 0
        record.answered_s = now_s
        record.suspected_s = -1
        return was_suspected

    def note_unanswered(
        self, target: KnownTarget, sent_s: float, now_s: float
    ) -> tuple[str, ...]:
        """Record an opening that was not answered in time.

        Parameters
        ----------
        target : KnownTarget
            Target that the opening packet was sent to.
        sent_s : float
            Time at which it was sent, in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of str
            Names of the targets that are suspected from now on.
        """
        record = self._record(target)
        if record.answered_s > sent_s:
            # The target has answered other openings since; this one was lost.
            return ()
        record.unanswered += 1
        if record.is_suspected or record.unanswered < self._limits.unanswered:
            return ()
        self._suspect(record, now_s)
        return (target.name, *self._suspect_zone(record.zone, now_s))

    def forget(self, name: str) -> None:
        """Delete the state of the target with this name."""
        self._records.pop(name, None)

    def _suspect(self, record: _TargetState, now_s: float) -> None:
        record.suspected_s = now_s
        record.next_probe_s = now_s + self._limits.probe_interval_s

    def _suspect_zone(self, zone: str, now_s: float) -> tuple[str, ...]:
        """Suspect the other targets of a zone if enough are suspected.

        Nothing is done if one of the others has answered since the first was
        suspected. Targets that have no state here, since no opening to them
        was answered or timed out yet, are left out.
        """
        members = {
            name: record
            for name, record in self._records.items()
            if record.zone == zone
        }
        suspected_s = [
            record.suspected_s
            for record in members.values()
            if record.is_suspected
        ]
        if len(suspected_s) < self._limits.suspected_zone_targets:
            return ()
        first_suspected_s = min(suspected_s)
        others = {
            name: record
            for name, record in members.items()
            if not record.is_suspected
        }
        if any(
            record.answered_s > first_suspected_s for record in others.values()
        ):
            return ()
        for record in others.values():
            self._suspect(record, now_s)
        return tuple(others)

    def _record(self, target: KnownTarget) -> _TargetState:
        record = self._records.get(target.name)
        if record is None:
            record = _TargetState(target.record.zone)
            self._records[target.name] = record
        return record
