"""Faults that are injected into an emulation."""

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, TypeVar

from siskinproxy.emulator.day import Fault
from siskinproxy.emulator.instances import ReportMode

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
        emulation.target_list.fail_target(target, fault.for_s)


def _end_zone_targets(emulation: Any, fault: Fault) -> None:
    for target in emulation.targets:
        if target.zone == fault.zone:
            emulation.target_list.fail_target(target, fault.for_s, resets=True)


def _slow_targets(emulation: Any, fault: Fault) -> None:
    for target in _sample(emulation, emulation.targets, fault.share):
        target.slowness = fault.factor
        emulation.clock.call_after(
            fault.for_s / 2,
            setattr,
            target,
            'slowness',
            fault.next_factor or fault.factor,
        )
        emulation.clock.call_after(fault.for_s, setattr, target, 'slowness', 1)


def _restart_targets(emulation: Any, fault: Fault) -> None:
    for number, target in enumerate(
        _sample(emulation, emulation.targets, fault.share)
    ):
        emulation.clock.call_after(
            number * fault.gap_s,
            emulation.target_list.restart_target,
            target,
            fault.for_s,
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
    emulation.routers.isolated_zones.add(fault.zone)
    emulation.clock.call_after(
        fault.for_s, emulation.routers.isolated_zones.discard, fault.zone
    )


def _start_burst(emulation: Any, fault: Fault) -> None:
    if fault.request_class:
        factors, keys = emulation.load.class_factors, (fault.request_class,)
    else:
        factors = emulation.load.zone_factors
        keys = (fault.zone,) if fault.zone else emulation.load.zones
    for key in keys:
        factors[key] = fault.factor
        emulation.clock.call_after(fault.for_s, factors.pop, key, None)


def _drain_targets(emulation: Any, fault: Fault) -> None:
    for target in _sample(emulation, emulation.targets, fault.share):
        emulation.target_list.drain_target(target, fault.for_s)


def _pause_instances(emulation: Any, fault: Fault) -> None:
    for instance in _sample(emulation, emulation.instances, fault.share):
        instance.pause()
        emulation.clock.call_after(fault.for_s, instance.resume)


def _lose_reports(emulation: Any, fault: Fault) -> None:
    emulation.lost_reports = fault.share
    emulation.clock.call_after(
        fault.for_s, setattr, emulation, 'lost_reports', 0
    )


def _report_wrongly(emulation: Any, fault: Fault) -> None:
    mode = (
        ReportMode.SILENT
        if fault.kind == 'reports_silent'
        else ReportMode.ALL_FULL
    )
    for instance in _sample(emulation, emulation.instances, fault.share):
        instance.report_mode = mode
        emulation.clock.call_after(
            fault.for_s, setattr, instance, 'report_mode', ReportMode.TRUE
        )


def _restore_store(emulation: Any, fault: Fault) -> None:
    emulation.target_list.restore_store(fault.for_s, fault.age_s)


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
    'targets_leave': _drain_targets,
    'instances_pause': _pause_instances,
    'reports_lost': _lose_reports,
    'reports_wrong': _report_wrongly,
    'reports_silent': _report_wrongly,
}
