"""Counters of a process, exported through OpenTelemetry and readable in the process."""

from opentelemetry import metrics

__all__ = ["Counters"]

METER = "railtide"


class Counters:
    """Named counters, each an OpenTelemetry counter together with its current value.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.add("requests_done")
    >>> counters.value("requests_done")
    1
    """

    def __init__(self) -> None:
        self._meter = metrics.get_meter(METER)
        self._instruments_by_name: dict[str, metrics.Counter] = {}
        self._values_by_name: dict[str, int] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter, which is created at its first use."""
        instrument = self._instruments_by_name.get(name)
        if instrument is None:
            instrument = self._meter.create_counter(f"railtide_{name}")
            self._instruments_by_name[name] = instrument
        instrument.add(amount)
        self._values_by_name[name] = self._values_by_name.get(name, 0) + amount

    def value(self, name: str) -> int:
        """Return the value of a counter, 0 if it was never used."""
        return self._values_by_name.get(name, 0)

    def values_by_name(self) -> dict[str, int]:
        """Return the values of all counters, sorted by name."""
        return dict(sorted(self._values_by_name.items()))
