"""Queue of new flows that wait for a free slot at a target.

Flows are ordered by the priority of their listener, 0 first, and by time of
arrival within one priority.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from siskinproxy.operators.configuration import Listener

__all__ = ('AdmissionQueue', 'QueuedFlow')

#: Length of the sliding window over which arrival rates are counted.
ARRIVAL_WINDOW_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class QueuedFlow:
    """Flow that waits for the selection of a target.

    Parameters
    ----------
    key : bytes
        Flow key: packed addresses and ports of caller and listener.
    listener : Listener
        Listener of the flow, with its mode, priority and deadline.
    ingress_zone : str
        Availability zone of the instance that received the opening segment;
        empty if unknown.
    queued_s : float
        Time at which the flow arrived, in seconds.
    deadline_at_s : float
        Time by which the response has to be complete, in seconds.
    """

    key: bytes
    listener: Listener
    ingress_zone: str
    queued_s: float
    deadline_at_s: float


class AdmissionQueue:
    """Priority queue that is first-in, first-out within each priority."""

    def __init__(self) -> None:
        self._flows: dict[bytes, QueuedFlow] = {}
        self._by_priority: dict[int, dict[bytes, QueuedFlow]] = {}
        self._arrivals: deque[tuple[float, int]] = deque()
        self._arrival_counts: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, key: bytes) -> bool:
        return key in self._flows

    def __iter__(self) -> Iterator[QueuedFlow]:
        for flows in tuple(self._by_priority.values()):
            yield from tuple(flows.values())

    def push(self, flow: QueuedFlow) -> None:
        """Append a flow behind the queued flows of the same priority.

        Parameters
        ----------
        flow : QueuedFlow
            Flow whose key is not in the queue yet.
        """
        priority = flow.listener.priority
        if priority not in self._by_priority:
            self._by_priority[priority] = {}
            self._by_priority = dict(sorted(self._by_priority.items()))
        self._flows[flow.key] = flow
        self._by_priority[priority][flow.key] = flow

    def remove(self, key: bytes) -> bool:
        """Remove a flow if it is queued.

        Parameters
        ----------
        key : bytes
            Flow key.

        Returns
        -------
        bool
            Whether the flow was in the queue.
        """
        flow = self._flows.pop(key, None)
        if flow is None:
            return False
        self._by_priority[flow.listener.priority].pop(key)
        return True

    def count_ahead(self, priority: int) -> int:
        """Return how many flows a new flow of a priority waits behind.

        Parameters
        ----------
        priority : int
            Priority of the new flow; 0 is the most important.

        Returns
        -------
        int
            Queued flows of the same or a higher priority.
        """
        return sum(
            len(flows)
            for queued_priority, flows in self._by_priority.items()
            if queued_priority <= priority
        )

    def note_arrival(self, priority: int, now_s: float) -> None:
        """Count a new flow for the arrival rate of its priority.

        Parameters
        ----------
        priority : int
            Priority of the new flow.
        now_s : float
            Current time in seconds.
        """
        self._discard_old_arrivals(now_s)
        self._arrivals.append((now_s, priority))
        self._arrival_counts[priority] = (
            self._arrival_counts.get(priority, 0) + 1
        )

    def higher_priority_arrivals_per_s(
        self, priority: int, now_s: float
    ) -> float:
        """Return the arrival rate of flows that overtake a queued flow.

        Parameters
        ----------
        priority : int
            Priority of the queued flow.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Arrivals of higher-priority flows in the last second.
        """
        self._discard_old_arrivals(now_s)
        arrivals = sum(
            count
            for arrived_priority, count in self._arrival_counts.items()
            if arrived_priority < priority
        )
        return arrivals / ARRIVAL_WINDOW_S

    def count_higher_priority(self, priority: int) -> int:
        """Return the number of queued flows that have a higher priority.

        Parameters
        ----------
        priority : int
            Priority to compare with.

        Returns
        -------
        int
            Queued flows whose priority number is lower.
        """
        return self.count_ahead(priority - 1)

    def _discard_old_arrivals(self, now_s: float) -> None:
        oldest_s = now_s - ARRIVAL_WINDOW_S
        while self._arrivals and self._arrivals[0][0] <= oldest_s:
            _, priority = self._arrivals.popleft()
            self._arrival_counts[priority] -= 1
