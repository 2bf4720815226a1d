"""Reader role: which instances of a zone watch the head in the store.

Two instances of each zone hold the role, so the load on the store depends on
the number of zones and not on the number of instances. The role is a key with
a lease. A holder measures the lease with its own clock from before the call
that granted or renewed it, and gives up the role earlier than the store ends
the lease; a holder that was paused notices this as soon as it runs again.

There are no sockets and no clock in this module; the time is passed in.
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

READERS_PER_ZONE: Final = 2

LEASE_TTL_S: Final = 10.0

#: A holder gives up this long before the store ends its lease. Covers clocks
#: that run at different rates: 10% within one lease.
LEASE_MARGIN_S: Final = 1.0

#: Other zones accept what a reader says for 3 s after it heard from the store
#: (zone reachability rule), so a reader contacts the store every second.
RENEW_INTERVAL_S: Final = 1.0

#: Delays of a holder, or former holder, while the store fails.
FIRST_RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 10.0

#: An instance without the role looks for a vacant one once in this time, plus
#: a jitter that grows with the zone: n members make n / (10 + 5 n) < 0.2
#: calls/s in the mean, whatever n is.
LOOK_INTERVAL_S: Final = 10.0
LOOK_JITTER_S_PER_MEMBER: Final = 10.0

#: Spread of the first look after the start; a whole zone may start at once.
START_SPREAD_S: Final = 2.0


class ReaderRecord(msgspec.Struct, frozen=True):
    """Value of a reader key.

    Parameters
    ----------
    name : str
        Name of the instance.
    lease_id : int
        Lease that the key is attached to.
    """

    name: str
    lease_id: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ReaderRecord)

#: Stands for a record that cannot be decoded: the slot is taken.
_UNREADABLE: Final = ReaderRecord('', 0)


def reader_prefix(region: str, zone: str) -> str:
    """Return the prefix of the reader keys of a zone."""
    return f'siskinproxy/{region}/reader/{zone}/'


def reader_key(region: str, zone: str, slot: int) -> str:
    """Return the key of a reader slot."""
    return f'{reader_prefix(region, zone)}{slot}'


def encode_reader(record: ReaderRecord) -> bytes:
    """Return the value of a reader key."""
    return _encoder.encode(record)


def decode_readers(
    listed: tuple[tuple[str, KeyValue], ...],
) -> dict[int, ReaderRecord]:
    """Decode the reader keys of a zone.

    Parameters
    ----------
    listed : tuple of tuple of str and KeyValue
        Keys with the prefix of the zone and their values.

    Returns
    -------
    dict of int to ReaderRecord
        Records by slot; foreign keys are ignored.
    """
    records = {}
    for key, found in listed:
        suffix = key.rpartition('/')[2]
        if suffix.isdecimal():
            records[int(suffix)] = _decode(found)
    return records


def _decode(found: KeyValue) -> ReaderRecord:
    try:
        return _decoder.decode(found.value)
    except msgspec.DecodeError:
        return _UNREADABLE


@dataclass(frozen=True, slots=True)
class Sleep:
    """Nothing to do until some time."""

    until_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class ListReaders:
    """List the reader keys of the zone."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestLease:
    """Request a lease."""

    ttl_s: float
    reason: str = 'vacant slot'


@dataclass(frozen=True, slots=True)
class ClaimSlot:
    """Write the record to an absent reader key."""

    slot: int
    record: ReaderRecord
    reason: str = 'vacant slot'


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease."""

    lease_id: int
    reason: str = 'renewal due'


RoleStep: TypeAlias = (
    Sleep | ListReaders | RequestLease | ClaimSlot | RenewLease
)


class _Phase(Enum):
    """What the next call is for."""

    LOOKING = 'list the readers'
    LEASING = 'request a lease'
    CLAIMING = 'claim a slot'
    RESOLVING = 'find out whether a claim took effect'
    HOLDING = 'renew the lease'


class ReaderRole:
    """Decides which call an instance makes for the reader role.

    The caller asks for the `next_step`, executes it and reports the result
    together with the time at which the call was sent.

    Parameters
    ----------
    name : str
        Name of the instance.
    rng : random.Random
        Source of the jitter.
    now_s : float
        Time of the start on the instance's monotonic clock.

    Attributes
    ----------
    reason : str
        Why the instance has its role.
    """

    def __init__(self, name: str, rng: random.Random, now_s: float) -> None:
        self.reason = 'started'
        self._name = name
        self._rng = rng
        self._phase = _Phase.LOOKING
        self._due_s = now_s + rng.uniform(0, START_SPREAD_S)
        self._zone_members = 1
        self._was_reader = False
        self._failures = 0
        self._slot = 0
        self._lease_id = 0
        self._deadline_s = now_s

    @property
    def lease_id(self) -> int:
        """Lease that the instance last got; 0 before the first one."""
        return self._lease_id

    def set_zone_members(self, count: int) -> None:
        """Set the number of members in the instance's zone."""
        self._zone_members = max(count, 1)

    def is_reader(self, now_s: float) -> bool:
        """Tell whether the instance may act as reader."""
        return self._phase is _Phase.HOLDING and now_s < self._deadline_s

    def next_step(self, now_s: float) -> RoleStep:
        """Return the next call, or the time to wait until.

        Parameters
        ----------
        now_s : float
            Current time on the monotonic clock.
        """
        if self._needs_lease and now_s >= self._deadline_s:
            self._lapse(now_s, 'lease ran out')
        if now_s < self._due_s:
            return Sleep(self._wake_s, self._phase.value)
        match self._phase:
            case _Phase.LEASING:
                return RequestLease(LEASE_TTL_S)
            case _Phase.CLAIMING:
                record = ReaderRecord(self._name, self._lease_id)
                return ClaimSlot(self._slot, record)
            case _Phase.HOLDING:
                return RenewLease(self._lease_id)
        return ListReaders(self._phase.value)

    def on_listed(
        self,
        records: Mapping[int, ReaderRecord],
        now_s: float,
    ) -> None:
        """Handle the result of `ListReaders`.

        Parameters
        ----------
        records : mapping of int to ReaderRecord
            Records by slot.
        now_s : float
            Time at which the answer arrived.
        """
        if self._phase is _Phase.RESOLVING:
            self._resolve(records, now_s)
            return
        vacant = [
            slot for slot in range(READERS_PER_ZONE) if slot not in records
        ]
        names = {record.name for record in records.values()}
        if self._was_reader and self._name in names:
            # The store has not ended the former lease yet.
            self._enter(_Phase.LOOKING, now_s + self._retry_delay_s())
        elif vacant:
            self._slot = self._rng.choice(vacant)
            self._enter(_Phase.LEASING, now_s)
        else:
            self._look_later(now_s, 'all slots are taken')

    def on_lease(self, lease_id: int, sent_s: float, now_s: float) -> None:
        """Handle the result of `RequestLease`.

        Parameters
        ----------
        lease_id : int
            The granted lease.
        sent_s : float
            Time before the call was sent.
        now_s : float
            Time at which the answer arrived.
        """
        self._lease_id = lease_id
        self._extend(sent_s)
        self._enter(_Phase.CLAIMING, now_s)

    def on_claimed(self, now_s: float) -> None:
        """Handle the success of `ClaimSlot`."""
        self._hold(now_s, 'slot claimed')

    def on_renewed(self, sent_s: float, now_s: float) -> None:
        """Handle the success of `RenewLease`.

        Parameters
        ----------
        sent_s : float
            Time before the call was sent.
        now_s : float
            Time at which the answer arrived.
        """
        self._extend(sent_s)
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
            The call.
        exc : StoreError
            Its error.
        now_s : float
            Time at which it failed.
        """
        match step, exc:
            case _, LeaseLostError():
                self._lapse(now_s, 'lease is lost')
            case ClaimSlot(), StoreConflictError():
                self._look_later(now_s, 'slot was claimed by another')
            case ClaimSlot(), StoreOutcomeUnknownError():
                self._phase = _Phase.RESOLVING
                self._due_s = now_s + self._retry_delay_s()
            case RenewLease(), _:
                self._due_s = now_s + self._retry_delay_s()
            case _ if self._was_reader:
                self._enter(self._phase, now_s + self._retry_delay_s())
            case _:
                self._look_later(now_s, 'store failed')

    @property
    def _needs_lease(self) -> bool:
        return self._phase in {
            _Phase.CLAIMING,
            _Phase.RESOLVING,
            _Phase.HOLDING,
        }

    @property
    def _wake_s(self) -> float:
        if self._needs_lease:
            return min(self._due_s, self._deadline_s)
        return self._due_s

    def _enter(self, phase: _Phase, due_s: float) -> None:
        self._phase = phase
        self._due_s = due_s

    def _extend(self, sent_s: float) -> None:
        # The store starts the lease after the call was sent, so the lease
        # does not end before this time.
        self._deadline_s = sent_s + LEASE_TTL_S - LEASE_MARGIN_S

    def _hold(self, now_s: float, reason: str) -> None:
        self.reason = reason
        self._was_reader = True
        self._failures = 0
        self._enter(_Phase.HOLDING, now_s + RENEW_INTERVAL_S)

    def _lapse(self, now_s: float, reason: str) -> None:
        """Give up the lease; a former holder looks again soon."""
        self.reason = reason
        if self._was_reader:
            delay_s = self._retry_delay_s()
            self._enter(_Phase.LOOKING, now_s + delay_s)
        else:
            self._look_later(now_s, reason)

    def _look_later(self, now_s: float, reason: str) -> None:
        self.reason = reason
        self._was_reader = False
        self._failures = 0
        jitter_s = LOOK_JITTER_S_PER_MEMBER * self._zone_members
        delay_s = LOOK_INTERVAL_S + self._rng.uniform(0, jitter_s)
        self._enter(_Phase.LOOKING, now_s + delay_s)

    def _resolve(
        self,
        records: Mapping[int, ReaderRecord],
        now_s: float,
    ) -> None:
        """Decide about a claim whose answer was lost."""
        found = records.get(self._slot)
        if found == ReaderRecord(self._name, self._lease_id):
            self._hold(now_s, 'claim found in the store')
        elif found is None:
            # The claim may still arrive, so only the same slot is claimed
            # again: an instance never holds both slots.
            self._enter(_Phase.CLAIMING, now_s)
        else:
            self._look_later(now_s, 'slot was claimed by another')

    def _retry_delay_s(self) -> float:
        nominal_s = FIRST_RETRY_S * 2 ** min(self._failures, 10)
        self._failures += 1
        return min(nominal_s, MAX_RETRY_S) * self._rng.uniform(0.5, 1)
