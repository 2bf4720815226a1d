"""What an instance believes, fed by the store or by other instances."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

import msgspec

from siskinproxy.entry.directory import TargetChange, TargetDirectory
from siskinproxy.entry.instances import (
    INSTANCES_PREFIX,
    InstanceDirectory,
    InstanceRecord,
    decode_instance,
)
from siskinproxy.entry.mirror import StoreMirror
from siskinproxy.entry.records import (
    OperatorConfiguration,
    Statement,
    TargetRecord,
    UnusableRecord,
    ZoneTakenOut,
)
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.store import PrefixChanges, StoredItem

__all__ = ('Beliefs', 'Dialect', 'EventSink')


class EventSink(Protocol):
    """Where changes are reported."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Report a change."""


class Dialect(msgspec.Struct, frozen=True):
    """How the platform's store holds what targets and operators state.

    Parameters
    ----------
    prefix : str
        Start of the keys that matter.
    decode : callable
        Returns what an item of targets or operators states.
    """

    prefix: str
    decode: Callable[[StoredItem], Statement]


class _Source(msgspec.Struct, frozen=True):
    """Where an answer came from, for logs."""

    name: str
    may_have_lapsed: bool


class Beliefs:
    """Routes, zones and targets as last learned.

    Parameters
    ----------
    dialect : Dialect
        Translation of the store's items.
    directory : TargetDirectory
        Gets targets and zones.
    routes : RouteTable
        Gets configurations.
    instances : InstanceDirectory
        Gets registrations.
    events : EventSink
        Where changes are reported.
    """

    def __init__(
        self,
        dialect: Dialect,
        directory: TargetDirectory,
        routes: RouteTable,
        instances: InstanceDirectory,
        events: EventSink,
    ) -> None:
        self.mirror = StoreMirror()
        self._dialect = dialect
        self._instances = instances
        self._directory = directory
        self._routes = routes
        self._events = events
        self._stated: dict[str, Statement | InstanceRecord] = {}

    @property
    def is_complete(self) -> bool:
        """Whether a configuration is known."""
        return self._routes.version > 0

    def learn(
        self,
        changes: PrefixChanges,
        now_s: float,
        *,
        source: str,
        may_have_lapsed: bool = False,
    ) -> int:
        """Take over an answer of the store or of another instance.

        Parameters
        ----------
        changes : PrefixChanges
            Answer.
        now_s : float
            Current time in seconds.
        source : str
            Who answered, for logs.
        may_have_lapsed : bool
            Whether entries that are missing may have expired while the store
            was away.

        Returns
        -------
        int
            Number of items that differ from before.
        """
        origin = _Source(source, may_have_lapsed)
        found = self.mirror.apply(changes)
        for change in found:
            if change.item is None:
                self._withdraw(change.key, now_s, origin)
            else:
                self._take_over(change.key, change.item, now_s, origin)
        return len(found)

    def _take_over(
        self, key: str, item: StoredItem, now_s: float, origin: _Source
    ) -> None:
        statement = self._decode(item)
        earlier = self._stated.get(key)
        if not isinstance(statement, type(earlier)):
            self._withdraw(key, now_s, origin)
        self._stated[key] = statement
        self._state(statement, key, now_s, origin)

    def _decode(self, item: StoredItem) -> Statement | InstanceRecord:
        if not item.key.startswith(INSTANCES_PREFIX):
            return self._dialect.decode(item)
        record = decode_instance(item)
        return record or UnusableRecord('no registration of an instance')

    def _withdraw(self, key: str, now_s: float, origin: _Source) -> None:
        statement = self._stated.pop(key, None)
        if isinstance(statement, TargetRecord):
            found = self._directory.withdraw(
                statement.name, now_s, may_return=origin.may_have_lapsed
            )
            if found is not None:
                self._report_target(statement, found, origin)
        elif isinstance(statement, ZoneTakenOut):
            self._directory.return_zone(statement.zone, now_s)
            self._events.event(
                'zone_returned', zone=statement.zone, source=origin.name
            )
        elif isinstance(statement, InstanceRecord):
            self._instances.remove(statement.name, now_s)
            self._events.event(
                'instance_left', peer=statement.name, source=origin.name
            )

    @singledispatchmethod
    def _state(
        self,
        statement: Statement | InstanceRecord,
        key: str,
        now_s: float,
        origin: _Source,
    ) -> None:
        raise NotImplementedError(type(statement).__name__)

    @_state.register
    def _state_target(
        self, statement: TargetRecord, key: str, now_s: float, origin: _Source
    ) -> None:
        found = self._directory.announce(statement, now_s)
        if found is not TargetChange.UPDATED:
            self._report_target(statement, found, origin)

    @_state.register
    def _state_configuration(
        self,
        statement: OperatorConfiguration,
        key: str,
        now_s: float,
        origin: _Source,
    ) -> None:
        is_newer = self._routes.apply(statement, now_s)
        self._events.event(
            'config_applied' if is_newer else 'config_rejected',
            version=statement.version,
            in_force=self._routes.version,
            routes=len(statement.routes),
            source=origin.name,
        )

    @_state.register
    def _state_zone(
        self, statement: ZoneTakenOut, key: str, now_s: float, origin: _Source
    ) -> None:
        self._directory.take_zone_out(statement.zone, now_s)
        self._events.event(
            'zone_taken_out', zone=statement.zone, source=origin.name
        )

    @_state.register
    def _state_instance(
        self, statement: InstanceRecord, key: str, now_s: float, origin: _Source
    ) -> None:
        self._instances.register(statement)
        self._events.event(
            'instance_joined', peer=statement.name, source=origin.name
        )

    @_state.register
    def _state_nothing(
        self, statement: UnusableRecord, key: str, now_s: float, origin: _Source
    ) -> None:
        self._events.event(
            'record_unusable',
            key=key,
            reason=statement.reason,
            source=origin.name,
        )

    def _report_target(
        self, record: TargetRecord, change: TargetChange, origin: _Source
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
