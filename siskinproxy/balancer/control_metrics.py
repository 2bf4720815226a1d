"""Prometheus metrics of the control process and their HTTP server."""

import asyncio
import resource
import time
from collections import Counter as CallCounter
from collections.abc import Callable
from typing import Final

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

from siskinproxy.balancer.control_engine import ControlEngine

__all__ = ('ControlMetrics', 'MetricsServer')

REQUEST_TIMEOUT_S: Final = 5.0
MAX_REQUEST_BYTES: Final = 8192

_BYTES_PER_KIB: Final = 1024
_NO_LABELS: Final[dict[str, str]] = {}
_STATES: Final = ('joining', 'alive', 'leaving', 'suspect', 'dead')


class ControlMetrics:
    """Metrics of a control engine, updated whenever they are rendered.

    Parameters
    ----------
    engine : ControlEngine
        Engine whose values are exported.
    store_calls : callable
        Returns the number of calls to the store by kind.
    """

    def __init__(
        self,
        engine: ControlEngine,
        store_calls: Callable[[], CallCounter[str]],
    ) -> None:
        self.registry = Registry()
        self._engine = engine
        self._store_calls = store_calls
        self._generation = self._gauge(
            'siskinproxy_generation',
            'Generation of the configuration in force.',
        )
        self._age = self._gauge(
            'siskinproxy_generation_age_seconds',
            'Time since the configuration came into force.',
        )
        self._provisional = self._gauge(
            'siskinproxy_provisional',
            '1 until the store or a peer that read it confirms.',
        )
        self._members = self._gauge(
            'siskinproxy_members',
            'Known members by state, this instance included.',
        )
        self._zone_sight = self._gauge(
            'siskinproxy_zone_sight_seconds',
            'Time since the zone was heard from.',
        )
        self._traffic = self._counter(
            'siskinproxy_control_traffic',
            'Gossip bytes with UDP and IP headers, and messages.',
        )
        self._store_calls_total = self._counter(
            'siskinproxy_store_calls',
            'Calls to the store by kind.',
        )
        self._cpu = self._counter(
            'siskinproxy_control_cpu_seconds',
            'CPU time of the control process.',
        )
        self._rss = self._gauge(
            'siskinproxy_control_max_rss_bytes',
            'Largest resident size of the control process.',
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Render the current values in an exposition format.

        Parameters
        ----------
        accept : str
            Accept header of the request, which selects the format.

        Returns
        -------
        tuple of bytes and dict
            Body and HTTP headers.
        """
        self._update_values(time.monotonic())
        return render(self.registry, [accept])

    def _update_values(self, now_s: float) -> None:
        self._update_configuration(now_s)
        states = CallCounter(self._engine.membership.states().values())
        for state in _STATES:
            self._members.set({'state': state}, states[state])
        for zone, age_s in self._engine.zone_sight_s(now_s).items():
            self._zone_sight.set({'zone': zone}, age_s)
        for kind, count in self._engine.traffic.items():
            self._traffic.set({'kind': kind}, count)
        for kind, count in self._store_calls().items():
            self._store_calls_total.set({'kind': kind}, count)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._cpu.set(_NO_LABELS, usage.ru_utime + usage.ru_stime)
        self._rss.set(_NO_LABELS, usage.ru_maxrss * _BYTES_PER_KIB)

    def _update_configuration(self, now_s: float) -> None:
        current = self._engine.configuration.in_force
        self._generation.set(
            _NO_LABELS,
            self._engine.configuration.generation,
        )
        if current is not None:
            self._age.set(_NO_LABELS, now_s - current.applied_s)
            self._provisional.set(_NO_LABELS, int(current.provisional))

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)


class MetricsServer:
    """HTTP server that answers every request with the metrics.

    Parameters
    ----------
    metrics : ControlMetrics
        Metrics to serve.
    address : str
        Address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    """

    def __init__(
        self,
        metrics: ControlMetrics,
        address: str,
        port: int,
    ) -> None:
        self._metrics = metrics
        self._address = address
        self._port = port
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        if self._server is None:
            return self._port
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self._address,
            self._port,
            limit=MAX_REQUEST_BYTES,
        )

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = await reader.readuntil(b'\r\n\r\n')
                await self._answer(_accept_header(request), writer)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            writer.transport.abort()
            return
        writer.close()

    async def _answer(
        self,
        accept: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        body, headers = self._metrics.render(accept)
        lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(body)}']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        lines.extend(('Connection: close', '', ''))
        writer.write('\r\n'.join(lines).encode() + body)
        await writer.drain()


def _accept_header(request: bytes) -> str:
    for line in request.decode('latin-1').split('\r\n'):
        name, _, text = line.partition(':')
        if name.lower() == 'accept':
            return text.strip()
    return '*/*'
