"""Tests of the memory that all connections share: who gets room, who is refused, who is evicted."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from random import Random

import pytest
import trio
import trio.testing

from railtide.http.connection_memory import MIN_PEER_RATE, STALL_S, ConnectionMemory, Holding
from railtide.http.errors import MemoryExhausted
from railtide.http.messages import HttpRequest
from railtide.http.server import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    ConnectionLimits,
    HttpServer,
    Responder,
)
from railtide.http.sockets import listen

LIMIT = 1_000_000
LARGE = 200_000
SMALL = 1_000
MEMORY = 4_000_000
BODY = 1_000_000
WAIT_S = 5.0
HEAD = "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"


def waiting(memory: ConnectionMemory, size: int) -> Holding:
    """Return a holding that waits for its peer."""
    holding = memory.open()
    holding.resize_held(size)
    holding.wait_for_peer(lambda: None)
    return holding


class TestRoom:
    async def test_large_holdings_take_the_room_of_small_ones(self) -> None:
        memory = ConnectionMemory(LIMIT)
        admitted = 0
        with pytest.raises(MemoryExhausted):
            while True:
                memory.open().resize(LARGE)
                admitted += 1
        assert admitted >= 2
        for _ in range(100):
            memory.open().resize(SMALL)

    async def test_holding_that_needs_all_memory_is_rejected_in_calm(self) -> None:
        memory = ConnectionMemory(LIMIT)
        memory.open().resize(SMALL)
        memory.open().resize(LIMIT)
        assert memory.held <= 1.25 * LIMIT

    async def test_rejected_holding_keeps_or_leaks_memory(self) -> None:
        memory = ConnectionMemory(LIMIT, Random(1))
        first, second = memory.open(), memory.open()
        first.resize(LIMIT // 2)
        second.resize(SMALL)
        with pytest.raises(MemoryExhausted) as raised:
            second.resize(LIMIT // 2)
        assert STALL_S <= raised.value.retry_after <= 2 * STALL_S
        assert memory.held == LIMIT // 2 + SMALL
        first.release()
        second.release()
        assert memory.held == 0


class TestEviction:
    async def test_peer_that_keeps_up_is_evicted(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        memory = ConnectionMemory(LIMIT)
        honest = [waiting(memory, LARGE) for _ in range(4)]
        for _ in range(20):
            await trio.sleep(STALL_S / 4)
            for holding in honest:
                holding.note_progress(int(MIN_PEER_RATE * STALL_S / 4) + 1)
        with pytest.raises(MemoryExhausted):
            memory.open().resize(LARGE)
        assert not any(holding.is_evicted for holding in honest)

    @pytest.mark.parametrize("trickle", [0, 1])
    async def test_peer_that_stalls_keeps_its_memory(
        self, autojump_clock: trio.testing.MockClock, trickle: int
    ) -> None:
        memory = ConnectionMemory(LIMIT)
        stalled = [waiting(memory, LARGE) for _ in range(4)]
        for _ in range(5):
            await trio.sleep(STALL_S / 4)
            for holding in stalled:
                holding.note_progress(trickle)
        memory.open().resize(LARGE)
        assert 0 < memory.evicted < len(stalled)

    async def test_cheap_holdings_are_evicted_before_costly_ones(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        memory = ConnectionMemory(LIMIT)
        small = [waiting(memory, SMALL) for _ in range(50)]
        large = waiting(memory, LIMIT - 50 * SMALL)
        await trio.sleep(2 * STALL_S)
        memory.open().resize(LARGE)
        assert large.is_evicted and not any(holding.is_evicted for holding in small)

    async def test_holding_that_waits_for_no_peer_is_evicted(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        memory = ConnectionMemory(LIMIT)
        running = memory.open()
        running.resize(LIMIT)
        await trio.sleep(2 * STALL_S)
        with pytest.raises(MemoryExhausted):
            memory.open().resize(SMALL)
        assert not running.is_evicted

    async def test_answers_of_peers_that_keep_up_exceed_the_limit(self) -> None:
        memory = ConnectionMemory(LIMIT)
        for _ in range(20):
            waiting(memory, LARGE)
        assert memory.held <= LIMIT


async def answer_ok(request: HttpRequest, responder: Responder) -> None:
    await responder.answer(200, (), b"%d" % len(request.body))


@asynccontextmanager
async def server(handler=answer_ok, memory: ConnectionMemory | None = None) -> AsyncIterator:
    """Run a server; yield it and a function that connects to it."""
    http_server = HttpServer(handler, ConnectionLimits(body_bytes=BODY), memory=memory)
    listener = await listen("127.0.0.1", 0)
    port = listener.socket.getsockname()[1]
    with trio.fail_after(WAIT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(http_server.serve, listener)
            yield http_server, partial(trio.open_tcp_stream, "127.0.0.1", port)
            nursery.cancel_scope.cancel()


async def head_of_answer(stream: trio.SocketStream) -> bytes:
    received = b""
    while b"\r\n\r\n" not in received:
        received += (data := await stream.receive_some())
        assert data
    return received


class TestServer:
    async def test_length_beyond_the_limit_is_read_before_it_is_refused(self) -> None:
        async with server() as (_, connect):
            stream = await connect()
            await stream.send_all((HEAD % (BODY + 1)).encode())
            assert (await head_of_answer(stream)).startswith(b"HTTP/1.1 413 ")

    async def test_body_that_never_fits_is_told_to_come_again(self) -> None:
        memory = ConnectionMemory(BODY)
        async with server(memory=memory) as (_, connect):
            stream = await connect()
            await stream.send_all((HEAD % BODY).encode())
            assert (await head_of_answer(stream)).startswith(b"HTTP/1.1 413 ")

    async def test_body_without_room_is_awaited(self) -> None:
        memory = ConnectionMemory(MEMORY)
        async with server(memory=memory) as (_, connect):
            other = memory.open()
            other.resize_held(MEMORY - BODY)
            stream = await connect()
            await stream.send_all((HEAD % BODY).encode())
            head = await head_of_answer(stream)
            assert head.startswith(b"HTTP/1.1 503 ") and b"retry-after" in head
            await stream.send_all(b"x" * BODY)
            other.release()
            again = await connect()
            await again.send_all((HEAD % BODY).encode() + b"x" * BODY)
            assert (await head_of_answer(again)).startswith(b"HTTP/1.1 200 ")

    async def test_connection_holds_memory_after_its_end(self) -> None:
        memory = ConnectionMemory(MEMORY)
        async with server(memory=memory) as (_, connect):
            for sent in (b"", b"GET", (HEAD % BODY).encode(), (HEAD % 2).encode() + b"ok"):
                stream = await connect()
                await stream.send_all(sent)
                if sent.endswith(b"ok"):
                    await head_of_answer(stream)
                await trio.testing.wait_all_tasks_blocked(0.01)
                assert memory.held >= CONNECTION_BYTES
                await stream.aclose()
                while memory.held:
                    await trio.sleep(0.01)

    async def test_stalled_body_gets_no_answer_when_it_is_evicted(self) -> None:
        memory = ConnectionMemory(MEMORY)
        async with server(memory=memory) as (http_server, connect):
            stream = await connect()
            await stream.send_all((HEAD % BODY).encode() + b"x")
            while memory.held < 2 * BODY:
                await trio.sleep(0.01)
            (holding,) = http_server._holdings
            holding.evict()
            assert (await head_of_answer(stream)).startswith(b"HTTP/1.1 503 ")
            assert memory.held == 0

    async def test_unread_answer_holds_its_memory_when_it_is_evicted(self) -> None:
        async def answer_long(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, (), b"x" * MEMORY)

        memory = ConnectionMemory(2 * MEMORY)
        async with server(answer_long, memory) as (http_server, connect):
            stream = await connect()
            await stream.send_all((HEAD % 0).encode())
            while memory.held < MEMORY:
                await trio.sleep(0.01)
            (holding,) = http_server._holdings
            holding.evict()
            received = 0
            with pytest.raises(trio.BrokenResourceError):
                while data := await stream.receive_some():
                    received += len(data)
                raise trio.BrokenResourceError
            assert received < MEMORY and memory.held == 0

    async def test_requests_read_ahead_are_not_held(self) -> None:
        released = trio.Event()

        async def wait(request: HttpRequest, responder: Responder) -> None:
            await released.wait()
            await responder.answer(200, ())

        memory = ConnectionMemory(MEMORY)
        async with server(wait, memory) as (_, connect):
            stream = await connect()
            await stream.send_all((HEAD % 0).encode() + b"G" * LARGE)
            while memory.held < CONNECTION_BYTES + REQUEST_BYTES + LARGE // 2:
                await trio.sleep(0.01)
            released.set()
            assert (await head_of_answer(stream)).startswith(b"HTTP/1.1 200 ")
