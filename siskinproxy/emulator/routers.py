"""Routers of the fabric: which instances get the packets of a zone."""

from collections import Counter
from collections.abc import Sequence
from typing import Final

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.instances import EmulatedInstance

__all__ = ('Routers',)

#: Interval of the routers' readiness probes, in seconds, and number of
#: consecutive failures after which they route no more packets to an instance.
PROBE_INTERVAL_S: Final = 0.5
PROBE_FAILURE_THRESHOLD: Final = 2


class Routers:
    """Probe instances, and know the zones that are cut off.

    Parameters
    ----------
    clock : VirtualClock
        Clock.
    zones : sequence of str
        Availability zones.
    instances : sequence of EmulatedInstance
        Instances of all zones.

    Attributes
    ----------
    isolated_zones : set of str
        Zones that cannot exchange packets with other zones.
    """

    def __init__(
        self,
        clock: VirtualClock,
        zones: Sequence[str],
        instances: Sequence[EmulatedInstance],
    ) -> None:
        self.isolated_zones: set[str] = set()
        self._clock = clock
        self._zones = zones
        self._instances = instances
        self._routed: dict[str, tuple[EmulatedInstance, ...]] = {}
        self._failed_probes: Counter[tuple[str, str]] = Counter()

    def probe(self) -> None:
        """Probe all instances now, and again after each interval."""
        for zone in self._zones:
            self._routed[zone] = tuple(
                each for each in self._instances if self._is_routed(zone, each)
            )
        self._clock.call_after(PROBE_INTERVAL_S, self.probe)

    def instances_of(self, zone: str) -> tuple[EmulatedInstance, ...]:
        """Return the instances to which the routers of a zone send packets."""
        return self._routed[zone]

    def is_partitioned(self, zone_a: str, zone_b: str) -> bool:
        """Return whether two zones cannot exchange packets."""
        return zone_a != zone_b and bool(self.isolated_zones & {zone_a, zone_b})

    def _is_routed(self, zone: str, instance: EmulatedInstance) -> bool:
        """Probe an instance; return whether a zone's routers use it."""
        key = (zone, instance.name)
        is_reachable = instance.answers_probes and not self.is_partitioned(
            zone, instance.zone
        )
        self._failed_probes[key] = (
            0 if is_reachable else self._failed_probes[key] + 1
        )
        return self._failed_probes[key] < PROBE_FAILURE_THRESHOLD
