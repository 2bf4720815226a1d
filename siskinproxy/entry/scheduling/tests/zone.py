"""Instances of one zone that share samples, in memory with a fixed seed."""

import math
import random

from siskinproxy.entry.scheduling.speeds import TargetSpeeds

#: Requests of one target per second and instance: 900 requests per second over
#: 79 instances and 60 targets.
REQUESTS_PER_S = 900 / 79 / 60
STEP_S = 0.05
WORK_S = {'short': 0.005, 'long': 0.055}
WORK_SPREAD = 0.5


class Zone:
    """An observer with 12 peers, 60 targets and lossy reports.

    `slow` holds the factor of slow targets. `share` is the share of the usual
    requests that a target gets.
    """

    def __init__(self, seed=1, peers=12, targets=60, loss=0.3, limits=None):
        self.rng = random.Random(seed)
        self.tokens = list(range(1, targets + 1))
        self.observer = TargetSpeeds(limits)
        self.peers = {f'i-{n}': TargetSpeeds(limits) for n in range(peers)}
        self.loss = loss
        self.slow = {}
        self.share = {}
        self.now_s = 0.0
        self.rate_per_s = REQUESTS_PER_S
        self.silent = set()
        self.forged = {}
        self._due = []

    def run(self, duration_s, on_step=None):
        """Advance the time in steps of one load report."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for speeds in (self.observer, *self.peers.values()):
                self._begin(speeds)
            self._end()
            self._report()
            self.observer.balance(self.tokens, self.now_s)
            if on_step is not None and on_step(self):
                return self.now_s
        return None

    def slowness(self, token):
        return self.observer.slowness(token, self.now_s)

    def _begin(self, speeds):
        for token in self.tokens:
            share = self.share.get(token, 1)
            if self.rng.random() >= self.rate_per_s * STEP_S * share:
                continue
            route = self.rng.choice(tuple(WORK_S))
            work_s = WORK_S[route] * self.rng.lognormvariate(0, WORK_SPREAD)
            response_s = work_s * self.slow.get(token, 1)
            due_s = self.now_s + response_s
            self._due.append((due_s, speeds, token, route, response_s))

    def _end(self):
        waiting = []
        for due_s, speeds, *sample in self._due:
            if due_s <= self.now_s:
                speeds.note_response(*sample, due_s)
            else:
                waiting.append((due_s, speeds, *sample))
        self._due = waiting

    def _report(self):
        for name, speeds in self.peers.items():
            samples = self.forged.get(name) or speeds.take_samples()
            if name not in self.silent and self.rng.random() >= self.loss:
                self.observer.apply_samples(name, samples, self.now_s)


def mean_log_slowness(zone, tokens):
    """Return the mean slowness of targets, in natural logarithms."""
    return sum(math.log(zone.slowness(t)) for t in tokens) / len(tokens)
