"""Interface of the key-value store that entry processes use.

The store holds the operators' configuration, the list of targets and the
registrations of instances, so calls read and watch all keys with a common
prefix. Unlike `siskinproxy.store.client`, whose calls are coroutines on
grpclib, these calls block the calling greenlet.
"""

from typing import Protocol

import msgspec

from siskinproxy.entry.value_bounds import BoundedInt

__all__ = (
    'ItemRemoved',
    'Lease',
    'PrefixChanges',
    'PrefixStore',
    'StoredItem',
)


class StoredItem(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """A key of the store with its value.

    Parameters
    ----------
    key : str
        Key.
    value : bytes
        Value.
    revision : int
        Revision of the store at which the value was written.
    lease_id : int
        Lease whose end removes the key; 0 for none.
    """

    key: str
    value: bytes
    revision: BoundedInt
    lease_id: BoundedInt = 0


class ItemRemoved(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """Removal of a key of the store.

    Parameters
    ----------
    key : str
        Key.
    revision : int
        Revision of the store at which the key was removed.
    """

    key: str
    revision: BoundedInt


class Lease(msgspec.Struct, frozen=True):
    """A lease of the store.

    Parameters
    ----------
    lease_id : int
        Id. A restored store gives the ids of lost leases out again, so an id
        names a lease only together with the epoch.
    epoch : int
        Epoch of the store in which the lease is known to exist.
    """

    lease_id: int
    epoch: int


class PrefixChanges(msgspec.Struct, frozen=True):
    """Items whose keys start with a prefix: all, or those that changed.

    Parameters
    ----------
    items : tuple of StoredItem or ItemRemoved
        Written and removed items.
    revision : int
        Revision of the store up to which no change is missing.
    is_complete : bool
        Whether these are all items, so that other keys do not exist; else
        they are the changes since an earlier revision.
    epoch : int
        History of the store to which the revisions belong. It rises each time
        the store is restored from a copy: changes after the copy are lost then,
        and their revisions are given out again.
    pages : int
        Calls to the store that the answer took; more than one for a long list.
    """

    items: tuple[StoredItem | ItemRemoved, ...]
    revision: int
    is_complete: bool
    epoch: int = 0
    pages: int = 1


class PrefixStore(Protocol):
    """Blocking client of the store.

    Every call may raise `StoreUnavailableError` or `StoreRateLimitError`;
    calls that write may also raise `StoreOutcomeUnknownError`.

    Calls that return an epoch return that of the answer, 0 if not stated.
    """

    def read(self, prefix: str) -> PrefixChanges:
        """Return all items whose key starts with a prefix."""

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> PrefixChanges:
        """Wait for changes of the keys that start with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after_revision : int
            Revision of the last answer.
        timeout_s : float
            Time after which an answer without items is returned, in seconds.

        Returns
        -------
        PrefixChanges
            Changes after the given revision; no items after the timeout.

        Raises
        ------
        StoreHistoryLostError
            The store no longer holds all changes after this revision; the
            caller has to read the prefix.
        """

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease that ends after a time to live."""

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease for its time to live; return the epoch.

        Raises
        ------
        LeaseLostError
            The lease has ended.
        """

    def put(self, key: str, value: bytes, lease_id: int) -> int:
        """Write a key that the store removes with a lease; return the epoch.

        Raises
        ------
        LeaseLostError
            The lease has ended.
        """

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""

    def close(self) -> None:
        """Close all connections."""
