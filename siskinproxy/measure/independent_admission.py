"""Baseline engine in which each instance admits flows by itself.

In siskinproxy only the owner of a shard decides on its new flows. Here the
instance that receives a SYN decides without knowledge of the others.
"""

import random
import sys
from collections.abc import Callable
from typing import Final

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.opening import FlowOpener
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member
from siskinproxy.callers.admission_decisions import (
    Admitted,
    AdmittedReason,
    Queued,
    Refused,
    RefusedReason,
)
from siskinproxy.instances.placement import ShardKey
from siskinproxy.measure.world import WorldOutbox
from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets.target_state import Mode

__all__ = ('IndependentEngine', 'LoadReports', 'least_reported', 'round_robin')

#: Busy slots by target name as last reported; may be up to 1 s old.
LoadReports = dict[str, float]

#: Targets to which a flow is offered before it is refused.
_MAX_ATTEMPTS: Final = 2

_TargetSelector = Callable[[list[Target], int], Target]


def round_robin(
    reports: LoadReports, targets: list[Target], turn: int
) -> Target:
    """Select the targets in turn; `turn` counts the selections."""
    return targets[turn % len(targets)]


def least_reported(
    reports: LoadReports, targets: list[Target], turn: int
) -> Target:
    """Select the target with the fewest reported busy slots."""
    return min(targets, key=lambda target: reports.get(target.name, 0))


class _IndependentAdmission:
    """Admission of one instance, without limits on flows or a queue.

    It has the methods of `ShardAdmission` that the packet engine calls.
    """

    def __init__(self, select: _TargetSelector, rng: random.Random) -> None:
        self._select = select
        self._turn = rng.randrange(1000)
        self._targets: tuple[Target, ...] = ()
        self._zones_out: frozenset[str] = frozenset()
        self._attempts: dict[bytes, int] = {}

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
        """Store the targets and the zones out of service."""
        self._targets = targets
        self._zones_out = zones_out

    def open(
        self,
        key: bytes,
        listener: Listener,
        ingress_zone: str,
        reachable_zones: frozenset[str],
        now_s: float,
    ) -> Admitted | Refused:
        """Admit a flow to a selected target, unless there is no usable one."""
        usable = [
            target
            for target in self._targets
            if not target.draining and target.zone not in self._zones_out
        ]
        if not usable:
            return Refused(RefusedReason.NO_TARGET)
        self._turn += 1
        self._attempts[key] = self._attempts.get(key, 0) + 1
        target = self._select(usable, self._turn)
        return Admitted(target, AdmittedReason.BALANCED)

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        """Select a target again, or refuse the flow after two attempts."""
        if self._attempts.get(key, _MAX_ATTEMPTS) >= _MAX_ATTEMPTS:
            return Refused(RefusedReason.NO_CAPACITY)
        # `open` ignores the listener and the zones passed to it.
        no_listener = Listener('0.0.0.0', 0, 0)  # noqa: S104
        return self.open(key, no_listener, '', frozenset(), now_s)

    def accepted(self, key: bytes, now_s: float) -> None:
        """Discard the attempt count of the flow."""
        self._forget(key)

    def cancel(self, key: bytes, now_s: float) -> None:
        """Discard the attempt count of the flow."""
        self._forget(key)

    def closed(self, key: bytes, *ignored: object) -> None:
        """Discard the attempt count of the flow."""
        self._forget(key)

    def usage(self, name: str, mode: Mode) -> tuple[int, int]:
        """Return no flows and an unlimited capacity; flows are not counted."""
        return 0, sys.maxsize

    @property
    def has_waiting(self) -> bool:
        """Always false, since no flow is queued."""
        return False

    def set_reachable_zones(self, *ignored: object) -> None:
        """Do nothing; unreachable zones are not avoided."""

    def resume_warmup(self, *ignored: object) -> None:
        """Do nothing; there is no warm-up limit."""

    def report(self, now_s: float) -> tuple[()]:
        """Return nothing, since there is no state to report."""
        return ()

    def restore_streams(self, *ignored: object) -> None:
        """Do nothing; flows are not counted."""

    def restore(self, *ignored: object) -> None:
        """Do nothing; flows are not counted."""

    def _forget(self, key: bytes) -> None:
        self._attempts.pop(key, None)

    def poll(
        self, now_s: float
    ) -> tuple[tuple[bytes, Admitted | Queued | Refused], ...]:
        """Return no decisions, since no flow is queued."""
        return ()


class _IndependentOpener(FlowOpener):
    """Opens flows at the instance that received the SYN from the fabric."""

    __slots__ = ('_select',)

    def set_selector(self, select: _TargetSelector) -> None:
        """Set the function that selects a target."""
        self._select = select

    def _acting_owner(self, shard: ShardKey) -> Member | None:
        """Return None, which means that this instance decides."""

    def _owns(self, shard: ShardKey) -> bool:
        """Return True, since each instance decides on the SYNs it receives."""
        return True

    def _other_owner(
        self, service: str, key: bytes, now_s: float
    ) -> Member | None:
        """Return None, so that no earlier owner is asked about the flow."""

    def _create_admission(
        self, shard: ShardKey, now_s: float
    ) -> _IndependentAdmission:
        return _IndependentAdmission(self._select, self._state.rng)


class IndependentEngine(PacketEngine):
    """Packet engine in which each instance admits flows independently.

    Parameters
    ----------
    identity : Member
        Name, zone and addresses of this instance.
    outbox : WorldOutbox
        Sends datagrams to targets, callers and other instances.
    limits : Limits
        Bounds and times from the settings.
    rng : random.Random
        Source of randomness.
    select : callable
        `round_robin` or `least_reported`, with its `reports` bound.
    """

    def __init__(
        self,
        identity: Member,
        outbox: WorldOutbox,
        limits: Limits,
        rng: random.Random,
        select: _TargetSelector,
    ) -> None:
        self._select = select
        super().__init__(identity, outbox, limits, rng)

    def _create_opener(self) -> FlowOpener:
        opener = _IndependentOpener(self.state)
        opener.set_selector(self._select)
        return opener
