"""Control process of an instance: sockets and timers around the engine."""

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
from siskinproxy.balancer.control_metrics import ControlMetrics, MetricsPage
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

#: Least time between the announcement of a planned stop and the exit: peers
#: have the news within a second and the packet process reports each second.
LEAVE_S: Final = 3.0

_LEAVE_POLL_S: Final = 0.1
_ENTRIES_TO_COPY: Final = 'entries_to_copy'


class _GossipProtocol(asyncio.DatagramProtocol):
    """Passes datagrams from the socket to the control process."""

    def __init__(self, process: 'ControlProcess') -> None:
        self._process = process

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._process.on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors; probes detect a peer that does not listen."""


class ControlProcess:
    """Control process.

    Parameters
    ----------
    path : str
        Settings file, for error messages.
    cfg : InstanceSettings
        Checked settings.
    log : EventLog
        Where events are logged.
    """

    def __init__(
        self,
        path: str,
        cfg: InstanceSettings,
        log: EventLog,
    ) -> None:
        _check_sources(path, cfg)
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
        self._reported_s: float = 0
        self._packet_connected = False
        self._stop_asked = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._store: GrpcKeyValueClient | None = None
        self._source: StoreSource | None = None
        self._admin: AdminServer | None = None
        self._page: MetricsPage | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._link = ControlLinkClient(
            cfg.packet.link_port,
            self._keepalive,
            self._on_report,
            self._on_connection,
        )

    @property
    def store(self) -> GrpcKeyValueClient | None:
        """Client of the store, or None on a single machine."""
        return self._store

    async def start(self) -> None:
        """Bind the socket and start to serve."""
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
            self._page = self._make_page()
            await self._page.start()
        if self._cfg.admin.port:
            self._admin = self._make_admin()
            await self._admin.start()
        self._link.start()
        self._log.event(
            'control_process_started',
            region=self._cfg.instance.region,
            zone=self._cfg.instance.zone,
            port=self._cfg.control.port,
        )

    async def run(self) -> None:
        """Serve until the planned stop is complete."""
        stop = asyncio.create_task(self._stop_asked.wait())
        done, _ = await asyncio.wait(
            [stop, *self._tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if stop not in done:
            for task in done:
                task.result()
        await self._leave()

    async def close(self) -> None:
        """Say farewell and release the sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._perform(self.engine.farewell(time.monotonic()))
        # The source releases the reader role through the store, so the
        # client of the store is closed last.
        parts = (
            self._store,
            self._source,
            self._link,
            self._page,
            self._admin,
        )
        async with contextlib.AsyncExitStack() as stack:
            for part in parts:
                if part is not None:
                    stack.push_async_callback(part.close)
        if self._transport is not None:
            self._transport.close()
        self._log.event('control_process_stopped')

    def stop(self) -> None:
        """Begin the planned stop."""
        self._stop_asked.set()

    def reload(self) -> None:
        """Read the configuration file again; a wrong one is ignored."""
        if not self._cfg.control.configuration_file:
            self._log.warning('reload_ignored', reason='no configuration file')
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
        # No platform names instances of other zones, and the file is read.
        self.engine.membership.suggest((), ())
        now_s = time.monotonic()
        step = self.engine.adopt_from_store(
            found.head,
            found.sections,
            now_s,
            now_s,
        )
        self._perform(step)

    def on_datagram(self, payload: bytes) -> None:
        """Handle a datagram from another instance."""
        self._perform(self.engine.on_datagram(payload, time.monotonic()))

    def _make_page(self) -> MetricsPage:
        metrics = ControlMetrics(self.engine, self._count_calls)
        return MetricsPage(
            metrics,
            self._cfg.instance.address,
            self._cfg.control.metrics_port,
        )

    def _count_calls(self) -> Counter[str]:
        return self._store.calls if self._store else Counter()

    def _make_admin(self) -> AdminServer:
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
            self._perform,
            self._log,
            self._rng,
        )
        self._source = source
        self._tasks.append(asyncio.create_task(source.run()))

    async def _run_timers(self) -> None:
        while True:
            now_s = time.monotonic()
            if self._cfg.control.configuration_file:
                generation = self.engine.configuration.generation
                self.engine.note_store_read(generation, now_s)
            self._perform(self.engine.on_timer(now_s))
            await asyncio.sleep(TIMER_PERIOD_S)

    def _perform(self, step: ControlStep) -> None:
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
        self._reported_s = time.monotonic()

    def _on_connection(self, connected: bool) -> None:
        self._packet_connected = connected
        self._log.event('packet_process', connected=connected)
        now_s = time.monotonic()
        self._perform(self.engine.set_packet_connected(connected, now_s))

    # Planned stop

    async def _leave(self) -> None:
        asked_s = time.monotonic()
        self._perform(self.engine.leave(asked_s))
        limit_s = self._cfg.limits.drain_limit_s
        while time.monotonic() - asked_s < limit_s:
            if self._is_handed_over(asked_s):
                break
            await asyncio.sleep(_LEAVE_POLL_S)
        self._log.event(
            'left',
            complete=self._is_handed_over(asked_s),
            waited_s=round(time.monotonic() - asked_s, 1),
            entries_to_copy=self._entries_to_copy(),
        )

    def _is_handed_over(self, asked_s: float) -> bool:
        if time.monotonic() - asked_s < LEAVE_S:
            return False
        if not self._packet_connected:
            return True
        return self._reported_s > asked_s and not self._entries_to_copy()

    def _entries_to_copy(self) -> int:
        if self.report is None:
            return 0
        return int(self.report.counters.get(_ENTRIES_TO_COPY, 0))


def _identity_of(cfg: InstanceSettings) -> Member:
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


def _check_sources(path: str, cfg: InstanceSettings) -> None:
    has_file = bool(cfg.control.configuration_file)
    if has_file and cfg.store.address:
        raise SettingsError(
            path,
            'control.configuration_file',
            'empty together with store.address',
            cfg.control.configuration_file,
        )
    if has_file and cfg.control.seeds:
        raise SettingsError(
            path,
            'control.seeds',
            'empty together with control.configuration_file',
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
