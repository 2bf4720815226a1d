"""Stand-in for the platform's key-value store, with faults."""

import time
from collections import deque
from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs, urlsplit

import gevent
import httptools
import msgspec
from gevent import socket

from siskinproxy.entry.records import Address
from siskinproxy.platform.http_store import (
    EPOCH_HEADER,
    KEEP_ALIVE_PATH,
    LEASE_PATH,
    RANGE_PATH,
    TXN_PATH,
    WATCH_PATH,
    EventsBody,
    ItemBody,
    LeaseBody,
    RangeBody,
    TxnBody,
)

__all__ = ('SoakStore',)

_POLL_S: Final = 0.01
_RECEIVE_BYTES: Final = 65536
#: Copies of the state that are kept, one for each change.
_MAX_COPIES: Final = 2000
_Answer = tuple[int, object]


class _Request:
    """Collects the path and body of requests; callbacks of httptools."""

    def __init__(self) -> None:
        self.done: list[tuple[str, bytes]] = []
        self._url = b''
        self._body = b''

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self.done.append((self._url.decode(), self._body))
        self._url = b''
        self._body = b''


class _Copy(msgspec.Struct, frozen=True):
    """State of the store after a change."""

    taken_s: float
    items: dict[str, ItemBody]
    revision: int
    leases: frozenset[int]
    last_lease_id: int


class SoakStore:
    """Key-value store in memory that answers HTTP calls.

    Leases do not expire, but may be lost by a restore. Writes are applied
    without a check of preconditions, and removals in a transaction are ignored.

    Attributes
    ----------
    mode : {'up', 'refuse', 'silent'}
        How calls are answered: ``up`` as by the store, ``refuse`` with status
        503, ``silent`` not before the mode changes.
    items : dict of str to ItemBody
        Current items by key.
    events : list of ItemBody
        Changes that watches can still return, by revision.
    revision : int
        Revision of the last change.
    compacted_revision : int
        Watches from an earlier revision fail with status 410.
    epoch : int
        Number of the history; rises with each restore.
    """

    def __init__(self) -> None:
        self.mode = 'up'
        self.items: dict[str, ItemBody] = {}
        self.events: list[ItemBody] = []
        self.revision = 1
        self.compacted_revision = 0
        self.epoch = 1
        self._leases: set[int] = set()
        self._last_lease_id = 0
        self._copies: deque[_Copy] = deque(maxlen=_MAX_COPIES)
        self._take_copy()
        self._listener: socket.socket | None = None
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def address(self) -> Address:
        """Address that the store listens on."""
        return Address(*self._listener.getsockname())

    def start(self) -> None:
        """Listen, and answer calls in greenlets."""
        self._listener = socket.socket()
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(64)
        self._greenlets.append(gevent.spawn(self._accept))

    def close(self) -> None:
        """Stop listening and close all connections."""
        gevent.killall(self._greenlets)
        self._listener.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        self.items[key] = ItemBody(key, self.revision, value, lease=lease)
        self.events.append(self.items[key])
        self._take_copy()

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append(ItemBody(key, self.revision, removed=True))
            self._take_copy()

    def restore(self, age_s: float) -> None:
        """Return to the state of some seconds ago, in a new epoch.

        Changes since then are lost, and their revisions and lease ids are given
        out again.

        Parameters
        ----------
        age_s : float
            Age of the copy in seconds; the oldest one is taken if there is none
            of that age.
        """
        oldest_s = time.monotonic() - age_s
        while len(self._copies) > 1 and self._copies[-1].taken_s > oldest_s:
            self._copies.pop()
        copy = self._copies[-1]
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.events = [
            each for each in self.events if each.revision <= copy.revision
        ]
        self.compacted_revision = min(self.compacted_revision, copy.revision)
        self._leases = set(copy.leases)
        self._last_lease_id = copy.last_lease_id
        self.epoch += 1

    def _take_copy(self) -> None:
        copy = _Copy(
            time.monotonic(),
            dict(self.items),
            self.revision,
            frozenset(self._leases),
            self._last_lease_id,
        )
        self._copies.append(copy)

    def compact_history(self) -> None:
        """Discard past changes; watches from earlier revisions then fail."""
        self.compacted_revision = self.revision
        self.events.clear()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            self._greenlets.append(gevent.spawn(self._serve, conn))

    def _serve(self, conn: socket.socket) -> None:
        request = _Request()
        parser = httptools.HttpRequestParser(request)
        with conn:
            try:
                while received := conn.recv(_RECEIVE_BYTES):
                    parser.feed_data(received)
                    while request.done:
                        self._respond(conn, *request.done.pop(0))
            except OSError:
                # The test kills processes that have open connections.
                return

    def _respond(self, conn: socket.socket, url: str, body: bytes) -> None:
        while self.mode == 'silent':
            gevent.sleep(_POLL_S)
        status, answer = (503, {})
        if self.mode == 'up':
            status, answer = self._answer(url, body)
        data = msgspec.json.encode(answer)
        head = (
            f'HTTP/1.1 {status} X\r\n{EPOCH_HEADER}: {self.epoch}\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        conn.sendall(head.encode() + data)

    def _answer(self, url: str, body: bytes) -> _Answer:
        parts = urlsplit(url)
        query = {
            key: values[0] for key, values in parse_qs(parts.query).items()
        }
        calls: dict[str, Callable[[], _Answer]] = {
            RANGE_PATH: lambda: self._list_items(query.get('prefix', '')),
            WATCH_PATH: lambda: self._watch(query),
            LEASE_PATH: self._grant,
            TXN_PATH: lambda: self._write(body),
        }
        if parts.path in calls:
            return calls[parts.path]()
        if parts.path.startswith(KEEP_ALIVE_PATH):
            lease_id = int(parts.path.removeprefix(KEEP_ALIVE_PATH))
            return (200, {}) if lease_id in self._leases else (404, {})
        return 404, {}

    def _list_items(self, prefix: str) -> _Answer:
        found = tuple(
            item for key, item in self.items.items() if key.startswith(prefix)
        )
        return 200, RangeBody(found, is_cut=False, revision=self.revision)

    def _watch(self, query: dict[str, str]) -> _Answer:
        after = int(query['after'])
        waited_s: float = 0
        while self.compacted_revision <= after <= self.revision:
            found = tuple(each for each in self.events if each.revision > after)
            # The revision must not be later than the events that are returned.
            if found or waited_s >= int(query['wait_ms']) / 1000:
                return 200, EventsBody(found, self.revision)
            gevent.sleep(_POLL_S)
            waited_s += _POLL_S
        return 410, {}

    def _grant(self) -> _Answer:
        self._last_lease_id += 1
        self._leases.add(self._last_lease_id)
        self._take_copy()
        return 200, LeaseBody(self._last_lease_id)

    def _write(self, body: bytes) -> _Answer:
        writes = msgspec.json.decode(body, type=TxnBody).writes
        if any(write.lease not in {0, *self._leases} for write in writes):
            return 404, {}
        for write in writes:
            self.put(write.key, write.value, write.lease)
        return 200, {}
