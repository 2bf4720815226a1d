"""Counts of the calls to the store, by kind and cause.

The platform prices each call, also one that the store refuses. The counts show
which causes grow with the number of instances.
"""

import enum
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final

__all__ = ('CallCause', 'CallKind', 'StoreCalls')


class CallKind(enum.Enum):
    """What a call does."""

    #: Reads a page of the items.
    READ = 'read'
    #: Waits for changes.
    WATCH = 'watch'
    #: Renews a lease.
    RENEW = 'renew'
    #: Gets a new lease.
    GRANT = 'grant'
    #: Writes a key.
    WRITE = 'write'


class CallCause(enum.Enum):
    """Why a call is made."""

    #: The process has started.
    START = 'start'
    #: This instance reads the changes for its zone.
    READER = 'reader'
    #: Instances that would be asked for changes have failed lately.
    SOURCE_AWAY = 'source_away'
    #: The renewal of a lease is due.
    DUE = 'due'
    #: A read needs more than one page.
    NEXT_PAGE = 'next_page'
    #: The store has discarded changes that this instance lacks.
    HISTORY_LOST = 'history_lost'
    #: The lease of the registration has ended.
    LEASE_LOST = 'lease_lost'
    #: The store was restored from a copy.
    RESTORED = 'restored'
    #: The last call was refused or not answered.
    FAILURE = 'failure'


#: Calls that an instance makes all the time and that are not logged.
_STEADY: Final = frozenset(
    (
        (CallKind.WATCH, CallCause.READER),
        (CallKind.RENEW, CallCause.DUE),
    )
)
#: Shortest time between two log lines for the same kind and cause, in seconds.
LOG_INTERVAL_S: Final = 5.0


class StoreCalls:
    """Counts calls, and logs a cause that repeats.

    Parameters
    ----------
    events : EventSink
        Where causes that repeat are reported.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, events: Any, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._events = events
        self._clock = clock
        self._counts: Counter[tuple[CallKind, CallCause]] = Counter()
        #: Time and count at the first call or the last log line.
        self._logged: dict[tuple[CallKind, CallCause], tuple[float, int]] = {}

    def note(self, kind: CallKind, cause: CallCause, calls: int = 1) -> None:
        """Count calls that are about to be made.

        Parameters
        ----------
        kind : CallKind
            What the calls do.
        cause : CallCause
            Why they are made.
        calls : int
            Number of calls.
        """
        key = (kind, cause)
        self._counts[key] += calls
        if key in _STEADY or not calls:
            return
        count = self._counts[key]
        now_s = self._clock()
        logged_s, logged_count = self._logged.setdefault(key, (now_s, count))
        if now_s - logged_s >= LOG_INTERVAL_S:
            self._logged[key] = (now_s, count)
            self._events.event(
                'store_calls_repeated',
                kind=kind.value,
                cause=cause.value,
                calls=count - logged_count,
                within_ms=round(1000 * (now_s - logged_s)),
            )

    def values(self) -> Mapping[tuple[str, str], int]:
        """Return the number of calls by the values of kind and cause."""
        return {
            (kind.value, cause.value): count
            for (kind, cause), count in self._counts.items()
        }
