"""Flows that wait for a target, by priority class."""

from collections.abc import Iterator
from dataclasses import dataclass

from siskinproxy.operators.configuration import Listener

__all__ = ('AdmissionQueue', 'QueuedFlow')


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
