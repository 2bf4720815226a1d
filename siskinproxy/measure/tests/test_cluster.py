"""Randomised runs of simulated clusters, and proof that each check fires."""

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
    """Guards all checks under loss, partitions, pauses and clock jumps."""
    _, violations = run_scenario(seed, 8, 3, 60)
    assert violations == []


@pytest.mark.parametrize('seed', range(4))
def test_random_faults_with_4_zones(seed):
    """Guards the same in the zones of the second region."""
    _, violations = run_scenario(1000 + seed, 9, 4, 60)
    assert violations == []


@pytest.mark.parametrize('size', [8, 32])
def test_single_faults(size):
    """Guards the limits for one fault at a time at a larger size."""
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
    """Guards the reproduction of a failure from its seed."""
    logs = [run_scenario(7, 8, 3, 20)[0].log for _ in range(2)]
    assert digest_of(logs[0]) == digest_of(logs[1])
    assert digest_of(logs[0]) != digest_of(run_scenario(8, 8, 3, 20)[0].log)


def digest_of(log):
    return hashlib.sha256('\n'.join(log).encode()).hexdigest()


def test_zone_partition_stops_traffic_within_three_seconds():
    """Guards the zone reachability rule on both sides of a partition."""
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
    """Guards the start from peers while the store is unavailable."""
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


# Each broken rule below has to be noticed by the check of that rule.


def test_check_of_detection_fires(monkeypatch):
    """Shows that a failure that is never declared is noticed."""
    monkeypatch.setattr(member_table, 'SUSPICION_S', 60)
    cluster, watcher = make_cluster(8)
    cluster.kill('instance-004')
    cluster.run(4)
    assert checks_of(watcher.violations) == {'detection'}


def test_check_of_revival_fires(monkeypatch):
    """Shows that a live member that stays dead is noticed."""
    monkeypatch.setattr(Membership, '_refute', lambda self, update: None)
    cluster, watcher = make_cluster(8)
    cluster.freeze('instance-004')
    cluster.run(4)
    cluster.resume('instance-004')
    cluster.run(4)
    assert 'revival' in checks_of(watcher.violations)


def test_check_of_dissemination_fires(monkeypatch):
    """Shows that a configuration that does not arrive is noticed."""
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
    """Shows that a lower generation in force is noticed."""
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
    """Shows that a zone that seems reachable without evidence is noticed."""
    monkeypatch.setattr(Reachability, '_age_s', lambda self, zone, now_s: 0)
    cluster, watcher = make_cluster(6)
    cluster.block(['zone-0'], ['zone-1', 'zone-2'])
    cluster.run(2)
    assert 'sight' in checks_of(watcher.violations)


def test_check_of_messages_from_before_a_pause_fires(monkeypatch):
    """Shows that evidence from before a pause is noticed."""
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
    """Shows that a young store read with an old configuration is noticed."""
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
    """Shows that a node over the byte limit is noticed."""
    monkeypatch.setattr(TokenBucket, 'take', lambda *args: True)
    monkeypatch.setattr(membership, 'PROBE_PERIOD_S', 0.01)
    monkeypatch.setattr(membership, 'PAGE_PERIOD_S', 0.05)
    cluster, watcher = make_cluster(8)
    cluster.run(15)
    assert 'bytes' in checks_of(watcher.violations)


def test_scenario_uses_no_global_random_source():
    """Guards the determinism against the module-level generator."""
    random.seed(1)
    first = run_scenario(3, 6, 3, 10)[0].log
    random.seed(2)
    assert run_scenario(3, 6, 3, 10)[0].log == first
