"""Backend server of the target stand-in, without sockets or clocks."""

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

#: Time in which a closed connection still acknowledges a repeated FIN.
_TIME_WAIT_S: Final = 5.0
#: An embryonic connection or an answer without progress is dropped after
#: this many timeouts, 6 s and 20 s with the timeouts of `Connection`.
_MAX_OPENING_TIMEOUTS: Final = 5
_MAX_TIMEOUTS: Final = 14
#: A connection without a request, or whose caller never closes its side, is
#: dropped after this time.
_IDLE_LIMIT_S: Final = 30.0
#: Share of the slots that a cold target can use at first.
_COLD_SHARE: Final = 0.1
#: Executions beyond its ability that a cold target bears before it fails.
_COLD_MARGIN: Final = 1
#: Time that a failed target needs to start again.
_RESTART_S: Final = 2.0


class TargetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Properties of one backend server.

    Parameters
    ----------
    name : str
        Name of the target.
    service : str
        Service that it belongs to.
    address : str
        IPv4 address.
    ports : dict of int to str
        Mode, ``request`` or ``stream``, of each target port.
    slots : int
        Requests that it executes at the same time.
    connections : int
        Connections that it accepts.
    backlog : int
        Requests that may wait for a slot.
    warmup_s : float
        Time from a cold start to full ability, in seconds.
    cold : bool
        Whether it starts cold.
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
    """Connection of a target with its request."""

    __slots__ = (
        'connection',
        'is_counted',
        'is_waiting_to_expire',
        'key',
        'mode',
        'request',
        'scheduled_s',
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
        self.is_waiting_to_expire = False
        self.scheduled_s = math.inf


def fill_body(request_id: str, chunk: int, size_bytes: int) -> bytes:
    """Return the body that answers a request, recognisable by its id."""
    pattern = f'{request_id}/{chunk};'.encode()
    return (pattern * (size_bytes // len(pattern) + 1))[:size_bytes]


def _name_of(endpoint: Endpoint) -> str:
    return f'{endpoint.address}:{endpoint.port}'


class TargetServer:
    """One backend server.

    Parameters
    ----------
    settings : TargetSettings
        Its properties.
    rng : random.Random
        Source of the initial sequence numbers.
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    counters : collections.Counter
        Events by name.
    executions : collections.Counter
        Executions by request id; more than 1 is a doubled request.
    accepted : set of str
        Callers, as ``address:port``, whose connection was accepted.
    resets : collections.Counter
        Resets of segments without a connection, by caller.
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
        self._order = itertools.count()
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
        """Process a datagram that arrived at a target port.

        Parameters
        ----------
        port : int
            UDP port that received it.
        datagram : bytes
            IPv4 packet.
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of bytes
            Packets for the fabric.
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
            if flow is None or self._replaces(flow, segment):
                return self._on_syn(port, segment, datagram, now_s)
        if flow is None:
            return self._on_unknown_flow(segment)
        return self._on_flow_segment(flow, segment, now_s)

    def on_timer(self, now_s: float) -> list[bytes]:
        """Return the packets that are due: answers and retransmissions."""
        packets: list[bytes] = []
        while self._timers and self._timers[0][0] <= now_s:
            _, _, action, flow = heapq.heappop(self._timers)
            if self._flows.get(flow.key) is flow:
                packets += action(flow, now_s)
        return packets

    def next_timer_s(self) -> float:
        """Return when `on_timer` has to run next; infinite if never."""
        return self._timers[0][0] if self._timers else math.inf

    def set_flag(self, name: str, is_set: bool) -> None:
        """Set ``drain``, ``shed`` or ``lie``.

        Parameters
        ----------
        name : str
            ``drain`` and ``shed`` refuse new connections; with ``lie`` the
            health report claims a healthy and idle target.
        is_set : bool
            New value.

        Raises
        ------
        KeyError
            If there is no such flag.
        """
        if name not in self.flags:
            raise KeyError(name)
        self.flags[name] = is_set

    def start_cold(self, now_s: float) -> None:
        """Return to the ability of a cold start, keeping connections."""
        self._cold_since_s = now_s

    def ability(self, now_s: float) -> float:
        """Return the number of executions that the target can bear now."""
        elapsed_s = now_s - self._cold_since_s
        share = _COLD_SHARE + (1 - _COLD_SHARE) * (
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
        """Return counters, current load and busy slot time in seconds."""
        self._account(now_s)
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
            'ability': self.ability(now_s),
            **self.flags,
        }

    def _replaces(self, flow: _Flow, segment: Segment) -> bool:
        connection = flow.connection
        if connection.state == 'syn-received':
            expected = connection.receive_next
            return (segment.sequence + 1) & 0xFFFFFFFF != expected
        if not connection.is_closed:
            return False
        # RFC 9293 section 3.10.7.4: a SYN above the old sequence numbers
        # may reopen a connection in TIME-WAIT.
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
            self._forget(previous, now_s)
        connection = Connection(
            segment.destination,
            segment.source,
            self._rng.getrandbits(32),
            segment.sequence,
        )
        flow = _Flow((port, segment.source), connection, mode)
        self._flows[flow.key] = flow
        self.accepted.add(_name_of(segment.source))
        self._open_flows[mode] += 1
        packets = connection.open(now_s)
        self._schedule_retransmission(flow)
        if mode == 'request':
            self._schedule(now_s + _IDLE_LIMIT_S, self._end_if_idle, flow)
        return packets

    def _refusal_reason(self, mode: Mode, now_s: float) -> str:
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
        return next((name for name, holds in reasons.items() if holds), '')

    def _on_unknown_flow(self, segment: Segment) -> list[bytes]:
        if segment.flags & RST:
            return []
        self.counters['unknown_flow'] += 1
        self.resets[_name_of(segment.source)] += 1
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
        if any(packet[33] & RST for packet in packets):
            self.counters['unacceptable_acknowledgment'] += 1
            self.resets[_name_of(segment.source)] += 1
        for request in decode_frames(connection.received, Request):
            packets.extend(self._on_request(flow, request, now_s))
        if connection.remote_closed and flow.mode == 'stream':
            packets += connection.close(now_s)
        return packets + self._after_event(flow, now_s)

    def _after_event(self, flow: _Flow, now_s: float) -> list[bytes]:
        connection = flow.connection
        if connection.state == 'reset':
            if flow.request and flow.is_counted:
                self.counters['cancelled'] += 1
            self._forget(flow, now_s)
            return self._start_waiting(now_s)
        if connection.is_closed and not flow.is_waiting_to_expire:
            flow.is_waiting_to_expire = True
            self._uncount(flow)
            self._schedule(now_s + _TIME_WAIT_S, self._expire, flow)
        self._schedule_retransmission(flow)
        return []

    def _schedule_retransmission(self, flow: _Flow) -> None:
        timer_s = flow.connection.timer_s
        if timer_s not in {math.inf, flow.scheduled_s}:
            flow.scheduled_s = timer_s
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
            return flow.connection.send(self._answer(request), now_s)
        flow.request = request
        self._waiting.append(flow)
        return self._start_waiting(now_s)

    def _start_waiting(self, now_s: float) -> list[bytes]:
        while self._waiting and len(self._running) < self.settings.slots:
            self._account(now_s)
            flow = self._waiting.popleft()
            self._running.append(flow)
            self.executions[flow.request.id] += 1
            excess = len(self._running) - self.ability(now_s)
            if excess > 0:
                self.counters['cold_overload'] += 1
            if excess > _COLD_MARGIN:
                return self._fail(now_s)
            slowdown = max(1, len(self._running) / self.ability(now_s))
            work_s = flow.request.work_ms / 1000 * slowdown
            self._schedule(now_s + work_s, self._finish, flow)
        return []

    def _finish(self, flow: _Flow, now_s: float) -> list[bytes]:
        self._account(now_s)
        self._running.remove(flow)
        packets = flow.connection.send(self._answer(flow.request), now_s)
        packets += flow.connection.close(now_s)
        self.counters['answered'] += 1
        self._uncount(flow)
        # Bounds the wait for the FIN of a caller that is gone.
        self._schedule(now_s + _IDLE_LIMIT_S, self._expire, flow)
        self._after_event(flow, now_s)
        return packets + self._start_waiting(now_s)

    def _fail(self, now_s: float) -> list[bytes]:
        # The process of an overloaded cold target exits, so its kernel
        # resets all connections; the restarted process is cold again.
        self.counters['failures'] += 1
        packets = []
        for flow in tuple(self._flows.values()):
            if not flow.connection.is_closed:
                packets += flow.connection.abort()
            self._forget(flow, now_s)
        self._down_until_s = now_s + _RESTART_S
        self._cold_since_s = self._down_until_s
        return packets

    def _answer(self, request: Request) -> bytes:
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
        limit = _MAX_TIMEOUTS
        if connection.state == 'syn-received':
            limit = _MAX_OPENING_TIMEOUTS
        if connection.retransmissions >= limit:
            self.counters['abandoned'] += 1
            self._forget(flow, now_s)
            return []
        packets = connection.on_timer(now_s)
        self.counters['retransmitted'] += len(packets)
        self._schedule_retransmission(flow)
        return packets

    def _end_if_idle(self, flow: _Flow, now_s: float) -> list[bytes]:
        if flow.request:
            return []
        self.counters['idle'] += 1
        packets = flow.connection.abort()
        self._forget(flow, now_s)
        return packets

    def _expire(self, flow: _Flow, now_s: float) -> list[bytes]:
        self._forget(flow, now_s)
        return []

    def _forget(self, flow: _Flow, now_s: float) -> None:
        if self._flows.get(flow.key) is flow:
            self._flows.pop(flow.key)
        self._uncount(flow)
        if flow in self._waiting:
            self._waiting.remove(flow)
        if flow in self._running:
            self._account(now_s)
            self._running.remove(flow)

    def _uncount(self, flow: _Flow) -> None:
        if flow.is_counted:
            flow.is_counted = False
            self._open_flows[flow.mode] -= 1

    def _account(self, now_s: float) -> None:
        elapsed_s = now_s - self._busy_since_s
        self._busy_s += elapsed_s * len(self._running)
        self._busy_since_s = now_s

    def _schedule(
        self,
        due_s: float,
        action: '_Action',
        flow: _Flow,
    ) -> None:
        entry = (due_s, next(self._order), action, flow)
        heapq.heappush(self._timers, entry)


_Action = Callable[[_Flow, float], list[bytes]]
_Timer = tuple[float, int, _Action, _Flow]
