"""Placing policies that are compared.

Baselines differ from the product in what they leave out, so that the figures
show what each decision is worth.
"""

import math
import random
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from siskinproxy.entry.cold_limit import ColdLimit
from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.placing import (
    FULL_LOAD,
    Placement,
    PlacementReason,
    Placer,
)
from siskinproxy.entry.responsiveness import Responsiveness

__all__ = ('POLICIES', 'Policy')

_SEED: Final = 5
#: Targets that are compared by the candidate.
_CHOICES: Final = 2

_PlacerFactory = Callable[
    [str, ColdLimit, Responsiveness, LoadView, random.Random], Placer
]


class _OwnCountPlacer(Placer):
    """Fewest own flows for each slot; no evidence, no waiting, no moves."""

    def choose(
        self,
        candidates: Collection[KnownTarget],
        cold_rate_per_s: float,
        now_s: float,
        tried: Collection[KnownTarget] = (),
        *,
        full_load: float = math.inf,
    ) -> Placement:
        """Choose the target of a new flow."""
        if tried or not candidates:
            return Placement(None, PlacementReason.NO_TARGET)
        chosen = min(candidates, key=self._load)
        return Placement(chosen, PlacementReason.LEAST_LOADED)


class _RandomPlacer(_OwnCountPlacer):
    """Any target, with equal probability."""

    def _load(self, target: KnownTarget) -> tuple[float, float]:
        return 0, self._rng.random()


class _TwoChoicePlacer(Placer):
    """The less loaded of two warm targets that are drawn at random.

    Candidate for the product: instances that hear the same reports do not all
    choose the same target until the next ones.
    """

    def _least_loaded(
        self,
        group: Collection[KnownTarget],
        reason: PlacementReason,
        cold_rate_per_s: float,
        now_s: float,
    ) -> Placement | None:
        warm = [target for target in group if not target.is_cold(now_s)]
        if len(warm) > _CHOICES:
            drawn = self._rng.sample(warm, _CHOICES)
            if any(self._has_room(target) for target in drawn):
                warm = drawn
        return super()._least_loaded(
            warm or group, reason, cold_rate_per_s, now_s
        )

    def _has_room(self, target: KnownTarget) -> bool:
        return self._loads.flows(target) < FULL_LOAD * target.record.slots


class Policy(msgspec.Struct, frozen=True):
    """How instances place flows.

    Parameters
    ----------
    placer : callable
        Class of the placer.
    shares_counts : bool
        Whether instances report their flows to each other.
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
        """Return the placer of one instance."""
        rng = random.Random(f'{_SEED} {zone}')
        return self.placer(zone, cold_limit, responsiveness, loads, rng)


#: Policies by name; `siskinproxy` is the product.
POLICIES: Final = {
    'siskinproxy': Policy(Placer, shares_counts=True),
    'two_choices': Policy(_TwoChoicePlacer, shares_counts=True),
    'without_reports': Policy(Placer, shares_counts=False),
    'own_counts': Policy(_OwnCountPlacer, shares_counts=False),
    'random': Policy(_RandomPlacer, shares_counts=False),
}
