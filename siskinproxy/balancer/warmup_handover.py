"""Hand-over of running warm-ups when a shard gets another owner."""

from collections.abc import Mapping
from typing import Final

import msgspec

from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.balancer.snapshot import Member
from siskinproxy.errors import TunnelFormatError
from siskinproxy.instances.placement import ShardKey
from siskinproxy.instances.tunnel import DatagramKind
from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.target_state import TargetStatus

__all__ = ('WarmupHandover',)

#: Interval of the reports of an owner to the other homes.
_PUBLISH_PERIOD_S: Final = 0.5

#: Time for which an earlier owner repeats the hand-over, since datagrams may get
#: lost and instances change their views at different times.
_HANDOVER_REPEAT_S: Final = 2.0

#: Reports older than this are out of date. An admission that has run for this
#: time relies on its own observations instead of reports.
_REPORT_VALIDITY_S: Final = 5.0

#: Share of the full load that a target gets during its warm-up, by target name.
_Fractions = dict[str, float]


class WarmupReport(msgspec.Struct, frozen=True, array_like=True):
    """Targets of a shard that are in warm-up, as sent to its homes.

    Parameters
    ----------
    service : str
        Service of the shard.
    index : int
        Number of the shard.
    fractions : dict of str to float
        Share of the full load by target name; 0 before the first flow.
    """

    service: str
    index: int
    fractions: _Fractions


_DECODER = msgspec.msgpack.Decoder(WarmupReport)


class WarmupHandover:
    """Reports running warm-ups to the homes and to later owners of shards.

    Without a report a new owner treats all targets as warm, and a cold target
    fails under full load.

    Parameters
    ----------
    state : EngineState
        Tables and views.
    """

    __slots__ = (
        '_created_s',
        '_handovers',
        '_published_s',
        '_reported',
        '_state',
    )

    def __init__(self, state: EngineState) -> None:
        self._state = state
        # Share of the full load and time of the last report, by target name.
        self._reported: dict[str, tuple[float, float]] = {}
        self._created_s: dict[ShardKey, float] = {}
        # Released shards: end of the repetition and the shares to report.
        self._handovers: dict[ShardKey, tuple[float, _Fractions]] = {}
        self._published_s = float(0)

    def note_created(
        self, shard: ShardKey, admission: ShardAdmission, now_s: float
    ) -> None:
        """Apply the reports received so far to a new admission."""
        self._created_s[shard] = now_s
        for name, (fraction, heard_s) in self._reported.items():
            if now_s - heard_s <= _REPORT_VALIDITY_S:
                admission.resume_warmup(name, fraction, now_s)

    def hand_over(
        self,
        shard: ShardKey,
        admission: ShardAdmission,
        inactive: frozenset[str],
        now_s: float,
    ) -> None:
        """Begin to report the warm-ups of a released shard to its homes.

        Parameters
        ----------
        shard : ShardKey
            The shard.
        admission : ShardAdmission
            Admission of the shard at this instance.
        inactive : frozenset of str
            Names of the targets that got no flow yet, such as those of a zone
            that just returned to service.
        now_s : float
            Time in seconds.
        """
        fractions = _warmup_fractions(admission, now_s)
        fractions.update(dict.fromkeys(inactive, float(0)))
        if fractions:
            self._handovers[shard] = (now_s + _HANDOVER_REPEAT_S, fractions)
            self._send(shard, fractions)

    def publish(
        self, admissions: Mapping[ShardKey, ShardAdmission], now_s: float
    ) -> None:
        """Send the reports that are due, once per `_PUBLISH_PERIOD_S`."""
        if now_s - self._published_s < _PUBLISH_PERIOD_S:
            return
        self._published_s = now_s
        for shard, admission in admissions.items():
            fractions = _warmup_fractions(admission, now_s)
            if fractions:
                self._send(shard, fractions)
        for released, (until_s, unfinished) in list(self._handovers.items()):
            if released in admissions or now_s > until_s:
                self._handovers.pop(released)
            else:
                self._send(released, unfinished)

    def on_report(
        self,
        body: bytes,
        admissions: Mapping[ShardKey, ShardAdmission],
        now_s: float,
    ) -> None:
        """Apply the report of another home.

        Parameters
        ----------
        body : bytes
            Encoded `WarmupReport`.
        admissions : mapping of ShardKey to ShardAdmission
            Admissions of this instance.
        now_s : float
            Time in seconds.

        Raises
        ------
        TunnelFormatError
            If the body cannot be decoded as a `WarmupReport`.
        """
        try:
            report = _DECODER.decode(body)
        except msgspec.DecodeError as exc:
            raise TunnelFormatError(
                f'cannot decode warm-up report: {exc}'
            ) from exc
        for name, fraction in report.fractions.items():
            self._reported[name] = (fraction, now_s)
        shard = ShardKey(report.service, report.index)
        admission = admissions.get(shard)
        created_s = self._created_s.get(shard, now_s)
        if admission is not None and now_s - created_s <= _REPORT_VALIDITY_S:
            for target, share in report.fractions.items():
                admission.resume_warmup(target, share, now_s)

    def _send(self, shard: ShardKey, fractions: _Fractions) -> None:
        report = WarmupReport(shard.service, shard.index, fractions)
        body = msgspec.msgpack.encode(report)
        for home in self._homes(shard):
            if not self._state.is_self(home):
                self._state.send(home, DatagramKind.WARM_UP, body)

    def _homes(self, shard: ShardKey) -> tuple[Member, ...]:
        return self._state.views.current.homes(shard)


def _warmup_fractions(admission: ShardAdmission, now_s: float) -> _Fractions:
    return {
        report.name: report.warmup_fraction
        for report in admission.report(now_s)
        if report.status is TargetStatus.WARMING
    }
