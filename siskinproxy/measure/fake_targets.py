"""Model of a backend server for measurements of load balancing decisions."""

import math
from typing import Final

from siskinproxy.operators.configuration import Target

__all__ = ('FakeTarget',)

#: Capacity right after a cold start, as a share of the full capacity.
COLD_CAPACITY: Final = 0.1
#: Relative to a warm target, the completion time of a flow exceeds 1 by this
#: number times the missing share of the capacity.
COLD_SLOWDOWN: Final = 2.0
#: Time with more flows than the target can handle after which it fails.
OVERLOAD_TOLERANCE_S: Final = 0.5
#: Time for which a failed target refuses connections.
RESTART_S: Final = 1.0


class FakeTarget:
    """Backend server with slots, cold starts, load shedding and failures.

    Parameters
    ----------
    target : Target
        The target as declared.
    limit : int
        Number of flows that it accepts at the same time.

    Attributes
    ----------
    in_progress : dict
        Start time of each flow in progress, by flow key.
    online : bool
        Whether the target accepts connections at all.
    shed_share : float
        Share of the offered flows that it refuses at random.
    falls : int
        Failures caused by overload.
    slot_overruns : int
        Flows refused because the limit was reached.
    warmup_overruns : int
        Flows accepted above the number that it could handle at that time.
    max_excess : int
        Largest number of flows above those that it could handle.
    """

    def __init__(self, target: Target, limit: int) -> None:
        self.target = target
        self.limit = limit
        self.in_progress: dict[bytes, float] = {}
        self.online = True
        self.shed_share: float = 0
        self.falls = 0
        self.slot_overruns = 0
        self.warmup_overruns = 0
        self.max_excess = 0
        self._cold_since_s = -math.inf
        self._down_until_s = -math.inf
        self._excess_since_s = math.inf
        self._busy_slot_s: float = 0
        self._updated_s: float = 0

    def capacity_share(self, now_s: float) -> float:
        """Return the current share of the full capacity.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Rises from 0.1 after a cold start to 1 when warm.
        """
        age = (now_s - self._cold_since_s) / max(self.target.warmup_s, 1e-9)
        return min(COLD_CAPACITY + (1 - COLD_CAPACITY) * age, 1)

    def flow_capacity(self, now_s: float) -> int:
        """Return how many flows the target can handle without overload.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        int
            At least 1, at most the limit.
        """
        return max(int(self.capacity_share(now_s) * self.limit), 1)

    def is_warm(self, now_s: float) -> bool:
        """Return whether the target is online with its full capacity.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            False after a cold start until it is warm, and while offline.
        """
        return self.online and self.capacity_share(now_s) >= 1

    def slowdown(self, now_s: float) -> float:
        """Return the factor on the completion time of a flow started now.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            1 for a warm target within its limit.
        """
        cold = 1 + COLD_SLOWDOWN * (1 - self.capacity_share(now_s))
        return cold * max(len(self.in_progress) / self.flow_capacity(now_s), 1)

    def offer(self, key: bytes, random_share: float, now_s: float) -> bool:
        """Accept or refuse a flow.

        Parameters
        ----------
        key : bytes
            Flow key.
        random_share : float
            Random number from 0 to 1; below `shed_share` the flow is refused.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the target accepted the flow.
        """
        if not self.online or now_s < self._down_until_s:
            return False
        if random_share < self.shed_share:
            return False
        if len(self.in_progress) >= self.limit:
            self.slot_overruns += 1
            return False
        self._add_busy_time(now_s)
        self.in_progress[key] = now_s
        excess = len(self.in_progress) - self.flow_capacity(now_s)
        if excess > 0:
            self.warmup_overruns += 1
            self.max_excess = max(self.max_excess, excess)
            self._excess_since_s = min(self._excess_since_s, now_s)
        return True

    def release(self, key: bytes, now_s: float) -> bool:
        """End a flow.

        Parameters
        ----------
        key : bytes
            Flow key.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the flow was in progress.
        """
        self._add_busy_time(now_s)
        if self.in_progress.pop(key, None) is None:
            return False
        if len(self.in_progress) <= self.flow_capacity(now_s):
            self._excess_since_s = math.inf
        return True

    def cold_start(self, now_s: float, *, down_s: float) -> tuple[bytes, ...]:
        """Restart with the capacity of a cold target; all flows are reset.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        down_s : float
            Time for which connections are refused, in seconds.

        Returns
        -------
        tuple of bytes
            Flows that were in progress.
        """
        self._add_busy_time(now_s)
        keys = tuple(self.in_progress)
        self.in_progress.clear()
        self._excess_since_s = math.inf
        self._down_until_s = now_s + down_s
        self._cold_since_s = now_s + down_s
        return keys

    def lose_cache(self, now_s: float) -> None:
        """Drop to the capacity of a cold target; flows stay in progress.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._cold_since_s = now_s
        excess = len(self.in_progress) - self.flow_capacity(now_s)
        if excess > 0:
            self.max_excess = max(self.max_excess, excess)
            self._excess_since_s = now_s

    def fails(self, now_s: float) -> bool:
        """Return whether the target fails now because of overload.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True after 0.5 s with more flows than it can handle.
        """
        if len(self.in_progress) <= self.flow_capacity(now_s):
            self._excess_since_s = math.inf
        return now_s - self._excess_since_s >= OVERLOAD_TOLERANCE_S

    def busy_s(self, now_s: float) -> float:
        """Return the time that slots were busy, summed over all slots.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Slot seconds since the start of the run.
        """
        self._add_busy_time(now_s)
        return self._busy_slot_s

    def _add_busy_time(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        self._busy_slot_s += elapsed_s * len(self.in_progress)
        self._updated_s = now_s
