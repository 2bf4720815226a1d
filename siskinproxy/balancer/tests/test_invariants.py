"""Tests that each invariant check of the packet process reports violations."""

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
    """Records what is sent to targets and callers."""

    def __init__(self):
        self.targets = []
        self.callers = []

    def to_target(self, address, segment):
        self.targets.append((address, segment))

    def to_caller(self, segment):
        self.callers.append(segment)

    def to_instance(self, member, datagram):
        raise AssertionError('the only instance has no peers')


class EngineHarness:
    """Engine of the only instance of a region, which owns all shards."""

    def __init__(self, cfg=CFG):
        member = Member('a-1', 'a', '127.2.0.1', 7000, 7001)
        self.outbox = Outbox()
        self.engine = PacketEngine(
            member, self.outbox, Limits(), random.Random(1)
        )
        self.violations = []
        state = self.engine.state
        state.monitor.on_violation = self.violations.append
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

    def caller_segment(self, flags, caller=CALLER):
        listener = CFG.services[0].listeners[0]
        return build_segment(
            caller, Endpoint(listener.address, listener.port), flags, 1, 1
        )

    def syn(self, caller=CALLER):
        self.engine.on_segment(self.caller_segment(SYN, caller), 1.0)

    def violation_names(self):
        counted = self.engine.counters().as_dict()
        for violation in self.violations:
            assert counted[f'violations_{violation.name}']
        return {violation.name for violation in self.violations}


def key_of(segment):
    return segment[12:24]


def broken_isolation(harness, monkeypatch):
    """Send a segment to a target of another service."""
    route = harness.route('127.1.1.1', 7000)
    harness.state.store(
        key_of(harness.caller_segment(ACK)), route, FlowState.ESTABLISHED
    )
    route.address = Endpoint('127.1.2.1', 7002)
    harness.engine.on_segment(harness.caller_segment(ACK), 1.0)


def broken_zone_out(harness, monkeypatch):
    """Send a segment to a target whose zone is out of service."""
    route = harness.route('127.1.1.1', 7000)
    harness.apply(2, with_zone_in_service(CFG, 'a', False))
    route.is_allowed = True
    harness.state.store(
        key_of(harness.caller_segment(ACK)), route, FlowState.ESTABLISHED
    )
    harness.engine.on_segment(harness.caller_segment(ACK), 1.0)


def broken_drain(harness, monkeypatch):
    """Select a target although all targets are draining."""
    cfg = CFG
    for number in range(1, 8):
        cfg = replace_target(cfg, f'desk-{number}', draining=True)
    monkeypatch.setattr(TargetState, 'serves', True)
    harness.apply(2, cfg)
    harness.syn()


def broken_limit(harness, monkeypatch):
    """Admit more flows than the targets may get."""
    monkeypatch.setattr(TargetState, 'has_room', lambda self, mode: True)
    for port in range(40):
        harness.syn(Endpoint('127.0.9.1', 30000 + port))


def broken_refusal(harness, monkeypatch):
    """Refuse a flow that is established."""
    route = harness.route('127.1.1.1', 7000)
    segment = harness.caller_segment(SYN)
    harness.state.store(key_of(segment), route, FlowState.ESTABLISHED)
    harness.engine.opener._refuse(
        key_of(segment),
        SimpleNamespace(segment=segment),
        SimpleNamespace(value='no_capacity'),
    )
    assert harness.outbox.callers


def broken_at_most_once(harness, monkeypatch):
    """Open a flow at a second target while it is open at the first."""
    harness.syn()
    first = harness.outbox.targets[0][0]
    opener = harness.engine.opener
    monkeypatch.setattr(FlowOpener, '_open_or_look_up', FlowOpener._open)
    for admission in opener.admissions.values():
        admission._flows.clear()
    monkeypatch.setattr(
        TargetState,
        'has_room',
        lambda target, mode: target.target.address != first[0],
    )
    harness.syn()


def broken_monotonic(harness, monkeypatch):
    """Apply a lower generation than the one in force."""
    harness.apply(3, CFG)
    harness.state.generation = 0
    harness.apply(2, CFG)


def broken_answer(harness, monkeypatch):
    """Forward a segment of another target than that of the flow."""
    key = key_of(harness.caller_segment(ACK))
    own, other = (harness.route(f'127.1.1.{n}', 7000) for n in (1, 2))
    harness.state.store(key, own, FlowState.ESTABLISHED)
    monkeypatch.setattr(EngineState, 'home_binding', lambda self, key: None)
    segment = build_segment(other.address, CALLER, ACK, 1, 1)
    harness.engine.on_segment(segment, 1.0)


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
    """Guards against a check that misses violations of its invariant.

    Each case makes the engine break one invariant; only the check of this
    invariant must report it.
    """
    harness = EngineHarness()
    broken(harness, monkeypatch)
    assert harness.violation_names() == {invariant}


def test_refusal_by_the_target_permits_a_second_target():
    """Guards against a false `at_most_once` report about a retry.

    A flow that its target refused was not executed, so the owner may open it
    at a second target.
    """
    harness = EngineHarness()
    harness.syn()
    address, _ = harness.outbox.targets[0]
    reset = build_segment(address, CALLER, RST | ACK, 0, 2)
    harness.engine.on_segment(reset, 1.1)
    assert harness.outbox.targets[1][0] != address
    assert harness.violation_names() == set()


def test_counters_name_the_violations():
    """Guards against violation counts that the metrics cannot find.

    The metrics read the count of each invariant under ``violations_<name>``.
    """
    counters = Counters()
    counters.count_violation('drain')
    assert counters.as_dict()['violations_drain'] == 1
    assert counters.as_dict()['violations'] == 1
    assert msgspec.json.encode(counters)


def test_routes_are_not_the_source_of_the_checks():
    """Guards against checks that rely on the routes that they verify.

    A wrong route would then go unnoticed; here a segment passes the check
    without any route.
    """
    harness = EngineHarness()
    harness.state.routes = RouteTable()
    harness.state.monitor.check_target(
        ('127.1.1.1', 7000), harness.caller_segment(ACK)
    )
    assert harness.violation_names() == set()
