"""Records values such as response times in histograms."""

from hdrh.histogram import HdrHistogram

_MIN_RECORDED = 1
# One hour, if seconds are recorded as milliseconds.
_MAX_RECORDED = 3_600_000
_SIGNIFICANT_DIGITS = 3


class ValueHistogram:
    """A histogram of non-negative values, kept to three significant digits.

    Attributes:
        scale: Recorded units for each unit of the value, such as 1000 to record
            seconds as milliseconds.
    """

    def __init__(self, scale: float = 1000.0):
        self.scale = scale
        self._histogram = HdrHistogram(
            _MIN_RECORDED, _MAX_RECORDED, _SIGNIFICANT_DIGITS
        )

    def record(self, value: float) -> None:
        """Records one value; a value out of range is recorded as the bound."""
        scaled = round(value * self.scale)
        self._histogram.record_value(min(_MAX_RECORDED, max(_MIN_RECORDED, scaled)))

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self._histogram.get_total_count()

    def percentile(self, percent: float) -> float:
        """Returns the value at a percentile; 0 if nothing was recorded."""
        if not self.count:
            return 0.0
        return self._histogram.get_value_at_percentile(percent) / self.scale
