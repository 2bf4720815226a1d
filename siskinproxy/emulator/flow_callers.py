"""Callers that keep flows open, and their requests with all attempts."""

import random
from collections.abc import Callable, Sequence
from typing import Final

from siskinproxy.emulator.caller_flow import CallerFlow
from siskinproxy.emulator.callers import RETRY_DELAY_S, Outcome
from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import RequestClass
from siskinproxy.entry.packets import PacketHeader
from siskinproxy.entry.records import RequestKind

__all__ = ('CallerPools', 'FlowCaller', 'FlowRequest')

_MS_PER_S: Final = 1000


class FlowCaller:
    """A caller with the flows that it keeps open.

    Parameters
    ----------
    request_class : RequestClass
        Class of its requests.
    zone : str
        Zone of the caller.
    destination : bytes
        Destination address and port, 6 bytes.
    clock : VirtualClock
        Clock.
    take_flow_number : callable
        Returns the number of a new flow.
    send : callable
        Called with a flow and a packet to send to the fabric.

    Attributes
    ----------
    idle_flows : list of CallerFlow
        Open flows that carry no request.
    """

    def __init__(
        self,
        request_class: RequestClass,
        zone: str,
        destination: bytes,
        clock: VirtualClock,
        take_flow_number: Callable[[], int],
        send: Callable[[CallerFlow, PacketHeader], None],
    ) -> None:
        self.request_class = request_class
        self.zone = zone
        self.destination = destination
        self.clock = clock
        self.send = send
        self.keeps_flows = request_class.callers > 0
        self.idle_flows: list[CallerFlow] = []
        self._take_flow_number = take_flow_number

    def start(self, req: 'FlowRequest', *, is_retry: bool) -> CallerFlow:
        """Send a request on an idle flow, or on a new one; return the flow."""
        if self.idle_flows and not is_retry:
            flow = self.idle_flows.pop()
            flow.send_request(req)
            return flow
        flow = CallerFlow(self._take_flow_number(), self, req)
        flow.open()
        return flow


class FlowRequest:
    """A request with all its attempts.

    Parameters
    ----------
    caller : FlowCaller
        Caller.
    rng : random.Random
        Random source for the work of the request.
    on_end : callable
        Called once with the `Outcome`.

    Attributes
    ----------
    work_s : float
        Execution time at a warm target, in seconds.
    runs : int
        Number of times that a target accepted it for execution.
    """

    def __init__(
        self,
        caller: FlowCaller,
        rng: random.Random,
        on_end: Callable[[Outcome], None],
    ) -> None:
        request_class = caller.request_class
        self.work_s = rng.uniform(0.5, 1.5) * request_class.work_ms / _MS_PER_S
        self.runs = 0
        self._caller = caller
        self._clock = caller.clock
        self._on_end = on_end
        self._started_s = self._clock.now_s
        self._attempts = 0
        self._resets = 0
        self._rejections = 0
        self._refused_after_s: list[float] = []
        self._has_ended = False
        self._clock.call_after(
            request_class.deadline_ms / _MS_PER_S, self._on_deadline
        )
        self._start_attempt()

    def on_response(self, *, is_rejected: bool) -> None:
        """End the request, or repeat it at once if it was rejected."""
        if self._has_ended:
            return
        if not is_rejected:
            self._finish(self._clock.now_s - self._started_s)
            return
        self._rejections += 1
        self._retry(0, is_refused=True)

    def on_reset(self, flow: CallerFlow) -> None:
        """Repeat the request after a while if that is allowed."""
        if self._has_ended:
            return
        self._resets += 1
        if not flow.is_open:
            self._refused_after_s.append(self._clock.now_s - flow.opened_s)
            self._retry(RETRY_DELAY_S, is_refused=True)
        elif self._caller.request_class.kind is RequestKind.UNSAFE:
            self._finish(None)
        else:
            self._retry(RETRY_DELAY_S, is_refused=False)

    def on_opening_timeout(self) -> None:
        """Repeat the request on another flow; no target accepted the first."""
        if not self._has_ended:
            self._retry(0, is_refused=False)

    def _retry(self, delay_s: float, *, is_refused: bool) -> None:
        if self._attempts > self._caller.request_class.retries:
            self._finish(None, is_refused=is_refused)
        else:
            self._clock.call_after(delay_s, self._start_attempt)

    def _start_attempt(self) -> None:
        if self._has_ended:
            return
        self._attempts += 1
        is_retry = self._attempts > 1
        self._flow = self._caller.start(self, is_retry=is_retry)

    def _on_deadline(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._flow.abandon()
            self._finish(None)

    def _finish(
        self, took_s: float | None, *, is_refused: bool = False
    ) -> None:
        self._has_ended = True
        lasted_s = self._clock.now_s - self._started_s
        self._on_end(
            Outcome(
                self._caller.request_class.name,
                self._caller.zone,
                self._started_s,
                took_s,
                self._resets,
                self.runs,
                self.work_s,
                self._rejections,
                tuple(self._refused_after_s),
                is_refused,
                lasted_s if took_s is None else None,
            )
        )


class CallerPools:
    """Callers of each request class and zone.

    Parameters
    ----------
    classes : sequence of RequestClass
        Classes of requests.
    clock : VirtualClock
        Clock.
    take_flow_number, send : callable
        As `FlowCaller`.
    """

    def __init__(
        self,
        classes: Sequence[RequestClass],
        clock: VirtualClock,
        take_flow_number: Callable[[], int],
        send: Callable[[CallerFlow, PacketHeader], None],
    ) -> None:
        self._classes = classes
        self._clock = clock
        self._take_flow_number = take_flow_number
        self._send = send
        self._callers: dict[tuple[int, str, int], FlowCaller] = {}

    def draw(
        self, number: int, zone: str, destination: bytes, rng: random.Random
    ) -> FlowCaller:
        """Return a caller of a request class in a zone, drawn at random.

        Parameters
        ----------
        number : int
            Number of the request class.
        zone : str
            Zone of the caller.
        destination : bytes
            Destination address and port, 6 bytes.
        rng : random.Random
            Random source.

        Returns
        -------
        FlowCaller
            Caller; a new one if those of the class keep no flows open.
        """
        request_class = self._classes[number]
        caller_number = rng.randrange(max(request_class.callers, 1))
        key = (number, zone, caller_number)
        caller = self._callers.get(key)
        if caller is None:
            caller = FlowCaller(
                request_class,
                zone,
                destination,
                self._clock,
                self._take_flow_number,
                self._send,
            )
            self._callers[key] = caller
        return caller
