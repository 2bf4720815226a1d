"""HTTP/1.1 client with kept connections on gevent sockets.

`httptools` parses the responses. Clients that bring more, such as cookies and
TLS, add as much to the start-up time of an instance as everything else.
"""

from typing import Final

import httptools
import msgspec
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.entry.tcp import connect
from siskinproxy.errors import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

__all__ = ('HttpClient', 'HttpResponse')

_RECEIVE_BYTES: Final = 65536


class HttpResponse(msgspec.Struct, frozen=True):
    """Complete response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Body.
    """

    status: int
    body: bytes


class _Receiver:
    """Callbacks of the response parser."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.is_complete = False
        self.may_keep = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.is_complete = True
        # Later, the parser waits for another message and says no.
        self.may_keep = self.parser.should_keep_alive()


class HttpClient:
    """Client of one server.

    Concurrent calls use a connection each; idle connections are used again.

    Parameters
    ----------
    address : Address
        Address of the server.
    call_timeout_s : float
        Time for connecting, and for each wait for bytes, in seconds.
    """

    def __init__(self, address: Address, call_timeout_s: float) -> None:
        self._address = address
        self._timeout_s = call_timeout_s
        self._idle: list[socket.socket] = []

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        writes: bool = False,
        longer_s: float = 0,
    ) -> HttpResponse:
        """Send a request and return the response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with the query.
        body : bytes
            JSON body; empty for none.
        writes : bool
            Whether the request may change the server's state. A request that
            does not is repeated once if a kept connection was closed.
        longer_s : float
            Time that the server may wait before it answers, in seconds.

        Returns
        -------
        HttpResponse
            The response.

        Raises
        ------
        StoreUnavailableError
            No connection, no answer, or an answer that is not HTTP.
        StoreOutcomeUnknownError
            The same, for a request that writes and was sent.
        """
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {self._address.host}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        request = head.encode('ascii') + body
        timeout_s = self._timeout_s + longer_s
        was_kept = bool(self._idle)
        try:
            return self._exchange(request, timeout_s)
        except TimeoutError as exc:
            # The other kept connections may be silent as well.
            self.close()
            raise _failure(exc, writes=writes) from exc
        except (OSError, httptools.HttpParserError) as exc:
            if writes or not was_kept:
                raise _failure(exc, writes=writes) from exc
        self.close()
        try:
            return self._exchange(request, timeout_s)
        except (OSError, httptools.HttpParserError) as exc:
            raise _failure(exc, writes=writes) from exc

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _exchange(self, request: bytes, timeout_s: float) -> HttpResponse:
        conn = (
            self._idle.pop()
            if self._idle
            else connect(self._address, self._timeout_s)
        )
        try:
            conn.settimeout(timeout_s)
            conn.sendall(request)
            response, may_keep = _receive(conn)
        except BaseException:
            conn.close()
            raise
        if may_keep:
            self._idle.append(conn)
        else:
            conn.close()
        return response


def _receive(conn: socket.socket) -> tuple[HttpResponse, bool]:
    receiver = _Receiver()
    parser = receiver.parser
    while not receiver.is_complete:
        received = conn.recv(_RECEIVE_BYTES)
        if not received:
            raise ConnectionResetError('connection closed before the response')
        parser.feed_data(received)
    response = HttpResponse(parser.get_status_code(), b''.join(receiver.parts))
    return response, receiver.may_keep


def _failure(exc: Exception, *, writes: bool) -> StoreError:
    detail = f'reason="{type(exc).__name__}: {exc}"'
    if writes:
        return StoreOutcomeUnknownError(detail)
    return StoreUnavailableError(detail)
