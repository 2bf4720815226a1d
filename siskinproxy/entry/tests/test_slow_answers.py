"""Answers that arrive byte by byte, without end or too large."""

import time

import gevent
import pytest
from gevent import socket

from siskinproxy.entry.http_client import HttpClient
from siskinproxy.entry.peer_link import PeerClient
from siskinproxy.entry.peer_messages import LENGTH_PREFIX, ChangesQuery
from siskinproxy.entry.records import Address
from siskinproxy.entry.responsiveness import CheckOutcome
from siskinproxy.entry.target_check import CHECK_TIMEOUT_S, check_target
from siskinproxy.errors import ResponseTooLargeError, StoreUnavailableError

#: Time by which a call may exceed its timeout on a busy machine, in seconds.
SLACK_S = 1.0
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n'


@pytest.fixture
def serve():
    """Return a function that serves one connection by a given function."""
    greenlets = []
    listeners = []

    def start(handle):
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        listeners.append(listener)

        def accept():
            conn, _ = listener.accept()
            with conn:
                try:
                    handle(conn)
                except OSError:
                    return  # the client has closed the connection

        greenlets.append(gevent.spawn(accept))
        return Address(*listener.getsockname())

    yield start
    gevent.killall(greenlets)
    for listener in listeners:
        listener.close()


def send_slowly(conn, message=HEAD * 1000):
    """Send a byte more often than the timeout of any read."""
    for byte in message:
        conn.sendall(bytes([byte]))
        gevent.sleep(0.02)


def send_without_end(conn):
    conn.sendall(HEAD)
    while True:
        conn.sendall(b'x' * 65536)
        gevent.sleep(0)


def send_headers_without_end(conn):
    conn.sendall(b'HTTP/1.1 200 OK\r\n')
    while True:
        conn.sendall(b'X: ' + b'y' * 1000 + b'\r\n')
        gevent.sleep(0)


@pytest.mark.parametrize('writes', [False, True])
def test_a_call_ends_although_bytes_keep_coming(serve, writes):
    """Guards against a slow store that holds the follower up for minutes.

    The timeout of a socket holds for each read, so each byte extended it.
    """
    client = HttpClient(serve(send_slowly), 0.1)
    started_s = time.monotonic()
    with pytest.raises(Exception, match='TimeoutError'):
        client.call('GET', '/', writes=writes)
    assert time.monotonic() - started_s < 0.1 + SLACK_S


def test_a_query_ends_although_bytes_keep_coming(serve):
    """Guards against a slow instance that keeps others from a better one."""

    def send_frame(conn):
        send_slowly(conn, LENGTH_PREFIX.pack(10_000) + bytes(10_000))

    client = PeerClient(serve(send_frame))
    started_s = time.monotonic()
    with pytest.raises(StoreUnavailableError, match='TimeoutError'):
        client.ask(ChangesQuery('i-1', 1, 100), 0.2)
    assert time.monotonic() - started_s < 0.2 + SLACK_S


@pytest.mark.parametrize('handle', [send_without_end, send_headers_without_end])
def test_a_response_without_end_is_given_up(serve, handle):
    """Guards against a response that fills the memory of an instance."""
    client = HttpClient(serve(handle), 5, max_response_bytes=1_000_000)
    with pytest.raises(ResponseTooLargeError):
        client.call('GET', '/')


def close_at_once(conn):
    conn.recv(1000)


@pytest.mark.parametrize(
    ('handle', 'outcome'),
    [
        (close_at_once, CheckOutcome.RESET),
        (send_slowly, CheckOutcome.TIMED_OUT),
        (send_without_end, CheckOutcome.ANSWERED),
        (send_headers_without_end, CheckOutcome.ANSWERED),
    ],
)
def test_odd_health_pages_end_a_check(serve, handle, outcome):
    """Guards against a health page that holds a check for ever."""
    started_s = time.monotonic()
    assert check_target(serve(handle), '/health') is outcome
    assert time.monotonic() - started_s < CHECK_TIMEOUT_S + SLACK_S


def test_a_refused_connection_is_no_reset():
    """Guards against a live target that counts as ended.

    Only a host that refuses the connection shows that no process listens.
    """
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    address = Address(*listener.getsockname())
    assert check_target(address, '/health') is CheckOutcome.REFUSED
    listener.close()
