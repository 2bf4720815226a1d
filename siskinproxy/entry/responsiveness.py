"""Detection of targets that do not answer, by the instances of a zone.

The answers of targets do not pass through the instances, and the host of a
target that has ended resets each caller at once. An instance that learned only
from its own openings would lose several requests at each dead target, and the
loss would grow with the number of instances. Instances of one availability
zone therefore share what they find out:

- An opening that is not answered raises a doubt. The target is passed over for
  `ResponsivenessLimits.doubt_s`, and the instance that the hash of the target
  selects checks it over TCP.
- Two witnesses, that is two instances of which each had an unanswered opening
  or a failed check, make the target suspected. It gets no new flows.
- Checks are repeated while it is suspected. One that is answered ends the
  suspicion at all instances of the zone. If openings stay unanswered all the
  same, only an opening that is answered ends it; the instances that check the
  target send one as a probe from time to time.
- If two targets of a zone are suspected and none of its targets has answered
  since, all targets of the zone are checked.

The checks do not risk requests of callers, and their number does not grow with
the number of instances.
"""

from collections.abc import Callable, Iterable
from typing import Final

from siskinproxy.entry.directory import (
    KnownTarget,
    Presence,
    TargetDirectory,
)
from siskinproxy.entry.evidence import (
    PROCESS_FINDINGS,
    Evidence,
    EvidenceReport,
    Finding,
)
from siskinproxy.entry.records import TargetRecord
from siskinproxy.entry.responsiveness_state import (
    MS_PER_S,
    OWN_CHECK,
    CheckingOrder,
    CheckOutcome,
    ResponsivenessLimits,
    SuspicionChange,
    TargetState,
    build_report,
    list_changes,
)
from siskinproxy.entry.restarts import EventSink, RestartWatch

__all__ = (
    'CheckOutcome',
    'Responsiveness',
    'ResponsivenessLimits',
    'SuspicionChange',
)

#: Number of instances, in the order of their hashes, that check a target. The
#: others check it only if they have heard nothing of it for a long time.
_CHECKING_RANKS: Final = 3
#: Outcomes after which the host would reset a caller.
_BROKEN: Final = frozenset((CheckOutcome.REFUSED, CheckOutcome.RESET))
#: Outcomes after which another process may answer the next check.
_POSSIBLE_ENDS: Final = frozenset(
    (CheckOutcome.UNREACHABLE, CheckOutcome.RESET)
)
#: Time for which data of a target may be on its way to a caller, and the
#: acknowledgment on its way here, in seconds.
_IN_FLIGHT_S: Final = 0.05


class Responsiveness:
    """Set of the targets that are suspected of not answering.

    Parameters
    ----------
    limits : ResponsivenessLimits
        Thresholds of the failure detection.
    name : str
        Name of this instance. If empty, the instance neither exchanges
        evidence nor checks targets, and openings probe suspected targets.
    zone : str
        Availability zone of this instance.
    directory : TargetDirectory
        Known targets; needed for the exchange of evidence.
    warmup_s_of : callable or None
        Returns the warm-up time of a target's service, for targets that start
        again; None if targets have none.
    events : EventSink or None
        Log of targets that end and return; None for no log.
    """

    def __init__(
        self,
        limits: ResponsivenessLimits | None = None,
        name: str = '',
        zone: str = '',
        directory: TargetDirectory | None = None,
        warmup_s_of: Callable[[TargetRecord], float] | None = None,
        events: EventSink | None = None,
    ) -> None:
        self._restarts = RestartWatch(warmup_s_of, events)
        self._limits = limits or ResponsivenessLimits()
        self._name = name
        self._zone = zone
        self._directory = directory
        self._records: dict[str, TargetState] = {}
        self._order = CheckingOrder(name)
        self._outgoing: dict[tuple[str, Finding], float] = {}
        self._refreshed: dict[str, float] = {}
        self._due: set[str] = set()
        self._next_due_s: float | None = None
        self._checked_zones_s: dict[str, float] = {}
        self._peer_heard_s: float = -1
        self._refusals: dict[str, float] = {}

    def has_work(self, now_s: float) -> bool:
        """Return whether a check is due or evidence waits to be sent."""
        if self._outgoing or self._refreshed or self._restarts.has_news:
            return True
        return self._next_due_s is not None and self._next_due_s <= now_s

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of the instances of this zone, this one included."""
        self._order.set_members(names)

    def is_suspected(self, target: KnownTarget) -> bool:
        """Return whether the target is suspected of not answering."""
        record = self.state_of(target)
        return record is not None and record.is_suspected

    def is_doubted(self, target: KnownTarget, now_s: float) -> bool:
        """Return whether there is fresh evidence of one witness only."""
        record = self.state_of(target)
        return record is not None and now_s < record.doubted_until_s

    def has_answered_since(self, target: KnownTarget, sent_s: float) -> bool:
        """Return whether the target has answered any caller since a time.

        Parameters
        ----------
        target : KnownTarget
            Target.
        sent_s : float
            Start of the period, in seconds.

        Returns
        -------
        bool
            Whether an answer was seen at or after `sent_s`.
        """
        record = self.state_of(target)
        return record is not None and record.served_s >= sent_s

    def may_probe(self, target: KnownTarget, now_s: float) -> bool:
        """Return whether an opening may probe a suspected target.

        With checks, this is the last resort for a target whose checks get no
        answer for long. If its host refuses them, it would reset the caller.
        """
        record = self.state_of(target)
        return (
            record is not None
            and now_s >= record.next_probe_s
            and not record.is_refused
        )

    def note_probe(self, target: KnownTarget, now_s: float) -> None:
        """Record that an opening is sent to a suspected target as a probe."""
        record = self.state_of(target)
        if record is not None:
            record.next_probe_s = now_s + self._probe_interval_s

    def note_answered(self, target: KnownTarget, now_s: float) -> bool:
        """Record an answer of a target, which is then no longer suspected.

        Returns
        -------
        bool
            Whether the target was suspected until now.
        """
        record = self._record(target)
        record.served_s = now_s
        self._restarts.note_answered(target, now_s)
        self._confirm_refusals(record, now_s)
        if self._name and (record.is_suspected or record.witnesses):
            self._outgoing[target.name, Finding.SERVED] = now_s
        return record.clear(now_s, now_s)

    def note_progress(
        self,
        target: KnownTarget,
        established_s: float,
        since_s: float,
        now_s: float,
    ) -> None:
        """Record that a caller has acknowledged new data on an open flow.

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
        record = self._records.get(target.name)
        if record is not None and record.target is target:
            record.heard_s = now_s
            record.heard_flow_s = established_s
        lost_s = self._restarts.note_progress(
            target, established_s, since_s, now_s
        )
        if lost_s is not None and self._directory is not None:
            others = [
                each
                for each in self._directory.targets()
                if each is not target
                and each.record.zone == target.record.zone
                and each.presence is not Presence.GONE
            ]
            self._restarts.note_common_cause(others, lost_s, now_s)

    def note_peer_heard(self, now_s: float) -> None:
        """Record a datagram of another instance of this zone."""
        self._peer_heard_s = now_s

    def note_listed(
        self, now_s: float, since_s: float, confirmed_s: float, silence_s: float
    ) -> None:
        """Record that the store has confirmed its entries.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        since_s : float
            Time since which the store has been in touch, in seconds.
        confirmed_s : float
            Latest time at which it confirmed the entries, in seconds.
        silence_s : float
            Time without heartbeats after which it removes an entry, in seconds.
        """
        self._restarts.note_listed(now_s, since_s, confirmed_s, silence_s)

    def note_unanswered(
        self, target: KnownTarget, sent_s: float, now_s: float
    ) -> tuple[str, ...]:
        """Record an opening that was not answered in time.

        Parameters
        ----------
        target : KnownTarget
            Target that the opening packet was sent to.
        sent_s : float
            Time at which it was sent, in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of str
            Names of the targets that are suspected from now on.
        """
        record = self._record(target)
        if record.served_s > sent_s:
            # The target has answered other openings since; this one was lost.
            return ()
        record.unanswered += 1
        if record.is_suspected:
            return ()
        if self._name:
            self._outgoing[target.name, Finding.SILENT] = sent_s
            self._add_witness(record, self._name, sent_s, now_s)
        return self._judge(record, now_s)

    def note_check(
        self,
        target: KnownTarget,
        outcome: CheckOutcome,
        sent_s: float,
        now_s: float,
    ) -> tuple[SuspicionChange, ...]:
        """Record the outcome of a check.

        Parameters
        ----------
        target : KnownTarget
            Checked target.
        outcome : CheckOutcome
            Outcome.
        sent_s : float
            Start of the check, in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of SuspicionChange
            Targets whose state has changed.
        """
        record = self._record(target)
        if outcome is CheckOutcome.ANSWERED:
            self._restarts.note_answered(target, now_s)
            self._confirm_refusals(record, now_s)
            if not record.has_relapsed(now_s, self._limits.relapse_s):
                self._outgoing[target.name, Finding.CHECKED] = now_s
            was_suspected = self._note_checked(record, now_s, now_s)
            return list_changes(
                self._records,
                (target.name,) if was_suspected else (),
                is_suspected=False,
            )
        record.is_refused = outcome in _BROKEN
        record.failed_checks += 1
        if record.answered_s > sent_s:
            return ()
        if outcome is CheckOutcome.REFUSED:
            self._note_refused(record, now_s)
        if outcome in _POSSIBLE_ENDS and self._may_have_ended(record, sent_s):
            record.lost_s = sent_s
        if record.is_suspected:
            self._note_lost(record, sent_s)
            self._refreshed[target.name] = sent_s
            self._schedule_repeat(record, now_s)
            return ()
        self._outgoing[target.name, Finding.SILENT] = sent_s
        self._add_witness(record, OWN_CHECK, sent_s, now_s)
        return list_changes(
            self._records, self._judge(record, now_s), is_suspected=True
        )

    def note_paused_check(self, target: KnownTarget, now_s: float) -> None:
        """Repeat a check during which this process was paused."""
        record = self._record(target)
        if record.next_check_s is not None:
            self._schedule(record, now_s)

    def apply_report(
        self, report: EvidenceReport, now_s: float
    ) -> tuple[SuspicionChange, ...]:
        """Apply the evidence of another instance.

        Evidence on unknown targets is ignored, and so is evidence of other
        zones, except that the process of a target has ended or returned.

        Parameters
        ----------
        report : EvidenceReport
            Received report.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of SuspicionChange
            Targets whose state has changed.
        """
        if report.instance == self._name:
            return ()
        is_own_zone = report.zone == self._zone
        if is_own_zone:
            self.note_peer_heard(now_s)
        changes: list[SuspicionChange] = []
        for evidence in report.evidence:
            target = self._directory.find(
                evidence.token, evidence.started_unix_ms
            )
            if target is None:
                continue
            found_s = now_s - evidence.age_ms / MS_PER_S
            if evidence.finding in PROCESS_FINDINGS:
                self._restarts.hear(
                    target,
                    evidence.finding,
                    found_s,
                    report.instance,
                    relays=not is_own_zone,
                )
                continue
            if not is_own_zone:
                continue
            record = self._record(target)
            if evidence.finding is Finding.SILENT:
                changes += list_changes(
                    self._records,
                    self._hear_silent(record, report.instance, found_s, now_s),
                    is_suspected=True,
                )
                continue
            self._restarts.note_answered(target, found_s, report.instance)
            if evidence.finding is Finding.SERVED:
                was_suspected = record.clear(found_s, now_s)
            else:
                was_suspected = self._note_checked(record, found_s, now_s)
            changes += list_changes(
                self._records,
                (target.name,) if was_suspected else (),
                is_suspected=False,
                source=report.instance,
            )
        return tuple(changes)

    def take_process_report(self, now_s: float) -> EvidenceReport | None:
        """Return and clear what instances of all zones have to know.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        EvidenceReport or None
            Processes of targets that have ended or returned; None if there is
            nothing to send.
        """
        findings = self._restarts.take_findings()
        for name, _ in findings:
            known = self._directory.get(name)
            if known is not None:
                self._record(known)
        return build_report(
            self._name, self._zone, findings, self._records, now_s
        )

    def describe_processes(self, now_s: float) -> tuple[Evidence, ...]:
        """Return what an instance that starts has to know of processes.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of Evidence
            Findings in the order in which they have to be applied.
        """
        return tuple(
            Evidence(
                target.token,
                target.record.started_unix_ms,
                finding,
                max(round(MS_PER_S * (now_s - found_s)), 0),
            )
            for target, finding, found_s in self._restarts.list_unproven(now_s)
        )

    def take_reports(
        self, now_s: float
    ) -> tuple[EvidenceReport | None, EvidenceReport | None]:
        """Return and clear the evidence that waits to be sent.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        news, repeated : EvidenceReport or None
            Report to all instances of the zone, and report of repeated checks
            to the instances of `checkers`; None if there is nothing to send.
        """
        repeated = {
            (name, Finding.SILENT): found_s
            for name, found_s in self._refreshed.items()
        }
        reports = tuple(
            build_report(self._name, self._zone, findings, self._records, now_s)
            for findings in (self._outgoing, repeated)
        )
        self._outgoing.clear()
        self._refreshed.clear()
        return reports

    def checkers(self, targets: Iterable[KnownTarget]) -> frozenset[str]:
        """Return the instances that check these targets, without this one."""
        found: set[str] = set()
        for target in targets:
            found.update(self._order.first(target.name, _CHECKING_RANKS))
        return frozenset(found - {self._name})

    def repeated_targets(self) -> tuple[KnownTarget, ...]:
        """Return the targets whose repeated checks wait to be reported."""
        return tuple(
            self._records[name].target
            for name in self._refreshed
            if name in self._records
        )

    def take_due_checks(
        self, now_s: float, most: int
    ) -> tuple[KnownTarget, ...]:
        """Return the targets that this instance has to check now.

        The caller has to report the outcome of each check by `note_check`.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        most : int
            Largest number of targets.
        """
        found = []
        for name in tuple(self._due):
            record = self._records[name]
            if record.next_check_s is None:
                self._due.discard(name)
            elif record.target.presence is Presence.GONE:
                self.forget(name)
            elif now_s >= record.next_check_s and len(found) < most:
                # The outcome schedules the next check; if it gets lost, the
                # check is repeated after this time.
                record.next_check_s = now_s + self._limits.max_check_interval_s
                found.append(record.target)
        due = (self._records[each].next_check_s for each in self._due)
        self._next_due_s = min(due, default=None)
        return tuple(found)

    @property
    def next_check_s(self) -> float | None:
        """Time at which checks may be due, in seconds; None if never."""
        return self._next_due_s

    def suspicion_of(
        self, target: KnownTarget
    ) -> tuple[float, tuple[str, ...]]:
        """Return since when a suspected target is, and on whose evidence.

        Parameters
        ----------
        target : KnownTarget
            Suspected target.

        Returns
        -------
        since_s : float
            Time at which the suspicion began, in seconds.
        witnesses : tuple of str
            Names of the instances; ``own check`` stands for this one's checks.
        """
        record = self._record(target)
        return record.suspected_s, tuple(sorted(record.witnesses))

    def forget(self, name: str) -> None:
        """Delete the state of the target with this name."""
        self._records.pop(name, None)
        self._due.discard(name)
        self._refusals.pop(name, None)
        self._restarts.forget(name)

    def expire(self) -> None:
        """Delete the state of targets that are gone."""
        for name, record in tuple(self._records.items()):
            if record.target.presence is Presence.GONE:
                self.forget(name)

    @property
    def _probe_interval_s(self) -> float:
        if self._name:
            return self._limits.unheard_s
        return self._limits.probe_interval_s

    def _note_refused(self, record: TargetState, now_s: float) -> None:
        """Report a refusal, now or once another target of the zone answers."""
        name = record.target.name
        if self._is_path_sound(record, now_s):
            self._refusals.pop(name, None)
            self._restarts.note_refused(record.target, now_s)
        elif record.zone == self._zone:
            self._refusals[name] = now_s

    def _confirm_refusals(self, answering: TargetState, now_s: float) -> None:
        """Apply recent refusals, since a target of the zone answers.

        The target that refused may have answered meanwhile.
        """
        if not self._refusals or answering.zone != self._zone:
            return
        oldest_s = now_s - self._limits.evidence_age_s
        for name, refused_s in tuple(self._refusals.items()):
            record = self._records.get(name)
            if record is answering:
                continue
            del self._refusals[name]
            if record is not None and refused_s >= oldest_s:
                self._restarts.note_refused(record.target, refused_s)
                if record.answered_s > refused_s:
                    self._restarts.note_answered(
                        record.target, record.answered_s
                    )

    def _is_path_sound(self, record: TargetState, now_s: float) -> bool:
        """Return whether a refusal must have come from the target's host.

        A cut between zones, or of this instance, may refuse connections too.
        So only targets of the own zone count, and only while others of it
        answer.
        """
        if record.zone != self._zone:
            return False
        oldest_s = now_s - self._limits.evidence_age_s
        return any(
            other.answered_s >= oldest_s
            for other in self._records.values()
            if other is not record and other.zone == self._zone
        )

    def _may_have_ended(self, record: TargetState, sent_s: float) -> bool:
        """Return whether a failed check may mean the end of a process.

        It does not if the target has sent data since, or if this instance has
        heard nobody of its zone since: then its own path may be cut.
        """
        if record.zone != self._zone:
            return False
        has_sent_data = record.heard_s > sent_s + _IN_FLIGHT_S
        if has_sent_data and record.heard_flow_s < sent_s:
            return False
        return self._peer_heard_s >= sent_s or any(
            other.answered_s >= sent_s
            for other in self._records.values()
            if other is not record and other.zone == self._zone
        )

    def _note_lost(self, record: TargetState, oldest_s: float) -> None:
        """Report a suspected target whose last check may mean an end."""
        if record.lost_s >= max(oldest_s, record.answered_s, 0):
            self._restarts.note_lost(record.target, record.lost_s)

    def _hear_silent(
        self, record: TargetState, reporter: str, sent_s: float, now_s: float
    ) -> tuple[str, ...]:
        limits = self._limits
        if record.answered_s > sent_s:
            is_checker = self._order.rank(record.target.name) < _CHECKING_RANKS
            if is_checker and now_s - record.refuted_s > limits.doubt_s:
                record.refuted_s = now_s
                name = record.target.name
                if record.served_s > sent_s:
                    self._outgoing[name, Finding.SERVED] = record.served_s
                else:
                    self._outgoing[name, Finding.CHECKED] = record.answered_s
            return ()
        if record.is_suspected:
            self._schedule_repeat(record, now_s)
            return ()
        if now_s - sent_s > limits.evidence_age_s:
            return ()
        self._add_witness(record, reporter, sent_s, now_s)
        return self._judge(record, now_s)

    def _add_witness(
        self, record: TargetState, witness: str, sent_s: float, now_s: float
    ) -> None:
        is_first = not record.witnesses
        record.witnesses[witness] = sent_s
        if not is_first and record.next_check_s is not None:
            return
        if not record.has_relapsed(now_s, self._limits.relapse_s):
            record.doubted_until_s = now_s + self._limits.doubt_s
        self._schedule_first(record, now_s)

    def _judge(self, record: TargetState, now_s: float) -> tuple[str, ...]:
        """Suspect a target if the evidence suffices; return new suspects."""
        if record.is_suspected:
            return ()
        limits = self._limits
        oldest_s = max(now_s - limits.evidence_age_s, record.served_s)
        record.drop_witnesses(oldest_s)
        if max(record.unanswered, len(record.witnesses)) < limits.unanswered:
            return ()
        self._suspect(record, now_s)
        return (record.target.name, *self._suspect_zone(record.zone, now_s))

    def _suspect(self, record: TargetState, now_s: float) -> None:
        has_relapsed = record.has_relapsed(now_s, self._limits.relapse_s)
        if not has_relapsed:
            record.failed_checks = min(record.failed_checks, 1)
        record.suspected_s = now_s
        self._note_lost(record, now_s - self._limits.evidence_age_s)
        record.doubted_until_s = -1
        record.next_probe_s = now_s + self._probe_interval_s
        if has_relapsed or OWN_CHECK in record.witnesses:
            self._schedule_repeat(record, now_s)
        elif record.next_check_s is None:
            self._schedule_first(record, now_s)

    def _schedule_first(self, record: TargetState, now_s: float) -> None:
        """Schedule the check that follows on the first evidence."""
        rank = self._order.rank(record.target.name)
        if rank < _CHECKING_RANKS:
            self._schedule(record, now_s + rank * self._limits.rank_delay_s)
        elif record.is_suspected:
            self._schedule_repeat(record, now_s)

    def _schedule_repeat(self, record: TargetState, now_s: float) -> None:
        """Schedule the next check of a suspected target after evidence."""
        limits = self._limits
        doublings = max(record.failed_checks - 1, 0)
        interval_s = min(
            limits.check_interval_s * 2**doublings, limits.max_check_interval_s
        )
        rank = self._order.rank(record.target.name)
        if rank < _CHECKING_RANKS:
            delay_s = interval_s + rank * limits.check_interval_s
        else:
            delay_s = limits.unheard_s * (1 + rank / len(self._order))
        self._schedule(record, now_s + delay_s)

    def _schedule(self, record: TargetState, due_s: float) -> None:
        if self._name:
            record.next_check_s = due_s
            self._due.add(record.target.name)
            if self._next_due_s is None or due_s < self._next_due_s:
                self._next_due_s = due_s

    def _suspect_zone(self, zone: str, now_s: float) -> tuple[str, ...]:
        """Suspect or check the other targets of a zone if enough are suspected.

        Nothing is done if one of the others has answered since the first was
        suspected. Targets that have no state here, since no opening to them
        was answered or timed out yet, are checked but not suspected.
        """
        members = {
            name: record
            for name, record in self._records.items()
            if record.zone == zone
        }
        suspected_s = [
            record.suspected_s
            for record in members.values()
            if record.is_suspected
        ]
        if len(suspected_s) < self._limits.suspected_zone_targets:
            return ()
        first_suspected_s = min(suspected_s)
        others = {
            name: record
            for name, record in members.items()
            if not record.is_suspected
        }
        if any(
            record.answered_s > first_suspected_s for record in others.values()
        ):
            return ()
        if self._name:
            for record in others.values():
                record.doubted_until_s = now_s + self._limits.doubt_s
            self._check_zone(zone, now_s)
            return ()
        for record in others.values():
            self._suspect(record, now_s)
        return tuple(others)

    def _check_zone(self, zone: str, now_s: float) -> None:
        """Check the targets of a zone for which this instance comes first.

        Two instances check each target, so that there are two witnesses.
        """
        limits = self._limits
        checked_s = self._checked_zones_s.get(zone)
        is_recent = checked_s is not None and (
            now_s - checked_s < limits.evidence_age_s
        )
        if is_recent:
            return
        self._checked_zones_s[zone] = now_s
        for target in self._directory.targets():
            is_relevant = (
                target.record.zone == zone
                and target.presence is not Presence.GONE
            )
            if (
                is_relevant
                and self._order.rank(target.name) < limits.unanswered
            ):
                record = self._record(target)
                if not record.is_suspected:
                    self._schedule(record, now_s)

    def _note_checked(
        self, record: TargetState, answered_s: float, now_s: float
    ) -> bool:
        """Apply an answered check; return whether it ends a suspicion.

        Evidence of openings outlasts the answer to a check, unless the target
        is suspected: a target may answer checks but no openings.
        """
        if record.is_suspected and not record.has_relapsed(
            now_s, self._limits.relapse_s
        ):
            return record.clear(answered_s, now_s)
        record.answered_s = max(record.answered_s, answered_s)
        record.is_refused = False
        if not record.is_suspected:
            record.doubted_until_s = -1
            record.next_check_s = None
            record.witnesses.pop(OWN_CHECK, None)
            return False
        if self._order.rank(record.target.name) < _CHECKING_RANKS:
            record.next_probe_s = min(record.next_probe_s, now_s)
        self._schedule_repeat(record, now_s)
        return False

    def state_of(self, target: KnownTarget) -> TargetState | None:
        """Return the state of a target, None if it has restarted since."""
        record = self._records.get(target.name)
        if record is None:
            return None
        is_same = record.started_unix_ms == target.record.started_unix_ms
        return record if is_same and record.target is target else None

    def _record(self, target: KnownTarget) -> TargetState:
        record = self.state_of(target)
        if record is None:
            record = TargetState(target)
            self._records[target.name] = record
            self._due.discard(target.name)
        return record
