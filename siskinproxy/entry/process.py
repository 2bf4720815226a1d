"""Entry process: forwards packets between callers and backend servers.

The platform's fabric delivers the packets of callers to the instances that pass
its readiness check. Each instance forwards them to backend servers, which the
code calls targets. It learns routes, zones and targets from the store or from
other instances.
"""

import random
import sys
import time
from typing import Final

import gevent
from gevent.event import Event

from siskinproxy.entry import bounds, startup
from siskinproxy.entry.audit import AuditTrail
from siskinproxy.entry.cluster_state import ClusterState, StoreSchema
from siskinproxy.entry.directory import TargetDirectory
from siskinproxy.entry.ended_evidence import EndedEvidence
from siskinproxy.entry.engine import EntryEngine
from siskinproxy.entry.event_log import BoundedLog
from siskinproxy.entry.failure_detector import FailureDetector
from siskinproxy.entry.follower import ChangeFollower
from siskinproxy.entry.http_server import ServerResponse, SmallHttpServer
from siskinproxy.entry.instances import InstanceDirectory, InstanceRecord
from siskinproxy.entry.load_exchange import LoadExchange
from siskinproxy.entry.load_view import (
    LoadReport,
    LoadView,
    foreign_receiver,
    report_receivers,
)
from siskinproxy.entry.metrics import EntryMetrics, Histogram
from siskinproxy.entry.packet_socket import PacketSocket
from siskinproxy.entry.packets import PacketCodec
from siskinproxy.entry.peer_link import PeerServer
from siskinproxy.entry.readiness import Readiness
from siskinproxy.entry.records import Address, parse_endpoint
from siskinproxy.entry.registration import Registration
from siskinproxy.entry.responsiveness import Responsiveness
from siskinproxy.entry.routes import RouteTable
from siskinproxy.entry.settings import EntrySettings
from siskinproxy.entry.sources import SourceSelector
from siskinproxy.entry.status import STATUS_PATH, StatusPage
from siskinproxy.entry.stopping import (
    FORWARD_AFTER_UNREADY_S,
    may_become_unready,
)
from siskinproxy.entry.store import PrefixStore
from siskinproxy.entry.store_calls import StoreCalls
from siskinproxy.entry.supervision import Supervisor
from siskinproxy.entry.target_selection import Placer
from siskinproxy.errors import SettingsError
from siskinproxy.settings_file import read_settings

__all__ = ('EntryProcess',)

#: HTTP path of the metrics; the status page is on the same port.
METRICS_PATH: Final = '/metrics'
METRICS_CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
STATUS_CONTENT_TYPE: Final = 'application/json'
#: Time between two runs of the periodic work, such as expiry of targets and
#: load reports, in seconds.
HOUSEKEEPING_INTERVAL_S: Final = 0.5
#: Time between two checks of whether a stopping instance may fail its readiness
#: check, in seconds.
STOP_CHECK_INTERVAL_S: Final = 0.1
#: Time from the start until the scheduler is loaded, in seconds.
SCHEDULING_DELAY_S: Final = 0.5
#: Time after the start in which callers may still retransmit packets that were
#: lost while the process was down, in seconds; load reports are frequent in it.
STARTUP_RETRANSMISSION_S: Final = 2.0
#: Instances of each other zone that are told of ended targets.
RELAYS_PER_ZONE: Final = 2
#: Time until the engine's timer runs again after an error in it, in seconds.
TIMER_RETRY_S: Final = 0.1


class EntryProcess:
    """Connects the sockets, the store and the engine, and handles signals.

    SIGTERM and SIGINT stop the process gracefully; SIGHUP reloads the settings,
    of which only section ``bounds`` changes without a restart.

    Parameters
    ----------
    path : str
        Settings file, read again on SIGHUP.
    cfg : EntrySettings
        Settings at the start.
    codec : PacketCodec
        Packet format of the platform.
    store_schema : StoreSchema
        Key prefix and decoder of the platform's items in the store.
    store : PrefixStore
        Client of the platform's store; closed with the process.

    Attributes
    ----------
    readiness : Readiness
        State that the readiness check reports.
    loop_lags : Histogram
        Delays of the periodic work beyond its due time.
    started_s : float
        Monotonic time of the start, in seconds.
    record : InstanceRecord
        Registration of this instance.
    store_calls : StoreCalls
        Counts of the calls to the store.
    supervisor : Supervisor
        Starts the greenlets, again after an error.
    """

    def __init__(
        self,
        path: str,
        cfg: EntrySettings,
        codec: PacketCodec,
        store_schema: StoreSchema,
        store: PrefixStore,
    ) -> None:
        self._path = path
        self._cfg = cfg
        self._store = store
        self.readiness = Readiness.STARTING
        self.loop_lags = Histogram()
        self._stopped = Event()
        self.started_s = time.monotonic()
        self.log = BoundedLog(
            'entry', sys.stdout.fileno(), instance=cfg.instance.name
        )
        self.supervisor = Supervisor(self.log, self._give_up)
        self.directory = TargetDirectory()
        self.routes = RouteTable()
        self.instances = InstanceDirectory()
        self.audit = AuditTrail(self.log)
        self.cluster_state = ClusterState(
            store_schema,
            self.directory,
            self.routes,
            self.instances,
            self.audit,
        )
        self.responsiveness = Responsiveness(
            name=cfg.instance.name,
            zone=cfg.instance.zone,
            directory=self.directory,
            warmup_s_of=self.routes.warmup_s_of,
            events=self.log,
        )
        self._cold_limit = bounds.cold_limit(cfg.instance.name, cfg.bounds)
        self.loads = LoadView()
        self.socket = PacketSocket(
            parse_endpoint(cfg.listeners.packet),
            self._on_packet,
            self._on_batch,
            self.log,
        )
        self.engine = self._build_engine(codec)
        self._timer = gevent.get_hub().loop.timer(0)
        self._readiness_server = SmallHttpServer(
            parse_endpoint(cfg.listeners.ready),
            self._handle_readiness_check,
            self.log,
        )
        self._metrics = EntryMetrics(self)
        self._status = StatusPage(self)
        self._metrics_server = SmallHttpServer(
            Address(cfg.instance.address, cfg.listeners.metrics_port),
            self._handle_metrics_request,
            self.log,
        )
        record = InstanceRecord(
            cfg.instance.name,
            cfg.instance.zone,
            cfg.instance.address,
            cfg.listeners.peer_port,
            cfg.instance.link_mbps,
        )
        self.store_calls = StoreCalls(self.log)
        self.follower = ChangeFollower(
            cfg.instance.name,
            store,
            store_schema.prefix,
            self.cluster_state,
            SourceSelector(
                record, self.instances, random.Random(), _seed_instances(cfg)
            ),
            self.log,
            calls=self.store_calls,
        )
        self._apply_bounds()
        self._peer_server = PeerServer(
            record.address, self.follower.answer, self.log
        )
        self._registration = Registration(
            store,
            record,
            self.cluster_state.mirror,
            self.instances.__len__,
            self.log,
            calls=self.store_calls,
        )
        self.record = record
        self._receivers: tuple[InstanceRecord, ...] = ()
        self._registered: tuple[InstanceRecord, ...] = ()
        self._reports_sent = 0
        self._exchange = LoadExchange(
            record.address,
            self._build_report,
            self._report_addresses,
            self._needs_frequent_reports,
            self._on_report,
            self._on_evidence,
            time.monotonic,
            self.log,
        )
        self._detector = FailureDetector(
            self.responsiveness,
            self.routes,
            self._exchange.send_to,
            record,
            self._zone_members,
            self._zone_relays,
            self.engine.counters,
            self.log,
            time.monotonic,
        )
        self._greenlets: list[gevent.Greenlet] = []
        self._timer_due_s: float | None = None
        self._is_serving = False
        self._is_stop_requested = False

    def start(self) -> None:
        """Open the sockets and follow the store.

        The kernel buffers packets until a configuration has been received.
        """
        spawn = self.supervisor.spawn
        self.log.start(spawn)
        self.log.event('process_started', settings=self._path)
        self.socket.open()
        for server in (self._readiness_server, self._metrics_server):
            server.start(spawn)
        for part in (
            self.follower,
            self._peer_server,
            self._registration,
            self._exchange,
            self._detector,
        ):
            part.start(spawn)
        self._greenlets.append(spawn('housekeeping', self._run_housekeeping))
        startup.finish()
        startup.replace_signal_handlers(
            self._on_stop_signal, self._on_reload_signal
        )

    def wait(self) -> None:
        """Block until a graceful stop is complete.

        Raises
        ------
        GreenletFailedError
            The process ends because a greenlet kept failing.
        """
        self._stopped.wait()
        self.supervisor.raise_failure()

    def report_replaced(self, exc: SettingsError, used: object) -> None:
        """Report a value of the settings that can't be used.

        Parameters
        ----------
        exc : SettingsError
            What is wrong with it.
        used : object
            Value that is used in its place.
        """
        self.log.error('settings_replaced', reason=str(exc), used=used)
        self.audit.keep('settings_replaced', str(exc))

    def close(self) -> None:
        """Stop the greenlets and servers; close sockets, store and log."""
        gevent.killall(self._greenlets)
        for part in (
            self._detector,
            self._exchange,
            self._registration,
            self.follower,
            self._peer_server,
            self._metrics_server,
            self._readiness_server,
        ):
            part.close()
        self._timer.stop()
        self._timer.close()
        self.socket.close()
        self._store.close()
        self.log.event('process_stopped', flows=len(self.engine.flows))
        self.log.close()

    def _build_engine(self, codec: PacketCodec) -> EntryEngine:
        self._placer = Placer(
            self._cfg.instance.zone,
            self._cold_limit,
            self.responsiveness,
            self.loads,
            random.Random(),
        )
        ended = None
        if self._cfg.load.reset_ended:
            ended = EndedEvidence(self.responsiveness, time.time)
            self.directory.on_change = ended.on_change
        return EntryEngine(
            codec,
            self.directory,
            self.routes,
            self._placer,
            self.responsiveness,
            self.socket,
            self.log,
            ended=ended,
        )

    def _apply_bounds(self) -> None:
        """Derive timing and limits from the settings in force."""
        found = self._cfg.bounds
        self.follower.timing = bounds.follower_timing(found)
        self.directory.timing = bounds.directory_timing(found)
        self.cluster_state.restore_timing = bounds.restore_timing(found)
        self._cold_limit.bounds = bounds.cold_bounds(found)
        self.engine.timing = bounds.engine_timing(found)

    def _run_housekeeping(self) -> None:
        """Become ready with the first configuration; then do periodic work."""
        while not self.cluster_state.has_configuration:
            gevent.sleep(0.01)
        if not self._is_serving:
            self._begin_to_serve()
        self._start_scheduling()
        now_s = time.monotonic()
        while True:
            due_s = now_s + HOUSEKEEPING_INTERVAL_S
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            now_s = time.monotonic()
            self.loop_lags.observe(max(now_s - due_s, 0))
            for target in self.directory.expire(now_s):
                self.log.event(
                    'target_changed', target=target.name, change='not_returned'
                )
            self.cluster_state.expire(now_s)
            self.responsiveness.note_listed(
                now_s,
                self.follower.in_touch_since_s,
                self.follower.confirmed_s,
                self.cluster_state.restore_timing.target_silence_s,
            )
            self._registration.check(is_away=self.follower.is_stale(now_s))
            self._update_fleet(now_s)
            self._run_timer()

    def _begin_to_serve(self) -> None:
        """Read packets, and pass the readiness check from now on."""
        self._update_fleet(time.monotonic())
        self._detector.note_fleet_known()
        self.socket.start()
        if self.readiness is Readiness.STARTING:
            # A stop that was requested during the start stays in force.
            self.readiness = Readiness.READY
        self.log.event(
            'process_ready',
            after_ms=round(1000 * (time.monotonic() - self.started_s)),
            config=self.routes.version,
            routes=len(self.routes),
        )
        self._is_serving = True

    def _start_scheduling(self) -> None:
        """Attach the scheduler if the settings ask for any part of it.

        It is loaded once the instance has served its first callers.
        """
        load = self._cfg.load
        is_wanted = load.lanes or load.refuse_early or load.learn_speeds
        if self.engine.scheduler is not None or not is_wanted:
            return
        gevent.sleep(SCHEDULING_DELAY_S)
        from siskinproxy.entry.scheduling import setup

        self.engine.attach(
            setup.build_scheduler(
                load,
                self.directory,
                self.routes,
                self._placer,
                self.loads,
                self.record.zone,
                lambda: len(self._zone_members()),
                self.log,
            )
        )

    def _update_fleet(self, now_s: float) -> None:
        """Update what depends on the set of known instances."""
        self._cold_limit.set_instances(self.instances.possible_senders(now_s))
        registered = tuple(self.instances.registered())
        self._registered = registered
        receivers = report_receivers(self.record, registered)
        self._receivers = receivers
        self.loads.expire(now_s)
        self.loads.update_sample_scale(self.record.zone, registered)
        absent = self.loads.absent(self.record.zone, now_s)
        self.responsiveness.set_members(
            each.name
            for each in self._zone_members()
            if each.name not in absent
        )
        self.responsiveness.expire()
        if self.engine.scheduler is not None:
            self.engine.scheduler.speeds.expire(now_s)

    def _zone_members(self) -> tuple[InstanceRecord, ...]:
        return self.instances.in_zone(self.record.zone)

    def _zone_relays(self) -> tuple[InstanceRecord, ...]:
        return self.instances.first_of_other_zones(
            self.record.zone, RELAYS_PER_ZONE
        )

    def _on_evidence(self, datagram: bytes, now_s: float) -> bool:
        return self._detector.on_datagram(datagram, now_s)

    def _build_report(self) -> LoadReport:
        """Return the load report for other instances."""
        return LoadReport(
            self.record.name,
            self.record.zone,
            self.readiness is Readiness.STOPPING,
            dict(self.loads.own_flows),
            self.engine.take_ended_hashes(),
            *self._learned(),
        )

    def _learned(self) -> tuple[dict, ...]:
        """Return what load reports say of room, demand and speed."""
        if self.engine.scheduler is None:
            return ()
        return self.engine.scheduler.report(time.monotonic())

    def _on_report(self, report: LoadReport, now_s: float) -> None:
        """Apply the load report of another instance."""
        is_own_zone = report.zone == self.record.zone
        if is_own_zone:
            self.responsiveness.note_peer_heard(now_s)
        # With many instances, another zone's report covers a few of its flows.
        if is_own_zone or not self.loads.is_sampled:
            self.loads.apply_report(report, now_s)
        if report.ended:
            self.engine.on_ended_hashes(report.ended, now_s)
        if self.engine.scheduler is not None:
            self.engine.scheduler.on_report(report, now_s)

    def _report_addresses(self) -> tuple[Address, ...]:
        """Return the addresses that get load reports.

        Instances of other zones get them only while reports are frequent.
        """
        is_busy = self._needs_frequent_reports()
        zone = self.record.zone
        receivers = [
            each.address
            for each in self._receivers
            if is_busy or each.zone == zone
        ]
        if self.engine.scheduler is not None:
            self._reports_sent += 1
            foreign = foreign_receiver(
                zone, self._registered, self._reports_sent
            )
            if foreign is not None:
                receivers.append(foreign.address)
        return tuple(receivers)

    def _handle_readiness_check(self, path: str) -> ServerResponse:
        is_ready = self.readiness is Readiness.READY
        return ServerResponse(200 if is_ready else 503)

    def _handle_metrics_request(self, path: str) -> ServerResponse:
        if path == STATUS_PATH:
            return ServerResponse(
                200, self._status.render(), STATUS_CONTENT_TYPE
            )
        if path != METRICS_PATH:
            return ServerResponse(404)
        return ServerResponse(200, self._metrics.render(), METRICS_CONTENT_TYPE)

    def _needs_frequent_reports(self) -> bool:
        """Return whether targets are busy or the process has just started."""
        now_s = time.monotonic()
        is_starting = now_s - self.started_s < STARTUP_RETRANSMISSION_S
        return is_starting or self._placer.is_busy(now_s)

    def _on_packet(self, packet: bytes) -> None:
        self.engine.on_packet(packet, time.monotonic())

    def _on_batch(self) -> None:
        """Run due work and set the timer, unless the timer is set already."""
        if self._timer_due_s is None:
            self._run_timer()

    def _run_timer(self) -> None:
        """Run the work of the engine that is due, and set its next timer."""
        now_s = time.monotonic()
        try:
            due_s = self.engine.on_timer(now_s)
        except Exception:
            self._set_timer(now_s + TIMER_RETRY_S, now_s)
            raise
        self._set_timer(due_s, now_s)
        self._detector.wake()

    def _set_timer(self, due_s: float | None, now_s: float) -> None:
        self._timer_due_s = due_s
        self._timer.stop()
        if due_s is not None:
            self._timer.close()
            self._timer = gevent.get_hub().loop.timer(max(due_s - now_s, 0))
            self._timer.start(self._on_timer)

    def _on_timer(self) -> None:
        # Answers of targets may wait in the receive buffer; unless they are
        # read first, the engine would count them as missing.
        self.socket.drain()
        self.supervisor.isolate('timer', self._run_timer)

    def _give_up(self, greenlet: str) -> None:
        """End the process, since a greenlet that it needs keeps failing.

        The readiness check fails first, so that the fabric delivers packets to
        other instances.
        """
        self.log.error('process_given_up', greenlet=greenlet)
        self.readiness = Readiness.STOPPING
        self._greenlets.append(gevent.spawn(self._end))

    def _end(self) -> None:
        """End the process once the fabric has stopped delivering packets."""
        gevent.sleep(FORWARD_AFTER_UNREADY_S)
        self._stopped.set()

    def _on_stop_signal(self) -> None:
        if self._is_stop_requested:
            return
        self._is_stop_requested = True
        self._greenlets.append(gevent.spawn(self._stop))

    def _stop(self) -> None:
        """Fail the readiness check once the zone permits it, then end.

        Packets are forwarded until the fabric has stopped delivering them.
        """
        requested_s = time.monotonic()
        absent = self.loads.absent(self.record.zone, requested_s)
        self.log.event(
            'process_told_to_stop',
            flows=len(self.engine.flows),
            absent=','.join(absent),
        )
        while not may_become_unready(
            len(absent),
            max(len(self.instances.in_zone(self.record.zone)), 1),
            time.monotonic() - requested_s,
            self._cfg.bounds.stop_s,
        ):
            gevent.sleep(STOP_CHECK_INTERVAL_S)
            absent = self.loads.absent(self.record.zone, time.monotonic())
        self.readiness = Readiness.STOPPING
        self.log.event(
            'process_stopping',
            waited_ms=round(1000 * (time.monotonic() - requested_s)),
            absent=','.join(absent),
        )
        self._end()

    def _on_reload_signal(self) -> None:
        """Read the settings file again; keep the settings if it is invalid."""
        try:
            new_cfg = read_settings(
                self._path, EntrySettings, self.report_replaced
            )
        except SettingsError as exc:
            self.log.error('settings_rejected', reason=str(exc))
            self.audit.keep('settings_rejected', str(exc))
            return
        sections = ','.join(self._cfg.sections_needing_restart(new_cfg))
        self._cfg = self._cfg.with_bounds_of(new_cfg)
        self._apply_bounds()
        self.log.event('settings_reloaded', need_restart=sections)
        self.audit.keep('settings_reloaded', sections)


def _seed_instances(cfg: EntrySettings) -> tuple[InstanceRecord, ...]:
    """Return the seeds of the settings as records with the common peer port."""
    return tuple(
        InstanceRecord(
            name=f'seed-{seed}',
            zone='',
            host=parse_endpoint(seed).host,
            port=cfg.listeners.peer_port,
        )
        for seed in cfg.store.seeds
    )
