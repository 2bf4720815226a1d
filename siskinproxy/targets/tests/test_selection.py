import random

import pytest

from siskinproxy.callers import AdmittedReason
from siskinproxy.operators.configuration import Target
from siskinproxy.targets.selection import select_target
from siskinproxy.targets.target_state import TargetState


def build_state(name, *, zone='a', in_use=0, slots=4, busy_s=0.0):
    state = TargetState(Target(name, '10.1.0.1', zone, slots), 0.0)
    state.requests.change(1, 0.0)
    state.requests.change(-1, busy_s)
    state.requests.change(in_use, 9.0)
    return state


@pytest.mark.parametrize(
    ('states', 'zone', 'name', 'reason'),
    [
        (
            (build_state('x', in_use=2), build_state('y', in_use=1)),
            'a',
            'y',
            AdmittedReason.INGRESS_ZONE,
        ),
        (
            (build_state('x', in_use=2, slots=8), build_state('y', in_use=2)),
            'c',
            'x',
            AdmittedReason.BALANCED,
        ),
        (
            (build_state('x', busy_s=2), build_state('y', busy_s=1)),
            'c',
            'y',
            AdmittedReason.BALANCED,
        ),
        (
            (
                build_state('x', busy_s=2.0, zone='a'),
                build_state('y', busy_s=1.9, zone='b'),
            ),
            'a',
            'x',
            AdmittedReason.INGRESS_ZONE,
        ),
        (
            (
                build_state('x', busy_s=2.2, zone='a'),
                build_state('y', busy_s=1.7, zone='b'),
            ),
            'a',
            'y',
            AdmittedReason.BALANCED,
        ),
    ],
    ids=['in-use', 'slots', 'busy-time', 'zone-within-5%', 'zone-above-5%'],
)
def test_selects_by_use_then_busy_time_then_zone(states, zone, name, reason):
    """Guards against an uneven load of the targets.

    It arises if targets with few slots get as many flows as others, if ties
    ignore the recent load, or if the ingress zone is preferred without bound.
    """
    mean_busy_s = sum(
        state.requests.busy_s(9.0) / state.target.slots for state in states
    ) / len(states)
    selected, reason_found = select_target(
        states, 'request', zone, mean_busy_s, 9.0, random.Random(1)
    )
    assert selected.target.name == name
    assert reason_found is reason
