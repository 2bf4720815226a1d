"""Target selection policies that are compared.

Each baseline leaves out parts of the product's policy, so that the difference
in the score shows the effect of these parts.
"""

import math
import random
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from siskinproxy.entry.cold_limit import ColdLimit
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.target_selection import (
    FULL_LOAD,
    Placement,
    PlacementReason,
    Placer,
)

__all__ = ('POLICIES', 'Policy')

#: Seed of the random target selection; each zone adds its name to it.
_SEED: Final = 5
#: Targets that are drawn at random and compared for each flow.
_SAMPLED_TARGETS: Final = 2

_PlacerFactory = Callable[
    [str, ColdLimit, Responsiveness, LoadView, random.Random], Placer
]


class _OwnCountPlacer(Placer):
    """Selects the target with the fewest own flows per slot.

    It doesn't suspect unresponsive targets, doesn't let flows wait for a slot,
    and doesn't move a flow to another target.
    """

    def choose(
        self,
        candidates: Collection[KnownTarget],
        cold_rate_per_s: float,
        now_s: float,
        tried: Collection[KnownTarget] = (),
        *,
        full_load: float = math.inf,
    ) -> Placement:
        """Choose the least loaded target for the first SYN of a flow.

        If `tried` names targets that did not answer an earlier SYN of the
        flow, no target is returned. The rate limit of cold targets, the time
        and the load limit are ignored.
        """
        if tried or not candidates:
            return Placement(None, PlacementReason.NO_TARGET)
        chosen = min(candidates, key=self._load)
        return Placement(chosen, PlacementReason.LEAST_LOADED)


class _RandomPlacer(_OwnCountPlacer):
    """Selects any target with equal probability."""

    def _load(self, target: KnownTarget) -> tuple[float, float]:
        return 0, self._rng.random()


class _TwoChoicePlacer(Placer):
    """Selects the less loaded of two warm targets that are drawn at random.

    Alternative to the product's policy ("power of two choices"): instances
    that received the same load reports don't all select the same target until
    the next reports arrive.
    """

    def _least_loaded(
        self,
        group: Collection[KnownTarget],
        reason: PlacementReason,
        cold_rate_per_s: float,
        now_s: float,
    ) -> Placement | None:
        warm = [target for target in group if not target.is_cold(now_s)]
        if len(warm) > _SAMPLED_TARGETS:
            drawn = self._rng.sample(warm, _SAMPLED_TARGETS)
            if any(self._has_room(target) for target in drawn):
                warm = drawn
        return super()._least_loaded(
            warm or group, reason, cold_rate_per_s, now_s
        )

    def _has_room(self, target: KnownTarget) -> bool:
        return (
            self._loads.estimated_flows(target)
            < FULL_LOAD * target.record.slots
        )


class Policy(msgspec.Struct, frozen=True):
    """How instances select the target of a new flow.

    Parameters
    ----------
    placer : callable
        Class of the target selection.
    shares_counts : bool
        Whether instances send each other reports of their flows.
    """

    placer: _PlacerFactory
    shares_counts: bool

    def build_placer(
        self,
        zone: str,
        cold_limit: ColdLimit,
        responsiveness: Responsiveness,
        loads: LoadView,
    ) -> Placer:
        """Return the target selection of an instance in a zone."""
        rng = random.Random(f'{_SEED} {zone}')
        return self.placer(zone, cold_limit, responsiveness, loads, rng)


#: Policies by name; `siskinproxy` is the product's own.
POLICIES: Final = {
    'siskinproxy': Policy(Placer, shares_counts=True),
    'two_choices': Policy(_TwoChoicePlacer, shares_counts=True),
    'without_reports': Policy(Placer, shares_counts=False),
    'own_counts': Policy(_OwnCountPlacer, shares_counts=False),
    'random': Policy(_RandomPlacer, shares_counts=False),
}
