"""Selection of the members to probe, and the probes in progress.

A member that does not answer a probe in time is probed once more through
other members, the helpers, before it is suspected.
"""

import random
from collections.abc import Iterable
from typing import Final, NamedTuple

from siskinproxy.instances.gossip import Record
from siskinproxy.instances.member_table import MemberEntry

__all__ = ('Address', 'PendingProbes', 'Probe', 'ProbeOrder', 'successor_of')

#: IPv4 address and UDP port of a control process.
Address = tuple[str, int]

#: Smallest share of the probes that go to a zone, however few members it has.
#: With one probe every 200 ms a zone is probed at least every 2 s.
MIN_ZONE_SHARE: Final = 0.1

#: Time without an answer after which helpers are asked to probe the member.
DIRECT_TIMEOUT_S: Final = 0.3

#: Time since the first probe after which it has failed, unless the member
#: answered or a helper passed its answer on.
PROBE_TIMEOUT_S: Final = 0.45


class ProbeOrder:
    """Selects the next member to probe.

    Zones take turns by smooth weighted round robin, weighted by their numbers
    of members. Within a zone the order is random, and each member is probed
    once before any is probed again.

    Parameters
    ----------
    rng : random.Random
        Source of the random order within a zone.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credit: dict[str, float] = {}
        self._queues: dict[str, list[str]] = {}

    def select(self, entries: Iterable[MemberEntry]) -> MemberEntry | None:
        """Return the member to probe next, or None if there is none."""
        zones: dict[str, dict[str, MemberEntry]] = {}
        for entry in entries:
            record = entry.record
            zones.setdefault(record.zone, {})[record.name] = entry
        if not zones:
            return None
        zone = self._select_zone(zones)
        return self._select_member(zone, zones[zone])

    def _select_zone(self, zones: dict[str, dict[str, MemberEntry]]) -> str:
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

    def _select_member(
        self, zone: str, members: dict[str, MemberEntry]
    ) -> MemberEntry:
        queue = self._queues.setdefault(zone, [])
        while queue:
            entry = members.get(queue.pop())
            if entry is not None:
                return entry
        queue.extend(sorted(members))
        self._rng.shuffle(queue)
        return members[queue.pop()]


class Probe(NamedTuple):
    """Probe that was sent and not answered yet.

    Parameters
    ----------
    record : Record
        Record of the probed member when the probe was sent.
    sent_s : float
        Time of the probe in seconds.
    requester : tuple of str and int, or None
        Address of the member on whose behalf this instance probes; None for
        an own probe.
    requester_sequence : int
        Sequence number of the requester's probe.
    """

    record: Record
    sent_s: float
    requester: Address | None = None
    requester_sequence: int = 0


class PendingProbes:
    """Probes in progress by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._probes: dict[int, Probe] = {}
        self._sent_indirect: set[int] = set()

    def add(self, probe: Probe) -> int:
        """Register a probe and return its sequence number."""
        self._sequence = (self._sequence + 1) % (1 << 32)
        self._probes[self._sequence] = probe
        return self._sequence

    def answer(self, sequence: int, subject: str) -> Probe | None:
        """Remove and return the probe that a member answered.

        Parameters
        ----------
        sequence : int
            Sequence number in the answer.
        subject : str
            Name of the member that is alive according to the answer.

        Returns
        -------
        Probe or None
            None if no such probe of this member is in progress.
        """
        probe = self._probes.get(sequence)
        if probe is None or probe.record.name != subject:
            return None
        self._discard(sequence)
        return probe

    def due_for_indirect(self, now_s: float) -> list[tuple[int, Probe]]:
        """Return the own probes that helpers have to repeat.

        Each probe is returned once, with its sequence number, after
        `DIRECT_TIMEOUT_S` without an answer.
        """
        unanswered = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.requester is None
            and now_s - probe.sent_s >= DIRECT_TIMEOUT_S
            and sequence not in self._sent_indirect
        ]
        self._sent_indirect.update(sequence for sequence, _ in unanswered)
        return unanswered

    def failed(self, now_s: float) -> list[Probe]:
        """Remove all probes that timed out and return the own ones.

        Those on behalf of others are only removed: their requester decides.
        """
        expired = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if now_s - probe.sent_s >= PROBE_TIMEOUT_S
        ]
        for sequence, _ in expired:
            self._discard(sequence)
        return [probe for _, probe in expired if probe.requester is None]

    def clear(self) -> None:
        """Discard all probes, after a pause of this process."""
        self._probes.clear()
        self._sent_indirect.clear()

    def _discard(self, sequence: int) -> None:
        self._probes.pop(sequence)
        self._sent_indirect.discard(sequence)


def successor_of(
    name: str, entries: Iterable[MemberEntry]
) -> MemberEntry | None:
    """Return the member that follows `name` in the order of the names.

    The first name follows the last. Every member is the successor of exactly
    one other, so probing it at a fixed interval bounds the time until a
    failure is noticed, which a random order alone does not.
    """
    ordered = sorted(entries, key=_entry_name)
    for entry in ordered:
        if entry.record.name > name:
            return entry
    return ordered[0] if ordered else None


def _entry_name(entry: MemberEntry) -> str:
    return entry.record.name
