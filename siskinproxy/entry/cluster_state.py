"""State of the system as an instance knows it from the store.

`ClusterState` decodes the changes of the store and applies them to the
directories of targets and instances and to the route table. The changes arrive
from the store itself or from another instance.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Final, Protocol

import msgspec

from siskinproxy.entry.directory import TargetChange, TargetDirectory
from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceDirectory,
    InstanceRecord,
    decode_instance,
)
from siskinproxy.entry.mirror import ItemChange, StoreMirror
from siskinproxy.entry.records import (
    DecodedRecord,
    OperatorConfiguration,
    TargetRecord,
    UnusableRecord,
    WritingOrder,
    ZoneTakenOut,
    order_of_writing,
)
from siskinproxy.entry.restored import Deadlines, RestoreTiming, grace_s
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.store import PrefixChanges, StoredItem
from siskinproxy.entry.supervision import run_isolated

__all__ = ('ClusterState', 'EventSink', 'StoreSchema', 'UnusableEntry')

#: Faults of one configuration that are logged, one line each. The status page
#: shows all.
MAX_REPORTED_FAULTS: Final = 20


class EventSink(Protocol):
    """Receiver of events, such as the log."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Report an event with its key-value pairs."""

    def error(self, name: str, /, **pairs: Any) -> None:
        """Report an error with its key-value pairs."""


class StoreSchema(msgspec.Struct, frozen=True):
    """Layout of the platform's store: which keys to follow, how to decode.

    Parameters
    ----------
    prefix : str
        Common prefix of the keys to follow.
    decode : callable
        Decodes an item that targets or operators wrote.
    """

    prefix: str
    decode: Callable[[StoredItem], DecodedRecord]


class UnusableEntry(msgspec.Struct, frozen=True):
    """An entry of the store that is not in use, or a part of one.

    Parameters
    ----------
    key : str
        Key of the entry.
    part : str
        Kind and name of the faulty part of a configuration, such as ``route
        desk``; empty if the whole entry is unusable.
    field, value, reason : str
        Field that cannot be read, its value as text, and what is wrong.
    """

    key: str
    part: str
    field: str
    value: str
    reason: str


class _Origin(msgspec.Struct, frozen=True):
    """Source of an answer, and whether its missing entries may have lapsed.

    Parameters
    ----------
    name : str
        Name of the source, for events.
    may_have_lapsed : bool
        Whether missing entries may only have expired because their owners
        could not renew them while the store was unavailable.
    """

    name: str
    may_have_lapsed: bool


class ClusterState:
    """Routes, zones, targets and instances as last learned.

    Parameters
    ----------
    store_schema : StoreSchema
        Layout of the platform's store.
    directory : TargetDirectory
        Updated with targets and with zones out of service.
    routes : RouteTable
        Updated with configurations.
    instances : InstanceDirectory
        Updated with registrations of instances.
    events : EventSink
        Where changes are reported.

    Attributes
    ----------
    mirror : StoreMirror
        Copy of the store's items.
    restore_timing : RestoreTiming
        How long entries stay as known after the store was restored.
    """

    def __init__(
        self,
        store_schema: StoreSchema,
        directory: TargetDirectory,
        routes: RouteTable,
        instances: InstanceDirectory,
        events: EventSink,
    ) -> None:
        self.mirror = StoreMirror(self._order, self._is_kept)
        self.restore_timing = RestoreTiming()
        self._store_schema = store_schema
        self._instances = instances
        self._directory = directory
        self._routes = routes
        self._events = events
        self._records: dict[str, DecodedRecord | InstanceRecord] = {}
        #: Entries in use that the restored store lacks.
        self._missing = Deadlines()
        #: Entries that are back in the restored store, but not in use.
        self._returned = Deadlines()

    def unusable(self) -> tuple[UnusableEntry, ...]:
        """Return the entries, and parts of them, that are not in use.

        Returns
        -------
        tuple of UnusableEntry
            Sorted by key.
        """
        found = []
        for key, record in sorted(self._records.items()):
            if isinstance(record, UnusableRecord):
                found.append(
                    UnusableEntry(
                        key, '', record.field, record.value, record.reason
                    )
                )
            elif isinstance(record, OperatorConfiguration):
                found += [
                    UnusableEntry(
                        key,
                        fault.subject,
                        fault.field,
                        fault.value,
                        fault.reason,
                    )
                    for fault in record.faults
                ]
        return tuple(found)

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration has been applied."""
        return self._routes.version > 0

    def apply_changes(
        self,
        changes: PrefixChanges,
        now_s: float,
        *,
        source: str,
        may_have_lapsed: bool = False,
    ) -> int:
        """Apply an answer of the store or of another instance.

        Parameters
        ----------
        changes : PrefixChanges
            Items of the answer.
        now_s : float
            Current time in seconds.
        source : str
            Name of the source that answered, for events.
        may_have_lapsed : bool
            Whether missing entries may only have expired because their owners
            could not renew them while the store was unavailable.

        Returns
        -------
        int
            Number of items that differ from before.
        """
        origin = _Origin(source, may_have_lapsed)
        is_restored = self._is_restored(changes)
        if is_restored:
            self._report_epoch(changes, source)
        found = self.mirror.apply(changes)
        for change in found:
            self._apply_isolated(change, now_s, origin)
        if is_restored:
            self._set_deadlines(now_s)
        return len(found)

    def expire(self, now_s: float) -> None:
        """Let the state of a restored store count for entries that are due.

        Parameters
        ----------
        now_s : float
            Current time in seconds.
        """
        origin = _Origin('restored', may_have_lapsed=False)
        for key in self._missing.take_due(now_s):
            self._remove_record(key, now_s, origin)
        for key in self._returned.take_due(now_s):
            if key in self.mirror.held:
                change = self.mirror.release(key)
                self._apply_isolated(change, now_s, origin)

    def _is_restored(self, changes: PrefixChanges) -> bool:
        """Return whether an answer is of a later epoch than the known items."""
        return changes.epoch > self.mirror.epoch and self.mirror.revision > 0

    def _apply_isolated(
        self, change: ItemChange, now_s: float, origin: _Origin
    ) -> None:
        """Apply a change; an entry that can't be applied is not in use."""
        key = change.key
        if not run_isolated(
            self._events, key, self._apply_change, change, now_s, origin
        ):
            run_isolated(
                self._events, key, self._remove_record, key, now_s, origin
            )
            self._records[key] = UnusableRecord('entry could not be applied')

    def _apply_change(
        self, change: ItemChange, now_s: float, origin: _Origin
    ) -> None:
        if change.item is not None:
            self._apply_item(change.key, change.item, now_s, origin)
        elif change.is_reverted:
            self._keep_missing(change.key, now_s, origin)
        else:
            self._remove_record(change.key, now_s, origin)

    def _keep_missing(self, key: str, now_s: float, origin: _Origin) -> None:
        """Keep an entry for a time, since its writer may write it again.

        The directory has a state of its own for targets that may return.
        """
        record = self._records[key]
        if isinstance(record, TargetRecord):
            may_return = _Origin(origin.name, may_have_lapsed=True)
            self._remove_record(key, now_s, may_return)
        else:
            due_s = now_s + grace_s(record, self.restore_timing)
            self._missing.set(key, due_s)

    def _set_deadlines(self, now_s: float) -> None:
        held = self.mirror.held
        for key, item in held.items():
            grace = grace_s(self._decode(item), self.restore_timing)
            self._returned.set(key, now_s + grace)
        self._events.event(
            'restore_applied',
            epoch=self.mirror.epoch,
            missing=len(self._missing),
            held=len(held),
            config=self._routes.version,
        )

    def _order(self, item: StoredItem, other: StoredItem) -> WritingOrder:
        return order_of_writing(self._decode(item), self._decode(other))

    def _is_kept(self, item: StoredItem) -> bool:
        """Return whether an item stays although a restored store lacks it.

        A configuration that was accepted stays in force, and instances that
        start get it from others.
        """
        return isinstance(self._records.get(item.key), OperatorConfiguration)

    def _report_epoch(self, changes: PrefixChanges, source: str) -> None:
        mirror = self.mirror
        self._events.event(
            'store_restored',
            epoch=changes.epoch,
            revision=changes.revision,
            known_epoch=mirror.epoch,
            known_revision=mirror.revision,
            source=source,
        )

    def _apply_item(
        self, key: str, item: StoredItem, now_s: float, origin: _Origin
    ) -> None:
        self._missing.cancel(key)
        record = self._decode(item)
        earlier = self._records.get(key)
        if not isinstance(record, type(earlier)):
            self._remove_record(key, now_s, origin)
        self._records[key] = record
        self._apply_record(record, key, now_s, origin)

    def _decode(self, item: StoredItem) -> DecodedRecord | InstanceRecord:
        if not item.key.startswith(INSTANCES_PREFIX):
            return self._store_schema.decode(item)
        record = decode_instance(item)
        return record or UnusableRecord('no valid registration under this key')

    def _remove_record(self, key: str, now_s: float, origin: _Origin) -> None:
        record = self._records.pop(key, None)
        if isinstance(record, TargetRecord):
            found = self._directory.withdraw(
                record.name, now_s, may_return=origin.may_have_lapsed
            )
            if found is not None:
                self._report_target(record, found, origin)
        elif isinstance(record, ZoneTakenOut):
            self._directory.return_zone(record.zone, now_s)
            self._events.event(
                'zone_returned', zone=record.zone, source=origin.name
            )
        elif isinstance(record, InstanceRecord):
            self._instances.remove(record.name, now_s)
            self._events.event(
                'instance_left', peer=record.name, source=origin.name
            )

    @singledispatchmethod
    def _apply_record(
        self,
        record: DecodedRecord | InstanceRecord,
        key: str,
        now_s: float,
        origin: _Origin,
    ) -> None:
        raise NotImplementedError(type(record).__name__)

    @_apply_record.register
    def _apply_target(
        self, record: TargetRecord, key: str, now_s: float, origin: _Origin
    ) -> None:
        found = self._directory.announce(record, now_s)
        if found is not TargetChange.UPDATED:
            self._report_target(record, found, origin)

    @_apply_record.register
    def _apply_configuration(
        self,
        record: OperatorConfiguration,
        key: str,
        now_s: float,
        origin: _Origin,
    ) -> None:
        is_newer = self._routes.apply(record, now_s)
        self._events.event(
            'config_applied' if is_newer else 'config_rejected',
            version=record.version,
            in_force=self._routes.version,
            routes=len(record.routes),
            faults=len(record.faults),
            source=origin.name,
        )
        for fault in record.faults[:MAX_REPORTED_FAULTS]:
            self._events.event(
                'config_part_unusable' if fault.is_rejected else 'config_fault',
                key=key,
                version=record.version,
                part=fault.subject,
                field=fault.field,
                value=fault.value,
                reason=fault.reason,
                source=origin.name,
            )

    @_apply_record.register
    def _apply_zone_out(
        self, record: ZoneTakenOut, key: str, now_s: float, origin: _Origin
    ) -> None:
        self._directory.take_zone_out(record.zone, now_s)
        self._events.event(
            'zone_taken_out', zone=record.zone, source=origin.name
        )

    @_apply_record.register
    def _apply_instance(
        self, record: InstanceRecord, key: str, now_s: float, origin: _Origin
    ) -> None:
        self._instances.register(record)
        self._events.event(
            'instance_joined', peer=record.name, source=origin.name
        )

    @_apply_record.register
    def _report_unusable(
        self, record: UnusableRecord, key: str, now_s: float, origin: _Origin
    ) -> None:
        self._events.event(
            'record_unusable',
            key=key,
            field=record.field,
            value=record.value,
            reason=record.reason,
            source=origin.name,
        )

    def _report_target(
        self, record: TargetRecord, change: TargetChange, origin: _Origin
    ) -> None:
        self._events.event(
            'target_changed',
            target=record.name,
            change=change.value,
            service=record.service,
            zone=record.zone,
            cold_ms=round(1000 * record.warmup_left_s),
            revision=record.revision,
            source=origin.name,
        )
