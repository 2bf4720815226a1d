"""Interface of the store that entry processes use.

Unlike `siskinproxy.store.client`, whose calls are coroutines on grpclib, these
calls block the calling greenlet. They read whole prefixes, since the store
holds the list of targets.
"""

from typing import Protocol

import msgspec

__all__ = ('ItemRemoved', 'PrefixChanges', 'PrefixStore', 'StoredItem')


class StoredItem(msgspec.Struct, frozen=True, array_like=True, tag='s'):
    """A key and its value.

    Parameters
    ----------
    key : str
        Key.
    value : bytes
        Value.
    revision : int
        Revision of the store at which the value was written.
    """

    key: str
    value: bytes
    revision: int


class ItemRemoved(msgspec.Struct, frozen=True, array_like=True, tag='r'):
    """A key that was removed.

    Parameters
    ----------
    key : str
        Key.
    revision : int
        Revision of the store at which the key was removed.
    """

    key: str
    revision: int


class PrefixChanges(msgspec.Struct, frozen=True):
    """Items of a prefix, complete or since an earlier revision.

    Parameters
    ----------
    items : tuple of StoredItem or ItemRemoved
        In order of their revision.
    revision : int
        Revision of the store up to which the items are complete.
    is_complete : bool
        Whether keys that are not among the items do not exist.
    """

    items: tuple[StoredItem | ItemRemoved, ...]
    revision: int
    is_complete: bool


class PrefixStore(Protocol):
    """Calls to the store.

    Every call may raise `StoreUnavailableError` or `StoreRateLimitError`;
    calls that write may also raise `StoreOutcomeUnknownError`.
    """

    def read(self, prefix: str) -> PrefixChanges:
        """Return all items whose key starts with a prefix."""

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> PrefixChanges:
        """Wait for changes of a prefix.

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
            Changes after the given revision.

        Raises
        ------
        StoreHistoryLostError
            The store does not hold the changes after this revision any more.
        """

    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease."""

    def keep_alive(self, lease_id: int) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            The lease has ended.
        """

    def put(self, key: str, value: bytes, lease_id: int) -> None:
        """Write a key, which is removed when the lease ends.

        Raises
        ------
        LeaseLostError
            The lease has ended.
        """

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""

    def close(self) -> None:
        """Close all connections."""
