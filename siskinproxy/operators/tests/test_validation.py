import math

import pytest
from msgspec.structs import replace

from siskinproxy import errors
from siskinproxy.addresses import is_host_address
from siskinproxy.operators import (
    Listener,
    Service,
    Zone,
    raise_if_invalid,
    validate,
)
from siskinproxy.operators.tests import samples


def _with_listener(**changes):
    listener = replace(samples.DESK_LISTENER, **changes)
    desk = replace(samples.DESK, listeners=(listener,))
    return samples.with_services(desk, samples.ARCHIVE)


def _with_target(**changes):
    target = replace(samples.DESK_1, **changes)
    desk = replace(samples.DESK, targets=(target, samples.DESK_2))
    return samples.with_services(desk, samples.ARCHIVE)


def _with_second_listener(listener):
    listeners = (samples.DESK_LISTENER, listener)
    desk = replace(samples.DESK, listeners=listeners)
    return samples.with_services(desk, samples.ARCHIVE)


def _with_zones(*zones):
    return replace(samples.CONFIGURATION, zones=zones)


def _range(owner, field, found, lowest, highest):
    return (
        errors.ValueRangeError,
        {
            'owner': owner,
            'field': field,
            'found': found,
            'bounds': (lowest, highest),
        },
    )


LISTENER_OWNER = 'listener 203.0.113.1:443'
TARGET_OWNER = 'target desk-1'

BROKEN = {
    'duplicate-zone': (
        _with_zones(samples.ZONE_A, samples.ZONE_B, Zone('a', False)),
        [(errors.DuplicateNameError, {'kind': 'zone', 'name': 'a'})],
    ),
    'duplicate-service': (
        samples.with_services(
            samples.DESK,
            replace(samples.ARCHIVE, name='desk'),
        ),
        [(errors.DuplicateNameError, {'kind': 'service', 'name': 'desk'})],
    ),
    'duplicate-target-in-service': (
        _with_target(name='desk-2'),
        [(errors.DuplicateNameError, {'kind': 'target', 'name': 'desk-2'})],
    ),
    'duplicate-target-between-services': (
        _with_target(name='archive-1'),
        [(errors.DuplicateNameError, {'kind': 'target', 'name': 'archive-1'})],
    ),
    'duplicate-listener-in-service': (
        _with_second_listener(replace(samples.DESK_LISTENER, target_port=7001)),
        [
            (
                errors.DuplicateListenerError,
                {'address': '203.0.113.1', 'port': 443},
            )
        ],
    ),
    'duplicate-listener-between-services': (
        _with_listener(address='203.0.113.2'),
        [
            (
                errors.DuplicateListenerError,
                {'address': '203.0.113.2', 'port': 443},
            )
        ],
    ),
    'listeners-share-target-port': (
        samples.with_services(
            Service(
                'desk',
                (
                    samples.DESK_LISTENER,
                    Listener('203.0.113.1', 444, 7000),
                ),
                (samples.DESK_1,),
            ),
        ),
        [
            (
                errors.SharedTargetPortError,
                {
                    'address': '127.1.1.1',
                    'port': 7000,
                    'owners': (
                        'desk/203.0.113.1:443/desk-1',
                        'desk/203.0.113.1:444/desk-1',
                    ),
                },
            )
        ],
    ),
    'targets-share-address': (
        _with_target(address='127.1.2.1'),
        [
            (
                errors.SharedTargetPortError,
                {
                    'address': '127.1.2.1',
                    'port': 7000,
                    'owners': (
                        'desk/203.0.113.1:443/desk-1',
                        'desk/203.0.113.1:443/desk-2',
                    ),
                },
            )
        ],
    ),
    'services-share-target-port': (
        samples.with_services(
            samples.DESK,
            Service(
                'archive',
                (replace(samples.ARCHIVE_LISTENER, target_port=7000),),
                (replace(samples.ARCHIVE_1, address='127.1.1.1'),),
            ),
        ),
        [
            (
                errors.SharedTargetPortError,
                {
                    'address': '127.1.1.1',
                    'port': 7000,
                    'owners': (
                        'desk/203.0.113.1:443/desk-1',
                        'archive/203.0.113.2:443/archive-1',
                    ),
                },
            )
        ],
    ),
    'unknown-zone': (
        _with_target(zone='z'),
        [(errors.UnknownZoneError, {'zone': 'z', 'target': 'desk-1'})],
    ),
    'no-targets': (
        samples.with_services(replace(samples.DESK, targets=())),
        [(errors.EmptyServiceError, {'service': 'desk', 'missing': 'targets'})],
    ),
    'no-listeners': (
        samples.with_services(replace(samples.DESK, listeners=())),
        [
            (
                errors.EmptyServiceError,
                {'service': 'desk', 'missing': 'listeners'},
            )
        ],
    ),
    'listener-address': (
        _with_listener(address='::1'),
        [
            (
                errors.InvalidAddressError,
                {'owner': 'listener ::1:443', 'address': '::1'},
            )
        ],
    ),
    'target-address': (
        _with_target(address='desk.example'),
        [
            (
                errors.InvalidAddressError,
                {'owner': TARGET_OWNER, 'address': 'desk.example'},
            )
        ],
    ),
    'port-zero': (
        _with_listener(port=0),
        [_range('listener 203.0.113.1:0', 'port', 0, 1, 65535)],
    ),
    'target-port-high': (
        _with_listener(target_port=65536),
        [_range(LISTENER_OWNER, 'target_port', 65536, 1, 65535)],
    ),
    'priority-negative': (
        _with_listener(priority=-1),
        [_range(LISTENER_OWNER, 'priority', -1, 0, 7)],
    ),
    'deadline-zero': (
        _with_listener(deadline_ms=0),
        [_range(LISTENER_OWNER, 'deadline_ms', 0, 1, 600_000)],
    ),
    'slots-zero': (
        _with_target(slots=0),
        [_range(TARGET_OWNER, 'slots', 0, 1, 10_000)],
    ),
    'connections-zero': (
        _with_target(connections=0),
        [_range(TARGET_OWNER, 'connections', 0, 1, 1_000_000)],
    ),
    'warmup-negative': (
        _with_target(warmup_s=-0.1),
        [_range(TARGET_OWNER, 'warmup_s', -0.1, 0, 3600)],
    ),
    'warmup-infinite': (
        _with_target(warmup_s=math.inf),
        [_range(TARGET_OWNER, 'warmup_s', math.inf, 0, 3600)],
    ),
    'region-with-separator': (
        replace(samples.CONFIGURATION, region='alfold/x'),
        [(errors.InvalidNameError, {'kind': 'region', 'name': 'alfold/x'})],
    ),
    'empty-target-name': (
        _with_target(name=''),
        [(errors.InvalidNameError, {'kind': 'target', 'name': ''})],
    ),
    'listener-name-with-space': (
        _with_listener(name='two words'),
        [(errors.InvalidNameError, {'kind': 'listener', 'name': 'two words'})],
    ),
    'several': (
        _with_target(zone='z', slots=0),
        [
            _range(TARGET_OWNER, 'slots', 0, 1, 10_000),
            (errors.UnknownZoneError, {'zone': 'z', 'target': 'desk-1'}),
        ],
    ),
}


@pytest.mark.parametrize(('cfg', 'expected'), BROKEN.values(), ids=BROKEN)
def test_names_each_broken_rule(cfg, expected):
    """Guards against a broken rule that is accepted or reported wrongly.

    Each configuration breaks the listed rules only. An error that is missing,
    names another place or comes in addition fails the test.
    """
    found = [(type(error), vars(error)) for error in validate(cfg)]
    assert found == expected


def test_accepts_nan_nowhere():
    """Guards against accepting NaN, for which every comparison is False."""
    (error,) = validate(_with_target(warmup_s=math.nan))
    assert isinstance(error, errors.ValueRangeError)


def test_accepts_valid_configuration():
    """Guards against rules that reject a valid configuration."""
    assert not validate(samples.CONFIGURATION)
    assert not validate(samples.CONFIGURATION, samples.CONFIGURATION)
    raise_if_invalid(samples.CONFIGURATION, samples.CONFIGURATION)


def test_raises_all_errors_at_once():
    """Guards against reporting only the first of several errors."""
    cfg, expected = BROKEN['several']
    with pytest.raises(ExceptionGroup) as caught:
        raise_if_invalid(cfg)
    kinds = [type(error) for error in caught.value.exceptions]
    assert kinds == [kind for kind, _ in expected]


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('127.1.1.1', True),
        ('203.0.113.255', True),
        ('', False),
        ('127.1', False),
        ('127.01.1.1', False),
        ('256.1.1.1', False),
        ('1.2.3.4 ', False),
        ('0.0.0.0', False),
        ('224.0.0.1', False),
        ('255.255.255.255', False),
        ('::ffff:1.2.3.4', False),
        ('localhost', False),
    ],
)
def test_recognizes_host_addresses(text, expected):
    """Guards against accepting an address that no host can have."""
    assert is_host_address(text) is expected


def test_region_stays_the_same():
    """Guards against replacing a configuration by that of another region.

    That happens if an operator submits the wrong file.
    """
    other = replace(samples.CONFIGURATION, region='lisboa')
    (error,) = validate(other, samples.CONFIGURATION)
    assert isinstance(error, errors.WrongRegionError)
    assert (error.expected, error.found) == ('alfold', 'lisboa')
