"""TCP proxy on loopback that delays, blocks, refuses or closes connections."""

from typing import Final

import gevent
from gevent import socket

from siskinproxy.entry.records import Address

__all__ = ('FaultProxy',)

_RECEIVE_BYTES: Final = 65536
_MODE_POLL_S: Final = 0.02


class FaultProxy:
    """Forwards TCP connections, with faults while a mode other than pass is set.

    Parameters
    ----------
    target : Address
        Address to which connections are forwarded.

    Attributes
    ----------
    mode : {'pass', 'slow', 'silent', 'one_way', 'refuse'}
        Current fault. ``pass`` forwards all bytes; ``slow`` delays each piece
        that is received by 0.1 s; ``silent`` holds all bytes back; ``one_way``
        holds back those sent to the client; ``refuse`` closes new connections
        and forwards the others.
    """

    def __init__(self, target: Address) -> None:
        self.mode = 'pass'
        self._upstream_address = target
        self._listener: socket.socket | None = None
        self._conns: set[socket.socket] = set()
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def address(self) -> Address:
        """Address that the proxy listens on."""
        return Address(*self._listener.getsockname())

    def start(self) -> None:
        """Listen, and forward connections in greenlets."""
        self._listener = socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self._greenlets.append(gevent.spawn(self._accept))

    def close(self) -> None:
        """Stop listening and close all connections."""
        gevent.killall(self._greenlets)
        self.reset()
        self._listener.close()

    def reset(self) -> None:
        """Close all connections."""
        for conn in tuple(self._conns):
            conn.close()
        self._conns.clear()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            if self.mode == 'refuse':
                conn.close()
                continue
            upstream = socket.socket()
            upstream.connect(self._upstream_address)
            self._conns.update((conn, upstream))
            self._greenlets.append(
                gevent.spawn(self._forward, conn, upstream, is_answer=False)
            )
            self._greenlets.append(
                gevent.spawn(self._forward, upstream, conn, is_answer=True)
            )

    def _forward(
        self, source: socket.socket, sink: socket.socket, *, is_answer: bool
    ) -> None:
        try:
            while received := source.recv(_RECEIVE_BYTES):
                self._apply_mode(is_answer=is_answer)
                sink.sendall(received)
        except OSError:
            # The test kills processes at either end of a connection.
            return
        sink.close()

    def _apply_mode(self, *, is_answer: bool) -> None:
        while self.mode == 'silent' or (self.mode == 'one_way' and is_answer):
            gevent.sleep(_MODE_POLL_S)
        if self.mode == 'slow':
            gevent.sleep(0.1)
