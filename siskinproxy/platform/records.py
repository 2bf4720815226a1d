"""Entries that targets and operators write to the platform's store."""

import re
import socket
from typing import Final

import msgspec

from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RequestKind,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
    Statement,
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

#: Start of all keys that matter: those of operators, of targets and the
#: product's own. One watch on all of them costs one call instead of three.
WATCHED_PREFIX: Final = ''

TARGETS_PREFIX: Final = 'servers/'
CONFIGURATION_KEY: Final = 'op/config'
_EVACUATION: Final = 'op/evacuate/'

#: The id as text is a prefix and the hex digits of the 64-bit id.
_TARGET_ID: Final = re.compile(r'(?:.*[^0-9a-f])?([0-9a-f]{1,16})')
_ADDRESS: Final = re.compile(r'(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})')
_MAX_PORT: Final = 65535


class TargetEntry(msgspec.Struct):
    """Value of a key of a target."""

    service: str
    address: str
    zone: str
    version: str  # of the target's software
    slots: int
    state: str
    cold_ms: float = msgspec.field(name='warmup_left_ms')
    sequence: int
    born: int = 0


class ShareEntry(msgspec.Struct):
    """Share of a route."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct):
    """Route of a configuration."""

    name: str
    host: str  # an address, not a name
    prefix: str  # a port between slashes, not a path
    kind: RequestKind
    timeout_ms: float
    aim_ms: float = 0
    priority: int = 0
    service: str = ''
    split: tuple[ShareEntry, ...] = ()


class ServiceEntry(msgspec.Struct):
    """Service of a configuration."""

    name: str
    health_path: str = '/'
    max_conns: int = 0
    warmup_s: float = 0
    warmup_per_s: float = 0


class LimitsEntry(msgspec.Struct):
    """Limits of a configuration."""

    idle_timeout_ms: float = 0


class ConfigurationEntry(msgspec.Struct):
    """Value of the operators' key."""

    version: int
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    limits: LimitsEntry = msgspec.field(default_factory=LimitsEntry)


_TARGET_DECODER: Final = msgspec.json.Decoder(TargetEntry)
_CONFIGURATION_DECODER: Final = msgspec.json.Decoder(ConfigurationEntry)


def decode_item(item: StoredItem) -> Statement:
    """Return what an item of the store states.

    Parameters
    ----------
    item : StoredItem
        Item with one of the two prefixes.

    Returns
    -------
    Statement
        `UnusableRecord` if it cannot be read; other writers than targets and
        operators exist.
    """
    try:
        if item.key.startswith(TARGETS_PREFIX):
            return _target(item)
        if item.key == CONFIGURATION_KEY:
            return _configuration(item.value)
    except (msgspec.MsgspecError, ValueError, OSError) as exc:
        return UnusableRecord(f'{type(exc).__name__}: {exc}')
    if item.key.startswith(_EVACUATION):
        return ZoneTakenOut(item.key.removeprefix(_EVACUATION))
    return UnusableRecord('unknown key')


def _target(item: StoredItem) -> Statement:
    name = item.key.removeprefix(TARGETS_PREFIX)
    found = _TARGET_ID.fullmatch(name)
    if found is None:
        return UnusableRecord('no id in the key')
    entry = _TARGET_DECODER.decode(item.value)
    if entry.state not in {'ready', 'draining'}:
        return UnusableRecord('unknown state')
    if entry.slots < 1 or entry.cold_ms < 0:
        return UnusableRecord('number out of range')
    return TargetRecord(
        name=name,
        target_id=int(found.group(1), 16),
        service=entry.service,
        address=_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == 'draining',
        warmup_left_s=entry.cold_ms / 1000,
        started_unix_ms=entry.born,
        revision=item.revision,
    )


def _address(text: str) -> Address:
    found = _ADDRESS.fullmatch(text)
    if found is None:
        raise ValueError('no address and port')
    host, port = found.group(1), int(found.group(2))
    socket.inet_aton(host)
    if not 0 < port <= _MAX_PORT:
        raise ValueError('port out of range')
    return Address(host, port)


def _configuration(value: bytes) -> OperatorConfiguration:
    entry = _CONFIGURATION_DECODER.decode(value)
    return OperatorConfiguration(
        version=entry.version,
        routes=tuple(_route(each) for each in entry.routes),
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


def _route(entry: RouteEntry) -> RouteRecord:
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
