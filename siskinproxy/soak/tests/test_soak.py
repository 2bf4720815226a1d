"""A short run of the soak, and that its checks can fail."""

import pytest

from siskinproxy.soak import run
from siskinproxy.soak.run import Soak, run_seed

#: Seeds that ever failed, with their cause; none so far.
REGRESSIONS = ()


@pytest.mark.parametrize('seed', (3, *REGRESSIONS))
def test_short_run_keeps_the_promises(seed):
    """Guards against a broken promise under overlapping faults."""
    report = run_seed(seed, seconds=4)
    assert report.violations == ()
    assert report.answered > 0.8 * report.requests


@pytest.mark.parametrize(
    ('runs', 'violation'),
    [
        ({'archive-1': 1}, 'service_isolation'),
        ({'desk-1': 2}, 'at_most_once'),
        ({'desk-2': 1}, 'truthful_refusal'),
    ],
)
def test_checks_fire(tmp_path, runs, violation):
    """Guards against checks that cannot fail."""
    soak = Soak(1, tmp_path)
    target = run.SoakTarget(1, 'desk', run.Address('127.0.0.1', 1), 1, None)
    target.runs.update(runs)
    soak._targets = [target]
    soak._processes = []
    refused = run.Outcome()
    refused.was_reset = True
    soak._outcomes = {'desk-2': refused}
    soak._check(recovered=60)
    assert [each.split(':')[0] for each in soak._violations] == [violation]


def test_missing_recovery_is_a_violation(tmp_path):
    """Guards against a system that stays down after the last fault."""
    soak = Soak(1, tmp_path)
    soak._processes = []
    soak._check(recovered=59)
    assert soak._violations == ['recovery: 59']
