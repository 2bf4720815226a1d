"""Evidence on targets from other instances, and checks."""

import pytest

from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.evidence import (
    Evidence,
    EvidenceReport,
    Finding,
    decode_evidence,
    encode_evidence,
)
from siskinproxy.entry.responsiveness import (
    CheckOutcome,
    Responsiveness,
    ResponsivenessLimits,
)
from siskinproxy.entry.tests.fakes import target

LIMITS = ResponsivenessLimits()
MEMBERS = ('i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6')


class Zone:
    """Instances of a zone that exchange evidence without delay."""

    def __init__(self, targets=4, members=MEMBERS):
        self.directory = TargetDirectory()
        for number in range(1, targets + 1):
            self.directory.announce(target(number), 0)
        self.targets = list(self.directory.targets())
        self.members = {}
        for name in members:
            member = Responsiveness(
                name=name, zone='a', directory=self.directory
            )
            member.set_members(members)
            self.members[name] = member

    def exchange(self, now_s):
        """Deliver all evidence; return the number of reports."""
        count = 0
        while True:
            reports = []
            for member in self.members.values():
                receivers = member.checkers(member.repeated_targets())
                news, repeated = member.take_reports(now_s)
                if news is not None:
                    reports.append((news, frozenset(self.members)))
                if repeated is not None:
                    reports.append((repeated, receivers))
            if not reports:
                return count
            for report, receivers in reports:
                count += 1
                for name in receivers:
                    self.members[name].apply_report(report, now_s)

    def check(self, outcome, now_s):
        """Run due checks at all instances; return the checking instances."""
        checking = []
        for name, member in self.members.items():
            for found in member.take_due_checks(now_s, 100):
                checking.append((name, found.name))
                member.note_check(found, outcome, now_s, now_s)
        self.exchange(now_s)
        return checking

    def suspecting(self, found):
        return {
            name
            for name, member in self.members.items()
            if member.is_suspected(found)
        }

    def checkers_in_order(self, found):
        member = self.members['i-1']
        return member._order.first(found.name, len(member._order))


def silent_report(reporter, found, zone='a', age_ms=0, finding=Finding.SILENT):
    evidence = Evidence(
        found.token, found.record.started_unix_ms, finding, age_ms
    )
    return EvidenceReport(reporter, zone, (evidence,))


def test_one_unanswered_opening_and_a_failed_check_suffice():
    """Guards against two lost requests at each instance and dead target."""
    zone = Zone()
    found = zone.targets[0]
    reporter = zone.checkers_in_order(found)[-1]
    zone.members[reporter].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    assert zone.suspecting(found) == set()
    assert all(m.is_doubted(found, 1.04) for m in zone.members.values())
    checking = zone.check(CheckOutcome.REFUSED, 1.04)
    assert checking == [(zone.checkers_in_order(found)[0], found.name)]
    assert zone.suspecting(found) == set(MEMBERS)


def test_a_check_that_is_answered_ends_the_doubt_of_all():
    """Guards against avoiding a target because of one lost datagram."""
    zone = Zone()
    found = zone.targets[0]
    reporter = zone.checkers_in_order(found)[-1]
    zone.members[reporter].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    zone.check(CheckOutcome.ANSWERED, 1.04)
    assert not any(m.is_doubted(found, 1.05) for m in zone.members.values())


def test_the_next_instance_checks_if_the_first_is_silent():
    """Guards against a doubt that nobody settles if the checker has ended."""
    zone = Zone()
    found = zone.targets[0]
    first, second, *_, last = zone.checkers_in_order(found)
    zone.members[last].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    del zone.members[first]
    assert zone.check(CheckOutcome.REFUSED, 1.04) == []
    due_s = 1.04 + LIMITS.rank_delay_s
    assert zone.check(CheckOutcome.REFUSED, due_s) == [(second, found.name)]
    assert zone.suspecting(found) == set(MEMBERS) - {first}


def test_a_suspicion_ends_for_all_with_an_answered_check():
    """Guards against targets that stay suspected after they have recovered."""
    zone = Zone()
    found = zone.targets[0]
    zone.members['i-1'].note_unanswered(found, 1.0, 1.03)
    zone.members['i-2'].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    assert zone.suspecting(found) == set(MEMBERS)
    zone.check(CheckOutcome.REFUSED, 1.1)
    now_s = 1.1
    for _ in range(4):
        now_s += LIMITS.max_check_interval_s
        assert len(zone.check(CheckOutcome.REFUSED, now_s)) <= 3
        assert zone.suspecting(found) == set(MEMBERS)
    now_s += LIMITS.max_check_interval_s
    zone.check(CheckOutcome.ANSWERED, now_s)
    assert zone.suspecting(found) == set()


def test_targets_that_answer_checks_only_stay_suspected():
    """Guards against a target that drops openings but answers checks.

    An answered check ends the first suspicion. When openings stay unanswered
    all the same, one that is answered has to end the second.
    """
    zone = Zone()
    found = zone.targets[0]
    for start_s in (1.0, 2.0):
        zone.members['i-1'].note_unanswered(found, start_s, start_s + 0.03)
        zone.members['i-2'].note_unanswered(found, start_s, start_s + 0.03)
        zone.exchange(start_s + 0.03)
        assert zone.suspecting(found) == set(MEMBERS)
        zone.check(CheckOutcome.ANSWERED, start_s + 0.04)
    assert zone.suspecting(found) == set(MEMBERS)
    now_s = 2.04 + LIMITS.check_interval_s
    zone.check(CheckOutcome.ANSWERED, now_s)
    probing = [
        name
        for name, member in zone.members.items()
        if member.may_probe(found, now_s)
    ]
    assert probing
    assert set(probing) <= set(zone.checkers_in_order(found)[:3])
    zone.members[probing[0]].note_answered(found, now_s + 0.01)
    zone.exchange(now_s + 0.01)
    assert zone.suspecting(found) == set()


def test_refused_checks_allow_no_probe_by_callers():
    """Guards against resets of callers by the host of a dead target."""
    zone = Zone()
    found = zone.targets[0]
    zone.members['i-1'].note_unanswered(found, 1.0, 1.03)
    zone.members['i-2'].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    now_s = 1.03
    for _ in range(60):
        now_s += LIMITS.check_interval_s
        zone.check(CheckOutcome.REFUSED, now_s)
        for name in zone.checkers_in_order(found)[:1]:
            assert not zone.members[name].may_probe(found, now_s)


@pytest.mark.parametrize(
    ('reports', 'is_suspected'),
    [
        ([('i-2', 'a', 0), ('i-3', 'a', 0)], True),
        ([('i-2', 'a', 0), ('i-2', 'a', 0), ('i-2', 'a', 0)], False),
        ([('j-2', 'b', 0), ('j-3', 'b', 0)], False),
        ([('i-2', 'a', 0), ('j-3', 'b', 0)], False),
        ([('i-2', 'a', 5000), ('i-3', 'a', 5000)], False),
        ([('i-2', 'a', -5000), ('i-3', 'a', 0)], True),
    ],
    ids=['two', 'one', 'other zone', 'mixed zones', 'too old', 'from future'],
)
def test_whose_evidence_counts(reports, is_suspected):
    """Guards against targets condemned by one instance or another path.

    A zone that cannot reach a target says nothing of the other zones.
    """
    zone = Zone()
    found = zone.targets[0]
    for reporter, reporter_zone, age_ms in reports:
        report = silent_report(reporter, found, reporter_zone, age_ms)
        zone.members['i-1'].apply_report(report, 10.0)
    assert zone.members['i-1'].is_suspected(found) == is_suspected


def test_evidence_on_an_earlier_incarnation_is_ignored():
    """Guards against avoiding a target that has restarted under its id."""
    zone = Zone()
    found = zone.targets[0]
    reports = [silent_report(name, found) for name in ('i-2', 'i-3')]
    zone.directory.announce(target(1, started_unix_ms=2), 1)
    for report in reports:
        zone.members['i-1'].apply_report(report, 1.1)
    assert not zone.members['i-1'].is_suspected(found)


def test_a_restart_ends_a_suspicion():
    """Guards against avoiding a target that has just started again."""
    zone = Zone()
    found = zone.targets[0]
    for name in ('i-2', 'i-3'):
        zone.members['i-1'].apply_report(silent_report(name, found), 1)
    assert zone.members['i-1'].is_suspected(found)
    zone.directory.announce(target(1, started_unix_ms=2), 1)
    assert not zone.members['i-1'].is_suspected(found)


def test_answers_refute_older_evidence():
    """Guards against evidence that a later answer contradicts."""
    zone = Zone()
    found = zone.targets[0]
    first = zone.checkers_in_order(found)[0]
    zone.members[first].note_answered(found, 2.0)
    report = silent_report('i-9', found, age_ms=500)
    zone.members[first].apply_report(report, 2.1)
    assert not zone.members[first].is_doubted(found, 2.1)
    news, _ = zone.members[first].take_reports(2.1)
    assert news.evidence[0].finding is Finding.SERVED
    assert news.evidence[0].age_ms == 100


def test_two_failed_targets_cause_checks_of_their_zone():
    """Guards against a lost request at each target of a failed zone."""
    zone = Zone(targets=12)
    for found in zone.targets[:2]:
        for name in ('i-1', 'i-2'):
            zone.members[name].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    zone.check(CheckOutcome.REFUSED, 1.05)
    for found in zone.targets:
        assert zone.suspecting(found) == set(MEMBERS)


def test_a_zone_is_not_condemned_for_two_targets():
    """Guards against avoiding the targets that serve beside two dead ones."""
    zone = Zone(targets=12)
    dead = zone.targets[:2]
    for found in dead:
        for name in ('i-1', 'i-2'):
            zone.members[name].note_unanswered(found, 1.0, 1.03)
    zone.exchange(1.03)
    zone.check(CheckOutcome.ANSWERED, 1.05)
    for found in zone.targets[2:]:
        assert zone.suspecting(found) == set()
        assert not any(
            member.is_doubted(found, 1.06) for member in zone.members.values()
        )


def test_evidence_of_gone_targets_is_dropped():
    """Guards against state that grows with all targets that ever were."""
    zone = Zone()
    member = zone.members['i-1']
    found = zone.targets[0]
    member.note_unanswered(found, 1.0, 1.03)
    zone.directory.withdraw(found.name, 2, may_return=False)
    member.expire()
    assert not member._records


@pytest.mark.parametrize(
    'datagram',
    [b'', b'\xc1', b'\xc1\x93', b'\xc1\x93\xa1a\xa1b\x91\x94\x01\x02\x09\x00'],
)
def test_malformed_evidence_is_refused(datagram):
    """Guards against an exception that ends the reading of datagrams."""
    assert decode_evidence(datagram) is None


def test_evidence_survives_its_encoding():
    """Guards against fields that are exchanged in the encoding."""
    report = EvidenceReport('i-1', 'a', (Evidence(7, 9, Finding.CHECKED, 12),))
    assert decode_evidence(encode_evidence(report)) == report
