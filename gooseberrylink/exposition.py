"""Renders the metrics of a process in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from gooseberrylink.histogram import ValueHistogram
from gooseberrylink.metrics import Metrics

_PERCENTS = (50.0, 95.0, 99.0, 100.0)


def render_exposition(metrics: Metrics) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Converts the metrics of a process to metric families of prometheus_client."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yields all metric families."""
        metrics = self._metrics
        process_label_values = [metrics.role, metrics.name]
        labels = ["role", "process"]
        for name, values in metrics.counters().items():
            family = CounterMetricFamily(
                f"gooseberrylink_{name}", name, labels=[*labels, "reason"]
            )
            for reason, count in values.items():
                family.add_metric([*process_label_values, reason], count)
            yield family
        for name, value in metrics.gauges().items():
            gauge = GaugeMetricFamily(f"gooseberrylink_{name}", name, labels=labels)
            gauge.add_metric(process_label_values, value)
            yield gauge
        for name, histogram in metrics.histograms().items():
            yield from _histogram_families(name, histogram, process_label_values)


def _histogram_families(
    name: str, histogram: ValueHistogram, process_label_values: list[str]
) -> Iterator[Metric]:
    full_name = f"gooseberrylink_{name}_seconds"
    percentiles = GaugeMetricFamily(full_name, name, labels=["role", "process", "p"])
    for percent in _PERCENTS:
        percentiles.add_metric(
            [*process_label_values, str(percent)], histogram.percentile(percent)
        )
    yield percentiles
    count = CounterMetricFamily(f"{full_name}_count", name, labels=["role", "process"])
    count.add_metric(process_label_values, histogram.count)
    yield count
