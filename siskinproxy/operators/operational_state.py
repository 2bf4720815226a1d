"""Operational state that commands set and scripts do not know about."""

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
    'Kept',
    'KeptTarget',
    'KeptZone',
    'describe_kept',
    'keep_operational_state',
)


@dataclass(frozen=True, slots=True)
class KeptZone:
    """A zone keeps its state, which the submitted configuration contradicts.

    Parameters
    ----------
    zone : str
        Name of the zone.
    in_service : bool
        State that is in effect.
    """

    zone: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class KeptTarget:
    """A target keeps its state, which the submitted configuration contradicts.

    Parameters
    ----------
    target : str
        Name of the target.
    draining : bool
        State that is in effect.
    """

    target: str
    draining: bool


Kept = KeptZone | KeptTarget


def keep_operational_state(
    running: Configuration,
    declared: Configuration,
) -> tuple[Configuration, tuple[Kept, ...]]:
    """Take over which zones are out of service and which targets drain.

    A script declares what exists; commands take zones out of service and
    drain targets. Submitting the script again must not undo a command.

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
        `KeptTarget` for each state that `declared` contradicts.
    """
    kept: list[Kept] = []
    states = {zone.name: zone.in_service for zone in running.zones}
    zones = tuple(_keep_zone(zone, states, kept) for zone in declared.zones)
    drains = _draining_by_key(running)
    services = tuple(
        replace(
            service,
            targets=tuple(
                _keep_target(service, target, drains, kept)
                for target in service.targets
            ),
        )
        for service in declared.services
    )
    return replace(declared, zones=zones, services=services), tuple(kept)


@singledispatch
def describe_kept(kept: Any) -> str:
    """Describe a state that was kept in one line.

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
        If the type is another one.
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
    states: dict[str, bool],
    kept: list[Kept],
) -> Zone:
    in_service = states.get(zone.name, zone.in_service)
    if in_service != zone.in_service:
        kept.append(KeptZone(zone.name, in_service))
    return replace(zone, in_service=in_service)


def _draining_by_key(cfg: Configuration) -> dict[tuple[str, ...], bool]:
    """Return the states by target name, and by service and address."""
    drains: dict[tuple[str, ...], bool] = {}
    for service in cfg.services:
        for target in service.targets:
            drains[service.name, target.address] = target.draining
            drains[(target.name,)] = target.draining
    return drains


def _keep_target(
    service: Service,
    target: Target,
    drains: dict[tuple[str, ...], bool],
    kept: list[Kept],
) -> Target:
    # The address matters too: a renamed target is still the same server.
    by_address = drains.get((service.name, target.address), target.draining)
    draining = drains.get((target.name,), by_address)
    if draining != target.draining:
        kept.append(KeptTarget(target.name, draining))
    return replace(target, draining=draining)
