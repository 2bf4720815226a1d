"""Times from which targets may get flows."""

import math
from typing import Final

import msgspec

from siskinproxy.balancer.routes import RouteTable
from siskinproxy.instances.placement import ShardKey, targets_of_shard
from siskinproxy.operators.configuration import Service, Target

__all__ = ('TARGET_ACTIVATION_S', 'TargetActivation')

#: A new target, or one whose zone returns to service, gets its first flow after
#: this time, so that no instance handles its segments that has not yet applied
#: the generation.
TARGET_ACTIVATION_S: Final = 2.0


class TargetActivation:
    """Remembers since when each target is in service.

    Parameters
    ----------
    routes : RouteTable
        Services and zones of the configuration in force.
    """

    __slots__ = ('_active_count', '_routes', '_seen_s')

    def __init__(self, routes: RouteTable) -> None:
        self._routes = routes
        self._seen_s: dict[str, float] = {}
        self._active_count = 0

    def note_configuration(self, now_s: float) -> None:
        """Note the targets of a configuration that was just applied.

        Targets of the first configuration are active at once, since nothing
        tells when they came into service.
        """
        names = {
            target.name
            for service in self._routes.services.values()
            for target in service.targets
            if target.zone not in self._routes.zones_out
        }
        seen_s = now_s if self._seen_s else -math.inf
        self._seen_s = {name: self._seen_s.get(name, seen_s) for name in names}
        self._active_count = self._count_active(now_s)

    def has_changed(self, now_s: float) -> bool:
        """Tell whether targets became active since the last call."""
        if self._active_count == len(self._seen_s):
            return False
        before = self._active_count
        self._active_count = self._count_active(now_s)
        return self._active_count != before

    def is_active(self, target: Target, now_s: float) -> bool:
        """Tell whether a target may get flows, or its zone forbids it anyway."""
        if target.zone in self._routes.zones_out:
            return True
        return self._is_active_name(target.name, now_s)

    def active_part(self, name: str, now_s: float) -> Service:
        """Return a service without targets that may not get flows yet."""
        service = self._routes.services[name]
        active = tuple(
            target
            for target in service.targets
            if self.is_active(target, now_s)
        )
        return msgspec.structs.replace(service, targets=active)

    def inactive_names(self, shard: ShardKey, now_s: float) -> frozenset[str]:
        """Return the targets of a shard that may not get flows yet."""
        service = self._routes.services.get(shard.service)
        if service is None:
            return frozenset()
        return frozenset(
            target.name
            for target in targets_of_shard(service, shard.index)
            if target.name in self._seen_s
            and not self._is_active_name(target.name, now_s)
        )

    def _is_active_name(self, name: str, now_s: float) -> bool:
        seen_s = self._seen_s.get(name, now_s)
        return seen_s <= now_s - TARGET_ACTIVATION_S

    def _count_active(self, now_s: float) -> int:
        return sum(self._is_active_name(name, now_s) for name in self._seen_s)
