"""HTTP pages of all server programs: health, readiness, metrics, status and traces."""

from collections.abc import Callable

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Response
from quart_trio import QuartTrio

from railtide.telemetry.spans import SpanStore

__all__ = ["add_common_pages", "json_response"]

JSON = "application/json"
OK = 200
UNAVAILABLE = 503


def json_response(body: object, status: int = OK) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(body), status, content_type=JSON)


def add_common_pages(
    app: QuartTrio,
    ready: Callable[[], bool],
    status: Callable[[], msgspec.Struct],
    spans: SpanStore | None,
) -> None:
    """Add the common pages to an application.

    Parameters
    ----------
    app : QuartTrio
    ready : callable
        Returns whether the process accepts work.
    status : callable
        Returns the body of `/admin/status`.
    spans : SpanStore, optional
        The spans of the process; without it, the page of a trace is empty.
    """

    @app.get("/healthz")
    async def healthz() -> Response:
        return json_response({"ok": True})

    @app.get("/readyz")
    async def readyz() -> Response:
        return json_response({"ready": ready()}, OK if ready() else UNAVAILABLE)

    @app.get("/metrics")
    async def metrics() -> Response:
        return Response(generate_latest(), content_type=CONTENT_TYPE_LATEST)

    @app.get("/admin/status")
    async def status_page() -> Response:
        return json_response(status())

    @app.get("/admin/traces/<trace_id>")
    async def traces(trace_id: str) -> Response:
        return json_response({"spans": spans.spans_of(trace_id) if spans else []})
