"""Admission policies in which each instance decides by itself (baselines)."""

import random
import sys
from collections.abc import Callable
from typing import Final

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.opening import FlowOpener
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member
from siskinproxy.callers.requests import (
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

#: Reported busy slots by target name; lags behind the targets.
LoadReports = dict[str, float]

_MAX_TRIES: Final = 2

_Select = Callable[[list[Target], int], Target]


def round_robin(
    reports: LoadReports, targets: list[Target], turn: int
) -> Target:
    """Take the targets in turn."""
    return targets[turn % len(targets)]


def least_reported(
    reports: LoadReports, targets: list[Target], turn: int
) -> Target:
    """Take the target with the lowest report."""
    return min(targets, key=lambda target: reports.get(target.name, 0))


class _IndependentAdmission:
    """Admission of one instance without limits and knowledge of others."""

    def __init__(self, select: _Select, rng: random.Random) -> None:
        self._select = select
        self._turn = rng.randrange(1000)
        self._targets: tuple[Target, ...] = ()
        self._zones_out: frozenset[str] = frozenset()
        self._tries: dict[bytes, int] = {}

    def apply(
        self,
        service: Service,
        targets: tuple[Target, ...],
        zones_out: frozenset[str],
        now_s: float,
    ) -> None:
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
        usable = [
            target
            for target in self._targets
            if not target.draining and target.zone not in self._zones_out
        ]
        if not usable:
            return Refused(RefusedReason.NO_TARGET)
        self._turn += 1
        self._tries[key] = self._tries.get(key, 0) + 1
        target = self._select(usable, self._turn)
        return Admitted(target, AdmittedReason.BALANCED)

    def target_refused(self, key: bytes, now_s: float) -> Admitted | Refused:
        if self._tries.get(key, _MAX_TRIES) >= _MAX_TRIES:
            return Refused(RefusedReason.NO_CAPACITY)
        no_listener = Listener('0.0.0.0', 0, 0)  # noqa: S104
        return self.open(key, no_listener, '', frozenset(), now_s)

    def accepted(self, key: bytes, now_s: float) -> None:
        self._forget(key)

    def cancel(self, key: bytes, now_s: float) -> None:
        self._forget(key)

    def closed(self, key: bytes, *ignored: object) -> None:
        self._forget(key)

    def usage(self, name: str, mode: Mode) -> tuple[int, int]:
        """Return that no limit is in force; flows are not counted."""
        return 0, sys.maxsize

    @property
    def has_waiting(self) -> bool:
        """Nothing is queued."""
        return False

    def set_reachable_zones(self, *ignored: object) -> None:
        """Ignore zone contacts."""

    def resume_warmup(self, *ignored: object) -> None:
        """Know no warm-ups."""

    def report(self, now_s: float) -> tuple[()]:
        return ()

    def restore_streams(self, *ignored: object) -> None:
        """Keep no record of flows."""

    def restore(self, *ignored: object) -> None:
        """Keep no record of flows."""

    def _forget(self, key: bytes) -> None:
        self._tries.pop(key, None)

    def poll(
        self, now_s: float
    ) -> tuple[tuple[bytes, Admitted | Queued | Refused], ...]:
        return ()


class _IndependentOpener(FlowOpener):
    """Decides for each SYN at the instance that got it from the fabric."""

    __slots__ = ('_select',)

    def use(self, select: _Select) -> None:
        self._select = select

    def _acting_owner(self, shard: ShardKey) -> Member | None:
        """Let the instance itself decide."""

    def _owns(self, shard: ShardKey) -> bool:
        return True

    def _other_owner(
        self, service: str, key: bytes, now_s: float
    ) -> Member | None:
        """Ask no other instance."""

    def _create_admission(
        self, shard: ShardKey, now_s: float
    ) -> _IndependentAdmission:
        return _IndependentAdmission(self._select, self._state.rng)


class IndependentEngine(PacketEngine):
    """Packet engine whose ingress instances admit flows independently.

    Parameters
    ----------
    identity : Member
        The instance itself.
    outbox : WorldOutbox
        Where datagrams are sent.
    limits : Limits
        Bounds and times from the settings.
    rng : random.Random
        Source of randomness.
    select : callable
        `round_robin` or `least_reported` with the reports bound.
    """

    def __init__(
        self,
        identity: Member,
        outbox: WorldOutbox,
        limits: Limits,
        rng: random.Random,
        select: _Select,
    ) -> None:
        self._select = select
        super().__init__(identity, outbox, limits, rng)

    def _create_opener(self) -> FlowOpener:
        opener = _IndependentOpener(self.state)
        opener.use(self._select)
        return opener
