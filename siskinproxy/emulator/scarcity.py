"""Scenarios in which the targets have too little room for the load.

Each plays about ten seconds of overload on a service with two routes. Usual
load is 0.4 of what the targets can do.
"""

from collections.abc import Mapping
from typing import Final

import msgspec

from siskinproxy.emulator.day import (
    Day,
    Fault,
    RequestClass,
    ScoreWeights,
    ServiceLayout,
)
from siskinproxy.entry.records import RequestKind

__all__ = (
    'FIRST_ROUTE',
    'FROM_S',
    'SCENARIOS',
    'SECOND_ROUTE',
    'UNTIL_S',
)

#: Start and end of the overload, in seconds.
FROM_S: Final = 2.0
UNTIL_S: Final = 12.0
#: Names of the routes with priority 1 and priority 2.
FIRST_ROUTE: Final = 'submit'
SECOND_ROUTE: Final = 'search'
_FOR_S: Final = UNTIL_S - FROM_S
_ZONES: Final = ('a', 'b', 'c')
_USUAL_LOAD: Final = 0.4
_MS_PER_S: Final = 1000
_SERVICE: Final = ServiceLayout(
    name='desk',
    targets=(8, 8, 8),
    slots=2,
    queue=8,
    cold_s=2,
    cold_factor=1.6,
    cold_rate_per_s=20,
)
_FIRST: Final = RequestClass(
    name=FIRST_ROUTE,
    service=_SERVICE.name,
    kind=RequestKind.UNSAFE,
    share=2,
    work_ms=72,
    aim_ms=430,
    deadline_ms=5000,
    worth=2,
    late_worth=0.6,
    retries=2,
    priority=1,
    response_bytes=700,
    callers=60,
)
_SECOND: Final = RequestClass(
    name=SECOND_ROUTE,
    service=_SERVICE.name,
    kind=RequestKind.SAFE,
    share=7,
    work_ms=55,
    aim_ms=430,
    deadline_ms=4000,
    worth=1,
    late_worth=0.3,
    retries=2,
    priority=2,
    response_bytes=4000,
    callers=200,
)
_CLASSES: Final = (_FIRST, _SECOND)


def _usual_rate_per_s() -> float:
    """Return the usual rate of requests in a zone."""
    slots = _SERVICE.slots * sum(_SERVICE.targets)
    share = sum(each.share for each in _CLASSES)
    work_s = sum(each.share * each.work_ms for each in _CLASSES) / _MS_PER_S
    return _USUAL_LOAD * slots * share / work_s / len(_ZONES)


_USUAL: Final = Day(
    zones=_ZONES,
    instances=(3, 3, 3),
    requests_per_s=(_usual_rate_per_s(),) * len(_ZONES),
    length_s=UNTIL_S + 1,
    cross_zone_ms=1.4,
    caller_ms=3,
    services=(_SERVICE,),
    classes=_CLASSES,
    weights=ScoreWeights(0.48, 0.2, 0.12, 0.2),
)


def _day(*faults: Fault, **changes: object) -> Day:
    return msgspec.structs.replace(_USUAL, faults=faults, **changes)


def _without_kept_flows(*names: str) -> tuple[RequestClass, ...]:
    """Return the classes; those of these names open a flow a request."""
    return tuple(
        msgspec.structs.replace(each, callers=0) if each.name in names else each
        for each in _CLASSES
    )


_TRIPLE: Final = Fault('burst', FROM_S, _FOR_S, factor=3)
_LEAVE: Final = Fault('targets_leave', FROM_S, 1.5, share=0.25)
_ROUTE_SURGE: Final = Fault(
    'burst', FROM_S, _FOR_S, factor=4, request_class=SECOND_ROUTE
)
_SLOW: Final = Fault(
    'targets_slow', FROM_S, _FOR_S, share=1 / 3, factor=3, next_factor=5
)
_BURSTS: Final = tuple(
    Fault('burst', FROM_S + 2 * number, 1, factor=4) for number in range(5)
)
_IN_OVERLOAD_S: Final = FROM_S + 2

#: Scenarios by name.
SCENARIOS: Final[Mapping[str, Day]] = {
    'usual': _day(),
    'triple': _day(_TRIPLE, _LEAVE),
    'triple_short_flows': _day(
        _TRIPLE,
        _LEAVE,
        classes=_without_kept_flows(FIRST_ROUTE, SECOND_ROUTE),
    ),
    'triple_contended': _day(
        _TRIPLE,
        services=(
            msgspec.structs.replace(
                _SERVICE, concurrency_limit=4, concurrency_factor=0.1
            ),
        ),
    ),
    'slow_third': _day(_SLOW),
    'zone_surge': _day(
        Fault('burst', FROM_S, _FOR_S, factor=3.5, zone=_ZONES[0])
    ),
    'route_surge': _day(_ROUTE_SURGE),
    'route_surge_short_first': _day(
        _ROUTE_SURGE, classes=_without_kept_flows(FIRST_ROUTE)
    ),
    'bursts_in_long_flows': _day(*_BURSTS),
    'report_loss': _day(
        _TRIPLE, Fault('reports_lost', FROM_S, _FOR_S, share=0.3)
    ),
    'pause': _day(
        _TRIPLE, Fault('instances_pause', _IN_OVERLOAD_S, 3, share=0.1)
    ),
    'wrong_peer': _day(
        _TRIPLE, Fault('reports_wrong', _IN_OVERLOAD_S, 6, share=0.1)
    ),
    'silent_peer': _day(
        _TRIPLE, Fault('reports_silent', _IN_OVERLOAD_S, 6, share=0.1)
    ),
}
