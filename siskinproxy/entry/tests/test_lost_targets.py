"""Targets whose process may have ended unseen: lost power, frozen or cut off."""

from collections import Counter

import msgspec
import pytest

from siskinproxy.entry.evidence import (
    EvidenceReport,
    Finding,
    ReplyAddress,
    decode_evidence,
    encode_evidence,
)
from siskinproxy.entry.failure_detector import FailureDetector
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.packets import ACK, FIN
from siskinproxy.entry.responsiveness import CheckOutcome, Responsiveness
from siskinproxy.entry.restarts import ENDED_MEMORY_S
from siskinproxy.entry.tests import test_restarts
from siskinproxy.entry.tests.fakes import Events, packet, target
from siskinproxy.entry.tests.fakes import Instance as Engine
from siskinproxy.entry.tests.test_restarts import ALL, COLD_BOUND, ZONES

WARMUP_S = test_restarts.WARMUP_S
#: Duration of a check that times out, in seconds.
CHECK_S = 0.4
#: Time without heartbeats after which the store removes an entry, in seconds.
SILENCE_S = 4.6


class Fleet(test_restarts.Fleet):
    """Instances of two zones whose failed checks take time."""

    def fail(
        self, name, outcome, sent_s, by=('a-1', 'a-2'), *, peers=True, other=''
    ):
        """Let instances check a target while peers or another one are heard."""
        ended_s = sent_s + CHECK_S
        for each in by:
            instance = self.instances[each]
            if peers:
                instance.detection.note_peer_heard(sent_s + 0.2)
            if other:
                answering = instance.targets[other]
                instance.detection.note_answered(answering, sent_s + 0.2)
            instance.detection.note_check(
                instance.targets[name], outcome, sent_s, ended_s
            )
        self.exchange(ended_s)

    def answer(self, name, now_s, by='a-1'):
        instance = self.instances[by]
        instance.detection.note_check(
            instance.targets[name], CheckOutcome.ANSWERED, now_s, now_s
        )
        self.exchange(now_s)

    def progress(self, name, established_s, since_s, now_s, by='a-3'):
        instance = self.instances[by]
        instance.detection.note_progress(
            instance.targets[name], established_s, since_s, now_s
        )
        self.exchange(now_s)


@pytest.fixture
def fleet():
    return Fleet(targets=3)


@pytest.mark.parametrize(
    'outcome', [CheckOutcome.UNREACHABLE, CheckOutcome.RESET]
)
@pytest.mark.parametrize('heard', [{'other': 't-2', 'peers': False}, {}])
def test_a_target_that_lost_power_gets_no_more_than_it_bears(outcome, heard):
    """Guards against full load on a cold target after a loss of power.

    The store was away, and its host had refused no connection (review/9).
    """
    fleet = Fleet(targets=1) if not heard else Fleet(targets=3)
    fleet.fail('t-1', outcome, 1.0, **heard)
    assert fleet.cold('t-1', 1.5) == ALL
    fleet.answer('t-1', 2.0)
    assert fleet.cold('t-1', 2.0 + WARMUP_S) == ALL
    flows = fleet.flows_in_a_second('t-1', 2.1)
    assert flows <= COLD_BOUND
    assert fleet.cold('t-1', 2.0 + WARMUP_S + 0.3) == set()


@pytest.mark.parametrize('names', [('t-1',), ('t-1', 't-2', 't-3')])
def test_a_zone_without_power_keeps_the_limit_of_each_target(names):
    """Guards against a zone whose targets all come back cold at once."""
    fleet = Fleet(targets=3)
    for name in names:
        fleet.fail(name, CheckOutcome.UNREACHABLE, 1.0)
    for name in names:
        fleet.answer(name, 2.0)
    for name in names:
        assert fleet.flows_in_a_second(name, 2.1) <= COLD_BOUND


@pytest.mark.parametrize(
    ('outcome', 'options'),
    [
        (CheckOutcome.TIMED_OUT, {}),
        (CheckOutcome.UNREACHABLE, {'by': ZONES['b']}),
        (CheckOutcome.RESET, {'by': ZONES['b']}),
    ],
    ids=['slow', 'zone cut off', 'zone cut resets'],
)
def test_a_slow_target_or_one_behind_a_cut_stays_warm(fleet, outcome, options):
    """Guards against starving targets since an instance can't reach them.

    Instances of another zone may be cut off themselves.
    """
    for name in ('t-1', 't-2', 't-3'):
        fleet.fail(name, outcome, 1.0, **options)
        fleet.answer(name, 3.0, by=options.get('by', ['a-1'])[0])
        assert fleet.cold(name, 3.1) == set()


def test_an_instance_that_was_cut_off_starves_no_target(fleet):
    """Guards against targets that are spared since one instance was cut off.

    It hears neither other instances nor other targets during its checks.
    """
    cut = fleet.instances['a-1']
    for known in cut.targets.values():
        cut.detection.note_answered(known, 0.8)
        cut.detection.note_unanswered(known, 0.9, 1.0)
    for known in cut.targets.values():
        cut.detection.note_check(known, CheckOutcome.UNREACHABLE, 1.0, 1.4)
    for name in cut.targets:
        fleet.answer(name, 3.0)
        assert fleet.cold(name, 3.1) == set()


def test_a_lost_packet_of_a_check_costs_nothing(fleet):
    """Guards against a busy target that counts as cold after one lost packet.

    Its flows go on, so its host has power.
    """
    instance = fleet.instances['a-1']
    known = instance.targets['t-1']
    instance.detection.note_unanswered(known, 0.9, 1.0)
    instance.detection.note_peer_heard(1.2)
    instance.detection.note_progress(known, 0.5, 0.8, 1.2)
    instance.detection.note_check(known, CheckOutcome.UNREACHABLE, 1.0, 1.4)
    fleet.exchange(1.4)
    fleet.answer('t-1', 1.6)
    assert fleet.cold('t-1', 1.7) == set()


def test_a_restart_that_is_over_before_its_check_times_out():
    """Guards against a loss of power that is shorter than a check.

    The new process answers an opening while the check of the silent host runs.
    """
    fleet = Fleet(targets=1)
    instance = fleet.instances['a-1']
    known = instance.targets['t-1']
    instance.detection.note_unanswered(known, 0.9, 1.0)
    instance.detection.note_answered(known, 1.3)
    instance.detection.note_peer_heard(1.3)
    instance.detection.note_check(known, CheckOutcome.UNREACHABLE, 1.0, 1.4)
    fleet.exchange(1.4)
    assert fleet.cold('t-1', 1.5) == ALL


def test_a_flow_that_goes_on_shows_the_earlier_process(fleet):
    """Guards against a target that was frozen and is spared as a cold one."""
    fleet.fail('t-1', CheckOutcome.UNREACHABLE, 1.0)
    fleet.answer('t-1', 2.0)
    fleet.progress('t-1', established_s=0.5, since_s=1.7, now_s=2.1)
    assert fleet.cold('t-1', 2.2) == set()
    for instance in fleet.instances.values():
        assert len(instance.events.named('target_process_same')) == 1


@pytest.mark.parametrize(
    ('established_s', 'since_s'),
    [(1.9, 2.0), (0.5, 0.9), (0.5, 1.4), (-1, 1.7)],
    ids=['opened later', 'data of before', 'late', 'opened elsewhere'],
)
def test_other_flows_show_nothing(fleet, established_s, since_s):
    """Guards against a new process that is taken for the earlier one."""
    fleet.fail('t-1', CheckOutcome.UNREACHABLE, 1.0)
    fleet.answer('t-1', 2.0)
    fleet.progress('t-1', established_s, since_s, now_s=2.1)
    assert fleet.cold('t-1', 2.2) == ALL


@pytest.mark.parametrize('answers', [('t-2', 't-1'), ('t-1', 't-2')])
def test_a_refusal_counts_once_another_target_answers(fleet, answers):
    """Guards against a restart that is missed since there was no traffic.

    No other target had answered for seconds when the host refused, so the path
    might have been cut.
    """
    fleet.check('t-1', CheckOutcome.REFUSED, 10.0, ['a-1'], others_answer=False)
    assert fleet.cold('t-1', 10.0) == set()
    for step, name in enumerate(answers):
        fleet.answer(name, 10.1 + step / 10)
    assert fleet.cold('t-1', 10.1 + WARMUP_S) == ALL
    assert fleet.cold('t-1', 10.2 + WARMUP_S + 0.3) == set()


def test_a_check_during_a_pause_is_repeated_at_once(fleet):
    """Guards against a silent host that is not checked for seconds."""
    instance = fleet.instances['a-1']
    known = instance.targets['t-1']
    instance.detection.note_unanswered(known, 0.9, 1.0)
    due_s = 1.0 + len(ZONES['a'])
    assert instance.detection.take_due_checks(due_s, 9) == (known,)
    assert not instance.detection.take_due_checks(due_s + 0.7, 9)
    instance.detection.note_paused_check(known, due_s + 0.8)
    assert instance.detection.take_due_checks(due_s + 0.8, 9) == (known,)


def test_a_refused_connection_outweighs_silence(fleet):
    """Guards against a new process that counts as the earlier one.

    The host was silent at first and refused connections later.
    """
    fleet.fail('t-1', CheckOutcome.UNREACHABLE, 1.0)
    fleet.check('t-1', CheckOutcome.REFUSED, 1.6)
    fleet.answer('t-1', 2.0)
    fleet.progress('t-1', established_s=0.5, since_s=1.7, now_s=2.1)
    assert fleet.cold('t-1', 2.2) == ALL


@pytest.mark.parametrize(
    'outcome', [CheckOutcome.UNREACHABLE, CheckOutcome.REFUSED]
)
def test_a_second_silence_does_not_end_a_warm_up(fleet, outcome):
    """Guards against a flow of the new process that speaks for the earlier one.

    It was opened within the warm-up, before the host was silent once more.
    """
    if outcome is CheckOutcome.REFUSED:
        fleet.check('t-1', outcome, 1.0)
    else:
        fleet.fail('t-1', outcome, 1.0)
    fleet.answer('t-1', 2.0)
    fleet.fail('t-1', CheckOutcome.UNREACHABLE, 2.5)
    fleet.answer('t-1', 3.0)
    fleet.progress('t-1', established_s=2.2, since_s=3.0, now_s=3.1)
    assert fleet.cold('t-1', 3.2) == ALL


def test_a_silence_long_after_a_restart_is_judged_on_its_own(fleet):
    """Guards against a target that is spared for a restart of hours ago."""
    fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.answer('t-1', 2.0)
    fleet.fail('t-1', CheckOutcome.UNREACHABLE, 60.0)
    fleet.answer('t-1', 62.0)
    fleet.progress('t-1', established_s=50.0, since_s=61.0, now_s=62.1)
    assert fleet.cold('t-1', 62.2) == set()


def lose_zone(fleet, names):
    for name in names:
        fleet.fail(name, CheckOutcome.UNREACHABLE, 1.0)
    for name in names:
        fleet.answer(name, 3.0)


def test_a_zone_that_returns_from_a_cut_does_not_starve(fleet):
    """Guards against a whole zone that is spared although it was only cut off.

    One flow that goes on shows that the common cause was no loss of power.
    """
    lose_zone(fleet, ('t-1', 't-2', 't-3', 't-9'))
    fleet.progress('t-2', established_s=0.5, since_s=2.5, now_s=3.1)
    for name in ('t-1', 't-2', 't-3'):
        assert fleet.cold(name, 3.2) == set()


def test_one_cut_target_proves_nothing_of_others(fleet):
    """Guards against one target that speaks for others lost on their own."""
    lose_zone(fleet, ('t-1', 't-2'))
    fleet.progress('t-2', established_s=0.5, since_s=2.5, now_s=3.1)
    assert fleet.cold('t-2', 3.2) == set()
    assert fleet.cold('t-1', 3.2) == ALL


@pytest.mark.parametrize(
    ('since_s', 'confirmed_s', 'is_warm'),
    [
        (-1, 2.0 + SILENCE_S + 0.1, True),
        (-1, 2.0 + SILENCE_S - 0.1, False),
        (4.0, 2.0 + SILENCE_S + 0.1, False),
        (4.0, 4.0 + SILENCE_S + 0.1, True),
    ],
)
def test_an_entry_that_stays_shows_the_earlier_process(
    since_s, confirmed_s, is_warm
):
    """Guards against a long warm-up of a target that never ended.

    The store would have removed the entry without heartbeats, unless it was
    away meanwhile.
    """
    events = Events()
    fleet = Fleet(targets=1)
    instance = fleet.instances['a-1']
    detection = Responsiveness(
        name='a-1',
        zone='a',
        directory=instance.directory,
        warmup_s_of=lambda record: 60.0,
        events=events,
    )
    detection.set_members(ZONES['a'])
    known = instance.targets['t-1']
    detection.note_peer_heard(1.2)
    detection.note_unanswered(known, 0.9, 1.0)
    detection.note_check(known, CheckOutcome.UNREACHABLE, 1.0, 1.4)
    detection.note_check(known, CheckOutcome.ANSWERED, 2.0, 2.0)
    now_s = confirmed_s + 0.1
    detection.note_listed(now_s, since_s, confirmed_s, SILENCE_S)
    assert known.is_cold(now_s) is not is_warm


def test_an_entry_of_an_earlier_process_leaves_a_target_cold():
    """Guards against a late write that makes a cold target warm.

    The store may execute a heartbeat of the earlier process after the new one
    has written its entry.
    """
    fleet = Fleet(targets=1)
    directory = fleet.instances['a-1'].directory
    known = fleet.instances['a-1'].targets['t-1']
    new = target(1, zone='a', started_unix_ms=9, warmup_left_s=2.0)
    directory.announce(new, 1.0)
    directory.announce(target(1, zone='a', revision=3), 1.1)
    assert known.is_cold(2.9)
    assert not known.is_cold(3.2)
    # The next heartbeat of the new process.
    left = msgspec.structs.replace(new, warmup_left_s=0.8, revision=4)
    directory.announce(left, 2.2)
    assert known.is_cold(2.9)
    assert not known.is_cold(3.2)


def test_a_target_that_is_never_heard_again_is_not_cold_for_good(fleet):
    """Guards against a target that is never used if its return is missed."""
    fleet.fail('t-1', CheckOutcome.UNREACHABLE, 1.0)
    assert fleet.cold('t-1', 1.0 + ENDED_MEMORY_S + 0.1) == set()


def detector_of(instance, name, sent):
    """Return the detector of an instance that records its datagrams."""
    record = InstanceRecord(name, instance.zone, '127.0.0.1', 7)
    other = InstanceRecord('a-9', 'a', '127.0.0.9', 9)
    return FailureDetector(
        instance.detection,
        None,
        lambda datagram, address: sent.append((datagram, address)),
        record,
        lambda: (record, other),
        lambda: (),
        Counter(),
        instance.events,
        lambda: 0.0,
    )


@pytest.mark.parametrize('finding', [Finding.LOST, Finding.ENDED])
def test_an_instance_that_starts_meanwhile_keeps_the_limit(finding):
    """Guards against a new instance that sends its full share.

    The entries that it reads are those of the earlier process.
    """
    fleet = Fleet(targets=3)
    if finding is Finding.LOST:
        fleet.fail('t-1', CheckOutcome.UNREACHABLE, 1.0)
    else:
        fleet.check('t-1', CheckOutcome.REFUSED, 1.0)
    fleet.answer('t-1', 2.0)
    started = test_restarts.Instance('a-5', 'a', 3)
    queries, replies = [], []
    asking = detector_of(started, 'a-5', queries)
    asking._ask_for_processes(2.2)
    ((query, address),) = queries
    assert address.port == 9
    answering = detector_of(fleet.instances['a-2'], 'a-2', replies)
    assert answering.on_datagram(query, 2.2)
    ((reply, address),) = replies
    assert tuple(address) == ('127.0.0.1', 7)
    assert asking.on_datagram(reply, 2.2)
    assert started.targets['t-1'].is_cold(2.0 + WARMUP_S)
    assert not started.targets['t-1'].is_cold(2.0 + WARMUP_S + 0.3)
    assert not started.targets['t-2'].is_cold(2.2)


def test_an_instance_that_starts_asks_a_few_times():
    """Guards against queries without end, and one lost datagram."""
    sent = []
    started = test_restarts.Instance('a-5', 'a', 3)
    asking = detector_of(started, 'a-5', sent)
    for step in range(100):
        asking._ask_for_processes(step / 10)
    assert len(sent) == 3


@pytest.mark.parametrize('host', ['', 'front-1', '127.0.0.1:7', '0.0.0.0'])
def test_a_query_with_an_odd_address_is_not_answered(host):
    """Guards against a reply to a name, whose look-up would block."""
    report = EvidenceReport('a-1', 'a', (), ReplyAddress(host, 7))
    assert decode_evidence(encode_evidence(report)) is None


def test_the_engine_reports_flows_that_go_on():
    """Guards against progress of open flows that nobody notes.

    The first packet after a silence may acknowledge data of before it, so only
    the one after that shows that the target has sent something since.
    """
    engine = Engine(targets=[target(1)], resets_ended=True)
    noted = []
    engine.responsiveness.note_progress = lambda *args: noted.append(args[1:])
    record = engine.open(1000, 0)
    engine.answer(1000, record, 0.1, copy=10)
    engine.answer(1000, record, 0.2, copy=10)
    assert not noted
    engine.answer(1000, record, 0.9, copy=20)
    engine.engine.on_packet(
        packet(1000, flags=ACK | FIN, token=record.token, copy=30), 1.0
    )
    assert noted == [(0.1, 0.2, 0.9), (0.1, 0.9, 1.0)]
