"""Status page: what an instance knows and does, as JSON for operators."""

import time
from typing import Any

import msgspec

from siskinproxy.entry.audit import AuditEntry
from siskinproxy.entry.cluster_state import UnusableEntry
from siskinproxy.entry.directory import KnownTarget, Presence

__all__ = (
    'STATUS_PATH',
    'InstanceStatus',
    'StatusPage',
    'TargetView',
    'state_of',
)

#: HTTP path of the page, on the server that also serves the metrics.
STATUS_PATH = '/status'


class TargetView(msgspec.Struct, frozen=True):
    """A target as one instance sees it.

    Parameters
    ----------
    name, service, zone : str
        Name, service and availability zone that the target announced.
    state : str
        Result of `state_of`.
    flows : int
        Open flows that this instance has placed on the target.
    suspected_for_s : float or None
        Time since the target is suspected, in seconds; None if it is not.
    witnesses : tuple of str
        Instances on whose evidence it is suspected; ``own check`` stands for a
        check of this one.
    """

    name: str
    service: str
    zone: str
    state: str
    flows: int
    suspected_for_s: float | None = None
    witnesses: tuple[str, ...] = ()


class InstanceStatus(msgspec.Struct, frozen=True):
    """State of an instance, and what it knows from the store.

    Parameters
    ----------
    name, zone : str
        Name and availability zone of the instance.
    readiness : str
        Whether the network fabric should deliver packets to the instance.
    uptime_s : float
        Time since the start of the process, in seconds.
    config_version : int
        Version of the configuration in force; 0 before the first one.
    routes : int
        Number of routes in force.
    belief_age_s : float or None
        Time since the store last confirmed that this state is current, in
        seconds; None before the first confirmation.
    revision : int
        Newest revision of the store that the instance knows.
    source : str
        Store or instance that answered the last query for changes; empty
        before the first answer.
    zones_out : tuple of str
        Availability zones out of service, sorted.
    targets : tuple of TargetView
        Known targets, sorted by name.
    instances : dict of str to str
        Availability zones of the registered instances by their name.
    flows : int
        Flows that this instance opened and still tracks.
    waiting : int
        New flows that wait for a target.
    changes : tuple of AuditEntry
        Changes by operators, the oldest first.
    unusable : tuple of UnusableEntry
        Entries of the store that are not in use as written.
    epoch : int
        Epoch of the store to which the revision belongs; it rises each time the
        store is restored from a copy.
    """

    name: str
    zone: str
    readiness: str
    uptime_s: float
    config_version: int
    routes: int
    belief_age_s: float | None
    revision: int
    source: str
    zones_out: tuple[str, ...]
    targets: tuple[TargetView, ...]
    instances: dict[str, str]
    flows: int
    waiting: int
    changes: tuple[AuditEntry, ...]
    unusable: tuple[UnusableEntry, ...] = ()
    epoch: int = 0


def state_of(target: KnownTarget, now_s: float, *, is_suspected: bool) -> str:
    """Return the state of a target as one word.

    Parameters
    ----------
    target : KnownTarget
        Target.
    now_s : float
        Current time in seconds.
    is_suspected : bool
        Whether the target gets no new flows because it left opening packets
        unanswered.

    Returns
    -------
    str
        The first that applies: ``lapsed`` or ``gone``, as in `Presence`;
        ``draining`` if the target is about to leave; ``suspected``; ``cold``
        if it is warming up, with reduced capacity; else ``in_use``.
    """
    if target.presence is not Presence.LISTED:
        return target.presence.value
    if target.record.is_draining:
        return 'draining'
    if is_suspected:
        return 'suspected'
    return 'cold' if target.is_cold(now_s) else 'in_use'


class StatusPage:
    """Builds the status page of an entry process.

    Parameters
    ----------
    process : EntryProcess
        Process whose state is shown.
    """

    def __init__(self, process: Any) -> None:
        self._process = process

    def build(self, now_s: float) -> InstanceStatus:
        """Return the current status.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        InstanceStatus
            Status at this time.
        """
        process = self._process
        registered = process.instances.registered()
        return InstanceStatus(
            name=process.record.name,
            zone=process.record.zone,
            readiness=process.readiness.value,
            uptime_s=now_s - process.started_s,
            config_version=process.routes.version,
            routes=len(process.routes),
            belief_age_s=process.follower.age_s(now_s),
            revision=process.cluster_state.mirror.revision,
            source=process.follower.source_name,
            zones_out=tuple(sorted(process.directory.zones_out)),
            targets=self._targets(now_s),
            instances={each.name: each.zone for each in registered},
            flows=len(process.engine.flows),
            waiting=len(process.engine.waiting),
            changes=process.audit.entries(),
            unusable=process.cluster_state.unusable(),
            epoch=process.cluster_state.mirror.epoch,
        )

    def render(self) -> bytes:
        """Return the status as JSON."""
        return msgspec.json.encode(self.build(time.monotonic()))

    def _targets(self, now_s: float) -> tuple[TargetView, ...]:
        targets = self._process.directory.targets()
        views = [self._view_of(target, now_s) for target in targets]
        return tuple(sorted(views, key=lambda view: view.name))

    def _view_of(self, target: KnownTarget, now_s: float) -> TargetView:
        responsiveness = self._process.responsiveness
        is_suspected = responsiveness.is_suspected(target)
        suspected_for_s = None
        witnesses: tuple[str, ...] = ()
        if is_suspected:
            since_s, witnesses = responsiveness.suspicion_of(target)
            suspected_for_s = round(now_s - since_s, 3)
        return TargetView(
            name=target.name,
            service=target.record.service,
            zone=target.record.zone,
            state=state_of(target, now_s, is_suspected=is_suspected),
            flows=self._process.loads.own_flows.get(target.token, 0),
            suspected_for_s=suspected_for_s,
            witnesses=witnesses,
        )
