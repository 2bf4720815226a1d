"""Seconds since each zone was heard from and since the youngest store read."""

import math
from collections.abc import Iterable
from typing import Final

from siskinproxy.instances.gossip import NEVER_READ

__all__ = ('REACHABLE_S', 'TRANSIT_S', 'Reachability')

#: An instance sends to targets of a zone that was heard from this recently.
REACHABLE_S: Final = 3.0

#: Added to the age of a store read at each receipt, for the time that the
#: message took. Without it an age that goes back and forth between members
#: lags behind: by 4 s within 24 s in a run with datagrams delayed by 50 ms.
TRANSIT_S: Final = 0.05

_MS_PER_S: Final = 1000


class Reachability:
    """Basis of the zone reachability rule.

    Parameters
    ----------
    zone : str
        Zone of this instance, which always counts as heard from.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._heard_s: dict[str, float] = {}
        self._store_read_s = -math.inf
        self._listed_zones: frozenset[str] | None = None

    def hear(self, zone: str, store_age_ms: int, now_s: float) -> None:
        """Note a message from an instance of `zone`.

        Parameters
        ----------
        zone : str
            Zone of the sender.
        store_age_ms : int
            Age of the youngest store read known to the sender.
        now_s : float
            Time.
        """
        self._heard_s[zone] = now_s
        if store_age_ms != NEVER_READ:
            age_s = max(store_age_ms, 0) / _MS_PER_S
            read_s = now_s - age_s - TRANSIT_S
            self._store_read_s = max(self._store_read_s, read_s)

    def note_store_read(self, now_s: float) -> None:
        """Note that this instance read the store."""
        self._store_read_s = max(self._store_read_s, now_s)

    def set_listed_zones(self, zones: Iterable[str]) -> None:
        """Set the zones of which the platform's list names an instance."""
        self._listed_zones = frozenset(zones)

    def store_age_s(self, now_s: float) -> float:
        """Return the age of the youngest known store read, in seconds."""
        return now_s - self._store_read_s

    def store_age_ms(self, now_s: float) -> int:
        """Return the age of the youngest known store read for a header."""
        age_s = self.store_age_s(now_s)
        if math.isinf(age_s):
            return NEVER_READ
        return max(math.ceil(age_s * _MS_PER_S), 0)

    def sight_s(
        self,
        zones: Iterable[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the seconds since each zone was heard from.

        A zone of which the platform's list names no live instance counts as
        heard from at the youngest store read.

        Parameters
        ----------
        zones : iterable of str
            Zones of the configuration.
        now_s : float
            Time.

        Returns
        -------
        dict of str to float
            Seconds; infinite for a zone that was never heard from.
        """
        names = set(zones) | set(self._heard_s) | {self._zone}
        return {name: self._age_s(name, now_s) for name in sorted(names)}

    def _age_s(self, zone: str, now_s: float) -> float:
        if zone == self._zone:
            return 0
        age_s = now_s - self._heard_s.get(zone, -math.inf)
        listed = self._listed_zones
        if listed is not None and zone not in listed:
            return min(age_s, self.store_age_s(now_s))
        return age_s
