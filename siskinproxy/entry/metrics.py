"""Metrics of an entry process: descriptions, histograms and current values.

aioprometheus is imported on the first request for metrics: importing it takes
as long as importing everything that is needed to forward packets.
"""

import math
import time
from collections import Counter
from importlib import import_module
from typing import Any, Final

import msgspec

from siskinproxy.entry.status import state_of

__all__ = (
    'BUCKET_BOUNDS_S',
    'METRICS',
    'EntryMetrics',
    'Histogram',
    'MetricDescription',
)

#: Upper bounds of the buckets of all histograms, in seconds; a last bucket
#: takes longer durations.
BUCKET_BOUNDS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


class MetricDescription(msgspec.Struct, frozen=True):
    """Name, type and help text of a metric.

    Parameters
    ----------
    name : str
        Metric name with its unit.
    kind : {'counter', 'gauge', 'histogram'}
        Metric type.
    doc : str
        Help text.
    labels : tuple of str
        Label names. The code determines the set of label values,
        so that it does not grow with the load.
    """

    name: str
    kind: str
    doc: str
    labels: tuple[str, ...] = ()


#: All metrics of an entry process; docs/OPERATIONS.md lists them.
METRICS: Final = (
    MetricDescription(
        'siskinproxy_entry_events_total',
        'counter',
        'Packets, openings and flows by outcome.',
        ('event',),
    ),
    MetricDescription(
        'siskinproxy_entry_unsent_datagrams_total',
        'counter',
        'Packets that the kernel did not take.',
    ),
    MetricDescription(
        'siskinproxy_entry_unexpected_errors_total',
        'counter',
        'Errors that no code expects, by what failed: a packet, or a greenlet '
        'that was started again.',
        ('subject',),
    ),
    MetricDescription(
        'siskinproxy_entry_log_lines_dropped_total',
        'counter',
        'Log lines left out because of the rate limit or a slow reader.',
    ),
    MetricDescription(
        'siskinproxy_entry_flows',
        'gauge',
        'Flows that this instance opened and still remembers.',
    ),
    MetricDescription(
        'siskinproxy_entry_waiting_openings',
        'gauge',
        'Openings that wait for a target.',
    ),
    MetricDescription(
        'siskinproxy_entry_targets',
        'gauge',
        'Targets by state as believed.',
        ('state',),
    ),
    MetricDescription(
        'siskinproxy_entry_instances',
        'gauge',
        'Registered instances.',
    ),
    MetricDescription(
        'siskinproxy_entry_config_version',
        'gauge',
        'Version of the configuration in force.',
    ),
    MetricDescription(
        'siskinproxy_entry_unusable_entries',
        'gauge',
        'Entries of the store, and parts of the configuration, that are not in '
        'use as written.',
    ),
    MetricDescription(
        'siskinproxy_entry_store_epoch',
        'gauge',
        'Epoch of the store whose state is applied; it rises each time the '
        'store is restored from a copy.',
    ),
    MetricDescription(
        'siskinproxy_entry_store_revision',
        'gauge',
        'Revision of the store, within its epoch, up to which no change is '
        'missing.',
    ),
    MetricDescription(
        'siskinproxy_entry_store_calls_total',
        'counter',
        'Calls to the store by what they do and why they are made.',
        ('kind', 'cause'),
    ),
    MetricDescription(
        'siskinproxy_entry_belief_age_seconds',
        'gauge',
        'Time since the store confirmed what this instance believes; '
        '`+Inf` if never.',
    ),
    MetricDescription(
        'siskinproxy_entry_answer_seconds',
        'histogram',
        "Time from an opening to the caller's acknowledgement of its answer.",
    ),
    MetricDescription(
        'siskinproxy_entry_flow_seconds',
        'histogram',
        'Time from an opening to the end of its flow.',
    ),
    MetricDescription(
        'siskinproxy_entry_wait_seconds',
        'histogram',
        'Time that openings waited for a target before they left.',
    ),
    MetricDescription(
        'siskinproxy_entry_loop_lag_seconds',
        'histogram',
        'Delay of timers of the event loop.',
    ),
)


class Histogram:
    """Histogram of durations.

    Attributes
    ----------
    counts : list of int
        Durations in each bucket of `BUCKET_BOUNDS_S`, not cumulative; the last
        item counts those above all bounds.
    total_s : float
        Sum of all durations, in seconds.
    """

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s: float = 0

    def observe(self, duration_s: float) -> None:
        """Add a duration in seconds."""
        self.total_s += duration_s
        for number, bound_s in enumerate(BUCKET_BOUNDS_S):
            if duration_s <= bound_s:
                self.counts[number] += 1
                return
        self.counts[-1] += 1


class EntryMetrics:
    """Collects and renders the metrics of an entry process.

    Parameters
    ----------
    process : EntryProcess
        Process whose state is read.
    """

    def __init__(self, process: Any) -> None:
        self._process = process

    def values(self) -> dict[str, Any]:
        """Return the current values by metric name.

        Returns
        -------
        dict of str to object
            Each value is a number, a dict of numbers by label value (a tuple
            of values if there are several labels), or a `Histogram`.
        """
        process = self._process
        engine = process.engine
        now_s = time.monotonic()
        return {
            'siskinproxy_entry_events_total': _events(engine),
            'siskinproxy_entry_unsent_datagrams_total': process.socket.unsent,
            'siskinproxy_entry_unexpected_errors_total': {
                'packet': process.socket.failed,
                'greenlet': process.supervisor.restarts,
            },
            'siskinproxy_entry_log_lines_dropped_total': process.log.dropped,
            'siskinproxy_entry_flows': len(engine.flows),
            'siskinproxy_entry_waiting_openings': len(engine.waiting),
            'siskinproxy_entry_targets': self._count_targets(now_s),
            'siskinproxy_entry_instances': len(process.instances),
            'siskinproxy_entry_config_version': process.routes.version,
            'siskinproxy_entry_unusable_entries': len(
                process.cluster_state.unusable()
            ),
            'siskinproxy_entry_store_epoch': process.cluster_state.mirror.epoch,
            'siskinproxy_entry_store_revision': (
                process.cluster_state.mirror.revision
            ),
            'siskinproxy_entry_store_calls_total': process.store_calls.values(),
            'siskinproxy_entry_belief_age_seconds': _age_or_infinity(
                process.follower.age_s(now_s)
            ),
            'siskinproxy_entry_answer_seconds': engine.answer_times,
            'siskinproxy_entry_flow_seconds': engine.flow_times,
            'siskinproxy_entry_wait_seconds': engine.wait_times,
            'siskinproxy_entry_loop_lag_seconds': process.loop_lags,
        }

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        render = import_module('siskinproxy.entry.metrics_text').render
        return render(METRICS, self.values())

    def _count_targets(self, now_s: float) -> dict[str, int]:
        process = self._process
        states: Counter[str] = Counter()
        for target in process.directory.targets():
            is_suspected = process.responsiveness.is_suspected(target)
            states[state_of(target, now_s, is_suspected=is_suspected)] += 1
        return dict(states)


def _age_or_infinity(age_s: float | None) -> float:
    """Return the age in seconds, infinity for an unknown one."""
    return math.inf if age_s is None else age_s


def _events(engine: Any) -> dict[str, int]:
    """Return the counters of an engine and of its scheduler, if any."""
    if engine.scheduler is None:
        return dict(engine.counters)
    return {**engine.counters, **engine.scheduler.counters}
