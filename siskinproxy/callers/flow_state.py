"""State transitions of a flow, derived from the TCP flags of its segments."""

from siskinproxy.callers.flow_table import FlowState
from siskinproxy.fabric.segments import FIN, RST, SYN

__all__ = ('has_released_slot', 'next_state')


def next_state(state: FlowState, flags: int, is_from_target: bool) -> FlowState:
    """Return the state of a flow after one of its segments was forwarded.

    Parameters
    ----------
    state : FlowState
        State before the segment.
    flags : int
        Flags byte of the TCP header.
    is_from_target : bool
        True if the target sent the segment, False if the caller did.

    Returns
    -------
    FlowState
        State after the segment.
    """
    if flags & RST or state is FlowState.CLOSED:
        return FlowState.CLOSED
    if flags & FIN:
        return _state_after_fin(state, is_from_target)
    if flags & SYN and is_from_target and state is FlowState.OPENING:
        return FlowState.ESTABLISHED
    return state


def has_released_slot(state: FlowState) -> bool:
    """Return whether a request flow in this state has freed its slot.

    A target that has sent its FIN has completed the response.
    """
    return state in {FlowState.TARGET_CLOSED, FlowState.CLOSED}


def _state_after_fin(state: FlowState, is_from_target: bool) -> FlowState:
    sender_closed, receiver_closed = (
        FlowState.CALLER_CLOSED,
        FlowState.TARGET_CLOSED,
    )
    if is_from_target:
        sender_closed, receiver_closed = receiver_closed, sender_closed
    return FlowState.CLOSED if state is receiver_closed else sender_closed
