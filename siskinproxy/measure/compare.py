"""Simulation that compares packet engines: ``make measure SEED=n``.

Each packet engine and each baseline runs in every scenario of both
deployments. Each run prints one line of JSON with the fields of `Result`.
"""

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

#: Time after a zone change in which the served share is measured.
_WINDOW_S: Final = 10.0
#: Interval between the load reports of the targets.
_REPORT_INTERVAL_S: Final = 1.0
_PROCESS_COUNT: Final = 5


class Result(msgspec.Struct, frozen=True):
    """Results of one policy in one scenario; printed as one line of JSON.

    Parameters
    ----------
    policy, scenario, deployment : str
        Names of what was simulated.
    seed : int
        Seed of all randomness.
    flows : int
        Long flows that received data.
    broken_flows : int
        Long flows that ended although their callers had not closed them,
        except those to a zone that was taken out of service.
    misdelivered : int
        Segments and requests that reached a target of another service.
    imbalance, imbalance_p99 : float
        Median and 99th percentile over 10 s windows of the ratio of the
        maximum to the mean busy slot time of the first service's targets.
    flow_imbalance : float
        Median over samples of the ratio of the maximum to the mean number of
        open long flows of the second service's targets.
    zone_leave_served, zone_return_served : float or None
        Fraction of the requests offered in the 10 s after a zone was taken out
        of service, and after it returned, that were answered within their
        deadline; None in scenarios without such a change.
    served : float
        Fraction of all requests that were answered within their deadline.
    requests, answered, refused, unknown, timed_out : int
        Requests by outcome.
    doubled, false_refusals, mismatched : int
        Requests executed twice, executed although refused, or answered with
        another request's answer.
    cold_failures : int
        Times that a cold target failed because of overload.
    late_zone_datagrams : int
        1 if a zone got segments more than 3 s after it was taken out of
        service.
    violations : int
        Invariant violations that the packet engines counted.
    control_bytes_per_s : float
        Bytes per second of COPY and HELLO datagrams that a packet process sent
        on average.
    store_calls_per_s : float or None
        Always None, since packet processes do not call the store.
    log_digest : str
        Hash of all datagrams and their times; the same seed gives the same
        hash.
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


def _create_independent_engine(
    select: Any,
    reports: LoadReports,
    identity: Member,
    outbox: WorldOutbox,
    limits: Limits,
    rng: random.Random,
) -> Engine:
    """Return an engine that selects targets by the given function."""
    chosen = partial(select, reports)
    return IndependentEngine(identity, outbox, limits, rng, chosen)


#: Engine classes by name; a function is a target selection of
#: `IndependentEngine`.
POLICIES: Final[dict[str, Any]] = {
    'siskinproxy': PacketEngine,
    'consistent_hash': ConsistentHashEngine,
    'flow_table': FlowTableEngine,
    'single_home': SingleHomeEngine,
    'round_robin': round_robin,
    'least_reported': least_reported,
}


def _engine_factory(policy: str, reports: LoadReports) -> EngineFactory:
    """Return the factory of the engines of a policy."""
    chosen = POLICIES[policy]
    if isinstance(chosen, type):
        return chosen
    return partial(_create_independent_engine, chosen, reports)


def measure(
    policy: str, scenario_name: str, deployment_name: str, seed: int
) -> Result:
    """Simulate one policy in one scenario.

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
        Results of the run.
    """
    reports: LoadReports = {}
    scenario = SCENARIOS[scenario_name]
    experiment = Experiment(
        DEPLOYMENTS[deployment_name],
        seed,
        _engine_factory(policy, reports),
    )
    experiment.world.schedule(0, _update_load_reports, experiment, reports)
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
        zone_leave_served=_served_share(experiment, scenario.leave_s),
        zone_return_served=_served_share(experiment, scenario.return_s),
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


def _update_load_reports(experiment: Experiment, reports: LoadReports) -> None:
    """Store the busy slots of all targets, and do so again every 1 s."""
    world = experiment.world
    for server in world.targets.values():
        health = server.health(world.now_s)
        reports[server.settings.name] = health['busy_slots']
    world.schedule(
        _REPORT_INTERVAL_S, _update_load_reports, experiment, reports
    )


def _served_share(
    experiment: Experiment, start_s: float | None
) -> float | None:
    """Return the served fraction in the 10 s after a change, or None."""
    if start_s is None:
        return None
    return round(experiment.served_share(start_s, start_s + _WINDOW_S), 4)


def _percentile(values: list[float], percent: int) -> float:
    """Return a percentile by the nearest rank, or 0 without values."""
    if not values:
        return 0
    ranked = sorted(values)
    index = min(len(ranked) - 1, round(percent / 100 * (len(ranked) - 1)))
    return round(ranked[index], 3)


def _parse_names(selection: str, known: Iterable[str]) -> list[str]:
    """Return the selected names, or all known ones for an empty selection."""
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
        Names separated by commas; all of them if empty.
    """
    names = itertools.product(
        _parse_names(_selection_text(deployments), DEPLOYMENTS),
        _parse_names(_selection_text(scenarios), SCENARIOS),
        _parse_names(_selection_text(policies), POLICIES),
    )
    cases = [
        (policy, scenario, deployment, seed)
        for deployment, scenario, policy in names
    ]
    started_s = time.monotonic()
    with ProcessPoolExecutor(_PROCESS_COUNT) as pool:
        for result in pool.map(_measure_case, cases):
            sys.stdout.write(f'{msgspec.json.encode(result).decode()}\n')
            sys.stdout.flush()
    elapsed_s = time.monotonic() - started_s
    sys.stderr.write(f'event=measured cases={len(cases)} {elapsed_s=:.0f}\n')


def _selection_text(selection: str | tuple[str, ...]) -> str:
    # Fire parses an argument with commas as a tuple.
    return selection if isinstance(selection, str) else ','.join(selection)


def _measure_case(case: tuple[str, str, str, int]) -> Result:
    return measure(*case)


def main() -> None:
    """Entry point of ``python -m siskinproxy.measure.compare``."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
