"""Registration of an instance, also after a restart of its process."""

import gevent
import msgspec
import pytest

from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceRecord,
    encode_instance,
)
from siskinproxy.entry.mirror import StoreMirror
from siskinproxy.entry.registration import Registration, RegistrationTiming
from siskinproxy.entry.store import Lease, PrefixChanges, StoredItem
from siskinproxy.entry.tests.fakes import Events
from siskinproxy.errors import LeaseLostError, StoreUnavailableError

RECORD = InstanceRecord('i-1', 'a', '127.0.0.1', 7)
KEY = f'{INSTANCES_PREFIX}i-1'
TIMING = RegistrationTiming(renew_s=0.01, list_wait_s=0.05, list_check_s=0.002)
RARE_RENEWALS = msgspec.structs.replace(TIMING, renew_s=10)


class Store:
    """Records the calls; renewals of unknown leases fail."""

    def __init__(self, leases=()):
        self.calls = []
        self.leases = set(leases)
        self.epoch = 1
        self.written = {}

    def keep_alive(self, lease_id):
        self.calls.append(('renew', lease_id))
        if lease_id not in self.leases:
            raise LeaseLostError(f'lease={lease_id}')
        return self.epoch

    def grant_lease(self, ttl_s):
        self.calls.append(('grant', None))
        self.leases.add(9)
        return Lease(9, self.epoch)

    def put(self, key, value, lease_id):
        self.calls.append(('put', lease_id))
        self.written[key] = lease_id
        return self.epoch


def mirror_of(items, epoch=1):
    mirror = StoreMirror()
    listed = tuple(items.values())
    mirror.apply(PrefixChanges(listed, 5, is_complete=True, epoch=epoch))
    return mirror


def calls_of(store, items, mirror=None, run_s=0.1):
    mirror = mirror or mirror_of(items)
    registration = Registration(
        store, RECORD, mirror, lambda: 1, Events(), TIMING
    )
    registration.start()
    gevent.sleep(run_s)
    registration.close()
    return store.calls


def registered(lease_id, record=RECORD):
    return {KEY: StoredItem(KEY, encode_instance(record), 3, lease_id)}


def test_a_restarted_process_takes_over_its_lease():
    """Guards against two writes per start, each of which all instances get."""
    calls = calls_of(Store(leases={5}), registered(5))
    assert len(calls) > 1
    assert set(calls) == {('renew', 5)}


@pytest.mark.parametrize(
    'items',
    [
        {},
        registered(0),
        registered(5, InstanceRecord('i-1', 'a', '127.0.0.2', 7)),
    ],
    ids=['new', 'without lease', 'other address'],
)
def test_others_register_anew(items):
    """Guards against an instance that is registered at a wrong address."""
    calls = calls_of(Store(leases={5}), items)
    assert calls[:3] == [('grant', None), ('put', 9), ('renew', 9)]


def test_a_lease_that_has_ended_is_replaced():
    """Guards against an instance without a registration after a restart.

    The list is as old as the answer that held it, so the lease may have ended.
    """
    calls = calls_of(Store(), registered(5))
    assert calls[:3] == [('renew', 5), ('grant', None), ('put', 9)]


def test_registers_without_a_list_of_the_store():
    """Guards against waiting for a store that answers no reads."""
    calls = calls_of(Store(), {}, StoreMirror(), run_s=0.3)
    assert calls[:2] == [('grant', None), ('put', 9)]


@pytest.fixture
def restored():
    """Registration whose lease 5 existed before the store was restored."""
    store = Store(leases={5})
    mirror = mirror_of(registered(5))
    registration = Registration(
        store, RECORD, mirror, lambda: 1, Events(), RARE_RENEWALS
    )
    registration.start()
    gevent.sleep(0.02)
    assert store.calls == [('renew', 5)]
    store.epoch = 2
    yield store, mirror, registration
    registration.close()


@pytest.mark.parametrize(
    ('listed', 'calls'),
    [
        (registered(5), [('renew', 5)] * 2),
        (registered(4), [('renew', 5), ('renew', 4)]),
        ({}, [('renew', 5), ('grant', None), ('put', 9)]),
        (
            registered(5, InstanceRecord('i-1', 'a', '127.0.0.2', 7)),
            [('renew', 5), ('grant', None), ('put', 9)],
        ),
    ],
    ids=['kept', 'earlier_lease', 'lost', 'earlier_address'],
)
def test_a_lease_of_before_a_restore_is_not_trusted(restored, listed, calls):
    """Guards against holding a lease that now belongs to another instance."""
    store, mirror, registration = restored
    store.leases.add(4)
    items = tuple(listed.values())
    mirror.apply(PrefixChanges(items, 3, is_complete=True, epoch=2))
    registration.check()
    gevent.sleep(0.1)
    assert store.calls[1:] == calls
    registration.check()
    gevent.sleep(0.05)
    assert store.calls[1:] == calls


class RefusingStore(Store):
    """Store that refuses renewals."""

    def keep_alive(self, lease_id):
        self.calls.append(('renew', lease_id))
        raise StoreUnavailableError('status=503')


@pytest.mark.parametrize(('returns', 'renewals'), [(False, 3), (True, 4)])
def test_refused_renewals_are_repeated_ever_more_rarely(returns, renewals):
    """Guards against instances that all keep asking a store in trouble.

    Each refused renewal has the full price. When the store is back, they must
    not wait for the rest of their delay: the lease may be about to end.
    """
    store = RefusingStore()
    timing = msgspec.structs.replace(TIMING, retry_s=0.05, longest_retry_s=1)
    registration = Registration(
        store, RECORD, mirror_of(registered(5)), lambda: 1, Events(), timing
    )
    registration.start()
    # Renewals at 0, 0.05 and 0.15 s; the next one would be at 0.35 s.
    gevent.sleep(0.22)
    registration.check(is_away=True)
    registration.check(is_away=not returns)
    gevent.sleep(0.03)
    registration.close()
    assert store.calls == [('renew', 5)] * renewals


def test_a_lease_outlives_refused_renewals():
    """Guards against a lease that ends between two renewals.

    The last one has to come less than two retries before the end.
    """
    timing = RegistrationTiming()
    tried_s = timing.renew_s
    delay_s = timing.retry_s
    tries = 0
    while tried_s < timing.lease_s:
        last_s = tried_s
        tries += 1
        tried_s += min(delay_s, timing.longest_retry_s)
        delay_s *= 2
    assert tries >= 4
    assert timing.lease_s - last_s < 2 * timing.retry_s


def test_a_write_under_a_lease_of_the_lost_history_is_repeated():
    """Guards against a registration that another instance's lease removes."""

    class RestoredStore(Store):
        """Store that is restored between two calls."""

        def grant_lease(self, ttl_s):
            lease = super().grant_lease(ttl_s)
            self.epoch = 2
            return lease

    calls = calls_of(RestoredStore(), {})
    assert calls[:4] == [('grant', None), ('put', 9)] * 2
