"""Baseline admission policies for the admission simulation.

`admission_rounds` compares them with the admission of siskinproxy, where one
instance, the owner, decides on all new flows of a shard.
"""

import random
from collections import deque
from typing import Final, Protocol

from siskinproxy.callers.admission_decisions import (
    Admitted,
    AdmittedReason,
    Queued,
    Refused,
    RefusedReason,
)
from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.admission_settings import AdmissionSettings

__all__ = ('LeastReportedLoad', 'Policy', 'RoundRobin', 'create_policy')

#: Simulated instances, each of which selects targets independently.
INSTANCE_COUNT: Final = 8
#: Targets to which a baseline offers a flow before it refuses the flow.
MAX_ATTEMPTS: Final = 3
#: Minimum age of the load report in use, once there is one that old.
REPORT_LAG_S: Final = 1.0


#: Time of a report in seconds, and flows in progress by target name.
_LoadReport = tuple[float, dict[str, int]]


class Policy(Protocol):
    """Methods of `ShardAdmission` that the simulation calls."""

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
        """Apply a new configuration."""

    def open(
        self,
        key: bytes,
        listener: Listener,
        ingress_zone: str,
        reachable_zones: frozenset[str],
        now_s: float,
    ) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a new flow."""

    def accepted(self, key: bytes, now_s: float) -> None:
        """Record that the target accepted the flow."""

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        """Select another target after a refusal, or refuse the flow."""

    def closed(
        self,
        key: bytes,
        listener: Listener,
        target_name: str,
        reset: bool,
        now_s: float,
    ) -> None:
        """Release the slot of a flow that ended at its target."""

    def cancel(self, key: bytes, now_s: float) -> None:
        """Discard a flow that its caller cancelled."""

    def poll(
        self, now_s: float
    ) -> tuple[tuple[bytes, Admitted | Refused], ...]:
        """Return the decisions made since the last call on queued flows."""


class RoundRobin:
    """Round-robin selection by each instance, independently of the others.

    Parameters
    ----------
    rng : random.Random
        Source of the first index of each instance and of the instance that
        gets each flow.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets: tuple[Target, ...] = ()
        self._last_indexes = [rng.randrange(16) for _ in range(INSTANCE_COUNT)]
        self._attempts: dict[bytes, int] = {}

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
        """Apply a new configuration; parameters as in `ShardAdmission`."""
        self._targets = tuple(
            target
            for target in targets
            if not target.draining and target.zone not in zones_out
        )

    def open(
        self,
        key: bytes,
        listener: Listener,
        ingress_zone: str,
        reachable_zones: frozenset[str],
        now_s: float,
    ) -> Admitted | Refused:
        """Select the next target; parameters as in `ShardAdmission`."""
        if not self._targets:
            return Refused(RefusedReason.NO_TARGET)
        self._attempts[key] = 1
        return Admitted(self.select_target(now_s), AdmittedReason.BALANCED)

    def accepted(self, key: bytes, now_s: float) -> None:
        """Do nothing, since the baselines count no flows."""

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        """Select another target, or refuse after `MAX_ATTEMPTS` targets.

        Parameters as in `ShardAdmission`.
        """
        attempts = self._attempts.get(key, MAX_ATTEMPTS)
        if attempts >= MAX_ATTEMPTS or not self._targets:
            return Refused(RefusedReason.NO_CAPACITY)
        self._attempts[key] = attempts + 1
        target = self.select_target(now_s)
        return Admitted(target, AdmittedReason.RETRY_AFTER_REFUSAL)

    def closed(
        self,
        key: bytes,
        listener: Listener,
        target_name: str,
        reset: bool,
        now_s: float,
    ) -> None:
        """Discard the attempt count; parameters as in `ShardAdmission`."""
        self._attempts.pop(key, None)

    def cancel(self, key: bytes, now_s: float) -> None:
        """Discard the attempt count; parameters as in `ShardAdmission`."""
        self._attempts.pop(key, None)

    def poll(
        self, now_s: float
    ) -> tuple[tuple[bytes, Admitted | Refused], ...]:
        """Return nothing, since the baselines have no queue."""
        return ()

    def select_target(self, now_s: float) -> Target:
        """Select a target as a randomly chosen instance would.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        Target
            The next target in the round-robin order of that instance.
        """
        instance = self._rng.randrange(INSTANCE_COUNT)
        self._last_indexes[instance] += 1
        return self._targets[self._last_indexes[instance] % len(self._targets)]


class LeastReportedLoad(RoundRobin):
    """Selection of the target whose load report from 1 s ago is lowest.

    Parameters are those of `RoundRobin`.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._reports: deque[_LoadReport] = deque()

    def record_loads(self, loads: dict[str, int], now_s: float) -> None:
        """Store the current load of the targets for use 1 s later.

        Parameters
        ----------
        loads : dict of str to int
            Flows in progress by target name.
        now_s : float
            Current time in seconds.
        """
        self._reports.append((now_s, loads))
        while len(self._reports) > 1:
            if self._reports[1][0] > now_s - REPORT_LAG_S:
                break
            self._reports.popleft()

    def select_target(self, now_s: float) -> Target:
        """Select the target with the lowest reported load, ties at random.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        Target
            Target with the lowest ratio of reported flows to slots.
        """
        loads = self._reports[0][1] if self._reports else {}
        return min(
            self._targets,
            key=lambda target: (
                loads.get(target.name, 0) / target.slots,
                self._rng.random(),
            ),
        )


def create_policy(
    name: str, rng: random.Random, now_s: float, *, takeover: bool
) -> Policy:
    """Create a policy by its name.

    Parameters
    ----------
    name : {'owner', 'round_robin', 'least_reported_load'}
        ``owner`` is the admission of siskinproxy.
    rng : random.Random
        Source of random choices.
    now_s : float
        Current time in seconds.
    takeover : bool
        Whether the policy takes over from an earlier owner with flows in
        progress; used by ``owner`` only.

    Returns
    -------
    Policy
        The policy.
    """
    if name == 'round_robin':
        return RoundRobin(rng)
    if name == 'least_reported_load':
        return LeastReportedLoad(rng)
    limits = AdmissionSettings()
    return ShardAdmission('measured', 0, limits, rng, now_s, takeover)
