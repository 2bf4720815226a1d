from typing import get_args

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from siskinproxy import errors
from siskinproxy.operators import (
    Listener,
    RetiredTarget,
    Service,
    Target,
    Zone,
    describe,
    differences,
    find_differences,
    retire,
    validate,
    with_target_draining,
    with_zone_in_service,
)
from siskinproxy.operators.tests import samples
from siskinproxy.operators.validation import ADDRESS_REUSE_DELAY_S

CFG = samples.CONFIGURATION
GENERATION = 9
NOW_S = samples.RETIRED_UNIX_S + 10


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
        samples.with_zone_a(in_service=False),
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
    """Guards against changes that the audit trail does not show."""
    assert [describe(each) for each in find_differences(CFG, new)] == lines


def test_every_difference_has_a_description():
    """Guards against a new type of difference without a line."""
    described = set(describe.registry) - {object}
    assert described == set(get_args(differences.Difference))
    with pytest.raises(NotImplementedError):
        describe('text')


def _entry(target, *ports, service='desk', generation=GENERATION, now=NOW_S):
    return RetiredTarget(service, target, ports, generation, now)


OLD_ENTRY = samples.retired_target('127.1.1.9')
EXPIRED_S = samples.RETIRED_UNIX_S + ADDRESS_REUSE_DELAY_S

RETIREMENTS = {
    'nothing-removed': (CFG, CFG, NOW_S, []),
    'target-removed': (
        CFG,
        _with_desk(targets=(samples.DESK_1,)),
        NOW_S,
        [_entry(samples.DESK_2, 7000)],
    ),
    'service-removed': (
        CFG,
        samples.with_services(samples.DESK),
        NOW_S,
        [_entry(samples.ARCHIVE_1, 7002, service='archive')],
    ),
    'address-changed': (
        CFG,
        _with_desk(
            targets=(
                replace(samples.DESK_1, address='127.1.1.2'),
                samples.DESK_2,
            )
        ),
        NOW_S,
        [_entry(samples.DESK_1, 7000)],
    ),
    'target-renamed': (
        CFG,
        _with_desk(
            targets=(replace(samples.DESK_1, name='desk-9'), samples.DESK_2)
        ),
        NOW_S,
        [],
    ),
    'target-port-replaced': (
        CFG,
        _with_desk(
            listeners=(replace(samples.DESK_LISTENER, target_port=7001),)
        ),
        NOW_S,
        [_entry(samples.DESK_1, 7000), _entry(samples.DESK_2, 7000)],
    ),
    'entry-kept': (replace(CFG, retired=(OLD_ENTRY,)), CFG, NOW_S, [OLD_ENTRY]),
    'entry-kept-to-last-second': (
        replace(CFG, retired=(OLD_ENTRY,)),
        CFG,
        EXPIRED_S - 1,
        [OLD_ENTRY],
    ),
    'entry-expired': (
        replace(CFG, retired=(OLD_ENTRY,)),
        CFG,
        EXPIRED_S,
        [],
    ),
    'entry-of-new-ignored': (
        CFG,
        replace(CFG, retired=(OLD_ENTRY,)),
        NOW_S,
        [],
    ),
    'zone-was-out-of-service': (
        samples.with_zone_a(
            in_service=False,
            cfg=replace(CFG, retired=(OLD_ENTRY,)),
        ),
        _with_desk(targets=(samples.DESK_2,)),
        NOW_S,
        [],
    ),
    'zone-taken-out-by-this-change': (
        replace(CFG, retired=(OLD_ENTRY,)),
        samples.with_zone_a(in_service=False),
        NOW_S,
        [OLD_ENTRY],
    ),
    'target-declared-again': (
        replace(
            samples.with_services(samples.ARCHIVE),
            retired=(_entry(samples.DESK_1, 7000, 7005, generation=2),),
        ),
        CFG,
        NOW_S,
        [_entry(samples.DESK_1, 7005, generation=2)],
    ),
}


@pytest.mark.parametrize(
    ('previous', 'new', 'now_unix_s', 'expected'),
    RETIREMENTS.values(),
    ids=RETIREMENTS,
)
def test_retires_removed_targets(previous, new, now_unix_s, expected):
    """Guards against flows whose target the configuration has forgotten."""
    retired = retire(previous, new, GENERATION, now_unix_s)
    assert list(retired.retired) == expected
    assert replace(retired, retired=()) == replace(new, retired=())


SERVICES = ('desk', 'archive')
PLACEMENTS = st.lists(
    st.tuples(
        st.fixed_dictionaries(
            {
                address: st.sampled_from(('', *SERVICES))
                for address in ('127.1.1.1', '127.1.1.2', '127.1.2.1')
            }
        ),
        st.booleans(),
        st.integers(0, ADDRESS_REUSE_DELAY_S),
    ),
    min_size=2,
    max_size=8,
)


def _placed(placement, in_service):
    services = []
    for index, name in enumerate(SERVICES):
        targets = tuple(
            Target(f'{name}-{address}', address, 'a')
            for address, service in placement.items()
            if service == name
        )
        listener = Listener('203.0.113.1', 80 + index, 7000)
        if targets:
            services.append(Service(name, (listener,), targets))
    return samples.with_services(
        *services,
        cfg=samples.with_zone_a(in_service=in_service),
    )


@given(PLACEMENTS)
def test_accepted_changes_never_move_an_address_early(steps):
    """Guards against gaps between validation and retirement.

    In any sequence of changes of which the valid ones are accepted, an
    address changes its service only after the delay or after its zone was
    out of service.
    """
    now_s = samples.RETIRED_UNIX_S
    current = samples.with_services()
    last_use: dict[str, tuple[str, int]] = {}
    for generation, (placement, in_service, pause_s) in enumerate(steps):
        now_s += pause_s
        new = _placed(placement, in_service)
        zone_out = not current.zones[0].in_service
        if validate(new, current, now_s):
            continue
        # Until now the accepted configuration has used these addresses.
        for service in current.services:
            for target in service.targets:
                last_use[target.address] = (service.name, now_s)
        if zone_out:
            last_use.clear()
        for service in new.services:
            for target in service.targets:
                owner, used_s = last_use.get(target.address, ('', 0))
                is_free = now_s - used_s >= ADDRESS_REUSE_DELAY_S
                assert owner in {'', service.name} or is_free
        current = retire(current, new, generation, now_s)


def test_takes_zone_out_and_returns_it():
    """Guards against changing another zone or losing the rest."""
    out = with_zone_in_service(CFG, 'a', flag=False)
    assert out == samples.with_zone_a(in_service=False)
    assert with_zone_in_service(out, 'a', flag=True) == CFG


def test_starts_and_ends_a_drain():
    """Guards against draining another target or losing the rest."""
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
    """Guards against a zone-out or drain that silently does nothing."""
    with pytest.raises(kind):
        change(CFG, 'x', flag=False)
