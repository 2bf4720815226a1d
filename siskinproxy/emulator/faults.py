"""Faults that are injected into an emulation."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, TypeVar

from siskinproxy.emulator.day import Fault

__all__ = ('apply_fault',)

_Member = TypeVar('_Member')
_Injector = Callable[[Any, Fault], None]


def apply_fault(emulation: Any, fault: Fault) -> None:
    """Inject a fault now and schedule its end.

    Parameters
    ----------
    emulation : Emulation
        Emulation.
    fault : Fault
        Fault to inject; its start time is ignored.
    """
    _INJECTORS[fault.kind](emulation, fault)


def _sample(
    emulation: Any, items: Sequence[_Member], share: float
) -> list[_Member]:
    count = max(math.ceil(share * len(items)), 1)
    return emulation.rng.sample(items, min(count, len(items)))


def _fail_targets(emulation: Any, fault: Fault) -> None:
    for target in _sample(emulation, emulation.targets, fault.share):
        emulation.fail_target(target, fault.for_s)


def _end_zone_targets(emulation: Any, fault: Fault) -> None:
    for target in emulation.targets:
        if target.zone == fault.zone:
            emulation.fail_target(target, fault.for_s, resets=True)


def _slow_targets(emulation: Any, fault: Fault) -> None:
    for target in _sample(emulation, emulation.targets, fault.share):
        target.slowness = fault.factor
        emulation.clock.call_after(fault.for_s, setattr, target, 'slowness', 1)


def _restart_targets(emulation: Any, fault: Fault) -> None:
    for number, target in enumerate(
        _sample(emulation, emulation.targets, fault.share)
    ):
        emulation.clock.call_after(
            number * fault.gap_s, emulation.restart_target, target, fault.for_s
        )


def _stop_instances(emulation: Any, fault: Fault) -> None:
    chosen = _sample(emulation, emulation.instances, fault.share)
    for number, instance in enumerate(chosen):
        emulation.clock.call_after(
            number * fault.gap_s, emulation.stop_instance, instance
        )


def _kill_instances(emulation: Any, fault: Fault) -> None:
    for instance in _sample(emulation, emulation.instances, fault.share):
        emulation.kill_instance(instance, fault.for_s)


def _isolate_zone(emulation: Any, fault: Fault) -> None:
    emulation.isolated_zones.add(fault.zone)
    emulation.clock.call_after(
        fault.for_s, emulation.isolated_zones.discard, fault.zone
    )


def _start_burst(emulation: Any, fault: Fault) -> None:
    emulation.rate_factor = fault.factor
    emulation.clock.call_after(
        fault.for_s, setattr, emulation, 'rate_factor', 1
    )


def _restore_store(emulation: Any, fault: Fault) -> None:
    emulation.restore_store(fault.for_s, fault.age_s)


_INJECTORS: Final[Mapping[str, _Injector]] = {
    'targets_silent': _fail_targets,
    'zone_targets_end': _end_zone_targets,
    'targets_slow': _slow_targets,
    'targets_restart': _restart_targets,
    'instances_stop': _stop_instances,
    'instances_die': _kill_instances,
    'zone_cut': _isolate_zone,
    'burst': _start_burst,
    'store_restored': _restore_store,
}
