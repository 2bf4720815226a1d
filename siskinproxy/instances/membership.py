"""Membership of a region: failure detection and dissemination (SWIM).

The state machine has no socket and no clock. `Membership.on_message` and
`Membership.on_timer` return a `Step` with the messages to send and the state
changes with their reasons.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002.
"""

import random
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Final, NamedTuple, TypeVar

from msgspec.structs import replace

from siskinproxy.balancer.snapshot import Member
from siskinproxy.instances.dissemination import (
    MAX_UPDATES,
    Dissemination,
    TokenBucket,
)
from siskinproxy.instances.gossip import (
    CONDITION_ALIVE,
    CONDITION_DEAD,
    CONDITION_SUSPECT,
    NEVER_READ,
    Ack,
    Gossip,
    Header,
    MembersPage,
    MembersRequest,
    Message,
    Ping,
    PingRequest,
    Record,
    Update,
    fit_updates,
    member_of,
    record_of,
)
from siskinproxy.instances.member_table import Change, Entry, MemberTable
from siskinproxy.instances.probes import (
    Address,
    PendingProbes,
    Probe,
    ProbeOrder,
    successor_of,
)
from siskinproxy.instances.reachability import Reachability

__all__ = ('PROBE_PERIOD_S', 'TIMER_PERIOD_S', 'Membership', 'Send', 'Step')

#: One member is probed in each period.
PROBE_PERIOD_S: Final = 0.2

#: Interval at which `Membership.on_timer` has to be called.
TIMER_PERIOD_S: Final = 0.05

#: Every second period the successor in the name order is probed as well.
SUCCESSOR_PERIOD_S: Final = 0.4

#: Interval at which each member may probe a dead member and a suggested
#: address.
RECONNECT_PERIOD_S: Final = 0.4

#: Interval of the requests for a page of the member list, which repair
#: updates that were lost.
PAGE_PERIOD_S: Final = 5.0

#: The member list is read again when one of several dead members returns.
PARTITION_MEMBERS: Final = 2

#: Interval of the pages while an instance joins, about 6 KB/s.
JOIN_PAGE_PERIOD_S: Final = 0.2

#: A gap between two calls longer than this means that the process was paused.
#: Messages that waited in the socket during a shorter pause count as new, so
#: this is also the largest error of the zone sight.
PAUSE_S: Final = 0.25

#: After a pause the socket holds datagrams of unknown age; those read within
#: this time are dropped, since they are no evidence of the present.
RESUME_DISCARD_S: Final = 0.1

#: Members that probe on behalf of another one.
HELPERS: Final = 2

#: Members that get news at once, before the next probe.
PUSH_FAN_OUT: Final = 3

#: Pushes a second and their burst; 6 datagrams of 400 bytes are 2.4 KB/s.
PUSH_RATE: Final = 6.0
PUSH_BURST: Final = 6.0

#: News that arrives within this time after a push waits for the next timer.
PUSH_INTERVAL_S: Final = 0.02

#: Probes a second that a dead member or a suggested address gets from all
#: members together. Without this limit 127 members sent 40 KB/s to one
#: restarted member.
RECONNECT_RATE: Final = 2.5

#: Absent members that one member probes in each period at most.
MAX_RECONNECTS: Final = 4

#: Interval between two corrections of the same member.
CORRECTION_PERIOD_S: Final = 0.2

#: Updates a second in all messages and their burst. During a partition every
#: message would carry the largest number of updates otherwise; 80 updates of
#: 55 bytes are 4.4 KB/s.
UPDATE_RATE: Final = 80.0
UPDATE_BURST: Final = 80.0

#: Corrections a second and their burst.
CORRECTION_RATE: Final = 10.0
CORRECTION_BURST: Final = 10.0

#: Members on a page; more than about 20 rarely fit into a datagram.
MAX_PAGE_UPDATES: Final = 32

#: Room for the name at which the next page starts.
PAGE_END_BYTES: Final = 64


_Absent = TypeVar('_Absent')


class Send(NamedTuple):
    """Message to send and the address of its receiver."""

    address: Address
    message: Message


class Step(NamedTuple):
    """Result of one input.

    Parameters
    ----------
    sends : tuple of Send
        Messages to send.
    changes : tuple of Change
        State changes of members, this instance included.
    """

    sends: tuple[Send, ...]
    changes: tuple[Change, ...]


class Membership:
    """SWIM state of one instance.

    Parameters
    ----------
    identity : Member
        This instance. Its incarnation has to grow with each start; the time
        in seconds serves, and peers correct one that is too low.
    rng : random.Random
        Source of all random choices.
    seeds : tuple of (str, int)
        Addresses of control processes that are probed to join.
    now_s : float
        Time.
    """

    def __init__(
        self,
        identity: Member,
        rng: random.Random,
        seeds: tuple[Address, ...],
        now_s: float,
    ) -> None:
        self.reachability = Reachability(identity.zone)
        self._record = record_of(identity)
        self._rng = rng
        self._seeds = seeds
        self._listed: tuple[Address, ...] = ()
        self._table = MemberTable()
        self._order = ProbeOrder(rng)
        self._probes = PendingProbes()
        self._news = Dissemination()
        self._pushes = TokenBucket(PUSH_RATE, PUSH_BURST, now_s)
        self._updates = TokenBucket(UPDATE_RATE, UPDATE_BURST, now_s)
        self._corrections = TokenBucket(
            CORRECTION_RATE,
            CORRECTION_BURST,
            now_s,
        )
        self._generation = 0
        self._head_digest = b''
        self._last_s = now_s
        self._clock_offset_s: float = 0
        self._discard_until_s = now_s
        self._probe_due_s = now_s + rng.random() * PROBE_PERIOD_S
        self._successor_due_s = now_s + rng.random() * SUCCESSOR_PERIOD_S
        self._reconnect_due_s = now_s
        self._page_due_s = now_s
        self._page_after = ''
        self._has_member_list = False
        self._push_wanted = False
        self._pushed_s = float('-inf')
        self._sends: list[Send] = []
        self._changes: list[Change] = []

    # State

    @property
    def record(self) -> Record:
        """What this instance states about itself."""
        return self._record

    @property
    def generation(self) -> int:
        """Generation that this instance announces."""
        return self._generation

    def members(self) -> tuple[Member, ...]:
        """Return the members for a routing snapshot, this one included.

        Returns
        -------
        tuple of Member
            Members that are alive, suspected or leaving, by name. Joining
            members are left out, since they have no configuration.
        """
        records = [entry.record for entry in self._table.living()]
        records.append(self._record)
        serving = [
            member_of(record)
            for record in records
            if record.status != 'joining'
        ]
        return tuple(sorted(serving, key=_member_name))

    def states(self) -> dict[str, str]:
        """Return the state of each known member by name."""
        states = {entry.record.name: entry.state for entry in self._table}
        states[self._record.name] = self._record.status
        return states

    def entry(self, name: str) -> Entry | None:
        """Return what is known about another member."""
        return self._table.find(name)

    def zone_sight_s(
        self,
        zones: Iterable[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the seconds since each zone was heard from.

        Parameters
        ----------
        zones : iterable of str
            Zones of the configuration.
        now_s : float
            Time.

        Returns
        -------
        dict of str to float
            See `Reachability.sight_s`.
        """
        return self.reachability.sight_s(zones, self.steady_s(now_s))

    def store_age_s(self, now_s: float) -> float:
        """Return the age of the youngest known store read, in seconds.

        The generation in force here is at least the one of that read.
        """
        return self.reachability.store_age_s(self.steady_s(now_s))

    def steady_s(self, now_s: float) -> float:
        """Return a time that never decreases, even if the clock jumps back.

        Parameters
        ----------
        now_s : float
            Time.

        Returns
        -------
        float
            Time that is not before the last input.
        """
        return max(now_s + self._clock_offset_s, self._last_s)

    def header(self, now_s: float) -> Header:
        """Return the header of a message that is sent now."""
        return self._header(self.steady_s(now_s))

    def is_resuming(self, now_s: float) -> bool:
        """Whether messages are dropped, since they may be old."""
        return self.steady_s(now_s) < self._discard_until_s

    # Inputs

    def on_timer(self, now_s: float) -> Step:
        """Send the probes that are due and evaluate timeouts.

        Parameters
        ----------
        now_s : float
            Time.

        Returns
        -------
        Step
            Messages and changes.
        """
        now_s = self._advance(now_s)
        self._delegate_probes(now_s)
        self._suspect_failed(now_s)
        self._declare_dead(now_s)
        self._send_due_probes(now_s)
        self._request_page(now_s)
        self._table.forget_dead(now_s)
        return self._finish(now_s)

    def on_message(self, message: Message, now_s: float) -> Step:
        """Handle a message from another instance.

        Parameters
        ----------
        message : Message
            Decoded message; messages of the configuration transfer only
            count as evidence that their sender is alive.
        now_s : float
            Time.

        Returns
        -------
        Step
            Messages and changes.
        """
        now_s = self._advance(now_s)
        header = message.header
        is_own = header.record.name == self._record.name
        if is_own or now_s < self._discard_until_s:
            return self._finish(now_s)
        incarnation = self._record.incarnation
        self._observe(header, now_s)
        for update in getattr(message, 'updates', ()):
            self._learn(update, now_s, 'gossip')
        self._handle(message, now_s)
        if self._record.incarnation != incarnation:
            refutation = Gossip(self._header(now_s))
            self._sends.append(Send(_address(header.record), refutation))
        return self._finish(now_s, header.record.name)

    def set_serving(self, serving: bool, now_s: float) -> Step:
        """Announce that this instance can be a home, or no longer can.

        Parameters
        ----------
        serving : bool
            True when the instance has a configuration and its packet process
            runs.
        now_s : float
            Time.

        Returns
        -------
        Step
            Messages and changes.
        """
        status = 'alive' if serving else 'joining'
        return self._set_status(status, 'serving state changed', now_s)

    def leave(self, now_s: float) -> Step:
        """Announce that this instance stops as planned."""
        return self._set_status('leaving', 'planned stop', now_s)

    def farewell(self, now_s: float) -> Step:
        """Announce that this instance ends now."""
        now_s = self._advance(now_s)
        updates = (Update(self._record, CONDITION_DEAD),)
        message = Gossip(self._header(now_s), updates)
        for entry in self._sample(PUSH_FAN_OUT + HELPERS):
            self._sends.append(Send(_address(entry.record), message))
        return self._finish(now_s)

    def set_configuration(
        self,
        generation: int,
        head_digest: bytes,
        now_s: float,
    ) -> Step:
        """Announce the configuration in force.

        Parameters
        ----------
        generation : int
            Generation in force.
        head_digest : bytes
            Digest of its head.
        now_s : float
            Time.

        Returns
        -------
        Step
            Messages to some peers, so that they need not wait for a probe.
        """
        now_s = self._advance(now_s)
        self._generation = generation
        self._head_digest = head_digest
        self._push_wanted = True
        return self._finish(now_s)

    def suggest(
        self,
        addresses: Iterable[Address],
        zones: Iterable[str],
    ) -> None:
        """Use the platform's list of instances.

        The list lags, so it only suggests whom to probe; it neither adds nor
        removes members.

        Parameters
        ----------
        addresses : iterable of (str, int)
            Control addresses of the listed instances.
        zones : iterable of str
            Zones of the listed live instances.
        """
        self._listed = tuple(addresses)
        self.reachability.set_listed_zones(zones)

    def note_store_read(self, read_s: float) -> None:
        """Note that the store held the generation in force.

        Parameters
        ----------
        read_s : float
            Time of the read, which may be before the last input.
        """
        self.reachability.note_store_read(read_s + self._clock_offset_s)

    # Time

    def _advance(self, now_s: float) -> float:
        """Return a time that never decreases; detect pauses."""
        steady_s = now_s + self._clock_offset_s
        if steady_s < self._last_s:
            self._clock_offset_s += self._last_s - steady_s
            steady_s = self._last_s
        if steady_s - self._last_s > PAUSE_S:
            self._resume(steady_s)
        self._last_s = steady_s
        return steady_s

    def _resume(self, now_s: float) -> None:
        """Discard timeouts that passed while this process did not run."""
        self._discard_until_s = now_s + RESUME_DISCARD_S
        self._probes.clear()
        self._table.extend_suspicions(now_s)
        self._probe_due_s = now_s
        self._successor_due_s = now_s

    # Learning

    def _observe(self, header: Header, now_s: float) -> None:
        record = header.record
        # The age of the youngest store read also states that the own
        # configuration is at least as new as the one read then.
        is_current = header.generation <= self._generation
        store_age_ms = header.store_age_ms if is_current else NEVER_READ
        self.reachability.hear(record.zone, store_age_ms, now_s)
        self._learn(Update(record), now_s, 'heard from it')
        entry = self._table.find(record.name)
        if entry is not None and not _agrees(entry, record):
            self._correct(entry, record, now_s)

    def _correct(self, entry: Entry, record: Record, now_s: float) -> None:
        """Tell a sender what is believed about it, so that it can refute."""
        if now_s - entry.corrected_s < CORRECTION_PERIOD_S:
            return
        if self._corrections.take(1, now_s):
            entry.corrected_s = now_s
            self._send_notice(record, entry, now_s)

    def _learn(self, update: Update, now_s: float, reason: str) -> None:
        if update.record.name == self._record.name:
            self._refute(update)
            return
        change = self._table.apply(update, now_s, reason)
        if change is None:
            return
        self._changes.append(change)
        self._news.add(change.name)
        self._push_wanted = True
        if change.before == 'dead':
            self._reread_members()

    def _reread_members(self) -> None:
        """Read the member list again, since a partition may have healed.

        The limit of updates would delay the news about many members; a
        single restarted member is no reason.
        """
        is_reading = not self._has_member_list
        if not is_reading and len(self._table.dead()) >= PARTITION_MEMBERS:
            self._has_member_list = False
            self._page_after = ''
            self._page_due_s = self._last_s

    def _refute(self, update: Update) -> None:
        stated = update.record.incarnation
        own = self._record
        if stated < own.incarnation:
            return
        if update.condition == CONDITION_ALIVE and update.record == own:
            return
        self._raise_incarnation(stated, own.status, 'refuted a statement')

    def _raise_incarnation(self, above: int, status: str, reason: str) -> None:
        before = self._record.status
        incarnation = max(above, self._record.incarnation) + 1
        self._record = replace(
            self._record,
            incarnation=incarnation,
            status=status,
        )
        name = self._record.name
        self._changes.append(Change(name, before, status, incarnation, reason))
        self._push_wanted = True

    def _set_status(self, status: str, reason: str, now_s: float) -> Step:
        now_s = self._advance(now_s)
        if self._record.status not in {status, 'leaving'}:
            self._raise_incarnation(0, status, reason)
        return self._finish(now_s)

    # Message kinds

    @singledispatchmethod
    def _handle(self, message: Message, now_s: float) -> None:
        """Messages of the configuration transfer have no effect here."""

    @_handle.register
    def _(self, message: Ping, now_s: float) -> None:
        record = message.header.record
        header = self._header(now_s)
        updates = self._select_updates(header, record, now_s)
        ack = Ack(header, message.sequence, self._record.name, updates)
        self._sends.append(Send(_address(record), ack))

    @_handle.register
    def _(self, message: PingRequest, now_s: float) -> None:
        asker = _address(message.header.record)
        probe = Probe(message.target, now_s, asker, message.sequence)
        self._send_ping(probe, self._header(now_s), ())

    @_handle.register
    def _(self, message: Ack, now_s: float) -> None:
        probe = self._probes.answer(message.sequence, message.subject)
        if probe is None or probe.asker is None:
            return
        header = self._header(now_s)
        ack = Ack(header, probe.asker_sequence, message.subject)
        self._sends.append(Send(probe.asker, ack))

    @_handle.register
    def _(self, message: MembersPage, now_s: float) -> None:
        self._page_after = message.page_end
        if not message.page_end:
            self._has_member_list = True

    @_handle.register
    def _(self, message: MembersRequest, now_s: float) -> None:
        record = message.header.record
        header = self._header(now_s)
        following = sorted(
            (
                entry
                for entry in self._table.living()
                if entry.record.name > message.after
                and entry.record.name != record.name
            ),
            key=_entry_name,
        )
        updates = tuple(
            entry.update(now_s) for entry in following[:MAX_PAGE_UPDATES]
        )
        updates = fit_updates(header, updates, PAGE_END_BYTES)
        page_end = ''
        if len(updates) < len(following):
            page_end = updates[-1].record.name
        page = MembersPage(header, updates, page_end)
        self._sends.append(Send(_address(record), page))

    # Probes

    def _send_due_probes(self, now_s: float) -> None:
        if now_s >= self._probe_due_s:
            self._probe_due_s = now_s + PROBE_PERIOD_S
            self._send_entry_probe(
                self._order.select(self._table.living()), now_s
            )
        if now_s >= self._successor_due_s:
            self._successor_due_s = now_s + SUCCESSOR_PERIOD_S
            living = self._table.living()
            successor = successor_of(self._record.name, living)
            self._send_entry_probe(successor, now_s)
        if now_s >= self._reconnect_due_s:
            self._reconnect_due_s = now_s + RECONNECT_PERIOD_S
            self._reconnect(now_s)

    def _send_entry_probe(self, entry: Entry | None, now_s: float) -> None:
        if entry is None:
            return
        header = self._header(now_s)
        updates = self._select_updates(header, entry.record, now_s)
        self._send_ping(Probe(entry.record, now_s), header, updates)

    def _send_notice(
        self,
        receiver: Record,
        entry: Entry,
        now_s: float,
    ) -> None:
        """Probe a member with only the statement about itself.

        During a partition most probes are of this kind; other updates would
        multiply their size.
        """
        updates = (entry.update(now_s),)
        header = self._header(now_s)
        self._send_ping(Probe(receiver, now_s), header, updates)

    def _send_ping(
        self,
        probe: Probe,
        header: Header,
        updates: tuple[Update, ...],
    ) -> None:
        ping = Ping(header, self._probes.add(probe), updates)
        self._sends.append(Send(_address(probe.record), ping))

    def _reconnect(self, now_s: float) -> None:
        """Probe a dead member and a suggested address."""
        dead = self._table.dead()
        for absent in self._select_absent(dead):
            self._send_notice(absent.record, absent, now_s)
        known = {_address(entry.record) for entry in self._table}
        known.add(_address(self._record))
        unknown = [
            address
            for address in (*self._seeds, *self._listed)
            if address not in known
        ]
        for address in self._select_absent(unknown):
            ping = Ping(self._header(now_s), 0)
            self._sends.append(Send(address, ping))

    def _select_absent(self, absent: list[_Absent]) -> list[_Absent]:
        """Return those that this member has to probe in this period."""
        members = len(self._table.living()) + 1
        share = len(absent) * RECONNECT_RATE * RECONNECT_PERIOD_S / members
        count = int(share + self._rng.random())
        return self._rng.sample(absent, min(count, MAX_RECONNECTS, len(absent)))

    def _delegate_probes(self, now_s: float) -> None:
        for sequence, probe in self._probes.to_delegate(now_s):
            entry = self._table.find(probe.record.name)
            if entry is None or entry.condition != CONDITION_ALIVE:
                continue
            header = self._header(now_s)
            request = PingRequest(header, sequence, probe.record)
            for helper in self._sample(HELPERS, probe.record.name):
                self._sends.append(Send(_address(helper.record), request))

    def _suspect_failed(self, now_s: float) -> None:
        for probe in self._probes.failed(now_s):
            entry = self._table.find(probe.record.name)
            if entry is None or entry.condition != CONDITION_ALIVE:
                continue
            if entry.record.incarnation != probe.record.incarnation:
                continue
            suspicion = Update(entry.record, CONDITION_SUSPECT)
            self._learn(suspicion, now_s, 'probe failed')
            self._send_notice(entry.record, entry, now_s)

    def _declare_dead(self, now_s: float) -> None:
        for entry in self._table.overdue(now_s):
            death = Update(entry.record, CONDITION_DEAD)
            self._learn(death, now_s, 'suspicion was not refuted')

    # Member list

    def _request_page(self, now_s: float) -> None:
        if now_s < self._page_due_s:
            return
        contacts = self._sample(1)
        if not contacts:
            return
        complete = self._has_member_list
        period_s = PAGE_PERIOD_S if complete else JOIN_PAGE_PERIOD_S
        self._page_due_s = now_s + period_s
        request = MembersRequest(self._header(now_s), self._page_after)
        self._sends.append(Send(_address(contacts[0].record), request))

    # Sending

    def _header(self, now_s: float) -> Header:
        return Header(
            self._record,
            self._generation,
            self._head_digest,
            self.reachability.store_age_ms(now_s),
        )

    def _sample(self, count: int, *excluded: str | None) -> list[Entry]:
        candidates = [
            entry
            for entry in self._table.living()
            if entry.condition == CONDITION_ALIVE
            and entry.record.name not in excluded
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _select_updates(
        self,
        header: Header,
        receiver: Record,
        now_s: float,
    ) -> tuple[Update, ...]:
        names = []
        if self._updates.take(min(len(self._news), MAX_UPDATES), now_s):
            names = self._news.select(len(self._table), self._is_known)
        entries = [self._table.find(name) for name in names]
        updates = [entry.update(now_s) for entry in entries]
        about = self._table.find(receiver.name)
        if about is not None and about.condition != CONDITION_ALIVE:
            updates.insert(0, about.update(now_s))
        return fit_updates(header, tuple(updates), len(receiver.name))

    def _is_known(self, name: str) -> bool:
        return self._table.find(name) is not None

    def _push(self, now_s: float, heard_from: str | None) -> None:
        """Pass news on at once; probes alone would take seconds."""
        receivers = self._sample(PUSH_FAN_OUT, heard_from)
        if not receivers:
            return
        if not self._pushes.take(len(receivers), now_s):
            return
        header = self._header(now_s)
        updates = self._select_updates(header, self._record, now_s)
        message = Gossip(header, updates)
        for entry in receivers:
            self._sends.append(Send(_address(entry.record), message))

    def _finish(self, now_s: float, heard_from: str | None = None) -> Step:
        if self._push_wanted and now_s - self._pushed_s >= PUSH_INTERVAL_S:
            self._push_wanted = False
            self._pushed_s = now_s
            self._push(now_s, heard_from)
        step = Step(tuple(self._sends), tuple(self._changes))
        self._sends.clear()
        self._changes.clear()
        return step


def _address(record: Record) -> Address:
    return record.address, record.control_port


def _agrees(entry: Entry, record: Record) -> bool:
    """Whether the sender's own record is the one that is believed."""
    return entry.condition == CONDITION_ALIVE and entry.record == record


def _entry_name(entry: Entry) -> str:
    return entry.record.name


def _member_name(member: Member) -> str:
    return member.name
