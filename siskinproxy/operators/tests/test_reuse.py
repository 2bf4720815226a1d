import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from siskinproxy import errors
from siskinproxy.operators import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
    retire,
    validate,
)
from siskinproxy.operators.reuse import ADDRESS_REUSE_DELAY_S, REUSE_MARGIN_S
from siskinproxy.operators.tests import samples

NOW_S = samples.RETIRED_UNIX_S

# Cases of address reuse: previous configuration, configuration to check, and
# the service that the address is reserved for (empty if the change is allowed).

MOVED_TARGET = Target('archive-2', '127.1.1.1', 'a')
ARCHIVE_WITH_MOVED = replace(
    samples.ARCHIVE,
    targets=(samples.ARCHIVE_1, MOVED_TARGET),
)
DESK_WITHOUT_MOVED = replace(samples.DESK, targets=(samples.DESK_2,))
DESK_ON_NEW_PORT = replace(
    samples.DESK,
    listeners=(replace(samples.DESK_LISTENER, target_port=7009),),
)
ARCHIVE_ON_DESK_PORT = replace(
    ARCHIVE_WITH_MOVED,
    listeners=(replace(samples.ARCHIVE_LISTENER, target_port=7000),),
)


DESK_1_ON_RETIRED = replace(samples.DESK_1, address='127.1.1.9')
OTHER_LISTENER = Listener('203.0.113.1', 444, 7000)
MOVED_LISTENER = replace(samples.DESK_LISTENER, target_port=7003)


def _with_retired(*retired, cfg=samples.CONFIGURATION):
    return replace(cfg, retired=retired)


REUSE = {
    'moved-to-other-service': (
        samples.CONFIGURATION,
        samples.with_services(DESK_WITHOUT_MOVED, ARCHIVE_WITH_MOVED),
        'desk',
    ),
    'service-renamed': (
        samples.with_services(samples.DESK),
        samples.with_services(replace(samples.DESK, name='desks')),
        'desk',
    ),
    'retired-by-other-service': (
        _with_retired(samples.retired_target('127.1.1.1')),
        samples.with_services(samples.DESK, ARCHIVE_WITH_MOVED),
        'old',
    ),
    'retired-by-same-service': (
        _with_retired(samples.retired_target('127.1.1.9', service='desk')),
        samples.with_services(
            replace(samples.DESK, targets=(DESK_1_ON_RETIRED, samples.DESK_2)),
            samples.ARCHIVE,
        ),
        '',
    ),
    'other-address-retired': (
        _with_retired(samples.retired_target('127.1.1.9')),
        samples.with_services(samples.DESK, ARCHIVE_WITH_MOVED),
        '',
    ),
    'shared-with-other-ports': (
        samples.CONFIGURATION,
        samples.with_services(samples.DESK, ARCHIVE_WITH_MOVED),
        '',
    ),
    'port-taken-over-on-shared-address': (
        samples.with_services(samples.DESK, ARCHIVE_WITH_MOVED),
        samples.with_services(DESK_ON_NEW_PORT, ARCHIVE_ON_DESK_PORT),
        'desk',
    ),
    'retired-port-taken-over-on-held-address': (
        _with_retired(samples.retired_target('127.1.1.101', ports=(7005,))),
        samples.with_services(
            samples.DESK,
            replace(
                samples.ARCHIVE,
                listeners=(
                    replace(samples.ARCHIVE_LISTENER, target_port=7005),
                ),
            ),
        ),
        'old',
    ),
    'zone-out-for-the-margin': (
        samples.with_zone_a(
            in_service=False,
            out_unix_s=NOW_S - REUSE_MARGIN_S,
        ),
        samples.with_services(DESK_WITHOUT_MOVED, ARCHIVE_WITH_MOVED),
        '',
    ),
    'zone-out-within-the-margin': (
        samples.with_zone_a(
            in_service=False,
            out_unix_s=NOW_S - REUSE_MARGIN_S + 1,
        ),
        samples.with_services(DESK_WITHOUT_MOVED, ARCHIVE_WITH_MOVED),
        'desk',
    ),
    'zone-out-since-unknown-time': (
        samples.with_zone_a(in_service=False),
        samples.with_services(DESK_WITHOUT_MOVED, ARCHIVE_WITH_MOVED),
        'desk',
    ),
    'zone-taken-out-by-this-change': (
        samples.CONFIGURATION,
        samples.with_services(
            DESK_WITHOUT_MOVED,
            ARCHIVE_WITH_MOVED,
            cfg=samples.with_zone_a(in_service=False),
        ),
        'desk',
    ),
    'listener-moved-to-other-service': (
        samples.CONFIGURATION,
        samples.with_services(
            replace(samples.DESK, listeners=(OTHER_LISTENER,)),
            replace(
                samples.ARCHIVE,
                listeners=(samples.ARCHIVE_LISTENER, MOVED_LISTENER),
            ),
        ),
        'desk',
    ),
    'listener-retired-by-other-service': (
        _with_retired(
            samples.retired_target(
                '127.1.1.9',
                ports=(),
                listeners=(OTHER_LISTENER,),
            ),
        ),
        samples.with_services(
            replace(samples.DESK, listeners=(OTHER_LISTENER,)),
            samples.ARCHIVE,
        ),
        'old',
    ),
    'listener-retired-by-same-service': (
        _with_retired(
            samples.retired_target(
                '127.1.1.9',
                service='desk',
                ports=(),
                listeners=(OTHER_LISTENER,),
            ),
        ),
        samples.with_services(
            replace(samples.DESK, listeners=(OTHER_LISTENER,)),
            samples.ARCHIVE,
        ),
        '',
    ),
}


@pytest.mark.parametrize(
    ('previous', 'cfg', 'reserved_by'),
    REUSE.values(),
    ids=REUSE,
)
def test_address_stays_with_its_service(previous, cfg, reserved_by):
    """Guards against packets of a flow that reach another service.

    That happens if an address is declared for another service while flows of
    the previous one may exist.
    """
    found = validate(cfg, previous, NOW_S)
    kinds = (errors.AddressReuseError, errors.ListenerReuseError)
    assert all(isinstance(error, kinds) for error in found)
    assert {error.previous_service for error in found} == (
        {reserved_by} if reserved_by else set()
    )


def test_listener_error_names_the_listener():
    """Guards against a moved listener that is not named in the error."""
    previous, cfg, _ = REUSE['listener-moved-to-other-service']
    (error,) = validate(cfg, previous, NOW_S)
    assert isinstance(error, errors.ListenerReuseError)
    assert (error.address, error.port) == ('203.0.113.1', 443)
    assert (error.service, error.is_released) == ('archive', False)


RESERVATION_S = ADDRESS_REUSE_DELAY_S + REUSE_MARGIN_S


@pytest.mark.parametrize(
    ('now_unix_s', 'released_unix_s', 'remaining_s'),
    [
        (0, 0, RESERVATION_S),
        (NOW_S - 5, 0, RESERVATION_S),
        (NOW_S, 0, RESERVATION_S),
        (NOW_S + ADDRESS_REUSE_DELAY_S - 1, 0, REUSE_MARGIN_S + 1),
        (NOW_S + ADDRESS_REUSE_DELAY_S, 0, REUSE_MARGIN_S),
        (NOW_S + 10 * RESERVATION_S, 0, REUSE_MARGIN_S),
        (NOW_S, NOW_S + 5, REUSE_MARGIN_S),
        (NOW_S, NOW_S, REUSE_MARGIN_S),
        (NOW_S + REUSE_MARGIN_S - 1, NOW_S, 1),
        (NOW_S + REUSE_MARGIN_S, NOW_S, 0),
    ],
    ids=[
        'no-clock',
        'clock-behind',
        'at-once',
        'before-delay',
        'after-delay-not-released',
        'long-after-delay-not-released',
        'clock-behind-release',
        'just-released',
        'last-second',
        'after-margin',
    ],
)
def test_address_is_free_after_release(
    now_unix_s,
    released_unix_s,
    remaining_s,
):
    """Guards against reuse while an instance still allows the old flows.

    The address is free only after a release and the margin. A clock that is
    behind must not shorten or extend that time.
    """
    entry = samples.retired_target(
        '127.1.1.1',
        released_unix_s=released_unix_s,
    )
    _, cfg, _ = REUSE['retired-by-other-service']
    found = validate(cfg, _with_retired(entry), now_unix_s)
    assert [error.remaining_s for error in found] == (
        [remaining_s] if remaining_s else []
    )
    assert all(error.is_released == bool(released_unix_s) for error in found)


def test_delay_is_a_parameter():
    """Guards against ignoring the delay from the settings of the instance."""
    previous, cfg, _ = REUSE['retired-by-other-service']
    (error,) = validate(cfg, previous, NOW_S + 10, address_reuse_delay_s=11)
    assert error.remaining_s == 1 + REUSE_MARGIN_S


# Random sequences of changes for the property tests below.

DELAY_S = 100
NAMES = ('desk', 'archive')
ADDRESSES = ('127.1.1.1', '127.1.1.2', '127.1.2.1')
PAUSES_S = (0, 1, 9, REUSE_MARGIN_S - 1, REUSE_MARGIN_S, DELAY_S - 1, DELAY_S)


def _service_strategy(name):
    listeners = st.sets(
        st.tuples(st.sampled_from((80, 81, 82)), st.sampled_from((7000, 7001))),
        min_size=1,
        max_size=2,
    )
    targets = st.dictionaries(
        st.sampled_from(ADDRESSES),
        st.sampled_from('ab'),
        min_size=1,
    )
    return st.builds(
        lambda ports, placed: Service(
            name,
            tuple(
                Listener('203.0.113.1', port, target_port)
                for port, target_port in sorted(ports)
            ),
            tuple(
                Target(f'{name}-{address}', address, zone)
                for address, zone in sorted(placed.items())
            ),
        ),
        listeners,
        targets,
    )


SERVICES = st.tuples(
    *(st.none() | _service_strategy(name) for name in NAMES),
)
ZONES = st.tuples(st.booleans(), st.booleans())
STEPS = st.lists(
    st.tuples(SERVICES, ZONES, st.sampled_from(PAUSES_S)),
    min_size=2,
    max_size=8,
)


def _allowed_uses(cfg):
    """Return (kind, address, port, service) of all that flows may use."""
    serving = {zone.name for zone in cfg.zones if zone.in_service}
    found = set()
    for service in cfg.services:
        for target in service.targets:
            if target.zone not in serving:
                continue
            for listener in service.listeners:
                endpoint = (target.address, listener.target_port)
                found.add(('target', *endpoint, service.name))
                endpoint = (listener.address, listener.port)
                found.add(('listener', *endpoint, service.name))
    for entry in cfg.retired:
        if entry.released_unix_s or entry.target.zone not in serving:
            continue
        for port in entry.ports:
            found.add(('target', entry.target.address, port, entry.service))
        for listener in entry.listeners:
            endpoint = (listener.address, listener.port)
            found.add(('listener', *endpoint, entry.service))
    return found


def _conflicts(uses, other_uses):
    """Return pairs of uses of one address and port by different services."""
    return {
        (use, other)
        for use in uses
        for other in other_uses
        if use[:3] == other[:3] and use[3] != other[3]
    }


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_no_two_configurations_in_effect_disagree(steps):
    """Guards against an address that two services use at the same time.

    That happens if validation allows a change whose retired entries do not
    cover all flows. Instances may use different accepted configurations for a
    while; these must not give a target port or a listener to different
    services.
    """
    now_s = NOW_S
    current = retire(None, samples.with_services(), 1, now_s, DELAY_S)
    #: Configurations with the Unix time in seconds until which an instance
    #: may use them.
    earlier: list[tuple[Configuration, int]] = []
    for generation, (services, flags, pause_s) in enumerate(steps, start=2):
        now_s += pause_s
        new = Configuration(
            'alfold',
            tuple(map(Zone, 'ab', flags)),
            tuple(service for service in services if service is not None),
        )
        if validate(new, current, now_s, DELAY_S):
            continue
        earlier.append((current, now_s + REUSE_MARGIN_S))
        current = retire(current, new, generation, now_s, DELAY_S)
        uses = _allowed_uses(current)
        for cfg, until_s in earlier:
            if now_s < until_s:
                assert not _conflicts(uses, _allowed_uses(cfg))


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_flows_stay_allowed_for_the_delay(steps):
    """Guards against revoking the flows of a removed target too early.

    Each address and port of a target must stay allowed for the delay after its
    removal. All zones stay in service here, since taking a zone out revokes its
    flows at once.
    """
    now_s = NOW_S
    current = retire(None, samples.with_services(), 1, now_s, DELAY_S)
    for generation, (services, _, pause_s) in enumerate(steps, start=2):
        now_s += pause_s
        new = Configuration(
            'alfold',
            (Zone('a'), Zone('b')),
            tuple(service for service in services if service is not None),
        )
        if validate(new, current, now_s, DELAY_S):
            continue
        changed = retire(current, new, generation, now_s, DELAY_S)
        expired = {
            (entry.target.address, port)
            for entry in current.retired
            for port in entry.ports
            if now_s - entry.retired_unix_s >= DELAY_S
        }
        targets = {use for use in _allowed_uses(current) if use[0] == 'target'}
        lost = {use[1:3] for use in targets - _allowed_uses(changed)}
        assert lost <= expired
        current = changed
