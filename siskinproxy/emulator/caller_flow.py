"""A flow of a caller as its packets show it.

A flow carries one request at a time. Between requests it may stay open: the
caller acknowledges the response and sends a later request on the same flow.
"""

import zlib
from functools import partial
from typing import Final, Protocol

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import RequestClass
from siskinproxy.emulator.targets import EmulatedTarget, Job
from siskinproxy.entry.packets import ACK, FIN, RST, SYN, PacketHeader
from siskinproxy.entry.records import NO_TOKEN

__all__ = ('CallerFlow', 'FlowOwner', 'FlowUser')

#: Times after the first SYN at which it is retransmitted, and at which the
#: caller gives up the flow, in seconds.
SYN_RETRANSMIT_DELAYS_S: Final = (0.2, 0.6)
OPENING_TIMEOUT_S: Final = 1.4
#: Times after a request at which it is retransmitted unless it has arrived, in
#: seconds.
DATA_RETRANSMIT_DELAYS_S: Final = (0.2, 0.6, 1.4, 3.0)
#: Time after which a response of one packet is acknowledged, in seconds.
DELAYED_ACK_S: Final = 0.04
#: Time after which a caller closes a flow without requests, in seconds.
IDLE_CLOSE_S: Final = 12.0
#: Length of a request, and of the response of a full target, in bytes.
REQUEST_BYTES: Final = 320
REJECTION_BYTES: Final = 150
#: Maximum length of the data of a packet, in bytes.
MAX_PACKET_BYTES: Final = 1200
_SEQUENCE_MASK: Final = 0xFFFFFFFF


class FlowUser(Protocol):
    """Request that a flow carries.

    Attributes
    ----------
    work_s : float
        Execution time at a warm target, in seconds.
    runs : int
        Number of times that a target accepted it for execution.
    """

    work_s: float
    runs: int

    def on_response(self, *, is_rejected: bool) -> None:
        """Handle the response of a target."""

    def on_reset(self, flow: 'CallerFlow') -> None:
        """Handle the reset of the flow."""

    def on_opening_timeout(self) -> None:
        """Handle an opening that no target has answered."""


class FlowOwner(Protocol):
    """Caller to whom a flow belongs; the attributes are as in `FlowCaller`."""

    request_class: RequestClass
    zone: str
    destination: bytes
    clock: VirtualClock
    keeps_flows: bool
    idle_flows: list['CallerFlow']

    def send(self, flow: 'CallerFlow', packet: PacketHeader) -> None:
        """Send a packet to the fabric."""


class CallerFlow:
    """A flow of a caller.

    Parameters
    ----------
    number : int
        Flow number, which stands for the caller's address and port.
    caller : FlowOwner
        Caller.
    req : FlowUser
        Request for which the flow is opened.

    Attributes
    ----------
    zone : str
        Zone of the caller.
    flow : int
        Flow number.
    is_open, is_closed : bool
        Whether a target accepted the flow, and whether it has ended.
    requests : int
        Number of requests that were sent.
    """

    def __init__(self, number: int, caller: FlowOwner, req: FlowUser) -> None:
        self.zone = caller.zone
        self.is_open = False
        self.is_closed = False
        self.requests = 0
        self.flow = number
        self._caller = caller
        self._clock = caller.clock
        self._key = number.to_bytes(6) + caller.destination
        self._req: FlowUser | None = req
        self._token = NO_TOKEN
        self._sequence = zlib.crc32(self._key)
        self._ack = 0
        self._sent_ack = 0
        self._holder: tuple[EmulatedTarget, int] | None = None
        self._received = 0
        self.opened_s = self._clock.now_s

    def open(self) -> None:
        """Send the opening packet, and repeat it until it is answered."""
        self._send(SYN)
        for copy, delay_s in enumerate(SYN_RETRANSMIT_DELAYS_S, start=1):
            self._clock.call_after(delay_s, self._retransmit_opening, copy)
        self._clock.call_after(OPENING_TIMEOUT_S, self._on_opening_timeout)

    def send_request(self, req: FlowUser) -> None:
        """Send a request on the open flow."""
        self._req = req
        self.requests += 1
        self._send_data()
        for delay_s in DATA_RETRANSMIT_DELAYS_S:
            self._clock.call_after(
                delay_s, self._retransmit_data, self.requests
            )

    def abandon(self) -> None:
        """End the flow at the deadline of its request."""
        self._close(RST)

    def on_accepted(self, flow: int, token: int) -> None:
        """Send the request to the target that accepted the flow first."""
        if self.is_closed or self.is_open or self._req is None:
            return
        self.is_open = True
        self._token = token
        self._sequence += 1
        self._ack = zlib.crc32(self._key, token) & _SEQUENCE_MASK
        self.send_request(self._req)

    def on_reset(self, flow: int) -> None:
        """End the flow; its request may be repeated on another one."""
        if self.is_closed:
            return
        req = self._end()
        if req is not None:
            req.on_reset(self)

    def on_target_packet(
        self, target: EmulatedTarget, packet: PacketHeader, delay_s: float
    ) -> None:
        """Let a target handle a packet of the flow.

        Parameters
        ----------
        target : EmulatedTarget
            Target that the packet has reached.
        packet : PacketHeader
            Packet after the opening.
        delay_s : float
            Time in which a packet of the target reaches the caller, in seconds.
        """
        if packet.flags & (FIN | RST):
            return
        holder = (target, target.starts)
        if self._holder is None:
            self._holder = holder
        if self._holder != holder:
            self._clock.call_after(delay_s, self.on_reset, self.flow)
        elif packet.data_bytes and self._received < self.requests:
            self._received = self.requests
            self._run(target, delay_s)

    def _run(self, target: EmulatedTarget, delay_s: float) -> None:
        req = self._req
        if req is None:
            return
        respond = partial(self._respond, req, target, delay_s)
        if target.accept(Job(req.work_s, respond)):
            req.runs += 1
        else:
            respond(is_rejected=True)

    def _respond(
        self,
        req: FlowUser,
        target: EmulatedTarget,
        delay_s: float,
        *,
        is_rejected: bool = False,
    ) -> None:
        """Send the response of a target to the caller."""
        self._clock.call_after(
            delay_s, self._on_response, req, is_rejected, target.is_draining
        )

    def _on_response(
        self,
        req: FlowUser,
        is_rejected: bool,
        is_last: bool,
    ) -> None:
        if self.is_closed or self._req is not req:
            return
        self._req = None
        response_bytes = (
            REJECTION_BYTES
            if is_rejected
            else self._caller.request_class.response_bytes
        )
        self._ack = (self._ack + response_bytes) & _SEQUENCE_MASK
        if is_last or not self._caller.keeps_flows:
            self._close(FIN)
        else:
            self._keep(response_bytes)
        req.on_response(is_rejected=is_rejected)

    def _keep(self, response_bytes: int) -> None:
        """Acknowledge the response and keep the flow for a later request."""
        self._caller.idle_flows.append(self)
        if response_bytes > MAX_PACKET_BYTES:
            self._send(ACK)
        else:
            self._clock.call_after(DELAYED_ACK_S, self._acknowledge)
        self._clock.call_after(IDLE_CLOSE_S, self._close_idle, self.requests)

    def _acknowledge(self) -> None:
        if not self.is_closed and self._sent_ack != self._ack:
            self._send(ACK)

    def _close_idle(self, requests: int) -> None:
        if not self.is_closed and self.requests == requests:
            self._close(FIN)

    def _retransmit_opening(self, copy: int) -> None:
        if not (self.is_open or self.is_closed):
            self._send(SYN, copy)

    def _on_opening_timeout(self) -> None:
        if self.is_open or self.is_closed:
            return
        req = self._end()
        if req is not None:
            req.on_opening_timeout()

    def _send_data(self) -> None:
        self._send(ACK, data_bytes=REQUEST_BYTES)
        self._sequence = (self._sequence + REQUEST_BYTES) & _SEQUENCE_MASK

    def _retransmit_data(self, number: int) -> None:
        has_arrived = self._received >= number
        if not (has_arrived or self.is_closed or self.requests != number):
            self._sequence = (self._sequence - REQUEST_BYTES) & _SEQUENCE_MASK
            self._send_data()

    def _close(self, flags: int) -> None:
        if not self.is_closed:
            self._send(flags | ACK if flags == FIN else flags)
            self._end()

    def _end(self) -> FlowUser | None:
        """Mark the flow as ended; return the request that it carried."""
        self.is_closed = True
        if self in self._caller.idle_flows:
            self._caller.idle_flows.remove(self)
        req = self._req
        self._req = None
        return req

    def _send(self, flags: int, copy: int = 0, data_bytes: int = 0) -> None:
        if not flags & SYN:
            copy = self._ack
            self._sent_ack = copy
        self._caller.send(
            self,
            PacketHeader(
                self._key,
                self._caller.destination,
                flags,
                self._sequence,
                copy,
                self._token,
                data_bytes,
            ),
        )
