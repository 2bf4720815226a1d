"""When an instance that has been told to stop leaves the fabric.

Answers planned restarts in quick succession: if fewer than half of a zone's
instances accept packets, the fabric delivers to all of them, also to those
that are down. An instance therefore waits for the others of its zone that are
stopping or restarting, as long as it may.
"""

from collections.abc import Collection
from typing import Final

__all__ = ('FORWARD_AFTER_STOP_S', 'may_leave')

#: Time in which packets are still forwarded after the readiness check refuses:
#: the fabric asks twice a second and stops delivering after two refusals.
FORWARD_AFTER_STOP_S: Final = 1.8
#: Time that closing and a slow timer may take before the forced end.
_MARGIN_S: Final = 0.7


def may_leave(
    absent: Collection[str], waited_s: float, stop_limit_s: float
) -> bool:
    """Return whether the readiness check should refuse from now on.

    Parameters
    ----------
    absent : collection of str
        Other instances of the zone that are stopping or restarting.
    waited_s : float
        Time since the signal to stop, in seconds.
    stop_limit_s : float
        Time between the signal and the forced end, in seconds.

    Returns
    -------
    bool
        True if nobody is waited for, or if the time is up.
    """
    latest_s = stop_limit_s - FORWARD_AFTER_STOP_S - _MARGIN_S
    return not absent or waited_s >= latest_s
