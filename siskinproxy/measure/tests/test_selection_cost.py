"""Tests of the benchmark of the selection of targets."""

import pytest

from siskinproxy.measure.selection_cost import measure_selection


@pytest.mark.parametrize('targets', [1, 10, 100])
def test_every_selection_finds_a_target(targets):
    """Guards against a benchmark that times refusals.

    A service whose targets are all full is refused before the loads differ.
    """
    cost = measure_selection(targets)
    assert cost.targets == targets
    assert cost.selections
    assert 0 < cost.p50_us <= cost.p99_us
    assert cost.mean_us > 0
