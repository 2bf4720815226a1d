"""Ports of a deployment on the loopback interface."""

import random
import socket
from collections.abc import Iterable
from typing import Final

__all__ = ('PortBlock',)

#: Below the ports that the kernel gives to outgoing connections: such a
#: connection could take the port before the process that it is meant for.
_FIRST_PORT: Final = 10000
_LAST_PORT: Final = 32000
_BLOCK_PORTS: Final = 100
_LOOPBACK: Final = '127.0.0.1'


class PortBlock:
    """Ports that no other launcher on this machine takes.

    The first port of the block stays bound. Without that, two launchers could
    find the same port free before either of their processes binds it, and a
    process would be connected to the other deployment.
    """

    def __init__(self) -> None:
        self._guard = _reserve()
        self._next_port: int = self._guard.getsockname()[1]

    def close(self) -> None:
        """Give the block back."""
        self._guard.close()

    def take(self, kind: socket.SocketKind, addresses: Iterable[str]) -> int:
        """Return a port that is free on some addresses.

        Parameters
        ----------
        kind : socket.SocketKind
            TCP or UDP.
        addresses : iterable of str
            IPv4 addresses.

        Returns
        -------
        int
            Port that was not returned before.
        """
        wanted = tuple(addresses)
        while True:
            self._next_port += 1
            port = self._next_port
            if all(_is_free(kind, address, port) for address in wanted):
                return port


def _reserve() -> socket.socket:
    blocks = range(_FIRST_PORT, _LAST_PORT, _BLOCK_PORTS)
    rng = random.SystemRandom()
    while True:
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((_LOOPBACK, rng.choice(blocks)))
        except OSError:
            guard.close()
            continue
        return guard


def _is_free(kind: socket.SocketKind, address: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True
