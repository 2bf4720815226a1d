"""Guards the control process as a process, on loopback sockets."""

import os
import signal
import socket
import subprocess
import sys
import textwrap
import threading
import time

import gevent
import msgspec
import pytest

from siskinproxy.balancer.control_link import (
    ControlLinkServer,
    CounterReport,
    SnapshotMessage,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

START_LIMIT_S = 20


def free_port(kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def make_configuration(slots=4):
    listener = Listener('10.9.0.1', 80, 8080)
    target = Target('t1', '10.8.0.1', 'b', slots=slots)
    service = Service('desk', (listener,), (target,))
    return Configuration('alfold', (Zone('a'), Zone('b')), (service,))


class PacketSide:
    """Stands in for the packet process, in a thread with its own hub."""

    def __init__(self, port):
        self.snapshots = []
        self.entries_to_copy = 0
        self._stop = threading.Event()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(port,))
        self._thread.start()
        assert self._ready.wait(5)

    def _run(self, port):
        server = ControlLinkServer(port, self._on_message, self._report)
        server.start()
        self._ready.set()
        while not self._stop.is_set():
            gevent.sleep(0.01)
        server.close()
        gevent.sleep(0.05)

    def _on_message(self, message):
        if isinstance(message, SnapshotMessage):
            self.snapshots.append(message.snapshot)

    def _report(self):
        return CounterReport(0, {'entries_to_copy': self.entries_to_copy})

    def close(self):
        self._stop.set()
        self._thread.join(5)


class Machine:
    """Control process with its packet side."""

    def __init__(self, directory, name='i1', zone='a', **control):
        self.directory = directory
        self.name = name
        self.port = free_port(socket.SOCK_DGRAM)
        link_port = free_port(socket.SOCK_STREAM)
        self.packet = PacketSide(link_port)
        self.settings = directory / f'{name}.toml'
        lines = '\n'.join(f'{key} = {text}' for key, text in control.items())
        self.settings.write_text(
            textwrap.dedent(f"""
                [instance]
                name = "{name}"
                region = "alfold"
                zone = "{zone}"
                address = "127.0.0.1"
                [packet]
                port = {free_port(socket.SOCK_DGRAM)}
                link_port = {link_port}
                fabric_address = "127.0.0.1"
                [limits]
                drain_limit_s = 6
                [control]
                port = {self.port}
            """)
            + lines
            + '\n'
        )
        self.log = open(directory / f'{name}.log', 'w+')
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'siskinproxy.balancer.control_process',
                str(self.settings),
            ],
            stderr=self.log,
        )

    def read_log(self):
        with open(self.log.name) as stream:
            return stream.read()

    def until(self, condition, limit_s=START_LIMIT_S):
        due_s = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < due_s, self.read_log()
            assert self.process.poll() is None, self.read_log()
            time.sleep(0.02)

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.packet.close()
        self.log.close()


@pytest.fixture
def machines(tmp_path):
    made = []

    def make(**kwargs):
        made.append(Machine(tmp_path, **kwargs))
        return made[-1]

    yield make
    for machine in made:
        machine.close()


def write_configuration(directory, cfg):
    path = directory / 'configuration.json'
    path.write_bytes(msgspec.json.encode(cfg))
    return path


def test_single_machine_reads_its_file_and_reloads_on_sighup(
    machines,
    tmp_path,
):
    """Guards the default without a platform."""
    path = write_configuration(tmp_path, make_configuration())
    machine = machines(configuration_file=f'"{path}"')
    machine.start()
    snapshots = machine.packet.snapshots
    machine.until(lambda: snapshots and snapshots[-1].members)
    first = snapshots[-1]
    assert first.configuration == make_configuration()
    assert [member.name for member in first.members] == ['i1']
    assert not first.provisional
    assert max(first.zone_sight_s.values()) < 3

    write_configuration(tmp_path, make_configuration(slots=9))
    os.kill(machine.process.pid, signal.SIGHUP)
    machine.until(lambda: snapshots[-1].generation > first.generation)
    assert snapshots[-1].configuration == make_configuration(slots=9)

    path.write_text('{"broken"')
    os.kill(machine.process.pid, signal.SIGHUP)
    machine.until(lambda: 'reload_failed' in machine.read_log())
    assert snapshots[-1].configuration == make_configuration(slots=9)


def test_planned_stop_waits_for_the_copies(machines, tmp_path):
    """Guards `graceful_stop`: no exit while entries remain to be copied."""
    path = write_configuration(tmp_path, make_configuration())
    machine = machines(configuration_file=f'"{path}"')
    machine.start()
    snapshots = machine.packet.snapshots
    machine.until(lambda: snapshots and snapshots[-1].members)
    machine.packet.entries_to_copy = 5
    os.kill(machine.process.pid, signal.SIGTERM)
    machine.until(lambda: snapshots[-1].members[0].status == 'leaving')
    time.sleep(4.2)
    assert machine.process.poll() is None
    machine.packet.entries_to_copy = 0
    assert machine.process.wait(5) == 0
    assert 'event=left complete=true' in _without_instance(machine.read_log())


def test_planned_stop_ends_after_the_limit(machines, tmp_path):
    """Guards the bound of a planned stop and the line that states the rest."""
    path = write_configuration(tmp_path, make_configuration())
    machine = machines(configuration_file=f'"{path}"')
    machine.packet.entries_to_copy = 5
    machine.start()
    snapshots = machine.packet.snapshots
    machine.until(lambda: snapshots and snapshots[-1].members)
    os.kill(machine.process.pid, signal.SIGTERM)
    assert machine.process.wait(12) == 0
    log = _without_instance(machine.read_log())
    assert 'event=left complete=false' in log
    assert 'entries_to_copy=5' in log


def _without_instance(log):
    return log.replace(' instance=i1', '')


@pytest.mark.parametrize(
    ('control', 'expected'),
    [
        ({'configuration_file': '"absent.json"'}, 'readable file'),
        (
            {'configuration_file': '"a.json"', 'seeds': '["127.0.0.1:9"]'},
            'key=control.seeds',
        ),
    ],
)
def test_wrong_source_ends_with_code_2(machines, control, expected):
    """Guards exit code 2 and one line for a wrong settings file."""
    machine = machines(**control)
    machine.start()
    assert machine.process.wait(START_LIMIT_S) == 2
    lines = machine.read_log().splitlines()
    assert len(lines) == 1
    assert expected in lines[0]
