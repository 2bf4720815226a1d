"""Mean load of each zone's targets, passed on between zones.

With many instances, load reports cover the flows of the own zone only. An
instance that looks for room elsewhere would take the targets of other zones for
idle. Reports therefore carry the mean load of each zone, which one instance of
another zone gets as well and passes on in its own reports.
"""

import zlib
from collections.abc import Mapping
from typing import Final, TypeAlias

__all__ = ('ZoneLoads', 'zone_key')

#: Age from which on the load of another zone is unknown, in seconds.
MAX_AGE_S: Final = 1.5
_MS_PER_S: Final = 1000
_PER_CENT: Final = 100

#: Load in hundredths of a request per slot, and its age in milliseconds.
_Reported: TypeAlias = tuple[int, int]


def zone_key(zone: str, service: str, priority: int) -> int:
    """Return the key of the targets that a priority uses in a zone."""
    return zlib.crc32(f'{zone}/{service}/{priority}'.encode())


class ZoneLoads:
    """Latest known mean loads, by `zone_key`."""

    def __init__(self) -> None:
        self._loads: dict[int, tuple[float, float]] = {}

    def note_own(self, key: int, load: float, now_s: float) -> None:
        """Set a load of the own zone, in requests per slot."""
        self._loads[key] = (load, now_s)

    def load(self, key: int, now_s: float) -> float | None:
        """Return a load in requests per slot, None if it is unknown."""
        found = self._loads.get(key)
        if found is None or now_s - found[1] > MAX_AGE_S:
            return None
        return found[0]

    def report(self, now_s: float) -> dict[int, _Reported]:
        """Return the known loads with their ages for a load report."""
        found = {}
        for key, (load, measured_s) in tuple(self._loads.items()):
            age_s = max(now_s - measured_s, 0)
            if age_s > MAX_AGE_S:
                del self._loads[key]
            else:
                age_ms = round(_MS_PER_S * age_s)
                found[key] = (round(_PER_CENT * load), age_ms)
        return found

    def apply_report(
        self, loads: Mapping[int, _Reported], now_s: float
    ) -> None:
        """Take over loads that are newer than the known ones."""
        for key, (load, age_ms) in loads.items():
            measured_s = now_s - max(age_ms, 0) / _MS_PER_S
            known = self._loads.get(key)
            if known is None or measured_s > known[1]:
                self._loads[key] = (max(load, 0) / _PER_CENT, measured_s)
