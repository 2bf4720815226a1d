"""Callers: attempts, repeated opening packets, deadlines and retries."""

import random
from collections.abc import Callable
from typing import Final

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import CallerClass
from siskinproxy.entry.packets import ACK, FIN, RST, SYN, PacketHead
from siskinproxy.entry.records import NO_TOKEN, RequestKind

__all__ = ('CallerRequest', 'Outcome')

#: Times after the first opening packet at which it is repeated, in seconds;
#: from the users' pages.
COPY_DELAYS_S: Final = (0.2, 0.6, 1.4, 3.0)
#: Pause of a caller before it tries again after a reset, in seconds.
RETRY_PAUSE_S: Final = 0.1
_MS_PER_S: Final = 1000


class Outcome(msgspec.Struct, frozen=True):
    """End of a request.

    Parameters
    ----------
    kind, zone : str
        Kind of request and zone of the caller.
    asked_s : float
        When the caller first asked, in seconds.
    took_s : float or None
        Time to the answer, in seconds; None if there was none in time.
    resets : int
        Attempts that were reset.
    runs : int
        Targets that worked on the request.
    """

    kind: str
    zone: str
    asked_s: float
    took_s: float | None
    resets: int
    runs: int


class CallerRequest:
    """A request with all its attempts.

    Parameters
    ----------
    flow : int
        Number of the first attempt's flow; one more for each further attempt.
    layout : CallerClass
        Kind of request.
    zone : str
        Zone of the caller.
    destination : bytes
        Address and port that it calls.
    clock : VirtualClock
        Time.
    rng : random.Random
        Source of its work.
    send : callable
        Gets this request and a packet for the fabric.
    on_end : callable
        Gets the `Outcome`.
    """

    def __init__(
        self,
        flow: int,
        layout: CallerClass,
        zone: str,
        destination: bytes,
        clock: VirtualClock,
        rng: random.Random,
        send: Callable[['CallerRequest', PacketHead], None],
        on_end: Callable[[Outcome], None],
    ) -> None:
        self.flow = flow
        self.layout = layout
        self.zone = zone
        self.work_s = rng.uniform(0.5, 1.5) * layout.work_ms / _MS_PER_S
        self.runs = 0
        self._destination = destination
        self._clock = clock
        self._send = send
        self._on_end = on_end
        self._asked_s = clock.now_s
        self._token = NO_TOKEN
        self._resets = 0
        self._has_ended = False
        clock.call_after(layout.deadline_ms / _MS_PER_S, self._on_deadline)
        self._open()

    @property
    def is_open(self) -> bool:
        """Whether the current attempt was accepted by a target."""
        return self._token != NO_TOKEN

    def on_accepted(self, flow: int, token: int) -> None:
        """Send the request to the target that accepted first."""
        if self._has_ended or flow != self.flow or self.is_open:
            return
        self._token = token
        self._send(self, self._packet(ACK))

    def on_reset(self, flow: int) -> None:
        """Try again if the request has not run or may run again."""
        if self._has_ended or flow != self.flow:
            return
        self._resets += 1
        may_repeat = self.layout.kind is not RequestKind.UNSAFE or not self.runs
        if self._resets > self.layout.retries or not may_repeat:
            self._end(None)
            return
        self._token = NO_TOKEN
        self.flow += 1
        self._clock.call_after(RETRY_PAUSE_S, self._open)

    def on_answer(self, flow: int) -> None:
        """Take the answer and close the flow."""
        if self._has_ended or flow != self.flow:
            return
        self._send(self, self._packet(FIN))
        self._end(self._clock.now_s - self._asked_s)

    def _open(self) -> None:
        if self._has_ended:
            return
        self._send(self, self._packet(SYN))
        for copy, delay_s in enumerate(COPY_DELAYS_S, start=1):
            self._clock.call_after(delay_s, self._repeat, self.flow, copy)

    def _repeat(self, flow: int, copy: int) -> None:
        if self._has_ended or self.is_open or flow != self.flow:
            return
        self._send(self, self._packet(SYN, copy))

    def _packet(self, flags: int, copy: int = 0) -> PacketHead:
        key = self.flow.to_bytes(6) + self._destination
        return PacketHead(
            key, self._destination, flags, self.flow, copy, self._token, 0
        )

    def _on_deadline(self) -> None:
        if not self._has_ended:
            self._send(self, self._packet(RST))
            self._end(None)

    def _end(self, took_s: float | None) -> None:
        self._has_ended = True
        self._on_end(
            Outcome(
                self.layout.name,
                self.zone,
                self._asked_s,
                took_s,
                self._resets,
                self.runs,
            )
        )
