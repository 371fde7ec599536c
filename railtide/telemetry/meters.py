"""Metrics of a process: OpenTelemetry gauges, exported at `/metrics` in Prometheus format."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

__all__ = ["observe", "observe_each", "set_up_meters"]

METER = "railtide"


def set_up_meters(service: str) -> None:
    """Set the process's meter provider."""
    resource = Resource.create({"service.name": service})
    reader = PrometheusMetricReader(disable_target_info=True)
    metrics.set_meter_provider(MeterProvider(metric_readers=[reader], resource=resource))


def observe(name: str, unit: str, read: Callable[[], float]) -> None:
    """Register a gauge whose value is read at each scrape."""
    _add_gauge(name, unit, lambda: [Observation(read())])


def observe_each(
    name: str, unit: str, attribute: str, read: Callable[[], Mapping[str, float]]
) -> None:
    """Register a gauge with one value for each value of an attribute, read at each scrape."""
    _add_gauge(
        name, unit, lambda: [Observation(value, {attribute: key}) for key, value in read().items()]
    )


def _add_gauge(name: str, unit: str, observations: Callable[[], list[Observation]]) -> None:
    def callback(options: CallbackOptions) -> Iterable[Observation]:
        return observations()

    meter = metrics.get_meter(METER)
    meter.create_observable_gauge(f"railtide_{name}", callbacks=[callback], unit=unit)
