"""Tests of the report and the sample flows of the benchmark."""

import msgspec
import pytest

from siskinproxy.fabric import segments
from siskinproxy.measure.bench import decision_table, summarize
from siskinproxy.measure.bench_control import ControlCost
from siskinproxy.measure.bench_load import RoundResult
from siskinproxy.measure.decision_cost import DecisionCost, make_engine
from siskinproxy.measure.flow_samples import (
    SampleFlows,
    accept_syn,
    adopt_flows,
    make_configuration,
    reset_of_syn,
)

FIELDS = {
    'relay_pps',
    'bare_pps',
    'ratio',
    'new_flows_per_s',
    'bytes_per_flow',
    'decision_us_p50',
    'decision_us_p99',
    'control_cpu_percent',
    'control_rss_mb',
    'control_bytes_per_s',
}
COST = DecisionCost(1000, 20, 3.25, 9.5, 40, 80)


def make_report(control):
    relayed = [
        RoundResult(2, 100, 20, 0),
        RoundResult(2, 200, 40, 0),
        RoundResult(2, 400, 60, 0),
    ]
    bare = [
        RoundResult(2, 400, 0, 0),
        RoundResult(2, 400, 0, 0),
        RoundResult(2, 500, 0, 0),
    ]
    return summarize(relayed, bare, 84.25, COST, control)


@pytest.mark.parametrize(
    ('control', 'expected'),
    [
        (ControlCost(1.5, 40, 3000, 8, 8), (1.5, 40.0, 3000)),
        (None, (None, None, None)),
    ],
    ids=['measured', 'left out'],
)
def test_last_line_has_all_fields(control, expected):
    """Guards against a report without a field that its readers expect.

    Without a measurement of the control processes, their fields are null.
    """
    line = msgspec.json.encode(make_report(control))
    report = msgspec.json.decode(line)
    assert set(report) == FIELDS
    names = ('control_cpu_percent', 'control_rss_mb', 'control_bytes_per_s')
    assert tuple(report[name] for name in names) == expected


def test_ratio_compares_neighbouring_rounds():
    """Guards against a ratio between rounds that are far apart in time.

    The load of the machine changes during a run; only consecutive rounds of
    both receivers are comparable.
    """
    report = make_report(None)
    assert (report.relay_pps, report.bare_pps) == (100, 200)
    assert report.ratio == 0.5
    assert report.new_flows_per_s == 20


def test_decision_table_has_a_row_for_each_size():
    """Guards against a table that omits one of the measured sizes."""
    rows = decision_table([COST, COST._replace(flows=2000)]).splitlines()
    assert len(rows) == 3
    assert rows[2].split()[:3] == ['2000', '20', '3.25']


def test_sample_flows_take_the_measured_path():
    """Guards against a benchmark whose segments the engine drops.

    Segments that match no open flow or listener would measure the cost of a
    drop instead of forwarding.
    """
    cfg = make_configuration(20)
    engine = make_engine(20)
    flows = SampleFlows(cfg)
    adopt_flows(engine, flows, 50)
    for number in range(50):
        engine.on_segment(flows.request(number), 0)
        engine.on_segment(flows.response(number), 0)
    counters = engine.counters()
    assert counters.adopted == counters.forwarded == counters.answered == 50
    syn = SampleFlows(cfg, caller_net=2).request(7, segments.SYN)
    engine.on_segment(syn, 0)
    engine.on_segment(accept_syn(engine.state.outbox.last), 0)
    engine.on_segment(reset_of_syn(syn), 0)
    assert (counters.opened, counters.closed) == (1, 1)
