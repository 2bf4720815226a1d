"""Guards the link between control and packet process on real sockets."""

import asyncio
import socket
import threading

import gevent
import pytest

from siskinproxy.balancer import control_link
from siskinproxy.balancer.control_link import (
    ControlLinkClient,
    ControlLinkServer,
    CounterReport,
    Keepalive,
    SnapshotMessage,
    decode_frame,
    encode_frame,
)
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.errors import LinkFormatError
from siskinproxy.operators.configuration import Configuration


def make_snapshot(generation):
    member = Member('i1', 'a', '127.0.0.1', 1, 2)
    cfg = Configuration('r', (), ())
    return RoutingSnapshot(generation, cfg, (member,), {'b': float('inf')})


class PacketSide:
    """Runs a server in a thread with its own gevent hub."""

    def __init__(self, port=0):
        self.messages = []
        self.port = port
        self._ready = threading.Event()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._ready.wait(5)

    def _run(self):
        report = CounterReport(3, {'entries_to_copy': 0})
        server = ControlLinkServer(
            self.port,
            self.messages.append,
            lambda: report,
        )
        server.start()
        self.port = server.port
        self._ready.set()
        while not self._stop.is_set():
            gevent.sleep(0.01)
        server.close()
        gevent.sleep(0.05)

    def close(self):
        self._stop.set()
        self._thread.join(5)

    def snapshots(self):
        return [
            message.snapshot.generation
            for message in self.messages
            if isinstance(message, SnapshotMessage)
        ]


async def until(condition):
    async with asyncio.timeout(8):
        while not condition():
            await asyncio.sleep(0.01)


def make_client(port, reports, states):
    return ControlLinkClient(
        port,
        lambda: Keepalive(3, {'b': 1.0}),
        reports.append,
        states.append,
    )


def test_snapshot_keepalive_and_report_are_exchanged():
    """Guards the three message kinds and the replacement of infinity."""

    async def scenario():
        packet, reports = PacketSide(), []
        client = make_client(packet.port, reports, [])
        client.start()
        client.send_snapshot(make_snapshot(3))
        await until(lambda: packet.snapshots() and reports)
        await until(
            lambda: any(isinstance(m, Keepalive) for m in packet.messages),
        )
        client.send_snapshot(make_snapshot(4))
        await until(lambda: packet.snapshots() == [3, 4])
        assert packet.messages[0].snapshot.zone_sight_s == {
            'b': control_link.NEVER_S,
        }
        assert reports[0].counters == {'entries_to_copy': 0}
        await client.close()
        packet.close()

    asyncio.run(scenario())


def test_control_reconnects_and_repeats_the_snapshot():
    """Guards a packet process that restarted without a snapshot."""

    async def scenario():
        packet, states = PacketSide(), []
        client = make_client(packet.port, [], states)
        client.start()
        client.send_snapshot(make_snapshot(3))
        await until(lambda: packet.snapshots() == [3])
        packet.close()
        await until(lambda: states == [True, False])
        second = PacketSide(packet.port)
        await until(lambda: second.snapshots() == [3])
        await client.close()
        second.close()

    asyncio.run(scenario())


def test_new_control_process_replaces_the_old_connection():
    """Guards a restarted control process while the old socket lingers."""

    async def scenario():
        packet = PacketSide()
        old = socket.create_connection(('127.0.0.1', packet.port))
        await asyncio.sleep(0.1)
        client = make_client(packet.port, [], [])
        client.start()
        client.send_snapshot(make_snapshot(5))
        await until(lambda: packet.snapshots() == [5])
        old.settimeout(5)
        while old.recv(4096):
            pass
        await client.close()
        packet.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'data',
    [b'\xff\xff\xff\xff', b'\x00\x00\x00\x01\xc1', b'\x00\x00\x00\x00'],
)
def test_malformed_frame_closes_only_that_connection(data):
    """Guards the packet process against a stray client of the port."""

    async def scenario():
        packet = PacketSide()
        stray = socket.create_connection(('127.0.0.1', packet.port))
        stray.sendall(data)
        stray.settimeout(5)
        while stray.recv(4096):
            pass
        client = make_client(packet.port, [], [])
        client.start()
        client.send_snapshot(make_snapshot(6))
        await until(lambda: packet.snapshots() == [6])
        await client.close()
        packet.close()

    asyncio.run(scenario())


def test_frame_size_is_bounded(monkeypatch):
    """Guards against a frame that the other side has to refuse."""
    monkeypatch.setattr(control_link, 'MAX_FRAME_BYTES', 10)
    with pytest.raises(LinkFormatError):
        encode_frame(SnapshotMessage(make_snapshot(1)))


def test_unknown_message_is_a_typed_error():
    """Guards against an unhandled decoder exception."""
    with pytest.raises(LinkFormatError):
        decode_frame(b'\x81\xa4type\xa3odd')
