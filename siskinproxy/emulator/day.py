"""Scenarios ("days"): deployment, request load, faults and score weights."""

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

from siskinproxy.entry.records import RequestKind
from siskinproxy.errors import SettingsError

__all__ = (
    'RequestClass',
    'Day',
    'Fault',
    'FaultKind',
    'ServiceLayout',
    'ScoreWeights',
    'read_day',
)

FaultKind = Literal[
    'targets_silent',
    'zone_targets_end',
    'targets_slow',
    'targets_restart',
    'instances_stop',
    'instances_die',
    'zone_cut',
    'burst',
    'store_restored',
    'targets_leave',
    'instances_pause',
    'reports_lost',
    'reports_wrong',
    'reports_silent',
]


class ServiceLayout(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Targets (backend servers) of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    targets : tuple of int
        Number of targets for each zone.
    slots : int
        Requests that a target executes concurrently.
    queue : int
        Maximum number of requests that wait at a target; it resets the flows
        of further ones.
    cold_s : float
        Warm-up time of a target after a start, in seconds.
    cold_factor : float
        Factor by which a request takes longer on a cold target, one that is
        still warming up.
    cold_rate_per_s : float
        Requests per second that a cold target can serve.
    concurrency_limit : int
        Requests in progress, with those that wait, up to which the execution
        time does not depend on them.
    concurrency_factor : float
        Part of its execution time by which a request takes longer for each
        request in progress beyond that limit.
    """

    name: str
    targets: tuple[int, ...]
    slots: int
    queue: int
    cold_s: float
    cold_factor: float
    cold_rate_per_s: float
    concurrency_limit: int = 0
    concurrency_factor: float = 0


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests with the same properties.

    Parameters
    ----------
    name, service : str
        Name of the class and of its service.
    kind : RequestKind
        Whether a request may be executed more than once.
    share : float
        Relative frequency of the class among all requests.
    work_ms : float
        Mean execution time at a warm target, in milliseconds; that of a single
        request is between 0.5 and 1.5 times the mean.
    aim_ms, deadline_ms : float
        Latency objective, and time after which the caller gives up, in
        milliseconds.
    worth, late_worth : float
        Score of an answer within the objective, and of a later one.
    retries : int
        Maximum number of attempts after the first.
    priority : int
        Priority of the route; the lowest number goes first.
    response_bytes : int
        Length of a response, in bytes; 0 for callers that close the flow at
        the response without an acknowledgment, and at which a full target
        resets the flow. Otherwise it answers with an error (503).
    callers : int
        Number of callers in each zone that keep flows open for further
        requests; 0 if each request opens a flow. Needs `response_bytes`.
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
    priority: int = 1
    response_bytes: int = 0
    callers: int = 0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault that is injected.

    Parameters
    ----------
    kind : str
        ``targets_silent``: targets drop all packets without notice, then start
        cold. ``zone_targets_end``: the targets of a zone end without notice,
        and their hosts reset openings until they start again, cold.
        ``targets_slow``: targets execute requests more slowly.
        ``targets_restart``: targets withdraw their entries, are down, then
        start cold, one after the other. ``instances_stop``: instances stop in
        an orderly way and start again, one after the other.
        ``instances_die``: instances are killed, all at once, and start again
        later. ``zone_cut``: a zone exchanges no packets with other zones.
        ``burst``: callers send more requests. ``store_restored``: the store is
        away, then comes back from a copy of the target list.
        ``targets_leave``: targets drain, then end for good.
        ``instances_pause``: processes stand still, then go on with what has
        arrived. ``reports_lost``: load reports are lost.
        ``reports_wrong``: instances report all targets as full.
        ``reports_silent``: instances send no load reports.
    at_s, for_s : float
        Start and duration, in seconds. For ``targets_restart`` the duration
        is the time for which each target is down, and for ``targets_leave``
        the one for which it drains; ``instances_stop`` ignores it.
    share : float
        Share of the targets, instances or reports that are affected, 0 to 1;
        at least one target or instance is. Not used by ``zone_cut`` and
        ``burst``.
    factor : float
        Factor by which targets become slower (``targets_slow``), or by which
        the request rate grows (``burst``).
    next_factor : float
        Factor for the second half of the time (``targets_slow``); 0 for the
        same one.
    gap_s : float
        Time between the restart of one target or instance and that of the
        next, in seconds (``targets_restart``, ``instances_stop``).
    zone : str
        Zone that is isolated from the other zones (``zone_cut``), whose
        targets end (``zone_targets_end``), or whose callers send more
        requests (``burst``; all if empty).
    request_class : str
        Class of the further requests (``burst``); all if empty.
    age_s : float
        Age of the copy from which the store is restored, in seconds
        (``store_restored``).
    """

    kind: FaultKind
    at_s: float
    for_s: float = 0
    share: float = 0
    factor: float = 1
    gap_s: float = 0
    zone: str = ''
    age_s: float = 0
    next_factor: float = 0
    request_class: str = ''


class ScoreWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the parts of the score; their sum is 1."""

    whole_day: float
    worst_windows: float
    worst_class: float
    worst_zone: float


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario: a deployment, its request load and the faults.

    Parameters
    ----------
    zones : tuple of str
        Availability zones.
    instances : tuple of int
        Number of instances in each zone.
    requests_per_s : tuple of float
        Mean rate of requests from the callers of each zone.
    length_s : float
        Time during which callers send requests, in seconds.
    cross_zone_ms, caller_ms : float
        One-way delays between zones, and between callers and instances or
        targets, in milliseconds.
    services : tuple of ServiceLayout
        Services.
    classes : tuple of RequestClass
        Classes of requests.
    weights : ScoreWeights
        Weights of the parts of the score.
    faults : tuple of Fault
        Faults that are injected.
    """

    zones: tuple[str, ...]
    instances: tuple[int, ...]
    requests_per_s: tuple[float, ...]
    length_s: float
    cross_zone_ms: float
    caller_ms: float
    services: tuple[ServiceLayout, ...]
    classes: tuple[RequestClass, ...]
    weights: ScoreWeights
    faults: tuple[Fault, ...] = ()


def read_day(path: Path) -> Day:
    """Read a scenario from a TOML file.

    Parameters
    ----------
    path : Path
        TOML file whose keys are the fields of `Day`.

    Returns
    -------
    Day
        Scenario.

    Raises
    ------
    SettingsError
        The file cannot be read, or a key is unknown, missing or has a value
        of the wrong type.
    """
    try:
        table = tomllib.loads(path.read_text())
        return msgspec.convert(table, Day)
    except (OSError, ValueError) as exc:
        # The errors of tomllib and of msgspec are subclasses of ValueError.
        raise SettingsError(str(path), '-', 'day', str(exc)) from exc
