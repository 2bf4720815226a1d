"""Routes between listeners and targets under the configuration in force."""

import socket
from typing import Final

from siskinproxy.callers.flow_table import Binding, FlowState
from siskinproxy.fabric.segments import (
    Endpoint,
    Translation,
    pack_endpoint,
)
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    RetiredTarget,
    Service,
    Target,
)

__all__ = ('ListenerState', 'Route', 'RouteTable')

_PORT_BYTES: Final = 2


class ListenerState:
    """Listener with its packed endpoint and its service."""

    __slots__ = ('address', 'endpoint', 'listener', 'port', 'service')

    def __init__(self, service: Service, listener: Listener) -> None:
        self.service = service.name
        self.listener = listener
        self.address = socket.inet_aton(listener.address)
        self.port = listener.port.to_bytes(_PORT_BYTES, 'big')
        self.endpoint = self.address + self.port


class Route:
    """Path of the flows from one listener to one target.

    Parameters
    ----------
    state : ListenerState
        The listener.
    target : Target
        The target.

    Attributes
    ----------
    endpoint : bytes
        Packed address and port of the target for this listener.
    address : tuple
        Address and port of the target in the form that sockets take.
    is_allowed : bool
        False once the target was removed, belongs to another service, or its
        zone is out of service.
    is_reachable : bool
        False while the zone reachability rule forbids the zone.
    bindings : tuple of Binding
        One binding for each `FlowState`, shared by all flows of the route.
    to_target, to_caller : Translation
        Address translation in both directions.
    """

    __slots__ = (
        'address',
        'bindings',
        'endpoint',
        'is_allowed',
        'is_reachable',
        'listener',
        'target',
        'to_caller',
        'to_target',
    )

    def __init__(self, state: ListenerState, target: Target) -> None:
        self.listener = state
        self.target = target
        self.address = Endpoint(target.address, state.listener.target_port)
        self.endpoint = pack_endpoint(self.address)
        self.is_allowed = True
        self.is_reachable = True
        self.to_target = Translation(state.endpoint, self.endpoint)
        self.to_caller = Translation(self.endpoint, state.endpoint)
        self.bindings = tuple(Binding(self, phase) for phase in FlowState)

    def answer_key(self, segment: bytes) -> bytes:
        """Return the flow key of a segment that came from the target."""
        return (
            segment[16:20]
            + self.listener.address
            + segment[22:24]
            + self.listener.port
        )


class RouteTable:
    """All routes, looked up by listener endpoint or target endpoint.

    Attributes
    ----------
    listeners : dict
        Listener state by packed listener endpoint.
    by_target : dict
        Route by packed target endpoint; each target port serves only one
        listener.
    services : dict
        Service by name.
    zones_out : frozenset of str
        Names of the zones that are out of service.
    """

    __slots__ = ('by_target', 'listeners', 'services', 'zones_out')

    def __init__(self) -> None:
        self.listeners: dict[bytes, ListenerState] = {}
        self.by_target: dict[bytes, Route] = {}
        self.services: dict[str, Service] = {}
        self.zones_out: frozenset[str] = frozenset()

    def apply(self, cfg: Configuration) -> list[Route]:
        """Replace the configuration.

        Routes of unchanged pairs of listener and target are kept, since flows
        refer to them.

        Parameters
        ----------
        cfg : Configuration
            Configuration of a higher generation.

        Returns
        -------
        list of Route
            Routes that exist no longer after this change.
        """
        self.zones_out = frozenset(
            zone.name for zone in cfg.zones if not zone.in_service
        )
        earlier = self.by_target
        self.services = {service.name: service for service in cfg.services}
        self.listeners = {}
        self.by_target = {}
        for service in cfg.services:
            self._add_service(service, earlier)
        for retired in cfg.retired:
            self._keep_retired(retired, earlier)
        current = {id(route) for route in self.by_target.values()}
        for route in self.by_target.values():
            route.is_allowed = route.target.zone not in self.zones_out
        revoked = [
            former for former in earlier.values() if id(former) not in current
        ]
        for gone in revoked:
            gone.is_allowed = False
        return revoked

    def resolve(self, target: bytes, listener: bytes) -> Route | None:
        """Return the route between two packed endpoints, if there is one."""
        route = self.by_target.get(target)
        if route is None or route.listener.endpoint != listener:
            return None
        return route

    def _add_service(
        self, service: Service, earlier: dict[bytes, Route]
    ) -> None:
        for listener in service.listeners:
            state = ListenerState(service, listener)
            self.listeners[state.endpoint] = state
            for target in service.targets:
                self._add_route(state, target, earlier)

    def _keep_retired(
        self, retired: RetiredTarget, earlier: dict[bytes, Route]
    ) -> None:
        """Keep the routes of a removed target for its established flows."""
        if retired.released_unix_s:
            # The flows of a released entry were revoked; the entry only
            # reserves the addresses. A later configuration may give them to
            # another service while some instances still use this one.
            return
        for port in retired.ports:
            packed = pack_endpoint(Endpoint(retired.target.address, port))
            if packed in self.by_target:
                continue
            known = earlier.get(packed)
            if known and known.listener.service == retired.service:
                self.by_target[packed] = known
                continue
            state = self._listener_of(retired.service, port)
            if state is not None:
                self._add_route(state, retired.target, earlier)

    def _listener_of(self, service: str, port: int) -> ListenerState | None:
        for state in self.listeners.values():
            if state.service == service and state.listener.target_port == port:
                return state
        return None

    def _add_route(
        self, state: ListenerState, target: Target, earlier: dict[bytes, Route]
    ) -> None:
        endpoint = Endpoint(target.address, state.listener.target_port)
        packed = pack_endpoint(endpoint)
        route = earlier.get(packed)
        if route is None or not _is_reusable(route, state):
            route = Route(state, target)
        route.listener = state
        route.target = target
        self.by_target[packed] = route


def _is_reusable(route: Route, state: ListenerState) -> bool:
    # The flows of a zone that is taken out of service are abandoned. The zone
    # returns with new routes, so that the entries of these flows stay invalid.
    return (
        route.is_allowed
        and route.listener.endpoint == state.endpoint
        and route.listener.service == state.service
    )
