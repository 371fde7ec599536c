"""Latency histograms of a process, as OpenTelemetry instruments."""

from opentelemetry import metrics

__all__ = ["BOUNDS_S", "Latency"]

METER = "railtide"
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Bucket boundaries, seconds: they range from a call to the store to the longest stream."""


class Latency:
    """A latency histogram with attributes.

    Parameters
    ----------
    name : str
        Name of the metric without prefix and unit.

    Examples
    --------
    >>> Latency("example").record(0.02, pool="p")
    """

    def __init__(self, name: str) -> None:
        self._histogram = metrics.get_meter(METER).create_histogram(
            f"railtide_{name}", unit="s", explicit_bucket_boundaries_advisory=list(BOUNDS_S)
        )

    def record(self, seconds: float, **attributes: str) -> None:
        """Record a duration, seconds."""
        self._histogram.record(seconds, attributes)
