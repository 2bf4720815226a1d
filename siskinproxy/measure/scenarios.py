"""Scenarios: changes and failures while a deployment is under load.

Times are in seconds after the start of the load.
"""

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

#: Default duration of the load.
_DURATION_S: Final = 60.0
#: Time after a cold start during which a target does not count for the
#: imbalance; longer than the warm-up of 15 s in `deployments`.
_COLD_START_S: Final = 17.5
#: Zone that scenarios take out of service.
_CHANGED_ZONE: Final = 'b'
#: Delay between taking a zone out of service and the stop of its instances and
#: targets.
_ZONE_STOP_DELAY_S: Final = 3.0


@dataclass(frozen=True)
class Scenario:
    """Changes and failures during a run.

    Parameters
    ----------
    prepare : callable
        Schedules the changes and failures of an experiment.
    duration_s : float
        Duration of the load, in seconds.
    leave_s, return_s : float or None
        Times after the start of the load, in seconds, at which a zone is taken
        out of service and put back; None if no zone is.
    """

    prepare: Callable[[Experiment], None]
    duration_s: float = _DURATION_S
    leave_s: float | None = None
    return_s: float | None = None


def _steady(experiment: Experiment) -> None:
    """Change nothing."""


def _first_targets(experiment: Experiment) -> tuple[Target, ...]:
    """Return the targets of the first service."""
    return experiment.deployment.cfg.services[0].targets


def _change_targets_and_instances(experiment: Experiment) -> None:
    """Drain, add and remove targets while instances join and stop."""
    targets = _first_targets(experiment)
    streams = experiment.deployment.cfg.services[1].targets
    instances = sorted(experiment.world.instances)
    world = experiment.world
    experiment.at(10, experiment.exclude_targets, [targets[0].name])
    experiment.at(10, _drain, experiment, targets[0].name)
    experiment.at(10.2, world.join, 'a-new', 'a')
    experiment.at(14, experiment.exclude_targets, [streams[0].name])
    experiment.at(14, _drain, experiment, streams[0].name)
    experiment.at(14.1, world.stop, instances[0])
    experiment.at(18, _remove_target, experiment, targets[0].name)
    experiment.at(18.3, world.join, 'b-new', 'b')
    experiment.at(22, _add_target, experiment, 'new-1')
    experiment.at(22.2, world.stop, instances[3])
    experiment.at(26, _replace_instance, experiment, instances[1])
    experiment.at(40, _undrain, experiment, streams[0].name)
    experiment.at(41, world.join, 'c-new', 'c')


def _kill_one_instance(experiment: Experiment) -> None:
    """Kill one instance."""
    instances = sorted(experiment.world.instances)
    experiment.at(15, experiment.world.kill, instances[1])


def _kill_two_instances(experiment: Experiment) -> None:
    """Kill two instances within a second.

    Each flow has three homes, so at least one home of it is left.
    """
    instances = sorted(experiment.world.instances)
    first = experiment.rng.sample(instances, 2)
    experiment.at(15, experiment.world.kill, first[0])
    experiment.at(15.7, experiment.world.kill, first[1])


def _freeze_instances(experiment: Experiment) -> None:
    """Pause two instances, first for 0.8 s, then another for 6 s.

    Only the second pause is longer than `World.detection_delay_s`, so that
    the other members remove the instance meanwhile.
    """
    instances = sorted(experiment.world.instances)
    experiment.at(15, experiment.world.freeze, instances[0], 0.8)
    experiment.at(30, experiment.world.freeze, instances[2], 6)


def _start_targets_cold(experiment: Experiment) -> None:
    """Make targets cold unannounced while they report as healthy and idle."""
    targets = _first_targets(experiment)
    for time_s, target in ((15, targets[1]), (35, targets[3])):
        experiment.at(time_s, _turn_cold, experiment, target)


def _zone_out_and_back(experiment: Experiment) -> None:
    """Take a zone out of service, stop it, start it and put it back."""
    experiment.at(15, _zone_out, experiment, _CHANGED_ZONE)
    experiment.at(
        15 + _ZONE_STOP_DELAY_S, _stop_zone, experiment, _CHANGED_ZONE
    )
    experiment.at(35, _start_zone, experiment, _CHANGED_ZONE)
    experiment.at(36, _zone_in, experiment, _CHANGED_ZONE)


def _zone_restart(experiment: Experiment) -> None:
    """Take a zone out of service, restart its targets and put it back.

    Its instances keep running.
    """
    experiment.at(15, _zone_out, experiment, _CHANGED_ZONE)
    experiment.at(20, _restart_targets, experiment, _CHANGED_ZONE)
    experiment.at(20.1, _zone_in, experiment, _CHANGED_ZONE)


def _restart_targets(experiment: Experiment, zone: str) -> None:
    """Restart the targets of a zone, which loses their flows."""
    world = experiment.world
    for service in experiment.deployment.cfg.services:
        for target in service.targets:
            if target.zone == zone:
                world.remove_target(target.address)
                world.add_target(target, service.name, cold=True)


def _replace_instances(experiment: Experiment) -> None:
    """Replace instances as during an outage of the store.

    New instances get the configuration from their peers, which takes 1 s, so
    each one joins 1 s after the stop of the instance that it replaces.
    """
    for number, name in enumerate(sorted(experiment.world.instances)[:4]):
        experiment.at(12 + 8 * number, _replace_instance, experiment, name)


def _combine_changes(experiment: Experiment) -> None:
    """Combine changes and failures with a zone that leaves and returns."""
    targets = _first_targets(experiment)
    world = experiment.world
    survivors = [
        name
        for name in sorted(world.instances)
        if world.instances[name].member.zone != _CHANGED_ZONE
    ]
    _zone_out_and_back(experiment)
    experiment.at(10, experiment.exclude_targets, [targets[0].name])
    experiment.at(10, _drain, experiment, targets[0].name)
    experiment.at(16, world.kill, survivors[0])
    experiment.at(25, _turn_cold, experiment, targets[3])
    experiment.at(28, world.freeze, survivors[1], 1.5)
    experiment.at(37, world.join, 'a-new', 'a')
    experiment.at(44, _undrain, experiment, targets[0].name)
    experiment.at(46, world.stop, survivors[2])


def _drain(experiment: Experiment, name: str) -> None:
    """Let a target get no new flows."""
    experiment.change_target(name, draining=True)


def _undrain(experiment: Experiment, name: str) -> None:
    """Let a target get new flows again; leave it out while it warms up."""
    experiment.change_target(name, draining=False)
    experiment.world.schedule(_COLD_START_S, experiment.include_targets, [name])


def _turn_cold(experiment: Experiment, target: Target) -> None:
    """Make a target cold and let its health responses hide this."""
    world = experiment.world
    server = world.targets[target.address]
    server.start_cold(world.now_s)
    server.set_flag('lie', is_set=True)
    experiment.exclude_targets([target.name])
    world.schedule(_COLD_START_S, experiment.include_targets, [target.name])


def _replace_instance(experiment: Experiment, name: str) -> None:
    """Stop an instance as planned and start another in its zone."""
    world = experiment.world
    zone = world.instances[name].member.zone
    world.stop(name)
    world.schedule(1, world.join, f'{name}-r', zone)


def _remove_target(experiment: Experiment, name: str) -> None:
    """Remove a target of the first service from the configuration."""
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
    """Add a cold target to the first service."""
    world = experiment.world
    service = world.cfg.services[0]
    template = service.targets[0]
    subnet = template.address.rsplit('.', 1)[0]
    added = Target(
        name,
        f'{subnet}.99',
        template.zone,
        slots=template.slots,
        warmup_s=template.warmup_s,
    )
    world.add_target(added, service.name, cold=True)
    experiment.exclude_targets([name])
    targets = (*service.targets, added)
    world.configure(_with_targets(world.cfg, service, targets))
    world.schedule(_COLD_START_S + 3, experiment.include_targets, [name])


def _with_targets(
    cfg: Configuration, service: Service, targets: tuple[Target, ...]
) -> Configuration:
    """Return a configuration in which a service has other targets."""
    services = tuple(
        msgspec.structs.replace(item, targets=targets)
        if item.name == service.name
        else item
        for item in cfg.services
    )
    return msgspec.structs.replace(cfg, services=services)


def _targets_in(experiment: Experiment, zone: str) -> list[Target]:
    """Return the targets of all services in a zone."""
    return [
        target
        for service in experiment.deployment.cfg.services
        for target in service.targets
        if target.zone == zone
    ]


def _zone_out(experiment: Experiment, zone: str) -> None:
    """Take a zone out of service.

    Its targets do not count for the imbalance, and its long flows may break.
    """
    names = [target.name for target in _targets_in(experiment, zone)]
    experiment.exclude_targets(names)
    world = experiment.world
    # Instances apply the change within `World.spread_s`, and may still open
    # flows to the zone until then.
    world.schedule(world.spread_s, experiment.permit_broken_streams, zone)
    world.configure(with_zone_in_service(world.cfg, zone, False))


def _stop_zone(experiment: Experiment, zone: str) -> None:
    """Stop the instances and targets of a zone that is out of service.

    A check 10 s later counts a fault if the zone got segments after this.
    """
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
    """Count a fault if an instance sent segments to a stopped zone."""
    if zone in experiment.world.to_zone_s:
        experiment.late_zone_datagrams += 1


def _start_zone(experiment: Experiment, zone: str) -> None:
    """Start the targets of a zone cold, and two instances."""
    world = experiment.world
    for service in experiment.deployment.cfg.services:
        for target in service.targets:
            if target.zone == zone:
                world.add_target(target, service.name, cold=True)
    for number in range(2):
        world.join(f'{zone}-back-{number}', zone)


def _zone_in(experiment: Experiment, zone: str) -> None:
    """Put a zone back in service."""
    world = experiment.world
    world.configure(with_zone_in_service(world.cfg, zone, True))
    names = [target.name for target in _targets_in(experiment, zone)]
    world.schedule(_COLD_START_S, experiment.include_targets, names)


#: Scenarios by their names in results and on the command line.
SCENARIOS: Final = {
    'steady': Scenario(_steady),
    'changes': Scenario(_change_targets_and_instances),
    'one_death': Scenario(_kill_one_instance, 30),
    'two_deaths': Scenario(_kill_two_instances, 30),
    'freeze': Scenario(_freeze_instances, 45),
    'cold_start': Scenario(_start_targets_cold),
    'zone': Scenario(_zone_out_and_back, leave_s=15, return_s=36),
    'zone_restart': Scenario(_zone_restart, leave_s=15, return_s=20.1),
    'store_outage': Scenario(_replace_instances),
    'everything': Scenario(_combine_changes, leave_s=15, return_s=36),
}
