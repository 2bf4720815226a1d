"""Control processes with fake packet processes, for tests."""

import socket
import subprocess
import sys
import textwrap
import threading
import time

import gevent

from siskinproxy.balancer.control_link import (
    ControlLinkServer,
    CounterReport,
    SnapshotMessage,
)

#: Most seconds that a start or a change may take in a test.
START_LIMIT_S = 20


def free_port(kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class FakePacketProcess:
    """Packet process that only serves the control link.

    It runs in a thread with its own gevent hub, and records the routing
    snapshots that it gets.

    Parameters
    ----------
    port : int
        Loopback TCP port of the control link.

    Attributes
    ----------
    snapshots : list of RoutingSnapshot
        Snapshots received, oldest first.
    entries_to_copy : int
        Value of that counter in the reports to the control process.
    """

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


class ControlInstance:
    """Control process in a subprocess, with a fake packet process.

    Parameters
    ----------
    directory : Path
        Where the settings file and the log are written.
    name : str
        Name of the instance.
    zone : str
        Availability zone.
    **control : str
        TOML values of further keys of the section ``control``.
    """

    def __init__(self, directory, name='i1', zone='a', **control):
        self.directory = directory
        self.name = name
        self.port = free_port(socket.SOCK_DGRAM)
        link_port = free_port(socket.SOCK_STREAM)
        self.packet = FakePacketProcess(link_port)
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

    def wait_until(self, condition, limit_s=START_LIMIT_S):
        deadline_s = time.monotonic() + limit_s
        while not condition():
            assert time.monotonic() < deadline_s, self.read_log()
            assert self.process.poll() is None, self.read_log()
            time.sleep(0.02)

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.packet.close()
        self.log.close()
