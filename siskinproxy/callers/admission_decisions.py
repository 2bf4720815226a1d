"""Admission decisions about new flows, with their reasons."""

import enum
from dataclasses import dataclass

from siskinproxy.operators.configuration import Target

__all__ = (
    'Admitted',
    'AdmittedReason',
    'Queued',
    'QueuedReason',
    'Refused',
    'RefusedReason',
)


class AdmittedReason(enum.Enum):
    """Rule by which a target was selected for a flow."""

    #: The target with the lowest utilization and the least recent load.
    BALANCED = 'balanced'
    #: One of the least utilized targets, preferred because of its zone.
    INGRESS_ZONE = 'ingress_zone'
    #: A target that is warming up gets one of its paced flows.
    WARM_UP_PROBE = 'warm_up_probe'
    #: Another target refused the flow before.
    RETRY_AFTER_REFUSAL = 'retry_after_refusal'
    #: The flow was admitted before; its opening segment was retransmitted.
    REPEATED = 'repeated'


class QueuedReason(enum.Enum):
    """Why a flow waits for a target."""

    #: No target has a free slot.
    ALL_SLOTS_BUSY = 'all_slots_busy'
    #: A target has a free slot, but gets no flow now: it is warming up and its
    #: flows are paced, it is stalled, or it is backing off after refusals.
    WARM_UP_PACING = 'warm_up_pacing'
    #: The flow was queued before; its opening segment was retransmitted.
    REPEATED = 'repeated'


class RefusedReason(enum.Enum):
    """Why a flow was refused; none of its data reached a target."""

    #: No target of the shard takes new flows.
    NO_TARGET = 'no_target'
    #: No target has capacity for the flow, or the flow table is full.
    NO_CAPACITY = 'no_capacity'
    #: The expected wait exceeds the deadline of the flow.
    QUEUE_DEADLINE = 'queue_deadline'
    #: The flow would meet its deadline without higher-priority flows.
    LOWER_PRIORITY = 'lower_priority'
    #: A target refused the flow, and the retry budget is used up.
    RETRY_BUDGET_EXHAUSTED = 'retry_budget_exhausted'
    #: A target refused the flow too late for a retry to meet its deadline.
    RETRY_DEADLINE = 'retry_deadline'
    #: All targets that take new flows are in zones that cannot be reached.
    ZONE_UNREACHABLE = 'zone_unreachable'
    #: The instance is shutting down.
    SHUTTING_DOWN = 'shutting_down'
    #: The flow is unknown: its caller gave up, or its record has expired.
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision to send the flow to a target, against whose limit it counts.

    Parameters
    ----------
    target : Target
        Target that the opening segment (SYN) is sent to.
    reason : AdmittedReason
        Rule that selected the target; ``REPEATED`` for a flow that was
        admitted before.
    """

    target: Target
    reason: AdmittedReason


@dataclass(frozen=True, slots=True)
class Queued:
    """Decision to queue the flow; a later ``poll`` returns the final one.

    Parameters
    ----------
    reason : QueuedReason
        What the flow waits for.
    """

    reason: QueuedReason


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision to refuse the flow, which was not executed and holds no slot.

    Parameters
    ----------
    reason : RefusedReason
        Rule that refused the flow.
    """

    reason: RefusedReason
