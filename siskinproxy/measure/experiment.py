"""Load on a world and what its callers and targets observe."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from siskinproxy.fabric.segments import Endpoint
from siskinproxy.measure.deployments import Deployment
from siskinproxy.measure.world import EngineFactory, World
from siskinproxy.operators.configuration import Configuration, Target
from siskinproxy.standins.caller_flow import Outcome, RequestFlow, StreamFlow
from siskinproxy.standins.messages import Request

__all__ = ('Experiment', 'StreamRecord')

START_S: Final = 4.0
WINDOW_S: Final = 10.0
_SAMPLE_S: Final = 1.0
_MS_PER_S: Final = 1000.0
_FIRST_PORT: Final = 1024
_PORTS: Final = 60000

#: A caller waits longer than the listener's deadline before it gives up on a
#: connection, so that late answers are seen.
_CALLER_PATIENCE: Final = 3.0


@dataclass
class StreamRecord:
    """Long flow and whether the zone of its target was taken out."""

    flow: StreamFlow
    was_given_up: bool = False


@dataclass
class Sample:
    """Busy slot time and open flows of all targets at one time."""

    time_s: float
    busy_s: dict[str, float]
    streams: dict[str, int]
    excluded: frozenset[str]


@dataclass
class Experiment:
    """Deployment under load.

    Parameters
    ----------
    deployment : Deployment
        Configuration, latencies and load.
    seed : int
        Seed of all randomness.
    factory : callable
        Makes the engines.
    """

    deployment: Deployment
    seed: int
    factory: EngineFactory
    requests: list[RequestFlow] = field(default_factory=list)
    streams: list[StreamRecord] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    late_zone_datagrams: int = 0

    def __post_init__(self) -> None:
        """Build the world without load."""
        deployment = self.deployment
        self.world = World(
            self.seed,
            deployment.cfg,
            self.factory,
            zone_latency_s=deployment.zone_latency_s,
            caller_latency_s=deployment.caller_latency_s,
        )
        self.rng = random.Random(self.seed + 1)
        self.end_s = float('inf')
        self._number = 0
        self._served_windows: list[tuple[float, float]] = []
        for service in deployment.cfg.services:
            for target in service.targets:
                self.world.add_target(target, service.name, cold=False)
        zones = [zone.name for zone in deployment.cfg.zones]
        for number in range(deployment.instances):
            zone = zones[number % len(zones)]
            self.world.join(f'{zone}-{number + 1}', zone)

    # Load

    def run(self, duration_s: float) -> None:
        """Run the load for a time, then let open requests end."""
        world = self.world
        world.run_until(START_S)
        self.end_s = START_S + duration_s
        self._offer_request()
        for _ in range(self.deployment.streams):
            world.schedule(self.rng.uniform(0, 5), self._offer_stream)
        world.schedule(0, self._sample)
        world.run_until(self.end_s + 4)

    def at(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a change relative to the start of the load."""
        self.world.schedule_at(START_S + time_s, action, *arguments)

    def _local(self, subnet: int) -> Endpoint:
        self._number += 1
        block, offset = divmod(self._number, _PORTS)
        return Endpoint(f'127.0.{subnet}.{block + 1}', _FIRST_PORT + offset)

    def _offer_request(self) -> None:
        world = self.world
        if world.now_s >= self.end_s:
            return
        service = self.deployment.cfg.services[0]
        listener = service.listeners[self.rng.random() < 0.5]
        work_ms = self.rng.uniform(0.5, 1.5) * self.deployment.work_ms
        local = self._local(9)
        flow = RequestFlow(
            local,
            Endpoint(listener.address, listener.port),
            Request(f'r{self._number}', service.name, 'request', work_ms),
            self.rng.getrandbits(32),
            listener.deadline_ms / _MS_PER_S * _CALLER_PATIENCE,
        )
        self.requests.append(flow)
        world.start_flow(local, flow)
        delay_s = self.rng.expovariate(self.deployment.requests_per_s)
        world.schedule(delay_s, self._offer_request)

    def _offer_stream(self) -> None:
        world = self.world
        if world.now_s >= self.end_s:
            return
        service = self.deployment.cfg.services[1]
        listener = service.listeners[0]
        local = self._local(10)
        flow = StreamFlow(
            local,
            Endpoint(listener.address, listener.port),
            Request(f's{self._number}', service.name, 'stream', 5, 400),
            self.rng.getrandbits(32),
            listener.deadline_ms / _MS_PER_S * 2,
        )
        record = StreamRecord(flow)
        self.streams.append(record)
        world.start_flow(local, flow)
        ends_s = world.now_s + self.rng.uniform(5, 40)
        world.schedule(0.5, self._ask, local, record, ends_s)

    def _ask(
        self, local: Endpoint, record: StreamRecord, ends_s: float
    ) -> None:
        world = self.world
        flow = record.flow
        if flow.outcome is not None:
            self._offer_stream()
            return
        if world.now_s >= ends_s:
            world.send_from_caller(flow.finish(world.now_s))
            world.follow_caller(local, flow)
            self._offer_stream()
            return
        world.send_from_caller(flow.ask(world.now_s))
        world.follow_caller(local, flow)
        delay_s = self.rng.uniform(0.3, 1.2)
        world.schedule(delay_s, self._ask, local, record, ends_s)

    def _sample(self) -> None:
        world = self.world
        stats = [target.stats(world.now_s) for target in world.targets.values()]
        self.samples.append(
            Sample(
                world.now_s,
                {entry['name']: entry['busy_s'] for entry in stats},
                {entry['name']: entry['streams'] for entry in stats},
                frozenset(self.excluded),
            ),
        )
        if world.now_s < self.end_s:
            world.schedule(_SAMPLE_S, self._sample)

    # Results

    def streams_broken(self) -> int:
        """Return the long flows that ended without their caller's wish."""
        lost = {Outcome.BROKEN, Outcome.MISMATCHED, Outcome.UNKNOWN}
        return sum(
            record.flow.outcome in lost and not record.was_given_up
            for record in self.streams
        )

    def established_streams(self) -> int:
        """Return the long flows that received data."""
        return sum(record.flow.chunks > 0 for record in self.streams)

    def outcomes(self) -> Counter[str]:
        """Return the requests by outcome."""
        return Counter(
            str(flow.outcome) for flow in self.requests if flow.outcome
        )

    def served_share(self, start_s: float, end_s: float) -> float:
        """Return the share of requests answered within their deadline.

        Parameters
        ----------
        start_s, end_s : float
            Bounds of the time of the first SYN, relative to the start.

        Returns
        -------
        float
            Between 0 and 1; 1 if nothing was offered.
        """
        listeners = self.deployment.cfg.services[0].listeners
        limit_s = listeners[0].deadline_ms / _MS_PER_S
        offered = [
            flow
            for flow in self.requests
            if start_s <= flow.opened_s - START_S < end_s
        ]
        served = [
            flow
            for flow in offered
            if flow.outcome is Outcome.ANSWERED
            and flow.ended_s - flow.opened_s <= limit_s
        ]
        return len(served) / len(offered) if offered else 1

    def imbalances(self) -> list[float]:
        """Return highest over mean busy slot time per 10 s window.

        Targets that drained, warmed up or were out of service at any time of
        a window are left out of it.
        """
        names = [
            target.name for target in self.deployment.cfg.services[0].targets
        ]
        result = []
        step = int(WINDOW_S / _SAMPLE_S)
        for first in range(0, len(self.samples) - step, step):
            window = self.samples[first : first + step + 1]
            left_out = frozenset().union(*(item.excluded for item in window))
            busy = [
                window[-1].busy_s[name] - window[0].busy_s[name]
                for name in names
                if name not in left_out and name in window[0].busy_s
            ]
            if sum(busy):
                result.append(max(busy) * len(busy) / sum(busy))
        return result

    def flow_imbalances(self) -> list[float]:
        """Return highest over mean open flows of the second service."""
        names = [
            target.name for target in self.deployment.cfg.services[1].targets
        ]
        result = []
        for item in self.samples[int(WINDOW_S) :]:
            counts = [
                item.streams.get(name, 0)
                for name in names
                if name not in item.excluded
            ]
            if sum(counts):
                result.append(max(counts) * len(counts) / sum(counts))
        return result

    def target_total(self, key: str) -> int:
        """Return the sum of a counter over all targets, also former ones."""
        now_s = self.world.now_s
        servers = [*self.world.targets.values(), *self.world.former_targets]
        return sum(server.stats(now_s).get(key, 0) for server in servers)

    def violations(self) -> int:
        """Return the invariant violations that the engines counted."""
        return sum(
            instance.engine.counters().violations
            for instance in self.world.instances.values()
            if hasattr(instance.engine, 'counters')
        )

    def false_refusals(self) -> int:
        """Return the refused requests that a target executed nevertheless."""
        executed: set[str] = set()
        servers = [*self.world.targets.values(), *self.world.former_targets]
        for server in servers:
            executed.update(server.executions)
        return sum(
            flow.outcome is Outcome.REFUSED and flow.request.id in executed
            for flow in self.requests
        )

    # Changes

    def change_target(self, name: str, **changes: object) -> None:
        """Put a configuration with a changed target in force."""
        self.world.configure(replace_target(self.world.cfg, name, **changes))

    def exclude(self, names: list[str]) -> None:
        """Leave targets out of the imbalance from now on."""
        self.excluded.update(names)

    def include(self, names: list[str]) -> None:
        """Count targets for the imbalance again."""
        self.excluded.difference_update(names)


def replace_target(
    cfg: Configuration, name: str, **changes: Any
) -> Configuration:
    """Return a configuration in which a target has other properties."""
    services = []
    for service in cfg.services:
        targets: list[Target] = [
            msgspec.structs.replace(target, **changes)
            if target.name == name
            else target
            for target in service.targets
        ]
        services.append(
            msgspec.structs.replace(service, targets=tuple(targets)),
        )
    return msgspec.structs.replace(cfg, services=tuple(services))
