"""Tests of the models of callers and targets, of the score and of day files."""

import random

import msgspec
import pytest

from siskinproxy.emulator.callers import CallerRequest, Outcome
from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import RequestClass, read_day
from siskinproxy.emulator.run import DAYS_FOLDER
from siskinproxy.emulator.scoring import score_day
from siskinproxy.emulator.targets import EmulatedTarget, Job
from siskinproxy.entry.packets import ACK, FIN, RST, SYN
from siskinproxy.entry.records import RequestKind
from siskinproxy.errors import SettingsError

DAY = read_day(DAYS_FOLDER / 'quiet-1.toml')
SAFE, UNSAFE, _ = DAY.classes
TICKET_DESK = DAY.services[0]


class Caller:
    """A request whose packets and outcomes are recorded."""

    def __init__(self, request_class=SAFE):
        self.clock = VirtualClock()
        self.packets = []
        self.ends = []
        self.req = CallerRequest(
            8,
            request_class,
            'alfold-a',
            bytes(6),
            self.clock,
            random.Random(1),
            lambda req, packet: self.packets.append(packet),
            self.ends.append,
        )

    @property
    def flags(self):
        return [packet.flags for packet in self.packets]


def test_opening_packets_are_repeated_until_one_is_accepted():
    """A caller that doesn't retransmit a lost SYN would never get an answer.

    Only the first of several acceptances counts.
    """
    caller = Caller()
    caller.clock.run_until(0.7)
    assert [packet.copy for packet in caller.packets] == [0, 1, 2]
    caller.req.on_accepted(8, 5)
    caller.req.on_accepted(8, 6)
    caller.clock.run_until(2.0)
    assert caller.flags == [SYN, SYN, SYN, ACK]
    assert caller.packets[-1].token == 5


@pytest.mark.parametrize(
    ('request_class', 'runs', 'attempts'),
    [(SAFE, 0, 3), (SAFE, 1, 3), (UNSAFE, 0, 3), (UNSAFE, 1, 1)],
    ids=['safe', 'safe that ran', 'unsafe', 'unsafe that ran'],
)
def test_resets_are_followed_by_allowed_attempts(request_class, runs, attempts):
    """A retry of an unsafe request that a target accepted would run it twice.

    Safe requests, and unsafe ones that no target accepted, are retried.
    """
    caller = Caller(request_class)
    caller.req.runs = runs
    for flow in range(8, 12):
        caller.req.on_reset(flow)
        caller.clock.run_until(caller.clock.now_s + 0.15)
    assert caller.flags == [SYN] * attempts
    assert [end.took_s for end in caller.ends] == [None]


def test_the_deadline_ends_a_request():
    """Without a deadline, a request that gets no answer would never end.

    An answer after the deadline must not end the request a second time.
    """
    caller = Caller()
    caller.clock.run_until(4.1)
    assert caller.flags[-1] == RST
    assert caller.ends[0].took_s is None
    caller.req.on_answer(8)
    assert len(caller.ends) == 1


def test_an_answer_closes_the_flow():
    """Without a FIN after the answer, the flow would still count as open."""
    caller = Caller()
    caller.req.on_accepted(8, 5)
    caller.clock.run_until(0.1)
    caller.req.on_answer(8)
    assert caller.flags == [SYN, ACK, FIN]
    assert caller.ends[0].took_s == pytest.approx(0.1)


def test_a_target_runs_queues_and_resets():
    """A target without limits of slots and queue would never be overloaded.

    A restart must drop the requests that it holds.
    """
    clock = VirtualClock()
    target = EmulatedTarget(1, TICKET_DESK, 'alfold-a', clock)
    done = []
    jobs = [
        Job(1.0, lambda number=number: done.append(number))
        for number in range(TICKET_DESK.slots + TICKET_DESK.queue + 1)
    ]
    accepted = [target.accept(job) for job in jobs]
    assert accepted == [True] * (TICKET_DESK.slots + TICKET_DESK.queue) + [
        False
    ]
    clock.run_until(1.0)
    assert done == [0, 1, 2, 3]
    target.restart()
    clock.run_until(9.0)
    assert done == [0, 1, 2, 3]


def test_a_cold_target_is_slow():
    """A target that ignores the cold factor runs at full speed after a restart.

    Scores would then not show what cold targets cost.
    """
    clock = VirtualClock()
    target = EmulatedTarget(1, TICKET_DESK, 'alfold-a', clock)
    target.restart()
    assert target.record().warmup_left_s == TICKET_DESK.cold_s
    done = []
    target.accept(Job(1.0, lambda: done.append(clock.now_s)))
    clock.run_until(5.0)
    assert done == [pytest.approx(TICKET_DESK.cold_factor)]


def outcome(kind=SAFE.name, took_s=0.1, asked_s=0.0, runs=1):
    return Outcome(kind, 'alfold-a', asked_s, took_s, 0, runs)


def test_worth_counts_late_answers_less_and_failures_not():
    """A late answer must score less than one in time, a failure nothing.

    Also checks the counts, and the shares of windows and request classes.
    """
    score = score_day(
        DAY,
        [
            outcome(),
            outcome(took_s=0.3),
            outcome(took_s=None, asked_s=2.5),
            outcome(UNSAFE.name, runs=2, asked_s=4.5),
        ],
    )
    assert score.whole_day == pytest.approx((1 + 0.3 + 0 + 2) / 5)
    assert score.windows == (0.65, 0, 1)
    assert score.worst_windows == pytest.approx(0.325)
    assert score.worst_class == pytest.approx(1.3 / 3, abs=1e-4)
    assert (score.late, score.failed, score.doubled) == (1, 1, 1)


@pytest.mark.parametrize(
    'edit',
    [('slots = 4', 'slot = 4'), ('kind = "safe"', 'kind = "sound"'), ('[', '')],
    ids=['unknown key', 'unknown kind', 'no TOML'],
)
def test_a_wrong_day_is_named(tmp_path, edit):
    """A mistyped key or value must be an error, with the name of the file.

    Otherwise a scenario would run with other values than its file states.
    """
    path = tmp_path / 'day.toml'
    path.write_text((DAYS_FOLDER / 'quiet-1.toml').read_text().replace(*edit))
    with pytest.raises(SettingsError, match='day.toml'):
        read_day(path)


def test_days_of_the_tool_can_be_read():
    """A change of the fields of `Day` can make bundled files unreadable.

    Also checks that the weights of each file add up to 1.
    """
    for path in DAYS_FOLDER.glob('*.toml'):
        loaded = read_day(path)
        assert isinstance(loaded.classes[0], RequestClass)
        assert loaded.classes[0].kind in RequestKind
        assert sum(msgspec.structs.asdict(loaded.weights).values()) == (
            pytest.approx(1)
        )
