"""Metrics of an entry process.

aioprometheus is loaded when the metrics are asked for the first time: its
import takes as long as that of all that is needed to forward packets.
"""

import math
import time
from collections import Counter
from importlib import import_module
from typing import Any, Final

import msgspec

from siskinproxy.entry.status import state_of

__all__ = (
    'BOUNDS_S',
    'METRICS',
    'EntryMetrics',
    'Histogram',
    'MetricText',
)

BOUNDS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class MetricText(msgspec.Struct, frozen=True):
    """Name and meaning of a metric.

    Parameters
    ----------
    name : str
        Name with its unit.
    kind : {'counter', 'gauge', 'histogram'}
        Kind.
    doc : str
        Meaning.
    labels : tuple of str
        Labels; their values are bounded by the code, not by the load.
    """

    name: str
    kind: str
    doc: str
    labels: tuple[str, ...] = ()


#: All metrics; docs/OPERATIONS.md lists them.
METRICS: Final = (
    MetricText(
        'siskinproxy_entry_events_total',
        'counter',
        'Packets, openings and flows by outcome.',
        ('event',),
    ),
    MetricText(
        'siskinproxy_entry_unsent_datagrams_total',
        'counter',
        'Packets that the kernel did not take.',
    ),
    MetricText(
        'siskinproxy_entry_log_lines_dropped_total',
        'counter',
        'Log lines left out because of the rate limit or a slow reader.',
    ),
    MetricText(
        'siskinproxy_entry_flows',
        'gauge',
        'Flows that this instance opened and still remembers.',
    ),
    MetricText(
        'siskinproxy_entry_waiting_openings',
        'gauge',
        'Openings that wait for a target.',
    ),
    MetricText(
        'siskinproxy_entry_targets',
        'gauge',
        'Targets by state as believed.',
        ('state',),
    ),
    MetricText(
        'siskinproxy_entry_instances',
        'gauge',
        'Registered instances.',
    ),
    MetricText(
        'siskinproxy_entry_config_version',
        'gauge',
        'Version of the configuration in force.',
    ),
    MetricText(
        'siskinproxy_entry_belief_age_seconds',
        'gauge',
        'Time since the store confirmed what this instance believes; '
        '`+Inf` if never.',
    ),
    MetricText(
        'siskinproxy_entry_answer_seconds',
        'histogram',
        "Time from an opening to the caller's acknowledgement of its answer.",
    ),
    MetricText(
        'siskinproxy_entry_flow_seconds',
        'histogram',
        'Time from an opening to the end of its flow.',
    ),
    MetricText(
        'siskinproxy_entry_wait_seconds',
        'histogram',
        'Time that openings waited for a target before they left.',
    ),
    MetricText(
        'siskinproxy_entry_loop_lag_seconds',
        'histogram',
        'Delay of timers of the event loop.',
    ),
)


class Histogram:
    """Counts of durations by upper bound."""

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s: float = 0

    def observe(self, duration_s: float) -> None:
        """Count a duration."""
        self.total_s += duration_s
        for number, bound_s in enumerate(BOUNDS_S):
            if duration_s <= bound_s:
                self.counts[number] += 1
                return
        self.counts[-1] += 1


class EntryMetrics:
    """Renders the state of an entry process.

    Parameters
    ----------
    process : EntryProcess
        Process whose state is shown.
    """

    def __init__(self, process: Any) -> None:
        self._process = process

    def values(self) -> dict[str, Any]:
        """Return the values by metric name.

        Returns
        -------
        dict of str to object
            A number, numbers by label value, or a `Histogram`.
        """
        process = self._process
        engine = process.engine
        now_s = time.monotonic()
        return {
            'siskinproxy_entry_events_total': dict(engine.counters),
            'siskinproxy_entry_unsent_datagrams_total': process.socket.unsent,
            'siskinproxy_entry_log_lines_dropped_total': process.log.left_out,
            'siskinproxy_entry_flows': len(engine.flows),
            'siskinproxy_entry_waiting_openings': len(engine.waiting),
            'siskinproxy_entry_targets': self._targets(now_s),
            'siskinproxy_entry_instances': len(process.instances),
            'siskinproxy_entry_config_version': process.routes.version,
            'siskinproxy_entry_belief_age_seconds': _age_value(
                process.follower.age_s(now_s)
            ),
            'siskinproxy_entry_answer_seconds': engine.answer_times,
            'siskinproxy_entry_flow_seconds': engine.flow_times,
            'siskinproxy_entry_wait_seconds': engine.wait_times,
            'siskinproxy_entry_loop_lag_seconds': process.loop_lags,
        }

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        render = import_module('siskinproxy.entry.metrics_text').render
        return render(METRICS, self.values())

    def _targets(self, now_s: float) -> dict[str, int]:
        process = self._process
        states: Counter[str] = Counter()
        for target in process.directory.targets():
            is_suspected = process.responsiveness.is_suspected(target)
            states[state_of(target, now_s, is_suspected=is_suspected)] += 1
        return dict(states)


def _age_value(age_s: float | None) -> float:
    """Return the value of an age; that of an unknown one is infinite."""
    return math.inf if age_s is None else age_s
