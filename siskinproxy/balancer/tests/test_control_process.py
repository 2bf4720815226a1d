"""Tests of control processes as subprocesses, on loopback sockets."""

import asyncio
import os
import signal
import socket
import threading
import time

import msgspec
import pytest

from siskinproxy.balancer.tests.control_instance import (
    START_LIMIT_S,
    ControlInstance,
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
from siskinproxy.store.head import decode_head, head_key
from siskinproxy.store.results import Accepted
from siskinproxy.store.submission import submit


def make_configuration(slots=4):
    listener = Listener('10.9.0.1', 80, 8080)
    target = Target('t1', '10.8.0.1', 'b', slots=slots)
    service = Service('desk', (listener,), (target,))
    return Configuration('alfold', (Zone('a'), Zone('b')), (service,))


@pytest.fixture
def instances(tmp_path):
    made = []

    def make(**kwargs):
        made.append(ControlInstance(tmp_path, **kwargs))
        return made[-1]

    yield make
    for instance in made:
        instance.close()


def write_configuration(directory, cfg):
    path = directory / 'configuration.json'
    path.write_bytes(msgspec.json.encode(cfg))
    return path


def test_single_machine_reads_its_file_and_reloads_on_sighup(
    instances,
    tmp_path,
):
    """Guards against a configuration file that is not applied.

    Without a store the file is the only source. SIGHUP applies a changed file;
    an invalid one leaves the configuration in force.
    """
    path = write_configuration(tmp_path, make_configuration())
    instance = instances(configuration_file=f'"{path}"')
    instance.start()
    snapshots = instance.packet.snapshots
    instance.wait_until(lambda: snapshots and snapshots[-1].members)
    first = snapshots[-1]
    assert first.configuration == make_configuration()
    assert [member.name for member in first.members] == ['i1']
    assert not first.provisional
    assert max(first.zone_sight_s.values()) < 3

    write_configuration(tmp_path, make_configuration(slots=9))
    os.kill(instance.process.pid, signal.SIGHUP)
    instance.wait_until(lambda: snapshots[-1].generation > first.generation)
    assert snapshots[-1].configuration == make_configuration(slots=9)

    path.write_text('{"broken"')
    os.kill(instance.process.pid, signal.SIGHUP)
    instance.wait_until(lambda: 'reload_failed' in instance.read_log())
    assert snapshots[-1].configuration == make_configuration(slots=9)


def test_planned_stop_waits_for_the_copies(instances, tmp_path):
    """Guards against an exit while flow entries remain to be copied.

    Flows whose entries no peer has would be lost (`graceful_stop`).
    """
    path = write_configuration(tmp_path, make_configuration())
    instance = instances(configuration_file=f'"{path}"')
    instance.start()
    snapshots = instance.packet.snapshots
    instance.wait_until(lambda: snapshots and snapshots[-1].members)
    instance.packet.entries_to_copy = 5
    os.kill(instance.process.pid, signal.SIGTERM)
    instance.wait_until(lambda: snapshots[-1].members[0].status == 'leaving')
    # Longer than the shortest wait of 3 s plus the report period of 1 s.
    time.sleep(4.2)
    assert instance.process.poll() is None
    instance.packet.entries_to_copy = 0
    assert instance.process.wait(5) == 0
    assert 'event=left complete=true' in _without_instance(instance.read_log())


def test_planned_stop_ends_after_the_limit(instances, tmp_path):
    """Guards against a planned stop that waits forever for copies.

    After `drain_limit_s` the process exits and logs how many entries remain.
    """
    path = write_configuration(tmp_path, make_configuration())
    instance = instances(configuration_file=f'"{path}"')
    instance.packet.entries_to_copy = 5
    instance.start()
    snapshots = instance.packet.snapshots
    instance.wait_until(lambda: snapshots and snapshots[-1].members)
    os.kill(instance.process.pid, signal.SIGTERM)
    assert instance.process.wait(12) == 0
    log = _without_instance(instance.read_log())
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
def test_wrong_source_ends_with_code_2(instances, control, expected):
    """Guards against a start with a wrong source of the configuration.

    A missing file and a file together with seeds end the process with exit
    code 2 and one line that names the setting.
    """
    instance = instances(**control)
    instance.start()
    assert instance.process.wait(START_LIMIT_S) == 2
    lines = instance.read_log().splitlines()
    assert len(lines) == 1
    assert expected in lines[0]


class PlatformStore:
    """Stand-in for the platform's store, in a thread with its own loop."""

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

    def restore(self, copied_s):
        """Bring the store back as it was; return the generation in it."""
        self.set_outage(True)
        self._store.restore(0, copied_s)
        found = self.stored_generation()
        self.set_outage(False)
        return found

    def stored_generation(self):
        found = self._store.get(head_key('alfold'), time.monotonic())
        return decode_head('alfold', found).generation

    def set_outage(self, outage):
        self.run(self._server.set_faults(Faults(outage=outage)))

    def close(self):
        self.run(self._server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()


@pytest.fixture
def platform():
    made = PlatformStore()
    yield made
    made.close()


def start_region(instances, platform, names_and_zones):
    region = []
    for name, zone in names_and_zones:
        instance = instances(name=name, zone=zone)
        seeds = ', '.join(f'"127.0.0.1:{each.port}"' for each in region)
        with open(instance.settings, 'a') as stream:
            stream.write(f'seeds = [{seeds}]\n')
            stream.write('[store]\naddress = "127.0.0.1"\n')
            stream.write(f'port = {platform.port}\n')
        instance.start()
        region.append(instance)
    return region


def names_of(instance):
    if not instance.packet.snapshots:
        return []
    snapshot = instance.packet.snapshots[-1]
    return [member.name for member in snapshot.members]


def generation_of(instance):
    snapshots = instance.packet.snapshots
    return snapshots[-1].generation if snapshots else 0


def wait_for_names(instance, names, limit_s=START_LIMIT_S):
    instance.wait_until(lambda: names_of(instance) == names, limit_s)


def wait_for_generation(instance, generation, limit_s):
    instance.wait_until(lambda: generation_of(instance) == generation, limit_s)


def test_region_follows_the_store_and_its_members(instances, platform):
    """Guards against changes that do not reach every packet process.

    Both a change in the store and an instance that stops, resumes or is killed
    have to show in the snapshots of all instances within the time limits.
    """
    platform.submit(make_configuration(), 0)
    names = ['i1', 'i2', 'i3', 'i4']
    region = start_region(instances, platform, zip(names, 'aaab', strict=True))
    for instance in region:
        wait_for_names(instance, names)
        assert not instance.packet.snapshots[-1].provisional

    platform.submit(make_configuration(slots=9), 1)
    for instance in region:
        wait_for_generation(instance, 2, limit_s=9)

    os.kill(region[3].process.pid, signal.SIGSTOP)
    region[0].wait_until(lambda: names_of(region[0]) == names[:3], limit_s=4)
    os.kill(region[3].process.pid, signal.SIGCONT)
    for instance in region:
        wait_for_names(instance, names, limit_s=4)

    region[2].process.kill()
    region[2].process.wait()
    for instance in (region[0], region[1], region[3]):
        wait_for_names(instance, ['i1', 'i2', 'i4'], limit_s=4)


def test_an_accepted_change_outlives_a_restore_of_the_store(
    instances, platform
):
    """Guards against an accepted change that a restored store has lost.

    The next change would be based on the older configuration, and would get a
    generation that the instances have in force with another content.
    """
    platform.submit(make_configuration(), 0)
    region = start_region(instances, platform, [('i1', 'a'), ('i2', 'b')])
    for instance in region:
        wait_for_names(instance, ['i1', 'i2'])
    copied_s = time.monotonic()
    platform.submit(make_configuration(slots=9), 1)
    for instance in region:
        wait_for_generation(instance, 2, limit_s=9)
    assert platform.restore(copied_s) == 1
    region[0].wait_until(lambda: platform.stored_generation() == 2, limit_s=9)
    platform.submit(make_configuration(slots=5), 2)
    for instance in region:
        wait_for_generation(instance, 3, limit_s=9)
        assert instance.packet.snapshots[-1].configuration == (
            make_configuration(slots=5)
        )


def test_start_during_an_outage_is_provisional(instances, platform):
    """Guards against an instance that cannot start without the store.

    It gets the configuration from its peers, marked as provisional, until the
    store can be read again.
    """
    platform.submit(make_configuration(), 0)
    region = start_region(instances, platform, [('i1', 'a'), ('i2', 'b')])
    for instance in region:
        wait_for_names(instance, ['i1', 'i2'])
    platform.set_outage(True)
    # A store read that a peer made in the last 3 s would confirm the
    # configuration.
    time.sleep(4)
    late = instances(name='i3', zone='b')
    seeds = f'seeds = ["127.0.0.1:{region[0].port}"]'
    store = f'[store]\naddress = "127.0.0.1"\nport = {platform.port}'
    with open(late.settings, 'a') as stream:
        stream.write(f'{seeds}\n{store}\n')
    late.start()
    late.wait_until(lambda: names_of(late) == ['i1', 'i2', 'i3'])
    assert late.packet.snapshots[0].provisional
    assert late.packet.snapshots[0].configuration == make_configuration()
    platform.set_outage(False)
    late.wait_until(lambda: not late.packet.snapshots[-1].provisional)
