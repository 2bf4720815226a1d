"""Targets that end and start, and the list of them that instances see."""

import random
from collections.abc import Sequence
from typing import Final

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.emulator.instances import EmulatedInstance
from siskinproxy.emulator.store import EmulatedStore
from siskinproxy.emulator.targets import (
    HEARTBEAT_INTERVAL_S,
    MISSED_HEARTBEAT_LIMIT,
    EmulatedTarget,
)
from siskinproxy.entry.store import PrefixChanges

__all__ = ('TargetList',)

#: Delay until instances see a change of the target list, in seconds.
TARGET_LIST_DELAY_S: Final = 0.8


class TargetList:
    """Ends and starts targets, and passes the changes to the instances.

    Parameters
    ----------
    clock : VirtualClock
        Clock.
    rng : random.Random
        Random source of the faults.
    targets : sequence of EmulatedTarget
        Targets.
    instances : sequence of EmulatedInstance
        Instances, which may be built later.
    """

    def __init__(
        self,
        clock: VirtualClock,
        rng: random.Random,
        targets: Sequence[EmulatedTarget],
        instances: Sequence[EmulatedInstance],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._targets = targets
        self._instances = instances
        self._is_store_down = False
        self._store = EmulatedStore(clock)
        for target in targets:
            self._store.write(target.record())

    def read(self) -> PrefixChanges:
        """Return the current list."""
        return self._store.read()

    def read_live(self) -> PrefixChanges:
        """Return the list with the current entries of the live targets only."""
        live = [each for each in self._targets if not each.is_unresponsive]
        for target in live:
            self._store.write(target.record())
        return self._store.read({each.record().name for each in live})

    def fail_target(
        self, target: EmulatedTarget, for_s: float, *, resets: bool = False
    ) -> None:
        """Make a target unresponsive for a time, in seconds.

        With `resets`, its host resets the openings that reach it.

        It is removed from the target list when its heartbeats are overdue,
        and starts cold afterwards.
        """
        target.is_unresponsive = True
        target.resets_openings = resets
        removal_delay_s = MISSED_HEARTBEAT_LIMIT * HEARTBEAT_INTERVAL_S
        self._clock.call_after(removal_delay_s, self._schedule_removal, target)
        self._clock.call_after(for_s, self._restore_target, target)

    def restart_target(self, target: EmulatedTarget, for_s: float) -> None:
        """Restart a target as planned; it is down for a time, in seconds.

        It withdraws its entry from the target list itself, and starts cold.
        """
        target.is_unresponsive = True
        self._schedule_removal(target)
        self._clock.call_after(for_s, self._restore_target, target)

    def drain_target(self, target: EmulatedTarget, for_s: float) -> None:
        """Let a target drain for a time, in seconds, and then end for good."""
        target.is_draining = True
        self._clock.call_after(TARGET_LIST_DELAY_S, self._add, target)
        self._clock.call_after(for_s, self._end_target, target)

    def restore_store(self, for_s: float, age_s: float) -> None:
        """Take the store away, and restore it from a copy.

        Parameters
        ----------
        for_s : float
            Duration of the outage, in seconds.
        age_s : float
            Age of the copy at the end of the outage, in seconds.
        """
        self._is_store_down = True
        self._clock.call_after(for_s, self._return_store, age_s)

    def _return_store(self, age_s: float) -> None:
        """End the outage; targets write again, or their entries end."""
        self._is_store_down = False
        self._store.restore(age_s)
        self._pass_on(self._store.read())
        for target in self._targets:
            if target.is_unresponsive:
                silence_s = MISSED_HEARTBEAT_LIMIT * HEARTBEAT_INTERVAL_S
                self._clock.call_after(
                    silence_s, self._schedule_removal, target
                )
            else:
                delay_s = self._rng.uniform(0, HEARTBEAT_INTERVAL_S)
                self._clock.call_after(delay_s, self._add, target)

    def _end_target(self, target: EmulatedTarget) -> None:
        target.is_unresponsive = True
        target.resets_openings = True
        self._schedule_removal(target)

    def _schedule_removal(self, target: EmulatedTarget) -> None:
        if not target.is_unresponsive:
            return
        self._clock.call_after(TARGET_LIST_DELAY_S, self._remove, target)

    def _remove(self, target: EmulatedTarget) -> None:
        if target.is_unresponsive:
            self._pass_on(self._store.remove(f'i-{target.number:x}'))

    def _restore_target(self, target: EmulatedTarget) -> None:
        target.is_unresponsive = False
        target.restart()
        self._clock.call_after(TARGET_LIST_DELAY_S, self._add, target)

    def _add(self, target: EmulatedTarget) -> None:
        if not target.is_unresponsive:
            self._pass_on(self._store.write(target.record()))

    def _pass_on(self, changes: PrefixChanges) -> None:
        if self._is_store_down:
            return
        for instance in self._instances:
            instance.on_list(changes)
