import json

import pytest

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreRateLimitError,
    StoreValueSizeError,
)
from siskinproxy.standins.memory_store import (
    INSTANCES_PREFIX,
    MemoryStore,
    PlatformInstance,
    StoreLimits,
)
from siskinproxy.store import ABSENT


@pytest.mark.parametrize(
    ('written', 'expected'),
    [(b'', 1), (b'one', 0), (b'one', 2)],
    ids=['absent', 'present', 'other-version'],
)
def test_swap_needs_expected_version(written, expected):
    """Guards against a write that overwrites a value its caller never read."""
    store = MemoryStore()
    if written:
        store.compare_and_swap('key', written, 0, 0, 0)
    with pytest.raises(StoreConflictError):
        store.compare_and_swap('key', b'two', expected, 0, 0)
    assert store.get('key', 0).value == written


def test_versions_are_not_reused():
    """Guards against a delayed write that succeeds on a recreated key.

    It would if the key had the version of its earlier value again.
    """
    store = MemoryStore()
    lease_id = store.grant_lease(5, 0)
    first = store.compare_and_swap('key', b'one', 0, lease_id, 0)
    assert store.get('key', 5) is ABSENT
    second = store.compare_and_swap('key', b'two', 0, 0, 5)
    assert second.version > first.version


def test_expired_lease_is_lost():
    """Guards against a lease holder that keeps its key after a long pause."""
    store = MemoryStore()
    lease_id = store.grant_lease(5, 0)
    store.compare_and_swap('role', b'a', 0, lease_id, 0)
    store.keep_alive(lease_id, 4)
    assert store.get('role', 8.9).value == b'a'
    with pytest.raises(LeaseLostError):
        store.keep_alive(lease_id, 9)
    with pytest.raises(LeaseLostError):
        store.compare_and_swap('role', b'a', 0, lease_id, 9)
    assert store.get('role', 9) is ABSENT


def test_revoked_lease_removes_its_keys():
    """Guards against keys that remain after their lease was revoked."""
    store = MemoryStore()
    lease_id = store.grant_lease(5, 0)
    store.compare_and_swap('role', b'a', 0, lease_id, 0)
    store.revoke_lease(lease_id, 1)
    assert store.list('', 1) == ()


def test_rate_limits_are_separate_and_per_second():
    """Guards against a stand-in that accepts more calls than the platform.

    Tests would pass for clients that the platform rejects.
    """
    store = MemoryStore(StoreLimits(writes_per_s=2, reads_per_s=1))
    store.admit('CompareAndSwap', 0.1)
    store.admit('KeepAlive', 0.2)
    with pytest.raises(StoreRateLimitError):
        store.admit('GrantLease', 0.9)
    store.admit('Watch', 0.9)
    with pytest.raises(StoreRateLimitError):
        store.admit('Get', 0.9)
    store.admit('GrantLease', 1)


def test_large_value_is_rejected():
    """Guards against a stand-in that accepts larger values than the platform."""
    store = MemoryStore(StoreLimits(value_bytes=10))
    with pytest.raises(StoreValueSizeError):
        store.compare_and_swap('key', bytes(11), 0, 0, 0)
    assert store.get('key', 0) is ABSENT


def test_instance_list_lags():
    """Guards against an instance list that shows changes without delay.

    Tests would pass for code that relies on an up-to-date list.
    """
    store = MemoryStore(StoreLimits(list_lag_s=5))
    instance = PlatformInstance('n1', 'a', '127.0.1.1', 7000, 7001)
    store.put_instance(instance, 0)
    assert store.list(INSTANCES_PREFIX, 4.9) == ()
    ((key, found),) = store.list(INSTANCES_PREFIX, 5)
    assert key == 'platform/instances/n1'
    assert json.loads(found.value) == {
        'name': 'n1',
        'zone': 'a',
        'address': '127.0.1.1',
        'packet_port': 7000,
        'control_port': 7001,
        'state': 'live',
    }
    store.remove_instance('n1', 6)
    assert store.list(INSTANCES_PREFIX, 10.9)
    assert store.list(INSTANCES_PREFIX, 11) == ()
