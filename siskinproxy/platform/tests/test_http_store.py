"""HTTP store client against a local server with scripted responses."""

import json

import gevent
import httptools
import pytest
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.entry.store import (
    ItemRemoved,
    Lease,
    PrefixChanges,
    StoredItem,
)
from siskinproxy.errors import (
    LeaseLostError,
    StoreDataError,
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreRateLimitError,
    StoreUnavailableError,
)
from siskinproxy.platform.http_store import HttpStore

TIMEOUT_S = 0.2
ITEM = {
    'key': 'op/config',
    'value': 'e30=',
    'rev': 4,
    'create_revision': 2,
    'lease': 0,
}


class ScriptedServer:
    """HTTP server that answers each request with the next entry of a script.

    An entry is a status, a body and optionally the epoch of the store,
    ``None`` for no response, or ``'close'`` for closing the connection.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = []
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(5)
        self.address = Address(*self.listener.getsockname())
        self.greenlets = [gevent.spawn(self.accept)]

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            self.greenlets.append(gevent.spawn(self.serve, conn))

    def serve(self, conn):
        parser = httptools.HttpRequestParser(self)
        self.url = b''
        self.body = b''
        while received := conn.recv(65536):
            self.done = False
            parser.feed_data(received)
            if not self.done:
                continue
            entry = self.script.pop(0)
            if entry == 'close':
                conn.close()
                return
            if entry is None:
                gevent.sleep(10)
            status, body, *epoch = entry
            data = json.dumps(body).encode()
            head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n'
            for number in epoch:
                head += f'Store-Era: {number}\r\n'
            conn.sendall(head.encode() + b'\r\n' + data)

    def on_url(self, url):
        self.url += url

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.requests.append((self.url.decode(), self.body))
        self.url = b''
        self.body = b''
        self.done = True

    def close(self):
        gevent.killall(self.greenlets)
        self.listener.close()


@pytest.fixture
def serve():
    opened = []

    def start(*script):
        server = ScriptedServer(script)
        store = HttpStore(server.address, TIMEOUT_S)
        opened.extend((server, store))
        return server, store

    yield start
    for each in opened:
        each.close()


def test_pages_are_joined_at_the_revision_of_the_first(serve):
    """Guards against missing a change that is made between reading two pages.

    The next watch starts at the returned revision, so it has to be the one of
    the first page.
    """
    other = ITEM | {'key': 'servers/i 1', 'rev': 9}
    server, store = serve(
        (200, {'items': [other], 'has_more': True, 'current_rev': 8}),
        (200, {'items': [ITEM], 'has_more': False, 'current_rev': 9}),
    )
    found = store.read('')
    assert found.revision == 8
    assert found.is_complete
    assert found.items[1] == StoredItem('op/config', b'{}', 4)
    assert server.requests[1][0].endswith('prefix=&after=servers/i%201')


def test_pages_of_two_histories_are_not_joined(serve):
    """Guards against a list with items from before and after a restore.

    A key that the restored store lacks would stay in it, and no later change
    would remove it.
    """
    page = {'items': [ITEM], 'has_more': True, 'current_rev': 8}
    _, store = serve((200, page, 1), (200, page | {'has_more': False}, 2))
    with pytest.raises(StoreHistoryLostError):
        store.read('')


def test_watch_returns_changes_and_removals(serve):
    """Guards against removed keys that are returned as empty values.

    The store reports a removal as an item without a value.
    """
    removed = {'key': 'servers/1', 'rev': 6, 'removed': True}
    server, store = serve((200, {'events': [ITEM, removed], 'current_rev': 6}))
    assert store.watch('', 3, 0.05) == PrefixChanges(
        (StoredItem('op/config', b'{}', 4), ItemRemoved('servers/1', 6)),
        6,
        is_complete=False,
    )
    assert 'after=3&wait_ms=50' in server.requests[0][0]


def test_answers_name_the_history_of_their_revisions(serve):
    """Guards against revisions of two histories that cannot be told apart."""
    page = {'items': [], 'has_more': False, 'current_rev': 8}
    events = {'events': [], 'current_rev': 6}
    _, store = serve((200, page, 2), (200, events, 3), (200, events))
    assert store.read('').epoch == 2
    assert store.watch('', 3, 0.01).epoch == 3
    assert store.watch('', 3, 0.01).epoch == 0


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        ((410, {}), StoreHistoryLostError),
        ((200, {'events': [], 'current_rev': 6}, 'x'), StoreDataError),
        ((429, {}), StoreRateLimitError),
        ((503, {}), StoreUnavailableError),
        ((200, {'events': 1}), StoreDataError),
        (None, StoreUnavailableError),
        ('close', StoreUnavailableError),
    ],
    ids=[
        'history',
        'epoch',
        'rate',
        'refused',
        'unreadable',
        'silent',
        'closed',
    ],
)
def test_failed_reads(serve, answer, error):
    """Guards against a failed call that is handled as a watch without changes."""
    _, store = serve(answer)
    with pytest.raises(error):
        store.watch('', 3, 0.01)


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        ((404, {}), LeaseLostError),
        ((503, {}), StoreUnavailableError),
        (None, StoreOutcomeUnknownError),
        ('close', StoreOutcomeUnknownError),
    ],
    ids=['lease', 'refused', 'silent', 'closed'],
)
def test_failed_writes(serve, answer, error):
    """Guards against repeating a write that the store may have executed.

    That is the case if no response arrives after the request was sent.
    """
    server, store = serve(answer)
    with pytest.raises(error):
        store.put('siskinproxy/instances/i', b'x', 7)
    assert len(server.requests) == 1


def test_a_closed_kept_connection_is_replaced(serve):
    """Guards against a failed call after the store closed an idle connection."""
    answer = (200, {'events': [], 'current_rev': 6})
    server, store = serve(answer, 'close', answer)
    store.watch('', 3, 0.01)
    assert store.watch('', 3, 0.01).revision == 6
    assert len(server.requests) == 3


def test_leases_and_writes(serve):
    """Guards against writing a registration without its lease.

    Its key would stay after the end of the instance. An answer without its
    epoch would let a lease of another instance pass for the own one.
    """
    server, store = serve(
        (200, {'lease': 7, 'ttl_ms': 20000}, 2),
        (200, {'rev': 9}, 3),
        (200, {'ttl_ms': 20000}, 4),
        (200, {}),
    )
    assert store.grant_lease(20) == Lease(7, 2)
    assert store.put('siskinproxy/instances/i', b'x', 7) == 3
    assert store.keep_alive(7) == 4
    store.end_lease(7)
    assert json.loads(server.requests[1][1]) == {
        'precondition': [],
        'writes': [
            {'key': 'siskinproxy/instances/i', 'value': 'eA==', 'lease': 7}
        ],
        'remove': [],
    }
    assert server.requests[2][0].endswith('/7')
