"""Target list of the platform's store, which can be restored from a copy."""

from collections.abc import Collection
from typing import Final

import msgspec

from siskinproxy.emulator.clock import VirtualClock
from siskinproxy.entry.records import DecodedRecord, TargetRecord
from siskinproxy.entry.store import ItemRemoved, PrefixChanges, StoredItem

__all__ = ('EmulatedStore', 'decode_target')

_DECODER: Final = msgspec.msgpack.Decoder(TargetRecord)


def decode_target(item: StoredItem) -> DecodedRecord:
    """Return the record of a target that an item holds."""
    return _DECODER.decode(item.value)


class _Copy(msgspec.Struct, frozen=True):
    """List after a change."""

    taken_s: float
    items: dict[str, StoredItem]
    revision: int


class EmulatedStore:
    """Entries of targets with revisions, and copies of all earlier lists.

    Parameters
    ----------
    clock : VirtualClock
        Clock of the emulation.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._items: dict[str, StoredItem] = {}
        self._revision = 1
        self._epoch = 1
        self._copies = [_Copy(clock.now_s, {}, 1)]

    def write(self, record: TargetRecord) -> PrefixChanges:
        """Write the entry of a target; return the change."""
        self._revision += 1
        value = msgspec.msgpack.encode(record)
        item = StoredItem(record.name, value, self._revision)
        self._items[record.name] = item
        return self._publish(item)

    def remove(self, name: str) -> PrefixChanges:
        """Remove the entry of a target, if there is one; return the change."""
        self._revision += 1
        self._items.pop(name, None)
        return self._publish(ItemRemoved(name, self._revision))

    def read(self, names: Collection[str] | None = None) -> PrefixChanges:
        """Return the list of the targets with these names, of all if None."""
        listed = tuple(
            item
            for name, item in self._items.items()
            if names is None or name in names
        )
        return PrefixChanges(listed, self._revision, True, self._epoch)

    def restore(self, age_s: float) -> None:
        """Return to the list of some time ago, in seconds, in a new epoch."""
        oldest_s = self._clock.now_s - age_s
        while len(self._copies) > 1 and self._copies[-1].taken_s > oldest_s:
            self._copies.pop()
        copy = self._copies[-1]
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._epoch += 1

    def _publish(self, change: StoredItem | ItemRemoved) -> PrefixChanges:
        copy = _Copy(self._clock.now_s, dict(self._items), self._revision)
        self._copies.append(copy)
        return PrefixChanges((change,), self._revision, False, self._epoch)
