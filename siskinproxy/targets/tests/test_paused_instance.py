"""Admission while one of the instances on the way of the packets is paused."""

import heapq
import itertools
import random

import pytest

from siskinproxy.callers import Admitted, Queued, Refused
from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets import AdmissionSettings, ShardAdmission

ZONES = frozenset('abc')
LISTENERS = (
    Listener('203.0.113.1', 8001, 7000, name='submissions', priority=0),
    Listener('203.0.113.1', 8002, 7001, name='tickets', priority=1),
)
TARGETS = tuple(
    Target(f'desk-{index}', f'127.1.0.{index}', 'abc'[index % 3])
    for index in range(7)
)
#: Instances over which the fabric sprays the packets.
INSTANCES = 7
REQUESTS_PER_S_PER_LISTENER = 125.0
#: Mean execution time of a request; drawn between 0.5 and 1.5 times of it.
WORK_S = 0.04
HOP_S = 0.0005
POLL_PERIOD_S = 0.01
LAST_ARRIVAL_S = 5.0


class Deployment:
    """Owner of a shard, targets and callers in virtual time.

    Each packet passes an instance selected at random. What the paused one gets
    is delayed until its pause ends.
    """

    def __init__(self, seed, pause_start_s, pause_s):
        self.now_s = 0.0
        self.decisions = []
        self._rng = random.Random(seed)
        self._pause_start_s = pause_start_s
        self._pause_end_s = pause_start_s + pause_s
        self._events = []
        self._tie_breaker = itertools.count()
        self._keys = itertools.count()
        self._queued = {}
        self._admission = ShardAdmission(
            'desk', 0, AdmissionSettings(), self._rng, 0.0, takeover=False
        )
        service = Service('desk', LISTENERS, TARGETS)
        self._admission.apply(service, TARGETS, frozenset(), 0.0)

    def run(self):
        """Send requests for `LAST_ARRIVAL_S` and run them to their end."""
        for listener in LISTENERS:
            self._at(0.0, lambda listener=listener: self._arrive(listener))
        self._at(0.0, self._poll)
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def refused(self):
        """Return the reasons of all refusals."""
        return [
            decision.reason.value
            for decision in self.decisions
            if isinstance(decision, Refused)
        ]

    def _at(self, due_s, action):
        heapq.heappush(self._events, (due_s, next(self._tie_breaker), action))

    def _pass_instance(self, sent_s):
        is_paused = self._pause_start_s <= sent_s < self._pause_end_s
        if self._rng.randrange(INSTANCES) == 0 and is_paused:
            sent_s = self._pause_end_s
        return sent_s + HOP_S

    def _arrive(self, listener):
        interval_s = self._rng.expovariate(REQUESTS_PER_S_PER_LISTENER)
        if self.now_s + interval_s < LAST_ARRIVAL_S:
            self._at(self.now_s + interval_s, lambda: self._arrive(listener))
        key = next(self._keys).to_bytes(12)
        self._at(
            self._pass_instance(self.now_s), lambda: self._open(key, listener)
        )

    def _open(self, key, listener):
        decision = self._admission.open(key, listener, 'a', ZONES, self.now_s)
        if isinstance(decision, Queued):
            self._queued[key] = listener
        else:
            self._decided(key, listener, decision)

    def _decided(self, key, listener, decision):
        self.decisions.append(decision)
        if not isinstance(decision, Admitted):
            return
        # SYN-ACK, then the request; the response ends the flow.
        arrived_s = self._pass_instance(self._pass_instance(self.now_s))
        work_s = WORK_S * self._rng.uniform(0.5, 1.5)
        ended_s = self._pass_instance(arrived_s + work_s)
        self._at(ended_s, lambda: self._end(key, listener, decision.target))

    def _end(self, key, listener, target):
        self._admission.closed(key, listener, target.name, False, self.now_s)
        if self._admission.has_waiting:
            self._deliver()

    def _poll(self):
        self._deliver()
        if self.now_s < LAST_ARRIVAL_S or self._queued:
            self._at(self.now_s + POLL_PERIOD_S, self._poll)

    def _deliver(self):
        for key, decision in self._admission.poll(self.now_s):
            self._decided(key, self._queued.pop(key), decision)


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize(
    ('pause_start_s', 'pause_s'),
    [(0.0, 0.0), (0.05, 0.6), (0.5, 0.6), (2.0, 0.4), (2.0, 0.6)],
    ids=['none', 'at_start', 'no_baseline', 'short', 'long'],
)
def test_a_paused_instance_causes_no_refusal(pause_start_s, pause_s, seed):
    """Guards against refusals at a third of the load that targets can take.

    All slots fill with flows whose packets wait at the paused instance. When it
    goes on, these end at once, with completion times of up to the pause. An
    owner that takes them for the speed of the targets refuses the flows that
    were queued meanwhile, all of which targets can serve in time.
    """
    deployment = Deployment(seed, pause_start_s, pause_s)
    deployment.run()
    assert len(deployment.decisions) > 1000
    assert deployment.refused() == []
