"""Flows in progress at each target, as counted by all instances.

Answers the load of seconds in which targets are nearly busy: one instance sees
a part of the flows only, and two that see the same free target overload it.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.instances import InstanceRecord

__all__ = ('LoadReport', 'LoadView', 'decode_report', 'report_receivers')

#: Age from which a report is not used, in seconds: a few intervals.
REPORT_LIFE_S: Final = 0.8
#: Time after its last report in which an instance may be restarting, in
#: seconds; one that is silent for longer is gone.
RESTART_S: Final = 4.0
#: Instances that get the reports of one instance. A larger fleet is sampled:
#: the counts that are heard stand for those that are not.
MAX_RECEIVERS: Final = 12


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Flows in progress that one instance opened.

    Parameters
    ----------
    instance : str
        Name of the instance.
    zone : str
        Its availability zone.
    is_stopping : bool
        Whether it has been told to stop.
    flows : dict of int to int
        Flows in progress by token of the target; targets without flows are
        left out.
    ended : tuple of int
        Hashes of flows that ended at this instance since its last report and
        that it did not open: after a change of the fabric, the closing packet
        of a flow passes through another instance than its opening packet.
    """

    instance: str
    zone: str
    is_stopping: bool
    flows: dict[int, int]
    ended: tuple[int, ...] = ()


_DECODER: Final = msgspec.msgpack.Decoder(LoadReport)


def decode_report(datagram: bytes) -> LoadReport | None:
    """Return the report of a datagram, None if it holds none."""
    try:
        return _DECODER.decode(datagram)
    except msgspec.MsgspecError:
        return None


def report_receivers(
    own: InstanceRecord, instances: Sequence[InstanceRecord]
) -> tuple[InstanceRecord, ...]:
    """Return the instances that get the reports of an instance.

    Parameters
    ----------
    own : InstanceRecord
        Instance that reports.
    instances : sequence of InstanceRecord
        All registered instances.

    Returns
    -------
    tuple of InstanceRecord
        All others of a small fleet. In a larger one, the next ones of the own
        zone in the order of their names, so that each is heard by as many.
    """
    others = [each for each in instances if each.name != own.name]
    if len(others) <= MAX_RECEIVERS:
        return tuple(others)
    zone = sorted(
        (each for each in others if each.zone == own.zone),
        key=lambda each: (each.name < own.name, each.name),
    )
    return tuple(zone[:MAX_RECEIVERS])


class LoadView:
    """Sum of the own flows and of what other instances report."""

    def __init__(self) -> None:
        self._own: dict[int, int] = {}
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._others: dict[int, int] = {}
        self._scale: float = 1
        self._lost: dict[str, tuple[float, str]] = {}

    @property
    def own_flows(self) -> Mapping[int, int]:
        """Flows in progress by token that this instance opened."""
        return self._own

    def own(self, target: KnownTarget) -> int:
        """Return the flows of a target that this instance opened."""
        return self._own.get(target.token, 0)

    def flows(self, target: KnownTarget) -> float:
        """Return the estimated flows of a target from all instances."""
        token = target.token
        own = self._own.get(token, 0)
        return own + self._scale * self._others.get(token, 0)

    def note_started(self, target: KnownTarget) -> None:
        """Count a flow."""
        self._add_own(target.token, 1)

    def note_ended(self, target: KnownTarget) -> None:
        """Count the end of a flow that this instance opened."""
        self._add_own(target.token, -1)

    def hear(self, report: LoadReport, now_s: float) -> None:
        """Take over the report of another instance."""
        known = self._reports.get(report.instance)
        self._lost.pop(report.instance, None)
        self._reports[report.instance] = (now_s, report)
        if known is not None:
            self._subtract(known[1])
        for token, count in report.flows.items():
            self._others[token] = self._others.get(token, 0) + count

    def expire(self, now_s: float) -> None:
        """Forget reports of instances that are not heard any more."""
        for name, (heard_s, report) in tuple(self._reports.items()):
            if now_s - heard_s > REPORT_LIFE_S:
                del self._reports[name]
                self._lost[name] = (now_s, report.zone)
                self._subtract(report)

    def set_fleet(self, zone: str, instances: Sequence[InstanceRecord]) -> None:
        """Scale what is heard to the instances that place flows like this one.

        Parameters
        ----------
        zone : str
            Zone of this instance.
        instances : sequence of InstanceRecord
            All registered instances.
        """
        heard = len(self._reports)
        if len(instances) - 1 <= MAX_RECEIVERS or not heard:
            self._scale = 1
            return
        members = sum(each.zone == zone for each in instances)
        self._scale = max((members - 1) / heard, 1)

    def absent(self, zone: str, now_s: float) -> tuple[str, ...]:
        """Return the instances of a zone that are stopping or restarting.

        Parameters
        ----------
        zone : str
            Availability zone.
        now_s : float
            Current time in seconds.

        Returns
        -------
        tuple of str
            Those that report that they are stopping, and those that were
            heard a few seconds ago and are silent now.
        """
        stopping = [
            name
            for name, (_, report) in self._reports.items()
            if report.is_stopping and report.zone == zone
        ]
        silent = [
            name
            for name, (lost_s, lost_zone) in self._lost.items()
            if lost_zone == zone and now_s - lost_s < RESTART_S
        ]
        return (*stopping, *silent)

    def _add_own(self, token: int, change: int) -> None:
        count = self._own.get(token, 0) + change
        if count:
            self._own[token] = count
        else:
            self._own.pop(token, None)

    def _subtract(self, report: LoadReport) -> None:
        for token, count in report.flows.items():
            left = self._others.get(token, 0) - count
            if left:
                self._others[token] = left
            else:
                self._others.pop(token, None)
