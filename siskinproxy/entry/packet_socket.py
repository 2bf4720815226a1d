"""UDP socket for packets from the fabric, to targets and to callers."""

from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.entry.supervision import run_isolated

__all__ = ('PacketSocket',)

#: Size of a read; larger than any datagram that the fabric sends.
_MAX_DATAGRAM_BYTES: Final = 2048
#: Packets that are read at once before other greenlets may run.
_MAX_BATCH_PACKETS: Final = 128
#: Size of the kernel's receive buffer; holds the packets that arrive while the
#: process is paused for about a second.
_RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024


class PacketSocket:
    """UDP socket that reads in the event loop and never blocks on sending.

    Parameters
    ----------
    address : Address
        Address to bind to.
    on_packet : callable
        Called with each received datagram.
    on_batch : callable
        Called after each batch of datagrams that was read when the socket
        became readable; `drain` does not call it.
    events : EventSink
        Log of packets whose handling fails.

    Attributes
    ----------
    unsent : int
        Datagrams that the kernel did not accept for sending.
    failed : int
        Received datagrams whose handling raised an error.
    """

    def __init__(
        self,
        address: Address,
        on_packet: Callable[[bytes], None],
        on_batch: Callable[[], None],
        events: Any,
    ) -> None:
        self.unsent = 0
        self.failed = 0
        self._address = address
        self._on_packet = on_packet
        self._on_batch = on_batch
        self._events = events
        self._socket: socket.socket | None = None
        self._watcher = None

    def open(self) -> None:
        """Bind the socket; the kernel buffers packets until `start`."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.bind(self._address)
        self._socket = sock

    def start(self) -> None:
        """Start to read packets whenever the socket is readable."""
        loop = gevent.get_hub().loop
        # Event mask 1 stands for readable.
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
        """Send a datagram, or count it as unsent if the kernel refuses it."""
        try:
            # gevent's own method would block while the send buffer is full.
            self._socket._sock.sendto(datagram, address)
        except OSError:
            self.unsent += 1

    def drain(self) -> None:
        """Read and handle the buffered packets, at most one batch."""
        receive = self._socket._sock.recv
        for _ in range(_MAX_BATCH_PACKETS):
            try:
                packet = receive(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A target's host reported that no process listens on the port.
                continue
            if not run_isolated(
                self._events, 'packet', self._on_packet, packet
            ):
                self.failed += 1

    def _on_readable(self) -> None:
        self.drain()
        run_isolated(self._events, 'packet_batch', self._on_batch)
