"""Seeded discrete-event measurement of admission policies.

The same seed gives the same log to the byte. Each policy and scenario prints
one line of JSON; `docs/admission.md` explains the fields.
"""

import argparse
import heapq
import itertools
import math
import random
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import xxhash

from siskinproxy.callers.requests import Admitted, Queued, Refused
from siskinproxy.measure.admission_policies import (
    LeastReportedLoad,
    create_policy,
)
from siskinproxy.measure.admission_scenarios import (
    DEPLOYMENTS,
    REQUEST_SCENARIOS,
    STREAM_SCENARIOS,
    Deployment,
    Scenario,
    Traffic,
)
from siskinproxy.measure.fake_targets import RESTART_S, FakeTarget
from siskinproxy.operators.configuration import Target

__all__ = ('POLICIES', 'Run', 'RunResult', 'main', 'measure')

_Event = tuple[float, int, Callable[..., None], tuple[Any, ...]]
_Sample = tuple[float, dict[str, float], set[str]]

POLICIES: Final = ('owner', 'round_robin', 'least_reported_load')

#: Standard deviation of completion times relative to their mean.
VARIATION: Final = 0.6
POLL_S: Final = 0.01
SAMPLE_S: Final = 1.0
WINDOW_S: Final = 10
#: Time from an operator's change to its use by the owner.
CONFIGURATION_DELAY_S: Final = 0.5
#: Time after which the targets of a zone out of service are gone.
ZONE_OFFLINE_S: Final = 3.0
#: Share of new flows that a shedding target refuses.
SHED_SHARE: Final = 0.5
#: Completion time of a slow request relative to the others.
SLOW_REQUEST_FACTOR: Final = 20
_MS_PER_S: Final = 1000.0


class RunResult(msgspec.Struct, frozen=True):
    """Measured figures of one policy in one scenario.

    Parameters
    ----------
    deployment, scenario, policy : str
        What was measured.
    seed : int
        Seed of the run.
    imbalance : float
        Median over 10 s windows of the ratio of the maximum to the mean busy
        slot time of warm targets in service.
    imbalance_p99, imbalance_max : float
        99th percentile and maximum of the same ratio.
    offered : int
        Flows started by callers, without those abandoned with their zone.
    served_share : float
        Share of them that was served within the deadline.
    late : int
        Flows that their callers gave up at the deadline.
    reset : int
        Flows that a target reset.
    abandoned : int
        Flows that ended with their zone.
    refused : dict of str to int
        Refused flows by reason.
    served_by_class : dict of str to float
        Served share by listener.
    slot_overruns : int
        Flows that reached a target without a free slot.
    warmup_overruns : int
        Flows that reached a cold target above its ability.
    max_excess : int
        Largest number of flows above the ability of a cold target.
    falls : int
        Targets that failed because of overload.
    utilization : float
        Busy slot time relative to the slots of warm targets in service.
    log_digest : str
        Hash of the event log.
    """

    deployment: str
    scenario: str
    policy: str
    seed: int
    imbalance: float
    imbalance_p99: float
    imbalance_max: float
    offered: int
    served_share: float
    late: int
    reset: int
    abandoned: int
    refused: dict[str, int]
    served_by_class: dict[str, float]
    slot_overruns: int
    warmup_overruns: int
    max_excess: int
    falls: int
    utilization: float
    log_digest: str


@dataclass(eq=False, slots=True)
class _Flow:
    key: bytes
    traffic: Traffic
    zone: str
    started_s: float
    service_s: float
    target: str = ''
    attempt: int = 0
    accepted: bool = False
    outcome: str = ''


class Run:
    """Simulation of one policy in one scenario.

    Parameters
    ----------
    deployment : Deployment
        Service, traffic and network.
    scenario : Scenario
        Events.
    policy : str
        Name of the policy.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._scenario = scenario
        self._policy_name = policy
        self._seed = seed
        self._arrivals = random.Random(f'arrivals {seed}')
        self._network = random.Random(f'network {seed}')
        self._decisions = random.Random(f'decisions {seed}')
        self._now_s: float = 0
        self._end_s = deployment.start_s + scenario.measured_s
        self._events: list[_Event] = []
        self._sequence = itertools.count()
        self._flows: dict[bytes, _Flow] = {}
        self._queued: set[bytes] = set()
        self._zones_out: frozenset[str] = frozenset()
        self._zones = frozenset(deployment.zones)
        self._targets = {
            target.name: target for target in deployment.service.targets
        }
        is_request = deployment.mode == 'request'
        self._fakes = {
            name: FakeTarget(
                target, target.slots if is_request else target.connections
            )
            for name, target in self._targets.items()
        }
        self._policy = self._create_policy(takeover=False)
        self._apply()
        self._owner_zone = deployment.zones[0]
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._samples: list[_Sample] = []
        self._log = xxhash.xxh3_64()

    def run(self) -> RunResult:
        """Simulate until the end of the scenario.

        Returns
        -------
        RunResult
            Measured figures.
        """
        self._at(0, self._arrive)
        self._at(0, self._poll)
        self._at(0, self._sample)
        for action in self._scenario.actions:
            method = getattr(self, f'_do_{action.kind}')
            self._at(
                self._deployment.start_s + action.after_s,
                method,
                action.subject,
            )
        while self._events and self._events[0][0] <= self._end_s:
            time_s, _, callback, arguments = heapq.heappop(self._events)
            self._now_s = time_s
            callback(*arguments)
        return self._result()

    def _at(
        self, time_s: float, method: Callable[..., None], *arguments: Any
    ) -> None:
        entry = (time_s, next(self._sequence), method, arguments)
        heapq.heappush(self._events, entry)

    def _after(
        self, delay_s: float, method: Callable[..., None], *arguments: Any
    ) -> None:
        self._at(self._now_s + delay_s, method, *arguments)

    def _note(self, event: str, flow: _Flow, detail: str) -> None:
        line = f'{self._now_s:.6f} {event} {flow.key.hex()} {detail}\n'
        self._log.update(line.encode())

    # Network and callers

    def _latency_s(self, zone: str) -> float:
        """Return the latency between the deciding instance and a zone."""
        if zone == self._owner_zone:
            return 0
        return self._deployment.zone_latency_s

    def _arrive(self) -> None:
        rate_per_s = self._deployment.rate_per_s * self._scenario.load
        self._after(self._arrivals.expovariate(rate_per_s), self._arrive)
        traffic = self._arrivals.choices(
            self._deployment.traffic,
            [item.share for item in self._deployment.traffic],
        )[0]
        sigma = math.sqrt(math.log(1 + VARIATION**2))
        mean = math.log(traffic.service_s) - sigma**2 / 2
        service_s = self._arrivals.lognormvariate(mean, sigma)
        if self._arrivals.random() < self._scenario.slow_share:
            service_s *= SLOW_REQUEST_FACTOR
        flow = _Flow(
            key=len(self._flows).to_bytes(12),
            traffic=traffic,
            zone=self._arrivals.choice(self._deployment.zones),
            started_s=self._now_s,
            service_s=service_s,
        )
        self._flows[flow.key] = flow
        client_s = self._deployment.client_latency_s
        self._after(client_s + self._latency_s(flow.zone), self._open, flow)
        deadline_s = traffic.listener.deadline_ms / _MS_PER_S
        self._after(deadline_s, self._give_up, flow)

    def _give_up(self, flow: _Flow) -> None:
        is_stream = flow.traffic.listener.mode == 'stream'
        if flow.outcome or (flow.accepted and is_stream):
            return
        self._finish(flow, 'late')
        delay_s = self._deployment.client_latency_s
        delay_s += self._latency_s(flow.zone)
        self._after(delay_s, self._cancel, flow)

    def _finish(self, flow: _Flow, outcome: str) -> None:
        if flow.outcome:
            return
        flow.outcome = outcome
        self._note('finish', flow, outcome)
        if flow.started_s >= self._deployment.start_s:
            name = flow.traffic.listener.name
            self._outcomes[(name, outcome)] += 1

    # The deciding instance

    def _create_policy(self, *, takeover: bool) -> Any:
        return create_policy(
            self._policy_name, self._decisions, self._now_s, takeover=takeover
        )

    def _apply(self) -> None:
        targets = tuple(self._targets.values())
        service = _replace_targets(self._deployment, targets)
        self._policy.apply(service, targets, self._zones_out, self._now_s)

    def _open(self, flow: _Flow) -> None:
        if flow.outcome:
            return
        decision = self._policy.open(
            flow.key,
            flow.traffic.listener,
            flow.zone,
            self._zones,
            self._now_s,
        )
        if isinstance(decision, Queued):
            self._queued.add(flow.key)
            return
        self._follow(flow, decision)

    def _follow(self, flow: _Flow, decision: Admitted | Refused) -> None:
        self._note('decision', flow, decision.reason.value)
        if isinstance(decision, Refused):
            self._finish(flow, f'refused {decision.reason.value}')
            return
        flow.target = decision.target.name
        flow.attempt += 1
        latency_s = self._latency_s(decision.target.zone)
        self._after(latency_s, self._offer, flow, flow.attempt)

    def _poll(self) -> None:
        self._after(POLL_S, self._poll)
        self._drain_queue()
        for fake in self._fakes.values():
            if fake.fails(self._now_s):
                fake.falls += 1
                self._restart(fake)

    def _drain_queue(self) -> None:
        for key, decision in self._policy.poll(self._now_s):
            self._queued.discard(key)
            self._follow(self._flows[key], decision)

    def _cancel(self, flow: _Flow) -> None:
        self._queued.discard(flow.key)
        if flow.target:
            fake = self._fakes[flow.target]
            fake.release(flow.key, self._now_s)
        self._policy.cancel(flow.key, self._now_s)
        self._drain_queue()

    def _closed(self, flow: _Flow, name: str, *, reset: bool) -> None:
        self._policy.closed(
            flow.key, flow.traffic.listener, name, reset, self._now_s
        )
        self._drain_queue()

    def _refused_by_target(self, flow: _Flow) -> None:
        if flow.outcome:
            return
        decision = self._policy.target_refused(flow.key, self._now_s)
        self._follow(flow, decision)

    # Targets

    def _offer(self, flow: _Flow, attempt: int) -> None:
        if flow.outcome or attempt != flow.attempt:
            return
        fake = self._fakes[flow.target]
        latency_s = self._latency_s(fake.target.zone)
        draw = self._network.random()
        if not fake.offer(flow.key, draw, self._now_s):
            self._after(latency_s, self._refused_by_target, flow)
            return
        flow.accepted = True
        # The instance that gets the SYN-ACK notifies the homes.
        self._after(latency_s, self._accepted, flow)
        handshake_s = 2 * self._deployment.client_latency_s
        work_s = flow.service_s * fake.slowdown(self._now_s)
        self._after(handshake_s + work_s, self._complete, flow, attempt)

    def _accepted(self, flow: _Flow) -> None:
        self._policy.accepted(flow.key, self._now_s)

    def _complete(self, flow: _Flow, attempt: int) -> None:
        fake = self._fakes[flow.target]
        if not fake.release(flow.key, self._now_s):
            return
        latency_s = self._latency_s(fake.target.zone)
        name = fake.target.name
        self._after(latency_s, self._closed_normally, flow, name)
        client_s = self._deployment.client_latency_s
        self._after(client_s + latency_s, self._finish, flow, 'served')

    def _closed_normally(self, flow: _Flow, name: str) -> None:
        self._closed(flow, name, reset=False)

    def _closed_by_reset(self, flow: _Flow, name: str) -> None:
        self._closed(flow, name, reset=True)

    def _restart(self, fake: FakeTarget) -> None:
        latency_s = self._latency_s(fake.target.zone)
        for key in fake.cold_start(self._now_s, down_s=RESTART_S):
            flow = self._flows[key]
            name = fake.target.name
            self._after(latency_s, self._closed_by_reset, flow, name)
            self._finish(flow, 'reset')

    # Events of the scenarios

    def _zone_of(self, letter: str) -> str:
        return next(
            zone for zone in self._deployment.zones if zone.endswith(letter)
        )

    def _do_zone_out(self, letter: str) -> None:
        zone = self._zone_of(letter)
        self._zones_out = frozenset((zone,))
        self._after(CONFIGURATION_DELAY_S, self._apply)
        self._after(ZONE_OFFLINE_S, self._go_offline, zone)

    def _go_offline(self, zone: str) -> None:
        for fake in self._fakes.values():
            if fake.target.zone == zone:
                fake.online = False
                for key in fake.cold_start(self._now_s, down_s=0):
                    self._finish(self._flows[key], 'abandoned')

    def _do_zone_in(self, letter: str) -> None:
        zone = self._zone_of(letter)
        self._zones_out = frozenset()
        for fake in self._fakes.values():
            if fake.target.zone == zone:
                fake.cold_start(self._now_s, down_s=0)
                fake.online = True
        self._after(CONFIGURATION_DELAY_S, self._apply)

    def _do_drain(self, name: str) -> None:
        self._change_target(name, draining=True)

    def _do_return_cold(self, name: str) -> None:
        fake = self._fakes[name]
        for key in fake.cold_start(self._now_s, down_s=0):
            flow = self._flows[key]
            self._closed_by_reset(flow, name)
            self._finish(flow, 'abandoned')
        self._change_target(name, draining=False)

    def _change_target(self, name: str, *, draining: bool) -> None:
        self._targets[name] = _with_draining(self._targets[name], draining)
        self._after(CONFIGURATION_DELAY_S, self._apply)

    def _do_restart(self, name: str) -> None:
        self._restart(self._fakes[name])

    def _do_lose_cache(self, name: str) -> None:
        self._fakes[name].lose_cache(self._now_s)

    def _do_shed(self, name: str) -> None:
        self._fakes[name].shed_share = SHED_SHARE

    def _do_stop_shedding(self, name: str) -> None:
        self._fakes[name].shed_share = 0

    def _do_takeover(self, _: str) -> None:
        """Replace the owner by another one that holds the replicas."""
        if self._policy_name != 'owner':
            return
        for key in tuple(self._queued):
            # The caller repeats its opening segment to the new owner.
            self._after(1, self._open, self._flows[key])
        self._queued.clear()
        self._policy = self._create_policy(takeover=True)
        self._apply()
        for name, fake in self._fakes.items():
            for key in fake.in_progress:
                listener = self._flows[key].traffic.listener
                self._policy.restore(key, listener, name, self._now_s)

    # Results

    def _sample(self) -> None:
        self._after(SAMPLE_S, self._sample)
        if isinstance(self._policy, LeastReportedLoad):
            loads = {
                name: len(fake.in_progress)
                for name, fake in self._fakes.items()
            }
            self._policy.observe(loads, self._now_s)
        busy = {
            name: fake.busy_s(self._now_s) for name, fake in self._fakes.items()
        }
        eligible = {
            name
            for name, fake in self._fakes.items()
            if fake.is_warm(self._now_s)
            and not self._targets[name].draining
            and fake.target.zone not in self._zones_out
        }
        self._samples.append((self._now_s, busy, eligible))

    def _ratios(self) -> Iterator[tuple[float, float]]:
        """Return imbalance and utilization of each window."""
        samples = [
            sample
            for sample in self._samples
            if sample[0] >= self._deployment.start_s
        ]
        for first, last in zip(samples, samples[WINDOW_S:], strict=False):
            start = samples.index(first)
            window = samples[start : start + WINDOW_S + 1]
            names = set.intersection(*(sample[2] for sample in window))
            busy = [last[1][name] - first[1][name] for name in sorted(names)]
            if not busy:
                continue
            limits = sum(self._fakes[name].limit for name in names)
            mean = sum(busy) / len(busy)
            yield max(busy) / mean, sum(busy) / limits / WINDOW_S

    def _result(self) -> RunResult:
        ratios = list(self._ratios())
        imbalances = sorted(ratio for ratio, _ in ratios)
        fakes = self._fakes.values()
        counts = self._outcomes
        abandoned = _total(counts, 'abandoned')
        offered = sum(counts.values()) - abandoned
        refused: Counter[str] = Counter()
        for (_, outcome), count in sorted(counts.items()):
            if outcome.startswith('refused '):
                refused[outcome.removeprefix('refused ')] += count
        return RunResult(
            deployment=self._deployment.name,
            scenario=self._scenario.name,
            policy=self._policy_name,
            seed=self._seed,
            imbalance=round(_quantile(imbalances, 0.5), 3),
            imbalance_p99=round(_quantile(imbalances, 0.99), 3),
            imbalance_max=round(imbalances[-1], 3),
            offered=offered,
            served_share=round(_total(counts, 'served') / offered, 5),
            late=_total(counts, 'late'),
            reset=_total(counts, 'reset'),
            abandoned=abandoned,
            refused=dict(refused),
            served_by_class=self._served_by_class(),
            slot_overruns=sum(fake.slot_overruns for fake in fakes),
            warmup_overruns=sum(fake.warmup_overruns for fake in fakes),
            max_excess=max(fake.max_excess for fake in fakes),
            falls=sum(fake.falls for fake in fakes),
            utilization=round(sum(use for _, use in ratios) / len(ratios), 3),
            log_digest=self._log.hexdigest(),
        )

    def _served_by_class(self) -> dict[str, float]:
        shares = {}
        for traffic in self._deployment.traffic:
            name = traffic.listener.name
            offered = sum(
                count
                for (listener, outcome), count in self._outcomes.items()
                if listener == name and outcome != 'abandoned'
            )
            served = self._outcomes[(name, 'served')]
            shares[name] = round(served / max(offered, 1), 5)
        return shares


def _total(counts: Counter[tuple[str, str]], outcome: str) -> int:
    return sum(
        count for (_, found), count in counts.items() if found == outcome
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _with_draining(target: Target, draining: bool) -> Target:
    return msgspec.structs.replace(target, draining=draining)


def _replace_targets(
    deployment: Deployment, targets: tuple[Target, ...]
) -> Any:
    return msgspec.structs.replace(deployment.service, targets=targets)


def measure(
    deployment: Deployment, scenario: Scenario, policy: str, seed: int
) -> RunResult:
    """Simulate one policy in one scenario.

    Parameters
    ----------
    deployment : Deployment
        Service, traffic and network.
    scenario : Scenario
        Events.
    policy : {'owner', 'round_robin', 'least_reported_load'}
        ``owner`` is the product.
    seed : int
        Seed of all random choices.

    Returns
    -------
    RunResult
        Measured figures.
    """
    return Run(deployment, scenario, policy, seed).run()


def _jobs(
    arguments: argparse.Namespace,
) -> Iterator[tuple[Deployment, Scenario, str, int]]:
    for deployment in DEPLOYMENTS:
        if arguments.deployment not in ('', deployment.name):
            continue
        is_request = deployment.mode == 'request'
        scenarios = REQUEST_SCENARIOS if is_request else STREAM_SCENARIOS
        for scenario in scenarios:
            if arguments.scenario not in ('', scenario.name):
                continue
            for policy in arguments.policies.split(','):
                for seed in range(
                    arguments.seed, arguments.seed + arguments.seeds
                ):
                    yield deployment, scenario, policy, seed


def main() -> None:
    """Measure the chosen policies and print one line of JSON for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--deployment', default='')
    parser.add_argument('--scenario', default='')
    parser.add_argument('--policies', default=','.join(POLICIES))
    parser.add_argument('--processes', type=int, default=4)
    arguments = parser.parse_args()
    jobs = tuple(zip(*_jobs(arguments), strict=True))
    with ProcessPoolExecutor(arguments.processes) as pool:
        for result in pool.map(measure, *jobs):
            line = msgspec.json.encode(result).decode()
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
