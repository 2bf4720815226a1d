"""Loopback proxy with which connections are delayed, cut or silenced."""

from typing import Final

import gevent
from gevent import socket

from siskinproxy.entry.records import Address

__all__ = ('FaultProxy',)

_BYTES: Final = 65536
_POLL_S: Final = 0.02


class FaultProxy:
    """Passes bytes of TCP connections on, unless told otherwise.

    Parameters
    ----------
    target : Address
        Where connections lead.

    Attributes
    ----------
    mode : {'pass', 'slow', 'silent', 'one_way', 'refuse'}
        What happens to bytes. ``one_way`` passes those of the client only.
    """

    def __init__(self, target: Address) -> None:
        self.mode = 'pass'
        self._target = target
        self._listener: socket.socket | None = None
        self._conns: set[socket.socket] = set()
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def address(self) -> Address:
        """Address that the proxy listens on."""
        return Address(*self._listener.getsockname())

    def start(self) -> None:
        """Listen and pass on in greenlets."""
        self._listener = socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self._greenlets.append(gevent.spawn(self._accept))

    def close(self) -> None:
        """Stop and close all connections."""
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
            onward = socket.socket()
            onward.connect(self._target)
            self._conns.update((conn, onward))
            self._greenlets.append(
                gevent.spawn(self._copy, conn, onward, is_answer=False)
            )
            self._greenlets.append(
                gevent.spawn(self._copy, onward, conn, is_answer=True)
            )

    def _copy(
        self, source: socket.socket, sink: socket.socket, *, is_answer: bool
    ) -> None:
        try:
            while received := source.recv(_BYTES):
                self._hold(is_answer=is_answer)
                sink.sendall(received)
        except OSError:
            # Either end is a process that the soak may have killed.
            return
        sink.close()

    def _hold(self, *, is_answer: bool) -> None:
        while self.mode == 'silent' or (self.mode == 'one_way' and is_answer):
            gevent.sleep(_POLL_S)
        if self.mode == 'slow':
            gevent.sleep(0.1)
