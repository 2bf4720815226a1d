"""Decides whether an open flow's target has ended, from evidence and times.

The evidence, its weight and what else could explain it are in
docs/design/ended-targets.md. Whenever the target may live, the flow stays
open: a reset of a flow whose target lives breaks a rule of the platform.
"""

import enum
from typing import Final

import msgspec

from siskinproxy.entry.directory import Presence
from siskinproxy.entry.records import RequestKind

__all__ = (
    'NEVER_S',
    'Decision',
    'EndedLimits',
    'FlowEvidence',
    'Reason',
    'Silence',
    'TargetEvidence',
    'decide',
)

#: Stands for a time of something that has not happened.
NEVER_S: Final = -1.0
#: Kinds of requests that callers repeat after a reset.
IDEMPOTENT: Final = frozenset((RequestKind.SAFE, RequestKind.DOWNLOAD))


class Reason(enum.Enum):
    """Why a flow is reset, or stays open."""

    REMOVED = 'removed'
    ADDRESS_REUSED = 'address_reused'
    RESTARTED = 'restarted'
    NOT_RETURNED = 'not_returned'
    CHECKS_REFUSED = 'checks_refused'
    SILENT = 'silent'

    NO_EVIDENCE = 'no_evidence'
    ANSWERED = 'answered'
    RELAPSED = 'relapsed'
    LAPSED = 'lapsed'
    DRAINING = 'draining'
    NOT_SUSPECTED = 'not_suspected'
    TOO_EARLY = 'too_early'
    NOT_WAITING = 'not_waiting'
    NOT_IDEMPOTENT = 'not_idempotent'
    ALL_SILENT = 'all_silent'


class EndedLimits(msgspec.Struct, frozen=True):
    """Thresholds of the decision.

    Parameters
    ----------
    suspected_s : float
        Time for which a target has to be suspected before the removal of its
        entry, or refused checks, count, in seconds.
    silent_s : float
        The same for a target that is listed and whose checks time out, in
        seconds; also the time for which a flow has to wait.
    unchecked_s : float
        The same at an instance that does not check the target itself, in
        seconds.
    failed_checks : int
        Failed checks that have to follow each other.
    relapse_s : float
        Time after an answer in which a new suspicion does not count, in
        seconds.
    clock_margin_s : float
        Largest difference of clocks, in seconds.
    learned_s : float
        Age of a start above which it does not count, in seconds.
    objectives : float
        Multiple of the latency objective for which a flow has to wait.
    """

    suspected_s: float = 1.0
    silent_s: float = 2.0
    unchecked_s: float = 3.0
    failed_checks: int = 2
    relapse_s: float = 5.0
    clock_margin_s: float = 1.0
    learned_s: float = 2.0
    objectives: float = 2.0


class Silence(msgspec.Struct, frozen=True):
    """Suspicion of a target by two witnesses; times in seconds, -1 for never.

    Parameters
    ----------
    since_s : float
        Start of the suspicion.
    cleared_s : float
        End of the previous suspicion.
    answered_s : float
        Last answer to an opening or a check.
    failed_checks : int
        Failed checks of this instance in a row.
    is_refused : bool
        Whether the target's host refused the last one.
    """

    since_s: float
    cleared_s: float = NEVER_S
    answered_s: float = NEVER_S
    failed_checks: int = 0
    is_refused: bool = False


class TargetEvidence(msgspec.Struct, frozen=True):
    """What an instance knows of a target; times in seconds, -1 for never.

    Parameters
    ----------
    presence : Presence
        State of its entry.
    is_draining : bool
        Whether it announced that it leaves.
    has_lapsed : bool
        Whether its entry went missing while the store may have been away.
    silence : Silence or None
        Suspicion; None if it is not suspected, or was not when it left.
    heard_s : float
        Last time at which a caller acknowledged new data of it here.
    reused_s : float
        Time at which another target announced its address.
    restarted_s : float
        Start of its present incarnation, if it is not the first one.
    others_heard_s : float
        Last time at which any other target was heard.
    paused_s : float
        Last end of a pause of this process; suspicions count from then on.
    """

    presence: Presence = Presence.LISTED
    is_draining: bool = False
    has_lapsed: bool = False
    silence: Silence | None = None
    heard_s: float = NEVER_S
    reused_s: float = NEVER_S
    restarted_s: float = NEVER_S
    others_heard_s: float = NEVER_S
    paused_s: float = NEVER_S

    def silent_for_s(self, now_s: float) -> float:
        """Return for how long the suspicion counts, in seconds."""
        if self.silence is None:
            return 0
        return now_s - max(self.silence.since_s, self.paused_s)


class FlowEvidence(msgspec.Struct, frozen=True):
    """A flow towards the target; times in seconds, -1 for unknown.

    Parameters
    ----------
    kind : RequestKind
        Kind of the requests of its route.
    objective_s : float
        Latency objective of its route.
    opened_s : float
        Time at which its opening was last sent.
    waits_since_s : float
        Time since which a request waits without any answer.
    heard_s : float
        Last time at which its caller acknowledged new data.
    """

    kind: RequestKind
    objective_s: float = 0
    opened_s: float = NEVER_S
    waits_since_s: float = NEVER_S
    heard_s: float = NEVER_S


class Decision(msgspec.Struct, frozen=True):
    """Whether to reset a flow.

    Parameters
    ----------
    is_reset : bool
        Whether to reset it now.
    reason : Reason
        Evidence, or why it does not suffice.
    since_s : float
        Time of the evidence, in seconds.
    """

    is_reset: bool
    reason: Reason
    since_s: float = 0


def decide(
    target: TargetEvidence,
    flow: FlowEvidence,
    limits: EndedLimits,
    now_s: float,
) -> Decision:
    """Return whether to reset an open flow.

    Parameters
    ----------
    target : TargetEvidence
        What is known of the target.
    flow : FlowEvidence
        Flow.
    limits : EndedLimits
        Thresholds.
    now_s : float
        Current time in seconds.

    Returns
    -------
    Decision
        Reset with its evidence, or the reason to keep the flow open.
    """
    if target.reused_s >= 0 and target.presence is not Presence.LISTED:
        return Decision(True, Reason.ADDRESS_REUSED, target.reused_s)
    if _is_of_earlier_start(target, flow, limits):
        return Decision(True, Reason.RESTARTED, target.restarted_s)
    if target.is_draining:
        return Decision(False, Reason.DRAINING)
    doubt = _doubt(target, limits, now_s)
    if doubt is not None:
        return Decision(False, doubt)
    if target.presence is Presence.LISTED:
        return _decide_listed(target, flow, limits, now_s)
    return _decide_absent(target, flow, limits, now_s)


def _is_of_earlier_start(
    target: TargetEvidence, flow: FlowEvidence, limits: EndedLimits
) -> bool:
    if target.restarted_s < 0 or flow.opened_s < 0:
        return False
    last_s = max(flow.opened_s, flow.heard_s)
    return last_s < target.restarted_s - limits.clock_margin_s


def _doubt(
    target: TargetEvidence, limits: EndedLimits, now_s: float
) -> Reason | None:
    """Return why the silence of a target does not suffice, None if it does."""
    silence = target.silence
    if silence is None:
        is_listed = target.presence is Presence.LISTED
        return Reason.NO_EVIDENCE if is_listed else Reason.NOT_SUSPECTED
    if max(target.heard_s, silence.answered_s) >= silence.since_s:
        return Reason.ANSWERED
    is_relapse = silence.cleared_s >= 0 and (
        silence.since_s - silence.cleared_s < limits.relapse_s
    )
    if is_relapse:
        return Reason.RELAPSED
    if target.silent_for_s(now_s) < limits.suspected_s:
        return Reason.TOO_EARLY
    return None


def _decide_absent(
    target: TargetEvidence,
    flow: FlowEvidence,
    limits: EndedLimits,
    now_s: float,
) -> Decision:
    if target.presence is Presence.LAPSED:
        return Decision(False, Reason.LAPSED)
    if not target.has_lapsed:
        return Decision(True, Reason.REMOVED, target.silence.since_s)
    return _if_likely(
        Reason.NOT_RETURNED, target, flow, limits.suspected_s, now_s
    )


def _decide_listed(
    target: TargetEvidence,
    flow: FlowEvidence,
    limits: EndedLimits,
    now_s: float,
) -> Decision:
    silence = target.silence
    if target.others_heard_s < silence.since_s:
        return Decision(False, Reason.ALL_SILENT)
    has_failed_checks = silence.failed_checks >= limits.failed_checks
    if silence.is_refused and has_failed_checks:
        return _if_likely(
            Reason.CHECKS_REFUSED, target, flow, limits.suspected_s, now_s
        )
    least_s = limits.silent_s if has_failed_checks else limits.unchecked_s
    if target.silent_for_s(now_s) < least_s:
        return Decision(False, Reason.TOO_EARLY)
    wait_s = max(limits.silent_s, limits.objectives * flow.objective_s)
    return _if_likely(Reason.SILENT, target, flow, wait_s, now_s)


def _if_likely(
    reason: Reason,
    target: TargetEvidence,
    flow: FlowEvidence,
    wait_s: float,
    now_s: float,
) -> Decision:
    """Reset an idempotent flow that has waited for long enough."""
    if flow.kind not in IDEMPOTENT:
        return Decision(False, Reason.NOT_IDEMPOTENT)
    if flow.waits_since_s < 0 or now_s - flow.waits_since_s < wait_s:
        return Decision(False, Reason.NOT_WAITING)
    return Decision(True, reason, target.silence.since_s)
