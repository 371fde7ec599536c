"""Clients that send or read in ways which hold a server's memory."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import trio
import trio.lowlevel

__all__ = ["BODY_BYTES", "BODY_FORMS", "FORMS", "Target", "gather_crowd"]

BODY_BYTES = 4_194_304
"""The largest legal body in the tests' configurations."""
CHUNK_BYTES = 65_536
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000
ANNOUNCED_BYTES = 1 << 40
HEAD_BYTES = 16_000
PIPELINED = 64
UNREAD_GAP_S = 0.05
"""Time between two requests whose answers aren't read, so that each answer becomes complete."""
UNREAD_S = 2.0
"""How long the crowd stays after the last of these requests before anything is checked."""
SEND_S = 5.0
"""Longest time that a client sends; it then keeps its connection open."""


@dataclass(frozen=True)
class Target:
    """Where a crowd sends its requests, and the lines of its heads after the first."""

    host: str
    port: int
    path: str = "/"
    headers: tuple[str, ...] = ()

    def head(self, number: int, *framing: str) -> bytes:
        """Return the head of a client's request."""
        lines = [line.format(number=number) for line in self.headers]
        first = f"POST {self.path} HTTP/1.1"
        return "\r\n".join([first, f"host: {self.host}", *lines, *framing, "", ""]).encode()


Form = Callable[[trio.SocketStream, Target, int], Awaitable[None]]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _send_body(stream: trio.SocketStream, size: int) -> None:
    for at in range(0, size, CHUNK_BYTES):
        await stream.send_all(b"x" * min(CHUNK_BYTES, size - at))


async def _send_chunks(stream: trio.SocketStream, size: int) -> None:
    for at in range(0, size, CHUNK_BYTES):
        await stream.send_all(_chunk(b"x" * min(CHUNK_BYTES, size - at)))


async def whole_body(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send a legal body with its length."""
    await stream.send_all(target.head(number, f"content-length: {BODY_BYTES}"))
    await _send_body(stream, BODY_BYTES)


async def whole_body_in_chunks(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send a legal body piece by piece."""
    await stream.send_all(target.head(number, "transfer-encoding: chunked"))
    await _send_chunks(stream, BODY_BYTES)
    await stream.send_all(_chunk(b""))


async def unfinished_body(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send all but the last byte of a legal body."""
    await stream.send_all(target.head(number, f"content-length: {BODY_BYTES}"))
    await _send_body(stream, BODY_BYTES - 1)


async def unfinished_chunks(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send a legal body piece by piece, without its end."""
    await stream.send_all(target.head(number, "transfer-encoding: chunked"))
    await _send_chunks(stream, BODY_BYTES - 1)


async def announced_beyond_limit(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Announce a body far beyond the limit, and send it."""
    await stream.send_all(target.head(number, f"content-length: {ANNOUNCED_BYTES}"))
    await _send_body(stream, ANNOUNCED_BYTES)


async def sent_beyond_limit(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send a body without end, piece by piece."""
    await stream.send_all(target.head(number, "transfer-encoding: chunked"))
    await _send_chunks(stream, ANNOUNCED_BYTES)


async def tiny_chunks(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send a body in pieces of one byte."""
    await stream.send_all(target.head(number, "transfer-encoding: chunked"))
    while True:
        await stream.send_all(TINY_CHUNKS)


async def unfinished_head(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send a head of legal size without its end."""
    line = f"x-long: {'x' * HEAD_BYTES}"
    await stream.send_all(target.head(number, line)[: -len("\r\n\r\n")])


async def endless_trailers(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send trailers without end."""
    await stream.send_all(target.head(number, "transfer-encoding: chunked") + b"0\r\n")
    while True:
        await stream.send_all(b"x-trailer: x\r\n" * 1_000)


async def endless_extension(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send an extension of a chunk without end."""
    await stream.send_all(target.head(number, "transfer-encoding: chunked") + b"1;")
    while True:
        await stream.send_all(b"x" * CHUNK_BYTES)


async def repeated_departures(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Leave in the midst of a body, and come again."""
    with suppress(OSError, trio.BrokenResourceError):
        await unfinished_body(stream, target, number)
    while True:
        with suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(target.host, target.port) as again:
                await unfinished_body(again, target, number)
        await trio.lowlevel.checkpoint()


async def pipelined_bodies(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send more requests while the first one is answered."""
    await stream.send_all(target.head(number, "content-length: 0"))
    while True:
        await whole_body(stream, target, number)


async def unread_answer(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Ask for an answer and don't read it; clients do so one after another."""
    await trio.sleep(number * UNREAD_GAP_S)
    await stream.send_all(target.head(number, "content-length: 0"))
    await trio.sleep(UNREAD_S)


async def unread_answers(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Ask for many answers over one connection and read none; clients do so one after another."""
    await trio.sleep(number * UNREAD_GAP_S)
    await stream.send_all(target.head(number, "content-length: 0") * PIPELINED)
    await trio.sleep(UNREAD_S)


async def unfinished_message(stream: trio.SocketStream, target: Target, number: int) -> None:
    """Send all but the last byte of a message between railtide's processes."""
    await stream.send_all(BODY_BYTES.to_bytes(4, "big"))
    await _send_body(stream, BODY_BYTES - 1)


FORMS: dict[str, Form] = {
    form.__name__: form
    for form in (
        whole_body,
        whole_body_in_chunks,
        unfinished_body,
        unfinished_chunks,
        announced_beyond_limit,
        sent_beyond_limit,
        tiny_chunks,
        unfinished_head,
        endless_trailers,
        endless_extension,
        repeated_departures,
        pipelined_bodies,
        unread_answer,
        unread_answers,
        unfinished_message,
    )
}


BODY_FORMS = (
    "whole_body",
    "whole_body_in_chunks",
    "unfinished_body",
    "unfinished_chunks",
    "announced_beyond_limit",
    "sent_beyond_limit",
    "tiny_chunks",
    "pipelined_bodies",
)
"""Names of the forms that send bodies."""


async def gather_crowd(target: Target, form: Form, count: int) -> list[trio.SocketStream]:
    """Run so many clients of a form; return their connections, which stay open.

    Returns once each client has sent what it has to send, or as much as it could in `SEND_S`.
    """
    streams: list[trio.SocketStream] = []

    async def run_client(number: int) -> None:
        with suppress(OSError, trio.BrokenResourceError), trio.move_on_after(SEND_S):
            stream = await trio.open_tcp_stream(target.host, target.port)
            streams.append(stream)
            await form(stream, target, number)

    async with trio.open_nursery() as clients:
        for number in range(count):
            clients.start_soon(run_client, number)
    return streams
