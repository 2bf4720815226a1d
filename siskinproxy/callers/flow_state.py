"""State transitions of a flow, from the TCP flags that instances observe."""

from siskinproxy.callers.flow_table import FlowState
from siskinproxy.fabric.segments import FIN, RST, SYN

__all__ = ('has_released_slot', 'next_state')


def next_state(state: FlowState, flags: int, is_from_target: bool) -> FlowState:
    """Return the state of a flow after a segment.

    Parameters
    ----------
    state : FlowState
        State before the segment.
    flags : int
        TCP flags of the segment.
    is_from_target : bool
        Direction of the segment.

    Returns
    -------
    FlowState
        State after the segment.
    """
    if flags & RST or state is FlowState.CLOSED:
        return FlowState.CLOSED
    if flags & FIN:
        return _after_fin(state, is_from_target)
    if flags & SYN and is_from_target and state is FlowState.OPENING:
        return FlowState.ESTABLISHED
    return state


def has_released_slot(state: FlowState) -> bool:
    """Tell whether a request flow in this state uses its slot no more."""
    return state in {FlowState.TARGET_CLOSED, FlowState.CLOSED}


def _after_fin(state: FlowState, is_from_target: bool) -> FlowState:
    own, other = FlowState.CALLER_CLOSED, FlowState.TARGET_CLOSED
    if is_from_target:
        own, other = other, own
    return FlowState.CLOSED if state is other else own
