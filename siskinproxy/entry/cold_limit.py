"""Limit on the new flows of cold targets, held by all instances together.

Answers the load on targets that have just started: each bears a few requests
a second from the whole system, while every instance would like to use it.
"""

import zlib
from collections import deque
from typing import Final

import msgspec

from siskinproxy.entry.directory import KnownTarget

__all__ = ('ColdBounds', 'ColdLimit')

#: The limit holds in each span of this length, in seconds. Longer than the
#: second of the platform's bound, since packets are delayed on the way.
WINDOW_S: Final = 1.2


#: Part of the bound that is given out; the rest covers instances that know
#: different fleets at the same time.
GIVEN_OUT: Final = 0.8


class ColdBounds(msgspec.Struct, frozen=True):
    """Bound on the requests that a cold target may get in a second.

    Parameters
    ----------
    factor : float
        Multiple of the rate that the target bears.
    slack : float
        Requests that are allowed beyond.
    """

    factor: float = 1.0
    slack: float = 1.0


class ColdLimit:
    """Share of one instance in the new flows of each cold target.

    For each target, the instances are ordered by a hash of both names; the
    first ones get equal shares of the bound, of at least one flow each.

    Parameters
    ----------
    instance : str
        Name of this instance.
    bounds : ColdBounds
        Bound of the platform.

    Attributes
    ----------
    bounds : ColdBounds
        Bound; may be replaced.
    """

    def __init__(self, instance: str, bounds: ColdBounds) -> None:
        self._instance = instance
        self.bounds = bounds
        self._instances: tuple[str, ...] = (instance,)
        self._sent_s: dict[str, deque[float]] = {}

    def set_instances(self, names: tuple[str, ...]) -> None:
        """Set which instances may send flows, also those not heard lately."""
        self._instances = tuple(sorted({self._instance, *names}))

    def allowance(self, target: KnownTarget, rate_per_s: float) -> int:
        """Return how many flows this instance may open in a second.

        Parameters
        ----------
        target : KnownTarget
            Cold target.
        rate_per_s : float
            Requests per second that the target bears while it is cold.

        Returns
        -------
        int
            0 if other instances use up the bound.
        """
        bound = rate_per_s * self.bounds.factor + self.bounds.slack
        total = int(GIVEN_OUT * bound)
        count = len(self._instances)
        share, rest = divmod(total, count)
        if not rest:
            return share
        ordered = sorted(
            self._instances,
            key=lambda name: zlib.crc32(f'{target.name} {name}'.encode()),
        )
        return share + (ordered.index(self._instance) < rest)

    def allows(
        self, target: KnownTarget, rate_per_s: float, now_s: float
    ) -> bool:
        """Return whether a flow may be opened now."""
        sent_s = self._sent_s.get(target.name)
        if sent_s:
            while sent_s and sent_s[0] <= now_s - WINDOW_S:
                sent_s.popleft()
        used = len(sent_s) if sent_s else 0
        return used < self.allowance(target, rate_per_s)

    def note_sent(self, target: KnownTarget, now_s: float) -> None:
        """Count an opening packet that was sent to a cold target."""
        self._sent_s.setdefault(target.name, deque()).append(now_s)

    def forget(self, name: str) -> None:
        """Drop the record of a target that is gone."""
        self._sent_s.pop(name, None)
