"""Client side of simulated requests and long flows.

The flows do no I/O and read no clock: callers of their methods pass datagrams
and the current time, and send the packets that are returned.
"""

import enum
import math
from typing import Final

import msgspec

from siskinproxy.errors import SegmentFormatError
from siskinproxy.fabric.segments import Endpoint, Segment, parse_segment
from siskinproxy.standins.connection import Connection
from siskinproxy.standins.messages import (
    Answer,
    Request,
    decode_frames,
    encode_frame,
)
from siskinproxy.standins.target_server import fill_body

__all__ = ('Outcome', 'RequestFlow', 'StreamFlow')

#: Time limit for closing the connection after the outcome is known; then the
#: connection is reset.
_CLOSE_TIMEOUT_S: Final = 2.0


class Outcome(enum.StrEnum):
    """What a caller knows about a request or a long flow."""

    #: The complete answer that belongs to the request.
    ANSWERED = 'answered'
    #: RST in response to the SYN: the request was not executed.
    REFUSED = 'refused'
    #: RST, end of the connection or deadline without a complete answer after
    #: the handshake: the request may or may not have been executed.
    UNKNOWN = 'unknown'
    #: No response to the SYN before the deadline.
    TIMED_OUT = 'timed_out'
    #: An answer that is incomplete or belongs to another request: an error of
    #: the load balancer or the target.
    MISMATCHED = 'mismatched'
    #: The caller closed the long flow.
    CLOSED = 'closed'
    #: An established long flow ended although its caller had not closed it.
    BROKEN = 'broken'


class _Flow:
    """Connection of a caller; subclasses define what it carries."""

    def __init__(
        self,
        local: Endpoint,
        service_endpoint: Endpoint,
        request: Request,
        initial_sequence: int,
        deadline_s: float,
    ) -> None:
        self.local = local
        self.request = request
        self.outcome: Outcome | None = None
        self.detail = ''
        self.target = ''
        self.opened_s = math.nan
        self.ended_s = math.nan
        self._deadline_s = deadline_s
        self._expires_at_s = math.inf
        self._connection = Connection(
            local,
            service_endpoint,
            initial_sequence,
        )

    @property
    def is_finished(self) -> bool:
        """Whether the outcome is known and the connection is closed."""
        return self.outcome is not None and self._connection.is_closed

    @property
    def is_established(self) -> bool:
        """Whether the handshake is complete and the connection not reset."""
        return self._connection.state == 'established'

    def start(self, now_s: float) -> list[bytes]:
        """Start the deadline and return the SYN."""
        self.opened_s = now_s
        self._expires_at_s = now_s + self._deadline_s
        return self._connection.open(now_s)

    def on_datagram(self, datagram: bytes, now_s: float) -> list[bytes]:
        """Process a datagram from the fabric.

        Parameters
        ----------
        datagram : bytes
            IPv4 packet; ignored if it is malformed or of another flow.
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of bytes
            Packets for the fabric.
        """
        try:
            segment = parse_segment(datagram)
        except SegmentFormatError:
            return []
        if not self._matches_connection(segment):
            return []
        was_opening = self._connection.state == 'syn-sent'
        packets = self._connection.on_segment(segment, now_s)
        if self._connection.state == 'reset':
            self._on_reset(was_opening, now_s)
            return packets
        if was_opening and self.is_established:
            packets += self._on_established(now_s)
        return packets + self._on_progress(now_s)

    def on_timer(self, now_s: float) -> list[bytes]:
        """Return the packets that are due.

        After the deadline, this sets the outcome and resets the connection.
        """
        if now_s < self._expires_at_s:
            return self._connection.on_timer(now_s)
        self._expires_at_s = math.inf
        if self.outcome is None:
            outcome = Outcome.TIMED_OUT
            if self.is_established:
                outcome = self._failure_outcome()
            self._set_outcome(outcome, 'deadline', now_s)
        return self._connection.abort()

    def next_timer_s(self) -> float:
        """Return the time at which `on_timer` is due; infinite if never."""
        if self.is_finished:
            return math.inf
        return min(self._expires_at_s, self._connection.timer_s)

    def _matches_connection(self, segment: Segment) -> bool:
        connection = self._connection
        return (segment.source, segment.destination) == (
            connection.remote,
            self.local,
        )

    def _on_reset(self, was_opening: bool, now_s: float) -> None:
        if self.outcome is not None:
            return
        outcome = Outcome.REFUSED if was_opening else self._failure_outcome()
        self._set_outcome(outcome, 'reset', now_s)

    def _set_outcome(self, outcome: Outcome, detail: str, now_s: float) -> None:
        self.outcome = outcome
        self.detail = detail
        self.ended_s = now_s

    def _failure_outcome(self) -> Outcome:
        raise NotImplementedError

    def _on_established(self, now_s: float) -> list[bytes]:
        raise NotImplementedError

    def _on_progress(self, now_s: float) -> list[bytes]:
        raise NotImplementedError

    def _decode_answers(self) -> list[Answer] | None:
        try:
            return decode_frames(self._connection.received, Answer)
        except msgspec.DecodeError:
            return None

    def _is_expected_answer(self, answer: Answer, chunk: int) -> bool:
        request = self.request
        body = fill_body(request.id, chunk, request.size_bytes)
        return (answer.id, answer.service, answer.chunk, answer.body) == (
            request.id,
            request.service,
            chunk,
            body,
        )


class RequestFlow(_Flow):
    """Connection that carries one request and its answer.

    Parameters
    ----------
    local : Endpoint
        Address and port of the caller.
    service_endpoint : Endpoint
        Address and port of the listener.
    request : Request
        Request to send.
    initial_sequence : int
        Own initial sequence number.
    deadline_s : float
        Time from the first SYN to the complete answer, in seconds.

    Attributes
    ----------
    outcome : Outcome or None
        None while the request is in progress.
    detail : str
        Event that decided the outcome, such as ``reset`` or ``deadline``.
    target : str
        Name of the target that answered; empty if none did.
    """

    def _failure_outcome(self) -> Outcome:
        return Outcome.UNKNOWN

    def _on_established(self, now_s: float) -> list[bytes]:
        return self._connection.send(encode_frame(self.request), now_s)

    def _on_progress(self, now_s: float) -> list[bytes]:
        if not self._connection.remote_closed or self.outcome is not None:
            return []
        answers = self._decode_answers()
        if answers is None or self._connection.received:
            self._set_outcome(Outcome.MISMATCHED, 'incomplete', now_s)
        elif answers:
            self._check_answers(answers, now_s)
        else:
            self._set_outcome(Outcome.UNKNOWN, 'closed', now_s)
        self._expires_at_s = now_s + _CLOSE_TIMEOUT_S
        return self._connection.close(now_s)

    def _check_answers(self, answers: list[Answer], now_s: float) -> None:
        self.target = answers[0].target
        outcome = Outcome.MISMATCHED
        if len(answers) == 1 and self._is_expected_answer(
            answers[0], self.request.chunk
        ):
            outcome = Outcome.ANSWERED
        self._set_outcome(outcome, 'answer', now_s)


class StreamFlow(_Flow):
    """Long flow that requests one chunk after the other.

    The parameters are those of `RequestFlow`; ``deadline_s`` limits the
    handshake and each chunk, in seconds.

    Attributes
    ----------
    chunks : int
        Number of chunks received.
    outcome : Outcome or None
        None while the flow is open.
    is_chunk_requested : bool
        Whether a requested chunk has not arrived yet.
    """

    def __init__(  # noqa: WPS612
        self,
        local: Endpoint,
        service_endpoint: Endpoint,
        request: Request,
        initial_sequence: int,
        deadline_s: float,
    ) -> None:
        super().__init__(
            local,
            service_endpoint,
            request,
            initial_sequence,
            deadline_s,
        )
        self.chunks = 0
        self.is_chunk_requested = False

    def request_chunk(self, now_s: float) -> list[bytes]:
        """Request the next chunk and return the packets to send.

        Does nothing while a chunk is outstanding or the flow is not open.
        """
        if self.is_chunk_requested or self.outcome or not self.is_established:
            return []
        self.is_chunk_requested = True
        self._expires_at_s = now_s + self._deadline_s
        request = msgspec.structs.replace(self.request, chunk=self.chunks)
        return self._connection.send(encode_frame(request), now_s)

    def finish(self, now_s: float) -> list[bytes]:
        """Close the flow as its caller and return the packets to send."""
        if self.outcome is not None:
            return []
        self._set_outcome(Outcome.CLOSED, 'caller', now_s)
        self._expires_at_s = now_s + _CLOSE_TIMEOUT_S
        if not self.is_established:
            return self._connection.abort()
        return self._connection.close(now_s)

    def _failure_outcome(self) -> Outcome:
        return Outcome.BROKEN

    def _on_established(self, now_s: float) -> list[bytes]:
        self._expires_at_s = math.inf
        return []

    def _on_progress(self, now_s: float) -> list[bytes]:
        if self.outcome is not None:
            return []
        for answer in self._decode_answers() or ():
            self.target = answer.target
            if not self._is_expected_answer(answer, self.chunks):
                self._set_outcome(Outcome.MISMATCHED, 'chunk', now_s)
                return self._connection.abort()
            self.chunks += 1
            self.is_chunk_requested = False
            self._expires_at_s = math.inf
        if self._connection.remote_closed:
            self._set_outcome(Outcome.BROKEN, 'closed', now_s)
            return self._connection.abort()
        return []
