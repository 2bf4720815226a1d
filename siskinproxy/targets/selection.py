"""Selection of the target for a new flow: least utilized, then least busy."""

import random
from collections.abc import Sequence
from typing import Final

from siskinproxy.callers.admission_decisions import AdmittedReason
from siskinproxy.targets.target_state import Mode, TargetState

__all__ = ('relative_busy_s', 'select_target')

#: Busy time of a target, relative to the mean of the warm targets, up to which
#: it is preferred for being in the ingress zone.
ZONE_PREFERENCE_LIMIT: Final = 1.05


def relative_busy_s(state: TargetState, mode: Mode, now_s: float) -> float:
    """Return the busy time of the last 10 s for each unit of capacity.

    The capacity is the limit of the warm target.

    Parameters
    ----------
    state : TargetState
        State of the target.
    mode : {'request', 'stream'}
        Mode of the listener.
    now_s : float
        Current time in seconds.

    Returns
    -------
    float
        Seconds per slot (requests) or per connection (streams).
    """
    if mode == 'request':
        return state.requests.busy_s(now_s) / (state.target.slots or 1)
    return state.streams.busy_s(now_s) / (state.target.connections or 1)


def _utilizations(states: Sequence[TargetState], mode: Mode) -> list[float]:
    """Return the flows in progress relative to the current limits."""
    if mode == 'request':
        return [item.requests.count / item.request_limit for item in states]
    return [item.streams.count / item.stream_limit for item in states]


def select_target(
    candidates: Sequence[TargetState],
    mode: Mode,
    ingress_zone: str,
    mean_busy_s: float,
    now_s: float,
    rng: random.Random,
) -> tuple[TargetState, AdmittedReason]:
    """Select the target with the lowest utilization of its current limit.

    Among targets with equal utilization, the one with the lowest relative busy
    time is selected, or the first one in the ingress zone whose busy time is
    at most 5% above the mean.

    Parameters
    ----------
    candidates : sequence of TargetState
        Targets that may get the flow; at least one.
    mode : {'request', 'stream'}
        Mode of the listener.
    ingress_zone : str
        Availability zone of the instance that received the opening segment.
    mean_busy_s : float
        Mean of `relative_busy_s` over the warm targets of the shard.
    now_s : float
        Current time in seconds.
    rng : random.Random
        Random number generator that orders targets with equal utilization
        and busy time.

    Returns
    -------
    tuple of TargetState and AdmittedReason
        Selected target and the rule that selected it.
    """
    utilizations = _utilizations(candidates, mode)
    lowest = min(utilizations)
    tied = [
        (relative_busy_s(state, mode, now_s), rng.random(), state)
        for utilization, state in zip(utilizations, candidates, strict=True)
        if utilization == lowest
    ]
    tied.sort(key=lambda item: item[:2])
    selected = tied[0][2]
    reason = AdmittedReason.BALANCED
    for busy_s, _, state in tied:
        if busy_s > ZONE_PREFERENCE_LIMIT * mean_busy_s:
            break
        if state.target.zone == ingress_zone:
            selected = state
            reason = AdmittedReason.INGRESS_ZONE
            break
    if selected.warmup is not None:
        reason = AdmittedReason.WARM_UP_PROBE
    return selected, reason
