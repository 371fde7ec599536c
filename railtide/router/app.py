"""The router's HTTP application: plain ASGI for calls, Quart for everything else.

Calls and their streams use ASGI directly, which avoids the cost of a response wrapper between the
relay and the server (figures in docs/MEASUREMENTS.md).
"""

import trio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope
from loguru import logger
from opentelemetry import trace
from quart import Response, request
from quart_trio import QuartTrio

from railtide.errors import RailtideError
from railtide.http.messages import Headers
from railtide.requests.call import AnswerSink, Call
from railtide.requests.errors import InvalidRequest
from railtide.router.problems import problem_headers, problem_of, problem_to_bytes
from railtide.router.requests import (
    CHAT_PATH,
    SERVICES_PATH,
    HttpRequest,
    account_of,
    call_of,
)
from railtide.router.router import Router
from railtide.router.status import status_of
from railtide.telemetry.pages import add_common_pages, json_response
from railtide.telemetry.spans import SpanStore
from railtide.telemetry.traceparent import context_of

__all__ = ["RouterApp", "make_app"]

_tracer = trace.get_tracer("railtide.router")


class _AsgiSink(AnswerSink):
    """Sends an answer as ASGI messages."""

    def __init__(self, send: ASGISendCallable) -> None:
        self._send = send

    async def start(
        self, status: int, content_type: str, request_id: str, headers: Headers = ()
    ) -> None:
        sent = [
            (b"content-type", content_type.encode()),
            (b"x-request-id", request_id.encode()),
            *headers,
        ]
        self.started = True
        await self._send({"type": "http.response.start", "status": status, "headers": sent})

    async def write(self, data: bytes) -> None:
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})


class RouterApp:
    """The ASGI application.

    Parameters
    ----------
    router : Router
    pages : QuartTrio
        Serves everything that is not a call.
    """

    def __init__(self, router: Router, pages: QuartTrio) -> None:
        self._router = router
        self._pages = pages

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "http" and scope["path"].startswith((CHAT_PATH, SERVICES_PATH)):
            await self._serve_call(scope, receive, send)
        else:
            await self._pages(scope, receive, send)

    async def _serve_call(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        headers = {name.decode(): value.decode("latin-1") for name, value in scope["headers"]}
        context = context_of(headers.get("traceparent", ""))
        with _tracer.start_as_current_span("router.call", context) as span:
            sink = _AsgiSink(send)
            try:
                body = await self._read_body(receive)
                call = self._call(scope, headers, body)
                span.set_attribute("railtide.request_id", call.request_id)
                await self._run(call, sink, receive)
            except RailtideError as err:
                span.set_attribute("railtide.code", err.code)
                await self._answer_error(err, sink, send, headers)
            except Exception as err:
                logger.error("unexpected error while serving a call: {!r}", err)
                await self._answer_error(RailtideError("unexpected"), sink, send, headers)

    async def _read_body(self, receive: ASGIReceiveCallable) -> bytes:
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] != "http.request":
                raise InvalidRequest("the caller disconnected before its request was complete")
            body += message.get("body", b"")
            if len(body) > self._router.options.max_body_bytes:
                raise InvalidRequest("the request body is too large")
            if not message.get("more_body", False):
                return bytes(body)

    def _call(self, scope: Scope, headers: dict[str, str], body: bytes) -> Call:
        self._router.check_ready()
        query = scope["query_string"].decode("latin-1")
        http_request = HttpRequest(scope["method"], scope["path"], query, headers, body)
        return call_of(http_request, self._router.directory, self._router.options)

    async def _run(self, call: Call, sink: _AsgiSink, receive: ASGIReceiveCallable) -> None:
        """Serve the call; a disconnect cancels it if it is repeatable and has no key."""
        failure: RailtideError | None = None
        async with trio.open_nursery() as nursery:
            if not call.key and call.repeatable:
                nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            try:
                await self._router.serve(call, sink)
            except RailtideError as err:
                failure = err
            nursery.cancel_scope.cancel()
        if failure:
            raise failure

    async def _answer_error(
        self,
        err: RailtideError,
        sink: _AsgiSink,
        send: ASGISendCallable,
        headers: dict[str, str],
    ) -> None:
        self._router.counters.add(f"errors_{err.code.replace('-', '_')}")
        problem = problem_of(err, self._other_addresses(headers))
        if sink.started:
            await sink.write(b"event: error\ndata: " + problem_to_bytes(problem) + b"\n\n")
            await sink.finish()
            return
        await send(
            {
                "type": "http.response.start",
                "status": problem.status,
                "headers": problem_headers(problem),
            }
        )
        await send({"type": "http.response.body", "body": problem_to_bytes(problem)})

    def _other_addresses(self, headers: dict[str, str]) -> list[str]:
        """Return addresses of live routers for the caller while this router drains, else none."""
        if not self._router.draining:
            return []
        try:
            account = account_of(HttpRequest("GET", "", headers=headers), self._router.directory)
            return [endpoint.address for endpoint in self._router.addresses(account)]
        except RailtideError:
            return []


async def _cancel_on_disconnect(receive: ASGIReceiveCallable, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def make_app(router: Router, spans: SpanStore | None = None) -> RouterApp:
    """Return the HTTP application of a router."""
    pages = QuartTrio("railtide.router")

    @pages.errorhandler(RailtideError)
    async def on_error(err: RailtideError) -> Response:
        problem = problem_of(err)
        answer = Response(problem_to_bytes(problem), problem.status)
        for name, value in problem_headers(problem):
            answer.headers[name.decode()] = value.decode()
        return answer

    @pages.get("/v1/addresses")
    async def addresses() -> Response:
        router.check_ready()
        headers = {name.lower(): value for name, value in request.headers.items()}
        account = account_of(HttpRequest("GET", "", headers=headers), router.directory)
        return json_response(
            {
                "addresses": [e.address for e in router.addresses(account)],
                "keep_s": router.options.address_ttl_s,
            }
        )

    add_common_pages(pages, lambda: router.ready, lambda: status_of(router), spans)
    return RouterApp(router, pages)
