"""Entries that targets and operators write to the platform's store.

The structs whose names end in ``Entry`` have the shape of the JSON values.
`decode_item` checks them and returns the records that the entry process uses,
which are defined in `siskinproxy.entry.records`. A target's entry must fit its
struct, since any program may write one; a configuration is accepted by the
store, so each of its parts is used as far as it can be read.
"""

import json
import re
import socket
from collections.abc import Iterable
from typing import Annotated, Any, Final

import msgspec

from siskinproxy.addresses import is_host_address
from siskinproxy.entry.field_check import (
    FieldFault,
    FieldValues,
    find_field_fault,
    read_fields,
    read_json_fields,
    shorten_value,
)
from siskinproxy.entry.records import (
    Address,
    DecodedRecord,
    OperatorConfiguration,
    PartFault,
    PartKind,
    RequestKind,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
    TargetRecord,
    UnusableRecord,
    ZoneTakenOut,
)
from siskinproxy.entry.store import StoredItem
from siskinproxy.entry.value_bounds import (
    DECODING_ERRORS,
    MAX_PORT,
    MAX_TIME_MS,
    BoundedInt,
    Milliseconds,
    Name,
    RatePerS,
    Seconds,
    WholeNumber,
)

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

#: Deadline of a route that states none, in seconds: the longest duration of a
#: flow on the platform.
DEFAULT_DEADLINE_S: Final = 60.0
_DEFAULT_DEADLINE_MS: Final = 1000 * DEFAULT_DEADLINE_S
#: Fields of a route without which no flow can be delivered to it, by their
#: stored names. The empty name stands for a route that is not an object.
_DECIDING_ROUTE_FIELDS: Final = frozenset(
    ('', 'host', 'prefix', 'service', 'split')
)
#: What fields of a route hold whose stored names say little, for faults.
_ROUTE_FIELD_MEANINGS: Final = {
    'timeout_ms': 'deadline',
    'aim_ms': 'latency objective',
}

#: Name of a target: any prefix, then the hexadecimal digits of its 64-bit id.
_TARGET_NAME_PATTERN: Final = re.compile(r'(?:.*[^0-9a-f])?([0-9a-f]{1,16})')
_ADDRESS_PATTERN: Final = re.compile(r'([0-9.]{7,15}):([0-9]{1,5})')
#: Path of a health check: visible ASCII characters, so that it can't end the
#: request line. A dollar sign would also match before a line break.
_PATH_PATTERN: Final = r'^(/[!-~]*)?\Z'
#: Most requests that a target may claim to run concurrently.
_MAX_SLOTS: Final = 1_000_000
_MAX_WEIGHT: Final = 1e9


class TargetEntry(msgspec.Struct):
    """Value that a target writes under `TARGETS_PREFIX`."""

    service: Name
    address: str
    zone: Name
    version: str  # of the target's software
    #: Requests that the target runs concurrently.
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str  # ready or draining
    #: Time for which the target is still cold; 0 if it is warm.
    cold_ms: Milliseconds = msgspec.field(name='warmup_left_ms')
    sequence: BoundedInt  # of the announcement, counted from the target's start
    born: BoundedInt = 0  # start of the target, Unix time in ms


class ShareEntry(msgspec.Struct):
    """Share of a route's new flows that one service gets."""

    service: str
    #: Relative to the other shares of the route.
    weight: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WEIGHT)]


class RouteEntry(msgspec.Struct):
    """Virtual address and port of a configuration, with its services."""

    host: str  # IPv4 address, not a host name
    prefix: str  # port between slashes, such as /443/, not a path
    name: str = ''
    kind: str = ''
    #: Callers give up after this.
    timeout_ms: Annotated[float, msgspec.Meta(gt=0, le=MAX_TIME_MS)] = (
        _DEFAULT_DEADLINE_MS
    )
    aim_ms: Milliseconds = 0  # latency objective
    priority: WholeNumber = 0  # 0 is the most important
    service: str = ''  # gets all flows if there is no split
    split: tuple[Any, ...] = ()  # each a ShareEntry


class ServiceEntry(msgspec.Struct):
    """Service of a configuration, with the limits of its targets."""

    name: str
    #: HTTP path of the targets' health check.
    health_path: Annotated[str, msgspec.Meta(pattern=_PATH_PATTERN)] = '/'
    max_conns: WholeNumber = 0  # flows that one target holds
    warmup_s: Seconds = 0  # time for which a target is cold after its start
    warmup_per_s: RatePerS = 0  # requests per second to one cold target


class LimitsEntry(msgspec.Struct):
    """Limits of a configuration that hold for all flows."""

    #: After this, an idle flow may be discarded.
    idle_timeout_ms: Milliseconds = 0


class ConfigurationEntry(msgspec.Struct):
    """Configuration that operators write at `CONFIGURATION_KEY`."""

    version: BoundedInt  # grows with each change
    routes: tuple[msgspec.Raw, ...]  # each a RouteEntry
    services: tuple[msgspec.Raw, ...]  # each a ServiceEntry
    limits: msgspec.Raw = msgspec.Raw(b'{}')  # a LimitsEntry


class _PlainConfiguration(msgspec.Struct):
    """A `ConfigurationEntry` of which each part fits its struct."""

    version: BoundedInt
    routes: tuple[RouteEntry, ...]
    services: tuple[msgspec.Raw, ...]
    limits: msgspec.Raw = msgspec.Raw(b'{}')


class _ConfigurationFields(msgspec.Struct):
    """Fields of a `ConfigurationEntry` whose parts have been decoded."""

    version: BoundedInt
    routes: tuple[Any, ...]
    services: tuple[Any, ...]
    limits: Any = msgspec.field(default_factory=dict)


_TARGET_DECODER: Final = msgspec.json.Decoder(TargetEntry)
_CONFIGURATION_DECODER: Final = msgspec.json.Decoder(ConfigurationEntry)
_PLAIN_DECODER: Final = msgspec.json.Decoder(_PlainConfiguration)
_ROUTE_DECODER: Final = msgspec.json.Decoder(RouteEntry)
_SERVICE_DECODER: Final = msgspec.json.Decoder(ServiceEntry)
_NO_FAULTS: Final = FieldValues({}, ())


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
    except DECODING_ERRORS as exc:
        return _describe_unusable(item, exc)
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
        sequence=entry.sequence,
    )


def _parse_address(text: str) -> Address:
    found = _ADDRESS_PATTERN.fullmatch(text)
    if found is None:
        raise ValueError('address is not an IPv4 address and port')
    host, port = found.group(1), int(found.group(2))
    if not is_host_address(host):
        raise ValueError(f'{host} is not the IPv4 address of a host')
    _check_port(port)
    return Address(host, port)


def _check_port(port: int) -> None:
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port is {port}, expected 1 to {MAX_PORT}')


def _describe_unusable(item: StoredItem, exc: Exception) -> UnusableRecord:
    is_target = item.key.startswith(TARGETS_PREFIX)
    struct_type = TargetEntry if is_target else _ConfigurationFields
    fault = find_field_fault(item.value, struct_type)
    reason = f'{type(exc).__name__}: {exc}'
    return UnusableRecord(reason, fault.field, fault.value)


def _decode_configuration(value: bytes) -> OperatorConfiguration:
    faults: list[PartFault] = []
    try:
        entry = _PLAIN_DECODER.decode(value)
        routes = tuple([_convert_plain_route(each) for each in entry.routes])
    except DECODING_ERRORS:
        # Some part needs a closer look.
        entry = _decode_parts(value)
        routes = _usable(_convert_route(each, faults) for each in entry.routes)
    services = _usable(
        _convert_service(each, faults) for each in entry.services
    )
    return OperatorConfiguration(
        version=entry.version,
        routes=routes,
        services=services,
        idle_timeout_s=_convert_idle_timeout(entry.limits, faults),
        faults=tuple(faults),
    )


def _convert_plain_route(entry: RouteEntry) -> RouteRecord:
    """Return the record of a route with one service and no fault.

    Raises
    ------
    ValueError, OverflowError, OSError
        The route is of another form, which `_convert_route` handles.
    """
    if entry.split or not (entry.name and entry.service):
        raise ValueError('not a plain route')
    if not RequestKind.is_known(entry.kind):
        raise ValueError('unknown kind')
    shares = (ServiceShare(entry.service, 1),)
    return _build_route(entry, _parse_destination(entry), shares)


def _decode_parts(value: bytes) -> ConfigurationEntry:
    """Decode a configuration into its parts, each still encoded.

    Parts that hold text or numbers outside of JSON are unusable, but not those
    beside them.
    """
    try:
        return _CONFIGURATION_DECODER.decode(value)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        found = msgspec.convert(json.loads(value), _ConfigurationFields)
    return ConfigurationEntry(
        version=found.version,
        routes=tuple(_encode_raw(part) for part in found.routes),
        services=tuple(_encode_raw(part) for part in found.services),
        limits=_encode_raw(found.limits),
    )


def _encode_raw(part: Any) -> msgspec.Raw:
    return msgspec.Raw(json.dumps(part).encode())


def _usable(records: Iterable[Any]) -> tuple[Any, ...]:
    return tuple(each for each in records if each is not None)


def _convert_route(
    stored: msgspec.Raw, faults: list[PartFault]
) -> RouteRecord | None:
    """Return the record of a route, None if it is unusable.

    Faults of the route are added to `faults`.
    """
    entry, found = _read_part(stored, _ROUTE_DECODER, RouteEntry)
    problems = [_explain(fault) for fault in found.faults]
    if entry is None or found.faulty_fields & _DECIDING_ROUTE_FIELDS:
        name = found.values.get('name', '')
        faults.extend(_route_faults(name, problems, b'', is_rejected=True))
        return None
    name = entry.name or f'{entry.host}{entry.prefix}'
    try:
        destination = _parse_destination(entry)
    except DECODING_ERRORS as exc:
        shown = shorten_value([entry.host, entry.prefix])
        problems.append(FieldFault('host', shown, str(exc)))
        faults.extend(_route_faults(name, problems, b'', is_rejected=True))
        return None
    shares = tuple(_convert_shares(entry, problems))
    if entry.kind and not RequestKind.is_known(entry.kind):
        reason = 'unknown kind, handled as one that must not be repeated'
        problems.append(FieldFault('kind', shorten_value(entry.kind), reason))
    if not shares:
        reason = 'weights are not above 0 in sum, or no service is named'
        problems.append(FieldFault('split', '', reason))
    faults.extend(
        _route_faults(name, problems, destination, is_rejected=not shares)
    )
    return _build_route(entry, destination, shares) if shares else None


def _explain(fault: FieldFault) -> FieldFault:
    """Return a fault whose reason says what its field holds."""
    meaning = _ROUTE_FIELD_MEANINGS.get(fault.field)
    if meaning is None:
        return fault
    reason = f'{meaning}: {fault.reason}'
    return msgspec.structs.replace(fault, reason=reason)


def _build_route(
    entry: RouteEntry, destination: bytes, shares: tuple[ServiceShare, ...]
) -> RouteRecord:
    deadline_s = entry.timeout_ms / 1000
    return RouteRecord(
        name=entry.name or f'{entry.host}{entry.prefix}',
        destination=destination,
        shares=shares,
        kind=RequestKind.from_text(entry.kind),
        deadline_s=deadline_s,
        objective_s=entry.aim_ms / 1000 or deadline_s,
        priority=int(entry.priority),
    )


def _read_part(
    stored: msgspec.Raw, decoder: msgspec.json.Decoder, struct_type: type
) -> tuple[Any, FieldValues]:
    """Decode a part; if it does not fit, read its fields one by one.

    The first item returned is None if a required field cannot be read.
    """
    try:
        return decoder.decode(stored), _NO_FAULTS
    except DECODING_ERRORS:
        found = read_json_fields(bytes(stored), struct_type)
    try:
        return struct_type(**found.values), found
    except TypeError:
        return None, found


def _route_faults(
    name: str,
    problems: Iterable[FieldFault],
    destination: bytes,
    *,
    is_rejected: bool,
) -> Iterable[PartFault]:
    for problem in problems:
        yield PartFault(
            PartKind.ROUTE,
            name,
            problem.field,
            problem.value,
            problem.reason,
            is_rejected,
            destination,
        )


def _parse_destination(entry: RouteEntry) -> bytes:
    port = int(entry.prefix.strip('/'))
    _check_port(port)
    return socket.inet_aton(entry.host) + port.to_bytes(2)


def _convert_shares(
    entry: RouteEntry, problems: list[FieldFault]
) -> Iterable[ServiceShare]:
    """Yield the usable shares of a route."""
    if not entry.split and entry.service:
        yield ServiceShare(entry.service, 1)
    for stored in entry.split:
        found = read_fields(stored, ShareEntry)
        if found.faults:
            reason = 'share without a service or with a wrong weight'
            problems.append(FieldFault('share', shorten_value(stored), reason))
        elif found.values['weight'] > 0:
            yield ServiceShare(**found.values)


def _convert_service(
    stored: msgspec.Raw, faults: list[PartFault]
) -> ServiceRecord | None:
    """Return the record of a service, None if it is unusable.

    A service with a wrong limit is unusable, so that the limits last in force
    stay; otherwise a cold target could get more than it bears.
    """
    entry, found = _read_part(stored, _SERVICE_DECODER, ServiceEntry)
    is_rejected = bool(found.faulty_fields - {'health_path'})
    faults.extend(
        PartFault(
            PartKind.SERVICE,
            found.values.get('name', '') if entry is None else entry.name,
            problem.field,
            problem.value,
            problem.reason,
            is_rejected,
        )
        for problem in found.faults
    )
    if entry is None or is_rejected:
        return None
    return ServiceRecord(
        name=entry.name,
        health_path=entry.health_path,
        max_connections=int(entry.max_conns),
        warmup_s=entry.warmup_s,
        warmup_per_s=entry.warmup_per_s,
    )


def _convert_idle_timeout(
    stored: msgspec.Raw, faults: list[PartFault]
) -> float:
    """Return the idle timeout in seconds, 0 if it can't be read."""
    found = read_json_fields(bytes(stored), LimitsEntry)
    faults.extend(
        PartFault(
            PartKind.LIMITS,
            '',
            problem.field,
            problem.value,
            problem.reason,
            is_rejected=True,
        )
        for problem in found.faults
    )
    return found.values.get('idle_timeout_ms', 0) / 1000
