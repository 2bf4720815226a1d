"""Whether the fabric should deliver packets to an instance."""

import enum

__all__ = ('Readiness',)


class Readiness(enum.Enum):
    """State of the process as the fabric sees it."""

    STARTING = 'starting'
    READY = 'ready'
    STOPPING = 'stopping'
