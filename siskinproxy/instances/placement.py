"""Placement of shards on instances by rendezvous hashing.

A shard is a part of a service: up to `MAX_TARGETS_PER_SHARD` of its targets and
the flows that are assigned to them. Its homes are the instances that keep the
entries of these flows; the first home is the owner, which selects the targets.

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
    MAX_TARGETS_PER_SHARD,
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

#: Homes of a shard. If two of three fail within a second, one is left with the
#: entries of the flows.
HOME_COUNT: Final = 3

#: Largest number of views that are kept, the current one included. Earlier ones
#: serve to find flows that have not been copied to their new homes yet.
MAX_VIEWS: Final = 8


class ShardKey(NamedTuple):
    """Name of a service and index of one of its shards."""

    service: str
    index: int


def shard_count(service: Service) -> int:
    """Return the number of shards of a service."""
    return max(1, -(-len(service.targets) // MAX_TARGETS_PER_SHARD))


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
        The shard; the same for all packets of the flow as long as `count`
        stays the same.
    """
    if count == 1:
        return ShardKey(service, 0)
    return ShardKey(service, xxhash.xxh3_64_intdigest(flow_key) % count)


def targets_of_shard(service: Service, index: int) -> tuple[Target, ...]:
    """Return the targets that the owner of a shard selects from."""
    by_name = sorted(service.targets, key=lambda target: target.name)
    return tuple(by_name[index :: shard_count(service)])


class View:
    """Assignment of the shards to homes for one set of members.

    Parameters
    ----------
    members : tuple of Member
        All members of the region. Only those that are alive become homes.
    configuration : Configuration
        Configuration in force; instances in zones that are out of service
        do not become homes.
    earlier : View, optional
        View that this one replaces. Its homes are kept where the changed
        members cannot make a difference: ranking 330 members for 571 shards
        would block the packet loop for more than 0.1 s.
    """

    __slots__ = ('_homes', '_single_shards', 'members', 'shard_counts')

    def __init__(
        self,
        members: tuple[Member, ...],
        configuration: Configuration,
        earlier: 'View | None' = None,
    ) -> None:
        zones_out = {
            zone.name for zone in configuration.zones if not zone.in_service
        }
        eligible = [
            member
            for member in members
            if member.status == 'alive' and member.zone not in zones_out
        ]
        self.members = tuple(sorted(eligible, key=lambda home: home.name))
        self.shard_counts = {
            service.name: shard_count(service)
            for service in configuration.services
        }
        # Most services have one shard, which is looked up several times for
        # each new flow.
        self._single_shards = {
            name: ShardKey(name, 0)
            for name, count in self.shard_counts.items()
            if count == 1
        }
        self._homes: dict[ShardKey, tuple[Member, ...]] = {}
        if earlier is not None:
            self._keep_homes(earlier)

    def __eq__(self, other: object) -> bool:
        """Compare members by name and zone, and shard counts.

        Which members are homes depends on nothing else.
        """
        if not isinstance(other, View):
            return NotImplemented
        return self._comparison_key() == other._comparison_key()

    def __hash__(self) -> int:
        """Return the hash of what `__eq__` compares."""
        return hash(self._comparison_key())

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
        """Return up to `HOME_COUNT` homes of a shard, the owner first.

        They are in distinct zones as far as there are enough zones.
        """
        homes = self._homes.get(shard)
        if homes is None:
            homes = self._rank(shard)
            self._homes[shard] = homes
        return homes

    def _comparison_key(self) -> tuple[object, ...]:
        names = tuple((home.name, home.zone) for home in self.members)
        return names, tuple(sorted(self.shard_counts.items()))

    def _keep_homes(self, earlier: 'View') -> None:
        """Copy the homes that a full ranking would select again.

        A home that is gone or has another zone, and a new member that ranks
        higher than a home, make a full ranking necessary.
        """
        members = {home.name: home for home in self.members}
        before = {home.name: home.zone for home in earlier.members}
        added = [
            home for home in self.members if before.get(home.name) != home.zone
        ]
        for shard, homes in earlier.known_homes().items():
            kept = tuple(
                members[home.name]
                for home in homes
                if home.name in members and members[home.name].zone == home.zone
            )
            if _is_complete(kept) and not _is_outranked(shard, kept, added):
                self._homes[shard] = kept

    def known_homes(self) -> dict[ShardKey, tuple[Member, ...]]:
        """Return the homes of the shards for which they are known so far."""
        return self._homes

    def _rank(self, shard: ShardKey) -> tuple[Member, ...]:
        prefix = _hash_prefix(shard)
        ranked = sorted(
            self.members,
            key=lambda home: _score(prefix, home),
            reverse=True,
        )
        selected: list[Member] = []
        zones: set[str] = set()
        for member in ranked:
            if member.zone not in zones and len(selected) < HOME_COUNT:
                selected.append(member)
                zones.add(member.zone)
        for remaining in ranked:
            if len(selected) < HOME_COUNT and remaining not in selected:
                selected.append(remaining)
        return tuple(selected)


def _hash_prefix(shard: ShardKey) -> bytes:
    return f'{shard.service}/{shard.index}/'.encode()


def _score(prefix: bytes, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(prefix + member.name.encode())


def _is_complete(homes: tuple[Member, ...]) -> bool:
    """Tell whether there are `HOME_COUNT` homes in distinct zones.

    Then the rank alone decides whether another member replaces one of them.
    With fewer zones, a member of a further zone replaces a home even if that
    ranks higher.
    """
    return len({home.zone for home in homes}) == HOME_COUNT


def _is_outranked(
    shard: ShardKey, homes: tuple[Member, ...], added: list[Member]
) -> bool:
    prefix = _hash_prefix(shard)
    lowest = _score(prefix, homes[-1])
    return any(_score(prefix, member) >= lowest for member in added)


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
        """Whether there is a current view."""
        return bool(self._views)

    @property
    def current(self) -> View:
        """The newest view; IndexError if there is none."""
        return self._views[0]

    @property
    def earlier(self) -> list[View]:
        """Replaced views that are still kept, newest first."""
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
            False if the view equals the current one, which then stays.
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
        """Remove views that were replaced at least the retention time ago."""
        while self._replaced_s:
            if now_s - self._replaced_s[-1] < self._retention_s:
                return
            self._replaced_s.pop()
            self._views.pop()
