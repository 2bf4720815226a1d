"""When an instance that has been told to stop leaves the fabric.

Answers planned restarts in quick succession: if fewer than half of a zone's
instances accept packets, the fabric delivers to all of them, also to those
that are down. An instance therefore waits for others of its zone that are
stopping or restarting if too few would be left, as long as it may.
"""

from typing import Final

__all__ = ('FORWARD_AFTER_STOP_S', 'MAX_WAIT_S', 'may_leave')

#: Time in which packets are still forwarded after the readiness check refuses:
#: the fabric asks twice a second and stops delivering after two refusals.
FORWARD_AFTER_STOP_S: Final = 1.8
#: Longest wait. The platform expects that an instance is out of the fabric 4 s
#: after the signal, and the fabric needs up to 1.5 s after the first refusal.
MAX_WAIT_S: Final = 2.0
#: Time that closing and a slow timer may take before the forced end.
_MARGIN_S: Final = 0.7


def may_leave(
    absent: int, zone_size: int, waited_s: float, stop_limit_s: float
) -> bool:
    """Return whether the readiness check should refuse from now on.

    Parameters
    ----------
    absent : int
        Other instances of the zone that are stopping or restarting.
    zone_size : int
        Instances of the zone, with this one.
    waited_s : float
        Time since the signal to stop, in seconds.
    stop_limit_s : float
        Time between the signal and the forced end, in seconds.

    Returns
    -------
    bool
        True if half of the zone still accepts packets without this instance,
        or if the time is up.
    """
    remaining = zone_size - absent - 1
    if 2 * remaining >= zone_size:
        return True
    latest_s = stop_limit_s - FORWARD_AFTER_STOP_S - _MARGIN_S
    return not absent or waited_s >= min(latest_s, MAX_WAIT_S)
