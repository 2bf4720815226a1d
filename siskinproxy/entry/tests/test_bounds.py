"""Timing that is derived from the bounds in the settings."""

import msgspec
import pytest

from siskinproxy.entry.bounds import (
    directory_timing,
    engine_timing,
    follower_timing,
)
from siskinproxy.entry.follower import FollowerTiming
from siskinproxy.entry.settings import EntryBounds

BOUNDS = EntryBounds(
    heartbeat_ms=1200,
    drain_ms=3000,
    config_ms=3000,
    zone_out_ms=5000,
    stop_s=6,
    flow_life_s=60,
    cold_factor=1.5,
    cold_slack=5,
)


def with_bounds(**changes):
    return msgspec.structs.replace(BOUNDS, **changes)


@pytest.mark.parametrize('key', ['drain_ms', 'config_ms', 'zone_out_ms'])
def test_each_bound_on_a_change_shortens_the_watch(key):
    """Guards against a bound of the settings that has no effect.

    Each of the three may be the tightest one, which decides.
    """
    timing = follower_timing(with_bounds(**{key: 1500}))
    assert timing.watch_s == pytest.approx(0.5)
    assert timing.stale_s == pytest.approx(0.85)


@pytest.mark.parametrize('bound_ms', [3000, 1500, 600])
def test_a_missed_watch_and_a_stale_source_fit_into_the_bound(bound_ms):
    """Guards against a change that takes effect after its bound.

    A watch on a silent connection misses it, a query to another instance times
    out, and only the next watch returns it.
    """
    timing = follower_timing(with_bounds(drain_ms=bound_ms, config_ms=bound_ms))
    lost_s = timing.watch_s + timing.peer_timeout_s + timing.retry_s
    assert lost_s + timing.watch_s + timing.batch_delay_s < bound_ms / 1000


@pytest.mark.parametrize('key', ['drain_ms', 'config_ms', 'zone_out_ms'])
def test_a_bound_of_zero_leaves_time_between_calls(key):
    """Guards against a follower that queries the store without a pause.

    Times in proportion to a bound of zero would be zero.
    """
    timing = follower_timing(with_bounds(**{key: 0}))
    assert timing.watch_s >= 0.1
    assert timing.retry_s >= 0.01


def test_a_wider_bound_keeps_the_usual_times():
    """Guards against changes that take effect later under a wide bound.

    Times in proportion to the bound would exceed the defaults.
    """
    wide = with_bounds(drain_ms=9000, config_ms=9000, zone_out_ms=9000)
    assert follower_timing(wide) == FollowerTiming()


def test_targets_of_a_returned_zone_get_two_heartbeats():
    """Guards against full load on targets that are cold but not known to be.

    After a zone returns, its targets report their state with a heartbeat.
    """
    assert directory_timing(BOUNDS).returned_zone_cold_s == pytest.approx(3.5)
    slower = directory_timing(with_bounds(heartbeat_ms=4000))
    assert slower.returned_zone_cold_s == pytest.approx(9.1)


def test_a_zone_taken_out_gets_nothing_before_the_bound():
    """Guards against packets that reach a zone after its zone-out bound.

    An instance learns of the change some time after the zone was taken out, so
    it must stop sending sooner than the bound, counted from then.
    """
    assert engine_timing(BOUNDS).zone_out_s == pytest.approx(4.0)
