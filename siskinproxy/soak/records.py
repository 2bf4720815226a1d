"""Entries that the soak's targets and operator write to the store."""

import socket
from typing import Final

import msgspec

from siskinproxy.entry.records import Address, RequestKind
from siskinproxy.platform.records import (
    CONFIGURATION_KEY,
    TARGETS_PREFIX,
    ConfigurationEntry,
    LimitsEntry,
    RouteEntry,
    ServiceEntry,
    TargetEntry,
)

__all__ = (
    'SERVICES',
    'TargetDescription',
    'configuration_item',
    'destination_of',
    'target_item',
)

SERVICES: Final = ('desk', 'archive')
_PORT: Final = 443


class TargetDescription(msgspec.Struct, frozen=True):
    """What a target announces.

    Parameters
    ----------
    target_id : int
        64-bit id.
    service : str
        Service.
    address : Address
        Address.
    is_draining : bool
        Whether it takes no new flows.
    """

    target_id: int
    service: str
    address: Address
    is_draining: bool


def _host(service: str) -> str:
    return f'198.18.0.{1 + SERVICES.index(service)}'


def destination_of(service: str) -> bytes:
    """Return the address and port at which callers reach a service."""
    return socket.inet_aton(_host(service)) + _PORT.to_bytes(2)


def target_item(target: TargetDescription) -> tuple[str, bytes]:
    """Return key and value of a target's entry."""
    entry = TargetEntry(
        service=target.service,
        address=f'{target.address.host}:{target.address.port}',
        zone='z0',
        version='v1',
        slots=4,
        state='draining' if target.is_draining else 'ready',
        cold_ms=0,
        sequence=1,
    )
    key = f'{TARGETS_PREFIX}i-{target.target_id:x}'
    return key, msgspec.json.encode(entry)


def configuration_item(version: int) -> tuple[str, bytes]:
    """Return key and value of a configuration with a route a service."""
    entry = ConfigurationEntry(
        version=version,
        routes=tuple(
            RouteEntry(
                name=f'r-{service}',
                host=_host(service),
                prefix=f'/{_PORT}/',
                kind=RequestKind.UNSAFE,
                timeout_ms=4000,
                aim_ms=250,
                service=service,
            )
            for service in SERVICES
        ),
        services=tuple(ServiceEntry(name=service) for service in SERVICES),
        limits=LimitsEntry(idle_timeout_ms=15000),
    )
    return CONFIGURATION_KEY, msgspec.json.encode(entry)
