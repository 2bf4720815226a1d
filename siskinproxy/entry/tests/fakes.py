"""Packets, records and an engine in memory, for tests of the entry process."""

import random

from siskinproxy.entry.cold_limit import ColdBounds, ColdLimit
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.ended_evidence import EndedEvidence
from siskinproxy.entry.engine import EntryEngine
from siskinproxy.entry.load_view import LoadView
from siskinproxy.entry.packets import ACK, FIN, SYN
from siskinproxy.entry.records import (
    Address,
    OperatorConfiguration,
    RequestKind,
    RouteRecord,
    ServiceRecord,
    ServiceShare,
    TargetRecord,
)
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.target_selection import Placer
from siskinproxy.platform.packets import PlatformCodec

#: Address and port at which callers reach the default route.
VIRTUAL_ENDPOINT = bytes([198, 18, 0, 1]) + (443).to_bytes(2)
#: Wall-clock time at the start of a test, in seconds.
UNIX_START_S = 1000.0
#: Bit in the platform's flags byte, for each flag of the entry process.
WIRE_FLAGS = {SYN: 64, ACK: 2, FIN: 4}


def packet(
    port, flags=SYN, token=0, copy=0, data=b'', destination=VIRTUAL_ENDPOINT
):
    """Return a packet of the caller 100.64.0.7 in the platform's format.

    The packet has the sequence number 7. `copy` is the field for the number of
    earlier transmissions of an opening packet.
    """
    wire = sum(bit for flag, bit in WIRE_FLAGS.items() if flags & flag)
    return b''.join(
        (
            len(data).to_bytes(2),
            destination[:4],
            port.to_bytes(2),
            destination[4:],
            bytes([100, 64, 0, 7, wire]),
            (7).to_bytes(4),
            copy.to_bytes(4),
            bytes(4),
            token.to_bytes(4),
            data,
        )
    )


def target(number, service='desk', zone='a', **changes):
    """Return the record of a target; keyword arguments replace fields."""
    fields = {
        'name': f't-{number:x}',
        'target_id': number,
        'service': service,
        'address': Address(f'10.0.0.{number}', 8080),
        'zone': zone,
        'slots': 4,
        'is_draining': False,
        'warmup_left_s': 0.0,
        'started_unix_ms': 1,
        'revision': 1,
    }
    return TargetRecord(**(fields | changes))


def route(name='desk', destination=VIRTUAL_ENDPOINT, shares=None, **changes):
    """Return a route; keyword arguments replace fields."""
    fields = {
        'name': name,
        'destination': destination,
        'shares': shares or (ServiceShare('desk', 1),),
        'kind': RequestKind.SAFE,
        'deadline_s': 4.0,
        'objective_s': 0.25,
        'priority': 2,
    }
    return RouteRecord(**(fields | changes))


def configuration(version=1, routes=None, warmup_per_s=10.0):
    """Return a configuration with the services ``desk`` and ``archive``."""
    services = tuple(
        ServiceRecord(name, '/health', 2000, 2.0, warmup_per_s)
        for name in ('desk', 'archive')
    )
    return OperatorConfiguration(
        version, (route(),) if routes is None else routes, services, 15.0
    )


class Outbox:
    """Records the datagrams that the engine sends."""

    def __init__(self):
        self.sent = []

    def send(self, address, datagram):
        self.sent.append((address, datagram))

    def take(self):
        sent, self.sent = self.sent, []
        return sent


class Events:
    """Records the logged events."""

    def __init__(self):
        self.events = []

    def event(self, name, /, **pairs):
        self.events.append((name, pairs))

    warning = event
    error = event

    def named(self, name):
        return [pairs for found, pairs in self.events if found == name]


class Instance:
    """Engine of an instance, with its directory, routes and load counts."""

    def __init__(
        self,
        name='one',
        zone='a',
        targets=(),
        cfg=None,
        seed=1,
        resets_ended=False,
    ):
        self.outbox = Outbox()
        self.events = Events()
        self.directory = TargetDirectory()
        self.routes = RouteTable()
        self.routes.apply(cfg or configuration(), 0)
        for record in targets:
            self.directory.announce(record, 0)
        self.responsiveness = Responsiveness()
        self.unix_s = UNIX_START_S
        self.ended = EndedEvidence(self.responsiveness, lambda: self.unix_s)
        if resets_ended:
            self.directory.on_change = self.ended.on_change
        self.cold_limit = ColdLimit(name, ColdBounds(1.5, 5))
        self.loads = LoadView()
        self.placer = Placer(
            zone,
            self.cold_limit,
            self.responsiveness,
            self.loads,
            random.Random(seed),
        )
        self.engine = EntryEngine(
            PlatformCodec(8172),
            self.directory,
            self.routes,
            self.placer,
            self.responsiveness,
            self.outbox,
            self.events,
            ended=self.ended if resets_ended else None,
        )

    def open(self, port, now_s, **fields):
        """Open a flow; return the record of its target, None if refused.

        An opening that has to wait raises `IndexError`: nothing is sent.
        """
        self.engine.on_packet(packet(port, **fields), now_s)
        address, _ = self.outbox.take()[-1]
        for known in self.directory.targets():
            if known.record.address == address:
                return known.record
        return None

    def answer(self, port, record, now_s, **fields):
        """Send the caller's acknowledgement of a target's answer.

        Return the datagrams that the engine sends in turn.
        """
        acknowledgement = packet(port, flags=ACK, token=record.token, **fields)
        self.engine.on_packet(acknowledgement, now_s)
        return self.outbox.take()
