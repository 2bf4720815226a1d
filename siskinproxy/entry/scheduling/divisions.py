"""How the targets of one service are divided, and which have room.

With many instances, the number of requests at a single target is known only
roughly, and the target that looks the least loaded of many is often not free.
The mean over all targets of a lane in a zone is known much better, so a zone
whose lane is full on the whole gets no new flows.
"""

from collections.abc import Callable, Mapping, Sequence
from itertools import chain
from typing import Final, TypeAlias

import msgspec

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.scheduling.lanes import split_targets

__all__ = ('Lane', 'PlacementStep', 'ServiceDivision')

#: Part of the requests of a service after which the flow must stay open, for
#: its targets to be divided. Otherwise each request is placed on its own, and
#: the waiting queue keeps the priorities apart.
MIN_KEPT_FRACTION: Final = 0.25
#: Requests of a service after which the counts are halved.
COUNTED_REQUESTS: Final = 200

_Targets: TypeAlias = tuple[KnownTarget, ...]
#: Targets of a lane by zone.
Lane: TypeAlias = Mapping[str, _Targets]
#: Number of a lane, and the zones that have room in it.
_StepKey: TypeAlias = tuple[int, tuple[str, ...]]


class PlacementStep(msgspec.Struct, frozen=True):
    """Targets to try for a new flow, and the load up to which they are used.

    Parameters
    ----------
    targets : tuple of KnownTarget
        Candidates.
    full_load : float
        Load from which on a target is not used, in requests per slot.
    """

    targets: tuple[KnownTarget, ...]
    full_load: float


class ServiceDivision:
    """Lanes of one service, and how its requests come.

    Attributes
    ----------
    priorities : tuple of int
        Priorities of its routes, the highest first.
    sizes : mapping of str to tuple of int
        Sizes of the lanes by zone; empty if all share the targets.
    reviewed_s : float
        Time at which the sizes were last looked at, in seconds.
    """

    __slots__ = (
        '_candidates',
        '_closed',
        '_lanes',
        '_requests',
        '_steps',
        'priorities',
        'reviewed_s',
        'sizes',
    )

    def __init__(self) -> None:
        self.priorities: tuple[int, ...] = ()
        self.sizes: Mapping[str, Sequence[int]] = {}
        self.reviewed_s: float = -1
        self._candidates: tuple[KnownTarget, ...] = ()
        self._lanes: tuple[Lane, ...] = ()
        self._steps: dict[_StepKey, _Targets] = {}
        self._requests: float = 0
        self._closed: float = 0

    @property
    def keeps_flows(self) -> bool:
        """Whether its callers keep flows open after a request."""
        kept = self._requests - self._closed
        return kept > MIN_KEPT_FRACTION * self._requests

    def note_finished(self) -> None:
        """Count a request whose response has begun."""
        self._requests += 1
        if self._requests > COUNTED_REQUESTS:
            self._requests /= 2
            self._closed /= 2

    def note_closed(self) -> None:
        """Count a flow that its caller has closed."""
        self._closed += 1

    def lanes(self, candidates: tuple[KnownTarget, ...]) -> tuple[Lane, ...]:
        """Return the targets of each lane by zone; one lane if undivided."""
        if candidates is not self._candidates or not self._lanes:
            self._candidates = candidates
            self._steps.clear()
            sizes = self.sizes or _undivided(candidates)
            self._lanes = split_targets(candidates, sizes)
        return self._lanes

    def divide(self, sizes: Mapping[str, Sequence[int]]) -> None:
        """Set the sizes of the lanes."""
        self.sizes = sizes
        self._lanes = ()

    def lane_of(self, priority: int) -> int:
        """Return the number of the lane of a priority."""
        if not self.sizes or priority not in self.priorities:
            return 0
        return self.priorities.index(priority)

    def step(
        self,
        number: int,
        full_load: float,
        load_of: Callable[[int, str], float | None],
    ) -> PlacementStep:
        """Return the targets of a lane in the zones that have room in it.

        Parameters
        ----------
        number : int
            Number of the lane.
        full_load : float
            Load from which on a zone, or a target, gets no new flows, in
            requests per slot.
        load_of : callable
            Returns the mean load of a lane in a zone, None if it is unknown.

        Returns
        -------
        PlacementStep
            Targets and load; without targets if no zone has room.
        """
        lane = self._lanes[number]
        zones = tuple(
            zone for zone in lane if _has_room(load_of(number, zone), full_load)
        )
        key = (number, zones)
        targets = self._steps.get(key)
        if targets is None:
            targets = tuple(chain.from_iterable(map(lane.get, zones)))
            self._steps[key] = targets
        return PlacementStep(targets, full_load)


def _has_room(load: float | None, full_load: float) -> bool:
    return load is None or load < full_load


def _undivided(
    candidates: tuple[KnownTarget, ...],
) -> dict[str, tuple[int, ...]]:
    """Return sizes with all targets of each zone in one lane."""
    counts: dict[str, int] = {}
    for target in candidates:
        zone = target.record.zone
        counts[zone] = counts.get(zone, 0) + 1
    return {zone: (count,) for zone, count in counts.items()}
