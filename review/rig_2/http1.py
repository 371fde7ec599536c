"""A small HTTP/1.1 server and client on asyncio, with explicit framing."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


@dataclass
class Request:
    """A complete request, with lower-case header names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass
class Response:
    """A complete response, or what arrived of it."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one request; returns whether the connection stays open."""


def _headers_of(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_chunks(reader: asyncio.StreamReader, into: bytearray) -> None:
    while size := int((await reader.readline()).partition(b";")[0], 16):
        into += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, None if the connection ended before its head was complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    request = Request(method, target, _headers_of(lines))
    if "chunked" in request.headers.get("transfer-encoding", ""):
        body = bytearray()
        await _read_chunks(reader, body)
        request.body = bytes(body)
    elif length := int(request.headers.get("content-length", "0")):
        request.body = await reader.readexactly(length)
    return request


def response_bytes(
    status: int, headers: dict[str, str], body: bytes = b"", method: str = "GET"
) -> bytes:
    """Return a response whose length is stated; to HEAD, without its body (RFC 9110, 9.3.2)."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if method == "HEAD" else head + body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve connections, their requests one after another."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await handler(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=MAX_HEAD_BYTES)


class Connection:
    """A client's connection, which carries requests one after another."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.usable = True
        self.carried = 0

    @classmethod
    async def open(cls, address: str, timeout_s: float = 1.0) -> "Connection":
        """Connect; raises OSError or TimeoutError."""
        host, _, port = address.rpartition(":")
        opening = asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
        return cls(*await asyncio.wait_for(opening, timeout_s))

    async def send(self, request: Request, timeout_s: float) -> Response:
        """Send a request; return its response, incomplete if the connection or time ended."""
        response = Response()
        try:
            await asyncio.wait_for(self._exchange(request, response), timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.usable = False
        self.carried += 1
        return response

    async def _exchange(self, request: Request, response: Response) -> None:
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers.items()]
        if request.body or request.method == "POST":
            lines.append(f"Content-Length: {len(request.body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + request.body)
        await self._writer.drain()
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        response.status = int(first.split(" ")[1])
        response.headers = _headers_of(rest)
        if response.headers.get("connection", "").lower() == "close":
            self.usable = False
        if request.method == "HEAD":
            response.complete = True
            return
        body = bytearray()
        try:
            if "chunked" in response.headers.get("transfer-encoding", ""):
                await _read_chunks(self._reader, body)
            else:
                body += await self._reader.readexactly(
                    int(response.headers.get("content-length", "0"))
                )
        finally:
            response.body = bytes(body)
        response.complete = True

    def close(self) -> None:
        """Close the connection."""
        self.usable = False
        self._writer.close()
