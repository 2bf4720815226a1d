"""Times and limits of the product that follow from the platform's bounds."""

from typing import Final

from siskinproxy.entry.cold_limit import ColdBounds
from siskinproxy.entry.directory import DirectoryTiming
from siskinproxy.entry.engine import EngineTiming
from siskinproxy.entry.follower import FollowerTiming
from siskinproxy.entry.settings import EntryBounds

__all__ = (
    'LEAST_BOUND_S',
    'USUAL_BOUND_S',
    'cold_bounds',
    'directory_timing',
    'engine_timing',
    'follower_timing',
)

#: Bound on changes that the usual times of a follower are made for, in
#: seconds: that of the users' smaller deployments. Longer times under a wider
#: bound would save calls to the store, which cost little.
USUAL_BOUND_S: Final = 3.0
#: Bound below which the times do not shrink further, in seconds. The store
#: answers in milliseconds, but each instance would ask it without a pause.
LEAST_BOUND_S: Final = 0.5
#: Announcements of a target after which its state is known: the first may
#: have left just before its zone returned.
HEARTBEATS_TO_WAIT: Final = 2
#: Part of the zone-out bound after which nothing is sent any more; the rest
#: covers the delay of the change.
ZONE_OUT_SHARE: Final = 0.8
_MS_PER_S: Final = 1000


def follower_timing(bounds: EntryBounds) -> FollowerTiming:
    """Return the times that keep the tightest bound on a change.

    A change may miss a watch, a call that fails and another source that
    turns out to be stale. The usual times fit into `USUAL_BOUND_S`; they are
    shorter in proportion for a tighter bound down to `LEAST_BOUND_S`.

    Parameters
    ----------
    bounds : EntryBounds
        Bounds of the platform.

    Returns
    -------
    FollowerTiming
        Times.
    """
    tightest_ms = min(bounds.drain_ms, bounds.config_ms, bounds.zone_out_ms)
    bound_s = max(tightest_ms / _MS_PER_S, LEAST_BOUND_S)
    share = min(bound_s / USUAL_BOUND_S, 1)
    usual = FollowerTiming()
    return FollowerTiming(
        watch_s=share * usual.watch_s,
        peer_timeout_s=share * usual.peer_timeout_s,
        stale_s=share * usual.stale_s,
        gather_s=share * usual.gather_s,
        retry_s=share * usual.retry_s,
    )


def directory_timing(bounds: EntryBounds) -> DirectoryTiming:
    """Return the times of the directory.

    Parameters
    ----------
    bounds : EntryBounds
        Bounds of the platform.

    Returns
    -------
    DirectoryTiming
        Times. Targets of a returned zone have announced themselves after
        `HEARTBEATS_TO_WAIT`, a watch and its repetition.
    """
    following = follower_timing(bounds)
    heartbeats_s = HEARTBEATS_TO_WAIT * bounds.heartbeat_ms / _MS_PER_S
    return DirectoryTiming(
        flow_life_s=bounds.flow_life_s,
        turn_cold_s=heartbeats_s + following.watch_s + following.retry_s,
    )


def cold_bounds(bounds: EntryBounds) -> ColdBounds:
    """Return the bounds on requests to cold targets."""
    return ColdBounds(bounds.cold_factor, bounds.cold_slack)


def engine_timing(bounds: EntryBounds) -> EngineTiming:
    """Return the times of the engine."""
    return EngineTiming(
        zone_out_s=ZONE_OUT_SHARE * bounds.zone_out_ms / _MS_PER_S
    )
