"""Requests are followed by the packets of callers."""

from collections import Counter

import pytest

from siskinproxy.entry.counting import FlowCounter
from siskinproxy.entry.flows import FlowTable
from siskinproxy.entry.packets import ACK, PacketHeader
from siskinproxy.entry.scheduling.requests import RequestTracker
from siskinproxy.entry.tests.fakes import Instance, target

FLOW = bytes(6) + bytes([198, 18, 0, 1]) + (443).to_bytes(2)
LAST = 2**32 - 100


class Tracked:
    """A tracker with its counts, fed with packets of one flow."""

    def __init__(self):
        self.one = Instance(targets=[target(1)])
        self.target = next(iter(self.one.directory.targets()))
        self.flows = FlowTable()
        self.finished = []
        self.started = []
        self.tracker = RequestTracker(
            self.flows,
            FlowCounter(self.flows, self.one.placer, 0.25),
            self.one.routes,
            Counter(),
            lambda flow, now_s: self.started.append(now_s),
            lambda request, now_s: self.finished.append(request),
        )

    def feed(self, now_s, seq, size, ack):
        head = PacketHeader(FLOW, FLOW[6:], ACK, seq, ack, 1, size)
        flow = self.flows.get(FLOW)
        return self.tracker.on_packet(head, flow, self.target, now_s)

    @property
    def in_progress(self):
        return self.one.loads.own_flows_of(self.target)


@pytest.mark.parametrize(
    ('packets', 'started', 'responses', 'in_progress'),
    [
        pytest.param([(0, 1, 100, 7)], 1, [], 1, id='begun'),
        pytest.param(
            [(0, 1, 100, 7), (0.1, 101, 0, 507)], 1, [0.1], 0, id='answered'
        ),
        pytest.param(
            [(0, 1, 100, 7), (0.2, 1, 100, 7)], 1, [], 1, id='sent again'
        ),
        pytest.param(
            [(0, 1, 100, 7), (0.01, 101, 50, 7)], 1, [], 1, id='two packets'
        ),
        pytest.param(
            [(0, 101, 50, 7), (0.01, 1, 100, 7)], 1, [], 1, id='out of order'
        ),
        pytest.param(
            [(0, 1, 100, 7), (0.1, 101, 100, 507)], 2, [0.1], 1, id='next'
        ),
        pytest.param(
            [(0, 1, 100, 7), (0.1, 101, 0, 507), (0.2, 101, 0, 907)],
            1,
            [0.1],
            0,
            id='long response',
        ),
        pytest.param(
            [(0, LAST, 200, LAST), (0.1, 100, 0, 100)],
            1,
            [0.1],
            0,
            id='numbers wrap around',
        ),
        pytest.param([(0, 1, 0, 7)], 0, [], 0, id='acknowledgment only'),
    ],
)
def test_packets_begin_and_end_requests(
    packets, started, responses, in_progress
):
    """Guards against counts that miss requests or never end them."""
    tracked = Tracked()
    for packet in packets:
        tracked.feed(*packet)
    assert len(tracked.started) == started
    found = [each.response_s for each in tracked.finished]
    assert found == pytest.approx(responses)
    assert tracked.in_progress == in_progress


def test_a_flow_of_another_instance_is_counted_once():
    """Guards against a flow that two instances count after a move."""
    tracked = Tracked()
    tracked.feed(0, 1, 100, 7)
    assert tracked.flows.ended_hashes == {FlowTable.hash_of(FLOW)}
