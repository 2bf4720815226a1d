"""Copy of the store's items."""

from collections.abc import Iterator
from typing import Final

import msgspec

from siskinproxy.entry.store import ItemRemoved, PrefixChanges, StoredItem

__all__ = ('ItemChange', 'StoreMirror')

#: Removals that are kept; an instance that is further behind gets all items.
MAX_REMOVALS: Final = 1000


class ItemChange(msgspec.Struct, frozen=True):
    """Item that differs from what was known.

    Parameters
    ----------
    key : str
        Key.
    item : StoredItem or None
        New item; None if the key was removed.
    """

    key: str
    item: StoredItem | None


class StoreMirror:
    """Items at the newest revision that was learned.

    Answers of the store and of other instances may arrive in any order; an
    older one never replaces a newer one.

    Attributes
    ----------
    items : dict of str to StoredItem
        Items by key.
    revision : int
        Revision up to which the items are complete; 0 before the first answer.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        #: Revisions of removals, so that an older answer restores nothing.
        self._removed: dict[str, int] = {}
        #: Removals up to this revision are not known.
        self._floor = 0

    def changes_after(self, revision: int) -> PrefixChanges:
        """Return what an instance lacks that knows a revision.

        Parameters
        ----------
        revision : int
            Revision that the other instance knows; 0 for none.

        Returns
        -------
        PrefixChanges
            Changes after that revision, or all items.
        """
        if revision < self._floor or not revision:
            return PrefixChanges(
                tuple(self.items.values()), self.revision, is_complete=True
            )
        changed: list[StoredItem | ItemRemoved] = [
            item for item in self.items.values() if item.revision > revision
        ]
        changed.extend(
            ItemRemoved(key, removed)
            for key, removed in self._removed.items()
            if removed > revision
        )
        return PrefixChanges(tuple(changed), self.revision, is_complete=False)

    def apply(self, changes: PrefixChanges) -> tuple[ItemChange, ...]:
        """Take over an answer.

        Parameters
        ----------
        changes : PrefixChanges
            Answer of the store or of another instance.

        Returns
        -------
        tuple of ItemChange
            What differs from before.
        """
        found = list(self._written(changes))
        if changes.is_complete and changes.revision >= self.revision:
            found.extend(self._missing(changes))
            self._forget_removals(changes.revision)
        elif len(self._removed) > MAX_REMOVALS:
            self._forget_removals(changes.revision)
        self.revision = max(self.revision, changes.revision)
        return tuple(found)

    def _forget_removals(self, revision: int) -> None:
        self._removed.clear()
        self._floor = max(self._floor, revision)

    def _written(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        for item in changes.items:
            if item.revision <= self._newest(item.key):
                continue
            if isinstance(item, ItemRemoved):
                self._removed[item.key] = item.revision
                if self.items.pop(item.key, None) is not None:
                    yield ItemChange(item.key, None)
                continue
            self.items[item.key] = item
            self._removed.pop(item.key, None)
            yield ItemChange(item.key, item)

    def _newest(self, key: str) -> int:
        known = self.items.get(key)
        if known is not None:
            return known.revision
        return self._removed.get(key, self._floor)

    def _missing(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        present = {item.key for item in changes.items}
        for key, item in tuple(self.items.items()):
            if key not in present and item.revision <= changes.revision:
                del self.items[key]
                yield ItemChange(key, None)
