"""Comparison of configurations, and commands that change a zone or target.

The differences are shown to operators before a submission, and their
descriptions are stored in the audit trail.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import msgspec

from siskinproxy.errors import UnknownTargetError, UnknownZoneError
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

__all__ = (
    'Difference',
    'ListenerAdded',
    'ListenerChanged',
    'ListenerRemoved',
    'RegionChanged',
    'ServiceAdded',
    'ServiceRemoved',
    'TargetAdded',
    'TargetChanged',
    'TargetRemoved',
    'ZoneAdded',
    'ZoneChanged',
    'ZoneRemoved',
    'describe',
    'find_differences',
    'with_target_draining',
    'with_zone_in_service',
)


@dataclass(frozen=True, slots=True)
class RegionChanged:
    """The configurations belong to different regions."""

    before: str
    after: str


@dataclass(frozen=True, slots=True)
class ZoneAdded:
    """A zone is new."""

    zone: Zone


@dataclass(frozen=True, slots=True)
class ZoneRemoved:
    """A zone is no longer declared."""

    zone: Zone


@dataclass(frozen=True, slots=True)
class ZoneChanged:
    """A zone is taken out of service or returned to service."""

    before: Zone
    after: Zone


@dataclass(frozen=True, slots=True)
class ServiceAdded:
    """A service is new, with all its listeners and targets."""

    service: Service


@dataclass(frozen=True, slots=True)
class ServiceRemoved:
    """A service is removed, with all its listeners and targets."""

    service: Service


@dataclass(frozen=True, slots=True)
class ListenerAdded:
    """A service gets a listener."""

    service: str
    listener: Listener


@dataclass(frozen=True, slots=True)
class ListenerRemoved:
    """A service loses a listener."""

    service: str
    listener: Listener


@dataclass(frozen=True, slots=True)
class ListenerChanged:
    """A listener keeps its address and port, but other fields differ."""

    service: str
    before: Listener
    after: Listener


@dataclass(frozen=True, slots=True)
class TargetAdded:
    """A service gets a target."""

    service: str
    target: Target


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A service loses a target."""

    service: str
    target: Target


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """A target keeps its name, but other fields differ."""

    service: str
    before: Target
    after: Target


Difference = (
    RegionChanged
    | ZoneAdded
    | ZoneRemoved
    | ZoneChanged
    | ServiceAdded
    | ServiceRemoved
    | ListenerAdded
    | ListenerRemoved
    | ListenerChanged
    | TargetAdded
    | TargetRemoved
    | TargetChanged
)


def find_differences(
    previous: Configuration,
    new: Configuration,
) -> tuple[Difference, ...]:
    """Compare two configurations; the order of declarations does not matter.

    Parameters
    ----------
    previous : Configuration
        Configuration before the change.
    new : Configuration
        Configuration after the change.

    Returns
    -------
    tuple of Difference
        Differences of the region, the zones and the services, in this order.
        Listeners and targets of an added or removed service have no entries
        of their own. Of a zone, only `in_service` is compared. Retired
        targets are not compared.
    """
    found: list[Difference] = []
    if previous.region != new.region:
        found.append(RegionChanged(previous.region, new.region))
    found.extend(_compare_zones(previous, new))
    found.extend(_compare_services(previous, new))
    return tuple(found)


@singledispatch
def describe(difference: Any) -> str:
    """Describe a difference in one line, as shown in the audit trail.

    Parameters
    ----------
    difference : Difference
        Element of the result of `find_differences`.

    Returns
    -------
    str
        Line without line break.

    Raises
    ------
    NotImplementedError
        If the argument is no `Difference`; the message is the name of its
        type.
    """
    raise NotImplementedError(type(difference).__name__)


@describe.register
def _(difference: RegionChanged) -> str:
    return f'region changed: {difference.before} to {difference.after}'


@describe.register
def _(difference: ZoneAdded) -> str:
    state = _zone_state(difference.zone)
    return f'zone {difference.zone.name} added, {state}'


@describe.register
def _(difference: ZoneRemoved) -> str:
    return f'zone {difference.zone.name} removed'


@describe.register
def _(difference: ZoneChanged) -> str:
    state = _zone_state(difference.after)
    return f'zone {difference.after.name} changed: now {state}'


@describe.register
def _(difference: ServiceAdded) -> str:
    return f'service {_service_text(difference.service)} added'


@describe.register
def _(difference: ServiceRemoved) -> str:
    return f'service {_service_text(difference.service)} removed'


@describe.register
def _(difference: ListenerAdded) -> str:
    listener = _listener_text(difference.listener)
    return f'listener {listener} of service {difference.service} added'


@describe.register
def _(difference: ListenerRemoved) -> str:
    listener = _listener_text(difference.listener)
    return f'listener {listener} of service {difference.service} removed'


@describe.register
def _(difference: ListenerChanged) -> str:
    listener = _listener_text(difference.after)
    changes = _changed_fields(difference.before, difference.after)
    return (
        f'listener {listener} of service {difference.service} '
        f'changed: {changes}'
    )


@describe.register
def _(difference: TargetAdded) -> str:
    target = difference.target
    return (
        f'target {target.name} of service {difference.service} added: '
        f'address {target.address}, zone {target.zone}'
    )


@describe.register
def _(difference: TargetRemoved) -> str:
    target = difference.target
    return f'target {target.name} of service {difference.service} removed'


@describe.register
def _(difference: TargetChanged) -> str:
    changes = _changed_fields(difference.before, difference.after)
    return (
        f'target {difference.after.name} of service {difference.service} '
        f'changed: {changes}'
    )


def with_zone_in_service(
    cfg: Configuration,
    zone: str,
    flag: bool,
) -> Configuration:
    """Take a zone out of service or return it to service.

    Parameters
    ----------
    cfg : Configuration
        Configuration to change.
    zone : str
        Name of the zone.
    flag : bool
        True to return the zone to service.

    Returns
    -------
    Configuration
        Changed copy.

    Raises
    ------
    UnknownZoneError
        If the zone is not declared.
    """
    if all(each.name != zone for each in cfg.zones):
        raise UnknownZoneError(zone)
    zones = tuple(
        msgspec.structs.replace(each, in_service=flag)
        if each.name == zone
        else each
        for each in cfg.zones
    )
    return msgspec.structs.replace(cfg, zones=zones)


def with_target_draining(
    cfg: Configuration,
    target: str,
    flag: bool,
) -> Configuration:
    """Start or end the drain of a target.

    Parameters
    ----------
    cfg : Configuration
        Configuration to change.
    target : str
        Name of the target.
    flag : bool
        True to start the drain.

    Returns
    -------
    Configuration
        Changed copy.

    Raises
    ------
    UnknownTargetError
        If the target is not declared.
    """
    for index, service in enumerate(cfg.services):
        if any(each.name == target for each in service.targets):
            changed = _with_draining(service, target, flag)
            services = (
                *cfg.services[:index],
                changed,
                *cfg.services[index + 1 :],
            )
            return msgspec.structs.replace(cfg, services=services)
    raise UnknownTargetError(target)


def _with_draining(service: Service, target: str, flag: bool) -> Service:
    """Return a copy of the service with `draining` of one target replaced."""
    targets = tuple(
        msgspec.structs.replace(each, draining=flag)
        if each.name == target
        else each
        for each in service.targets
    )
    return msgspec.structs.replace(service, targets=targets)


def _compare_zones(
    previous: Configuration,
    new: Configuration,
) -> Iterator[Difference]:
    before = {zone.name: zone for zone in previous.zones}
    after = {zone.name: zone for zone in new.zones}
    for name, zone in before.items():
        if name not in after:
            yield ZoneRemoved(zone)
        elif zone.in_service != after[name].in_service:
            yield ZoneChanged(zone, after[name])
    for name, zone in after.items():
        if name not in before:
            yield ZoneAdded(zone)


def _compare_services(
    previous: Configuration,
    new: Configuration,
) -> Iterator[Difference]:
    before = {service.name: service for service in previous.services}
    after = {service.name: service for service in new.services}
    for name, service in before.items():
        if name in after:
            yield from _compare_listeners(name, service, after[name])
            yield from _compare_targets(name, service, after[name])
        else:
            yield ServiceRemoved(service)
    for name, service in after.items():
        if name not in before:
            yield ServiceAdded(service)


def _compare_listeners(
    name: str,
    previous: Service,
    new: Service,
) -> Iterator[Difference]:
    before = {(each.address, each.port): each for each in previous.listeners}
    after = {(each.address, each.port): each for each in new.listeners}
    for key, listener in before.items():
        if key not in after:
            yield ListenerRemoved(name, listener)
        elif listener != after[key]:
            yield ListenerChanged(name, listener, after[key])
    for key, listener in after.items():
        if key not in before:
            yield ListenerAdded(name, listener)


def _compare_targets(
    name: str,
    previous: Service,
    new: Service,
) -> Iterator[Difference]:
    before = {target.name: target for target in previous.targets}
    after = {target.name: target for target in new.targets}
    for key, target in before.items():
        if key not in after:
            yield TargetRemoved(name, target)
        elif target != after[key]:
            yield TargetChanged(name, target, after[key])
    for key, target in after.items():
        if key not in before:
            yield TargetAdded(name, target)


def _zone_state(zone: Zone) -> str:
    return 'in service' if zone.in_service else 'out of service'


def _service_text(service: Service) -> str:
    listeners = _count_text(service.listeners, 'listener')
    targets = _count_text(service.targets, 'target')
    return f'{service.name} with {listeners} and {targets}'


def _count_text(items: Sequence[Any], noun: str) -> str:
    plural = '' if len(items) == 1 else 's'
    return f'{len(items)} {noun}{plural}'


def _listener_text(listener: Listener) -> str:
    endpoint = f'{listener.address}:{listener.port}'
    return f'{listener.name} ({endpoint})' if listener.name else endpoint


def _changed_fields(before: msgspec.Struct, after: msgspec.Struct) -> str:
    """Return the old and new value of each field that differs."""
    values = (
        (field, getattr(before, field), getattr(after, field))
        for field in before.__struct_fields__
    )
    return ', '.join(
        f'{field} {_value_text(old)} to {_value_text(new)}'
        for field, old, new in values
        if old != new
    )


def _value_text(value: Any) -> str:
    """Return a value as text without quotes; ``none`` for an empty string."""
    if isinstance(value, bool):
        return str(value).lower()
    return str(value) or 'none'
