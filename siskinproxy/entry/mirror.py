"""Local copy of the store's items.

An instance uses it to find what an answer changes, and to send other instances
the changes that they lack.

Revisions order changes only within one epoch of the store. When the store is
restored from a copy, a new epoch begins: changes after the copy are lost, and
their revisions are given out again. The first list of the new epoch is therefore
compared with the known items by their values.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final

import msgspec

from siskinproxy.entry.records import WritingOrder
from siskinproxy.entry.store import ItemRemoved, PrefixChanges, StoredItem

__all__ = ('ItemChange', 'StoreMirror')

#: Largest number of removals that are remembered. Above it, all of them are
#: forgotten, and an instance that lacks one of these gets all items instead.
MAX_REMOVALS: Final = 1000


class ItemChange(msgspec.Struct, frozen=True):
    """Change of an item, compared with the copy.

    Parameters
    ----------
    key : str
        Key of the item.
    item : StoredItem or None
        New item; None if the key was removed.
    is_reverted : bool
        Whether the key is only missing from the copy from which the store was
        restored, so that its writer may write it again.
    """

    key: str
    item: StoredItem | None
    is_reverted: bool = False


def _no_order(item: StoredItem, other: StoredItem) -> WritingOrder:
    return WritingOrder.UNKNOWN


def _never(item: StoredItem) -> bool:
    return False


class StoreMirror:
    """Copy of the store's items at the newest revision that is known.

    Answers of the store and of other instances may arrive in any order; an
    older item never replaces a newer one.

    Parameters
    ----------
    order : callable
        Returns when the first of two items of a key was written, compared with
        the second one; used only for items of different epochs.
    is_kept : callable
        Returns whether an item stays although a restored store lacks it.

    Attributes
    ----------
    items : dict of str to StoredItem
        Items by key.
    revision : int
        Revision up to which no change is missing; 0 before the first answer.
    epoch : int
        Epoch of the store to which the revision belongs; 0 if no answer has
        stated one.
    """

    def __init__(
        self,
        order: Callable[[StoredItem, StoredItem], WritingOrder] = _no_order,
        is_kept: Callable[[StoredItem], bool] = _never,
    ) -> None:
        self._order = order
        self._is_kept = is_kept
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.epoch = 0
        #: Revisions of removals by key, so that an answer from before a removal
        #: does not restore the item.
        self._removal_revisions: dict[str, int] = {}
        #: Last items of removed keys, the oldest removal first.
        self._removed_items: dict[str, StoredItem] = {}
        #: Items that were removed before the store was restored, and that the
        #: restored store holds again.
        self._held: dict[str, StoredItem] = {}
        #: Removals up to this revision are no longer remembered.
        self._forgotten_revision = 0

    @property
    def held(self) -> Mapping[str, StoredItem]:
        """Items by key that are back in a restored store after their removal.

        They are not in `items` until their writer writes them again, or until
        `release` is called.
        """
        return self._held

    def release(self, key: str) -> ItemChange:
        """Take over an item of `held`, since the store has not removed it."""
        item = self._held.pop(key)
        self.items[key] = item
        return ItemChange(key, item)

    def changes_after(self, revision: int, epoch: int = 0) -> PrefixChanges:
        """Return the changes that an instance at a given revision lacks.

        Parameters
        ----------
        revision : int
            Revision that the other instance knows; 0 if it knows none.
        epoch : int
            Epoch to which that revision belongs; 0 for that of the copy.

        Returns
        -------
        PrefixChanges
            Changes after that revision; all items if it is 0 or of another
            epoch, or if not all removals since then are remembered.
        """
        is_known = revision and epoch in {0, self.epoch}
        if not is_known or revision < self._forgotten_revision:
            present = (*self.items.values(), *self._held.values())
            return PrefixChanges(
                present, self.revision, is_complete=True, epoch=self.epoch
            )
        changed: list[StoredItem | ItemRemoved] = [
            item for item in self.items.values() if item.revision > revision
        ]
        changed.extend(
            ItemRemoved(key, removed)
            for key, removed in self._removal_revisions.items()
            if removed > revision
        )
        return PrefixChanges(
            tuple(changed),
            self.revision,
            is_complete=False,
            epoch=self.epoch,
        )

    def apply(self, changes: PrefixChanges) -> tuple[ItemChange, ...]:
        """Apply an answer to the copy.

        Parameters
        ----------
        changes : PrefixChanges
            Answer of the store or of another instance. One of an earlier epoch
            is ignored, as is one of a later epoch that is not complete.

        Returns
        -------
        tuple of ItemChange
            Changes of the copy; empty if all was known.
        """
        epoch = changes.epoch or self.epoch
        if epoch != self.epoch and self.revision:
            if epoch < self.epoch or not changes.is_complete:
                return ()
            return tuple(self._adopt(changes))
        self.epoch = epoch
        found = list(self._apply_items(changes))
        if changes.is_complete and changes.revision >= self.revision:
            found.extend(self._remove_missing(changes))
            self._forget_removals(changes.revision)
        elif len(self._removal_revisions) > MAX_REMOVALS:
            # A late answer has a lower revision than the removals forgotten.
            self._forget_removals(max(self.revision, changes.revision))
        self.revision = max(self.revision, changes.revision)
        return tuple(found)

    def _adopt(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        """Replace the copy by the first list of a later epoch.

        A known item stays if its writer wrote it after the item in the list.
        It then has the revision of the list, so that every later write of the
        restored store replaces it.
        """
        known = self.items
        self.items = {}
        self._held.clear()
        listed = {item.key: item for item in changes.items}
        for key, item in listed.items():
            yield from self._adopt_item(item, known.get(key), changes.revision)
        for key, item in known.items():
            if key in listed:
                continue
            if self._is_kept(item):
                self.items[key] = _at_revision(item, changes.revision)
            else:
                yield ItemChange(key, None, is_reverted=True)
        self.epoch = changes.epoch
        self.revision = changes.revision
        self._removal_revisions.clear()
        self._forgotten_revision = changes.revision

    def _adopt_item(
        self, item: StoredItem, known: StoredItem | None, revision: int
    ) -> Iterator[ItemChange]:
        """Adopt an item of the first list of a later epoch.

        If its key had been removed and nothing shows that the item was written
        later, it is held back: its writer may be gone, or may remove it again.
        """
        key = item.key
        last = known or self._removed_items.get(key)
        if last is not None:
            order = self._order(item, last)
            if order is WritingOrder.EARLIER:
                item = _at_revision(last, max(revision, item.revision))
            elif known is None and order is WritingOrder.UNKNOWN:
                self._held[key] = item
                return
        self.items[key] = item
        if known is None or known.value != item.value:
            self._removed_items.pop(key, None)
            yield ItemChange(key, item)

    def _remember_removed(self, item: StoredItem) -> None:
        self._removed_items.pop(item.key, None)
        self._removed_items[item.key] = item
        if len(self._removed_items) > MAX_REMOVALS:
            del self._removed_items[next(iter(self._removed_items))]

    def _forget_removals(self, revision: int) -> None:
        self._removal_revisions.clear()
        self._forgotten_revision = max(self._forgotten_revision, revision)

    def _apply_items(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        for item in changes.items:
            key = item.key
            if item.revision <= self._known_revision(key):
                continue
            self._held.pop(key, None)
            if isinstance(item, ItemRemoved):
                self._removal_revisions[key] = item.revision
                removed = self.items.pop(key, None)
                if removed is not None:
                    self._remember_removed(removed)
                    yield ItemChange(key, None)
                continue
            self.items[key] = item
            self._removal_revisions.pop(key, None)
            self._removed_items.pop(key, None)
            yield ItemChange(key, item)

    def _known_revision(self, key: str) -> int:
        known = self.items.get(key)
        if known is not None:
            return known.revision
        return self._removal_revisions.get(key, self._forgotten_revision)

    def _remove_missing(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        present = {item.key for item in changes.items}
        for key in self._held.keys() - present:
            del self._held[key]
        for key, item in tuple(self.items.items()):
            if key in present or item.revision > changes.revision:
                continue
            del self.items[key]
            self._remember_removed(item)
            yield ItemChange(key, None)


def _at_revision(item: StoredItem, revision: int) -> StoredItem:
    return msgspec.structs.replace(item, revision=revision)
