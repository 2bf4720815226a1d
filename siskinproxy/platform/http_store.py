"""Client of the platform's store, which speaks HTTP/1.1 with JSON bodies."""

from typing import Final, TypeVar
from urllib.parse import quote

import msgspec

from siskinproxy.entry.http_client import HttpClient, HttpResponse
from siskinproxy.entry.records import Address
from siskinproxy.entry.store import ItemRemoved, PrefixChanges, StoredItem
from siskinproxy.errors import (
    LeaseLostError,
    StoreDataError,
    StoreHistoryLostError,
    StoreRateLimitError,
    StoreUnavailableError,
)

__all__ = (
    'KEEP_PATH',
    'LEASE_END_PATH',
    'LEASE_PATH',
    'RANGE_PATH',
    'TXN_PATH',
    'WATCH_PATH',
    'EventsBody',
    'HttpStore',
    'ItemBody',
    'LeaseBody',
    'RangeBody',
    'TxnBody',
    'WriteBody',
)

RANGE_PATH: Final = '/siskinproxy/kv-range'
WATCH_PATH: Final = '/siskinproxy/kv-watch'
TXN_PATH: Final = '/siskinproxy/kv-txn'
LEASE_PATH: Final = '/siskinproxy/kv-lease'
KEEP_PATH: Final = '/siskinproxy/kv-keep/'
LEASE_END_PATH: Final = '/siskinproxy/kv-lease-end/'


_OK: Final = 200
_NOT_FOUND: Final = 404
_HISTORY_LOST: Final = 410
_TOO_MANY: Final = 429

#: Longest watch that the store accepts, in milliseconds.
_MAX_WAIT_MS: Final = 30_000


class ItemBody(msgspec.Struct, omit_defaults=True):
    """An item, or its removal."""

    key: str
    revision: int = msgspec.field(name='rev')
    value: bytes = b''  # base64 text on the wire
    removed: bool = False


class RangeBody(msgspec.Struct):
    """A page of items."""

    items: tuple[ItemBody, ...]
    #: Whether another page follows.
    is_cut: bool = msgspec.field(name='has_more')
    revision: int = msgspec.field(name='current_rev')


class EventsBody(msgspec.Struct):
    """Answer to a watch."""

    events: tuple[ItemBody, ...]
    revision: int = msgspec.field(name='current_rev')


class LeaseBody(msgspec.Struct):
    """Answer to the grant of a lease."""

    lease: int


class WriteBody(msgspec.Struct):
    """One write of a transaction."""

    key: str
    value: bytes  # base64 text on the wire
    lease: int = 0


class TxnBody(msgspec.Struct):
    """A transaction; the product writes without conditions only."""

    writes: tuple[WriteBody, ...] = ()
    precondition: tuple[dict[str, int | str], ...] = ()
    remove: tuple[str, ...] = ()


_Answer = TypeVar('_Answer')

_RANGE: Final = msgspec.json.Decoder(RangeBody)
_EVENTS: Final = msgspec.json.Decoder(EventsBody)
_LEASE: Final = msgspec.json.Decoder(LeaseBody)


class HttpStore:
    """The platform's store as a `siskinproxy.entry.store.PrefixStore`.

    Parameters
    ----------
    address : Address
        Address of the store.
    call_timeout_s : float
        Time after which a call without an answer has failed, in seconds. A
        watch may take this much longer than its own timeout.
    """

    def __init__(self, address: Address, call_timeout_s: float) -> None:
        self._http = HttpClient(address, call_timeout_s)

    def read(self, prefix: str) -> PrefixChanges:
        """Return all items whose key starts with a prefix.

        Pages are not a snapshot, so the result is complete up to the revision
        of the first page; later changes come with the next watch.
        """
        path = f'{RANGE_PATH}?prefix={prefix}'
        page = self._page(path)
        items = list(page.items)
        revision = page.revision
        while page.is_cut:
            page = self._page(f'{path}&after={quote(items[-1].key)}')
            items.extend(page.items)
        decoded = tuple(_decode(each) for each in items)
        return PrefixChanges(decoded, revision, is_complete=True)

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> PrefixChanges:
        """Wait for changes of a prefix after a revision."""
        wait_ms = min(int(timeout_s * 1000), _MAX_WAIT_MS)
        path = (
            f'{WATCH_PATH}?prefix={prefix}&after={after_revision}'
            f'&wait_ms={wait_ms}'
        )
        answer = self._http.call('GET', path, longer_s=timeout_s)
        if answer.status == _HISTORY_LOST:
            raise StoreHistoryLostError(f'revision={after_revision}')
        _check(answer)
        found = _parse(_EVENTS, answer)
        decoded = tuple(_decode(each) for each in found.events)
        return PrefixChanges(decoded, found.revision, is_complete=False)

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""
        body = msgspec.json.encode({'ttl_ms': int(ttl_s * 1000)})
        answer = self._http.call('POST', LEASE_PATH, body, writes=True)
        _check(answer)
        return _parse(_LEASE, answer).lease

    def keep_alive(self, lease_id: int) -> None:
        """Renew a lease."""
        path = f'{KEEP_PATH}{lease_id}'
        answer = self._http.call('POST', path)
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'lease={lease_id}')
        _check(answer)

    def put(self, key: str, value: bytes, lease_id: int) -> None:
        """Write a key, which is removed when the lease ends."""
        change = TxnBody(writes=(WriteBody(key, value, lease_id),))
        answer = self._http.call(
            'POST',
            TXN_PATH,
            msgspec.json.encode(change),
            writes=True,
        )
        if answer.status == _NOT_FOUND:
            raise LeaseLostError(f'lease={lease_id}')
        _check(answer)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        path = f'{LEASE_END_PATH}{lease_id}'
        answer = self._http.call('DELETE', path, writes=True)
        if answer.status != _NOT_FOUND:
            _check(answer)

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def _page(self, path: str) -> RangeBody:
        answer = self._http.call('GET', path)
        _check(answer)
        return _parse(_RANGE, answer)


def _check(answer: HttpResponse) -> None:
    if answer.status == _TOO_MANY:
        raise StoreRateLimitError('status=429')
    if answer.status != _OK:
        raise StoreUnavailableError(f'status={answer.status}')


def _parse(
    decoder: msgspec.json.Decoder[_Answer], answer: HttpResponse
) -> _Answer:
    try:
        return decoder.decode(answer.body)
    except msgspec.MsgspecError as exc:
        raise StoreDataError('response', str(exc)) from exc


def _decode(item: ItemBody) -> StoredItem | ItemRemoved:
    if item.removed:
        return ItemRemoved(item.key, item.revision)
    return StoredItem(item.key, item.value, item.revision)
