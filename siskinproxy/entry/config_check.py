"""Validation and comparison of operators' configurations.

Operators' tools use it to check a configuration before they write it to the
store, and to show what it would change.
"""

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

#: Parts of a configuration that are identified by their name.
_Named = RouteRecord | ServiceRecord

#: Size of the port at the end of `RouteRecord.destination`.
_PORT_BYTES: Final = 2


class ConfigurationFault(msgspec.Struct, frozen=True):
    """A reason why a configuration would not work as written.

    Parameters
    ----------
    subject : str
        Kind and name of the faulty part, such as ``route desk``, or
        ``configuration``.
    reason : str
        What is wrong with it.
    """

    subject: str
    reason: str


class ConfigurationChange(msgspec.Struct, frozen=True):
    """One difference between two configurations.

    Parameters
    ----------
    change : str
        ``added``, ``removed`` or ``changed``.
    subject : str
        Kind and name of the part that differs, such as ``route desk``, or
        ``configuration``.
    field : str
        Field that differs; empty unless ``changed``.
    old, new : str
        Values of the field as text; empty unless ``changed``.
    """

    change: str
    subject: str
    field: str = ''
    old: str = ''
    new: str = ''


def find_faults(
    cfg: OperatorConfiguration, in_force: OperatorConfiguration | None
) -> tuple[ConfigurationFault, ...]:
    """Return the faults of a configuration.

    Parameters
    ----------
    cfg : OperatorConfiguration
        Configuration to check.
    in_force : OperatorConfiguration or None
        Configuration that it would replace; None if there is none.

    Returns
    -------
    tuple of ConfigurationFault
        Faults; empty if instances would apply the configuration as written.
    """
    checks = (
        _version_faults(cfg, in_force),
        _field_faults(cfg),
        _duplicate_faults('route', (each.name for each in cfg.routes)),
        _duplicate_faults('service', (each.name for each in cfg.services)),
        _duplicate_faults(
            'address', (_format_destination(each) for each in cfg.routes)
        ),
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
        Configurations before and after a change.

    Returns
    -------
    tuple of ConfigurationChange
        Differences of services, then of routes, both sorted by name, then of
        the idle timeout.
    """
    changes = [
        *_compare_by_name('service', old.services, new.services),
        *_compare_by_name('route', old.routes, new.routes),
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
        reason = (
            f'version={cfg.version} is not above {earlier}, '
            'the version in force'
        )
        yield ConfigurationFault('configuration', reason)


def _field_faults(
    cfg: OperatorConfiguration,
) -> Iterator[ConfigurationFault]:
    for fault in cfg.faults:
        yield ConfigurationFault(
            fault.subject,
            f'field {fault.field!r} with value {fault.value}: {fault.reason}',
        )


def _duplicate_faults(
    kind: str, names: Iterable[str]
) -> Iterator[ConfigurationFault]:
    for name, count in Counter(names).items():
        if count > 1:
            reason = (
                f'stands {count} times in the configuration; '
                'instances use only the last one'
            )
            yield ConfigurationFault(f'{kind} {name}', reason)


def _route_faults(
    cfg: OperatorConfiguration,
) -> Iterator[ConfigurationFault]:
    services = {each.name for each in cfg.services}
    for route in cfg.routes:
        subject = f'route {route.name}'
        named = [share.service for share in route.shares]
        for unknown in sorted(set(named) - services):
            reason = f'refers to unknown service {unknown!r}'
            yield ConfigurationFault(subject, reason)
        weights = [share.weight for share in route.shares]
        if min(weights) < 0 or not sum(weights):
            yield ConfigurationFault(
                subject,
                'weights are not above 0 in sum, or one of them is negative: '
                f'{weights}',
            )
        if route.deadline_s <= 0:
            yield ConfigurationFault(
                subject, f'deadline_s={route.deadline_s} is not above 0'
            )


def _service_faults(
    cfg: OperatorConfiguration,
) -> Iterator[ConfigurationFault]:
    for service in cfg.services:
        subject = f'service {service.name}'
        if service.warmup_s > 0 and service.warmup_per_s <= 0:
            reason = (
                'cold targets would get no request: '
                'warmup_s is above 0, but no rate is given in warmup_per_s'
            )
            yield ConfigurationFault(subject, reason)
        if service.max_connections < 0:
            yield ConfigurationFault(
                subject,
                f'max_connections={service.max_connections} is negative',
            )


def _compare_by_name(
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
                'changed',
                subject,
                field,
                _format_value(before),
                _format_value(after),
            )


def _format_destination(route: RouteRecord) -> str:
    host = socket.inet_ntoa(route.destination[:-_PORT_BYTES])
    return f'{host}:{int.from_bytes(route.destination[-_PORT_BYTES:])}'


def _format_value(found: object) -> str:
    if isinstance(found, bytes):
        host = socket.inet_ntoa(found[:-_PORT_BYTES])
        return f'{host}:{int.from_bytes(found[-_PORT_BYTES:])}'
    return msgspec.json.encode(found).decode()
