"""Records of refusals, and of what the targets could do meanwhile."""

from collections.abc import Sequence
from typing import Final

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.day import Day
from siskinproxy.emulator.engines import class_number_of
from siskinproxy.emulator.targets import EmulatedTarget
from siskinproxy.entry.packets import PacketHeader

__all__ = ('Recorder', 'Refusal')

#: Interval at which the capacity of the targets is recorded, in seconds.
CAPACITY_SAMPLE_INTERVAL_S: Final = 0.05


class Refusal(msgspec.Struct, frozen=True):
    """Flow that an instance has reset.

    Parameters
    ----------
    at_s : float
        Time in seconds.
    kind : str
        Name of the request class.
    free_for_s : float or None
        Time for which a target of the service has had a free slot, in seconds;
        None if there is none that has.
    """

    at_s: float
    kind: str
    free_for_s: float | None


class Recorder:
    """Records refusals and the capacity of the targets.

    Parameters
    ----------
    day : Day
        Scenario.
    clock : VirtualClock
        Clock.
    targets : sequence of EmulatedTarget
        Targets of all services.

    Attributes
    ----------
    refusals : list of Refusal
        Flows that instances have reset.
    capacities : list of tuple of float
        Times in seconds, and the work in seconds that all targets together
        can do in a second from then on.
    """

    def __init__(
        self, day: Day, clock: VirtualClock, targets: Sequence[EmulatedTarget]
    ) -> None:
        self.refusals: list[Refusal] = []
        self.capacities: list[tuple[float, float]] = []
        self._day = day
        self._clock = clock
        self._targets = targets

    def note_refusal(self, packet: PacketHeader) -> None:
        """Record a reset by an instance, and whether a target is free."""
        request_class = self._day.classes[class_number_of(packet.destination)]
        free_since_s = [
            target.free_since_s
            for target in self._targets
            if target.layout.name == request_class.service
            and target.is_usable
            and target.free_since_s is not None
        ]
        now_s = self._clock.now_s
        free_for_s = now_s - min(free_since_s) if free_since_s else None
        self.refusals.append(Refusal(now_s, request_class.name, free_for_s))

    def sample_capacity(self) -> None:
        """Record what the targets can do, for as long as callers send."""
        now_s = self._clock.now_s
        if now_s > self._day.length_s:
            return
        capacity = sum(each.capacity for each in self._targets)
        self.capacities.append((now_s, capacity))
        self._clock.call_after(CAPACITY_SAMPLE_INTERVAL_S, self.sample_capacity)
