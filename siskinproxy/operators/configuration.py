"""Configuration model: services, targets and availability zones."""

from typing import Final, Literal

import msgspec

__all__ = (
    'TARGETS_PER_SHARD',
    'Configuration',
    'Listener',
    'RetiredTarget',
    'Service',
    'Target',
    'Zone',
)

#: One owner decides for at most this many targets of a service.
TARGETS_PER_SHARD: Final = 16


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Availability zone.

    Parameters
    ----------
    name : str
        Unique name.
    in_service : bool
        False after operators took the zone out of service.
    out_unix_s : int
        Time at which the zone was taken out of service, in seconds since the
        Unix epoch; 0 while it is in service. Set by `retire`.
    """

    name: str
    in_service: bool = True
    out_unix_s: int = 0


class Listener(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service address and port together with its request class.

    Parameters
    ----------
    address : str
        Dotted IPv4 address that callers connect to.
    port : int
        Port that callers connect to.
    target_port : int
        Port of the targets; serves this listener only.
    mode : {'request', 'stream'}
        ``request``: a connection is one request and holds a slot.
        ``stream``: a long flow that counts against connections.
    priority : int
        0 is the most important class.
    deadline_ms : int
        Time within which a request must be answered.
    idempotent : bool
        Whether callers may repeat a request whose outcome is unknown.
    name : str
        Name for logs and metrics.
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
        Requests that the target executes at the same time.
    connections : int
        Connections that the target accepts.
    draining : bool
        True while the target gets no new flows.
    warmup_s : float
        Time from a cold start to full load, in seconds.
    """

    name: str
    address: str
    zone: str
    slots: int = 4
    connections: int = 2000
    draining: bool = False
    warmup_s: float = 30.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service with its listeners and targets."""

    name: str
    listeners: tuple[Listener, ...]
    targets: tuple[Target, ...]


class RetiredTarget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Target that lost its listeners; its established flows stay allowed.

    The flows of the target are revoked by the first change after the delay
    for the reuse of addresses, or by the change that takes its zone out of
    service. The entry then reserves the addresses for `REUSE_MARGIN_S`.

    Parameters
    ----------
    service : str
        Service that the target belonged to.
    target : Target
        The target as it was declared last.
    ports : tuple of int
        Target ports that lost their listener or their target.
    retired_generation : int
        First generation without the target.
    retired_unix_s : int
        Time of the removal in seconds since the Unix epoch.
    released_unix_s : int
        Time of the change that revoked the flows; 0 while they are allowed.
    listeners : tuple of Listener
        Listeners whose flows to the target may still exist.
    """

    service: str
    target: Target
    ports: tuple[int, ...]
    retired_generation: int
    retired_unix_s: int
    released_unix_s: int = 0
    listeners: tuple[Listener, ...] = ()


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that operators declare for one region."""

    region: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    retired: tuple[RetiredTarget, ...] = ()
