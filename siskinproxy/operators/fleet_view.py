"""Comparison of the state of several instances.

Finds instances whose state differs from that of the others, and merges their
audit entries into one list of changes. Used by the ``siskinproxy-fleet`` tool.
"""

import datetime
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain
from typing import Final

import msgspec

from siskinproxy.entry.audit import AuditEntry
from siskinproxy.entry.cluster_state import UnusableEntry
from siskinproxy.entry.status import InstanceStatus, TargetView

__all__ = (
    'MAX_STATE_AGE_S',
    'AuditLine',
    'InstanceDifference',
    'find_instance_differences',
    'merge_audit',
    'render_audit',
    'render_statuses',
)

#: Time in seconds since the store last confirmed an instance's state, above
#: which the state counts as outdated: the target for the time until a change is
#: in force at every instance.
MAX_STATE_AGE_S: Final = 9.0
#: Longest time in seconds between two entries for the same change. Entries that
#: are further apart count as two changes, since a zone may be taken out again.
#: Twice the target above, since the wall clocks of instances differ.
MAX_SAME_CHANGE_GAP_S: Final = 18.0

#: Audit entry and the name of the instance that recorded it.
_Observation = tuple[AuditEntry, str]


class InstanceDifference(msgspec.Struct, frozen=True):
    """A way in which an instance is not in the expected state.

    Parameters
    ----------
    instance : str
        Name of the instance, or its address if it did not answer.
    reason : str
        Difference from the other instances, or error of the request.
    """

    instance: str
    reason: str


class AuditLine(msgspec.Struct, frozen=True):
    """A change by operators, merged from the entries of all instances.

    Parameters
    ----------
    unix_s : float
        Time at which the first instance recorded it, in seconds since the
        Unix epoch.
    lasted_s : float
        Time from then until the last instance recorded it, in seconds.
    change, subject : str
        Fields of `AuditEntry`.
    instances : tuple of str
        Names of the instances that recorded it, sorted.
    """

    unix_s: float
    lasted_s: float
    change: str
    subject: str
    instances: tuple[str, ...]


def find_instance_differences(
    statuses: Sequence[InstanceStatus], unreachable: Mapping[str, str]
) -> tuple[InstanceDifference, ...]:
    """Return the instances that are not ready or not in the newest state.

    Expected are the highest configuration version and the most frequent set
    of zones out of service among all instances that answered.

    Parameters
    ----------
    statuses : sequence of InstanceStatus
        Status of each instance that answered.
    unreachable : mapping of str to str
        Error by address of each instance that did not answer.

    Returns
    -------
    tuple of InstanceDifference
        Empty if all instances answered, are ready and have the same, recently
        confirmed state.
    """
    found = [InstanceDifference(*pair) for pair in sorted(unreachable.items())]
    newest_version = max((each.config_version for each in statuses), default=0)
    zones = Counter(each.zones_out for each in statuses)
    usual_zones_out = zones.most_common(1)[0][0] if zones else ()
    for each in statuses:
        reasons = _describe_differences(each, newest_version, usual_zones_out)
        found.extend(
            InstanceDifference(each.name, reason) for reason in reasons
        )
    return tuple(found)


def merge_audit(statuses: Iterable[InstanceStatus]) -> tuple[AuditLine, ...]:
    """Merge the audit entries of instances, the newest change first.

    Parameters
    ----------
    statuses : iterable of InstanceStatus
        Status of each instance that answered.

    Returns
    -------
    tuple of AuditLine
        One for each time that a change was made.
    """
    observations: dict[tuple[str, str], list[_Observation]] = {}
    for status in statuses:
        for entry in status.changes:
            same = observations.setdefault((entry.change, entry.subject), [])
            same.append((entry, status.name))
    lines = [
        _merge_observations(group)
        for same in observations.values()
        for group in _split_by_time(
            sorted(same, key=lambda pair: pair[0].unix_s)
        )
    ]
    return tuple(sorted(lines, key=lambda line: -line.unix_s))


def render_statuses(
    statuses: Iterable[InstanceStatus],
    differences: Iterable[InstanceDifference],
) -> Iterator[str]:
    """Yield the lines of text that show the status of instances.

    Parameters
    ----------
    statuses : iterable of InstanceStatus
        Status of each instance that answered.
    differences : iterable of InstanceDifference
        Result of `find_instance_differences`.

    Yields
    ------
    str
        Line without line break.
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
            f'belief_age_s={_format_age(each)} source={each.source} '
            f'epoch={each.epoch} revision={each.revision} '
            f'zones_out={",".join(each.zones_out) or "-"} '
            f'flows={each.flows} waiting={each.waiting} {counted}'
        )
    for item in differences:
        yield f'differs={item.instance} reason="{item.reason}"'
    yield from _render_suspected(statuses)
    counts = Counter(
        chain.from_iterable(status.unusable for status in statuses)
    )
    for entry, count in sorted(counts.items(), key=_unusable_order):
        yield (
            f'unusable={entry.key} part="{entry.part}" '
            f'field={entry.field or "-"} value={entry.value or "-"} '
            f'reason="{entry.reason}" instances={count}'
        )


def _render_suspected(statuses: Sequence[InstanceStatus]) -> Iterator[str]:
    """Yield a line for each target that an instance suspects."""
    views: dict[str, list[TargetView]] = {}
    for target in chain.from_iterable(status.targets for status in statuses):
        if target.suspected_for_s is not None:
            views.setdefault(target.name, []).append(target)
    for name, found in sorted(views.items()):
        witnesses = sorted(set(chain.from_iterable(v.witnesses for v in found)))
        longest_s = max(v.suspected_for_s or 0 for v in found)
        yield (
            f'suspected={name} service={found[0].service} '
            f'zone={found[0].zone} for_s={longest_s:.1f} '
            f'by="{",".join(witnesses)}" instances={len(found)}'
        )


def _unusable_order(item: tuple[UnusableEntry, int]) -> tuple[str, str, str]:
    entry, _ = item
    return entry.key, entry.part, entry.field


def render_audit(lines: Iterable[AuditLine]) -> Iterator[str]:
    """Yield the lines of text that show changes.

    Parameters
    ----------
    lines : iterable of AuditLine
        Changes in the order of the output.

    Yields
    ------
    str
        Line without line break.
    """
    for line in lines:
        when = datetime.datetime.fromtimestamp(line.unix_s, datetime.UTC)
        yield (
            f'at={when.isoformat(timespec="milliseconds")} '
            f'change={line.change} subject="{line.subject}" '
            f'instances={len(line.instances)} lasted_s={line.lasted_s:.3f}'
        )


def _describe_differences(
    status: InstanceStatus,
    newest_version: int,
    usual_zones_out: tuple[str, ...],
) -> Iterator[str]:
    if status.readiness != 'ready':
        yield f'readiness is {status.readiness}'
    if status.config_version != newest_version:
        yield f'config {status.config_version} instead of {newest_version}'
    if status.zones_out != usual_zones_out:
        yield f'zones out {status.zones_out}, elsewhere {usual_zones_out}'
    if status.belief_age_s is None:
        yield 'state was never confirmed by the store'
    elif status.belief_age_s > MAX_STATE_AGE_S:
        yield f'state was last confirmed {status.belief_age_s:.1f} s ago'


def _split_by_time(
    observations: Sequence[_Observation],
) -> Iterator[list[_Observation]]:
    group: list[_Observation] = []
    for observation in observations:
        if (
            group
            and observation[0].unix_s - group[-1][0].unix_s
            > MAX_SAME_CHANGE_GAP_S
        ):
            yield group
            group = []
        group.append(observation)
    yield group


def _merge_observations(group: Sequence[_Observation]) -> AuditLine:
    first, last = group[0][0], group[-1][0]
    return AuditLine(
        first.unix_s,
        last.unix_s - first.unix_s,
        first.change,
        first.subject,
        tuple(sorted({name for _, name in group})),
    )


def _format_age(status: InstanceStatus) -> str:
    age_s = status.belief_age_s
    return 'never' if age_s is None else f'{age_s:.1f}'
