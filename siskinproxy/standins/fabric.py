"""Stand-in for the fabric: sprays packets over the instances.

`FabricModel` decides without sockets or clocks; `main` runs it as a process.
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

#: Callers see answers from these addresses only (RFC 5737 TEST-NET-3).
_SERVICE_PREFIX: Final = bytes((203, 0, 113))
_TIMER_S: Final = 0.002
_LIST_POLL_S: Final = 0.2


class FabricInstance(msgspec.Struct, frozen=True):
    """Instance as the platform's list names it.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : str
        IPv4 address.
    packet_port : int
        UDP port of its packet process.
    zone : str
        Availability zone.
    status : str
        ``alive`` or ``leaving``; the latter gets no packets.
    """

    name: str
    address: str
    packet_port: int
    zone: str = ''
    status: str = 'alive'


class FabricFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the network, each as a probability for one packet.

    Parameters
    ----------
    loss, duplication, reordering : float
        Probabilities between 0 and 1.
    reordering_s : float
        Longest extra delay of a reordered packet, in seconds.
    list_lag_s : float
        Time until a change of the instance list takes effect, in seconds.
    """

    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    reordering_s: float = 0.02
    list_lag_s: float = 0


class _TimedList(NamedTuple):
    effective_s: float
    instances: tuple[FabricInstance, ...]


class Delivery(NamedTuple):
    """Datagram for an address and port."""

    endpoint: Endpoint
    datagram: bytes


class FabricModel:
    """Decisions of the fabric.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    faults : FabricFaults
        Faults at the start.

    Attributes
    ----------
    counters : collections.Counter
        Events by name.
    resets : dict
        Instance that sent the last RST to a caller, by caller.
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
        self._known: tuple[FabricInstance, ...] = ()
        self._live: tuple[FabricInstance, ...] = ()
        self._pending_lists: list[_TimedList] = []
        self._cut: set[str] = set()
        self._cut_endpoints: set[tuple[str, int]] = set()
        self._delayed: list[tuple[float, int, Delivery]] = []
        self._order = itertools.count()

    def set_instances(
        self,
        instances: Iterable[FabricInstance],
        now_s: float,
    ) -> None:
        """Take a new instance list that is in effect after the lag."""
        effective_s = now_s + self.faults.list_lag_s
        self._pending_lists.append(_TimedList(effective_s, tuple(instances)))
        self._apply_lists(now_s)

    def cut(self, names: Iterable[str]) -> None:
        """Drop all packets to and from these instances from now on."""
        self._cut = set(names)
        self._update_cut()

    def on_datagram(
        self,
        datagram: bytes,
        sender: tuple[str, int],
        now_s: float,
    ) -> list[Delivery]:
        """Decide where a datagram goes.

        Parameters
        ----------
        datagram : bytes
            IPv4 packet.
        sender : tuple of str and int
            Address and port that the datagram came from.
        now_s : float
            Current time in seconds.

        Returns
        -------
        list of Delivery
            What to send now; `due` returns delayed datagrams.
        """
        self._apply_lists(now_s)
        self.counters['received'] += 1
        if not is_ipv4_tcp(datagram):
            self.counters['malformed'] += 1
            return []
        if sender in self._cut_endpoints:
            self.counters['cut'] += 1
            return []
        copies = self._copies()
        deliveries = []
        for _ in range(copies):
            endpoint = self._destination(datagram, sender)
            if endpoint is None:
                continue
            deliveries += self._delay(Delivery(endpoint, datagram), now_s)
        return deliveries

    def due(self, now_s: float) -> list[Delivery]:
        """Return the delayed datagrams whose time has come."""
        self._apply_lists(now_s)
        deliveries = []
        while self._delayed and self._delayed[0][0] <= now_s:
            deliveries.append(heapq.heappop(self._delayed)[2])
        return deliveries

    def stats(self) -> dict[str, Any]:
        """Return the counters and the instances that get packets."""
        return {
            **self.counters,
            'live': [instance.name for instance in self._live],
            'cut_instances': sorted(self._cut),
        }

    def _apply_lists(self, now_s: float) -> None:
        while (
            self._pending_lists and self._pending_lists[0].effective_s <= now_s
        ):
            self._known = self._pending_lists.pop(0).instances
            self._live = tuple(
                instance
                for instance in self._known
                if instance.status == 'alive'
            )
            self._update_cut()

    def _update_cut(self) -> None:
        self._cut_endpoints = {
            (instance.address, instance.packet_port)
            for instance in self._known
            if instance.name in self._cut
        }

    def _copies(self) -> int:
        if self._rng.random() < self.faults.loss:
            self.counters['lost'] += 1
            return 0
        if self._rng.random() < self.faults.duplication:
            self.counters['duplicated'] += 1
            return 2
        return 1

    def _destination(
        self,
        datagram: bytes,
        sender: tuple[str, int],
    ) -> Endpoint | None:
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
        if instance.name in self._cut:
            self.counters['cut'] += 1
            return None
        self.counters['to_instances'] += 1
        return Endpoint(instance.address, instance.packet_port)

    def _delay(self, delivery: Delivery, now_s: float) -> list[Delivery]:
        if self._rng.random() >= self.faults.reordering:
            return [delivery]
        self.counters['reordered'] += 1
        delay_s = self._rng.uniform(0, self.faults.reordering_s)
        entry = (now_s + delay_s, next(self._order), delivery)
        heapq.heappush(self._delayed, entry)
        return []


class FabricProcess:
    """Socket and control port around a `FabricModel`.

    Parameters
    ----------
    model : FabricModel
        The decisions.
    endpoint : Endpoint
        UDP address and port for datagrams.
    control_port : int
        TCP port for commands, 0 for any.
    instances_file : str
        JSON file with the instance list; empty if commands set it.
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
            'stop': self.stop_event.command,
        }
        self._control = ControlServer(
            endpoint.address,
            control_port,
            commands,
        )
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Serve in the background."""
        self._control.start()
        loops = [self._receive, self._release]
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
        """Stop serving."""
        gevent.killall(self._greenlets)
        self._control.close()
        self._sock.close()
        self._log.event('stopped', **self._model.counters)

    def _receive(self) -> None:
        while True:
            datagram, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            now_s = time.monotonic()
            self._send(self._model.on_datagram(datagram, sender, now_s))

    def _release(self) -> None:
        while True:
            gevent.sleep(_TIMER_S)
            self._send(self._model.due(time.monotonic()))

    def _follow_file(self) -> None:
        while True:
            text = self._file.read_bytes() if self._file.exists() else b''
            if text and text != self._file_text:
                self._file_text = text
                self._set_instances(msgspec.json.decode(text))
            gevent.sleep(_LIST_POLL_S)

    def _send(self, deliveries: list[Delivery]) -> None:
        for delivery in deliveries:
            try:
                self._sock.sendto(delivery.datagram, delivery.endpoint)
            except OSError:
                self._model.counters['send_failed'] += 1

    def _set_instances(self, instances: list[Any]) -> Mapping[str, Any]:
        known = msgspec.convert(instances, tuple[FabricInstance, ...])
        self._model.set_instances(known, time.monotonic())
        self._log.event('instances', count=len(known))
        return {'count': len(known)}

    def _set_faults(self, **faults: float) -> Mapping[str, Any]:
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
    """Run the fabric stand-in until SIGTERM.

    Parameters
    ----------
    address : str
        IPv4 address of both ports.
    port : int
        UDP port for datagrams, 0 for any.
    control_port : int
        TCP port for commands, 0 for any.
    instances_file : str
        JSON file with the instance list, read again when it changes.
    seed : int
        Seed of the random choices.
    loss, duplication, reordering : float
        Probabilities of the faults.
    list_lag_s : float
        Lag of the instance list, in seconds.
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
    """Entry point of ``siskinproxy-standin-fabric``."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
