"""State that the parts of the packet engine share."""

import random
from typing import Final, Protocol

from siskinproxy.balancer.counters import Counters
from siskinproxy.balancer.departed_flows import DepartedFlows
from siskinproxy.balancer.invariants import InvariantMonitor
from siskinproxy.balancer.routes import Route, RouteTable
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member
from siskinproxy.balancer.zone_contact import ZoneContact
from siskinproxy.callers.flow_table import Binding, FlowState, RotatingTable
from siskinproxy.instances.placement import ShardKey, ViewHistory
from siskinproxy.instances.tunnel import (
    NO_TARGET,
    DatagramKind,
    TunnelHeader,
    encode,
    member_id,
)

__all__ = (
    'REQUEST_IDLE_TIMEOUT_S',
    'SUSPECT_TIMEOUT_S',
    'EngineState',
    'Outbox',
)

#: A home that has not acknowledged a SYN for this time is suspected to have
#: failed. It is longer than the pauses of a loaded Python process and leaves a
#: request with a deadline of 1 s enough time for a second attempt.
SUSPECT_TIMEOUT_S: Final = 0.2

#: Homes remove the entry of a request flow without a segment after one to two
#: times this time.
REQUEST_IDLE_TIMEOUT_S: Final = 120.0


class Outbox(Protocol):
    """Where the engine sends datagrams."""

    def to_target(self, address: tuple[str, int], segment: bytes) -> None:
        """Send a segment to a target."""

    def to_caller(self, segment: bytes) -> None:
        """Send a segment to a caller by way of the fabric."""

    def to_instance(self, member: Member, datagram: bytes) -> None:
        """Send a tunnel datagram to another instance."""


class EngineState:
    """Tables and views of one packet process.

    Parameters
    ----------
    identity : Member
        The instance itself.
    outbox : Outbox
        Where datagrams are sent.
    limits : Limits
        Bounds and times from the settings.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    generation : int
        Configuration generation in force; 0 before the first.
    zones : tuple of str
        All zones of the configuration, also those out of service.
    peers : dict of int to Member
        The other members by `member_id`.
    last_heard_s : dict of int to float
        Time of the last datagram of each peer, by `member_id`.
    other_acceptors : dict of bytes to tuple of (float, Route)
        Flows that a second target has accepted, beside the one of their entry:
        time in seconds, and the route to that target.
    suspects : set of str
        Names of homes that did not acknowledge SYNs; they are passed over.
    views : ViewHistory
        Members and shards from which the homes follow.
    streams, requests : RotatingTable
        Entries of flows of which this instance is a home, for listeners in
        mode ``stream`` and ``request``.
    departed_flows : DepartedFlows
        Requests that were open when this instance stopped being a home.
    learned : RotatingTable
        Entries of other flows, learned from segments of their targets.
    """

    __slots__ = (
        'counters',
        'departed_flows',
        'generation',
        'identity',
        'last_heard_s',
        'learned',
        'limits',
        'monitor',
        'other_acceptors',
        'outbox',
        'own_id',
        'peers',
        'zone_contact',
        'requests',
        'rng',
        'routes',
        'streams',
        'suspects',
        'views',
        'zones',
    )

    def __init__(
        self,
        identity: Member,
        outbox: Outbox,
        limits: Limits,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.own_id = member_id(identity.name)
        self.outbox = outbox
        self.limits = limits
        self.rng = rng
        self.counters = Counters()
        self.generation = 0
        self.routes = RouteTable()
        self.zones: tuple[str, ...] = ()
        self.peers: dict[int, Member] = {}
        self.last_heard_s: dict[int, float] = {}
        self.suspects: set[str] = set()
        self.other_acceptors: dict[bytes, tuple[float, Route]] = {}
        self.views = ViewHistory(limits.view_retention_s)
        self.zone_contact = ZoneContact(identity.zone, limits.sight_s)
        self.streams = RotatingTable(limits.flow_idle_s)
        self.requests = RotatingTable(REQUEST_IDLE_TIMEOUT_S)
        self.departed_flows = DepartedFlows(identity.name, self.requests)
        self.monitor = InvariantMonitor(
            self.counters,
            (self.streams, self.requests),
        )
        # The table keeps an entry for one to two lifetimes after the last
        # segment of its target.
        self.learned = RotatingTable(
            limits.learned_s / 2,
            limits.learned_flows,
        )

    def home_binding(self, key: bytes) -> Binding | None:
        """Return the binding of a flow of which this instance is a home.

        The lifetime of the entry starts anew.
        """
        return self.requests.renew(key) or self.streams.renew(key)

    def binding(self, key: bytes) -> Binding | None:
        """Return the binding of a flow from any table."""
        return self.home_binding(key) or self.learned.get(key)

    def other_acceptor(self, key: bytes) -> Route | None:
        """Return the route to a second target that accepted a flow, if any."""
        _, route = self.other_acceptors.get(key, (0, None))
        return route if route is not None and route.is_allowed else None

    def table_of(self, route: Route) -> RotatingTable:
        """Return the home table for flows of a route's listener."""
        if route.listener.listener.mode == 'request':
            return self.requests
        return self.streams

    def store(self, key: bytes, route: Route, state: FlowState) -> None:
        """Store or replace the home entry of a flow."""
        self.table_of(route).put(key, route.bindings[state])

    def shard(self, service: str, key: bytes) -> ShardKey:
        """Return the shard of a flow under the current view."""
        return self.views.current.shard_of(service, key)

    def homes(self, service: str, key: bytes) -> tuple[Member, ...]:
        """Return the homes of a flow that are not suspected."""
        return self.shard_homes(self.shard(service, key))

    def shard_homes(self, shard: ShardKey) -> tuple[Member, ...]:
        """Return the homes of a shard that are not suspected.

        If all are suspected, a fault of the network is more likely than the
        failure of all of them, so all are returned.
        """
        homes = self.views.current.homes(shard)
        if not self.suspects:
            return homes
        return (
            tuple(home for home in homes if home.name not in self.suspects)
            or homes
        )

    def was_heard(self, member: Member, since_s: float) -> bool:
        """Tell whether a datagram of a member arrived at or after a time."""
        return self.last_heard_s.get(member_id(member.name), -1) >= since_s

    def is_self(self, member: Member) -> bool:
        """Tell whether a member is this instance."""
        return member.name == self.identity.name

    def send(
        self,
        member: Member,
        kind: DatagramKind,
        body: bytes = b'',
        target: bytes = NO_TARGET,
        hop_count: int = 0,
        flags: int = 0,
    ) -> None:
        """Send a tunnel datagram to another instance.

        Parameters
        ----------
        member : Member
            The receiver.
        kind : DatagramKind
            Purpose of the datagram.
        body : bytes
            Segment, entries or report, as the kind requires.
        target : bytes
            Address and port of the flow's target, 6 bytes.
        hop_count : int
            Number of homes that the datagram has visited.
        flags : int
            Flags of the kind.
        """
        header = TunnelHeader(
            kind,
            flags,
            hop_count,
            self.generation,
            self.own_id,
            target,
        )
        self.counters.tunnel_datagrams += 1
        self.outbox.to_instance(member, encode(header, body))
