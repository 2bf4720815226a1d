"""Rate limit of cold targets, over all instances together."""

import gevent
import pytest

from siskinproxy.entry.cluster_state import StoreSchema
from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import KnownTarget, TargetDirectory
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.process import EntryProcess
from siskinproxy.entry.settings import EntrySettings
from siskinproxy.entry.store import PrefixChanges, StoredItem
from siskinproxy.entry.tests.fakes import (
    Instance,
    configuration,
    packet,
    target,
)
from siskinproxy.entry.tests.test_process import write_settings
from siskinproxy.settings_file import read_settings

BOUNDS = ColdBounds(1.5, 5)


@pytest.mark.parametrize('rate_per_s', [0, 1, 10, 40])
@pytest.mark.parametrize('count', [1, 3, 7, 10, 86])
def test_all_instances_together_keep_the_bound(count, rate_per_s):
    """Guards against overload of a cold target by several instances.

    If each instance used the whole bound of the target, it would get the bound
    times the number of instances. Shares that are too small are a fault too:
    at least half of the bound has to be used.
    """
    names = tuple(f'i-{number}' for number in range(count))
    known = KnownTarget(target(1, warmup_left_s=2))
    total = 0
    for name in names:
        limit = ColdLimit(name, BOUNDS)
        limit.set_instances(names)
        sent = 0
        for step in range(100):
            if limit.allows(known, rate_per_s, step / 100):
                limit.note_sent(known, step / 100)
                sent += 1
        total += sent
    assert total <= rate_per_s * 1.5 + 5
    assert total >= (rate_per_s * 1.5 + 5) / 2


def test_instances_that_know_different_fleets_keep_the_bound():
    """Guards against exceeding the bound while an instance joins.

    Instances that know the new one and instances that don't compute different
    shares, whose sum must still be within the bound.
    """
    names = tuple(f'i-{number}' for number in range(10))
    known = KnownTarget(target(1, warmup_left_s=2))
    total = 0
    for number, name in enumerate(names):
        limit = ColdLimit(name, BOUNDS)
        limit.set_instances(names[: 9 + number % 2])
        total += limit.allowance(known, 40)
    assert total <= 40 * 1.5 + 5


def test_a_starting_process_shares_the_bound_before_its_first_packet(tmp_path):
    """Guards against a starting instance that uses the whole bound.

    This happens if the process learns the other instances only in its first
    regular housekeeping, 0.5 s after it is ready.
    """
    path = tmp_path / 'settings.toml'
    write_settings(path)
    cfg = read_settings(str(path), EntrySettings)
    store_schema = StoreSchema(prefix='', decode=lambda item: configuration())
    process = EntryProcess(str(path), cfg, None, store_schema, None)
    record = InstanceRecord('i-9', 'a', '127.0.0.9', 1)
    process.instances.register(record)
    allowances = []
    process.socket.start = lambda: allowances.append(
        process._cold_limit.allowance(KnownTarget(target(1)), 40)
    )
    item = StoredItem('op/config', b'', 1)
    process.cluster_state.apply_changes(
        PrefixChanges((item,), 1, True), 0, source='test'
    )
    housekeeping = gevent.spawn(process._run_housekeeping)
    gevent.sleep(0.05)
    housekeeping.kill()
    (allowance,) = allowances
    assert allowance <= (40 * 1.5 + 5) / 2


def test_the_bound_holds_in_every_second():
    """Guards against a limit that holds only in fixed windows of time.

    Two bursts, at the end of one window and the start of the next, then exceed
    the bound within one second.
    """
    limit = ColdLimit('i-1', BOUNDS)
    known = KnownTarget(target(1, warmup_left_s=2))
    sent = []
    for step in range(400):
        now_s = step / 100
        if limit.allows(known, 10, now_s):
            limit.note_sent(known, now_s)
            sent.append(now_s)
    for start in sent:
        inside = [now_s for now_s in sent if start <= now_s < start + 1]
        assert len(inside) <= 20


def test_cold_targets_are_spared_while_others_are_warm():
    """Guards against new flows to a cold target while warm ones are there.

    A cold target is slow, so its flows would be late.
    """
    records = [target(1), target(2, warmup_left_s=2)]
    instance = Instance(targets=records)
    opened = {instance.open(port, 0).name for port in range(1000, 1005)}
    assert opened == {'t-1'}


def test_openings_wait_for_the_limit_of_cold_targets():
    """Guards against refusing flows that exceed the limit for the moment.

    The cold target can serve them a little later, so they have to wait.
    """
    instance = Instance(targets=[target(1, warmup_left_s=30)])
    for number in range(40):
        instance.engine.on_packet(packet(1000 + number), 0)
    opened = len(instance.outbox.take())
    assert opened <= 20
    assert not instance.events.named('flow_refused')
    assert len(instance.engine.waiting) == 40 - opened


@pytest.mark.parametrize(
    ('left_s', 'cold_at_s', 'is_cold'),
    [(2, 1, True), (2, 2.05, True), (2, 2.2, False), (0, 0, False)],
)
def test_targets_are_cold_for_the_announced_time(left_s, cold_at_s, is_cold):
    """Guards against a limit that ends before the target is warm.

    The announced time is rounded, so a margin is added to it.
    """
    directory = TargetDirectory()
    directory.announce(target(1, warmup_left_s=left_s), 0)
    known = next(directory.targets())
    assert known.is_cold(cold_at_s) is is_cold


def test_targets_of_a_returning_zone_count_as_cold_at_first():
    """Guards against full load on the cold targets of a zone that returns.

    Their announcements of being cold may arrive after the zone is back.
    """
    directory = TargetDirectory()
    directory.announce(target(1, zone='a'), 0)
    directory.take_zone_out('a', 1)
    assert not directory.usable_targets('desk')
    directory.return_zone('a', 10)
    (known,) = directory.usable_targets('desk')
    assert known.is_cold(10.1)
    assert not known.is_cold(10.1 + directory.timing.returned_zone_cold_s)


def test_a_target_that_starts_again_under_its_name_is_cold():
    """Guards against taking a restarted target for a warm one.

    The announcement after a restart has the same name and differs from that of
    a heartbeat only in the start time and the warm-up time.
    """
    directory = TargetDirectory()
    directory.announce(target(1), 0)
    again = target(1, warmup_left_s=2, started_unix_ms=9, revision=2)
    assert directory.announce(again, 5).value == 'restarted'
    assert next(directory.targets()).is_cold(6)
