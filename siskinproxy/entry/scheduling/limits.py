"""Bounds of what is learned about targets, and what the status page shows."""

import msgspec

__all__ = ('SpeedLimits', 'TargetSpeed')


class SpeedLimits(msgspec.Struct, frozen=True):
    """Bounds and time constants of what is learned about targets.

    Parameters
    ----------
    declared_per_slot : float
        Limit on requests in progress before samples, and the highest limit, in
        requests per slot.
    least_per_slot : float
        Lowest limit, in requests per slot.
    least_slowness, most_slowness : float
        Bounds on the slowness of a target and on the ratio of a sample.
    tolerated_slowness : float
        Slowness relative to the service above which the limit falls.
    fall_time_s : float
        Time constant of the falling limit, in seconds.
    rise_per_slot_s : float
        Rise of the limit, in requests per slot and second.
    hold_s : float
        Time without samples after which the limit rises again, in seconds.
    memory_s : float
        Age at which a sample has lost its effect, in seconds.
    smoothing_s : float
        Time constant that smooths the slowness if samples are frequent, in
        seconds.
    unanswered_slowness : float
        Ratio that an opening without answer counts as.
    sends_per_sample : int
        Number of load reports that hold a sample, since reports may be lost.
    most_reported : int
        Maximum number of targets in a load report.
    most_targets : int
        Maximum number of targets with state.
    """

    declared_per_slot: float = 2.0
    least_per_slot: float = 0.5
    least_slowness: float = 0.5
    most_slowness: float = 8.0
    tolerated_slowness: float = 1.5
    fall_time_s: float = 0.5
    rise_per_slot_s: float = 0.25
    hold_s: float = 2.0
    memory_s: float = 6.0
    smoothing_s: float = 0.05
    unanswered_slowness: float = 4.0
    sends_per_sample: int = 2
    most_reported: int = 64
    most_targets: int = 20_000


class TargetSpeed(msgspec.Struct, frozen=True):
    """What is known of a target, for the status page.

    Parameters
    ----------
    slowness : float
        Response time relative to the usual one and to the service.
    limit_factor : float
        Requests in progress per slot that the target takes well.
    samples : int
        Samples so far, of this and other instances.
    age_s : float or None
        Age of the latest sample in seconds; None without samples.
    """

    slowness: float
    limit_factor: float
    samples: int
    age_s: float | None
