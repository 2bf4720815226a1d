"""Placement of shards on instances by rendezvous hashing.

References
----------
D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6 (1998).
"""

from collections.abc import Iterator
from typing import Final, NamedTuple

import xxhash

from siskinproxy.balancer.snapshot import Member
from siskinproxy.operators.configuration import (
    TARGETS_PER_SHARD,
    Configuration,
    Service,
    Target,
)

__all__ = (
    'HOME_COUNT',
    'ShardKey',
    'View',
    'ViewHistory',
    'shard_count',
    'shard_of_flow',
    'targets_of_shard',
)

#: Two instances that fail within a second leave one home.
HOME_COUNT: Final = 3

#: Earlier views are kept for flows that have not been copied yet.
MAX_VIEWS: Final = 8


class ShardKey(NamedTuple):
    """Part of a service for which one instance makes the decisions."""

    service: str
    index: int


def shard_count(service: Service) -> int:
    """Return the number of shards of a service."""
    return max(1, -(-len(service.targets) // TARGETS_PER_SHARD))


def shard_of_flow(service: str, flow_key: bytes, count: int) -> ShardKey:
    """Return the shard that a flow belongs to.

    Parameters
    ----------
    service : str
        Name of the service.
    flow_key : bytes
        The 12 bytes of the caller's and the listener's address and port.
    count : int
        Number of shards of the service.

    Returns
    -------
    ShardKey
        The shard; the same for all packets of the flow.
    """
    if count == 1:
        return ShardKey(service, 0)
    return ShardKey(service, xxhash.xxh3_64_intdigest(flow_key) % count)


def targets_of_shard(service: Service, index: int) -> tuple[Target, ...]:
    """Return the targets for which the owner of a shard decides."""
    by_name = sorted(service.targets, key=lambda target: target.name)
    return tuple(by_name[index :: shard_count(service)])


class View:
    """Members that can be homes, and the shard count of each service.

    Parameters
    ----------
    members : tuple of Member
        All members of the region.
    configuration : Configuration
        Configuration in force; instances in zones that are out of service
        are no homes.
    """

    __slots__ = ('_homes', '_single_shards', 'members', 'shard_counts')

    def __init__(
        self,
        members: tuple[Member, ...],
        configuration: Configuration,
    ) -> None:
        out = {zone.name for zone in configuration.zones if not zone.in_service}
        eligible = [
            member
            for member in members
            if member.status == 'alive' and member.zone not in out
        ]
        self.members = tuple(sorted(eligible, key=lambda home: home.name))
        self.shard_counts = {
            service.name: shard_count(service)
            for service in configuration.services
        }
        # Most services have one shard, which is looked up for each new flow
        # several times.
        self._single_shards = {
            name: ShardKey(name, 0)
            for name, count in self.shard_counts.items()
            if count == 1
        }
        self._homes: dict[ShardKey, tuple[Member, ...]] = {}

    def __eq__(self, other: object) -> bool:
        """Compare members by name and zone, and shard counts."""
        if not isinstance(other, View):
            return NotImplemented
        return self._identity() == other._identity()

    def __hash__(self) -> int:
        """Return the hash of what `__eq__` compares."""
        return hash(self._identity())

    def shards(self) -> Iterator[ShardKey]:
        """Iterate over all shards of all services."""
        for service, count in self.shard_counts.items():
            for index in range(count):
                yield ShardKey(service, index)

    def shard_of(self, service: str, flow_key: bytes) -> ShardKey:
        """Return the shard of a flow under this view's shard counts."""
        single = self._single_shards.get(service)
        if single is not None:
            return single
        count = self.shard_counts.get(service, 1)
        return shard_of_flow(service, flow_key, count)

    def homes(self, shard: ShardKey) -> tuple[Member, ...]:
        """Return up to three homes of a shard, the owner first."""
        homes = self._homes.get(shard)
        if homes is None:
            homes = self._rank(shard)
            self._homes[shard] = homes
        return homes

    def _identity(self) -> tuple[object, ...]:
        names = tuple((home.name, home.zone) for home in self.members)
        return names, tuple(sorted(self.shard_counts.items()))

    def _rank(self, shard: ShardKey) -> tuple[Member, ...]:
        salt = f'{shard.service}/{shard.index}/'.encode()
        ranked = sorted(
            self.members,
            key=lambda home: xxhash.xxh3_64_intdigest(
                salt + home.name.encode()
            ),
            reverse=True,
        )
        chosen: list[Member] = []
        zones: set[str] = set()
        for member in ranked:
            if member.zone not in zones and len(chosen) < HOME_COUNT:
                chosen.append(member)
                zones.add(member.zone)
        for spare in ranked:
            if len(chosen) < HOME_COUNT and spare not in chosen:
                chosen.append(spare)
        return tuple(chosen)


class ViewHistory:
    """Current and earlier views, newest first.

    Parameters
    ----------
    retention_s : float
        Time for which a replaced view is kept, in seconds.
    """

    __slots__ = ('_retention_s', '_replaced_s', '_views')

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._views: list[View] = []
        self._replaced_s: list[float] = []

    @property
    def has_views(self) -> bool:
        """Whether a view was pushed."""
        return bool(self._views)

    @property
    def current(self) -> View:
        """The newest view."""
        return self._views[0]

    @property
    def earlier(self) -> list[View]:
        """Replaced views that are still in use, newest first."""
        return self._views[1:]

    def push(self, view: View, now_s: float) -> bool:
        """Make a view the current one.

        Parameters
        ----------
        view : View
            The new view.
        now_s : float
            Time in seconds.

        Returns
        -------
        bool
            False if the view equals the current one.
        """
        if self._views and self._views[0] == view:
            return False
        if self._views:
            self._replaced_s.insert(0, now_s)
        self._views.insert(0, view)
        del self._views[MAX_VIEWS:]
        del self._replaced_s[MAX_VIEWS - 1 :]
        return True

    def expire(self, now_s: float) -> None:
        """Drop views that were replaced longer ago than the retention."""
        while self._replaced_s:
            if now_s - self._replaced_s[-1] < self._retention_s:
                return
            self._replaced_s.pop()
            self._views.pop()
