"""The measurement of an entry process runs, and costs do not explode."""

import pytest

from siskinproxy.entry.event_log import LINES_PER_S
from siskinproxy.measure.entry_costs import (
    measure_beliefs,
    measure_engine,
    measure_log,
    measure_reports,
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
        (lambda: measure_beliefs(50), ['target_known', 'route_applied']),
    ],
    ids=['engine', 'reports', 'log', 'beliefs'],
)
def test_every_cost_is_measured(measured, names):
    """Guards against a page of figures that the command cannot produce."""
    costs = list(measured())
    assert [cost.what for cost in costs] == names
    assert all(cost.microseconds > 0 or cost.bytes > 0 for cost in costs)


def test_lines_stay_bounded_at_ten_times_the_load():
    """Guards against a log that grows with the load."""
    lines = [
        next(cost for cost in measure_log(rate) if cost.what == 'log_lines')
        for rate in (400, 4000)
    ]
    # Two kinds of event, each with its bound and a line on what was left out.
    assert all(cost.bytes <= 2 * (LINES_PER_S + 1) for cost in lines)


def test_memory_of_a_node_at_the_target_size():
    """Guards against flows that exceed 128 MB at 13,500 flows a node."""
    costs = {cost.what: cost for cost in measure_engine(16)}
    known = {cost.what: cost for cost in measure_beliefs(2000)}
    flows_bytes = 13_500 * costs['flow'].bytes
    targets_bytes = 2_000 * known['target_known'].bytes
    assert flows_bytes + targets_bytes < 128e6 / 2
