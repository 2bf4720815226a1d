"""When an instance that has been told to stop fails its readiness check.

Planned restarts may follow in quick succession. If fewer than half of a zone's
instances are ready, the fabric delivers packets to all of them, including those
that are down. An instance that would leave too few therefore stays ready while
others of its zone stop or restart, for as long as its own stop permits.
"""

from typing import Final

__all__ = ('FORWARD_AFTER_UNREADY_S', 'MAX_STOP_DELAY_S', 'may_become_unready')

#: Time for which packets are still forwarded after the readiness check begins
#: to fail, in seconds: the fabric checks twice a second and stops delivering
#: after two failures.
FORWARD_AFTER_UNREADY_S: Final = 1.8
#: Longest time for which a stopping instance stays ready, in seconds. The
#: platform expects that the fabric no longer delivers packets to it 4 s after
#: the signal, and the fabric needs up to 1.5 s after the first failed check.
MAX_STOP_DELAY_S: Final = 2.0
#: Part of the time before the forced end that is reserved for closing and for
#: late timers, in seconds.
_SHUTDOWN_MARGIN_S: Final = 0.7


def may_become_unready(
    absent: int, zone_size: int, waited_s: float, stop_limit_s: float
) -> bool:
    """Return whether the readiness check should fail from now on.

    Parameters
    ----------
    absent : int
        Other instances of the zone that are stopping or restarting.
    zone_size : int
        Instances of the zone, including this one.
    waited_s : float
        Time since the signal to stop, in seconds.
    stop_limit_s : float
        Time between the signal and the forced end, in seconds.

    Returns
    -------
    bool
        True if at least half of the zone's instances stay ready without this
        one, if no other one is stopping or restarting, or if this instance
        cannot wait any longer.
    """
    remaining = zone_size - absent - 1
    if 2 * remaining >= zone_size:
        return True
    latest_s = stop_limit_s - FORWARD_AFTER_UNREADY_S - _SHUTDOWN_MARGIN_S
    return not absent or waited_s >= min(latest_s, MAX_STOP_DELAY_S)
