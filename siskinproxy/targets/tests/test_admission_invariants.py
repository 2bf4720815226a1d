import random
from collections import Counter
from dataclasses import dataclass, replace

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from siskinproxy.callers import (
    Admitted,
    AdmittedReason,
    Queued,
    Refused,
    RefusedReason,
)
from siskinproxy.callers.retry_budget import RetryBudget
from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets import AdmissionSettings, ShardAdmission
from siskinproxy.targets.target_state import TargetState

LIMITS = AdmissionSettings()
LISTENERS = (
    Listener('10.0.0.1', 80, 8080, priority=1, deadline_ms=1000),
    Listener('10.0.0.1', 81, 8081, priority=0, deadline_ms=2000),
    Listener('10.0.0.1', 82, 8082, mode='stream', deadline_ms=500),
)
TARGETS = tuple(
    Target(f't{index}', f'10.1.0.{index}', 'ab'[index % 2], 2, 3, warmup_s=2)
    for index in range(4)
)
NUMBERS = st.integers(0, 39)
STEPS_S = st.sampled_from([0.001, 0.02, 0.06, 0.3, 1.1, 3.5])


@dataclass(frozen=True)
class Flow:
    listener: Listener
    target: str
    opened_s: float
    admitted_s: float
    accepted: bool = False

    @property
    def mode(self):
        return self.listener.mode

    @property
    def release_s(self):
        deadline_s = self.opened_s + self.listener.deadline_ms / 1000
        return deadline_s + LIMITS.deadline_grace_s


class AdmissionMachine(RuleBasedStateMachine):
    """Random operations on a shard, checked against a reference model.

    The model keeps its own record of the flows in progress and queued.

    Attributes
    ----------
    only : str or None
        Name of the single invariant to check; None checks all.

    Notes
    -----
    at_most_once
        A flow that is admitted keeps its target and is not queued again.
    cancelled
        A flow that was cancelled or has ended gets no decision.
    decision
        A call returns a decision of an expected type and reason.
    drain
        A draining or removed target gets no new flows.
    limit
        An admission does not exceed the limit of its target.
    release_once
        The counts of the shard agree with the flows in progress.
    retry_budget
        In one second at most 3 retries start, or 10% of the first admissions
        if that is more.
    retry_elsewhere
        A retry goes to another target than the one that refused the flow.
    truthful_refusal
        A flow that is in progress at a target is not refused.
    zone_out
        A target in a zone that is out of service gets no new flows.
    zone_reachability
        A target in a zone that cannot be reached gets no new flows.
    """

    only = None

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.targets = {target.name: target for target in TARGETS}
        self.zones_out = frozenset()
        self.zones = frozenset('ab')
        self.waiting = {}
        self.flows = {}
        self.first_admissions = []
        self.retries = []
        self.highest_limits = {}
        self.create(takeover=False)

    def require(self, condition, name):
        if self.only in (None, name):
            assert condition, f'invariant {name} is violated'

    def create(self, *, takeover):
        rng = random.Random(7)
        self.shard = ShardAdmission(
            'desk', 0, LIMITS, rng, self.now_s, takeover
        )
        self.apply()

    def apply(self):
        targets = tuple(self.targets.values())
        service = Service('desk', LISTENERS, targets)
        self.shard.apply(service, targets, self.zones_out, self.now_s)

    def count(self, name, mode):
        return sum(
            flow.target == name and flow.mode == mode
            for flow in self.flows.values()
        )

    def check_admitted(self, key, flow, decision, *, retry):
        name = decision.target.name
        current = self.flows.get(key)
        if current is not None:
            self.require(current.target == name, 'at_most_once')
            return
        declared = self.targets.get(name)
        zone = decision.target.zone
        self.require(declared and not declared.draining, 'drain')
        self.require(zone not in self.zones_out, 'zone_out')
        self.require(zone in self.zones, 'zone_reachability')
        admitted = replace(flow, target=name, admitted_s=self.now_s)
        self.flows[key] = admitted
        waited = self.waiting.pop(key, None) is not None
        self.check_limit(name, flow.mode, waited=waited)
        times = self.retries if retry else self.first_admissions
        times.append(self.now_s)
        if retry:
            self.check_budget()

    def current_limits(self):
        limits = {}
        for report in self.shard.report(self.now_s):
            limits[report.name, 'request'] = report.limit
            limits[report.name, 'stream'] = report.connection_limit
        return limits

    def check_limit(self, name, mode, *, waited):
        limit = self.current_limits()[name, mode]
        if waited:
            # The flow was admitted at some time since the last poll, under
            # any of the limits in force since then.
            limit = max(limit, self.highest_limits.get((name, mode), 0))
        target = next(item for item in TARGETS if item.name == name)
        full = target.slots if mode == 'request' else target.connections
        self.require(self.count(name, mode) <= min(limit, full), 'limit')

    @invariant()
    def note_limits(self):
        for target_mode, limit in self.current_limits().items():
            known = self.highest_limits.get(target_mode, 0)
            self.highest_limits[target_mode] = max(known, limit)

    def check_budget(self):
        oldest_s = self.now_s - 1
        retries = sum(time_s > oldest_s for time_s in self.retries)
        admitted = sum(time_s > oldest_s for time_s in self.first_admissions)
        self.require(retries <= max(3, 0.1 * admitted), 'retry_budget')

    def check_refused(self, key):
        self.require(key not in self.flows, 'truthful_refusal')
        self.waiting.pop(key, None)

    def check_decision(self, key, flow, decision, *, retry=False):
        if isinstance(decision, Refused):
            self.check_refused(key)
        elif isinstance(decision, Admitted):
            self.check_admitted(key, flow, decision, retry=retry)
        else:
            self.require(isinstance(decision, Queued), 'decision')
            self.require(key not in self.flows, 'at_most_once')
            self.waiting[key] = flow

    @rule(number=NUMBERS, listener=st.sampled_from(LISTENERS))
    def open(self, number, listener):
        key = number.to_bytes(12)
        known = self.flows.get(key) or self.waiting.get(key)
        if known is not None and known.mode == 'stream':
            # Once the record of a stream has ended (`opening_record_s`, 5 s),
            # the packet engine answers from its flow table and does not call
            # the shard.
            if self.now_s - known.opened_s > 5 or known.accepted:
                return
        listener = known.listener if known else listener
        flow = known or Flow(listener, '', self.now_s, self.now_s)
        decision = self.shard.open(key, listener, 'a', self.zones, self.now_s)
        self.check_decision(key, flow, decision)

    @rule(
        numbers=st.sets(NUMBERS, min_size=6),
        listener=st.sampled_from(LISTENERS),
    )
    def open_many(self, numbers, listener):
        for number in sorted(numbers):
            self.open(number, listener)

    def select_key(self, number):
        keys = sorted(self.flows)
        return keys[number % len(keys)]

    @precondition(lambda self: self.flows)
    @rule(number=NUMBERS)
    def accepted(self, number):
        key = self.select_key(number)
        self.shard.accepted(key, self.now_s)
        self.flows[key] = replace(self.flows[key], accepted=True)

    @precondition(lambda self: self.flows)
    @rule(number=NUMBERS)
    def target_refused(self, number):
        key = self.select_key(number)
        flow = self.flows[key]
        if flow.accepted:
            return
        decision = self.shard.target_refused(key, self.now_s)
        if decision == Refused(RefusedReason.CANCELLED):
            self.require(flow.mode == 'stream', 'release_once')
            self.close(key)
            return
        del self.flows[key]
        self.require(not isinstance(decision, Queued), 'decision')
        if isinstance(decision, Admitted):
            self.require(decision.target.name != flow.target, 'retry_elsewhere')
            self.require(
                decision.reason is AdmittedReason.RETRY_AFTER_REFUSAL,
                'decision',
            )
        self.check_decision(key, flow, decision, retry=True)

    @precondition(lambda self: len(self.flows) > 4)
    @rule()
    def refuse_many(self):
        for number in range(8):
            if self.flows:
                self.target_refused(number)

    def close(self, key, *, reset=False):
        flow = self.flows.pop(key)
        self.shard.closed(key, flow.listener, flow.target, reset, self.now_s)

    @precondition(lambda self: self.flows)
    @rule(number=NUMBERS, reset=st.booleans())
    def closed(self, number, reset):
        self.close(self.select_key(number), reset=reset)

    @rule(number=NUMBERS)
    def closed_again(self, number):
        key = number.to_bytes(12)
        if key not in self.flows and key not in self.waiting:
            self.shard.closed(key, LISTENERS[0], 't0', False, self.now_s)

    @rule(number=NUMBERS)
    def cancel(self, number):
        key = number.to_bytes(12)
        flow = self.flows.get(key)
        if flow is not None and flow.mode == 'stream':
            # Without a record (`opening_record_s`, 5 s), a stream has to end
            # by `closed`.
            if flow.accepted or self.now_s - flow.admitted_s >= 5:
                return
        self.flows.pop(key, None)
        self.waiting.pop(key, None)
        self.shard.cancel(key, self.now_s)

    @precondition(lambda self: self.waiting)
    @rule(number=NUMBERS)
    def cancel_waiting(self, number):
        keys = sorted(self.waiting)
        key = keys[number % len(keys)]
        del self.waiting[key]
        self.shard.cancel(key, self.now_s)

    @rule(step_s=STEPS_S)
    def wait(self, step_s):
        self.now_s += step_s

    @rule()
    def wait_past_deadlines(self):
        self.now_s += 4.5
        self.poll()

    @rule()
    def poll(self):
        decided = self.shard.poll(self.now_s)
        for key, flow in tuple(self.flows.items()):
            if flow.mode == 'request' and flow.release_s <= self.now_s:
                del self.flows[key]
        for key, decision in decided:
            flow = self.flows.get(key) or self.waiting.get(key)
            self.require(flow is not None, 'cancelled')
            if flow is None:
                continue
            self.check_decision(key, flow, decision)
        self.highest_limits.clear()
        self.check_counts()

    def check_counts(self):
        expected = Counter(
            (flow.target, flow.mode) for flow in self.flows.values()
        )
        for report in self.shard.report(self.now_s):
            self.require(
                report.in_use == expected.pop((report.name, 'request'), 0),
                'release_once',
            )
            self.require(
                report.connections == expected.pop((report.name, 'stream'), 0),
                'release_once',
            )
        self.require(not expected, 'release_once')

    @rule(name=st.sampled_from(TARGETS).map(lambda target: target.name))
    def toggle_draining(self, name):
        target = self.targets.get(name)
        if target is not None:
            self.targets[name] = msgspec.structs.replace(
                target, draining=not target.draining
            )
            self.apply()

    @rule(declared=st.sampled_from(TARGETS))
    def toggle_declared(self, declared):
        if self.targets.pop(declared.name, None) is None:
            self.targets[declared.name] = declared
        self.apply()

    @rule(zone=st.sampled_from('ab'))
    def toggle_zone(self, zone):
        self.zones_out = self.zones_out ^ {zone}
        zones = {target.name: target.zone for target in TARGETS}
        for key, flow in tuple(self.flows.items()):
            if zones[flow.target] in self.zones_out:
                del self.flows[key]
        self.apply()

    @rule(zones=st.sampled_from(['ab', 'ab', 'a', 'b', '']))
    def change_reachability(self, zones):
        self.zones = frozenset(zones)
        self.shard.set_reachable_zones(self.zones, self.now_s)

    @rule()
    def take_over(self):
        """Replace the owner by one that has copies of the admitted flows."""
        self.waiting.clear()
        self.first_admissions.clear()
        self.retries.clear()
        self.create(takeover=True)
        for key, flow in tuple(self.flows.items()):
            if flow.target not in self.targets:
                del self.flows[key]
                continue
            self.shard.restore(key, flow.listener, flow.target, self.now_s)
            self.flows[key] = replace(
                flow,
                opened_s=self.now_s,
                admitted_s=self.now_s,
                accepted=True,
            )


def run_machine(max_examples, only=None):
    run_state_machine_as_test(
        type('Machine', (AdmissionMachine,), {'only': only}),
        settings=settings(
            max_examples=max_examples,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_invariants_hold():
    """Guards against violations of the invariants in any order of events.

    Examples are lost slots, exceeded limits, false refusals and retries above
    the budget, at drains, zone outages and changes of owner.
    """
    run_machine(150)


def always(answer):
    return lambda *arguments: answer


def break_release_twice(patch):
    remove = ShardAdmission._remove

    def remove_twice(self, record, now_s):
        remove(self, record, now_s)
        record.state.occupancy(record.listener.mode).change(-1, now_s)

    patch.setattr(ShardAdmission, '_remove', remove_twice)


def break_expiry(patch):
    patch.setattr(ShardAdmission, '_release_expired', always(None))


def break_limit(patch):
    patch.setattr(TargetState, 'has_room', always(True))


def break_truthful_refusal(patch):
    repeated = ShardAdmission._repeated_decision

    def refuse_repeated(self, key, now_s):
        known = repeated(self, key, now_s)
        if isinstance(known, Admitted):
            return Refused(RefusedReason.NO_CAPACITY)
        return known

    patch.setattr(ShardAdmission, '_repeated_decision', refuse_repeated)


def break_drain(patch):
    serves = property(lambda self: not (self.retired or self.out_of_service))
    patch.setattr(TargetState, 'serves', serves)


def break_removal(patch):
    serves = property(
        lambda self: not (self.out_of_service or self.target.draining)
    )
    patch.setattr(TargetState, 'serves', serves)


def break_zone_out(patch):
    serves = property(lambda self: not (self.retired or self.target.draining))
    patch.setattr(TargetState, 'serves', serves)


def break_reachability(patch):
    serving = ShardAdmission._reachable_targets

    def ignore_zones(self):
        self._reachable_zones = frozenset('ab')
        return serving(self)

    patch.setattr(ShardAdmission, '_reachable_targets', ignore_zones)


def break_budget(patch):
    patch.setattr(RetryBudget, 'allows', always(True))


def break_at_most_once(patch):
    def forget_target(self, key, now_s):
        record = self._flows.get(key)
        if record is not None:
            self._remove(record, now_s)
        return Queued(None) if key in self._queue else None

    patch.setattr(ShardAdmission, '_repeated_decision', forget_target)


def break_retry(patch):
    retry = ShardAdmission._retry

    def retry_anywhere(self, record, refused_by, now_s):
        return retry(self, record, frozenset(), now_s)

    patch.setattr(ShardAdmission, '_retry', retry_anywhere)


def break_cancel(patch):
    patch.setattr(ShardAdmission, '_discard_pending', always(None))


@pytest.mark.parametrize(
    ('break_rule', 'name'),
    [
        (break_limit, 'limit'),
        (break_release_twice, 'release_once'),
        (break_expiry, 'release_once'),
        (break_truthful_refusal, 'truthful_refusal'),
        (break_drain, 'drain'),
        (break_removal, 'drain'),
        (break_zone_out, 'zone_out'),
        (break_reachability, 'zone_reachability'),
        (break_budget, 'retry_budget'),
        (break_at_most_once, 'at_most_once'),
        (break_retry, 'retry_elsewhere'),
        (break_cancel, 'cancelled'),
    ],
)
def test_broken_rule_is_detected(monkeypatch, break_rule, name):
    """Guards against an ineffective check of an invariant.

    Each case breaks one rule of the shard; the check of that rule has to fail.
    """
    break_rule(monkeypatch)
    with pytest.raises(AssertionError, match=f'invariant {name} is violated'):
        run_machine(300, name)
