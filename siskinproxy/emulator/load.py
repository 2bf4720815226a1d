"""Arrivals of requests from the callers of each zone."""

import random
from collections import defaultdict
from collections.abc import Callable

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day

__all__ = ('LoadGenerator',)


class LoadGenerator:
    """Starts requests at random times, at the rates of a scenario.

    Parameters
    ----------
    day : Day
        Scenario.
    clock : VirtualClock
        Clock.
    rng : random.Random
        Random source; it serves nothing else, so that all policies get the
        same requests.
    start_request : callable
        Called with the number of the request class, the zone of the caller and
        a random source for the request.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    zone_factors, class_factors : defaultdict of str to float
        Factor of the request rate, by zone and by name of the request class;
        above 1 during a burst.
    """

    def __init__(
        self,
        day: Day,
        clock: VirtualClock,
        rng: random.Random,
        start_request: Callable[[int, str, random.Random], None],
    ) -> None:
        self.zone_factors: defaultdict[str, float] = defaultdict(lambda: 1)
        self.class_factors: defaultdict[str, float] = defaultdict(lambda: 1)
        self.zones = day.zones
        self._day = day
        self._clock = clock
        self._rng = rng
        self._start_request = start_request

    def start(self) -> None:
        """Start the arrivals of all zones."""
        for zone, rate_per_s in zip(
            self._day.zones, self._day.requests_per_s, strict=True
        ):
            self._on_arrival(zone, rate_per_s)

    def _on_arrival(self, zone: str, rate_per_s: float) -> None:
        if self._clock.now_s >= self._day.length_s:
            return
        shares = [
            each.share * self.class_factors[each.name]
            for each in self._day.classes
        ]
        number = self._rng.choices(range(len(shares)), shares)[0]
        request_rng = random.Random(self._rng.random())
        usual_share = sum(each.share for each in self._day.classes)
        factor = self.zone_factors[zone] * (sum(shares) / usual_share)
        delay_s = self._rng.expovariate(rate_per_s * factor)
        self._start_request(number, zone, request_rng)
        self._clock.call_after(delay_s, self._on_arrival, zone, rate_per_s)
