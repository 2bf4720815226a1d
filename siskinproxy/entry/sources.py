"""Selection of the source from which an instance gets changes of the store.

The store limits its calls, and these limits grow more slowly than the number
of instances. In each zone therefore one instance watches the store and relays
its changes to the others. An instance asks the next one in the ranking if its
source is stale, does not answer or has left.
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
    """

    instance: InstanceRecord | None = None

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
        Time for which an instance that failed or was stale is not asked
        again, in seconds.
    avoid_store_s : float
        Time for which the store is not asked again after a failure, in
        seconds; shorter, since it may be available again at any time.
    zone_attempts : int
        Instances of the same zone that are tried before the store is asked.
    """

    avoid_s: float = 4.0
    avoid_store_s: float = 1.0
    zone_attempts: int = 2


class SourceSelector:
    """Selects a source by a ranking that all instances of a zone share.

    The instance that ranks first asks the store; each other one asks the first
    instance that ranks above it and has not failed lately, or the store if
    `SourceLimits.zone_attempts` instances, or all above it, have failed.

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
            instances that rank above this one in its zone; else the store;
            else a random one of all registered instances, or of the seeds if
            no instance is registered. Sources that failed lately are skipped.
            If all of them failed lately, the store.
        """
        for record in self._ranked_above_own()[: self._limits.zone_attempts]:
            if not self._is_avoided(record.name, now_s):
                return Source(record)
        if not self._is_avoided(STORE.name, now_s):
            return STORE
        known = tuple(self._instances.registered()) or self._seeds
        others = [
            other
            for other in known
            if other.name != self._own.name
            and not self._is_avoided(other.name, now_s)
        ]
        return Source(self._rng.choice(others)) if others else STORE

    @property
    def is_reader(self) -> bool:
        """Whether this instance ranks first in its zone."""
        return not self._ranked_above_own()

    def note_failed(self, source: Source, now_s: float) -> None:
        """Skip a source that failed, for the time of `SourceLimits`."""
        limits = self._limits
        is_store = source.instance is None
        avoid_s = limits.avoid_store_s if is_store else limits.avoid_s
        self._avoided_until_s[source.name] = now_s + avoid_s

    def note_answered(self, source: Source) -> None:
        """Allow a source again, since it has answered."""
        self._avoided_until_s.pop(source.name, None)

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
