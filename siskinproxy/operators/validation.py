"""Validation of configurations.

A configuration is accepted only if it keeps all rules: valid and unique names,
numbers within their bounds, services with listeners and targets, unambiguous
target ports, and no address that is still reserved for another service.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from siskinproxy.addresses import is_host_address
from siskinproxy.errors import (
    ConfigurationError,
    DuplicateListenerError,
    DuplicateNameError,
    EmptyServiceError,
    InvalidAddressError,
    InvalidNameError,
    SharedTargetPortError,
    UnknownZoneError,
    ValueRangeError,
    WrongRegionError,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
)
from siskinproxy.operators.reuse import (
    ADDRESS_REUSE_DELAY_S,
    check_address_reuse,
)

__all__ = (
    'ADDRESS_REUSE_DELAY_S',
    'LISTENER_BOUNDS',
    'TARGET_BOUNDS',
    'raise_if_invalid',
    'validate',
)

#: Lowest and highest allowed value by field name.
FieldBounds = Mapping[str, tuple[float, float]]

_PORT_BOUNDS: Final = (1, 65535)

#: Lowest and highest value of the numeric fields of a listener; `deadline_ms`
#: is in milliseconds.
LISTENER_BOUNDS: Final[FieldBounds] = MappingProxyType(
    {
        'port': _PORT_BOUNDS,
        'target_port': _PORT_BOUNDS,
        'priority': (0, 7),
        'deadline_ms': (1, 600_000),
    }
)

#: Lowest and highest value of the numeric fields of a target; `warmup_s` is in
#: seconds.
TARGET_BOUNDS: Final[FieldBounds] = MappingProxyType(
    {
        'slots': (1, 10_000),
        'connections': (1, 1_000_000),
        'warmup_s': (0, 3600),
    }
)

# Up to 63 characters. The region is part of store keys, and all names appear in
# log lines and metric labels, so separators and white space are not allowed.
_NAME_PATTERN: Final = re.compile(r'\w[\w.-]{0,62}')


class _Endpoint(NamedTuple):
    address: str
    port: int


def validate(
    cfg: Configuration,
    previous: Configuration | None = None,
    now_unix_s: int = 0,
    address_reuse_delay_s: int = ADDRESS_REUSE_DELAY_S,
) -> tuple[ConfigurationError, ...]:
    """Check a configuration against all rules.

    Parameters
    ----------
    cfg : Configuration
        Configuration to check.
    previous : Configuration, optional
        Configuration that is in effect. Without it, a change of the region
        and the reuse of addresses are not checked.
    now_unix_s : int
        Current time in seconds since the Unix epoch. With the default, all
        targets and zones count as just retired, released or taken out of
        service, so that addresses stay reserved for the full time.
    address_reuse_delay_s : int
        Time for which flows to a retired target stay allowed, in seconds. The
        address stays reserved for its service for `REUSE_MARGIN_S` longer.

    Returns
    -------
    tuple of ConfigurationError
        One error for each broken rule and place; empty if the configuration
        is valid.
    """
    found = [
        *_check_names(cfg),
        *_check_listeners(cfg),
        *_check_targets(cfg),
        *_check_services(cfg),
        *_check_endpoints(cfg),
    ]
    if previous is not None:
        if previous.region != cfg.region:
            found.append(WrongRegionError(previous.region, cfg.region))
        found.extend(
            check_address_reuse(
                cfg, previous, now_unix_s, address_reuse_delay_s
            ),
        )
    return tuple(found)


def raise_if_invalid(
    cfg: Configuration,
    previous: Configuration | None = None,
    now_unix_s: int = 0,
    address_reuse_delay_s: int = ADDRESS_REUSE_DELAY_S,
) -> None:
    """Validate a configuration and raise all errors in one group.

    Parameters
    ----------
    cfg : Configuration
        Configuration to check.
    previous : Configuration, optional
        Configuration that is in effect.
    now_unix_s : int
        Current time in seconds since the Unix epoch.
    address_reuse_delay_s : int
        Time for which flows to a retired target stay allowed, in seconds.

    Raises
    ------
    ExceptionGroup
        Holds one `ConfigurationError` for each broken rule and place.
    """
    found = validate(cfg, previous, now_unix_s, address_reuse_delay_s)
    if found:
        raise ExceptionGroup('configuration is invalid', found)


def _check_names(cfg: Configuration) -> Iterator[ConfigurationError]:
    if not _NAME_PATTERN.fullmatch(cfg.region):
        yield InvalidNameError('region', cfg.region)
    yield from _check_names_of_kind('zone', [zone.name for zone in cfg.zones])
    yield from _check_names_of_kind(
        'service', [each.name for each in cfg.services]
    )
    yield from _check_names_of_kind(
        'target',
        [target.name for _, target in _targets(cfg)],
    )
    for _, listener in _listeners(cfg):
        if listener.name and not _NAME_PATTERN.fullmatch(listener.name):
            yield InvalidNameError('listener', listener.name)


def _check_names_of_kind(
    kind: str,
    names: Iterable[str],
) -> Iterator[ConfigurationError]:
    """Check the names of things of one kind, such as all targets."""
    for name, count in Counter(names).items():
        if not _NAME_PATTERN.fullmatch(name):
            yield InvalidNameError(kind, name)
        if count > 1:
            yield DuplicateNameError(kind, name)


def _check_listeners(cfg: Configuration) -> Iterator[ConfigurationError]:
    addresses = Counter(
        (listener.address, listener.port) for _, listener in _listeners(cfg)
    )
    for (address, port), count in addresses.items():
        if count > 1:
            yield DuplicateListenerError(address, port)
    for _, listener in _listeners(cfg):
        owner = f'listener {listener.address}:{listener.port}'
        yield from _check_fields(owner, listener, LISTENER_BOUNDS)


def _check_targets(cfg: Configuration) -> Iterator[ConfigurationError]:
    zones = {zone.name for zone in cfg.zones}
    for _, target in _targets(cfg):
        owner = f'target {target.name}'
        yield from _check_fields(owner, target, TARGET_BOUNDS)
        if target.zone not in zones:
            yield UnknownZoneError(target.zone, target.name)


def _check_fields(
    owner: str,
    declared: Listener | Target,
    bounds: FieldBounds,
) -> Iterator[ConfigurationError]:
    if not is_host_address(declared.address):
        yield InvalidAddressError(owner, declared.address)
    for field, (lowest, highest) in bounds.items():
        found = getattr(declared, field)
        # Not written as two comparisons with `or`: NaN would pass those, since
        # each comparison with NaN is False.
        if not lowest <= found <= highest:
            yield ValueRangeError(owner, field, found, (lowest, highest))


def _check_services(cfg: Configuration) -> Iterator[ConfigurationError]:
    for service in cfg.services:
        if not service.listeners:
            yield EmptyServiceError(service.name, 'listeners')
        if not service.targets:
            yield EmptyServiceError(service.name, 'targets')


def _check_endpoints(cfg: Configuration) -> Iterator[ConfigurationError]:
    """Check that no target address and port is used twice."""
    # The source of a target's response is translated back to the listener by its
    # address and port alone, so each pair must identify one listener and target.
    owners: dict[_Endpoint, list[str]] = defaultdict(list)
    for service in cfg.services:
        for listener in service.listeners:
            shown = f'{service.name}/{listener.address}:{listener.port}'
            for target in service.targets:
                endpoint = _Endpoint(target.address, listener.target_port)
                owners[endpoint].append(f'{shown}/{target.name}')
    for endpoint, uses in owners.items():
        if len(uses) > 1:
            yield SharedTargetPortError(*endpoint, owners=tuple(uses))


def _targets(cfg: Configuration) -> Iterator[tuple[Service, Target]]:
    for service in cfg.services:
        for target in service.targets:
            yield service, target


def _listeners(cfg: Configuration) -> Iterator[tuple[Service, Listener]]:
    for service in cfg.services:
        for listener in service.listeners:
            yield service, listener
