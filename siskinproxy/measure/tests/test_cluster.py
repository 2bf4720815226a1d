"""Randomised runs of simulated clusters, and tests that each check can fail."""

import hashlib
import random

import pytest

from siskinproxy.instances import configuration_state, member_table, membership
from siskinproxy.instances.configuration_transfer import ConfigurationTransfer
from siskinproxy.instances.dissemination import TokenBucket
from siskinproxy.instances.membership import Membership
from siskinproxy.instances.reachability import Reachability
from siskinproxy.measure.cluster_checks import ClusterWatcher
from siskinproxy.measure.cluster_scenario import START_S, run_scenario
from siskinproxy.measure.fake_cluster import FakeCluster


def checks_of(violations):
    return {violation.check for violation in violations}


@pytest.mark.parametrize('seed', range(24))
def test_random_faults_at_8_members(seed):
    """Guards all checks against random combinations of faults.

    The faults are crashes, pauses, partitions, loss, clock jumps and outages
    of the store.
    """
    _, violations = run_scenario(seed, 8, 3, 60)
    assert violations == []


@pytest.mark.parametrize('seed', range(4))
def test_random_faults_with_4_zones(seed):
    """Guards all checks against random faults with four zones.

    The second of the two example regions has four zones.
    """
    _, violations = run_scenario(1000 + seed, 9, 4, 60)
    assert violations == []


@pytest.mark.parametrize('size', [8, 32])
def test_single_faults(size):
    """Guards the time limits of the checks against single faults.

    Faults are crashes and a pause, one at a time, also in a larger cluster.
    """
    cluster, watcher = make_cluster(size)
    for _ in range(3):
        name = cluster.rng.choice(sorted(cluster.nodes))
        cluster.kill(name)
        cluster.run(4)
        cluster.start(name)
        cluster.accept()
        cluster.run(12)
    cluster.freeze(name)
    cluster.run(3)
    cluster.resume(name)
    cluster.run(4)
    assert watcher.violations == []


def test_same_seed_gives_the_same_log():
    """Guards against runs that cannot be repeated from their seed."""
    logs = [run_scenario(7, 8, 3, 20)[0].log for _ in range(2)]
    assert digest_of(logs[0]) == digest_of(logs[1])
    assert digest_of(logs[0]) != digest_of(run_scenario(8, 8, 3, 20)[0].log)


def digest_of(log):
    return hashlib.sha256('\n'.join(log).encode()).hexdigest()


def test_zone_partition_stops_traffic_within_three_seconds():
    """Guards against a zone that counts as reachable after a partition.

    Both sides have to see it within 3 s, and the end of the partition as well.
    """
    cluster, _ = make_cluster(9)
    cluster.block(['zone-0'], ['zone-1', 'zone-2'])
    cluster.block(['zone-1', 'zone-2'], ['zone-0'])
    cluster.run(3.1)
    for node in cluster.running():
        sight_s = node.engine.zone_sight_s(cluster.clock(node))
        for zone, age_s in sight_s.items():
            is_cut = (node.zone == 'zone-0') != (zone == 'zone-0')
            assert (age_s > 3) == is_cut
    cluster.heal()
    cluster.run(3)
    for node in cluster.running():
        sight_s = node.engine.zone_sight_s(cluster.clock(node))
        assert max(sight_s.values()) < 3


def test_isolated_zone_keeps_the_configuration_of_the_store():
    """Guards the start of an instance while the store is unavailable.

    It fetches the configuration from its peers, and this stays provisional
    until the store is available again.
    """
    cluster, watcher = make_cluster(6)
    cluster.accept()
    cluster.run(9)
    cluster.store.available = False
    cluster.kill('instance-005')
    cluster.run(5)
    cluster.start('instance-005')
    cluster.run(1.5)
    engine = cluster.nodes['instance-005'].engine
    assert engine.membership.record.status == 'joining'
    cluster.run(30)
    current = engine.configuration.in_force
    assert (current.generation, current.provisional) == (2, True)
    cluster.store.available = True
    cluster.run(4)
    assert not engine.configuration.in_force.provisional
    assert watcher.violations == []


def make_cluster(size, seed=1):
    cluster = FakeCluster(size, 3, seed)
    watcher = ClusterWatcher(cluster, START_S)
    cluster.start_all()
    cluster.run(START_S)
    return cluster, watcher


# Each test below breaks one rule on purpose; the check of the rule must fail.


def test_check_of_detection_fires(monkeypatch):
    """Guards against a check that misses a failure that no member declares."""
    monkeypatch.setattr(member_table, 'SUSPICION_S', 60)
    cluster, watcher = make_cluster(8)
    cluster.kill('instance-004')
    cluster.run(4)
    assert checks_of(watcher.violations) == {'detection'}


def test_check_of_revival_fires(monkeypatch):
    """Guards against a check that misses a live member considered dead.

    Here a member that resumes cannot refute the claim that it is dead.
    """
    monkeypatch.setattr(Membership, '_refute', lambda self, update: None)
    cluster, watcher = make_cluster(8)
    cluster.freeze('instance-004')
    cluster.run(4)
    cluster.resume('instance-004')
    cluster.run(4)
    assert 'revival' in checks_of(watcher.violations)


def test_check_of_dissemination_fires(monkeypatch):
    """Guards against a check that misses a configuration that never arrives."""
    cluster, watcher = make_cluster(8)
    monkeypatch.setattr(
        ConfigurationTransfer,
        'on_header',
        lambda self, header: None,
    )
    cluster.accept()
    cluster.run(12)
    assert 'configuration' in checks_of(watcher.violations)


def test_check_of_monotonic_configuration_fires(monkeypatch):
    """Guards against a check that misses a return to a lower generation."""
    cluster, watcher = make_cluster(8)
    head, sections = cluster.store.head, cluster.store.sections
    cluster.accept()
    cluster.run(3)
    monkeypatch.setattr(
        configuration_state,
        'assert_monotonic',
        lambda before, after: None,
    )
    state = cluster.nodes['instance-000'].engine.configuration
    lower = state.in_force._replace(generation=1)
    monkeypatch.setattr(state, '_in_force', lower)
    assert (head, sections) != (cluster.store.head, cluster.store.sections)
    cluster.run(1)
    assert 'config_monotonic' in checks_of(watcher.violations)


def test_check_of_zone_sight_fires(monkeypatch):
    """Guards against a check that misses a zone wrongly seen as reachable.

    Here all zones have an age of 0 s, whether or not messages arrive.
    """
    monkeypatch.setattr(Reachability, '_age_s', lambda self, zone, now_s: 0)
    cluster, watcher = make_cluster(6)
    cluster.block(['zone-0'], ['zone-1', 'zone-2'])
    cluster.run(2)
    assert 'sight' in checks_of(watcher.violations)


def test_check_of_messages_from_before_a_pause_fires(monkeypatch):
    """Guards against a check that misses stale messages after a pause.

    Here messages queued during the pause make a partitioned zone look
    reachable.
    """
    monkeypatch.setattr(membership, 'RESUME_DISCARD_S', -1)
    cluster, watcher = make_cluster(6)
    cluster.freeze('instance-000')
    cluster.run(1)
    cluster.block(['zone-1', 'zone-2'], ['zone-0'])
    cluster.run(3)
    cluster.resume('instance-000')
    cluster.run(1)
    assert 'sight' in checks_of(watcher.violations)


def test_check_of_store_age_fires(monkeypatch):
    """Guards against a check that misses a wrong age of the last store read.

    Here instances report an age of 0 s although they hold an old generation.
    """
    cluster, watcher = make_cluster(9)
    monkeypatch.setattr(
        ConfigurationTransfer,
        'on_header',
        lambda self, header: None,
    )
    monkeypatch.setattr(
        Reachability,
        'store_age_s',
        lambda self, now_s: 0,
    )
    cluster.accept()
    cluster.run(4)
    assert 'store_age' in checks_of(watcher.violations)


def test_check_of_bytes_fires(monkeypatch):
    """Guards against a check that misses control traffic above the limit."""
    monkeypatch.setattr(TokenBucket, 'take', lambda *args: True)
    monkeypatch.setattr(membership, 'PROBE_PERIOD_S', 0.01)
    monkeypatch.setattr(membership, 'PAGE_PERIOD_S', 0.05)
    cluster, watcher = make_cluster(8)
    cluster.run(15)
    assert 'bytes' in checks_of(watcher.violations)


def test_scenario_uses_no_global_random_source():
    """Guards against runs that depend on the global random generator."""
    random.seed(1)
    first = run_scenario(3, 6, 3, 10)[0].log
    random.seed(2)
    assert run_scenario(3, 6, 3, 10)[0].log == first
