"""What an entry process learns from the platform, in the product's terms."""

import enum
import zlib
from typing import Final, NamedTuple

import msgspec

__all__ = (
    'NO_TOKEN',
    'Address',
    'OperatorConfiguration',
    'RequestKind',
    'RouteRecord',
    'ServiceRecord',
    'ServiceShare',
    'Statement',
    'TargetRecord',
    'UnusableRecord',
    'ZoneTakenOut',
    'parse_endpoint',
    'token_of',
)

#: Token of a flow that has no target yet.
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
    """Return an endpoint of checked settings as an address."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = 'safe'
    DOWNLOAD = 'download'
    UNSAFE = 'unsafe'


def token_of(target_id: int) -> int:
    """Return the token that names a target on the wire.

    It depends on the id alone, so that all instances, also after a restart,
    read the same target from a packet without exchanging any state.

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
    """A target as it announced itself.

    Parameters
    ----------
    name : str
        Unique name of the target.
    target_id : int
        64-bit id that the target compares with the one in each datagram.
    service : str
        Service whose requests the target runs.
    address : Address
        Where the target receives packets.
    zone : str
        Availability zone.
    slots : int
        Requests that the target runs concurrently.
    is_draining : bool
        Whether the target is about to leave and takes no new flows.
    warmup_left_s : float
        Time for which the target was still cold when it wrote the record.
    started_unix_ms : int
        Start of the target; differs between two lives under the same name.
    revision : int
        Revision of the store at which the record was written.
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

    @property
    def token(self) -> int:
        """Token that names the target on the wire."""
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
    """A virtual address and port, and the services behind it.

    Parameters
    ----------
    name : str
        Name of the route.
    destination : bytes
        Address and port that callers use, 6 bytes in network order.
    shares : tuple of ServiceShare
        Services that get new flows; at least one.
    kind : RequestKind
        What may be repeated.
    deadline_s : float
        Time after which the caller has given up, in seconds.
    objective_s : float
        Latency objective in seconds.
    priority : int
        0 is the most important.
    """

    name: str
    destination: bytes
    shares: tuple[ServiceShare, ...]
    kind: RequestKind
    deadline_s: float
    objective_s: float
    priority: int


class ServiceRecord(msgspec.Struct, frozen=True):
    """Limits of the targets of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check of its targets.
    max_connections : int
        Flows that one target holds.
    warmup_s : float
        Time for which a target is cold after its start, in seconds.
    warmup_per_s : float
        Requests per second that one cold target bears, from all instances
        together.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float


class OperatorConfiguration(msgspec.Struct, frozen=True):
    """The operators' configuration.

    Parameters
    ----------
    version : int
        Grows with each change, not by one.
    routes : tuple of RouteRecord
        All routes.
    services : tuple of ServiceRecord
        All services.
    idle_timeout_s : float
        Time after which an idle flow may be discarded, in seconds.
    """

    version: int
    routes: tuple[RouteRecord, ...]
    services: tuple[ServiceRecord, ...]
    idle_timeout_s: float


class ZoneTakenOut(msgspec.Struct, frozen=True):
    """Operators have taken an availability zone out of service.

    Parameters
    ----------
    zone : str
        Name of the zone.
    """

    zone: str


class UnusableRecord(msgspec.Struct, frozen=True):
    """An entry of the store that states nothing usable.

    Parameters
    ----------
    reason : str
        What is wrong with it.
    """

    reason: str


#: What an entry of the store can state.
Statement = TargetRecord | OperatorConfiguration | ZoneTakenOut | UnusableRecord
