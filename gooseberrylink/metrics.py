"""Keeps the metrics of a process: counters, gauges and histograms."""

import collections

from gooseberrylink.histogram import ValueHistogram


class Metrics:
    """Metrics of one process.

    Each counter has a name and one label, the reason. Nothing is global, because
    several entries and agents embedded in one interpreter each have their own
    instance.

    Attributes:
        role: "entry" or "agent"; exported as a label.
        name: Name of the process; exported as the label "process".
    """

    def __init__(self, role: str, name: str):
        self.role = role
        self.name = name
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, ValueHistogram] = {}

    def add(self, metric: str, reason: str = "", amount: int = 1) -> None:
        """Adds to a counter; metric is a snake_case name without prefix."""
        self._counts[metric, reason] += amount

    def set_gauge(self, metric: str, value: float) -> None:
        """Sets a gauge, such as the length of a queue."""
        self._gauges[metric] = value

    def observe(self, metric: str, seconds: float) -> None:
        """Records a duration in a histogram; metric is its name without the unit."""
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

    def counters(self) -> dict[str, dict[str, int]]:
        """Returns all counters as {metric: {reason: count}}."""
        names = sorted({name for name, _ in self._counts})
        return {name: self.by_reason(name) for name in names}

    def render_exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        # Imported on first use, as its own imports would delay the process's start.
        from gooseberrylink.exposition import render_exposition

        return render_exposition(self)

    def gauges(self) -> dict[str, float]:
        """Returns all gauges by name."""
        return dict(sorted(self._gauges.items()))

    def histograms(self) -> dict[str, ValueHistogram]:
        """Returns all histograms by name; the names do not include the unit."""
        return dict(sorted(self._histograms.items()))
