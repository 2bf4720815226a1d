"""Prometheus metrics of the packet process and their HTTP server."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render
from gevent.pywsgi import WSGIServer

from siskinproxy.balancer.engine import PacketEngine

__all__ = ('PacketMetrics', 'PacketMetricsServer')

_NO_LABELS: Final[dict[str, str]] = {}

#: Counters with these prefixes become metrics with the rest as a label.
_REFUSED_PREFIX: Final = 'refused_'
_VIOLATIONS_PREFIX: Final = 'violations_'

_StartResponse = Callable[[str, list[tuple[str, str]]], object]


class PacketMetrics:
    """Metrics of a packet engine, updated whenever they are rendered.

    Parameters
    ----------
    engine : PacketEngine
        Engine whose values are exported.
    """

    def __init__(self, engine: PacketEngine) -> None:
        self.registry = Registry()
        self._engine = engine
        self._events = self._counter(
            'siskinproxy_packet_events',
            'Segments, flows and datagrams by event; see Counters.',
        )
        self._refused = self._counter(
            'siskinproxy_refused_flows',
            'Flows refused by this owner, by reason.',
        )
        self._violations = self._counter(
            'siskinproxy_invariant_violations',
            'Invariant violations by name.',
        )
        self._generation = self._gauge(
            'siskinproxy_packet_generation',
            'Generation of the configuration that the process applies.',
        )
        self._flows = self._gauge(
            'siskinproxy_flows',
            'Flow entries by table.',
        )
        self._target_flows = self._gauge(
            'siskinproxy_target_flows',
            'Flows in progress per target of the owned shards, by mode.',
        )
        self._load_ratios = self._gauge(
            'siskinproxy_target_load_ratio',
            'Share of its full load that a target of an owned shard gets.',
        )

    def render(self, accept: str, now_s: float) -> tuple[bytes, dict[str, str]]:
        """Render the current values in an exposition format.

        Parameters
        ----------
        accept : str
            Accept header of the request, which selects the format.
        now_s : float
            Time of the engine's clock in seconds.

        Returns
        -------
        tuple of bytes and dict
            Body and HTTP headers.
        """
        self._update_counters()
        state = self._engine.state
        self._generation.set(_NO_LABELS, state.generation)
        self._flows.set({'table': 'request'}, len(state.requests))
        self._flows.set({'table': 'stream'}, len(state.streams))
        self._flows.set({'table': 'learned'}, len(state.learned))
        self._update_targets(now_s)
        return render(self.registry, [accept])

    def _update_counters(self) -> None:
        for name, count in self._engine.counters().as_dict().items():
            if name.startswith(_REFUSED_PREFIX):
                reason = name.removeprefix(_REFUSED_PREFIX)
                self._refused.set({'reason': reason}, count)
            elif name.startswith(_VIOLATIONS_PREFIX):
                invariant = name.removeprefix(_VIOLATIONS_PREFIX)
                self._violations.set({'invariant': invariant}, count)
            else:
                self._events.set({'event': name}, count)

    def _update_targets(self, now_s: float) -> None:
        for admission in self._engine.opener.admissions.values():
            for report in admission.report(now_s):
                labels = {'target': report.name}
                requests = {**labels, 'mode': 'request'}
                self._target_flows.set(requests, report.in_use)
                streams = {**labels, 'mode': 'stream'}
                self._target_flows.set(streams, report.connections)
                status = {**labels, 'status': report.status.value}
                self._load_ratios.set(status, report.warmup_fraction)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)


class PacketMetricsServer:
    """HTTP server that answers every request with the metrics.

    Parameters
    ----------
    metrics : PacketMetrics
        Metrics to serve.
    address : str
        Address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    clock : callable
        Returns the time of the engine's clock in seconds.
    """

    def __init__(
        self,
        metrics: PacketMetrics,
        address: str,
        port: int,
        clock: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._server = WSGIServer((address, port), self._answer, log=None)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Start to listen; greenlets serve the requests."""
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _answer(
        self, environ: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        accept = environ.get('HTTP_ACCEPT', '*/*')
        body, headers = self._metrics.render(accept, self._clock())
        start_response('200 OK', list(headers.items()))
        return [body]
