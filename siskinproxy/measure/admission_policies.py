"""Admission policies that the measurement compares with the product."""

import random
from collections import deque
from typing import Final, Protocol

from siskinproxy.callers.requests import (
    Admitted,
    AdmittedReason,
    Queued,
    Refused,
    RefusedReason,
)
from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.limits import AdmissionLimits

__all__ = ('LeastReportedLoad', 'Policy', 'RoundRobin', 'create_policy')

#: Instances that decide independently under the baseline policies.
INSTANCES: Final = 8
#: Targets that a baseline tries before it refuses a flow.
MAX_ATTEMPTS: Final = 3
#: Age of the load reports that the baseline uses.
REPORT_LAG_S: Final = 1.0


_LoadReport = tuple[float, dict[str, int]]


class Policy(Protocol):
    """The part of `ShardAdmission` that the driver uses."""

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
        """Use a new configuration."""

    def open(
        self,
        key: bytes,
        listener: Listener,
        ingress_zone: str,
        reachable_zones: frozenset[str],
        now_s: float,
    ) -> Admitted | Queued | Refused:
        """Decide about a new flow."""

    def accepted(self, key: bytes, now_s: float) -> None:
        """Note that the target accepted the flow."""

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        """Decide about a flow that the target refused."""

    def closed(
        self,
        key: bytes,
        listener: Listener,
        target_name: str,
        reset: bool,
        now_s: float,
    ) -> None:
        """Release the slot of a flow."""

    def cancel(self, key: bytes, now_s: float) -> None:
        """Forget a flow that its caller gave up."""

    def poll(
        self, now_s: float
    ) -> tuple[tuple[bytes, Admitted | Refused], ...]:
        """Return the decisions about queued flows."""


class RoundRobin:
    """Independent instances that use the targets in turn.

    Parameters
    ----------
    rng : random.Random
        Source of the start positions and of the instance of each flow.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._targets: tuple[Target, ...] = ()
        self._positions = [rng.randrange(16) for _ in range(INSTANCES)]
        self._attempts: dict[bytes, int] = {}

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
        """Use a new configuration; parameters as in `ShardAdmission`."""
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
        return Admitted(self.choose(now_s), AdmittedReason.BALANCED)

    def accepted(self, key: bytes, now_s: float) -> None:
        """Note that the target accepted the flow."""

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        """Try another target; parameters as in `ShardAdmission`."""
        attempts = self._attempts.get(key, MAX_ATTEMPTS)
        if attempts >= MAX_ATTEMPTS or not self._targets:
            return Refused(RefusedReason.NO_CAPACITY)
        self._attempts[key] = attempts + 1
        target = self.choose(now_s)
        return Admitted(target, AdmittedReason.RETRY_AFTER_REFUSAL)

    def closed(
        self,
        key: bytes,
        listener: Listener,
        target_name: str,
        reset: bool,
        now_s: float,
    ) -> None:
        """Forget the flow; parameters as in `ShardAdmission`."""
        self._attempts.pop(key, None)

    def cancel(self, key: bytes, now_s: float) -> None:
        """Forget the flow; parameters as in `ShardAdmission`."""
        self._attempts.pop(key, None)

    def poll(
        self, now_s: float
    ) -> tuple[tuple[bytes, Admitted | Refused], ...]:
        """Return nothing, since the baselines have no queue."""
        return ()

    def choose(self, now_s: float) -> Target:
        """Select a target for a random instance.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        Target
            The next target of that instance.
        """
        instance = self._rng.randrange(INSTANCES)
        self._positions[instance] += 1
        return self._targets[self._positions[instance] % len(self._targets)]


class LeastReportedLoad(RoundRobin):
    """Independent instances that use the lowest load reported 1 s ago."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._reports: deque[_LoadReport] = deque()

    def observe(self, loads: dict[str, int], now_s: float) -> None:
        """Store the load that the targets report now.

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

    def choose(self, now_s: float) -> Target:
        """Select the target with the lowest report, ties at random.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        Target
            Target with the lowest reported load relative to its slots.
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
        ``owner`` is the product.
    rng : random.Random
        Source of random choices.
    now_s : float
        Current time in seconds.
    takeover : bool
        Whether the policy replaces one that still has flows.

    Returns
    -------
    Policy
        The policy.
    """
    if name == 'round_robin':
        return RoundRobin(rng)
    if name == 'least_reported_load':
        return LeastReportedLoad(rng)
    limits = AdmissionLimits()
    return ShardAdmission('measured', 0, limits, rng, now_s, takeover)
