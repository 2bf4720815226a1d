"""Small HTTP/1.1 server on gevent sockets for the fabric and for metrics."""

from collections.abc import Callable
from typing import Any, Final

import gevent
import httptools
import msgspec
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.entry.tcp import listen

__all__ = ('HttpAnswer', 'SmallHttpServer')

_REASONS: Final = {200: 'OK', 404: 'Not Found', 503: 'Service Unavailable'}
_RECEIVE_BYTES: Final = 4096
_BACKLOG: Final = 16
#: Time after which an idle connection is closed, in seconds.
_IDLE_S: Final = 30.0


class HttpAnswer(msgspec.Struct, frozen=True):
    """Response to a request.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Body.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes = b''
    content_type: str = 'text/plain'

    def encode(self) -> bytes:
        """Return the response as bytes."""
        head = (
            f'HTTP/1.1 {self.status} {_REASONS[self.status]}\r\n'
            f'Content-Type: {self.content_type}\r\n'
            f'Content-Length: {len(self.body)}\r\n\r\n'
        )
        return head.encode('ascii') + self.body


class _Requests:
    """Callbacks of the request parser."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self._url = b''

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self.paths.append(self._url.decode('ascii', 'replace'))
        self._url = b''


class SmallHttpServer:
    """Answers requests by their path.

    Parameters
    ----------
    address : Address
        Address to listen on.
    answer : callable
        Returns the `HttpAnswer` for a path.
    events : EventSink
        Where failed connections are reported.
    """

    def __init__(
        self,
        address: Address,
        answer: Callable[[str], HttpAnswer],
        events: Any,
    ) -> None:
        self._address = address
        self._answer = answer
        self._events = events
        self._listener: socket.socket | None = None
        self._greenlet: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Listen and answer in greenlets."""
        self._listener = listen(self._address, _BACKLOG)
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
                self._respond(conn, parser, requests)
            except (OSError, httptools.HttpParserError) as exc:
                self._events.event(
                    'http_connection_closed',
                    port=self._address.port,
                    reason=f'{type(exc).__name__}: {exc}',
                )

    def _respond(
        self,
        conn: socket.socket,
        parser: httptools.HttpRequestParser,
        requests: _Requests,
    ) -> None:
        while received := conn.recv(_RECEIVE_BYTES):
            parser.feed_data(received)
            while requests.paths:
                answer = self._answer(requests.paths.pop(0))
                conn.sendall(answer.encode())
            if not parser.should_keep_alive():
                return
