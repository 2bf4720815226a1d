"""Interfaces towards callers."""

from siskinproxy.callers.requests import (
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
