"""Planned stops in quick succession."""

import pytest

from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.stopping import FORWARD_AFTER_STOP_S, may_leave

#: Time after the signal at which the platform expects an instance to be out
#: of the fabric, and the time that the fabric needs, in seconds.
OUT_AFTER_S = 4.0
FABRIC_S = 1.5


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
    """Guards against a fabric that delivers to an instance that is down.

    Before, two instances of one zone that were stopped 1.2 s apart left the
    fabric with fewer than half, and it delivered to the one that was down.
    """
    assert may_leave(absent, zone_size, waited_s, stop_limit_s=6) is expected


@pytest.mark.parametrize('stop_limit_s', [3, 6, 10])
def test_an_instance_leaves_in_time(stop_limit_s):
    """Guards against an instance that accepts packets for too long.

    Before, it waited 3.5 s, also in a zone of 18; on the grown sites more than
    half of the stopped instances counted as ready 4 s after the signal.
    """
    waited_s = 0
    while not may_leave(2, 3, waited_s, stop_limit_s):
        waited_s += 0.1
    assert waited_s + FORWARD_AFTER_STOP_S < stop_limit_s
    assert waited_s + FABRIC_S < OUT_AFTER_S


def test_absent_instances():
    """Guards against waiting for an instance that is gone for good."""
    view = LoadView()
    for name in ('i-1', 'i-2', 'i-3'):
        view.hear(LoadReport(name, 'a', name == 'i-1', {}), 0)
    view.hear(LoadReport('j-1', 'b', True, {}), 0)
    assert view.absent('a', 0) == ('i-1',)
    view.hear(LoadReport('i-3', 'a', False, {}), 1)
    view.expire(1.5)
    assert set(view.absent('a', 1.5)) == {'i-1', 'i-2'}
    view.hear(LoadReport('i-2', 'a', False, {}), 2)
    assert view.absent('a', 2) == ('i-1',)
    assert view.absent('a', 20) == ()
