"""Metrics as text, by aioprometheus."""

from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import Any, Final

from aioprometheus import Counter, Gauge, Registry, histogram
from aioprometheus.collectors import Histogram as HistogramCollector
from aioprometheus.renderer import render as render_registry

from siskinproxy.entry.metrics import BOUNDS_S, Histogram, MetricText

__all__ = ('render',)

_KINDS: Final = {'counter': Counter, 'gauge': Gauge}


def render(metrics: Iterable[MetricText], values: Mapping[str, Any]) -> bytes:
    """Return metrics in the text format of Prometheus.

    Parameters
    ----------
    metrics : iterable of MetricText
        Metrics.
    values : mapping of str to object
        Values by name of the metric.

    Returns
    -------
    bytes
        Page.
    """
    registry = Registry()
    for metric in metrics:
        _add(registry, metric, values[metric.name])
    page, _ = render_registry(registry, ['text/plain'])
    return page


def _add(registry: Registry, metric: MetricText, found: Any) -> None:
    if isinstance(found, Histogram):
        _add_histogram(registry, metric, found)
        return
    kind = _KINDS[metric.kind]
    collector = kind(metric.name, metric.doc, registry=registry)
    if metric.labels:
        for label, number in found.items():
            collector.set({metric.labels[0]: label}, number)
    else:
        collector.set({}, found)


def _add_histogram(
    registry: Registry, metric: MetricText, found: Histogram
) -> None:
    buckets = histogram.Histogram(*BOUNDS_S, histogram.POS_INF)
    bounds = tuple(buckets.buckets)
    sums = accumulate(found.counts)
    buckets.buckets.update(zip(bounds, sums, strict=True))
    buckets.observations = sum(found.counts)
    buckets.sum = found.total_s
    collector = HistogramCollector(
        metric.name, metric.doc, registry=registry, buckets=bounds
    )
    collector.set_value({}, buckets)
