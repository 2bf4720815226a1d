"""Stored entries of which one part or field cannot be read."""

import copy
import enum
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.config_check import find_faults
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.instances import InstanceDirectory
from siskinproxy.entry.records import (
    OperatorConfiguration,
    PartKind,
    RequestKind,
    ServiceShare,
    UnusableRecord,
)
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.store import PrefixChanges, StoredItem
from siskinproxy.entry.tests.fakes import Events
from siskinproxy.platform.records import (
    CONFIGURATION_KEY,
    DEFAULT_DEADLINE_S,
    WATCHED_PREFIX,
    decode_item,
)
from siskinproxy.platform.tests.test_records import CONFIGURATION, TARGET


class Missing(enum.Enum):
    MISSING = 'missing'


MISSING = Missing.MISSING
FIRST_DESTINATION = bytes([198, 18, 0, 1]) + (8443).to_bytes(2)
SECOND_DESTINATION = bytes([198, 18, 0, 2]) + (443).to_bytes(2)

#: Values that fit none of the fields, or only some of them.
WRONG_VALUES = (
    None, True, -1, 1e400, 10**30, 'x', '', [], [1], {}, {'a': 1}, '\ud800',
)  # fmt: skip


def encode(value):
    text = json.dumps(value).replace('Infinity', '1e999')
    return text.encode()


def decode(cfg):
    return decode_item(StoredItem(CONFIGURATION_KEY, encode(cfg), revision=9))


def changed_route(field, value, number=0):
    """Return the configuration with one field of a route replaced."""
    cfg = copy.deepcopy(CONFIGURATION)
    if value is MISSING:
        cfg['routes'][number].pop(field, None)
    else:
        cfg['routes'][number][field] = value
    return cfg


@pytest.mark.parametrize(
    ('text', 'kind', 'is_fault'),
    [
        ('safe', RequestKind.SAFE, False),
        ('download', RequestKind.DOWNLOAD, False),
        ('unsafe', RequestKind.UNSAFE, False),
        ('upload', RequestKind.UPLOAD, False),
        ('stream', RequestKind.UNSAFE, True),
        ('', RequestKind.UNSAFE, False),
        (7, RequestKind.UNSAFE, True),
        (None, RequestKind.UNSAFE, True),
        (MISSING, RequestKind.UNSAFE, False),
    ],
)
def test_kinds_of_requests(text, kind, is_fault):
    """Guards against a region without routes because of one unknown word.

    Requests of an unknown kind must not be repeated, so they count as unsafe.
    """
    cfg = decode(changed_route('kind', text))
    assert [route.kind for route in cfg.routes] == [kind, RequestKind.UNSAFE]
    assert [fault.field for fault in cfg.faults] == ['kind'] * is_fault
    assert not cfg.rejected(PartKind.ROUTE)


@pytest.mark.parametrize('value', [MISSING, *WRONG_VALUES], ids=repr)
@pytest.mark.parametrize(
    'field', ['name', 'kind', 'timeout_ms', 'aim_ms', 'priority', 'other']
)
def test_wrong_fields_that_decide_nothing_keep_the_route(field, value):
    """Guards against a route that is lost for a field that decides no flow."""
    cfg = decode(changed_route(field, value))
    assert [route.destination for route in cfg.routes] == [
        FIRST_DESTINATION,
        SECOND_DESTINATION,
    ]
    first = cfg.routes[0]
    assert first.shares[0] == ServiceShare('desk', 90)
    assert 0 < first.deadline_s < float('inf')
    assert 0 < first.objective_s < float('inf')
    assert first.priority >= 0
    assert first.name


@pytest.mark.parametrize('value', [MISSING, *WRONG_VALUES], ids=repr)
@pytest.mark.parametrize('field', ['host', 'prefix', 'service'])
def test_wrong_routes_take_no_other_route_with_them(field, value):
    """Guards against one bad route that takes all others out of service."""
    cfg = decode(changed_route(field, value, number=1))
    assert cfg.routes[0].destination == FIRST_DESTINATION
    if len(cfg.routes) == 1:
        [fault] = cfg.rejected(PartKind.ROUTE)
        assert fault.name == 'r-2'
        assert fault.reason


@pytest.mark.parametrize(
    ('split', 'expected'),
    [
        ([{'service': 'desk', 'weight': 1}, {'service': 'x'}], 'desk'),
        ([{'service': 'desk', 'weight': 1}, 3], 'desk'),
        (
            [
                {'service': 'desk', 'weight': 1},
                {'service': 'archive', 'weight': -1},
            ],
            'desk',
        ),
        ([{'service': 'desk', 'weight': 0}], None),
        ([{'weight': 1}], None),
        ([None], None),
        ('desk', None),
    ],
)
def test_wrong_shares(split, expected):
    """Guards against a division by the sum of wrong weights.

    The usable shares get all flows of the route; without one, the route is
    unusable.
    """
    cfg = decode(changed_route('split', split))
    assert cfg.faults
    if expected is None:
        assert [route.name for route in cfg.routes] == ['r-2']
        assert cfg.rejected(PartKind.ROUTE)[0].name == 'r-1'
    else:
        assert {each.service for each in cfg.routes[0].shares} == {expected}
        assert not cfg.rejected(PartKind.ROUTE)


def test_a_missing_deadline_has_a_default():
    """Guards against flow state that expires at once without a deadline."""
    cfg = decode(changed_route('timeout_ms', MISSING))
    assert cfg.routes[0].deadline_s == DEFAULT_DEADLINE_S


@pytest.mark.parametrize(
    ('field', 'value', 'is_rejected'),
    [
        ('name', 3, True),
        ('name', MISSING, True),
        ('max_conns', '2000', True),
        ('max_conns', -1, True),
        ('warmup_s', None, True),
        ('warmup_per_s', 1e400, True),
        ('warmup_per_s', MISSING, False),
        ('health_path', 3, False),
        ('protocol', 3, False),
    ],
)
def test_wrong_services(field, value, is_rejected):
    """Guards against a cold target that gets more than its service allows.

    A service with a wrong limit is unusable, so that the last limit stays in
    force. The routes are used in any case.
    """
    changed = copy.deepcopy(CONFIGURATION)
    if value is MISSING:
        del changed['services'][0][field]
    else:
        changed['services'][0][field] = value
    cfg = decode(changed)
    assert len(cfg.routes) == 2
    assert bool(cfg.rejected(PartKind.SERVICE)) == is_rejected
    assert len(cfg.services) == 1 - is_rejected


@pytest.mark.parametrize(
    ('part', 'field', 'attribute'),
    [
        ('services', 'max_conns', 'max_connections'),
        ('routes', 'priority', 'priority'),
    ],
)
@pytest.mark.parametrize(('value', 'used'), [(2.0, 2), (2.5, 2), (0.5, 0)])
def test_a_fraction_costs_neither_service_nor_priority(
    part, field, attribute, value, used
):
    """Guards against a service without a warm-up since one number is 2000.0.

    A route with a fraction as its priority got the highest one.
    """
    changed = copy.deepcopy(CONFIGURATION)
    changed[part][0][field] = value
    cfg = decode(changed)
    assert not cfg.faults
    found = getattr(getattr(cfg, part)[0], attribute)
    assert (found, type(found)) == (used, int)


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('version', '7'),
        ('version', None),
        ('version', MISSING),
        ('routes', MISSING),
        ('routes', {}),
        ('services', None),
    ],
)
def test_configurations_that_cannot_be_ordered_or_listed(field, value):
    """Guards against an empty route table from a damaged configuration."""
    changed = copy.deepcopy(CONFIGURATION)
    if value is MISSING:
        del changed[field]
    else:
        changed[field] = value
    found = decode(changed)
    assert isinstance(found, UnusableRecord)
    assert found.field == field


@pytest.mark.parametrize('key', ['servers/i-7f3a91c2', CONFIGURATION_KEY])
def test_deep_nesting_is_unusable(key):
    """Guards against a `RecursionError` that ends the watch of the store."""
    value = b'[' * 100_000 + b']' * 100_000
    found = decode_item(StoredItem(key, value, revision=9))
    assert isinstance(found, UnusableRecord)


def test_deep_nesting_in_a_route_keeps_the_others():
    """Guards against a `RecursionError` in a part that is decoded later."""
    cfg = changed_route('other', 'DEEP')
    deep = b'[' * 100_000 + b']' * 100_000
    value = encode(cfg).replace(b'"DEEP"', deep)
    found = decode_item(StoredItem(CONFIGURATION_KEY, value, revision=9))
    if isinstance(found, OperatorConfiguration):
        assert SECOND_DESTINATION in {
            route.destination for route in found.routes
        }


@pytest.mark.parametrize(
    ('field', 'value', 'shown'),
    [('slots', '4', '"4"'), ('state', 3, '3'), ('zone', MISSING, '')],
)
def test_the_wrong_field_of_a_target_is_named(field, value, shown):
    """Guards against a log line that does not say what is wrong."""
    changes = {field: value} if value is not MISSING else {}
    target = {
        name: found
        for name, found in (TARGET | changes).items()
        if value is not MISSING or name != field
    }
    item = StoredItem('servers/i-7f3a91c2', encode(target), revision=9)
    found = decode_item(item)
    assert isinstance(found, UnusableRecord)
    assert (found.field, found.value) == (field, shown)


class Cluster:
    """State of an instance that learns from a store of its own."""

    def __init__(self):
        self.events = Events()
        self.routes = RouteTable()
        self.state = ClusterState(
            StoreSchema(WATCHED_PREFIX, decode_item),
            TargetDirectory(),
            self.routes,
            InstanceDirectory(),
            self.events,
        )
        self._revision = 0

    def put(self, value, key=CONFIGURATION_KEY):
        self._revision += 1
        item = StoredItem(key, value, revision=self._revision)
        changes = PrefixChanges((item,), self._revision, is_complete=False)
        self.state.apply_changes(changes, 1, source='store')


def test_a_wrong_route_keeps_its_last_form():
    """Guards against a route that leaves service because of a typing error.

    Other changes of the same configuration take effect.
    """
    cluster = Cluster()
    cluster.put(encode(CONFIGURATION))
    changed = changed_route('host', 'not an address')
    changed['version'] = 8
    changed['routes'][1]['service'] = 'archive'
    changed['services'][0]['warmup_per_s'] = '12'
    changed['limits']['idle_timeout_ms'] = 'long'
    cluster.put(encode(changed))
    routes = cluster.routes
    assert routes.version == 8
    assert routes.find(FIRST_DESTINATION).record.shares[0].service == 'desk'
    second = routes.find(SECOND_DESTINATION).record
    assert second.shares == (ServiceShare('archive', 1),)
    assert routes.services['desk'].warmup_per_s == 12
    assert routes.idle_timeout_s == 15
    parts = [
        (pairs['key'], pairs['part'], pairs['field'])
        for pairs in cluster.events.named('config_part_unusable')
    ]
    assert parts == [
        (CONFIGURATION_KEY, 'route r-1', 'host'),
        (CONFIGURATION_KEY, 'service desk', 'warmup_per_s'),
        (CONFIGURATION_KEY, 'limits', 'idle_timeout_ms'),
    ]
    assert len(cluster.state.unusable()) == 3


def test_a_route_is_dropped_once_the_configuration_leaves_it_out():
    """Guards against a kept route that can never be removed."""
    cluster = Cluster()
    cluster.put(encode(CONFIGURATION))
    changed = changed_route('host', 'not an address') | {'version': 8}
    cluster.put(encode(changed))
    changed = copy.deepcopy(CONFIGURATION) | {'version': 9}
    del changed['routes'][0]
    cluster.put(encode(changed))
    assert cluster.routes.find(FIRST_DESTINATION) is None
    assert not cluster.state.unusable()


def test_an_unusable_configuration_leaves_the_last_one_in_force():
    """Guards against an instance without routes after a damaged write."""
    cluster = Cluster()
    cluster.put(encode(CONFIGURATION))
    cluster.put(b'{"version": 8}')
    assert cluster.routes.version == 7
    assert cluster.routes.find(FIRST_DESTINATION)
    [entry] = cluster.state.unusable()
    assert (entry.key, entry.field) == (CONFIGURATION_KEY, 'routes')
    cluster.put(encode(CONFIGURATION | {'version': 9}))
    assert cluster.routes.version == 9
    assert not cluster.state.unusable()


def test_faults_are_shown_before_a_configuration_is_written():
    """Guards against a configuration that operators' tools call faultless."""
    cfg = decode(changed_route('kind', 'stream'))
    subjects = [fault.subject for fault in find_faults(cfg, None)]
    assert 'route r-1' in subjects


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)


@settings(max_examples=300, deadline=None)
@given(
    field=st.sampled_from(sorted(CONFIGURATION['routes'][0])) | st.text(),
    value=json_values,
)
def test_one_change_of_a_route_leaves_the_rest_in_service(field, value):
    """Guards against any value of one route that stops another one."""
    cfg = decode(changed_route(field, value))
    assert isinstance(cfg, OperatorConfiguration)
    assert SECOND_DESTINATION in {route.destination for route in cfg.routes}
    table = RouteTable()
    assert table.apply(cfg, 0)
    for destination in (FIRST_DESTINATION, SECOND_DESTINATION):
        route = table.find(destination)
        if route is not None:
            assert isinstance(route.service_of(b'flow'), str)


@settings(max_examples=300, deadline=None)
@given(
    part=st.sampled_from(['routes', 'services']),
    value=json_values,
)
def test_a_part_of_any_shape_leaves_the_rest_in_service(part, value):
    """Guards against a part of another shape that stops the others."""
    changed = copy.deepcopy(CONFIGURATION)
    changed[part].append(value)
    cfg = decode(changed)
    assert [route.name for route in cfg.routes][:2] == ['r-1', 'r-2']
    assert [service.name for service in cfg.services][:1] == ['desk']


@settings(max_examples=300, deadline=None)
@given(value=st.binary(max_size=60) | json_values.map(encode))
@pytest.mark.parametrize('key', ['servers/i-7f3a91c2', CONFIGURATION_KEY])
def test_any_value_is_decoded_without_an_exception(key, value):
    """Guards against an exception that ends the watch of the store."""
    found = decode_item(StoredItem(key, value, revision=9))
    assert isinstance(found, UnusableRecord)
