"""Tests that the comparison of packet engines runs with each of them."""

from dataclasses import replace

import pytest

from siskinproxy.measure import compare
from siskinproxy.measure.compare import POLICIES, measure

DURATION_S = 2.0


@pytest.mark.parametrize('policy', POLICIES)
def test_every_policy_can_be_measured(policy, monkeypatch):
    """Guards against a baseline that lacks a method which engines call.

    ``make measure`` then stops at this baseline, as it did when the admission
    of independent instances had no ``usage``.
    """
    name = next(iter(compare.SCENARIOS))
    short = replace(compare.SCENARIOS[name], duration_s=DURATION_S)
    monkeypatch.setitem(compare.SCENARIOS, name, short)
    result = measure(policy, name, 'alfold', seed=5)
    # Baselines may serve few requests: the comparison is meant to show this.
    assert result.served > (0.9 if policy == 'siskinproxy' else 0)
