"""Stand-in for backend servers: one process that serves several targets.

Each `TargetServer` gets a UDP socket per target port. The control port runs
commands that refuse connections, falsify health reports, restart the warm-up
and read counters.
"""

import random
import time
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any, Final

import fire
import gevent
import msgspec

from siskinproxy.fabric.segments import Endpoint
from siskinproxy.logs import EventLog, set_up_logs
from siskinproxy.standins.control_port import ControlServer
from siskinproxy.standins.process import (
    MAX_DATAGRAM_BYTES,
    StopEvent,
    open_udp_socket,
    parse_endpoint,
)
from siskinproxy.standins.target_server import TargetServer, TargetSettings

__all__ = ('TargetProcess', 'main', 'run')

#: Time between two checks for timers that are due.
_TIMER_INTERVAL_S: Final = 0.002

_Response = Mapping[str, Any]
_Command = Callable[..., _Response]


class TargetProcess:
    """Serves several targets on UDP sockets, with one control port.

    Parameters
    ----------
    settings : tuple of TargetSettings
        Properties of each target.
    fabric : Endpoint
        Address and UDP port of the fabric, which gets all packets for callers.
    control : Endpoint
        Address and TCP port for commands, port 0 for any free port.
    rng : random.Random
        Source of the initial sequence numbers.
    """

    def __init__(
        self,
        settings: tuple[TargetSettings, ...],
        fabric: Endpoint,
        control: Endpoint,
        rng: random.Random,
    ) -> None:
        self.stop_event = StopEvent()
        self._fabric = fabric
        self._log = EventLog('standin-target')
        self._greenlets: list[gevent.Greenlet] = []
        self._servers = {
            target.name: TargetServer(target, rng, time.monotonic())
            for target in settings
        }
        self._sockets = {
            (target.name, port): open_udp_socket(
                Endpoint(target.address, port),
            )
            for target in settings
            for port in target.ports
        }
        self._control = ControlServer(*control, self._commands())

    def start(self) -> None:
        """Start the control port and serve the targets in the background."""
        self._control.start()
        self._greenlets = [
            gevent.spawn(self._receive, name, port)
            for name, port in self._sockets
        ]
        self._greenlets += [
            gevent.spawn(self._run_timers, name) for name in self._servers
        ]
        self._log.event(
            'ready',
            targets=','.join(self._servers),
            control_port=self._control.port,
        )

    def close(self) -> None:
        """Stop serving and close all ports."""
        gevent.killall(self._greenlets)
        self._control.close()
        for sock in self._sockets.values():
            sock.close()
        self._log.event('stopped')

    def _commands(self) -> dict[str, _Command]:
        """Return the functions of the control port's commands.

        `TargetServer.set_flag` describes ``drain``, ``lie`` and ``shed``;
        ``cold`` restarts the warm-up of a target.
        """
        return {
            'cold': self._start_cold,
            'drain': partial(self._set_flag, 'drain'),
            'executions': self._executions,
            'health': self._health,
            'lie': partial(self._set_flag, 'lie'),
            'shed': partial(self._set_flag, 'shed'),
            'stats': self._stats,
            'stop': self.stop_event.handle_stop_command,
        }

    def _receive(self, name: str, port: int) -> None:
        sock = self._sockets[(name, port)]
        server = self._servers[name]
        while True:
            datagram = sock.recv(MAX_DATAGRAM_BYTES)
            packets = server.on_datagram(port, datagram, time.monotonic())
            self._send(name, packets)

    def _run_timers(self, name: str) -> None:
        server = self._servers[name]
        while True:
            gevent.sleep(_TIMER_INTERVAL_S)
            now_s = time.monotonic()
            if server.next_timer_s() <= now_s:
                self._send(name, server.on_timer(now_s))

    def _send(self, name: str, packets: list[bytes]) -> None:
        server = self._servers[name]
        sock = self._sockets[(name, next(iter(server.settings.ports)))]
        for packet in packets:
            try:
                sock.sendto(packet, self._fabric)
            except OSError:
                server.counters['send_failed'] += 1

    def _set_flag(
        self,
        flag: str,
        target: str,
        value: bool = True,
    ) -> _Response:
        self._servers[target].set_flag(flag, value)
        self._log.event('flag', target=target, flag=flag, value=value)
        return {flag: value}

    def _start_cold(self, target: str) -> _Response:
        self._servers[target].start_cold(time.monotonic())
        self._log.event('cold', target=target)
        return {'target': target}

    def _health(self, target: str) -> _Response:
        return self._servers[target].health(time.monotonic())

    def _stats(self) -> _Response:
        now_s = time.monotonic()
        return {
            name: server.stats(now_s) for name, server in self._servers.items()
        }

    def _executions(self) -> _Response:
        return {
            name: {
                'executions': server.executions,
                'accepted': sorted(server.accepted),
                'resets': server.resets,
            }
            for name, server in self._servers.items()
        }


def run(
    targets_file: str,
    fabric: str,
    address: str = '127.0.0.1',
    control_port: int = 0,
    seed: int = 1,
) -> None:
    """Run backend servers until SIGTERM or the command ``stop``.

    Parameters
    ----------
    targets_file : str
        JSON file with an array of `TargetSettings`.
    fabric : str
        Address and UDP port of the fabric, as ``address:port``.
    address : str
        IPv4 address of the control port.
    control_port : int
        TCP port for commands, 0 for any free port.
    seed : int
        Seed of the initial sequence numbers.
    """
    set_up_logs()
    settings = msgspec.json.decode(
        Path(targets_file).read_bytes(),
        type=tuple[TargetSettings, ...],
    )
    process = TargetProcess(
        settings,
        parse_endpoint(fabric),
        Endpoint(address, control_port),
        random.Random(seed),
    )
    process.start()
    process.stop_event.wait()
    process.close()


def main() -> None:
    """Run `run` with the command line of ``siskinproxy-standin-target``."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
