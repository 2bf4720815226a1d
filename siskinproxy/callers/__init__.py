"""Flows that callers open: admission decisions, queue, retries and state.

A caller is a client that connects to a listener; a flow is one TCP connection
between a caller and a target.
"""

from siskinproxy.callers.admission_decisions import (
    Admitted,
    AdmittedReason,
    Queued,
    QueuedReason,
    Refused,
    RefusedReason,
)

__all__ = (
    'Admitted',
    'AdmittedReason',
    'Queued',
    'QueuedReason',
    'Refused',
    'RefusedReason',
)
