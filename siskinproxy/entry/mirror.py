"""Local copy of the store's items.

An instance uses it to find what an answer changes, and to send other instances
the changes that they lack.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

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
    """

    key: str
    item: StoredItem | None


class StoreMirror:
    """Copy of the store's items at the newest revision that is known.

    Answers of the store and of other instances may arrive in any order; an
    older item never replaces a newer one.

    Attributes
    ----------
    items : dict of str to StoredItem
        Items by key.
    revision : int
        Revision up to which no change is missing; 0 before the first answer.
    epoch : int
        Latest epoch of the store that an answer stated.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        self.epoch = 0
        #: Revisions of removals by key, so that an answer from before a removal
        #: does not restore the item.
        self._removal_revisions: dict[str, int] = {}
        #: Removals up to this revision are no longer remembered.
        self._forgotten_revision = 0

    def changes_after(self, revision: int) -> PrefixChanges:
        """Return the changes that an instance at a given revision lacks.

        Parameters
        ----------
        revision : int
            Revision that the other instance knows; 0 if it knows none.

        Returns
        -------
        PrefixChanges
            Changes after that revision; all items if it is 0 or if not all
            removals since then are remembered.
        """
        if revision < self._forgotten_revision or not revision:
            return PrefixChanges(
                tuple(self.items.values()), self.revision, is_complete=True
            )
        changed: list[StoredItem | ItemRemoved] = [
            item for item in self.items.values() if item.revision > revision
        ]
        changed.extend(
            ItemRemoved(key, removed)
            for key, removed in self._removal_revisions.items()
            if removed > revision
        )
        return PrefixChanges(tuple(changed), self.revision, is_complete=False)

    def apply(self, changes: PrefixChanges) -> tuple[ItemChange, ...]:
        """Apply an answer to the copy.

        Parameters
        ----------
        changes : PrefixChanges
            Answer of the store or of another instance.

        Returns
        -------
        tuple of ItemChange
            Changes of the copy; empty if all was known.
        """
        found = list(self._apply_items(changes))
        if changes.is_complete and changes.revision >= self.revision:
            found.extend(self._remove_missing(changes))
            self._forget_removals(changes.revision)
        elif len(self._removal_revisions) > MAX_REMOVALS:
            # A late answer has a lower revision than the removals forgotten.
            self._forget_removals(max(self.revision, changes.revision))
        self.revision = max(self.revision, changes.revision)
        self.epoch = max(self.epoch, changes.epoch)
        return tuple(found)

    def _forget_removals(self, revision: int) -> None:
        self._removal_revisions.clear()
        self._forgotten_revision = max(self._forgotten_revision, revision)

    def _apply_items(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        for item in changes.items:
            if item.revision <= self._known_revision(item.key):
                continue
            if isinstance(item, ItemRemoved):
                self._removal_revisions[item.key] = item.revision
                if self.items.pop(item.key, None) is not None:
                    yield ItemChange(item.key, None)
                continue
            self.items[item.key] = item
            self._removal_revisions.pop(item.key, None)
            yield ItemChange(item.key, item)

    def _known_revision(self, key: str) -> int:
        known = self.items.get(key)
        if known is not None:
            return known.revision
        return self._removal_revisions.get(key, self._forgotten_revision)

    def _remove_missing(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        present = {item.key for item in changes.items}
        for key, item in tuple(self.items.items()):
            if key not in present and item.revision <= changes.revision:
                del self.items[key]
                yield ItemChange(key, None)
