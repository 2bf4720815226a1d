"""Days to play: deployment, callers, faults and what counts."""

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from siskinproxy.entry.records import RequestKind
from siskinproxy.errors import SettingsError

__all__ = (
    'CallerClass',
    'Day',
    'Fault',
    'FaultKind',
    'ServiceLayout',
    'WorthWeights',
    'read_day',
)

FaultKind = Literal[
    'targets_silent',
    'targets_slow',
    'targets_restart',
    'instances_stop',
    'instances_die',
    'zone_cut',
    'burst',
]


class ServiceLayout(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets of a service.

    Parameters
    ----------
    name : str
        Service.
    targets : tuple of int
        Number of targets for each zone.
    slots : int
        Requests that a target works on at once.
    queue : int
        Requests that wait at a target; it resets those beyond.
    cold_s : float
        Time for which a target is cold after a start, in seconds.
    cold_factor : float
        Multiple of the work of a request at a cold target.
    cold_rate_per_s : float
        Requests per second that a cold target bears.
    """

    name: str
    targets: tuple[int, ...]
    slots: int
    queue: int
    cold_s: float
    cold_factor: float
    cold_rate_per_s: float


class CallerClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one kind.

    Parameters
    ----------
    name, service : str
        Kind of request and its service.
    kind : RequestKind
        What may be repeated.
    share : float
        Weight among the requests.
    work_ms : float
        Mean work at a target, in milliseconds; half to one and a half times
        that for a single request.
    aim_ms, deadline_ms : float
        Latency objective, and when the caller gives up, in milliseconds.
    worth, late_worth : float
        Value of an answer within the objective, and of a later one.
    retries : int
        Attempts after the first.
    """

    name: str
    service: str
    kind: RequestKind
    share: float
    work_ms: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    retries: int


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A disruption.

    Parameters
    ----------
    kind : str
        What happens.
    at_s, for_s : float
        Begin and length, in seconds.
    share : float
        Share of the targets or instances that it meets; at least one.
    factor : float
        How much slower or how many times as many.
    gap_s : float
        Time between one target or instance and the next, in seconds.
    zone : str
        Zone that is cut off.
    """

    kind: FaultKind
    at_s: float
    for_s: float = 0
    share: float = 0
    factor: float = 1
    gap_s: float = 0
    zone: str = ''


class WorthWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of what counts; their sum is 1."""

    whole_day: float
    worst_windows: float
    worst_class: float
    worst_zone: float


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A day of a deployment.

    Parameters
    ----------
    zones : tuple of str
        Availability zones.
    instances : tuple of int
        Instances for each zone.
    requests_per_s : tuple of float
        Requests for each zone of callers.
    length_s : float
        Length, in seconds.
    cross_zone_ms, caller_ms : float
        One-way delays between zones, and between callers and instances or
        targets, in milliseconds.
    services : tuple of ServiceLayout
        Services.
    classes : tuple of CallerClass
        Kinds of requests.
    weights : WorthWeights
        What counts.
    faults : tuple of Fault
        Disruptions.
    """

    zones: tuple[str, ...]
    instances: tuple[int, ...]
    requests_per_s: tuple[float, ...]
    length_s: float
    cross_zone_ms: float
    caller_ms: float
    services: tuple[ServiceLayout, ...]
    classes: tuple[CallerClass, ...]
    weights: WorthWeights
    faults: tuple[Fault, ...] = ()


def read_day(path: Path) -> Day:
    """Read a day from a TOML file.

    Parameters
    ----------
    path : Path
        File with the fields of `Day`.

    Returns
    -------
    Day
        The day.

    Raises
    ------
    SettingsError
        The file cannot be read, or a field is unknown, missing or wrong.
    """
    try:
        table = tomllib.loads(path.read_text())
        return msgspec.convert(table, Day)
    except (OSError, ValueError) as exc:
        # Errors of TOML and of msgspec are both ValueErrors.
        raise SettingsError(str(path), '-', 'day', str(exc)) from exc
