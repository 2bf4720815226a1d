"""Load on a simulated deployment, and the results that its peers observe.

Callers send short requests to the first service of the deployment and keep
long flows (streams) open at the second one.
"""

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

#: Simulated time at which the load starts, after the instances have joined.
LOAD_START_S: Final = 4.0
#: Length of the windows over which the imbalance is computed.
WINDOW_S: Final = 10.0
#: Interval at which targets are sampled.
_SAMPLE_INTERVAL_S: Final = 1.0
_MS_PER_S: Final = 1000.0
#: Ports of caller endpoints at each address.
_FIRST_PORT: Final = 1024
_PORTS_PER_ADDRESS: Final = 60000

#: Timeout of a caller as a factor on the listener's deadline. It is longer than
#: the deadline so that late answers are observed too.
_CALLER_TIMEOUT_FACTOR: Final = 3.0


@dataclass
class StreamRecord:
    """Long flow, and whether it may break.

    `was_given_up` is true if the zone of its target was taken out of service,
    so that the flow is not counted when it breaks.
    """

    flow: StreamFlow
    local: Endpoint
    was_given_up: bool = False


@dataclass
class Sample:
    """Busy slot seconds and open long flows by target name at one time.

    `excluded` has the targets that do not count for the imbalance.
    """

    time_s: float
    busy_s: dict[str, float]
    streams: dict[str, int]
    excluded: frozenset[str]


@dataclass
class Experiment:
    """Simulated deployment under load.

    Parameters
    ----------
    deployment : Deployment
        Configuration, latencies and load.
    seed : int
        Seed of all randomness.
    factory : callable
        Creates the packet engine of an instance.

    Attributes
    ----------
    requests : list of RequestFlow
        Requests offered so far.
    streams : list of StreamRecord
        Long flows offered so far.
    samples : list of Sample
        Samples of the targets, one per second.
    excluded : set of str
        Targets that do not count for the imbalance at present.
    late_zone_datagrams : int
        Checks that found segments sent to a zone after its stop.
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
        """Create the targets and let the instances join, without load."""
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
        self._flow_count = 0
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
        """Run the load for a time, then 4 s more so that open requests end."""
        world = self.world
        world.run_until(LOAD_START_S)
        self.end_s = LOAD_START_S + duration_s
        self._start_request()
        for _ in range(self.deployment.streams):
            world.schedule(self.rng.uniform(0, 5), self._start_stream)
        world.schedule(0, self._sample)
        world.run_until(self.end_s + 4)

    def at(
        self, time_s: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a change at a time after the start of the load."""
        self.world.schedule_at(LOAD_START_S + time_s, action, *arguments)

    def _next_caller_endpoint(self, subnet: int) -> Endpoint:
        """Return an address and port that no caller has used yet."""
        self._flow_count += 1
        block, offset = divmod(self._flow_count, _PORTS_PER_ADDRESS)
        return Endpoint(f'127.0.{subnet}.{block + 1}', _FIRST_PORT + offset)

    def _start_request(self) -> None:
        """Open the flow of a request and schedule the next request."""
        world = self.world
        if world.now_s >= self.end_s:
            return
        service = self.deployment.cfg.services[0]
        listener = service.listeners[self.rng.random() < 0.5]
        work_ms = self.rng.uniform(0.5, 1.5) * self.deployment.work_ms
        local = self._next_caller_endpoint(9)
        flow = RequestFlow(
            local,
            Endpoint(listener.address, listener.port),
            Request(f'r{self._flow_count}', service.name, 'request', work_ms),
            self.rng.getrandbits(32),
            listener.deadline_ms / _MS_PER_S * _CALLER_TIMEOUT_FACTOR,
        )
        self.requests.append(flow)
        world.start_flow(local, flow)
        delay_s = self.rng.expovariate(self.deployment.requests_per_s)
        world.schedule(delay_s, self._start_request)

    def _start_stream(self) -> None:
        """Open a long flow that its caller closes after 5 s to 40 s."""
        world = self.world
        if world.now_s >= self.end_s:
            return
        service = self.deployment.cfg.services[1]
        listener = service.listeners[0]
        local = self._next_caller_endpoint(10)
        flow = StreamFlow(
            local,
            Endpoint(listener.address, listener.port),
            Request(f's{self._flow_count}', service.name, 'stream', 5, 400),
            self.rng.getrandbits(32),
            listener.deadline_ms / _MS_PER_S * 2,
        )
        record = StreamRecord(flow, local)
        self.streams.append(record)
        world.start_flow(local, flow)
        ends_s = world.now_s + self.rng.uniform(5, 40)
        world.schedule(0.5, self._request_chunk, local, record, ends_s)

    def _request_chunk(
        self, local: Endpoint, record: StreamRecord, ends_s: float
    ) -> None:
        """Request the next chunk of a long flow, or close it when it is due.

        A new long flow replaces one that ended.
        """
        world = self.world
        flow = record.flow
        if flow.outcome is not None:
            self._start_stream()
            return
        if world.now_s >= ends_s:
            world.send_from_caller(flow.finish(world.now_s))
            world.follow_caller(local, flow)
            self._start_stream()
            return
        world.send_from_caller(flow.request_chunk(world.now_s))
        world.follow_caller(local, flow)
        delay_s = self.rng.uniform(0.3, 1.2)
        world.schedule(delay_s, self._request_chunk, local, record, ends_s)

    def _sample(self) -> None:
        """Sample all targets, and do so again every 1 s during the load."""
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
            world.schedule(_SAMPLE_INTERVAL_S, self._sample)

    # Results

    def streams_broken(self) -> int:
        """Return the number of long flows that broke.

        A flow counts if it ended although its caller had not closed it, or if
        it got an answer to another request. Flows to a zone that was taken out
        of service do not count.
        """
        lost = {Outcome.BROKEN, Outcome.MISMATCHED, Outcome.UNKNOWN}
        return sum(
            record.flow.outcome in lost and not record.was_given_up
            for record in self.streams
        )

    def established_streams(self) -> int:
        """Return the number of long flows that received data."""
        return sum(record.flow.chunks > 0 for record in self.streams)

    def outcomes(self) -> Counter[str]:
        """Return the number of requests by outcome."""
        return Counter(
            str(flow.outcome) for flow in self.requests if flow.outcome
        )

    def served_share(self, start_s: float, end_s: float) -> float:
        """Return the fraction of requests answered within their deadline.

        The deadline of the first listener applies to all of them.

        Parameters
        ----------
        start_s, end_s : float
            Bounds of the time of the first SYN, in seconds after the start of
            the load; the end is exclusive.

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
            if start_s <= flow.opened_s - LOAD_START_S < end_s
        ]
        served = [
            flow
            for flow in offered
            if flow.outcome is Outcome.ANSWERED
            and flow.ended_s - flow.opened_s <= limit_s
        ]
        return len(served) / len(offered) if offered else 1

    def imbalances(self) -> list[float]:
        """Return the imbalance of the first service in each 10 s window.

        It is the ratio of the maximum to the mean busy slot time of the
        targets. Targets that were draining, warming up or out of service at
        any time of a window are left out of it.
        """
        names = [
            target.name for target in self.deployment.cfg.services[0].targets
        ]
        result = []
        step = int(WINDOW_S / _SAMPLE_INTERVAL_S)
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
        """Return the flow imbalance of the second service in each sample.

        It is the ratio of the maximum to the mean number of open long flows of
        the targets. The first 10 samples are left out; the initial
        long flows start in the first 5 s of the load.
        """
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
        """Return the sum of a counter over all targets, with removed ones."""
        now_s = self.world.now_s
        servers = [*self.world.targets.values(), *self.world.former_targets]
        return sum(server.stats(now_s).get(key, 0) for server in servers)

    def violations(self) -> int:
        """Return the number of invariant violations that engines counted."""
        return sum(
            instance.engine.counters().violations
            for instance in self.world.instances.values()
            if hasattr(instance.engine, 'counters')
        )

    def false_refusals(self) -> int:
        """Return the number of refused requests that a target executed."""
        executed: set[str] = set()
        servers = [*self.world.targets.values(), *self.world.former_targets]
        for server in servers:
            executed.update(server.executions)
        return sum(
            flow.outcome is Outcome.REFUSED and flow.request.id in executed
            for flow in self.requests
        )

    # Changes

    def permit_broken_streams(self, zone: str) -> None:
        """Do not count it as a fault if long flows to a zone break.

        It applies to the flows whose SYN reached a target of the zone so far.
        """
        for record in self.streams:
            if self.world.opened_in.get(record.local) == zone:
                record.was_given_up = True

    def change_target(self, name: str, **changes: object) -> None:
        """Apply a configuration in which a target has other properties."""
        self.world.configure(replace_target(self.world.cfg, name, **changes))

    def exclude_targets(self, names: list[str]) -> None:
        """Leave targets out of the imbalance from now on, by their names."""
        self.excluded.update(names)

    def include_targets(self, names: list[str]) -> None:
        """Count targets for the imbalance again, by their names."""
        self.excluded.difference_update(names)


def replace_target(
    cfg: Configuration, name: str, **changes: Any
) -> Configuration:
    """Return a copy of a configuration with changed fields of a target."""
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
