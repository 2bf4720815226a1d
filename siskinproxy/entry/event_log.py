"""Event log of an entry process: limited in rate and memory, non-blocking.

A slow reader of the log must not delay packets.

The lines have the format of `siskinproxy.logs`. logbook is not used: its
handlers block while the pipe is full, and importing it takes longer than
importing all other modules of the process together.
"""

import time
from collections import Counter, deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Final

import gevent
from gevent import os as gevent_os

from siskinproxy.entry.supervision import Spawn, spawn_plain
from siskinproxy.log_lines import TIME_FORMAT, format_pairs

__all__ = ('BoundedLog',)

#: Lines per second and event name that are logged; further ones are dropped,
#: and their number is logged at the first event of a later second.
MAX_LINES_PER_S: Final = 20
#: Lines that are buffered for a slow reader of the log; if there are more, the
#: oldest are dropped, and their number is logged at the first event of a later
#: second.
MAX_BUFFERED_LINES: Final = 2000
#: Time between two writes of the buffer, and longest duration of the last write
#: when the log is closed, in seconds.
FLUSH_INTERVAL_S: Final = 0.25


class BoundedLog:
    """Non-blocking event log with a limited rate and a limited buffer.

    Parameters
    ----------
    component : str
        Name of the process, written as `component`.
    descriptor : int
        File descriptor to write to.
    clock : callable
        Returns the Unix time in seconds.
    **context : object
        Key-value pairs that are added to every line.

    Attributes
    ----------
    dropped : int
        Lines that were dropped because of the rate limit or a full buffer.
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
        self._buffer: deque[str] = deque()
        self._overflow_lines = 0
        self.dropped = 0
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._greenlet: gevent.Greenlet | None = None

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Write buffered lines regularly in a greenlet."""
        gevent_os.make_nonblocking(self._descriptor)
        self._greenlet = spawn('log', self._run)

    def close(self) -> None:
        """Stop, and write buffered lines for at most `FLUSH_INTERVAL_S`."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        with gevent.Timeout(FLUSH_INTERVAL_S, exception=False):
            self.flush()

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log an event at level ``info``.

        Parameters
        ----------
        name : str
            Name of the event.
        **pairs : object
            Key-value pairs: inputs and outcome of the decision.
        """
        self._log('info', name, pairs)

    def warning(self, name: str, /, **pairs: Any) -> None:
        """Log an event that operators may have to act on, as a warning."""
        self._log('warning', name, pairs)

    def error(self, name: str, /, **pairs: Any) -> None:
        """Log a failure at level ``error``."""
        self._log('error', name, pairs)

    def flush(self) -> None:
        """Write the buffered lines without blocking other greenlets.

        If the reader of the log is gone, the lines are dropped.
        """
        while self._buffer:
            count = len(self._buffer)
            lines = '\n'.join(self._buffer)
            self._buffer.clear()
            try:
                self._write(f'{lines}\n'.encode())
            except OSError:
                # There is nowhere left to report it but the counter.
                self.dropped += count

    def _write(self, unwritten: bytes) -> None:
        while unwritten:
            written = gevent_os.nb_write(self._descriptor, unwritten)
            unwritten = unwritten[written:]

    def _run(self) -> None:
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _log(self, level: str, name: str, pairs: dict[str, Any]) -> None:
        now_s = self._clock()
        if int(now_s) != self._second:
            self._start_second(now_s)
        self._counts[name] += 1
        if self._counts[name] > MAX_LINES_PER_S:
            self.dropped += 1
            return
        self._append(now_s, level, name, pairs)

    def _start_second(self, now_s: float) -> None:
        counts = self._counts
        self._counts = Counter()
        self._second = int(now_s)
        for name, count in counts.items():
            if count > MAX_LINES_PER_S:
                summary = {'of': name, 'lines': count - MAX_LINES_PER_S}
                self._append(now_s, 'warning', 'log_limited', summary)
        if self._overflow_lines:
            summary = {'lines': self._overflow_lines}
            self._overflow_lines = 0
            self._append(now_s, 'warning', 'log_dropped', summary)

    def _append(
        self, now_s: float, level: str, name: str, pairs: dict[str, Any]
    ) -> None:
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self._buffer.popleft()
            self._overflow_lines += 1
            self.dropped += 1
        moment = datetime.fromtimestamp(now_s, UTC)
        line = {
            'time': moment.strftime(TIME_FORMAT),
            'level': level,
            'component': self._component,
            'event': name,
            **self._context,
            **pairs,
        }
        self._buffer.append(format_pairs(line))
