"""Loopback connection between the control and the packet process.

The packet process listens; the control process connects and repeats this
after a failure. A frame is a 4-byte length and a msgpack message.
"""

import asyncio
import contextlib
import struct
from collections.abc import Callable
from typing import Final

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer

from siskinproxy.balancer.snapshot import RoutingSnapshot
from siskinproxy.errors import LinkFormatError
from siskinproxy.logs import EventLog

__all__ = (
    'MAX_FRAME_BYTES',
    'ControlLinkClient',
    'ControlLinkServer',
    'CounterReport',
    'Keepalive',
    'SnapshotMessage',
    'decode_frame',
    'encode_frame',
)

#: A snapshot at the target size has about 0.2 MB.
MAX_FRAME_BYTES: Final = 4_000_000

KEEPALIVE_PERIOD_S: Final = 0.5
REPORT_PERIOD_S: Final = 1.0
RECONNECT_PERIOD_S: Final = 0.2

#: The control process sends a keepalive each 0.5 s and the packet process a
#: report each second; without any frame for this long the peer is stopped or
#: frozen and the connection is closed.
SILENCE_TIMEOUT_S: Final = 5.0

#: Stands for a zone that was never heard from; an infinite value does not
#: survive every codec.
NEVER_S: Final = 1e9

_LENGTH = struct.Struct('!I')
_LOOPBACK: Final = '127.0.0.1'

_log = EventLog('link')


class SnapshotMessage(msgspec.Struct, frozen=True, tag='snapshot'):
    """New routing snapshot."""

    snapshot: RoutingSnapshot


class Keepalive(msgspec.Struct, frozen=True, tag='keepalive'):
    """State of the control process between snapshots.

    Parameters
    ----------
    generation : int
        Generation of the latest snapshot.
    zone_sight_s : dict of str to float
        Seconds since the control process last heard from each zone.
    """

    generation: int
    zone_sight_s: dict[str, float]


class CounterReport(msgspec.Struct, frozen=True, tag='counters'):
    """Counters of the packet process.

    Parameters
    ----------
    generation : int
        Generation that the packet process has applied.
    counters : dict of str to float
        Values by name; ``entries_to_copy`` tells a leaving instance whether
        its handover is complete.
    """

    generation: int
    counters: dict[str, float]


LinkMessage = SnapshotMessage | Keepalive | CounterReport

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LinkMessage)


def encode_frame(message: LinkMessage) -> bytes:
    """Encode a message with its length prefix.

    Parameters
    ----------
    message : LinkMessage
        Message of the link.

    Returns
    -------
    bytes
        Frame.

    Raises
    ------
    LinkFormatError
        If the message exceeds ``MAX_FRAME_BYTES``.
    """
    body = _ENCODER.encode(message)
    _check_length(len(body))
    return _LENGTH.pack(len(body)) + body


def decode_frame(body: bytes) -> LinkMessage:
    """Decode the body of a frame.

    Parameters
    ----------
    body : bytes
        Frame without its length prefix.

    Returns
    -------
    LinkMessage
        Message.

    Raises
    ------
    LinkFormatError
        If the body is no message of the link.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise LinkFormatError(f'reason="{exc}"') from exc


class ControlLinkServer:
    """Side of the packet process, on gevent sockets.

    Parameters
    ----------
    port : int
        Loopback port; 0 selects a free one.
    on_message : callable
        Called with each `SnapshotMessage` and `Keepalive`.
    report : callable
        Returns the `CounterReport` that is sent each second.
    """

    def __init__(
        self,
        port: int,
        on_message: Callable[[SnapshotMessage | Keepalive], None],
        report: Callable[[], CounterReport],
    ) -> None:
        self._on_message = on_message
        self._report = report
        self._server = StreamServer((_LOOPBACK, port), self._serve)
        self._current: socket.socket | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.server_port

    @property
    def is_connected(self) -> bool:
        """Whether a control process is connected."""
        return self._current is not None

    def start(self) -> None:
        """Listen; the connections are served in greenlets."""
        self._server.start()

    def close(self) -> None:
        """Close the listening socket and the connection."""
        self._server.stop(timeout=0)
        if self._current is not None:
            _shut_down(self._current)

    def _serve(self, conn: socket.socket, peer: tuple[str, int]) -> None:
        """Serve a control process; a new connection replaces the old one."""
        if self._current is not None:
            _shut_down(self._current)
        self._current = conn
        conn.settimeout(SILENCE_TIMEOUT_S)
        _log.event('link_connected', peer_port=peer[1])
        reporter = gevent.spawn(self._send_reports, conn)
        try:
            self._read(conn)
        except (OSError, LinkFormatError) as exc:
            _log.warning('link_failed', error=str(exc))
        finally:
            reporter.kill()
            self._forget(conn)

    def _forget(self, conn: socket.socket) -> None:
        conn.close()
        if self._current is conn:
            self._current = None
            _log.warning('link_closed')

    def _read(self, conn: socket.socket) -> None:
        while True:
            prefix = _receive(conn, _LENGTH.size)
            if not prefix:
                return
            length = _LENGTH.unpack(prefix)[0]
            _check_length(length)
            message = decode_frame(_receive(conn, length))
            if not isinstance(message, CounterReport):
                self._on_message(message)

    def _send_reports(self, conn: socket.socket) -> None:
        try:
            while True:
                conn.sendall(encode_frame(self._report()))
                gevent.sleep(REPORT_PERIOD_S)
        except (OSError, LinkFormatError) as exc:
            _log.warning('report_failed', error=str(exc))
            _shut_down(conn)


class ControlLinkClient:
    """Side of the control process, on asyncio streams.

    Parameters
    ----------
    port : int
        Loopback port of the packet process.
    keepalive : callable
        Returns the `Keepalive` to send.
    on_report : callable
        Called with each `CounterReport`.
    on_connection : callable
        Called with True when the link is connected and with False when it
        is lost.
    """

    def __init__(
        self,
        port: int,
        keepalive: Callable[[], Keepalive],
        on_report: Callable[[CounterReport], None],
        on_connection: Callable[[bool], None],
    ) -> None:
        self._port = port
        self._keepalive = keepalive
        self._on_report = on_report
        self._on_connection = on_connection
        self._snapshot: RoutingSnapshot | None = None
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Connect, and connect again after each failure."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def send_snapshot(self, snapshot: RoutingSnapshot) -> None:
        """Send a snapshot now or when the link is connected.

        Parameters
        ----------
        snapshot : RoutingSnapshot
            Only the latest one is sent.
        """
        self._snapshot = snapshot
        self._changed.set()

    async def _run(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    _LOOPBACK,
                    self._port,
                )
            except OSError:
                await asyncio.sleep(RECONNECT_PERIOD_S)
                continue
            self._on_connection(True)
            async with contextlib.AsyncExitStack() as cleanup:
                cleanup.callback(self._on_connection, False)
                cleanup.callback(writer.close)
                await self._exchange(reader, writer)
            await asyncio.sleep(RECONNECT_PERIOD_S)

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._snapshot is not None:
            self._changed.set()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(reader))
                group.create_task(self._write(writer))
        except* (OSError, EOFError, LinkFormatError) as errors:
            for exc in errors.exceptions:
                _log.warning('link_failed', error=str(exc))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                prefix = await reader.readexactly(_LENGTH.size)
                length = _LENGTH.unpack(prefix)[0]
                _check_length(length)
                body = await reader.readexactly(length)
            message = decode_frame(body)
            if isinstance(message, CounterReport):
                self._on_report(message)

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        while True:
            if self._changed.is_set() and self._snapshot is not None:
                self._changed.clear()
                message = SnapshotMessage(_finite(self._snapshot))
                writer.write(encode_frame(message))
            writer.write(encode_frame(_finite(self._keepalive())))
            await writer.drain()
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_PERIOD_S):
                await self._changed.wait()
        except TimeoutError:
            return


def _finite(
    message: RoutingSnapshot | Keepalive,
) -> RoutingSnapshot | Keepalive:
    sight_s = {
        zone: min(age_s, NEVER_S)
        for zone, age_s in message.zone_sight_s.items()
    }
    return msgspec.structs.replace(message, zone_sight_s=sight_s)


def _check_length(length: int) -> None:
    if length > MAX_FRAME_BYTES:
        raise LinkFormatError(f'frame_bytes={length} limit={MAX_FRAME_BYTES}')


def _receive(conn: socket.socket, count: int) -> bytes:
    """Receive exactly `count` bytes, or none if the peer closed."""
    parts = []
    while count:
        part = conn.recv(min(count, 1 << 16))
        if not part:
            return b''
        parts.append(part)
        count -= len(part)
    return b''.join(parts)


def _shut_down(conn: socket.socket) -> None:
    """End a connection, so that its reader returns."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
