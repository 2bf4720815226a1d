"""Tests of the flow counts of an instance that takes over shards."""

import random

import pytest

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.callers.flow_table import FlowState
from siskinproxy.instances.tunnel import CopyEntry, encode_entries
from siskinproxy.measure.decision_cost import RecordingOutbox
from siskinproxy.measure.flow_samples import SampleFlows
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

SIGHT_S = {'a': 0.0}


def make_service(number, mode, target_count):
    listener = Listener(f'203.0.113.{number}', 443, 8000, mode=mode)
    targets = tuple(
        Target(f't{number}-{index}', f'127.{number}.0.{index + 1}', 'a')
        for index in range(target_count)
    )
    return Service(f's{number}', (listener,), targets)


def take_over(cfg, entries):
    """Return an engine that holds the entries and then becomes the owner.

    A leaving member owns no shard, so the engine stores the entries without
    counting them and takes over all shards when it is alive again.
    """
    me = Member('i1', 'a', '127.0.0.1', 7400, 7402)
    leaving = Member('i1', 'a', '127.0.0.1', 7400, 7402, status='leaving')
    engine = PacketEngine(me, RecordingOutbox(), Limits(), random.Random(1))
    engine.apply_snapshot(RoutingSnapshot(1, cfg, (leaving,), SIGHT_S), 0)
    assert not engine.opener.admissions
    for number, (entry, phase) in enumerate(entries):
        route = engine.state.routes.by_target[entry.target]
        table = engine.state.table_of(route)
        if number % 2:
            table.old[entry.flow_key] = route.bindings[phase]
        else:
            table.put(entry.flow_key, route.bindings[phase])
    engine.apply_snapshot(RoutingSnapshot(1, cfg, (me,), SIGHT_S), 1)
    return engine


def expected_counts(engine, entries):
    """Return the number of flows that should be counted for each target.

    An open flow counts for its target if the target belongs to the shard of
    the flow.
    """
    shard_of_target = {
        report.name: shard
        for shard, admission in engine.opener.admissions.items()
        for report in admission.report(1)
    }
    expected = dict.fromkeys(shard_of_target, 0)
    for entry, phase in entries:
        route = engine.state.routes.by_target[entry.target]
        name = route.target.name
        shard = engine.state.shard(route.listener.service, entry.flow_key)
        is_open = phase < FlowState.TARGET_CLOSED
        if is_open and shard_of_target[name] == shard:
            expected[name] += 1
    return expected


@pytest.mark.parametrize('mode', ['stream', 'request'])
@pytest.mark.parametrize('target_count', [7, 40])
def test_new_owner_counts_each_open_flow_once(mode, target_count):
    """Guards against flows missed or counted twice at a takeover.

    After a missed flow the new owner exceeds a target's limits; after a flow
    counted twice a slot stays unused for good.
    """
    services = (
        make_service(1, mode, target_count),
        make_service(2, 'stream', 3),
    )
    cfg = Configuration('alfold', (Zone('a'),), services)
    flows = SampleFlows(cfg)
    pairs = target_count + 3
    entries = [
        (flows.entry(number), FlowState(number // pairs % len(FlowState)))
        for number in range(10 * pairs)
    ]
    engine = take_over(cfg, entries)
    found = {
        report.name: report.in_use + report.connections
        for admission in engine.opener.admissions.values()
        for report in admission.report(1)
    }
    assert found == expected_counts(engine, entries)
    assert sum(found.values()) > pairs


@pytest.mark.parametrize(
    ('is_copied', 'counted'), [(False, 0), (True, 20)], ids=['ended', 'open']
)
def test_requests_that_ended_elsewhere_hold_no_slot(is_copied, counted):
    """Guards against a returning owner whose slots are full of ended requests.

    While an instance is no home, nobody tells it which requests end. If its
    entries counted when it owns the shard again, as after its zone returned to
    service, all new flows would wait until they expire. A copy from a home that
    stayed shows that the request is in progress.
    """
    cfg = Configuration(
        'alfold', (Zone('a'),), (make_service(1, 'request', 7),)
    )
    flows = SampleFlows(cfg)
    entries = [flows.entry(number) for number in range(20)]
    me = Member('i1', 'a', '127.0.0.1', 7400, 7402)
    leaving = Member('i1', 'a', '127.0.0.1', 7400, 7402, status='leaving')
    engine = PacketEngine(me, RecordingOutbox(), Limits(), random.Random(1))
    engine.apply_snapshot(RoutingSnapshot(1, cfg, (me,), SIGHT_S), 0)
    for entry in entries:
        route = engine.state.routes.by_target[entry.target]
        engine.state.store(entry.flow_key, route, FlowState.ESTABLISHED)
    engine.apply_snapshot(RoutingSnapshot(1, cfg, (leaving,), SIGHT_S), 1)
    engine.apply_snapshot(RoutingSnapshot(1, cfg, (me,), SIGHT_S), 5)
    if is_copied:
        copies = [
            CopyEntry(entry.flow_key, entry.target, int(FlowState.ESTABLISHED))
            for entry in entries
        ]
        engine.copier.on_copy(encode_entries(copies), 5.1)
    (admission,) = engine.opener.admissions.values()
    assert sum(report.in_use for report in admission.report(5.2)) == counted
