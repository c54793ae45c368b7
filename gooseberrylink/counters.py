"""Counts refusals, retries and messages by reason, for the scraper."""

import collections

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from gooseberrylink.latency import ValueHistogram

_PERCENTS = (50.0, 95.0, 99.0, 100.0)


class Counters:
    """Counters of one process.

    Each counter has a name and one reason label. Several processes that are
    embedded in one interpreter each hold an object of their own, so nothing
    is global.

    Attributes:
        role: "entry" or "agent"; becomes a label.
        name: Name of the process; becomes a label.
    """

    def __init__(self, role: str, name: str):
        self.role = role
        self.name = name
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, ValueHistogram] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def add(self, metric: str, reason: str = "", amount: int = 1) -> None:
        """Adds to a counter; metric is a snake_case name without prefix."""
        self._counts[metric, reason] += amount

    def set_gauge(self, metric: str, value: float) -> None:
        """Sets a gauge, such as the length of the queue."""
        self._gauges[metric] = value

    def observe(self, metric: str, seconds: float) -> None:
        """Records a time in a histogram; metric is a name without its unit."""
        histogram = self._histograms.get(metric)
        if histogram is None:
            histogram = self._histograms[metric] = ValueHistogram()
        histogram.record(seconds)

    def get(self, metric: str, reason: str = "") -> int:
        """Returns the value of one counter; 0 if it was never added to."""
        return self._counts[metric, reason]

    def by_reason(self, metric: str) -> dict[str, int]:
        """Returns the values of a counter by reason."""
        return {
            reason: count
            for (name, reason), count in sorted(self._counts.items())
            if name == metric
        }

    def as_dict(self) -> dict[str, dict[str, int]]:
        """Returns all counters as {metric: {reason: count}}."""
        names = sorted({name for name, _ in self._counts})
        return {name: self.by_reason(name) for name in names}

    def collect(self):
        """Yields metric families; called by prometheus_client."""
        labels = ["role", "process"]
        for name, values in self.as_dict().items():
            family = CounterMetricFamily(
                f"gooseberrylink_{name}", name, labels=[*labels, "reason"]
            )
            for reason, count in values.items():
                family.add_metric([self.role, self.name, reason], count)
            yield family
        for name, value in sorted(self._gauges.items()):
            gauge = GaugeMetricFamily(f"gooseberrylink_{name}", name, labels=labels)
            gauge.add_metric([self.role, self.name], value)
            yield gauge
        for name, histogram in sorted(self._histograms.items()):
            yield from self._histogram_families(name, histogram)

    def _histogram_families(self, name: str, histogram: ValueHistogram):
        full_name = f"gooseberrylink_{name}_seconds"
        times = GaugeMetricFamily(full_name, name, labels=["role", "process", "p"])
        for percent in _PERCENTS:
            labels = [self.role, self.name, str(percent)]
            times.add_metric(labels, histogram.percentile(percent))
        yield times
        labels = ["role", "process"]
        count = CounterMetricFamily(f"{full_name}_count", name, labels=labels)
        count.add_metric([self.role, self.name], histogram.count)
        yield count

    def exposition(self) -> bytes:
        """Returns all counters in the Prometheus text format."""
        return generate_latest(self._registry)
