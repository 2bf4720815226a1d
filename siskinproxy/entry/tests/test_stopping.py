"""Planned stops in quick succession."""

import pytest

from siskinproxy.entry.load_view import LoadReport, LoadView
from siskinproxy.entry.stopping import FORWARD_AFTER_STOP_S, may_leave


@pytest.mark.parametrize(
    ('absent', 'waited_s', 'expected'),
    [((), 0, True), (('i-2',), 0, False), (('i-2',), 3, False)],
)
def test_an_instance_waits_for_those_that_are_down(absent, waited_s, expected):
    """Guards against a fabric that delivers to an instance that is down.

    Before, two instances of one zone that were stopped 1.2 s apart left the
    fabric with fewer than half, and it delivered to the one that was down.
    """
    assert may_leave(absent, waited_s, stop_limit_s=6) is expected


@pytest.mark.parametrize('stop_limit_s', [3, 6, 10])
def test_an_instance_ends_before_it_is_forced_to(stop_limit_s):
    """Guards against a forced end while packets are forwarded."""
    waited_s = 0
    while not may_leave(('i-2',), waited_s, stop_limit_s):
        waited_s += 0.1
    assert waited_s + FORWARD_AFTER_STOP_S < stop_limit_s


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
