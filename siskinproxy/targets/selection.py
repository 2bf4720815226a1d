"""Selection of the target for a new flow."""

import random
from collections.abc import Sequence
from typing import Final

from siskinproxy.callers.requests import AdmittedReason
from siskinproxy.targets.target_state import Mode, TargetState

__all__ = ('relative_busy_s', 'select_target')

#: Busy time relative to the mean up to which the ingress zone is preferred.
ZONE_PREFERENCE_LIMIT: Final = 1.05


def relative_busy_s(state: TargetState, mode: Mode, now_s: float) -> float:
    """Return the busy time of the last 10 s for each unit of the full limit.

    Parameters
    ----------
    state : TargetState
        Target.
    mode : {'request', 'stream'}
        Mode of the listener.
    now_s : float
        Current time in seconds.

    Returns
    -------
    float
        Seconds for each slot or connection.
    """
    if mode == 'request':
        return state.requests.busy_s(now_s) / (state.target.slots or 1)
    return state.streams.busy_s(now_s) / (state.target.connections or 1)


def _utilizations(states: Sequence[TargetState], mode: Mode) -> list[float]:
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
    """Select the target with the lowest use relative to its limit.

    Among targets with equal use, the least busy one of the last 10 s is
    selected, or one in the ingress zone if its busy time stays within 5% of
    the mean.

    Parameters
    ----------
    candidates : sequence of TargetState
        Targets with room for the flow; at least one.
    mode : {'request', 'stream'}
        Mode of the listener.
    ingress_zone : str
        Zone of the instance that received the opening segment.
    mean_busy_s : float
        Mean of `relative_busy_s` over the warm targets of the shard.
    now_s : float
        Current time in seconds.
    rng : random.Random
        Source of the order of targets that are equal in every respect.

    Returns
    -------
    tuple of TargetState and AdmittedReason
        Selected target and the rule that selected it.
    """
    uses = _utilizations(candidates, mode)
    lowest = min(uses)
    tied = [
        (relative_busy_s(state, mode, now_s), rng.random(), state)
        for use, state in zip(uses, candidates, strict=True)
        if use == lowest
    ]
    tied.sort(key=lambda item: item[:2])
    chosen = tied[0][2]
    reason = AdmittedReason.BALANCED
    for busy_s, _, state in tied:
        if busy_s > ZONE_PREFERENCE_LIMIT * mean_busy_s:
            break
        if state.target.zone == ingress_zone:
            chosen = state
            reason = AdmittedReason.INGRESS_ZONE
            break
    if chosen.warmup is not None:
        reason = AdmittedReason.WARM_UP_PROBE
    return chosen, reason
