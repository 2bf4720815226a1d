"""Baseline packet engines that simulations compare with `PacketEngine`.

They serve measurements only and have no admission limits, retries or
replication of flow entries.
"""

import random

import xxhash

from siskinproxy.balancer.routes import Route, RouteTable
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.fabric.segments import (
    ACK,
    FLAGS_OFFSET,
    FLOW_KEY,
    SYN,
    Endpoint,
    pack_endpoint,
    rewrite_destination,
    rewrite_source,
)
from siskinproxy.instances.tunnel import (
    NO_TARGET,
    DatagramKind,
    TunnelHeader,
    decode,
    encode,
    member_id,
)
from siskinproxy.measure.world import WorldOutbox
from siskinproxy.operators.configuration import Target

__all__ = (
    'ConsistentHashEngine',
    'FlowTableEngine',
    'SingleHomeEngine',
)


class ConsistentHashEngine:
    """Stateless engine: rendezvous hashing of each packet over the targets.

    Parameters
    ----------
    identity : Member
        Name, zone and addresses of this instance.
    outbox : WorldOutbox
        Sends datagrams to targets, callers and other instances.
    limits : Limits
        Not used; present because all engines have the same signature.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        identity: Member,
        outbox: WorldOutbox,
        limits: Limits,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.members: tuple[Member, ...] = ()
        self._outbox = outbox
        self._rng = rng
        self._routes = RouteTable()

    def apply_snapshot(self, snapshot: RoutingSnapshot, now_s: float) -> None:
        """Apply the configuration and the live members of a snapshot."""
        self._routes.apply(snapshot.configuration)
        self.members = tuple(
            member for member in snapshot.members if member.status == 'alive'
        )

    def record_zone_contacts(
        self, zone_sight_s: dict[str, float], now_s: float
    ) -> None:
        """Do nothing; this engine does not track reachable zones."""

    def on_timer(self, now_s: float) -> None:
        """Do nothing; there is no timed work."""

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Do nothing; instances of this engine send no tunnel datagrams."""

    def on_segment(self, segment: bytes, now_s: float) -> None:
        """Forward a segment to its caller or to its target."""
        source = segment[12:16] + segment[20:22]
        response_route = self._routes.by_target.get(source)
        if response_route is not None:
            self._outbox.to_caller(
                rewrite_source(segment, response_route.listener.endpoint),
            )
            return
        self.forward(segment)

    def forward(self, segment: bytes) -> None:
        """Forward a caller's segment to its target."""
        self._send_to_target(segment)

    def _send_to_target(self, segment: bytes) -> None:
        route = self.select(segment[FLOW_KEY], segment)
        if route is not None:
            self._outbox.to_target(
                route.address,
                rewrite_destination(segment, route.endpoint),
            )

    def select(self, key: bytes, segment: bytes) -> Route | None:
        """Return the route with the highest hash for a flow, or None.

        None means that the listener has no usable target.
        """
        candidates = self.candidates(segment)
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda route: xxhash.xxh3_64_intdigest(key + route.endpoint),
        )

    def candidates(self, segment: bytes) -> list[Route]:
        """Return the routes of a segment's listener to targets in service.

        Draining targets and those of zones out of service are left out.
        """
        endpoint = segment[16:20] + segment[22:24]
        state = self._routes.listeners.get(endpoint)
        if state is None:
            return []
        service = self._routes.services[state.service]
        routes = [
            self._route(target, state.listener.target_port)
            for target in service.targets
            if not target.draining and target.zone not in self._routes.zones_out
        ]
        return [route for route in routes if route is not None]

    def _route(self, target: Target, port: int) -> Route | None:
        endpoint = pack_endpoint(Endpoint(target.address, port))
        return self._routes.by_target.get(endpoint)


class FlowTableEngine(ConsistentHashEngine):
    """Round robin for new flows, with a flow table at each instance.

    Only the instance that received the SYN stores the route of the flow;
    others select one by rendezvous hashing.

    Parameters are those of `ConsistentHashEngine`.
    """

    def __init__(
        self,
        identity: Member,
        outbox: WorldOutbox,
        limits: Limits,
        rng: random.Random,
    ) -> None:
        super().__init__(identity, outbox, limits, rng)
        self._flow_routes: dict[bytes, Route] = {}
        self._turn_by_listener: dict[bytes, int] = {}

    def select(self, key: bytes, segment: bytes) -> Route | None:
        """Return the stored route, or select one for an unknown flow.

        A route that is no longer allowed gives None, except for a SYN, which
        gets a new route.
        """
        stored_route = self._flow_routes.get(key)
        is_opening = segment[FLAGS_OFFSET] & (SYN | ACK) == SYN
        if stored_route is not None and (
            stored_route.is_allowed or not is_opening
        ):
            return stored_route if stored_route.is_allowed else None
        if not is_opening:
            return super().select(key, segment)
        route = self._select_in_turn(segment)
        if route is not None:
            self._flow_routes[key] = route
        return route

    def _select_in_turn(self, segment: bytes) -> Route | None:
        candidates = self.candidates(segment)
        if not candidates:
            return None
        listener = segment[16:20] + segment[22:24]
        start = self._rng.randrange(len(candidates))
        turn = self._turn_by_listener.get(listener, start)
        self._turn_by_listener[listener] = turn + 1
        return candidates[turn % len(candidates)]


class SingleHomeEngine(FlowTableEngine):
    """One home instance per flow, through which all its packets pass.

    Rendezvous hashing of the flow key selects the home. The flow table is not
    replicated, so flows may break when the home fails.

    Parameters are those of `ConsistentHashEngine`.
    """

    def forward(self, segment: bytes) -> None:
        """Forward a caller's segment to its target by way of the home."""
        key = segment[FLOW_KEY]
        home = max(
            self.members,
            key=lambda member: xxhash.xxh3_64_intdigest(
                key + member.name.encode(),
            ),
            default=self.identity,
        )
        if home.name == self.identity.name:
            self._send_to_target(segment)
            return
        header = TunnelHeader(
            DatagramKind.RELAY,
            0,
            0,
            0,
            member_id(self.identity.name),
            NO_TARGET,
        )
        self._outbox.to_instance(home, encode(header, segment))

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Forward a segment that another instance received from the fabric."""
        _, segment = decode(datagram)
        self._send_to_target(segment)
