"""Exchange of load reports between instances, as UDP datagrams.

The socket also carries the evidence of `siskinproxy.entry.evidence`.
"""

from collections.abc import Callable
from typing import Any, Final

import gevent
import msgspec
from gevent import socket

from siskinproxy.entry.evidence import DATAGRAM_PREFIX
from siskinproxy.entry.load_view import LoadReport, decode_report
from siskinproxy.entry.records import Address
from siskinproxy.entry.supervision import Spawn, run_isolated, spawn_plain

__all__ = ('LoadExchange',)

#: Interval between two reports while targets are busy, in seconds. Shorter
#: than the duration of a request; otherwise the counts are outdated when used.
BUSY_REPORT_INTERVAL_S: Final = 0.05
#: Interval between two reports otherwise, in seconds.
REPORT_INTERVAL_S: Final = 0.25
_MAX_DATAGRAM_BYTES: Final = 65535
#: Datagrams that are read before other greenlets may run.
_MAX_DATAGRAMS_PER_CALL: Final = 64
#: IPv4 and UDP header.
_UDP_OVERHEAD_BYTES: Final = 28
#: Limit on the bytes of reports that an instance sends in a second. It uses
#: most of the 23 KB/s that a node may spend on control traffic.
MAX_REPORT_BYTES_PER_S: Final = 16_000


class LoadExchange:
    """Sends the load reports of this instance and receives those of others.

    Parameters
    ----------
    address : Address
        UDP address on which reports are received.
    build_report : callable
        Returns the current report of this instance.
    list_receivers : callable
        Returns the addresses that reports are sent to.
    is_busy : callable
        Returns whether reports are sent at the shorter interval.
    on_report : callable
        Called with each report and the current time in seconds.
    on_evidence : callable
        Called with each datagram that starts with the prefix of evidence, and
        the current time in seconds; returns whether it could be decoded.
    clock : callable
        Returns the current time in seconds.
    events : EventSink
        Log of datagrams whose handling fails.

    Attributes
    ----------
    malformed : int
        Received datagrams that could not be decoded.
    unsent : int
        Datagrams that the kernel did not accept.
    """

    def __init__(
        self,
        address: Address,
        build_report: Callable[[], LoadReport],
        list_receivers: Callable[[], tuple[Address, ...]],
        is_busy: Callable[[], bool],
        on_report: Callable[[LoadReport, float], None],
        on_evidence: Callable[[bytes, float], bool],
        clock: Callable[[], float],
        events: Any,
    ) -> None:
        self.malformed = 0
        self.unsent = 0
        self._address = address
        self._build_report = build_report
        self._list_receivers = list_receivers
        self._is_busy = is_busy
        self._on_report = on_report
        self._on_evidence = on_evidence
        self._clock = clock
        self._events = events
        self._socket: socket.socket | None = None
        self._watcher = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Bind the socket, and begin to receive and send reports."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(self._address)
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._socket.fileno(), 1)
        self._watcher.start(self._on_readable)
        self._greenlet = spawn('load_exchange', self._run)

    def close(self) -> None:
        """Stop sending and receiving, and close the socket."""
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
        pacing_s: float = 0
        while True:
            interval_s = (
                BUSY_REPORT_INTERVAL_S if self._is_busy() else REPORT_INTERVAL_S
            )
            gevent.sleep(max(interval_s, pacing_s))
            sent_bytes = self._send(
                msgspec.msgpack.encode(self._build_report())
            )
            pacing_s = sent_bytes / MAX_REPORT_BYTES_PER_S

    def send_to(self, datagram: bytes, address: Address) -> None:
        """Send a datagram to another instance; a failure is counted."""
        try:
            self._socket._sock.sendto(datagram, address)
        except OSError:
            self.unsent += 1

    def _send(self, datagram: bytes) -> int:
        receivers = self._list_receivers()
        for address in receivers:
            self.send_to(datagram, address)
        return len(receivers) * (len(datagram) + _UDP_OVERHEAD_BYTES)

    def _on_readable(self) -> None:
        now_s = self._clock()
        receive = self._socket._sock.recv
        for _ in range(_MAX_DATAGRAMS_PER_CALL):
            try:
                datagram = receive(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # ICMP error: no process listens at the address of a receiver.
                continue
            run_isolated(
                self._events, 'peer_datagram', self._apply, datagram, now_s
            )

    def _apply(self, datagram: bytes, now_s: float) -> None:
        if datagram.startswith(DATAGRAM_PREFIX):
            if not self._on_evidence(datagram, now_s):
                self.malformed += 1
            return
        report = decode_report(datagram)
        if report is None:
            self.malformed += 1
        else:
            self._on_report(report, now_s)
