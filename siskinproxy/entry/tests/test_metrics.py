"""Metrics of the entry process, and the HTTP server that serves them."""

import re
from pathlib import Path

import gevent
import pytest
from gevent import socket

from siskinproxy.entry.http_server import ServerResponse, SmallHttpServer
from siskinproxy.entry.metrics import BUCKET_BOUNDS_S, METRICS, Histogram
from siskinproxy.entry.metrics_text import render
from siskinproxy.entry.records import Address
from siskinproxy.entry.tests.fakes import Events

PAGE = Path(__file__).parents[3] / 'docs' / 'OPERATIONS.md'


def values():
    durations = Histogram()
    for duration_s in (0.004, 0.03, 0.04, 9.0):
        durations.observe(duration_s)
    found = {}
    for metric in METRICS:
        if metric.kind == 'histogram':
            found[metric.name] = durations
        else:
            found[metric.name] = 7
        if metric.labels:
            labels = ('a', 'b')[: len(metric.labels)]
            key = labels if len(labels) > 1 else labels[0]
            found[metric.name] = {key: 2}
    return found


def test_page_has_every_metric():
    """Guards against a metric of `METRICS` that the page does not contain."""
    page = render(METRICS, values()).decode()
    for metric in METRICS:
        assert f'# TYPE {metric.name} {metric.kind}' in page
    assert 'siskinproxy_entry_flows 7' in page
    assert 'siskinproxy_entry_targets{state="a"} 2' in page
    assert 'siskinproxy_entry_store_calls_total{cause="b",kind="a"} 2' in page


def test_histograms_are_cumulative():
    """Guards against buckets that are not cumulative.

    `Histogram` counts each duration in one bucket; Prometheus expects it in
    every bucket with a higher bound, too.
    """
    page = render(METRICS, values()).decode()
    name = 'siskinproxy_entry_flow_seconds'
    found = dict(re.findall(rf'{name}_bucket\{{le="([^"]+)"\}} (\d+)', page))
    assert found['0.005'] == '1'
    assert found['0.05'] == '3'
    assert found['+Inf'] == '4'
    assert len(found) == len(BUCKET_BOUNDS_S) + 1
    assert f'{name}_count 4' in page


@pytest.mark.parametrize('metric', METRICS, ids=lambda metric: metric.name)
def test_operators_page_lists_the_metric(metric):
    """Guards against a metric that the operators' page does not describe."""
    text = PAGE.read_text()
    assert f'`{metric.name}`' in text
    assert metric.doc in text


def test_server_answers_by_path_on_one_connection():
    """Guards against pipelined requests that are answered out of order.

    A client may send the second request before the first response.
    """

    def echo_path(path):
        return ServerResponse(200, path.encode())

    server = SmallHttpServer(Address('127.0.0.1', 0), echo_path, Events())
    server.start()
    with gevent.Timeout(5):
        conn = socket.create_connection(('127.0.0.1', server.port))
        conn.sendall(b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n')
        received = b''
        while not received.endswith(b'/b'):
            received += conn.recv(1000)
    conn.close()
    server.close()
    assert received.count(b'HTTP/1.1 200 OK') == 2
    assert received.index(b'\r\n\r\n/a') < received.index(b'\r\n\r\n/b')


def test_server_survives_bytes_that_are_no_request():
    """Guards against invalid HTTP, as from port scanners, ending the process.

    The server must close that connection and log it.
    """
    events = Events()
    server = SmallHttpServer(
        Address('127.0.0.1', 0), lambda path: ServerResponse(200), events
    )
    server.start()
    with gevent.Timeout(5):
        conn = socket.create_connection(('127.0.0.1', server.port))
        conn.sendall(b'\x00\x01\x02\r\n\r\n')
        assert conn.recv(1000) == b''
    server.close()
    assert events.named('http_connection_closed')
