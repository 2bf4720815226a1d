"""Members as this instance knows them, and which statement takes precedence."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from siskinproxy.instances.gossip import (
    CONDITION_ALIVE,
    CONDITION_DEAD,
    CONDITION_SUSPECT,
    Record,
    Update,
)

__all__ = ('SUSPICION_S', 'Change', 'Entry', 'MemberTable')

#: Time in which a suspected member can refute.
SUSPICION_S: Final = 0.6

#: Dead members are probed this long, so that a healed partition is noticed.
DEAD_RETENTION_S: Final = 600.0

FORGET_PERIOD_S: Final = 5.0

_MS_PER_S: Final = 1000
_CONDITION_NAMES: Final = ('alive', 'suspect', 'dead')


class Change(NamedTuple):
    """Change of a member's state.

    Parameters
    ----------
    name : str
        The member.
    before : str
        State before: ``unknown``, ``joining``, ``alive``, ``leaving``,
        ``suspect`` or ``dead``.
    after : str
        State after the change.
    incarnation : int
        Incarnation that the new state refers to.
    reason : str
        Why the state changed.
    """

    name: str
    before: str
    after: str
    incarnation: int
    reason: str


class Entry:
    """Mutable state of one member."""

    __slots__ = (
        'changed_s',
        'condition',
        'corrected_s',
        'record',
        'suspected_s',
    )

    def __init__(self, record: Record, condition: int, now_s: float) -> None:
        self.record = record
        self.condition = condition
        self.changed_s = now_s
        self.suspected_s = now_s
        self.corrected_s = float('-inf')

    @property
    def state(self) -> str:
        """Name of the state for logs and metrics."""
        if self.condition == CONDITION_ALIVE:
            return self.record.status
        return _CONDITION_NAMES[self.condition]

    def update(self, now_s: float) -> Update:
        """Return the statement about this member to pass on."""
        age_ms = 0
        if self.condition == CONDITION_SUSPECT:
            age_ms = int((now_s - self.suspected_s) * _MS_PER_S)
        return Update(self.record, self.condition, max(age_ms, 0))


class MemberTable:
    """Members other than this instance.

    A statement with a higher incarnation takes precedence; with the same
    incarnation, dead takes precedence over suspect and suspect over alive.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._suspects: dict[str, Entry] = {}
        self._forgot_s = float('-inf')

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, name: str) -> Entry | None:
        """Return the entry of a member, or None."""
        return self._entries.get(name)

    def apply(self, update: Update, now_s: float, reason: str) -> Change | None:
        """Apply a statement.

        Parameters
        ----------
        update : Update
            Statement about another member.
        now_s : float
            Time.
        reason : str
            Source of the statement.

        Returns
        -------
        Change or None
            The change, or None if the statement is no news.
        """
        entry = self._entries.get(update.record.name)
        if entry is None:
            return self._add(update, now_s, reason)
        if not _takes_precedence(update, entry):
            _join_suspicion(update, entry, now_s)
            return None
        before = entry.state
        entry.record = update.record
        entry.condition = update.condition
        entry.changed_s = now_s
        entry.suspected_s = now_s - update.age_ms / _MS_PER_S
        self._note_suspect(entry)
        return _change(before, entry, reason)

    def overdue(self, now_s: float) -> tuple[Entry, ...]:
        """Return the suspected members whose time to refute has passed."""
        return tuple(
            entry
            for entry in self._suspects.values()
            if now_s - entry.suspected_s >= SUSPICION_S
        )

    def extend_suspicions(self, now_s: float) -> None:
        """Restart the time to refute, after this instance was paused."""
        for entry in self._entries.values():
            entry.suspected_s = max(entry.suspected_s, now_s)

    def forget_dead(self, now_s: float) -> None:
        """Remove members that have been dead for the retention time."""
        if now_s - self._forgot_s < FORGET_PERIOD_S:
            return
        self._forgot_s = now_s
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.condition == CONDITION_DEAD
            and now_s - entry.changed_s > DEAD_RETENTION_S
        ]
        for name in expired:
            self._entries.pop(name)

    def living(self) -> list[Entry]:
        """Return the members that are not dead."""
        return [
            entry
            for entry in self._entries.values()
            if entry.condition != CONDITION_DEAD
        ]

    def dead(self) -> list[Entry]:
        """Return the members that are dead."""
        return [
            entry
            for entry in self._entries.values()
            if entry.condition == CONDITION_DEAD
        ]

    def _add(self, update: Update, now_s: float, reason: str) -> Change | None:
        if update.condition == CONDITION_DEAD:
            return None
        entry = Entry(update.record, update.condition, now_s)
        entry.suspected_s = now_s - update.age_ms / _MS_PER_S
        self._entries[update.record.name] = entry
        self._note_suspect(entry)
        return _change('unknown', entry, reason)

    def _note_suspect(self, entry: Entry) -> None:
        if entry.condition == CONDITION_SUSPECT:
            self._suspects[entry.record.name] = entry
        else:
            self._suspects.pop(entry.record.name, None)


def _takes_precedence(update: Update, entry: Entry) -> bool:
    known = entry.record.incarnation
    if update.record.incarnation != known:
        return update.record.incarnation > known
    return update.condition > entry.condition


def _join_suspicion(update: Update, entry: Entry, now_s: float) -> None:
    """Adopt the start of the oldest suspicion of the same incarnation."""
    same = update.record.incarnation == entry.record.incarnation
    if same and update.condition == entry.condition == CONDITION_SUSPECT:
        started_s = now_s - update.age_ms / _MS_PER_S
        entry.suspected_s = min(entry.suspected_s, started_s)


def _change(before: str, entry: Entry, reason: str) -> Change:
    record = entry.record
    return Change(record.name, before, entry.state, record.incarnation, reason)
