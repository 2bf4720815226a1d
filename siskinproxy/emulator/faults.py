"""Disruptions of an emulated day."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, TypeVar

from siskinproxy.emulator.day import Fault

__all__ = ('apply_fault',)

_Item = TypeVar('_Item')
_Action = Callable[[Any, Fault], None]


def apply_fault(world: Any, fault: Fault) -> None:
    """Begin a disruption in a world.

    Parameters
    ----------
    world : EmulatedDay
        World.
    fault : Fault
        Disruption; begins now.
    """
    _ACTIONS[fault.kind](world, fault)


def _pick(world: Any, items: Sequence[_Item], share: float) -> list[_Item]:
    count = max(math.ceil(share * len(items)), 1)
    return world.rng.sample(items, min(count, len(items)))


def _silence_targets(world: Any, fault: Fault) -> None:
    for target in _pick(world, world.targets, fault.share):
        world.silence_target(target, fault.for_s)


def _slow_targets(world: Any, fault: Fault) -> None:
    for target in _pick(world, world.targets, fault.share):
        target.slowness = fault.factor
        world.clock.call_after(fault.for_s, setattr, target, 'slowness', 1)


def _restart_targets(world: Any, fault: Fault) -> None:
    for number, target in enumerate(_pick(world, world.targets, fault.share)):
        world.clock.call_after(
            number * fault.gap_s, world.restart_target, target, fault.for_s
        )


def _stop_instances(world: Any, fault: Fault) -> None:
    chosen = _pick(world, world.instances, fault.share)
    for number, instance in enumerate(chosen):
        world.clock.call_after(
            number * fault.gap_s, world.stop_instance, instance
        )


def _kill_instances(world: Any, fault: Fault) -> None:
    for instance in _pick(world, world.instances, fault.share):
        world.kill_instance(instance, fault.for_s)


def _cut_zone(world: Any, fault: Fault) -> None:
    world.cut_zones.add(fault.zone)
    world.clock.call_after(fault.for_s, world.cut_zones.discard, fault.zone)


def _begin_burst(world: Any, fault: Fault) -> None:
    world.rate_factor = fault.factor
    world.clock.call_after(fault.for_s, setattr, world, 'rate_factor', 1)


_ACTIONS: Final[Mapping[str, _Action]] = {
    'targets_silent': _silence_targets,
    'targets_slow': _slow_targets,
    'targets_restart': _restart_targets,
    'instances_stop': _stop_instances,
    'instances_die': _kill_instances,
    'zone_cut': _cut_zone,
    'burst': _begin_burst,
}
