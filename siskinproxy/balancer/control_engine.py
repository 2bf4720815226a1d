"""State machine of the control process, without sockets and clocks.

Combines the membership of the region, the transfer of configurations between
instances and the configuration in force, and derives the routing snapshot for
the packet process. Each input returns the datagrams to send and the events to
log; the caller passes in the time.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from siskinproxy.balancer.control_link import Keepalive
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.errors import (
    GossipFormatError,
    InvariantViolation,
    SiskinproxyError,
)
from siskinproxy.instances.configuration_state import (
    ConfigurationInForce,
    ConfigurationState,
)
from siskinproxy.instances.configuration_transfer import (
    TRANSFER_KINDS,
    ConfigurationTransfer,
    FetchedConfiguration,
    TransferStep,
)
from siskinproxy.instances.gossip import (
    HEAD_DIGEST_BYTES,
    UDP_OVERHEAD_BYTES,
    Header,
    Record,
    decode_message,
    encode_message,
)
from siskinproxy.instances.member_table import MemberChange
from siskinproxy.instances.membership import Membership, Send, Step
from siskinproxy.instances.probes import Address
from siskinproxy.instances.reachability import REACHABLE_S
from siskinproxy.operators.configuration import Configuration
from siskinproxy.operators.progress import InstanceState
from siskinproxy.store.restoration import AcceptedHead

__all__ = (
    'ConfigurationCodec',
    'ControlEngine',
    'ControlEvent',
    'ControlStep',
    'Datagram',
)

#: A zone that was not heard from for longer than this counts as silent, and
#: the platform's list of instances is read more often.
SILENT_ZONE_S: Final = 1.5


class ConfigurationCodec(NamedTuple):
    """Functions that decode a configuration in its stored form.

    Parameters
    ----------
    digest_of : callable
        Returns the digest of an encoded head or section.
    sections_of : callable
        Returns the digests of the sections that an encoded head names.
    assemble : callable
        Returns the generation and the configuration of an encoded head and
        its encoded sections by digest.
    """

    digest_of: Callable[[bytes], bytes]
    sections_of: Callable[[bytes], Iterable[bytes]]
    assemble: Callable[
        [bytes, Mapping[bytes, bytes]],
        tuple[int, Configuration],
    ]


class Datagram(NamedTuple):
    """Encoded gossip message and the control address of its receiver."""

    address: Address
    payload: bytes


class ControlEvent(NamedTuple):
    """Event for the log and the metrics.

    Parameters
    ----------
    name : str
        Name of the event.
    pairs : dict of str to object
        Keys and values of the log line.
    """

    name: str
    pairs: dict[str, object]


class ControlStep(NamedTuple):
    """Result of one input of the control engine.

    Parameters
    ----------
    datagrams : tuple of Datagram
        Datagrams to send.
    events : tuple of ControlEvent
        Events to log.
    snapshot : RoutingSnapshot or None
        New snapshot for the packet process, None if there is none to send.
    """

    datagrams: tuple[Datagram, ...] = ()
    events: tuple[ControlEvent, ...] = ()
    snapshot: RoutingSnapshot | None = None


class ControlEngine:
    """Membership and configuration of one instance.

    Parameters
    ----------
    identity : Member
        This instance.
    codec : ConfigurationCodec
        Decodes heads and sections.
    rng : random.Random
        Source of all random choices.
    seeds : tuple of (str, int)
        Control addresses of instances that are probed to join the region.
    now_s : float
        Current time in seconds.
    """

    def __init__(
        self,
        identity: Member,
        codec: ConfigurationCodec,
        rng: random.Random,
        seeds: tuple[Address, ...],
        now_s: float,
    ) -> None:
        self.membership = Membership(identity, rng, seeds, now_s)
        self.configuration = ConfigurationState()
        self.accepted: AcceptedHead | None = None
        self.transfer = ConfigurationTransfer(
            rng,
            codec.digest_of,
            codec.sections_of,
            now_s,
        )
        #: Bytes and messages sent and received, and received messages that
        #: could not be decoded; bytes include the IP and UDP headers.
        self.traffic: Counter[str] = Counter()
        self._codec = codec
        self._packet_connected = False
        #: Latest pair of incarnation and generation announced by each instance.
        self._announced: dict[str, tuple[int, int]] = {}
        self._snapshot_wanted = False
        self._datagrams: list[Datagram] = []
        self._events: list[ControlEvent] = []

    def on_datagram(self, payload: bytes, now_s: float) -> ControlStep:
        """Handle a gossip datagram from another instance.

        Parameters
        ----------
        payload : bytes
            UDP payload.
        now_s : float
            Current time in seconds.

        Returns
        -------
        ControlStep
            Datagrams to send and events.
        """
        self.traffic['received_bytes'] += len(payload) + UDP_OVERHEAD_BYTES
        self.traffic['received_messages'] += 1
        try:
            message = decode_message(payload)
        except GossipFormatError as exc:
            self.traffic['malformed_messages'] += 1
            self._event('malformed_datagram', error=str(exc))
            return self._finish()
        self._record_generation(message.header)
        step = self.membership.on_message(message, now_s)
        monotonic_s = self.membership.monotonic_s(now_s)
        if not isinstance(message, TRANSFER_KINDS):
            size_bytes = len(payload) + UDP_OVERHEAD_BYTES
            self.transfer.charge(size_bytes, monotonic_s)
        self._apply_membership(step, now_s)
        # After a pause of the process the message may have waited in the
        # socket, so it is not passed on.
        if not self.membership.is_resuming(now_s):
            header = self.membership.header(now_s)
            transfer = self.transfer.on_message(message, header, monotonic_s)
            self._apply_transfer(transfer, now_s)
        return self._finish()

    def on_timer(self, now_s: float) -> ControlStep:
        """Send what is due and evaluate timeouts; to be called every 50 ms.

        Parameters
        ----------
        now_s : float
            Current time in seconds.

        Returns
        -------
        ControlStep
            Datagrams to send, events and, after a change of members or
            configuration, a snapshot.
        """
        self._apply_membership(self.membership.on_timer(now_s), now_s)
        header = self.membership.header(now_s)
        monotonic_s = self.membership.monotonic_s(now_s)
        self._apply_transfer(self.transfer.on_timer(header, monotonic_s), now_s)
        self._confirm_provisional(now_s)
        snapshot = None
        if self._snapshot_wanted:
            snapshot = self.snapshot(now_s)
        if snapshot is not None:
            self._snapshot_wanted = False
        return self._finish(snapshot)

    def apply_from_store(
        self,
        head: bytes,
        sections: Mapping[bytes, bytes],
        read_s: float,
        now_s: float,
    ) -> ControlStep:
        """Apply a configuration that was read from the store or a file.

        Parameters
        ----------
        head : bytes
            Value of the head key.
        sections : mapping of bytes to bytes
            Encoded sections by digest.
        read_s : float
            Time in seconds at which the read began or the store was last
            heard from; the store held this head at that time or later.
        now_s : float
            Current time in seconds.

        Returns
        -------
        ControlStep
            Datagrams that announce the generation, and events.

        Raises
        ------
        SiskinproxyError
            If head or sections cannot be decoded, or the store holds another
            head of the generation in force (``config_monotonic``).
        """
        generation, cfg = self._codec.assemble(head, sections)
        candidate = ConfigurationInForce(
            generation,
            self._codec.digest_of(head)[:HEAD_DIGEST_BYTES],
            cfg,
            provisional=False,
            applied_s=now_s,
        )
        self._apply_configuration(candidate, head, sections, now_s)
        if generation >= self.configuration.generation:
            self.membership.note_store_read(read_s)
        return self._finish()

    def note_store_read(self, generation: int, read_s: float) -> None:
        """Note that the store still held a generation.

        Parameters
        ----------
        generation : int
            Generation that the store held.
        read_s : float
            Time of the read in seconds.
        """
        if generation <= self.configuration.generation:
            self.membership.note_store_read(read_s)

    def set_packet_connected(
        self,
        connected: bool,
        now_s: float,
    ) -> ControlStep:
        """Note whether the packet process is connected.

        An instance announces that it serves only while it has a configuration
        and a connected packet process.

        Parameters
        ----------
        connected : bool
            True while the control link is connected.
        now_s : float
            Current time in seconds.

        Returns
        -------
        ControlStep
            Datagrams that announce the status of this instance, and events.
        """
        self._packet_connected = connected
        self._update_serving(now_s)
        return self._finish()

    def leave(self, now_s: float) -> ControlStep:
        """Announce that this instance is leaving for a planned stop."""
        self._apply_membership(self.membership.leave(now_s), now_s)
        return self._finish()

    def announce_exit(self, now_s: float) -> ControlStep:
        """Announce that this instance exits now, so peers need not detect it."""
        self._apply_membership(self.membership.announce_exit(now_s), now_s)
        return self._finish()

    def snapshot(self, now_s: float) -> RoutingSnapshot | None:
        """Return the routing snapshot, or None without a configuration."""
        current = self.configuration.in_force
        if current is None:
            return None
        return RoutingSnapshot(
            current.generation,
            current.configuration,
            self.membership.members(),
            self.zone_sight_s(now_s),
            current.provisional,
        )

    def instances(self) -> tuple[InstanceState, ...]:
        """Return each known instance with its state and generation.

        The generation of another instance is the one that it announced last.
        """
        own = self.membership.record
        found = [
            InstanceState(
                own.name,
                own.zone,
                own.status,
                self.configuration.generation,
            ),
        ]
        for name, state in self.membership.states().items():
            entry = self.membership.entry(name)
            if entry is not None and name != own.name:
                zone = entry.record.zone
                generation = self._announced_generation(entry.record)
                found.append(InstanceState(name, zone, state, generation))
        # Forget instances that membership has removed.
        known = {instance.name for instance in found}
        for name in self._announced.keys() - known:
            self._announced.pop(name)
        return tuple(found)

    def _record_generation(self, header: Header) -> None:
        record = header.record
        before = self._announced.get(record.name, (0, 0))
        announced = (record.incarnation, header.generation)
        # Messages can arrive out of order, so the highest pair is kept.
        self._announced[record.name] = max(before, announced)

    def _announced_generation(self, record: Record) -> int:
        incarnation, generation = self._announced.get(record.name, (0, 0))
        # With a higher incarnation the instance may have restarted and lost
        # the configuration that it announced before.
        return generation if incarnation >= record.incarnation else 0

    def keepalive(self, now_s: float) -> Keepalive:
        """Return the message sent to the packet process between snapshots."""
        generation = self.configuration.generation
        return Keepalive(generation, self.zone_sight_s(now_s))

    def zone_sight_s(self, now_s: float) -> dict[str, float]:
        """Return the seconds since each zone was heard from.

        The latest store read counts as a message from a zone in which the
        platform lists no live instance, since nobody there could send one.
        The age is infinite if neither is known.
        """
        current = self.configuration.in_force
        zones = current.configuration.zones if current else ()
        names = [zone.name for zone in zones]
        return self.membership.zone_sight_s(names, now_s)

    def is_zone_silent(self, now_s: float) -> bool:
        """Whether a zone was not heard from for `SILENT_ZONE_S` seconds.

        The platform's list of instances then tells whether the zone still has
        live instances.
        """
        ages_s = self.zone_sight_s(now_s).values()
        return max(ages_s, default=0) > SILENT_ZONE_S

    # Configuration

    def _apply_transfer(self, step: TransferStep, now_s: float) -> None:
        self._send(step.sends)
        if step.reason:
            self._event('configuration_transfer', detail=step.reason)
        if step.fetched is not None:
            self._apply_fetched(step.fetched, now_s)

    def _apply_fetched(
        self,
        fetched: FetchedConfiguration,
        now_s: float,
    ) -> None:
        try:
            generation, cfg = self._codec.assemble(
                fetched.head,
                fetched.sections,
            )
        except SiskinproxyError as exc:
            self._reject(fetched, str(exc))
            return
        if generation != fetched.generation:
            self._reject(
                fetched,
                f'generation={generation} in the head, not the announced one',
            )
            return
        candidate = ConfigurationInForce(
            generation,
            fetched.head_digest,
            cfg,
            provisional=self.configuration.in_force is None,
            applied_s=now_s,
        )
        self._apply_configuration(
            candidate, fetched.head, fetched.sections, now_s
        )

    def _reject(self, fetched: FetchedConfiguration, error: str) -> None:
        self.transfer.reject(fetched.head_digest)
        self._event(
            'configuration_rejected',
            generation=fetched.generation,
            error=error,
        )

    def _apply_configuration(
        self,
        candidate: ConfigurationInForce,
        head: bytes,
        sections: Mapping[bytes, bytes],
        now_s: float,
    ) -> None:
        try:
            result = self.configuration.apply(candidate)
        except InvariantViolation as exc:
            self._event('invariant_violation', error=str(exc))
            raise
        if result.outcome == 'ignored':
            return
        self._event(
            f'configuration_{result.outcome}',
            generation=candidate.generation,
            reason=result.reason,
            provisional=candidate.provisional,
        )
        self._snapshot_wanted = True
        if result.outcome == 'applied':
            self.accepted = AcceptedHead(candidate.generation, head, sections)
            self.transfer.serve(candidate.generation, head, sections)
            step = self.membership.set_configuration(
                candidate.generation,
                candidate.head_digest,
                now_s,
            )
            self._apply_membership(step, now_s)
            self._update_serving(now_s)

    def _confirm_provisional(self, now_s: float) -> None:
        current = self.configuration.in_force
        if current is None or not current.provisional:
            return
        if self.membership.store_age_s(now_s) > REACHABLE_S:
            return
        result = self.configuration.confirm('a peer has read the store')
        self._snapshot_wanted = True
        self._event(
            'configuration_confirmed',
            generation=current.generation,
            reason=result.reason,
        )

    # Membership

    def _update_serving(self, now_s: float) -> None:
        has_configuration = self.configuration.in_force is not None
        serving = has_configuration and self._packet_connected
        step = self.membership.set_serving(serving, now_s)
        self._apply_membership(step, now_s)

    def _apply_membership(self, step: Step, now_s: float) -> None:
        monotonic_s = self.membership.monotonic_s(now_s)
        self.transfer.charge(self._send(step.sends), monotonic_s)
        for change in step.changes:
            self._snapshot_wanted = True
            self._events.append(_change_event(change))

    # Output

    def _send(self, sends: tuple[Send, ...]) -> int:
        """Queue messages for sending; return their size in bytes.

        The size includes the IP and UDP headers.
        """
        total_bytes = 0
        for address, message in sends:
            payload = encode_message(message)
            total_bytes += len(payload) + UDP_OVERHEAD_BYTES
            self._datagrams.append(Datagram(address, payload))
        self.traffic['sent_bytes'] += total_bytes
        self.traffic['sent_messages'] += len(sends)
        return total_bytes

    def _event(self, event: str, **pairs: object) -> None:
        self._events.append(ControlEvent(event, pairs))

    def _finish(
        self,
        snapshot: RoutingSnapshot | None = None,
    ) -> ControlStep:
        step = ControlStep(
            tuple(self._datagrams),
            tuple(self._events),
            snapshot,
        )
        self._datagrams.clear()
        self._events.clear()
        return step


def _change_event(change: MemberChange) -> ControlEvent:
    return ControlEvent(
        'member_changed',
        {
            'member': change.name,
            'before': change.before,
            'after': change.after,
            'incarnation': change.incarnation,
            'reason': change.reason,
        },
    )
