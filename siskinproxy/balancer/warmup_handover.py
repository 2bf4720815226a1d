"""Hand-over of running warm-ups when a shard gets another owner."""

from collections.abc import Mapping
from typing import Final

import msgspec

from siskinproxy.balancer.engine_state import EngineState
from siskinproxy.balancer.snapshot import Member
from siskinproxy.errors import TunnelFormatError
from siskinproxy.instances.placement import ShardKey
from siskinproxy.instances.tunnel import Kind
from siskinproxy.targets.admission import ShardAdmission
from siskinproxy.targets.target_state import TargetStatus

__all__ = ('WarmupHandover',)

_PUBLISH_PERIOD_S: Final = 0.5

#: Time for which an earlier owner repeats the hand-over, since datagrams may be
#: lost and views change at different times.
_HANDOVER_S: Final = 2.0

#: A report that is older says nothing about a target any more, and an admission
#: that has run for this time has its own evidence.
_FRESH_S: Final = 5.0

_Fractions = dict[str, float]


class WarmupReport(msgspec.Struct, frozen=True, array_like=True):
    """Targets of a shard that do not bear their full load yet.

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
    """Tells homes and later owners which targets are cold.

    A new owner would otherwise take all targets as warm, and a cold target
    fails under full load.

    Parameters
    ----------
    state : EngineState
        Tables and views.
    """

    __slots__ = ('_created_s', '_known', '_published_s', '_sending', '_state')

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._known: dict[str, tuple[float, float]] = {}
        self._created_s: dict[ShardKey, float] = {}
        self._sending: dict[ShardKey, tuple[float, _Fractions]] = {}
        self._published_s = float(0)

    def note_created(
        self, shard: ShardKey, admission: ShardAdmission, now_s: float
    ) -> None:
        """Apply what is known to an admission that was just created."""
        self._created_s[shard] = now_s
        for name, (fraction, heard_s) in self._known.items():
            if now_s - heard_s <= _FRESH_S:
                admission.resume_warmup(name, fraction, now_s)

    def hand_over(
        self,
        shard: ShardKey,
        admission: ShardAdmission,
        inactive: frozenset[str],
        now_s: float,
    ) -> None:
        """Begin to tell the new owner about a shard that was given up.

        Parameters
        ----------
        shard : ShardKey
            The shard.
        admission : ShardAdmission
            Its admission here.
        inactive : frozenset of str
            Targets that had no flow yet, such as those of a zone that just
            returned to service.
        now_s : float
            Time in seconds.
        """
        fractions = _cold_targets(admission, now_s)
        fractions.update(dict.fromkeys(inactive, float(0)))
        if fractions:
            self._sending[shard] = (now_s + _HANDOVER_S, fractions)
            self._send(shard, fractions)

    def publish(
        self, admissions: Mapping[ShardKey, ShardAdmission], now_s: float
    ) -> None:
        """Tell the homes about running warm-ups, from time to time."""
        if now_s - self._published_s < _PUBLISH_PERIOD_S:
            return
        self._published_s = now_s
        for shard, admission in admissions.items():
            fractions = _cold_targets(admission, now_s)
            if fractions:
                self._send(shard, fractions)
        for given_up, (until_s, cold) in list(self._sending.items()):
            if given_up in admissions or now_s > until_s:
                self._sending.pop(given_up)
            else:
                self._send(given_up, cold)

    def on_report(
        self,
        body: bytes,
        admissions: Mapping[ShardKey, ShardAdmission],
        now_s: float,
    ) -> None:
        """Record the report of another home.

        Raises
        ------
        TunnelFormatError
            If the body is no `WarmupReport`.
        """
        try:
            report = _DECODER.decode(body)
        except msgspec.DecodeError as exc:
            raise TunnelFormatError(f'warmup={exc}') from exc
        for name, fraction in report.fractions.items():
            self._known[name] = (fraction, now_s)
        shard = ShardKey(report.service, report.index)
        admission = admissions.get(shard)
        created_s = self._created_s.get(shard, now_s)
        if admission is not None and now_s - created_s <= _FRESH_S:
            for target, share in report.fractions.items():
                admission.resume_warmup(target, share, now_s)

    def _send(self, shard: ShardKey, fractions: _Fractions) -> None:
        report = WarmupReport(shard.service, shard.index, fractions)
        body = msgspec.msgpack.encode(report)
        for home in self._homes(shard):
            if not self._state.is_self(home):
                self._state.send(home, Kind.WARM_UP, body)

    def _homes(self, shard: ShardKey) -> tuple[Member, ...]:
        return self._state.views.current.homes(shard)


def _cold_targets(admission: ShardAdmission, now_s: float) -> _Fractions:
    return {
        report.name: report.warmup_fraction
        for report in admission.report(now_s)
        if report.status is TargetStatus.WARMING
    }
