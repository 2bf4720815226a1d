"""Directory of the known targets, by name, token and service.

It decides which targets may get new flows and which target the token of a
packet names.
"""

import enum
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from siskinproxy.entry.records import TargetRecord

__all__ = (
    'ChangeListener',
    'DirectoryTiming',
    'KnownTarget',
    'Presence',
    'TargetChange',
    'TargetDirectory',
)


class Presence(enum.Enum):
    """State of a target's entry in the store."""

    #: The store holds the entry.
    LISTED = 'listed'
    #: The entry is missing, but may have expired only because the target could
    #: not renew it while the store was unavailable. The target is still used.
    LAPSED = 'lapsed'
    #: The entry was removed for good, or has lapsed for too long. The target
    #: gets no new flows; packets of its open flows are still forwarded.
    GONE = 'gone'


class DirectoryTiming(msgspec.Struct, frozen=True):
    """Timeouts of the directory, in seconds.

    Parameters
    ----------
    lapsed_timeout_s : float
        Time after which a lapsed target counts as gone. After an outage of the
        store, live targets renew their entries within about two seconds.
    flow_life_s : float
        Time for which packets of established flows are still forwarded to a
        target that is gone: the longest duration of a flow on the platform.
    returned_zone_cold_s : float
        Time for which all targets of a zone count as cold after the zone is
        back in service. It covers the time until each target has announced
        whether it is cold: two heartbeats and the delay of the store's list.
    """

    lapsed_timeout_s: float = 2.5
    flow_life_s: float = 60.0
    returned_zone_cold_s: float = 3.5


class KnownTarget:
    """A target with the state of its entry and its warm-up.

    Parameters
    ----------
    record : TargetRecord
        First announcement of the target.

    Attributes
    ----------
    record : TargetRecord
        Latest announcement of the target.
    token : int
        Token that names the target in packets.
    presence : Presence
        State of the target's entry in the store.
    absent_since_s : float
        Time at which the entry was last removed, in seconds; 0 if never.
    cold_until_s : float
        Time until which the target counts as cold by its entry, or since its
        zone has returned, in seconds.
    unproven_until_s : float
        Time until which it counts as cold because its entry may be that of an
        earlier process, in seconds.
    """

    __slots__ = (
        'absent_since_s',
        'cold_until_s',
        'presence',
        'record',
        'token',
        'unproven_until_s',
    )

    def __init__(self, record: TargetRecord) -> None:
        self.record = record
        self.token = record.token
        self.presence = Presence.LISTED
        self.absent_since_s: float = 0
        self.cold_until_s: float = 0
        self.unproven_until_s: float = 0

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.record.name

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target counts as cold and takes few requests.

        It does while it warms up, for a time after its zone is back in
        service, and while its process may have started again.
        """
        return now_s < self.cold_until_s or now_s < self.unproven_until_s


class TargetChange(enum.Enum):
    """Kind of a change to a target, as reported in the log."""

    ADDED = 'added'
    RESTARTED = 'restarted'
    DRAINING = 'draining'
    UPDATED = 'updated'
    LAPSED = 'lapsed'
    GONE = 'gone'


#: Added to the warm-up time that a target announces, since targets round it,
#: in seconds.
_WARMUP_MARGIN_S: Final = 0.1


ChangeListener = Callable[
    [KnownTarget, TargetChange, TargetRecord, float], None
]


class TargetDirectory:
    """Known targets, and the zones that are out of service.

    Parameters
    ----------
    timing : DirectoryTiming
        Timeouts.

    Attributes
    ----------
    timing : DirectoryTiming
        Timeouts; may be replaced at any time.
    on_change : callable or None
        Called after each change with the target, the kind of change, its
        earlier record and the current time in seconds.
    """

    def __init__(self, timing: DirectoryTiming | None = None) -> None:
        self.timing = timing or DirectoryTiming()
        self.on_change: ChangeListener | None = None
        self._by_name: dict[str, KnownTarget] = {}
        self._by_token: dict[int, list[KnownTarget]] = {}
        self._by_service: dict[str, tuple[KnownTarget, ...]] = {}
        self._zones_out: dict[str, float] = {}
        self._cold_zones_until_s: dict[str, float] = {}

    @property
    def zones_out(self) -> frozenset[str]:
        """Zones that operators have taken out of service."""
        return frozenset(self._zones_out)

    def targets(self) -> Iterator[KnownTarget]:
        """Yield all known targets, including those that are gone."""
        yield from self._by_name.values()

    def get(self, name: str) -> KnownTarget | None:
        """Return the target with this name, None if it is unknown."""
        return self._by_name.get(name)

    def usable_targets(self, service: str) -> tuple[KnownTarget, ...]:
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
            Services that the flow may belong to. If targets of different
            services have the same token, the service decides.

        Returns
        -------
        KnownTarget or None
            None if no target of these services has the token.
        """
        for target in self._by_token.get(token, ()):
            if target.record.service in services:
                return target
        return None

    def find(self, token: int, started_unix_ms: int) -> KnownTarget | None:
        """Return the target with this token and start, None if unknown."""
        for target in self._by_token.get(token, ()):
            if target.record.started_unix_ms == started_unix_ms:
                return target
        return None

    def zone_out_for_s(self, zone: str, now_s: float) -> float:
        """Return for how long a zone has been out of service, in seconds.

        Parameters
        ----------
        zone : str
            Availability zone.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            0 if the zone is in service.
        """
        out_since_s = self._zones_out.get(zone)
        return 0 if out_since_s is None else now_s - out_since_s

    def announce(self, record: TargetRecord, now_s: float) -> TargetChange:
        """Add a target or update it from its announcement.

        Parameters
        ----------
        record : TargetRecord
            Announcement of the target.
        now_s : float
            Current time in seconds.

        Returns
        -------
        TargetChange
            How the announcement differs from the previous one.
        """
        known = self._by_name.get(record.name)
        self._by_service.clear()
        if known is None:
            known = KnownTarget(record)
            self._by_name[record.name] = known
            self._by_token.setdefault(known.token, []).append(known)
            self._set_cold(known, now_s)
            return self._report(known, TargetChange.ADDED, record, now_s)
        earlier = known.record
        cold_until_s = known.cold_until_s
        known.record = record
        known.presence = Presence.LISTED
        self._set_cold(known, now_s)
        change = TargetChange.UPDATED
        if record.started_unix_ms > earlier.started_unix_ms:
            change = TargetChange.RESTARTED
            # The entry is that of the new process.
            known.unproven_until_s = 0
        elif record.started_unix_ms < earlier.started_unix_ms:
            change = TargetChange.RESTARTED
            # Written by the earlier process and executed late, or the clock
            # of the host was set back.
            known.cold_until_s = max(known.cold_until_s, cold_until_s)
        elif record.is_draining and not earlier.is_draining:
            change = TargetChange.DRAINING
        return self._report(known, change, earlier, now_s)

    def withdraw(
        self, name: str, now_s: float, *, may_return: bool
    ) -> TargetChange | None:
        """Mark a target whose entry was removed from the store.

        Parameters
        ----------
        name : str
            Name of the target.
        now_s : float
            Current time in seconds.
        may_return : bool
            Whether the entry may have expired only because the store was
            unavailable. The target then lapses, unless it is draining.

        Returns
        -------
        TargetChange or None
            `TargetChange.LAPSED` or `TargetChange.GONE`; None for an unknown
            target.
        """
        known = self._by_name.get(name)
        if known is None:
            return None
        self._by_service.clear()
        known.absent_since_s = now_s
        if may_return and not known.record.is_draining:
            known.presence = Presence.LAPSED
            return self._report(known, TargetChange.LAPSED, known.record, now_s)
        known.presence = Presence.GONE
        return self._report(known, TargetChange.GONE, known.record, now_s)

    def take_zone_out(self, zone: str, now_s: float) -> None:
        """Exclude the targets of a zone from new flows."""
        self._zones_out.setdefault(zone, now_s)
        self._by_service.clear()

    def return_zone(self, zone: str, now_s: float) -> None:
        """Put a zone back in service; its targets count as cold at first."""
        if self._zones_out.pop(zone, None) is None:
            return
        self._by_service.clear()
        self._cold_zones_until_s[zone] = (
            now_s + self.timing.returned_zone_cold_s
        )
        for target in self._by_name.values():
            if target.record.zone == zone:
                self._set_cold(target, now_s)

    def expire(self, now_s: float) -> list[KnownTarget]:
        """Apply the timeouts of targets without an entry in the store.

        A lapsed target is gone after `DirectoryTiming.lapsed_timeout_s`; a
        target that is gone is deleted after `DirectoryTiming.flow_life_s`.
        Both times count from the removal of the entry.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of KnownTarget
            Lapsed targets that are gone from now on.
        """
        expired = []
        for name, target in tuple(self._by_name.items()):
            absent_s = now_s - target.absent_since_s
            if target.presence is Presence.LAPSED:
                if absent_s > self.timing.lapsed_timeout_s:
                    target.presence = Presence.GONE
                    self._by_service.clear()
                    expired.append(target)
                    self._report(
                        target, TargetChange.GONE, target.record, now_s
                    )
            elif target.presence is Presence.GONE:
                if absent_s > self.timing.flow_life_s:
                    self._delete(name, target)
        return expired

    def _report(
        self,
        target: KnownTarget,
        change: TargetChange,
        earlier: TargetRecord,
        now_s: float,
    ) -> TargetChange:
        if self.on_change is not None:
            self.on_change(target, change, earlier, now_s)
        return change

    def _delete(self, name: str, target: KnownTarget) -> None:
        del self._by_name[name]
        same_token = self._by_token[target.token]
        same_token.remove(target)
        if not same_token:
            del self._by_token[target.token]

    def _set_cold(self, target: KnownTarget, now_s: float) -> None:
        remaining_s = target.record.warmup_left_s
        target.cold_until_s = (
            now_s + remaining_s + _WARMUP_MARGIN_S if remaining_s else 0
        )
        zone_cold_until_s = self._cold_zones_until_s.get(target.record.zone, 0)
        target.cold_until_s = max(target.cold_until_s, zone_cold_until_s)

    def _find_usable(self, service: str) -> tuple[KnownTarget, ...]:
        return tuple(
            target
            for target in self._by_name.values()
            if target.record.service == service
            and self._is_usable(target)
            and self._owns_token(target)
        )

    def _is_usable(self, target: KnownTarget) -> bool:
        if target.presence is Presence.GONE or target.record.is_draining:
            return False
        return target.record.zone not in self._zones_out

    def _owns_token(self, target: KnownTarget) -> bool:
        """Return whether the token names this target within its service.

        If targets of one service have the same token, the packets of their
        flows can't be told apart, so only the one with the lowest id is used.
        """
        same_token = [
            other
            for other in self._by_token[target.token]
            if other.record.service == target.record.service
        ]
        return min(same_token, key=_target_id) is target


def _target_id(target: KnownTarget) -> int:
    return target.record.target_id
