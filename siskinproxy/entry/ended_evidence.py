"""Collects the evidence on targets that have ended.

It comes from the directory, which reports the changes of entries, from the
suspicions that the instances of a zone share, and from the packets of callers
that acknowledge data of targets.
"""

from collections.abc import Callable
from typing import Final

from siskinproxy.entry.directory import KnownTarget, Presence, TargetChange
from siskinproxy.entry.ended_targets import (
    NEVER_S,
    Decision,
    EndedLimits,
    FlowEvidence,
    Silence,
    TargetEvidence,
    decide,
)
from siskinproxy.entry.records import Address, TargetRecord
from siskinproxy.entry.responsiveness import Responsiveness

__all__ = ('EndedEvidence',)

_MS_PER_S: Final = 1000


class _Notes:
    """What is remembered of a target; times in seconds, -1 for never."""

    __slots__ = ('has_lapsed', 'restarted_s', 'reused_s', 'silence')

    def __init__(self) -> None:
        self.has_lapsed = False
        self.restarted_s = NEVER_S
        self.reused_s = NEVER_S
        self.silence: Silence | None = None


class EndedEvidence:
    """Collects the evidence on targets that have ended.

    Parameters
    ----------
    responsiveness : Responsiveness
        Suspicions shared in the zone.
    unix_clock : callable
        Returns the wall-clock time in seconds.
    limits : EndedLimits or None
        Thresholds; None for the defaults.

    Attributes
    ----------
    has_news : bool
        Whether evidence has come in since this was last set to False.
    """

    def __init__(
        self,
        responsiveness: Responsiveness,
        unix_clock: Callable[[], float],
        limits: EndedLimits | None = None,
    ) -> None:
        self.has_news = False
        self._responsiveness = responsiveness
        self._unix_clock = unix_clock
        self._limits = limits or EndedLimits()
        self._notes: dict[KnownTarget, _Notes] = {}
        self._heard_s: dict[KnownTarget, float] = {}
        #: Target that started last of those announced at each address.
        self._owners: dict[Address, KnownTarget] = {}
        self._last_heard: tuple[KnownTarget | None, float] = (None, NEVER_S)
        self._others_heard_s = NEVER_S
        self._paused_s = NEVER_S

    def note_heard(self, target: KnownTarget, now_s: float) -> None:
        """Record that a caller has acknowledged new data of a target."""
        self._heard_s[target] = now_s
        if self._last_heard[0] is not target:
            self._others_heard_s = self._last_heard[1]
        self._last_heard = (target, now_s)

    def note_progress(
        self,
        target: KnownTarget,
        established_s: float,
        since_s: float,
        now_s: float,
    ) -> None:
        """Record new data on a flow that has got data of its target before.

        Parameters
        ----------
        target : KnownTarget
            Target of the flow.
        established_s : float
            Time of the caller's first packet on the flow, in seconds.
        since_s : float
            Time of the caller's packet before, in seconds.
        now_s : float
            Current time in seconds.
        """
        self.note_heard(target, now_s)
        self._responsiveness.note_progress(
            target, established_s, since_s, now_s
        )

    def note_paused(self, now_s: float) -> None:
        """Let suspicions count only from now on, after a pause."""
        self._paused_s = now_s

    def on_change(
        self,
        target: KnownTarget,
        change: TargetChange,
        earlier: TargetRecord,
        now_s: float,
    ) -> None:
        """Take over a change of the directory (`TargetDirectory.on_change`).

        Parameters
        ----------
        target : KnownTarget
            Changed target.
        change : TargetChange
            Kind of change.
        earlier : TargetRecord
            Its record before the change.
        now_s : float
            Current time in seconds.
        """
        if change is TargetChange.GONE or change is TargetChange.LAPSED:
            self._note_absent(target, change, now_s)
        elif change is TargetChange.RESTARTED:
            self._note_restarted(target, earlier, now_s)
        else:
            self._drop_absence(target)
        if target.presence is Presence.LISTED:
            self._note_owner(target, now_s)

    def is_clear(self, target: KnownTarget) -> bool:
        """Return whether nothing is known against a target."""
        return target not in self._notes and (
            not self._responsiveness.is_suspected(target)
        )

    def decide(
        self, target: KnownTarget, flow: FlowEvidence, now_s: float
    ) -> Decision:
        """Return whether to reset an open flow of a target.

        Parameters
        ----------
        target : KnownTarget
            Target of the flow.
        flow : FlowEvidence
            Flow.
        now_s : float
            Current time in seconds.
        """
        return decide(self._evidence(target), flow, self._limits, now_s)

    def forget(self, known: frozenset[KnownTarget]) -> None:
        """Delete what is remembered of targets other than these."""
        for notes in (self._notes, self._heard_s):
            for target in notes.keys() - known:
                del notes[target]
        for address, owner in tuple(self._owners.items()):
            if owner not in known:
                del self._owners[address]

    def _note_absent(
        self, target: KnownTarget, change: TargetChange, now_s: float
    ) -> None:
        notes = self._notes.setdefault(target, _Notes())
        # The suspicion is kept here: it is deleted once the target is gone.
        notes.silence = self._silence(target)
        if change is TargetChange.LAPSED:
            notes.has_lapsed = True
        self._note_reuse(target, notes, now_s)
        self.has_news = True

    def _drop_absence(self, target: KnownTarget) -> None:
        """Drop the evidence of the time in which the entry was missing."""
        earlier = self._notes.pop(target, None)
        if earlier is not None and earlier.restarted_s >= 0:
            notes = _Notes()
            notes.restarted_s = earlier.restarted_s
            self._notes[target] = notes

    def _note_restarted(
        self, target: KnownTarget, earlier: TargetRecord, now_s: float
    ) -> None:
        notes = _Notes()
        self._notes[target] = notes
        started_s = target.record.started_unix_ms / _MS_PER_S
        age_s = self._unix_clock() - started_s
        is_later = 0 < earlier.started_unix_ms < target.record.started_unix_ms
        if is_later and 0 <= age_s <= self._limits.learned_s:
            notes.restarted_s = now_s - age_s
            self.has_news = True

    def _note_owner(self, owner: KnownTarget, now_s: float) -> None:
        """Note the absent targets whose address now has a later owner."""
        address = owner.record.address
        known = self._owners.get(address)
        if known is None or not _is_later(known, owner):
            self._owners[address] = owner
        for target, notes in self._notes.items():
            if target.record.address == address:
                self._note_reuse(target, notes, now_s)

    def _note_reuse(
        self, target: KnownTarget, notes: _Notes, now_s: float
    ) -> None:
        """Note whether the address of an absent target has a later owner.

        The owner may be announced before the entry of the target expires. It
        then answers the checks meant for the target, which ends a suspicion.
        """
        owner = self._owners.get(target.record.address)
        if owner is None or target.presence is Presence.LISTED:
            return
        if owner.presence is Presence.LISTED and _is_later(owner, target):
            notes.reused_s = now_s
            self.has_news = True

    def _evidence(self, target: KnownTarget) -> TargetEvidence:
        notes = self._notes.get(target) or _Notes()
        silence = notes.silence
        if target.presence is not Presence.GONE:
            silence = self._silence(target)
        is_last = self._last_heard[0] is target
        return TargetEvidence(
            presence=target.presence,
            is_draining=target.record.is_draining,
            has_lapsed=notes.has_lapsed,
            silence=silence,
            heard_s=self._heard_s.get(target, NEVER_S),
            reused_s=notes.reused_s,
            restarted_s=notes.restarted_s,
            others_heard_s=self._others_heard_s
            if is_last
            else self._last_heard[1],
            paused_s=self._paused_s,
        )

    def _silence(self, target: KnownTarget) -> Silence | None:
        state = self._responsiveness.state_of(target)
        if state is None or not state.is_suspected:
            return None
        return Silence(
            state.suspected_s,
            state.cleared_s,
            state.answered_s,
            state.failed_checks,
            state.is_refused,
        )


def _is_later(target: KnownTarget, other: KnownTarget) -> bool:
    """Return whether a target is another one that started later."""
    earlier_ms = other.record.started_unix_ms
    return (
        target is not other and 0 < earlier_ms < target.record.started_unix_ms
    )
