"""Targets that an instance knows, by name, token and service."""

import enum
from collections.abc import Iterator
from typing import Final

import msgspec

from siskinproxy.entry.records import TargetRecord

__all__ = (
    'DirectoryTiming',
    'KnownTarget',
    'Presence',
    'TargetChange',
    'TargetDirectory',
)


class Presence(enum.Enum):
    """Whether a target is listed."""

    LISTED = 'listed'
    #: The entry may only have expired while the store was away.
    LAPSED = 'lapsed'
    GONE = 'gone'


class DirectoryTiming(msgspec.Struct, frozen=True):
    """Times of the directory, in seconds.

    Parameters
    ----------
    return_s : float
        After an outage of the store, time in which entries of live targets
        return. The platform states about two seconds.
    flow_life_s : float
        Time for which packets of established flows still go to a target that
        is gone; the longest life of a flow that the platform states.
    turn_cold_s : float
        After a zone is back in service, time in which its targets announce
        whether they are cold: two heartbeats and the delay of the list.
    """

    return_s: float = 2.5
    flow_life_s: float = 60.0
    turn_cold_s: float = 3.5


class KnownTarget:
    """A target and what is known of its state.

    Parameters
    ----------
    record : TargetRecord
        Newest announcement.

    Attributes
    ----------
    record : TargetRecord
        Newest announcement.
    presence : Presence
        Whether the target is listed.
    absent_since_s : float
        Time at which the entry was removed, in seconds.
    cold_until_s : float
        Time until which the target counts as cold, in seconds.
    """

    __slots__ = (
        'absent_since_s',
        'cold_until_s',
        'presence',
        'record',
        'token',
    )

    def __init__(self, record: TargetRecord) -> None:
        self.record = record
        self.token = record.token
        self.presence = Presence.LISTED
        self.absent_since_s: float = 0
        self.cold_until_s: float = 0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record.name

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target bears a small load only."""
        return now_s < self.cold_until_s


class TargetChange(enum.Enum):
    """What an announcement changed."""

    ADDED = 'added'
    RESTARTED = 'restarted'
    DRAINING = 'draining'
    UPDATED = 'updated'
    LAPSED = 'lapsed'
    GONE = 'gone'


#: Rounding of the warm-up time that targets announce, in seconds.
_WARMUP_MARGIN_S: Final = 0.1


class TargetDirectory:
    """Targets by name and token.

    Parameters
    ----------
    timing : DirectoryTiming
        Times.
    """

    def __init__(self, timing: DirectoryTiming | None = None) -> None:
        self.timing = timing or DirectoryTiming()
        self._by_name: dict[str, KnownTarget] = {}
        self._by_token: dict[int, list[KnownTarget]] = {}
        self._by_service: dict[str, tuple[KnownTarget, ...]] = {}
        self._zones_out: dict[str, float] = {}
        self._returning: dict[str, float] = {}

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones that operators have taken out of service."""
        return frozenset(self._zones_out)

    def targets(self) -> Iterator[KnownTarget]:
        """Yield every known target, also those that are gone."""
        yield from self._by_name.values()

    def of_service(self, service: str) -> tuple[KnownTarget, ...]:
        """Return the targets that new flows of a service may go to."""
        found = self._by_service.get(service)
        if found is None:
            found = self._find_usable(service)
            self._by_service[service] = found
        return found

    def resolve(
        self, token: int, services: frozenset[str]
    ) -> KnownTarget | None:
        """Return the target that a token names.

        Parameters
        ----------
        token : int
            Token of a packet.
        services : frozenset of str
            Services that the flow may belong to. Two targets with the same
            token are told apart by their service.

        Returns
        -------
        KnownTarget or None
            None if no target of these services has the token.
        """
        for target in self._by_token.get(token, ()):
            if target.record.service in services:
                return target
        return None

    def out_for_s(self, zone: str, now_s: float) -> float:
        """Return how long ago a zone was taken out, 0 if it is in service."""
        out_s = self._zones_out.get(zone)
        return 0 if out_s is None else now_s - out_s

    def announce(self, record: TargetRecord, now_s: float) -> TargetChange:
        """Take over the announcement of a target.

        Parameters
        ----------
        record : TargetRecord
            Announcement.
        now_s : float
            Current time in seconds.

        Returns
        -------
        TargetChange
            What it changed.
        """
        known = self._by_name.get(record.name)
        self._by_service.clear()
        if known is None:
            known = KnownTarget(record)
            self._by_name[record.name] = known
            self._by_token.setdefault(known.token, []).append(known)
            self._set_cold(known, now_s)
            return TargetChange.ADDED
        earlier = known.record
        known.record = record
        known.presence = Presence.LISTED
        self._set_cold(known, now_s)
        if record.started_unix_ms != earlier.started_unix_ms:
            return TargetChange.RESTARTED
        if record.is_draining and not earlier.is_draining:
            return TargetChange.DRAINING
        return TargetChange.UPDATED

    def withdraw(
        self, name: str, now_s: float, *, may_return: bool
    ) -> TargetChange | None:
        """Note that the entry of a target was removed.

        Parameters
        ----------
        name : str
            Name of the target.
        now_s : float
            Current time in seconds.
        may_return : bool
            Whether the entry may have expired while the store was away.

        Returns
        -------
        TargetChange or None
            None for an unknown target.
        """
        known = self._by_name.get(name)
        if known is None:
            return None
        self._by_service.clear()
        known.absent_since_s = now_s
        if may_return and not known.record.is_draining:
            known.presence = Presence.LAPSED
            return TargetChange.LAPSED
        known.presence = Presence.GONE
        return TargetChange.GONE

    def take_zone_out(self, zone: str, now_s: float) -> None:
        """Send no new flows to the targets of a zone."""
        self._zones_out.setdefault(zone, now_s)
        self._by_service.clear()

    def return_zone(self, zone: str, now_s: float) -> None:
        """Use the targets of a zone again, at first as cold ones."""
        if self._zones_out.pop(zone, None) is None:
            return
        self._by_service.clear()
        self._returning[zone] = now_s + self.timing.turn_cold_s
        for target in self._by_name.values():
            if target.record.zone == zone:
                self._set_cold(target, now_s)

    def expire(self, now_s: float) -> list[KnownTarget]:
        """Give up entries that did not return, forget targets long gone.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of KnownTarget
            Targets whose entries did not return in time.
        """
        given_up = []
        for name, target in tuple(self._by_name.items()):
            absent_s = now_s - target.absent_since_s
            if target.presence is Presence.LAPSED:
                if absent_s > self.timing.return_s:
                    target.presence = Presence.GONE
                    self._by_service.clear()
                    given_up.append(target)
            elif target.presence is Presence.GONE:
                if absent_s > self.timing.flow_life_s:
                    self._forget(name, target)
        return given_up

    def _forget(self, name: str, target: KnownTarget) -> None:
        del self._by_name[name]
        same = self._by_token[target.token]
        same.remove(target)
        if not same:
            del self._by_token[target.token]

    def _set_cold(self, target: KnownTarget, now_s: float) -> None:
        left_s = target.record.warmup_left_s
        target.cold_until_s = now_s + left_s + _WARMUP_MARGIN_S if left_s else 0
        returning_s = self._returning.get(target.record.zone, 0)
        target.cold_until_s = max(target.cold_until_s, returning_s)

    def _find_usable(self, service: str) -> tuple[KnownTarget, ...]:
        return tuple(
            target
            for target in self._by_name.values()
            if target.record.service == service
            and self._is_usable(target)
            and self._has_own_token(target)
        )

    def _is_usable(self, target: KnownTarget) -> bool:
        if target.presence is Presence.GONE or target.record.is_draining:
            return False
        return target.record.zone not in self._zones_out

    def _has_own_token(self, target: KnownTarget) -> bool:
        """Exclude the later of two targets of a service with one token."""
        same = [
            other
            for other in self._by_token[target.token]
            if other.record.service == target.record.service
        ]
        return min(same, key=_target_id) is target


def _target_id(target: KnownTarget) -> int:
    return target.record.target_id
