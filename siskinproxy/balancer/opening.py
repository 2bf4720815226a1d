"""Opening of flows: the owner selects a target and informs the homes."""

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.balancer.routes import ListenerState, Route
from siskinproxy.balancer.snapshot import Member
from siskinproxy.callers.flow_state import has_released_slot
from siskinproxy.callers.flow_table import Binding, FlowState
from siskinproxy.callers.requests import Admitted, Queued, Refused
from siskinproxy.fabric.segments import (
    FLOW_KEY,
    Endpoint,
    answers_syn,
    build_reset,
    has_payload,
    pack_endpoint,
    rewrite_destination,
    sequence_of,
)
from siskinproxy.instances.placement import ShardKey, targets_of_shard
from siskinproxy.instances.tunnel import Kind, TunnelHeader, member_id
from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.limits import AdmissionLimits

__all__ = ('FlowOpener',)

#: Views of different instances may disagree on the owner for a moment; after
#: this many hops the receiver decides.
MAX_OPEN_HOPS: Final = 2

#: A new target gets its first flow after this time, so that the answers meet
#: no instance that has not yet applied the generation.
TARGET_ACTIVATION_S: Final = 2.0

#: Time for which the owner keeps a SYN to repeat it at another target.
OPENING_LIFETIME_S: Final = 10.0

_BROADCAST: Final = 255


@dataclass(slots=True)
class _Opening:
    """SYN of a flow that no target has accepted yet."""

    segment: bytes
    ingress_zone: str
    since_s: float


class FlowOpener:
    """Decides for new flows of the shards that this instance owns.

    Parameters
    ----------
    state : EngineState
        Tables and views.
    """

    __slots__ = ('_activated', '_openings', '_seen_s', '_state', 'admissions')

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self.admissions: dict[ShardKey, ShardAdmission] = {}
        self._openings: dict[bytes, _Opening] = {}
        self._seen_s: dict[str, float] = {}
        self._activated = 0

    # Shards

    def apply(self, now_s: float) -> None:
        """Take over or give up shards after a change of view or targets."""
        state = self._state
        self._note_targets(now_s)
        owned = {
            shard for shard in state.views.current.shards() if self._owns(shard)
        }
        for lost in set(self.admissions) - owned:
            del self.admissions[lost]
        for shard in sorted(owned):
            self._apply_shard(shard, now_s)
        self._forward_lost(now_s)

    def restore(self, key: bytes, route: Route, now_s: float) -> None:
        """Count a flow that another home has copied to this one."""
        shard = self._state.shard(route.listener.service, key)
        admission = self.admissions.get(shard)
        if admission is not None:
            admission.restore(
                key,
                route.listener.listener,
                route.target.name,
                now_s,
            )

    def poll(self, now_s: float) -> None:
        """Carry out decisions for queued flows and drop old openings."""
        self._activate_targets(now_s)
        for admission in list(self.admissions.values()):
            for key, decision in admission.poll(now_s):
                opening = self._openings.get(key)
                if opening is not None:
                    self._carry_out(decision, key, opening, now_s)
        self._expire(now_s)

    # Segments

    def on_syn(
        self, segment: bytes, listener: ListenerState, now_s: float
    ) -> None:
        """Handle a SYN from the fabric."""
        if has_payload(segment):
            # A SYN with data could be executed twice; callers that get no
            # answer repeat the SYN without data (RFC 7413, section 4.1.3).
            self._state.counters.syn_with_data += 1
            return
        key = segment[FLOW_KEY]
        self._state.learned.pop(key)
        zone = self._state.identity.zone
        self._route(segment, listener, zone, 0, now_s)

    def on_open(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Handle a SYN that another instance took from the fabric."""
        listener = self._listener(segment)
        if listener is None:
            self._state.counters.unknown_service += 1
            return
        zone = self._zone_of(header)
        self._route(segment, listener, zone, header.position + 1, now_s)

    def on_lookup(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Answer whether this earlier owner knows the flow of a SYN."""
        sender = self._state.peers.get(header.sender)
        if sender is None:
            return
        binding = self._state.home_binding(segment[FLOW_KEY])
        if binding is None or not _is_live(binding):
            self._state.send(sender, Kind.FRESH, segment, flags=header.flags)
            return
        self._repeat(segment, binding.route)

    def on_fresh(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Open a flow of which the earlier owner knows nothing."""
        listener = self._listener(segment)
        if listener is None:
            return
        opening = _Opening(segment, self._zone_of(header), now_s)
        self._open(segment[FLOW_KEY], opening, listener, now_s)

    def on_replicate(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Record the target of a flow and pass the SYN on."""
        state = self._state
        key = segment[FLOW_KEY]
        route = state.routes.resolve(
            header.target,
            segment[16:20] + segment[22:24],
        )
        if route is None:
            # The configuration here does not have this target, so only an
            # instance that has it may send the segment.
            state.counters.unknown_service += 1
            return
        state.store(key, route, FlowState.OPENING)
        if header.position == _BROADCAST:
            return
        homes = state.homes(route.listener.service, key)
        self._pass_on(segment, route, homes, header.position + 1)

    def on_reset(
        self, key: bytes, route: Route, segment: bytes, now_s: float
    ) -> bool:
        """Handle an RST from a target at the owner.

        Returns
        -------
        bool
            True if the flow was opened at another target or refused here,
            so that the segment needs no further handling.
        """
        opening = self._openings.get(key)
        if opening is None:
            return False
        if not answers_syn(segment, sequence_of(opening.segment)):
            return False
        admission = self._admission(route.listener.service, key)
        if admission is None:
            return False
        decision = admission.target_refused(key, now_s)
        if isinstance(decision, Admitted):
            self._state.counters.retried += 1
        self._carry_out(decision, key, opening, now_s)
        return True

    # FlowObserver

    def flow_accepted(self, key: bytes, route: Route, now_s: float) -> None:
        """Record that the target accepted the connection."""
        self._openings.pop(key, None)
        admission = self._admission(route.listener.service, key)
        if admission is not None:
            admission.accepted(key, now_s)

    def flow_released(
        self, key: bytes, route: Route, reset: bool, now_s: float
    ) -> None:
        """Record that the flow uses its target no more."""
        self._openings.pop(key, None)
        admission = self._admission(route.listener.service, key)
        if admission is not None and route.is_allowed:
            admission.closed(
                key,
                route.listener.listener,
                route.target.name,
                reset,
                now_s,
            )

    def flow_cancelled(self, key: bytes, service: str, now_s: float) -> None:
        """Record that the caller gave up a flow without a target."""
        admission = self._admission(service, key)
        if self._openings.pop(key, None) and admission is not None:
            admission.cancel(key, now_s)

    # Internals

    def _owns(self, shard: ShardKey) -> bool:
        homes = self._state.views.current.homes(shard)
        return bool(homes) and self._state.is_self(homes[0])

    def _admission(self, service: str, key: bytes) -> ShardAdmission | None:
        return self.admissions.get(self._state.shard(service, key))

    def _listener(self, segment: bytes) -> ListenerState | None:
        endpoint = segment[16:20] + segment[22:24]
        return self._state.routes.listeners.get(endpoint)

    def _zone_of(self, header: TunnelHeader) -> str:
        zones = self._state.zones
        if header.flags < len(zones):
            return zones[header.flags]
        return self._state.identity.zone

    def _zone_index(self, zone: str) -> int:
        zones = self._state.zones
        return zones.index(zone) if zone in zones else _BROADCAST

    def _route(
        self,
        segment: bytes,
        listener: ListenerState,
        zone: str,
        hops: int,
        now_s: float,
    ) -> None:
        state = self._state
        key = segment[FLOW_KEY]
        shard = state.shard(listener.service, key)
        homes = state.views.current.homes(shard)
        if shard in self.admissions or not homes or hops > MAX_OPEN_HOPS:
            opening = _Opening(segment, zone, now_s)
            self._open_or_look_up(key, opening, listener, now_s)
            return
        flags = self._zone_index(zone)
        state.send(homes[0], Kind.OPEN, segment, position=hops, flags=flags)

    def _open_or_look_up(
        self,
        key: bytes,
        opening: _Opening,
        listener: ListenerState,
        now_s: float,
    ) -> None:
        state = self._state
        binding = state.home_binding(key)
        if binding is not None and _is_live(binding):
            self._repeat(opening.segment, binding.route)
            return
        earlier = self._earlier_owner(listener.service, key)
        if earlier is None:
            self._open(key, opening, listener, now_s)
            return
        flags = self._zone_index(opening.ingress_zone)
        state.send(earlier, Kind.LOOKUP, opening.segment, flags=flags)

    def _earlier_owner(self, service: str, key: bytes) -> Member | None:
        """Return a live earlier owner whose entries may be missing here."""
        state = self._state
        current = state.homes(service, key)
        for view in state.views.earlier:
            homes = view.homes(view.shard_of(service, key))
            if any(state.is_self(home) for home in homes):
                continue
            for home in homes:
                peer = state.peers.get(member_id(home.name))
                if peer is not None and home not in current[:1]:
                    return peer
        return None

    def _open(
        self,
        key: bytes,
        opening: _Opening,
        listener: ListenerState,
        now_s: float,
    ) -> None:
        admission = self._admission(listener.service, key)
        if admission is None:
            self._state.counters.unknown_flow += 1
            return
        if len(self._state.streams) >= self._state.limits.home_flows:
            self._refuse(key, opening)
            return
        decision = admission.open(
            key,
            listener.listener,
            opening.ingress_zone,
            self._reachable_zones(now_s),
            now_s,
        )
        self._openings[key] = opening
        self._carry_out(decision, key, opening, now_s)

    def _reachable_zones(self, now_s: float) -> frozenset[str]:
        state = self._state
        contact = state.zone_contact
        return frozenset(
            zone
            for zone in state.zones
            if zone not in state.routes.zones_out
            and contact.is_reachable(zone, now_s)
        )

    @singledispatchmethod
    def _carry_out(
        self,
        decision: object,
        key: bytes,
        opening: _Opening,
        now_s: float,
    ) -> None:
        raise TypeError(type(decision).__name__)

    @_carry_out.register
    def _admit(
        self, decision: Admitted, key: bytes, opening: _Opening, now_s: float
    ) -> None:
        state = self._state
        listener = self._listener(opening.segment)
        route = None
        if listener is not None:
            endpoint = Endpoint(
                decision.target.address,
                listener.listener.target_port,
            )
            route = state.routes.resolve(
                pack_endpoint(endpoint),
                listener.endpoint,
            )
        if route is None:
            self._refuse(key, opening)
            return
        state.counters.opened += 1
        state.store(key, route, FlowState.OPENING)
        homes = state.homes(route.listener.service, key)
        self._pass_on(opening.segment, route, homes, 1)

    @_carry_out.register
    def _wait(
        self, decision: Queued, key: bytes, opening: _Opening, now_s: float
    ) -> None:
        self._state.counters.queued += 1

    @_carry_out.register
    def _reject(
        self, decision: Refused, key: bytes, opening: _Opening, now_s: float
    ) -> None:
        self._refuse(key, opening)

    def _refuse(self, key: bytes, opening: _Opening) -> None:
        self._state.counters.refused += 1
        self._openings.pop(key, None)
        binding = self._state.home_binding(key)
        if binding is not None:
            self._state.table_of(binding.route).pop(key)
        self._state.outbox.to_caller(build_reset(opening.segment))

    def _pass_on(
        self,
        segment: bytes,
        route: Route,
        homes: tuple[Member, ...],
        position: int,
    ) -> None:
        """Send the SYN to the next home or, at the last one, to the target."""
        state = self._state
        while position < len(homes) and state.is_self(homes[position]):
            position += 1
        if position < len(homes):
            state.send(
                homes[position],
                Kind.REPLICATE,
                segment,
                route.endpoint,
                position,
            )
            return
        self._send_syn(segment, route)

    def _repeat(self, segment: bytes, route: Route) -> None:
        """Repeat a SYN without depending on each home in turn.

        A home that does not respond may be the reason for the repetition.
        """
        state = self._state
        key = segment[FLOW_KEY]
        for home in state.homes(route.listener.service, key):
            if not state.is_self(home):
                state.send(
                    home,
                    Kind.REPLICATE,
                    segment,
                    route.endpoint,
                    _BROADCAST,
                )
        self._send_syn(segment, route)

    def _send_syn(self, segment: bytes, route: Route) -> None:
        state = self._state
        if not route.is_allowed or not route.is_reachable:
            state.counters.unreachable += 1
            return
        state.counters.forwarded += 1
        state.outbox.to_target(
            route.address,
            rewrite_destination(segment, route.endpoint),
        )

    def _note_targets(self, now_s: float) -> None:
        names = {
            target.name
            for service in self._state.routes.services.values()
            for target in service.targets
        }
        is_first = not self._seen_s
        seen_s = now_s - TARGET_ACTIVATION_S if is_first else now_s
        self._seen_s = {name: self._seen_s.get(name, seen_s) for name in names}
        self._activated = self._count_active(now_s)

    def _count_active(self, now_s: float) -> int:
        limit_s = now_s - TARGET_ACTIVATION_S
        return sum(seen_s <= limit_s for seen_s in self._seen_s.values())

    def _activate_targets(self, now_s: float) -> None:
        if self._activated == len(self._seen_s):
            return
        active = self._count_active(now_s)
        if active != self._activated:
            self._activated = active
            for shard in sorted(self.admissions):
                self._apply_shard(shard, now_s)

    def _apply_shard(self, shard: ShardKey, now_s: float) -> None:
        state = self._state
        service = state.routes.services[shard.service]
        admission = self.admissions.get(shard)
        is_new = admission is None
        if admission is None:
            admission = ShardAdmission(
                shard.service,
                shard.index,
                AdmissionLimits(takeover_s=state.limits.takeover_s),
                state.rng,
                now_s,
                takeover=bool(state.views.earlier),
            )
            self.admissions[shard] = admission
        limit_s = now_s - TARGET_ACTIVATION_S
        targets = tuple(
            target
            for target in targets_of_shard(service, shard.index)
            if self._seen_s.get(target.name, now_s) <= limit_s
        )
        admission.apply(service, targets, state.routes.zones_out, now_s)
        if is_new:
            self._restore_shard(shard, admission, now_s)

    def _restore_shard(
        self, shard: ShardKey, admission: ShardAdmission, now_s: float
    ) -> None:
        state = self._state
        for table in (state.requests, state.streams):
            for key, binding in table:
                if self._is_open_in(shard, key, binding):
                    listener = binding.route.listener.listener
                    name = binding.route.target.name
                    admission.restore(key, listener, name, now_s)

    def _is_open_in(
        self, shard: ShardKey, key: bytes, binding: Binding
    ) -> bool:
        service = binding.route.listener.service
        if service != shard.service or has_released_slot(binding.state):
            return False
        if not binding.route.is_allowed:
            return False
        return self._state.shard(service, key) == shard

    def _forward_lost(self, now_s: float) -> None:
        """Send queued SYNs of shards given up to their new owners."""
        for key, opening in list(self._openings.items()):
            listener = self._listener(opening.segment)
            if listener is None:
                del self._openings[key]
                continue
            if self._state.home_binding(key) is not None:
                continue
            if self._state.shard(listener.service, key) in self.admissions:
                continue
            del self._openings[key]
            zone = opening.ingress_zone
            self._route(opening.segment, listener, zone, 0, now_s)

    def _expire(self, now_s: float) -> None:
        limit_s = now_s - OPENING_LIFETIME_S
        while self._openings:
            key = next(iter(self._openings))
            if self._openings[key].since_s > limit_s:
                return
            del self._openings[key]


def _is_live(binding: Binding) -> bool:
    return binding.state is not FlowState.CLOSED and binding.route.is_allowed
