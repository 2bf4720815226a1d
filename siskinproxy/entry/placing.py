"""Choice of the target of a new flow.

Answers the load of ordinary days: the target with the fewest flows for each
slot, by what all instances report, one of the own zone if it is about as busy.
"""

import enum
import math
import random
from collections.abc import Collection
from typing import Final

import msgspec

from siskinproxy.entry.cold_limit import ColdLimit
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.responsiveness import Responsiveness

__all__ = (
    'FULL_LOAD',
    'Placement',
    'PlacementReason',
    'Placer',
)

#: Flows per slot that a target of another zone must have less for it to be
#: preferred to one of the own zone.
ZONE_PENALTY: Final = 0.3
#: Flows per slot at which a target gets no more. Above 1, since a flow also
#: counts while its first and last packets are under way, and since reports of
#: other instances are some tens of milliseconds old.
FULL_LOAD: Final = 2.0
#: Flows per slot of the least loaded target from which on placing needs to
#: know what other instances have in progress.
BUSY_LOAD: Final = 0.4
#: Time for which that holds on, in seconds, so that reports do not come and go.
BUSY_S: Final = 1.0


class PlacementReason(enum.Enum):
    """Why a target was chosen, or why none was."""

    LEAST_LOADED = 'least_loaded'
    COLD_TARGET = 'cold_target'
    PROBE = 'probe'
    ALL_SUSPECTED = 'all_suspected'
    NO_TARGET = 'no_target'
    COLD_LIMIT = 'cold_limit'
    ALL_BUSY = 'all_busy'


class Placement(msgspec.Struct, frozen=True):
    """Decision on a new flow.

    Parameters
    ----------
    target : KnownTarget or None
        Chosen target; None if there is none.
    reason : PlacementReason
        Rule that decided.
    """

    target: KnownTarget | None
    reason: PlacementReason


class Placer:
    """Places new flows by the flows in progress.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    cold_limit : ColdLimit
        Limit on the flows of cold targets.
    responsiveness : Responsiveness
        Which targets are suspected to be silent.
    loads : LoadView
        Flows in progress.
    rng : random.Random
        Source of the choice among equal targets.
    """

    def __init__(
        self,
        zone: str,
        cold_limit: ColdLimit,
        responsiveness: Responsiveness,
        loads: LoadView,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._cold_limit = cold_limit
        self._responsiveness = responsiveness
        self._loads = loads
        self._rng = rng
        self._busy_until_s: float = 0

    def is_busy(self, now_s: float) -> bool:
        """Return whether the least loaded targets were in use lately."""
        return now_s < self._busy_until_s

    def note_started(self, target: KnownTarget) -> None:
        """Count a flow."""
        self._loads.note_started(target)

    def note_sent(self, target: KnownTarget, now_s: float) -> None:
        """Count an opening packet."""
        if target.is_cold(now_s):
            self._cold_limit.note_sent(target, now_s)

    def note_ended(self, target: KnownTarget) -> None:
        """Count the end of a flow."""
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
        """Choose the target of a new flow.

        Parameters
        ----------
        candidates : collection of KnownTarget
            Targets of the service that are in use.
        cold_rate_per_s : float
            Requests per second that a cold target of the service bears.
        now_s : float
            Current time in seconds.
        tried : collection of KnownTarget
            Targets that did not answer the flow; used only if no other is.
        full_load : float
            Flows per slot from which on a target is not chosen.

        Returns
        -------
        Placement
            Chosen target and reason.
        """
        if not candidates:
            return Placement(None, PlacementReason.NO_TARGET)
        trusted = []
        suspected = []
        for target in candidates:
            if target in tried:
                continue
            if self._responsiveness.is_suspected(target):
                suspected.append(target)
            else:
                trusted.append(target)
        if not tried:
            probe = self._probe(suspected, cold_rate_per_s, now_s)
            if probe is not None:
                return Placement(probe, PlacementReason.PROBE)
        for group, reason in (
            (trusted, PlacementReason.LEAST_LOADED),
            (suspected, PlacementReason.ALL_SUSPECTED),
            (tried, PlacementReason.ALL_SUSPECTED),
        ):
            placement = self._least_loaded(
                group, reason, cold_rate_per_s, now_s
            )
            if placement is None:
                continue
            load = self._loads.flows(placement.target)
            load /= placement.target.record.slots
            if load >= BUSY_LOAD:
                self._busy_until_s = now_s + BUSY_S
            if load >= full_load:
                return Placement(None, PlacementReason.ALL_BUSY)
            return placement
        return Placement(None, PlacementReason.COLD_LIMIT)

    def _probe(
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
        warm = [target for target in group if not target.is_cold(now_s)]
        if warm:
            return Placement(min(warm, key=self._load), reason)
        allowed = [
            target
            for target in group
            if self._is_allowed(target, cold_rate_per_s, now_s)
        ]
        if allowed:
            chosen = min(allowed, key=self._load)
            return Placement(chosen, PlacementReason.COLD_TARGET)
        return None

    def _is_allowed(
        self, target: KnownTarget, cold_rate_per_s: float, now_s: float
    ) -> bool:
        if not target.is_cold(now_s):
            return True
        return self._cold_limit.allows(target, cold_rate_per_s, now_s)

    def _load(self, target: KnownTarget) -> tuple[float, float]:
        load = self._loads.flows(target) / target.record.slots
        if target.record.zone != self._zone:
            load += ZONE_PENALTY
        return load, self._rng.random()
