"""Choice of whom an instance asks for changes of the store.

Answers the load on the store, whose rates grow more slowly than the fleet: in
each zone one instance watches the store, and the others watch that instance.
An instance whose source is stale, silent or gone asks the next one.
"""

import random
import zlib
from collections.abc import Sequence
from typing import Final

import msgspec

from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord

__all__ = ('STORE', 'Source', 'SourceLimits', 'SourceSelector')


class Source(msgspec.Struct, frozen=True):
    """Whom to ask.

    Parameters
    ----------
    instance : InstanceRecord or None
        Instance to ask; None for the store itself.
    """

    instance: InstanceRecord | None = None

    @property
    def name(self) -> str:
        """Name for logs."""
        return 'store' if self.instance is None else self.instance.name


#: The store itself.
STORE: Final = Source()


class SourceLimits(msgspec.Struct, frozen=True):
    """Limits of the choice.

    Parameters
    ----------
    avoid_s : float
        Time for which a source that failed or was stale is avoided, in
        seconds.
    avoid_store_s : float
        The same for the store, which may return at any time, in seconds.
    zone_attempts : int
        Instances of the own zone that are tried before the store is asked.
    """

    avoid_s: float = 4.0
    avoid_store_s: float = 1.0
    zone_attempts: int = 2


class SourceSelector:
    """Chooses a source by a ranking that all instances of a zone share.

    Parameters
    ----------
    own : InstanceRecord
        This instance.
    instances : InstanceDirectory
        Registered instances.
    rng : random.Random
        Source of the choice among instances of other zones.
    seeds : sequence of InstanceRecord
        Instances of the settings, which are asked as long as no others are
        known: one that starts while the store turns it away.
    limits : SourceLimits
        Limits.
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
        self._avoided: dict[str, float] = {}

    def choose(self, now_s: float) -> Source:
        """Return whom to ask next.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        Source
            The first of the zone's ranking that is not avoided. The store, if
            that is this instance; another zone's instance, if the store is
            avoided as well.
        """
        for record in self._ranked_before_own()[: self._limits.zone_attempts]:
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

    def note_failed(self, source: Source, now_s: float) -> None:
        """Avoid a source for a while."""
        limits = self._limits
        is_store = source.instance is None
        avoid_s = limits.avoid_store_s if is_store else limits.avoid_s
        self._avoided[source.name] = now_s + avoid_s

    def note_answered(self, source: Source) -> None:
        """Use a source again at once."""
        self._avoided.pop(source.name, None)

    def _is_avoided(self, name: str, now_s: float) -> bool:
        return self._avoided.get(name, 0) > now_s

    def _ranked_before_own(self) -> Sequence[InstanceRecord]:
        """Return the instances of the own zone that watch before this one."""
        members = self._instances.in_zone(self._own.zone)
        own_rank = _rank(self._own)
        before = [member for member in members if _rank(member) < own_rank]
        return sorted(before, key=_rank)


def _rank(record: InstanceRecord) -> tuple[float, int, str]:
    """Order that all instances of a zone share, the widest links first.

    The first one sends each change to all others of its zone.
    """
    number = zlib.crc32(record.name.encode())
    return -record.link_mbps, number, record.name
