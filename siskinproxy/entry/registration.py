"""Registration of an instance in the store.

Other instances find this one by a key that the store removes when its lease
expires without renewal. A process that has restarted finds its registration
in the store's list and takes over the lease: that takes one cheap call instead
of two, and the other instances get no change to apply.

A restored store may have lost the registration, and may have given the id of its
lease to another instance, so a lease counts only in the epoch in which the store
granted or listed it.
"""

import random
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceRecord,
    encode_instance,
)
from siskinproxy.entry.mirror import StoreMirror
from siskinproxy.entry.store import Lease, PrefixStore
from siskinproxy.entry.store_calls import CallCause, CallKind, StoreCalls
from siskinproxy.entry.supervision import Spawn, spawn_plain
from siskinproxy.errors import LeaseLostError, StoreError

__all__ = ('Registration', 'RegistrationTiming')


class RegistrationTiming(msgspec.Struct, frozen=True):
    """Lease time and delays of a registration, in seconds.

    Parameters
    ----------
    lease_s : float
        Time after which the registration expires without renewal. It may be
        long, since other instances turn to the next source as soon as this
        one does not answer.
    renew_s : float
        Time between renewals of the lease.
    retry_s : float
        Delay after a failed call to the store. It doubles with each further
        failed renewal.
    longest_retry_s : float
        Longest delay after a failed renewal, short enough for a last one just
        before the lease ends.
    list_wait_s : float
        Longest wait for the first list of the store's items.
    list_check_s : float
        Time between two looks for that list.
    spread_s : float
        Time over which the instances of a fleet spread their registrations
        after a restore of the store, for each of them.
    """

    lease_s: float = 20.0
    renew_s: float = 6.0
    retry_s: float = 1.5
    longest_retry_s: float = 4.0
    list_wait_s: float = 1.0
    list_check_s: float = 0.02
    spread_s: float = 0.005


class Registration:
    """Registers an instance in the store and renews its lease.

    Parameters
    ----------
    store : PrefixStore
        Client of the store.
    record : InstanceRecord
        Registration of this instance.
    mirror : StoreMirror
        Copy of the store's items.
    fleet_size : callable
        Returns the number of registered instances.
    events : EventSink
        Where failed calls and a lost lease are reported.
    timing : RegistrationTiming or None
        Lease time and delays; None for the defaults.
    calls : StoreCalls or None
        Where calls to the store are counted.
    """

    def __init__(
        self,
        store: PrefixStore,
        record: InstanceRecord,
        mirror: StoreMirror,
        fleet_size: Callable[[], int],
        events: Any,
        timing: RegistrationTiming | None = None,
        calls: StoreCalls | None = None,
    ) -> None:
        self._store = store
        self._record = record
        self._mirror = mirror
        self._fleet_size = fleet_size
        self._events = events
        self._key = f'{INSTANCES_PREFIX}{record.name}'
        self._timing = timing or RegistrationTiming()
        self._calls = calls or StoreCalls(events)
        self._cause = CallCause.START
        self._lease: Lease | None = None
        self._failures = 0
        self._was_away = False
        self._wake = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Start to register and to renew the lease in a greenlet."""
        self._greenlet = spawn('registration', self._run)

    def close(self) -> None:
        """Stop renewing the lease; the registration expires with it."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def check(self, *, is_away: bool = False) -> None:
        """Look after the registration at once if the store was restored.

        Parameters
        ----------
        is_away : bool
            Whether no source has heard from the store lately. When it is back,
            a renewal that failed is repeated without the rest of its delay.
        """
        lease = self._lease
        if self._was_away and not is_away and self._failures:
            self._wake.set()
        self._was_away = is_away
        if lease is not None and lease.epoch != self._mirror.epoch:
            self._wake.set()

    def _run(self) -> None:
        self._wait_for_list(0)
        self._lease = self._find_own_lease()
        while True:
            self._wake.clear()
            try:
                self._register_or_renew()
            except LeaseLostError as exc:
                self._lease = None
                self._cause = CallCause.LEASE_LOST
                self._report_failure('registration_lost', exc)
                gevent.sleep(0)
            except StoreError as exc:
                self._cause = CallCause.FAILURE
                self._report_failure('registration_failed', exc)
                self._wait_after_failure()
            else:
                self._cause = CallCause.DUE
                self._failures = 0
                self._wake.wait(self._timing.renew_s)

    def _wait_after_failure(self) -> None:
        timing = self._timing
        gevent.sleep(timing.retry_s)
        if self._lease is None:
            return
        delay_s = min(
            timing.retry_s * 2**self._failures, timing.longest_retry_s
        )
        self._failures += 1
        self._wake.wait(max(delay_s - timing.retry_s, 0))

    def _wait_for_list(self, epoch: int) -> None:
        """Wait for the first list, of this epoch of the store or a later one."""
        timing = self._timing
        mirror = self._mirror
        waited_s: float = 0
        while waited_s < timing.list_wait_s:
            if mirror.revision and mirror.epoch >= epoch:
                return
            gevent.sleep(timing.list_check_s)
            waited_s += timing.list_check_s

    def _find_own_lease(self) -> Lease | None:
        """Return the lease of this instance's registration, None if none."""
        item = self._mirror.items.get(self._key)
        if item is None or item.value != encode_instance(self._record):
            return None
        return (
            Lease(item.lease_id, self._mirror.epoch) if item.lease_id else None
        )

    def _register_or_renew(self) -> None:
        if self._lease is not None:
            epoch = self._renew(self._lease)
            if epoch == self._lease.epoch:
                return
            self._cause = CallCause.RESTORED
            self._lease = self._find_restored_lease(epoch)
        if self._lease is None:
            self._lease = self._register()
        else:
            self._renew(self._lease)

    def _renew(self, lease: Lease) -> int:
        self._calls.note(CallKind.RENEW, self._cause)
        return self._store.keep_alive(lease.lease_id)

    def _find_restored_lease(self, epoch: int) -> Lease | None:
        """Return the lease that holds the registration in a restored store."""
        self._wait_for_list(epoch)
        lease = self._find_own_lease()
        if lease is not None and lease.epoch == epoch:
            return lease
        self._events.event('registration_not_restored', epoch=epoch)
        longest_s = self._timing.spread_s * self._fleet_size()
        gevent.sleep(random.uniform(0, longest_s))  # noqa: S311
        return None

    def _register(self) -> Lease:
        self._calls.note(CallKind.GRANT, self._cause)
        lease = self._store.grant_lease(self._timing.lease_s)
        self._calls.note(CallKind.WRITE, self._cause)
        epoch = self._store.put(
            self._key, encode_instance(self._record), lease.lease_id
        )
        if epoch != lease.epoch:
            raise LeaseLostError(
                f'lease={lease.lease_id} epoch={lease.epoch} written_in={epoch}'
            )
        return lease

    def _report_failure(self, name: str, exc: StoreError) -> None:
        self._events.event(name, kind=type(exc).__name__, reason=str(exc))
