"""Metrics of a process: OpenTelemetry instruments, read at `/metrics` in Prometheus' format."""

from collections.abc import Callable, Iterable

from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

__all__ = ["observe", "set_up_meters"]


def set_up_meters(service: str) -> None:
    """Set the process's meter provider."""
    resource = Resource.create({"service.name": service})
    reader = PrometheusMetricReader(disable_target_info=True)
    metrics.set_meter_provider(MeterProvider(metric_readers=[reader], resource=resource))


def observe(name: str, unit: str, read: Callable[[], float]) -> None:
    """Register a gauge whose value is read when it is asked for."""

    def callback(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    meter = metrics.get_meter("railtide")
    meter.create_observable_gauge(f"railtide_{name}", callbacks=[callback], unit=unit)
