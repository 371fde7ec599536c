"""Serves ASGI applications with `HttpServer`, so that its bounds hold for their callers too."""

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

import trio

from railtide.http.errors import CallerDisconnected
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.server import Responder

__all__ = ["AsgiApp", "AsgiHandler"]

Message = dict[str, object]
AsgiApp = Callable[
    [Message, Callable[[], Awaitable[Message]], Callable[[Message], Awaitable[None]]],
    Awaitable[None],
]
FRAMING = (b"content-length", b"transfer-encoding")


class AsgiHandler:
    """Handles requests with an ASGI application.

    The application gets the whole body of a request at once. What it sends to a caller that has
    disconnected is dropped.

    Parameters
    ----------
    app : callable
    """

    def __init__(self, app: AsgiApp) -> None:
        self._app = app

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; see `railtide.http.server.Handler`."""
        exchange = _AsgiExchange(request, responder)
        await self._app(_scope_of(request), exchange.receive, exchange.send)


class _AsgiExchange:
    def __init__(self, request: HttpRequest, responder: Responder) -> None:
        self._request = request
        self._responder = responder
        self._is_received = False

    async def receive(self) -> Message:
        if not self._is_received:
            self._is_received = True
            return {"type": "http.request", "body": self._request.body, "more_body": False}
        await self._responder.wait_disconnected()
        return {"type": "http.disconnect"}

    async def send(self, message: Message) -> None:
        try:
            if message["type"] == "http.response.start":
                await self._start(message["status"], tuple(message.get("headers", ())))
            elif message["type"] == "http.response.body":
                await self._write(message.get("body", b""), message.get("more_body", False))
        except (CallerDisconnected, trio.ClosedResourceError):
            pass  # `receive` tells the application

    async def _start(self, status: int, headers: Headers) -> None:
        headers = tuple((bytes(name).lower(), bytes(value)) for name, value in headers)
        length = first_header(headers, b"content-length")
        rest = tuple(header for header in headers if header[0] not in FRAMING)
        await self._responder.start(status, rest, None if length is None else int(length))

    async def _write(self, body: bytes, more_body: bool) -> None:
        await self._responder.write(bytes(body))
        if not more_body:
            await self._responder.finish()


def _scope_of(request: HttpRequest) -> Message:
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": "1.1",
        "method": request.method.decode("ascii"),
        "scheme": "http",
        "path": unquote(path.decode("ascii")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": list(request.headers),
        "client": None,
        "server": None,
        "state": {},
        "extensions": {},
    }
