"""Tests of the metrics of the packet process and their HTTP server."""

import random
from urllib.request import urlopen

import gevent
import pytest
from gevent.threadpool import ThreadPool

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.packet_metrics import (
    PacketMetrics,
    PacketMetricsServer,
)
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member


class DiscardingOutbox:
    """Outbox that sends nothing."""

    def to_target(self, address, segment):
        """Drop the segment."""

    def to_caller(self, segment):
        """Drop the segment."""

    def to_instance(self, member, datagram):
        """Drop the datagram."""


@pytest.fixture
def engine():
    identity = Member('a-1', 'a', '127.0.0.1', 7000, 7001)
    return PacketEngine(
        identity, DiscardingOutbox(), Limits(), random.Random(1)
    )


@pytest.mark.parametrize(
    ('count', 'line'),
    [
        (
            lambda counters: counters.count_refusal('no_target'),
            'siskinproxy_refused_flows{reason="no_target"} 1',
        ),
        (
            lambda counters: setattr(counters, 'forwarded', 7),
            'siskinproxy_packet_events{event="forwarded"} 7',
        ),
    ],
    ids=['refusal', 'event'],
)
def test_page_shows_counters(engine, count, line):
    """Guards against counters of the engine that no metric exports."""
    count(engine.counters())
    body, headers = PacketMetrics(engine).render('text/plain', 1.0)
    assert line in body.decode()
    assert headers['Content-Type'].startswith('text/plain')


def test_page_is_served_over_http(engine):
    """Guards against metrics that a monitoring system cannot fetch."""
    server = PacketMetricsServer(
        PacketMetrics(engine), '127.0.0.1', 0, lambda: 1.0
    )
    server.start()
    url = f'http://127.0.0.1:{server.port}/metrics'
    with gevent.Timeout(20):
        body = ThreadPool(1).spawn(lambda: urlopen(url).read()).get()
    server.close()
    assert b'siskinproxy_packet_generation' in body
