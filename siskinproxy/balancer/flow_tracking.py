"""Tracking of the TCP state of flows at their homes."""

from collections import deque
from typing import Final, Protocol

from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.balancer.routes import Route
from siskinproxy.callers.flow_state import has_released_slot, next_state
from siskinproxy.callers.flow_table import Binding, FlowState
from siskinproxy.fabric.segments import (
    FLAGS_OFFSET,
    FLOW_KEY,
    MIN_SEGMENT_BYTES,
    RST,
    SYN,
)
from siskinproxy.instances.tunnel import DatagramKind, TunnelHeader

__all__ = ('FlowObserver', 'FlowTracker')

#: Time for which the entry of a closed flow still routes acknowledgments and
#: retransmissions, as the TIME-WAIT state of TCP does.
TIME_WAIT_S: Final = 2.0

#: Time for which a second target that accepted a flow is remembered. Callers
#: retransmit within it if the first one does not know their connection.
OTHER_ACCEPTOR_S: Final = 10.0


class FlowObserver(Protocol):
    """Part of the engine that is told of the state changes of flows."""

    def flow_accepted(self, key: bytes, route: Route, now_s: float) -> None:
        """Record that the target accepted the connection."""

    def flow_released(
        self, key: bytes, route: Route, reset: bool, now_s: float
    ) -> None:
        """Record that the flow no longer uses its target.

        Parameters
        ----------
        key : bytes
            Flow key.
        route : Route
            Route to its target.
        reset : bool
            True if the target ended the flow with an RST.
        now_s : float
            Time in seconds.
        """

    def flow_abandoned(self, key: bytes, route: Route, now_s: float) -> None:
        """Record that a flow ended without a FIN or RST of its target."""

    def flow_cancelled(self, key: bytes, service: str, now_s: float) -> None:
        """Record that the caller ended a flow that has no target yet."""

    def replace_opening(
        self, key: bytes, binding: Binding, now_s: float
    ) -> bool:
        """Replace the entry of an opening flow; return whether it was."""


class FlowTracker:
    """Updates flow entries on SYN, FIN and RST and removes closed entries.

    Parameters
    ----------
    state : EngineState
        Tables and views.
    observer : FlowObserver
        Gets the state changes that matter for admission.
    """

    __slots__ = ('_closed_flows', '_observer', '_state')

    def __init__(self, state: EngineState, observer: FlowObserver) -> None:
        self._state = state
        self._observer = observer
        self._closed_flows: deque[tuple[float, bytes]] = deque()

    def publish(
        self, service: str, key: bytes, segment: bytes, now_s: float
    ) -> None:
        """Send the header of a segment with SYN, FIN or RST to all homes.

        The header is sent on the packet path, so a state change costs no
        control traffic. Each home gets its own datagram: passed from home to
        home, the change would be lost for all homes after a failed one.
        Suspected homes get it too: after a false suspicion the owner would
        otherwise keep slots in use for flows that have ended.
        """
        state = self._state
        notice = segment[:MIN_SEGMENT_BYTES]
        shard = state.shard(service, key)
        for home in state.views.current.homes(shard):
            if state.is_self(home):
                self.observe(service, key, notice, now_s)
            else:
                state.send(home, DatagramKind.STATE_CHANGE, notice)

    def on_notice(
        self, header: TunnelHeader, notice: bytes, now_s: float
    ) -> None:
        """Handle a state change that another instance observed."""
        state = self._state
        route = state.routes.by_target.get(notice[12:16] + notice[20:22])
        if route is not None:
            service, key = route.listener.service, route.answer_key(notice)
        else:
            listener = state.routes.listeners.get(
                notice[16:20] + notice[22:24],
            )
            if listener is None:
                return
            service, key = listener.service, notice[FLOW_KEY]
        self.observe(service, key, notice, now_s)

    def observe(
        self, service: str, key: bytes, segment: bytes, now_s: float
    ) -> None:
        """Apply a segment with SYN, FIN or RST to the entry of its flow."""
        state = self._state
        source = segment[12:16] + segment[20:22]
        binding = state.home_binding(key)
        if binding is None:
            if source not in state.routes.by_target:
                self._observer.flow_cancelled(key, service, now_s)
            return
        route = binding.route
        is_from_target = source == route.endpoint
        flags = segment[FLAGS_OFFSET]
        other = state.routes.by_target.get(source)
        if not is_from_target and other is not None:
            state.counters.crossed += 1
            if flags & SYN:
                self._note_other_acceptor(key, binding, other, now_s)
            return
        if flags & SYN and is_from_target:
            self._observer.flow_accepted(key, route, now_s)
        self._apply_flags(key, binding, flags, is_from_target, now_s)

    def _note_other_acceptor(
        self, key: bytes, binding: Binding, other: Route, now_s: float
    ) -> None:
        """Handle the SYN-ACK of a target that the entry does not name.

        An instance has forwarded it to the caller. If the target of the entry
        has not accepted the flow, the flow belongs to the other target.
        """
        if other.listener is not binding.route.listener:
            return
        established = other.bindings[FlowState.ESTABLISHED]
        if not self._observer.replace_opening(key, established, now_s):
            self._state.other_acceptors[key] = (now_s, other)

    def expire(self, now_s: float) -> None:
        """Remove entries of flows closed at least `TIME_WAIT_S` ago."""
        acceptors = self._state.other_acceptors
        while acceptors:
            oldest, (noted_s, _) = next(iter(acceptors.items()))
            if noted_s + OTHER_ACCEPTOR_S > now_s:
                break
            del acceptors[oldest]
        while self._closed_flows and self._closed_flows[0][0] <= now_s:
            _, key = self._closed_flows.popleft()
            binding = self._state.home_binding(key)
            if binding and binding.state is FlowState.CLOSED:
                self._state.table_of(binding.route).pop(key)

    def release_expired(
        self, expired: dict[bytes, Binding], now_s: float
    ) -> None:
        """Release the targets of flows whose entries expired while open."""
        for key, binding in expired.items():
            if not has_released_slot(binding.state):
                self._observer.flow_abandoned(key, binding.route, now_s)

    def _apply_flags(
        self,
        key: bytes,
        binding: Binding,
        flags: int,
        is_from_target: bool,
        now_s: float,
    ) -> None:
        """Store the state of a flow after TCP flags, and tell the observer."""
        following = next_state(binding.state, flags, is_from_target)
        if following is binding.state:
            return
        route = binding.route
        self._state.store(key, route, following)
        if _releases_slot(route, binding.state, following):
            if flags & RST and not is_from_target:
                self._observer.flow_abandoned(key, route, now_s)
            else:
                was_reset = bool(flags & RST)
                self._observer.flow_released(key, route, was_reset, now_s)
        if following is FlowState.CLOSED:
            self._state.counters.closed += 1
            self._closed_flows.append((now_s + TIME_WAIT_S, key))


def _releases_slot(route: Route, before: FlowState, after: FlowState) -> bool:
    """Tell whether a change of state releases the target's slot.

    A request holds its slot until the response is complete, a flow in mode
    ``stream`` its connection until both sides have closed.
    """
    if route.listener.listener.mode == 'request':
        return has_released_slot(after) and not has_released_slot(before)
    return after is FlowState.CLOSED
