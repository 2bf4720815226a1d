"""Cost and speed of the membership, as JSON lines.

Prints one line for each cluster size with control bytes, detection time,
dissemination time and CPU time per message, all from the simulated cluster.
Run with ``python -m siskinproxy.measure.membership_cost``.
"""

import math
import statistics
import sys
import time
from collections.abc import Callable
from functools import partial

import fire
import msgspec

from siskinproxy.measure.fake_cluster import FakeCluster

__all__ = ('MembershipCost', 'main', 'measure_cost')

ZONES = 3
START_S = 10.0
SETTLE_S = 30.0
STEADY_S = 10.0
FAILURES = 4
CHANGES = 3
LIMIT_S = 20.0
RESOLUTION_S = 0.05
PAUSE_S = 12.0

_US_PER_S = 1_000_000


class MembershipCost(msgspec.Struct, frozen=True):
    """Figures for one size.

    Parameters
    ----------
    members : int
        Size of the cluster.
    seed : int
        Seed of the run.
    steady_bytes_per_s_mean : float
        Control bytes a second and node without changes, sent and received,
        with IP and UDP headers.
    steady_bytes_per_s_max : int
        The same for the busiest node in the busiest second.
    detection_s_mean, detection_s_max : float
        Time from a failure until every member considers the member dead.
    change_s_mean, change_s_max : float
        Time from the acceptance of a change of one section until it is in
        effect everywhere.
    change_bytes_per_s_max : int
        Control bytes of the busiest node in the busiest second of a change.
    cpu_us_per_message : float
        CPU time of the engines and the simulated network for each received
        datagram, timers included.
    """

    members: int
    seed: int
    steady_bytes_per_s_mean: float
    steady_bytes_per_s_max: int
    detection_s_mean: float
    detection_s_max: float
    change_s_mean: float
    change_s_max: float
    change_bytes_per_s_max: int
    cpu_us_per_message: float


def measure_cost(members: int, seed: int) -> MembershipCost:
    """Measure a cluster of one size.

    Parameters
    ----------
    members : int
        Number of instances.
    seed : int
        Seed of the run.

    Returns
    -------
    MembershipCost
        Figures.
    """
    cluster = FakeCluster(members, ZONES, seed)
    cluster.start_all(spread_s=min(members / 10, START_S))
    cluster.run(START_S + SETTLE_S)
    steady_from_s = cluster.now_s
    messages = _count_messages(cluster)
    started_s = time.process_time()
    cluster.run(STEADY_S)
    cpu_s = time.process_time() - started_s
    messages = _count_messages(cluster) - messages
    steady = _bytes_of_seconds(cluster, steady_from_s, STEADY_S)
    mean_bytes = statistics.fmean(steady)
    changes = [_change(cluster) for _ in range(CHANGES)]
    detections = [_fail(cluster) for _ in range(FAILURES)]
    return MembershipCost(
        members=members,
        seed=seed,
        steady_bytes_per_s_mean=round(mean_bytes, 1),
        steady_bytes_per_s_max=max(steady),
        detection_s_mean=round(statistics.fmean(detections), 2),
        detection_s_max=round(max(detections), 2),
        change_s_mean=round(statistics.fmean(_firsts(changes)), 2),
        change_s_max=round(max(_firsts(changes)), 2),
        change_bytes_per_s_max=max(found[1] for found in changes),
        cpu_us_per_message=round(cpu_s * _US_PER_S / messages, 1),
    )


def _firsts(changes: list[tuple[float, int]]) -> list[float]:
    return [found[0] for found in changes]


def _count_messages(cluster: FakeCluster) -> int:
    return sum(
        node.engine.traffic['received_messages'] for node in cluster.running()
    )


def _bytes_of_seconds(
    cluster: FakeCluster,
    since_s: float,
    duration_s: float,
) -> list[int]:
    first = int(since_s)
    seconds = range(first, first + int(duration_s))
    return [
        node.window_bytes.get(second, 0)
        for node in cluster.running()
        for second in seconds
    ]


def _fail(cluster: FakeCluster) -> float:
    """End an instance; return the time until all members know."""
    cluster.run(cluster.rng.random())
    name = cluster.rng.choice(sorted(cluster.nodes))
    cluster.kill(name)
    duration_s = _run_until(cluster, partial(_is_dead, cluster, name))
    cluster.start(name)
    cluster.run(PAUSE_S)
    return duration_s


def _is_dead(cluster: FakeCluster, name: str) -> bool:
    return all(
        node.engine.membership.states().get(name) == 'dead'
        for node in cluster.running()
    )


def _change(cluster: FakeCluster) -> tuple[float, int]:
    """Accept a change; return its time and the busiest second."""
    cluster.run(math.ceil(cluster.now_s) - cluster.now_s)
    started_s = cluster.now_s
    generation = cluster.accept()
    condition = partial(_is_in_force, cluster, generation)
    duration_s = _run_until(cluster, condition)
    cluster.run(PAUSE_S - duration_s % PAUSE_S)
    spent = _bytes_of_seconds(cluster, started_s, PAUSE_S)
    return duration_s, max(spent)


def _is_in_force(cluster: FakeCluster, generation: int) -> bool:
    return all(
        node.engine.configuration.generation >= generation
        for node in cluster.running()
    )


def _run_until(cluster: FakeCluster, condition: Callable[[], bool]) -> float:
    started_s = cluster.now_s
    while cluster.now_s - started_s < LIMIT_S:
        cluster.run(RESOLUTION_S)
        if condition():
            break
    return cluster.now_s - started_s


def _run(*sizes: int, seed: int = 1) -> None:
    """Print one JSON line for each cluster size.

    Parameters
    ----------
    *sizes : int
        Numbers of instances; 8, 32, 128 and 330 by default.
    seed : int
        Seed of the runs.
    """
    for members in sizes or (8, 32, 128, 330):
        cost = measure_cost(members, seed)
        sys.stdout.write(f'{msgspec.json.encode(cost).decode()}\n')
        sys.stdout.flush()


def main() -> None:
    """Entry point."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
