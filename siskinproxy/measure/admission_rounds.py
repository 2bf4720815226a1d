"""Discrete-event simulation that compares admission policies.

Callers open flows to fake targets while targets restart and zones are taken
out of service. The same seed gives the same event log, byte for byte. Each run
prints one line of JSON, a `RunResult`; `docs/admission.md` explains its fields.
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

from siskinproxy.callers.admission_decisions import Admitted, Queued, Refused
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

__all__ = ('POLICIES', 'RunResult', 'Simulation', 'main', 'measure')

#: Time in seconds, sequence number, callback and its arguments.
_Event = tuple[float, int, Callable[..., None], tuple[Any, ...]]
#: Time in seconds, busy slot seconds by target, and the targets that count for
#: the imbalance.
_Sample = tuple[float, dict[str, float], set[str]]

#: Policies by their names in `create_policy`.
POLICIES: Final = ('owner', 'round_robin', 'least_reported_load')

#: Coefficient of variation (standard deviation over mean) of service times.
SERVICE_TIME_VARIATION: Final = 0.6
#: Interval at which queued flows and overloaded targets are checked.
POLL_INTERVAL_S: Final = 0.01
#: Interval at which the busy slot time of the targets is sampled.
SAMPLE_INTERVAL_S: Final = 1.0
#: Length of the windows over which the imbalance is computed.
WINDOW_S: Final = 10
#: Delay between an operator's change and its application by the owner.
CONFIGURATION_DELAY_S: Final = 0.5
#: Delay between taking a zone out of service and stopping its targets.
ZONE_OFFLINE_DELAY_S: Final = 3.0
#: Fraction of new flows that a shedding target refuses.
SHED_SHARE: Final = 0.5
#: Factor on the service time of slow requests.
SLOW_REQUEST_FACTOR: Final = 20
_MS_PER_S: Final = 1000.0


class RunResult(msgspec.Struct, frozen=True):
    """Results of one policy in one scenario; printed as one line of JSON.

    Parameters
    ----------
    deployment, scenario, policy : str
        Names of the deployment, scenario and policy that were simulated.
    seed : int
        Seed of the run.
    imbalance : float
        Median over 10 s windows of the ratio of the maximum to the mean busy
        slot time of the warm targets in service; 1 is perfectly balanced.
    imbalance_p99, imbalance_max : float
        99th percentile and maximum of the same ratio.
    offered : int
        Flows started by callers, except the abandoned ones.
    served_share : float
        Fraction of the offered flows that were served within the deadline.
    late : int
        Flows that their callers cancelled at the deadline.
    reset : int
        Flows that were reset because their target restarted, as it also does
        after a failure because of overload.
    abandoned : int
        Flows that ended because their zone was stopped or their drained target
        was restarted.
    refused : dict of str to int
        Number of refused flows by reason.
    served_by_class : dict of str to float
        Served fraction by listener name.
    slot_overruns : int
        Flows offered to a target that had no free slot, or no free connection
        if the listeners have mode ``stream``.
    warmup_overruns : int
        Flows that a cold target accepted although it already had as many as it
        can handle.
    max_excess : int
        Largest number of flows that a cold target had beyond those that it can
        handle.
    falls : int
        Failures of targets because of overload.
    utilization : float
        Mean over the windows of the fraction of slots in use at the warm
        targets in service.
    log_digest : str
        Hash of the log of all decisions and flow outcomes, in hexadecimal.
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
    """Flow of a caller.

    `outcome` is empty until the flow ends, `target` until it is admitted.
    `attempt` counts the targets to which it was sent.
    """

    key: bytes
    traffic: Traffic
    zone: str
    started_s: float
    service_time_s: float
    target: str = ''
    attempt: int = 0
    accepted: bool = False
    outcome: str = ''


class Simulation:
    """Discrete-event simulation of one policy in one scenario.

    Parameters
    ----------
    deployment : Deployment
        Service, traffic and network.
    scenario : Scenario
        Load factor and the changes and failures during the run.
    policy : str
        Name of the policy, one of `POLICIES`.
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
        self._arrival_rng = random.Random(f'arrivals {seed}')
        self._network_rng = random.Random(f'network {seed}')
        self._decision_rng = random.Random(f'decisions {seed}')
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
        self._fake_targets = {
            name: FakeTarget(
                target, target.slots if is_request else target.connections
            )
            for name, target in self._targets.items()
        }
        self._policy = self._create_policy(takeover=False)
        self._apply_configuration()
        self._owner_zone = deployment.zones[0]
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._samples: list[_Sample] = []
        self._log_hash = xxhash.xxh3_64()

    def run(self) -> RunResult:
        """Simulate until the end of the scenario.

        Returns
        -------
        RunResult
            Results of the run.
        """
        self._schedule_at(0, self._start_flow)
        self._schedule_at(0, self._poll)
        self._schedule_at(0, self._sample)
        for action in self._scenario.actions:
            method = getattr(self, f'_do_{action.kind}')
            self._schedule_at(
                self._deployment.start_s + action.after_s,
                method,
                action.subject,
            )
        while self._events and self._events[0][0] <= self._end_s:
            time_s, _, callback, arguments = heapq.heappop(self._events)
            self._now_s = time_s
            callback(*arguments)
        return self._result()

    def _schedule_at(
        self, time_s: float, method: Callable[..., None], *arguments: Any
    ) -> None:
        """Call a method at a simulated time in seconds."""
        entry = (time_s, next(self._sequence), method, arguments)
        heapq.heappush(self._events, entry)

    def _schedule_after(
        self, delay_s: float, method: Callable[..., None], *arguments: Any
    ) -> None:
        """Call a method after a delay in seconds."""
        self._schedule_at(self._now_s + delay_s, method, *arguments)

    def _log_event(self, event: str, flow: _Flow, detail: str) -> None:
        """Add a line to the event log, of which only the hash is kept."""
        line = f'{self._now_s:.6f} {event} {flow.key.hex()} {detail}\n'
        self._log_hash.update(line.encode())

    # Network and callers

    def _latency_s(self, zone: str) -> float:
        """Return the one-way latency between the owner and a zone."""
        if zone == self._owner_zone:
            return 0
        return self._deployment.zone_latency_s

    def _start_flow(self) -> None:
        """Start a flow with random properties and schedule the next one.

        Flows arrive as a Poisson process; their service times are lognormal.
        """
        rate_per_s = self._deployment.rate_per_s * self._scenario.load
        self._schedule_after(
            self._arrival_rng.expovariate(rate_per_s), self._start_flow
        )
        traffic = self._arrival_rng.choices(
            self._deployment.traffic,
            [item.share for item in self._deployment.traffic],
        )[0]
        sigma = math.sqrt(math.log(1 + SERVICE_TIME_VARIATION**2))
        mean = math.log(traffic.service_time_s) - sigma**2 / 2
        service_time_s = self._arrival_rng.lognormvariate(mean, sigma)
        if self._arrival_rng.random() < self._scenario.slow_share:
            service_time_s *= SLOW_REQUEST_FACTOR
        flow = _Flow(
            key=len(self._flows).to_bytes(12),
            traffic=traffic,
            zone=self._arrival_rng.choice(self._deployment.zones),
            started_s=self._now_s,
            service_time_s=service_time_s,
        )
        self._flows[flow.key] = flow
        client_s = self._deployment.client_latency_s
        self._schedule_after(
            client_s + self._latency_s(flow.zone), self._open_flow, flow
        )
        deadline_s = traffic.listener.deadline_ms / _MS_PER_S
        self._schedule_after(deadline_s, self._end_at_deadline, flow)

    def _end_at_deadline(self, flow: _Flow) -> None:
        """End a flow as late unless it ended or is an accepted stream."""
        is_stream = flow.traffic.listener.mode == 'stream'
        if flow.outcome or (flow.accepted and is_stream):
            return
        self._finish(flow, 'late')
        delay_s = self._deployment.client_latency_s
        delay_s += self._latency_s(flow.zone)
        self._schedule_after(delay_s, self._cancel, flow)

    def _finish(self, flow: _Flow, outcome: str) -> None:
        """Record the outcome of a flow; only the first outcome counts."""
        if flow.outcome:
            return
        flow.outcome = outcome
        self._log_event('finish', flow, outcome)
        if flow.started_s >= self._deployment.start_s:
            name = flow.traffic.listener.name
            self._outcomes[(name, outcome)] += 1

    # Instance that decides (the owner)

    def _create_policy(self, *, takeover: bool) -> Any:
        return create_policy(
            self._policy_name,
            self._decision_rng,
            self._now_s,
            takeover=takeover,
        )

    def _apply_configuration(self) -> None:
        """Apply the current targets and zones at the policy."""
        targets = tuple(self._targets.values())
        service = _replace_targets(self._deployment, targets)
        self._policy.apply(service, targets, self._zones_out, self._now_s)

    def _open_flow(self, flow: _Flow) -> None:
        """Let the policy decide on a flow whose SYN arrived at the owner."""
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
        self._apply_decision(flow, decision)

    def _apply_decision(
        self, flow: _Flow, decision: Admitted | Refused
    ) -> None:
        """Send an admitted flow to its target, or end a refused one."""
        self._log_event('decision', flow, decision.reason.value)
        if isinstance(decision, Refused):
            self._finish(flow, f'refused {decision.reason.value}')
            return
        flow.target = decision.target.name
        flow.attempt += 1
        latency_s = self._latency_s(decision.target.zone)
        self._schedule_after(
            latency_s, self._offer_to_target, flow, flow.attempt
        )

    def _poll(self) -> None:
        """Apply decisions on queued flows and restart overloaded targets."""
        self._schedule_after(POLL_INTERVAL_S, self._poll)
        self._drain_queue()
        for fake in self._fake_targets.values():
            if fake.fails(self._now_s):
                fake.falls += 1
                self._restart(fake)

    def _drain_queue(self) -> None:
        """Apply the decisions that the policy made on queued flows."""
        for key, decision in self._policy.poll(self._now_s):
            self._queued.discard(key)
            self._apply_decision(self._flows[key], decision)

    def _cancel(self, flow: _Flow) -> None:
        """Release a flow that its caller cancelled."""
        self._queued.discard(flow.key)
        if flow.target:
            fake = self._fake_targets[flow.target]
            fake.release(flow.key, self._now_s)
        self._policy.cancel(flow.key, self._now_s)
        self._drain_queue()

    def _report_close(self, flow: _Flow, name: str, *, reset: bool) -> None:
        """Tell the policy that a flow ended at its target."""
        self._policy.closed(
            flow.key, flow.traffic.listener, name, reset, self._now_s
        )
        self._drain_queue()

    def _handle_target_refusal(self, flow: _Flow) -> None:
        """Let the policy select another target or refuse the flow."""
        if flow.outcome:
            return
        decision = self._policy.target_refused(flow.key, self._now_s)
        self._apply_decision(flow, decision)

    # Targets

    def _offer_to_target(self, flow: _Flow, attempt: int) -> None:
        """Deliver the SYN of a flow to its target.

        An attempt that a later one has replaced is ignored.
        """
        if flow.outcome or attempt != flow.attempt:
            return
        fake = self._fake_targets[flow.target]
        latency_s = self._latency_s(fake.target.zone)
        draw = self._network_rng.random()
        if not fake.offer(flow.key, draw, self._now_s):
            self._schedule_after(latency_s, self._handle_target_refusal, flow)
            return
        flow.accepted = True
        # The instance that receives the SYN-ACK notifies the homes of the flow,
        # which hold its replicas, and thus the owner.
        self._schedule_after(latency_s, self._report_accept, flow)
        handshake_s = 2 * self._deployment.client_latency_s
        work_s = flow.service_time_s * fake.slowdown(self._now_s)
        self._schedule_after(
            handshake_s + work_s, self._complete, flow, attempt
        )

    def _report_accept(self, flow: _Flow) -> None:
        """Tell the policy that the target accepted the flow."""
        self._policy.accepted(flow.key, self._now_s)

    def _complete(self, flow: _Flow, attempt: int) -> None:
        """End a flow that its target has served."""
        fake = self._fake_targets[flow.target]
        if not fake.release(flow.key, self._now_s):
            return
        latency_s = self._latency_s(fake.target.zone)
        name = fake.target.name
        self._schedule_after(latency_s, self._report_normal_close, flow, name)
        client_s = self._deployment.client_latency_s
        self._schedule_after(client_s + latency_s, self._finish, flow, 'served')

    def _report_normal_close(self, flow: _Flow, name: str) -> None:
        self._report_close(flow, name, reset=False)

    def _report_reset(self, flow: _Flow, name: str) -> None:
        self._report_close(flow, name, reset=True)

    def _restart(self, fake: FakeTarget) -> None:
        """Restart a target, which resets its flows and leaves it cold."""
        latency_s = self._latency_s(fake.target.zone)
        for key in fake.cold_start(self._now_s, down_s=RESTART_S):
            flow = self._flows[key]
            name = fake.target.name
            self._schedule_after(latency_s, self._report_reset, flow, name)
            self._finish(flow, 'reset')

    # Events of the scenarios

    def _zone_with_suffix(self, letter: str) -> str:
        """Return the zone whose name ends with a letter."""
        return next(
            zone for zone in self._deployment.zones if zone.endswith(letter)
        )

    def _do_zone_out(self, letter: str) -> None:
        """Take a zone out of service and stop its targets 3 s later."""
        zone = self._zone_with_suffix(letter)
        self._zones_out = frozenset((zone,))
        self._schedule_after(CONFIGURATION_DELAY_S, self._apply_configuration)
        self._schedule_after(ZONE_OFFLINE_DELAY_S, self._go_offline, zone)

    def _go_offline(self, zone: str) -> None:
        """Stop all targets of a zone; their flows are abandoned."""
        for fake in self._fake_targets.values():
            if fake.target.zone == zone:
                fake.online = False
                for key in fake.cold_start(self._now_s, down_s=0):
                    self._finish(self._flows[key], 'abandoned')

    def _do_zone_in(self, letter: str) -> None:
        """Start the targets of a zone cold and put it back in service."""
        zone = self._zone_with_suffix(letter)
        self._zones_out = frozenset()
        for fake in self._fake_targets.values():
            if fake.target.zone == zone:
                fake.cold_start(self._now_s, down_s=0)
                fake.online = True
        self._schedule_after(CONFIGURATION_DELAY_S, self._apply_configuration)

    def _do_drain(self, name: str) -> None:
        """Mark a target as draining, so that it gets no new flows."""
        self._change_target(name, draining=True)

    def _do_return_cold(self, name: str) -> None:
        """Put a drained target back in service after a restart."""
        fake = self._fake_targets[name]
        for key in fake.cold_start(self._now_s, down_s=0):
            flow = self._flows[key]
            self._report_reset(flow, name)
            self._finish(flow, 'abandoned')
        self._change_target(name, draining=False)

    def _change_target(self, name: str, *, draining: bool) -> None:
        self._targets[name] = _with_draining(self._targets[name], draining)
        self._schedule_after(CONFIGURATION_DELAY_S, self._apply_configuration)

    def _do_restart(self, name: str) -> None:
        """Restart a target without draining it before."""
        self._restart(self._fake_targets[name])

    def _do_lose_cache(self, name: str) -> None:
        """Reduce a target to its cold capacity; its flows continue."""
        self._fake_targets[name].lose_cache(self._now_s)

    def _do_shed(self, name: str) -> None:
        """Let a target refuse half of the flows offered to it, at random."""
        self._fake_targets[name].shed_share = SHED_SHARE

    def _do_stop_shedding(self, name: str) -> None:
        """Let a target accept all flows for which it has a free slot."""
        self._fake_targets[name].shed_share = 0

    def _do_takeover(self, _: str) -> None:
        """Replace the owner by an instance that holds replicas of its flows."""
        if self._policy_name != 'owner':
            return
        for key in tuple(self._queued):
            # After 1 s, the caller retransmits its SYN to the new owner.
            self._schedule_after(1, self._open_flow, self._flows[key])
        self._queued.clear()
        self._policy = self._create_policy(takeover=True)
        self._apply_configuration()
        for name, fake in self._fake_targets.items():
            for key in fake.in_progress:
                listener = self._flows[key].traffic.listener
                self._policy.restore(key, listener, name, self._now_s)

    # Results

    def _sample(self) -> None:
        """Sample the busy slot time and record the load reports in use."""
        self._schedule_after(SAMPLE_INTERVAL_S, self._sample)
        if isinstance(self._policy, LeastReportedLoad):
            loads = {
                name: len(fake.in_progress)
                for name, fake in self._fake_targets.items()
            }
            self._policy.record_loads(loads, self._now_s)
        busy = {
            name: fake.busy_s(self._now_s)
            for name, fake in self._fake_targets.items()
        }
        eligible = {
            name
            for name, fake in self._fake_targets.items()
            if fake.is_warm(self._now_s)
            and not self._targets[name].draining
            and fake.target.zone not in self._zones_out
        }
        self._samples.append((self._now_s, busy, eligible))

    def _window_ratios(self) -> Iterator[tuple[float, float]]:
        """Yield the imbalance and the utilization of each 10 s window.

        Only targets that are warm and in service throughout a window count.
        """
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
            limits = sum(self._fake_targets[name].limit for name in names)
            mean = sum(busy) / len(busy)
            yield max(busy) / mean, sum(busy) / limits / WINDOW_S

    def _result(self) -> RunResult:
        ratios = list(self._window_ratios())
        imbalances = sorted(ratio for ratio, _ in ratios)
        fakes = self._fake_targets.values()
        counts = self._outcomes
        abandoned = _count_outcomes(counts, 'abandoned')
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
            served_share=round(_count_outcomes(counts, 'served') / offered, 5),
            late=_count_outcomes(counts, 'late'),
            reset=_count_outcomes(counts, 'reset'),
            abandoned=abandoned,
            refused=dict(refused),
            served_by_class=self._served_by_class(),
            slot_overruns=sum(fake.slot_overruns for fake in fakes),
            warmup_overruns=sum(fake.warmup_overruns for fake in fakes),
            max_excess=max(fake.max_excess for fake in fakes),
            falls=sum(fake.falls for fake in fakes),
            utilization=round(
                sum(window_use for _, window_use in ratios) / len(ratios), 3
            ),
            log_digest=self._log_hash.hexdigest(),
        )

    def _served_by_class(self) -> dict[str, float]:
        """Return the served fraction of offered flows by listener name."""
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


def _count_outcomes(counts: Counter[tuple[str, str]], outcome: str) -> int:
    """Return the number of flows with an outcome, over all listeners."""
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
        Load factor and the changes and failures during the run.
    policy : {'owner', 'round_robin', 'least_reported_load'}
        ``owner`` is the admission of siskinproxy.
    seed : int
        Seed of all random choices.

    Returns
    -------
    RunResult
        Results of the run.
    """
    return Simulation(deployment, scenario, policy, seed).run()


def _selected_runs(
    arguments: argparse.Namespace,
) -> Iterator[tuple[Deployment, Scenario, str, int]]:
    """Yield the runs that the command line selects."""
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
    """Simulate the selected policies and print one line of JSON per run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--deployment', default='')
    parser.add_argument('--scenario', default='')
    parser.add_argument('--policies', default=','.join(POLICIES))
    parser.add_argument('--processes', type=int, default=4)
    arguments = parser.parse_args()
    jobs = tuple(zip(*_selected_runs(arguments), strict=True))
    with ProcessPoolExecutor(arguments.processes) as pool:
        for result in pool.map(measure, *jobs):
            line = msgspec.json.encode(result).decode()
            sys.stdout.write(f'{line}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
