"""Simulated backend server, without sockets or clocks.

A target accepts TCP connections as raw IPv4 packets and executes requests in
a fixed number of slots. After a cold start it has a small part of its capacity
at first, and crashes if it gets too many requests before it is warm.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final, Literal

import msgspec

from siskinproxy.fabric.segments import (
    ACK,
    RST,
    SYN,
    Endpoint,
    Segment,
    build_reset,
    build_segment,
    is_ipv4_tcp,
    parse_segment,
)
from siskinproxy.standins.connection import Connection, sequence_distance
from siskinproxy.standins.messages import (
    Answer,
    Request,
    decode_frames,
    encode_frame,
)

__all__ = ('TargetServer', 'TargetSettings', 'fill_body')

Mode = Literal['request', 'stream']

#: Time that a closed connection is kept to acknowledge a repeated FIN.
_TIME_WAIT_S: Final = 5.0
#: Retransmission timeouts in a row after which a connection is dropped: of an
#: embryonic connection, in the state SYN-RECEIVED (6 s with the timeouts of
#: `Connection`), and of an established one that gets no acknowledgment (20 s).
_MAX_OPENING_TIMEOUTS: Final = 5
_MAX_ESTABLISHED_TIMEOUTS: Final = 14
#: Time after which a connection to a request port is dropped that got no
#: request, or that its caller has not closed after the answer.
_IDLE_TIMEOUT_S: Final = 30.0
#: Share of the slots that a target can use without slowdown at a cold start.
_COLD_START_SHARE: Final = 0.1
#: Number of executions above its present capacity that a cold target survives;
#: with more it crashes.
_MAX_COLD_OVERLOAD: Final = 1
#: Time from a crash to the restart; the target refuses connections meanwhile.
_RESTART_S: Final = 2.0


class TargetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of one backend server.

    Parameters
    ----------
    name : str
        Name of the target.
    service : str
        Service whose requests it answers.
    address : str
        IPv4 address.
    ports : dict of int to str
        Mode of each target port: ``request`` ports answer one request per
        connection, ``stream`` ports answer any number.
    slots : int
        Maximum number of requests in execution at the same time.
    connections : int
        Maximum number of open connections; the target refuses more.
    backlog : int
        Maximum number of requests that wait for a slot. The target refuses a
        connection to a request port while ``slots + backlog`` of them are
        open, since each may carry a request.
    warmup_s : float
        Time from a cold start to full capacity, in seconds.
    cold : bool
        Whether the target starts cold; otherwise it starts warm.
    """

    name: str
    service: str
    address: str
    ports: dict[int, Mode]
    slots: int = 4
    connections: int = 2000
    backlog: int = 8
    warmup_s: float = 30
    cold: bool = False


class _Flow:
    """Connection from a caller, its timers and its request.

    Parameters
    ----------
    key : tuple of int and Endpoint
        Target port, and address and port of the caller.
    connection : Connection
        State of the TCP connection.
    mode : str
        Mode of the target port.

    Attributes
    ----------
    request : Request or None
        Request of a connection to a request port, None until it arrives.
    is_counted : bool
        Whether the flow counts as an open connection; not after the answer of
        a request or after the connection was closed.
    is_in_time_wait : bool
        Whether the closed connection is kept to acknowledge a repeated FIN.
    retransmission_s : float
        Time of the last retransmission timer that was scheduled, in seconds.
    """

    __slots__ = (
        'connection',
        'is_counted',
        'is_in_time_wait',
        'key',
        'mode',
        'request',
        'retransmission_s',
    )

    def __init__(
        self,
        key: tuple[int, Endpoint],
        connection: Connection,
        mode: Mode,
    ) -> None:
        self.key = key
        self.connection = connection
        self.mode = mode
        self.request: Request | None = None
        self.is_counted = True
        self.is_in_time_wait = False
        self.retransmission_s = math.inf


def fill_body(request_id: str, chunk: int, size_bytes: int) -> bytes:
    """Return the body of an answer: its id and chunk number, repeated.

    Callers compute the same body to check that an answer is theirs.

    Parameters
    ----------
    request_id : str
        Id of the request.
    chunk : int
        Number of the chunk within a stream.
    size_bytes : int
        Length of the body.
    """
    pattern = f'{request_id}/{chunk};'.encode()
    return (pattern * (size_bytes // len(pattern) + 1))[:size_bytes]


def _format_endpoint(endpoint: Endpoint) -> str:
    return f'{endpoint.address}:{endpoint.port}'


class TargetServer:
    """Backend server that processes packets and timers, without I/O.

    Parameters
    ----------
    settings : TargetSettings
        Properties of the target.
    rng : random.Random
        Source of the initial sequence numbers.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    counters : collections.Counter
        Number of events by name, such as ``refused``.
    executions : collections.Counter
        Executions by request id; more than 1 is a duplicate execution.
    accepted : set of str
        Callers, as ``address:port``, whose connection was accepted.
    resets : collections.Counter
        Number of RSTs sent in reply to segments without a connection or with
        an unacceptable acknowledgment, by caller as ``address:port``.
    flags : dict of str to bool
        Flags that `set_flag` sets.
    """

    def __init__(
        self,
        settings: TargetSettings,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.settings = settings
        self.counters: Counter[str] = Counter()
        self.executions: Counter[str] = Counter()
        self.accepted: set[str] = set()
        self.resets: Counter[str] = Counter()
        self.flags = {'drain': False, 'shed': False, 'lie': False}
        self._rng = rng
        self._flows: dict[tuple[int, Endpoint], _Flow] = {}
        self._open_flows: Counter[Mode] = Counter()
        self._waiting: deque[_Flow] = deque()
        self._running: list[_Flow] = []
        self._timers: list[_Timer] = []
        # Keeps the heap from comparing actions that are due together.
        self._tie_breaker = itertools.count()
        self._cold_since_s = now_s if settings.cold else -math.inf
        self._down_until_s = -math.inf
        self._busy_s = float(0)
        self._busy_since_s = now_s

    def on_datagram(
        self,
        port: int,
        datagram: bytes,
        now_s: float,
    ) -> list[bytes]:
        """Process a packet that arrived at a target port.

        Parameters
        ----------
        port : int
            Target port whose UDP socket received the packet.
        datagram : bytes
            IPv4 packet.
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of bytes
            Packets to send to the fabric.
        """
        self.counters['received'] += 1
        if not is_ipv4_tcp(datagram):
            self.counters['malformed'] += 1
            return []
        segment = parse_segment(datagram)
        if segment.destination != (self.settings.address, port):
            self.counters['misdelivered'] += 1
            return []
        flow = self._flows.get((port, segment.source))
        if segment.flags & (SYN | ACK | RST) == SYN:
            if flow is None or self._is_new_connection(flow, segment):
                return self._on_syn(port, segment, datagram, now_s)
        if flow is None:
            return self._on_unknown_flow(segment)
        return self._on_flow_segment(flow, segment, now_s)

    def on_timer(self, now_s: float) -> list[bytes]:
        """Run the timers that are due and return the packets to send."""
        packets: list[bytes] = []
        while self._timers and self._timers[0][0] <= now_s:
            _, _, action, flow = heapq.heappop(self._timers)
            if self._flows.get(flow.key) is flow:
                packets += action(flow, now_s)
        return packets

    def next_timer_s(self) -> float:
        """Return the time of the next timer in seconds, infinity if none."""
        return self._timers[0][0] if self._timers else math.inf

    def set_flag(self, name: str, is_set: bool) -> None:
        """Set a flag that changes the behaviour of the target.

        Parameters
        ----------
        name : str
            ``drain`` and ``shed`` refuse new connections, counted under
            different names; with ``lie`` the health report says that the
            target is healthy and idle, whatever its state.
        is_set : bool
            New value.

        Raises
        ------
        KeyError
            If there is no flag with this name.
        """
        if name not in self.flags:
            raise KeyError(name)
        self.flags[name] = is_set

    def start_cold(self, now_s: float) -> None:
        """Restart the warm-up; connections and executions continue."""
        self._cold_since_s = now_s

    def capacity(self, now_s: float) -> float:
        """Return how many requests the target can execute without slowdown.

        It grows linearly during the warm-up, from a tenth of the slots to all
        of them, and is at least 1.
        """
        elapsed_s = now_s - self._cold_since_s
        share = _COLD_START_SHARE + (1 - _COLD_START_SHARE) * (
            elapsed_s / self.settings.warmup_s
        )
        return max(1, self.settings.slots * min(1, share))

    def health(self, now_s: float) -> dict[str, Any]:
        """Return the answer of the health and load endpoint."""
        if self.flags['lie']:
            return {'healthy': True, 'busy_slots': 0}
        return {
            'healthy': now_s >= self._down_until_s,
            'busy_slots': len(self._running),
        }

    def stats(self, now_s: float) -> dict[str, Any]:
        """Return the counters, the load and the flags.

        The value of ``busy_s`` is the time in seconds that the slots were
        busy, summed over the slots; ``doubled`` is the number of repeated
        executions of a request, and ``ability`` is the result of `capacity`.
        """
        self._update_busy_time(now_s)
        return {
            **self.counters,
            'name': self.settings.name,
            'service': self.settings.service,
            'executed': self.executions.total(),
            'doubled': sum(count - 1 for count in self.executions.values()),
            'busy_s': self._busy_s,
            'running': len(self._running),
            'waiting': len(self._waiting),
            'connections': self._open_flows.total(),
            'streams': self._open_flows['stream'],
            'ability': self.capacity(now_s),
            **self.flags,
        }

    def _is_new_connection(self, flow: _Flow, segment: Segment) -> bool:
        """Return whether a SYN opens a new connection in place of a flow."""
        connection = flow.connection
        if connection.state == 'syn-received':
            # The same sequence number again is a repeated SYN.
            expected = connection.receive_next
            return (segment.sequence + 1) & 0xFFFFFFFF != expected
        if not connection.is_closed:
            return False
        # RFC 9293 section 3.10.7.4: a SYN with a sequence number above those
        # of the old connection may replace a connection in TIME-WAIT.
        advance = sequence_distance(segment.sequence, connection.receive_next)
        return advance >= 0

    def _on_syn(
        self,
        port: int,
        segment: Segment,
        datagram: bytes,
        now_s: float,
    ) -> list[bytes]:
        self.counters['syns'] += 1
        mode = self.settings.ports[port]
        reason = self._refusal_reason(mode, now_s)
        if reason:
            self.counters['refused'] += 1
            self.counters[f'refused_{reason}'] += 1
            return [build_reset(datagram)]
        previous = self._flows.get((port, segment.source))
        if previous:
            self._remove_flow(previous, now_s)
        connection = Connection(
            segment.destination,
            segment.source,
            self._rng.getrandbits(32),
            segment.sequence,
        )
        flow = _Flow((port, segment.source), connection, mode)
        self._flows[flow.key] = flow
        self.accepted.add(_format_endpoint(segment.source))
        self._open_flows[mode] += 1
        packets = connection.open(now_s)
        self._schedule_retransmission(flow)
        if mode == 'request':
            self._schedule(now_s + _IDLE_TIMEOUT_S, self._abort_if_idle, flow)
        return packets

    def _refusal_reason(self, mode: Mode, now_s: float) -> str:
        """Return why a new connection is refused, empty if it is accepted."""
        settings = self.settings
        requests = self._open_flows['request']
        backlog_is_full = requests >= settings.slots + settings.backlog
        reasons = {
            'down': now_s < self._down_until_s,
            'draining': self.flags['drain'],
            'shedding': self.flags['shed'],
            'connections': self._open_flows.total() >= settings.connections,
            'backlog': mode == 'request' and backlog_is_full,
        }
        return next((name for name, applies in reasons.items() if applies), '')

    def _on_unknown_flow(self, segment: Segment) -> list[bytes]:
        if segment.flags & RST:
            return []
        self.counters['unknown_flow'] += 1
        self.resets[_format_endpoint(segment.source)] += 1
        sequence = segment.acknowledgment if segment.flags & ACK else 0
        return [
            build_segment(segment.destination, segment.source, RST, sequence),
        ]

    def _on_flow_segment(
        self,
        flow: _Flow,
        segment: Segment,
        now_s: float,
    ) -> list[bytes]:
        connection = flow.connection
        packets = connection.on_segment(segment, now_s)
        # Byte 33 of a packet holds the TCP flags.
        if any(packet[33] & RST for packet in packets):
            self.counters['unacceptable_acknowledgment'] += 1
            self.resets[_format_endpoint(segment.source)] += 1
        for request in decode_frames(connection.received, Request):
            packets.extend(self._on_request(flow, request, now_s))
        if connection.remote_closed and flow.mode == 'stream':
            packets += connection.close(now_s)
        return packets + self._handle_state_change(flow, now_s)

    def _handle_state_change(self, flow: _Flow, now_s: float) -> list[bytes]:
        """Update a flow and its timers to the state of its connection."""
        connection = flow.connection
        if connection.state == 'reset':
            if flow.request and flow.is_counted:
                self.counters['cancelled'] += 1
            self._remove_flow(flow, now_s)
            return self._start_waiting(now_s)
        if connection.is_closed and not flow.is_in_time_wait:
            flow.is_in_time_wait = True
            self._stop_counting(flow)
            self._schedule(now_s + _TIME_WAIT_S, self._expire, flow)
        self._schedule_retransmission(flow)
        return []

    def _schedule_retransmission(self, flow: _Flow) -> None:
        timer_s = flow.connection.timer_s
        if timer_s not in {math.inf, flow.retransmission_s}:
            flow.retransmission_s = timer_s
            self._schedule(timer_s, self._retransmit, flow)

    def _on_request(
        self,
        flow: _Flow,
        request: Request,
        now_s: float,
    ) -> list[bytes]:
        if request.service != self.settings.service:
            self.counters['misdelivered'] += 1
            return flow.connection.abort()
        if flow.mode == 'stream':
            self.counters['chunks'] += 1
            return flow.connection.send(self._encode_answer(request), now_s)
        flow.request = request
        self._waiting.append(flow)
        return self._start_waiting(now_s)

    def _start_waiting(self, now_s: float) -> list[bytes]:
        """Start waiting requests while slots are free."""
        while self._waiting and len(self._running) < self.settings.slots:
            self._update_busy_time(now_s)
            flow = self._waiting.popleft()
            self._running.append(flow)
            self.executions[flow.request.id] += 1
            excess = len(self._running) - self.capacity(now_s)
            if excess > 0:
                self.counters['cold_overload'] += 1
            if excess > _MAX_COLD_OVERLOAD:
                return self._crash(now_s)
            slowdown = max(1, len(self._running) / self.capacity(now_s))
            work_s = flow.request.work_ms / 1000 * slowdown
            self._schedule(now_s + work_s, self._finish, flow)
        return []

    def _finish(self, flow: _Flow, now_s: float) -> list[bytes]:
        self._update_busy_time(now_s)
        self._running.remove(flow)
        packets = flow.connection.send(self._encode_answer(flow.request), now_s)
        packets += flow.connection.close(now_s)
        self.counters['answered'] += 1
        self._stop_counting(flow)
        # Removes the flow if the caller is gone and never sends its FIN.
        self._schedule(now_s + _IDLE_TIMEOUT_S, self._expire, flow)
        self._handle_state_change(flow, now_s)
        return packets + self._start_waiting(now_s)

    def _crash(self, now_s: float) -> list[bytes]:
        # Simulates that the process of an overloaded target exits: the kernel
        # resets all connections, and the restarted process is cold.
        self.counters['failures'] += 1
        packets = []
        for flow in tuple(self._flows.values()):
            if not flow.connection.is_closed:
                packets += flow.connection.abort()
            self._remove_flow(flow, now_s)
        self._down_until_s = now_s + _RESTART_S
        self._cold_since_s = self._down_until_s
        return packets

    def _encode_answer(self, request: Request) -> bytes:
        body = fill_body(request.id, request.chunk, request.size_bytes)
        return encode_frame(
            Answer(
                request.id,
                self.settings.service,
                self.settings.name,
                body,
                request.chunk,
            ),
        )

    def _retransmit(self, flow: _Flow, now_s: float) -> list[bytes]:
        connection = flow.connection
        if connection.timer_s > now_s:
            return []
        limit = _MAX_ESTABLISHED_TIMEOUTS
        if connection.state == 'syn-received':
            limit = _MAX_OPENING_TIMEOUTS
        if connection.retransmissions >= limit:
            self.counters['abandoned'] += 1
            self._remove_flow(flow, now_s)
            return []
        packets = connection.on_timer(now_s)
        self.counters['retransmitted'] += len(packets)
        self._schedule_retransmission(flow)
        return packets

    def _abort_if_idle(self, flow: _Flow, now_s: float) -> list[bytes]:
        if flow.request:
            return []
        self.counters['idle'] += 1
        packets = flow.connection.abort()
        self._remove_flow(flow, now_s)
        return packets

    def _expire(self, flow: _Flow, now_s: float) -> list[bytes]:
        self._remove_flow(flow, now_s)
        return []

    def _remove_flow(self, flow: _Flow, now_s: float) -> None:
        """Remove a flow, also from the waiting and the running requests."""
        if self._flows.get(flow.key) is flow:
            self._flows.pop(flow.key)
        self._stop_counting(flow)
        if flow in self._waiting:
            self._waiting.remove(flow)
        if flow in self._running:
            self._update_busy_time(now_s)
            self._running.remove(flow)

    def _stop_counting(self, flow: _Flow) -> None:
        """Remove a flow from the number of open connections."""
        if flow.is_counted:
            flow.is_counted = False
            self._open_flows[flow.mode] -= 1

    def _update_busy_time(self, now_s: float) -> None:
        """Add the busy slot time since the last update."""
        elapsed_s = now_s - self._busy_since_s
        self._busy_s += elapsed_s * len(self._running)
        self._busy_since_s = now_s

    def _schedule(
        self,
        due_s: float,
        action: '_Action',
        flow: _Flow,
    ) -> None:
        entry = (due_s, next(self._tie_breaker), action, flow)
        heapq.heappush(self._timers, entry)


#: Called with the flow and the current time when a timer is due; returns the
#: packets to send.
_Action = Callable[[_Flow, float], list[bytes]]
#: Due time in seconds, tie breaker, action and its flow.
_Timer = tuple[float, int, _Action, _Flow]
