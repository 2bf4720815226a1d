"""State of one target at the owner of its shard.

It includes the flows in progress, their limits, the warm-up, and the detection
of targets that refuse flows or do not make progress.
"""

import enum
import math
import statistics
from dataclasses import dataclass
from typing import Final, Literal

from siskinproxy.operators.configuration import Listener, Target
from siskinproxy.targets.cold_start import ColdStartDetector, ColdStartReason
from siskinproxy.targets.occupancy import Occupancy
from siskinproxy.targets.warmup import WarmUp

__all__ = (
    'FlowRecord',
    'Mode',
    'TargetReport',
    'TargetState',
    'TargetStatus',
)

#: Mode of a listener: one request per flow, or a long-lived flow (stream).
Mode = Literal['request', 'stream']

#: Delay of the next flow after two consecutive refusals. It doubles with each
#: further one (exponential backoff), so that a target that is down costs few
#: retries.
INITIAL_BACKOFF_S: Final = 0.25
#: Upper bound of the backoff.
MAX_BACKOFF_S: Final = 5.0
#: Bounds the power of two; `MAX_BACKOFF_S` is reached after 5 doublings.
_MAX_DOUBLINGS: Final = 8

#: Signs that a target is down, so that its cold start has not begun yet.
_DOWN_REASONS: Final = frozenset(
    (ColdStartReason.REFUSALS, ColdStartReason.RESETS),
)

#: Threshold above which a target counts as stalled when many requests are in
#: progress: the low median of their ages, relative to the baseline.
STALL_FACTOR: Final = 2.0
#: Raises the threshold for few requests, whose ages vary more: to 4 for two
#: and to 3 for four requests. With exponentially distributed completion times,
#: both of two requests exceed 4 with a probability of 3.4e-4.
STALL_MARGIN: Final = 2.0
#: Minimum number of requests in progress for their ages to count. A single
#: slow request shows nothing about its target.
STALL_MIN_REQUESTS: Final = 2
#: Completion time relative to the baseline below which a request shows that
#: its target is not stalled.
NORMAL_SLOWDOWN: Final = 2.0
#: Minimum number of requests in progress for their ages to show a cold start.
#: Two slow requests at the same time fill a target with two slots, so that no
#: other request can show that it works.
COLD_MIN_REQUESTS: Final = 3
#: Multiple of the stall threshold that counts as a cold start.
COLD_STALL_LEVEL: Final = 2.0


class TargetStatus(enum.Enum):
    """Whether a target gets new flows, and how many."""

    #: Gets new flows up to its declared limits.
    WARM = 'warm'
    #: Gets new flows up to limits that rise after a cold start.
    WARMING = 'warming'
    #: Gets no new flows, because operators are draining it.
    DRAINING = 'draining'
    #: Gets no new flows, because its zone is out of service.
    OUT_OF_SERVICE = 'out_of_service'
    #: Gets no new flows, because it was removed from the configuration.
    RETIRED = 'retired'


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Snapshot of the state of a target for metrics and administration.

    Parameters
    ----------
    name : str
        Name of the target.
    status : TargetStatus
        Whether it gets new flows.
    in_use : int
        Requests in progress.
    limit : int
        Requests that may be in progress now.
    connections : int
        Flows in mode ``stream`` in progress.
    connection_limit : int
        Flows in mode ``stream`` that may be in progress now.
    busy_s : float
        Sum over all requests of the time in progress within the last 10 s,
        in seconds.
    warmup_fraction : float
        Share of the full load that the target gets; 1 when it is warm.
    cold_start : ColdStartReason or None
        Reason of the last warm-up; None if there was none.
    """

    name: str
    status: TargetStatus
    in_use: int
    limit: int
    connections: int
    connection_limit: int
    busy_s: float
    warmup_fraction: float
    cold_start: ColdStartReason | None


class FlowRecord:
    """Flow that was admitted to a target.

    Flows in mode ``stream`` have a record only until they are accepted, or
    for a short time, so that memory does not grow with their number.

    Parameters
    ----------
    key : bytes
        Flow key.
    listener : Listener
        Listener of the flow, with its mode, priority and deadline.
    state : TargetState
        State of the target that the flow was admitted to.
    started_s : float
        Time of the admission to this target, in seconds.
    deadline_at_s : float
        Time by which the response has to be complete, in seconds.

    Attributes
    ----------
    accepted : bool
        Whether the target accepted the opening segment.
    restored : bool
        Whether another owner of the shard admitted the flow.
    unanswered : bool
        Whether a missing answer to the opening segment was counted.
    refused_by : frozenset of str
        Names of the targets that refused the flow before.
    """

    __slots__ = (
        'accepted',
        'deadline_at_s',
        'key',
        'listener',
        'refused_by',
        'restored',
        'started_s',
        'state',
        'unanswered',
    )

    def __init__(
        self,
        key: bytes,
        listener: Listener,
        state: 'TargetState',
        started_s: float,
        deadline_at_s: float,
    ) -> None:
        self.key = key
        self.listener = listener
        self.state = state
        self.started_s = started_s
        self.deadline_at_s = deadline_at_s
        self.accepted = False
        self.restored = False
        self.unanswered = False
        self.refused_by: frozenset[str] = frozenset()


class TargetState:
    """Flows, limits, warm-up and cold-start detection of one target.

    Parameters
    ----------
    target : Target
        The target as declared in the configuration.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    requests, streams : Occupancy
        Counters of the flows in progress, by mode.
    request_limit, stream_limit : int
        Flows that may be in progress now, by mode.
    flows : dict
        Records of the requests in progress by flow key.
    warmup : WarmUp or None
        Warm-up in progress.
    cold_start : ColdStartReason or None
        Reason of the last warm-up.
    stalled : bool
        Whether the target gets only one flow as a probe, because the requests
        in progress take much longer than usual.
    awaits_acceptance : bool
        Whether the target was down and has accepted no flow since.
    out_of_service : bool
        Whether the zone of the target is out of service.
    retired : bool
        Whether the target was removed from the configuration.
    """

    __slots__ = (
        '_last_normal_start_s',
        '_backoff_until_s',
        '_stalled_s',
        'awaits_acceptance',
        'cold_start',
        'detector',
        'flows',
        'out_of_service',
        'request_limit',
        'requests',
        'retired',
        'stalled',
        'stream_limit',
        'streams',
        'target',
        'warmup',
    )

    def __init__(self, target: Target, now_s: float) -> None:
        self.target = target
        self.requests = Occupancy(now_s)
        self.streams = Occupancy(now_s)
        self.detector = ColdStartDetector()
        self.flows: dict[bytes, FlowRecord] = {}
        self.warmup: WarmUp | None = None
        self.cold_start: ColdStartReason | None = None
        self.out_of_service = False
        self.retired = False
        self.stalled = False
        self.awaits_acceptance = False
        self.request_limit = target.slots
        self.stream_limit = target.connections
        self._backoff_until_s: float = 0
        self._stalled_s = now_s
        self._last_normal_start_s = -math.inf

    @property
    def status(self) -> TargetStatus:
        """Whether the target gets new flows, and how many."""
        if self.retired:
            return TargetStatus.RETIRED
        if self.out_of_service:
            return TargetStatus.OUT_OF_SERVICE
        if self.target.draining:
            return TargetStatus.DRAINING
        if self.warmup is not None:
            return TargetStatus.WARMING
        return TargetStatus.WARM

    @property
    def serves(self) -> bool:
        """Whether the configuration permits new flows to the target."""
        blocked = self.retired or self.out_of_service
        return not (blocked or self.target.draining)

    def occupancy(self, mode: Mode) -> Occupancy:
        """Return the counter of flows of a mode.

        Parameters
        ----------
        mode : {'request', 'stream'}
            Mode of the listener.

        Returns
        -------
        Occupancy
            Counter that the flows of this mode use.
        """
        return self.requests if mode == 'request' else self.streams

    def limit(self, mode: Mode) -> int:
        """Return the limit for flows of a mode.

        Parameters
        ----------
        mode : {'request', 'stream'}
            Mode of the listener.

        Returns
        -------
        int
            Flows that may be in progress now.
        """
        return self.request_limit if mode == 'request' else self.stream_limit

    def has_room(self, mode: Mode) -> bool:
        """Return whether the limit permits another flow of a mode.

        Parameters
        ----------
        mode : {'request', 'stream'}
            Mode of the listener.

        Returns
        -------
        bool
            True if fewer flows than the limit are in progress.
        """
        return self.occupancy(mode).count < self.limit(mode)

    def may_start(self, now_s: float) -> bool:
        """Return whether the target may get another flow now.

        The limits of the flows in progress are not considered.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            False between the paced flows of a warm-up, during the backoff
            after refusals, and while the target is stalled and has got its
            one probe (as with a half-open circuit breaker).
        """
        if now_s < self._backoff_until_s:
            return False
        if self.stalled and self._has_probe():
            return False
        return self.warmup is None or self.warmup.may_start(now_s)

    def is_backing_off(self, now_s: float) -> bool:
        """Return whether the target gets no flows after refusals.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True until the backoff ends.
        """
        return now_s < self._backoff_until_s

    def begin_warmup(self, reason: ColdStartReason, now_s: float) -> None:
        """Start a warm-up from the lowest load.

        Parameters
        ----------
        reason : ColdStartReason
            What showed that the target is cold.
        now_s : float
            Current time in seconds.
        """
        self.cold_start = reason
        self.awaits_acceptance = reason in _DOWN_REASONS
        self.warmup = WarmUp(self.target.warmup_s, now_s)
        self.stalled = False
        self.detector.restart()

    def note_accepted(self) -> None:
        """Record that the target accepted an opening segment."""
        self.detector.note_accepted()
        self.awaits_acceptance = False

    def back_off(self, now_s: float) -> None:
        """Delay the next flow exponentially after consecutive refusals.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        doublings = min(
            max(self.detector.consecutive_refusals - 2, 0), _MAX_DOUBLINGS
        )
        delay_s = min(INITIAL_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
        self._backoff_until_s = now_s + delay_s

    def stall_level(self, now_s: float) -> float:
        """Return how far the ages of requests in progress exceed the usual.

        A cold target under full load can fail before it completes enough
        requests for a comparison, so the ages of requests in progress count
        too. Requests that started before one that completed normally do not
        count: these requests are slow, not their target.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Low median of the ages relative to the baseline, divided by the
            threshold for this number of requests. The target is stalled at 1
            and above.
        """
        ages = []
        for record in self.flows.values():
            port = record.listener.target_port
            baseline_s = self.detector.baseline_s(port)
            is_overtaken = record.started_s < self._last_normal_start_s
            if baseline_s and not (record.restored or is_overtaken):
                ages.append((now_s - record.started_s) / baseline_s)
        if len(ages) < STALL_MIN_REQUESTS:
            return 0
        threshold = STALL_FACTOR * (1 + STALL_MARGIN / len(ages))
        return statistics.median_low(ages) / threshold

    def is_cold(self, stall_level: float) -> bool:
        """Return whether the ages of the requests show a cold start.

        Parameters
        ----------
        stall_level : float
            Result of `stall_level`.

        Returns
        -------
        bool
            True if at least three requests are far above the threshold.
        """
        enough = len(self.flows) >= COLD_MIN_REQUESTS
        return enough and stall_level >= COLD_STALL_LEVEL

    def set_stalled(self, stalled: bool, now_s: float) -> None:
        """Restrict the target to one probe while its requests are stalled.

        Parameters
        ----------
        stalled : bool
            Whether `stall_level` reached 1.
        now_s : float
            Current time in seconds.
        """
        if stalled and not self.stalled:
            self._stalled_s = now_s
        self.stalled = stalled

    def note_completed(self, record: FlowRecord, now_s: float) -> None:
        """Record the completion time of a request for later comparisons.

        Parameters
        ----------
        record : FlowRecord
            The request.
        now_s : float
            Current time in seconds.
        """
        port = record.listener.target_port
        duration_s = now_s - record.started_s
        baseline_s = self.detector.baseline_s(port)
        if baseline_s and duration_s < NORMAL_SLOWDOWN * baseline_s:
            self._last_normal_start_s = max(
                self._last_normal_start_s, record.started_s
            )
        warm = self.warmup is None
        self.detector.note_completed(port, duration_s, warm=warm)

    def abandon_flows(self, now_s: float) -> tuple[bytes, ...]:
        """Release all flows, because the zone of the target is out of service.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of bytes
            Keys of the released flows that had a record.
        """
        keys = tuple(self.flows)
        self.flows.clear()
        self.requests.change(-self.requests.count, now_s)
        self.streams.change(-self.streams.count, now_s)
        return keys

    def _has_probe(self) -> bool:
        """Return whether a request started since the target stalled."""
        return any(
            record.started_s > self._stalled_s for record in self.flows.values()
        )

    def report(self, now_s: float) -> TargetReport:
        """Return a snapshot of the state.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        TargetReport
            State at this time.
        """
        return TargetReport(
            name=self.target.name,
            status=self.status,
            in_use=self.requests.count,
            limit=self.request_limit,
            connections=self.streams.count,
            connection_limit=self.stream_limit,
            busy_s=self.requests.busy_s(now_s),
            warmup_fraction=self.warmup.fraction if self.warmup else 1.0,
            cold_start=self.cold_start,
        )
