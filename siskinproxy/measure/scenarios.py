"""Scenarios: changes and failures while a deployment is under load."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from siskinproxy.measure.experiment import Experiment
from siskinproxy.operators.configuration import (
    Configuration,
    RetiredTarget,
    Service,
    Target,
)
from siskinproxy.operators.differences import with_zone_in_service

__all__ = ('SCENARIOS', 'Scenario')

_DURATION_S: Final = 60.0
_COLD_S: Final = 17.5
_ZONE: Final = 'b'
#: Instances and targets of a zone are gone this long after operators took it
#: out of service.
_ZONE_NOTICE_S: Final = 3.0


@dataclass(frozen=True)
class Scenario:
    """Changes during a run.

    Parameters
    ----------
    prepare : callable
        Schedules the changes.
    duration_s : float
        Duration of the load.
    leave_s, return_s : float or None
        Times at which a zone is taken out and brought back.
    """

    prepare: Callable[[Experiment], None]
    duration_s: float = _DURATION_S
    leave_s: float | None = None
    return_s: float | None = None


def _steady(experiment: Experiment) -> None:
    """Change nothing."""


def _first_targets(experiment: Experiment) -> tuple[Target, ...]:
    return experiment.deployment.cfg.services[0].targets


def _changes(experiment: Experiment) -> None:
    """Change targets and instances at the same time."""
    targets = _first_targets(experiment)
    streams = experiment.deployment.cfg.services[1].targets
    instances = sorted(experiment.world.instances)
    world = experiment.world
    experiment.at(10, experiment.exclude, [targets[0].name])
    experiment.at(10, _drain, experiment, targets[0].name)
    experiment.at(10.2, world.join, 'a-new', 'a')
    experiment.at(14, experiment.exclude, [streams[0].name])
    experiment.at(14, _drain, experiment, streams[0].name)
    experiment.at(14.1, world.stop, instances[0])
    experiment.at(18, _remove_target, experiment, targets[0].name)
    experiment.at(18.3, world.join, 'b-new', 'b')
    experiment.at(22, _add_target, experiment, 'new-1')
    experiment.at(22.2, world.stop, instances[3])
    experiment.at(26, _replace_instance, experiment, instances[1])
    experiment.at(40, _undrain, experiment, streams[0].name)
    experiment.at(41, world.join, 'c-new', 'c')


def _one_death(experiment: Experiment) -> None:
    """End one instance without notice."""
    instances = sorted(experiment.world.instances)
    experiment.at(15, experiment.world.kill, instances[1])


def _two_deaths(experiment: Experiment) -> None:
    """End two instances without notice within a second."""
    instances = sorted(experiment.world.instances)
    first = experiment.rng.sample(instances, 2)
    experiment.at(15, experiment.world.kill, first[0])
    experiment.at(15.7, experiment.world.kill, first[1])


def _freeze(experiment: Experiment) -> None:
    """Stop the processes of two instances for a while, one by one."""
    instances = sorted(experiment.world.instances)
    experiment.at(15, experiment.world.freeze, instances[0], 0.8)
    experiment.at(30, experiment.world.freeze, instances[2], 6)


def _cold(experiment: Experiment) -> None:
    """Let targets turn cold unannounced while their reports claim health."""
    targets = _first_targets(experiment)
    for time_s, target in ((15, targets[1]), (35, targets[3])):
        experiment.at(time_s, _turn_cold, experiment, target)


def _zone(experiment: Experiment) -> None:
    """Take a zone out of service and bring it back."""
    experiment.at(15, _zone_out, experiment, _ZONE)
    experiment.at(15 + _ZONE_NOTICE_S, _zone_off, experiment, _ZONE)
    experiment.at(35, _zone_on, experiment, _ZONE)
    experiment.at(36, _zone_in, experiment, _ZONE)


def _replacements(experiment: Experiment) -> None:
    """Replace instances while the store is unavailable.

    New instances get the configuration from their peers, which takes 1 s.
    """
    for number, name in enumerate(sorted(experiment.world.instances)[:4]):
        experiment.at(12 + 8 * number, _replace_instance, experiment, name)


def _everything(experiment: Experiment) -> None:
    """Combine changes, failures and a zone that leaves and returns."""
    targets = _first_targets(experiment)
    world = experiment.world
    survivors = [
        name
        for name in sorted(world.instances)
        if world.instances[name].member.zone != _ZONE
    ]
    _zone(experiment)
    experiment.at(10, experiment.exclude, [targets[0].name])
    experiment.at(10, _drain, experiment, targets[0].name)
    experiment.at(16, world.kill, survivors[0])
    experiment.at(25, _turn_cold, experiment, targets[3])
    experiment.at(28, world.freeze, survivors[1], 1.5)
    experiment.at(37, world.join, 'a-new', 'a')
    experiment.at(44, _undrain, experiment, targets[0].name)
    experiment.at(46, world.stop, survivors[2])


def _drain(experiment: Experiment, name: str) -> None:
    experiment.change_target(name, draining=True)


def _undrain(experiment: Experiment, name: str) -> None:
    experiment.change_target(name, draining=False)
    experiment.world.schedule(_COLD_S, experiment.include, [name])


def _turn_cold(experiment: Experiment, target: Target) -> None:
    world = experiment.world
    server = world.targets[target.address]
    server.start_cold(world.now_s)
    server.set_flag('lie', is_set=True)
    experiment.exclude([target.name])
    world.schedule(_COLD_S, experiment.include, [target.name])


def _replace_instance(experiment: Experiment, name: str) -> None:
    world = experiment.world
    zone = world.instances[name].member.zone
    world.stop(name)
    world.schedule(1, world.join, f'{name}-r', zone)


def _remove_target(experiment: Experiment, name: str) -> None:
    world = experiment.world
    cfg = world.cfg
    service = cfg.services[0]
    gone = next(item for item in service.targets if item.name == name)
    kept = tuple(item for item in service.targets if item.name != name)
    retired = RetiredTarget(
        service.name,
        gone,
        tuple(listener.target_port for listener in service.listeners),
        world.generation + 1,
        0,
    )
    world.configure(
        msgspec.structs.replace(
            _with_targets(cfg, service, kept),
            retired=(*cfg.retired, retired),
        ),
    )


def _add_target(experiment: Experiment, name: str) -> None:
    world = experiment.world
    service = world.cfg.services[0]
    pattern = service.targets[0]
    subnet = pattern.address.rsplit('.', 1)[0]
    added = Target(
        name,
        f'{subnet}.99',
        pattern.zone,
        slots=pattern.slots,
        warmup_s=pattern.warmup_s,
    )
    world.add_target(added, service.name, cold=True)
    experiment.exclude([name])
    targets = (*service.targets, added)
    world.configure(_with_targets(world.cfg, service, targets))
    world.schedule(_COLD_S + 3, experiment.include, [name])


def _with_targets(
    cfg: Configuration, service: Service, targets: tuple[Target, ...]
) -> Configuration:
    services = tuple(
        msgspec.structs.replace(item, targets=targets)
        if item.name == service.name
        else item
        for item in cfg.services
    )
    return msgspec.structs.replace(cfg, services=services)


def _targets_in(experiment: Experiment, zone: str) -> list[Target]:
    return [
        target
        for service in experiment.deployment.cfg.services
        for target in service.targets
        if target.zone == zone
    ]


def _zone_out(experiment: Experiment, zone: str) -> None:
    names = [target.name for target in _targets_in(experiment, zone)]
    experiment.exclude(names)
    for record in experiment.streams:
        flow = record.flow
        if flow.outcome is None and flow.target in {'', *names}:
            record.was_given_up = True
    world = experiment.world
    world.configure(with_zone_in_service(world.cfg, zone, False))


def _zone_off(experiment: Experiment, zone: str) -> None:
    """Cut the zone off after checking that it gets no more packets."""
    world = experiment.world
    world.to_zone_s.pop(zone, None)
    world.schedule(10, _check_zone, experiment, zone)
    for target in _targets_in(experiment, zone):
        world.remove_target(target.address)
    for name, instance in world.instances.items():
        if instance.member.zone == zone and instance.is_alive:
            world.leave_fabric(name)
            instance.is_alive = False
            world.schedule(1, world.remove_member, name)


def _check_zone(experiment: Experiment, zone: str) -> None:
    if zone in experiment.world.to_zone_s:
        experiment.late_zone_datagrams += 1


def _zone_on(experiment: Experiment, zone: str) -> None:
    world = experiment.world
    for service in experiment.deployment.cfg.services:
        for target in service.targets:
            if target.zone == zone:
                world.add_target(target, service.name, cold=True)
    for number in range(2):
        world.join(f'{zone}-back-{number}', zone)


def _zone_in(experiment: Experiment, zone: str) -> None:
    world = experiment.world
    world.configure(with_zone_in_service(world.cfg, zone, True))
    names = [target.name for target in _targets_in(experiment, zone)]
    world.schedule(_COLD_S, experiment.include, names)


#: Scenarios by name.
SCENARIOS: Final = {
    'steady': Scenario(_steady),
    'changes': Scenario(_changes),
    'one_death': Scenario(_one_death, 30),
    'two_deaths': Scenario(_two_deaths, 30),
    'freeze': Scenario(_freeze, 45),
    'cold_start': Scenario(_cold),
    'zone': Scenario(_zone, leave_s=15, return_s=36),
    'store_outage': Scenario(_replacements),
    'everything': Scenario(_everything, leave_s=15, return_s=36),
}
