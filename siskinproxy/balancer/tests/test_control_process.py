"""Guards the control process as a process, on loopback sockets."""

import asyncio
import os
import signal
import socket
import threading
import time

import msgspec
import pytest

from siskinproxy.balancer.tests.control_machine import (
    START_LIMIT_S,
    Machine,
    free_port,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)
from siskinproxy.standins.memory_store import Faults, MemoryStore
from siskinproxy.standins.store import FakeKeyValueClient, StoreServer
from siskinproxy.store.results import Accepted
from siskinproxy.store.submission import submit


def make_configuration(slots=4):
    listener = Listener('10.9.0.1', 80, 8080)
    target = Target('t1', '10.8.0.1', 'b', slots=slots)
    service = Service('desk', (listener,), (target,))
    return Configuration('alfold', (Zone('a'), Zone('b')), (service,))


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


class Platform:
    """Store in a thread with its own loop."""

    def __init__(self):
        self.port = free_port(socket.SOCK_STREAM)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._store = MemoryStore()
        self._server = StoreServer(self._store, self.port)
        self.run(self._server.start())

    def run(self, call):
        return asyncio.run_coroutine_threadsafe(call, self._loop).result(20)

    def submit(self, cfg, base_generation):
        client = FakeKeyValueClient(self._store)
        submission = f's-{base_generation}'
        call = submit(
            client,
            'alfold',
            cfg,
            base_generation,
            submission,
            'test',
            int(time.time()),
        )
        assert isinstance(self.run(call), Accepted)

    def set_outage(self, outage):
        self.run(self._server.set_faults(Faults(outage=outage)))

    def close(self):
        self.run(self._server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()


@pytest.fixture
def platform():
    made = Platform()
    yield made
    made.close()


def start_region(machines, platform, names_and_zones):
    region = []
    for name, zone in names_and_zones:
        machine = machines(name=name, zone=zone)
        seeds = ', '.join(f'"127.0.0.1:{each.port}"' for each in region)
        with open(machine.settings, 'a') as stream:
            stream.write(f'seeds = [{seeds}]\n')
            stream.write('[store]\naddress = "127.0.0.1"\n')
            stream.write(f'port = {platform.port}\n')
        machine.start()
        region.append(machine)
    return region


def names_of(machine):
    if not machine.packet.snapshots:
        return []
    snapshot = machine.packet.snapshots[-1]
    return [member.name for member in snapshot.members]


def generation_of(machine):
    snapshots = machine.packet.snapshots
    return snapshots[-1].generation if snapshots else 0


def until_names(machine, names, limit_s=START_LIMIT_S):
    machine.until(lambda: names_of(machine) == names, limit_s)


def until_generation(machine, generation, limit_s):
    machine.until(lambda: generation_of(machine) == generation, limit_s)


def test_region_follows_the_store_and_its_members(machines, platform):
    """Guards the whole path from the store to every packet process."""
    platform.submit(make_configuration(), 0)
    names = ['i1', 'i2', 'i3', 'i4']
    region = start_region(machines, platform, zip(names, 'aaab', strict=True))
    for machine in region:
        until_names(machine, names)
        assert not machine.packet.snapshots[-1].provisional

    platform.submit(make_configuration(slots=9), 1)
    for machine in region:
        until_generation(machine, 2, limit_s=9)

    os.kill(region[3].process.pid, signal.SIGSTOP)
    region[0].until(lambda: names_of(region[0]) == names[:3], limit_s=4)
    os.kill(region[3].process.pid, signal.SIGCONT)
    for machine in region:
        until_names(machine, names, limit_s=4)

    region[2].process.kill()
    region[2].process.wait()
    for machine in (region[0], region[1], region[3]):
        until_names(machine, ['i1', 'i2', 'i4'], limit_s=4)


def test_start_during_an_outage_is_provisional(machines, platform):
    """Guards the start from peers and its confirmation by the store."""
    platform.submit(make_configuration(), 0)
    region = start_region(machines, platform, [('i1', 'a'), ('i2', 'b')])
    for machine in region:
        until_names(machine, ['i1', 'i2'])
    platform.set_outage(True)
    time.sleep(4)
    late = machines(name='i3', zone='b')
    seeds = f'seeds = ["127.0.0.1:{region[0].port}"]'
    store = f'[store]\naddress = "127.0.0.1"\nport = {platform.port}'
    with open(late.settings, 'a') as stream:
        stream.write(f'{seeds}\n{store}\n')
    late.start()
    late.until(lambda: names_of(late) == ['i1', 'i2', 'i3'])
    assert late.packet.snapshots[0].provisional
    assert late.packet.snapshots[0].configuration == make_configuration()
    platform.set_outage(False)
    late.until(lambda: not late.packet.snapshots[-1].provisional)
