"""HTTP answer to the fabric's question whether to deliver packets here."""

import enum
from collections.abc import Callable
from typing import Any, Final

import gevent
import httptools
from gevent import socket

from siskinproxy.entry.records import Address

__all__ = ('Readiness', 'ReadinessServer')

_READY: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_NOT_READY: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
)
_RECEIVE_BYTES: Final = 4096
_BACKLOG: Final = 16
#: Time after which an idle connection of the fabric is closed, in seconds.
_IDLE_S: Final = 30.0


class Readiness(enum.Enum):
    """Whether the fabric should deliver packets."""

    STARTING = 'starting'
    READY = 'ready'
    STOPPING = 'stopping'


class _Requests:
    """Callbacks of the request parser."""

    def __init__(self) -> None:
        self.complete = 0

    def on_message_complete(self) -> None:
        self.complete += 1


class ReadinessServer:
    """Answers each request with the readiness of the process.

    Parameters
    ----------
    address : Address
        Address to listen on.
    readiness : callable
        Returns the current `Readiness`.
    events : EventSink
        Where failed connections are reported.
    """

    def __init__(
        self, address: Address, readiness: Callable[[], Readiness], events: Any
    ) -> None:
        self._address = address
        self._readiness = readiness
        self._events = events
        self._listener: socket.socket | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Listen and answer in greenlets."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(_BACKLOG)
        self._listener = listener
        self._greenlet = gevent.spawn(self._accept)

    def close(self) -> None:
        """Stop listening."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            gevent.spawn(self._serve, conn)

    def _serve(self, conn: socket.socket) -> None:
        requests = _Requests()
        parser = httptools.HttpRequestParser(requests)
        conn.settimeout(_IDLE_S)
        with conn:
            try:
                self._answer(conn, parser, requests)
            except (OSError, httptools.HttpParserError) as exc:
                self._events.event(
                    'readiness_connection_failed',
                    reason=f'{type(exc).__name__}: {exc}',
                )

    def _answer(
        self,
        conn: socket.socket,
        parser: httptools.HttpRequestParser,
        requests: _Requests,
    ) -> None:
        while received := conn.recv(_RECEIVE_BYTES):
            parser.feed_data(received)
            for _ in range(requests.complete):
                is_ready = self._readiness() is Readiness.READY
                conn.sendall(_READY if is_ready else _NOT_READY)
            requests.complete = 0
            if not parser.should_keep_alive():
                return
