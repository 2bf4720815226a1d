import random

import msgspec
import pytest

from siskinproxy.callers import (
    Admitted,
    AdmittedReason,
    Queued,
    Refused,
    RefusedReason,
)
from siskinproxy.errors import InvariantViolation
from siskinproxy.operators.configuration import Listener, Service, Target
from siskinproxy.targets import AdmissionSettings, ShardAdmission, TargetStatus

ZONES = frozenset({'a', 'b', 'c'})
REQUESTS = Listener('10.0.0.1', 80, 8080)
URGENT = Listener('10.0.0.1', 81, 8081, priority=0)
STREAMS = Listener('10.0.0.1', 82, 8082, mode='stream')


def build_targets(count=3, **settings):
    return tuple(
        Target(f't{index}', f'10.1.0.{index}', 'abc'[index % 3], **settings)
        for index in range(count)
    )


def apply(shard, targets, now_s, zones_out=frozenset()):
    service = Service('desk', (REQUESTS, URGENT, STREAMS), targets)
    shard.apply(service, targets, zones_out, now_s)


def build_shard(targets=None, *, takeover=False):
    limits = AdmissionSettings()
    rng = random.Random(1)
    shard = ShardAdmission('desk', 0, limits, rng, 0.0, takeover)
    apply(shard, build_targets() if targets is None else targets, 0.0)
    return shard


def open_flow(shard, number, now_s, listener=REQUESTS, zones=ZONES):
    return shard.open(number.to_bytes(12), listener, 'a', zones, now_s)


def close_flow(shard, number, target, now_s, listener=REQUESTS, reset=False):
    key = number.to_bytes(12)
    shard.closed(key, listener, target.name, reset, now_s)


def run_requests(shard, count, now_s, duration_s=0.05, numbers=1000):
    """Complete requests one after the other to establish baselines."""
    for number in range(numbers, numbers + count):
        decision = open_flow(shard, number, now_s)
        now_s += duration_s
        close_flow(shard, number, decision.target, now_s)
    return now_s


def reports(shard, now_s):
    return {report.name: report for report in shard.report(now_s)}


def test_fills_all_slots_evenly_and_queues_the_next():
    """Guards against idle slots and exceeded limits.

    An uneven selection fills one target while another has free slots, and a
    limit that is not checked admits the flow after the last slot.
    """
    shard = build_shard()
    for number in range(12):
        assert isinstance(open_flow(shard, number, 0.01), Admitted)
    assert isinstance(open_flow(shard, 12, 0.01), Queued)
    assert {report.in_use for report in shard.report(0.01)} == {4}


def test_repeated_open_keeps_the_target_and_the_slot():
    """Guards against a second execution of a request.

    A retransmitted SYN opens the flow again, and an owner that treats it as
    new selects another target.
    """
    shard = build_shard()
    first = open_flow(shard, 1, 0.0)
    again = open_flow(shard, 1, 0.5)
    assert again == Admitted(first.target, AdmittedReason.REPEATED)
    assert sum(report.in_use for report in shard.report(0.5)) == 1


def test_priority_classes_leave_the_queue_in_order():
    """Guards against priority inversion in the queue.

    A freed slot has to go to the flow with the highest priority, even if
    another flow has waited longer.
    """
    shard = build_shard(build_targets(1, slots=1))
    target = open_flow(shard, 1, 0.0).target
    assert not shard.has_waiting
    open_flow(shard, 2, 0.01)
    open_flow(shard, 3, 0.02, URGENT)
    assert shard.has_waiting
    close_flow(shard, 1, target, 0.05)
    ((key, decision),) = shard.poll(0.05)
    assert key == (3).to_bytes(12)
    assert isinstance(decision, Admitted)


def test_refuses_when_the_expected_wait_exceeds_the_deadline():
    """Guards against flows that are queued but will miss their deadline.

    The wait follows from the flows ahead and the completion time; a caller
    that is refused at once can still try elsewhere.
    """
    shard = build_shard(build_targets(1, slots=1))
    run_requests(shard, 20, 0.0, duration_s=0.3)
    open_flow(shard, 1, 10.0)
    decisions = [open_flow(shard, number, 10.0) for number in (2, 3, 4)]
    assert decisions[-1] == Refused(RefusedReason.QUEUE_DEADLINE)
    assert isinstance(decisions[0], Queued)


def test_lower_priority_gives_way_under_overload():
    """Guards against overload that affects high-priority flows first.

    Flows of high priority that arrive later overtake queued flows of lower
    priority. Those that would then miss their deadline have to be refused.
    """
    shard = build_shard(build_targets(1, slots=1))
    run_requests(shard, 20, 0.0, duration_s=0.3)
    open_flow(shard, 1, 10.0)
    open_flow(shard, 2, 10.0)
    urgent = [open_flow(shard, number, 10.1, URGENT) for number in (3, 4)]
    assert all(isinstance(decision, Queued) for decision in urgent)
    refused = Refused(RefusedReason.LOWER_PRIORITY)
    assert shard.poll(10.15) == (((2).to_bytes(12), refused),)
    assert open_flow(shard, 5, 10.2) == refused


@pytest.mark.parametrize(
    ('targets', 'zones', 'reason'),
    [
        ((), ZONES, RefusedReason.NO_TARGET),
        (build_targets(draining=True), ZONES, RefusedReason.NO_TARGET),
        (build_targets(), frozenset(), RefusedReason.ZONE_UNREACHABLE),
    ],
    ids=['none', 'draining', 'unreachable'],
)
def test_names_the_reason_of_a_refusal(targets, zones, reason):
    """Guards against refusals with the wrong reason.

    Operators have to tell apart that no target is in service and that the
    zones of all targets are unreachable.
    """
    shard = build_shard(targets)
    assert open_flow(shard, 1, 0.0, zones=zones) == Refused(reason)


def test_retries_a_refused_flow_on_another_target_within_the_budget():
    """Guards against retry storms and against retries at the same target.

    When targets refuse flows under overload, each retry adds load, and the
    target that has just refused a flow would refuse it again.
    """
    shard = build_shard()
    seen = []
    for number in range(5):
        first = open_flow(shard, number, 0.0).target
        decision = shard.target_refused(number.to_bytes(12), 0.01)
        if isinstance(decision, Admitted):
            assert decision.target != first
            assert decision.reason is AdmittedReason.RETRY_AFTER_REFUSAL
        seen.append(decision)
    assert sum(isinstance(item, Admitted) for item in seen) == 3
    exhausted = Refused(RefusedReason.RETRY_BUDGET_EXHAUSTED)
    assert seen[-2:] == [exhausted, exhausted]


def test_no_refusal_after_the_target_accepted():
    """Guards against a false refusal.

    A target that has accepted a flow may be executing the request, so a caller
    that is told otherwise could cause a second execution.
    """
    shard = build_shard()
    open_flow(shard, 1, 0.0)
    shard.accepted((1).to_bytes(12), 0.01)
    with pytest.raises(InvariantViolation, match='truthful_refusal'):
        shard.target_refused((1).to_bytes(12), 0.02)


def test_new_target_warms_up_and_never_exceeds_its_limit():
    """Guards against full load on a new target.

    A target that has just started fails under full load, so its limit has to
    rise from a tenth of the full load within the warm-up time.
    """
    shard = build_shard(build_targets(2, slots=10))
    apply(shard, build_targets(3, slots=10), 5.0)
    assert reports(shard, 5.0)['t2'].status is TargetStatus.WARMING
    assert reports(shard, 5.0)['t2'].limit == 1
    for number in range(30):
        open_flow(shard, number, 6.0)
    state = reports(shard, 6.0)['t2']
    assert state.in_use <= state.limit == 1
    assert reports(shard, 20.0)['t2'].limit == 5
    assert reports(shard, 35.1)['t2'].status is TargetStatus.WARM


def test_two_refusals_in_a_row_start_a_warm_up():
    """Guards against full load on a target that restarts unannounced.

    No configuration change announces the restart; only refused opening
    segments show it.
    """
    shard = build_shard(build_targets(1))
    for number in range(2):
        open_flow(shard, number, 0.0)
        shard.target_refused(number.to_bytes(12), 0.01)
    assert reports(shard, 0.02)['t0'].status is TargetStatus.WARMING


def refuse_flows(shard):
    for number in range(2):
        open_flow(shard, number, 0.0)
        shard.target_refused(number.to_bytes(12), 0.01)


def reset_flows(shard):
    targets = [open_flow(shard, number, 0.0).target for number in range(2)]
    for number, target in enumerate(targets):
        shard.accepted(number.to_bytes(12), 0.0)
        close_flow(shard, number, target, 0.01, reset=True)


@pytest.mark.parametrize('end_flows', [refuse_flows, reset_flows])
@pytest.mark.parametrize('silence_s', [1.0, 5.0, 20.0, 100.0])
def test_warm_up_waits_for_the_first_accepted_flow(end_flows, silence_s):
    """Guards against a warm-up that ends while its target is still down.

    Refusals or resets start the warm-up, but the cold start begins only when
    the target accepts flows again, up to minutes later.
    """
    shard = build_shard(build_targets(1, slots=10))
    end_flows(shard)
    back_s = 0.01 + silence_s
    open_flow(shard, 9, back_s)
    assert reports(shard, back_s)['t0'].warmup_fraction == pytest.approx(0.1)
    shard.accepted((9).to_bytes(12), back_s)
    open_flow(shard, 10, back_s + 15)
    report = reports(shard, back_s + 15)['t0']
    assert report.status is TargetStatus.WARMING
    assert report.warmup_fraction == pytest.approx(0.55, abs=0.01)


def test_slow_completions_of_one_target_start_a_warm_up():
    """Guards against cold starts that remain undetected.

    A cold target that accepts all flows shows its state only by completion
    times above its own baseline.
    """
    shard = build_shard(build_targets(3, slots=1))
    now_s = run_requests(shard, 120, 0.0)
    for number in range(120):
        decision = open_flow(shard, number, now_s)
        slow = decision.target.name == 't1'
        now_s += 0.2 if slow else 0.05
        close_flow(shard, number, decision.target, now_s)
    state = reports(shard, now_s)
    assert state['t1'].status is TargetStatus.WARMING
    assert state['t0'].status is TargetStatus.WARM


def test_slowdown_of_all_targets_starts_no_warm_up():
    """Guards against the loss of all capacity at a common slowdown.

    When all targets become slow for a common cause, warm-ups of all of them
    would refuse nearly all flows.
    """
    shard = build_shard()
    now_s = run_requests(shard, 120, 0.0)
    now_s = run_requests(shard, 60, now_s, duration_s=0.4, numbers=5000)
    states = {report.status for report in shard.report(now_s)}
    assert states == {TargetStatus.WARM}


def test_zone_out_of_service_gets_no_flows_and_warms_up_on_return():
    """Guards against new flows to a zone that is out of service.

    Operators take the zone out while flows are in progress; its targets have
    to release them, get no new ones, and count as cold on their return.
    """
    shard = build_shard()
    for number in range(12):
        open_flow(shard, number, 0.0)
    apply(shard, build_targets(), 1.0, zones_out=frozenset({'b'}))
    assert reports(shard, 1.0)['t1'].in_use == 0
    assert reports(shard, 1.0)['t1'].status is TargetStatus.OUT_OF_SERVICE
    assert isinstance(open_flow(shard, 20, 1.0), Queued)
    apply(shard, build_targets(), 2.0)
    assert reports(shard, 2.0)['t1'].status is TargetStatus.WARMING


def test_removed_target_keeps_its_flows_until_they_end():
    """Guards against flows that are no longer counted.

    A target that is removed from the configuration still executes the
    requests that it has accepted.
    """
    shard = build_shard()
    for number in range(12):
        open_flow(shard, number, 0.0)
    apply(shard, build_targets(2), 1.0)
    assert reports(shard, 1.0)['t2'].status is TargetStatus.RETIRED
    assert reports(shard, 1.0)['t2'].in_use == 4


@pytest.mark.parametrize(('takeover', 'limits'), [(False, 3), (True, 1)])
def test_takeover_halves_the_limits_of_cold_targets(takeover, limits):
    """Guards against overload of cold targets at a change of owner.

    The previous owner may still admit flows for a short time, and a cold
    target fails when it gets flows from both. Warm targets keep their limit,
    since they refuse what exceeds their slots.
    """
    targets = tuple(
        msgspec.structs.replace(target, warmup_s=2)
        for target in build_targets()
    )
    shard = build_shard(targets, takeover=takeover)
    shard.restore((99).to_bytes(12), REQUESTS, 't0', 0.0)
    assert {report.limit for report in shard.report(0.0)} == {4}
    assert reports(shard, 0.0)['t0'].in_use == 1
    apply(shard, targets, 0.0, zones_out=frozenset((targets[0].zone,)))
    apply(shard, targets, 0.01)
    returned = reports(shard, 1.95)[targets[0].name]
    assert returned.warmup_fraction < 1
    assert returned.limit == limits


def test_restored_flow_is_counted_once():
    """Guards against slots that are lost or released twice.

    Replication may deliver the copy of a flow, and the notice of its end, more
    than once.
    """
    shard = build_shard()
    for _ in range(2):
        shard.restore((1).to_bytes(12), REQUESTS, 't0', 0.0)
    assert reports(shard, 0.0)['t0'].in_use == 1
    for _ in range(2):
        shard.closed((1).to_bytes(12), REQUESTS, 't0', False, 0.1)
    assert reports(shard, 0.1)['t0'].in_use == 0


def test_slot_is_released_after_the_deadline_and_grace():
    """Guards against slots that stay occupied forever.

    If the last segment of a flow is lost, nothing else reports its end, so the
    slot has to be released after the deadline and a grace period.
    """
    shard = build_shard(build_targets(1))
    open_flow(shard, 1, 0.0)
    shard.poll(2.9)
    assert reports(shard, 2.9)['t0'].in_use == 1
    shard.poll(3.1)
    assert reports(shard, 3.1)['t0'].in_use == 0


def test_cancelled_flow_leaves_the_queue_and_gets_no_decision():
    """Guards against requests whose caller is gone.

    A queued flow that its caller has given up must not get the next free slot.
    """
    shard = build_shard(build_targets(1, slots=1))
    target = open_flow(shard, 1, 0.0).target
    open_flow(shard, 2, 0.0)
    shard.cancel((2).to_bytes(12), 0.01)
    close_flow(shard, 1, target, 0.05)
    assert shard.poll(0.06) == ()
    assert reports(shard, 0.06)['t0'].in_use == 0


def test_streams_keep_no_record_after_they_were_accepted():
    """Guards against memory use that grows with the number of streams.

    Many streams can be open for a long time, so the shard keeps a counter per
    target instead of a record of each stream.
    """
    shard = build_shard()
    for number in range(3000):
        target = open_flow(shard, number, 0.0, STREAMS).target
        shard.accepted(number.to_bytes(12), 0.01)
    counts = [report.connections for report in shard.report(0.02)]
    assert counts == [1000, 1000, 1000]
    assert not shard._flows
    close_flow(shard, 2999, target, 0.03, STREAMS)
    assert sum(report.connections for report in shard.report(0.03)) == 2999


def test_streams_that_stay_open_start_no_warm_up():
    """Guards against false detection of cold starts by open streams.

    The owner may get no notice that a stream was accepted, so a stream without
    one must not count as unanswered.
    """
    shard = build_shard()
    for number in range(30):
        open_flow(shard, number, 0.0, STREAMS)
    shard.poll(6.0)
    states = {report.status for report in shard.report(6.0)}
    assert states == {TargetStatus.WARM}


def test_slow_requests_of_a_working_target_start_no_warm_up():
    """Guards against false detection of cold starts by a few slow requests.

    Two requests take long while many others complete at the usual speed, which
    shows that their target works.
    """
    shard = build_shard(build_targets(1, slots=4))
    now_s = run_requests(shard, 40, 0.0)
    for number in range(2):
        open_flow(shard, number, now_s)
    now_s = run_requests(shard, 30, now_s + 0.01, numbers=5000)
    shard.poll(now_s)
    assert reports(shard, now_s)['t0'].status is TargetStatus.WARM


def test_stalled_requests_start_a_warm_up_before_they_complete():
    """Guards against a cold target that fails before it is detected.

    Under full load it completes no request that could be compared with the
    baseline, so the ages of the requests in progress have to show it.
    """
    shard = build_shard(build_targets(3, slots=4))
    now_s = run_requests(shard, 120, 0.0)
    stuck = [open_flow(shard, number, now_s) for number in range(12)]
    for number, decision in enumerate(stuck):
        if decision.target.name != 't1':
            close_flow(shard, number, decision.target, now_s + 0.05)
    shard.poll(now_s + 0.2)
    assert shard._states['t1'].stalled
    shard.poll(now_s + 0.4)
    assert reports(shard, now_s + 0.4)['t1'].status is TargetStatus.WARMING
