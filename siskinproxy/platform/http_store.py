"""Client of the platform's key-value store.

The store has an HTTP/1.1 interface with JSON bodies. The structs whose names
end in ``Body`` have the shape of these bodies.
"""

from typing import Final, TypeVar
from urllib.parse import quote

import msgspec

from siskinproxy.entry.http_client import HttpClient, HttpResponse
from siskinproxy.entry.records import Address
from siskinproxy.entry.store import (
    ItemRemoved,
    Lease,
    PrefixChanges,
    StoredItem,
)
from siskinproxy.entry.value_bounds import (
    DECODING_ERRORS,
    MAX_INTEGER,
    MAX_WAIT_MS,
    BoundedInt,
)
from siskinproxy.errors import (
    LeaseLostError,
    StoreDataError,
    StoreHistoryLostError,
    StoreRateLimitError,
    StoreUnavailableError,
)

__all__ = (
    'EPOCH_HEADER',
    'KEEP_ALIVE_PATH',
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
KEEP_ALIVE_PATH: Final = '/siskinproxy/kv-keep/'
LEASE_END_PATH: Final = '/siskinproxy/kv-lease-end/'


# HTTP status codes.
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_TOO_MANY_REQUESTS: Final = 429

#: Header of each response that holds the epoch of the store, in lower case.
EPOCH_HEADER: Final = 'store-era'


class ItemBody(msgspec.Struct, omit_defaults=True):
    """A key with its value, or the removal of a key."""

    key: str
    #: Revision of the store at which the key was written or removed.
    revision: BoundedInt = msgspec.field(name='rev')
    value: bytes = b''  # base64 text on the wire
    removed: bool = False
    lease: BoundedInt = 0  # removes the key when it ends; 0 for no lease


class RangeBody(msgspec.Struct):
    """Response to a range read: one page of the items of a prefix."""

    items: tuple[ItemBody, ...]
    #: Whether more items follow, which another request returns.
    is_cut: bool = msgspec.field(name='has_more')
    revision: BoundedInt = msgspec.field(name='current_rev')


class EventsBody(msgspec.Struct):
    """Response to a watch: changes after the requested revision."""

    events: tuple[ItemBody, ...]
    revision: BoundedInt = msgspec.field(name='current_rev')


class LeaseBody(msgspec.Struct):
    """Response to a lease request: id of the new lease."""

    lease: BoundedInt


class WriteBody(msgspec.Struct):
    """One write of a transaction."""

    key: str
    value: bytes  # base64 text on the wire
    lease: int = 0  # removes the key when it ends; 0 for no lease


class TxnBody(msgspec.Struct):
    """Request of a transaction; siskinproxy sends no preconditions."""

    writes: tuple[WriteBody, ...] = ()
    precondition: tuple[dict[str, int | str], ...] = ()
    remove: tuple[str, ...] = ()


_Body = TypeVar('_Body')

_RANGE_DECODER: Final = msgspec.json.Decoder(RangeBody)
_EVENTS_DECODER: Final = msgspec.json.Decoder(EventsBody)
_LEASE_DECODER: Final = msgspec.json.Decoder(LeaseBody)


class HttpStore:
    """HTTP implementation of `siskinproxy.entry.store.PrefixStore`.

    Calls raise the errors that `PrefixStore` names, and `StoreDataError` if a
    response cannot be decoded.

    Parameters
    ----------
    address : Address
        TCP address of the store.
    call_timeout_s : float
        Time for connecting, and for each wait for bytes of the response, in
        seconds. A watch may take this much longer than its own timeout.
    """

    def __init__(self, address: Address, call_timeout_s: float) -> None:
        self._http = HttpClient(address, call_timeout_s)

    def read(self, prefix: str) -> PrefixChanges:
        """Return all items whose key starts with a prefix.

        The store does not read all pages at the same revision, so the result
        counts as complete only up to the revision of the first page. A watch
        after this revision returns the changes made since then.

        Raises
        ------
        StoreHistoryLostError
            The store was restored between two pages.
        StoreDataError
            A page that is not the last one does not lead on.
        """
        path = f'{RANGE_PATH}?prefix={prefix}'
        page, epoch = self._read_page(path)
        items = list(page.items)
        revision = page.revision
        pages = 1
        last_key = ''
        while page.is_cut:
            if not page.items or page.items[-1].key <= last_key:
                raise StoreDataError('items', f'no keys after {last_key!r}')
            last_key = page.items[-1].key
            page, page_epoch = self._read_page(
                f'{path}&after={quote(last_key)}'
            )
            if page_epoch != epoch:
                raise StoreHistoryLostError(
                    f'epoch={page_epoch} epoch_of_first_page={epoch}'
                )
            items.extend(page.items)
            pages += 1
        converted = tuple(_convert_item(each) for each in items)
        return PrefixChanges(
            converted, revision, is_complete=True, epoch=epoch, pages=pages
        )

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> PrefixChanges:
        """Wait for changes of a prefix after a revision.

        Waits for at most ``timeout_s`` seconds, and no longer than the store
        allows. Without a change the result has no items.
        """
        wait_ms = min(int(timeout_s * 1000), MAX_WAIT_MS)
        path = (
            f'{WATCH_PATH}?prefix={prefix}&after={after_revision}'
            f'&wait_ms={wait_ms}'
        )
        response = self._http.call('GET', path, server_wait_s=timeout_s)
        if response.status == _GONE:
            raise StoreHistoryLostError(f'revision={after_revision}')
        _check_status(response)
        found = _decode_body(_EVENTS_DECODER, response)
        converted = tuple(_convert_item(each) for each in found.events)
        return PrefixChanges(
            converted,
            found.revision,
            is_complete=False,
            epoch=_epoch_of(response),
        )

    def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease and return it."""
        body = msgspec.json.encode({'ttl_ms': int(ttl_s * 1000)})
        response = self._http.call('POST', LEASE_PATH, body, writes=True)
        _check_status(response)
        lease_id = _decode_body(_LEASE_DECODER, response).lease
        return Lease(lease_id, _epoch_of(response))

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease, so that it lasts for its full time again."""
        path = f'{KEEP_ALIVE_PATH}{lease_id}'
        response = self._http.call('POST', path)
        if response.status == _NOT_FOUND:
            raise LeaseLostError(f'lease={lease_id}')
        _check_status(response)
        return _epoch_of(response)

    def put(self, key: str, value: bytes, lease_id: int) -> int:
        """Write a key that the store removes when the lease ends."""
        change = TxnBody(writes=(WriteBody(key, value, lease_id),))
        response = self._http.call(
            'POST',
            TXN_PATH,
            msgspec.json.encode(change),
            writes=True,
        )
        if response.status == _NOT_FOUND:
            raise LeaseLostError(f'lease={lease_id}')
        _check_status(response)
        return _epoch_of(response)

    def end_lease(self, lease_id: int) -> None:
        """End a lease, which removes its keys; it may have ended already."""
        path = f'{LEASE_END_PATH}{lease_id}'
        response = self._http.call('DELETE', path, writes=True)
        if response.status != _NOT_FOUND:
            _check_status(response)

    def close(self) -> None:
        """Close the idle connections to the store."""
        self._http.close()

    def _read_page(self, path: str) -> tuple[RangeBody, int]:
        """Return a page of a range read and the epoch of the store."""
        response = self._http.call('GET', path)
        _check_status(response)
        page = _decode_body(_RANGE_DECODER, response)
        return page, _epoch_of(response)


def _check_status(response: HttpResponse) -> None:
    if response.status == _TOO_MANY_REQUESTS:
        raise StoreRateLimitError('status=429')
    if response.status != _OK:
        raise StoreUnavailableError(f'status={response.status}')


def _epoch_of(response: HttpResponse) -> int:
    """Return the epoch of the store that answered, 0 if it states none."""
    text = response.headers.get(EPOCH_HEADER, '0')
    try:
        epoch = int(text)
    except ValueError as exc:
        raise StoreDataError(EPOCH_HEADER, f'not a number: {text!r}') from exc
    if not 0 <= epoch <= MAX_INTEGER:
        raise StoreDataError(EPOCH_HEADER, f'out of range: {text!r}')
    return epoch


def _decode_body(
    decoder: msgspec.json.Decoder[_Body], response: HttpResponse
) -> _Body:
    try:
        return decoder.decode(response.body)
    except DECODING_ERRORS as exc:
        raise StoreDataError('response', str(exc)) from exc


def _convert_item(item: ItemBody) -> StoredItem | ItemRemoved:
    if item.removed:
        return ItemRemoved(item.key, item.revision)
    return StoredItem(item.key, item.value, item.revision, item.lease)
