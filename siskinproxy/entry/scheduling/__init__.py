"""Decisions from what an instance learns about the speed of targets.

Nothing here reads a clock or a socket; callers pass the current time.
"""

from siskinproxy.entry.scheduling.limits import SpeedLimits, TargetSpeed
from siskinproxy.entry.scheduling.speeds import TargetSpeeds

__all__ = ('SpeedLimits', 'TargetSpeed', 'TargetSpeeds')
