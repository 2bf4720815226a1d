"""Random sequences of faults for a simulated cluster.

A sequence follows from its seed, so that a failed run can be repeated.
"""

import random
from collections.abc import Callable
from typing import Final

from siskinproxy.measure.cluster_checks import ClusterWatcher, Violation
from siskinproxy.measure.fake_cluster import FakeCluster, FakeNode

__all__ = ('RandomScenario', 'run_scenario')

#: Time for the start of all instances before the first fault.
START_S: Final = 10.0
#: Time without faults at the end of a run, in which the checks go on.
SETTLE_S: Final = 15.0

_MAX_CLOCK_JUMP_S: Final = 100.0


class RandomScenario:
    """Injects faults into a cluster, about one a second.

    Parameters
    ----------
    cluster : FakeCluster
        Cluster to disturb.
    watcher : ClusterWatcher
        Checks of the cluster, which allow more time after a disturbance.
    seed : int
        Seed of the sequence of faults.
    """

    def __init__(
        self,
        cluster: FakeCluster,
        watcher: ClusterWatcher,
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._watcher = watcher
        self._rng = random.Random(seed)
        self._actions: tuple[Callable[[], None], ...] = (
            self._kill_instance,
            self._freeze_instance,
            self._partition,
            self._partition_instance,
            self._heal,
            self._jump_clock,
            self._change_store_access,
            self._change_loss,
            self._accept_configuration,
            self._accept_configuration,
        )

    def run(self, duration_s: float) -> None:
        """Inject faults for a time, then remove them and run `SETTLE_S`."""
        until_s = self._cluster.now_s + duration_s
        while self._cluster.now_s < until_s:
            self._rng.choice(self._actions)()
            self._cluster.run(self._rng.uniform(0.1, 2))
        self._end_faults()
        self._cluster.run(SETTLE_S)

    def _end_faults(self) -> None:
        cluster = self._cluster
        cluster_faults = cluster.faults
        cluster_faults.loss = 0
        cluster_faults.duplication = 0
        cluster_faults.reordering = 0
        cluster.store.available = True
        cluster.store.cut_zones.clear()
        self._heal()
        for node in cluster.nodes.values():
            if node.frozen:
                cluster.resume(node.name)
            elif node.engine is None:
                cluster.start(node.name)

    def _kill_instance(self) -> None:
        node = self._choose_running()
        if node is None:
            return
        self._cluster.kill(node.name)
        restart_s = self._rng.uniform(0.5, 15)
        self._cluster.schedule(restart_s, lambda: self._restart(node))

    def _restart(self, node: FakeNode) -> None:
        if node.engine is None:
            self._cluster.start(node.name)

    def _freeze_instance(self) -> None:
        node = self._choose_running()
        if node is None:
            return
        self._cluster.freeze(node.name)
        self._record_disturbance()
        pause_s = self._rng.uniform(0.1, 10)
        self._cluster.schedule(pause_s, lambda: self._resume(node))

    def _resume(self, node: FakeNode) -> None:
        if node.frozen:
            self._record_disturbance()
            self._cluster.resume(node.name)

    def _partition(self) -> None:
        """Cut a zone off from all others, in one or in both directions."""
        zones = sorted({node.zone for node in self._cluster.nodes.values()})
        zone = self._rng.choice(zones)
        others = [other for other in zones if other != zone]
        direction = self._rng.choice(('both', 'in', 'out'))
        if direction != 'in':
            self._cluster.block([zone], others)
        if direction != 'out':
            self._cluster.block(others, [zone])

    def _partition_instance(self) -> None:
        """Block datagrams from one instance to another."""
        names = self._rng.sample(sorted(self._cluster.nodes), 2)
        self._cluster.block(names[:1], names[1:])

    def _heal(self) -> None:
        self._record_disturbance()
        self._cluster.heal()

    def _jump_clock(self) -> None:
        node = self._choose_running()
        if node is None:
            return
        jump_s = self._rng.uniform(-_MAX_CLOCK_JUMP_S, _MAX_CLOCK_JUMP_S)
        self._record_disturbance()
        self._cluster.jump_clock(node.name, jump_s)

    def _change_store_access(self) -> None:
        store = self._cluster.store
        if self._rng.random() < 0.5:
            store.available = not store.available
        else:
            zone = self._choose_any().zone
            store.cut_zones.symmetric_difference_update({zone})
        self._cluster.log_event(
            f'store available={store.available} cut={sorted(store.cut_zones)}',
        )

    def _change_loss(self) -> None:
        faults = self._cluster.faults
        faults.loss = self._rng.choice((0, 0, 0.01, 0.05))
        faults.duplication = self._rng.choice((0, 0.05, 0.2))
        faults.reordering = self._rng.choice((0, 0.05, 0.2))
        self._record_disturbance()
        self._cluster.log_event(f'loss={faults.loss}')

    def _accept_configuration(self) -> None:
        if self._cluster.store.available:
            self._cluster.accept()

    def _record_disturbance(self) -> None:
        self._watcher.last_disturbance_s = self._cluster.now_s

    def _choose_running(self) -> FakeNode | None:
        """Return a running instance, or None if half of them have stopped."""
        running = self._cluster.running()
        if len(running) * 2 <= len(self._cluster.nodes):
            return None
        return self._rng.choice(running)

    def _choose_any(self) -> FakeNode:
        return self._rng.choice(list(self._cluster.nodes.values()))


def run_scenario(
    seed: int,
    size: int,
    zones: int,
    duration_s: float,
) -> tuple[FakeCluster, list[Violation]]:
    """Run a random scenario on a new cluster.

    Parameters
    ----------
    seed : int
        Seed of the cluster and of the faults.
    size : int
        Number of instances.
    zones : int
        Number of availability zones.
    duration_s : float
        Time during which faults are injected, in seconds.

    Returns
    -------
    tuple of FakeCluster and list of Violation
        The cluster after the run and the checks that failed.
    """
    cluster = FakeCluster(size, zones, seed)
    watcher = ClusterWatcher(cluster, START_S)
    cluster.start_all()
    cluster.run(START_S)
    RandomScenario(cluster, watcher, seed).run(duration_s)
    return cluster, watcher.violations
