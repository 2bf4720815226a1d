"""Tests of the soak test: a short run, and the checks of its invariants."""

import pytest

from siskinproxy.soak import run
from siskinproxy.soak.run import Soak, run_seed

#: Seeds that violated an invariant, each with the cause; none so far.
REGRESSIONS = ()


@pytest.mark.parametrize('seed', (3, *REGRESSIONS))
def test_short_run_keeps_the_promises(seed):
    """Overlapping faults must not violate an invariant.

    More than 80% of all requests of the run must be answered.
    """
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
    """A check that never reports a violation would hide real ones."""
    soak = Soak(1, tmp_path)
    target = run.SoakTarget(1, 'desk', run.Address('127.0.0.1', 1), 1, None)
    target.runs.update(runs)
    soak._targets = [target]
    soak._processes = []
    refused = run.Outcome()
    refused.was_reset = True
    soak._outcomes = {'desk-2': refused}
    soak._check_invariants(recovered=60)
    assert [each.split(':')[0] for each in soak._violations] == [violation]


def test_an_older_configuration_is_a_violation(tmp_path):
    """An instance that misses a change after a restore must be a violation."""

    class Process:
        """Process that runs with version 3."""

        host = '127.0.0.1'
        config_version = 3

        def has_exited(self):
            return False

        def fetch_status(self):
            return self

    soak = Soak(1, tmp_path)
    soak._processes = [Process()]
    for version, count in ((3, 0), (4, 1)):
        soak._version = version
        soak._check_invariants(recovered=60)
        assert len(soak._violations) == count


def test_missing_recovery_is_a_violation(tmp_path):
    """A request that fails after the recovery time must be a violation.

    Otherwise a system that stays down after the last fault would pass.
    """
    soak = Soak(1, tmp_path)
    soak._processes = []
    soak._check_invariants(recovered=59)
    assert soak._violations == ['recovery: 59']
