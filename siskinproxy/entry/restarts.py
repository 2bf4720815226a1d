"""Targets whose process has ended, and may have been started again.

A target may start again under its id. Its new process is cold, but until it has
written its entry, which it can't while the store is away, the entry in the store
is still that of the earlier process. A host that refuses connections shows that
the process has ended, so whatever answers there later is a new one:

- From the refusal on, the target counts as cold.
- From its first answer on, it counts as cold for the warm-up of its service.

Only instances of the target's zone find out, since a cut between zones may refuse
connections as well. They tell the instances of all zones, which may not have
noticed the end: the limit on the flows of cold targets holds for all instances
together. An entry with a later start replaces all that is known here.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.evidence import Finding
from siskinproxy.entry.records import TargetRecord

__all__ = ('ENDED_MEMORY_S', 'EventSink', 'RestartWatch')

#: Time for which a target counts as cold after the last refusal if nothing is
#: heard of it any more, in seconds; refusals are repeated more often.
ENDED_MEMORY_S: Final = 10.0
#: Time in which several instances see the first answer of the same process, in
#: seconds; less than a process takes to end and to start.
_SAME_RETURN_S: Final = 0.5
#: Added to the warm-up, for differences between the instances, in seconds.
_WARMUP_MARGIN_S: Final = 0.2


class EventSink(Protocol):
    """Log of what is known of targets."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log an event with its key-value pairs."""


class _Process(msgspec.Struct):
    """What is known of the process of a target; times in seconds, -1 if never.

    `started_unix_ms` is that of the entry, `ended_s` the time of the last
    refusal, `returned_s` that of the first answer after one.
    """

    started_unix_ms: int
    ended_s: float = -1
    returned_s: float = -1

    @property
    def is_ended(self) -> bool:
        """Whether no answer has come since the last refusal."""
        return self.ended_s > self.returned_s


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

    def note_refused(self, target: KnownTarget, now_s: float) -> None:
        """Record that the host of a target has refused a connection."""
        self._outgoing[target.name, Finding.ENDED] = now_s
        self._end(target, now_s, 'own check')

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
        if not process.is_ended or answered_s <= process.ended_s:
            return
        if not source:
            self._outgoing[target.name, Finding.RETURNED] = answered_s
        self._return(target, answered_s, source or 'own')

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
            ``ENDED`` or ``RETURNED``.
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
        if found_s <= max(process.ended_s, returned_s):
            return
        if relays:
            self._outgoing[target.name, finding] = found_s
        if finding is Finding.RETURNED:
            self._return(target, found_s, source)
        else:
            self._end(target, found_s, source)

    def forget(self, name: str) -> None:
        """Delete what is known of the target with this name."""
        self._processes.pop(name, None)

    def _process_of(self, target: KnownTarget) -> _Process:
        started = target.record.started_unix_ms
        process = self._processes.get(target.name)
        if process is None or process.started_unix_ms != started:
            process = _Process(started)
            self._processes[target.name] = process
        return process

    def _end(self, target: KnownTarget, ended_s: float, source: str) -> None:
        process = self._process_of(target)
        is_first = not process.is_ended
        process.ended_s = ended_s
        target.unproven_until_s = ended_s + ENDED_MEMORY_S
        if is_first:
            self._report('target_process_ended', target, source)

    def _return(
        self, target: KnownTarget, answered_s: float, source: str
    ) -> None:
        self._process_of(target).returned_s = answered_s
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
        )

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
