"""Reader role: decides which instances of a zone watch the head in the store.

Two instances of each zone hold the role, so the load on the store depends on
the number of zones and not on the number of instances. Each zone has a fixed
number of slots; an instance holds the role by writing its name to the key of a
vacant slot, attached to a lease that it renews.

A holder counts the lease on its own clock, from before it sent the call that
granted or renewed it, and gives up the role `LEASE_MARGIN_S` before the store
can end the lease. A holder that was paused finds the deadline passed as soon as
it runs again.

This module does no I/O and reads no clock; the caller passes the time in.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final, TypeAlias

import msgspec

from siskinproxy.errors import (
    LeaseLostError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from siskinproxy.store.client import KeyValue

__all__ = (
    'LEASE_MARGIN_S',
    'LEASE_TTL_S',
    'READERS_PER_ZONE',
    'ClaimSlot',
    'ListReaders',
    'ReaderRecord',
    'ReaderRole',
    'RenewLease',
    'RequestLease',
    'RoleStep',
    'Sleep',
    'decode_readers',
    'encode_reader',
    'reader_key',
    'reader_prefix',
)

#: Number of slots, and so of readers, in each zone.
READERS_PER_ZONE: Final = 2

#: Duration of the lease of a slot after it was granted or renewed.
LEASE_TTL_S: Final = 10.0

#: A holder gives up the role this long before the store ends its lease. This
#: tolerates a clock that runs at a rate up to 10% different from the store's.
LEASE_MARGIN_S: Final = 1.0

#: Interval of the renewals. Other zones accept what a reader reports for 3 s
#: after its last contact with the store (zone reachability rule), so a reader
#: contacts the store every second.
RENEW_INTERVAL_S: Final = 1.0

#: Nominal first and longest delay of the exponential backoff of an instance that
#: holds the role, has lost it, or waits to resolve a claim without answer.
FIRST_RETRY_DELAY_S: Final = 0.25
MAX_RETRY_DELAY_S: Final = 10.0

#: An instance without the role polls for a vacant slot at this interval plus a
#: uniform jitter that grows with the number of instances in the zone: n of them
#: make n / (10 + 5 n) < 0.2 calls/s on average, whatever n is.
SLOT_POLL_INTERVAL_S: Final = 10.0
SLOT_POLL_JITTER_S_PER_MEMBER: Final = 10.0

#: Largest random delay of the first poll after the start, since all instances
#: of a zone may start at once.
START_JITTER_S: Final = 2.0


class ReaderRecord(msgspec.Struct, frozen=True):
    """Value of the key of a slot: who holds it.

    Parameters
    ----------
    name : str
        Name of the instance.
    lease_id : int
        Id of the lease that the key is attached to.
    """

    name: str
    lease_id: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ReaderRecord)

#: Replaces a record that cannot be decoded; the slot counts as taken.
_UNREADABLE: Final = ReaderRecord('', 0)


def reader_prefix(region: str, zone: str) -> str:
    """Return the common prefix of the keys of a zone's slots."""
    return f'siskinproxy/{region}/reader/{zone}/'


def reader_key(region: str, zone: str, slot: int) -> str:
    """Return the key of a slot of a zone."""
    return f'{reader_prefix(region, zone)}{slot}'


def encode_reader(record: ReaderRecord) -> bytes:
    """Return the stored form of a record."""
    return _encoder.encode(record)


def decode_readers(
    listed: tuple[tuple[str, KeyValue], ...],
) -> dict[int, ReaderRecord]:
    """Decode the records in the slots of a zone.

    Parameters
    ----------
    listed : tuple of tuple of str and KeyValue
        Keys with the prefix of the zone and their values.

    Returns
    -------
    dict of int to ReaderRecord
        Records by slot number; keys that do not end in a number are ignored.
    """
    records = {}
    for key, found in listed:
        suffix = key.rpartition('/')[2]
        if suffix.isdecimal():
            records[int(suffix)] = _decode_record(found)
    return records


def _decode_record(found: KeyValue) -> ReaderRecord:
    try:
        return _decoder.decode(found.value)
    except msgspec.DecodeError:
        return _UNREADABLE


@dataclass(frozen=True, slots=True)
class Sleep:
    """Make no call before the time ``until_s``."""

    until_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class ListReaders:
    """List the keys of the zone's slots."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestLease:
    """Request a lease that lasts ``ttl_s`` seconds."""

    ttl_s: float
    reason: str = 'vacant slot'


@dataclass(frozen=True, slots=True)
class ClaimSlot:
    """Write the record to the key of a slot if the key is absent."""

    slot: int
    record: ReaderRecord
    reason: str = 'vacant slot'


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease of the slot that the instance holds."""

    lease_id: int
    reason: str = 'renewal due'


RoleStep: TypeAlias = (
    Sleep | ListReaders | RequestLease | ClaimSlot | RenewLease
)


class _Phase(Enum):
    """Purpose of the next call; the values are reasons of role steps."""

    POLLING = 'list the readers'
    REQUESTING_LEASE = 'request a lease'
    CLAIMING = 'claim a slot'
    RESOLVING = 'find out whether a claim took effect'
    HOLDING = 'renew the lease'


class ReaderRole:
    """State machine that decides which call an instance makes for the role.

    The caller gets the `next_step`, executes it and passes the result to the
    method of that step. Times are seconds on the instance's monotonic clock.

    Parameters
    ----------
    name : str
        Name of the instance.
    rng : random.Random
        Random source for the jitter of delays.
    now_s : float
        Time of the start.

    Attributes
    ----------
    reason : str
        Why the instance holds the role or does not.
    """

    def __init__(self, name: str, rng: random.Random, now_s: float) -> None:
        self.reason = 'started'
        self._name = name
        self._rng = rng
        self._phase = _Phase.POLLING
        self._due_s = now_s + rng.uniform(0, START_JITTER_S)
        self._zone_members = 1
        # True from a successful claim until the instance stops trying to keep
        # or regain the role; meanwhile it retries after short delays.
        self._was_reader = False
        self._failures = 0
        self._slot = 0
        self._lease_id = 0
        self._lease_deadline_s = now_s

    @property
    def lease_id(self) -> int:
        """Id of the lease last granted; 0 before the first one."""
        return self._lease_id

    def set_zone_members(self, count: int) -> None:
        """Set the number of instances in the zone, this one included."""
        self._zone_members = max(count, 1)

    def is_reader(self, now_s: float) -> bool:
        """Return whether the instance holds a slot with a valid lease."""
        return self._phase is _Phase.HOLDING and now_s < self._lease_deadline_s

    def next_step(self, now_s: float) -> RoleStep:
        """Return the next call, or a `Sleep` until it is due.

        Parameters
        ----------
        now_s : float
            Current time.
        """
        if self._needs_lease and now_s >= self._lease_deadline_s:
            self._give_up_lease(now_s, 'lease deadline passed')
        if now_s < self._due_s:
            return Sleep(self._next_wakeup_s, self._phase.value)
        match self._phase:
            case _Phase.REQUESTING_LEASE:
                return RequestLease(LEASE_TTL_S)
            case _Phase.CLAIMING:
                record = ReaderRecord(self._name, self._lease_id)
                return ClaimSlot(self._slot, record)
            case _Phase.HOLDING:
                return RenewLease(self._lease_id)
        return ListReaders(self._phase.value)

    def on_readers_listed(
        self,
        records: Mapping[int, ReaderRecord],
        now_s: float,
    ) -> None:
        """Handle the result of `ListReaders`.

        Parameters
        ----------
        records : mapping of int to ReaderRecord
            Records by slot number.
        now_s : float
            Time at which the answer arrived.
        """
        if self._phase is _Phase.RESOLVING:
            self._resolve_claim(records, now_s)
            return
        vacant = [
            slot for slot in range(READERS_PER_ZONE) if slot not in records
        ]
        names = {record.name for record in records.values()}
        if self._was_reader and self._name in names:
            # The slot is still attached to the former lease of this instance,
            # which the store will end soon.
            self._enter_phase(_Phase.POLLING, now_s + self._retry_delay_s())
        elif vacant:
            self._slot = self._rng.choice(vacant)
            self._enter_phase(_Phase.REQUESTING_LEASE, now_s)
        else:
            self._poll_later(now_s, 'all slots are taken')

    def on_lease_granted(
        self,
        lease_id: int,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Handle the result of `RequestLease`.

        Parameters
        ----------
        lease_id : int
            Id of the granted lease.
        sent_s : float
            Time before the call was sent.
        now_s : float
            Time at which the answer arrived.
        """
        self._lease_id = lease_id
        self._extend_deadline(sent_s)
        self._enter_phase(_Phase.CLAIMING, now_s)

    def on_claimed(self, now_s: float) -> None:
        """Handle a successful `ClaimSlot`."""
        self._start_holding(now_s, 'slot claimed')

    def on_renewed(self, sent_s: float, now_s: float) -> None:
        """Handle a successful `RenewLease`.

        Parameters
        ----------
        sent_s : float
            Time before the call was sent.
        now_s : float
            Time at which the answer arrived.
        """
        self._extend_deadline(sent_s)
        self._failures = 0
        self._due_s = max(now_s, sent_s + RENEW_INTERVAL_S)

    def on_failure(
        self,
        step: RoleStep,
        exc: StoreError,
        now_s: float,
    ) -> None:
        """Handle a failed call.

        Parameters
        ----------
        step : RoleStep
            The call that failed.
        exc : StoreError
            Error of the call.
        now_s : float
            Time of the failure.
        """
        match step, exc:
            case _, LeaseLostError():
                self._give_up_lease(now_s, 'store no longer has the lease')
            case ClaimSlot(), StoreConflictError():
                self._poll_later(now_s, 'slot was claimed by another instance')
            case ClaimSlot(), StoreOutcomeUnknownError():
                self._phase = _Phase.RESOLVING
                self._due_s = now_s + self._retry_delay_s()
            case RenewLease(), _:
                self._due_s = now_s + self._retry_delay_s()
            case _ if self._was_reader:
                self._enter_phase(self._phase, now_s + self._retry_delay_s())
            case _:
                self._poll_later(now_s, 'call to the store failed')

    @property
    def _needs_lease(self) -> bool:
        return self._phase in {
            _Phase.CLAIMING,
            _Phase.RESOLVING,
            _Phase.HOLDING,
        }

    @property
    def _next_wakeup_s(self) -> float:
        if self._needs_lease:
            return min(self._due_s, self._lease_deadline_s)
        return self._due_s

    def _enter_phase(self, phase: _Phase, due_s: float) -> None:
        self._phase = phase
        self._due_s = due_s

    def _extend_deadline(self, sent_s: float) -> None:
        # The store starts the lease after the call was sent, so it ends the
        # lease no earlier than LEASE_TTL_S after `sent_s`.
        self._lease_deadline_s = sent_s + LEASE_TTL_S - LEASE_MARGIN_S

    def _start_holding(self, now_s: float, reason: str) -> None:
        self.reason = reason
        self._was_reader = True
        self._failures = 0
        self._enter_phase(_Phase.HOLDING, now_s + RENEW_INTERVAL_S)

    def _give_up_lease(self, now_s: float, reason: str) -> None:
        """Give up the lease; an instance that held the role retries soon."""
        self.reason = reason
        if self._was_reader:
            delay_s = self._retry_delay_s()
            self._enter_phase(_Phase.POLLING, now_s + delay_s)
        else:
            self._poll_later(now_s, reason)

    def _poll_later(self, now_s: float, reason: str) -> None:
        """Poll for a vacant slot after the interval and its jitter."""
        self.reason = reason
        self._was_reader = False
        self._failures = 0
        jitter_s = SLOT_POLL_JITTER_S_PER_MEMBER * self._zone_members
        delay_s = SLOT_POLL_INTERVAL_S + self._rng.uniform(0, jitter_s)
        self._enter_phase(_Phase.POLLING, now_s + delay_s)

    def _resolve_claim(
        self,
        records: Mapping[int, ReaderRecord],
        now_s: float,
    ) -> None:
        """Find out from the slots whether a claim without answer succeeded."""
        found = records.get(self._slot)
        if found == ReaderRecord(self._name, self._lease_id):
            self._start_holding(now_s, 'claim found in the store')
        elif found is None:
            # The claim may still be on its way to the store, so the same slot
            # is claimed again: claiming another could give it both slots.
            self._enter_phase(_Phase.CLAIMING, now_s)
        else:
            self._poll_later(now_s, 'slot was claimed by another instance')

    def _retry_delay_s(self) -> float:
        """Count a failure and return the delay, 50% to 100% of nominal."""
        nominal_s = FIRST_RETRY_DELAY_S * 2 ** min(self._failures, 10)
        self._failures += 1
        return min(nominal_s, MAX_RETRY_DELAY_S) * self._rng.uniform(0.5, 1)
