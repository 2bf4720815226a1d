"""Checks and differences of operators' configurations."""

import socket
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Final

import msgspec

from siskinproxy.entry.records import (
    OperatorConfiguration,
    RouteRecord,
    ServiceRecord,
)

__all__ = (
    'ConfigurationChange',
    'ConfigurationFault',
    'compare_configurations',
    'find_faults',
)

#: Routes and services are compared by name.
_Named = RouteRecord | ServiceRecord

_PORT_BYTES: Final = 2


class ConfigurationFault(msgspec.Struct, frozen=True):
    """Something that keeps a configuration from doing what it states.

    Parameters
    ----------
    subject : str
        Route, service or ``configuration``.
    reason : str
        What is wrong.
    """

    subject: str
    reason: str


class ConfigurationChange(msgspec.Struct, frozen=True):
    """Difference between two configurations.

    Parameters
    ----------
    change : str
        ``added``, ``removed`` or ``changed``.
    subject : str
        Route or service.
    field : str
        What differs; empty unless changed.
    old, new : str
        Values; empty unless changed.
    """

    change: str
    subject: str
    field: str = ''
    old: str = ''
    new: str = ''


def find_faults(
    cfg: OperatorConfiguration, in_force: OperatorConfiguration | None
) -> tuple[ConfigurationFault, ...]:
    """Return what is wrong with a configuration.

    Parameters
    ----------
    cfg : OperatorConfiguration
        Configuration to check.
    in_force : OperatorConfiguration or None
        The one that it would replace.

    Returns
    -------
    tuple of ConfigurationFault
        Empty if instances would put it in force as it stands.
    """
    checks = (
        _version_faults(cfg, in_force),
        _repeated('route', (each.name for each in cfg.routes)),
        _repeated('service', (each.name for each in cfg.services)),
        _repeated('address', (_destination(each) for each in cfg.routes)),
        _route_faults(cfg),
        _service_faults(cfg),
    )
    return tuple(chain.from_iterable(checks))


def compare_configurations(
    old: OperatorConfiguration, new: OperatorConfiguration
) -> tuple[ConfigurationChange, ...]:
    """Return the differences between two configurations.

    Parameters
    ----------
    old, new : OperatorConfiguration
        Configurations.

    Returns
    -------
    tuple of ConfigurationChange
        Services first, then routes, sorted by name.
    """
    changes = [
        *_compare('service', old.services, new.services),
        *_compare('route', old.routes, new.routes),
    ]
    if old.idle_timeout_s != new.idle_timeout_s:
        changes.append(
            ConfigurationChange(
                'changed',
                'configuration',
                'idle_timeout_s',
                str(old.idle_timeout_s),
                str(new.idle_timeout_s),
            )
        )
    return tuple(changes)


def _version_faults(
    cfg: OperatorConfiguration, in_force: OperatorConfiguration | None
) -> Iterator[ConfigurationFault]:
    earlier = in_force.version if in_force else 0
    if cfg.version <= earlier:
        reason = f'version={cfg.version} is not above {earlier} in force'
        yield ConfigurationFault('configuration', reason)


def _repeated(kind: str, names: Iterable[str]) -> Iterator[ConfigurationFault]:
    for name, count in Counter(names).items():
        if count > 1:
            reason = f'stands {count} times; instances use the last one'
            yield ConfigurationFault(f'{kind} {name}', reason)


def _route_faults(
    cfg: OperatorConfiguration,
) -> Iterator[ConfigurationFault]:
    services = {each.name for each in cfg.services}
    for route in cfg.routes:
        subject = f'route {route.name}'
        named = [share.service for share in route.shares]
        for unknown in sorted(set(named) - services):
            reason = f'names unknown service {unknown!r}'
            yield ConfigurationFault(subject, reason)
        weights = [share.weight for share in route.shares]
        if min(weights) < 0 or not sum(weights):
            yield ConfigurationFault(subject, 'weights are not above 0')
        if route.deadline_s <= 0:
            yield ConfigurationFault(subject, 'deadline is not above 0')


def _service_faults(
    cfg: OperatorConfiguration,
) -> Iterator[ConfigurationFault]:
    for service in cfg.services:
        subject = f'service {service.name}'
        if service.warmup_s > 0 and service.warmup_per_s <= 0:
            reason = 'cold targets would get no request: no rate is given'
            yield ConfigurationFault(subject, reason)
        if service.max_connections < 0:
            yield ConfigurationFault(subject, 'negative number of connections')


def _compare(
    kind: str, old: Iterable[_Named], new: Iterable[_Named]
) -> Iterator[ConfigurationChange]:
    before = {each.name: each for each in old}
    after = {each.name: each for each in new}
    for name in sorted(before.keys() | after.keys()):
        subject = f'{kind} {name}'
        if name not in before:
            yield ConfigurationChange('added', subject)
        elif name not in after:
            yield ConfigurationChange('removed', subject)
        else:
            yield from _compare_fields(subject, before[name], after[name])


def _compare_fields(
    subject: str, old: _Named, new: _Named
) -> Iterator[ConfigurationChange]:
    for field in old.__struct_fields__:
        before, after = (getattr(each, field) for each in (old, new))
        if before != after:
            yield ConfigurationChange(
                'changed', subject, field, _shown(before), _shown(after)
            )


def _destination(route: RouteRecord) -> str:
    host = socket.inet_ntoa(route.destination[:-_PORT_BYTES])
    return f'{host}:{int.from_bytes(route.destination[-_PORT_BYTES:])}'


def _shown(found: object) -> str:
    if isinstance(found, bytes):
        host = socket.inet_ntoa(found[:-_PORT_BYTES])
        return f'{host}:{int.from_bytes(found[-_PORT_BYTES:])}'
    return msgspec.json.encode(found).decode()
