import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskinproxy.fabric.segments import (
    ACK,
    FIN,
    RST,
    SYN,
    Endpoint,
    build_segment,
    parse_segment,
)
from siskinproxy.standins.caller_flow import Outcome
from siskinproxy.standins.tests.simulation import (
    CALLER,
    REQUEST_PORT,
    STREAM_PORT,
    Faults,
    Simulation,
)

LOSSY_NETWORK = Faults(loss=0.2, duplication=0.2, delay_s=0.002, jitter_s=0.05)


def test_perfect_network_is_exact():
    """Guards against errors that the simulated peers cause themselves.

    Without loss, no request may fail, be executed twice or be retransmitted.
    """
    simulation = Simulation(1)
    flows = [
        simulation.request(number, at_s=number * 0.01, size_bytes=5000)
        for number in range(50)
    ]
    simulation.run(40)
    assert {flow.outcome for flow in flows} == {Outcome.ANSWERED}
    assert all(flow.is_finished for flow in flows)
    stats = simulation.target.stats(40)
    assert (stats['executed'], stats['doubled']) == (50, 0)
    assert (stats['connections'], stats['running']) == (0, 0)
    assert simulation.target.counters['retransmitted'] == 0
    assert simulation.target.next_timer_s() == float('inf')


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([0, 100, 5000, 60000]))
def test_lossy_network_answers_once(seed, size_bytes):
    """Guards against requests executed twice and wrong answers under loss.

    Lost, duplicated and reordered packets cause retransmissions on both sides.
    """
    simulation = Simulation(seed, LOSSY_NETWORK)
    flows = [
        simulation.request(
            number, at_s=number * 0.01, deadline_s=120, size_bytes=size_bytes
        )
        for number in range(8)
    ]
    simulation.run(130)
    for flow in flows:
        # The target drops a connection after 5 timeouts of its SYN-ACK and
        # resets later segments: the outcome is unknown to the caller.
        assert flow.outcome in {Outcome.ANSWERED, Outcome.UNKNOWN}
        executions = simulation.target.executions[flow.request.id]
        assert executions <= 1
        assert executions == 1 or flow.outcome == Outcome.UNKNOWN
    answered = sum(flow.outcome == Outcome.ANSWERED for flow in flows)
    assert answered >= 6


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_lossy_stream_delivers_chunks_in_order(seed):
    """Guards against long flows that break under loss.

    Retransmission has to deliver each chunk complete and in order.
    """
    simulation = Simulation(seed, LOSSY_NETWORK)
    flow = simulation.request(1, deadline_s=60, kind='stream', size_bytes=3000)
    local = Endpoint(CALLER, 20001)

    def ask():
        simulation.send_from_caller(local, flow.request_chunk(simulation.now_s))

    for step in range(100):
        simulation.schedule(5 + step, ask)
    simulation.run(105)
    assert flow.outcome is None
    assert flow.chunks >= 50
    simulation.send_from_caller(local, flow.finish(simulation.now_s))
    simulation.run(200)
    assert flow.outcome == Outcome.CLOSED
    assert simulation.target.stats(200)['connections'] == 0


@pytest.mark.parametrize(
    ('flag', 'reason'),
    [('drain', 'refused_draining'), ('shed', 'refused_shedding')],
)
def test_flag_refuses_new_flows_only(flag, reason):
    """Guards against a flag that refuses requests in progress.

    ``drain`` or ``shed`` is set between two requests; only the later one is
    refused.
    """
    simulation = Simulation(1)
    early = simulation.request(1, work_ms=500)
    late = simulation.request(2, at_s=0.2)
    simulation.schedule(0.1, lambda: simulation.target.set_flag(flag, True))
    simulation.run(5)
    assert early.outcome == Outcome.ANSWERED
    assert late.outcome == Outcome.REFUSED
    assert simulation.target.counters[reason] == 1
    assert late.request.id not in simulation.target.executions


def test_full_backlog_refuses():
    """Guards against an unbounded queue of a target.

    With 4 slots and a backlog of 3, 3 of 10 requests are refused.
    """
    simulation = Simulation(1, backlog=3)
    flows = [simulation.request(number, work_ms=1000) for number in range(10)]
    simulation.run(20)
    outcomes = [flow.outcome for flow in flows]
    assert outcomes.count(Outcome.ANSWERED) == 7
    assert outcomes.count(Outcome.REFUSED) == 3


def test_overloaded_cold_target_fails():
    """Guards against a cold target that survives any load.

    It has to fail when it executes more requests than its warm-up allows, and
    only the flag ``lie`` may hide the failure in its health report.
    """
    simulation = Simulation(1, cold=True)
    flows = [simulation.request(number, work_ms=1000) for number in range(4)]
    simulation.run(1.5)
    counters = simulation.target.counters
    assert counters['failures'] == 1
    assert {flow.outcome for flow in flows} == {Outcome.UNKNOWN}
    assert simulation.target.health(1.5)['healthy'] is False
    simulation.target.set_flag('lie', True)
    assert simulation.target.health(1.5)['healthy'] is True


def test_cold_target_bears_its_ability():
    """Guards against a cold target that fails within its warm-up limit.

    The requests come one at a time, which it can execute from the start.
    """
    simulation = Simulation(1, cold=True, warmup_s=10)
    flows = [
        simulation.request(number, at_s=number * 0.5, work_ms=100)
        for number in range(30)
    ]
    simulation.run(60)
    assert simulation.target.counters['failures'] == 0
    assert {flow.outcome for flow in flows} == {Outcome.ANSWERED}


def test_deadline_cancels():
    """Guards against executions for callers that have given up.

    The deadline passes while the request waits for a slot.
    """
    simulation = Simulation(1)
    busy = [simulation.request(number, work_ms=2000) for number in range(4)]
    waiting = simulation.request(9, at_s=0.1, deadline_s=1)
    simulation.run(10)
    assert {flow.outcome for flow in busy} == {Outcome.ANSWERED}
    assert waiting.outcome == Outcome.UNKNOWN
    assert waiting.request.id not in simulation.target.executions
    assert simulation.target.counters['cancelled'] == 1


def test_two_embryonic_connections_execute_once():
    """Guards against a request executed by two targets that got its SYN.

    A copy of the SYN may reach a second target. That target has to reset data
    that acknowledges a sequence number which is not its own.
    """
    first = Simulation(1)
    second = Simulation(2)
    flow = first.request(1)
    first.run(0.0005)
    source = Endpoint(CALLER, 20001)
    destination = Endpoint('127.1.1.1', REQUEST_PORT)
    syn = build_segment(source, destination, SYN, 77)
    (answer,) = second.target.on_datagram(REQUEST_PORT, syn, 0)
    other = parse_segment(answer).sequence
    data = build_segment(source, destination, ACK, 78, other + 2, b'data')
    (reset,) = second.target.on_datagram(REQUEST_PORT, data, 0)
    assert parse_segment(reset).flags == RST
    assert parse_segment(reset).sequence == (other + 2) % 2**32
    assert second.target.executions.total() == 0
    assert second.target.counters['unacceptable_acknowledgment'] == 1
    first.run(5)
    assert flow.outcome == Outcome.ANSWERED


@pytest.mark.parametrize(
    ('destination', 'flags', 'counter'),
    [
        (('127.1.1.2', REQUEST_PORT), SYN, 'misdelivered'),
        (('127.1.1.1', STREAM_PORT), SYN, 'misdelivered'),
        (('127.1.1.1', REQUEST_PORT), ACK | FIN, 'unknown_flow'),
    ],
)
def test_foreign_segments_are_counted(destination, flags, counter):
    """Guards against packets to a wrong target that are not counted.

    Wrong address, wrong port, or a segment without a connection.
    """
    simulation = Simulation(1)
    segment = build_segment(
        Endpoint(CALLER, 5), Endpoint(*destination), flags, 1, 1
    )
    simulation.target.on_datagram(REQUEST_PORT, segment, 0)
    assert simulation.target.counters[counter] == 1


def test_request_for_another_service_is_misdelivered():
    """Guards against a target that executes requests of another service.

    The connection itself is accepted; only the request names the service.
    """
    simulation = Simulation(1, service='archive')
    flow = simulation.request(1)
    simulation.run(5)
    assert flow.outcome == Outcome.UNKNOWN
    assert simulation.target.counters['misdelivered'] == 1
    assert simulation.target.executions.total() == 0
