"""The W3C traceparent, by which spans of different processes are joined.

Apart from the spans themselves, since a process that keeps none needs no tracing SDK.
"""

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = ["context_of", "traceparent_of"]

TRACEPARENT = "traceparent"

_propagator = TraceContextTextMapPropagator()


def context_of(traceparent: str) -> Context | None:
    """Return the context of a caller's traceparent, or None without a valid one."""
    if not traceparent:
        return None
    return _propagator.extract({TRACEPARENT: traceparent})


def traceparent_of(span: trace.Span) -> str:
    """Return the traceparent that makes other spans children of this one; empty if not sampled."""
    if not span.get_span_context().trace_flags.sampled:
        return ""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, trace.set_span_in_context(span))
    return carrier.get(TRACEPARENT, "")
