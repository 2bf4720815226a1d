"""What is learned about the speed of targets: slowness and limits."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinproxy.entry.scheduling.limits import SpeedLimits, TargetSpeed
from siskinproxy.entry.scheduling.speeds import TargetSpeeds
from siskinproxy.entry.scheduling.tests.zone import Zone, mean_log_slowness

LIMITS = SpeedLimits()
WARM_UP_S = 20
SLOTS = 4
SAMPLE_MAPS = st.dictionaries(
    st.integers(0, 2**32 - 1),
    st.tuples(
        st.integers(-(2**63), 2**64 - 1), st.integers(-(2**63), 2**64 - 1)
    ),
    max_size=5,
)


def settled(route='desk', usual_s=0.02, limits=None):
    """Return speeds of an instance that knows the usual time of a route."""
    speeds = TargetSpeeds(limits)
    for number in range(20):
        speeds.note_response(1000 + number, route, usual_s, 0.0)
    while speeds.take_samples():
        continue
    return speeds


def witnesses(speeds, token, percent, now_s, count=3):
    for number in range(count):
        speeds.apply_samples(f'i-{number}', {token: (1, percent)}, now_s)


@pytest.mark.parametrize(
    ('factor', 'slow_count', 'least_share'),
    [(3, 1, 0.7), (5, 1, 0.75), (3, 20, 0.7), (5, 20, 0.75)],
)
def test_slow_targets_are_found_within_two_seconds(
    factor, slow_count, least_share
):
    """Guards against slow targets that get their usual work for long.

    One instance sees 0.2 requests per second of a target, so 12 peers have to
    share theirs, over reports of which 30% are lost. The number of samples in
    two seconds varies, so a share of the targets takes longer.
    """
    found = total = 0
    for seed in range(30 if slow_count == 1 else 4):
        zone = Zone(seed)
        zone.run(WARM_UP_S)
        slow = zone.tokens[:slow_count]
        zone.slow = dict.fromkeys(slow, factor)
        seen = set()
        zone.run(
            2.0,
            lambda zone, slow=slow, seen=seen: seen.update(
                token for token in slow if zone.slowness(token) > 1.7
            ),
        )
        found += len(seen)
        total += slow_count
    assert found >= least_share * total


@pytest.mark.parametrize('factor', [3, 5])
@pytest.mark.parametrize('share', [1.0, 0.1])
def test_recovered_targets_get_work_again(factor, share):
    """Guards against targets that stay avoided after they have recovered.

    An avoided target gets few requests, so few samples show its recovery.
    """
    zone = Zone(2)
    zone.run(WARM_UP_S)
    slow = zone.tokens[:20]
    zone.slow = dict.fromkeys(slow, factor)
    zone.run(4)
    assert mean_log_slowness(zone, slow) > math.log(1.7)
    zone.slow = {}
    zone.share = dict.fromkeys(slow, share)
    zone.run(4)
    assert mean_log_slowness(zone, slow) < math.log(1.4)
    zone.run(6)
    for token in slow:
        assert zone.observer.limit(token, SLOTS, zone.now_s) > 1.2 * SLOTS


def test_long_requests_are_no_slowness():
    """Guards against avoiding targets that run the long requests.

    Routes of 5 and 55 ms share the targets; the target of the long ones would
    look eleven times slower.
    """
    speeds = TargetSpeeds()
    rng = random.Random(1)
    for number in range(400):
        route, usual_s = (('short', 0.005), ('long', 0.055))[number % 2]
        token = number % 6
        response_s = usual_s * rng.lognormvariate(0, 0.5)
        speeds.note_response(token, route, response_s, number * 0.05)
        speeds.balance(range(6), number * 0.05)
    assert 0.003 < speeds.usual_response_s('short') < 0.007
    assert 0.035 < speeds.usual_response_s('long') < 0.075
    for token in range(6):
        assert speeds.slowness(token, 20) < 2


@pytest.mark.parametrize(
    ('slow_share', 'factor', 'duration_s', 'most'),
    [(1 / 3, 5, 60, 1.6), (1, 5, 5, 2), (0, 5, 60, 1.2)],
)
def test_usual_time_hardly_follows_slow_targets(
    slow_share, factor, duration_s, most
):
    """Guards against slowness that becomes the usual response time.

    A third of the targets is slow for a minute, or all are for some seconds;
    the recovered ones would then look fast and attract all requests.
    """
    speeds = settled()
    rng = random.Random(3)
    before_s = speeds.usual_response_s('desk')
    for number in range(round(duration_s * 3)):
        ratio = factor if rng.random() < slow_share else 1
        response_s = 0.02 * ratio * rng.lognormvariate(0, 0.5)
        speeds.note_response(1, 'desk', response_s, number / 3)
    assert before_s / 1.5 < speeds.usual_response_s('desk') < before_s * most


def test_few_samples_start_a_route():
    """Guards against ratios to a default that does not fit the route."""
    speeds = TargetSpeeds()
    assert speeds.usual_response_s('desk') > 0
    for _ in range(4):
        speeds.note_response(1, 'desk', 0.4, 1.0)
    assert speeds.take_samples() == {}
    assert speeds.usual_response_s('desk') == pytest.approx(0.4)
    speeds.note_response(1, 'desk', 0.4, 1.0)
    assert speeds.take_samples() == {1: (1, 100)}


@pytest.mark.parametrize('percent', [100, 300, 800, 10**12])
@pytest.mark.parametrize('count', [1, 60])
def test_all_slow_targets_are_not_limited(percent, count):
    """Guards against limits on all targets at once, in a general overload.

    No target would then take the work that the limits turn away.
    """
    speeds = TargetSpeeds()
    tokens = range(1, count + 1)
    for step in range(200):
        now_s = step * 0.1
        for token in tokens:
            witnesses(speeds, token, percent, now_s)
        speeds.balance(tokens, now_s)
    for token in tokens:
        assert speeds.slowness(token, now_s) == pytest.approx(1)
        assert speeds.limit(token, SLOTS, now_s) == pytest.approx(2 * SLOTS)


@pytest.mark.parametrize('percent', [1, 800, 10**15])
@pytest.mark.parametrize('own', [True, False])
def test_a_lying_peer_condemns_no_target(percent, own):
    """Guards against one faulty instance that decides for its zone.

    It reports every 50 ms, others a few times a second.
    """
    zone = Zone(4)
    zone.run(WARM_UP_S)
    if not own:
        zone.observer = TargetSpeeds()
    zone.forged = {'i-0': {1: (1000, percent * 1000)}}
    worst = [1.0, 1.0]

    def note_worst(zone):
        ratio = zone.slowness(1)
        worst[:] = min(ratio, worst[0]), max(ratio, worst[1])

    zone.run(10, note_worst)
    assert worst[0] >= LIMITS.least_slowness
    assert worst[1] < 3
    assert zone.slowness(1) < 2


def test_a_lying_peer_alone_condemns_no_target():
    """Guards against one witness that is believed for lack of others."""
    speeds = settled()
    for step in range(100):
        speeds.apply_samples('i-0', {1: (9, 7200)}, step * 0.05)
    assert speeds.slowness(1, 5) == 1
    assert speeds.limit(1, SLOTS, 5) == 2 * SLOTS


@pytest.mark.parametrize('silent_count', [1, 6, 12])
def test_silent_peers_leave_the_others_in_force(silent_count):
    """Guards against learning that ends when instances stop reporting.

    With all peers silent, own samples alone have to show the slow target.
    """
    zone = Zone(5)
    zone.run(WARM_UP_S)
    zone.silent = {f'i-{number}' for number in range(silent_count)}
    zone.rate_per_s *= 13 / (13 - silent_count)
    zone.slow = {1: 5, 2: 5}
    zone.run(6)
    assert max(zone.slowness(1), zone.slowness(2)) > 1.7


@pytest.mark.parametrize('is_noted', [True, False])
def test_a_pause_of_the_process_condemns_no_target(is_noted):
    """Guards against responses that a paused process read late.

    Packets that waited in the socket look like slow targets.
    """
    zone = Zone(6)
    zone.run(WARM_UP_S)
    end_s = zone.now_s + 3
    counts = [
        zone.observer.snapshot(token, end_s).samples for token in zone.tokens
    ]
    if is_noted:
        zone.observer.note_pause(end_s)
    for token in zone.tokens[:50]:
        zone.observer.note_response(token, 'short', 3.0, end_s)
    if is_noted:
        assert counts == [
            zone.observer.snapshot(token, end_s).samples
            for token in zone.tokens
        ]
    zone.now_s = end_s
    zone.observer.balance(zone.tokens, end_s)
    assert all(zone.slowness(token) < 3 for token in zone.tokens)
    zone.run(1)
    assert mean_log_slowness(zone, zone.tokens) < math.log(1.3)


def test_old_time_stamps_are_harmless():
    """Guards against states that a time in the past turns over.

    Datagrams that were read before a pause may be applied after newer ones.
    """
    speeds = settled()
    witnesses(speeds, 1, 500, 100.0)
    before = speeds.slowness(1, 100.0)
    witnesses(speeds, 1, 500, 40.0)
    assert 1 <= speeds.slowness(1, 100.0) <= LIMITS.most_slowness
    assert speeds.slowness(1, 100.0) >= before * 0.9
    assert speeds.limit(1, SLOTS, 40.0) >= 1


def knee_ratio(load_per_slot):
    """Return the response ratio of a target with one request per slot."""
    return max(1.0, load_per_slot) ** 2


@pytest.mark.parametrize('reports_load', [True, False])
def test_a_knee_of_one_request_per_slot_is_found(reports_load):
    """Guards against filling a target that slows down before it is full.

    The target is offered two requests per slot, and its response time grows
    with the square of the requests in progress.
    """
    speeds = TargetSpeeds()
    tokens = range(1, 7)
    rng = random.Random(7)
    factors = []
    for step in range(600):
        now_s = step * 0.1
        load = min(2.0, speeds.limit(1, SLOTS, now_s) / SLOTS)
        if reports_load:
            speeds.note_load(1, load)
        for token in tokens:
            ratio = knee_ratio(load) if token == 1 else 1
            percent = round(100 * ratio * rng.lognormvariate(0, 0.5))
            name = f'i-{rng.randrange(12)}'
            speeds.apply_samples(name, {token: (1, percent)}, now_s)
        speeds.balance(tokens, now_s)
        if step >= 200:
            factors.append(load)
    assert 0.8 < sum(factors) / len(factors) < 1.35
    assert max(factors) < 1.8


@pytest.mark.parametrize('slots', [1, 2, 4, 64])
def test_limits_are_never_under_one(slots):
    """Guards against a target that gets no request and can't recover."""
    speeds = TargetSpeeds()
    for step in range(100):
        witnesses(speeds, 1, 800, step * 0.1)
        speeds.balance((1, 2, 3), step * 0.1)
        assert speeds.limit(1, slots, step * 0.1) >= 1
    assert speeds.limit(1, slots, 10) == max(1, slots / 2)
    assert speeds.limit(1, slots, 60) == 2 * slots
    assert speeds.slowness(1, 60) == pytest.approx(1)


def test_an_instance_learns_from_others_after_its_start():
    """Guards against a restarted instance that sends slow targets work.

    It has no own samples and no usual times yet.
    """
    zone = Zone(8)
    zone.slow = {1: 5, 2: 5, 3: 5}
    zone.run(WARM_UP_S)
    zone.observer = TargetSpeeds()
    assert zone.slowness(1) == 1
    zone.run(3)
    assert mean_log_slowness(zone, (1, 2, 3)) > math.log(1.7)


def test_unanswered_openings_are_bad_samples():
    """Guards against a target that looks fast since it rejects openings."""
    speeds = settled()
    for step in range(4):
        speeds.note_unanswered(1, 1 + step * 0.2)
    assert speeds.slowness(1, 1.6) > 2
    assert speeds.take_samples() == {1: (4, 1600)}


def test_samples_are_sent_twice_and_reports_are_bounded():
    """Guards against samples that a lost report takes along.

    A report may also not grow beyond a datagram.
    """
    speeds = settled(limits=SpeedLimits(most_reported=2))
    for token in (1, 2, 3):
        speeds.note_unanswered(token, 1.0)
    taken = [speeds.take_samples() for _ in range(4)]
    assert [set(each) for each in taken] == [{1, 2}, {1, 3}, {2, 3}, set()]


def test_state_is_bounded_and_expires():
    """Guards against memory that made-up tokens of a peer fill."""
    speeds = TargetSpeeds(SpeedLimits(most_targets=10))
    samples = {token: (1, 100) for token in range(50)}
    speeds.apply_samples('i-1', samples, 1.0)
    assert speeds.snapshot(9, 1.0).samples == 1
    assert speeds.snapshot(10, 1.0) == TargetSpeed(1.0, 2.0, 0, None)
    speeds.forget(9)
    assert speeds.snapshot(9, 1.0).age_s is None
    speeds.expire(40.0)
    assert speeds.snapshot(0, 40.0).samples == 0


@pytest.mark.parametrize('response_s', [0, -1, math.inf, math.nan])
def test_impossible_response_times_are_ignored(response_s):
    """Guards against an exception in the packet path."""
    speeds = settled()
    speeds.note_response(1, 'desk', response_s, 1.0)
    assert speeds.take_samples() == {}


@settings(max_examples=200, deadline=None)
@given(
    reports=st.lists(
        st.tuples(
            st.sampled_from(['', 'i-1', 'i-2', 'i-3']),
            SAMPLE_MAPS,
            st.floats(0, 1e5),
        ),
        max_size=12,
    ),
    token=st.integers(0, 2**32 - 1),
    slots=st.integers(1, 256),
    now_s=st.floats(0, 1e5),
)
def test_any_reports_keep_the_bounds(reports, token, slots, now_s):
    """Guards against reports that turn a factor infinite, zero or not a number.

    Any host may send a report, in any order of times.
    """
    speeds = TargetSpeeds()
    tokens = {token}
    for instance, samples, received_s in reports:
        speeds.apply_samples(instance, samples, received_s)
        tokens.update(samples)
        speeds.balance(tokens, received_s)
    for each in tokens:
        slowness = speeds.slowness(each, now_s)
        assert LIMITS.least_slowness <= slowness <= LIMITS.most_slowness
        limit = speeds.limit(each, slots, now_s)
        assert 1 <= limit <= slots * LIMITS.declared_per_slot


@settings(max_examples=100, deadline=None)
@given(
    levels=st.lists(st.integers(50, 800), min_size=1, max_size=20),
    steps=st.integers(1, 60),
)
def test_at_least_half_of_a_service_is_never_limited(levels, steps):
    """Guards against limits that leave a service without room.

    Whatever its targets' slowness, half of them are at or below the median.
    """
    speeds = TargetSpeeds()
    tokens = range(len(levels))
    for step in range(steps):
        now_s = step * 0.25
        speeds.balance(tokens, now_s)
        for token, percent in zip(tokens, levels, strict=True):
            witnesses(speeds, token, percent, now_s, count=4)
        speeds.balance(tokens, now_s)
    slow = sum(
        speeds.slowness(token, now_s) > LIMITS.tolerated_slowness
        for token in tokens
    )
    assert slow <= len(levels) // 2
