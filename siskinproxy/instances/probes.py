"""Order of the probes and the probes in progress."""

import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from siskinproxy.instances.gossip import Record
from siskinproxy.instances.member_table import Entry

__all__ = ('Address', 'PendingProbes', 'Probe', 'ProbeOrder', 'successor_of')

Address = tuple[str, int]

#: Least share of the probes that go to a zone, however few members it has:
#: with a probe each 200 ms, a zone is then visited at least every 2 s.
MIN_ZONE_SHARE: Final = 0.1

#: A probe is repeated through helpers after this time.
DIRECT_TIMEOUT_S: Final = 0.3

#: A probe that no helper confirmed by then has failed.
PROBE_TIMEOUT_S: Final = 0.45


class ProbeOrder:
    """Selects the next member to probe.

    Zones are visited in turn by smooth weighted round robin; within a zone
    each member is probed once before any is probed again.

    Parameters
    ----------
    rng : random.Random
        Source of the order within a zone.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credit: dict[str, float] = {}
        self._queues: dict[str, list[str]] = {}

    def select(self, entries: Iterable[Entry]) -> Entry | None:
        """Return the member to probe next, or None without members."""
        zones: dict[str, dict[str, Entry]] = {}
        for entry in entries:
            record = entry.record
            zones.setdefault(record.zone, {})[record.name] = entry
        if not zones:
            return None
        zone = self._select_zone(zones)
        return self._select_member(zone, zones[zone])

    def _select_zone(self, zones: dict[str, dict[str, Entry]]) -> str:
        total = sum(len(members) for members in zones.values())
        weights = {
            zone: max(len(members) / total, MIN_ZONE_SHARE)
            for zone, members in sorted(zones.items())
        }
        self._credit = {
            zone: self._credit.get(zone, 0) + weight
            for zone, weight in weights.items()
        }
        zone = max(self._credit, key=self._credit.__getitem__)
        self._credit[zone] -= sum(weights.values())
        return zone

    def _select_member(self, zone: str, members: dict[str, Entry]) -> Entry:
        queue = self._queues.setdefault(zone, [])
        while queue:
            entry = members.get(queue.pop())
            if entry is not None:
                return entry
        queue.extend(sorted(members))
        self._rng.shuffle(queue)
        return members[queue.pop()]


class Probe(NamedTuple):
    """Probe that has not been answered.

    Parameters
    ----------
    record : Record
        The member as it was when the probe was sent.
    sent_s : float
        Time of the probe.
    asker : tuple of str and int, or None
        Address of the member that asked for an indirect probe.
    asker_sequence : int
        Sequence number of the asker's probe.
    """

    record: Record
    sent_s: float
    asker: Address | None = None
    asker_sequence: int = 0


class PendingProbes:
    """Probes in progress by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._delegated: set[int] = set()

    def add(self, probe: Probe) -> int:
        """Register a probe and return its sequence number."""
        self._sequence = (self._sequence + 1) % (1 << 32)
        self._probes[self._sequence] = probe
        return self._sequence

    def answer(self, sequence: int, subject: str) -> Probe | None:
        """Remove and return the probe that `subject` answered."""
        probe = self._probes.get(sequence)
        if probe is None or probe.record.name != subject:
            return None
        self._discard(sequence)
        return probe

    def to_delegate(self, now_s: float) -> list[tuple[int, Probe]]:
        """Return, once, each own probe that helpers have to repeat."""
        late = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.asker is None
            and now_s - probe.sent_s >= DIRECT_TIMEOUT_S
            and sequence not in self._delegated
        ]
        self._delegated.update(sequence for sequence, _ in late)
        return late

    def failed(self, now_s: float) -> list[Probe]:
        """Remove and return the own probes that nobody confirmed."""
        expired = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if now_s - probe.sent_s >= PROBE_TIMEOUT_S
        ]
        for sequence, _ in expired:
            self._discard(sequence)
        return [probe for _, probe in expired if probe.asker is None]

    def clear(self) -> None:
        """Forget all probes, after this instance was paused."""
        self._probes.clear()
        self._delegated.clear()

    def _discard(self, sequence: int) -> None:
        self._probes.pop(sequence)
        self._delegated.discard(sequence)


def successor_of(name: str, entries: Iterable[Entry]) -> Entry | None:
    """Return the member that follows `name` in the circular name order.

    Every member is the successor of exactly one other, so probing it at a
    fixed interval bounds the time until a failure is noticed, which a random
    order alone does not.
    """
    ordered = sorted(entries, key=_name_of)
    for entry in ordered:
        if entry.record.name > name:
            return entry
    return ordered[0] if ordered else None


def _name_of(entry: Entry) -> str:
    return entry.record.name
