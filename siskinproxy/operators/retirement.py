"""Retired targets and listeners: removed ones whose flows may still exist.

A removed target or listener keeps its established flows for a while. Entries of
`Configuration.retired` tell the instances which flows stay allowed, and reserve
the addresses against use by another service; see `reuse`.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from msgspec.structs import replace

from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    RetiredTarget,
    Target,
    Zone,
)
from siskinproxy.operators.reuse import ADDRESS_REUSE_DELAY_S, REUSE_MARGIN_S

__all__ = ('retire',)


class _TargetEndpoint(NamedTuple):
    """Address and port of a target, with its zone.

    The zone is part of it because flows are revoked when the zone is taken out
    of service.
    """

    address: str
    zone: str
    port: int


class _ListenerTarget(NamedTuple):
    """Listener (`address`, `port`) with one target endpoint of its service."""

    service: str
    target: _TargetEndpoint
    address: str
    port: int


class _Change(NamedTuple):
    """Facts of an accepted change that retired entries depend on."""

    #: When zones were taken out of service, in seconds since the Unix epoch, by
    #: zone name. Holds zones that are out of service before or after the change.
    out_unix_s: Mapping[str, int]
    #: All that the new configuration declares, to be removed from the entries.
    endpoints: frozenset[_TargetEndpoint]
    listener_targets: frozenset[_ListenerTarget]
    #: Time of the change.
    now_unix_s: int
    #: Time for which flows stay allowed after the removal.
    delay_s: int


def retire(
    previous: Configuration | None,
    new: Configuration,
    generation: int,
    now_unix_s: int,
    address_reuse_delay_s: int = ADDRESS_REUSE_DELAY_S,
) -> Configuration:
    """Fill `Configuration.retired` with what a change removes.

    A target that is removed from its service, or gets another address or zone,
    is recorded with all listeners of the service. A target that stays is
    recorded with the listeners that the service no longer has. The first change
    after the delay, or the one that takes the zone out of service, releases an
    entry, which revokes its flows. If the zone is out of service already, the
    entry counts as released when the zone was taken out. Released entries are
    kept for `REUSE_MARGIN_S`. Ports and listeners that are declared again are
    removed from their entry. Zones get the time at which they were taken out of
    service.

    Parameters
    ----------
    previous : Configuration or None
        Configuration that is in effect; None for the first one.
    new : Configuration
        Configuration that replaces it. Its `retired` and the `out_unix_s` of
        its zones are ignored.
    generation : int
        Generation of `new`.
    now_unix_s : int
        Time of the change in seconds since the Unix epoch.
    address_reuse_delay_s : int
        Time for which flows stay allowed after the removal, in seconds.

    Returns
    -------
    Configuration
        `new` with `retired`, and `out_unix_s` of its zones, filled in.
    """
    earlier_zones = previous.zones if previous else ()
    zones = _with_out_times(earlier_zones, new.zones, now_unix_s)
    change = _Change(
        # The flows to a zone were revoked when it was taken out of service, also
        # if this change returns it to service.
        {
            zone.name: zone.out_unix_s or now_unix_s
            for zone in (*zones, *earlier_zones)
            if not zone.in_service
        },
        frozenset(_endpoints(new)),
        frozenset(_listener_targets(new)),
        now_unix_s,
        address_reuse_delay_s,
    )
    entries: list[RetiredTarget] = []
    if previous is not None:
        candidates = _removal_candidates(previous, generation, now_unix_s)
        entries.extend((*previous.retired, *candidates))
    updated = (_updated_entry(entry, change) for entry in entries)
    retired = tuple(entry for entry in updated if entry is not None)
    return replace(new, zones=zones, retired=retired)


def _with_out_times(
    previous: tuple[Zone, ...],
    zones: tuple[Zone, ...],
    now_unix_s: int,
) -> tuple[Zone, ...]:
    """Return the zones with the time at which they were taken out of service.

    A zone that already was out of service keeps its time.
    """
    earlier_out_unix_s = {zone.name: zone.out_unix_s for zone in previous}
    return tuple(
        Zone(zone.name)
        if zone.in_service
        else Zone(
            zone.name, False, earlier_out_unix_s.get(zone.name, 0) or now_unix_s
        )
        for zone in zones
    )


def _removal_candidates(
    previous: Configuration,
    generation: int,
    now_unix_s: int,
) -> Iterator[RetiredTarget]:
    """Yield an entry for each target, with all listeners of its service.

    `_updated_entry` removes what the new configuration still declares.
    """
    for service in previous.services:
        ports = tuple(each.target_port for each in service.listeners)
        for target in service.targets:
            yield RetiredTarget(
                service.name,
                target,
                ports,
                generation,
                now_unix_s,
                listeners=service.listeners,
            )


def _updated_entry(
    entry: RetiredTarget, change: _Change
) -> RetiredTarget | None:
    """Return the entry after the change, or None if it is not needed."""
    target = entry.target
    ports = tuple(
        port
        for port in entry.ports
        if _TargetEndpoint(target.address, target.zone, port)
        not in change.endpoints
    )
    listeners = tuple(
        listener
        for listener in entry.listeners
        if _listener_target(entry.service, target, listener)
        not in change.listener_targets
    )
    if not ports and not listeners:
        return None
    released_unix_s = _release_time(entry, change)
    elapsed_s = change.now_unix_s - released_unix_s
    if released_unix_s and elapsed_s >= REUSE_MARGIN_S:
        return None
    return replace(
        entry,
        ports=ports,
        listeners=listeners,
        released_unix_s=released_unix_s,
    )


def _release_time(entry: RetiredTarget, change: _Change) -> int:
    """Return when the flows were revoked (Unix time in s), 0 if they are not."""
    if entry.released_unix_s:
        return entry.released_unix_s
    if entry.target.zone in change.out_unix_s:
        return change.out_unix_s[entry.target.zone]
    elapsed_s = change.now_unix_s - entry.retired_unix_s
    return change.now_unix_s if elapsed_s >= change.delay_s else 0


def _endpoints(cfg: Configuration) -> Iterator[_TargetEndpoint]:
    for service in cfg.services:
        for target in service.targets:
            yield from (
                _TargetEndpoint(
                    target.address, target.zone, listener.target_port
                )
                for listener in service.listeners
            )


def _listener_targets(cfg: Configuration) -> Iterator[_ListenerTarget]:
    for service in cfg.services:
        for target in service.targets:
            yield from (
                _listener_target(service.name, target, listener)
                for listener in service.listeners
            )


def _listener_target(
    service: str, target: Target, listener: Listener
) -> _ListenerTarget:
    return _ListenerTarget(
        service,
        _TargetEndpoint(target.address, target.zone, listener.target_port),
        listener.address,
        listener.port,
    )
