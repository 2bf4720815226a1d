"""Log of an entry process: bounded, and never in the way of packets.

The lines have the format of `siskinproxy.logs`. They are written here and not
by logbook, whose handlers block on a full pipe and whose import takes longer
than that of all other modules of the process.
"""

import time
from collections import Counter, deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Final

import gevent
from gevent import os as gevent_os

from siskinproxy.log_lines import TIME_FORMAT, format_pairs

__all__ = ('BoundedLog',)

#: Lines of one event that are written in a second; the rest is counted.
LINES_PER_S: Final = 20
#: Lines that wait for a slow reader of the log; older ones are dropped.
MAX_WAITING: Final = 2000
#: Time between two writes, in seconds.
FLUSH_S: Final = 0.25


class BoundedLog:
    """Log with a bound on its rate and on its memory.

    Parameters
    ----------
    component : str
        Name of the process.
    descriptor : int
        File descriptor to write to.
    clock : callable
        Returns the time of day in seconds.
    **context : object
        Pairs that are added to every line.

    Attributes
    ----------
    left_out : int
        Lines that were not written.
    """

    def __init__(
        self,
        component: str,
        descriptor: int,
        clock: Callable[[], float] = time.time,
        **context: Any,
    ) -> None:
        self._component = component
        self._descriptor = descriptor
        self._clock = clock
        self._context = context
        self._waiting: deque[str] = deque()
        self._dropped = 0
        self.left_out = 0
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Write lines in a greenlet."""
        gevent_os.make_nonblocking(self._descriptor)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Write what waits, as far as the reader takes it, and stop."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        with gevent.Timeout(FLUSH_S, exception=False):
            self.flush()

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log an event.

        Parameters
        ----------
        name : str
            Name of the event.
        **pairs : object
            Inputs of the decision and its outcome.
        """
        self._log('info', name, pairs)

    def warning(self, name: str, /, **pairs: Any) -> None:
        """Log an event that operators may have to act on."""
        self._log('warning', name, pairs)

    def error(self, name: str, /, **pairs: Any) -> None:
        """Log a failure."""
        self._log('error', name, pairs)

    def flush(self) -> None:
        """Write the lines that wait."""
        while self._waiting:
            lines = '\n'.join(self._waiting)
            self._waiting.clear()
            unwritten = f'{lines}\n'.encode()
            while unwritten:
                written = gevent_os.nb_write(self._descriptor, unwritten)
                unwritten = unwritten[written:]

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_S)
            self.flush()

    def _log(self, level: str, name: str, pairs: dict[str, Any]) -> None:
        now_s = self._clock()
        if int(now_s) != self._second:
            self._start_second(now_s)
        self._counts[name] += 1
        if self._counts[name] > LINES_PER_S:
            self.left_out += 1
            return
        self._append(now_s, level, name, pairs)

    def _start_second(self, now_s: float) -> None:
        earlier = self._counts
        self._counts = Counter()
        self._second = int(now_s)
        for name, count in earlier.items():
            if count > LINES_PER_S:
                left_out = {'of': name, 'lines': count - LINES_PER_S}
                self._append(now_s, 'warning', 'log_limited', left_out)
        if self._dropped:
            left_out = {'lines': self._dropped}
            self._dropped = 0
            self._append(now_s, 'warning', 'log_dropped', left_out)

    def _append(
        self, now_s: float, level: str, name: str, pairs: dict[str, Any]
    ) -> None:
        if len(self._waiting) >= MAX_WAITING:
            self._waiting.popleft()
            self._dropped += 1
            self.left_out += 1
        moment = datetime.fromtimestamp(now_s, UTC)
        line = {
            'time': moment.strftime(TIME_FORMAT),
            'level': level,
            'component': self._component,
            'event': name,
            **self._context,
            **pairs,
        }
        self._waiting.append(format_pairs(line))
