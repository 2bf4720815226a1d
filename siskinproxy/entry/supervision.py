"""Keeps an entry process from going blind after an unexpected error.

Values of other programs are checked where they are decoded. An error that gets
past these checks must not end more than the packet or entry that caused it, and
a greenlet that ends by one must not leave a process that looks ready but no
longer follows changes:

- `run_isolated` handles one packet or entry and logs an error.
- `Supervisor.spawn` starts a greenlet again after an error. If errors repeat
  quickly, it gives the process up, so that the fabric delivers packets to other
  instances and the platform starts the process anew.
"""

import time
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any, Final, Protocol

import gevent
import msgspec

from siskinproxy.errors import GreenletFailedError

__all__ = (
    'EventSink',
    'RestartLimits',
    'Spawn',
    'Supervisor',
    'run_isolated',
    'spawn_plain',
)

#: Starts a greenlet from its name and its function, such as `Supervisor.spawn`.
Spawn = Callable[[str, Callable[[], None]], gevent.Greenlet]

#: Calls of a traceback that are logged, the innermost ones.
_MAX_LOGGED_CALLS: Final = 3
#: Longest logged text of an error, in characters.
_MAX_REASON_CHARACTERS: Final = 200


class EventSink(Protocol):
    """Receiver of errors, such as the log."""

    def error(self, name: str, /, **pairs: Any) -> None:
        """Report an error with its key-value pairs."""


class RestartLimits(msgspec.Struct, frozen=True):
    """Limits on starting a greenlet again.

    Parameters
    ----------
    first_delay_s : float
        Delay of the first start after an error, in seconds. It doubles with
        each further error in `window_s`.
    errors : int
        Errors of one greenlet in `window_s` from which on the process is given
        up.
    window_s : float
        Time for which an error counts, in seconds.
    """

    first_delay_s: float = 0.1
    errors: int = 5
    window_s: float = 30.0


def run_isolated(
    events: EventSink,
    subject: str,
    function: Callable[..., Any],
    *args: Any,
) -> bool:
    """Call a function; log an error that it raises instead of passing it on.

    Parameters
    ----------
    events : EventSink
        Log.
    subject : str
        What is handled, for the log.
    function : callable
        Handles one packet or entry.
    *args : object
        Arguments of the function.

    Returns
    -------
    bool
        Whether the function returned without an error.
    """
    try:
        function(*args)
    except Exception as exc:  # noqa: BLE001
        _report(events, 'handling_failed', subject, exc)
        return False
    return True


def spawn_plain(name: str, function: Callable[[], None]) -> gevent.Greenlet:
    """Start a greenlet that an error ends; for parts without a supervisor."""
    return gevent.spawn(function)


class Supervisor:
    """Starts greenlets, and starts them again after an error.

    Parameters
    ----------
    events : EventSink
        Log.
    give_up : callable
        Called once with the name of a greenlet whose errors repeat quickly.
    limits : RestartLimits or None
        Limits on starting again; None for the defaults.
    clock : callable
        Returns the monotonic time in seconds.

    Attributes
    ----------
    restarts : int
        Number of times that a greenlet was started again.
    failed_greenlet : str
        Name of the greenlet for which the process was given up; empty if it
        was not.
    """

    def __init__(
        self,
        events: EventSink,
        give_up: Callable[[str], None],
        limits: RestartLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.restarts = 0
        self.failed_greenlet = ''
        self._events = events
        self._give_up = give_up
        self._limits = limits or RestartLimits()
        self._clock = clock

    def spawn(self, name: str, function: Callable[[], None]) -> gevent.Greenlet:
        """Run a function in a greenlet, again after each error.

        Parameters
        ----------
        name : str
            Name of the greenlet, for the log.
        function : callable
            Runs until it is done; may be called again after an error.

        Returns
        -------
        gevent.Greenlet
            Ends if the function returns or the greenlet is killed, or if the
            process is given up.
        """
        return gevent.spawn(self._run, name, function)

    def isolate(self, subject: str, function: Callable[[], None]) -> None:
        """Call a function of the event loop; log an error that it raises."""
        run_isolated(self._events, subject, function)

    def raise_failure(self) -> None:
        """Raise an error if the process was given up.

        Raises
        ------
        GreenletFailedError
            A greenlet kept failing.
        """
        if self.failed_greenlet:
            raise GreenletFailedError(self.failed_greenlet)

    def _run(self, name: str, function: Callable[[], None]) -> None:
        errors_s: deque[float] = deque()
        while True:
            try:
                return function()
            except Exception as exc:  # noqa: BLE001
                _report(self._events, 'greenlet_failed', name, exc)
            delay_s = self._restart_delay_s(errors_s)
            if delay_s is None:
                self._end_process(name)
                return None
            gevent.sleep(delay_s)
            self.restarts += 1

    def _restart_delay_s(self, errors_s: deque[float]) -> float | None:
        """Return the delay after an error, None to give the process up."""
        limits = self._limits
        now_s = self._clock()
        errors_s.append(now_s)
        while errors_s[0] < now_s - limits.window_s:
            errors_s.popleft()
        if len(errors_s) >= limits.errors:
            return None
        return limits.first_delay_s * 2 ** (len(errors_s) - 1)

    def _end_process(self, name: str) -> None:
        if not self.failed_greenlet:
            self.failed_greenlet = name
            self._give_up(name)


def _report(
    events: EventSink, event: str, subject: str, exc: Exception
) -> None:
    calls = traceback.extract_tb(exc.__traceback__)[-_MAX_LOGGED_CALLS:]
    events.error(
        event,
        subject=subject,
        kind=type(exc).__name__,
        reason=_text_of(exc)[:_MAX_REASON_CHARACTERS],
        at=' < '.join(
            f'{call.filename.rpartition("/")[2]}:{call.lineno} {call.name}'
            for call in reversed(calls)
        ),
    )


def _text_of(exc: Exception) -> str:
    try:
        return str(exc)
    except (ValueError, RecursionError):
        # The text may hold a value that can't be written.
        return 'error without a text'
