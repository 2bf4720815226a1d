"""UDP socket of the fabric and of the targets."""

from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from siskinproxy.entry.records import Address

__all__ = ('PacketSocket',)

#: Largest datagram of the fabric with room to spare.
_MAX_DATAGRAM_BYTES: Final = 2048
#: Packets that are read before other greenlets may run.
_BATCH: Final = 128
#: Receive buffer: packets of a pause of about a second.
_BUFFER_BYTES: Final = 4 * 1024 * 1024


class PacketSocket:
    """Reads packets in the event loop, and sends without waiting.

    Parameters
    ----------
    address : Address
        Address to listen on.
    on_packet : callable
        Gets each datagram.
    on_batch : callable
        Called after each batch of datagrams.

    Attributes
    ----------
    unsent : int
        Datagrams that the kernel did not take.
    """

    def __init__(
        self,
        address: Address,
        on_packet: Callable[[bytes], None],
        on_batch: Callable[[], None],
    ) -> None:
        self.unsent = 0
        self._address = address
        self._on_packet = on_packet
        self._on_batch = on_batch
        self._socket: socket.socket | None = None
        self._watcher = None

    def open(self) -> None:
        """Bind the socket; packets wait in its buffer until `start`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        sock.bind(self._address)
        self._socket = sock

    def start(self) -> None:
        """Read packets whenever some have arrived."""
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._on_readable)

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, address: Address, datagram: bytes) -> None:
        """Send a datagram; one that the kernel does not take is counted."""
        try:
            # The plain socket method: gevent's would wait for buffer space.
            self._socket._sock.sendto(datagram, address)
        except OSError:
            self.unsent += 1

    def drain(self) -> None:
        """Handle the packets that have arrived, at most one batch."""
        receive = self._socket._sock.recv
        for _ in range(_BATCH):
            try:
                packet = receive(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A target's host reported that nothing listens there.
                continue
            self._on_packet(packet)

    def _on_readable(self) -> None:
        self.drain()
        self._on_batch()
