"""What several instances believe, put side by side."""

import datetime
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

import msgspec

from siskinproxy.entry.audit import AuditEntry
from siskinproxy.entry.status import InstanceStatus

__all__ = (
    'MAX_BELIEF_AGE_S',
    'AuditLine',
    'Disagreement',
    'find_disagreements',
    'merge_audit',
    'render_audit',
    'render_statuses',
)

#: Age of an instance's beliefs from which it counts as behind, in seconds:
#: the target for a change to be in force everywhere.
MAX_BELIEF_AGE_S: Final = 9.0
#: Two sightings of the same change are told apart if they are further apart,
#: in seconds: a zone may be taken out again. Twice the target above, since
#: the wall clocks of instances differ.
SAME_CHANGE_S: Final = 18.0


#: A change and the name of the instance that saw it.
_Sighting = tuple[AuditEntry, str]


class Disagreement(msgspec.Struct, frozen=True):
    """An instance that is not as the others, or not known.

    Parameters
    ----------
    instance : str
        Name or address.
    reason : str
        What is different.
    """

    instance: str
    reason: str


class AuditLine(msgspec.Struct, frozen=True):
    """A change by operators, over all instances.

    Parameters
    ----------
    unix_s : float
        When the first instance took it over, in seconds.
    lasted_s : float
        Time until the last instance did, in seconds.
    change, subject : str
        Fields of `AuditEntry`.
    instances : tuple of str
        Names of the instances, sorted.
    """

    unix_s: float
    lasted_s: float
    change: str
    subject: str
    instances: tuple[str, ...]


def find_disagreements(
    statuses: Sequence[InstanceStatus], unreachable: Mapping[str, str]
) -> tuple[Disagreement, ...]:
    """Return the instances that do not act on the newest state.

    Parameters
    ----------
    statuses : sequence of InstanceStatus
        Instances that answered.
    unreachable : mapping of str to str
        Error by address of the instances that did not.

    Returns
    -------
    tuple of Disagreement
        Empty if all instances are ready and believe the same.
    """
    found = [Disagreement(*pair) for pair in sorted(unreachable.items())]
    newest = max((each.config_version for each in statuses), default=0)
    zones = Counter(each.zones_out for each in statuses)
    usual_zones = zones.most_common(1)[0][0] if zones else ()
    for each in statuses:
        reasons = _reasons(each, newest, usual_zones)
        found.extend(Disagreement(each.name, reason) for reason in reasons)
    return tuple(found)


def merge_audit(statuses: Iterable[InstanceStatus]) -> tuple[AuditLine, ...]:
    """Return the changes that instances took over, the newest first.

    Parameters
    ----------
    statuses : iterable of InstanceStatus
        Instances that answered.

    Returns
    -------
    tuple of AuditLine
        A line for each change, or for each time that it was made.
    """
    sightings: dict[tuple[str, str], list[_Sighting]] = {}
    for status in statuses:
        for entry in status.changes:
            same = sightings.setdefault((entry.change, entry.subject), [])
            same.append((entry, status.name))
    lines = [
        _line(group)
        for same in sightings.values()
        for group in _split(sorted(same, key=lambda pair: pair[0].unix_s))
    ]
    return tuple(sorted(lines, key=lambda line: -line.unix_s))


def render_statuses(
    statuses: Iterable[InstanceStatus], disagreements: Iterable[Disagreement]
) -> Iterator[str]:
    """Yield the lines that show instances to a person.

    Parameters
    ----------
    statuses : iterable of InstanceStatus
        Instances that answered.
    disagreements : iterable of Disagreement
        Result of `find_disagreements`.

    Yields
    ------
    str
        A line without its end.
    """
    for each in sorted(statuses, key=lambda status: status.name):
        states = Counter(target.state for target in each.targets)
        counted = ' '.join(
            f'targets_{state}={count}'
            for state, count in sorted(states.items())
        )
        yield (
            f'instance={each.name} zone={each.zone} '
            f'readiness={each.readiness} config={each.config_version} '
            f'belief_age_s={_age(each)} source={each.source} '
            f'zones_out={",".join(each.zones_out) or "-"} '
            f'flows={each.flows} waiting={each.waiting} {counted}'
        )
    for item in disagreements:
        yield f'differs={item.instance} reason="{item.reason}"'


def render_audit(lines: Iterable[AuditLine]) -> Iterator[str]:
    """Yield the lines that show changes to a person.

    Parameters
    ----------
    lines : iterable of AuditLine
        Changes.

    Yields
    ------
    str
        A line without its end.
    """
    for line in lines:
        when = datetime.datetime.fromtimestamp(line.unix_s, datetime.UTC)
        yield (
            f'at={when.isoformat(timespec="milliseconds")} '
            f'change={line.change} subject="{line.subject}" '
            f'instances={len(line.instances)} lasted_s={line.lasted_s:.3f}'
        )


def _reasons(
    status: InstanceStatus, newest: int, usual_zones: tuple[str, ...]
) -> Iterator[str]:
    if status.readiness != 'ready':
        yield f'readiness is {status.readiness}'
    if status.config_version != newest:
        yield f'config {status.config_version} instead of {newest}'
    if status.zones_out != usual_zones:
        yield f'zones out {status.zones_out}, elsewhere {usual_zones}'
    if status.belief_age_s is None:
        yield 'the store has never confirmed its beliefs'
    elif status.belief_age_s > MAX_BELIEF_AGE_S:
        yield f'beliefs are {status.belief_age_s:.1f} s old'


def _split(
    sightings: Sequence[_Sighting],
) -> Iterator[list[_Sighting]]:
    group: list[_Sighting] = []
    for sighting in sightings:
        if group and sighting[0].unix_s - group[-1][0].unix_s > SAME_CHANGE_S:
            yield group
            group = []
        group.append(sighting)
    yield group


def _line(group: Sequence[_Sighting]) -> AuditLine:
    first, last = group[0][0], group[-1][0]
    return AuditLine(
        first.unix_s,
        last.unix_s - first.unix_s,
        first.change,
        first.subject,
        tuple(sorted({name for _, name in group})),
    )


def _age(status: InstanceStatus) -> str:
    age_s = status.belief_age_s
    return 'never' if age_s is None else f'{age_s:.1f}'
