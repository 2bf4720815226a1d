from typing import get_args

import pytest
from msgspec.structs import replace

from siskinproxy import errors
from siskinproxy.operators import (
    Listener,
    Target,
    Zone,
    describe,
    differences,
    find_differences,
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.operators.tests import samples

CFG = samples.CONFIGURATION


def _with_desk(**changes):
    return samples.with_services(
        replace(samples.DESK, **changes),
        samples.ARCHIVE,
    )


NEW_LISTENER = Listener('203.0.113.1', 444, 7001)
NEW_TARGET = Target('desk-3', '127.1.2.2', 'b')

DIFFERENCES = {
    'same': (CFG, []),
    'order': (
        replace(
            CFG,
            zones=CFG.zones[::-1],
            services=(
                samples.ARCHIVE,
                replace(samples.DESK, targets=samples.DESK.targets[::-1]),
            ),
        ),
        [],
    ),
    'region': (
        replace(CFG, region='lisboa'),
        ['region changed: alfold to lisboa'],
    ),
    'zone-added': (
        replace(CFG, zones=(*CFG.zones, Zone('c'))),
        ['zone c added, in service'],
    ),
    'zone-removed': (
        replace(CFG, zones=(samples.ZONE_A,)),
        ['zone b removed'],
    ),
    'zone-changed': (
        samples.with_zone_a(in_service=False, out_unix_s=5),
        ['zone a changed: now out of service'],
    ),
    'service-removed': (
        samples.with_services(samples.DESK),
        ['service archive with 1 listener and 1 target removed'],
    ),
    'service-added': (
        samples.with_services(
            *CFG.services,
            replace(samples.DESK, name='gate'),
        ),
        ['service gate with 1 listener and 2 targets added'],
    ),
    'listener-added': (
        _with_desk(listeners=(samples.DESK_LISTENER, NEW_LISTENER)),
        ['listener 203.0.113.1:444 of service desk added'],
    ),
    'listener-replaced': (
        _with_desk(listeners=(NEW_LISTENER,)),
        [
            'listener tickets (203.0.113.1:443) of service desk removed',
            'listener 203.0.113.1:444 of service desk added',
        ],
    ),
    'listener-changed': (
        _with_desk(
            listeners=(
                replace(samples.DESK_LISTENER, idempotent=True, name=''),
            )
        ),
        [
            'listener 203.0.113.1:443 of service desk changed: '
            'idempotent false to true, name tickets to none',
        ],
    ),
    'target-added': (
        _with_desk(targets=(*samples.DESK.targets, NEW_TARGET)),
        [
            'target desk-3 of service desk added: address 127.1.2.2, zone b',
        ],
    ),
    'target-removed': (
        _with_desk(targets=(samples.DESK_1,)),
        ['target desk-2 of service desk removed'],
    ),
    'target-changed': (
        _with_desk(
            targets=(
                replace(samples.DESK_1, draining=True, slots=2),
                samples.DESK_2,
            )
        ),
        [
            'target desk-1 of service desk changed: '
            'slots 4 to 2, draining false to true',
        ],
    ),
}


@pytest.mark.parametrize(
    ('new', 'lines'),
    DIFFERENCES.values(),
    ids=DIFFERENCES,
)
def test_describes_each_difference(new, lines):
    """Guards against changes that the audit trail does not show.

    Also guards against lines for a mere change of the order.
    """
    assert [describe(each) for each in find_differences(CFG, new)] == lines


def test_every_difference_has_a_description():
    """Guards against a type of difference that `describe` does not handle."""
    described = set(describe.registry) - {object}
    assert described == set(get_args(differences.Difference))
    with pytest.raises(NotImplementedError):
        describe('text')


def test_takes_zone_out_and_returns_it():
    """Guards against a command that changes anything but its zone."""
    out = with_zone_in_service(CFG, 'a', flag=False)
    assert out == samples.with_zone_a(in_service=False)
    assert with_zone_in_service(out, 'a', flag=True) == CFG


def test_starts_and_ends_a_drain():
    """Guards against a command that changes anything but its target."""
    drained = with_target_draining(CFG, 'desk-2', flag=True)
    (line,) = map(describe, find_differences(CFG, drained))
    assert line == (
        'target desk-2 of service desk changed: draining false to true'
    )
    assert with_target_draining(drained, 'desk-2', flag=False) == CFG


@pytest.mark.parametrize(
    ('change', 'kind'),
    [
        (with_zone_in_service, errors.UnknownZoneError),
        (with_target_draining, errors.UnknownTargetError),
    ],
)
def test_misspelled_name_is_an_error(change, kind):
    """Guards against a command with a misspelled name that does nothing."""
    with pytest.raises(kind):
        change(CFG, 'x', flag=False)
