"""Choice of the target of a new flow.

Answers the load of ordinary days: each instance sees a part of the flows, so
it prefers the targets of its own zone, whose flows it sees a larger part of.
"""

import enum
import random
from collections.abc import Collection
from typing import Final

import msgspec

from siskinproxy.entry.cold_limit import ColdLimit
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.responsiveness import Responsiveness

__all__ = ('Placement', 'PlacementReason', 'Placer')

#: Flows per slot that a target of another zone must have less for it to be
#: preferred to one of the own zone.
ZONE_PENALTY: Final = 0.3


class PlacementReason(enum.Enum):
    """Why a target was chosen, or why none was."""

    LEAST_LOADED = 'least_loaded'
    COLD_TARGET = 'cold_target'
    PROBE = 'probe'
    ALL_SUSPECTED = 'all_suspected'
    NO_TARGET = 'no_target'
    COLD_LIMIT = 'cold_limit'


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
    """Places new flows by the flows that this instance has in progress.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    cold_limit : ColdLimit
        Limit on the flows of cold targets.
    responsiveness : Responsiveness
        Which targets are suspected to be silent.
    rng : random.Random
        Source of the choice among equal targets.
    """

    def __init__(
        self,
        zone: str,
        cold_limit: ColdLimit,
        responsiveness: Responsiveness,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._cold_limit = cold_limit
        self._responsiveness = responsiveness
        self._rng = rng
        self._in_progress: dict[str, int] = {}

    def in_progress(self, target: KnownTarget) -> int:
        """Return the flows of a target that this instance opened."""
        return self._in_progress.get(target.name, 0)

    def note_started(self, target: KnownTarget) -> None:
        """Count a flow."""
        count = self._in_progress.get(target.name, 0)
        self._in_progress[target.name] = count + 1

    def note_sent(self, target: KnownTarget, now_s: float) -> None:
        """Count an opening packet."""
        if target.is_cold(now_s):
            self._cold_limit.note_sent(target, now_s)

    def note_ended(self, target: KnownTarget) -> None:
        """Count the end of a flow."""
        count = self._in_progress.get(target.name, 0)
        if count > 1:
            self._in_progress[target.name] = count - 1
        else:
            self._in_progress.pop(target.name, None)

    def choose(
        self,
        candidates: Collection[KnownTarget],
        cold_rate_per_s: float,
        now_s: float,
        tried: Collection[KnownTarget] = (),
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
            if placement is not None:
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
        flows = self._in_progress.get(target.name, 0)
        load = flows / target.record.slots
        if target.record.zone != self._zone:
            load += ZONE_PENALTY
        return load, self._rng.random()
