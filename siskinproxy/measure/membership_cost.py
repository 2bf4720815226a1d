"""Measures traffic, speed and CPU time of the cluster membership.

Run ``python -m siskinproxy.measure.membership_cost``. It simulates a cluster
of each size and prints one JSON object with control bytes, failure detection
time, dissemination time of changes and CPU time per message.
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
#: Maximum time over which the instances start.
MAX_START_SPREAD_S = 10.0
#: Time after the start until the membership is stable.
SETTLE_S = 30.0
STEADY_S = 10.0
FAILURES = 4
CHANGES = 3
#: A failure or change that takes longer counts with this time.
CONVERGENCE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
#: Time until the cluster is steady again after a failure or change; the
#: traffic of a change is counted over this time.
RECOVERY_S = 12.0

_US_PER_S = 1_000_000


class MembershipCost(msgspec.Struct, frozen=True):
    """Measurements of a cluster of one size.

    Parameters
    ----------
    members : int
        Number of instances in the cluster.
    seed : int
        Seed of the run.
    steady_bytes_per_s_mean : float
        Control bytes per second of a node, sent and received, with IP and
        UDP headers, while nothing changes.
    steady_bytes_per_s_max : int
        The same for the node and second with the most traffic.
    detection_s_mean, detection_s_max : float
        Time from a failure until every member considers the member dead.
    change_s_mean, change_s_max : float
        Time from the acceptance of a configuration change until it is in
        effect on all nodes; the change concerns one section.
    change_bytes_per_s_max : int
        Control bytes of the node and second with the most traffic during a
        change.
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
    """Simulate a cluster of one size and measure it.

    Parameters
    ----------
    members : int
        Number of instances.
    seed : int
        Seed of the run.

    Returns
    -------
    MembershipCost
        The measurements.
    """
    cluster = FakeCluster(members, ZONES, seed)
    cluster.start_all(spread_s=min(members / 10, MAX_START_SPREAD_S))
    cluster.run(MAX_START_SPREAD_S + SETTLE_S)
    steady_from_s = cluster.now_s
    messages = _count_messages(cluster)
    started_s = time.process_time()
    cluster.run(STEADY_S)
    cpu_s = time.process_time() - started_s
    messages = _count_messages(cluster) - messages
    steady = _bytes_of_seconds(cluster, steady_from_s, STEADY_S)
    mean_bytes = statistics.fmean(steady)
    changes = [_measure_change(cluster) for _ in range(CHANGES)]
    detections = [_measure_detection(cluster) for _ in range(FAILURES)]
    return MembershipCost(
        members=members,
        seed=seed,
        steady_bytes_per_s_mean=round(mean_bytes, 1),
        steady_bytes_per_s_max=max(steady),
        detection_s_mean=round(statistics.fmean(detections), 2),
        detection_s_max=round(max(detections), 2),
        change_s_mean=round(statistics.fmean(_durations_s(changes)), 2),
        change_s_max=round(max(_durations_s(changes)), 2),
        change_bytes_per_s_max=max(
            measured_change[1] for measured_change in changes
        ),
        cpu_us_per_message=round(cpu_s * _US_PER_S / messages, 1),
    )


def _durations_s(changes: list[tuple[float, int]]) -> list[float]:
    return [measured_change[0] for measured_change in changes]


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


def _measure_detection(cluster: FakeCluster) -> float:
    """Kill an instance; return the time until all others consider it dead."""
    # The failure occurs at a random time within the next second.
    cluster.run(cluster.rng.random())
    name = cluster.rng.choice(sorted(cluster.nodes))
    cluster.kill(name)
    duration_s = _run_until(cluster, partial(_is_dead, cluster, name))
    cluster.start(name)
    cluster.run(RECOVERY_S)
    return duration_s


def _is_dead(cluster: FakeCluster, name: str) -> bool:
    return all(
        node.engine.membership.states().get(name) == 'dead'
        for node in cluster.running()
    )


def _measure_change(cluster: FakeCluster) -> tuple[float, int]:
    """Accept a configuration change.

    Returns the time until it is in effect on all nodes, and the largest
    number of control bytes of a node in one second.
    """
    # Bytes are counted by whole seconds; start the change at one.
    cluster.run(math.ceil(cluster.now_s) - cluster.now_s)
    started_s = cluster.now_s
    generation = cluster.accept()
    condition = partial(_is_in_effect, cluster, generation)
    duration_s = _run_until(cluster, condition)
    cluster.run(RECOVERY_S - duration_s % RECOVERY_S)
    spent = _bytes_of_seconds(cluster, started_s, RECOVERY_S)
    return duration_s, max(spent)


def _is_in_effect(cluster: FakeCluster, generation: int) -> bool:
    return all(
        node.engine.configuration.generation >= generation
        for node in cluster.running()
    )


def _run_until(cluster: FakeCluster, condition: Callable[[], bool]) -> float:
    started_s = cluster.now_s
    while cluster.now_s - started_s < CONVERGENCE_TIMEOUT_S:
        cluster.run(POLL_INTERVAL_S)
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
    """Run the measurement with the options of the command line."""
    fire.Fire(_run)


if __name__ == '__main__':
    main()
