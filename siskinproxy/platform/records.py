"""Entries that targets and operators write to the platform's store.

The structs whose names end in ``Entry`` have the shape of the JSON values.
`decode_item` checks them and returns the records that the entry process uses,
which are defined in `siskinproxy.entry.records`.
"""

import re
import socket
from typing import Final

import msgspec

from siskinproxy.entry.records import (
    Address,
    DecodedRecord,
    OperatorConfiguration,
    RequestKind,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
    TargetRecord,
    UnusableRecord,
    ZoneTakenOut,
)
from siskinproxy.entry.store import StoredItem

__all__ = (
    'CONFIGURATION_KEY',
    'TARGETS_PREFIX',
    'WATCHED_PREFIX',
    'ConfigurationEntry',
    'LimitsEntry',
    'RouteEntry',
    'ServiceEntry',
    'ShareEntry',
    'TargetEntry',
    'decode_item',
)

#: Prefix of the keys of operators, of targets and of the instances themselves:
#: empty for all keys, since one watch of them takes one call instead of three.
WATCHED_PREFIX: Final = ''

#: Prefix of the keys of targets; the name of the target follows.
TARGETS_PREFIX: Final = 'servers/'
#: Key of the operators' configuration.
CONFIGURATION_KEY: Final = 'op/config'
#: Prefix of the keys that take a zone out of service; its name follows.
_EVACUATION_PREFIX: Final = 'op/evacuate/'

#: Name of a target: any prefix, then the hexadecimal digits of its 64-bit id.
_TARGET_NAME_PATTERN: Final = re.compile(r'(?:.*[^0-9a-f])?([0-9a-f]{1,16})')
_ADDRESS_PATTERN: Final = re.compile(r'(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})')
_MAX_PORT: Final = 65535


class TargetEntry(msgspec.Struct):
    """Value that a target writes under `TARGETS_PREFIX`."""

    service: str
    address: str
    zone: str
    version: str  # of the target's software
    slots: int  # requests that the target runs concurrently
    state: str  # ready or draining
    #: Time for which the target is still cold; 0 if it is warm.
    cold_ms: float = msgspec.field(name='warmup_left_ms')
    sequence: int  # required, but not used by instances
    born: int = 0  # start of the target, Unix time in ms


class ShareEntry(msgspec.Struct):
    """Share of a route's new flows that one service gets."""

    service: str
    weight: float  # relative to the other shares of the route


class RouteEntry(msgspec.Struct):
    """Virtual address and port of a configuration, with its services."""

    name: str
    host: str  # IPv4 address, not a host name
    prefix: str  # port between slashes, such as /443/, not a path
    kind: RequestKind
    timeout_ms: float  # time after which callers give up
    aim_ms: float = 0  # latency objective
    priority: int = 0  # 0 is the most important
    service: str = ''  # gets all flows if there is no split
    split: tuple[ShareEntry, ...] = ()


class ServiceEntry(msgspec.Struct):
    """Service of a configuration, with the limits of its targets."""

    name: str
    health_path: str = '/'  # HTTP path of the targets' health check
    max_conns: int = 0  # flows that one target holds
    warmup_s: float = 0  # time for which a target is cold after its start
    warmup_per_s: float = 0  # requests per second to one cold target


class LimitsEntry(msgspec.Struct):
    """Limits of a configuration that hold for all flows."""

    idle_timeout_ms: float = 0  # after this, an idle flow may be discarded


class ConfigurationEntry(msgspec.Struct):
    """Configuration that operators write at `CONFIGURATION_KEY`."""

    version: int  # grows with each change
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    limits: LimitsEntry = msgspec.field(default_factory=LimitsEntry)


_TARGET_DECODER: Final = msgspec.json.Decoder(TargetEntry)
_CONFIGURATION_DECODER: Final = msgspec.json.Decoder(ConfigurationEntry)


def decode_item(item: StoredItem) -> DecodedRecord:
    """Return the record that an item of the store holds.

    Parameters
    ----------
    item : StoredItem
        Item with a key of any kind.

    Returns
    -------
    DecodedRecord
        `UnusableRecord` if the key or the value is not valid, which happens
        since other programs than targets and operators write to the store.
    """
    try:
        if item.key.startswith(TARGETS_PREFIX):
            return _decode_target(item)
        if item.key == CONFIGURATION_KEY:
            return _decode_configuration(item.value)
    except (msgspec.MsgspecError, ValueError, OSError) as exc:
        return UnusableRecord(f'{type(exc).__name__}: {exc}')
    if item.key.startswith(_EVACUATION_PREFIX):
        return ZoneTakenOut(item.key.removeprefix(_EVACUATION_PREFIX))
    return UnusableRecord(
        'key is not that of a target, an evacuated zone or the configuration'
    )


def _decode_target(item: StoredItem) -> DecodedRecord:
    name = item.key.removeprefix(TARGETS_PREFIX)
    found = _TARGET_NAME_PATTERN.fullmatch(name)
    if found is None:
        return UnusableRecord(
            'key does not end in a target id of 1 to 16 hex digits',
        )
    entry = _TARGET_DECODER.decode(item.value)
    if entry.state not in {'ready', 'draining'}:
        return UnusableRecord('state is neither ready nor draining')
    if entry.slots < 1 or entry.cold_ms < 0:
        return UnusableRecord(
            f'slots is {entry.slots}, expected 1 or more; '
            f'warmup_left_ms is {entry.cold_ms}, expected 0 or more',
        )
    return TargetRecord(
        name=name,
        target_id=int(found.group(1), 16),
        service=entry.service,
        address=_parse_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == 'draining',
        warmup_left_s=entry.cold_ms / 1000,
        started_unix_ms=entry.born,
        revision=item.revision,
    )


def _parse_address(text: str) -> Address:
    found = _ADDRESS_PATTERN.fullmatch(text)
    if found is None:
        raise ValueError('address is not an IPv4 address and port')
    host, port = found.group(1), int(found.group(2))
    socket.inet_aton(host)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'port is {port}, expected 1 to {_MAX_PORT}')
    return Address(host, port)


def _decode_configuration(value: bytes) -> OperatorConfiguration:
    entry = _CONFIGURATION_DECODER.decode(value)
    return OperatorConfiguration(
        version=entry.version,
        routes=tuple(_convert_route(each) for each in entry.routes),
        services=tuple(
            ServiceRecord(
                name=each.name,
                health_path=each.health_path,
                max_connections=each.max_conns,
                warmup_s=each.warmup_s,
                warmup_per_s=each.warmup_per_s,
            )
            for each in entry.services
        ),
        idle_timeout_s=entry.limits.idle_timeout_ms / 1000,
    )


def _convert_route(entry: RouteEntry) -> RouteRecord:
    port = int(entry.prefix.strip('/'))
    shares = tuple(
        ServiceShare(each.service, each.weight) for each in entry.split
    )
    return RouteRecord(
        name=entry.name,
        destination=socket.inet_aton(entry.host) + port.to_bytes(2),
        shares=shares or (ServiceShare(entry.service, 1),),
        kind=entry.kind,
        deadline_s=entry.timeout_ms / 1000,
        objective_s=entry.aim_ms / 1000,
        priority=entry.priority,
    )
