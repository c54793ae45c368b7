"""Renders the metrics of a process in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from gooseberrylink.counters import Counters
from gooseberrylink.histogram import ValueHistogram

_PERCENTS = (50.0, 95.0, 99.0, 100.0)


def render_exposition(counters: Counters) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(counters))
    return generate_latest(registry)


class _Collector:
    """Converts counters to metric families for prometheus_client."""

    def __init__(self, counters: Counters):
        self._counters = counters

    def collect(self) -> Iterator[Metric]:
        """Yields all metric families."""
        counters = self._counters
        process = [counters.role, counters.name]
        labels = ["role", "process"]
        for name, values in counters.as_dict().items():
            family = CounterMetricFamily(
                f"gooseberrylink_{name}", name, labels=[*labels, "reason"]
            )
            for reason, count in values.items():
                family.add_metric([*process, reason], count)
            yield family
        for name, value in counters.gauges().items():
            gauge = GaugeMetricFamily(f"gooseberrylink_{name}", name, labels=labels)
            gauge.add_metric(process, value)
            yield gauge
        for name, histogram in counters.histograms().items():
            yield from _histogram_families(name, histogram, process)


def _histogram_families(
    name: str, histogram: ValueHistogram, process: list[str]
) -> Iterator[Metric]:
    full_name = f"gooseberrylink_{name}_seconds"
    percentiles = GaugeMetricFamily(full_name, name, labels=["role", "process", "p"])
    for percent in _PERCENTS:
        percentiles.add_metric([*process, str(percent)], histogram.percentile(percent))
    yield percentiles
    count = CounterMetricFamily(f"{full_name}_count", name, labels=["role", "process"])
    count.add_metric(process, histogram.count)
    yield count
