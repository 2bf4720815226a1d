"""Openings of flows by a new owner whose predecessor does not answer."""

import random

import pytest

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.engine_state import SUSPECT_TIMEOUT_S
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.balancer.tests.test_contradicting_entries import (
    CALLER,
    LISTENER,
    Outbox,
)
from siskinproxy.balancer.tests.test_shard_restore import make_service
from siskinproxy.fabric.segments import SYN, build_segment
from siskinproxy.instances.tunnel import (
    DatagramKind,
    TunnelHeader,
    encode,
    member_id,
)
from siskinproxy.operators.configuration import Configuration, Zone

CONFIGURATION = Configuration(
    'alfold', (Zone('a'),), (make_service(1, 'request', 3),)
)
SEGMENT = build_segment(CALLER, LISTENER, SYN, 7)
TIMER_PERIOD_S = 0.01


def make_member(name, status='alive'):
    number = int(name[1:])
    return Member(
        name, 'a', '127.0.0.1', 7400 + number, 7500 + number, status=status
    )


def make_new_owner(earlier_homes):
    """Return an engine that became the only home after the earlier ones left.

    They are still members, since the members learn late that they exited.
    """
    me = make_member('i9')
    leaving = make_member('i9', 'leaving')
    engine = PacketEngine(me, Outbox(), Limits(), random.Random(1))
    alive = tuple(make_member(name) for name in earlier_homes)
    gone = tuple(make_member(name, 'leaving') for name in earlier_homes)
    for members, now_s in (((leaving, *alive), 0), ((me, *gone), 1)):
        snapshot = RoutingSnapshot(1, CONFIGURATION, members, {'a': 0.0})
        engine.apply_snapshot(snapshot, now_s)
    return engine


def run_timers(engine, start_s, end_s):
    now_s = start_s
    while now_s < end_s:
        now_s += TIMER_PERIOD_S
        engine.on_timer(now_s)
    return now_s


def lookups(engine):
    return [
        name
        for name, header, _ in engine.state.outbox.instances
        if header.kind == DatagramKind.LOOKUP
    ]


@pytest.mark.parametrize('count', [1, 2, 3])
def test_a_flow_is_opened_although_no_earlier_owner_answers(count):
    """Guards against flows that are lost while the members still name the dead.

    An instance exits, and the next change of owners comes before the others
    learn of the exit. The new owner asks it about each flow, and without an
    answer nobody opens the flow until the caller repeats its SYN.
    """
    engine = make_new_owner([f'i{number + 1}' for number in range(count)])
    engine.on_segment(SEGMENT, 2.0)
    assert lookups(engine)
    assert not engine.state.outbox.targets
    run_timers(engine, 2.0, 2.0 + count * (SUSPECT_TIMEOUT_S + 0.05))
    assert len(set(lookups(engine))) == count
    assert len(engine.state.outbox.targets) == 1
    assert not engine.state.outbox.callers


def test_an_earlier_owner_that_answers_is_asked_once():
    """Guards against a second target for a flow that the earlier owner opened.

    While that owner answers, its answer decides, and the new owner may not
    open the flow by itself.
    """
    engine = make_new_owner(['i1'])
    engine.on_segment(SEGMENT, 2.0)
    header = TunnelHeader(
        DatagramKind.HELLO, 0, 0, 1, member_id('i1'), bytes(6)
    )
    engine.on_tunnel(encode(header, b''), 2.1)
    run_timers(engine, 2.1, 2.6)
    assert lookups(engine) == ['i1']
    assert not engine.state.outbox.targets
