"""Allocation of free ports for a deployment on the loopback interface."""

import random
import socket
from collections.abc import Iterable
from typing import Final

__all__ = ('PortBlock',)

#: The range lies below the ephemeral ports, which the kernel assigns to
#: outgoing connections: one of them could take a port before the process binds
#: it. The last port is excluded.
_FIRST_PORT: Final = 10000
_LAST_PORT: Final = 32000
#: Number of ports from the start of one block to the start of the next.
_BLOCK_PORTS: Final = 100
_LOOPBACK: Final = '127.0.0.1'


class PortBlock:
    """Block of ports that no other deployment on this machine uses.

    The first port of the block stays bound as a reservation. Otherwise two
    deployments could find the same port free before one of their processes
    binds it, and a process would connect to the other deployment.
    """

    def __init__(self) -> None:
        self._reservation = _reserve_block()
        self._next_port: int = self._reservation.getsockname()[1]

    def close(self) -> None:
        """Release the block."""
        self._reservation.close()

    def allocate(
        self, kind: socket.SocketKind, addresses: Iterable[str]
    ) -> int:
        """Return the next port that is free on all given addresses.

        Parameters
        ----------
        kind : socket.SocketKind
            TCP or UDP.
        addresses : iterable of str
            IPv4 addresses on which the port has to be free.

        Returns
        -------
        int
            Free port that was not returned before.
        """
        address_list = tuple(addresses)
        while True:
            self._next_port += 1
            port = self._next_port
            if all(_is_free(kind, address, port) for address in address_list):
                return port


def _reserve_block() -> socket.socket:
    block_starts = range(_FIRST_PORT, _LAST_PORT, _BLOCK_PORTS)
    rng = random.SystemRandom()
    while True:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            reservation.bind((_LOOPBACK, rng.choice(block_starts)))
        except OSError:
            reservation.close()
            continue
        return reservation


def _is_free(kind: socket.SocketKind, address: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((address, port))
        except OSError:
            return False
    return True
