"""Usual response time of each route, from the responses of this instance."""

import math
from typing import Final

__all__ = ('UsualTimes',)

#: Returned for a route without samples, in seconds.
DEFAULT_USUAL_S: Final = 0.02
#: Samples of a route after which its usual time is a base for ratios.
SETTLED_SAMPLES: Final = 4
#: Weight of a sample in the moving average of the logarithm.
_DOWN_WEIGHT: Final = 0.05
#: Weight of a sample above the average. Less than the weight of one below, so
#: that an overload of all targets does not soon count as usual.
_UP_WEIGHT: Final = 0.03
#: Bounds on the difference of a sample from the average, in natural logarithms.
#: The upper one bounds the effect of slow targets.
_MAX_UP: Final = 0.5
_MAX_DOWN: Final = 2.0
#: Age from which on the usual time of a route is deleted, in seconds.
_MAX_AGE_S: Final = 600.0


class _Usual:
    __slots__ = ('count', 'log_s', 'updated_s')

    def __init__(self, log_s: float) -> None:
        self.count = 0
        self.log_s = log_s
        self.updated_s: float = 0


class UsualTimes:
    """Usual response times by route."""

    def __init__(self) -> None:
        self._by_route: dict[str, _Usual] = {}

    def note(self, route: str, log_s: float, now_s: float) -> float | None:
        """Add a response time and return its ratio to the usual one.

        Parameters
        ----------
        route : str
            Name of the route.
        log_s : float
            Natural logarithm of the response time in seconds.
        now_s : float
            Current time in seconds.

        Returns
        -------
        float or None
            Natural logarithm of the ratio; None while the route has fewer than
            `SETTLED_SAMPLES` earlier samples.
        """
        usual = self._by_route.get(route)
        if usual is None:
            usual = _Usual(log_s)
            self._by_route[route] = usual
        difference = log_s - usual.log_s
        is_settled = usual.count >= SETTLED_SAMPLES
        usual.count += 1
        usual.updated_s = now_s
        step = max(min(difference, _MAX_UP), -_MAX_DOWN)
        weight = _UP_WEIGHT if step > 0 else _DOWN_WEIGHT
        usual.log_s += step * max(weight, 1 / usual.count)
        return difference if is_settled else None

    def usual_s(self, route: str) -> float:
        """Return the usual response time of a route in seconds."""
        usual = self._by_route.get(route)
        return DEFAULT_USUAL_S if usual is None else math.exp(usual.log_s)

    def expire(self, now_s: float) -> None:
        """Delete routes without samples for ten minutes."""
        for route, usual in tuple(self._by_route.items()):
            if now_s - usual.updated_s > _MAX_AGE_S:
                del self._by_route[route]
