"""The W3C traceparent, which links spans of different processes.

This is separate from `railtide.telemetry.spans`, since a process that keeps no spans does not need
to import the tracing SDK.
"""

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = ["context_of", "traceparent_of"]

TRACEPARENT = "traceparent"

_propagator = TraceContextTextMapPropagator()


def context_of(traceparent: str) -> Context | None:
    """Return the tracing context of a caller's traceparent, or None if there is no traceparent."""
    if not traceparent:
        return None
    return _propagator.extract({TRACEPARENT: traceparent})


def traceparent_of(span: trace.Span) -> str:
    """Return the traceparent for children of a span, or an empty string if it is not sampled."""
    if not span.get_span_context().trace_flags.sampled:
        return ""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")
