"""Demand of each priority of a service, from the requests of a zone.

The need of a priority is the mean number of slots that its requests would keep
busy at the usual response times, whether they are answered or rejected. Each
instance measures its own requests, and tells the others of its zone in its load
reports.
"""

import zlib
from collections.abc import Mapping
from math import exp
from typing import Final, TypeAlias

__all__ = ('DemandView', 'answered_key', 'demand_key')

#: Time constant of the moving average, in seconds.
AVERAGING_S: Final = 6.0
#: Age from which on the demand that another instance has reported is ignored,
#: in seconds.
MAX_REPORT_AGE_S: Final = 3.0
#: Requests of this instance and its peers from which on the view is used.
MIN_REQUESTS: Final = 20
#: Shortest time over which a rate is taken, in seconds.
MIN_SPAN_S: Final = 0.5
_MILLI: Final = 1000

#: Time at which a report was received, and the needs in it.
_PeerNeeds: TypeAlias = tuple[float, Mapping[int, int]]


def demand_key(service: str, priority: int) -> int:
    """Return the key of a priority of a service in load reports."""
    return zlib.crc32(f'{service}/{priority}'.encode())


def answered_key(service: str) -> int:
    """Return the key under which the answered work of a service is counted."""
    return zlib.crc32(f'{service} answered'.encode())


class _Average:
    """Moving average of a rate that is right from its first events on."""

    __slots__ = ('started_s', 'total', 'updated_s')

    def __init__(self, now_s: float) -> None:
        self.total: float = 0
        self.started_s = now_s
        self.updated_s = now_s

    def add(self, amount: float, averaging_s: float, now_s: float) -> None:
        decay = exp((self.updated_s - now_s) / averaging_s)
        self.total = self.total * decay + amount
        self.updated_s = now_s

    def rate(self, averaging_s: float, now_s: float) -> float:
        decay = exp((self.updated_s - now_s) / averaging_s)
        age_s = max(now_s - self.started_s, MIN_SPAN_S)
        span_s = averaging_s * (1 - exp(-age_s / averaging_s))
        return self.total * decay / span_s


class DemandView:
    """Need of each priority of each service, in slots.

    Parameters
    ----------
    averaging_s : float
        Time constant of the moving averages, in seconds.
    """

    def __init__(self, averaging_s: float = AVERAGING_S) -> None:
        self._averaging_s = averaging_s
        self._own: dict[int, _Average] = {}
        self._peers: dict[str, _PeerNeeds] = {}
        self._requests = 0

    def note_request(self, key: int, work_s: float, now_s: float) -> None:
        """Count a request that keeps a slot busy for a time in seconds."""
        self._requests += 1
        average = self._own.get(key)
        if average is None:
            average = _Average(now_s)
            self._own[key] = average
        average.add(work_s, self._averaging_s, now_s)

    def own_need(self, key: int, now_s: float) -> float:
        """Return the need of this instance's callers, in slots."""
        average = self._own.get(key)
        if average is None:
            return 0.0
        return average.rate(self._averaging_s, now_s)

    def report(self, now_s: float) -> dict[int, int]:
        """Return the own needs in thousandths of a slot, by key."""
        needs = {
            key: round(_MILLI * self.own_need(key, now_s)) for key in self._own
        }
        return {key: need for key, need in needs.items() if need}

    def apply_report(
        self, instance: str, needs: Mapping[int, int], now_s: float
    ) -> None:
        """Replace the needs of another instance by those of its new report."""
        self._peers[instance] = (now_s, needs)

    def need(self, key: int, members: int, now_s: float) -> float:
        """Return the need of all instances of the zone, in slots.

        Parameters
        ----------
        key : int
            Key of a priority of a service.
        members : int
            Number of instances of the zone; reports may cover only some.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Mean over this instance and its peers, times `members`.
        """
        total = self.own_need(key, now_s)
        count = 1
        for name, (received_s, needs) in tuple(self._peers.items()):
            if now_s - received_s > MAX_REPORT_AGE_S:
                del self._peers[name]
                continue
            total += max(needs.get(key, 0), 0) / _MILLI
            count += 1
        return max(members, count) * total / count

    @property
    def is_known(self) -> bool:
        """Whether enough requests were seen, here or by peers."""
        return self._requests + MIN_REQUESTS * len(self._peers) >= MIN_REQUESTS
