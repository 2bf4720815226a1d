"""Tests of the metrics of the control process and their HTTP server."""

import asyncio
import random
import time
from collections import Counter

import pytest

from siskinproxy.balancer.control_engine import ControlEngine
from siskinproxy.balancer.control_metrics import ControlMetrics, MetricsServer
from siskinproxy.balancer.snapshot import Member
from siskinproxy.measure.fake_cluster import FAKE_CODEC, FakeStore


def make_metrics():
    rng = random.Random(1)
    identity = Member('i1', 'zone-0', '127.0.0.1', 1, 2)
    engine = ControlEngine(identity, FAKE_CODEC, rng, (), time.monotonic())
    store = FakeStore(('zone-0', 'zone-1'), rng)
    now_s = time.monotonic()
    engine.apply_from_store(store.head, store.sections, now_s, now_s)
    return ControlMetrics(engine, lambda: Counter(Get=3))


async def fetch(port, request):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(request)
    answer = await reader.read()
    writer.close()
    return answer.decode()


def test_page_shows_the_values():
    """Guards against renamed or missing metrics, which alerts refer to."""

    async def scenario():
        server = MetricsServer(make_metrics(), '127.0.0.1', 0)
        await server.start()
        answer = await fetch(
            server.port,
            b'GET /metrics HTTP/1.1\r\nAccept: text/plain\r\n\r\n',
        )
        await server.close()
        return answer

    answer = asyncio.run(scenario())
    assert answer.startswith('HTTP/1.1 200 OK')
    for line in (
        'siskinproxy_generation 1',
        'siskinproxy_members{state="joining"} 1',
        'siskinproxy_store_calls{kind="Get"} 3',
        'siskinproxy_provisional 0',
        'siskinproxy_zone_sight_seconds{zone="zone-1"} inf',
    ):
        assert f'\n{line}\n' in answer
    assert 'siskinproxy_control_cpu_seconds ' in answer
    assert 'siskinproxy_control_max_rss_bytes ' in answer


@pytest.mark.parametrize('request_bytes', [b'x' * 20000, b''])
def test_malformed_request_does_not_stop_the_page(request_bytes):
    """Guards against a server that stops after a malformed request.

    A client can send a request that is too long or empty.
    """

    async def scenario():
        server = MetricsServer(make_metrics(), '127.0.0.1', 0)
        await server.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(request_bytes)
        writer.write_eof()
        try:
            await reader.read()
        except ConnectionError:
            pass
        answer = await fetch(server.port, b'GET / HTTP/1.1\r\n\r\n')
        await server.close()
        return answer

    assert '200 OK' in asyncio.run(scenario())
