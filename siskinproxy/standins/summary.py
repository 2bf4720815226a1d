"""Evaluation of a run: outcomes, violated invariants and faults.

Combines what the simulated callers and targets recorded independently.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Any, Final

import msgspec

__all__ = (
    'Summary',
    'excess_refusals',
    'imbalance',
    'list_faults',
    'summarize',
)

_NO_ABANDONED_TARGETS: Final[Mapping[str, float]] = MappingProxyType({})


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of the outcomes of a run.

    Parameters
    ----------
    flows, broken_flows : int
        Long flows that were established; long flows that ended although
        their caller had not closed them.
    abandoned_flows, abandoned_requests : int
        Broken flows and requests of unknown outcome at targets of a zone that
        was taken out of service; not counted in ``broken_flows`` and
        ``lost``.
    requests, answered, refused, timed_out : int
        Requests by outcome; long flows that were refused or timed out in the
        handshake, or got a wrong chunk, are included.
    lost : int
        Requests that may or may not have been executed, as far as their
        caller can tell.
    mismatched : int
        Requests whose answer was incomplete or belonged to another request.
    doubled : int
        Executions of a request beyond its first one.
    false_refusals : int
        Requests that were executed although they were refused.
    not_executed : int
        Requests that were answered although no target executed them.
    misdelivered : int
        Packets that reached another target or port than intended, or a target
        of another service.
    cold_failures : int
        Failures of targets that got too many requests while they were cold.
    """

    flows: int
    broken_flows: int
    abandoned_flows: int
    requests: int
    answered: int
    refused: int
    timed_out: int
    lost: int
    abandoned_requests: int
    mismatched: int
    doubled: int
    false_refusals: int
    not_executed: int
    misdelivered: int
    cold_failures: int

    def violations(self) -> dict[str, int]:
        """Return the number of violations by name of the invariant."""
        counts = {
            'flow_survives': self.broken_flows,
            'service_isolation': self.misdelivered,
            'warmup_limit': self.cold_failures,
            'answer_integrity': self.mismatched + self.not_executed,
            'truthful_refusal': self.false_refusals,
            'at_most_once': self.doubled,
            'graceful_stop': self.lost,
        }
        return {name: count for name, count in counts.items() if count}


def imbalance(
    before: Mapping[str, Mapping[str, Any]],
    after: Mapping[str, Mapping[str, Any]],
    targets: Collection[str],
) -> float:
    """Return the ratio of the highest to the mean busy time of targets.

    Parameters
    ----------
    before, after : Mapping
        Counters by name of the target, at the start and at the end of the
        window; ``busy_s`` is the busy time summed over the slots.
    targets : Collection of str
        Names of the targets to compare.

    Returns
    -------
    float
        1 for a perfect balance or if no target was busy.
    """
    busy_s = [
        after[name]['busy_s'] - before[name]['busy_s'] for name in targets
    ]
    total_s = sum(busy_s)
    return max(busy_s) * len(busy_s) / total_s if total_s else 1


def excess_refusals(
    refused: int, requests: int, offered_per_s: float, capacity_per_s: float
) -> int:
    """Return how many requests were refused without a lack of capacity.

    Parameters
    ----------
    refused, requests : int
        Refused and all requests that ended within a step.
    offered_per_s : float
        Requests per second that callers send.
    capacity_per_s : float
        Requests per second that the warm targets in service can execute.

    Returns
    -------
    int
        All refused requests if the offered load is within the capacity;
        otherwise those beyond the share that the targets cannot execute.
    """
    if offered_per_s <= capacity_per_s:
        return refused
    permitted = requests * (1 - capacity_per_s / offered_per_s)
    return max(refused - int(permitted), 0)


def summarize(
    callers: Mapping[str, Mapping[str, Any]],
    loads: Mapping[str, Mapping[str, Any]],
    records: Mapping[str, Mapping[str, Any]],
    targets: Mapping[str, Mapping[str, Any]],
    abandoned: Mapping[str, float] = _NO_ABANDONED_TARGETS,
) -> Summary:
    """Count the outcomes that callers and targets recorded.

    Parameters
    ----------
    callers : Mapping
        Request ids by outcome and faults, by name of the load.
    loads : Mapping
        Counters of the callers by name of the load.
    records : Mapping
        Executions, accepted callers and resets by name of the target.
    targets : Mapping
        Counters by name of the target.
    abandoned : Mapping of str to float
        Targets whose zone was taken out of service, with the time after which
        no more flows are opened to them, in seconds since the Unix epoch.
        Flows opened earlier may be broken without a violation.

    Returns
    -------
    Summary
        Counts of the outcomes.
    """
    ids = _ids_by_outcome(callers)
    executions = _executions(records)
    faults = _count_faults(callers, records, abandoned)
    return Summary(
        flows=sum(load['established_total'] for load in loads.values()),
        broken_flows=faults['broken'],
        abandoned_flows=faults['abandoned_broken'],
        requests=sum(
            len(ids[outcome])
            for outcome in (
                'answered',
                'refused',
                'timed_out',
                'unknown',
                'mismatched',
            )
        ),
        answered=len(ids['answered']),
        refused=len(ids['refused']),
        timed_out=len(ids['timed_out']),
        lost=faults['unknown'],
        abandoned_requests=faults['abandoned_unknown'],
        mismatched=len(ids['mismatched']),
        doubled=sum(count - 1 for count in executions.values()),
        false_refusals=sum(key in executions for key in ids['refused']),
        not_executed=sum(key not in executions for key in ids['answered']),
        misdelivered=_sum_counter(targets, 'misdelivered'),
        cold_failures=_sum_counter(targets, 'failures'),
    )


def list_faults(
    callers: Mapping[str, Mapping[str, Any]],
    records: Mapping[str, Mapping[str, Any]],
    resets: Mapping[str, Any],
    abandoned: Mapping[str, float] = _NO_ABANDONED_TARGETS,
) -> list[dict[str, Any]]:
    """Return the faults that taking a zone out of service does not explain.

    Parameters
    ----------
    callers, records, abandoned : Mapping
        As in `summarize`.
    resets : Mapping
        Instance that sent the last RST, by address and port of the caller.

    Returns
    -------
    list of dict
        Faults as the callers recorded them, with the targets that accepted
        the connection (``accepted_by``), executed the request
        (``executed_by``) or reset segments of the flow (``reset_by``), and
        the instance that sent the RST to the fabric (``reset_from``).
    """
    faults = []
    for load in callers.values():
        for fault in load['faults']:
            if not _is_explained_by_zone_change(fault, records, abandoned):
                faults.append(_add_evidence(fault, records, resets))
    return faults


def _add_evidence(
    fault: Mapping[str, Any],
    records: Mapping[str, Mapping[str, Any]],
    resets: Mapping[str, Any],
) -> dict[str, Any]:
    caller = fault['caller']
    return {
        **fault,
        'accepted_by': _targets_with(records, 'accepted', caller),
        'executed_by': _targets_with(records, 'executions', fault['id']),
        'reset_by': _targets_with(records, 'resets', caller),
        'reset_from': resets.get(caller),
    }


def _is_explained_by_zone_change(
    fault: Mapping[str, Any],
    records: Mapping[str, Mapping[str, Any]],
    abandoned: Mapping[str, float],
) -> bool:
    return any(
        fault['caller'] in records[target]['accepted']
        and fault['opened_unix_s'] <= until_unix_s
        for target, until_unix_s in abandoned.items()
    )


def _targets_with(
    records: Mapping[str, Mapping[str, Any]],
    kind: str,
    key: str,
) -> list[str]:
    return [name for name, record in records.items() if key in record[kind]]


def _ids_by_outcome(
    callers: Mapping[str, Mapping[str, Any]],
) -> dict[str, list[str]]:
    ids: dict[str, list[str]] = {}
    outcomes = ('answered', 'refused', 'timed_out', 'unknown', 'mismatched')
    for outcome in outcomes:
        ids[outcome] = [
            key
            for load in callers.values()
            for key in load['ids'].get(outcome, ())
        ]
    return ids


def _executions(records: Mapping[str, Mapping[str, Any]]) -> Counter[str]:
    executions: Counter[str] = Counter()
    for record in records.values():
        executions.update(record['executions'])
    return executions


def _count_faults(
    callers: Mapping[str, Mapping[str, Any]],
    records: Mapping[str, Mapping[str, Any]],
    abandoned: Mapping[str, float],
) -> Counter[str]:
    faults: Counter[str] = Counter()
    for load in callers.values():
        for fault in load['faults']:
            is_abandoned = _is_explained_by_zone_change(
                fault, records, abandoned
            )
            prefix = 'abandoned_' if is_abandoned else ''
            faults[prefix + fault['outcome']] += 1
    return faults


def _sum_counter(targets: Mapping[str, Mapping[str, Any]], name: str) -> int:
    return sum(stats.get(name, 0) for stats in targets.values())
