"""Creates connected and listening TCP sockets on gevent."""

import time
from collections.abc import Iterator
from typing import Any, Final

import gevent
from gevent import socket

from siskinproxy.entry.records import Address

__all__ = (
    'MIN_BYTES_PER_S',
    'TimedReader',
    'accept_connections',
    'connect',
    'is_reusable',
    'listen',
)

#: Rate that a message must keep once its timeout has passed, in bytes per
#: second: less than the share of one of 28 instances that get changes over a
#: link of 5 Mbit/s.
MIN_BYTES_PER_S: Final = 16_384

#: Delay after a connection that could not be accepted, for example since the
#: process has too many open files, in seconds.
_ACCEPT_RETRY_S: Final = 0.1


def connect(address: Address, timeout_s: float) -> socket.socket:
    """Return a connected socket with `TCP_NODELAY`.

    Parameters
    ----------
    address : Address
        Address of the server.
    timeout_s : float
        Timeout of connecting, in seconds; stays set on the socket.

    Returns
    -------
    socket.socket
        Connected socket.

    Raises
    ------
    OSError
        The connection fails or times out.
    """
    # `create_connection` would start a thread for the resolver.
    conn = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        conn.settimeout(timeout_s)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.connect(address)
    except BaseException:
        conn.close()
        raise
    return conn


class TimedReader:
    """Receives one message, with a limit on the time for all of it.

    The timeout of a socket holds for each read, so a peer that sends a few
    bytes at a time could hold the reader up without end.

    Parameters
    ----------
    conn : socket.socket
        Connection on which the message arrives.
    timeout_s : float
        Time for the message from now on, in seconds. Each received byte extends
        it by the time that the byte takes at `MIN_BYTES_PER_S`.
    """

    def __init__(self, conn: socket.socket, timeout_s: float) -> None:
        self._conn = conn
        self._due_s = time.monotonic() + timeout_s

    def receive(self, most: int) -> bytes:
        """Return the next bytes, at most `most`; empty at the end.

        Raises
        ------
        TimeoutError
            The message takes too long.
        OSError
            The connection failed.
        """
        left_s = self._due_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('the message arrives too slowly')
        self._conn.settimeout(left_s)
        received = self._conn.recv(most)
        self._due_s += len(received) / MIN_BYTES_PER_S
        return received


def listen(address: Address, backlog: int) -> socket.socket:
    """Return a listening socket.

    Parameters
    ----------
    address : Address
        Address to listen on. `SO_REUSEADDR` is set, so that a restarted
        process can bind to it at once.
    backlog : int
        Limit on connections that wait to be accepted.

    Returns
    -------
    socket.socket
        Listening socket.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)
    return listener


def accept_connections(
    listener: socket.socket, events: Any
) -> Iterator[socket.socket]:
    """Yield accepted connections without end.

    A failure to accept one is logged and does not end the server.

    Parameters
    ----------
    listener : socket.socket
        Listening socket.
    events : EventSink
        Log.
    """
    while True:
        try:
            conn, _ = listener.accept()
        except OSError as exc:
            events.event('accept_failed', reason=f'{type(exc).__name__}: {exc}')
            gevent.sleep(_ACCEPT_RETRY_S)
        else:
            yield conn


def is_reusable(conn: socket.socket) -> bool:
    """Return whether an idle connection is open and nothing has arrived on it.

    What arrives without a request, such as a second copy of a response, would
    be taken for the response to the next request.

    Parameters
    ----------
    conn : socket.socket
        Connection without an unanswered request.
    """
    try:
        conn._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
