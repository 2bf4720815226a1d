"""Readiness of instances during planned stops in quick succession."""

import pytest

from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.stopping import (
    FORWARD_AFTER_UNREADY_S,
    may_become_unready,
)

#: Time after the signal at which the platform expects that the fabric delivers
#: no more packets to the instance, in seconds.
OUT_AFTER_S = 4.0
#: Time that the fabric needs after the first failed check, in seconds.
FABRIC_DELAY_S = 1.5


@pytest.mark.parametrize(
    ('absent', 'zone_size', 'waited_s', 'expected'),
    [
        (0, 1, 0, True),
        (0, 2, 0, True),
        (1, 3, 0, False),
        (1, 3, 1.9, False),
        (1, 4, 0, True),
        (2, 4, 0, False),
        (8, 18, 0, True),
        (9, 18, 0, False),
    ],
)
def test_an_instance_waits_if_too_few_would_be_left(
    absent, zone_size, waited_s, expected
):
    """Guards against packets delivered to an instance that is down.

    Two instances of a zone stopped 1.2 s apart can leave fewer than half of it
    ready; the fabric then delivers to all, including the one that is down.
    """
    assert (
        may_become_unready(absent, zone_size, waited_s, stop_limit_s=6)
        is expected
    )


@pytest.mark.parametrize('stop_limit_s', [3, 6, 10])
def test_an_instance_leaves_in_time(stop_limit_s):
    """Guards against an instance that stays ready for too long when stopped.

    With a wait of 3.5 s, also in a zone of 18, more than half of the stopped
    instances of larger deployments still counted as ready 4 s after the signal.
    """
    waited_s = 0
    while not may_become_unready(2, 3, waited_s, stop_limit_s):
        waited_s += 0.1
    assert waited_s + FORWARD_AFTER_UNREADY_S < stop_limit_s
    assert waited_s + FABRIC_DELAY_S < OUT_AFTER_S


def test_absent_instances():
    """Guards against waiting for an instance that will not return.

    One that stops or has fallen silent counts as absent for a few seconds only.
    """
    view = LoadView()
    for name in ('i-1', 'i-2', 'i-3'):
        view.apply_report(LoadReport(name, 'a', name == 'i-1', {}), 0)
    view.apply_report(LoadReport('j-1', 'b', True, {}), 0)
    assert view.absent('a', 0) == ('i-1',)
    view.apply_report(LoadReport('i-3', 'a', False, {}), 1)
    view.expire(1.5)
    assert set(view.absent('a', 1.5)) == {'i-1', 'i-2'}
    view.apply_report(LoadReport('i-2', 'a', False, {}), 2)
    assert view.absent('a', 2) == ('i-1',)
    assert view.absent('a', 20) == ()
