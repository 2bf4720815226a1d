import pytest

from siskinproxy.standins.summary import (
    excess_refusals,
    imbalance,
    list_faults,
    summarize,
)


def fault(outcome, opened_unix_s=0.0):
    return {
        'id': 'r1',
        'outcome': outcome,
        'caller': '127.0.9.1:1',
        'target': '',
        'detail': 'reset',
        'unix_s': 9.0,
        'opened_unix_s': opened_unix_s,
    }


def counts(
    ids=None,
    faults=(),
    executions=None,
    second=None,
    stats=None,
    abandoned=None,
):
    record = {
        'executions': executions or {},
        'accepted': ['127.0.9.1:1'],
        'resets': {},
    }
    return summarize(
        {'load': {'ids': ids or {}, 'faults': list(faults)}},
        {'load': {'established_total': 1}},
        {
            't1': record,
            't2': {'executions': second or {}, 'accepted': [], 'resets': {}},
        },
        {'t1': stats or {}, 't2': {}},
        abandoned or {},
    )


@pytest.mark.parametrize(
    ('given', 'violations'),
    [
        ({'ids': {'answered': ['r1']}, 'executions': {'r1': 1}}, {}),
        ({'ids': {'refused': ['r1']}}, {}),
        ({'ids': {'timed_out': ['r1']}}, {}),
        ({'ids': {'answered': ['r1']}}, {'answer_integrity': 1}),
        ({'ids': {'mismatched': ['r1']}}, {'answer_integrity': 1}),
        ({'faults': [fault('unknown')]}, {'graceful_stop': 1}),
        ({'faults': [fault('broken')]}, {'flow_survives': 1}),
        ({'stats': {'misdelivered': 2}}, {'service_isolation': 2}),
        ({'stats': {'failures': 1}}, {'warmup_limit': 1}),
    ],
)
def test_names_broken_invariants(given, violations):
    """Guards against runs that pass although an invariant was violated.

    Each record is a violation of the named invariant or of none.
    """
    assert counts(**given).violations() == violations


@pytest.mark.parametrize(
    ('ids', 'executions', 'violations'),
    [
        (['r1'], {'r1': 1}, {'at_most_once': 1, 'truthful_refusal': 1}),
        (['r2'], {'r1': 1}, {'at_most_once': 1}),
    ],
)
def test_counts_executions_over_all_targets(ids, executions, violations):
    """Guards against a request executed on two targets that is not counted.

    Each target alone executed it once; only the sum shows the violation.
    """
    summary = counts({'refused': ids}, executions=executions, second=executions)
    assert summary.violations() == violations


@pytest.mark.parametrize(
    ('abandoned', 'is_abandoned'),
    [
        ({}, False),
        ({'t1': 5.0}, True),
        ({'t1': 3.0}, False),
        ({'t2': 5.0}, False),
    ],
    ids=['no-zone', 'before', 'after', 'other-target'],
)
def test_zone_change_explains_only_its_own_flows(abandoned, is_abandoned):
    """Guards against faults ignored because of an unrelated zone change.

    A fault is excused only at a target of the zone, for a flow opened in time.
    """
    found = fault('broken', opened_unix_s=4.0)
    summary = counts(faults=[found], abandoned=abandoned)
    assert summary.abandoned_flows == is_abandoned
    assert summary.broken_flows == (not is_abandoned)


def test_fault_names_what_happened():
    """Guards against fault reports without the targets and the instance.

    A fault lists who accepted, executed and reset the flow.
    """
    records = {
        't1': {
            'executions': {'r1': 1},
            'accepted': ['127.0.9.1:1'],
            'resets': {},
        },
        't2': {'executions': {}, 'accepted': [], 'resets': {'127.0.9.1:1': 1}},
    }
    callers = {'load': {'ids': {}, 'faults': [fault('unknown')]}}
    (found,) = list_faults(callers, records, {'127.0.9.1:1': ['127.2.0.1', 7]})
    assert found['accepted_by'] == ['t1']
    assert found['executed_by'] == ['t1']
    assert found['reset_by'] == ['t2']
    assert found['reset_from'] == ['127.2.0.1', 7]


def test_imbalance_is_highest_over_mean():
    """Guards against a ratio that hides one overloaded target."""
    before = {'t1': {'busy_s': 1.0}, 't2': {'busy_s': 1.0}}
    after = {'t1': {'busy_s': 4.0}, 't2': {'busy_s': 2.0}}
    assert imbalance(before, after, ['t1', 't2']) == 1.5
    assert imbalance(before, before, ['t1', 't2']) == 1


@pytest.mark.parametrize(
    ('refused', 'requests', 'offered_per_s', 'excess'),
    [
        (0, 2500, 250.0, 0),
        (1, 2500, 250.0, 1),
        (1, 2500, 700.0, 1),
        (500, 1000, 1400.0, 0),
        (501, 1000, 1400.0, 1),
    ],
    ids=['none', 'one', 'at_capacity', 'overload', 'beyond_overload'],
)
def test_refusals_within_the_capacity_are_excess(
    refused, requests, offered_per_s, excess
):
    """Guards against a demo that refuses half of its requests and passes.

    Only the share of the load that the targets cannot execute may be refused.
    """
    found = excess_refusals(refused, requests, offered_per_s, 700.0)
    assert found == excess
