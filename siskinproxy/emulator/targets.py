"""Targets with slots, a queue and cold starts."""

from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import ServiceLayout
from siskinproxy.entry.records import Address, TargetRecord

__all__ = ('EmulatedTarget', 'Job')

#: Time between two announcements of a target, in seconds, and how many may be
#: missing before its entry is removed; from the users' pages.
HEARTBEAT_S: Final = 1.2
MISSED_HEARTBEATS: Final = 3


class Job(msgspec.Struct, eq=False):
    """A request at a target.

    Parameters
    ----------
    work_s : float
        Work at a warm target, in seconds.
    on_done : callable
        Called at the end of the work.
    """

    work_s: float
    on_done: Callable[[], None]


class EmulatedTarget:
    """A target.

    Parameters
    ----------
    number : int
        Number among all targets, from 1.
    layout : ServiceLayout
        Properties of its service.
    zone : str
        Availability zone.
    clock : VirtualClock
        Time.

    Attributes
    ----------
    is_silent : bool
        Whether it answers nothing.
    slowness : float
        Multiple of the work of its requests.
    ran : int
        Requests that it worked on.
    shed : int
        Requests that it reset because its queue was full.
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
        self.is_silent = False
        self.slowness: float = 1
        self.ran = 0
        self.shed = 0
        self._clock = clock
        self._cold_until_s: float = 0
        self._running: set[int] = set()
        self._queue: deque[Job] = deque()

    def record(self) -> TargetRecord:
        """Return what the target announces."""
        left_s = max(self._cold_until_s - self._clock.now_s, 0)
        return TargetRecord(
            name=f'i-{self.number:x}',
            target_id=self.number,
            service=self.layout.name,
            address=self.address,
            zone=self.zone,
            slots=self.layout.slots,
            is_draining=False,
            warmup_left_s=left_s,
            started_unix_ms=int(1000 * self._cold_until_s),
            revision=self.number,
        )

    def restart(self) -> None:
        """Lose all requests and be cold."""
        self._running.clear()
        self._queue.clear()
        self._cold_until_s = self._clock.now_s + self.layout.cold_s

    def take(self, job: Job) -> bool:
        """Work on a request, or let it wait.

        Parameters
        ----------
        job : Job
            The request.

        Returns
        -------
        bool
            False if the queue is full; then the request has not run.
        """
        if len(self._running) < self.layout.slots:
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
        self._running.add(number)
        is_cold = self._clock.now_s < self._cold_until_s
        factor = self.layout.cold_factor if is_cold else 1
        work_s = job.work_s * factor * self.slowness
        self._clock.call_after(work_s, self._finish, number, job)

    def _finish(self, number: int, job: Job) -> None:
        if number not in self._running:
            return
        self._running.remove(number)
        if not self.is_silent:
            job.on_done()
        if self._queue:
            self._start(self._queue.popleft())
