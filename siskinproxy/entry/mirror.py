"""Copy of the store's items under one prefix."""

from collections.abc import Iterator

import msgspec

from siskinproxy.entry.store import ItemRemoved, PrefixChanges, StoredItem

__all__ = ('ItemChange', 'PrefixMirror')


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


class PrefixMirror:
    """Items of a prefix at the newest revision that was learned.

    Answers of the store and of other instances may arrive in any order; an
    older one never replaces a newer one.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.revision = 0
        #: Revisions of removals, so that an older answer restores nothing.
        self._removed: dict[str, int] = {}

    def snapshot(self) -> PrefixChanges:
        """Return all items."""
        return PrefixChanges(
            tuple(self.items.values()), self.revision, is_complete=True
        )

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
            self._removed.clear()
            found.extend(self._missing(changes))
        self.revision = max(self.revision, changes.revision)
        return tuple(found)

    def _written(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        for item in changes.items:
            known = self.items.get(item.key)
            newest = known.revision if known else self._removed.get(item.key, 0)
            if item.revision <= newest:
                continue
            if isinstance(item, ItemRemoved):
                self._removed[item.key] = item.revision
                if self.items.pop(item.key, None) is not None:
                    yield ItemChange(item.key, None)
                continue
            self.items[item.key] = item
            self._removed.pop(item.key, None)
            yield ItemChange(item.key, item)

    def _missing(self, changes: PrefixChanges) -> Iterator[ItemChange]:
        present = {item.key for item in changes.items}
        for key, item in tuple(self.items.items()):
            if key not in present and item.revision <= changes.revision:
                self._removed[key] = changes.revision
                del self.items[key]
                yield ItemChange(key, None)
