"""Builders for operators' scripts that print a configuration as JSON.

The builders reject wrong types, duplicates and unknown zones at the line of the
script that declares them. All other rules are checked by
`ConfigurationBuilder.build`.

Examples
--------
>>> from siskinproxy.operators.builders import configuration
>>> cfg = configuration(region='alfold').zone('a')
>>> desk = cfg.service('ticket-desk')
>>> desk = desk.listener('203.0.113.1', 443, target_port=7000)
>>> desk = desk.target('desk-1', '127.1.1.1', zone='a')
>>> cfg.build().services[0].targets[0].zone
'a'
"""

import sys
from typing import Any, Literal, Self, TypeVar

import msgspec

from siskinproxy.errors import (
    BuilderError,
    DuplicateListenerError,
    DuplicateNameError,
    UnknownZoneError,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)
from siskinproxy.operators.validation import raise_if_invalid

__all__ = ('ConfigurationBuilder', 'ServiceBuilder', 'configuration')

_Declared = TypeVar('_Declared', Zone, Listener, Target)


def configuration(region: str) -> 'ConfigurationBuilder':
    """Create a builder for the configuration of a region.

    Parameters
    ----------
    region : str
        Name of the region.

    Returns
    -------
    ConfigurationBuilder
        Builder without zones and services.
    """
    return ConfigurationBuilder(region)


class ConfigurationBuilder:
    """Builder of the configuration of one region.

    Parameters
    ----------
    region : str
        Name of the region.

    Raises
    ------
    BuilderError
        If the name is not a string.
    """

    def __init__(self, region: str) -> None:
        if not isinstance(region, str):
            raise BuilderError('region', f'expected str, got {region!r}')
        self._region = region
        self._zones: dict[str, Zone] = {}
        self._services: dict[str, ServiceBuilder] = {}
        self._targets: set[str] = set()
        self._listeners: set[tuple[str, int]] = set()

    def zone(self, name: str, *, in_service: bool = True) -> Self:
        """Declare an availability zone.

        Parameters
        ----------
        name : str
            Unique name.
        in_service : bool
            False to declare the zone out of service.

        Returns
        -------
        ConfigurationBuilder
            The builder itself.

        Raises
        ------
        DuplicateNameError
            If the zone is already declared.
        BuilderError
            If a value has the wrong type.
        """
        zone = _convert(Zone, name=name, in_service=in_service)
        if name in self._zones:
            raise DuplicateNameError('zone', name)
        self._zones[name] = zone
        return self

    def service(self, name: str) -> 'ServiceBuilder':
        """Declare a service.

        Parameters
        ----------
        name : str
            Unique name.

        Returns
        -------
        ServiceBuilder
            Builder for the listeners and targets of the service.

        Raises
        ------
        DuplicateNameError
            If the service is already declared.
        BuilderError
            If the name is not a string.
        """
        if not isinstance(name, str):
            raise BuilderError('service', f'expected str, got {name!r}')
        if name in self._services:
            raise DuplicateNameError('service', name)
        builder = ServiceBuilder(self, name)
        self._services[name] = builder
        return builder

    def build(self) -> Configuration:
        """Validate and return the configuration.

        Returns
        -------
        Configuration
            The configuration declared so far.

        Raises
        ------
        ExceptionGroup
            Holds one `ConfigurationError` for each broken rule and place.
        """
        cfg = Configuration(
            self._region,
            tuple(self._zones.values()),
            tuple(each.declared() for each in self._services.values()),
        )
        raise_if_invalid(cfg)
        return cfg

    def print(self) -> None:
        """Validate the configuration and print it as JSON to stdout.

        Raises
        ------
        ExceptionGroup
            Holds one `ConfigurationError` for each broken rule and place;
            nothing is printed then.
        """
        encoded = msgspec.json.encode(self.build())
        text = msgspec.json.format(encoded, indent=2).decode()
        sys.stdout.write(f'{text}\n')

    def register_listener(self, address: str, port: int) -> None:
        """Record the address and port of a listener; reject a duplicate.

        Called by `ServiceBuilder`.

        Parameters
        ----------
        address : str
            Service address.
        port : int
            Port of the service address.

        Raises
        ------
        DuplicateListenerError
            If another listener has the same address and port.
        """
        if (address, port) in self._listeners:
            raise DuplicateListenerError(address, port)
        self._listeners.add((address, port))

    def register_target(self, name: str, zone: str) -> None:
        """Record the name of a target; reject a duplicate or an unknown zone.

        Called by `ServiceBuilder`.

        Parameters
        ----------
        name : str
            Name of the target.
        zone : str
            Zone of the target.

        Raises
        ------
        DuplicateNameError
            If another target has the name.
        UnknownZoneError
            If the zone is not declared yet.
        """
        if name in self._targets:
            raise DuplicateNameError('target', name)
        if zone not in self._zones:
            raise UnknownZoneError(zone, name)
        self._targets.add(name)


class ServiceBuilder:
    """Builder of one service, created by `ConfigurationBuilder.service`.

    Parameters
    ----------
    parent : ConfigurationBuilder
        Builder of the configuration.
    name : str
        Name of the service.
    """

    def __init__(self, parent: ConfigurationBuilder, name: str) -> None:
        self._parent = parent
        self._name = name
        self._listeners: list[Listener] = []
        self._targets: list[Target] = []

    def listener(
        self,
        address: str,
        port: int,
        *,
        target_port: int,
        mode: Literal['request', 'stream'] = 'request',
        priority: int = 1,
        deadline_ms: int = 1000,
        idempotent: bool = False,
        name: str = '',
    ) -> Self:
        """Declare a service address and port that callers connect to.

        Parameters
        ----------
        address : str
            Dotted IPv4 address that callers connect to.
        port : int
            Port that callers connect to.
        target_port : int
            Port of the targets for this listener; no other listener uses it
            on the same targets.
        mode : {'request', 'stream'}
            ``request``: each connection is one request and occupies one of
            the target's `slots`. ``stream``: each connection is long-lived
            and counts against the target's `connections`.
        priority : int
            Priority of the connections; 0 is the highest, 7 the lowest.
        deadline_ms : int
            Time within which a request must be answered, in milliseconds.
        idempotent : bool
            Whether callers may repeat a request whose outcome is unknown.
        name : str
            Name in logs and metrics; may be empty.

        Returns
        -------
        ServiceBuilder
            The builder itself.

        Raises
        ------
        BuilderError
            If a value has the wrong type or `mode` is unknown.
        DuplicateListenerError
            If another listener has the same address and port.
        """
        listener = _convert(
            Listener,
            address=address,
            port=port,
            target_port=target_port,
            mode=mode,
            priority=priority,
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            name=name,
        )
        self._parent.register_listener(address, port)
        self._listeners.append(listener)
        return self

    def target(
        self,
        name: str,
        address: str,
        *,
        zone: str,
        slots: int = 4,
        connections: int = 2000,
        draining: bool = False,
        warmup_s: float = 30.0,
    ) -> Self:
        """Declare a backend server of the service.

        Parameters
        ----------
        name : str
            Name, unique within the configuration.
        address : str
            Dotted IPv4 address.
        zone : str
            Availability zone of the backend server; must be declared before.
        slots : int
            Number of requests that the target executes at the same time.
        connections : int
            Highest number of stream connections of the target.
        draining : bool
            True while the target gets no new flows.
        warmup_s : float
            Time from a cold start until the target takes full load, in
            seconds.

        Returns
        -------
        ServiceBuilder
            The builder itself.

        Raises
        ------
        BuilderError
            If a value has the wrong type.
        DuplicateNameError
            If another target has the name.
        UnknownZoneError
            If the zone is not declared yet.
        """
        target = _convert(
            Target,
            name=name,
            address=address,
            zone=zone,
            slots=slots,
            connections=connections,
            draining=draining,
            warmup_s=warmup_s,
        )
        self._parent.register_target(name, zone)
        self._targets.append(target)
        return self

    def declared(self) -> Service:
        """Return the service without validation.

        Returns
        -------
        Service
            The service declared so far.
        """
        return Service(
            self._name,
            tuple(self._listeners),
            tuple(self._targets),
        )


def _convert(kind: type[_Declared], **fields: Any) -> _Declared:
    """Create a struct; raise `BuilderError` for a field of a wrong type."""
    try:
        return msgspec.convert(fields, type=kind)
    except msgspec.ValidationError as exc:
        raise BuilderError(kind.__name__.lower(), str(exc)) from exc
