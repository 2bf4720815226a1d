"""Changes by operators that an instance took over or rejected."""

import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import msgspec

from siskinproxy.entry.beliefs import EventSink

__all__ = ('AuditEntry', 'AuditTrail')

#: Entries that an instance keeps: at the target size of 1,300 changes a day,
#: about the last four hours; 256 entries take 60 KB.
KEPT_ENTRIES: Final = 256

#: Event, and the key of what it changes.
_SUBJECTS: Final = {
    'config_applied': 'version',
    'config_rejected': 'version',
    'zone_taken_out': 'zone',
    'zone_returned': 'zone',
}


class AuditEntry(msgspec.Struct, frozen=True):
    """A change by operators, as one instance saw it.

    Parameters
    ----------
    unix_s : float
        Wall-clock time of the instance, in seconds.
    change : str
        Name of the logged event.
    subject : str
        Version of the configuration, zone, or sections or keys of settings.
    source : str
        Store or instance from which the change was learned; empty for the
        instance's own settings.
    """

    unix_s: float
    change: str
    subject: str
    source: str


class AuditTrail:
    """Event sink that also keeps the changes by operators.

    Parameters
    ----------
    events : EventSink
        Where all events go.
    clock : callable
        Returns the wall-clock time in seconds.
    """

    def __init__(
        self, events: EventSink, clock: Callable[[], float] = time.time
    ) -> None:
        self._events = events
        self._clock = clock
        self._kept: deque[AuditEntry] = deque(maxlen=KEPT_ENTRIES)

    def event(self, name: str, /, **pairs: Any) -> None:
        """Report an event and keep it if operators caused it."""
        self._events.event(name, **pairs)
        key = _SUBJECTS.get(name)
        if key is not None:
            self.keep(name, str(pairs[key]), pairs['source'])

    def keep(self, change: str, subject: str, source: str = '') -> None:
        """Keep a change that was reported already.

        Parameters
        ----------
        change, subject, source : str
            Fields of `AuditEntry`.
        """
        entry = AuditEntry(self._clock(), change, subject, source)
        self._kept.append(entry)

    def entries(self) -> tuple[AuditEntry, ...]:
        """Return the kept changes, the oldest first."""
        return tuple(self._kept)
