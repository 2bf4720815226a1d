"""Packet engine: decides for each datagram, without sockets and clocks."""

import random
from typing import Final

from siskinproxy.balancer.closing import FlowCloser
from siskinproxy.balancer.counters import Counters
from siskinproxy.balancer.engine_state import EngineState, Outbox
from siskinproxy.balancer.flow_copy import FlowCopier
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
)
from siskinproxy.instances.placement import View
from siskinproxy.instances.tunnel import (
    Kind,
    TunnelHeader,
    decode,
    member_id,
)
from siskinproxy.operators.configuration import Configuration

__all__ = ('PacketEngine',)

_TRANSITION_FLAGS: Final = SYN | FIN | RST
_HELLO_PERIOD_S: Final = 1.0
_CONTACT_PERIOD_S: Final = 0.1

#: Homes of all views that a segment of an unknown flow visits at most.
MAX_RELAY_HOPS: Final = 8


class PacketEngine:
    """Decides where the segments of flows go.

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
        self.closer = FlowCloser(self.state, self.opener)
        self.copier = FlowCopier(self.state, self.opener)
        self._hello_s = 0.0
        self._contact_s = 0.0
        self._configuration: Configuration | None = None
        self._handlers = {
            Kind.OPEN: self.opener.on_open,
            Kind.REPLICATE: self.opener.on_replicate,
            Kind.RELAY: self._on_relay,
            Kind.ANSWER: self._on_answer,
            Kind.NOTICE: self.closer.on_notice,
            Kind.COPY: self._on_copy,
            Kind.HELLO: self._on_hello,
            Kind.LOOKUP: self.opener.on_lookup,
            Kind.FRESH: self.opener.on_fresh,
            Kind.WARM_UP: self._on_warm_up,
        }

    def counters(self) -> Counters:
        """Return the counters of this process."""
        return self.state.counters

    def apply_snapshot(self, snapshot: RoutingSnapshot, now_s: float) -> None:
        """Apply configuration, members and zone contacts.

        Parameters
        ----------
        snapshot : RoutingSnapshot
            State from the control process. An older generation than the
            one in force changes the members only.
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
            state.zone_contact.note_applied()
            self._configuration = snapshot.configuration
        state.peers = {
            member_id(member.name): member
            for member in snapshot.members
            if not state.is_self(member)
        }
        self.note_zone_sight(snapshot.zone_sight_s, now_s)
        self._change_view(snapshot.members, configuration_changed, now_s)

    def note_zone_sight(
        self, zone_sight_s: dict[str, float], now_s: float
    ) -> None:
        """Record when the control process last heard from each zone."""
        for zone, age_s in zone_sight_s.items():
            self.state.zone_contact.note_contact(zone, now_s - age_s)
        self._update_reachability(now_s, force=True)

    def on_segment(self, segment: bytes, now_s: float) -> None:
        """Handle a datagram from the fabric."""
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
                self._answer(route, segment, now_s)
                return
            binding = state.home_binding(key) or state.learned.old.get(key)
        if binding is None:
            self._relay_unknown(segment, key, 0)
            return
        self._deliver(binding, segment)

    def on_tunnel(self, datagram: bytes, now_s: float) -> None:
        """Handle a datagram from another instance."""
        try:
            header, body = decode(datagram)
        except TunnelFormatError:
            self.state.counters.malformed += 1
            return
        self._note_sender(header, now_s)
        handler = self._handlers.get(header.kind)
        needs_segment = header.kind not in {Kind.COPY, Kind.HELLO, Kind.WARM_UP}
        if handler is None or (needs_segment and not is_ipv4_tcp(body)):
            self.state.counters.malformed += 1
            return
        try:
            handler(header, body, now_s)
        except SiskinproxyError:
            self.state.counters.malformed += 1

    def on_timer(self, now_s: float) -> None:
        """Carry out work that is due; called every 10 ms."""
        state = self.state
        state.learned.rotate(now_s)
        for table in (state.requests, state.streams):
            self.closer.release_expired(table.rotate(now_s), now_s)
        self.closer.expire(now_s)
        state.views.expire(now_s)
        self.opener.poll(now_s)
        self.copier.step(now_s)
        self._update_reachability(now_s, force=False)
        self._send_hellos(now_s)

    def _create_opener(self) -> FlowOpener:
        return FlowOpener(self.state)

    # Segments from callers

    def _on_transition(self, segment: bytes, now_s: float) -> None:
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
            self.closer.publish(service, key, segment, now_s)
        elif listener is None:
            state.counters.unknown_service += 1
        else:
            self._relay_unknown(segment, key, 0)
            self.closer.publish(listener.service, key, segment, now_s)

    def _deliver(self, binding: Binding, segment: bytes) -> None:
        """Send a segment of a known flow to its target."""
        state = self.state
        route = binding.route
        if segment[16:20] + segment[22:24] != route.listener.endpoint:
            # The entry belongs to another listener.
            state.monitor.report(
                InvariantViolation('service_isolation', 'flow of a listener'),
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
        """Handle a segment whose target may get no more segments."""
        state = self.state
        if binding.state is FlowState.OPENING:
            # The owner may have opened the flow at another target since.
            key = segment[FLOW_KEY]
            state.table_of(binding.route).pop(key)
            self._relay_unknown(segment, key, 0)
            return
        state.counters.revoked += 1
        if not segment[FLAGS_OFFSET] & RST:
            state.outbox.to_caller(build_abort(segment))

    def _relay_unknown(self, segment: bytes, key: bytes, hops: int) -> None:
        """Pass a segment on to the next home that may know its flow."""
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
        state.send(following, Kind.RELAY, segment, position=hops)

    def _next_home(self, service: str, key: bytes, hops: int) -> Member | None:
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
        """Return the homes under all views that are still members."""
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
            self._relay_unknown(segment, key, header.position + 1)
            return
        self._deliver(binding, segment)
        sender = state.peers.get(header.sender)
        if header.position and sender is not None:
            # The sender is a home without the entry.
            self.copier.send_entry(sender, key, binding)

    # Segments from targets

    def _answer(self, route: Route, segment: bytes, now_s: float) -> bool:
        """Send an answer to its caller and learn the flow from it."""
        state = self.state
        key = route.answer_key(segment)
        home = state.streams.young.get(key) or state.home_binding(key)
        if home is not None and not home.route.is_allowed:
            # An entry from before its zone was taken out of service.
            state.table_of(home.route).pop(key)
            home = None
        if home is not None:
            if home.route is not route:
                state.counters.crossed += 1
                return False
        else:
            learned = state.learned.get(key)
            if learned is not None and learned.route is not route:
                # One of the two targets is wrong; the owner knows which.
                state.learned.pop(key)
                self._to_owner(route, key, segment, now_s)
                return False
            state.learned.put(key, route.bindings[FlowState.ESTABLISHED])
        self._to_caller(route, key, segment)
        return True

    def _to_caller(self, route: Route, key: bytes, segment: bytes) -> None:
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
            self._to_owner(route, key, segment, now_s)
            return
        if self._answer(route, segment, now_s):
            service = route.listener.service
            self.closer.publish(service, key, segment, now_s)

    def _to_owner(
        self, route: Route, key: bytes, segment: bytes, now_s: float
    ) -> None:
        homes = self.state.homes(route.listener.service, key)
        if not homes or self.state.is_self(homes[0]):
            self._check_answer(route, key, segment, now_s)
            return
        self.state.send(homes[0], Kind.ANSWER, segment, route.endpoint)

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
        """Decide as owner about an RST or a doubtful answer."""
        binding = self.state.home_binding(key)
        if binding is not None and binding.route is not route:
            self.state.counters.crossed += 1
            return
        if not segment[FLAGS_OFFSET] & RST:
            self._to_caller(route, key, segment)
            return
        if self.opener.on_reset(key, route, segment, now_s):
            return
        self._to_caller(route, key, segment)
        self.closer.publish(route.listener.service, key, segment, now_s)

    # Members and zones

    def _change_view(
        self,
        members: tuple[Member, ...],
        configuration_changed: bool,
        now_s: float,
    ) -> None:
        state = self.state
        if self._configuration is None:
            return
        earlier = None
        if state.views.has_views:
            earlier = state.views.current
        view = View(members, self._configuration, earlier)
        view_changed = state.views.push(view, now_s)
        if view_changed:
            # The membership protocol has judged all members anew.
            state.suspects.clear()
        if view_changed and earlier is not None:
            self.copier.plan(earlier, view)
        if view_changed or configuration_changed:
            self.opener.apply(now_s)

    def _note_sender(self, header: TunnelHeader, now_s: float) -> None:
        state = self.state
        contact = state.zone_contact
        contact.note_generation(state.generation, header.generation, now_s)
        member = state.peers.get(header.sender)
        if member is not None:
            contact.note_contact(member.zone, now_s)
            state.heard_s[header.sender] = now_s
            self.opener.note_heard(member, now_s)

    def _update_reachability(self, now_s: float, *, force: bool) -> None:
        if now_s - self._contact_s < _CONTACT_PERIOD_S and not force:
            return
        self._contact_s = now_s
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
        """Keep zones in contact when no other traffic does."""
        state = self.state
        if now_s - self._hello_s < _HELLO_PERIOD_S:
            return
        self._hello_s = now_s
        by_zone: dict[str, list[Member]] = {}
        for peer in state.peers.values():
            by_zone.setdefault(peer.zone, []).append(peer)
        for zone, members in by_zone.items():
            if zone not in state.routes.zones_out:
                state.send(state.rng.choice(members), Kind.HELLO)

    def _on_hello(
        self, header: TunnelHeader, body: bytes, now_s: float
    ) -> None:
        """Nothing to do; the sender was noted before."""

    def _on_warm_up(
        self, header: TunnelHeader, body: bytes, now_s: float
    ) -> None:
        admissions = self.opener.admissions
        self.opener.warmups.on_report(body, admissions, now_s)

    def _on_copy(self, header: TunnelHeader, body: bytes, now_s: float) -> None:
        self.copier.on_copy(body, now_s)


def _nearest(homes: list[Member], zone: str) -> Member:
    for home in homes:
        if home.zone == zone:
            return home
    return homes[0]
