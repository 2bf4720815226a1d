"""Settings of the admission decisions of a shard."""

from dataclasses import dataclass

__all__ = ('AdmissionSettings',)


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of the admission decisions of a shard.

    Parameters
    ----------
    takeover_s : float
        Time for which a new owner of a shard grants only half of the limits
        of targets that are warming up, in seconds.
    deadline_grace_s : float
        Time after the deadline of a request at which its slot is released in
        case the segment that ended the flow was lost, in seconds.
    opening_record_s : float
        Time for which a record is kept of a flow in mode ``stream`` that has
        not been accepted, in seconds.
    retry_ratio : float
        Retries that are permitted for each admitted flow.
    min_retries_per_s : int
        Retries per second and service that are permitted however few flows
        are admitted.
    default_completion_s : float
        Completion time that is assumed until a request has completed, in
        seconds.
    """

    takeover_s: float = 2.0
    deadline_grace_s: float = 2.0
    opening_record_s: float = 5.0
    retry_ratio: float = 0.1
    min_retries_per_s: int = 3
    default_completion_s: float = 0.1
