"""Lanes, room by zone, demand and waiting, each as pure decisions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.scheduling.demand import DemandView, demand_key
from siskinproxy.entry.scheduling.divisions import ServiceDivision
from siskinproxy.entry.scheduling.lanes import (
    MAX_RESERVED,
    MIN_HEADROOM,
    lane_shares,
    lane_sizes,
    split_targets,
)
from siskinproxy.entry.scheduling.rooms import ZoneLoads, zone_key
from siskinproxy.entry.scheduling.waiting import WaitPolicy
from siskinproxy.entry.tests.fakes import target

needs = st.lists(st.floats(0, 1000), min_size=1, max_size=5)
CLASS = ('desk', 1)
KEY = demand_key('desk', 1)


@given(needs, st.floats(1, 1000))
def test_shares_add_up_and_leave_room_for_the_last(found, slots):
    """Guards against lanes that take targets twice, or all from the last."""
    shares = lane_shares(found, slots)
    assert sum(shares) == pytest.approx(1)
    assert min(shares) >= 0
    assert shares[-1] >= 1 - MAX_RESERVED - 1e-9


@given(st.floats(0.1, 20), st.floats(0, 10_000))
def test_a_surge_of_the_lower_priority_leaves_the_higher_its_need(need, surge):
    """Guards against a burst of one route that takes the room of another."""
    slots = 40.0
    share = lane_shares([need, surge], slots)[0]
    floor = min(MIN_HEADROOM * need / slots, MAX_RESERVED)
    assert share >= floor - 1e-9


@given(needs, st.integers(1, 60))
def test_sizes_use_each_target_once(found, count):
    """Guards against targets that no lane has."""
    sizes = lane_sizes(lane_shares(found, 40), count, None)
    assert sum(sizes) == count
    assert min(sizes) >= 0
    assert sizes[-1] >= 1


def test_a_small_change_of_demand_moves_no_target():
    """Guards against lanes that open flows can't follow."""
    assert lane_sizes((0.33, 0.67), 20, (6, 14)) == (6, 14)
    assert lane_sizes((0.40, 0.60), 20, (6, 14)) == (8, 12)


def known(count, zone='a'):
    return tuple(
        KnownTarget(target(number, zone=zone)) for number in range(1, count + 1)
    )


def test_all_instances_divide_in_the_same_order():
    """Guards against lanes that overlap, as instances list targets anew."""
    targets = known(9)
    sizes = {'a': (3, 6)}
    assert split_targets(targets, sizes) == split_targets(targets[::-1], sizes)


def test_a_small_zone_is_shared_by_all_lanes():
    """Guards against targets that get no flows beside zones with lanes."""
    targets = (*known(9), *known(2, 'b'))
    lanes = split_targets(targets, {'a': (3, 6)})
    assert [len(lane['a']) for lane in lanes] == [3, 6]
    assert [len(lane['b']) for lane in lanes] == [2, 2]


@pytest.mark.parametrize(
    ('loads', 'expected'),
    [
        ({'a': 0.5, 'b': 0.5}, {'a', 'b'}),
        ({'a': 2.5, 'b': 0.5}, {'b'}),
        ({'a': 2.5, 'b': None}, {'b'}),
        ({'a': 2.5, 'b': 2.5}, set()),
    ],
)
def test_a_zone_that_is_full_gets_no_flows(loads, expected):
    """Guards against the target that only looks free among sampled counts.

    The load of a zone that is cut off is unknown; its targets stay in use.
    """
    division = ServiceDivision()
    targets = (*known(3), *known(3, 'b'))
    division.lanes(targets)
    step = division.step(0, 2.0, lambda lane, zone: loads[zone])
    assert {each.record.zone for each in step.targets} == expected


@pytest.mark.parametrize(
    ('age_s', 'expected'), [(0, 1.25), (1.4, 1.25), (1.6, None)]
)
def test_loads_of_other_zones_age(age_s, expected):
    """Guards against room that a zone had before it was cut off."""
    first, second = ZoneLoads(), ZoneLoads()
    key = zone_key('a', 'desk', 0)
    first.note_own(key, 1.25, 10)
    second.apply_report(first.report(10), 10)
    assert second.load(key, 10 + age_s) == expected


def test_an_older_report_does_not_replace_a_newer_load():
    """Guards against reports that arrive in another order."""
    loads = ZoneLoads()
    loads.apply_report({1: (100, 50)}, 10)
    loads.apply_report({1: (300, 900)}, 10)
    assert loads.load(1, 10) == 1


@pytest.mark.parametrize('seconds', [1, 3, 20])
def test_need_is_right_from_the_start(seconds):
    """Guards against lanes that are too small while an average warms up."""
    view = DemandView()
    for number in range(10 * seconds):
        view.note_request(KEY, 0.1, number / 10)
    assert view.own_need(KEY, seconds) == pytest.approx(1, rel=0.2)


def test_a_silent_peer_is_left_out():
    """Guards against a need that outlives the instance that reported it."""
    view = DemandView()
    view.apply_report('i-2', {KEY: 4000}, 0)
    assert view.need(KEY, 2, 1) == pytest.approx(4)
    assert view.need(KEY, 2, 4) == 0


def press(policy, from_s, until_s, *, is_blocked=True):
    now_s = from_s
    while now_s < until_s:
        policy.note_arrival(CLASS, now_s, is_blocked=is_blocked)
        now_s += 0.05


@pytest.mark.parametrize(
    ('blocked_s', 'release_interval_s', 'expected'),
    [
        pytest.param(0.3, None, False, id='short burst'),
        pytest.param(3.0, None, True, id='three times the room'),
        pytest.param(3.0, 0.05, False, id='targets become free in time'),
    ],
)
def test_openings_are_refused_at_once_only_under_lasting_pressure(
    blocked_s, release_interval_s, expected
):
    """Guards against callers that use up their tries in a short recovery.

    And against callers that wait for a refusal while nothing becomes free.
    """
    policy = WaitPolicy()
    press(policy, 0, blocked_s)
    if release_interval_s:
        for number in range(10):
            released_s = blocked_s - number * release_interval_s
            policy.note_released(CLASS, released_s)
    found = policy.is_hopeless(CLASS, 1, blocked_s + 0.3, blocked_s)
    assert found is expected


def test_pressure_ends_with_the_surge():
    """Guards against refusals after there is room again."""
    policy = WaitPolicy()
    press(policy, 0, 3)
    press(policy, 3, 5, is_blocked=False)
    assert not policy.is_hopeless(CLASS, 1, 5.3, 5)
