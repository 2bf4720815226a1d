"""Routes of the configuration in force, by destination address and port."""

import zlib
from collections.abc import Iterator
from itertools import accumulate
from typing import Final

import msgspec

from siskinproxy.entry.records import (
    OperatorConfiguration,
    PartKind,
    RouteRecord,
    ServiceRecord,
    TargetRecord,
)

__all__ = ('ActiveRoute', 'RouteTable')

_HASH_RANGE: Final = 2**32


class ActiveRoute(msgspec.Struct, frozen=True):
    """A route and the services that its open flows may belong to.

    Parameters
    ----------
    record : RouteRecord
        Route as configured.
    thresholds : tuple of float
        Cumulative weights of the shares of `record`, normalized to 1.
    services : frozenset of str
        Services of the route in this or an earlier configuration. A change of
        the route affects new flows only; open flows keep their service.
    """

    record: RouteRecord
    thresholds: tuple[float, ...]
    services: frozenset[str]

    def service_of(self, flow: bytes) -> str:
        """Return the service of a new flow.

        The service is selected by a hash of the flow, weighted by the shares
        of the route, so that all instances select the same service for each
        transmission of an opening packet.

        Parameters
        ----------
        flow : bytes
            Source and destination address and port of the flow.

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
    """Routes and services of the latest configuration.

    Attributes
    ----------
    version : int
        Version of the configuration; 0 before the first one.
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
        self._removed: dict[bytes, tuple[float, ActiveRoute]] = {}

    def __len__(self) -> int:
        """Return the number of routes in force."""
        return len(self._routes)

    def warmup_s_of(self, target: TargetRecord) -> float:
        """Return the warm-up time of a target's service, in seconds."""
        service = self.services.get(target.service)
        return 0 if service is None else service.warmup_s

    def records(self) -> Iterator[RouteRecord]:
        """Yield the routes in force as configured."""
        for route in self._routes.values():
            yield route.record

    def find(self, destination: bytes) -> ActiveRoute | None:
        """Return the route of a destination, None if there is none.

        Parameters
        ----------
        destination : bytes
            Address and port, 6 bytes in network order.

        Returns
        -------
        ActiveRoute or None
            Route in force.
        """
        return self._routes.get(destination)

    def find_removed(
        self, destination: bytes, since_s: float
    ) -> ActiveRoute | None:
        """Return a route that a configuration has removed recently.

        Parameters
        ----------
        destination : bytes
            Address and port, 6 bytes in network order.
        since_s : float
            Earliest time of the removal, in seconds.

        Returns
        -------
        ActiveRoute or None
            Route before its removal; None if no route of the destination was
            removed at or after `since_s`.
        """
        removed_s, route = self._removed.get(destination, (0, None))
        return route if removed_s >= since_s else None

    def apply(self, cfg: OperatorConfiguration, now_s: float) -> bool:
        """Put a configuration in force if it is newer than the current one.

        Routes, services and limits that are unusable in it stay as they are.

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
        for kept in self._routes_to_keep(cfg, earlier):
            self._routes.setdefault(kept.record.destination, kept)
        for destination, route in earlier.items():
            if destination not in self._routes:
                self._removed[destination] = (now_s, route)
        for destination in self._routes:
            self._removed.pop(destination, None)
        self.version = cfg.version
        self._apply_services(cfg)
        if not cfg.rejected(PartKind.LIMITS):
            self.idle_timeout_s = cfg.idle_timeout_s
        return True

    def _routes_to_keep(
        self, cfg: OperatorConfiguration, earlier: dict[bytes, ActiveRoute]
    ) -> list[ActiveRoute]:
        """Return the routes that stay in force as last configured.

        These are the routes whose new form is unusable.
        """
        rejected = cfg.rejected(PartKind.ROUTE)
        names = {fault.name for fault in rejected if fault.name}
        names -= {record.name for record in cfg.routes}
        destinations = {fault.destination for fault in rejected}
        return [
            route
            for destination, route in earlier.items()
            if destination in destinations or route.record.name in names
        ]

    def _apply_services(self, cfg: OperatorConfiguration) -> None:
        kept = {
            fault.name: self.services[fault.name]
            for fault in cfg.rejected(PartKind.SERVICE)
            if fault.name in self.services
        }
        self.services = kept | {each.name: each for each in cfg.services}


def _activate(record: RouteRecord, earlier: ActiveRoute | None) -> ActiveRoute:
    total = sum(share.weight for share in record.shares) or 1
    sums = accumulate(share.weight for share in record.shares)
    services = frozenset(share.service for share in record.shares)
    if earlier is not None:
        services |= earlier.services
    thresholds = tuple(partial / total for partial in sums)
    return ActiveRoute(record, thresholds, services)
