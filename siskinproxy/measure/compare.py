"""Comparison of policies over scenarios: ``make measure SEED=n``."""

import itertools
import random
import sys
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any, Final

import fire
import msgspec

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member
from siskinproxy.measure.baselines import (
    ConsistentHashEngine,
    FlowTableEngine,
    SingleHomeEngine,
)
from siskinproxy.measure.deployments import DEPLOYMENTS
from siskinproxy.measure.experiment import Experiment
from siskinproxy.measure.independent_admission import (
    IndependentEngine,
    LoadReports,
    least_reported,
    round_robin,
)
from siskinproxy.measure.scenarios import SCENARIOS
from siskinproxy.measure.world import Engine, EngineFactory, WorldOutbox

__all__ = ('POLICIES', 'Result', 'main', 'measure')

_WINDOW_S: Final = 10.0
_REPORT_LAG_S: Final = 1.0
_WORKERS: Final = 5


class Result(msgspec.Struct, frozen=True):
    """Figures of one policy in one scenario; one line of JSON.

    Parameters
    ----------
    flows : int
        Long flows that received data.
    broken_flows : int
        Long flows that ended without their caller's wish, those to a zone
        that was taken out of service left out.
    misdelivered : int
        Segments and requests that reached another service.
    imbalance, imbalance_p99 : float
        Median and 99th percentile over 10 s windows of the highest over the
        mean busy slot time of the first service's targets.
    flow_imbalance : float
        Median of the same of open long flows of the second service.
    zone_leave_served, zone_return_served : float or None
        Share of the requests offered in the 10 s after the change that were
        answered within their deadline.
    requests, answered, refused, unknown, timed_out : int
        Requests by outcome.
    doubled, false_refusals, mismatched : int
        Requests executed twice, executed although refused, or answered with
        another request's answer.
    cold_failures : int
        Times that a cold target failed under more load than it can take.
    late_zone_datagrams : int
        1 if a zone got segments 3 s after it was taken out of service.
    violations : int
        Invariant violations that the program found itself.
    control_bytes_per_s : float
        Bytes of copies and greetings that one packet process sent.
    store_calls_per_s : float or None
        None here, since packet processes do not call the store.
    """

    policy: str
    scenario: str
    deployment: str
    seed: int
    flows: int
    broken_flows: int
    misdelivered: int
    imbalance: float
    imbalance_p99: float
    flow_imbalance: float
    zone_leave_served: float | None
    zone_return_served: float | None
    served: float
    requests: int
    answered: int
    refused: int
    unknown: int
    timed_out: int
    doubled: int
    false_refusals: int
    mismatched: int
    cold_failures: int
    late_zone_datagrams: int
    violations: int
    control_bytes_per_s: float
    store_calls_per_s: float | None
    log_digest: str


def _independent(
    select: Any,
    reports: LoadReports,
    identity: Member,
    outbox: WorldOutbox,
    limits: Limits,
    rng: random.Random,
) -> Engine:
    chosen = partial(select, reports)
    return IndependentEngine(identity, outbox, limits, rng, chosen)


#: Engine factories, or admission policies of independent instances, by name.
POLICIES: Final[dict[str, Any]] = {
    'siskinproxy': PacketEngine,
    'consistent_hash': ConsistentHashEngine,
    'flow_table': FlowTableEngine,
    'single_home': SingleHomeEngine,
    'round_robin': round_robin,
    'least_reported': least_reported,
}


def _factory(policy: str, reports: LoadReports) -> EngineFactory:
    chosen = POLICIES[policy]
    if isinstance(chosen, type):
        return chosen
    return partial(_independent, chosen, reports)


def measure(
    policy: str, scenario_name: str, deployment_name: str, seed: int
) -> Result:
    """Run one policy in one scenario.

    Parameters
    ----------
    policy : str
        Key of `POLICIES`.
    scenario_name : str
        Key of `SCENARIOS`.
    deployment_name : str
        Key of `DEPLOYMENTS`.
    seed : int
        Seed of all randomness.

    Returns
    -------
    Result
        The figures.
    """
    reports: LoadReports = {}
    scenario = SCENARIOS[scenario_name]
    experiment = Experiment(
        DEPLOYMENTS[deployment_name],
        seed,
        _factory(policy, reports),
    )
    experiment.world.schedule(0, _report_loads, experiment, reports)
    scenario.prepare(experiment)
    experiment.run(scenario.duration_s)
    outcomes = experiment.outcomes()
    imbalances = experiment.imbalances()
    world = experiment.world
    instance_s = len(world.instances) * world.now_s
    return Result(
        policy=policy,
        scenario=scenario_name,
        deployment=deployment_name,
        seed=seed,
        flows=experiment.established_streams(),
        broken_flows=experiment.streams_broken(),
        misdelivered=experiment.target_total('misdelivered'),
        imbalance=_percentile(imbalances, 50),
        imbalance_p99=_percentile(imbalances, 99),
        flow_imbalance=_percentile(experiment.flow_imbalances(), 50),
        zone_leave_served=_window(experiment, scenario.leave_s),
        zone_return_served=_window(experiment, scenario.return_s),
        served=round(experiment.served_share(0, scenario.duration_s), 4),
        requests=len(experiment.requests),
        answered=outcomes['answered'],
        refused=outcomes['refused'],
        unknown=outcomes['unknown'],
        timed_out=outcomes['timed_out'],
        doubled=experiment.target_total('doubled'),
        false_refusals=experiment.false_refusals(),
        mismatched=outcomes['mismatched'],
        cold_failures=experiment.target_total('failures'),
        late_zone_datagrams=experiment.late_zone_datagrams,
        violations=experiment.violations(),
        control_bytes_per_s=round(
            world.counters['control_bytes'] / instance_s,
            1,
        ),
        store_calls_per_s=None,
        log_digest=world.log_digest(),
    )


def _report_loads(experiment: Experiment, reports: LoadReports) -> None:
    world = experiment.world
    for server in world.targets.values():
        health = server.health(world.now_s)
        reports[server.settings.name] = health['busy_slots']
    world.schedule(_REPORT_LAG_S, _report_loads, experiment, reports)


def _window(experiment: Experiment, start_s: float | None) -> float | None:
    if start_s is None:
        return None
    return round(experiment.served_share(start_s, start_s + _WINDOW_S), 4)


def _percentile(values: list[float], percent: int) -> float:
    if not values:
        return 0
    ranked = sorted(values)
    index = min(len(ranked) - 1, round(percent / 100 * (len(ranked) - 1)))
    return round(ranked[index], 3)


def _names(selection: str, known: Iterable[str]) -> list[str]:
    return selection.split(',') if selection else list(known)


def _run(
    seed: int = 1,
    policies: str = '',
    scenarios: str = '',
    deployments: str = '',
) -> None:
    """Print one JSON line per policy, scenario and deployment.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    policies, scenarios, deployments : str
        Names separated by commas; all by default.
    """
    names = itertools.product(
        _names(_text(deployments), DEPLOYMENTS),
        _names(_text(scenarios), SCENARIOS),
        _names(_text(policies), POLICIES),
    )
    cases = [
        (policy, scenario, deployment, seed)
        for deployment, scenario, policy in names
    ]
    started_s = time.monotonic()
    with ProcessPoolExecutor(_WORKERS) as pool:
        for result in pool.map(_measure_case, cases):
            sys.stdout.write(f'{msgspec.json.encode(result).decode()}\n')
            sys.stdout.flush()
    elapsed_s = time.monotonic() - started_s
    sys.stderr.write(f'event=measured cases={len(cases)} {elapsed_s=:.0f}\n')


def _text(selection: str | tuple[str, ...]) -> str:
    # The command line parser turns lists with commas into tuples.
    return selection if isinstance(selection, str) else ','.join(selection)


def _measure_case(case: tuple[str, str, str, int]) -> Result:
    return measure(*case)


def main() -> None:
    """Entry point of ``python -m siskinproxy.measure.compare``."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
