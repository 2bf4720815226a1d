"""Admission control for the targets of one shard of a service.

The instance that owns the shard decides about each new flow: it selects a
target, queues the flow, or refuses it. The decisions take into account the
limits of the targets, cold starts, priorities, deadlines and retries.
"""

import heapq
import itertools
import math
import random
import statistics
from collections.abc import Iterable
from typing import Final

from siskinproxy.callers.admission_decisions import (
    Admitted,
    AdmittedReason,
    Queued,
    QueuedReason,
    Refused,
    RefusedReason,
)
from siskinproxy.callers.admission_queue import AdmissionQueue, QueuedFlow
from siskinproxy.callers.retry_budget import RetryBudget
from siskinproxy.errors import InvariantViolation
from siskinproxy.operators.configuration import (
    MAX_TARGETS_PER_SHARD,
    Listener,
    Service,
    Target,
)
from siskinproxy.targets.admission_settings import AdmissionSettings
from siskinproxy.targets.cold_start import ColdStartReason
from siskinproxy.targets.selection import relative_busy_s, select_target
from siskinproxy.targets.target_state import (
    FlowRecord,
    Mode,
    TargetReport,
    TargetState,
)

__all__ = ('ShardAdmission',)

#: Interval at which limits, warm-ups and stalled targets are evaluated.
REFRESH_S: Final = 0.02
#: A retransmitted opening segment (SYN) after this time shows that the target
#: did not answer. Just under the initial retransmission timeout of TCP (1 s,
#: RFC 6298).
UNANSWERED_AFTER_S: Final = 0.9
#: Slowdown relative to the median of the other targets above which a warm-up
#: keeps the load constant.
WARMUP_HOLD_FACTOR: Final = 2.0
#: Time reserved for a request before its deadline, in mean deviations above
#: the mean completion time, as in the retransmission timeout of RFC 6298.
DEADLINE_MARGIN_DEVIATIONS: Final = 4
#: Number of usual completion times after which the slot of a restored request
#: is released at the latest. The notice of its end may have reached only the
#: earlier owner. If the request is still in progress, the target may get one
#: flow too many, but a warm target refuses what exceeds its slots.
RESTORED_COMPLETIONS: Final = 5.0
#: Signs of a cold start that packet loss or a slow network can also cause.
SLOW_REASONS: Final = frozenset(
    (ColdStartReason.STALLED, ColdStartReason.SLOW_COMPLETIONS),
)
#: Time for which slow responses do not count after most targets were slow at
#: once. Packet loss due to a failed instance lasts until the fabric's list of
#: instances is up to date.
COMMON_CAUSE_HOLDOFF_S: Final = 3.0
_MS_PER_S: Final = 1000.0

_Decision = Admitted | Refused


class ShardAdmission:
    """Admission of new flows to the targets of one shard.

    Only the owner of the shard decides, so limits hold without coordination
    between instances. Times are passed in and never decrease.

    Parameters
    ----------
    service : str
        Name of the service.
    index : int
        Number of the shard within the service.
    limits : AdmissionSettings
        Settings of the admission decisions.
    rng : random.Random
        Random number generator for the selection of targets.
    now_s : float
        Current time in seconds.
    takeover : bool
        Whether another instance may still act as owner. If so, targets that
        are warming up get only half of their limits for
        ``limits.takeover_s``.
    """

    def __init__(
        self,
        service: str,
        index: int,
        limits: AdmissionSettings,
        rng: random.Random,
        now_s: float,
        takeover: bool,
    ) -> None:
        self.service = service
        self.index = index
        self._limits = limits
        self._rng = rng
        self._halved_until_s = now_s + limits.takeover_s if takeover else now_s
        self._is_configured = False
        self._service_target_names: frozenset[str] = frozenset()
        self._states: dict[str, TargetState] = {}
        self._flows: dict[bytes, FlowRecord] = {}
        self._expiry_heap: list[tuple[float, int, FlowRecord]] = []
        self._sequence = itertools.count()
        self._queue = AdmissionQueue()
        self._undelivered: dict[bytes, _Decision] = {}
        self._reachable_zones: frozenset[str] = frozenset()
        self._budget = RetryBudget(limits.retry_ratio, limits.min_retries_per_s)
        self._refreshed_s = -math.inf
        self._completion_s = limits.default_completion_s
        self._common_cause_until_s = -math.inf
        self._completion_bound_s = limits.default_completion_s
        # Computed on demand and discarded by the next refresh.
        self._mean_busy_s: dict[Mode, float] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether flows are queued, so that a freed slot is used at once."""
        return bool(len(self._queue))

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
        """Apply a new configuration.

        New targets, those that return to service and those whose address has
        changed start a warm-up. Exceptions are new targets at the first call,
        when nothing shows that they are cold, and targets that belonged to
        another shard of the service.

        Parameters
        ----------
        service : Service
            The service as declared.
        targets : tuple of Target
            Targets of this shard.
        zones_out : frozenset of str
            Zones that are out of service. Flows to their targets are
            abandoned; later calls for those flows must not be made.
        now_s : float
            Current time in seconds.
        """
        previous = self._states
        self._states = {}
        for target in targets:
            known = previous.pop(target.name, None)
            state = self._updated_state(known, target, zones_out, now_s)
            self._states[target.name] = state
        for name, state in previous.items():
            # A removed target keeps its flows, as a draining one does.
            state.retired = True
            if state.requests.count or state.streams.count:
                self._states[name] = state
        self._requeue_undelivered(now_s)
        for state in self._states.values():
            if state.target.zone in zones_out:
                self._abandon_flows(state, now_s)
        shards = max(-(-len(service.targets) // MAX_TARGETS_PER_SHARD), 1)
        self._budget.min_retries_per_s = -(
            -self._limits.min_retries_per_s // shards
        )
        self._service_target_names = frozenset(
            item.name for item in service.targets
        )
        self._is_configured = True
        self._refresh(now_s)

    def set_reachable_zones(
        self, reachable_zones: frozenset[str], now_s: float
    ) -> None:
        """Set the zones whose targets may get new flows.

        ``open`` does the same. Call this when the zones change between calls
        of ``open``, since queued flows and retries use the last known zones.

        Parameters
        ----------
        reachable_zones : frozenset of str
            Zones whose targets this instance may send segments to.
        now_s : float
            Current time in seconds.
        """
        if reachable_zones != self._reachable_zones:
            self._reachable_zones = reachable_zones
            self._requeue_undelivered(now_s)

    def resume_warmup(
        self, target_name: str, fraction: float, now_s: float
    ) -> None:
        """Continue a warm-up that another owner has begun.

        Parameters
        ----------
        target_name : str
            The target; nothing happens if it is already warming up.
        fraction : float
            Share of the full load that the other owner granted.
        now_s : float
            Current time in seconds.
        """
        state = self._states.get(target_name)
        if state is None or not state.serves or state.warmup is not None:
            return
        state.begin_warmup(ColdStartReason.ANNOUNCED, now_s)
        state.warmup.skip_to(fraction)
        self._refresh(now_s)

    def open(
        self,
        key: bytes,
        listener: Listener,
        ingress_zone: str,
        reachable_zones: frozenset[str],
        now_s: float,
    ) -> Admitted | Queued | Refused:
        """Decide about a new flow.

        A repeated call for a flow that is admitted returns the same target; a
        flow that is queued keeps its position.

        Parameters
        ----------
        key : bytes
            Flow key: packed addresses and ports of caller and listener.
        listener : Listener
            Listener of the flow, with its mode, priority and deadline.
        ingress_zone : str
            Zone of the instance that received the opening segment.
        reachable_zones : frozenset of str
            Zones whose targets this instance may send segments to.
        now_s : float
            Current time in seconds.

        Returns
        -------
        Admitted or Queued or Refused
            The decision. For a queued flow, ``poll`` returns the final one.
        """
        self.set_reachable_zones(reachable_zones, now_s)
        self._refresh_if_due(now_s)
        repeated = self._repeated_decision(key, now_s)
        if repeated is not None:
            return repeated
        self._queue.note_arrival(listener.priority, now_s)
        self._dispatch(now_s)
        deadline_at_s = now_s + listener.deadline_ms / _MS_PER_S
        flow = QueuedFlow(key, listener, ingress_zone, now_s, deadline_at_s)
        admitted = self._admit(flow, now_s)
        if admitted is not None:
            return admitted
        refusal = self._refusal_reason(
            flow, self._queue.count_ahead(listener.priority), now_s
        )
        if refusal is not None:
            return Refused(refusal)
        self._queue.push(flow)
        return Queued(self._queued_reason(listener.mode))

    def restore(
        self,
        key: bytes,
        listener: Listener,
        target_name: str,
        now_s: float,
    ) -> None:
        """Count a flow that another owner of the shard admitted.

        Parameters
        ----------
        key : bytes
            Flow key.
        listener : Listener
            Listener of the flow, with its mode, priority and deadline.
        target_name : str
            Target of the flow.
        now_s : float
            Current time in seconds.
        """
        self._queue.remove(key)
        known = self._flows.get(key)
        if known is not None:
            if known.state.target.name == target_name:
                return
            self._remove(known, now_s)
        state = self._states.get(target_name)
        if state is None or state.out_of_service:
            return
        if listener.mode == 'stream':
            state.streams.change(1, now_s)
            return
        deadline_at_s = now_s + listener.deadline_ms / _MS_PER_S
        record = FlowRecord(key, listener, state, now_s, deadline_at_s)
        record.accepted = True
        record.restored = True
        self._add(record, now_s)

    def restore_streams(
        self, target_name: str, count: int, now_s: float
    ) -> None:
        """Count flows in mode ``stream`` that another owner admitted.

        Parameters
        ----------
        target_name : str
            Target of the flows.
        count : int
            Number of flows, none of which this owner knows yet.
        now_s : float
            Current time in seconds.
        """
        state = self._states.get(target_name)
        if state is not None and not state.out_of_service:
            state.streams.change(count, now_s)

    def accepted(self, key: bytes, now_s: float) -> None:
        """Record that the target accepted the opening segment of a flow.

        Parameters
        ----------
        key : bytes
            Flow key.
        now_s : float
            Current time in seconds.
        """
        record = self._flows.get(key)
        if record is None:
            return
        record.accepted = True
        record.state.note_accepted()
        if record.listener.mode == 'stream':
            self._flows.pop(key)

    def usage(self, name: str, mode: Mode) -> tuple[int, int]:
        """Return the number of flows in progress at a target and its limit.

        Parameters
        ----------
        name : str
            Name of the target.
        mode : {'request', 'stream'}
            Mode of the listener.

        Returns
        -------
        tuple of int
            Flows in progress and the limit in force.
        """
        state = self._states[name]
        return state.occupancy(mode).count, state.limit(mode)

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        """Decide about a flow whose opening segment the target refused.

        A flow in mode ``stream`` that was admitted more than
        ``limits.opening_record_s`` ago has no record any more. It is refused
        as cancelled, and ``closed`` has to release its connection.

        Parameters
        ----------
        key : bytes
            Flow key.
        now_s : float
            Current time in seconds.

        Returns
        -------
        Admitted or Refused
            Another target, or the reason why there is no retry.

        Raises
        ------
        InvariantViolation
            The target had accepted the flow, so that it may be executing the
            request and a refusal would be false.
        """
        self._refresh_if_due(now_s)
        record = self._flows.get(key)
        if record is None:
            return Refused(RefusedReason.CANCELLED)
        if record.accepted:
            detail = f'service={self.service} key={key.hex()}'
            raise InvariantViolation('truthful_refusal', detail)
        state = record.state
        self._remove(record, now_s)
        state.detector.note_refused()
        self._check_cold_start(state, now_s)
        refused_by = record.refused_by | {state.target.name}
        if now_s + self._completion_s > record.deadline_at_s:
            return Refused(RefusedReason.RETRY_DEADLINE)
        if not self._budget.allows(now_s):
            return Refused(RefusedReason.RETRY_BUDGET_EXHAUSTED)
        return self._retry(record, refused_by, now_s)

    def closed(
        self,
        key: bytes,
        listener: Listener,
        target_name: str,
        reset: bool,
        now_s: float,
    ) -> None:
        """Release the slot or connection of a flow that ended.

        Parameters
        ----------
        key : bytes
            Flow key.
        listener : Listener
            Listener of the flow, with its mode, priority and deadline.
        target_name : str
            Target of the flow, used for flows in mode ``stream``.
        reset : bool
            Whether the target reset the flow.
        now_s : float
            Current time in seconds.
        """
        self._discard_pending(key)
        record = self._flows.get(key)
        if record is None:
            state = self._states.get(target_name)
            if listener.mode == 'stream' and state is not None:
                state.streams.change(-1, now_s)
            return
        self._remove(record, now_s)
        if listener.mode == 'stream' or record.restored:
            return
        state = record.state
        if reset:
            state.detector.note_reset()
        else:
            state.note_completed(record, now_s)
        self._check_cold_start(state, now_s)

    def cancel(self, key: bytes, now_s: float) -> None:
        """Release a flow that its caller gave up.

        For flows in mode ``stream`` that were accepted, or admitted more than
        ``limits.opening_record_s`` ago, call ``closed`` instead: they have no
        record here, and only the caller of this method knows their target.

        Parameters
        ----------
        key : bytes
            Flow key.
        now_s : float
            Current time in seconds.
        """
        self._discard_pending(key)
        record = self._flows.get(key)
        if record is None:
            return
        self._remove(record, now_s)
        if record.listener.mode == 'request' and not record.restored:
            record.state.detector.note_abandoned(
                record.listener.target_port, now_s - record.started_s
            )
            self._check_cold_start(record.state, now_s)

    def poll(self, now_s: float) -> tuple[tuple[bytes, _Decision], ...]:
        """Return the decisions about queued flows since the last call.

        Call it every 10 ms, and whenever a flow ends while `has_waiting` is
        true. With the timer alone, a slot stays free for up to 10 ms after
        each request, which costs 7% to 11% of the capacity under overload
        (docs/admission.md).

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of (bytes, Admitted or Refused)
            Flow keys with their final decision.
        """
        self._release_expired(now_s)
        if now_s - self._refreshed_s >= REFRESH_S:
            self._refresh(now_s)
            self._refuse_unservable(now_s)
        self._dispatch(now_s)
        decided = tuple(self._undelivered.items())
        self._undelivered.clear()
        return decided

    def report(self, now_s: float) -> tuple[TargetReport, ...]:
        """Return the state of all targets.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of TargetReport
            One report for each target, ordered by name.
        """
        self._refresh_if_due(now_s)
        return tuple(
            self._states[name].report(now_s) for name in sorted(self._states)
        )

    def _updated_state(
        self,
        state: TargetState | None,
        target: Target,
        zones_out: frozenset[str],
        now_s: float,
    ) -> TargetState:
        """Return the state of a target, with a new declaration applied."""
        out_of_service = target.zone in zones_out
        if state is None:
            state = TargetState(target, now_s)
            moved = target.name in self._service_target_names
            returns = self._is_configured and not moved
        else:
            returns = not state.serves or state.target.address != target.address
        state.target = target
        state.retired = False
        state.out_of_service = out_of_service
        if returns and state.serves:
            state.begin_warmup(ColdStartReason.ANNOUNCED, now_s)
        return state

    def _requeue_undelivered(self, now_s: float) -> None:
        """Queue admitted flows again if their target is no longer eligible.

        Only decisions that `poll` has not returned yet can be withdrawn.
        """
        serving = self._reachable_targets()
        for key in tuple(self._undelivered):
            record = self._flows.get(key)
            if record is None or record.state in serving:
                continue
            self._undelivered.pop(key)
            self._remove(record, now_s)
            flow = QueuedFlow(
                key, record.listener, '', record.started_s, record.deadline_at_s
            )
            self._queue.push(flow)

    def _abandon_flows(self, state: TargetState, now_s: float) -> None:
        """Release all flows of a target whose zone is out of service."""
        state.out_of_service = True
        state.abandon_flows(now_s)
        lost = [key for key, item in self._flows.items() if item.state is state]
        for key in lost:
            self._flows.pop(key)
            self._undelivered.pop(key, None)

    def _repeated_decision(
        self, key: bytes, now_s: float
    ) -> Admitted | Queued | Refused | None:
        """Return the decision about a known flow, or None for a new one."""
        record = self._flows.get(key)
        if record is None:
            if key in self._queue:
                return Queued(QueuedReason.REPEATED)
            # A refusal that poll has not returned yet.
            return self._undelivered.pop(key, None)
        if not (record.accepted or record.unanswered):
            if now_s - record.started_s >= UNANSWERED_AFTER_S:
                self._note_unanswered(record, now_s)
        # This call delivers a decision that poll has not returned yet.
        self._undelivered.pop(key, None)
        return Admitted(record.state.target, AdmittedReason.REPEATED)

    def _note_unanswered(self, record: FlowRecord, now_s: float) -> None:
        """Count an opening segment without an answer as a refusal."""
        record.unanswered = True
        record.state.detector.note_refused()
        self._check_cold_start(record.state, now_s)

    def _discard_pending(self, key: bytes) -> None:
        """Remove a flow from the queue and from the undelivered decisions."""
        self._queue.remove(key)
        self._undelivered.pop(key, None)

    def _reachable_targets(self) -> list[TargetState]:
        """Return the targets in service whose zones can be reached."""
        zones = self._reachable_zones
        return [
            state
            for state in self._states.values()
            if state.serves and state.target.zone in zones
        ]

    def _candidates(self, mode: Mode, now_s: float) -> list[TargetState]:
        """Return the targets that may get a flow of this mode now."""
        return [
            state
            for state in self._reachable_targets()
            if state.has_room(mode) and state.may_start(now_s)
        ]

    def _admit(self, flow: QueuedFlow, now_s: float) -> Admitted | None:
        """Start a flow that no target has refused; None without a target."""
        admitted = self._start(flow, frozenset(), now_s)
        if admitted is None:
            return None
        self._budget.note_admitted(now_s)
        return admitted

    def _start(
        self,
        flow: QueuedFlow,
        refused_by: frozenset[str],
        now_s: float,
    ) -> Admitted | None:
        """Select a target, other than those that refused, for a flow."""
        mode = flow.listener.mode
        candidates = [
            state
            for state in self._candidates(mode, now_s)
            if state.target.name not in refused_by
        ]
        if not candidates:
            return None
        state, reason = select_target(
            candidates,
            mode,
            flow.ingress_zone,
            self._mean_busy(mode, now_s),
            now_s,
            self._rng,
        )
        record = FlowRecord(
            flow.key, flow.listener, state, now_s, flow.deadline_at_s
        )
        record.refused_by = refused_by
        self._add(record, now_s)
        if state.warmup is not None:
            rate_per_s = self._full_start_rate_per_s(state, mode)
            state.warmup.note_start(now_s, rate_per_s)
        return Admitted(state.target, reason)

    def _retry(
        self,
        record: FlowRecord,
        refused_by: frozenset[str],
        now_s: float,
    ) -> Admitted | Refused:
        """Start a flow again at a target that has not refused it."""
        flow = QueuedFlow(
            record.key,
            record.listener,
            '',
            record.started_s,
            record.deadline_at_s,
        )
        admitted = self._start(flow, refused_by, now_s)
        if admitted is None:
            return Refused(RefusedReason.NO_CAPACITY)
        self._budget.note_retried(now_s)
        return Admitted(admitted.target, AdmittedReason.RETRY_AFTER_REFUSAL)

    def _add(self, record: FlowRecord, now_s: float) -> None:
        """Count an admitted flow and schedule the expiry of its record."""
        state = record.state
        mode = record.listener.mode
        self._flows[record.key] = record
        if mode == 'request':
            state.flows[record.key] = record
            expires_s = record.deadline_at_s + self._limits.deadline_grace_s
            if record.restored:
                expected_s = RESTORED_COMPLETIONS * self._completion_s
                expires_s = min(expires_s, now_s + expected_s)
        else:
            expires_s = now_s + self._limits.opening_record_s
        state.occupancy(mode).change(1, now_s)
        entry = (expires_s, next(self._sequence), record)
        heapq.heappush(self._expiry_heap, entry)

    def _remove(self, record: FlowRecord, now_s: float) -> None:
        """Delete the record of a flow and release its slot or connection."""
        state = record.state
        self._flows.pop(record.key)
        state.flows.pop(record.key, None)
        state.occupancy(record.listener.mode).change(-1, now_s)

    def _release_expired(self, now_s: float) -> None:
        """Delete records that have expired.

        A request also releases its slot; a stream keeps its connection until
        ``closed`` is called.
        """
        while self._expiry_heap and self._expiry_heap[0][0] <= now_s:
            record = heapq.heappop(self._expiry_heap)[2]
            if self._flows.get(record.key) is not record:
                continue
            self._undelivered.pop(record.key, None)
            if record.listener.mode == 'stream':
                # The notice of an acceptance may be lost. While the flow is
                # open, its absence does not show that the target is down.
                self._flows.pop(record.key)
                continue
            if not (record.accepted or record.unanswered):
                self._note_unanswered(record, now_s)
            self._remove(record, now_s)

    def _full_start_rate_per_s(self, state: TargetState, mode: Mode) -> float:
        """Return the rate at which a warm target can start flows.

        For streams it is the rate that reaches the limit of connections within
        the warm-up time.
        """
        target = state.target
        if mode == 'request':
            return max(target.slots, 1) / self._completion_s
        return max(target.connections, 1) / max(target.warmup_s, 1)

    def _start_rate_per_s(self, state: TargetState, mode: Mode) -> float:
        """Return the expected rate at which a target takes queued flows."""
        warmup = state.warmup
        if mode == 'request':
            completion_s = state.detector.recent_completion_s
            rate = state.request_limit / (completion_s or self._completion_s)
        else:
            # Streams are not expected to end in time, so a full target counts
            # as taking none. Only a target that paces its flows is expected to
            # take queued streams.
            has_room = warmup is not None and state.has_room(mode)
            rate = math.inf if has_room else 0
        if warmup is None:
            return rate
        full_rate = self._full_start_rate_per_s(state, mode)
        return min(rate, warmup.fraction * full_rate)

    def _queued_reason(self, mode: Mode) -> QueuedReason:
        """Return what a flow of this mode waits for."""
        if any(state.has_room(mode) for state in self._reachable_targets()):
            return QueuedReason.WARM_UP_PACING
        return QueuedReason.ALL_SLOTS_BUSY

    def _refusal_reason(
        self, flow: QueuedFlow, ahead: int, now_s: float
    ) -> RefusedReason | None:
        """Return why a flow can't be served before its deadline, or None.

        The expected wait follows from the number of flows ahead, the rate at
        which targets take flows, and the arrivals that overtake.
        """
        serving = self._reachable_targets()
        if not serving:
            if any(state.serves for state in self._states.values()):
                return RefusedReason.ZONE_UNREACHABLE
            return RefusedReason.NO_TARGET
        mode = flow.listener.mode
        rate_per_s = sum(
            self._start_rate_per_s(state, mode)
            for state in serving
            if not state.is_backing_off(now_s)
        )
        if rate_per_s == 0:
            return RefusedReason.NO_CAPACITY
        priority = flow.listener.priority
        overtaking = self._queue.higher_priority_arrivals_per_s(priority, now_s)
        remaining_s = flow.deadline_at_s - now_s
        if mode == 'request':
            remaining_s -= self._completion_bound_s
        if ahead + 1 <= remaining_s * (rate_per_s - overtaking):
            return None
        overtaken = self._queue.count_higher_priority(priority)
        if ahead - overtaken + 1 <= remaining_s * rate_per_s:
            return RefusedReason.LOWER_PRIORITY
        return RefusedReason.QUEUE_DEADLINE

    def _refuse_unservable(self, now_s: float) -> None:
        """Refuse the queued flows that are expected to miss their deadline."""
        ahead = 0
        for flow in self._queue:
            reason = self._refusal_reason(flow, ahead, now_s)
            if reason is None:
                ahead += 1
                continue
            self._queue.remove(flow.key)
            self._undelivered[flow.key] = Refused(reason)

    def _dispatch(self, now_s: float) -> None:
        """Admit queued flows in order until no target can get another one.

        A mode without an available target does not delay the other mode.
        """
        blocked: set[str] = set()
        for flow in self._queue:
            if flow.listener.mode in blocked:
                continue
            admitted = self._admit(flow, now_s)
            if admitted is None:
                blocked.add(flow.listener.mode)
                if len(blocked) == 2:
                    # Neither requests nor streams can be admitted.
                    return
                continue
            self._queue.remove(flow.key)
            self._undelivered[flow.key] = admitted

    def _check_cold_start(self, state: TargetState, now_s: float) -> None:
        """Start a warm-up if recent flows show that the target is cold."""
        detector = state.detector
        if detector.cold_start(1) is None:
            # The slowdown of the other targets can only raise the threshold,
            # so most calls need not compute it.
            return
        reason = detector.cold_start(self._peer_slowdown(state))
        if reason is ColdStartReason.SLOW_COMPLETIONS and state.warmup:
            return
        if reason is None:
            return
        if reason is ColdStartReason.REFUSALS:
            state.back_off(now_s)
        self._begin_warmup(state, reason, now_s)
        self._refresh(now_s)

    def _begin_warmup(
        self, state: TargetState, reason: ColdStartReason, now_s: float
    ) -> None:
        """Start a warm-up unless most targets are slow at the same time.

        Slowness of most targets has a common cause, such as packet loss in the
        network. If all of them warmed up, nearly all flows would be refused.
        Warm-ups that slowness has started are therefore cancelled, and neither
        slowness nor resets start one for `COMMON_CAUSE_HOLDOFF_S`. Refusals
        always start one.
        """
        if reason is ColdStartReason.REFUSALS:
            state.begin_warmup(reason, now_s)
            return
        if now_s < self._common_cause_until_s:
            return
        serving = [item for item in self._states.values() if item.serves]
        slow = [item for item in serving if item.cold_start in SLOW_REASONS]
        slow = [item for item in slow if item.warmup is not None]
        if 2 * (len(slow) + 1) <= max(len(serving), 2):
            state.begin_warmup(reason, now_s)
            return
        self._common_cause_until_s = now_s + COMMON_CAUSE_HOLDOFF_S
        for item in slow:
            item.warmup = None
            item.detector.restart()
        state.detector.restart()

    def _peer_slowdown(self, state: TargetState) -> float:
        """Return the median slowdown of the other warm targets."""
        peers = [
            peer.detector.slowdown
            for peer in self._states.values()
            if peer is not state and peer.serves and peer.warmup is None
        ]
        return statistics.median(peers) if peers else 1.0

    def _refresh_if_due(self, now_s: float) -> None:
        if now_s - self._refreshed_s >= REFRESH_S:
            self._refresh(now_s)

    def _refresh(self, now_s: float) -> None:
        """Update completion times, stalled targets, warm-ups and limits."""
        self._refreshed_s = now_s
        self._update_completion_times()
        serving = [state for state in self._states.values() if state.serves]
        self._update_stalls(serving, now_s)
        for state in serving:
            self._advance_warmup(state, now_s)
        warm = [item for item in serving if item.warmup is None]
        self._update_limits(warm, now_s)
        self._mean_busy_s.clear()

    def _mean_busy(self, mode: Mode, now_s: float) -> float:
        """Return the mean of `relative_busy_s` over the warm targets."""
        mean_s = self._mean_busy_s.get(mode)
        if mean_s is None:
            mean_s = _mean(
                relative_busy_s(item, mode, now_s)
                for item in self._states.values()
                if item.serves and item.warmup is None
            )
            self._mean_busy_s[mode] = mean_s
        return mean_s

    def _update_completion_times(self) -> None:
        """Update the expected completion time and its upper bound."""
        times = [
            state.detector.recent_completion_s
            for state in self._states.values()
            if state.serves and state.detector.recent_completion_s
        ]
        if not times:
            return
        self._completion_s = statistics.median(times)
        bounds = (
            state.detector.recent_completion_s
            + DEADLINE_MARGIN_DEVIATIONS * state.detector.recent_deviation_s
            for state in self._states.values()
            if state.serves and state.detector.recent_completion_s
        )
        self._completion_bound_s = statistics.median(bounds)

    def _update_stalls(self, serving: list[TargetState], now_s: float) -> None:
        """Restrict stalled targets; start a warm-up of those that are cold."""
        levels = [state.stall_level(now_s) for state in serving]
        if 2 * sum(level >= 1 for level in levels) > len(levels):
            # A cold start does not explain that most targets are slow.
            levels = [0] * len(levels)
        for state, level in zip(serving, levels, strict=True):
            state.set_stalled(level >= 1, now_s)
            if state.is_cold(level) and state.warmup is None:
                self._begin_warmup(state, ColdStartReason.STALLED, now_s)

    def _advance_warmup(self, state: TargetState, now_s: float) -> None:
        """Move a warm-up forward, and end it when it is complete."""
        warmup = state.warmup
        if warmup is None:
            return
        if state.awaits_acceptance:
            # A target that is down is not warming up yet. Its cold start
            # begins when it accepts flows again, which may be seconds after
            # the resets or refusals that started the warm-up.
            warmup.restart(now_s)
            return
        peer_slowdown = max(self._peer_slowdown(state), 1)
        slowdown = state.detector.slowdown
        warmup.advance(
            now_s, hold=slowdown > WARMUP_HOLD_FACTOR * peer_slowdown
        )
        if not warmup.is_complete(now_s):
            return
        if slowdown > WARMUP_HOLD_FACTOR * peer_slowdown:
            state.detector.forget_baselines()
        state.warmup = None

    def _update_limits(self, warm: list[TargetState], now_s: float) -> None:
        """Set the limits of all targets for flows in progress."""
        is_takeover = now_s < self._halved_until_s
        mean_streams = _mean(state.streams.count for state in warm)
        for state in self._states.values():
            slots = state.target.slots
            connections = state.target.connections
            if state.warmup is not None:
                slots = state.warmup.limit(slots)
                # The limit rises to the mean number of connections of warm
                # targets. With the declared limit, the target would get all
                # new flows until it has as many as the others.
                full = min(mean_streams or connections, connections)
                connections = state.warmup.limit(full)
                if is_takeover:
                    # A warm target refuses what exceeds its slots, but a cold
                    # one fails, so only the limits of cold targets are halved.
                    slots //= 2
                    connections //= 2
            state.request_limit = max(slots, 1)
            state.stream_limit = max(connections, 1)


def _mean(numbers: Iterable[float]) -> float:
    """Return the mean of the numbers, 0 if there are none."""
    collected = tuple(numbers)
    return sum(collected) / len(collected) if collected else 0
