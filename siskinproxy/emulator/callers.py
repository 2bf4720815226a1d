"""Model of a client request with all its attempts.

Covers SYN retransmission, the deadline, and retries after a reset.
"""

import random
from collections.abc import Callable
from typing import Final

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import RequestClass
from siskinproxy.entry.packets import ACK, FIN, RST, SYN, PacketHeader
from siskinproxy.entry.records import NO_TOKEN, RequestKind

__all__ = ('CallerRequest', 'Outcome')

#: Times after the first SYN at which it is retransmitted, in seconds.
SYN_RETRANSMIT_DELAYS_S: Final = (0.2, 0.6, 1.4, 3.0)
#: Delay before a caller starts the next attempt after a reset, in seconds.
RETRY_DELAY_S: Final = 0.1
_MS_PER_S: Final = 1000


class Outcome(msgspec.Struct, frozen=True):
    """Result of a request.

    Parameters
    ----------
    kind, zone : str
        Name of the request class and zone of the caller.
    asked_s : float
        Time at which the caller started the first attempt, in seconds.
    took_s : float or None
        Time from the first attempt to the answer, in seconds; None if no
        answer came before the deadline.
    resets : int
        Number of attempts that were reset.
    runs : int
        Number of times that a target accepted the request for execution.
    work_s : float
        Execution time of the request at a warm target, in seconds.
    rejections : int
        Number of times that a full target rejected the request.
    refused_after_s : tuple of float
        Times from the first packet of each refused opening to its reset, in
        seconds.
    is_refused : bool
        Whether the last attempt was refused or rejected, so that it did not
        run.
    gave_up_s : float or None
        Time from the first attempt to the end without an answer, in seconds;
        None if there was an answer.
    """

    kind: str
    zone: str
    asked_s: float
    took_s: float | None
    resets: int
    runs: int
    work_s: float = 0
    rejections: int = 0
    refused_after_s: tuple[float, ...] = ()
    is_refused: bool = False
    gave_up_s: float | None = None


class CallerRequest:
    """A request with all its attempts, each on a flow of its own.

    Parameters
    ----------
    flow : int
        Flow number of the first attempt; each further attempt adds 1.
    request_class : RequestClass
        Class of the request.
    zone : str
        Zone of the caller.
    destination : bytes
        Destination address and port, 6 bytes.
    clock : VirtualClock
        Clock.
    rng : random.Random
        Random source for the work of the request.
    send : callable
        Called with this request and a packet to send to the fabric.
    on_end : callable
        Called once with the `Outcome`.
    """

    def __init__(
        self,
        flow: int,
        request_class: RequestClass,
        zone: str,
        destination: bytes,
        clock: VirtualClock,
        rng: random.Random,
        send: Callable[['CallerRequest', PacketHeader], None],
        on_end: Callable[[Outcome], None],
    ) -> None:
        self.flow = flow
        self.request_class = request_class
        self.zone = zone
        self.work_s = rng.uniform(0.5, 1.5) * request_class.work_ms / _MS_PER_S
        self.runs = 0
        self._destination = destination
        self._clock = clock
        self._send = send
        self._on_end = on_end
        self._started_s = clock.now_s
        self._token = NO_TOKEN
        self._resets = 0
        self._has_ended = False
        clock.call_after(
            request_class.deadline_ms / _MS_PER_S, self._on_deadline
        )
        self._start_attempt()

    @property
    def is_open(self) -> bool:
        """Whether a target accepted the flow of the current attempt."""
        return self._token != NO_TOKEN

    def on_accepted(self, flow: int, token: int) -> None:
        """Send the request to the target that accepted the flow first."""
        if self._has_ended or flow != self.flow or self.is_open:
            return
        self._token = token
        self._send(self, self._build_packet(ACK))

    def on_reset(self, flow: int) -> None:
        """Schedule a retry, or fail the request.

        An unsafe request is not retried once a target accepted it.
        """
        if self._has_ended or flow != self.flow:
            return
        self._resets += 1
        may_retry = (
            self.request_class.kind is not RequestKind.UNSAFE or not self.runs
        )
        if self._resets > self.request_class.retries or not may_retry:
            self._finish(None)
            return
        self._token = NO_TOKEN
        self.flow += 1
        self._clock.call_after(RETRY_DELAY_S, self._start_attempt)

    def on_answer(self, flow: int) -> None:
        """Close the flow and end the request with an answer."""
        if self._has_ended or flow != self.flow:
            return
        self._send(self, self._build_packet(FIN))
        self._finish(self._clock.now_s - self._started_s)

    def _start_attempt(self) -> None:
        if self._has_ended:
            return
        self._send(self, self._build_packet(SYN))
        for copy, delay_s in enumerate(SYN_RETRANSMIT_DELAYS_S, start=1):
            self._clock.call_after(delay_s, self._retransmit, self.flow, copy)

    def _retransmit(self, flow: int, copy: int) -> None:
        if self._has_ended or self.is_open or flow != self.flow:
            return
        self._send(self, self._build_packet(SYN, copy))

    def _build_packet(self, flags: int, copy: int = 0) -> PacketHeader:
        key = self.flow.to_bytes(6) + self._destination
        return PacketHeader(
            key, self._destination, flags, self.flow, copy, self._token, 0
        )

    def _on_deadline(self) -> None:
        if not self._has_ended:
            self._send(self, self._build_packet(RST))
            self._finish(None)

    def _finish(self, took_s: float | None) -> None:
        self._has_ended = True
        self._on_end(
            Outcome(
                self.request_class.name,
                self.zone,
                self._started_s,
                took_s,
                self._resets,
                self.runs,
            )
        )
