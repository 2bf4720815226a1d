"""Tests of the control link between both processes, on loopback sockets."""

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


class PacketProcessThread:
    """Server end of the control link, in a thread with its own gevent hub."""

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


async def wait_until(condition):
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
    """Guards against a message kind that the other end does not get.

    The age of a zone that was never heard from is infinite, which not every
    codec can encode; it arrives as a finite number.
    """

    async def scenario():
        packet, reports = PacketProcessThread(), []
        client = make_client(packet.port, reports, [])
        client.start()
        client.send_snapshot(make_snapshot(3))
        await wait_until(lambda: packet.snapshots() and reports)
        await wait_until(
            lambda: any(isinstance(m, Keepalive) for m in packet.messages),
        )
        client.send_snapshot(make_snapshot(4))
        await wait_until(lambda: packet.snapshots() == [3, 4])
        assert packet.messages[0].snapshot.zone_sight_s == {
            'b': control_link.NEVER_HEARD_AGE_S,
        }
        assert reports[0].counters == {'entries_to_copy': 0}
        await client.close()
        packet.close()

    asyncio.run(scenario())


def test_control_reconnects_and_repeats_the_snapshot():
    """Guards against a restarted packet process that gets no snapshot.

    It has lost its snapshot, while the control process has none that is new.
    """

    async def scenario():
        packet, states = PacketProcessThread(), []
        client = make_client(packet.port, [], states)
        client.start()
        client.send_snapshot(make_snapshot(3))
        await wait_until(lambda: packet.snapshots() == [3])
        packet.close()
        await wait_until(lambda: states == [True, False])
        second = PacketProcessThread(packet.port)
        await wait_until(lambda: second.snapshots() == [3])
        await client.close()
        second.close()

    asyncio.run(scenario())


def test_new_control_process_replaces_the_old_connection():
    """Guards against an old connection that blocks a new control process.

    The connection of a control process that was killed can stay open while
    the restarted one connects.
    """

    async def scenario():
        packet = PacketProcessThread()
        old = socket.create_connection(('127.0.0.1', packet.port))
        await asyncio.sleep(0.1)
        client = make_client(packet.port, [], [])
        client.start()
        client.send_snapshot(make_snapshot(5))
        await wait_until(lambda: packet.snapshots() == [5])
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
    """Guards against a packet process that fails on malformed frames.

    Any local process can connect to the port and send other data: a length
    above the limit, an invalid message or an empty one.
    """

    async def scenario():
        packet = PacketProcessThread()
        client_socket = socket.create_connection(('127.0.0.1', packet.port))
        client_socket.sendall(data)
        client_socket.settimeout(5)
        while client_socket.recv(4096):
            pass
        client = make_client(packet.port, [], [])
        client.start()
        client.send_snapshot(make_snapshot(6))
        await wait_until(lambda: packet.snapshots() == [6])
        await client.close()
        packet.close()

    asyncio.run(scenario())


def test_frame_size_is_bounded(monkeypatch):
    """Guards against sending a frame above `MAX_FRAME_BYTES`.

    The receiver rejects such a frame by closing the connection.
    """
    monkeypatch.setattr(control_link, 'MAX_FRAME_BYTES', 10)
    with pytest.raises(LinkFormatError):
        encode_frame(SnapshotMessage(make_snapshot(1)))


def test_unknown_message_is_a_typed_error():
    """Guards against a decoder exception that ends the process.

    A message of an unknown kind has to raise `LinkFormatError`, which closes
    the connection.
    """
    with pytest.raises(LinkFormatError):
        decode_frame(b'\x81\xa4type\xa3odd')
