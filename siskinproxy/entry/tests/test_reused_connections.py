"""Responses that arrive late, twice or not in full on reused connections."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from siskinproxy.entry.http_client import HttpClient
from siskinproxy.entry.peer_link import PeerClient
from siskinproxy.entry.peer_messages import (
    ChangesAnswer,
    ChangesQuery,
    encode_frame,
    pack_items,
)
from siskinproxy.entry.records import Address
from siskinproxy.errors import StoreError, StoreUnavailableError

TIMEOUT_S = 0.3
#: Time in which bytes of the loopback interface arrive, in seconds.
ARRIVAL_S = 0.05


def http_response(body):
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


class Server:
    """Sends given bytes for each request, numbered over all connections."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.connections = 0
        self._server = StreamServer(('127.0.0.1', 0), self._serve)

    def __enter__(self):
        self._server.start()
        self.address = Address(*self._server.address)
        return self

    def __exit__(self, *exc_info):
        self._server.stop()

    def _serve(self, conn, _):
        self.connections += 1
        while conn.recv(65536):
            for delay_s, reply in self.replies.pop(0):
                gevent.sleep(delay_s)
                if reply is None:
                    conn.shutdown(socket.SHUT_RDWR)
                    return
                conn.sendall(reply)


@pytest.mark.parametrize(
    'first',
    [
        [(0, http_response(b'1')), (0.01, http_response(b'1'))],
        [(0, http_response(b'1') * 2)],
        [(0, http_response(b'1') + b'HTTP/1.1 200')],
        [(0, http_response(b'1') + b'x')],
    ],
    ids=['late', 'at once', 'half', 'garbage'],
)
def test_a_second_copy_of_a_response_answers_nothing_else(first):
    """Guards against a response that is taken for that to the next request.

    A server sends a response twice; the connection is in use again.
    """
    with Server([first, [(0, http_response(b'2'))]]) as server:
        client = HttpClient(server.address, TIMEOUT_S)
        try:
            assert client.call('GET', '/1').body == b'1'
        except StoreError:
            # Bytes that are no HTTP may also fail the call.
            assert first[0][1].endswith(b'x')
            return
        gevent.sleep(ARRIVAL_S)
        assert client.call('GET', '/2').body == b'2'
        assert server.connections == 2
        client.close()


def test_idle_connections_are_reused():
    """Guards against a new connection for each call."""
    replies = [[(0, http_response(b'1'))], [(0, http_response(b'2'))]]
    with Server(replies) as server:
        client = HttpClient(server.address, TIMEOUT_S)
        assert client.call('GET', '/1').body == b'1'
        gevent.sleep(ARRIVAL_S)
        assert client.call('GET', '/2').body == b'2'
        assert server.connections == 1
        client.close()


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhal',
        b'HTTP/1.1 200 OK\r\n\r\nhal',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'',
    ],
    ids=['length', 'chunk', 'half chunk', 'until close', 'head', 'nothing'],
)
@pytest.mark.parametrize('writes', [False, True])
def test_a_response_that_breaks_off_is_an_error(reply, writes):
    """Guards against a response that counts as complete but is not."""
    with Server([[(0, reply), (0.01, None)]] * 2) as server:
        client = HttpClient(server.address, TIMEOUT_S)
        with pytest.raises(StoreError):
            client.call('GET', '/1', writes=writes)
        client.close()


def answer(revision):
    return encode_frame(
        ChangesAnswer(pack_items(()), revision, False, 0, False)
    )


def test_a_late_answer_of_an_instance_answers_no_other_query():
    """Guards against an old state that counts as confirmed just now.

    The answer states its age; one that is read for a later query would make
    the state of this instance seem newer than it is.
    """
    replies = [
        [(0, answer(1)), (0.01, answer(1))],
        [(0, answer(2))],
    ]
    with Server(replies) as server:
        client = PeerClient(server.address)
        query = ChangesQuery('i-1', 0, 0)
        assert client.ask(query, TIMEOUT_S).revision == 1
        gevent.sleep(ARRIVAL_S)
        assert client.ask(query, TIMEOUT_S).revision == 2
        client.close()


def test_an_answer_after_the_timeout_is_not_read():
    """Guards against reading a late answer after a timeout."""
    replies = [[(2 * TIMEOUT_S, answer(1))], [(0, answer(2))]]
    with Server(replies) as server:
        client = PeerClient(server.address)
        query = ChangesQuery('i-1', 0, 0)
        with pytest.raises(StoreUnavailableError):
            client.ask(query, TIMEOUT_S)
        assert client.ask(query, TIMEOUT_S).revision == 2
        client.close()


def test_an_interrupted_query_leaves_no_answer_behind():
    """Guards against an answer that is left over from an interrupted call."""
    replies = [[(0.1, answer(1))], [(0, answer(2))]]
    with Server(replies) as server:
        client = PeerClient(server.address)
        query = ChangesQuery('i-1', 0, 0)
        with gevent.Timeout(0.02, exception=False):
            client.ask(query, TIMEOUT_S)
        gevent.sleep(0.2)
        assert client.ask(query, TIMEOUT_S).revision == 2
        client.close()


@pytest.mark.parametrize('kept', [0.1, 0.5, 0.9])
def test_a_frame_that_breaks_off_is_an_error(kept):
    """Guards against half of an answer that is applied as complete."""
    frame = answer(1)
    part = frame[: int(kept * len(frame))]
    with Server([[(0, part), (0.01, None)]]) as server:
        client = PeerClient(server.address)
        with pytest.raises(StoreUnavailableError):
            client.ask(ChangesQuery('i-1', 0, 0), TIMEOUT_S)
        client.close()
