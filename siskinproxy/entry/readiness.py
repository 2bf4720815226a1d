"""State that an instance reports to the readiness check of the fabric."""

import enum

__all__ = ('Readiness',)


class Readiness(enum.Enum):
    """Stage of an entry process; the readiness check passes only in `READY`."""

    #: No configuration has been received yet.
    STARTING = 'starting'
    READY = 'ready'
    #: The readiness check fails, so that the fabric stops delivering packets;
    #: those that still arrive are forwarded.
    STOPPING = 'stopping'
