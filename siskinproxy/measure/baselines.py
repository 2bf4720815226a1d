"""Routing policies that the packet engine is compared with.

They serve as baselines for measurements only and have no limits, retries or
replication.
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
    Kind,
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
    """Rendezvous hashing of each packet over the targets in service.

    Parameters
    ----------
    identity : Member
        The instance itself.
    outbox : WorldOutbox
        Where datagrams are sent.
    limits : Limits
        Not used; the parameter makes engines interchangeable.
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
        """Apply configuration and members."""
        self._routes.apply(snapshot.configuration)
        self.members = tuple(
            member for member in snapshot.members if member.status == 'alive'
        )

    def note_zone_sight(
        self, zone_sight_s: dict[str, float], now_s: float
    ) -> None:
        """Ignore zone contacts."""

    def on_timer(self, now_s: float) -> None:
        """Do nothing; there is no timed work."""

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Ignore tunnel datagrams; this policy sends none."""

    def on_segment(self, segment: bytes, now_s: float) -> None:
        """Send a segment on."""
        source = segment[12:16] + segment[20:22]
        answering = self._routes.by_target.get(source)
        if answering is not None:
            self._outbox.to_caller(
                rewrite_source(segment, answering.listener.endpoint),
            )
            return
        self.forward(segment)

    def forward(self, segment: bytes) -> None:
        """Send a caller's segment to its target."""
        self._send_on(segment)

    def _send_on(self, segment: bytes) -> None:
        route = self.select(segment[FLOW_KEY], segment)
        if route is not None:
            self._outbox.to_target(
                route.address,
                rewrite_destination(segment, route.endpoint),
            )

    def select(self, key: bytes, segment: bytes) -> Route | None:
        """Return the route of a flow by hash."""
        candidates = self.candidates(segment)
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda route: xxhash.xxh3_64_intdigest(key + route.endpoint),
        )

    def candidates(self, segment: bytes) -> list[Route]:
        """Return the routes of a segment's listener that take new flows."""
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
    """Round robin for new flows, remembered by the instance that saw the SYN.

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
        self._table: dict[bytes, Route] = {}
        self._turns: dict[bytes, int] = {}

    def select(self, key: bytes, segment: bytes) -> Route | None:
        """Return the remembered route, or choose one."""
        known = self._table.get(key)
        is_opening = segment[FLAGS_OFFSET] & (SYN | ACK) == SYN
        if known is not None and (known.is_allowed or not is_opening):
            return known if known.is_allowed else None
        if not is_opening:
            return super().select(key, segment)
        route = self._next(segment)
        if route is not None:
            self._table[key] = route
        return route

    def _next(self, segment: bytes) -> Route | None:
        candidates = self.candidates(segment)
        if not candidates:
            return None
        listener = segment[16:20] + segment[22:24]
        start = self._rng.randrange(len(candidates))
        turn = self._turns.get(listener, start)
        self._turns[listener] = turn + 1
        return candidates[turn % len(candidates)]


class SingleHomeEngine(FlowTableEngine):
    """One home per flow by rendezvous hashing; all packets pass it.

    Parameters are those of `ConsistentHashEngine`.
    """

    def forward(self, segment: bytes) -> None:
        """Send a caller's segment to the home of its flow."""
        key = segment[FLOW_KEY]
        home = max(
            self.members,
            key=lambda member: xxhash.xxh3_64_intdigest(
                key + member.name.encode(),
            ),
            default=self.identity,
        )
        if home.name == self.identity.name:
            self._send_on(segment)
            return
        header = TunnelHeader(
            Kind.RELAY,
            0,
            0,
            0,
            member_id(self.identity.name),
            NO_TARGET,
        )
        self._outbox.to_instance(home, encode(header, segment))

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Send on a segment that another instance took from the fabric."""
        _, segment = decode(datagram)
        self._send_on(segment)
