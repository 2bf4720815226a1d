"""Tests of the cost measurements, with limits on memory and log lines."""

import pytest

from siskinproxy.entry.event_log import MAX_LINES_PER_S
from siskinproxy.measure.entry_costs import (
    measure_engine,
    measure_log,
    measure_reports,
    measure_store_state,
)


@pytest.mark.parametrize(
    ('measured', 'names'),
    [
        (
            lambda: measure_engine(4),
            ['flow', 'opening', 'established_packet', 'closing_packet'],
        ),
        (lambda: measure_reports(10), ['report', 'report_heard']),
        (lambda: measure_log(40), ['log_second', 'log_lines']),
        (lambda: measure_store_state(50), ['target_known', 'route_applied']),
    ],
    ids=['engine', 'reports', 'log', 'beliefs'],
)
def test_every_cost_is_measured(measured, names):
    """Guards against a cost that the command omits or reports as zero.

    The capacity page shows each of these costs.
    """
    costs = list(measured())
    assert [cost.what for cost in costs] == names
    assert all(cost.microseconds > 0 or cost.bytes > 0 for cost in costs)


def test_lines_stay_bounded_at_ten_times_the_load():
    """Guards against a log whose lines per second grow with the load.

    Without a limit for each event, every new flow writes a line.
    """
    lines = [
        next(cost for cost in measure_log(rate) if cost.what == 'log_lines')
        for rate in (400, 4000)
    ]
    # Two kinds of event, each with its limit and one line that reports the
    # number of dropped lines.
    assert all(cost.bytes <= 2 * (MAX_LINES_PER_S + 1) for cost in lines)


def test_memory_of_a_node_at_the_target_size():
    """Guards against an instance that needs over 128 MB for 13,500 flows.

    Flows and the 2,000 known targets may use half of it.
    """
    costs = {cost.what: cost for cost in measure_engine(16)}
    store_costs = {cost.what: cost for cost in measure_store_state(2000)}
    flows_bytes = 13_500 * costs['flow'].bytes
    targets_bytes = 2_000 * store_costs['target_known'].bytes
    assert flows_bytes + targets_bytes < 128e6 / 2
