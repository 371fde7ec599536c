"""Latency histograms of a process, as OpenTelemetry instruments."""

from opentelemetry import metrics

__all__ = ["BOUNDS_S", "Latency"]

METER = "railtide"
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)
"""Bounds of the buckets, seconds: from a call of the store to the longest stream."""


class Latency:
    """One histogram with attributes.

    Parameters
    ----------
    name : str
        Without the prefix and the unit.

    Examples
    --------
    >>> Latency("example").record(0.02, pool="p")
    """

    def __init__(self, name: str) -> None:
        self._histogram = metrics.get_meter(METER).create_histogram(
            f"railtide_{name}", unit="s", explicit_bucket_boundaries_advisory=list(BOUNDS_S)
        )

    def record(self, seconds: float, **attributes: str) -> None:
        """Count a duration."""
        self._histogram.record(seconds, attributes)
