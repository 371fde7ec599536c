"""Tests of railtide.journal.http_log: timeouts limit stalls in both directions, not whole calls."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest
import trio

from railtide.journal.errors import LogUnavailable
from railtide.journal.http_log import HttpLog, open_http_log

TIMEOUT_S = 0.4
CHUNK_PAUSE_S = 0.05
CHUNK_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


@asynccontextmanager
async def log_of(script: Callable[[trio.SocketStream], Awaitable[None]]) -> AsyncIterator[HttpLog]:
    """Serve each connection with a script; yield a client of that server."""

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await script(stream)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    listener.socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, CHUNK_BYTES)
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield open_http_log(f"http://127.0.0.1:{port}", TIMEOUT_S)
        nursery.cancel_scope.cancel()


async def answer(stream: trio.SocketStream, body: bytes, chunk: int) -> None:
    await stream.send_all(HEAD + b"Content-Length: %d\r\n\r\n" % len(body))
    for at in range(0, len(body), chunk):
        await stream.send_all(body[at : at + chunk])
        await trio.sleep(CHUNK_PAUSE_S)


class TestTimeout:
    async def test_answer_takes_as_long_as_its_bytes_need(self) -> None:
        page = {"head": 1, "records": [{"offset": 0, "stamp": 1, "data": "A" * 1_000_000}]}

        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await answer(stream, msgspec.json.encode(page), 50_000)

        async with log_of(script) as log:
            found = await log.read("journal", 0, 1, 0.0)
        assert len(found.records[0].data) == 750_000

    async def test_append_takes_as_long_as_its_bytes_need(self) -> None:
        """8 MB of base64 at 64 KB per 0.01 s take over 1 s, longer than the timeout of 0.4 s."""
        size = 6_000_000

        async def script(stream: trio.SocketStream) -> None:
            head = await stream.receive_some()
            left = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            left -= len(head.partition(b"\r\n\r\n")[2])
            while left > 0:
                left -= len(await stream.receive_some(CHUNK_BYTES))
                await trio.sleep(CHUNK_PAUSE_S / 5)
            await answer(stream, b'{"offset": 7}', 100)

        async with log_of(script) as log:
            assert await log.append("journal", bytes(size)) == 7

    @pytest.mark.parametrize("size", [10, 6_000_000])
    async def test_unresponsive_log_times_out(self, size: int) -> None:
        async def script(stream: trio.SocketStream) -> None:
            await trio.sleep_forever()

        async with log_of(script) as log:
            with trio.fail_after(20), pytest.raises(LogUnavailable):
                await log.append("journal", bytes(size))
