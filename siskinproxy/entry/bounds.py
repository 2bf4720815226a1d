"""Derives timing and limits of an entry process from section ``bounds``.

The section holds the bounds that the platform sets, such as the time in which
a draining target gets its last flow.
"""

from typing import Final

from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import DirectoryTiming
from siskinproxy.entry.engine import EngineTiming
from siskinproxy.entry.follower import FollowerTiming
from siskinproxy.entry.restored import RestoreTiming
from siskinproxy.entry.settings import EntryBounds

__all__ = (
    'DEFAULT_TIMING_BOUND_S',
    'MIN_BOUND_S',
    'cold_bounds',
    'cold_limit',
    'directory_timing',
    'engine_timing',
    'follower_timing',
    'restore_timing',
)

#: Tightest bound on changes that the default `FollowerTiming` keeps, in
#: seconds; smaller deployments have this bound. A wider bound does not lengthen
#: the times: that would only save calls to the store, which cost little.
DEFAULT_TIMING_BOUND_S: Final = 3.0
#: Bound below which the times are not shortened further, in seconds. The store
#: answers in milliseconds, but with shorter times each instance would query it
#: without a pause.
MIN_BOUND_S: Final = 0.5
#: Heartbeats of a target after which its state is known: the first one may
#: have been sent just before its zone returned to service.
HEARTBEATS_TO_WAIT: Final = 2
#: Time beyond a watch until an announcement is known, in seconds.
LEARNING_MARGIN_S: Final = 0.1
#: Heartbeats without which the store removes the entry of a target.
HEARTBEATS_OF_SILENCE: Final = 3
#: Time until the end of such an entry is known, in seconds.
SILENCE_MARGIN_S: Final = 1.0
#: Fraction of the bound `EntryBounds.zone_out_ms` after which nothing is sent
#: to the zone any more, counted from when this instance learns that the zone was
#: taken out; the rest covers the time until it learns of that.
ZONE_OUT_FRACTION: Final = 0.8
_MS_PER_S: Final = 1000


def follower_timing(bounds: EntryBounds) -> FollowerTiming:
    """Return timing that learns of each change within the tightest bound.

    It leaves time for a watch that misses the change, a call that fails and
    another source that turns out to be stale. The default timing keeps
    `DEFAULT_TIMING_BOUND_S`; for tighter bounds, down to `MIN_BOUND_S`, it is
    scaled down in proportion, except for `reregistration_s`. A bound below
    `MIN_BOUND_S` is not kept.

    Parameters
    ----------
    bounds : EntryBounds
        Bounds of the platform; the least of `drain_ms`, `config_ms` and
        `zone_out_ms` counts.

    Returns
    -------
    FollowerTiming
        Timing of the queries for changes.
    """
    tightest_ms = min(bounds.drain_ms, bounds.config_ms, bounds.zone_out_ms)
    bound_s = max(tightest_ms / _MS_PER_S, MIN_BOUND_S)
    scale = min(bound_s / DEFAULT_TIMING_BOUND_S, 1)
    defaults = FollowerTiming()
    return FollowerTiming(
        watch_s=scale * defaults.watch_s,
        peer_timeout_s=scale * defaults.peer_timeout_s,
        stale_s=scale * defaults.stale_s,
        hurried_wait_s=scale * defaults.hurried_wait_s,
        batch_delay_s=scale * defaults.batch_delay_s,
        retry_s=scale * defaults.retry_s,
    )


def directory_timing(bounds: EntryBounds) -> DirectoryTiming:
    """Return how long the directory keeps targets and treats them as cold.

    Parameters
    ----------
    bounds : EntryBounds
        Bounds of the platform.

    Returns
    -------
    DirectoryTiming
        Timing of the directory. Targets of a zone that returned to service
        count as cold for `HEARTBEATS_TO_WAIT` heartbeats, a watch and
        `LEARNING_MARGIN_S`: by then this instance has learned whether they are
        cold.
    """
    follower = follower_timing(bounds)
    heartbeats_s = HEARTBEATS_TO_WAIT * bounds.heartbeat_ms / _MS_PER_S
    return DirectoryTiming(
        flow_life_s=bounds.flow_life_s,
        returned_zone_cold_s=(
            heartbeats_s + follower.watch_s + LEARNING_MARGIN_S
        ),
    )


def restore_timing(bounds: EntryBounds) -> RestoreTiming:
    """Return how long entries stay as known after a restore of the store."""
    silence_s = HEARTBEATS_OF_SILENCE * bounds.heartbeat_ms / _MS_PER_S
    return RestoreTiming(target_silence_s=silence_s + SILENCE_MARGIN_S)


def cold_bounds(bounds: EntryBounds) -> ColdBounds:
    """Return the bound on the request rate of a cold target."""
    return ColdBounds(bounds.cold_factor, bounds.cold_slack)


def engine_timing(bounds: EntryBounds) -> EngineTiming:
    """Return the timing of the engine: its defaults and the zone-out time."""
    return EngineTiming(
        zone_out_s=ZONE_OUT_FRACTION * bounds.zone_out_ms / _MS_PER_S
    )


def cold_limit(instance: str, bounds: EntryBounds) -> ColdLimit:
    """Return the limit of an instance on the new flows of cold targets."""
    return ColdLimit(instance, cold_bounds(bounds))
