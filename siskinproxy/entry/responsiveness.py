"""Evidence from one direction of traffic that a target does not answer.

Answers do not pass through the instances. An opening is answered when the
caller's next packet names the target. Answers the load on targets that fell
silent: the list drops them after three heartbeats, openings show it after a
few tens of milliseconds.
"""

import msgspec

from siskinproxy.entry.directory import KnownTarget

__all__ = ('Responsiveness', 'ResponsivenessLimits')


class ResponsivenessLimits(msgspec.Struct, frozen=True):
    """Thresholds of the evidence.

    Parameters
    ----------
    misses : int
        Unanswered openings in a row after which a target is suspected. One
        may be a lost datagram.
    zone_targets : int
        Silent targets after which the other targets of their zone, none of
        which answered since, are suspected as well.
    probe_s : float
        Time between two openings that try a suspected target, in seconds.
    """

    misses: int = 2
    zone_targets: int = 2
    probe_s: float = 0.7


class _Record:
    """Openings of one target."""

    __slots__ = ('answered_s', 'misses', 'next_probe_s', 'suspected_s', 'zone')

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.misses = 0
        self.answered_s: float = -1
        self.suspected_s: float = -1
        self.next_probe_s: float = 0

    @property
    def is_suspected(self) -> bool:
        return self.suspected_s >= 0


class Responsiveness:
    """Which targets are suspected to be silent.

    Parameters
    ----------
    limits : ResponsivenessLimits
        Thresholds.
    """

    def __init__(self, limits: ResponsivenessLimits | None = None) -> None:
        self._limits = limits or ResponsivenessLimits()
        self._records: dict[str, _Record] = {}

    def is_suspected(self, target: KnownTarget) -> bool:
        """Return whether new flows should avoid the target."""
        record = self._records.get(target.name)
        return record is not None and record.is_suspected

    def has_answered_since(self, target: KnownTarget, sent_s: float) -> bool:
        """Return whether an answer of the target was seen since a time."""
        record = self._records.get(target.name)
        return record is not None and record.answered_s >= sent_s

    def may_probe(self, target: KnownTarget, now_s: float) -> bool:
        """Return whether a suspected target should be tried again."""
        record = self._records.get(target.name)
        return record is not None and now_s >= record.next_probe_s

    def note_probe(self, target: KnownTarget, now_s: float) -> None:
        """Note that a suspected target is being tried."""
        record = self._records.get(target.name)
        if record is not None:
            record.next_probe_s = now_s + self._limits.probe_s

    def note_answered(self, target: KnownTarget, now_s: float) -> bool:
        """Note an answered opening.

        Returns
        -------
        bool
            Whether this ended a suspicion.
        """
        record = self._record(target)
        was_suspected = record.is_suspected
        record.misses = 0
        record.answered_s = now_s
        record.suspected_s = -1
        return was_suspected

    def note_missed(
        self, target: KnownTarget, sent_s: float, now_s: float
    ) -> tuple[str, ...]:
        """Note an opening that was not answered in time.

        Parameters
        ----------
        target : KnownTarget
            Target that got the opening packet.
        sent_s : float
            When it was sent, in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of str
            Targets that are suspected from now on.
        """
        record = self._record(target)
        if record.answered_s > sent_s:
            # The target answered later openings, so this one was lost.
            return ()
        record.misses += 1
        if record.is_suspected or record.misses < self._limits.misses:
            return ()
        self._suspect(record, now_s)
        return (target.name, *self._suspect_zone(record.zone, now_s))

    def forget(self, name: str) -> None:
        """Drop what is known of a target."""
        self._records.pop(name, None)

    def _suspect(self, record: _Record, now_s: float) -> None:
        record.suspected_s = now_s
        record.next_probe_s = now_s + self._limits.probe_s

    def _suspect_zone(self, zone: str, now_s: float) -> tuple[str, ...]:
        """Suspect all targets of a zone from which nothing answers."""
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
        if len(suspected_s) < self._limits.zone_targets:
            return ()
        first_s = min(suspected_s)
        others = {
            name: record
            for name, record in members.items()
            if not record.is_suspected
        }
        if any(record.answered_s > first_s for record in others.values()):
            return ()
        for record in others.values():
            self._suspect(record, now_s)
        return tuple(others)

    def _record(self, target: KnownTarget) -> _Record:
        record = self._records.get(target.name)
        if record is None:
            record = _Record(target.record.zone)
            self._records[target.name] = record
        return record
