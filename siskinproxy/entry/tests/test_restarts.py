"""Targets that start again under their id before their entry says so."""

import random

import pytest

from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.evidence import decode_evidence, encode_evidence
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.responsiveness import CheckOutcome, Responsiveness
from siskinproxy.entry.restarts import ENDED_MEMORY_S
from siskinproxy.entry.target_selection import Placer
from siskinproxy.entry.tests.fakes import Events, target

WARMUP_S = 2.0
#: Bound of the platform on the requests to a cold target in a second, with a
#: rate of 0: 0 * 1.5 + 5.
COLD_BOUND = 5
ZONES = {'a': ('a-1', 'a-2', 'a-3', 'a-4'), 'b': ('b-1', 'b-2', 'b-3')}
#: Instances that a report reaches in each other zone.
RELAYS = 2


class Instance:
    """Failure detection and selection of one instance."""

    def __init__(self, name, zone, targets):
        self.zone = zone
        self.events = Events()
        self.directory = TargetDirectory()
        for number in range(1, targets + 1):
            self.directory.announce(target(number, zone='a'), 0)
        # Answers all the while, but belongs to another service.
        self.directory.announce(target(9, 'archive', zone='a'), 0)
        self.targets = {each.name: each for each in self.directory.targets()}
        self.detection = Responsiveness(
            name=name,
            zone=zone,
            directory=self.directory,
            warmup_s_of=lambda record: WARMUP_S,
            events=self.events,
        )
        self.detection.set_members(ZONES[zone])
        limit = ColdLimit(name, ColdBounds(1.5, 5))
        limit.set_instances((*ZONES['a'], *ZONES['b']))
        self.placer = Placer(
            zone, limit, self.detection, LoadView(), random.Random(name)
        )

    def place(self, now_s):
        """Return the target of a new flow, None if there is none."""
        usable = self.directory.usable_targets('desk')
        placement = self.placer.choose(usable, 0, now_s)
        if placement.target is not None:
            self.placer.note_sent(placement.target, now_s)
        return placement.target


class Fleet:
    """Instances of two zones that exchange evidence without delay."""

    def __init__(self, targets=1, lost=()):
        self.lost = lost
        self.instances = {
            name: Instance(name, zone, targets)
            for zone, names in ZONES.items()
            for name in names
        }

    def check(
        self, name, outcome, now_s, by=('a-1', 'a-2'), *, others_answer=True
    ):
        """Let instances check a target, and deliver all evidence."""
        for each in by:
            instance = self.instances[each]
            if others_answer:
                instance.detection.note_answered(
                    instance.targets['t-9'], now_s - 1
                )
            found = instance.targets[name]
            instance.detection.note_check(found, outcome, now_s, now_s)
        self.exchange(now_s)

    def exchange(self, now_s):
        for _ in range(3):
            for name, sender in self.instances.items():
                self.deliver(name, sender, now_s)

    def deliver(self, name, sender, now_s):
        processes = sender.detection.take_process_report(now_s)
        others = [
            each
            for zone, names in ZONES.items()
            for each in names[: RELAYS if zone != sender.zone else None]
        ]
        if processes is not None:
            self.send(processes, others, now_s)
        for report in sender.detection.take_reports(now_s):
            if report is not None:
                self.send(report, ZONES[sender.zone], now_s)

    def send(self, report, receivers, now_s):
        for each in receivers:
            if each not in self.lost:
                found = decode_evidence(encode_evidence(report))
                self.instances[each].detection.apply_report(found, now_s)

    def cold(self, name, now_s):
        return {
            each
            for each, instance in self.instances.items()
            if instance.targets[name].is_cold(now_s)
        }

    def flows_in_a_second(self, name, start_s):
        """Return the flows to a target if all instances open 20 a second."""
        count = 0
        for step in range(20):
            now_s = start_s + step / 20
            for instance in self.instances.values():
                found = instance.place(now_s)
                count += found is not None and found.name == name
        return count


ALL = {*ZONES['a'], *ZONES['b']}


@pytest.mark.parametrize('after_s', [0.0, 0.9])
def test_a_target_that_starts_again_gets_no_more_than_it_bears(after_s):
    """Guards against full load on a cold target after a restart (review/4).

    The store was away, so the entry was still that of the earlier process. The
    end of the suspicion made the target trusted without a limit.
    """
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    start_s = 2.0 + after_s
    assert 0 < fleet.flows_in_a_second('t-1', start_s) <= COLD_BOUND


def test_instances_of_all_zones_keep_the_limit():
    """Guards against a zone that noticed nothing and sends its full share."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    assert fleet.cold('t-1', 1.1) == ALL
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    assert fleet.cold('t-1', 2.0 + WARMUP_S) == ALL
    assert fleet.cold('t-1', 2.0 + WARMUP_S + 0.3) == set()


def test_one_refusal_suffices():
    """Guards against a restart so short that only one check has seen it."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0, by=['a-3'])
    fleet.check('t-1', CheckOutcome.ANSWERED, 1.3, by=['a-1'])
    assert fleet.cold('t-1', 2.0) == ALL


@pytest.mark.parametrize(
    'outcomes',
    [
        [CheckOutcome.ANSWERED],
        [CheckOutcome.TIMED_OUT, CheckOutcome.ANSWERED],
        [CheckOutcome.TIMED_OUT] * 3 + [CheckOutcome.ANSWERED],
        [CheckOutcome.RESET, CheckOutcome.ANSWERED],
        [CheckOutcome.UNREACHABLE] * 3 + [CheckOutcome.ANSWERED],
    ],
)
def test_a_target_that_was_only_silent_stays_warm(outcomes):
    """Guards against starving targets that were cut off or busy."""
    fleet = Fleet()
    for step, outcome in enumerate(outcomes):
        fleet.check('t-1', outcome, 1.0 + step)
    assert fleet.cold('t-1', 1.0 + len(outcomes)) == set()


@pytest.mark.parametrize(
    ('by', 'others_answer'),
    [(ZONES['b'], True), (ZONES['a'], False)],
    ids=['cut between zones', 'cut of the instances'],
)
def test_a_cut_that_refuses_connections_starves_no_target(by, others_answer):
    """Guards against a cut that slows down the targets on its other side.

    On a day with a zone cut that resets connections, callers of the other
    zones got 0.06 of the day's worth less, since all targets behind it counted
    as cold once it had ended.
    """
    fleet = Fleet(targets=3)
    names = ('t-1', 't-2', 't-3')
    for name in names:
        fleet.check(
            name,
            CheckOutcome.REFUSED,
            10.0,
            by=by,
            others_answer=others_answer,
        )
    for name in names:
        fleet.check(name, CheckOutcome.ANSWERED, 15.0, by=by)
        assert fleet.cold(name, 15.1) == set()


def test_other_targets_stay_warm():
    """Guards against one restart that slows down a service."""
    fleet = Fleet(targets=3)
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    assert fleet.cold('t-2', 2.1) == set()
    # Warm targets take the flows, without a limit.
    assert fleet.flows_in_a_second('t-2', 2.1) > COLD_BOUND
    assert fleet.flows_in_a_second('t-1', 2.1) == 0


def test_the_entry_of_the_new_process_decides():
    """Guards against a target that is known to be warm and gets no flows."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    for instance in fleet.instances.values():
        instance.directory.announce(
            target(1, zone='a', started_unix_ms=2, warmup_left_s=0.0), 1.5
        )
    assert fleet.cold('t-1', 1.5) == set()


def test_the_entry_of_the_earlier_process_decides_nothing():
    """Guards against an entry that is delivered late, after the restart."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    for instance in fleet.instances.values():
        instance.directory.announce(target(1, zone='a', revision=2), 2.1)
    assert fleet.cold('t-1', 2.2) == ALL


def test_a_lost_report_of_the_return_starves_no_target_for_long():
    """Guards against a warm target that one instance never uses again."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.lost = ['b-2', 'b-3']
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    assert fleet.cold('t-1', 4.5) == {'b-2', 'b-3'}
    assert fleet.cold('t-1', 1.0 + ENDED_MEMORY_S) == set()


def test_an_answered_opening_starts_the_warm_up():
    """Guards against a return that only a check could show."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    instance = fleet.instances['b-1']
    instance.detection.note_answered(instance.targets['t-1'], 3.0)
    fleet.exchange(3.0)
    assert fleet.cold('t-1', 3.0 + WARMUP_S) == ALL
    assert fleet.cold('t-1', 3.0 + WARMUP_S + 0.3) == set()


def test_an_older_refusal_that_arrives_late_changes_nothing():
    """Guards against reports that overtake each other."""
    fleet = Fleet()
    sender = fleet.instances['a-1']
    sender.detection.note_answered(sender.targets['t-9'], 0.9)
    sender.detection.note_check(
        sender.targets['t-1'], CheckOutcome.REFUSED, 1.0, 1.0
    )
    late = sender.detection.take_process_report(1.0)
    fleet.check('t-1', CheckOutcome.REFUSED, 1.1, by=['a-2'])
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    fleet.send(late, ALL, 1.0)
    assert fleet.cold('t-1', 2.0 + WARMUP_S + 0.3) == set()


def test_the_end_and_the_return_are_logged():
    """Guards against a restart that operators can't find in the log."""
    fleet = Fleet()
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.check('t-1', CheckOutcome.ANSWERED, 2.0)
    for instance in fleet.instances.values():
        assert len(instance.events.named('target_process_ended')) == 1
        (returned,) = instance.events.named('target_process_returned')
        assert returned['cold_ms'] == 1000 * WARMUP_S
