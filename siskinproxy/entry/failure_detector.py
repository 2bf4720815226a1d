"""Runs the checks of `Responsiveness` and exchanges its evidence."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Final, Protocol

import gevent
from gevent.event import Event

from siskinproxy.entry.directory import KnownTarget
from siskinproxy.entry.evidence import (
    EvidenceReport,
    ReplyAddress,
    decode_evidence,
    encode_evidence,
)
from siskinproxy.entry.instances import InstanceRecord
from siskinproxy.entry.records import Address
from siskinproxy.entry.responsiveness import (
    Responsiveness,
    SuspicionChange,
)
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.supervision import Spawn, run_isolated, spawn_plain
from siskinproxy.entry.target_check import check_target

__all__ = ('EventSink', 'FailureDetector')

#: Delay in which evidence is collected before it is sent, in seconds.
_BATCH_DELAY_S: Final = 0.005
#: Longest wait without work, in seconds.
_IDLE_WAIT_S: Final = 5.0
#: Checks that run at the same time, and that are started in a second.
_MAX_CONCURRENT_CHECKS: Final = 16
MAX_CHECKS_PER_S: Final = 20
#: Mean rate of the datagrams with evidence, and what may be sent at once, in
#: bytes. The burst covers the failure of a zone with 737 targets in a zone of
#: 121 instances.
MAX_EVIDENCE_BYTES_PER_S: Final = 1_000
MAX_EVIDENCE_BURST_BYTES: Final = 32_000
#: IPv4 and UDP header.
_UDP_OVERHEAD_BYTES: Final = 28
#: Queries of an instance that starts for what others know of the processes of
#: targets, their interval, and the time in which others have to become known,
#: in seconds. A query goes to so many instances of the own zone, or of others
#: if there are none.
_QUERIES: Final = 3
_QUERY_INTERVAL_S: Final = 0.25
_QUERY_PERIOD_S: Final = 10.0
_QUERIED_INSTANCES: Final = 3
#: Findings in a datagram of a reply, so that it stays below 64 KB.
_FINDINGS_PER_REPLY: Final = 1000


class EventSink(Protocol):
    """Log of the detector's decisions."""

    def event(self, name: str, /, **pairs: Any) -> None:
        """Log a decision under a name, with its key-value pairs."""

    def error(self, name: str, /, **pairs: Any) -> None:
        """Log an error under a name, with its key-value pairs."""


class _Allowance:
    """Token bucket; the balance may become negative by one use.

    Parameters
    ----------
    per_s : float
        Rate at which the balance grows.
    most : float
        Largest balance.
    """

    def __init__(self, per_s: float, most: float) -> None:
        self._per_s = per_s
        self._most = most
        self._balance = most
        self._updated_s: float | None = None

    def balance(self, now_s: float) -> float:
        """Return what may be used now."""
        if self._updated_s is not None:
            grown = self._balance + self._per_s * (now_s - self._updated_s)
            self._balance = min(grown, self._most)
        self._updated_s = now_s
        return self._balance

    def use(self, amount: float) -> None:
        """Subtract what has been used."""
        self._balance -= amount


class FailureDetector:
    """Checks targets and exchanges evidence with the instances of the zone.

    Parameters
    ----------
    responsiveness : Responsiveness
        Decides what to check and what to send.
    routes : RouteTable
        Tells the path of each service's health page.
    send : callable
        Sends a datagram to another instance.
    record : InstanceRecord
        This instance.
    list_members : callable
        Returns the instances of the zone, this one included.
    list_relays : callable
        Returns the instances of other zones that pass on to their zones which
        targets have ended or returned.
    counters : Counter
        Gets the numbers of checks and reports.
    events : EventSink
        Log.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        responsiveness: Responsiveness,
        routes: RouteTable,
        send: Callable[[bytes, Address], None],
        record: InstanceRecord,
        list_members: Callable[[], Iterable[InstanceRecord]],
        list_relays: Callable[[], Iterable[InstanceRecord]],
        counters: Counter[str],
        events: EventSink,
        clock: Callable[[], float],
    ) -> None:
        self._responsiveness = responsiveness
        self._routes = routes
        self._send = send
        self._record = record
        self._list_members = list_members
        self._list_relays = list_relays
        self._counters = counters
        self._events = events
        self._clock = clock
        self._queries_left = _QUERIES
        self._next_query_s: float = 0
        self._give_up_s: float | None = None
        self._woken = Event()
        self._running: set[gevent.Greenlet] = set()
        self._greenlet: gevent.Greenlet | None = None
        self._checks = _Allowance(MAX_CHECKS_PER_S, MAX_CHECKS_PER_S)
        self._bytes = _Allowance(
            MAX_EVIDENCE_BYTES_PER_S, MAX_EVIDENCE_BURST_BYTES
        )

    def start(self, spawn: Spawn = spawn_plain) -> None:
        """Begin to check and to send."""
        self._greenlet = spawn('failure_detector', self._run)

    def close(self) -> None:
        """Stop; checks in progress are given up."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
        gevent.killall(tuple(self._running))

    def wake(self) -> None:
        """Look for work that openings have caused."""
        if self._responsiveness.has_work(self._clock()):
            self._woken.set()

    def on_datagram(self, datagram: bytes, now_s: float) -> bool:
        """Apply the evidence of another instance.

        Parameters
        ----------
        datagram : bytes
            Received datagram.
        now_s : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the datagram could be decoded.
        """
        report = decode_evidence(datagram)
        if report is None:
            return False
        self._counters['evidence_received'] += 1
        if report.reply_to is not None:
            self._reply(report.reply_to, now_s)
        self._report(self._responsiveness.apply_report(report, now_s))
        self.wake()
        return True

    def _run(self) -> None:
        while True:
            self._woken.wait(self._wait_s())
            self._woken.clear()
            gevent.sleep(_BATCH_DELAY_S)
            now_s = self._clock()
            self._start_checks(now_s)
            self._ask_for_processes(now_s)
            if self._bytes.balance(now_s) > 0:
                self._send_evidence(now_s)

    def _wait_s(self) -> float:
        due_s = self._responsiveness.next_check_s
        longest_s = _QUERY_INTERVAL_S if self._queries_left else _IDLE_WAIT_S
        if due_s is None:
            return longest_s
        return min(max(due_s - self._clock(), 0), longest_s)

    def note_fleet_known(self) -> None:
        """Ask others now, since their addresses are known from now on."""
        self._woken.set()

    def _ask_for_processes(self, now_s: float) -> None:
        """Ask others for the processes of targets, if this instance starts.

        A target that started again before this instance did may still be cold,
        although its entry says otherwise.
        """
        if not self._queries_left or now_s < self._next_query_s:
            return
        if self._give_up_s is None:
            self._give_up_s = now_s + _QUERY_PERIOD_S
        if now_s > self._give_up_s:
            self._queries_left = 0
            return
        own = self._record
        members = [
            each for each in self._list_members() if each.name != own.name
        ]
        others = members or list(self._list_relays())
        if others:
            self._queries_left -= 1
            self._next_query_s = now_s + _QUERY_INTERVAL_S
            address = ReplyAddress(own.host, own.port)
            report = EvidenceReport(own.name, own.zone, (), address)
            self._send_report(report, others[:_QUERIED_INSTANCES])

    def _reply(self, asker: ReplyAddress, now_s: float) -> None:
        """Send what is known of the processes of targets."""
        found = self._responsiveness.describe_processes(now_s)
        for first in range(0, len(found), _FINDINGS_PER_REPLY):
            part = found[first : first + _FINDINGS_PER_REPLY]
            report = EvidenceReport(self._record.name, self._record.zone, part)
            datagram = encode_evidence(report)
            self._send(datagram, Address(asker.host, asker.port))
            self._bytes.use(len(datagram) + _UDP_OVERHEAD_BYTES)
            self._counters['evidence_sent'] += 1

    def _start_checks(self, now_s: float) -> None:
        most = min(
            self._checks.balance(now_s),
            _MAX_CONCURRENT_CHECKS - len(self._running),
        )
        if most < 1:
            return
        for target in self._responsiveness.take_due_checks(now_s, int(most)):
            self._checks.use(1)
            greenlet = gevent.spawn(
                run_isolated,
                self._events,
                f'check_of_{target.name}',
                self._run_check,
                target,
            )
            self._running.add(greenlet)
            greenlet.link(self._running.discard)

    def _run_check(self, target: KnownTarget) -> None:
        sent_s = self._clock()
        service = self._routes.services.get(target.record.service)
        path = service.health_path if service else ''
        outcome = check_target(target.record.address, path)
        now_s = self._clock()
        result = 'unknown' if outcome is None else outcome.value
        self._counters[f'check_{result}'] += 1
        self._events.event(
            'target_checked',
            target=target.name,
            outcome=result,
            took_ms=round(1000 * (now_s - sent_s)),
        )
        if outcome is None:
            self._responsiveness.note_paused_check(target, now_s)
        else:
            changes = self._responsiveness.note_check(
                target, outcome, sent_s, now_s
            )
            self._report(changes)
        self.wake()

    def _send_evidence(self, now_s: float) -> None:
        repeated_to = self._responsiveness.checkers(
            self._responsiveness.repeated_targets()
        )
        members = tuple(self._list_members())
        # Before the news that may end a suspicion.
        processes = self._responsiveness.take_process_report(now_s)
        if processes is not None:
            self._send_report(processes, (*members, *self._list_relays()))
        news, repeated = self._responsiveness.take_reports(now_s)
        if news is not None:
            self._send_report(news, members)
        if repeated is not None:
            receivers = [each for each in members if each.name in repeated_to]
            self._send_report(repeated, receivers)

    def _send_report(
        self, report: EvidenceReport, receivers: Iterable[InstanceRecord]
    ) -> None:
        datagram = encode_evidence(report)
        for receiver in receivers:
            if receiver.name != report.instance:
                self._send(datagram, receiver.address)
                self._bytes.use(len(datagram) + _UDP_OVERHEAD_BYTES)
                self._counters['evidence_sent'] += 1

    def _report(self, changes: Iterable[SuspicionChange]) -> None:
        for change in changes:
            name = (
                'target_suspected' if change.is_suspected else 'target_trusted'
            )
            self._events.event(
                name, target=change.target, by=','.join(change.witnesses)
            )
