"""Stand-in for the network fabric between callers and instances.

The fabric sends each packet of a caller to a random instance (packet
spraying), so the packets of one flow arrive at several instances. It
forwards the packets that instances send to callers, and can lose, duplicate
and reorder packets. `FabricModel` makes the decisions without sockets or
clocks; `main` runs it as a process with a UDP socket and a control port.
"""

import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import fire
import gevent
import msgspec

from siskinproxy.fabric.segments import (
    FLAGS_OFFSET,
    RST,
    Endpoint,
    is_ipv4_tcp,
    unpack_endpoint,
)
from siskinproxy.logs import EventLog, set_up_logs
from siskinproxy.standins.control_port import ControlServer
from siskinproxy.standins.process import (
    MAX_DATAGRAM_BYTES,
    StopEvent,
    open_udp_socket,
)

__all__ = (
    'Delivery',
    'FabricFaults',
    'FabricInstance',
    'FabricModel',
    'main',
)

#: Network part of the service addresses, 203.0.113.0/24 (RFC 5737
#: TEST-NET-3). A packet from such an address is for a caller, any other
#: packet is for an instance.
_SERVICE_PREFIX: Final = bytes((203, 0, 113))
#: Time between two searches for delayed packets that are due.
_RELEASE_INTERVAL_S: Final = 0.002
#: Time between two reads of the file with the instance list.
_FILE_POLL_INTERVAL_S: Final = 0.2


class FabricInstance(msgspec.Struct, frozen=True):
    """Entry of the platform's list of instances.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : str
        IPv4 address.
    packet_port : int
        UDP port of the instance's packet process.
    zone : str
        Availability zone.
    status : str
        ``alive`` or ``leaving``; a leaving instance gets no packets.
    """

    name: str
    address: str
    packet_port: int
    zone: str = ''
    status: str = 'alive'


class FabricFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the network and delay of the instance list.

    Parameters
    ----------
    loss, duplication, reordering : float
        Probabilities, between 0 and 1, that a packet is dropped, sent twice
        or delayed.
    reordering_s : float
        Maximum delay of a reordered packet, in seconds; the delay is uniformly
        distributed from 0.
    list_lag_s : float
        Delay before a new instance list takes effect, in seconds.
    """

    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    reordering_s: float = 0.02
    list_lag_s: float = 0


class _PendingList(NamedTuple):
    """Instance list that takes effect at a later time."""

    effective_s: float
    instances: tuple[FabricInstance, ...]


class Delivery(NamedTuple):
    """Datagram to send, and the address and UDP port to send it to."""

    endpoint: Endpoint
    datagram: bytes


class FabricModel:
    """Routing and fault decisions of the fabric, without sockets or clocks.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    faults : FabricFaults
        Initial faults.

    Attributes
    ----------
    counters : collections.Counter
        Number of packets by event, such as ``lost`` or ``to_callers``.
    faults : FabricFaults
        Faults that apply to the next packets.
    resets : dict
        Address and port of the sender of the last RST to each caller; the
        key is the caller as ``address:port``.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: FabricFaults = FabricFaults(),  # noqa: B008, WPS404
    ) -> None:
        self.counters: Counter[str] = Counter()
        self.faults = faults
        self.resets: dict[str, tuple[str, int]] = {}
        self._rng = rng
        self._instances: tuple[FabricInstance, ...] = ()
        self._live: tuple[FabricInstance, ...] = ()
        self._pending_lists: list[_PendingList] = []
        self._isolated: set[str] = set()
        self._isolated_endpoints: set[tuple[str, int]] = set()
        self._delayed: list[tuple[float, int, Delivery]] = []
        # Keeps the heap from comparing deliveries that are due together.
        self._tie_breaker = itertools.count()

    def set_instances(
        self,
        instances: Iterable[FabricInstance],
        now_s: float,
    ) -> None:
        """Replace the instance list after the delay ``list_lag_s``.

        Parameters
        ----------
        instances : iterable of FabricInstance
            New list.
        now_s : float
            Current time in seconds.
        """
        effective_s = now_s + self.faults.list_lag_s
        self._pending_lists.append(_PendingList(effective_s, tuple(instances)))
        self._apply_due_lists(now_s)

    def cut(self, names: Iterable[str]) -> None:
        """Drop all packets to and from the named instances.

        Parameters
        ----------
        names : iterable of str
            Instances to isolate; replaces those of an earlier call, so an
            empty iterable reconnects all instances.
        """
        self._isolated = set(names)
        self._update_isolated_endpoints()

    def on_datagram(
        self,
        datagram: bytes,
        sender: tuple[str, int],
        now_s: float,
    ) -> list[Delivery]:
        """Choose the receivers of a datagram, with the faults applied.

        Parameters
        ----------
        datagram : bytes
            IPv4 packet.
        sender : tuple of str and int
            Source address and UDP port of the datagram.
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of Delivery
            Datagrams to send now; empty if the datagram is malformed,
            dropped or delayed. `pop_due` returns delayed datagrams.
        """
        self._apply_due_lists(now_s)
        self.counters['received'] += 1
        if not is_ipv4_tcp(datagram):
            self.counters['malformed'] += 1
            return []
        if sender in self._isolated_endpoints:
            self.counters['cut'] += 1
            return []
        copies = self._draw_copies()
        deliveries = []
        for _ in range(copies):
            endpoint = self._select_endpoint(datagram, sender)
            if endpoint is None:
                continue
            deliveries += self._delay_if_reordered(
                Delivery(endpoint, datagram), now_s
            )
        return deliveries

    def pop_due(self, now_s: float) -> list[Delivery]:
        """Remove and return the delayed datagrams that are due."""
        self._apply_due_lists(now_s)
        deliveries = []
        while self._delayed and self._delayed[0][0] <= now_s:
            deliveries.append(heapq.heappop(self._delayed)[2])
        return deliveries

    def stats(self) -> dict[str, Any]:
        """Return the counters and the names of live and isolated instances."""
        return {
            **self.counters,
            'live': [instance.name for instance in self._live],
            'cut_instances': sorted(self._isolated),
        }

    def _apply_due_lists(self, now_s: float) -> None:
        while (
            self._pending_lists and self._pending_lists[0].effective_s <= now_s
        ):
            self._instances = self._pending_lists.pop(0).instances
            self._live = tuple(
                instance
                for instance in self._instances
                if instance.status == 'alive'
            )
            self._update_isolated_endpoints()

    def _update_isolated_endpoints(self) -> None:
        self._isolated_endpoints = {
            (instance.address, instance.packet_port)
            for instance in self._instances
            if instance.name in self._isolated
        }

    def _draw_copies(self) -> int:
        if self._rng.random() < self.faults.loss:
            self.counters['lost'] += 1
            return 0
        if self._rng.random() < self.faults.duplication:
            self.counters['duplicated'] += 1
            return 2
        return 1

    def _select_endpoint(
        self,
        datagram: bytes,
        sender: tuple[str, int],
    ) -> Endpoint | None:
        """Return where to send a packet, None if it is dropped."""
        # Bytes 12 to 14 are the network part of the source address; bytes
        # 16 to 19 and 22 to 23 are the destination address and port.
        if datagram[12:15] == _SERVICE_PREFIX:
            self.counters['to_callers'] += 1
            caller = unpack_endpoint(datagram[16:20] + datagram[22:24])
            if datagram[FLAGS_OFFSET] & RST:
                self.resets[f'{caller.address}:{caller.port}'] = sender
            return caller
        if not self._live:
            self.counters['no_instance'] += 1
            return None
        instance = self._rng.choice(self._live)
        if instance.name in self._isolated:
            self.counters['cut'] += 1
            return None
        self.counters['to_instances'] += 1
        return Endpoint(instance.address, instance.packet_port)

    def _delay_if_reordered(
        self, delivery: Delivery, now_s: float
    ) -> list[Delivery]:
        if self._rng.random() >= self.faults.reordering:
            return [delivery]
        self.counters['reordered'] += 1
        delay_s = self._rng.uniform(0, self.faults.reordering_s)
        entry = (now_s + delay_s, next(self._tie_breaker), delivery)
        heapq.heappush(self._delayed, entry)
        return []


class FabricProcess:
    """Serves a `FabricModel` on a UDP socket, with a control port.

    Parameters
    ----------
    model : FabricModel
        Decides where datagrams go.
    endpoint : Endpoint
        UDP address and port for datagrams.
    control_port : int
        TCP port for commands, 0 for any free port.
    instances_file : str
        JSON file with the instance list, read again when it changes; empty
        if the command ``set_instances`` sets the list.
    """

    def __init__(
        self,
        model: FabricModel,
        endpoint: Endpoint,
        control_port: int,
        instances_file: str = '',
    ) -> None:
        self.stop_event = StopEvent()
        self._model = model
        self._file = Path(instances_file) if instances_file else None
        self._file_text = b''
        self._sock = open_udp_socket(endpoint)
        self._log = EventLog('standin-fabric')
        commands = {
            'set_instances': self._set_instances,
            'set_faults': self._set_faults,
            'cut': self._cut,
            'resets': self._resets,
            'stats': self._stats,
            'stop': self.stop_event.handle_stop_command,
        }
        self._control = ControlServer(
            endpoint.address,
            control_port,
            commands,
        )
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the control port and forward datagrams in the background."""
        self._control.start()
        loops = [self._receive, self._send_delayed]
        if self._file:
            loops.append(self._follow_file)
        self._greenlets = [gevent.spawn(loop) for loop in loops]
        address, port = self._sock.getsockname()
        self._log.event(
            'ready',
            address=address,
            port=port,
            control_port=self._control.port,
        )

    def close(self) -> None:
        """Stop forwarding, close both ports and log the counters."""
        gevent.killall(self._greenlets)
        self._control.close()
        self._sock.close()
        self._log.event('stopped', **self._model.counters)

    def _receive(self) -> None:
        while True:
            datagram, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            now_s = time.monotonic()
            self._send(self._model.on_datagram(datagram, sender, now_s))

    def _send_delayed(self) -> None:
        while True:
            gevent.sleep(_RELEASE_INTERVAL_S)
            self._send(self._model.pop_due(time.monotonic()))

    def _follow_file(self) -> None:
        while True:
            text = self._file.read_bytes() if self._file.exists() else b''
            if text and text != self._file_text:
                self._file_text = text
                self._set_instances(msgspec.json.decode(text))
            gevent.sleep(_FILE_POLL_INTERVAL_S)

    def _send(self, deliveries: list[Delivery]) -> None:
        for delivery in deliveries:
            try:
                self._sock.sendto(delivery.datagram, delivery.endpoint)
            except OSError:
                self._model.counters['send_failed'] += 1

    def _set_instances(self, instances: list[Any]) -> Mapping[str, Any]:
        instance_list = msgspec.convert(instances, tuple[FabricInstance, ...])
        self._model.set_instances(instance_list, time.monotonic())
        self._log.event('instances', count=len(instance_list))
        return {'count': len(instance_list)}

    def _set_faults(self, **faults: float) -> Mapping[str, Any]:
        """Change the given faults; all others keep their values."""
        current = msgspec.to_builtins(self._model.faults)
        self._model.faults = msgspec.convert(
            {**current, **faults},
            FabricFaults,
        )
        self._log.event('faults', **faults)
        return msgspec.to_builtins(self._model.faults)

    def _cut(self, names: list[str]) -> Mapping[str, Any]:
        self._model.cut(names)
        self._log.event('cut', instances=','.join(names))
        return {'cut_instances': names}

    def _resets(self) -> Mapping[str, Any]:
        return self._model.resets

    def _stats(self) -> Mapping[str, Any]:
        return self._model.stats()


def run(  # noqa: WPS211
    address: str = '127.0.0.1',
    port: int = 0,
    control_port: int = 0,
    instances_file: str = '',
    seed: int = 1,
    loss: float = 0,
    duplication: float = 0,
    reordering: float = 0,
    list_lag_s: float = 0,
) -> None:
    """Run the stand-in for the fabric until SIGTERM or the command ``stop``.

    Parameters
    ----------
    address : str
        IPv4 address of both ports.
    port : int
        UDP port for datagrams, 0 for any free port.
    control_port : int
        TCP port for commands, 0 for any free port.
    instances_file : str
        JSON file with the instance list, read again when it changes.
    seed : int
        Seed of the random choices.
    loss, duplication, reordering : float
        Probabilities of the faults, between 0 and 1.
    list_lag_s : float
        Delay before a new instance list takes effect, in seconds.
    """
    set_up_logs()
    faults = FabricFaults(
        loss=float(loss),
        duplication=float(duplication),
        reordering=float(reordering),
        list_lag_s=float(list_lag_s),
    )
    process = FabricProcess(
        FabricModel(random.Random(seed), faults),
        Endpoint(address, port),
        control_port,
        instances_file,
    )
    process.start()
    process.stop_event.wait()
    process.close()


def main() -> None:
    """Run `run` with the command line of ``siskinproxy-standin-fabric``."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
