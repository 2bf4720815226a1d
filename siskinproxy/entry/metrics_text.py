"""Renders metrics in the Prometheus text format with aioprometheus."""

from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import Any, Final

from aioprometheus import Counter, Gauge, Registry, histogram
from aioprometheus.collectors import Histogram as HistogramCollector
from aioprometheus.renderer import render as render_registry

from siskinproxy.entry.metrics import (
    BUCKET_BOUNDS_S,
    Histogram,
    MetricDescription,
)

__all__ = ('render',)

_KINDS: Final = {'counter': Counter, 'gauge': Gauge}


def render(
    metrics: Iterable[MetricDescription], values: Mapping[str, Any]
) -> bytes:
    """Return metrics in the Prometheus text format.

    Parameters
    ----------
    metrics : iterable of MetricDescription
        Metrics to render.
    values : mapping of str to object
        Value of each metric by its name, as `EntryMetrics.values` returns it.

    Returns
    -------
    bytes
        Text in UTF-8.
    """
    registry = Registry()
    for metric in metrics:
        _add_metric(registry, metric, values[metric.name])
    page, _ = render_registry(registry, ['text/plain'])
    return page


def _add_metric(
    registry: Registry, metric: MetricDescription, value: Any
) -> None:
    if isinstance(value, Histogram):
        _add_histogram(registry, metric, value)
        return
    kind = _KINDS[metric.kind]
    collector = kind(metric.name, metric.doc, registry=registry)
    if metric.labels:
        for key, number in value.items():
            labels = key if isinstance(key, tuple) else (key,)
            collector.set(dict(zip(metric.labels, labels, strict=True)), number)
    else:
        collector.set({}, value)


def _add_histogram(
    registry: Registry, metric: MetricDescription, value: Histogram
) -> None:
    buckets = histogram.Histogram(*BUCKET_BOUNDS_S, histogram.POS_INF)
    bounds = tuple(buckets.buckets)
    cumulative_counts = accumulate(value.counts)
    buckets.buckets.update(zip(bounds, cumulative_counts, strict=True))
    buckets.observations = sum(value.counts)
    buckets.sum = value.total_s
    collector = HistogramCollector(
        metric.name, metric.doc, registry=registry, buckets=bounds
    )
    collector.set_value({}, buckets)
