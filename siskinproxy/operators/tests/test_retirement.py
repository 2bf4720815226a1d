import pytest
from msgspec.structs import replace

from siskinproxy.balancer.routes import RouteTable
from siskinproxy.operators import (
    Listener,
    RetiredTarget,
    Zone,
    retire,
)
from siskinproxy.operators.reuse import ADDRESS_REUSE_DELAY_S, REUSE_MARGIN_S
from siskinproxy.operators.tests import samples

CFG = samples.CONFIGURATION
GENERATION = 9
NOW_S = samples.RETIRED_UNIX_S + 10


def _with_desk(**changes):
    return samples.with_services(
        replace(samples.DESK, **changes),
        samples.ARCHIVE,
    )


def _entry(
    target,
    *ports,
    service='desk',
    generation=GENERATION,
    released_unix_s=0,
    listeners=(samples.DESK_LISTENER,),
):
    return RetiredTarget(
        service,
        target,
        ports,
        generation,
        NOW_S,
        released_unix_s,
        listeners,
    )


OLD_ENTRY = samples.retired_target('127.1.1.9')
RELEASED_ENTRY = samples.retired_target('127.1.1.9', released_unix_s=NOW_S)
SECOND_LISTENER = Listener('203.0.113.1', 444, 7001)
WITHOUT_DESK_1 = _with_desk(targets=(samples.DESK_2,))
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
        [
            _entry(
                samples.ARCHIVE_1,
                7002,
                service='archive',
                listeners=(samples.ARCHIVE_LISTENER,),
            )
        ],
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
    'entry-released': (
        replace(CFG, retired=(OLD_ENTRY,)),
        CFG,
        EXPIRED_S + 5,
        [replace(OLD_ENTRY, released_unix_s=EXPIRED_S + 5)],
    ),
    'released-entry-kept-to-last-second': (
        replace(CFG, retired=(RELEASED_ENTRY,)),
        CFG,
        NOW_S + REUSE_MARGIN_S - 1,
        [RELEASED_ENTRY],
    ),
    'released-entry-dropped': (
        replace(CFG, retired=(RELEASED_ENTRY,)),
        CFG,
        NOW_S + REUSE_MARGIN_S,
        [],
    ),
    'released-entry-stays-released': (
        samples.with_zone_a(
            in_service=False,
            cfg=replace(CFG, retired=(RELEASED_ENTRY,)),
        ),
        CFG,
        NOW_S,
        [RELEASED_ENTRY],
    ),
    'listener-removed': (
        _with_desk(listeners=(samples.DESK_LISTENER, SECOND_LISTENER)),
        CFG,
        NOW_S,
        [
            _entry(target, 7001, listeners=(SECOND_LISTENER,))
            for target in samples.DESK.targets
        ],
    ),
    'listener-replaced-on-same-target-port': (
        CFG,
        _with_desk(listeners=(replace(SECOND_LISTENER, target_port=7000),)),
        NOW_S,
        [_entry(samples.DESK_1), _entry(samples.DESK_2)],
    ),
    'target-moved-to-other-zone': (
        CFG,
        _with_desk(
            targets=(replace(samples.DESK_1, zone='b'), samples.DESK_2),
        ),
        NOW_S,
        [_entry(samples.DESK_1, 7000)],
    ),
    'entry-of-new-ignored': (
        CFG,
        replace(CFG, retired=(OLD_ENTRY,)),
        NOW_S,
        [],
    ),
    'zone-was-out-of-service': (
        samples.with_zone_a(in_service=False, out_unix_s=NOW_S - 5),
        samples.with_zone_a(in_service=False, cfg=WITHOUT_DESK_1),
        NOW_S,
        [_entry(samples.DESK_1, 7000, released_unix_s=NOW_S - 5)],
    ),
    'zone-returned-by-this-change': (
        samples.with_zone_a(in_service=False, out_unix_s=NOW_S - 5),
        WITHOUT_DESK_1,
        NOW_S,
        [_entry(samples.DESK_1, 7000, released_unix_s=NOW_S - 5)],
    ),
    'zone-was-out-for-the-margin': (
        samples.with_zone_a(
            in_service=False,
            out_unix_s=NOW_S - REUSE_MARGIN_S,
        ),
        samples.with_zone_a(in_service=False, cfg=WITHOUT_DESK_1),
        NOW_S,
        [],
    ),
    'zone-taken-out-by-this-change': (
        replace(CFG, retired=(OLD_ENTRY,)),
        samples.with_zone_a(in_service=False),
        NOW_S,
        [replace(OLD_ENTRY, released_unix_s=NOW_S)],
    ),
    'target-declared-again': (
        replace(
            samples.with_services(samples.ARCHIVE),
            retired=(_entry(samples.DESK_1, 7000, 7005),),
        ),
        CFG,
        NOW_S,
        [_entry(samples.DESK_1, 7005, listeners=())],
    ),
}


@pytest.mark.parametrize(
    ('previous', 'new', 'now_unix_s', 'expected'),
    RETIREMENTS.values(),
    ids=RETIREMENTS,
)
def test_retires_removed_targets(previous, new, now_unix_s, expected):
    """Guards against removed targets and listeners without a retired entry.

    Without it their flows are revoked at once, or the addresses are free for
    another service too early. Also guards against entries kept too long.
    """
    retired = retire(previous, new, GENERATION, now_unix_s)
    assert list(retired.retired) == expected
    assert retired.services == new.services


@pytest.mark.parametrize(
    ('previous', 'in_service', 'expected'),
    [
        (None, True, Zone('a')),
        (None, False, Zone('a', False, NOW_S)),
        (CFG, False, Zone('a', False, NOW_S)),
        (samples.with_zone_a(in_service=False, out_unix_s=5), True, Zone('a')),
        (
            samples.with_zone_a(in_service=False, out_unix_s=5),
            False,
            Zone('a', False, 5),
        ),
    ],
    ids=['first', 'first-out', 'taken-out', 'returned', 'stays-out'],
)
def test_records_when_a_zone_was_taken_out(previous, in_service, expected):
    """Guards against a wrong time at which a zone was taken out of service.

    The time in a submitted file must be ignored, and the time must not change
    while the zone stays out of service.
    """
    new = samples.with_zone_a(in_service=in_service, out_unix_s=NOW_S - 999)
    assert retire(previous, new, GENERATION, NOW_S).zones[0] == expected


@pytest.mark.parametrize(
    ('released_unix_s', 'is_allowed'),
    [(0, True), (NOW_S, False)],
    ids=['retired', 'released'],
)
def test_released_entry_revokes_its_flows(released_unix_s, is_allowed):
    """Guards against flows that are still allowed after their release.

    The address is given to another service afterwards, which would then get
    packets of these flows.
    """
    routes = RouteTable()
    routes.apply(CFG)
    routes.apply(
        replace(
            WITHOUT_DESK_1,
            retired=(
                _entry(samples.DESK_1, 7000, released_unix_s=released_unix_s),
            ),
        ),
    )
    addresses = {route.target.address for route in routes.by_target.values()}
    assert (samples.DESK_1.address in addresses) is is_allowed
