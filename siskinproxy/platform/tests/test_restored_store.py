"""Entry process against a store that comes back from an older copy."""

import random
import time

import gevent
import msgspec
import pytest

from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.follower import ChangeFollower, FollowerTiming
from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceDirectory,
    InstanceRecord,
    encode_instance,
)
from siskinproxy.entry.peer_link import PeerServer
from siskinproxy.entry.records import Address
from siskinproxy.entry.restored import RestoreTiming
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.sources import SourceLimits, SourceSelector
from siskinproxy.entry.tests.fakes import Events
from siskinproxy.platform.http_store import HttpStore
from siskinproxy.platform.records import (
    TARGETS_PREFIX,
    TargetEntry,
    decode_item,
)
from siskinproxy.soak.records import configuration_item
from siskinproxy.soak.store import SoakStore

#: Age of the copy, and time between the changes before it and those after it.
COPY_AGE_S = 0.2
TIMING = FollowerTiming(
    watch_s=0.1,
    peer_timeout_s=0.1,
    stale_s=0.3,
    batch_delay_s=0.01,
    retry_s=0.01,
    reregistration_s=0.3,
)
RESTORE_TIMING = RestoreTiming(rewrite_s=0.3, target_silence_s=0.3, lease_s=0.3)
LIMITS = SourceLimits(avoid_s=0.1, avoid_store_s=0.05)
ZONE_KEY = 'op/evacuate/z0'


def target_item(number, state='ready', sequence=1, born=1000):
    """Return the key and the value of a target's entry."""
    entry = TargetEntry(
        service='desk',
        address=f'10.0.0.{number}:80',
        zone='z0',
        version='v1',
        slots=4,
        state=state,
        cold_ms=0,
        sequence=sequence,
        born=born,
    )
    return f'{TARGETS_PREFIX}i-{number:x}', msgspec.json.encode(entry)


class Instance:
    """What an instance knows of the store, directly or from another one."""

    def __init__(self, store, name='i-1', peer=None):
        self.events = Events()
        self.directory = TargetDirectory()
        self.routes = RouteTable()
        self.instances = InstanceDirectory()
        self.cluster_state = ClusterState(
            StoreSchema('', decode_item),
            self.directory,
            self.routes,
            self.instances,
            self.events,
        )
        self.client = HttpStore(store.address, 0.2)
        record = InstanceRecord(name, 'z0', '127.0.0.1', 1)
        if peer is not None:
            self.instances.register(peer)
        self.follower = ChangeFollower(
            name,
            self.client,
            '',
            self.cluster_state,
            SourceSelector(
                record, self.instances, random.Random(1), limits=LIMITS
            ),
            self.events,
            TIMING,
        )
        self.cluster_state.restore_timing = RESTORE_TIMING
        self.server = PeerServer(
            Address('127.0.0.1', 0), self.follower.answer, self.events
        )
        self.follower.start()
        self.server.start()
        self.housekeeping = gevent.spawn(self.expire)

    def expire(self):
        while True:
            gevent.sleep(0.02)
            self.cluster_state.expire(time.monotonic())

    @property
    def in_use(self):
        """Names of the targets that get new flows."""
        return {known.name for known in self.directory.usable_targets('desk')}

    def as_source(self):
        """Return the record of an instance that others ask first."""
        port = self.server.port
        return InstanceRecord('i-1', 'z0', '127.0.0.1', port, link_mbps=10)

    def wait_for(self, condition, seconds=3):
        with gevent.Timeout(seconds, AssertionError('not seen in time')):
            while not condition():
                gevent.sleep(0.005)

    def close(self):
        self.housekeeping.kill()
        self.server.close()
        self.follower.close()
        self.client.close()


@pytest.fixture
def store():
    """Store with version 2 of the configuration and the targets 1 and 2."""
    found = SoakStore()
    found.start()
    found.put(*configuration_item(2))
    found.put(*target_item(1))
    found.put(*target_item(2))
    yield found
    found.close()


@pytest.fixture
def start(store):
    opened = []

    def start_instance(*args, **options):
        found = Instance(store, *args, **options)
        opened.append(found)
        found.wait_for(lambda: found.routes.version)
        return found

    yield start_instance
    for each in opened:
        each.close()


def restore(store, *lost, rewritten=()):
    """Write items, lose them by a restore, and write items again.

    The writes before `lost` are older than the copy. The store is away while
    it is restored.
    """
    gevent.sleep(COPY_AGE_S + 0.1)
    for key, value in lost:
        if value is None:
            store.remove(key)
        else:
            store.put(key, value)
    gevent.sleep(0.05)
    store.mode = 'refuse'
    gevent.sleep(0.12)
    store.restore(COPY_AGE_S)
    for key, value in rewritten:
        store.put(key, value)
    store.mode = 'up'


def changes(count):
    """Return changes of a target that is not used otherwise."""
    return [target_item(9, sequence=number) for number in range(count)]


@pytest.mark.parametrize(
    ('lost', 'before', 'after'),
    [(0, 0, 0), (5, 0, 0), (5, 3, 0), (5, 0, 8), (5, 5, 0)],
    ids=['nothing_lost', 'behind', 'same_revision', 'passed', 'beyond'],
)
def test_a_change_after_a_restore_comes_into_force(
    store, start, lost, before, after
):
    """Guards against revisions of two histories that are compared."""
    found = start()
    change = [configuration_item(3), (ZONE_KEY, b'{}')]
    rewritten = changes(before) + change + changes(after)
    restore(store, *changes(lost), rewritten=rewritten)
    found.wait_for(lambda: found.routes.version == 3)
    found.wait_for(lambda: found.directory.zones_out == {'z0'})


def test_an_instance_of_the_old_history_hides_no_change(store, start):
    """Guards against a restore that instances never learn from each other."""
    first = start('i-1')
    second = start('i-2', peer=first.as_source())
    second.wait_for(lambda: second.follower.source_name == 'i-1')
    change = [configuration_item(3), (ZONE_KEY, b'{}')]
    restore(store, *changes(9), rewritten=change + changes(2))
    second.wait_for(lambda: second.directory.zones_out == {'z0'})
    assert second.routes.version == 3


LEFT = target_item(2, 'draining', sequence=7)


@pytest.mark.parametrize(
    'lost',
    [[LEFT], [(target_item(2)[0], None)], [LEFT, (LEFT[0], None)]],
    ids=['draining', 'ended', 'drained'],
)
def test_a_target_that_left_is_not_used_again(store, start, lost):
    """Guards against an older entry of a target that is taken for a new one."""
    found = start()
    found.wait_for(lambda: found.in_use == {'i-1', 'i-2'})
    restore(store, *lost)
    found.wait_for(lambda: found.events.named('store_restored'))
    gevent.sleep(0.1)
    assert found.in_use == {'i-1'}


def test_targets_that_the_copy_lacks_stay_in_use(store, start):
    """Guards against live targets that are given up until they write again."""
    found = start()
    restore(store, target_item(3))
    found.wait_for(lambda: found.events.named('store_restored'))
    gevent.sleep(0.1)
    assert found.in_use == {'i-1', 'i-2', 'i-3'}


def test_a_zone_stays_out_until_it_is_written_again(store, start):
    """Guards against traffic to a zone whose withdrawal a restore has undone."""
    found = start()
    restore(store, (ZONE_KEY, b'{}'))
    found.wait_for(lambda: found.events.named('store_restored'))
    gevent.sleep(0.1)
    assert found.directory.zones_out == {'z0'}
    store.put(ZONE_KEY, b'{}')
    gevent.sleep(0.5)
    assert found.directory.zones_out == {'z0'}
    store.remove(ZONE_KEY)
    found.wait_for(lambda: not found.directory.zones_out)


def test_a_zone_that_returned_is_not_taken_out_again(store, start):
    """Guards against capacity that a restore withdraws for a moment."""
    store.put(ZONE_KEY, b'{}')
    found = start()
    found.wait_for(lambda: found.directory.zones_out == {'z0'})
    restore(store, (ZONE_KEY, None))
    found.wait_for(lambda: found.events.named('store_restored'))
    gevent.sleep(0.1)
    assert not found.directory.zones_out


def test_a_process_that_starts_after_a_restore_gets_the_newest_version(
    store, start
):
    """Guards against an older configuration that comes back with a restart."""
    first = start('i-1')
    restore(store, configuration_item(5))
    first.wait_for(lambda: first.events.named('store_restored'))
    second = start('i-2', peer=first.as_source())
    assert first.routes.version == 5
    assert second.routes.version == 5


def test_instances_that_the_copy_lacks_stay_registered(store, start):
    """Guards against a fleet whose instances all watch the store themselves."""
    found = start()
    record = InstanceRecord('i-8', 'z0', '127.0.0.1', 8)
    key = f'{INSTANCES_PREFIX}{record.name}'
    restore(store, (key, encode_instance(record)))
    found.wait_for(lambda: found.events.named('store_restored'))
    gevent.sleep(0.1)
    assert [each.name for each in found.instances.registered()] == ['i-8']


def test_a_target_whose_lease_is_as_old_as_the_copy_stays_in_use(store, start):
    """Guards against live targets that lapse right after a restore."""
    found = start()
    restore(store)
    found.wait_for(lambda: found.events.named('store_restored'))
    store.remove(target_item(2)[0])
    found.wait_for(lambda: found.events.named('target_changed')[2:])
    assert found.in_use == {'i-1', 'i-2'}
