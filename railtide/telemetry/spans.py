"""Spans: one for each hop, joined by the W3C traceparent."""

from collections import OrderedDict
from collections.abc import Sequence

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio

__all__ = ["SpanStore", "set_up_spans"]

MOST_TRACES = 2_000


class SpanStore(SpanExporter):
    """Keeps the spans of the latest traces in memory, for the process's own trace endpoint."""

    def __init__(self, most_traces: int = MOST_TRACES) -> None:
        self._most_traces = most_traces
        self._spans_by_trace_id: OrderedDict[str, list[ReadableSpan]] = OrderedDict()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Keep finished spans, dropping the oldest traces beyond the bound."""
        for span in spans:
            trace_id = trace.format_trace_id(span.context.trace_id)
            self._spans_by_trace_id.setdefault(trace_id, []).append(span)
            while len(self._spans_by_trace_id) > self._most_traces:
                self._spans_by_trace_id.popitem(last=False)
        return SpanExportResult.SUCCESS

    def spans_of(self, trace_id: str) -> list[dict[str, object]]:
        """Return a trace's spans as plain data, for the JSON of the trace endpoint."""
        return [_plain(span) for span in self._spans_by_trace_id.get(trace_id, [])]


def _plain(span: ReadableSpan) -> dict[str, object]:
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
    """Set the process's tracer provider and return where its spans are kept.

    Parameters
    ----------
    service : str
        Name of this process in its spans.
    ratio : float
        Share of requests traced when the caller's traceparent does not decide.
    """
    store = SpanStore()
    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(ratio),
        resource=Resource.create({"service.name": service}),
    )
    provider.add_span_processor(SimpleSpanProcessor(store))
    trace.set_tracer_provider(provider)
    return store
