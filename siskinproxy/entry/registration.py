"""Keeps the registration of an instance in the store."""

from typing import Any

import gevent
import msgspec

from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceRecord,
    encode_instance,
)
from siskinproxy.entry.store import PrefixStore
from siskinproxy.errors import LeaseLostError, StoreError

__all__ = ('Registration', 'RegistrationTiming')


class RegistrationTiming(msgspec.Struct, frozen=True):
    """Times of a registration, in seconds.

    Parameters
    ----------
    lease_s : float
        Life of the registration without renewal. Other instances ask the
        next one as soon as one does not answer, so it may be long.
    renew_s : float
        Time between renewals.
    retry_s : float
        Delay after a failed call.
    """

    lease_s: float = 20.0
    renew_s: float = 6.0
    retry_s: float = 1.5


class Registration:
    """Registers an instance and renews its lease.

    Parameters
    ----------
    store : PrefixStore
        Store.
    record : InstanceRecord
        What is registered.
    events : EventSink
        Where failures are reported.
    timing : RegistrationTiming
        Times.
    """

    def __init__(
        self,
        store: PrefixStore,
        record: InstanceRecord,
        events: Any,
        timing: RegistrationTiming | None = None,
    ) -> None:
        self._store = store
        self._record = record
        self._events = events
        self._timing = timing or RegistrationTiming()
        self._lease_id: int | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Register and renew in a greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop renewing; the registration ends with its lease."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None

    def _run(self) -> None:
        while True:
            try:
                self._keep()
            except LeaseLostError as exc:
                self._lease_id = None
                self._report('registration_lost', exc)
                gevent.sleep(0)
            except StoreError as exc:
                self._report('registration_failed', exc)
                gevent.sleep(self._timing.retry_s)
            else:
                gevent.sleep(self._timing.renew_s)

    def _keep(self) -> None:
        if self._lease_id is not None:
            self._store.keep_alive(self._lease_id)
            return
        lease_id = self._store.grant_lease(self._timing.lease_s)
        key = f'{INSTANCES_PREFIX}{self._record.name}'
        self._store.put(key, encode_instance(self._record), lease_id)
        self._lease_id = lease_id

    def _report(self, name: str, exc: StoreError) -> None:
        self._events.event(name, kind=type(exc).__name__, reason=str(exc))
