"""Model of a target with execution slots, a queue and cold starts."""

from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import ServiceLayout
from siskinproxy.entry.records import Address, TargetRecord

__all__ = ('EmulatedTarget', 'Job')

#: Interval of a target's heartbeats, in seconds, and number of missed ones after
#: which it is removed from the target list.
HEARTBEAT_INTERVAL_S: Final = 1.2
MISSED_HEARTBEAT_LIMIT: Final = 3


class Job(msgspec.Struct, eq=False):
    """A request to execute at a target.

    Parameters
    ----------
    work_s : float
        Execution time at a warm target, in seconds.
    on_done : callable
        Called when the execution has ended.
    """

    work_s: float
    on_done: Callable[[], None]


class EmulatedTarget:
    """A target, a backend server of a service.

    Parameters
    ----------
    number : int
        Number among all targets, from 1.
    layout : ServiceLayout
        Properties of its service.
    zone : str
        Availability zone.
    clock : VirtualClock
        Clock.

    Attributes
    ----------
    is_unresponsive : bool
        Whether it drops all packets and sends no answer.
    resets_openings : bool
        Whether its host resets the openings that reach it meanwhile.
    slowness : float
        Factor by which requests take longer; 1 without a fault.
    is_draining : bool
        Whether it closes each flow after its next response, before it ends.
    starts : int
        Number of starts; flows end with the start that accepted them.
    ran : int
        Number of requests whose execution started.
    shed : int
        Number of requests rejected because the queue was full.
    arrived : int
        Number of requests that arrived, with those rejected.
    free_since_s : float or None
        Time from which on a slot has been free, in seconds; None if none is.
    """

    def __init__(
        self,
        number: int,
        layout: ServiceLayout,
        zone: str,
        clock: VirtualClock,
    ) -> None:
        self.number = number
        self.layout = layout
        self.zone = zone
        self.address = Address(f'10.1.{number >> 8}.{number & 255}', 8000)
        self.is_unresponsive = False
        self.resets_openings = False
        self.slowness: float = 1
        self.is_draining = False
        self.starts = 1
        self.ran = 0
        self.shed = 0
        self.arrived = 0
        self.free_since_s: float | None = clock.now_s
        self._clock = clock
        self._cold_until_s: float = 0
        self._executing: set[int] = set()
        self._queue: deque[Job] = deque()

    def record(self) -> TargetRecord:
        """Return the entry that the target announces."""
        warmup_left_s = max(self._cold_until_s - self._clock.now_s, 0)
        return TargetRecord(
            name=f'i-{self.number:x}',
            target_id=self.number,
            service=self.layout.name,
            address=self.address,
            zone=self.zone,
            slots=self.layout.slots,
            is_draining=self.is_draining,
            warmup_left_s=warmup_left_s,
            # Tells a restarted target from the earlier one; the end of the
            # warm-up in virtual time serves this as well as the start does.
            started_unix_ms=int(1000 * self._cold_until_s),
            revision=self.number,
        )

    @property
    def is_usable(self) -> bool:
        """Whether it runs and is not about to end."""
        return not (self.is_unresponsive or self.is_draining)

    @property
    def capacity(self) -> float:
        """Work that it can do, in seconds of a warm target per second.

        One that drains does the work that it has.
        """
        if self.is_unresponsive:
            return 0
        slots = len(self._executing) if self.is_draining else self.layout.slots
        return slots / self.slowness

    def restart(self) -> None:
        """Drop all requests and start cold."""
        self._executing.clear()
        self._queue.clear()
        self.starts += 1
        self.free_since_s = self._clock.now_s
        self._cold_until_s = self._clock.now_s + self.layout.cold_s

    def accept(self, job: Job) -> bool:
        """Execute a request, or queue it if all slots are busy.

        Parameters
        ----------
        job : Job
            The request.

        Returns
        -------
        bool
            False if the queue is full; then the request is not executed.
        """
        self.arrived += 1
        if len(self._executing) < self.layout.slots:
            self._start(job)
            return True
        if len(self._queue) >= self.layout.queue:
            self.shed += 1
            return False
        self._queue.append(job)
        return True

    def _start(self, job: Job) -> None:
        self.ran += 1
        number = self.ran
        self._executing.add(number)
        is_cold = self._clock.now_s < self._cold_until_s
        factor = self.layout.cold_factor if is_cold else 1
        if len(self._executing) >= self.layout.slots:
            self.free_since_s = None
        layout = self.layout
        in_progress = len(self._executing) + len(self._queue)
        excess = max(in_progress - layout.concurrency_limit, 0)
        factor *= 1 + layout.concurrency_factor * excess
        work_s = job.work_s * factor * self.slowness
        self._clock.call_after(work_s, self._finish, number, job)

    def _finish(self, number: int, job: Job) -> None:
        if number not in self._executing:
            return
        self._executing.remove(number)
        if not self.is_unresponsive:
            job.on_done()
        if self._queue:
            self._start(self._queue.popleft())
        elif self.free_since_s is None:
            self.free_since_s = self._clock.now_s
