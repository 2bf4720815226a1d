"""Engines of emulated instances: their parts, configuration and factory."""

from collections.abc import Callable
from typing import Any, Final

import msgspec

from siskinproxy.emulator.day import Day
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.engine import (
    EngineTiming,
    EntryEngine,
    EventSink,
    Outbox,
)
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.packets import RST, PacketCodec, PacketHeader
from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
)
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.scheduling.scheduler import (
    Scheduler,
    SchedulingOptions,
)
from siskinproxy.entry.target_selection import Placer

__all__ = (
    'EngineFactory',
    'EngineParts',
    'HeaderCodec',
    'NullEventLog',
    'build_configuration',
    'build_engine',
    'build_scheduling_engine',
    'class_number_of',
    'destination_of',
)

#: Everything that the settings can ask for.
ALL_OPTIONS: Final = SchedulingOptions(
    lanes=True, refuses_early=True, learns_speeds=True
)
_IDLE_TIMEOUT_S: Final = 15.0
_MS_PER_S: Final = 1000


def destination_of(number: int) -> bytes:
    """Return the virtual address and port of a request class, 6 bytes."""
    return bytes((198, 18, 0, 1 + number, 1, 187))


def class_number_of(destination: bytes) -> int:
    """Return the number of the request class of a destination."""
    return destination[3] - 1


def build_configuration(day: Day) -> OperatorConfiguration:
    """Return a configuration with one route for each request class."""
    return OperatorConfiguration(
        version=1,
        routes=tuple(
            RouteRecord(
                name=each.name,
                destination=destination_of(number),
                shares=(ServiceShare(each.service, 1),),
                kind=each.kind,
                deadline_s=each.deadline_ms / _MS_PER_S,
                objective_s=each.aim_ms / _MS_PER_S,
                priority=each.priority,
            )
            for number, each in enumerate(day.classes)
        ),
        services=tuple(
            ServiceRecord(
                each.name, '/', 2000, each.cold_s, each.cold_rate_per_s
            )
            for each in day.services
        ),
        idle_timeout_s=_IDLE_TIMEOUT_S,
    )


class HeaderCodec:
    """Codec for emulated packets, which are header objects without payload."""

    def decode_header(self, packet: Any) -> PacketHeader:
        """Return the header, which is the packet."""
        return packet

    def frame_for_target(self, target_id: int, token: int, packet: Any) -> Any:
        """Return the packet as it is."""
        return packet

    def build_reset(self, head: PacketHeader) -> PacketHeader:
        """Return the header of a reset."""
        return PacketHeader(
            head.flow, head.destination, RST, head.sequence, 0, 0, 0
        )

    def caller_address(self, head: PacketHeader) -> Address:
        """Return an address that no target has."""
        return Address('caller', int.from_bytes(head.flow[:6]))


class NullEventLog:
    """Event log that discards all events."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Discard an event."""

    def error(self, name: str, /, **pairs: Any) -> None:
        """Discard an error."""


class EngineParts(msgspec.Struct, frozen=True):
    """What an engine is built from.

    Parameters
    ----------
    instance : InstanceRecord
        Instance that runs the engine.
    codec, directory, routes, placer, responsiveness, outbox, events
        As `EntryEngine`.
    loads : LoadView
        Number of flows in progress at each target.
    count_members : callable
        Returns the number of instances of the zone.
    """

    instance: InstanceRecord
    codec: PacketCodec
    directory: TargetDirectory
    routes: RouteTable
    placer: Placer
    responsiveness: Responsiveness
    outbox: Outbox
    events: EventSink
    loads: LoadView
    count_members: Callable[[], int]


EngineFactory = Callable[[EngineParts], EntryEngine]


def build_engine(
    parts: EngineParts, timing: EngineTiming | None = None
) -> EntryEngine:
    """Build the engine of an instance.

    Parameters
    ----------
    parts : EngineParts
        Parts of the engine.
    timing : EngineTiming or None
        Timeouts and intervals; the product's if None.

    Returns
    -------
    EntryEngine
        Engine that makes no decisions under scarcity.
    """
    return EntryEngine(
        parts.codec,
        parts.directory,
        parts.routes,
        parts.placer,
        parts.responsiveness,
        parts.outbox,
        parts.events,
        timing,
    )


def build_scheduling_engine(
    parts: EngineParts, options: SchedulingOptions = ALL_OPTIONS
) -> EntryEngine:
    """Build the engine of an instance with decisions under scarcity.

    Parameters
    ----------
    parts : EngineParts
        Parts of the engine.
    options : SchedulingOptions
        What the settings ask for; all by default.

    Returns
    -------
    EntryEngine
        Engine.
    """
    scheduler = Scheduler(
        parts.directory,
        parts.routes,
        options,
        parts.loads,
        parts.instance.zone,
        parts.count_members,
        parts.events,
    )
    if options.learns_speeds:
        parts.placer.speeds = scheduler.speeds
    engine = build_engine(parts)
    engine.attach(scheduler)
    return engine
