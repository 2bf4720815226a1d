"""Membership of a region: failure detection and dissemination (SWIM).

An instance probes one member after the other. A member that answers neither
directly nor through helpers is suspected; if it does not refute the suspicion
with a higher incarnation in time, it is declared dead. Updates about members
travel with the probes and, when they are new, in messages of their own.

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
    TokenBucket,
    UpdateQueue,
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
from siskinproxy.instances.member_table import (
    MemberChange,
    MemberEntry,
    MemberTable,
)
from siskinproxy.instances.probes import (
    Address,
    PendingProbes,
    Probe,
    ProbeOrder,
    successor_of,
)
from siskinproxy.instances.reachability import Reachability

__all__ = ('PROBE_PERIOD_S', 'TIMER_PERIOD_S', 'Membership', 'Send', 'Step')

#: Interval between two probes of members in random order.
PROBE_PERIOD_S: Final = 0.2

#: Interval at which `Membership.on_timer` has to be called.
TIMER_PERIOD_S: Final = 0.05

#: Interval between two probes of the successor in the order of the names.
SUCCESSOR_PERIOD_S: Final = 0.4

#: Interval at which each member may probe dead members and addresses that are
#: no known member.
RECONNECT_PERIOD_S: Final = 0.4

#: Interval between two requests for a page of the member list of another
#: member, which repair updates that were lost.
PAGE_PERIOD_S: Final = 5.0

#: Number of members that have to be dead still when a dead member returns, so
#: that its return counts as the end of a partition and the member list is read
#: again.
PARTITION_MEMBERS: Final = 2

#: Interval between two requests for a page until the whole list was read; the
#: pages then take about 6 KB/s.
JOIN_PAGE_PERIOD_S: Final = 0.2

#: A longer time between two calls means that the process was paused. Messages
#: that waited in the socket during a shorter pause count as new, so this is
#: also the largest error of `Membership.zone_sight_s`.
PAUSE_S: Final = 0.25

#: Time after a pause in which received messages are dropped: they may have
#: waited in the socket and do not show that their sender is alive now.
RESUME_DISCARD_S: Final = 0.1

#: Number of members that are asked to probe a member that did not answer.
HELPER_COUNT: Final = 2

#: Number of members to which new updates are pushed at once, before the next
#: probe.
PUSH_FAN_OUT: Final = 3

#: Pushed datagrams a second and their burst; 6 datagrams of 400 bytes take
#: 2.4 KB/s.
PUSHES_PER_S: Final = 6.0
PUSH_BURST: Final = 6.0

#: Shortest time between two pushes. An update that arrives earlier is pushed
#: with a later message or timer call.
PUSH_INTERVAL_S: Final = 0.02

#: Probes a second that a dead member or an unknown address gets from all
#: members together. Without this limit 127 members send 40 KB/s to one
#: restarted member.
RECONNECTS_PER_S: Final = 2.5

#: Largest number of dead members, and of unknown addresses, that one member
#: probes in each `RECONNECT_PERIOD_S`.
MAX_RECONNECTS: Final = 4

#: Shortest time between two corrections of the same member. A correction tells
#: a member that it is considered suspect, dead or in another incarnation.
CORRECTION_PERIOD_S: Final = 0.2

#: Updates a second that this instance sends in all messages together, and their
#: burst. Without the limit every message would carry the largest number of
#: updates during a partition; 80 updates of 55 bytes take 4.4 KB/s.
UPDATES_PER_S: Final = 80.0
UPDATE_BURST: Final = 80.0

#: Corrections a second that this instance sends to all members together, and
#: their burst.
CORRECTIONS_PER_S: Final = 10.0
CORRECTION_BURST: Final = 10.0

#: Largest number of members on a page that is encoded to see how many fit; more
#: than about 20 rarely fit into a datagram.
MAX_PAGE_UPDATES: Final = 32

#: Space in a page for the name after which the next page starts.
PAGE_END_BYTES: Final = 64


_Absent = TypeVar('_Absent')


class Send(NamedTuple):
    """Message to send and the address of its receiver."""

    address: Address
    message: Message


class Step(NamedTuple):
    """Result of one message, timer call or command.

    Parameters
    ----------
    sends : tuple of Send
        Messages to send.
    changes : tuple of MemberChange
        State changes of members, this instance included.
    """

    sends: tuple[Send, ...]
    changes: tuple[MemberChange, ...]


class Membership:
    """SWIM state machine of one instance.

    Parameters
    ----------
    identity : Member
        This instance. Its incarnation has to grow with each start. The Unix
        time in seconds is suitable; peers correct one that is too low.
    rng : random.Random
        Source of all random choices.
    seeds : tuple of (str, int)
        Addresses of control processes that are probed to join the region.
    now_s : float
        Time in seconds, as in all methods. It may jump: a step back is
        compensated, and a large step forward counts as a pause.
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
        self._probe_order = ProbeOrder(rng)
        self._probes = PendingProbes()
        self._update_queue = UpdateQueue()
        self._push_budget = TokenBucket(PUSHES_PER_S, PUSH_BURST, now_s)
        self._update_budget = TokenBucket(UPDATES_PER_S, UPDATE_BURST, now_s)
        self._correction_budget = TokenBucket(
            CORRECTIONS_PER_S,
            CORRECTION_BURST,
            now_s,
        )
        self._generation = 0
        self._head_digest = b''
        self._last_input_s = now_s
        self._clock_offset_s: float = 0
        self._discard_until_s = now_s
        self._probe_due_s = now_s + rng.random() * PROBE_PERIOD_S
        self._successor_due_s = now_s + rng.random() * SUCCESSOR_PERIOD_S
        self._reconnect_due_s = now_s
        self._page_due_s = now_s
        self._page_after = ''
        self._has_member_list = False
        self._is_push_pending = False
        self._pushed_s = float('-inf')
        self._sends: list[Send] = []
        self._changes: list[MemberChange] = []

    # State

    @property
    def record(self) -> Record:
        """Record that this instance announces about itself."""
        return self._record

    @property
    def generation(self) -> int:
        """Generation of the configuration that this instance announces."""
        return self._generation

    def members(self) -> tuple[Member, ...]:
        """Return the members for a routing snapshot, this one included.

        Returns
        -------
        tuple of Member
            Members that are alive, suspected or leaving, in the order of
            their names. Joining members are left out, since they cannot
            serve yet.
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
        """Return the state of each known member by name, this one included.

        See `MemberChange` for the values.
        """
        states = {entry.record.name: entry.state for entry in self._table}
        states[self._record.name] = self._record.status
        return states

    def entry(self, name: str) -> MemberEntry | None:
        """Return the entry of another member, or None if it is not known."""
        return self._table.find(name)

    def zone_sight_s(
        self,
        zones: Iterable[str],
        now_s: float,
    ) -> dict[str, float]:
        """Return the seconds since the last message from each zone.

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
        return self.reachability.sight_s(zones, self.monotonic_s(now_s))

    def store_age_s(self, now_s: float) -> float:
        """Return the seconds since the latest known store read.

        The generation in force here is at least the one that was read then.
        """
        return self.reachability.store_age_s(self.monotonic_s(now_s))

    def monotonic_s(self, now_s: float) -> float:
        """Return a time that never decreases, even if the clock jumps back.

        Parameters
        ----------
        now_s : float
            Time.

        Returns
        -------
        float
            Time that is not before the last call that changed the state.
        """
        return max(now_s + self._clock_offset_s, self._last_input_s)

    def header(self, now_s: float) -> Header:
        """Return the header for a message that this instance sends now."""
        return self._header(self.monotonic_s(now_s))

    def is_resuming(self, now_s: float) -> bool:
        """Tell whether messages are dropped, since they may be old.

        This is the case for `RESUME_DISCARD_S` after a pause of the process.
        """
        return self.monotonic_s(now_s) < self._discard_until_s

    # Inputs

    def on_timer(self, now_s: float) -> Step:
        """Evaluate timeouts and send the probes that are due.

        It has to be called every `TIMER_PERIOD_S`.

        Parameters
        ----------
        now_s : float
            Time.

        Returns
        -------
        Step
            Messages and changes.
        """
        now_s = self._advance_clock(now_s)
        self._request_indirect_probes(now_s)
        self._suspect_failed(now_s)
        self._declare_dead(now_s)
        self._send_due_probes(now_s)
        self._request_page(now_s)
        self._table.purge_dead(now_s)
        return self._finish(now_s)

    def on_message(self, message: Message, now_s: float) -> Step:
        """Handle a message from another instance.

        Parameters
        ----------
        message : Message
            Decoded message. Messages of the configuration transfer only
            show that their sender is alive.
        now_s : float
            Time.

        Returns
        -------
        Step
            Messages and changes.
        """
        now_s = self._advance_clock(now_s)
        header = message.header
        is_own = header.record.name == self._record.name
        if is_own or now_s < self._discard_until_s:
            return self._finish(now_s)
        incarnation = self._record.incarnation
        self._note_sender(header, now_s)
        for update in getattr(message, 'updates', ()):
            self._apply_update(update, now_s, 'gossip')
        self._handle(message, now_s)
        if self._record.incarnation != incarnation:
            refutation = Gossip(self._header(now_s))
            self._sends.append(Send(_address(header.record), refutation))
        return self._finish(now_s, header.record.name)

    def set_serving(self, serving: bool, now_s: float) -> Step:
        """Announce whether this instance can be a home of shards.

        It has no effect after `leave`.

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
        """Announce that this instance is going to stop as planned."""
        return self._set_status('leaving', 'planned stop', now_s)

    def announce_exit(self, now_s: float) -> Step:
        """Announce that this instance is dead from now on, before it exits.

        The other members then need not wait for a probe to time out.
        """
        now_s = self._advance_clock(now_s)
        updates = (Update(self._record, CONDITION_DEAD),)
        message = Gossip(self._header(now_s), updates)
        for entry in self._sample(PUSH_FAN_OUT + HELPER_COUNT):
            self._sends.append(Send(_address(entry.record), message))
        return self._finish(now_s)

    def set_configuration(
        self,
        generation: int,
        head_digest: bytes,
        now_s: float,
    ) -> Step:
        """Announce the generation of the configuration in force.

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
            Messages to some peers, so that they learn of the generation
            before the next probe.
        """
        now_s = self._advance_clock(now_s)
        self._generation = generation
        self._head_digest = head_digest
        self._is_push_pending = True
        return self._finish(now_s)

    def set_listed_instances(
        self,
        addresses: Iterable[Address],
        zones: Iterable[str],
    ) -> None:
        """Set the platform's list of instances.

        The list lags, so it only names addresses to probe; it neither adds
        nor removes members.

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
        """Record that a read of the store returned the generation in force.

        Parameters
        ----------
        read_s : float
            Time of the read, which may be before the last call.
        """
        self.reachability.note_store_read(read_s + self._clock_offset_s)

    # Time

    def _advance_clock(self, now_s: float) -> float:
        """Return a time that never decreases, and detect pauses.

        If the clock was set back, its offset grows so that time goes on from
        the last call.
        """
        monotonic_s = now_s + self._clock_offset_s
        if monotonic_s < self._last_input_s:
            self._clock_offset_s += self._last_input_s - monotonic_s
            monotonic_s = self._last_input_s
        if monotonic_s - self._last_input_s > PAUSE_S:
            self._handle_pause(monotonic_s)
        self._last_input_s = monotonic_s
        return monotonic_s

    def _handle_pause(self, now_s: float) -> None:
        """Discard timeouts that passed while this process did not run."""
        self._discard_until_s = now_s + RESUME_DISCARD_S
        self._probes.clear()
        self._table.restart_suspicions(now_s)
        self._probe_due_s = now_s
        self._successor_due_s = now_s

    # Updates

    def _note_sender(self, header: Header, now_s: float) -> None:
        record = header.record
        # `store_age_s` promises that the own configuration is at least as new
        # as the one that was read then, so the age that a sender with a higher
        # generation announces cannot be taken over.
        is_current = header.generation <= self._generation
        store_age_ms = header.store_age_ms if is_current else NEVER_READ
        self.reachability.note_message(record.zone, store_age_ms, now_s)
        self._apply_update(Update(record), now_s, 'received its message')
        entry = self._table.find(record.name)
        if entry is not None and not _matches_entry(entry, record):
            self._send_correction(entry, record, now_s)

    def _send_correction(
        self, entry: MemberEntry, record: Record, now_s: float
    ) -> None:
        """Tell a sender which other state of it is known here.

        The sender refutes that state by a higher incarnation.
        """
        if now_s - entry.last_correction_s < CORRECTION_PERIOD_S:
            return
        if self._correction_budget.take(1, now_s):
            entry.last_correction_s = now_s
            self._probe_with_update(record, entry, now_s)

    def _apply_update(self, update: Update, now_s: float, reason: str) -> None:
        if update.record.name == self._record.name:
            self._refute(update)
            return
        change = self._table.apply(update, now_s, reason)
        if change is None:
            return
        self._changes.append(change)
        self._update_queue.add(change.name)
        self._is_push_pending = True
        if change.before == 'dead':
            self._reread_members()

    def _reread_members(self) -> None:
        """Read the whole member list again if a partition may have ended.

        `UPDATES_PER_S` would delay the updates about the many members of the
        other side. A single restarted member is no reason.
        """
        is_reading = not self._has_member_list
        if not is_reading and len(self._table.dead()) >= PARTITION_MEMBERS:
            self._has_member_list = False
            self._page_after = ''
            self._page_due_s = self._last_input_s

    def _refute(self, update: Update) -> None:
        incarnation = update.record.incarnation
        own = self._record
        if incarnation < own.incarnation:
            return
        if update.condition == CONDITION_ALIVE and update.record == own:
            return
        self._raise_incarnation(incarnation, own.status, 'refuted an update')

    def _raise_incarnation(self, above: int, status: str, reason: str) -> None:
        before = self._record.status
        incarnation = max(above, self._record.incarnation) + 1
        self._record = replace(
            self._record,
            incarnation=incarnation,
            status=status,
        )
        name = self._record.name
        self._changes.append(
            MemberChange(name, before, status, incarnation, reason)
        )
        self._is_push_pending = True

    def _set_status(self, status: str, reason: str, now_s: float) -> Step:
        now_s = self._advance_clock(now_s)
        if self._record.status not in {status, 'leaving'}:
            self._raise_incarnation(0, status, reason)
        return self._finish(now_s)

    # Message kinds

    @singledispatchmethod
    def _handle(self, message: Message, now_s: float) -> None:
        """Ignore messages of other kinds, those of the transfer."""

    @_handle.register
    def _(self, message: Ping, now_s: float) -> None:
        record = message.header.record
        header = self._header(now_s)
        updates = self._select_updates(header, record, now_s)
        ack = Ack(header, message.sequence, self._record.name, updates)
        self._sends.append(Send(_address(record), ack))

    @_handle.register
    def _(self, message: PingRequest, now_s: float) -> None:
        requester = _address(message.header.record)
        probe = Probe(message.target, now_s, requester, message.sequence)
        self._send_ping(probe, self._header(now_s), ())

    @_handle.register
    def _(self, message: Ack, now_s: float) -> None:
        probe = self._probes.answer(message.sequence, message.subject)
        if probe is None or probe.requester is None:
            return
        header = self._header(now_s)
        ack = Ack(header, probe.requester_sequence, message.subject)
        self._sends.append(Send(probe.requester, ack))

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
                self._probe_order.select(self._table.living()), now_s
            )
        if now_s >= self._successor_due_s:
            self._successor_due_s = now_s + SUCCESSOR_PERIOD_S
            living = self._table.living()
            successor = successor_of(self._record.name, living)
            self._send_entry_probe(successor, now_s)
        if now_s >= self._reconnect_due_s:
            self._reconnect_due_s = now_s + RECONNECT_PERIOD_S
            self._reconnect(now_s)

    def _send_entry_probe(
        self, entry: MemberEntry | None, now_s: float
    ) -> None:
        if entry is None:
            return
        header = self._header(now_s)
        updates = self._select_updates(header, entry.record, now_s)
        self._send_ping(Probe(entry.record, now_s), header, updates)

    def _probe_with_update(
        self,
        receiver: Record,
        entry: MemberEntry,
        now_s: float,
    ) -> None:
        """Probe a member with only the update about one member, itself.

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
        """Probe some dead members and some addresses of unknown members."""
        dead = self._table.dead()
        for absent in self._sample_for_reconnect(dead):
            self._probe_with_update(absent.record, absent, now_s)
        known = {_address(entry.record) for entry in self._table}
        known.add(_address(self._record))
        unknown = [
            address
            for address in (*self._seeds, *self._listed)
            if address not in known
        ]
        for address in self._sample_for_reconnect(unknown):
            # `PendingProbes` starts its sequence numbers with 1, so this probe
            # has no timeout and its answer only introduces the sender.
            ping = Ping(self._header(now_s), 0)
            self._sends.append(Send(address, ping))

    def _sample_for_reconnect(self, absent: list[_Absent]) -> list[_Absent]:
        """Return a random sample to probe in this period.

        All living members together probe each of `absent` at the rate
        `RECONNECTS_PER_S`. The sample has the size of this member's equal
        share, rounded up or down at random so that the mean is exact, but at
        most `MAX_RECONNECTS`.
        """
        members = len(self._table.living()) + 1
        share = len(absent) * RECONNECTS_PER_S * RECONNECT_PERIOD_S / members
        count = int(share + self._rng.random())
        return self._rng.sample(absent, min(count, MAX_RECONNECTS, len(absent)))

    def _request_indirect_probes(self, now_s: float) -> None:
        for sequence, probe in self._probes.due_for_indirect(now_s):
            entry = self._table.find(probe.record.name)
            if entry is None or entry.condition != CONDITION_ALIVE:
                continue
            header = self._header(now_s)
            request = PingRequest(header, sequence, probe.record)
            for helper in self._sample(HELPER_COUNT, probe.record.name):
                self._sends.append(Send(_address(helper.record), request))

    def _suspect_failed(self, now_s: float) -> None:
        for probe in self._probes.failed(now_s):
            entry = self._table.find(probe.record.name)
            if entry is None or entry.condition != CONDITION_ALIVE:
                continue
            if entry.record.incarnation != probe.record.incarnation:
                continue
            suspicion = Update(entry.record, CONDITION_SUSPECT)
            self._apply_update(suspicion, now_s, 'probe failed')
            self._probe_with_update(entry.record, entry, now_s)

    def _declare_dead(self, now_s: float) -> None:
        for entry in self._table.expired_suspicions(now_s):
            death = Update(entry.record, CONDITION_DEAD)
            self._apply_update(death, now_s, 'suspicion was not refuted')

    # Member list

    def _request_page(self, now_s: float) -> None:
        if now_s < self._page_due_s:
            return
        sampled = self._sample(1)
        if not sampled:
            return
        complete = self._has_member_list
        period_s = PAGE_PERIOD_S if complete else JOIN_PAGE_PERIOD_S
        self._page_due_s = now_s + period_s
        request = MembersRequest(self._header(now_s), self._page_after)
        self._sends.append(Send(_address(sampled[0].record), request))

    # Sending

    def _header(self, now_s: float) -> Header:
        return Header(
            self._record,
            self._generation,
            self._head_digest,
            self.reachability.store_age_ms(now_s),
        )

    def _sample(self, count: int, *excluded: str | None) -> list[MemberEntry]:
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
        if self._update_budget.take(
            min(len(self._update_queue), MAX_UPDATES), now_s
        ):
            names = self._update_queue.select(len(self._table), self._is_known)
        entries = [self._table.find(name) for name in names]
        updates = [entry.update(now_s) for entry in entries]
        about = self._table.find(receiver.name)
        if about is not None and about.condition != CONDITION_ALIVE:
            updates.insert(0, about.update(now_s))
        return fit_updates(header, tuple(updates), len(receiver.name))

    def _is_known(self, name: str) -> bool:
        return self._table.find(name) is not None

    def _push(self, now_s: float, sender_name: str | None) -> None:
        """Send queued updates to some members at once.

        Probes alone would take seconds to spread them.
        """
        receivers = self._sample(PUSH_FAN_OUT, sender_name)
        if not receivers:
            return
        if not self._push_budget.take(len(receivers), now_s):
            return
        header = self._header(now_s)
        updates = self._select_updates(header, self._record, now_s)
        message = Gossip(header, updates)
        for entry in receivers:
            self._sends.append(Send(_address(entry.record), message))

    def _finish(self, now_s: float, sender_name: str | None = None) -> Step:
        if self._is_push_pending and now_s - self._pushed_s >= PUSH_INTERVAL_S:
            self._is_push_pending = False
            self._pushed_s = now_s
            self._push(now_s, sender_name)
        step = Step(tuple(self._sends), tuple(self._changes))
        self._sends.clear()
        self._changes.clear()
        return step


def _address(record: Record) -> Address:
    return record.address, record.control_port


def _matches_entry(entry: MemberEntry, record: Record) -> bool:
    """Tell whether the entry holds the sender's own record as alive."""
    return entry.condition == CONDITION_ALIVE and entry.record == record


def _entry_name(entry: MemberEntry) -> str:
    return entry.record.name


def _member_name(member: Member) -> str:
    return member.name
