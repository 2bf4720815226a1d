"""Builds the scheduler that the settings ask for."""

from collections.abc import Callable

from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.flow_reports import EventSink
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.scheduling.scheduler import Scheduler, SchedulingOptions
from siskinproxy.entry.settings import EntryLoad
from siskinproxy.entry.target_selection import Placer

__all__ = ('build_scheduler',)


def build_scheduler(
    load: EntryLoad,
    directory: TargetDirectory,
    routes: RouteTable,
    placer: Placer,
    loads: LoadView,
    zone: str,
    count_members: Callable[[], int],
    events: EventSink,
) -> Scheduler:
    """Return a scheduler, and let the placer use its speeds if asked for.

    Parameters
    ----------
    load : EntryLoad
        Section of the settings.
    directory, routes, loads, zone, count_members, events
        As `Scheduler`.
    placer : Placer
        Selects the targets of new flows.

    Returns
    -------
    Scheduler
        Scheduler to attach to the engine.
    """
    options = SchedulingOptions(
        load.lanes, load.refuse_early, load.learn_speeds
    )
    scheduler = Scheduler(
        directory, routes, options, loads, zone, count_members, events
    )
    if options.learns_speeds:
        placer.speeds = scheduler.speeds
    return scheduler
