"""Delay before new targets get flows."""

import math
from typing import Final

import msgspec

from siskinproxy.balancer.routes import RouteTable
from siskinproxy.instances.placement import ShardKey, targets_of_shard
from siskinproxy.operators.configuration import Service, Target

__all__ = ('TARGET_ACTIVATION_DELAY_S', 'TargetActivation')

#: Delay before a new target, or one whose zone returns to service, gets its first
#: flow. Meanwhile the other instances apply the configuration generation: one
#: that has not applied it has no route for the segments of the target.
TARGET_ACTIVATION_DELAY_S: Final = 2.0


class TargetActivation:
    """Tracks since when each target is in service.

    Parameters
    ----------
    routes : RouteTable
        Services and zones of the configuration in force.
    """

    __slots__ = ('_active_count', '_in_service_since_s', '_routes')

    def __init__(self, routes: RouteTable) -> None:
        self._routes = routes
        self._in_service_since_s: dict[str, float] = {}
        self._active_count = 0

    def note_configuration(self, now_s: float) -> None:
        """Record the targets of a configuration that was just applied.

        Targets of the first configuration are active at once, since it is not
        known when they came into service.
        """
        names = {
            target.name
            for service in self._routes.services.values()
            for target in service.targets
            if target.zone not in self._routes.zones_out
        }
        since_s = now_s if self._in_service_since_s else -math.inf
        self._in_service_since_s = {
            name: self._in_service_since_s.get(name, since_s) for name in names
        }
        self._active_count = self._count_active(now_s)

    def has_changed(self, now_s: float) -> bool:
        """Tell whether targets became active since the last call.

        The last call is that of this method or of `note_configuration`.
        """
        if self._active_count == len(self._in_service_since_s):
            return False
        before = self._active_count
        self._active_count = self._count_active(now_s)
        return self._active_count != before

    def is_active(self, target: Target, now_s: float) -> bool:
        """Tell whether the activation delay of a target has passed.

        It counts as passed in zones that are out of service, whose targets
        get no flows anyway.
        """
        if target.zone in self._routes.zones_out:
            return True
        return self._is_active_name(target.name, now_s)

    def service_with_active_targets(self, name: str, now_s: float) -> Service:
        """Return a service with only those of its targets that are active."""
        service = self._routes.services[name]
        active = tuple(
            target
            for target in service.targets
            if self.is_active(target, now_s)
        )
        return msgspec.structs.replace(service, targets=active)

    def inactive_target_names(
        self, shard: ShardKey, now_s: float
    ) -> frozenset[str]:
        """Return the names of the targets of a shard that are not active yet."""
        service = self._routes.services.get(shard.service)
        if service is None:
            return frozenset()
        return frozenset(
            target.name
            for target in targets_of_shard(service, shard.index)
            if target.name in self._in_service_since_s
            and not self._is_active_name(target.name, now_s)
        )

    def _is_active_name(self, name: str, now_s: float) -> bool:
        since_s = self._in_service_since_s.get(name, now_s)
        return since_s <= now_s - TARGET_ACTIVATION_DELAY_S

    def _count_active(self, now_s: float) -> int:
        return sum(
            self._is_active_name(name, now_s)
            for name in self._in_service_since_s
        )
