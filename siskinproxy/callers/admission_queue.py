"""Flows that wait for a target, by priority class."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from siskinproxy.operators.configuration import Listener

__all__ = ('AdmissionQueue', 'QueuedFlow')

ARRIVAL_WINDOW_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class QueuedFlow:
    """Flow that waits for a target.

    Parameters
    ----------
    key : bytes
        Flow key.
    listener : Listener
        Listener with the request class.
    ingress_zone : str
        Zone of the instance that received the opening segment.
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
    """Queue with one first-in-first-out list per priority class."""

    def __init__(self) -> None:
        self._flows: dict[bytes, QueuedFlow] = {}
        self._classes: dict[int, dict[bytes, QueuedFlow]] = {}
        self._arrivals: deque[tuple[float, int]] = deque()
        self._rates: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def __contains__(self, key: bytes) -> bool:
        return key in self._flows

    def __iter__(self) -> Iterator[QueuedFlow]:
        for flows in tuple(self._classes.values()):
            yield from tuple(flows.values())

    def push(self, flow: QueuedFlow) -> None:
        """Append a flow to its priority class.

        Parameters
        ----------
        flow : QueuedFlow
            Flow whose key is not in the queue yet.
        """
        priority = flow.listener.priority
        if priority not in self._classes:
            self._classes[priority] = {}
            self._classes = dict(sorted(self._classes.items()))
        self._flows[flow.key] = flow
        self._classes[priority][flow.key] = flow

    def remove(self, key: bytes) -> bool:
        """Remove a flow.

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
        self._classes[flow.listener.priority].pop(key)
        return True

    def count_ahead(self, priority: int) -> int:
        """Return how many flows a new flow of a class waits behind.

        Parameters
        ----------
        priority : int
            Priority class of the new flow.

        Returns
        -------
        int
            Flows of the same class and of more important classes.
        """
        return sum(
            len(flows)
            for number, flows in self._classes.items()
            if number <= priority
        )

    def note_arrival(self, priority: int, now_s: float) -> None:
        """Count a new flow for the arrival rate of its class.

        Parameters
        ----------
        priority : int
            Priority class.
        now_s : float
            Current time in seconds.
        """
        self._discard(now_s)
        self._arrivals.append((now_s, priority))
        self._rates[priority] = self._rates.get(priority, 0) + 1

    def more_important_rate_per_s(self, priority: int, now_s: float) -> float:
        """Return the arrival rate of flows that overtake a class.

        Parameters
        ----------
        priority : int
            Priority class that waits.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float
            Arrivals of more important classes in the last second.
        """
        self._discard(now_s)
        arrivals = sum(
            count for number, count in self._rates.items() if number < priority
        )
        return arrivals / ARRIVAL_WINDOW_S

    def count_more_important(self, priority: int) -> int:
        """Return the number of flows in more important classes.

        Parameters
        ----------
        priority : int
            Priority class.

        Returns
        -------
        int
            Flows of the classes with a lower number.
        """
        return self.count_ahead(priority - 1)

    def _discard(self, now_s: float) -> None:
        oldest_s = now_s - ARRIVAL_WINDOW_S
        while self._arrivals and self._arrivals[0][0] <= oldest_s:
            _, priority = self._arrivals.popleft()
            self._rates[priority] -= 1
