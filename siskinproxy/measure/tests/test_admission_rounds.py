import msgspec
import pytest

from siskinproxy.measure.admission_rounds import POLICIES, measure
from siskinproxy.measure.admission_scenarios import (
    DEPLOYMENTS,
    Action,
    Scenario,
)

SHORT = Scenario('short', (Action(3, 'restart', 'target-1'),), measured_s=15)


@pytest.mark.parametrize('policy', POLICIES)
def test_same_seed_gives_the_same_log(policy):
    """Guards against results that cannot be reproduced."""
    first = measure(DEPLOYMENTS[0], SHORT, policy, 5)
    again = measure(DEPLOYMENTS[0], SHORT, policy, 5)
    assert msgspec.json.encode(first) == msgspec.json.encode(again)
    other = measure(DEPLOYMENTS[0], SHORT, policy, 6)
    assert other.log_digest != first.log_digest
