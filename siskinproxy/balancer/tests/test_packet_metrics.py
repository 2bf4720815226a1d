import random
from urllib.request import urlopen

import gevent
import pytest
from gevent.threadpool import ThreadPool

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.packet_metrics import (
    PacketMetrics,
    PacketMetricsPage,
)
from siskinproxy.balancer.settings import Limits
from siskinproxy.balancer.snapshot import Member


class NoOutbox:
    def to_target(self, address, segment):
        """Drop the segment."""

    def to_caller(self, segment):
        """Drop the segment."""

    def to_instance(self, member, datagram):
        """Drop the datagram."""


@pytest.fixture
def engine():
    identity = Member('a-1', 'a', '127.0.0.1', 7000, 7001)
    return PacketEngine(identity, NoOutbox(), Limits(), random.Random(1))


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
    """Guards against counters that operators cannot see."""
    count(engine.counters())
    body, headers = PacketMetrics(engine).render('text/plain', 1.0)
    assert line in body.decode()
    assert headers['Content-Type'].startswith('text/plain')


def test_page_is_served_over_http(engine):
    """Guards against a page that the monitoring cannot fetch."""
    page = PacketMetricsPage(PacketMetrics(engine), '127.0.0.1', 0, lambda: 1.0)
    page.start()
    url = f'http://127.0.0.1:{page.port}/metrics'
    with gevent.Timeout(20):
        body = ThreadPool(1).spawn(lambda: urlopen(url).read()).get()
    page.close()
    assert b'siskinproxy_packet_generation' in body
