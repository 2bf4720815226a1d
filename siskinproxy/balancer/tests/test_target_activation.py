"""Tests of the delay before new targets get flows."""

import pytest

from siskinproxy.balancer.routes import RouteTable
from siskinproxy.balancer.target_activation import (
    TARGET_ACTIVATION_DELAY_S,
    TargetActivation,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

OLD = Target('old', '127.1.1.1', 'a')
NEW = Target('new', '127.1.1.2', 'b')


def configure(*targets, b_in_service=True):
    service = Service('desk', (Listener('203.0.113.1', 80, 7000),), targets)
    zones = (Zone('a'), Zone('b', in_service=b_in_service))
    return Configuration('alfold', zones, (service,))


@pytest.mark.parametrize('start_s', [0.1, 7.3, 12345.678, 1e9 + 0.1])
def test_first_targets_are_active_at_any_time(start_s):
    """Guards against a service that has no active target at the start.

    If the targets counted as in service since one delay ago, rounding could
    make them seem inactive at some times.
    """
    routes = RouteTable()
    activation = TargetActivation(routes)
    routes.apply(configure(OLD, NEW))
    activation.note_configuration(start_s)
    assert activation.service_with_active_targets('desk', start_s).targets == (
        OLD,
        NEW,
    )


@pytest.mark.parametrize(
    'before',
    [configure(OLD), configure(OLD, NEW, b_in_service=False)],
    ids=['added', 'zone-returned'],
)
@pytest.mark.parametrize('start_s', [0.1, 12345.678])
def test_later_targets_wait(before, start_s):
    """Guards against flows to a target before all instances have its route.

    A target gets flows only after a delay in which the other instances apply
    the configuration.
    """
    routes = RouteTable()
    activation = TargetActivation(routes)
    routes.apply(before)
    activation.note_configuration(start_s)
    routes.apply(configure(OLD, NEW))
    changed_s = start_s + 5
    activation.note_configuration(changed_s)
    assert not activation.is_active(
        NEW, changed_s + TARGET_ACTIVATION_DELAY_S / 2
    )
    later_s = changed_s + TARGET_ACTIVATION_DELAY_S + 0.01
    assert activation.has_changed(later_s)
    assert activation.is_active(NEW, later_s)
    assert not activation.has_changed(later_s)
