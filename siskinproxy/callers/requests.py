"""Decisions about new flows and their reasons."""

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
    """Why a target was selected for a flow."""

    BALANCED = 'balanced'
    INGRESS_ZONE = 'ingress_zone'
    WARM_UP_PROBE = 'warm_up_probe'
    RETRY_AFTER_REFUSAL = 'retry_after_refusal'
    REPEATED = 'repeated'


class QueuedReason(enum.Enum):
    """Why a flow waits for a target."""

    ALL_SLOTS_BUSY = 'all_slots_busy'
    WARM_UP_PACING = 'warm_up_pacing'
    REPEATED = 'repeated'


class RefusedReason(enum.Enum):
    """Why a flow was refused; none of its data reached a target."""

    NO_TARGET = 'no_target'
    NO_CAPACITY = 'no_capacity'
    QUEUE_DEADLINE = 'queue_deadline'
    LOWER_PRIORITY = 'lower_priority'
    RETRY_BUDGET_EXHAUSTED = 'retry_budget_exhausted'
    RETRY_DEADLINE = 'retry_deadline'
    ZONE_UNREACHABLE = 'zone_unreachable'
    SHUTTING_DOWN = 'shutting_down'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Admitted:
    """The flow goes to a target and counts against its limit.

    Parameters
    ----------
    target : Target
        Target that gets the opening segment.
    reason : AdmittedReason
        Rule that selected the target; ``REPEATED`` for a flow that was
        admitted before.
    """

    target: Target
    reason: AdmittedReason


@dataclass(frozen=True, slots=True)
class Queued:
    """The flow waits; a later ``poll`` returns the final decision.

    Parameters
    ----------
    reason : QueuedReason
        What the flow waits for.
    """

    reason: QueuedReason


@dataclass(frozen=True, slots=True)
class Refused:
    """The flow was not executed and holds no slot.

    Parameters
    ----------
    reason : RefusedReason
        Rule that refused the flow.
    """

    reason: RefusedReason
