"""State of the other members as this instance knows it.

The table merges updates by the precedence rules of SWIM and reports which
suspected members have not refuted the suspicion in time.
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

from siskinproxy.instances.gossip import (
    CONDITION_ALIVE,
    CONDITION_DEAD,
    CONDITION_SUSPECT,
    Record,
    Update,
)

__all__ = ('SUSPICION_S', 'MemberChange', 'MemberEntry', 'MemberTable')

#: Time in which a suspected member can refute the suspicion before it is
#: declared dead.
SUSPICION_S: Final = 0.6

#: Time for which a dead member is kept and probed, so that the end of a network
#: partition is noticed.
DEAD_RETENTION_S: Final = 600.0

#: Interval between two removals of members that have been dead long enough.
PURGE_PERIOD_S: Final = 5.0

_MS_PER_S: Final = 1000
_CONDITION_NAMES: Final = ('alive', 'suspect', 'dead')


class MemberChange(NamedTuple):
    """Change of a member's state.

    Parameters
    ----------
    name : str
        Name of the member.
    before : str
        State before: ``unknown``, ``joining``, ``alive``, ``leaving``,
        ``suspect`` or ``dead``.
    after : str
        State after the change, one of the same values.
    incarnation : int
        Incarnation that the new state refers to.
    reason : str
        Why the state changed, for the log.
    """

    name: str
    before: str
    after: str
    incarnation: int
    reason: str


class MemberEntry:
    """State of one member.

    Parameters
    ----------
    record : Record
        Latest known record of the member.
    condition : int
        ``CONDITION_ALIVE``, ``CONDITION_SUSPECT`` or ``CONDITION_DEAD``.
    now_s : float
        Time in seconds.
    """

    __slots__ = (
        'changed_s',
        'condition',
        'last_correction_s',
        'record',
        'suspected_s',
    )

    def __init__(self, record: Record, condition: int, now_s: float) -> None:
        self.record = record
        self.condition = condition
        self.changed_s = now_s
        self.suspected_s = now_s
        self.last_correction_s = float('-inf')

    @property
    def state(self) -> str:
        """Name of the state for logs and metrics."""
        if self.condition == CONDITION_ALIVE:
            return self.record.status
        return _CONDITION_NAMES[self.condition]

    def update(self, now_s: float) -> Update:
        """Return the update about this member for other members."""
        age_ms = 0
        if self.condition == CONDITION_SUSPECT:
            age_ms = int((now_s - self.suspected_s) * _MS_PER_S)
        return Update(self.record, self.condition, max(age_ms, 0))


class MemberTable:
    """Members other than this instance.

    An update with a higher incarnation takes precedence; with the same
    incarnation, dead takes precedence over suspect and suspect over alive.
    """

    def __init__(self) -> None:
        self._entries: dict[str, MemberEntry] = {}
        self._suspects: dict[str, MemberEntry] = {}
        self._purged_s = float('-inf')

    def __iter__(self) -> Iterator[MemberEntry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, name: str) -> MemberEntry | None:
        """Return the entry of a member, or None if it is not known."""
        return self._entries.get(name)

    def apply(
        self, update: Update, now_s: float, reason: str
    ) -> MemberChange | None:
        """Apply an update if it takes precedence over the known state.

        Parameters
        ----------
        update : Update
            Update about another member.
        now_s : float
            Time.
        reason : str
            Where the update comes from, for the log.

        Returns
        -------
        MemberChange or None
            The change of the member's state or record; None if the known
            state takes precedence or a dead member was not known.
        """
        entry = self._entries.get(update.record.name)
        if entry is None:
            return self._add(update, now_s, reason)
        if not _takes_precedence(update, entry):
            _merge_suspicion(update, entry, now_s)
            return None
        before = entry.state
        entry.record = update.record
        entry.condition = update.condition
        entry.changed_s = now_s
        entry.suspected_s = now_s - update.age_ms / _MS_PER_S
        self._track_suspect(entry)
        return _change(before, entry, reason)

    def expired_suspicions(self, now_s: float) -> tuple[MemberEntry, ...]:
        """Return the suspected members whose time to refute has passed."""
        return tuple(
            entry
            for entry in self._suspects.values()
            if now_s - entry.suspected_s >= SUSPICION_S
        )

    def restart_suspicions(self, now_s: float) -> None:
        """Restart the time to refute of all suspected members.

        Needed after a pause of this process, during which it received no
        refutation.
        """
        for entry in self._entries.values():
            entry.suspected_s = max(entry.suspected_s, now_s)

    def purge_dead(self, now_s: float) -> None:
        """Remove members that have been dead longer than the retention."""
        if now_s - self._purged_s < PURGE_PERIOD_S:
            return
        self._purged_s = now_s
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.condition == CONDITION_DEAD
            and now_s - entry.changed_s > DEAD_RETENTION_S
        ]
        for name in expired:
            self._entries.pop(name)

    def living(self) -> list[MemberEntry]:
        """Return the members that are not dead."""
        return [
            entry
            for entry in self._entries.values()
            if entry.condition != CONDITION_DEAD
        ]

    def dead(self) -> list[MemberEntry]:
        """Return the members that are dead."""
        return [
            entry
            for entry in self._entries.values()
            if entry.condition == CONDITION_DEAD
        ]

    def _add(
        self, update: Update, now_s: float, reason: str
    ) -> MemberChange | None:
        if update.condition == CONDITION_DEAD:
            return None
        entry = MemberEntry(update.record, update.condition, now_s)
        entry.suspected_s = now_s - update.age_ms / _MS_PER_S
        self._entries[update.record.name] = entry
        self._track_suspect(entry)
        return _change('unknown', entry, reason)

    def _track_suspect(self, entry: MemberEntry) -> None:
        if entry.condition == CONDITION_SUSPECT:
            self._suspects[entry.record.name] = entry
        else:
            self._suspects.pop(entry.record.name, None)


def _takes_precedence(update: Update, entry: MemberEntry) -> bool:
    known = entry.record.incarnation
    if update.record.incarnation != known:
        return update.record.incarnation > known
    return update.condition > entry.condition


def _merge_suspicion(update: Update, entry: MemberEntry, now_s: float) -> None:
    """Take the earlier start of two suspicions of the same incarnation."""
    same = update.record.incarnation == entry.record.incarnation
    if same and update.condition == entry.condition == CONDITION_SUSPECT:
        started_s = now_s - update.age_ms / _MS_PER_S
        entry.suspected_s = min(entry.suspected_s, started_s)


def _change(before: str, entry: MemberEntry, reason: str) -> MemberChange:
    record = entry.record
    return MemberChange(
        record.name, before, entry.state, record.incarnation, reason
    )
