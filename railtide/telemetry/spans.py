"""Tracing spans, one for each hop of a request, linked by the W3C traceparent."""

from collections import OrderedDict
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio

__all__ = ["SpanStore", "set_up_spans"]

MAX_TRACES = 2_000


class SpanStore(SpanExporter):
    """Keeps the spans of the latest traces in memory, for the trace page of the process.

    Parameters
    ----------
    max_traces : int, optional
        Number of traces that are kept.
    """

    def __init__(self, max_traces: int = MAX_TRACES) -> None:
        self._max_traces = max_traces
        self._spans_by_trace_id: OrderedDict[str, list[ReadableSpan]] = OrderedDict()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Store finished spans and drop the oldest traces above the limit."""
        for span in spans:
            trace_id = trace.format_trace_id(span.context.trace_id)
            self._spans_by_trace_id.setdefault(trace_id, []).append(span)
            while len(self._spans_by_trace_id) > self._max_traces:
                self._spans_by_trace_id.popitem(last=False)
        return SpanExportResult.SUCCESS

    def spans_of(self, trace_id: str) -> list[dict[str, object]]:
        """Return the spans of a trace as dictionaries, for the trace page."""
        return [_to_dict(span) for span in self._spans_by_trace_id.get(trace_id, [])]


def _to_dict(span: ReadableSpan) -> dict[str, object]:
    return {
        "name": span.name,
        "service": span.resource.attributes.get("service.name", ""),
        "span_id": trace.format_span_id(span.context.span_id),
        "parent_id": trace.format_span_id(span.parent.span_id) if span.parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


def set_up_spans(service: str, ratio: float) -> SpanStore:
    """Set the tracer provider of the process and return the store of its spans.

    Parameters
    ----------
    service : str
        Name of this process in its spans.
    ratio : float
        Fraction of requests that are traced if the caller sends no traceparent.
    """
    span_store = SpanStore()
    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(ratio),
        resource=Resource.create({"service.name": service}),
    )
    provider.add_span_processor(SimpleSpanProcessor(span_store))
    trace.set_tracer_provider(provider)
    return span_store
