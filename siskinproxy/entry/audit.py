"""Audit trail: operators' changes that an instance applied or rejected.

It also holds the restores of the store, which may undo such changes there.
"""

import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import msgspec

from siskinproxy.entry.cluster_state import EventSink

__all__ = ('AuditEntry', 'AuditTrail')

#: Number of entries that an instance keeps. At 1,300 changes a day, the rate
#: that the product has to support, they cover about the last four hours; 256
#: entries take 60 KB.
KEPT_ENTRIES: Final = 256

#: Audited events, and the event key that names what was changed.
_SUBJECT_KEYS: Final = {
    'config_applied': 'version',
    'config_rejected': 'version',
    'zone_taken_out': 'zone',
    'zone_returned': 'zone',
    'store_restored': 'epoch',
}


class AuditEntry(msgspec.Struct, frozen=True):
    """A change by operators, as one instance learned of it.

    Parameters
    ----------
    unix_s : float
        Unix time of the entry by the clock of the instance, in seconds.
    change : str
        Name of the event in the log.
    subject : str
        What was changed: the version of the configuration, a zone, or the
        epoch of the store after it was restored. For reloaded settings the sections that need a restart, for rejected ones
        the error.
    source : str
        Store or instance from which the change was learned; empty for a
        change of the instance's own settings.
    """

    unix_s: float
    change: str
    subject: str
    source: str


class AuditTrail:
    """Event sink that keeps operators' changes and passes on all events.

    Parameters
    ----------
    events : EventSink
        Sink that gets all events.
    clock : callable
        Returns the Unix time in seconds.
    """

    def __init__(
        self, events: EventSink, clock: Callable[[], float] = time.time
    ) -> None:
        self._events = events
        self._clock = clock
        self._kept: deque[AuditEntry] = deque(maxlen=KEPT_ENTRIES)

    def event(self, name: str, /, **pairs: Any) -> None:
        """Pass on an event, and keep it if it is a change by operators."""
        self._events.event(name, **pairs)
        key = _SUBJECT_KEYS.get(name)
        if key is not None:
            self.keep(name, str(pairs[key]), pairs['source'])

    def error(self, name: str, /, **pairs: Any) -> None:
        """Pass on an error."""
        self._events.error(name, **pairs)

    def keep(self, change: str, subject: str, source: str = '') -> None:
        """Keep a change whose event has been reported already.

        Parameters
        ----------
        change, subject, source : str
            Fields of the `AuditEntry`.
        """
        entry = AuditEntry(self._clock(), change, subject, source)
        self._kept.append(entry)

    def entries(self) -> tuple[AuditEntry, ...]:
        """Return the kept changes, the oldest first."""
        return tuple(self._kept)
