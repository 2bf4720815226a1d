"""Retired targets and listeners: whose flows stay allowed, and how long."""

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


class _Endpoint(NamedTuple):
    """Target port; the zone decides when its flows are abandoned."""

    address: str
    zone: str
    port: int


class _Pair(NamedTuple):
    """Listener together with one of the targets of its service."""

    service: str
    target: _Endpoint
    address: str
    port: int


class _Change(NamedTuple):
    """Accepted change as far as retired entries depend on it."""

    #: Time by name, for zones that are out of service before or afterwards.
    out_unix_s: Mapping[str, int]
    endpoints: frozenset[_Endpoint]
    pairs: frozenset[_Pair]
    now_unix_s: int
    delay_s: int


def retire(
    previous: Configuration | None,
    new: Configuration,
    generation: int,
    now_unix_s: int,
    address_reuse_delay_s: int = ADDRESS_REUSE_DELAY_S,
) -> Configuration:
    """Record the targets and listeners that a change removes.

    A target that leaves its service, or gets another address, is recorded
    with all its listeners; a target that stays is recorded with the listeners
    that it lost. The first change after the delay, or the one that takes the
    zone out of service, releases an entry, which revokes its flows. Released
    entries are kept for `REUSE_MARGIN_S`. What is declared again leaves its
    entry. Zones get the time at which they were taken out of service.

    Parameters
    ----------
    previous : Configuration or None
        Configuration that is in effect; None for the first one.
    new : Configuration
        Configuration that replaces it; its own `retired` is ignored.
    generation : int
        Generation of `new`.
    now_unix_s : int
        Time of the change in seconds since the Unix epoch.
    address_reuse_delay_s : int
        Time for which flows stay allowed, in seconds.

    Returns
    -------
    Configuration
        `new` with `retired` filled.
    """
    former = previous.zones if previous else ()
    zones = _stamped(former, new.zones, now_unix_s)
    change = _Change(
        # Flows of a zone that this change returns to service were abandoned.
        {
            zone.name: zone.out_unix_s or now_unix_s
            for zone in (*zones, *former)
            if not zone.in_service
        },
        frozenset(_endpoints(new)),
        frozenset(_pairs(new)),
        now_unix_s,
        address_reuse_delay_s,
    )
    entries: list[RetiredTarget] = []
    if previous is not None:
        removed = _removed(previous, generation, now_unix_s)
        entries.extend((*previous.retired, *removed))
    advanced = (_advance(entry, change) for entry in entries)
    retired = tuple(entry for entry in advanced if entry is not None)
    return replace(new, zones=zones, retired=retired)


def _stamped(
    previous: tuple[Zone, ...],
    zones: tuple[Zone, ...],
    now_unix_s: int,
) -> tuple[Zone, ...]:
    known = {zone.name: zone.out_unix_s for zone in previous}
    return tuple(
        Zone(zone.name)
        if zone.in_service
        else Zone(zone.name, False, known.get(zone.name, 0) or now_unix_s)
        for zone in zones
    )


def _removed(
    previous: Configuration,
    generation: int,
    now_unix_s: int,
) -> Iterator[RetiredTarget]:
    """Yield an entry for each target; declared pairs are dropped later."""
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


def _advance(entry: RetiredTarget, change: _Change) -> RetiredTarget | None:
    """Return the entry after the change, None if it is not needed."""
    target = entry.target
    ports = tuple(
        port
        for port in entry.ports
        if _Endpoint(target.address, target.zone, port) not in change.endpoints
    )
    listeners = tuple(
        listener
        for listener in entry.listeners
        if _pair(entry.service, target, listener) not in change.pairs
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
    if entry.released_unix_s:
        return entry.released_unix_s
    if entry.target.zone in change.out_unix_s:
        return change.out_unix_s[entry.target.zone]
    elapsed_s = change.now_unix_s - entry.retired_unix_s
    return change.now_unix_s if elapsed_s >= change.delay_s else 0


def _endpoints(cfg: Configuration) -> Iterator[_Endpoint]:
    for service in cfg.services:
        for target in service.targets:
            yield from (
                _Endpoint(target.address, target.zone, listener.target_port)
                for listener in service.listeners
            )


def _pairs(cfg: Configuration) -> Iterator[_Pair]:
    for service in cfg.services:
        for target in service.targets:
            yield from (
                _pair(service.name, target, listener)
                for listener in service.listeners
            )


def _pair(service: str, target: Target, listener: Listener) -> _Pair:
    return _Pair(
        service,
        _Endpoint(target.address, target.zone, listener.target_port),
        listener.address,
        listener.port,
    )
