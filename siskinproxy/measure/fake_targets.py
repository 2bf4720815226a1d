"""Small model of a backend server for measurements of the decisions."""

import math
from typing import Final

from siskinproxy.operators.configuration import Target

__all__ = ('FakeTarget',)

#: Share of the capacity right after a cold start.
COLD_CAPACITY: Final = 0.1
#: Completion times right after a cold start, relative to the warm target,
#: exceed 1 by this number times the missing capacity.
COLD_SLOWDOWN: Final = 2.0
#: Time for which the target survives more requests than it can handle.
FALL_AFTER_S: Final = 0.5
#: Time for which a target that failed refuses connections.
RESTART_S: Final = 1.0


class FakeTarget:
    """Backend server with slots, cold starts, shedding and failures.

    Parameters
    ----------
    target : Target
        The target as declared.
    limit : int
        Flows that it accepts at the same time.
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
        self._cold_s = -math.inf
        self._down_until_s = -math.inf
        self._excess_since_s = math.inf
        self._busy_s: float = 0
        self._updated_s: float = 0

    def capacity(self, now_s: float) -> float:
        """Return the share of the full capacity.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            0.1 after a cold start, 1 when warm.
        """
        age = (now_s - self._cold_s) / max(self.target.warmup_s, 1e-9)
        return min(COLD_CAPACITY + (1 - COLD_CAPACITY) * age, 1)

    def ability(self, now_s: float) -> int:
        """Return how many flows the target can handle.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        int
            At least 1, at most the limit.
        """
        return max(int(self.capacity(now_s) * self.limit), 1)

    def is_warm(self, now_s: float) -> bool:
        """Return whether the target is online with its full capacity.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            False in a cold start and while it is down.
        """
        return self.online and self.capacity(now_s) >= 1

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
        cold = 1 + COLD_SLOWDOWN * (1 - self.capacity(now_s))
        return cold * max(len(self.in_progress) / self.ability(now_s), 1)

    def offer(self, key: bytes, draw: float, now_s: float) -> bool:
        """Accept or refuse a flow.

        Parameters
        ----------
        key : bytes
            Flow key.
        draw : float
            Random number from 0 to 1 that decides about shedding.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the target accepted the flow.
        """
        if not self.online or now_s < self._down_until_s:
            return False
        if draw < self.shed_share:
            return False
        if len(self.in_progress) >= self.limit:
            self.slot_overruns += 1
            return False
        self._count_busy(now_s)
        self.in_progress[key] = now_s
        excess = len(self.in_progress) - self.ability(now_s)
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
        self._count_busy(now_s)
        if self.in_progress.pop(key, None) is None:
            return False
        if len(self.in_progress) <= self.ability(now_s):
            self._excess_since_s = math.inf
        return True

    def cold_start(self, now_s: float, *, down_s: float) -> tuple[bytes, ...]:
        """Restart cold; all flows are reset.

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
        self._count_busy(now_s)
        keys = tuple(self.in_progress)
        self.in_progress.clear()
        self._excess_since_s = math.inf
        self._down_until_s = now_s + down_s
        self._cold_s = now_s + down_s
        return keys

    def lose_cache(self, now_s: float) -> None:
        """Turn cold while flows stay in progress.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        self._cold_s = now_s
        excess = len(self.in_progress) - self.ability(now_s)
        if excess > 0:
            self.max_excess = max(self.max_excess, excess)
            self._excess_since_s = now_s

    def fails(self, now_s: float) -> bool:
        """Return whether overload makes the target fail now.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            True after 0.5 s with more flows than it can handle.
        """
        if len(self.in_progress) <= self.ability(now_s):
            self._excess_since_s = math.inf
        return now_s - self._excess_since_s >= FALL_AFTER_S

    def busy_s(self, now_s: float) -> float:
        """Return the busy slot time since the start of the run.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds.
        """
        self._count_busy(now_s)
        return self._busy_s

    def _count_busy(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        self._busy_s += elapsed_s * len(self.in_progress)
        self._updated_s = now_s
