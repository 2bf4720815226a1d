"""Opening of flows: the owner selects a target and replicates the choice.

The SYN of a new flow goes to the owner of its shard (`DatagramKind.OPEN`). The
owner selects a target and passes the SYN through the other homes
(`DatagramKind.REPLICATE`), each of which records the target. The last home
sends the SYN to the target.
"""

from dataclasses import replace
from typing import Final

from siskinproxy.balancer.engine_state import SUSPECT_TIMEOUT_S, EngineState
from siskinproxy.balancer.failure_detector import FailureDetector, Opening
from siskinproxy.balancer.routes import ListenerState, Route
from siskinproxy.balancer.shard_restore import restore_shards
from siskinproxy.balancer.snapshot import Member
from siskinproxy.balancer.target_activation import TargetActivation
from siskinproxy.balancer.warmup_handover import WarmupHandover
from siskinproxy.callers.admission_decisions import (
    Admitted,
    AdmittedReason,
    Queued,
    Refused,
    RefusedReason,
)
from siskinproxy.callers.flow_table import Binding, FlowState
from siskinproxy.errors import InvariantViolation
from siskinproxy.fabric.segments import (
    FLOW_KEY,
    Endpoint,
    answers_syn,
    build_reset,
    has_payload,
    pack_endpoint,
    sequence_of,
    translate_destination,
)
from siskinproxy.instances.placement import (
    HOME_COUNT,
    ShardKey,
    targets_of_shard,
)
from siskinproxy.instances.tunnel import (
    CopyEntry,
    DatagramKind,
    TunnelHeader,
    encode_entries,
    member_id,
)
from siskinproxy.operators.configuration import Service
from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.admission_settings import AdmissionSettings

__all__ = ('FlowOpener',)

#: Views of different instances may name different owners for a short time. The
#: receiver of a SYN that took more than this many hops decides itself.
MAX_OPEN_HOPS: Final = 2

#: Time for which the owner keeps a SYN to send it to another target if the
#: first refuses it.
OPENING_LIFETIME_S: Final = 10.0

#: Position of a SYN that was sent to all homes, so that none passes it on.
_SENT_TO_ALL_HOMES: Final = 255

#: Entries in one `DatagramKind.COPY` datagram; 50 entries stay below the usual
#: MTU of 1,500 bytes.
_ENTRIES_PER_DATAGRAM: Final = 50

#: Flag of a SYN whose sender suspects the owner.
_FAILOVER_FLAG: Final = 0x80

#: Bits of the flags with the index of the ingress zone; all set if the zone is
#: not in the configuration.
_ZONE_MASK: Final = 0x7F


class FlowOpener:
    """Opens the flows of the shards that this instance owns.

    If the owner of a shard is suspected, the next home decides in its place and
    returns the shard as soon as a datagram of the owner arrives. A new owner
    asks an earlier one about flows that it has no entry for
    (`DatagramKind.LOOKUP`); the earlier owner then stops deciding for the
    shard.

    Parameters
    ----------
    state : EngineState
        Tables and views.

    Attributes
    ----------
    admissions : dict of ShardKey to ShardAdmission
        Admissions of the shards that this instance decides for.
    warmups : WarmupHandover
        Exchange of warm-up progress with other homes.
    """

    __slots__ = (
        '_activation',
        '_failover_keys',
        '_failure_detector',
        '_openings',
        '_state',
        '_transferred_to',
        'admissions',
        'warmups',
    )

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._failure_detector = FailureDetector(state)
        self._activation = TargetActivation(state.routes)
        self.admissions: dict[ShardKey, ShardAdmission] = {}
        self.warmups = WarmupHandover(state)
        self._openings: dict[bytes, Opening] = {}
        # Flows opened in place of a suspected owner, by shard.
        self._failover_keys: dict[ShardKey, list[bytes]] = {}
        # New owners that asked about flows of a shard which this instance
        # decided for until then.
        self._transferred_to: dict[ShardKey, Member] = {}

    # Shards

    def apply(self, now_s: float) -> None:
        """Take over and release shards after a change of view or targets."""
        state = self._state
        self._activation.note_configuration(now_s)
        self._failover_keys.clear()
        self._transferred_to.clear()
        owned = {
            shard for shard in state.views.current.shards() if self._owns(shard)
        }
        for shard in sorted(set(self.admissions) - owned):
            self._release_shard(shard, now_s)
        self._apply_shards(sorted(owned), now_s)
        self._forward_queued(now_s)

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

    def note_heard(self, member: Member, now_s: float) -> None:
        """Record that a member is alive.

        SYNs sent to it count as acknowledged. If it was suspected, it gets
        back the shards for which this instance decides in its place.
        """
        self._failure_detector.note_heard(member)
        if member.name not in self._state.suspects:
            return
        self._state.suspects.discard(member.name)
        for shard in list(self._failover_keys):
            if self._state.shard_homes(shard)[0].name == member.name:
                self._return_shard(shard, member, now_s)

    def note_reachability(self, now_s: float) -> None:
        """Tell the admissions which zones may get flows."""
        reachable = self._reachable_zones(now_s)
        for admission in self.admissions.values():
            admission.set_reachable_zones(reachable, now_s)

    def poll(self, now_s: float) -> None:
        """Do the periodic work of flow opening.

        Detects failed homes, applies targets that became active, decides
        about queued flows, publishes warm-ups and drops old SYNs.
        """
        self._failure_detector.note_timer_run(now_s)
        self._failure_detector.send_acknowledgments(now_s)
        for unanswered in self._failure_detector.take_unacknowledged(now_s):
            self._resend_unacknowledged(unanswered, now_s)
        if self._activation.has_changed(now_s):
            self._apply_shards(sorted(self.admissions), now_s)
        for admission in list(self.admissions.values()):
            self._decide_queued(admission, now_s)
        self.warmups.publish(self.admissions, now_s)
        self._expire_openings(now_s)

    # Segments

    def on_syn(
        self, segment: bytes, listener: ListenerState, now_s: float
    ) -> None:
        """Handle a SYN from the fabric."""
        if has_payload(segment):
            # The data of a SYN could be executed twice. Callers that get no
            # answer retransmit the SYN without data (RFC 7413, section 4.1.3).
            self._state.counters.syn_with_data += 1
            return
        key = segment[FLOW_KEY]
        self._state.learned.pop(key)
        zone = self._state.identity.zone
        self._route(segment, listener, zone, 0, now_s)

    def on_open(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Handle a SYN that another instance got from the fabric."""
        listener = self._listener(segment)
        if listener is None:
            self._state.counters.unknown_service += 1
            return
        self._failure_detector.schedule_acknowledgment(header.sender)
        if header.flags & _FAILOVER_FLAG:
            self._check_owner(listener.service, segment[FLOW_KEY], now_s)
        zone = self._zone_of(header)
        self._route(segment, listener, zone, header.hop_count + 1, now_s)

    def on_lookup(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Answer a new owner that asks about the flow of a SYN.

        Without a live entry here, the new owner may open the flow
        (`DatagramKind.LOOKUP_MISS`). Otherwise the SYN is resent to the
        recorded target and to all homes, including the new owner.
        """
        sender = self._state.peers.get(header.sender)
        if sender is None:
            return
        key = segment[FLOW_KEY]
        listener = self._listener(segment)
        if listener is not None:
            shard = self._state.shard(listener.service, key)
            self._transfer_shard(shard, sender, now_s)
        binding = self._state.home_binding(key)
        if binding is None or not _is_live(binding):
            self._state.send(
                sender, DatagramKind.LOOKUP_MISS, segment, flags=header.flags
            )
            return
        self._resend_syn(segment, binding.route, extra_home=sender)

    def on_fresh(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Open a flow for which the earlier owner has no entry."""
        listener = self._listener(segment)
        if listener is None:
            return
        binding = self._state.home_binding(segment[FLOW_KEY])
        if binding is not None and _is_live(binding):
            # A duplicate answer: the flow was opened after the first one.
            self._resend_syn(segment, binding.route)
            return
        opening = Opening(segment, self._zone_of(header), now_s)
        self._open(segment[FLOW_KEY], opening, listener, now_s)

    def on_replicate(
        self, header: TunnelHeader, segment: bytes, now_s: float
    ) -> None:
        """Record the target of a flow and forward the SYN."""
        state = self._state
        self._failure_detector.schedule_acknowledgment(header.sender)
        key = segment[FLOW_KEY]
        route = state.routes.resolve(
            header.target,
            segment[16:20] + segment[22:24],
        )
        if route is None or not route.is_allowed:
            # The sender has another configuration. An entry made here would
            # stay invalid, and only an instance whose configuration permits
            # the target may send the SYN to it.
            state.counters.unknown_service += 1
            self._forward_without_entry(header, segment)
            return
        known = state.home_binding(key)
        if known is not None and _contradicts(known, route):
            # The sender was paused or partitioned while the flow was opened.
            self._send_known_entry(header, key, known)
            return
        if known is None or known.route is not route or not _is_live(known):
            state.store(key, route, FlowState.OPENING)
            self.restore(key, route, now_s)
        if header.hop_count == _SENT_TO_ALL_HOMES:
            return
        homes = state.homes(route.listener.service, key)
        opening = Opening(segment, state.identity.zone, now_s, route)
        self._forward_syn(opening, route, homes, header.hop_count + 1)

    def replace_opening(
        self, key: bytes, binding: Binding, now_s: float
    ) -> bool:
        """Replace the entry of an opening flow by that of another home.

        Parameters
        ----------
        key : bytes
            Flow key.
        binding : Binding
            Binding at the other home, where the flow is established.
        now_s : float
            Time in seconds.

        Returns
        -------
        bool
            True if the entry was replaced: the flow was still opening here, at
            another target, or both targets have accepted it.
        """
        known = self._state.home_binding(key)
        if known is None or not _contradicts(binding, known.route):
            return False
        is_opening = known.state is FlowState.OPENING
        if not is_opening and not self._is_other_acceptor(key, known, binding):
            return False
        self.flow_abandoned(key, known.route, now_s)
        self._state.other_acceptors.pop(key, None)
        self._state.store(key, binding.route, binding.state)
        self.restore(key, binding.route, now_s)
        self.flow_accepted(key, binding.route, now_s)
        return True

    def redirect(self, key: bytes, route: Route, now_s: float) -> bool:
        """Move a flow to the other target that accepted it.

        Two instances may select targets for one SYN around a hand-over. If
        both accept, the caller uses one of them, and the other resets what it
        gets of the flow.

        Parameters
        ----------
        key : bytes
            Flow key.
        route : Route
            Route to the target that has reset the flow.
        now_s : float
            Time in seconds.

        Returns
        -------
        bool
            True if there is another target. The RST must not reach the caller
            then; the other homes get the new entry.
        """
        state = self._state
        other = state.other_acceptor(key)
        known = state.home_binding(key)
        if other is None or known is None or known.route is not route:
            return False
        binding = other.bindings[FlowState.ESTABLISHED]
        if not self.replace_opening(key, binding, now_s):
            return False
        entry = CopyEntry(key, other.endpoint, int(binding.state))
        for home in state.homes(other.listener.service, key):
            if not state.is_self(home):
                state.send(home, DatagramKind.COPY, encode_entries([entry]))
        return True

    def _is_other_acceptor(
        self, key: bytes, known: Binding, binding: Binding
    ) -> bool:
        return (
            known.state is FlowState.ESTABLISHED
            and self._state.other_acceptor(key) is binding.route
        )

    def on_reset(
        self, key: bytes, route: Route, segment: bytes, now_s: float
    ) -> bool:
        """Handle an RST from a target at the owner.

        If the RST refuses the SYN, the admission may retry another target.

        Parameters
        ----------
        key : bytes
            Flow key.
        route : Route
            Route to the target.
        segment : bytes
            Segment with RST set.
        now_s : float
            Time in seconds.

        Returns
        -------
        bool
            True if the RST refused the SYN. The admission has decided then,
            and the RST must not be forwarded to the caller.
        """
        opening = self._openings.get(key)
        if opening is None:
            return False
        if not answers_syn(segment, sequence_of(opening.segment)):
            return False
        admission = self._admission(route.listener.service, key)
        if admission is None:
            return False
        try:
            decision = admission.target_refused(key, now_s)
        except InvariantViolation as exc:
            self._state.monitor.report(exc)
            return False
        self._state.monitor.note_target_refused(key)
        if isinstance(decision, Admitted):
            self._state.counters.retried += 1
        self._apply_decision(decision, key, opening, now_s)
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
        """Record that the flow no longer uses its target."""
        self._openings.pop(key, None)
        admission = self._admission(route.listener.service, key)
        if admission is None or not route.is_allowed:
            return
        admission.closed(
            key,
            route.listener.listener,
            route.target.name,
            reset,
            now_s,
        )
        if admission.has_waiting:
            # A free slot goes to a queued flow at once: with the timer alone
            # it would stay unused for up to 10 ms after each request.
            self._decide_queued(admission, now_s)

    def flow_abandoned(self, key: bytes, route: Route, now_s: float) -> None:
        """Record that a flow ended without a FIN or RST of its target."""
        if route.listener.listener.mode == 'stream':
            self.flow_released(key, route, False, now_s)
            return
        self._openings.pop(key, None)
        admission = self._admission(route.listener.service, key)
        if admission is not None and route.is_allowed:
            admission.cancel(key, now_s)

    def flow_cancelled(self, key: bytes, service: str, now_s: float) -> None:
        """Record that the caller ended a flow that has no target yet."""
        admission = self._admission(service, key)
        if self._openings.pop(key, None) and admission is not None:
            admission.cancel(key, now_s)

    # Internals

    def _decide_queued(self, admission: ShardAdmission, now_s: float) -> None:
        for key, decision in admission.poll(now_s):
            opening = self._openings.get(key)
            if opening is not None:
                self._apply_decision(decision, key, opening, now_s)

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
        index = header.flags & _ZONE_MASK
        if index < len(zones):
            return zones[index]
        return self._state.identity.zone

    def _zone_index(self, zone: str) -> int:
        zones = self._state.zones
        return zones.index(zone) if zone in zones else _ZONE_MASK

    def _route(
        self,
        segment: bytes,
        listener: ListenerState,
        zone: str,
        hops: int,
        now_s: float,
    ) -> None:
        """Decide about a SYN, or send it to the instance that decides."""
        self._failure_detector.detect_pause(now_s)
        state = self._state
        key = segment[FLOW_KEY]
        shard = state.shard(listener.service, key)
        opening = Opening(segment, zone, now_s)
        owner = self._acting_owner(shard)
        if owner is None or hops > MAX_OPEN_HOPS:
            self._take_over_shard(shard, now_s)
            self._open_or_look_up(key, opening, listener, now_s)
            return
        flags = self._zone_index(zone)
        homes = state.views.current.homes(shard)
        if homes and owner.name != homes[0].name:
            flags |= _FAILOVER_FLAG
        self._failure_detector.expect_acknowledgment(owner, opening)
        state.send(
            owner, DatagramKind.OPEN, segment, hop_count=hops, flags=flags
        )

    def _acting_owner(self, shard: ShardKey) -> Member | None:
        """Return the instance that decides for a shard, None for this one.

        It is the home that this instance transferred the shard to, or else the
        first home that is not suspected.
        """
        state = self._state
        if shard in self.admissions:
            return None
        successor = self._transferred_to.get(shard)
        if successor is not None and successor.name not in state.suspects:
            return successor
        homes = state.shard_homes(shard)
        if not homes or state.is_self(homes[0]):
            return None
        return homes[0]

    def _take_over_shard(self, shard: ShardKey, now_s: float) -> None:
        """Start deciding for a shard in place of its owner."""
        if shard in self.admissions:
            return
        if shard.service not in self._state.routes.services:
            return
        self._failover_keys[shard] = []
        self._apply_shards([shard], now_s)

    def _check_owner(self, service: str, key: bytes, now_s: float) -> None:
        """Suspect the homes before this one that were not heard from lately.

        Called for a SYN whose sender suspects the owner. Stops at the first
        home that this instance has heard from within `SUSPECT_TIMEOUT_S`.
        """
        state = self._state
        homes = state.views.current.homes(state.shard(service, key))
        for home in homes:
            if state.is_self(home):
                return
            if state.was_heard(home, now_s - SUSPECT_TIMEOUT_S):
                return
            state.suspects.add(home.name)

    def _resend_unacknowledged(self, opening: Opening, now_s: float) -> None:
        """Resend a SYN that a home did not acknowledge.

        It is resent once; after that its caller has to retransmit it.
        """
        if opening.route is not None:
            self._resend_syn(opening.segment, opening.route)
            return
        listener = self._listener(opening.segment)
        if listener is None:
            return
        zone = opening.ingress_zone
        self._route(opening.segment, listener, zone, 0, now_s)
        key = opening.segment[FLOW_KEY]
        shard = self._state.shard(listener.service, key)
        owner = self._acting_owner(shard)
        if owner is not None:
            self._failure_detector.cancel_last_expectation(owner)

    def _return_shard(
        self, shard: ShardKey, owner: Member, now_s: float
    ) -> None:
        """Return a shard to its owner, with entries of flows opened meanwhile."""
        self.admissions.pop(shard, None)
        keys = self._failover_keys.pop(shard)
        entries = []
        for key in keys:
            binding = self._state.home_binding(key)
            if binding is not None and _is_live(binding):
                entries.append(
                    CopyEntry(key, binding.route.endpoint, binding.state),
                )
        for start in range(0, len(entries), _ENTRIES_PER_DATAGRAM):
            batch = entries[start : start + _ENTRIES_PER_DATAGRAM]
            self._state.send(owner, DatagramKind.COPY, encode_entries(batch))
        self._forward_queued(now_s)

    def _transfer_shard(
        self, shard: ShardKey, sender: Member, now_s: float
    ) -> None:
        """Release a shard to the home that asks about one of its flows."""
        homes = self._state.shard_homes(shard)
        is_home = any(home.name == sender.name for home in homes)
        if shard not in self.admissions or not is_home:
            return
        self._release_shard(shard, now_s)
        self._failover_keys.pop(shard, None)
        self._transferred_to[shard] = sender

    def _release_shard(self, shard: ShardKey, now_s: float) -> None:
        """Stop deciding for a shard and hand over its warm-ups."""
        admission = self.admissions.pop(shard)
        inactive = self._activation.inactive_target_names(shard, now_s)
        if shard.service in self._state.routes.services:
            self.warmups.hand_over(shard, admission, inactive, now_s)

    def _open_or_look_up(
        self,
        key: bytes,
        opening: Opening,
        listener: ListenerState,
        now_s: float,
    ) -> None:
        """Open a flow, unless another instance may have opened it already.

        That instance is asked first; its answer arrives at `on_fresh` or
        `on_replicate`. If it stays silent, as one that has exited while the
        members still name it, the SYN is handled again without it.
        """
        state = self._state
        binding = state.home_binding(key)
        if binding is not None and _is_live(binding):
            self._resend_syn(opening.segment, binding.route)
            return
        earlier = self._other_owner(listener.service, key, now_s)
        if earlier is None:
            self._open(key, opening, listener, now_s)
            return
        flags = self._zone_index(opening.ingress_zone)
        if not self._failure_detector.is_recovering_from_pause(now_s):
            # After a pause the configuration may be outdated, so that only an
            # answer permits to open the flow.
            self._failure_detector.expect_acknowledgment(earlier, opening)
        state.send(earlier, DatagramKind.LOOKUP, opening.segment, flags=flags)

    def _forward_without_entry(
        self, header: TunnelHeader, segment: bytes
    ) -> None:
        """Forward a SYN to the next home without an entry here."""
        state = self._state
        listener = self._listener(segment)
        if listener is None or header.hop_count == _SENT_TO_ALL_HOMES:
            return
        homes = state.homes(listener.service, segment[FLOW_KEY])
        names = [home.name for home in homes]
        following = header.hop_count + 1
        if state.identity.name in names:
            following = names.index(state.identity.name) + 1
        if following < len(homes):
            state.send(
                homes[following],
                DatagramKind.REPLICATE,
                segment,
                header.target,
                header.hop_count + 1,
            )

    def _send_known_entry(
        self, header: TunnelHeader, key: bytes, known: Binding
    ) -> None:
        """Send the entry of an established flow to the sender of its SYN."""
        sender = self._state.peers.get(header.sender)
        if sender is not None:
            entry = CopyEntry(key, known.route.endpoint, known.state)
            self._state.send(sender, DatagramKind.COPY, encode_entries([entry]))

    def _other_owner(
        self, service: str, key: bytes, now_s: float
    ) -> Member | None:
        """Return another instance that may have opened the flow.

        After a pause of this process it is another home. Otherwise it is a
        home under an earlier view in which this instance was no home, and
        which is not suspected.
        """
        state = self._state
        current = state.homes(service, key)
        if self._failure_detector.is_recovering_from_pause(now_s):
            others = [home for home in current if not state.is_self(home)]
            return others[0] if others else None
        for view in state.views.earlier:
            homes = view.homes(view.shard_of(service, key))
            if any(state.is_self(home) for home in homes):
                continue
            for home in homes:
                peer = state.peers.get(member_id(home.name))
                if peer is None or peer.name in state.suspects:
                    continue
                if home not in current[:1]:
                    return peer
        return None

    def _open(
        self,
        key: bytes,
        opening: Opening,
        listener: ListenerState,
        now_s: float,
    ) -> None:
        admission = self._admission(listener.service, key)
        if admission is None:
            self._state.counters.unknown_flow += 1
            return
        if len(self._state.streams) >= self._state.limits.home_flows:
            self._refuse(key, opening, RefusedReason.NO_CAPACITY)
            return
        decision = admission.open(
            key,
            listener.listener,
            opening.ingress_zone,
            self._reachable_zones(now_s),
            now_s,
        )
        self._openings[key] = opening
        self._apply_decision(decision, key, opening, now_s)

    def _reachable_zones(self, now_s: float) -> frozenset[str]:
        state = self._state
        contact = state.zone_contact
        return frozenset(
            zone
            for zone in state.zones
            if zone not in state.routes.zones_out
            and contact.is_reachable(zone, now_s)
        )

    def _apply_decision(
        self,
        decision: Admitted | Queued | Refused,
        key: bytes,
        opening: Opening,
        now_s: float,
    ) -> None:
        # Not a singledispatchmethod, which would build a wrapper at each call.
        if isinstance(decision, Admitted):
            self._admit(decision, key, opening, now_s)
        elif isinstance(decision, Queued):
            self._state.counters.queued += 1
        else:
            self._refuse(key, opening, decision.reason)

    def _admit(
        self, decision: Admitted, key: bytes, opening: Opening, now_s: float
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
            self._refuse(key, opening, RefusedReason.NO_TARGET)
            return
        self._check_admission(decision, key, route)
        state.counters.opened += 1
        state.store(key, route, FlowState.OPENING)
        failover_keys = self._failover_keys.get(
            state.shard(route.listener.service, key),
        )
        if failover_keys is not None:
            failover_keys.append(key)
        homes = state.homes(route.listener.service, key)
        sent = replace(opening, since_s=now_s, route=route)
        self._forward_syn(sent, route, homes, 0)

    def _check_admission(
        self, decision: Admitted, key: bytes, route: Route
    ) -> None:
        state = self._state
        is_new = decision.reason is not AdmittedReason.REPEATED
        known = state.home_binding(key)
        state.monitor.check_admission(key, route.address, known, is_new=is_new)
        admission = self._admission(route.listener.service, key)
        if is_new and admission is not None:
            mode = route.listener.listener.mode
            in_use, limit = admission.usage(decision.target.name, mode)
            state.monitor.check_limit(decision.target.name, in_use, limit)

    def _refuse(
        self, key: bytes, opening: Opening, reason: RefusedReason
    ) -> None:
        self._state.counters.count_refusal(reason.value)
        self._openings.pop(key, None)
        binding = self._state.home_binding(key)
        self._state.monitor.check_refusal(key, binding)
        if binding is not None:
            self._state.table_of(binding.route).pop(key)
        self._state.outbox.to_caller(build_reset(opening.segment))

    def _forward_syn(
        self,
        opening: Opening,
        route: Route,
        homes: tuple[Member, ...],
        hops: int,
    ) -> None:
        """Send the SYN to the next home, or to the target from the last one."""
        state = self._state
        names = [home.name for home in homes]
        following = len(names)
        if state.identity.name in names:
            following = names.index(state.identity.name) + 1
        if following < len(names) and hops < HOME_COUNT - 1:
            member = homes[following]
            self._failure_detector.expect_acknowledgment(member, opening)
            state.send(
                member,
                DatagramKind.REPLICATE,
                opening.segment,
                route.endpoint,
                hops,
            )
            return
        self._send_syn_to_target(opening.segment, route)

    def _resend_syn(
        self, segment: bytes, route: Route, extra_home: Member | None = None
    ) -> None:
        """Resend a SYN to its target and to all homes at once.

        Passed from home to home it would get lost at a home that has failed,
        which may be why the SYN is repeated.

        Parameters
        ----------
        segment : bytes
            The SYN.
        route : Route
            Route to the recorded target.
        extra_home : Member or None
            Instance that gets the SYN as well, even if it is no home.
        """
        state = self._state
        key = segment[FLOW_KEY]
        homes = state.homes(route.listener.service, key)
        if extra_home is not None and extra_home not in homes:
            homes += (extra_home,)
        for home in homes:
            if not state.is_self(home):
                state.send(
                    home,
                    DatagramKind.REPLICATE,
                    segment,
                    route.endpoint,
                    _SENT_TO_ALL_HOMES,
                )
        self._send_syn_to_target(segment, route)

    def _send_syn_to_target(self, segment: bytes, route: Route) -> None:
        """Send a SYN to its target unless the target may not get segments.

        A SYN that is not sent counts as unreachable.
        """
        state = self._state
        if not route.is_allowed or not route.is_reachable:
            state.counters.unreachable += 1
            return
        state.counters.forwarded += 1
        state.monitor.check_target(route.address, segment)
        state.outbox.to_target(
            route.address,
            translate_destination(segment, route.to_target),
        )

    def _apply_shards(self, shards: list[ShardKey], now_s: float) -> None:
        """Apply targets to shards, and count the open flows of new shards."""
        taken_over = sorted(set(shards) - set(self.admissions))
        services = {
            name: self._activation.service_with_active_targets(name, now_s)
            for name, _ in shards
        }
        for shard in shards:
            self._apply_shard(shard, services[shard.service], now_s)
        if taken_over:
            restored = {new: self.admissions[new] for new in taken_over}
            restore_shards(self._state, restored, now_s)

    def _apply_shard(
        self, shard: ShardKey, active: Service, now_s: float
    ) -> None:
        routes = self._state.routes
        admission = self.admissions.get(shard)
        is_new = admission is None
        if admission is None:
            admission = self._create_admission(shard, now_s)
            self.admissions[shard] = admission
        declared = targets_of_shard(
            routes.services[shard.service],
            shard.index,
        )
        targets = tuple(
            target
            for target in declared
            if self._activation.is_active(target, now_s)
        )
        admission.apply(active, targets, routes.zones_out, now_s)
        if is_new:
            self.warmups.note_created(shard, admission, now_s)

    def _create_admission(
        self, shard: ShardKey, now_s: float
    ) -> ShardAdmission:
        return ShardAdmission(
            shard.service,
            shard.index,
            AdmissionSettings(takeover_s=self._state.limits.takeover_s),
            self._state.rng,
            now_s,
            takeover=self._follows_failure(shard),
        )

    def _follows_failure(self, shard: ShardKey) -> bool:
        """Tell whether the previous owner of a shard may still decide for it.

        This is so if this instance decides in its place, or if it is no member
        any more: it may still run, without contact to this instance. A live
        previous owner releases the shard when it is asked about a flow.
        """
        state = self._state
        if shard in self._failover_keys:
            return True
        for view in state.views.earlier[:1]:
            homes = view.homes(shard)
            if homes and not state.is_self(homes[0]):
                return member_id(homes[0].name) not in state.peers
        return False

    def _forward_queued(self, now_s: float) -> None:
        """Send queued SYNs of released shards to the new owners."""
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

    def _expire_openings(self, now_s: float) -> None:
        limit_s = now_s - OPENING_LIFETIME_S
        while self._openings:
            key = next(iter(self._openings))
            if self._openings[key].since_s > limit_s:
                return
            del self._openings[key]


def _is_live(binding: Binding) -> bool:
    """Tell whether a flow is not closed and its target still allowed."""
    return binding.state is not FlowState.CLOSED and binding.route.is_allowed


def _contradicts(known: Binding, route: Route) -> bool:
    """Tell whether a flow is live at another target and past its opening."""
    return (
        known.route is not route
        and known.state is not FlowState.OPENING
        and _is_live(known)
    )
