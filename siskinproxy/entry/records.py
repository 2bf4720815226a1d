"""Targets, routes and services as the entry process uses them.

The records do not depend on the platform: `siskinproxy.platform` converts the
entries that targets and operators write to the store into these.
"""

import enum
import zlib
from functools import singledispatch
from typing import Any, Final, NamedTuple

import msgspec

__all__ = (
    'NO_TOKEN',
    'Address',
    'DecodedRecord',
    'OperatorConfiguration',
    'PartFault',
    'PartKind',
    'RequestKind',
    'RouteRecord',
    'ServiceRecord',
    'ServiceShare',
    'TargetRecord',
    'UnusableRecord',
    'WritingOrder',
    'ZoneTakenOut',
    'order_of_writing',
    'parse_endpoint',
    'token_of',
)

#: Token in the packets of a flow that has no target yet.
NO_TOKEN: Final = 0


class Address(NamedTuple):
    """IPv4 host and UDP or TCP port.

    Parameters
    ----------
    host : str
        Dotted IPv4 address.
    port : int
        Port number.
    """

    host: str
    port: int


def parse_endpoint(text: str) -> Address:
    """Return the address of an endpoint ``host:port`` of checked settings."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class RequestKind(enum.Enum):
    """Whether callers may repeat a request that may have run already.

    Requests of the kinds ``SAFE`` and ``DOWNLOAD`` may be repeated, those of
    the kinds ``UNSAFE`` and ``UPLOAD`` only if they have not run.
    """

    SAFE = 'safe'
    DOWNLOAD = 'download'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'

    @classmethod
    def from_text(cls, text: str) -> 'RequestKind':
        """Return the kind with this name, `UNSAFE` for an unknown one."""
        return _KINDS_BY_TEXT.get(text, cls.UNSAFE)

    @classmethod
    def is_known(cls, text: str) -> bool:
        """Return whether a kind has this name."""
        return text in _KINDS_BY_TEXT


_KINDS_BY_TEXT: Final = {kind.value: kind for kind in RequestKind}


def token_of(target_id: int) -> int:
    """Return the token that names a target on the wire.

    The token depends on the id alone, so that every instance, also after a
    restart, finds the same target for a packet without shared state.

    Parameters
    ----------
    target_id : int
        64-bit id of the target.

    Returns
    -------
    int
        32 bits, never `NO_TOKEN`.
    """
    return zlib.crc32(target_id.to_bytes(8)) or 1


class TargetRecord(msgspec.Struct, frozen=True):
    """Newest announcement of a target in the store.

    Parameters
    ----------
    name : str
        Unique name of the target.
    target_id : int
        64-bit id of the target, which compares it with the id in each
        datagram that it receives.
    service : str
        Service whose requests the target serves.
    address : Address
        Address at which the target receives packets.
    zone : str
        Availability zone.
    slots : int
        Requests that the target serves concurrently.
    is_draining : bool
        Whether the target is about to leave and accepts no new flows.
    warmup_left_s : float
        Time that the target's warm-up still took when it wrote the record, in
        seconds; 0 if the target was warm.
    started_unix_ms : int
        Wall-clock time at which the target started, in milliseconds; tells a
        restarted target from the earlier one of the same name.
    revision : int
        Revision of the store at which the record was written.
    sequence : int
        Number of the announcement, counted by the target from its start.
    """

    name: str
    target_id: int
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    warmup_left_s: float
    started_unix_ms: int
    revision: int
    sequence: int = 0

    @property
    def token(self) -> int:
        """Token that names the target in packets."""
        return token_of(self.target_id)


class ServiceShare(msgspec.Struct, frozen=True):
    """Share of a route's new flows that one service gets.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


class RouteRecord(msgspec.Struct, frozen=True):
    """A virtual address and port, and the services that serve it.

    Parameters
    ----------
    name : str
        Name of the route.
    destination : bytes
        IPv4 address and port to which callers send, 4 and 2 bytes in network
        byte order.
    shares : tuple of ServiceShare
        Services that get new flows; at least one.
    kind : RequestKind
        Whether callers may repeat a request.
    deadline_s : float
        Time after which a caller stops waiting for an answer, in seconds.
    objective_s : float
        Latency objective, in seconds; flows that take longer count as slow.
    priority : int
        Priority; 0 is the highest.
    """

    name: str
    destination: bytes
    shares: tuple[ServiceShare, ...]
    kind: RequestKind
    deadline_s: float
    objective_s: float
    priority: int


class ServiceRecord(msgspec.Struct, frozen=True):
    """Properties and limits that all targets of a service share.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        HTTP path of the health check of its targets.
    max_connections : int
        Largest number of concurrent flows of one target.
    warmup_s : float
        Time for which a target is cold, with reduced capacity, after its
        start, in seconds.
    warmup_per_s : float
        Requests per second that one cold target can serve, the sum over all
        instances.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


class PartKind(enum.Enum):
    """Part of a configuration that is applied or kept on its own."""

    ROUTE = 'route'
    SERVICE = 'service'
    LIMITS = 'limits'


class PartFault(msgspec.Struct, frozen=True):
    """A field of a configuration that cannot be applied as written.

    Parameters
    ----------
    part : PartKind
        Kind of the part that holds the field.
    name : str
        Name of the route or service, as far as it can be read.
    field, value, reason : str
        Fault as in `FieldFault`.
    is_rejected : bool
        Whether the part is unusable. Then the last usable part of the same
        name stays in force. Otherwise a default stands for the field.
    destination : bytes
        Destination of an unusable route, empty if it can't be read or if the
        part is not a route. It identifies a route whose name is unreadable.
    """

    part: PartKind
    name: str
    field: str
    value: str
    reason: str
    is_rejected: bool
    destination: bytes = b''

    @property
    def subject(self) -> str:
        """Kind and name of the part, such as ``route desk``."""
        return f'{self.part.value} {self.name}'.rstrip()


class OperatorConfiguration(msgspec.Struct, frozen=True):
    """Configuration of all routes and services, written by operators.

    Parameters
    ----------
    version : int
        Version; each change increases it, not always by 1.
    routes : tuple of RouteRecord
        All routes.
    services : tuple of ServiceRecord
        All services.
    idle_timeout_s : float
        Time after which an idle flow may be discarded, in seconds.
    faults : tuple of PartFault
        Fields that can't be applied as written. Parts that are unusable are
        missing from `routes` and `services`.
    """

    version: int
    routes: tuple[RouteRecord, ...]
    services: tuple[ServiceRecord, ...]
    idle_timeout_s: float
    faults: tuple[PartFault, ...] = ()

    def rejected(self, part: PartKind) -> tuple[PartFault, ...]:
        """Return the faults that make parts of this kind unusable."""
        return tuple(
            fault
            for fault in self.faults
            if fault.is_rejected and fault.part is part
        )


class ZoneTakenOut(msgspec.Struct, frozen=True):
    """An availability zone that operators have taken out of service.

    Parameters
    ----------
    zone : str
        Name of the zone.
    """

    zone: str


class UnusableRecord(msgspec.Struct, frozen=True):
    """An entry of the store that cannot be used.

    Parameters
    ----------
    reason : str
        Why the entry cannot be used.
    field, value : str
        First field that cannot be read, and its value as text; empty if the
        entry as a whole is at fault.
    """

    reason: str
    field: str = ''
    value: str = ''


#: Decoded entry of the store.
DecodedRecord = (
    TargetRecord | OperatorConfiguration | ZoneTakenOut | UnusableRecord
)


class WritingOrder(enum.Enum):
    """Order in which the writer of a key wrote two records."""

    EARLIER = 'earlier'
    LATER = 'later'
    #: The records do not tell.
    UNKNOWN = 'unknown'


@singledispatch
def order_of_writing(record: Any, other: Any) -> WritingOrder:
    """Return when a record was written, compared with another one of its key.

    Unlike revisions of the store, the order does not change when the store is
    restored from a copy.

    Parameters
    ----------
    record, other : DecodedRecord or InstanceRecord
        Records of one key of the store.

    Returns
    -------
    WritingOrder
        ``UNKNOWN`` if the kind of record has no order of its own.
    """
    return WritingOrder.UNKNOWN


@order_of_writing.register
def _order_of_configuration(
    record: OperatorConfiguration, other: Any
) -> WritingOrder:
    if not isinstance(other, OperatorConfiguration):
        return WritingOrder.UNKNOWN
    return _compare(record.version, other.version)


@order_of_writing.register
def _order_of_target(record: TargetRecord, other: Any) -> WritingOrder:
    """Compare announcements by the start of the target, then by their number.

    A higher number of the same start may still be the last announcement of a
    target that has ended since, so it tells nothing.
    """
    if not isinstance(other, TargetRecord):
        return WritingOrder.UNKNOWN
    if not (record.started_unix_ms and other.started_unix_ms):
        # Without its start, a lower number may be that of a restarted target.
        return WritingOrder.UNKNOWN
    by_start = _compare(record.started_unix_ms, other.started_unix_ms)
    if by_start is WritingOrder.UNKNOWN and record.sequence < other.sequence:
        return WritingOrder.EARLIER
    return by_start


def _compare(number: int, other: int) -> WritingOrder:
    if number == other:
        return WritingOrder.UNKNOWN
    return WritingOrder.EARLIER if number < other else WritingOrder.LATER
