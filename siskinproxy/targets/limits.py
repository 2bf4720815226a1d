"""Settings of the admission decisions of a shard."""

from dataclasses import dataclass

__all__ = ('AdmissionLimits',)


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Settings of the admission decisions of a shard.

    Parameters
    ----------
    takeover_s : float
        Time during which a new owner grants half of each limit.
    deadline_grace_s : float
        Time after its deadline at which the slot of a request is released,
        in case the segment that ended the flow was lost.
    opening_s : float
        Time for which a long-lived flow that was not accepted keeps a record.
    retry_share : float
        Retries per admitted flow.
    retry_floor_per_s : int
        Retries per second and service that are always permitted.
    default_completion_s : float
        Assumed completion time of a request before any was observed.
    """

    takeover_s: float = 2.0
    deadline_grace_s: float = 2.0
    opening_s: float = 5.0
    retry_share: float = 0.1
    retry_floor_per_s: int = 3
    default_completion_s: float = 0.1
