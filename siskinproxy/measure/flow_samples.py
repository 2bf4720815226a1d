"""Sample configurations, flows and segments for packet benchmarks."""

import socket
import struct
from collections.abc import Iterator
from typing import Final

from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.fabric.segments import (
    ACK,
    RST,
    SYN,
    Endpoint,
    build_segment,
    pack_endpoint,
)
from siskinproxy.instances.tunnel import CopyEntry, encode_entries
from siskinproxy.operators.configuration import (
    Configuration,
    Listener,
    Service,
    Target,
    Zone,
)

__all__ = (
    'PAYLOAD_BYTES',
    'TARGETS_PER_SERVICE',
    'TARGET_PORT',
    'SampleFlows',
    'accept_syn',
    'adopt_flows',
    'make_configuration',
    'reset_of_syn',
)

#: Maximum number of targets of a service in sample configurations.
TARGETS_PER_SERVICE: Final = 10
#: Default port of the targets.
TARGET_PORT: Final = 17900
#: Data in each sample segment other than a SYN.
PAYLOAD_BYTES: Final = 100

_REGION: Final = 'alfold'
_SERVICE_PORT: Final = 443
#: Flow entries in one COPY datagram.
_ENTRIES_PER_BATCH: Final = 500
#: Offset of the TCP flags in a segment: 20 bytes of IPv4 and 13 of TCP
#: header come before them.
_FLAGS_OFFSET: Final = 33
#: Ports of sample callers at each address.
_FIRST_CALLER_PORT: Final = 1024
_PORTS_PER_ADDRESS: Final = 60_000
_UINT16: Final = struct.Struct('!H')


def make_configuration(
    target_count: int,
    zones: tuple[str, ...] = ('a',),
    connections: int = 100_000,
    target_port: int = TARGET_PORT,
    mode: str = 'stream',
) -> Configuration:
    """Return a configuration with a given number of targets.

    Parameters
    ----------
    target_count : int
        Number of targets; each service has 10 of them, the last one may have
        fewer.
    zones : tuple of str
        Zones over which the targets are spread evenly.
    connections : int
        Connections that each target accepts at the same time.
    target_port : int
        Port of all targets.
    mode : {'request', 'stream'}
        Mode of the listeners.

    Returns
    -------
    Configuration
        The configuration; all target addresses are loopback addresses.
    """
    services = []
    for first in range(0, target_count, TARGETS_PER_SERVICE):
        number = first // TARGETS_PER_SERVICE
        last = min(first + TARGETS_PER_SERVICE, target_count)
        listener = Listener(
            f'203.0.{number // 250}.{number % 250 + 1}',
            _SERVICE_PORT,
            target_port,
            mode=mode,
        )
        targets = tuple(
            Target(
                f'target-{index:05d}',
                f'127.1.{index // 250}.{index % 250 + 1}',
                zones[index % len(zones)],
                connections=connections,
            )
            for index in range(first, last)
        )
        services.append(Service(f'service-{number:04d}', (listener,), targets))
    return Configuration(_REGION, tuple(map(Zone, zones)), tuple(services))


class SampleFlows:
    """Numbered flows, spread over the targets of a configuration.

    Parameters
    ----------
    cfg : Configuration
        Configuration with one listener for each service.
    caller_net : int
        Second byte of the callers' addresses, so that several series of
        flows do not overlap.
    """

    def __init__(self, cfg: Configuration, caller_net: int = 1) -> None:
        self._pairs = [
            (service.listeners[0], target)
            for service in cfg.services
            for target in service.targets
        ]
        self._caller_net = caller_net

    def caller(self, number: int) -> Endpoint:
        """Return the caller's address and port of a flow."""
        host, port = divmod(number, _PORTS_PER_ADDRESS)
        return Endpoint(
            f'10.{self._caller_net}.{host // 250}.{host % 250 + 1}',
            _FIRST_CALLER_PORT + port,
        )

    def entry(self, number: int) -> CopyEntry:
        """Return the entry of a flow in a COPY datagram between homes."""
        listener, target = self._listener_and_target(number)
        caller = self.caller(number)
        key = (
            socket.inet_aton(caller.address)
            + socket.inet_aton(listener.address)
            + _UINT16.pack(caller.port)
            + _UINT16.pack(listener.port)
        )
        endpoint = Endpoint(target.address, listener.target_port)
        return CopyEntry(key, pack_endpoint(endpoint), 1)

    def request(self, number: int, flags: int = ACK) -> bytes:
        """Return a segment from the caller; a SYN has no data."""
        listener, _ = self._listener_and_target(number)
        return build_segment(
            self.caller(number),
            Endpoint(listener.address, listener.port),
            flags,
            1,
            0,
            b'' if flags & SYN else bytes(PAYLOAD_BYTES),
        )

    def response(self, number: int, flags: int = ACK) -> bytes:
        """Return a segment with data from the target."""
        listener, target = self._listener_and_target(number)
        return build_segment(
            Endpoint(target.address, listener.target_port),
            self.caller(number),
            flags,
            1,
            1,
            bytes(PAYLOAD_BYTES),
        )

    def _listener_and_target(self, number: int) -> tuple[Listener, Target]:
        return self._pairs[number % len(self._pairs)]


def adopt_flows(engine: PacketEngine, flows: SampleFlows, count: int) -> None:
    """Add flow entries to an engine, as if another home had copied them.

    The flows are those with the numbers from 0 to `count` - 1.
    """
    for numbers in _batches(count):
        entries = [flows.entry(number) for number in numbers]
        engine.copier.on_copy(encode_entries(entries), 0)


def accept_syn(syn: bytes) -> bytes:
    """Return the SYN-ACK that answers a SYN, with outdated checksums."""
    return _swap_endpoints(syn, SYN | ACK)


def reset_of_syn(syn: bytes) -> bytes:
    """Return an RST from the caller of a SYN, with outdated checksums."""
    return syn[:_FLAGS_OFFSET] + bytes((RST | ACK,)) + syn[_FLAGS_OFFSET + 1 :]


def _swap_endpoints(segment: bytes, flags: int) -> bytes:
    """Return a segment in the other direction with new flags."""
    return (
        segment[:12]
        + segment[16:20]
        + segment[12:16]
        + segment[22:24]
        + segment[20:22]
        + segment[24:_FLAGS_OFFSET]
        + bytes((flags,))
        + segment[_FLAGS_OFFSET + 1 :]
    )


def _batches(count: int) -> Iterator[range]:
    """Yield the flow numbers from 0 to `count` - 1 in batches."""
    for first in range(0, count, _ENTRIES_PER_BATCH):
        yield range(first, min(first + _ENTRIES_PER_BATCH, count))
