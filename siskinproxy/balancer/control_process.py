"""Control process of an instance: sockets and timers of the control engine.

Exchanges gossip with other instances over UDP, gets the configuration from the
store, a file or other instances, sends routing snapshots to the packet
process, and serves metrics and the administration API.
"""

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from typing import Final

import fire
from gevent import monkey

from siskinproxy.balancer.configuration_codec import (
    codec_of_region,
    read_configuration_file,
)
from siskinproxy.balancer.control_engine import ControlEngine, ControlStep
from siskinproxy.balancer.control_link import (
    ControlLinkClient,
    CounterReport,
    Keepalive,
)
from siskinproxy.balancer.control_metrics import ControlMetrics, MetricsServer
from siskinproxy.balancer.settings import (
    InstanceSettings,
    read_settings,
    run_or_exit,
)
from siskinproxy.balancer.snapshot import Member
from siskinproxy.balancer.store_source import StoreSource
from siskinproxy.errors import SettingsError
from siskinproxy.instances.membership import TIMER_PERIOD_S
from siskinproxy.logs import EventLog, set_up_logs
from siskinproxy.operators.admin import AdminServer, AdminView
from siskinproxy.operators.admin_setup import make_admin_server
from siskinproxy.store.client import GrpcKeyValueClient

__all__ = ('ControlProcess', 'main')

#: Shortest time between the announcement of a planned stop and the exit. Peers
#: get the announcement within 1 s, and the packet process reports every second.
MIN_LEAVE_S: Final = 3.0

_LEAVE_POLL_PERIOD_S: Final = 0.1
_ENTRIES_TO_COPY: Final = 'entries_to_copy'


class _GossipProtocol(asyncio.DatagramProtocol):
    """Passes received gossip datagrams to the control process."""

    def __init__(self, process: 'ControlProcess') -> None:
        self._process = process

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._process.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; probes detect a peer that is not listening."""


class ControlProcess:
    """Runs the control engine on sockets and timers.

    Parameters
    ----------
    path : str
        Path of the settings file, for error messages.
    cfg : InstanceSettings
        Validated settings.
    log : EventLog
        Log of the process.

    Attributes
    ----------
    engine : ControlEngine
        State of the membership and the configuration.
    report : CounterReport or None
        Last counters of the packet process.

    Raises
    ------
    SettingsError
        If the settings name a configuration file together with a store or
        with instances to join.
    """

    def __init__(
        self,
        path: str,
        cfg: InstanceSettings,
        log: EventLog,
    ) -> None:
        _check_configuration_sources(path, cfg)
        self._cfg = cfg
        self._log = log
        self._rng = random.Random()
        self.engine = ControlEngine(
            _identity_of(cfg),
            codec_of_region(cfg.instance.region),
            self._rng,
            tuple(map(_parse_endpoint, cfg.control.seeds)),
            time.monotonic(),
        )
        self.report: CounterReport | None = None
        self._last_report_s: float = 0
        self._packet_connected = False
        self._stop_requested = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._store: GrpcKeyValueClient | None = None
        self._source: StoreSource | None = None
        self._admin: AdminServer | None = None
        self._metrics_server: MetricsServer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._link = ControlLinkClient(
            cfg.packet.link_port,
            self._keepalive,
            self._on_report,
            self._on_connection,
        )

    @property
    def store(self) -> GrpcKeyValueClient | None:
        """Client of the store, or None if the settings name no store."""
        return self._store

    async def start(self) -> None:
        """Bind the sockets and start the tasks.

        Raises
        ------
        SettingsError
            If the configuration file is missing or invalid.
        """
        if self._cfg.control.configuration_file:
            self.read_file()
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: _GossipProtocol(self),
            (self._cfg.instance.address, self._cfg.control.port),
        )
        self._transport = endpoint[0]
        self._tasks.append(asyncio.create_task(self._run_timers()))
        if self._cfg.store.address:
            await self._start_store()
        if self._cfg.control.metrics_port:
            self._metrics_server = self._make_metrics_server()
            await self._metrics_server.start()
        if self._cfg.admin.port:
            self._admin = self._make_admin_server()
            await self._admin.start()
        self._link.start()
        self._log.event(
            'control_process_started',
            region=self._cfg.instance.region,
            zone=self._cfg.instance.zone,
            port=self._cfg.control.port,
        )

    async def run(self) -> None:
        """Serve until `stop` is called and the planned stop is complete."""
        stop = asyncio.create_task(self._stop_requested.wait())
        done, _ = await asyncio.wait(
            [stop, *self._tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if stop not in done:
            for task in done:
                task.result()
        await self._leave()

    async def close(self) -> None:
        """Announce the exit to peers and release the sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._execute_step(self.engine.announce_exit(time.monotonic()))
        # The exit stack closes in reverse order. The store source releases the
        # reader role through the client of the store, so the client is closed
        # last.
        closables = (
            self._store,
            self._source,
            self._link,
            self._metrics_server,
            self._admin,
        )
        async with contextlib.AsyncExitStack() as stack:
            for closable in closables:
                if closable is not None:
                    stack.push_async_callback(closable.close)
        if self._transport is not None:
            self._transport.close()
        self._log.event('control_process_stopped')

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop_requested.set()

    def reload(self) -> None:
        """Read the configuration file again.

        An invalid file is logged, and the configuration in force stays.
        """
        if not self._cfg.control.configuration_file:
            self._log.warning(
                'reload_ignored', reason='control.configuration_file is not set'
            )
            return
        try:
            self.read_file()
        except SettingsError as exc:
            self._log.error('reload_failed', error=str(exc))

    def read_file(self) -> None:
        """Apply the configuration file.

        Raises
        ------
        SettingsError
            If the file is missing or invalid.
        """
        found = read_configuration_file(
            self._cfg.control.configuration_file,
            self._cfg.instance.region,
            self.engine.configuration.generation,
        )
        # Without a store there is no platform's list of instances. With an
        # empty list the reads of the file count as messages from the other
        # zones, so that targets there get segments although no instance runs
        # there.
        self.engine.membership.set_listed_instances((), ())
        now_s = time.monotonic()
        step = self.engine.apply_from_store(
            found.head,
            found.sections,
            now_s,
            now_s,
        )
        self._execute_step(step)

    def on_datagram(self, payload: bytes) -> None:
        """Handle a gossip datagram from another instance."""
        self._execute_step(self.engine.on_datagram(payload, time.monotonic()))

    def _make_metrics_server(self) -> MetricsServer:
        metrics = ControlMetrics(self.engine, self._count_store_calls)
        return MetricsServer(
            metrics,
            self._cfg.instance.address,
            self._cfg.control.metrics_port,
        )

    def _count_store_calls(self) -> Counter[str]:
        return self._store.calls if self._store else Counter()

    def _make_admin_server(self) -> AdminServer:
        instance = self._cfg.instance
        view = AdminView(
            instance.name,
            instance.region,
            self.engine.instances,
            lambda: self.engine.configuration.in_force,
        )
        return make_admin_server(
            self._cfg,
            view,
            lambda: self._store,
            self._log,
            accepted=lambda: self.engine.accepted,
        )

    async def _start_store(self) -> None:
        settings = self._cfg.store
        self._store = GrpcKeyValueClient(
            settings.address,
            settings.port,
            settings.token,
        )
        await self._store.start()
        source = StoreSource(
            self._store,
            self._cfg.instance,
            self.engine,
            self._execute_step,
            self._log,
            self._rng,
        )
        self._source = source
        self._tasks.append(asyncio.create_task(source.run()))

    async def _run_timers(self) -> None:
        while True:
            now_s = time.monotonic()
            if self._cfg.control.configuration_file:
                # Without a store the file counts as a store that is always
                # reachable; otherwise the age of the last read would grow.
                generation = self.engine.configuration.generation
                self.engine.note_store_read(generation, now_s)
            self._execute_step(self.engine.on_timer(now_s))
            await asyncio.sleep(TIMER_PERIOD_S)

    def _execute_step(self, step: ControlStep) -> None:
        for event in step.events:
            self._log.event(event.name, **event.pairs)
        if self._transport is not None:
            for datagram in step.datagrams:
                self._transport.sendto(datagram.payload, datagram.address)
        if step.snapshot is not None:
            self._link.send_snapshot(step.snapshot)

    # Control link

    def _keepalive(self) -> Keepalive:
        return self.engine.keepalive(time.monotonic())

    def _on_report(self, report: CounterReport) -> None:
        self.report = report
        self._last_report_s = time.monotonic()

    def _on_connection(self, connected: bool) -> None:
        self._packet_connected = connected
        self._log.event('packet_process', connected=connected)
        now_s = time.monotonic()
        self._execute_step(self.engine.set_packet_connected(connected, now_s))

    # Planned stop

    async def _leave(self) -> None:
        """Announce the planned stop and wait for the copies of flow entries."""
        requested_s = time.monotonic()
        self._execute_step(self.engine.leave(requested_s))
        limit_s = self._cfg.limits.drain_limit_s
        while time.monotonic() - requested_s < limit_s:
            if self._is_handover_complete(requested_s):
                break
            await asyncio.sleep(_LEAVE_POLL_PERIOD_S)
        self._log.event(
            'left',
            complete=self._is_handover_complete(requested_s),
            waited_s=round(time.monotonic() - requested_s, 1),
            entries_to_copy=self._entries_to_copy(),
        )

    def _is_handover_complete(self, requested_s: float) -> bool:
        """Whether the flow entries of this instance have been copied.

        Reports from before the request are left out, since the packet process
        had no reason to copy entries then.
        """
        if time.monotonic() - requested_s < MIN_LEAVE_S:
            return False
        if not self._packet_connected:
            return True
        return self._last_report_s > requested_s and not self._entries_to_copy()

    def _entries_to_copy(self) -> int:
        if self.report is None:
            return 0
        return int(self.report.counters.get(_ENTRIES_TO_COPY, 0))


def _identity_of(cfg: InstanceSettings) -> Member:
    """Return this instance with the Unix time in seconds as incarnation.

    The incarnation has to be higher than that of an earlier start.
    """
    return Member(
        cfg.instance.name,
        cfg.instance.zone,
        cfg.instance.address,
        cfg.packet.port,
        cfg.control.port,
        int(time.time()),
    )


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(':')
    return address, int(port)


def _check_configuration_sources(path: str, cfg: InstanceSettings) -> None:
    has_file = bool(cfg.control.configuration_file)
    if has_file and cfg.store.address:
        raise SettingsError(
            path,
            'control.configuration_file',
            'empty text, since store.address is set',
            cfg.control.configuration_file,
        )
    if has_file and cfg.control.seeds:
        raise SettingsError(
            path,
            'control.seeds',
            'empty list, since control.configuration_file is set',
            ','.join(cfg.control.seeds),
        )


async def _serve(path: str, cfg: InstanceSettings) -> None:
    log = EventLog('control', instance=cfg.instance.name)
    process = ControlProcess(path, cfg, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.stop)
    loop.add_signal_handler(signal.SIGINT, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    await process.run()
    await process.close()


def _run(settings: str) -> None:
    """Run the control process of an instance.

    Parameters
    ----------
    settings : str
        Path of the TOML settings file.
    """
    set_up_logs()
    asyncio.run(_serve(settings, read_settings(settings, InstanceSettings)))


def main() -> None:
    """Entry point of ``siskinproxy-control``."""
    monkey.patch_all()
    run_or_exit(fire.Fire, _run)


if __name__ == '__main__':
    main()
