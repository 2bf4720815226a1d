"""Selection of the target of a new flow: least load, own zone preferred.

The load of a target is its number of flows in progress, over all instances,
divided by its slots, the requests that it runs concurrently.
"""

import enum
import math
import random
from collections.abc import Callable, Collection
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec

from siskinproxy.entry.cold_limit import ColdLimit
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.responsiveness import Responsiveness

if TYPE_CHECKING:
    from siskinproxy.entry.scheduling.speeds import TargetSpeeds

__all__ = (
    'FULL_LOAD',
    'Placement',
    'PlacementReason',
    'Placer',
)

#: Added to the load of targets of other zones, in flows per slot: one is
#: preferred to a target of the own zone only if its load is lower by more.
ZONE_PENALTY: Final = 0.3
#: Load from which on a target gets no new flows, in flows per slot. Above 1,
#: since a flow also counts while its first and last packets are in transit,
#: and since reports of other instances are some tens of milliseconds old.
FULL_LOAD: Final = 2.0
#: Load of the selected target from which on targets count as busy, in flows
#: per slot. Selection then needs frequent reports of other instances.
BUSY_LOAD: Final = 0.4
#: Time for which targets keep counting as busy, in seconds, so that the report
#: interval doesn't alternate.
BUSY_HOLD_S: Final = 1.0


class PlacementReason(enum.Enum):
    """Why a target was selected, or why none was."""

    #: The target has the least load.
    LEAST_LOADED = 'least_loaded'
    #: No warm target is available; the rate limit of this cold one allows it.
    COLD_TARGET = 'cold_target'
    #: The target is suspected and due for a probe.
    PROBE = 'probe'
    #: No other target is left: all are suspected or did not answer the flow.
    ALL_SUSPECTED = 'all_suspected'
    #: The service has no usable target.
    NO_TARGET = 'no_target'
    #: All targets are cold and their rate limits are used up.
    COLD_LIMIT = 'cold_limit'
    #: The least loaded target has reached the maximum load.
    ALL_BUSY = 'all_busy'


class Placement(msgspec.Struct, frozen=True):
    """Result of the selection for a new flow.

    Parameters
    ----------
    target : KnownTarget or None
        Selected target; None if the flow can't be opened now.
    reason : PlacementReason
        Rule that decided.
    """

    target: KnownTarget | None
    reason: PlacementReason


class Placer:
    """Selects the target of each new flow by load.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    cold_limit : ColdLimit
        Rate limit on the flows of cold targets.
    responsiveness : Responsiveness
        Tells which targets are suspected of not answering.
    loads : LoadView
        Number of flows in progress at each target.
    rng : random.Random
        Selects among targets with equal load.

    Attributes
    ----------
    speeds : TargetSpeeds or None
        How fast targets respond and how much they take; None if all are taken
        for equal.
    """

    def __init__(
        self,
        zone: str,
        cold_limit: ColdLimit,
        responsiveness: Responsiveness,
        loads: LoadView,
        rng: random.Random,
    ) -> None:
        self.speeds: TargetSpeeds | None = None
        self._zone = zone
        self._cold_limit = cold_limit
        self._responsiveness = responsiveness
        self._loads = loads
        self._rng = rng
        self._busy_until_s: float = 0

    def is_busy(self, now_s: float) -> bool:
        """Return whether selected targets were recently busy.

        This is so for `BUSY_HOLD_S` after a flow whose target had at least
        `BUSY_LOAD`.
        """
        return now_s < self._busy_until_s

    def note_started(self, target: KnownTarget) -> None:
        """Count a flow in progress at its target."""
        self._loads.note_started(target)

    def note_sent(self, target: KnownTarget, now_s: float) -> None:
        """Count an opening packet against the rate limit of a cold target."""
        if target.is_cold(now_s):
            self._cold_limit.note_sent(target, now_s)

    def note_ended(self, target: KnownTarget) -> None:
        """Count the end of a flow at its target."""
        self._loads.note_ended(target)

    def choose(
        self,
        candidates: Collection[KnownTarget],
        cold_rate_per_s: float,
        now_s: float,
        tried: Collection[KnownTarget] = (),
        *,
        full_load: float = math.inf,
    ) -> Placement:
        """Select the target of a new flow.

        A suspected target that is due for a probe comes first, at any load,
        unless the opening packet was sent before (`tried` is not empty). Then
        the least loaded target is taken from those without fresh evidence
        against them, else from those with evidence of one witness, else from
        the suspected ones, else from `tried`. In each of these groups, cold
        targets are used only if there is no warm one, and only within their
        rate limits.

        Parameters
        ----------
        candidates : collection of KnownTarget
            Usable targets of the service.
        cold_rate_per_s : float
            Requests per second that a cold target of the service can take.
        now_s : float
            Current time in seconds.
        tried : collection of KnownTarget
            Targets that did not answer the opening packet of the flow; used
            again only if there is no other.
        full_load : float
            Load from which on a target is not selected, in flows per slot;
            probes are exempt.

        Returns
        -------
        Placement
            Selected target, if any, and the reason.
        """
        if not candidates:
            return Placement(None, PlacementReason.NO_TARGET)
        trusted = []
        doubted = []
        suspected = []
        for target in candidates:
            if target in tried:
                continue
            if self._responsiveness.is_suspected(target):
                suspected.append(target)
            elif self._responsiveness.is_doubted(target, now_s):
                doubted.append(target)
            else:
                trusted.append(target)
        if not tried:
            probe = self._find_probe_target(suspected, cold_rate_per_s, now_s)
            if probe is not None:
                return Placement(probe, PlacementReason.PROBE)
        for group, reason in (
            (trusted, PlacementReason.LEAST_LOADED),
            (doubted, PlacementReason.LEAST_LOADED),
            (suspected, PlacementReason.ALL_SUSPECTED),
            (tried, PlacementReason.ALL_SUSPECTED),
        ):
            placement = self._least_loaded(
                group, reason, cold_rate_per_s, now_s
            )
            if placement is None:
                continue
            load = self._load_of(placement.target, now_s)
            if load >= BUSY_LOAD:
                self._busy_until_s = now_s + BUSY_HOLD_S
            if load >= full_load:
                return Placement(None, PlacementReason.ALL_BUSY)
            return placement
        return Placement(None, PlacementReason.COLD_LIMIT)

    def _find_probe_target(
        self,
        suspected: list[KnownTarget],
        cold_rate_per_s: float,
        now_s: float,
    ) -> KnownTarget | None:
        for target in suspected:
            if not self._responsiveness.may_probe(target, now_s):
                continue
            if self._is_allowed(target, cold_rate_per_s, now_s):
                return target
        return None

    def _least_loaded(
        self,
        group: Collection[KnownTarget],
        reason: PlacementReason,
        cold_rate_per_s: float,
        now_s: float,
    ) -> Placement | None:
        """Select the least loaded warm target, or else an allowed cold one.

        The reason of a warm target is `reason`. None is returned if the group
        has no warm target and the rate limits of the cold ones are used up.
        """
        warm = [target for target in group if not target.is_cold(now_s)]
        if warm:
            return Placement(min(warm, key=self._order(now_s)), reason)
        allowed = [
            target
            for target in group
            if self._is_allowed(target, cold_rate_per_s, now_s)
        ]
        if allowed:
            chosen = min(allowed, key=self._order(now_s))
            return Placement(chosen, PlacementReason.COLD_TARGET)
        return None

    def _is_allowed(
        self, target: KnownTarget, cold_rate_per_s: float, now_s: float
    ) -> bool:
        if not target.is_cold(now_s):
            return True
        return self._cold_limit.allows(target, cold_rate_per_s, now_s)

    def _load_of(self, target: KnownTarget, now_s: float) -> float:
        """Return the load of a target in flows per slot.

        If speeds are known, slots count for as much as the target takes well.
        """
        flows = self._loads.estimated_flows(target)
        slots = target.record.slots
        if self.speeds is None:
            return flows / slots
        limit = self.speeds.limit(target.token, slots, now_s)
        return FULL_LOAD * flows / limit

    def _order(
        self, now_s: float
    ) -> Callable[[KnownTarget], tuple[float, float]]:
        """Return the sort key by which the best of several targets is found."""
        if self.speeds is None:
            return self._load
        return partial(self._expected_time, self.speeds, now_s)

    def _load(self, target: KnownTarget) -> tuple[float, float]:
        """Return a sort key: load with zone penalty, random among equals."""
        load = self._loads.estimated_flows(target) / target.record.slots
        if target.record.zone != self._zone:
            load += ZONE_PENALTY
        return load, self._rng.random()

    def _expected_time(
        self, speeds: 'TargetSpeeds', now_s: float, target: KnownTarget
    ) -> tuple[float, float]:
        """Return a sort key: time to a response, in usual response times.

        The new flow counts as well, so that an idle target that is slow comes
        after a fast one that is nearly idle.
        """
        flows = self._loads.estimated_flows(target) + 1
        slowness = speeds.slowness(target.token, now_s)
        expected = flows * slowness / target.record.slots
        if target.record.zone != self._zone:
            expected += ZONE_PENALTY
        return expected, self._rng.random()
