"""HTTP/1.1 client with persistent connections on gevent sockets.

`httptools` parses the responses. Importing a client with more features, such as
cookies and TLS, would double the start-up time of an instance.
"""

from typing import Final

import httptools
import msgspec
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.entry.tcp import TimedReader, connect, is_reusable
from siskinproxy.errors import (
    ResponseTooLargeError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

__all__ = ('MAX_RESPONSE_BYTES', 'HttpClient', 'HttpResponse')

_RECEIVE_BYTES: Final = 65536
#: Largest accepted response, in bytes: a page of 1 MB in base64 is smaller.
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024


class HttpResponse(msgspec.Struct, frozen=True):
    """HTTP response that was received in full.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Response body; empty if there is none.
    headers : dict of str to str
        Headers by their names in lower case.
    """

    status: int
    body: bytes
    headers: dict[str, str] = {}


class _ResponseCallbacks:
    """Parser callbacks that collect one response."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self.has_surplus = False
        self.status = 0
        self.keep_alive = False
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        # A second message in the same bytes was not asked for.
        self.has_surplus = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.has_surplus:
            key = name.decode('latin-1').lower()
            self.headers[key] = value.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        if not self.has_surplus:
            self.parts.append(part)

    def on_message_complete(self) -> None:
        if self.has_surplus:
            return
        self.is_complete = True
        self.status = self.parser.get_status_code()
        # After this callback, the parser expects another message and returns
        # False.
        self.keep_alive = self.parser.should_keep_alive()


class HttpClient:
    """HTTP client of one server.

    Each concurrent call has its own connection; idle connections are reused.

    Parameters
    ----------
    address : Address
        Address of the server.
    call_timeout_s : float
        Timeout of connecting, of sending, and of the response as in
        `TimedReader`, in seconds.
    max_response_bytes : int
        Largest accepted response with its header, in bytes.
    """

    def __init__(
        self,
        address: Address,
        call_timeout_s: float,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._address = address
        self._timeout_s = call_timeout_s
        self._max_response_bytes = max_response_bytes
        self._idle: list[socket.socket] = []
        self._opened: socket.socket | None = None

    def open(self) -> None:
        """Connect, so that the next call finds a connection.

        Raises
        ------
        StoreUnavailableError
            The connection failed or timed out.
        """
        try:
            self._opened = connect(self._address, self._timeout_s)
        except OSError as exc:
            raise _store_error(exc, writes=False) from exc

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        writes: bool = False,
        server_wait_s: float = 0,
    ) -> HttpResponse:
        """Send a request and return the response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path with the query string.
        body : bytes
            JSON body; empty for none.
        writes : bool
            Whether the request may change the server's state. A request that
            doesn't is sent once more if it failed, other than by a timeout, on
            a reused connection, which the server may have closed while it was
            idle.
        server_wait_s : float
            Time that the server may wait before it answers, in seconds; added
            to the socket timeout.

        Returns
        -------
        HttpResponse
            The response, whatever its status code.

        Raises
        ------
        StoreUnavailableError
            The connection failed, the response did not arrive in time or in
            full, or it is not valid HTTP.
        ResponseTooLargeError
            The response has too many bytes.
        StoreOutcomeUnknownError
            The same, for a request with `writes`, which the server may have
            executed; also raised if the connection could not be opened.
        """
        header = (
            f'{method} {path} HTTP/1.1\r\nHost: {self._address.host}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        request = header.encode('ascii') + body
        timeout_s = self._timeout_s + server_wait_s
        is_reused = bool(self._idle)
        try:
            return self._exchange(request, timeout_s)
        except TimeoutError as exc:
            # The other idle connections may be unresponsive as well.
            self.close()
            raise _store_error(exc, writes=writes) from exc
        except (OSError, httptools.HttpParserError) as exc:
            if writes or not is_reused:
                raise _store_error(exc, writes=writes) from exc
        self.close()
        try:
            return self._exchange(request, timeout_s)
        except (OSError, httptools.HttpParserError) as exc:
            raise _store_error(exc, writes=writes) from exc

    def close(self) -> None:
        """Close the idle connections; the client stays usable."""
        while self._idle:
            self._idle.pop().close()
        if self._opened is not None:
            self._opened.close()
            self._opened = None

    def _exchange(self, request: bytes, timeout_s: float) -> HttpResponse:
        conn = self._take_opened() or connect(self._address, self._timeout_s)
        try:
            conn.settimeout(timeout_s)
            conn.sendall(request)
            response, keep_alive = _receive(
                TimedReader(conn, timeout_s), self._max_response_bytes
            )
        except BaseException:
            conn.close()
            raise
        if keep_alive:
            self._idle.append(conn)
        else:
            conn.close()
        return response

    def _take_opened(self) -> socket.socket | None:
        """Return the connection of `open`, or else an idle one, if any."""
        conn = self._opened
        self._opened = None
        return conn or self._take_idle()

    def _take_idle(self) -> socket.socket | None:
        """Return an idle connection on which nothing has arrived, if any."""
        while self._idle:
            conn = self._idle.pop()
            if is_reusable(conn):
                return conn
            conn.close()
        return None


def _receive(
    reader: TimedReader, limit_bytes: int
) -> tuple[HttpResponse, bool]:
    callbacks = _ResponseCallbacks()
    parser = callbacks.parser
    total_bytes = 0
    while not callbacks.is_complete:
        received = reader.receive(_RECEIVE_BYTES)
        total_bytes += len(received)
        if total_bytes > limit_bytes:
            raise ResponseTooLargeError(limit_bytes)
        if not received:
            raise ConnectionResetError(
                'server closed the connection before the end of the response'
            )
        parser.feed_data(received)
    response = HttpResponse(
        callbacks.status, b''.join(callbacks.parts), callbacks.headers
    )
    return response, callbacks.keep_alive and not callbacks.has_surplus


def _store_error(exc: Exception, *, writes: bool) -> StoreError:
    detail = f'reason="{type(exc).__name__}: {exc}"'
    if writes:
        return StoreOutcomeUnknownError(detail)
    return StoreUnavailableError(detail)
