"""Tests of the simulation that compares admission policies."""

import msgspec
import pytest

from siskinproxy.measure.admission_rounds import POLICIES, measure
from siskinproxy.measure.admission_scenarios import (
    DEPLOYMENTS,
    Action,
    Scenario,
)
from siskinproxy.targets.warmup import WarmUp

SHORT = Scenario('short', (Action(3, 'restart', 'target-1'),), measured_s=15)


@pytest.mark.parametrize('policy', POLICIES)
def test_same_seed_gives_the_same_log(policy):
    """Guards against results that differ between runs of the same seed.

    This happens if a policy uses time, hash order or a shared random source.
    """
    first = measure(DEPLOYMENTS[0], SHORT, policy, 5)
    again = measure(DEPLOYMENTS[0], SHORT, policy, 5)
    assert msgspec.json.encode(first) == msgspec.json.encode(again)
    other = measure(DEPLOYMENTS[0], SHORT, policy, 6)
    assert other.log_digest != first.log_digest


ZONE_OUT_AND_BACK = Scenario(
    'return',
    (Action(2, 'zone_out', 'b'), Action(8, 'zone_in', 'b')),
    measured_s=20,
)


@pytest.mark.parametrize('deployment', DEPLOYMENTS[:2], ids=['desk', 'status'])
def test_announced_cold_starts_get_no_more_than_they_can_handle(deployment):
    """Guards against flows beyond what targets can handle after a cold start.

    All targets of a zone return cold at once when it is put back in service.
    """
    result = measure(deployment, ZONE_OUT_AND_BACK, 'owner', 3)
    assert result.warmup_overruns == 0
    assert result.slot_overruns == 0
    assert result.falls == 0
    assert result.served_share > 0.99
    assert result.imbalance_max <= 1.3


def test_broken_warm_up_limit_is_detected(monkeypatch):
    """Guards against a simulation that misses a broken warm-up limit.

    Here the limit of warm targets applies to cold ones, which get overloaded
    and fail.
    """
    monkeypatch.setattr(WarmUp, 'limit', lambda self, full: int(full))
    monkeypatch.setattr(WarmUp, 'may_start', lambda self, now_s: True)
    result = measure(DEPLOYMENTS[0], ZONE_OUT_AND_BACK, 'owner', 3)
    assert result.warmup_overruns > 0
    assert result.falls > 0
