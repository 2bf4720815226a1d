"""TCP connections on which instances relay changes of the store.

A client sends a query and waits for its answer, one at a time.
"""

import time
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket

from siskinproxy.entry.peer_messages import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    ChangesAnswer,
    ChangesQuery,
    decode_answer,
    decode_query,
    encode_frame,
)
from siskinproxy.entry.records import Address
from siskinproxy.entry.supervision import Spawn, run_isolated, spawn_plain
from siskinproxy.entry.tcp import (
    TimedReader,
    accept_connections,
    connect,
    is_reusable,
    listen,
)
from siskinproxy.errors import LinkFormatError, StoreUnavailableError

__all__ = ('PeerClient', 'PeerServer')

#: Connections that may wait to be accepted.
_BACKLOG: Final = 128
#: Largest number of bytes that one call receives.
_RECEIVE_BYTES: Final = 65536
#: Time after which a connection without a query is closed, in seconds.
_IDLE_TIMEOUT_S: Final = 10.0


class PeerClient:
    """Client of the `PeerServer` of another instance.

    Parameters
    ----------
    address : Address
        Address of the other instance.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._conn: socket.socket | None = None

    def ask(self, query: ChangesQuery, timeout_s: float) -> ChangesAnswer:
        """Return the answer of the other instance to a query.

        Connects first if there is no connection that can be used; closes it
        if the query has no answer, so that a late one is not taken for the
        answer to the next query.

        Parameters
        ----------
        query : ChangesQuery
            Query.
        timeout_s : float
            Time for connecting and for the answer together, in seconds.

        Raises
        ------
        StoreUnavailableError
            The instance cannot be reached, does not answer in time, or its
            answer cannot be decoded.
        """
        if self._conn is not None and not is_reusable(self._conn):
            self.close()
        started_s = time.monotonic()
        try:
            if self._conn is None:
                self._conn = connect(self._address, timeout_s)
            left_s = max(started_s + timeout_s - time.monotonic(), 0)
            self._conn.settimeout(timeout_s)
            self._conn.sendall(encode_frame(query))
            return decode_answer(
                _receive_frame(TimedReader(self._conn, left_s))
            )
        except (OSError, LinkFormatError) as exc:
            self.close()
            detail = f'reason="{type(exc).__name__}: {exc}"'
            raise StoreUnavailableError(detail) from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


class PeerServer:
    """Server that answers the queries of other instances.

    Parameters
    ----------
    address : Address
        Address to listen on.
    answer : callable
        Returns the answer to a query; may block its greenlet.
    events : EventSink
        Where the end of a connection is reported with its reason.
    """

    def __init__(
        self,
        address: Address,
        answer: Callable[[ChangesQuery], ChangesAnswer],
        events: Any,
    ) -> None:
        self._address = address
        self._answer = answer
        self._events = events
        self._listener: socket.socket | None = None
        self._greenlets: set[gevent.Greenlet] = set()
        self._accepting: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """TCP port on which the server listens."""
        return int(self._listener.getsockname()[1])

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Listen, and answer each connection in a greenlet of its own."""
        self._listener = listen(self._address, _BACKLOG)
        self._accepting = spawn('peer_server', self._accept_connections)

    def close(self) -> None:
        """Close all connections and stop listening."""
        if self._accepting is not None:
            self._accepting.kill()
            self._accepting = None
        gevent.killall(tuple(self._greenlets))
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _accept_connections(self) -> None:
        for conn in accept_connections(self._listener, self._events):
            greenlet = gevent.spawn(
                run_isolated,
                self._events,
                'peer_connection',
                self._serve_connection,
                conn,
            )
            self._greenlets.add(greenlet)
            greenlet.link(self._greenlets.discard)

    def _serve_connection(self, conn: socket.socket) -> None:
        with conn:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn.settimeout(_IDLE_TIMEOUT_S)
            try:
                while True:
                    reader = TimedReader(conn, _IDLE_TIMEOUT_S)
                    query = decode_query(_receive_frame(reader))
                    conn.sendall(encode_frame(self._answer(query)))
            except (OSError, LinkFormatError) as exc:
                self._events.event(
                    'peer_connection_closed',
                    reason=f'{type(exc).__name__}: {exc}',
                )


def _receive_frame(reader: TimedReader) -> bytes:
    prefix = _receive_exactly(reader, LENGTH_PREFIX.size)
    length = LENGTH_PREFIX.unpack(prefix)[0]
    if length > MAX_FRAME_BYTES:
        raise LinkFormatError(f'frame_bytes={length} limit={MAX_FRAME_BYTES}')
    return _receive_exactly(reader, length)


def _receive_exactly(reader: TimedReader, length: int) -> bytes:
    parts = []
    missing = length
    while missing:
        part = reader.receive(min(missing, _RECEIVE_BYTES))
        if not part:
            raise ConnectionResetError('peer closed the connection')
        parts.append(part)
        missing -= len(part)
    return b''.join(parts)
