"""Configuration model: services, targets and availability zones.

A `Configuration` is what operators declare for a region. Each accepted one
gets the next generation number.
"""

from typing import Final, Literal

import msgspec

__all__ = (
    'MAX_TARGETS_PER_SHARD',
    'Configuration',
    'Listener',
    'RetiredTarget',
    'Service',
    'Target',
    'Zone',
)

#: Highest number of targets in a shard. A service with more targets is divided
#: into several shards. One instance, the owner of the shard, selects the target
#: of each flow.
MAX_TARGETS_PER_SHARD: Final = 16


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Availability zone.

    Parameters
    ----------
    name : str
        Unique name.
    in_service : bool
        False while operators have taken the zone out of service.
    out_unix_s : int
        Time at which the zone was taken out of service, in seconds since the
        Unix epoch; 0 while it is in service. Set by `retire`.
    """

    name: str
    in_service: bool = True
    out_unix_s: int = 0


class Listener(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service address and port, and how its connections are handled.

    Parameters
    ----------
    address : str
        Dotted IPv4 address that callers connect to.
    port : int
        Port that callers connect to.
    target_port : int
        Port of the targets for this listener; no other listener uses it on
        the same targets.
    mode : {'request', 'stream'}
        ``request``: each connection is one request and occupies one of the
        target's `Target.slots`. ``stream``: each connection is long-lived and
        counts against `Target.connections`.
    priority : int
        Priority of the connections; 0 is the highest, 7 the lowest.
    deadline_ms : int
        Time within which a request must be answered, in milliseconds.
    idempotent : bool
        Whether callers may repeat a request whose outcome is unknown.
    name : str
        Name in logs and metrics; may be empty.
    """

    address: str
    port: int
    target_port: int
    mode: Literal['request', 'stream'] = 'request'
    priority: int = 1
    deadline_ms: int = 1000
    idempotent: bool = False
    name: str = ''


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backend server of a service.

    Parameters
    ----------
    name : str
        Name, unique within the configuration.
    address : str
        Dotted IPv4 address.
    zone : str
        Availability zone of the backend server.
    slots : int
        Number of requests that the target executes at the same time.
    connections : int
        Highest number of stream connections of the target.
    draining : bool
        True while the target gets no new flows.
    warmup_s : float
        Time from a cold start until the target takes full load, in seconds.
    """

    name: str
    address: str
    zone: str
    slots: int = 4
    connections: int = 2000
    draining: bool = False
    warmup_s: float = 30.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service: each of its targets serves each of its listeners.

    Parameters
    ----------
    name : str
        Unique name.
    listeners : tuple of Listener
        Addresses and ports that callers connect to.
    targets : tuple of Target
        Backend servers.
    """

    name: str
    listeners: tuple[Listener, ...]
    targets: tuple[Target, ...]


class RetiredTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Target that was removed or whose service no longer has some listeners.

    Flows that were established before the removal stay allowed at first. They
    are revoked (the entry is released) by the first change after the delay for
    the reuse of addresses, or by the change that takes the target's zone out of
    service. A released entry reserves the addresses for `REUSE_MARGIN_S` more.

    Parameters
    ----------
    service : str
        Service that the target belonged to.
    target : Target
        The target as last declared.
    ports : tuple of int
        Target ports whose listener or target was removed.
    retired_generation : int
        First generation without the target or listeners.
    retired_unix_s : int
        Time of the removal in seconds since the Unix epoch.
    released_unix_s : int
        Time of the change that revoked the flows, in seconds since the Unix
        epoch; 0 while they are allowed.
    listeners : tuple of Listener
        Removed listeners that may still have flows to the target.
    """

    service: str
    target: Target
    ports: tuple[int, ...]
    retired_generation: int
    retired_unix_s: int
    released_unix_s: int = 0
    listeners: tuple[Listener, ...] = ()


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of one region.

    Parameters
    ----------
    region : str
        Name of the region.
    zones : tuple of Zone
        Availability zones of the region.
    services : tuple of Service
        Services with their listeners and targets.
    retired : tuple of RetiredTarget
        Removed targets and listeners whose addresses are still reserved. Set
        by `retire`; what a submitted configuration declares here is ignored.
    """

    region: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    retired: tuple[RetiredTarget, ...] = ()
