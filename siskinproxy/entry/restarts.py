"""Targets whose process has ended, or may have, and may have started again.

A target may start again under its id. Its new process is cold, but until it has
written its entry, which it can't while the store is away, the entry in the store
is still that of the earlier process. What an instance sees of the host decides:

===================================  =========================================
evidence                             process that answers afterwards
===================================  =========================================
connection refused (``ENDED``)       a new one
host silent, or connection reset     unknown: the host may have lost power, but
while others answer (``LOST``)       also have been frozen or cut off
entry with a later start             a new one; its entry tells whether it is
                                     cold
progress of a flow that was open     the earlier one (``SAME``): a new process
before                               does not hold that flow
all targets of a zone lost at once,  the earlier ones: the zone was cut off
and one of them is the same
entry that stays in the store for    the earlier one: the store would have
longer than without heartbeats       removed it
===================================  =========================================

A target with a new or unknown process counts as cold: from the end of the
earlier one, and from the first answer on for the warm-up of its service.

Only instances of the target's zone find out, since a cut between zones may
refuse or hold up connections as well. They tell the instances of all zones, which
may not have noticed the end: the limit on the flows of cold targets holds for all
instances together. Instances that start meanwhile ask others what they know.
"""

from collections.abc import Callable, Collection, Iterator
from typing import Any, Final, Protocol

import msgspec

from siskinproxy.entry.directory import KnownTarget, Presence
from siskinproxy.entry.evidence import Finding
from siskinproxy.entry.records import TargetRecord

__all__ = ('ENDED_MEMORY_S', 'EventSink', 'RestartWatch')

#: Time for which a target counts as cold after the last refusal, or the last
#: check of a silent host, if nothing is heard of it any more, in seconds; checks
#: are repeated more often.
ENDED_MEMORY_S: Final = 10.0
#: Time in which several instances see the first answer of the same process, in
#: seconds; less than a process takes to end and to start.
_SAME_RETURN_S: Final = 0.5
#: Time in which the checks of several targets show a common cause, in seconds.
_COMMON_CAUSE_S: Final = 1.0
#: Time for which a caller may take to acknowledge what it got before a silence,
#: since it was paused itself, in seconds.
_LATE_CALLER_S: Final = 0.5
#: Added to the warm-up, for differences between the instances, in seconds.
_WARMUP_MARGIN_S: Final = 0.2


class EventSink(Protocol):
    """Log of what is known of targets."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log an event with its key-value pairs."""


class _Process(msgspec.Struct):
    """What is known of the process of a target; times in seconds, -1 if never.

    `started_unix_ms` is that of the entry, `ended_s` the time of the last
    refusal, `lost_since_s` and `lost_s` those of the first and the last check of
    its silent host since it was last warm, `returned_s` that of the first answer
    after one of these.
    """

    started_unix_ms: int
    target: KnownTarget
    ended_s: float = -1
    lost_since_s: float = -1
    lost_s: float = -1
    returned_s: float = -1

    @property
    def gone_s(self) -> float:
        """Latest time at which the process had ended or may have."""
        return max(self.ended_s, self.lost_s)

    @property
    def has_ended(self) -> bool:
        """Whether a refusal has shown that the process ended."""
        return self.ended_s >= 0

    @property
    def is_away(self) -> bool:
        """Whether no answer has come since then."""
        return self.gone_s > self.returned_s


class RestartWatch:
    """Lets targets count as cold that may have started again.

    Parameters
    ----------
    warmup_s_of : callable or None
        Returns the warm-up time of the service of a target, in seconds; None
        if targets have none.
    events : EventSink or None
        Log; None for no log.
    """

    def __init__(
        self,
        warmup_s_of: Callable[[TargetRecord], float] | None = None,
        events: EventSink | None = None,
    ) -> None:
        self._warmup_s_of = warmup_s_of
        self._events = events
        self._processes: dict[str, _Process] = {}
        self._outgoing: dict[tuple[str, Finding], float] = {}

    @property
    def has_news(self) -> bool:
        """Whether findings wait to be sent to other instances."""
        return bool(self._outgoing)

    def take_findings(self) -> dict[tuple[str, Finding], float]:
        """Return and clear the findings to send, by target, with their times."""
        taken = self._outgoing
        self._outgoing = {}
        return taken

    def list_unproven(
        self, now_s: float
    ) -> Iterator[tuple[KnownTarget, Finding, float]]:
        """Yield all that holds now, with its time, for an instance that starts.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        for process in self._processes.values():
            if now_s >= process.target.unproven_until_s:
                continue
            times_s = (
                (Finding.ENDED, process.ended_s),
                (Finding.LOST, process.lost_s),
            )
            for finding, found_s in times_s:
                if found_s >= 0:
                    yield process.target, finding, found_s
            if not process.is_away:
                yield process.target, Finding.RETURNED, process.returned_s

    def note_refused(self, target: KnownTarget, now_s: float) -> None:
        """Record that the host of a target has refused a connection."""
        self._outgoing[target.name, Finding.ENDED] = now_s
        self._leave(target, Finding.ENDED, now_s, 'own check')

    def note_lost(self, target: KnownTarget, sent_s: float) -> None:
        """Record a check that shows a silent host, or broke off.

        Parameters
        ----------
        target : KnownTarget
            Target.
        sent_s : float
            Start of the check, in seconds.
        """
        process = self._processes.get(target.name)
        if process is not None and sent_s <= process.returned_s:
            return
        self._outgoing[target.name, Finding.LOST] = sent_s
        self._leave(target, Finding.LOST, sent_s, 'own check')

    def note_answered(
        self, target: KnownTarget, answered_s: float, source: str = ''
    ) -> None:
        """Record an answer of a target.

        Parameters
        ----------
        target : KnownTarget
            Target.
        answered_s : float
            Time of the answer, in seconds.
        source : str
            Instance that got the answer; empty for this one, which then tells
            the others.
        """
        if target.name not in self._processes:
            return
        process = self._process_of(target)
        if not process.is_away or answered_s <= process.gone_s:
            return
        if not source:
            self._outgoing[target.name, Finding.RETURNED] = answered_s
        self._return(target, answered_s, source or 'own')

    def note_progress(
        self,
        target: KnownTarget,
        established_s: float,
        since_s: float,
        now_s: float,
    ) -> float | None:
        """Record that a flow of a target makes progress.

        Parameters
        ----------
        target : KnownTarget
            Target of the flow.
        established_s : float
            Time of the caller's first packet on the flow, in seconds.
        since_s : float
            Time of the caller's packet before, in seconds: the target has sent
            the data that the caller acknowledges now since then.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Time at which the target was lost, if this shows that its process is
            still the same, in seconds.
        """
        process = self._processes.get(target.name)
        if process is None or now_s >= target.unproven_until_s:
            return None
        lost_s = process.lost_since_s
        if process.has_ended or not 0 <= established_s < lost_s:
            return None
        if since_s <= max(process.lost_s, lost_s + _LATE_CALLER_S):
            return None
        self._outgoing[target.name, Finding.SAME] = now_s
        self._prove(target, now_s, 'own flow')
        return lost_s

    def note_common_cause(
        self, others: Collection[KnownTarget], lost_s: float, now_s: float
    ) -> None:
        """Apply that a target is the same to those that were lost with it.

        Parameters
        ----------
        others : collection of KnownTarget
            All other targets of the zone; nothing is done unless all were lost.
        lost_s : float
            Time at which the first target was lost, in seconds.
        now_s : float
            Current time in seconds.
        """
        for target in others:
            process = self._processes.get(target.name)
            if process is None or process.has_ended or process.lost_since_s < 0:
                return
            if abs(process.lost_since_s - lost_s) > _COMMON_CAUSE_S:
                return
        for target in others:
            self._outgoing[target.name, Finding.SAME] = now_s
            self._prove(target, now_s, 'zone')

    def note_listed(
        self, now_s: float, since_s: float, confirmed_s: float, silence_s: float
    ) -> None:
        """Record which entries the store still holds.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        since_s : float
            Time since which the store has been in touch without a gap, in
            seconds.
        confirmed_s : float
            Latest time at which it confirmed the entries, in seconds.
        silence_s : float
            Time without heartbeats after which it removes an entry, in seconds.
        """
        for process in tuple(self._processes.values()):
            target = process.target
            if process.is_away or now_s >= target.unproven_until_s:
                continue
            listed_s = confirmed_s - max(since_s, process.returned_s)
            is_listed = target.presence is Presence.LISTED
            if is_listed and listed_s > silence_s:
                self._prove(target, now_s, 'entry')

    def hear(
        self,
        target: KnownTarget,
        finding: Finding,
        found_s: float,
        source: str,
        *,
        relays: bool,
    ) -> None:
        """Apply a finding of another instance.

        Parameters
        ----------
        target : KnownTarget
            Target.
        finding : Finding
            ``ENDED``, ``LOST``, ``RETURNED`` or ``SAME``.
        found_s : float
            Time of the finding, in seconds.
        source : str
            Name of the other instance.
        relays : bool
            Whether this instance passes it on to those of its zone.
        """
        process = self._process_of(target)
        returned_s = process.returned_s
        if finding is Finding.RETURNED:
            returned_s += _SAME_RETURN_S
        if finding is Finding.SAME:
            returned_s = process.gone_s
        if found_s <= max(process.gone_s, returned_s):
            return
        if relays:
            self._outgoing[target.name, finding] = found_s
        if finding is Finding.RETURNED:
            self._return(target, found_s, source)
        elif finding is Finding.SAME:
            self._prove(target, found_s, source)
        else:
            self._leave(target, finding, found_s, source)

    def forget(self, name: str) -> None:
        """Delete what is known of the target with this name."""
        self._processes.pop(name, None)

    def _process_of(self, target: KnownTarget) -> _Process:
        started = target.record.started_unix_ms
        process = self._processes.get(target.name)
        if process is None or process.started_unix_ms != started:
            process = _Process(started, target)
            self._processes[target.name] = process
        return process

    def _leave(
        self, target: KnownTarget, finding: Finding, found_s: float, source: str
    ) -> None:
        process = self._process_of(target)
        was_away = process.is_away
        if finding is Finding.ENDED:
            is_first = not was_away or process.ended_s <= process.returned_s
            process.ended_s = found_s
            name = 'target_process_ended'
        else:
            is_first = not was_away
            if found_s >= target.unproven_until_s:
                process.ended_s = -1
                process.lost_since_s = found_s
            elif process.lost_since_s < 0:
                process.lost_since_s = found_s
            process.lost_s = max(process.lost_s, found_s)
            name = 'target_process_lost'
        target.unproven_until_s = process.gone_s + ENDED_MEMORY_S
        if is_first:
            self._report(name, target, source)

    def _return(
        self, target: KnownTarget, answered_s: float, source: str
    ) -> None:
        process = self._process_of(target)
        is_new = process.ended_s > process.returned_s
        process.returned_s = answered_s
        warmup_s: float = 0
        if self._warmup_s_of is not None:
            warmup_s = self._warmup_s_of(target.record)
        target.unproven_until_s = (
            answered_s + warmup_s + _WARMUP_MARGIN_S if warmup_s > 0 else 0
        )
        self._report(
            'target_process_returned',
            target,
            source,
            cold_ms=round(1000 * warmup_s),
            is_new=is_new,
        )

    def _prove(self, target: KnownTarget, found_s: float, source: str) -> None:
        """Let a target count as warm whose process is the earlier one."""
        process = self._process_of(target)
        process.ended_s = -1
        process.lost_since_s = -1
        process.lost_s = -1
        process.returned_s = found_s
        if target.unproven_until_s:
            target.unproven_until_s = 0
            self._report('target_process_same', target, source)

    def _report(
        self, name: str, target: KnownTarget, source: str, **pairs: Any
    ) -> None:
        if self._events is not None:
            self._events.event(
                name,
                target=target.name,
                started_unix_ms=target.record.started_unix_ms,
                by=source,
                **pairs,
            )
