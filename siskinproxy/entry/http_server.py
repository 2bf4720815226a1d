"""Minimal HTTP/1.1 server for readiness checks, metrics and the status page.

It runs on gevent sockets; `httptools` parses the requests.
"""

from collections.abc import Callable
from typing import Any, Final

import gevent
import httptools
import msgspec
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.entry.supervision import Spawn, run_isolated, spawn_plain
from siskinproxy.entry.tcp import accept_connections, listen

__all__ = ('ServerResponse', 'SmallHttpServer')

_REASON_PHRASES: Final = {
    200: 'OK',
    404: 'Not Found',
    503: 'Service Unavailable',
}
_RECEIVE_BYTES: Final = 4096
#: Connections that may wait to be accepted.
_BACKLOG: Final = 16
#: Socket timeout after which an idle connection is closed, in seconds.
_IDLE_TIMEOUT_S: Final = 30.0


class ServerResponse(msgspec.Struct, frozen=True):
    """HTTP response to send.

    Parameters
    ----------
    status : int
        HTTP status code: 200, 404 or 503.
    body : bytes
        Response body.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes = b''
    content_type: str = 'text/plain'

    def encode(self) -> bytes:
        """Return status line, header fields and body as sent."""
        header = (
            f'HTTP/1.1 {self.status} {_REASON_PHRASES[self.status]}\r\n'
            f'Content-Type: {self.content_type}\r\n'
            f'Content-Length: {len(self.body)}\r\n\r\n'
        )
        return header.encode('ascii') + self.body


class _RequestCallbacks:
    """Parser callbacks that queue the paths of complete requests."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self._url = b''

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        self.paths.append(self._url.decode('ascii', 'replace'))
        self._url = b''


class SmallHttpServer:
    """HTTP server that answers every request by its path alone.

    Parameters
    ----------
    address : Address
        Address to listen on.
    handler : callable
        Returns the `ServerResponse` for a path with its query string.
    events : EventSink
        Log for connections that fail or send invalid HTTP.
    """

    def __init__(
        self,
        address: Address,
        handler: Callable[[str], ServerResponse],
        events: Any,
    ) -> None:
        self._address = address
        self._handler = handler
        self._events = events
        self._listener: socket.socket | None = None
        self._greenlet: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """TCP port that the started server listens on."""
        return int(self._listener.getsockname()[1])

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Listen, and serve each connection in its own greenlet."""
        self._listener = listen(self._address, _BACKLOG)
        name = f'http_server_{self._address.port}'
        self._greenlet = spawn(name, self._accept)

    def close(self) -> None:
        """Stop listening; open connections are served until they end."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        for conn in accept_connections(self._listener, self._events):
            gevent.spawn(
                run_isolated,
                self._events,
                'http_connection',
                self._serve,
                conn,
            )

    def _serve(self, conn: socket.socket) -> None:
        requests = _RequestCallbacks()
        parser = httptools.HttpRequestParser(requests)
        conn.settimeout(_IDLE_TIMEOUT_S)
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
        requests: _RequestCallbacks,
    ) -> None:
        while received := conn.recv(_RECEIVE_BYTES):
            parser.feed_data(received)
            while requests.paths:
                response = self._handler(requests.paths.pop(0))
                conn.sendall(response.encode())
            if not parser.should_keep_alive():
                return
