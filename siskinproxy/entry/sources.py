"""Selection of the source from which an instance gets changes of the store.

The store limits its calls, and these limits grow more slowly than the number
of instances. In each zone therefore one instance watches the store and relays
its changes to the others. An instance asks the next one in the ranking if its
source is stale, does not answer or has left.

A source that does not answer has probably failed, so the next one takes its
place. A stale source has lost the store itself: then it is likely that the store
turns away this instance as well, so only the first few of a zone keep asking it.
"""

import random
import zlib
from collections.abc import Sequence
from typing import Final

import msgspec

from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord

__all__ = ('STORE', 'Source', 'SourceLimits', 'SourceSelector')


class Source(msgspec.Struct, frozen=True):
    """Store or instance that is asked for changes.

    Parameters
    ----------
    instance : InstanceRecord or None
        Instance to ask; None for the store itself.
    wait_share : float
        Share of the usual wait for changes after which the source should
        answer. Below 1 if instances of this zone in turn ask this one, so that
        what they learn is not stale.
    """

    instance: InstanceRecord | None = None
    wait_share: float = 1

    @property
    def name(self) -> str:
        """Name in log events: that of the instance, or ``store``."""
        return 'store' if self.instance is None else self.instance.name


#: The store itself as a source.
STORE: Final = Source()


class SourceLimits(msgspec.Struct, frozen=True):
    """Limits of the source selection.

    Parameters
    ----------
    avoid_s : float
        Time for which an instance that failed is not asked again, in seconds.
    avoid_stale_s : float
        Time for which a stale instance is not asked again, in seconds; shorter,
        since it may reach the store again at any time.
    avoid_store_s : float
        Time for which the store is not asked again after a failure, in
        seconds; shorter, since it may be available again at any time.
    zone_attempts : int
        Instances of the same zone that are tried before the store is asked.
        As many below the first one keep asking the store while it is away.
    relayed_wait_share : float
        Share of the usual wait for changes after which an instance of another
        zone should answer.
    """

    avoid_s: float = 4.0
    avoid_stale_s: float = 1.0
    avoid_store_s: float = 1.0
    zone_attempts: int = 2
    relayed_wait_share: float = 0.25


class SourceSelector:
    """Selects a source by a ranking that all instances of a zone share.

    The instance that ranks first asks the store; each other one asks the first
    instance that ranks above it and has not failed lately, or the store after
    `SourceLimits.zone_attempts` failures, or if all above it have failed.

    Parameters
    ----------
    own : InstanceRecord
        This instance.
    instances : InstanceDirectory
        Registered instances.
    rng : random.Random
        Random generator for the choice among instances of other zones.
    seeds : sequence of InstanceRecord
        Instances named in the settings. They are asked while no registered
        instance is known, so that an instance can start while the store
        refuses its calls.
    limits : SourceLimits or None
        Limits of the selection; None for the defaults.
    """

    def __init__(
        self,
        own: InstanceRecord,
        instances: InstanceDirectory,
        rng: random.Random,
        seeds: Sequence[InstanceRecord] = (),
        limits: SourceLimits | None = None,
    ) -> None:
        self._own = own
        self._instances = instances
        self._rng = rng
        self._seeds = tuple(
            seed for seed in seeds if seed.address != own.address
        )
        self._limits = limits or SourceLimits()
        self._avoided_until_s: dict[str, float] = {}
        #: Stale instances; those that are avoided otherwise have failed.
        self._stale: set[str] = set()
        #: Failures of instances since the store was considered last.
        self._failures = 0
        #: Failures and stale answers of instances since the last fresh answer
        #: or call of the store.
        self._setbacks = 0
        #: Time at which this instance may ask the store although its sources
        #: have lost it, in seconds; None while they have not.
        self._turn_s: float | None = None

    def choose(self, now_s: float) -> Source:
        """Return the source to ask next.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        Source
            The highest-ranked of the first `SourceLimits.zone_attempts`
            instances that rank above this one in its zone and have not failed;
            else the store; else an instance of another zone that reads the
            store for it; else a random one of all registered instances, or of
            the seeds if no instance is registered. Sources that failed or were
            stale lately are skipped; after as many failures and stale answers
            in succession, all that were stale. If all of them were, the store.
        """
        limits = self._limits
        above = [
            record
            for record in self._ranked_above_own()
            if record.name in self._stale
            or not self._is_avoided(record.name, now_s)
        ]
        is_lead = len(above) <= limits.zone_attempts
        if self._failures < limits.zone_attempts:
            for upper in above[: limits.zone_attempts]:
                if self._may_ask(upper, now_s):
                    if upper.name not in self._stale:
                        self._turn_s = None
                    return Source(upper)
        may_ask_store = (
            is_lead
            or self._failures >= limits.zone_attempts
            or self._is_own_turn(now_s)
        )
        self._failures = 0
        if may_ask_store and not self._is_avoided(STORE.name, now_s):
            self._setbacks = 0
            return STORE
        return self._choose_other(now_s, is_lead=is_lead)

    def _may_ask(self, upper: InstanceRecord, now_s: float) -> bool:
        """Return whether to ask an instance that ranks above this one.

        One that was stale may have failed since. After setbacks there is no
        time to find out before a change has to be known.
        """
        if self._is_avoided(upper.name, now_s):
            return False
        has_setbacks = self._setbacks >= self._limits.zone_attempts
        return not (has_setbacks and upper.name in self._stale)

    def _choose_other(self, now_s: float, *, is_lead: bool) -> Source:
        """Return an instance of any zone; the store if all are avoided."""
        registered = tuple(self._instances.registered())
        own = self._own
        others = [
            other
            for other in registered or self._seeds
            if other.name != own.name
            and not self._is_avoided(other.name, now_s)
        ]
        if not others:
            return STORE
        if is_lead:
            # Only these ask the readers, which could not serve all instances.
            # Any other instance of a zone is a wait for changes behind them.
            readers = self._readers_of_other_zones(registered)
            others = [each for each in others if each in readers] or others
        fresh = [each for each in others if each.name not in self._stale]
        others = fresh or others
        chosen = self._rng.choice(others)
        is_relayed = bool(registered) and chosen.zone != own.zone
        share = self._limits.relayed_wait_share if is_relayed else 1
        return Source(chosen, share)

    def _is_own_turn(self, now_s: float) -> bool:
        """Return whether this instance may ask the store out of its rank.

        The turns are spread so that all instances of a zone together ask as
        often as those that rank first. One of them may be the only one that the
        store serves.
        """
        limits = self._limits
        if self._turn_s is None:
            size = len(self._instances.in_zone(self._own.zone))
            longest_s = limits.avoid_store_s * size / (limits.zone_attempts + 1)
            self._turn_s = now_s + self._rng.uniform(0, 2 * longest_s)
        return now_s >= self._turn_s

    def _readers_of_other_zones(
        self, registered: Sequence[InstanceRecord]
    ) -> set[InstanceRecord]:
        """Return the instance that ranks first in each other zone."""
        readers: dict[str, InstanceRecord] = {}
        for each in registered:
            first = readers.get(each.zone)
            if first is None or _rank(each) < _rank(first):
                readers[each.zone] = each
        readers.pop(self._own.zone, None)
        return set(readers.values())

    @property
    def is_reader(self) -> bool:
        """Whether this instance ranks first in its zone."""
        return not self._ranked_above_own()

    def note_failed(self, source: Source, now_s: float) -> None:
        """Skip a source that failed, for the time of `SourceLimits`."""
        limits = self._limits
        self._stale.discard(source.name)
        if source.instance is None:
            self._turn_s = None
            self._avoid(source, now_s + limits.avoid_store_s)
        else:
            self._failures += 1
            self._setbacks += 1
            self._avoid(source, now_s + limits.avoid_s)

    def note_stale(self, source: Source, now_s: float) -> None:
        """Skip a source that has lost the store, for a shorter time."""
        self._failures = 0
        self._setbacks += 1
        self._stale.add(source.name)
        self._avoid(source, now_s + self._limits.avoid_stale_s)

    def note_answered(self, source: Source) -> None:
        """Allow a source again, since its answer was not stale."""
        self._failures = 0
        self._setbacks = 0
        self._stale.discard(source.name)
        self._avoided_until_s.pop(source.name, None)

    def _avoid(self, source: Source, until_s: float) -> None:
        self._avoided_until_s[source.name] = until_s

    def _is_avoided(self, name: str, now_s: float) -> bool:
        return self._avoided_until_s.get(name, 0) > now_s

    def _ranked_above_own(self) -> Sequence[InstanceRecord]:
        """Return the instances of the same zone that rank above this one."""
        members = self._instances.in_zone(self._own.zone)
        own_rank = _rank(self._own)
        before = [member for member in members if _rank(member) < own_rank]
        return sorted(before, key=_rank)


def _rank(record: InstanceRecord) -> tuple[float, int, str]:
    """Return the sort key of an instance, equal on all instances of a zone.

    Instances with more bandwidth come first, since the first one sends each
    change to all others of its zone. A checksum of the name orders instances
    with equal bandwidth, the name those with equal checksums.
    """
    number = zlib.crc32(record.name.encode())
    return -record.link_mbps, number, record.name
