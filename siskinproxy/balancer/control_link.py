"""Control link: TCP connection between control and packet process.

The packet process listens on the loopback interface; the control process
connects, and connects again after a failure. It sends routing snapshots and
keepalives and gets the counters of the packet process. A frame is a 4-byte
length in network byte order and a msgpack message.
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

#: Largest body of a frame. A snapshot at the size that the system is designed
#: for has about 0.2 MB.
MAX_FRAME_BYTES: Final = 4_000_000

KEEPALIVE_PERIOD_S: Final = 0.5
REPORT_PERIOD_S: Final = 1.0
RECONNECT_PERIOD_S: Final = 0.2

#: The connection is closed when no frame arrives for this time. The control
#: process sends a keepalive every 0.5 s and the packet process a report every
#: second, so the peer has stopped or hangs.
IDLE_TIMEOUT_S: Final = 5.0

#: Age sent for a zone that was never heard from, since not every codec can
#: encode infinity.
NEVER_HEARD_AGE_S: Final = 1e9

_LENGTH_PREFIX = struct.Struct('!I')
_LOOPBACK: Final = '127.0.0.1'

_log = EventLog('link')


class SnapshotMessage(msgspec.Struct, frozen=True, tag='snapshot'):
    """Message with a new routing snapshot for the packet process."""

    snapshot: RoutingSnapshot


class Keepalive(msgspec.Struct, frozen=True, tag='keepalive'):
    """Message of the control process between snapshots.

    Parameters
    ----------
    generation : int
        Generation of the configuration in force.
    zone_sight_s : dict of str to float
        Seconds since the control process last heard from each zone.
    """

    generation: int
    zone_sight_s: dict[str, float]


class CounterReport(msgspec.Struct, frozen=True, tag='counters'):
    """Message with the counters of the packet process.

    Parameters
    ----------
    generation : int
        Generation that the packet process has applied.
    counters : dict of str to float
        Values by name. ``entries_to_copy`` is 0 when the flow entries have
        been copied to other instances, so that a leaving instance can exit.
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
        Message to send.

    Returns
    -------
    bytes
        Frame.

    Raises
    ------
    LinkFormatError
        If the encoded message exceeds ``MAX_FRAME_BYTES``.
    """
    body = _ENCODER.encode(message)
    _check_body_length(len(body))
    return _LENGTH_PREFIX.pack(len(body)) + body


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
        If the body is not a message of a known kind.
    """
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise LinkFormatError(f'reason="{exc}"') from exc


class ControlLinkServer:
    """End of the control link in the packet process, on gevent sockets.

    Parameters
    ----------
    port : int
        Loopback port; 0 selects a free one.
    on_message : callable
        Called with each `SnapshotMessage` and `Keepalive` received.
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
        """Start to listen; greenlets serve the connections."""
        self._server.start()

    def close(self) -> None:
        """Close the listening socket and the connection."""
        self._server.stop(timeout=0)
        if self._current is not None:
            _shut_down(self._current)

    def _serve(self, conn: socket.socket, peer: tuple[str, int]) -> None:
        """Serve a connection, which replaces an earlier one.

        A control process that restarted can connect before the end of its
        earlier connection is noticed.
        """
        if self._current is not None:
            _shut_down(self._current)
        self._current = conn
        conn.settimeout(IDLE_TIMEOUT_S)
        _log.event('link_connected', peer_port=peer[1])
        reporter = gevent.spawn(self._send_reports, conn)
        try:
            self._read(conn)
        except (OSError, LinkFormatError) as exc:
            _log.warning('link_failed', error=str(exc))
        finally:
            reporter.kill()
            self._close_connection(conn)

    def _close_connection(self, conn: socket.socket) -> None:
        conn.close()
        if self._current is conn:
            self._current = None
            _log.warning('link_closed')

    def _read(self, conn: socket.socket) -> None:
        while True:
            prefix = _receive(conn, _LENGTH_PREFIX.size)
            if not prefix:
                return
            length = _LENGTH_PREFIX.unpack(prefix)[0]
            _check_body_length(length)
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
    """End of the control link in the control process, on asyncio streams.

    Parameters
    ----------
    port : int
        Loopback port of the packet process.
    keepalive : callable
        Returns the `Keepalive` to send.
    on_report : callable
        Called with each `CounterReport` received.
    on_connection : callable
        Called with True after the link is connected and with False after the
        connection is lost.
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
        self._snapshot_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a task that connects, and connects again after a failure."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Close the connection and end the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def send_snapshot(self, snapshot: RoutingSnapshot) -> None:
        """Send a snapshot now, and again after each reconnection.

        Parameters
        ----------
        snapshot : RoutingSnapshot
            Snapshot; replaces an earlier one that was not sent yet.
        """
        self._snapshot = snapshot
        self._snapshot_changed.set()

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
            self._snapshot_changed.set()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(reader))
                group.create_task(self._write(writer))
        except* (OSError, EOFError, LinkFormatError) as errors:
            for exc in errors.exceptions:
                _log.warning('link_failed', error=str(exc))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                prefix = await reader.readexactly(_LENGTH_PREFIX.size)
                length = _LENGTH_PREFIX.unpack(prefix)[0]
                _check_body_length(length)
                body = await reader.readexactly(length)
            message = decode_frame(body)
            if isinstance(message, CounterReport):
                self._on_report(message)

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        while True:
            if self._snapshot_changed.is_set() and self._snapshot is not None:
                self._snapshot_changed.clear()
                message = SnapshotMessage(
                    _replace_infinite_ages(self._snapshot)
                )
                writer.write(encode_frame(message))
            writer.write(
                encode_frame(_replace_infinite_ages(self._keepalive()))
            )
            await writer.drain()
            await self._wait_for_snapshot()

    async def _wait_for_snapshot(self) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_PERIOD_S):
                await self._snapshot_changed.wait()
        except TimeoutError:
            return


def _replace_infinite_ages(
    message: RoutingSnapshot | Keepalive,
) -> RoutingSnapshot | Keepalive:
    """Replace the infinite age of a zone that was never heard from."""
    sight_s = {
        zone: min(age_s, NEVER_HEARD_AGE_S)
        for zone, age_s in message.zone_sight_s.items()
    }
    return msgspec.structs.replace(message, zone_sight_s=sight_s)


def _check_body_length(length: int) -> None:
    if length > MAX_FRAME_BYTES:
        raise LinkFormatError(f'frame_bytes={length} limit={MAX_FRAME_BYTES}')


def _receive(conn: socket.socket, count: int) -> bytes:
    """Receive exactly `count` bytes; return none if the connection ends."""
    parts = []
    while count:
        part = conn.recv(min(count, 1 << 16))
        if not part:
            return b''
        parts.append(part)
        count -= len(part)
    return b''.join(parts)


def _shut_down(conn: socket.socket) -> None:
    """Shut a connection down, so that the greenlet that reads it returns."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
