"""State of one target as the owner of its shard keeps it."""

import enum
import math
import statistics
from dataclasses import dataclass
from typing import Final, Literal

from siskinproxy.operators.configuration import Listener, Target
from siskinproxy.targets.evidence import ColdStartReason, Evidence
from siskinproxy.targets.occupancy import Occupancy
from siskinproxy.targets.warmup import WarmUp

__all__ = (
    'FlowRecord',
    'Mode',
    'TargetReport',
    'TargetState',
    'TargetStatus',
)

Mode = Literal['request', 'stream']

#: First pause before the next flow after two refusals in a row. It doubles
#: with each further one, so that a target that is down costs few retries.
FIRST_PAUSE_S: Final = 0.25
MAX_PAUSE_S: Final = 5.0
_MAX_DOUBLINGS: Final = 8

#: What shows that a target is down, so that its own ramp has not begun.
_DOWN_REASONS: Final = frozenset(
    (ColdStartReason.REFUSALS, ColdStartReason.RESETS),
)

#: Low median of the ages of requests in progress, relative to the baseline,
#: above which a target counts as stalled, for a large number of requests.
STALL_FACTOR: Final = 2.0
#: Raises the factor for few requests, whose ages vary more: to 4 for two and
#: to 3 for four requests. With exponentially distributed completion times all
#: of two exceed 4 with a probability of 3.4e-4.
STALL_MARGIN: Final = 2.0
#: Requests in progress from which on their ages count. A single slow request
#: is no evidence about its target.
STALL_REQUESTS: Final = 2
#: Completion time relative to the baseline below which a request shows that
#: its target is not stalled.
NORMAL_FACTOR: Final = 2.0
#: Requests in progress from which on their ages can show a cold start. Two
#: slow requests at the same time fill a target with two slots, so that no
#: other request can show that it works.
STALL_COLD_REQUESTS: Final = 3
#: Multiple of the stall threshold that counts as a cold start.
STALL_COLD_FACTOR: Final = 2.0


class TargetStatus(enum.Enum):
    """Whether a target gets new flows, and how many."""

    WARM = 'warm'
    WARMING = 'warming'
    DRAINING = 'draining'
    OUT_OF_SERVICE = 'out_of_service'
    RETIRED = 'retired'


@dataclass(frozen=True, slots=True)
class TargetReport:
    """State of a target for metrics and the administration API.

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
        Long-lived flows.
    connection_limit : int
        Long-lived flows that the target may hold now.
    busy_s : float
        Busy slot time of the last 10 s, in seconds.
    warmup_fraction : float
        Share of the full load that the target gets, 1 when it is warm.
    cold_start : ColdStartReason or None
        What started the last warm-up.
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
    """Flow that was admitted.

    Long-lived flows have a record only while they are opening, so that memory
    does not grow with their number.

    Parameters
    ----------
    key : bytes
        Flow key.
    listener : Listener
        Listener with the request class.
    state : TargetState
        Target that the flow counts against.
    started_s : float
        Time of the admission to this target, in seconds.
    deadline_at_s : float
        Time by which the response has to be complete, in seconds.
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
    """Flows, limits, warm-up and evidence of one target.

    Parameters
    ----------
    target : Target
        The target as declared.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    awaits_acceptance : bool
        Whether the target was down and has accepted no flow since.
    """

    __slots__ = (
        '_normal_start_s',
        '_pause_until_s',
        '_stalled_s',
        'awaits_acceptance',
        'cold_start',
        'evidence',
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
        self.evidence = Evidence()
        self.flows: dict[bytes, FlowRecord] = {}
        self.warmup: WarmUp | None = None
        self.cold_start: ColdStartReason | None = None
        self.out_of_service = False
        self.retired = False
        self.stalled = False
        self.awaits_acceptance = False
        self.request_limit = target.slots
        self.stream_limit = target.connections
        self._pause_until_s: float = 0
        self._stalled_s = now_s
        self._normal_start_s = -math.inf

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
        """Whether the target is declared to take new flows."""
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
        """Return whether the limit permits another flow.

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
        """Return whether pacing permits another flow now.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            False between paced starts of a warm-up, in a pause after
            refusals, and while the requests in progress are stalled, except
            for one probe.
        """
        if now_s < self._pause_until_s:
            return False
        if self.stalled and self._has_probe():
            return False
        return self.warmup is None or self.warmup.may_start(now_s)

    def is_paused(self, now_s: float) -> bool:
        """Return whether refusals keep the target from getting flows.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True until the pause ends.
        """
        return now_s < self._pause_until_s

    def begin_warmup(self, reason: ColdStartReason, now_s: float) -> None:
        """Start the warm-up from the beginning.

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
        self.evidence.restart()

    def note_accepted(self) -> None:
        """Note that the target accepted an opening segment."""
        self.evidence.note_accepted()
        self.awaits_acceptance = False

    def pause_after_refusals(self, now_s: float) -> None:
        """Set the time of the next attempt after refusals in a row.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        doublings = min(max(self.evidence.refusals - 2, 0), _MAX_DOUBLINGS)
        pause_s = min(FIRST_PAUSE_S * 2**doublings, MAX_PAUSE_S)
        self._pause_until_s = now_s + pause_s

    def stall_level(self, now_s: float) -> float:
        """Return how far the requests in progress exceed their baseline.

        A cold target under full load can fail before it completes enough
        requests to compare, so the age of requests in progress counts too.
        Requests that started before one that completed normally do not count:
        they are slow themselves, not their target.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Low median of the ages relative to the baseline, divided by the
            threshold for this number; 1 and more means stalled.
        """
        ages = []
        for record in self.flows.values():
            port = record.listener.target_port
            baseline_s = self.evidence.baseline_s(port)
            is_overtaken = record.started_s < self._normal_start_s
            if baseline_s and not (record.restored or is_overtaken):
                ages.append((now_s - record.started_s) / baseline_s)
        if len(ages) < STALL_REQUESTS:
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
        enough = len(self.flows) >= STALL_COLD_REQUESTS
        return enough and stall_level >= STALL_COLD_FACTOR

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
        """Use the completion time of a request as evidence.

        Parameters
        ----------
        record : FlowRecord
            The request.
        now_s : float
            Current time in seconds.
        """
        port = record.listener.target_port
        duration_s = now_s - record.started_s
        baseline_s = self.evidence.baseline_s(port)
        if baseline_s and duration_s < NORMAL_FACTOR * baseline_s:
            self._normal_start_s = max(self._normal_start_s, record.started_s)
        warm = self.warmup is None
        self.evidence.note_completed(port, duration_s, warm=warm)

    def abandon_flows(self, now_s: float) -> tuple[bytes, ...]:
        """Release all flows, because the zone is out of service.

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
        return any(
            record.started_s > self._stalled_s for record in self.flows.values()
        )

    def report(self, now_s: float) -> TargetReport:
        """Return the state for metrics.

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
