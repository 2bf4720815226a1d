"""Time since the last message from each zone and since the last store read.

By the zone reachability rule an instance sends segments only to targets in
zones from which it received a message recently. These two times decide that.
"""

import math
from collections.abc import Iterable
from typing import Final

from siskinproxy.instances.gossip import NEVER_READ

__all__ = ('REACHABLE_S', 'TRANSIT_S', 'Reachability')

#: Time after the last message from a zone in which an instance sends segments
#: to targets there.
REACHABLE_S: Final = 3.0

#: Added to the age of a store read at each receipt, for the time that the
#: message took. Without it an age that members send back and forth falls
#: behind the true age: by 4 s within 24 s if datagrams are delayed by 50 ms.
TRANSIT_S: Final = 0.05

_MS_PER_S: Final = 1000


class Reachability:
    """Times of the last message from each zone and of the last store read.

    Parameters
    ----------
    zone : str
        Zone of this instance, which always counts as reachable.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._last_message_s: dict[str, float] = {}
        self._store_read_s = -math.inf
        self._listed_zones: frozenset[str] | None = None

    def note_message(self, zone: str, store_age_ms: int, now_s: float) -> None:
        """Record a message from an instance of `zone`.

        Parameters
        ----------
        zone : str
            Zone of the sender.
        store_age_ms : int
            Milliseconds since the latest store read known to the sender, or
            ``NEVER_READ``.
        now_s : float
            Time.
        """
        self._last_message_s[zone] = now_s
        if store_age_ms != NEVER_READ:
            age_s = max(store_age_ms, 0) / _MS_PER_S
            read_s = now_s - age_s - TRANSIT_S
            self._store_read_s = max(self._store_read_s, read_s)

    def note_store_read(self, now_s: float) -> None:
        """Record that this instance read the store."""
        self._store_read_s = max(self._store_read_s, now_s)

    def set_listed_zones(self, zones: Iterable[str]) -> None:
        """Set the zones in which the platform lists a live instance."""
        self._listed_zones = frozenset(zones)

    def store_age_s(self, now_s: float) -> float:
        """Return the seconds since the latest known store read.

        Infinite if no store read is known.
        """
        return now_s - self._store_read_s

    def store_age_ms(self, now_s: float) -> int:
        """Return `Header.store_age_ms` for a message that is sent now."""
        age_s = self.store_age_s(now_s)
        if math.isinf(age_s):
            return NEVER_READ
        return max(math.ceil(age_s * _MS_PER_S), 0)

    def sight_s(
        self,
        zones: Iterable[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the seconds since the last message from each zone.

        For a zone in which the platform lists no live instance, the latest
        store read counts as a message, since nobody there could send one.

        Parameters
        ----------
        zones : iterable of str
            Zones of the configuration; zones from which a message came are
            added.
        now_s : float
            Time.

        Returns
        -------
        dict of str to float
            Seconds by zone; 0 for the own zone. Infinite for a listed zone
            from which no message came, and for one that is not listed if no
            store read is known either. Before the first
            `set_listed_zones` every zone counts as listed.
        """
        names = set(zones) | set(self._last_message_s) | {self._zone}
        return {name: self._age_s(name, now_s) for name in sorted(names)}

    def _age_s(self, zone: str, now_s: float) -> float:
        if zone == self._zone:
            return 0
        age_s = now_s - self._last_message_s.get(zone, -math.inf)
        listed = self._listed_zones
        if listed is not None and zone not in listed:
            return min(age_s, self.store_age_s(now_s))
        return age_s
