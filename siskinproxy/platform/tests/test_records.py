"""Decoding of store entries that targets, operators and others write."""

import json

import pytest

from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RequestKind,
    ServiceShare,
    TargetRecord,
    UnusableRecord,
    ZoneTakenOut,
    token_of,
)
from siskinproxy.entry.store import StoredItem
from siskinproxy.platform.records import decode_item

TARGET = {
    'service': 'desk',
    'address': '10.128.0.9:8080',
    'zone': 'alfold-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'sequence': 4,
    'born': 1700000000000,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': '198.18.0.1',
            'prefix': '/8443/',
            'kind': 'safe',
            'timeout_ms': 4000,
            'aim_ms': 250,
            'priority': 2,
            'split': [
                {'service': 'desk', 'weight': 90},
                {'service': 'archive', 'weight': 10},
            ],
            'max_attempts': 2,
        },
        {
            'name': 'r-2',
            'host': '198.18.0.2',
            'prefix': '/443/',
            'kind': 'unsafe',
            'timeout_ms': 5000,
            'aim_ms': 300,
            'priority': 1,
            'service': 'desk',
            'max_attempts': 2,
        },
    ],
    'services': [
        {
            'name': 'desk',
            'health_path': '/health',
            'max_conns': 2000,
            'protocol': 'h1',
            'tls': False,
            'warmup_s': 2.0,
            'warmup_per_s': 12.0,
        }
    ],
    'limits': {'max_header_bytes': 1, 'idle_timeout_ms': 15000},
}


def _item(key, value):
    if not isinstance(value, bytes):
        value = json.dumps(value).encode()
    return StoredItem(key, value, revision=9)


def test_target():
    """Guards against decoding an entry's value into a wrong field."""
    record = decode_item(_item('servers/i-7f3a91c2', TARGET))
    assert record == TargetRecord(
        name='i-7f3a91c2',
        target_id=0x7F3A91C2,
        service='desk',
        address=Address('10.128.0.9', 8080),
        zone='alfold-a',
        slots=4,
        is_draining=False,
        warmup_left_s=1.5,
        started_unix_ms=1700000000000,
        revision=9,
        sequence=4,
    )
    assert record.token == token_of(0x7F3A91C2)


@pytest.mark.parametrize(
    ('key', 'changes'),
    [
        ('servers/i-7f3a91c2', {'state': 'gone'}),
        ('servers/i-7f3a91c2', {'slots': '4'}),
        ('servers/i-7f3a91c2', {'slots': 0}),
        ('servers/i-7f3a91c2', {'slots': True}),
        ('servers/i-7f3a91c2', {'address': '10.128.0.9'}),
        ('servers/i-7f3a91c2', {'address': '10.128.0.999:80'}),
        ('servers/i-7f3a91c2', {'address': '10.128.0.9:0'}),
        ('servers/i-7f3a91c2', {'warmup_left_ms': -1}),
        ('servers/i-7f3a91c2', {'born': '1'}),
        ('servers/i-7f3a91c2', {'service': None}),
        ('servers/', {}),
        ('servers/i-xyz', {}),
        ('servers/i-00112233445566778', {}),
    ],
)
def test_wrong_targets_are_unusable(key, changes):
    """Guards against sending flows to a target with an invalid entry.

    Any program with access to the store may write one.
    """
    record = decode_item(_item(key, TARGET | changes))
    assert isinstance(record, UnusableRecord)


@pytest.mark.parametrize(
    'value', [b'', b'\xff\xfe', b'[]', b'{"service": 1}', b'null']
)
@pytest.mark.parametrize('key', ['servers/i-7f3a91c2', 'op/config'])
def test_unreadable_values_are_unusable(key, value):
    """Guards against an exception that ends the watch of the store.

    Values may be empty, not UTF-8, not JSON or of another shape.
    """
    assert isinstance(decode_item(_item(key, value)), UnusableRecord)


@pytest.mark.parametrize('field', sorted(set(TARGET) - {'born'}))
def test_targets_with_a_missing_field_are_unusable(field):
    """Guards against a default value in place of a required field."""
    value = {key: found for key, found in TARGET.items() if key != field}
    record = decode_item(_item('servers/i-7f3a91c2', value))
    assert isinstance(record, UnusableRecord)


def test_configuration():
    """Guards against wrong shares and ports, and times in wrong units.

    A route has its times in ms and its port as text between slashes; without a
    split it gives all its flows to one service.
    """
    cfg = decode_item(_item('op/config', CONFIGURATION))
    assert isinstance(cfg, OperatorConfiguration)
    assert cfg.version == 7
    assert cfg.idle_timeout_s == 15
    first, second = cfg.routes
    assert first.destination == bytes([198, 18, 0, 1]) + (8443).to_bytes(2)
    assert first.shares == (
        ServiceShare('desk', 90),
        ServiceShare('archive', 10),
    )
    assert first.objective_s == 0.25
    assert second.shares == (ServiceShare('desk', 1),)
    assert second.kind is RequestKind.UNSAFE
    assert second.deadline_s == 5
    assert cfg.services[0].warmup_per_s == 12


def test_evacuation():
    """Guards against flows to a zone that operators took out of service.

    The key of the entry names the zone; its value is not read.
    """
    found = decode_item(_item('op/evacuate/alfold-a', {}))
    assert found == ZoneTakenOut('alfold-a')
