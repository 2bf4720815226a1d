"""Entries of targets and of the configuration that the soak test stores."""

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
_VIRTUAL_PORT: Final = 443
#: Start that all targets announce; none of them starts again in a run.
_BORN_UNIX_MS: Final = 1_700_000_000_000


class TargetDescription(msgspec.Struct, frozen=True):
    """What a target announces.

    Parameters
    ----------
    target_id : int
        Target id, 64 bits.
    service : str
        Name of the service.
    address : Address
        Address at which it receives packets.
    is_draining : bool
        Whether it accepts no new flows.
    sequence : int
        Number of the announcement.
    """

    target_id: int
    service: str
    address: Address
    is_draining: bool
    sequence: int = 1


def _virtual_host(service: str) -> str:
    return f'198.18.0.{1 + SERVICES.index(service)}'


def destination_of(service: str) -> bytes:
    """Return the virtual address and port of a service, 6 bytes."""
    return socket.inet_aton(_virtual_host(service)) + _VIRTUAL_PORT.to_bytes(2)


def target_item(target: TargetDescription) -> tuple[str, bytes]:
    """Return the key and value of a target's entry in the store."""
    entry = TargetEntry(
        service=target.service,
        address=f'{target.address.host}:{target.address.port}',
        zone='z0',
        version='v1',
        slots=4,
        state='draining' if target.is_draining else 'ready',
        cold_ms=0,
        sequence=target.sequence,
        born=_BORN_UNIX_MS,
    )
    key = f'{TARGETS_PREFIX}i-{target.target_id:x}'
    return key, msgspec.json.encode(entry)


def configuration_item(version: int) -> tuple[str, bytes]:
    """Return the key and value of a configuration, a route per service."""
    entry = ConfigurationEntry(
        version=version,
        routes=tuple(
            RouteEntry(
                name=f'r-{service}',
                host=_virtual_host(service),
                prefix=f'/{_VIRTUAL_PORT}/',
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
