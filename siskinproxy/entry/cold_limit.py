"""Rate limit on the new flows of cold targets, shared by all instances.

A cold target, one that is still warming up, can take only a few requests per
second from all instances together. Without a common limit each instance would
choose the idle target at the same time and overload it.
"""

import zlib
from collections import deque
from typing import Final

import msgspec

from siskinproxy.entry.directory import KnownTarget

__all__ = ('ColdBounds', 'ColdLimit')

#: Length of the sliding window of the limit, in seconds. The bound of the
#: platform holds for any second at the target; the window is longer since
#: packets that are sent over more than a second may arrive within one.
WINDOW_S: Final = 1.2


#: Fraction of the bound that is allocated to instances. The remainder keeps
#: the total within the bound while instances disagree on which instances
#: exist, for example while one joins.
ALLOCATED_FRACTION: Final = 0.8


class ColdBounds(msgspec.Struct, frozen=True):
    """Bound of the platform on the requests to a cold target in a second.

    The bound is `factor` times the rate that the service of the target states
    for cold targets, plus `slack`.

    Parameters
    ----------
    factor : float
        Multiple of the stated rate.
    slack : float
        Requests per second in addition.
    """

    factor: float = 1.0
    slack: float = 1.0


class ColdLimit:
    """Share of one instance in the rate limit of each cold target.

    The flows that the limit of a target allows are divided evenly among the
    instances, in whole numbers. The remainder is allocated one flow each to
    the first instances in the order of a hash of target and instance name.
    Instances that know the same instances thus compute matching shares without
    exchanging messages.

    Parameters
    ----------
    instance : str
        Name of this instance.
    bounds : ColdBounds
        Bound of the platform.

    Attributes
    ----------
    bounds : ColdBounds
        Bound of the platform; may be replaced at any time.
    """

    def __init__(self, instance: str, bounds: ColdBounds) -> None:
        self._instance = instance
        self.bounds = bounds
        self._instances: tuple[str, ...] = (instance,)
        self._sent_times_s: dict[str, deque[float]] = {}

    def set_instances(self, names: tuple[str, ...]) -> None:
        """Set the instances that share the limit.

        Parameters
        ----------
        names : tuple of str
            Instances that may send packets, also those whose registration has
            ended recently. This instance is always included.
        """
        self._instances = tuple(sorted({self._instance, *names}))

    def allowance(self, target: KnownTarget, rate_per_s: float) -> int:
        """Return how many flows this instance may open in a window.

        Parameters
        ----------
        target : KnownTarget
            Cold target.
        rate_per_s : float
            Requests per second that the target can take while it is cold.

        Returns
        -------
        int
            Flows in `WINDOW_S`; 0 if the limit is too small for all instances
            and this one gets no share.
        """
        bound = rate_per_s * self.bounds.factor + self.bounds.slack
        total = int(ALLOCATED_FRACTION * bound)
        count = len(self._instances)
        share, remainder = divmod(total, count)
        if not remainder:
            return share
        ordered = sorted(
            self._instances,
            key=lambda name: zlib.crc32(f'{target.name} {name}'.encode()),
        )
        return share + (ordered.index(self._instance) < remainder)

    def allows(
        self, target: KnownTarget, rate_per_s: float, now_s: float
    ) -> bool:
        """Return whether this instance may open a flow to the target now.

        Parameters
        ----------
        target : KnownTarget
            Cold target.
        rate_per_s : float
            Requests per second that the target can take while it is cold.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the share of this instance is not used up.
        """
        sent_times_s = self._sent_times_s.get(target.name)
        if sent_times_s:
            while sent_times_s and sent_times_s[0] <= now_s - WINDOW_S:
                sent_times_s.popleft()
        used = len(sent_times_s) if sent_times_s else 0
        return used < self.allowance(target, rate_per_s)

    def note_sent(self, target: KnownTarget, now_s: float) -> None:
        """Count an opening packet that is sent to a cold target now."""
        self._sent_times_s.setdefault(target.name, deque()).append(now_s)

    def forget(self, name: str) -> None:
        """Delete the send times of the target with this name."""
        self._sent_times_s.pop(name, None)
