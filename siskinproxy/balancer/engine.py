"""Packet engine: decides where each datagram of the packet process goes.

The engine opens no sockets and reads no clock: the caller passes in datagrams
and the time, and an `Outbox` sends the results.

The flows of a service are divided into shards. Up to three instances, the
homes of a shard, hold the entries of its flows, which map a flow to its
target. The first home is the owner, which selects the targets of new flows.
The other homes are replicas. Instances that are no homes of a flow learn its
target from the target's segments, or relay the flow's segments to a home.
"""

import random
from typing import Final

from siskinproxy.balancer.counters import Counters
from siskinproxy.balancer.engine_state import EngineState, Outbox
from siskinproxy.balancer.flow_copy import FlowCopier
from siskinproxy.balancer.flow_tracking import FlowTracker
from siskinproxy.balancer.opening import FlowOpener
from siskinproxy.balancer.routes import Route
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.callers.flow_table import Binding, FlowState
from siskinproxy.errors import (
    InvariantViolation,
    SiskinproxyError,
    TunnelFormatError,
)
from siskinproxy.fabric.segments import (
    FIN,
    FLAGS_OFFSET,
    FLOW_KEY,
    RST,
    SYN,
    build_abort,
    is_ipv4_tcp,
    translate_destination,
    translate_source,
    unpack_endpoint,
)
from siskinproxy.instances.placement import View
from siskinproxy.instances.tunnel import (
    DatagramKind,
    TunnelHeader,
    decode,
    member_id,
)
from siskinproxy.operators.configuration import Configuration

__all__ = ('PacketEngine',)

#: TCP flags of the segments that can change the state of a flow.
_TRANSITION_FLAGS: Final = SYN | FIN | RST

#: Interval of `DatagramKind.HELLO` datagrams to each zone.
_HELLO_PERIOD_S: Final = 1.0

#: Interval at which the set of reachable zones is updated.
_REACHABILITY_PERIOD_S: Final = 0.1

#: Largest number of homes, under all views, to which a segment of an unknown
#: flow is relayed.
MAX_RELAY_HOPS: Final = 8


class PacketEngine:
    """Forwards segments between callers, targets and other instances.

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
    state : EngineState
        Tables and views that the parts of the engine share.
    opener : FlowOpener
        Selects the targets of new flows.
    tracker : FlowTracker
        Follows the TCP state of the flows.
    copier : FlowCopier
        Copies flow entries to new homes.
    """

    def __init__(
        self,
        identity: Member,
        outbox: Outbox,
        limits: Limits,
        rng: random.Random,
    ) -> None:
        self.state = EngineState(identity, outbox, limits, rng)
        self.opener = self._create_opener()
        self.tracker = FlowTracker(self.state, self.opener)
        self.copier = FlowCopier(self.state, self.opener)
        self._hellos_sent_s = 0.0
        self._reachability_updated_s = 0.0
        self._configuration: Configuration | None = None
        self._handlers = {
            DatagramKind.OPEN: self.opener.on_open,
            DatagramKind.REPLICATE: self.opener.on_replicate,
            DatagramKind.RELAY: self._on_relay,
            DatagramKind.ANSWER: self._on_answer,
            DatagramKind.STATE_CHANGE: self.tracker.on_notice,
            DatagramKind.COPY: self._on_copy,
            DatagramKind.HELLO: self._on_hello,
            DatagramKind.LOOKUP: self.opener.on_lookup,
            DatagramKind.LOOKUP_MISS: self.opener.on_fresh,
            DatagramKind.WARM_UP: self._on_warm_up,
        }

    def counters(self) -> Counters:
        """Return the counters of this process."""
        return self.state.counters

    def apply_snapshot(self, snapshot: RoutingSnapshot, now_s: float) -> None:
        """Apply configuration, members and zone contacts.

        Parameters
        ----------
        snapshot : RoutingSnapshot
            State from the control process. Its configuration is applied only
            if its generation is higher than the one in force.
        now_s : float
            Time in seconds.
        """
        state = self.state
        configuration_changed = snapshot.generation > state.generation
        if configuration_changed:
            state.monitor.apply(snapshot.generation, snapshot.configuration)
            state.generation = snapshot.generation
            state.routes.apply(snapshot.configuration)
            state.zones = tuple(
                zone.name for zone in snapshot.configuration.zones
            )
            state.zone_contact.note_generation_applied()
            self._configuration = snapshot.configuration
        state.peers = {
            member_id(member.name): member
            for member in snapshot.members
            if not state.is_self(member)
        }
        self.record_zone_contacts(snapshot.zone_sight_s, now_s)
        self._change_view(snapshot.members, configuration_changed, now_s)

    def record_zone_contacts(
        self, zone_sight_s: dict[str, float], now_s: float
    ) -> None:
        """Record when the control process last heard from each zone.

        Parameters
        ----------
        zone_sight_s : dict of str to float
            Seconds since the last contact, by zone.
        now_s : float
            Time in seconds.
        """
        for zone, age_s in zone_sight_s.items():
            self.state.zone_contact.note_contact(zone, now_s - age_s)
        self._update_reachability(now_s, force=True)

    def on_segment(self, segment: bytes, now_s: float) -> None:
        """Handle an IPv4 packet from the fabric.

        Anything else than an IPv4 packet with a TCP segment is dropped and
        counted as malformed.
        """
        state = self.state
        if not is_ipv4_tcp(segment):
            state.counters.malformed += 1
            return
        if segment[FLAGS_OFFSET] & _TRANSITION_FLAGS:
            self._on_transition(segment, now_s)
            return
        key = segment[FLOW_KEY]
        binding = state.streams.young.get(key) or state.learned.young.get(key)
        if binding is None:
            route = state.routes.by_target.get(segment[12:16] + segment[20:22])
            destination = segment[16:20] + segment[22:24]
            if route and destination not in state.routes.listeners:
                self._forward_answer(route, segment, now_s)
                return
            binding = state.home_binding(key) or state.learned.old.get(key)
        if binding is None:
            self._relay_unknown(segment, key, 0)
            return
        self._deliver(binding, segment)

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Handle a datagram from another instance.

        A datagram that cannot be decoded or handled is dropped and counted
        as malformed.
        """
        try:
            header, body = decode(datagram)
        except TunnelFormatError:
            self.state.counters.malformed += 1
            return
        self._record_sender(header, now_s)
        handler = self._handlers.get(header.kind)
        needs_segment = header.kind not in {
            DatagramKind.COPY,
            DatagramKind.HELLO,
            DatagramKind.WARM_UP,
        }
        if handler is None or (needs_segment and not is_ipv4_tcp(body)):
            self.state.counters.malformed += 1
            return
        try:
            handler(header, body, now_s)
        except SiskinproxyError:
            self.state.counters.malformed += 1

    def on_timer(self, now_s: float) -> None:
        """Do the periodic work of all parts; called every 10 ms.

        Expires entries and views, decides about queued flows, copies entries
        to new homes, updates the reachable zones and sends HELLOs.
        """
        state = self.state
        state.learned.rotate(now_s)
        for table in (state.requests, state.streams):
            self.tracker.release_expired(table.rotate(now_s), now_s)
        self.tracker.expire(now_s)
        state.views.expire(now_s)
        self.opener.poll(now_s)
        self.copier.step(now_s)
        self._update_reachability(now_s, force=False)
        self._send_hellos(now_s)

    def _create_opener(self) -> FlowOpener:
        return FlowOpener(self.state)

    # Segments from callers

    def _on_transition(self, segment: bytes, now_s: float) -> None:
        """Handle a segment from the fabric with SYN, FIN or RST set."""
        state = self.state
        flags = segment[FLAGS_OFFSET]
        endpoint = segment[16:20] + segment[22:24]
        listener = state.routes.listeners.get(endpoint)
        source = segment[12:16] + segment[20:22]
        route = state.routes.by_target.get(source)
        if route is not None and listener is None:
            self._on_answer_transition(route, segment, now_s)
            return
        if flags & SYN and listener is not None:
            self.opener.on_syn(segment, listener, now_s)
            return
        key = segment[FLOW_KEY]
        binding = state.binding(key)
        if binding is not None:
            self._deliver(binding, segment)
            service = binding.route.listener.service
            self.tracker.publish(service, key, segment, now_s)
        elif listener is None:
            state.counters.unknown_service += 1
        else:
            self._relay_unknown(segment, key, 0)
            self.tracker.publish(listener.service, key, segment, now_s)

    def _deliver(self, binding: Binding, segment: bytes) -> None:
        """Send a segment of a known flow to its target."""
        state = self.state
        route = binding.route
        if segment[16:20] + segment[22:24] != route.listener.endpoint:
            # The entry of the flow belongs to another listener.
            state.monitor.report(
                InvariantViolation(
                    'service_isolation',
                    f'flow={segment[FLOW_KEY].hex()}'
                    f' target={route.address[0]}:{route.address[1]}'
                    f' listener={unpack_endpoint(route.listener.endpoint)}',
                ),
            )
            return
        if not route.is_allowed:
            self._on_revoked(binding, segment)
            return
        if not route.is_reachable:
            state.counters.unreachable += 1
            return
        state.counters.forwarded += 1
        state.monitor.check_target(route.address, segment)
        state.outbox.to_target(
            route.address,
            translate_destination(segment, route.to_target),
        )

    def _on_revoked(self, binding: Binding, segment: bytes) -> None:
        """Handle a segment whose target may get no more segments.

        The target was removed, or its zone was taken out of service. Callers
        of established flows get an RST.
        """
        state = self.state
        if binding.state is FlowState.OPENING:
            # The owner may have selected another target since then.
            key = segment[FLOW_KEY]
            state.table_of(binding.route).pop(key)
            self._relay_unknown(segment, key, 0)
            return
        state.counters.revoked += 1
        if not segment[FLAGS_OFFSET] & RST:
            state.outbox.to_caller(build_abort(segment))

    def _relay_unknown(self, segment: bytes, key: bytes, hops: int) -> None:
        """Relay a segment without a flow entry here to the next home.

        Parameters
        ----------
        segment : bytes
            Segment from a caller.
        key : bytes
            Flow key.
        hops : int
            Number of homes that the segment has been relayed to so far.
        """
        state = self.state
        listener = state.routes.listeners.get(segment[16:20] + segment[22:24])
        if listener is None:
            state.counters.unknown_service += 1
            return
        following = self._next_home(listener.service, key, hops)
        if following is None:
            state.counters.unknown_flow += 1
            return
        state.counters.relayed += 1
        state.send(following, DatagramKind.RELAY, segment, hop_count=hops)

    def _next_home(self, service: str, key: bytes, hops: int) -> Member | None:
        """Return the home to relay to, or None if enough homes were asked.

        The first relay prefers a home in the zone of this instance. A home
        without the entry relays to the home listed after itself.
        """
        homes = self._homes_of_all_views(service, key)
        names = [home.name for home in homes]
        own_name = self.state.identity.name
        if own_name in names:
            start = names.index(own_name) + 1
            others = homes[start:] + homes[: start - 1]
        else:
            others = homes
        if hops >= min(len(homes), MAX_RELAY_HOPS) or not others:
            return None
        if hops == 0:
            return _nearest(others, self.state.identity.zone)
        return others[0]

    def _homes_of_all_views(self, service: str, key: bytes) -> list[Member]:
        """Return the homes under current and earlier views, newest first.

        Homes of earlier views count if they are still members and their zone
        is in service.
        """
        state = self.state
        current = state.homes(service, key)
        homes = {home.name: home for home in current}
        for view in state.views.earlier:
            for home in view.homes(view.shard_of(service, key)):
                peer = state.peers.get(member_id(home.name))
                if peer and peer.zone not in state.routes.zones_out:
                    homes.setdefault(home.name, peer)
        return list(homes.values())

    def _on_relay(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        state = self.state
        key = segment[FLOW_KEY]
        binding = state.binding(key)
        if binding is None:
            self._relay_unknown(segment, key, header.hop_count + 1)
            return
        self._deliver(binding, segment)
        sender = state.peers.get(header.sender)
        if header.hop_count and sender is not None:
            # The sender was relayed this segment, so it is a home of the flow
            # and lacks the entry.
            self.copier.send_entry(sender, key, binding)

    # Segments from targets

    def _forward_answer(
        self, route: Route, segment: bytes, now_s: float
    ) -> bool:
        """Forward a target's segment to its caller and learn the flow.

        Parameters
        ----------
        route : Route
            Route whose target sent the segment.
        segment : bytes
            The segment.
        now_s : float
            Time in seconds.

        Returns
        -------
        bool
            False if an entry names another target for the flow. The segment
            is dropped then, or sent to the owner to be checked.
        """
        state = self.state
        key = route.answer_key(segment)
        home = state.streams.young.get(key) or state.home_binding(key)
        if home is not None and not home.route.is_allowed:
            # The entry was made before the zone was taken out of service.
            state.table_of(home.route).pop(key)
            home = None
        if home is not None:
            if home.route is not route:
                state.counters.crossed += 1
                return False
        else:
            learned = state.learned.get(key)
            if learned is not None and learned.route is not route:
                # Only the owner knows which of the two targets is right.
                state.learned.pop(key)
                self._send_to_owner(route, key, segment, now_s)
                return False
            state.learned.put(key, route.bindings[FlowState.ESTABLISHED])
        self._send_to_caller(route, key, segment)
        return True

    def _send_to_caller(self, route: Route, key: bytes, segment: bytes) -> None:
        state = self.state
        state.counters.answered += 1
        state.monitor.check_answer(key, segment)
        state.outbox.to_caller(
            translate_source(segment, route.to_caller),
        )

    def _on_answer_transition(
        self, route: Route, segment: bytes, now_s: float
    ) -> None:
        key = route.answer_key(segment)
        if segment[FLAGS_OFFSET] & RST:
            self._send_to_owner(route, key, segment, now_s)
            return
        if self._forward_answer(route, segment, now_s):
            service = route.listener.service
            self.tracker.publish(service, key, segment, now_s)

    def _send_to_owner(
        self, route: Route, key: bytes, segment: bytes, now_s: float
    ) -> None:
        """Have the owner check a segment from a target."""
        homes = self.state.homes(route.listener.service, key)
        if not homes or self.state.is_self(homes[0]):
            self._check_answer(route, key, segment, now_s)
            return
        self.state.send(homes[0], DatagramKind.ANSWER, segment, route.endpoint)

    def _on_answer(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        source = segment[12:16] + segment[20:22]
        route = self.state.routes.by_target.get(source)
        if route is None:
            self.state.counters.unknown_service += 1
            return
        key = route.answer_key(segment)
        self._check_answer(route, key, segment, now_s)

    def _check_answer(
        self, route: Route, key: bytes, segment: bytes, now_s: float
    ) -> None:
        """Check an RST or a segment from an unexpected target, as owner."""
        binding = self.state.home_binding(key)
        if binding is not None and binding.route is not route:
            self.state.counters.crossed += 1
            return
        if not segment[FLAGS_OFFSET] & RST:
            self._send_to_caller(route, key, segment)
            return
        if self.opener.on_reset(key, route, segment, now_s):
            return
        if self.opener.redirect(key, route, now_s):
            self.state.counters.crossed += 1
            return
        self._send_to_caller(route, key, segment)
        self.tracker.publish(route.listener.service, key, segment, now_s)

    # Members and zones

    def _change_view(
        self,
        members: tuple[Member, ...],
        configuration_changed: bool,
        now_s: float,
    ) -> None:
        """Replace the view after a change of members or configuration.

        Plans the copying of entries to new homes, and takes over or releases
        shards.
        """
        state = self.state
        if self._configuration is None:
            return
        earlier = None
        if state.views.has_views:
            earlier = state.views.current
        view = View(members, self._configuration, earlier)
        view_changed = state.views.push(view, now_s)
        if view_changed:
            # The view is the latest result of the membership protocol, which
            # supersedes earlier suspicions.
            state.suspects.clear()
        if view_changed and earlier is not None:
            self.copier.plan(earlier, view)
            state.departed_flows.note_view(earlier, view, now_s)
        if view_changed or configuration_changed:
            self.opener.apply(now_s)

    def _record_sender(self, header: TunnelHeader, now_s: float) -> None:
        """Record that a peer is alive, and its generation."""
        state = self.state
        contact = state.zone_contact
        contact.note_generation(state.generation, header.generation, now_s)
        member = state.peers.get(header.sender)
        if member is not None:
            contact.note_contact(member.zone, now_s)
            state.last_heard_s[header.sender] = now_s
            self.opener.note_heard(member, now_s)

    def _update_reachability(self, now_s: float, *, force: bool) -> None:
        """Update which routes the zone reachability rule allows."""
        if (
            now_s - self._reachability_updated_s < _REACHABILITY_PERIOD_S
            and not force
        ):
            return
        self._reachability_updated_s = now_s
        state = self.state
        reachable = frozenset(
            zone
            for zone in state.zones
            if state.zone_contact.is_reachable(zone, now_s)
        )
        for route in state.routes.by_target.values():
            route.is_reachable = route.target.zone in reachable
        self.opener.note_reachability(now_s)

    def _send_hellos(self, now_s: float) -> None:
        """Send a HELLO to one random member of each zone in service.

        Zones stay reachable for each other without other traffic.
        """
        state = self.state
        if now_s - self._hellos_sent_s < _HELLO_PERIOD_S:
            return
        self._hellos_sent_s = now_s
        by_zone: dict[str, list[Member]] = {}
        for peer in state.peers.values():
            by_zone.setdefault(peer.zone, []).append(peer)
        for zone, members in by_zone.items():
            if zone not in state.routes.zones_out:
                state.send(state.rng.choice(members), DatagramKind.HELLO)

    def _on_hello(
        self, header: TunnelHeader, body: bytes, now_s: float
    ) -> None:
        """Do nothing: `on_tunnel` has already recorded the sender."""

    def _on_warm_up(
        self, header: TunnelHeader, body: bytes, now_s: float
    ) -> None:
        admissions = self.opener.admissions
        self.opener.warmups.on_report(body, admissions, now_s)

    def _on_copy(self, header: TunnelHeader, body: bytes, now_s: float) -> None:
        self.copier.on_copy(body, now_s)


def _nearest(homes: list[Member], zone: str) -> Member:
    """Return the first home in a zone, or the first home if there is none."""
    for home in homes:
        if home.zone == zone:
            return home
    return homes[0]
