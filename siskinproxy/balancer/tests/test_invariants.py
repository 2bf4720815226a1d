"""Proof that each check of the packet process fires."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from siskinproxy.balancer.counters import Counters
from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.balancer.opening import FlowOpener
from siskinproxy.balancer.routes import RouteTable
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.callers.flow_table import FlowState
from siskinproxy.fabric.segments import ACK, RST, SYN, Endpoint, build_segment
from siskinproxy.measure.deployments import DEPLOYMENTS
from siskinproxy.measure.experiment import replace_target
from siskinproxy.operators.differences import with_zone_in_service
from siskinproxy.targets.target_state import TargetState

CFG = DEPLOYMENTS['alfold'].cfg
CALLER = Endpoint('127.0.9.1', 40000)


class Outbox:
    def __init__(self):
        self.targets = []
        self.callers = []

    def to_target(self, address, segment):
        self.targets.append((address, segment))

    def to_caller(self, segment):
        self.callers.append(segment)

    def to_instance(self, member, datagram):
        raise AssertionError('the only instance has no peers')


class Bench:
    """Engine of a region with a single instance, so that it owns all."""

    def __init__(self, cfg=CFG):
        member = Member('a-1', 'a', '127.2.0.1', 7000, 7001)
        self.outbox = Outbox()
        self.engine = PacketEngine(
            member, self.outbox, Limits(), random.Random(1)
        )
        self.found = []
        state = self.engine.state
        state.monitor.on_violation = self.found.append
        self.state = state
        self.member = member
        self.apply(1, cfg)

    def apply(self, generation, cfg):
        sight = {zone.name: 0.0 for zone in cfg.zones}
        snapshot = RoutingSnapshot(generation, cfg, (self.member,), sight)
        self.engine.apply_snapshot(snapshot, 1.0)

    def route(self, address, port):
        return next(
            route
            for route in self.state.routes.by_target.values()
            if route.address == (address, port)
        )

    def from_caller(self, flags, caller=CALLER):
        listener = CFG.services[0].listeners[0]
        return build_segment(
            caller, Endpoint(listener.address, listener.port), flags, 1, 1
        )

    def syn(self, caller=CALLER):
        self.engine.on_segment(self.from_caller(SYN, caller), 1.0)

    def names(self):
        counted = self.engine.counters().as_dict()
        for violation in self.found:
            assert counted[f'violations_{violation.name}']
        return {violation.name for violation in self.found}


def key_of(segment):
    return segment[12:24]


def broken_isolation(bench, monkeypatch):
    route = bench.route('127.1.1.1', 7000)
    bench.state.store(
        key_of(bench.from_caller(ACK)), route, FlowState.ESTABLISHED
    )
    route.address = Endpoint('127.1.2.1', 7002)
    bench.engine.on_segment(bench.from_caller(ACK), 1.0)


def broken_zone_out(bench, monkeypatch):
    route = bench.route('127.1.1.1', 7000)
    bench.apply(2, with_zone_in_service(CFG, 'a', False))
    route.is_allowed = True
    bench.state.store(
        key_of(bench.from_caller(ACK)), route, FlowState.ESTABLISHED
    )
    bench.engine.on_segment(bench.from_caller(ACK), 1.0)


def broken_drain(bench, monkeypatch):
    cfg = CFG
    for number in range(1, 8):
        cfg = replace_target(cfg, f'desk-{number}', draining=True)
    monkeypatch.setattr(TargetState, 'serves', True)
    bench.apply(2, cfg)
    bench.syn()


def broken_limit(bench, monkeypatch):
    monkeypatch.setattr(TargetState, 'has_room', lambda self, mode: True)
    for port in range(40):
        bench.syn(Endpoint('127.0.9.1', 30000 + port))


def broken_refusal(bench, monkeypatch):
    route = bench.route('127.1.1.1', 7000)
    segment = bench.from_caller(SYN)
    bench.state.store(key_of(segment), route, FlowState.ESTABLISHED)
    bench.engine.opener._refuse(
        key_of(segment),
        SimpleNamespace(segment=segment),
        SimpleNamespace(value='no_capacity'),
    )
    assert bench.outbox.callers


def broken_at_most_once(bench, monkeypatch):
    bench.syn()
    first = bench.outbox.targets[0][0]
    opener = bench.engine.opener
    monkeypatch.setattr(FlowOpener, '_open_or_look_up', FlowOpener._open)
    for admission in opener.admissions.values():
        admission._flows.clear()
    monkeypatch.setattr(
        TargetState,
        'has_room',
        lambda target, mode: target.target.address != first[0],
    )
    bench.syn()


def broken_monotonic(bench, monkeypatch):
    bench.apply(3, CFG)
    bench.state.generation = 0
    bench.apply(2, CFG)


def broken_answer(bench, monkeypatch):
    key = key_of(bench.from_caller(ACK))
    own, other = (bench.route(f'127.1.1.{n}', 7000) for n in (1, 2))
    bench.state.store(key, own, FlowState.ESTABLISHED)
    monkeypatch.setattr(EngineState, 'home_binding', lambda self, key: None)
    segment = build_segment(other.address, CALLER, ACK, 1, 1)
    bench.engine.on_segment(segment, 1.0)


@pytest.mark.parametrize(
    ('invariant', 'broken'),
    [
        ('service_isolation', broken_isolation),
        ('zone_out', broken_zone_out),
        ('drain', broken_drain),
        ('warmup_limit', broken_limit),
        ('truthful_refusal', broken_refusal),
        ('at_most_once', broken_at_most_once),
        ('config_monotonic', broken_monotonic),
        ('answer_integrity', broken_answer),
    ],
)
def test_check_fires(monkeypatch, invariant, broken):
    """Shows that a broken rule is noticed by the check of that rule."""
    bench = Bench()
    broken(bench, monkeypatch)
    assert bench.names() == {invariant}


def test_refusal_by_the_target_permits_a_second_target():
    """Guards against a report about a retry, which executes nothing twice."""
    bench = Bench()
    bench.syn()
    address, _ = bench.outbox.targets[0]
    reset = build_segment(address, CALLER, RST | ACK, 0, 2)
    bench.engine.on_segment(reset, 1.1)
    assert bench.outbox.targets[1][0] != address
    assert bench.names() == set()


def test_counters_name_the_violations():
    """Guards the names under which metrics show violations."""
    counters = Counters()
    counters.count_violation('drain')
    assert counters.as_dict()['violations_drain'] == 1
    assert counters.as_dict()['violations'] == 1
    assert msgspec.json.encode(counters)


def test_routes_are_not_the_source_of_the_checks():
    """Guards the independence of the checks from the routes."""
    bench = Bench()
    bench.state.routes = RouteTable()
    bench.state.monitor.check_target(
        ('127.1.1.1', 7000), bench.from_caller(ACK)
    )
    assert bench.names() == set()
