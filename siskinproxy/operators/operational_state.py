"""Operational state that commands set: zones out of service, draining targets.

Scripts declare which zones and targets exist. Submitting a script again keeps
the state that commands have set.
"""

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from msgspec.structs import replace

from siskinproxy.operators.configuration import (
    Configuration,
    Service,
    Target,
    Zone,
)

__all__ = (
    'KeptState',
    'KeptTarget',
    'KeptZone',
    'describe_kept',
    'keep_operational_state',
)


@dataclass(frozen=True, slots=True)
class KeptZone:
    """Zone whose state is kept although a submission declares the opposite.

    Parameters
    ----------
    zone : str
        Name of the zone.
    in_service : bool
        State that is in effect and is kept.
    """

    zone: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class KeptTarget:
    """Target whose state is kept although a submission declares the opposite.

    Parameters
    ----------
    target : str
        Name of the target.
    draining : bool
        State that is in effect and is kept.
    """

    target: str
    draining: bool


KeptState = KeptZone | KeptTarget


def keep_operational_state(
    running: Configuration,
    declared: Configuration,
) -> tuple[Configuration, tuple[KeptState, ...]]:
    """Copy the state of zones and targets into a submitted configuration.

    A script declares which zones and targets exist. Commands take zones out of
    service and drain targets. Submitting the script again must not undo the
    commands.

    Parameters
    ----------
    running : Configuration
        Configuration that is in effect.
    declared : Configuration
        Configuration that an operator submits.

    Returns
    -------
    tuple of (Configuration, tuple)
        `declared` with the state of `running`, and a `KeptZone` or
        `KeptTarget` for each zone or target whose state differs in `declared`.
        Targets are matched by name, or else by service and address, so that a
        renamed target keeps its state. Zones and targets without a match keep
        their declared state.
    """
    kept: list[KeptState] = []
    zone_states = {zone.name: zone.in_service for zone in running.zones}
    zones = tuple(
        _keep_zone(zone, zone_states, kept) for zone in declared.zones
    )
    draining_states = _draining_states(running)
    services = tuple(
        replace(
            service,
            targets=tuple(
                _keep_target(service, target, draining_states, kept)
                for target in service.targets
            ),
        )
        for service in declared.services
    )
    return replace(declared, zones=zones, services=services), tuple(kept)


@singledispatch
def describe_kept(kept: Any) -> str:
    """Describe in one line a state that was kept.

    Parameters
    ----------
    kept : KeptZone or KeptTarget
        Element of the result of `keep_operational_state`.

    Returns
    -------
    str
        Line without line break.

    Raises
    ------
    NotImplementedError
        If `kept` has another type; the message is the name of that type.
    """
    raise NotImplementedError(type(kept).__name__)


@describe_kept.register
def _(kept: KeptZone) -> str:
    state = 'in service' if kept.in_service else 'out of service'
    return f'zone {kept.zone} stays {state}: set by command'


@describe_kept.register
def _(kept: KeptTarget) -> str:
    state = 'draining' if kept.draining else 'not draining'
    return f'target {kept.target} stays {state}: set by command'


def _keep_zone(
    zone: Zone,
    zone_states: dict[str, bool],
    kept: list[KeptState],
) -> Zone:
    """Return the zone with the state in effect; append changes to `kept`."""
    in_service = zone_states.get(zone.name, zone.in_service)
    if in_service != zone.in_service:
        kept.append(KeptZone(zone.name, in_service))
    return replace(zone, in_service=in_service)


def _draining_states(cfg: Configuration) -> dict[tuple[str, ...], bool]:
    """Return whether each target drains.

    Each target is entered twice: by its name, and by its service and address.
    """
    draining_states: dict[tuple[str, ...], bool] = {}
    for service in cfg.services:
        for target in service.targets:
            draining_states[service.name, target.address] = target.draining
            draining_states[(target.name,)] = target.draining
    return draining_states


def _keep_target(
    service: Service,
    target: Target,
    draining_states: dict[tuple[str, ...], bool],
    kept: list[KeptState],
) -> Target:
    """Return the target with the state in effect; append changes to `kept`."""
    # A target with a new name but the same address is the same server.
    by_address = draining_states.get(
        (service.name, target.address), target.draining
    )
    draining = draining_states.get((target.name,), by_address)
    if draining != target.draining:
        kept.append(KeptTarget(target.name, draining))
    return replace(target, draining=draining)
