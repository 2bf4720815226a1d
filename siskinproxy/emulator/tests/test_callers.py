"""Attempts of a request, targets and what a day is worth."""

import random

import msgspec
import pytest

from siskinproxy.emulator.callers import CallerRequest, Outcome
from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import CallerClass, read_day
from siskinproxy.emulator.run import DAYS
from siskinproxy.emulator.targets import EmulatedTarget, Job
from siskinproxy.emulator.worth import find_worth
from siskinproxy.entry.packets import ACK, FIN, RST, SYN
from siskinproxy.entry.records import RequestKind
from siskinproxy.errors import SettingsError

DAY = read_day(DAYS / 'quiet-1.toml')
SAFE, UNSAFE, _ = DAY.classes
DESK = DAY.services[0]


class Caller:
    """A request whose packets are kept."""

    def __init__(self, layout=SAFE):
        self.clock = VirtualClock()
        self.packets = []
        self.ends = []
        self.req = CallerRequest(
            8,
            layout,
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
    """Guards against a caller that gives up after a lost packet."""
    caller = Caller()
    caller.clock.run_until(0.7)
    assert [packet.copy for packet in caller.packets] == [0, 1, 2]
    caller.req.on_accepted(8, 5)
    caller.req.on_accepted(8, 6)
    caller.clock.run_until(2.0)
    assert caller.flags == [SYN, SYN, SYN, ACK]
    assert caller.packets[-1].token == 5


@pytest.mark.parametrize(
    ('layout', 'runs', 'attempts'),
    [(SAFE, 0, 3), (SAFE, 1, 3), (UNSAFE, 0, 3), (UNSAFE, 1, 1)],
    ids=['safe', 'safe that ran', 'unsafe', 'unsafe that ran'],
)
def test_resets_are_followed_by_allowed_attempts(layout, runs, attempts):
    """Guards against an unsafe request that is sent again after it ran."""
    caller = Caller(layout)
    caller.req.runs = runs
    for flow in range(8, 12):
        caller.req.on_reset(flow)
        caller.clock.run_until(caller.clock.now_s + 0.15)
    assert caller.flags == [SYN] * attempts
    assert [end.took_s for end in caller.ends] == [None]


def test_the_deadline_ends_a_request():
    """Guards against callers that wait for ever."""
    caller = Caller()
    caller.clock.run_until(4.1)
    assert caller.flags[-1] == RST
    assert caller.ends[0].took_s is None
    caller.req.on_answer(8)
    assert len(caller.ends) == 1


def test_an_answer_closes_the_flow():
    """Guards against slots that are held after the answer."""
    caller = Caller()
    caller.req.on_accepted(8, 5)
    caller.clock.run_until(0.1)
    caller.req.on_answer(8)
    assert caller.flags == [SYN, ACK, FIN]
    assert caller.ends[0].took_s == pytest.approx(0.1)


def test_a_target_runs_queues_and_resets():
    """Guards against a target without limits."""
    clock = VirtualClock()
    target = EmulatedTarget(1, DESK, 'alfold-a', clock)
    done = []
    jobs = [
        Job(1.0, lambda number=number: done.append(number))
        for number in range(DESK.slots + DESK.queue + 1)
    ]
    taken = [target.take(job) for job in jobs]
    assert taken == [True] * (DESK.slots + DESK.queue) + [False]
    clock.run_until(1.0)
    assert done == [0, 1, 2, 3]
    target.restart()
    clock.run_until(9.0)
    assert done == [0, 1, 2, 3]


def test_a_cold_target_is_slow():
    """Guards against cold starts that cost nothing."""
    clock = VirtualClock()
    target = EmulatedTarget(1, DESK, 'alfold-a', clock)
    target.restart()
    assert target.record().warmup_left_s == DESK.cold_s
    done = []
    target.take(Job(1.0, lambda: done.append(clock.now_s)))
    clock.run_until(5.0)
    assert done == [pytest.approx(DESK.cold_factor)]


def outcome(kind=SAFE.name, took_s=0.1, asked_s=0.0, runs=1):
    return Outcome(kind, 'alfold-a', asked_s, took_s, 0, runs)


def test_worth_counts_late_answers_less_and_failures_not():
    """Guards against a score that does not tell late from in time."""
    found = find_worth(
        DAY,
        [
            outcome(),
            outcome(took_s=0.3),
            outcome(took_s=None, asked_s=2.5),
            outcome(UNSAFE.name, runs=2, asked_s=4.5),
        ],
    )
    assert found.whole_day == pytest.approx((1 + 0.3 + 0 + 2) / 5)
    assert found.windows == (0.65, 0, 1)
    assert found.worst_windows == pytest.approx(0.325)
    assert found.worst_class == pytest.approx(1.3 / 3, abs=1e-4)
    assert (found.late, found.failed, found.doubled) == (1, 1, 1)


@pytest.mark.parametrize(
    'edit',
    [('slots = 4', 'slot = 4'), ('kind = "safe"', 'kind = "sound"'), ('[', '')],
    ids=['unknown key', 'unknown kind', 'no TOML'],
)
def test_a_wrong_day_is_named(tmp_path, edit):
    """Guards against a day that is half understood."""
    path = tmp_path / 'day.toml'
    path.write_text((DAYS / 'quiet-1.toml').read_text().replace(*edit))
    with pytest.raises(SettingsError, match='day.toml'):
        read_day(path)


def test_days_of_the_tool_can_be_read():
    """Guards against a day that is broken by a new field."""
    for path in DAYS.glob('*.toml'):
        found = read_day(path)
        assert isinstance(found.classes[0], CallerClass)
        assert found.classes[0].kind in RequestKind
        assert sum(msgspec.structs.asdict(found.weights).values()) == (
            pytest.approx(1)
        )
