"""Datagrams with which instances tell each other their flows in progress."""

from collections.abc import Callable
from typing import Final

import gevent
import msgspec
from gevent import socket

from siskinproxy.entry.load_view import LoadReport, LoadView, decode_report
from siskinproxy.entry.records import Address

__all__ = ('LoadExchange',)

#: Time between two reports while targets are busy, in seconds. Shorter than
#: the time of a request, so that a report is worth acting on.
BUSY_REPORT_S: Final = 0.05
#: Time between two reports otherwise, in seconds.
REPORT_S: Final = 0.25
_MAX_DATAGRAM_BYTES: Final = 65535
_BATCH: Final = 64
_UDP_OVERHEAD_BYTES: Final = 28
#: Bytes of reports that an instance sends in a second: most of the 23 KB/s
#: that a node may spend on control.
REPORT_BYTES_PER_S: Final = 16_000


class LoadExchange:
    """Sends and receives load reports.

    Parameters
    ----------
    address : Address
        UDP address for other instances.
    view : LoadView
        Own flows, and where reports are kept.
    build : callable
        Returns the current report.
    receivers : callable
        Returns the addresses that get it.
    is_busy : callable
        Returns whether other instances need reports often.
    on_ended : callable
        Gets hashes of flows whose end another instance reports.
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    malformed : int
        Datagrams that held no report.
    unsent : int
        Datagrams that the kernel did not take.
    """

    def __init__(
        self,
        address: Address,
        view: LoadView,
        build: Callable[[], LoadReport],
        receivers: Callable[[], tuple[Address, ...]],
        is_busy: Callable[[], bool],
        on_ended: Callable[[tuple[int, ...], float], None],
        clock: Callable[[], float],
    ) -> None:
        self.malformed = 0
        self.unsent = 0
        self._address = address
        self._view = view
        self._build = build
        self._receivers = receivers
        self._is_busy = is_busy
        self._on_ended = on_ended
        self._clock = clock
        self._socket: socket.socket | None = None
        self._watcher = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Open the socket, receive in the event loop, send in a greenlet."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._on_readable)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop and close the socket."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _run(self) -> None:
        paced_s: float = 0
        while True:
            usual_s = BUSY_REPORT_S if self._is_busy() else REPORT_S
            gevent.sleep(max(usual_s, paced_s))
            sent_bytes = self._send(msgspec.msgpack.encode(self._build()))
            paced_s = sent_bytes / REPORT_BYTES_PER_S

    def _send(self, datagram: bytes) -> int:
        send = self._socket._sock.sendto
        receivers = self._receivers()
        for address in receivers:
            try:
                send(datagram, address)
            except OSError:
                self.unsent += 1
        return len(receivers) * (len(datagram) + _UDP_OVERHEAD_BYTES)

    def _on_readable(self) -> None:
        now_s = self._clock()
        receive = self._socket._sock.recv
        for _ in range(_BATCH):
            try:
                datagram = receive(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # The host of a receiver reported that nothing listens there.
                continue
            report = decode_report(datagram)
            if report is None:
                self.malformed += 1
            else:
                self._view.hear(report, now_s)
                if report.ended:
                    self._on_ended(report.ended, now_s)
