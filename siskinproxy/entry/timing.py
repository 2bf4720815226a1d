"""Timeouts and intervals of the packet handling."""

import msgspec

__all__ = ('EngineTiming',)


class EngineTiming(msgspec.Struct, frozen=True):
    """Timeouts and intervals of the engine.

    Parameters
    ----------
    min_answer_timeout_s : float
        Lower limit of the answer timeout, in seconds.
    max_answer_timeout_s : float
        Upper limit of the answer timeout, in seconds; less than the 200 ms
        after which callers retransmit their opening packet.
    answer_timeout_factor : float
        Answer timeout as a multiple of the mean time to an answer.
    pause_s : float
        Delay of a timer, in seconds, from which on the process counts as
        paused. Answers that it could not read meanwhile are no evidence that
        targets are unresponsive.
    waiting_check_s : float
        Interval at which waiting openings are checked, in seconds; they are
        also checked whenever a flow ends.
    min_counting_timeout_s : float
        Lower limit of the time for which a flow counts as in progress if its
        closing packet is not seen, in seconds.
    flow_grace_s : float
        Time after the deadline of a request at which the state of its flow is
        deleted, in seconds.
    zone_out_s : float
        Time after a zone is taken out of service from which on no packet is
        forwarded to it, in seconds.
    removed_route_s : float
        Time for which packets of open flows are still forwarded after their
        route was removed, in seconds.
    """

    min_answer_timeout_s: float = 0.03
    max_answer_timeout_s: float = 0.15
    answer_timeout_factor: float = 4.0
    pause_s: float = 0.25
    waiting_check_s: float = 0.02
    min_counting_timeout_s: float = 0.25
    flow_grace_s: float = 1.0
    zone_out_s: float = 4.0
    removed_route_s: float = 2.0
