"""Packet process of an instance: sockets and timers of the packet engine.

Forwards TCP segments between the fabric, targets and other instances over UDP,
and applies the routing snapshots of the control process.
"""

import random
import signal
import socket
import time
from contextlib import closing
from typing import Final

import fire
import gevent
from gevent import monkey
from gevent.event import Event
from gevent.hub import get_hub

from siskinproxy.balancer.control_link import (
    ControlLinkServer,
    CounterReport,
    Keepalive,
    SnapshotMessage,
)
from siskinproxy.balancer.engine import PacketEngine
from siskinproxy.balancer.packet_metrics import (
    PacketMetrics,
    PacketMetricsServer,
)
from siskinproxy.balancer.settings import (
    InstanceSettings,
    read_settings,
    run_or_exit,
)
from siskinproxy.balancer.snapshot import Member, RoutingSnapshot
from siskinproxy.errors import InvariantViolation
from siskinproxy.instances.tunnel import TUNNEL_VERSION
from siskinproxy.logs import EventLog, set_up_logs

__all__ = ('PacketProcess', 'main')

_TIMER_PERIOD_S: Final = 0.01
_MAX_DATAGRAM_BYTES: Final = 65535

#: Most datagrams handled before other greenlets run; this limits the delay of
#: timers to about 1 ms.
_MAX_BURST_DATAGRAMS: Final = 128

#: Requested kernel buffer, which holds datagrams that arrive while Python
#: handles a burst; the kernel may grant less.
_SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024

#: Event mask of the event loop for a readable socket.
_READABLE: Final = 1

_DRAIN_POLL_PERIOD_S: Final = 0.1
_REFUSAL_LOG_PERIOD_S: Final = 1.0

#: A stopping process that got no segment for this time is no longer in the
#: fabric's list of instances, which lags.
_FABRIC_QUIET_S: Final = 2.0


class SocketOutbox:
    """Sends the datagrams of the packet engine through one UDP socket.

    Parameters
    ----------
    sock : socket.socket
        Non-blocking UDP socket.
    fabric : tuple of str and int
        Address and port of the fabric.

    Attributes
    ----------
    dropped : int
        Datagrams that the kernel refused; TCP retransmits their segments.
    """

    __slots__ = ('_fabric', '_sendto', 'dropped')

    def __init__(self, sock: socket.socket, fabric: tuple[str, int]) -> None:
        self._sendto = sock.sendto
        self._fabric = fabric
        self.dropped = 0

    def to_target(self, address: tuple[str, int], segment: bytes) -> None:
        """Send a segment to a target."""
        try:
            self._sendto(segment, address)
        except OSError:
            self.dropped += 1

    def to_caller(self, segment: bytes) -> None:
        """Send a segment to a caller through the fabric."""
        try:
            self._sendto(segment, self._fabric)
        except OSError:
            self.dropped += 1

    def to_instance(self, member: Member, datagram: bytes) -> None:
        """Send a tunnel datagram to another instance."""
        try:
            self._sendto(datagram, (member.address, member.packet_port))
        except OSError:
            self.dropped += 1


class PacketProcess:
    """Runs the packet engine on sockets and timers.

    Parameters
    ----------
    cfg : InstanceSettings
        Validated settings.
    log : EventLog
        Log of the process.

    Attributes
    ----------
    engine : PacketEngine
        State of the flows.
    """

    def __init__(self, cfg: InstanceSettings, log: EventLog) -> None:
        self._cfg = cfg
        self._log = log
        self._stop_requested = Event()
        self._last_segment_s = time.monotonic()
        self._greenlets: list[gevent.Greenlet] = []
        # The socket is non-blocking, so gevent's wrapper would only add a
        # Python call for each datagram.
        plain_socket = monkey.get_original('socket', 'socket')
        self._sock = plain_socket(socket.AF_INET, socket.SOCK_DGRAM)
        identity = Member(
            cfg.instance.name,
            cfg.instance.zone,
            cfg.instance.address,
            cfg.packet.port,
            cfg.control.port,
        )
        fabric = (cfg.packet.fabric_address, cfg.packet.fabric_port)
        self._outbox = SocketOutbox(self._sock, fabric)
        self.engine = PacketEngine(
            identity,
            self._outbox,
            cfg.limits,
            random.Random(),
        )
        self.engine.state.monitor.on_violation = self._on_violation
        self._link = ControlLinkServer(
            cfg.packet.link_port,
            self._on_message,
            self._report,
        )

        self._metrics_server: PacketMetricsServer | None = None
        if cfg.packet.metrics_port:
            self._metrics_server = PacketMetricsServer(
                PacketMetrics(self.engine),
                cfg.instance.address,
                cfg.packet.metrics_port,
                time.monotonic,
            )

    def start(self) -> None:
        """Bind the sockets and start the greenlets."""
        sock = self._sock
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES)
        sock.bind((self._cfg.instance.address, self._cfg.packet.port))
        self._link.start()
        if self._metrics_server is not None:
            self._metrics_server.start()
        self._greenlets = [
            gevent.spawn(self._receive),
            gevent.spawn(self._run_timers),
            gevent.spawn(self._log_refusals),
        ]
        self._log.event(
            'packet_process_started',
            instance=self._cfg.instance.name,
            zone=self._cfg.instance.zone,
            port=self._cfg.packet.port,
        )

    def wait(self) -> None:
        """Wait for `stop`, then until no flow depends on this process.

        The second wait ends after ``limits.drain_limit_s`` at the latest.
        """
        self._stop_requested.wait()
        requested_s = time.monotonic()
        limit_s = self._cfg.limits.drain_limit_s
        while time.monotonic() - requested_s < limit_s:
            if self._is_drained(requested_s):
                break
            gevent.sleep(_DRAIN_POLL_PERIOD_S)
        self._log.event(
            'drained',
            complete=self._is_drained(requested_s),
            waited_s=round(time.monotonic() - requested_s, 1),
            home_flows=self._count_flows(),
        )

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop_requested.set()

    def close(self) -> None:
        """Stop serving and release the sockets."""
        gevent.killall(self._greenlets)
        self._link.close()
        if self._metrics_server is not None:
            self._metrics_server.close()
        self._sock.close()
        self._log.event(
            'packet_process_stopped',
            instance=self._cfg.instance.name,
        )

    def _count_flows(self) -> int:
        state = self.engine.state
        return len(state.streams) + len(state.requests)

    def _is_drained(self, requested_s: float) -> bool:
        """Whether all flows continue without this process.

        The fabric's list of instances lags, so the process serves until no
        segment has arrived for `_FABRIC_QUIET_S` and its flow entries have been
        copied to peers. A process without peers waits until its flows end.
        """
        quiet_since_s = max(self._last_segment_s, requested_s)
        is_fabric_quiet = time.monotonic() - quiet_since_s > _FABRIC_QUIET_S
        if self.engine.state.peers:
            return is_fabric_quiet and self.engine.copier.is_idle
        return not self._count_flows()

    def _receive(self) -> None:
        hub = get_hub()
        watcher = hub.loop.io(self._sock.fileno(), _READABLE)
        with closing(watcher):
            while True:
                hub.wait(watcher)
                self._receive_burst()

    def _receive_burst(self) -> None:
        recv = self._sock.recv
        on_segment = self.engine.on_segment
        now_s = time.monotonic()
        for _ in range(_MAX_BURST_DATAGRAMS):
            try:
                datagram = recv(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            if datagram[:1] == _TUNNEL_FIRST_BYTE:
                self.engine.on_tunnel(datagram, now_s)
            else:
                self._last_segment_s = now_s
                on_segment(datagram, now_s)

    def _run_timers(self) -> None:
        while True:
            gevent.sleep(_TIMER_PERIOD_S)
            self.engine.on_timer(time.monotonic())

    def _log_refusals(self) -> None:
        """Log the flows refused since the last line, once a second at most."""
        logged: dict[str, int] = {}
        while True:
            gevent.sleep(_REFUSAL_LOG_PERIOD_S)
            counted = dict(self.engine.counters().refused_by_reason)
            increases = {
                reason: count - logged.get(reason, 0)
                for reason, count in counted.items()
                if count != logged.get(reason, 0)
            }
            logged = counted
            if increases:
                self._log.warning(
                    'flows_refused', **increases, **self._target_loads()
                )

    def _target_loads(self) -> dict[str, str]:
        """Return use, limit and status of each target of an owned shard."""
        now_s = time.monotonic()
        return {
            report.name: f'{report.in_use}/{report.limit}:{report.status.value}'
            for admission in self.engine.opener.admissions.values()
            for report in admission.report(now_s)
        }

    def _on_violation(self, violation: InvariantViolation) -> None:
        self._log.error(
            'invariant_violation',
            invariant=violation.name,
            detail=violation.detail,
        )

    def _apply_snapshot(self, snapshot: RoutingSnapshot) -> None:
        earlier = self.engine.state.generation
        self.engine.apply_snapshot(snapshot, time.monotonic())
        self._log.event(
            'snapshot_applied',
            generation=snapshot.generation,
            earlier=earlier,
            members=len(snapshot.members),
        )

    def _on_message(self, message: SnapshotMessage | Keepalive) -> None:
        if isinstance(message, SnapshotMessage):
            self._apply_snapshot(message.snapshot)
            return
        self.engine.record_zone_contacts(message.zone_sight_s, time.monotonic())

    def _report(self) -> CounterReport:
        state = self.engine.state
        home_flows = self._count_flows()
        is_idle = self.engine.copier.is_idle
        counters = {
            **self.engine.counters().as_dict(),
            'home_flows': home_flows,
            'learned_flows': len(state.learned),
            'entries_to_copy': 0 if is_idle else max(1, home_flows),
            'socket_drops': self._outbox.dropped,
        }
        return CounterReport(state.generation, counters)


_TUNNEL_FIRST_BYTE: Final = bytes((TUNNEL_VERSION,))


def _run(settings: str) -> None:
    """Run the packet process of an instance.

    Parameters
    ----------
    settings : str
        Path of the TOML settings file.
    """
    set_up_logs()
    cfg = read_settings(settings, InstanceSettings)
    process = PacketProcess(cfg, EventLog('packet'))
    process.start()
    gevent.signal_handler(signal.SIGTERM, process.stop)
    gevent.signal_handler(signal.SIGINT, process.stop)
    process.wait()
    process.close()


def main() -> None:
    """Entry point of ``siskinproxy-packet``."""
    monkey.patch_all()
    run_or_exit(fire.Fire, _run)


if __name__ == '__main__':
    main()
