"""Number of flows in progress at each target, over all instances.

An instance sees only the flows that it opened. If instances selected targets
by their own counts alone, several of them would choose the same free target
and overload it. They therefore send each other load reports.
"""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.value_bounds import (
    DECODING_ERRORS,
    BoundedInt,
    Name,
)

__all__ = (
    'LoadReport',
    'LoadView',
    'decode_report',
    'foreign_receiver',
    'report_receivers',
)

#: Age from which on a report is discarded, in seconds: a few intervals.
MAX_REPORT_AGE_S: Final = 0.8
#: Time for which an instance counts as restarting after its last report was
#: discarded, in seconds; after that it counts as gone.
RESTART_WINDOW_S: Final = 4.0
#: Maximum number of instances that get the reports of one instance. If there
#: are more others, each receives reports only from a sample of the instances of
#: its zone and scales up their sum.
MAX_RECEIVERS: Final = 12


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load report of one instance, sent as a msgpack array.

    Parameters
    ----------
    instance : str
        Name of the instance.
    zone : str
        Availability zone of the instance.
    is_stopping : bool
        Whether the instance is shutting down.
    flows : dict of int to int
        Number of flows in progress that the instance opened, by token of the
        target; targets without flows are omitted.
    ended : tuple of int
        CRC-32 of the keys of flows that the receiver must neither count nor
        keep waiting any more: since its last report, the instance forwarded
        the closing packet of the flow without having opened it, or got its
        opening packet as a retransmission. After a change of the fabric, the
        packets of a flow pass through another instance than its first opening
        packet.
    zone_loads : dict of int to tuple of int
        Mean load of the targets of each zone, in hundredths of a request per
        slot, and its age in milliseconds, by
        `siskinproxy.entry.scheduling.rooms.zone_key`.
    needs : dict of int to int
        Need of the callers in thousandths of a slot, by
        `siskinproxy.entry.scheduling.demand.demand_key`.
    speeds : dict of int to tuple of int
        Response times since the last report, by token of the target: number
        and sum of their ratios to the usual times in percent.
    """

    instance: Name
    zone: Name
    is_stopping: bool
    flows: dict[BoundedInt, BoundedInt]
    ended: tuple[BoundedInt, ...] = ()
    zone_loads: dict[BoundedInt, tuple[BoundedInt, BoundedInt]] = {}
    needs: dict[BoundedInt, BoundedInt] = {}
    speeds: dict[BoundedInt, tuple[BoundedInt, BoundedInt]] = {}


_DECODER: Final = msgspec.msgpack.Decoder(LoadReport)


def decode_report(datagram: bytes) -> LoadReport | None:
    """Return the report in a datagram, None if it can't be decoded."""
    try:
        return _DECODER.decode(datagram)
    except DECODING_ERRORS:
        return None


def foreign_receiver(
    zone: str, instances: Sequence[InstanceRecord], turn: int
) -> InstanceRecord | None:
    """Return the instance of another zone that gets a report in this turn.

    Parameters
    ----------
    zone : str
        Zone of the sender.
    instances : sequence of InstanceRecord
        All registered instances.
    turn : int
        Number of the report; the instances take turns.

    Returns
    -------
    InstanceRecord or None
        None if there are no other zones, or if `report_receivers` returns all
        instances anyway.
    """
    if len(instances) - 1 <= MAX_RECEIVERS:
        return None
    foreign = [each for each in instances if each.zone != zone]
    return foreign[turn % len(foreign)] if foreign else None


def report_receivers(
    own: InstanceRecord, instances: Sequence[InstanceRecord]
) -> tuple[InstanceRecord, ...]:
    """Return the instances that get the reports of an instance.

    Parameters
    ----------
    own : InstanceRecord
        Instance that sends the reports.
    instances : sequence of InstanceRecord
        All registered instances.

    Returns
    -------
    tuple of InstanceRecord
        All others if they are at most `MAX_RECEIVERS`. Otherwise the next ones
        of the same zone in the cyclic order of names, so that each instance
        receives the reports of equally many.
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
    """Counts of the flows in progress, of this instance and from reports."""

    def __init__(self) -> None:
        self._own: dict[int, int] = {}
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._reported: dict[int, int] = {}
        self._sample_scale: float = 1
        self._is_sampled = False
        self._silent: dict[str, tuple[float, str]] = {}

    @property
    def is_sampled(self) -> bool:
        """Whether reports come from some instances of the own zone only."""
        return self._is_sampled

    @property
    def own_flows(self) -> Mapping[int, int]:
        """Number of flows in progress that this instance opened, by token."""
        return self._own

    def own_flows_of(self, target: KnownTarget) -> int:
        """Return the number of flows in progress that this instance opened."""
        return self._own.get(target.token, 0)

    def estimated_flows(self, target: KnownTarget) -> float:
        """Return the estimated number of flows in progress at a target.

        The estimate covers the flows of all instances, or those of all
        instances of the zone if there are so many that reports come from a
        sample. The counts of a sample are scaled up, so the estimate need not
        be an integer.
        """
        token = target.token
        own = self._own.get(token, 0)
        return own + self._sample_scale * self._reported.get(token, 0)

    def note_started(self, target: KnownTarget) -> None:
        """Count a flow that this instance opened at a target."""
        self._add_own(target.token, 1)

    def note_ended(self, target: KnownTarget) -> None:
        """Count the end of a flow that this instance opened at a target."""
        self._add_own(target.token, -1)

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Replace the counts of another instance by those of its new report.

        Parameters
        ----------
        report : LoadReport
            Received report.
        now_s : float
            Current time in seconds.
        """
        known = self._reports.get(report.instance)
        self._silent.pop(report.instance, None)
        self._reports[report.instance] = (now_s, report)
        if known is not None:
            self._subtract(known[1])
        for token, count in report.flows.items():
            self._reported[token] = self._reported.get(token, 0) + count

    def expire(self, now_s: float) -> None:
        """Discard reports that are older than `MAX_REPORT_AGE_S`."""
        for name, (received_s, report) in tuple(self._reports.items()):
            if now_s - received_s > MAX_REPORT_AGE_S:
                del self._reports[name]
                self._silent[name] = (now_s, report.zone)
                self._subtract(report)

    def update_sample_scale(
        self, zone: str, instances: Sequence[InstanceRecord]
    ) -> None:
        """Set the factor by which the counts from reports are scaled up.

        With more than `MAX_RECEIVERS` other instances, reports come from a
        sample of the zone's instances, and the sum of their counts is scaled to
        all instances of the zone.

        Parameters
        ----------
        zone : str
            Zone of this instance.
        instances : sequence of InstanceRecord
            All registered instances.
        """
        reporting = sum(
            report.zone == zone for _, report in self._reports.values()
        )
        self._is_sampled = len(instances) - 1 > MAX_RECEIVERS
        if not self._is_sampled or not reporting:
            self._sample_scale = 1
            return
        members = sum(each.zone == zone for each in instances)
        self._sample_scale = max((members - 1) / reporting, 1)

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
            Names of the instances whose last report says that they are
            stopping, and of those whose last report was discarded less than
            `RESTART_WINDOW_S` ago and that have sent none since.
        """
        stopping = [
            name
            for name, (_, report) in self._reports.items()
            if report.is_stopping and report.zone == zone
        ]
        silent = [
            name
            for name, (silent_since_s, last_zone) in self._silent.items()
            if last_zone == zone and now_s - silent_since_s < RESTART_WINDOW_S
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
            remaining = self._reported.get(token, 0) - count
            if remaining:
                self._reported[token] = remaining
            else:
                self._reported.pop(token, None)
