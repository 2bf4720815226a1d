"""Tests of the administration interface in control processes.

The processes and the tool run as subprocesses, with a stand-in for the store.
"""

import asyncio
import contextlib
import json
import socket
import subprocess
import sys
import textwrap
import threading
import time

import pytest

from siskinproxy.operators.tests import admin_region, samples
from siskinproxy.standins.store import MemoryStore, StoreServer

START_LIMIT_S = 20
TOOL = 'siskinproxy.operators.ctl'
CONTROL = 'siskinproxy.balancer.control_process'


def _free_udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


@contextlib.contextmanager
def _store(port):
    loop = asyncio.new_event_loop()
    server = StoreServer(MemoryStore(), port)
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(server.start(), loop).result(5)
    yield
    asyncio.run_coroutine_threadsafe(server.close(), loop).result(5)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(5)
    loop.close()


class Cluster:
    """Two control processes, ``i1`` in zone a and ``i2`` in zone b."""

    def __init__(self, directory, store_port):
        self.directory = directory
        self.endpoints = []
        self.processes = []
        seed = _free_udp_port()
        for name, zone, port in (
            ('i1', 'a', seed),
            ('i2', 'b', _free_udp_port()),
        ):
            self._start(name, zone, port, seed, store_port)
        path = directory / 'cfg.json'
        path.write_bytes(admin_region.encode(samples.CONFIGURATION))

    def _start(self, name, zone, port, seed, store_port):
        admin_port = admin_region.free_port()
        path = self.directory / f'{name}.toml'
        path.write_text(
            textwrap.dedent(f"""
                [instance]
                name = "{name}"
                region = "alfold"
                zone = "{zone}"
                address = "127.0.0.1"
                [packet]
                port = {_free_udp_port()}
                link_port = {admin_region.free_port()}
                fabric_address = "127.0.0.1"
                [control]
                port = {port}
                seeds = ["127.0.0.1:{seed}"]
                [store]
                address = "127.0.0.1"
                port = {store_port}
                [admin]
                port = {admin_port}
                token = "{admin_region.TOKEN}"
            """),
        )
        log = open(self.directory / f'{name}.log', 'w')
        command = [sys.executable, '-m', CONTROL, str(path)]
        self.processes.append(subprocess.Popen(command, stderr=log))
        self.endpoints.append(f'127.0.0.1:{admin_port}')

    def tool(self, *arguments):
        command = [
            sys.executable,
            '-m',
            TOOL,
            *arguments,
            f'--endpoints={",".join(self.endpoints)}',
            f'--token={admin_region.TOKEN}',
            '--operator=ildiko',
            '--json',
        ]
        return subprocess.run(
            command,
            capture_output=True,
            encoding='utf-8',
            check=False,
        )

    def wait_for_both_instances(self):
        due_s = time.monotonic() + START_LIMIT_S
        while True:
            found = self.tool('status')
            if found.returncode == 0:
                instances = json.loads(found.stdout)['instances']
                if len(instances) == 2:
                    return
            assert time.monotonic() < due_s, found
            time.sleep(0.1)

    def logs(self):
        return [
            (self.directory / f'{name}.log').read_text()
            for name in ('i1', 'i2')
        ]

    def close(self):
        for process in self.processes:
            process.kill()
            process.wait()


@pytest.fixture
def cluster(tmp_path):
    port = admin_region.free_port()
    with _store(port):
        made = Cluster(tmp_path, port)
        yield made
        made.close()


def test_changes_come_into_effect_everywhere(cluster):
    """Guards against an accepted change that does not reach every instance.

    That happens if a control process does not apply what the tool submitted to
    another one, or if the tool does not try the next endpoint.
    """
    cluster.wait_for_both_instances()
    submitted = cluster.tool('submit', str(cluster.directory / 'cfg.json'))
    assert submitted.returncode == 0, submitted
    assert cluster.tool('zone-out', 'b').returncode == 0
    watched = cluster.tool('watch', '--generation=2', '--timeout_s=20')
    assert watched.returncode == 0, (watched, cluster.logs())
    progress = json.loads(watched.stdout.splitlines()[-1])
    assert progress['confirmed'] == ['i1', 'i2']
    status = json.loads(cluster.tool('status').stdout)
    assert status['generation'] == 2
    assert status['zones'][1] == {'name': 'b', 'in_service': False}
    # With the first instance stopped, the tool uses the next endpoint.
    cluster.processes[0].kill()
    cluster.processes[0].wait()
    assert cluster.tool('zone-in', 'b').returncode == 0
    audit = json.loads(cluster.tool('audit').stdout)
    assert [entry['generation'] for entry in audit['entries']] == [3, 2, 1]
    assert 'event=change' in cluster.logs()[0]


def test_planned_stop_closes_the_interface(cluster):
    """Guards against a control process that never stops.

    That happens if it waits for the server of the interface without closing it.
    """
    cluster.wait_for_both_instances()
    process = cluster.processes[0]
    process.terminate()
    assert process.wait(20) == 0, cluster.logs()
    cluster.endpoints = cluster.endpoints[:1]
    assert cluster.tool('status').returncode == 6
