"""State that an instance reports to the readiness check of the fabric."""

import enum

__all__ = ('Readiness',)


class Readiness(enum.Enum):
    """Stage in the life of an entry process; only `READY` accepts packets."""

    #: No configuration has been received yet.
    STARTING = 'starting'
    READY = 'ready'
    #: The readiness check fails, so that the fabric stops delivering packets;
    #: those that still arrive are forwarded.
    STOPPING = 'stopping'
