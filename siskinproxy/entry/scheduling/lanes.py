"""Lanes: the targets of a service that each priority prefers.

Requests on open flows reach the target of their flow without a decision, so
when demand exceeds the room, a queue at a target delays all that share it,
whatever their priority. Flows of different priorities are therefore opened at
different targets while there is room for all: under scarcity the queues of a
lower priority then form at its own targets. Idle targets of a lane are lent to
the other priorities.
"""

import zlib
from collections.abc import Mapping, Sequence
from typing import Final, TypeAlias

from siskinproxy.entry.directory import KnownTarget

__all__ = ('lane_shares', 'lane_sizes', 'split_targets')

#: Smallest and largest multiple of its need that a lane is sized for. A lane
#: keeps room for a surge of its own priority, but not at the expense of others
#: that need theirs.
MIN_HEADROOM: Final = 1.3
MAX_HEADROOM: Final = 2.0
#: Targets of a zone from which on it is divided. Lanes of whole targets would
#: be far from the needs in a smaller one.
MIN_ZONE_TARGETS: Final = 8
#: Largest part of the targets that all priorities but the last get.
MAX_RESERVED: Final = 0.8
#: Change of a lane, in targets, below which it keeps its size. Open flows stay
#: at their targets, so a lane that changes often separates nothing.
HYSTERESIS_TARGETS: Final = 0.8

_Targets: TypeAlias = tuple[KnownTarget, ...]


def lane_shares(needs: Sequence[float], slots: float) -> tuple[float, ...]:
    """Return the part of the targets for each priority, highest first.

    Each lane but the last is sized by its own need, so a surge of another
    priority does not shrink it below `MIN_HEADROOM` times its need.

    Parameters
    ----------
    needs : sequence of float
        Need of each priority, in slots, highest priority first.
    slots : float
        Slots of all targets.

    Returns
    -------
    tuple of float
        Shares with the sum 1; all for the last if there is no demand.
    """
    total = sum(needs)
    if total <= 0 or slots <= 0:
        return (*(0.0 for _ in needs[1:]), 1.0)
    headroom = min(max(slots / total, MIN_HEADROOM), MAX_HEADROOM)
    reserved = [headroom * need / slots for need in needs[:-1]]
    excess = sum(reserved) / MAX_RESERVED
    if excess > 1:
        reserved = [share / excess for share in reserved]
    return (*reserved, 1 - sum(reserved))


def lane_sizes(
    shares: Sequence[float], count: int, earlier: Sequence[int] | None
) -> tuple[int, ...]:
    """Return the number of targets of each lane.

    Parameters
    ----------
    shares : sequence of float
        Shares of the lanes.
    count : int
        Number of targets to divide.
    earlier : sequence of int or None
        Sizes so far; kept as long as they are right within
        `HYSTERESIS_TARGETS`.

    Returns
    -------
    tuple of int
        Sizes with the sum `count`; the last lane has at least one target.
    """
    sizes = []
    left = count - 1
    for index, share in enumerate(shares[:-1]):
        wanted = share * count
        size = round(wanted)
        if earlier is not None:
            kept = earlier[index]
            if abs(wanted - kept) < HYSTERESIS_TARGETS:
                size = kept
        size = max(min(size, left), 0)
        left -= size
        sizes.append(size)
    return (*sizes, count - sum(sizes))


def split_targets(
    candidates: Sequence[KnownTarget], sizes: Mapping[str, Sequence[int]]
) -> tuple[Mapping[str, _Targets], ...]:
    """Divide the targets of a service between its lanes.

    In each zone, targets are ordered by a hash of their names, so that all
    instances agree on the order.

    Parameters
    ----------
    candidates : sequence of KnownTarget
        Usable targets.
    sizes : mapping of str to sequence of int
        Sizes of the lanes by zone; all lanes share the targets of a zone that
        is missing.

    Returns
    -------
    tuple of mapping of str to tuple of KnownTarget
        For each lane, its targets by zone; zones without targets are omitted.
    """
    by_zone: dict[str, list[KnownTarget]] = {}
    for target in sorted(candidates, key=_order_of_lanes):
        by_zone.setdefault(target.record.zone, []).append(target)
    count = max((len(each) for each in sizes.values()), default=0)
    lanes: list[dict[str, _Targets]] = [{} for _ in range(count)]
    for zone, members in by_zone.items():
        if zone not in sizes:
            for lane in lanes:
                lane[zone] = tuple(members)
            continue
        start = 0
        for lane, size in zip(lanes, sizes[zone], strict=True):
            if size:
                lane[zone] = tuple(members[start : start + size])
            start += size
    return tuple(lanes)


def _order_of_lanes(target: KnownTarget) -> tuple[int, str]:
    return zlib.crc32(target.name.encode()), target.name
