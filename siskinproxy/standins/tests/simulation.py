"""Callers and targets connected by a simulated network with faults."""

import heapq
import itertools
import random

import msgspec

from siskinproxy.fabric.segments import (
    Endpoint,
    pack_endpoint,
    rewrite_destination,
    rewrite_source,
)
from siskinproxy.standins.caller_flow import RequestFlow, StreamFlow
from siskinproxy.standins.messages import Request
from siskinproxy.standins.target_server import TargetServer, TargetSettings

SERVICE = Endpoint('203.0.113.1', 443)
CALLER = '127.0.9.1'
REQUEST_PORT = 8001
STREAM_PORT = 8002


class Faults(msgspec.Struct, frozen=True):
    """Faults of the simulated network.

    Parameters
    ----------
    loss, duplication : float
        Probabilities, between 0 and 1, that a packet is dropped or sent twice.
    delay_s : float
        Minimum delay of each packet, in seconds.
    jitter_s : float
        Maximum random delay added to ``delay_s``, in seconds; packets with
        different delays may be reordered.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.0


def target_settings(**changes):
    """Return settings of a target with a request and a stream port."""
    settings = TargetSettings(
        name='t1',
        service='desk',
        address='127.1.1.1',
        ports={REQUEST_PORT: 'request', STREAM_PORT: 'stream'},
    )
    return msgspec.structs.replace(settings, **changes)


class Simulation:
    """One target, any number of flows, and a network that connects them.

    The network translates addresses as an instance does, and applies faults.
    Time passes only in `run`.
    """

    def __init__(self, seed, faults=None, **target_changes):
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.now_s = 0.0
        self.flows = {}
        self.port_of_flow = {}
        self.target = TargetServer(
            target_settings(**target_changes), self.rng, 0.0
        )
        self._events = []
        self._tie_breaker = itertools.count()

    def request(self, number, at_s=0.0, deadline_s=30.0, **fields):
        """Schedule a request and return its flow."""
        request = Request(id=f'r{number}', service='desk', **fields)
        flow_class = StreamFlow if request.kind == 'stream' else RequestFlow
        local = Endpoint(CALLER, 20000 + number)
        flow = flow_class(
            local, SERVICE, request, self.rng.getrandbits(32), deadline_s
        )
        self.flows[local] = flow
        port = STREAM_PORT if request.kind == 'stream' else REQUEST_PORT
        self.port_of_flow[local] = port
        self.schedule(
            at_s, lambda: self.send_from_caller(local, flow.start(self.now_s))
        )
        return flow

    def schedule(self, due_s, action):
        """Schedule a function without arguments for a time in seconds."""
        heapq.heappush(self._events, (due_s, next(self._tie_breaker), action))

    def run(self, until_s):
        """Run all events and timers that are due until a time."""
        while True:
            timers = [flow.next_timer_s() for flow in self.flows.values()]
            timers.append(self.target.next_timer_s())
            if self._events:
                timers.append(self._events[0][0])
            due_s = min(timers)
            if due_s > until_s:
                self.now_s = until_s
                return
            self.now_s = max(self.now_s, due_s)
            self._run_due()

    def send_from_caller(self, local, packets):
        """Send packets of a caller to the target."""
        port = self.port_of_flow[local]
        endpoint = pack_endpoint(('127.1.1.1', port))
        for packet in packets:
            translated = rewrite_destination(packet, endpoint)
            self._transfer(
                lambda translated=translated: self._receive_at_target(
                    port, translated
                )
            )

    def send_from_target(self, packets):
        """Send packets of the target to the callers."""
        for packet in packets:
            translated = rewrite_source(packet, pack_endpoint(SERVICE))
            self._transfer(
                lambda translated=translated: self._receive_at_caller(
                    translated
                )
            )

    def _run_due(self):
        while self._events and self._events[0][0] <= self.now_s:
            heapq.heappop(self._events)[2]()
        for local, flow in self.flows.items():
            if flow.next_timer_s() <= self.now_s:
                self.send_from_caller(local, flow.on_timer(self.now_s))
        self.send_from_target(self.target.on_timer(self.now_s))

    def _transfer(self, action):
        if self.rng.random() < self.faults.loss:
            return
        copies = 1 + (self.rng.random() < self.faults.duplication)
        for _ in range(copies):
            delay_s = self.faults.delay_s + self.rng.uniform(
                0, self.faults.jitter_s
            )
            self.schedule(self.now_s + delay_s, action)

    def _receive_at_target(self, port, packet):
        self.send_from_target(self.target.on_datagram(port, packet, self.now_s))

    def _receive_at_caller(self, packet):
        local = Endpoint(
            '.'.join(map(str, packet[16:20])),
            int.from_bytes(packet[22:24], 'big'),
        )
        flow = self.flows[local]
        self.send_from_caller(local, flow.on_datagram(packet, self.now_s))
