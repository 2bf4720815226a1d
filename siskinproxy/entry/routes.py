"""Routes of the configuration in force."""

import zlib
from itertools import accumulate
from typing import Final

import msgspec

from siskinproxy.entry.records import (
    OperatorConfiguration,
    RouteRecord,
    ServiceRecord,
)

__all__ = ('ActiveRoute', 'RouteTable')

_HASH_RANGE: Final = 2**32


class ActiveRoute(msgspec.Struct, frozen=True):
    """A route and the services that its open flows may belong to.

    Parameters
    ----------
    record : RouteRecord
        The route.
    thresholds : tuple of float
        Upper bounds of the shares of `record`, rising to 1.
    services : frozenset of str
        Services that the route names or named in an earlier version. Open
        flows stay where they are when a configuration moves a route.
    """

    record: RouteRecord
    thresholds: tuple[float, ...]
    services: frozenset[str]

    def service_of(self, flow: bytes) -> str:
        """Return the service of a new flow.

        The choice depends on the flow alone, so each copy of an opening
        packet gets the same service at every instance.

        Parameters
        ----------
        flow : bytes
            Addresses and ports of the flow.

        Returns
        -------
        str
            Name of the service.
        """
        shares = self.record.shares
        if len(shares) == 1:
            return shares[0].service
        position = zlib.crc32(flow) / _HASH_RANGE
        for threshold, share in zip(self.thresholds, shares, strict=True):
            if position < threshold:
                return share.service
        return shares[-1].service


class RouteTable:
    """Routes of the newest configuration.

    Attributes
    ----------
    version : int
        Version in force; 0 before the first configuration.
    services : dict of str to ServiceRecord
        Services by name.
    idle_timeout_s : float
        Time after which an idle flow may be discarded, in seconds.
    """

    def __init__(self) -> None:
        self.version = 0
        self.services: dict[str, ServiceRecord] = {}
        self.idle_timeout_s: float = 0
        self._routes: dict[bytes, ActiveRoute] = {}
        self._dropped: dict[bytes, tuple[float, ActiveRoute]] = {}

    def __len__(self) -> int:
        """Return the number of routes in force."""
        return len(self._routes)

    def find(self, destination: bytes) -> ActiveRoute | None:
        """Return the route of a destination address and port."""
        return self._routes.get(destination)

    def find_dropped(
        self, destination: bytes, since_s: float
    ) -> ActiveRoute | None:
        """Return a route that was dropped after a time.

        Parameters
        ----------
        destination : bytes
            Address and port.
        since_s : float
            Routes dropped before this time are not returned.

        Returns
        -------
        ActiveRoute or None
            The route as it was.
        """
        dropped_s, route = self._dropped.get(destination, (0, None))
        return route if dropped_s >= since_s else None

    def apply(self, cfg: OperatorConfiguration, now_s: float) -> bool:
        """Put a configuration in force unless it is older.

        Parameters
        ----------
        cfg : OperatorConfiguration
            Configuration.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            False if the version in force is the same or newer.
        """
        if cfg.version <= self.version:
            return False
        earlier = self._routes
        self._routes = {
            record.destination: _activate(
                record, earlier.get(record.destination)
            )
            for record in cfg.routes
        }
        for destination, route in earlier.items():
            if destination not in self._routes:
                self._dropped[destination] = (now_s, route)
        for destination in self._routes:
            self._dropped.pop(destination, None)
        self.version = cfg.version
        self.services = {each.name: each for each in cfg.services}
        self.idle_timeout_s = cfg.idle_timeout_s
        return True


def _activate(record: RouteRecord, earlier: ActiveRoute | None) -> ActiveRoute:
    total = sum(share.weight for share in record.shares) or 1
    sums = accumulate(share.weight for share in record.shares)
    services = frozenset(share.service for share in record.shares)
    if earlier is not None:
        services |= earlier.services
    thresholds = tuple(partial / total for partial in sums)
    return ActiveRoute(record, thresholds, services)
