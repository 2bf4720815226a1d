"""Tests of callers that keep flows, and of targets and load of full days."""

import random
from collections import Counter

import msgspec
import pytest

from siskinproxy.emulator.caller_flow import REJECTION_BYTES, REQUEST_BYTES
from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Fault
from siskinproxy.emulator.emulation import Emulation
from siskinproxy.emulator.faults import apply_fault
from siskinproxy.emulator.flow_callers import FlowCaller, FlowRequest
from siskinproxy.emulator.instances import ReportMode
from siskinproxy.emulator.load import LoadGenerator
from siskinproxy.emulator.policies import POLICIES
from siskinproxy.emulator.scarcity import (
    FIRST_ROUTE,
    FROM_S,
    SCENARIOS,
    SECOND_ROUTE,
    UNTIL_S,
)
from siskinproxy.emulator.targets import EmulatedTarget, Job
from siskinproxy.entry.packets import ACK, FIN, RST, SYN

DAY = SCENARIOS['usual']
UNSAFE, SAFE = DAY.classes
ONE_PACKET, LONG = 700, 4000
DELAY_S = 0.003


class Link:
    """A caller and a target with nothing between them."""

    def __init__(self, request_class=SAFE, **layout):
        self.clock = VirtualClock()
        self.packets = []
        self.ends = []
        self.flows = []
        self.target = EmulatedTarget(
            1,
            msgspec.structs.replace(DAY.services[0], **layout),
            'a',
            self.clock,
        )
        self.refuses = False
        self.caller = FlowCaller(
            request_class,
            'a',
            bytes(6),
            self.clock,
            lambda: 8 * len(self.flows) + 8,
            self._send,
        )

    def ask(self):
        FlowRequest(self.caller, random.Random(1), self.ends.append)

    def run(self, for_s):
        self.clock.run_until(self.clock.now_s + for_s)

    def _send(self, flow, packet):
        if flow not in self.flows:
            self.flows.append(flow)
        self.packets.append(packet)
        if not packet.flags & SYN:
            flow.on_target_packet(self.target, packet, DELAY_S)
        elif self.refuses:
            self.clock.call_after(DELAY_S, flow.on_reset, flow.flow)
        else:
            self.clock.call_after(DELAY_S, flow.on_accepted, flow.flow, 7)

    @property
    def flags(self):
        return [packet.flags for packet in self.packets]


def class_with(request_class, **changes):
    return msgspec.structs.replace(request_class, **changes)


@pytest.mark.parametrize(
    ('response_bytes', 'acked_after_s'),
    [(ONE_PACKET, 0.04), (LONG, 0)],
    ids=['one packet', 'longer'],
)
def test_a_flow_carries_further_requests(response_bytes, acked_after_s):
    """Guards against callers whose packets do not show where a request ends.

    The sequence number advances by what the caller sent, the acknowledgment
    number by the response.
    """
    link = Link(class_with(SAFE, response_bytes=response_bytes))
    link.ask()
    link.run(0.2)
    assert link.flags == [SYN, ACK, ACK]
    first, ack = link.packets[1:]
    assert (first.data_bytes, ack.data_bytes) == (REQUEST_BYTES, 0)
    assert ack.copy - first.copy == response_bytes
    link.ask()
    link.run(0.2)
    second = link.packets[3]
    assert second.flow == first.flow
    assert second.sequence - first.sequence == REQUEST_BYTES
    assert second.copy == ack.copy
    assert [each.took_s is not None for each in link.ends] == [True, True]


def test_an_idle_flow_is_closed():
    """Guards against flows that stay open for the whole day."""
    link = Link()
    link.ask()
    link.run(12.5)
    assert link.flags[-1] == FIN | ACK
    link.ask()
    assert len(link.flows) == 2


def test_a_flow_for_each_request_is_closed_at_the_response():
    """Guards against short flows that still count as open."""
    link = Link(class_with(SAFE, callers=0))
    link.ask()
    link.run(0.2)
    assert link.flags == [SYN, ACK, FIN | ACK]
    assert link.packets[2].copy - link.packets[1].copy == SAFE.response_bytes


@pytest.mark.parametrize('request_class', [SAFE, UNSAFE])
def test_a_rejected_request_is_repeated_on_a_new_flow(request_class):
    """Guards against rejections that callers and the score do not see.

    A full target says that it did not run the request, so that one that is not
    idempotent may be repeated too. The flow stays open.
    """
    link = Link(request_class, queue=0, slots=0)
    link.ask()
    link.run(1.0)
    (end,) = link.ends
    assert (end.rejections, end.runs, end.is_refused) == (3, 0, True)
    assert link.target.shed == link.target.arrived == 3
    assert len(link.flows) == 3
    assert FIN | ACK not in link.flags
    acks = [each.copy for each in link.packets if each.flow[5] == 8]
    assert max(acks[1:]) - acks[1] == REJECTION_BYTES


def test_a_refused_opening_is_repeated_after_a_pause():
    """Guards against callers that give up at the first refusal."""
    link = Link(UNSAFE)
    link.refuses = True
    link.ask()
    link.run(1.0)
    (end,) = link.ends
    assert link.flags == [SYN] * 3
    assert end.is_refused
    assert end.refused_after_s == pytest.approx([DELAY_S] * 3)
    assert end.gave_up_s == pytest.approx(3 * DELAY_S + 0.2)


@pytest.mark.parametrize(
    ('request_class', 'attempts'), [(SAFE, 2), (UNSAFE, 1)]
)
def test_a_request_on_a_reset_flow(request_class, attempts):
    """Guards against running a request twice that is not idempotent."""
    link = Link(request_class)
    link.ask()
    link.run(0.02)
    assert link.flows[0].is_open
    link.flows[0].on_reset(8)
    link.run(0.5)
    assert len(link.flows) == attempts
    assert link.ends[0].runs == attempts
    assert not link.ends[0].is_refused


def test_a_flow_ends_with_the_start_of_its_target():
    """Guards against targets that hold flows of before their restart."""
    link = Link(UNSAFE)
    link.ask()
    link.run(0.2)
    link.target.restart()
    link.ask()
    link.run(0.2)
    assert link.flows[0].is_closed
    assert link.ends[1].resets == 1


def test_a_draining_target_closes_its_flows():
    """Guards against callers that stay at a target until it ends."""
    link = Link()
    link.target.is_draining = True
    link.ask()
    link.run(0.2)
    assert link.flags[-1] == FIN | ACK


def test_a_caller_gives_up_at_the_deadline():
    """Guards against requests that never end at a silent target."""
    link = Link()
    link.target.is_unresponsive = True
    link.ask()
    link.run(4.5)
    assert link.flags[-1] == RST
    assert link.ends[0].took_s is None


def test_a_target_slows_down_with_concurrency():
    """Guards against targets whose speed never depends on their load."""
    clock = VirtualClock()
    layout = msgspec.structs.replace(
        DAY.services[0], slots=1, concurrency_limit=1, concurrency_factor=0.5
    )
    target = EmulatedTarget(1, layout, 'a', clock)
    done_s = []
    for _ in range(3):
        target.accept(Job(1.0, lambda: done_s.append(clock.now_s)))
    clock.run_until(9.0)
    assert done_s == pytest.approx([1.0, 2.5, 3.5])


def test_the_speed_of_a_target_changes_during_the_day():
    """Guards against a fault that is applied once and never changed."""
    emulation = Emulation(SCENARIOS['slow_third'], POLICIES['siskinproxy'], 1)
    fault = Fault('targets_slow', 0, 2, share=1 / 3, factor=3, next_factor=5)
    apply_fault(emulation, fault)
    seen = []
    for until_s in (0.5, 1.5, 2.5):
        emulation.clock.run_until(until_s)
        seen.append(Counter(each.slowness for each in emulation.targets))
    assert seen == [{3: 8, 1: 16}, {5: 8, 1: 16}, {1: 24}]


@pytest.mark.parametrize(
    ('name', 'load', 'by_zone', 'by_route'),
    [
        ('usual', 0.4, (1, 1, 1), (1, 1)),
        ('triple', 1.2, (3, 3, 3), (3, 3)),
        ('zone_surge', 0.733, (3.5, 1, 1), (1.833, 1.833)),
        ('route_surge', 1.274, (3.333, 3.333, 3.333), (1, 4)),
    ],
)
def test_the_load_is_as_stated(name, load, by_zone, by_route):
    """Guards against scenarios with less load than their names say."""
    day = SCENARIOS[name]
    emulation = Emulation(day, POLICIES['siskinproxy'], 1)
    arrivals = []
    emulation.load = LoadGenerator(
        day,
        emulation.clock,
        random.Random(2),
        lambda number, zone, rng: arrivals.append(
            (emulation.clock.now_s, number, zone)
        ),
    )
    emulation.load.start()
    for fault in day.faults:
        if fault.kind == 'burst':
            emulation.clock.call_at(fault.at_s, apply_fault, emulation, fault)
    emulation.clock.run_until(day.length_s)
    window = [each for each in arrivals if FROM_S <= each[0] < UNTIL_S]
    for_s = UNTIL_S - FROM_S
    work_s = sum(day.classes[number].work_ms for _, number, _ in window) / 1000
    slots = sum(each.layout.slots for each in emulation.targets)
    assert work_s / for_s / slots == pytest.approx(load, rel=0.06)
    rate = day.requests_per_s[0] * for_s
    zones = Counter(zone for _, _, zone in window)
    assert [zones[zone] / rate for zone in day.zones] == pytest.approx(
        by_zone, rel=0.12
    )
    routes = Counter(number for _, number, _ in window)
    shares = [2 / 9, 7 / 9]
    assert [
        routes[number] / (3 * rate * shares[number]) for number in (0, 1)
    ] == pytest.approx(by_route, rel=0.12)


def test_routes_have_their_priorities():
    """Guards against a mix whose routes the engines can't tell apart."""
    assert [each.name for each in DAY.classes] == [FIRST_ROUTE, SECOND_ROUTE]
    assert [each.priority for each in DAY.classes] == [1, 2]


def play(*faults, length_s=4.0):
    day = msgspec.structs.replace(DAY, faults=faults, length_s=length_s)
    emulation = Emulation(day, POLICIES['siskinproxy'], 1)
    emulation.run()
    return emulation


def test_long_flows_are_kept():
    """Guards against callers that open a flow although they have an idle one."""
    emulation = play(length_s=8.0)
    opened = sum(each.engine.counters['opened'] for each in emulation.instances)
    assert opened < len(emulation.outcomes) / 2
    assert all(each.took_s is not None for each in emulation.outcomes)


def test_a_paused_instance_handles_what_has_arrived():
    """Guards against a pause that drops packets or lets timers run on."""
    emulation = Emulation(
        msgspec.structs.replace(DAY, length_s=3.0), POLICIES['siskinproxy'], 1
    )
    paused = emulation.instances[0]
    seen = []

    def look():
        count = sum(paused.engine.counters.values())
        seen.append((paused.answers_probes, count))

    for at_s, action in (
        (1.0, paused.pause),
        (1.0, look),
        (1.4, look),
        (1.5, paused.resume),
        (1.5, look),
    ):
        emulation.clock.call_at(at_s, action)
    emulation.run()
    (_, at_start), (is_probed, at_end), (is_probed_again, resumed) = seen
    assert (is_probed, is_probed_again) == (False, True)
    assert at_end == at_start
    assert resumed > at_start + 10


@pytest.mark.parametrize(
    ('mode', 'expected'),
    [(ReportMode.SILENT, None), (ReportMode.ALL_FULL, 24)],
)
def test_an_instance_reports_wrongly(mode, expected):
    """Guards against a fault of a peer that the others never see."""
    emulation = play(length_s=1.0)
    instance = emulation.instances[0]
    assert instance.report().flows == {}
    instance.report_mode = mode
    report = instance.report()
    assert (report and len(report.flows)) == expected


def test_reports_are_lost():
    """Guards against a loss of reports that no instance notices."""
    heard = []
    for share in (0, 0.3, 1):
        emulation = Emulation(DAY, POLICIES['siskinproxy'], 1)
        received = []
        for instance in emulation.instances:
            instance.on_report = received.append
        fault = Fault('reports_lost', 0, 60, share=share)
        day_faults = (fault,)
        emulation._day = msgspec.structs.replace(
            DAY, faults=day_faults, length_s=1.0
        )
        emulation.run()
        heard.append(len(received))
    assert heard[1] == pytest.approx(0.7 * heard[0], rel=0.05)
    assert heard[2] < 0.02 * heard[0]
