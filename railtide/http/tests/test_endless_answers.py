"""Peers that send bytes without end: what the client reads, and when it closes the connection."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial

import pytest
import trio
from trio.testing import MockClock

from railtide.http.client import PeerPool
from railtide.http.correlation import Correlation
from railtide.http.errors import AnswerTooLong, ConnectionLost
from railtide.http.idle_connections import close_stale
from railtide.http.messages import HttpRequest
from railtide.http.read_pace import (
    BURST_WORK,
    CHUNK_WORK,
    LANE_WORK_PER_S,
    WORK_PER_S,
    ExcessLane,
    ReadPace,
)
from railtide.http.sockets import listen
from railtide.standins.endless_answers import Flood, send_flood

GET = HttpRequest(b"GET", b"/a", ((b"host", b"x"), (b"x-attempt-id", b"r1")))
HOST = "127.0.0.1"
SOCKET_BYTES = 16_777_216
"""Bytes that the system may buffer between two sockets."""
MAX_BODY = 1_048_576
LANE = ExcessLane()
HEADS = (
    Flood.NOISE,
    Flood.HEAD_LINE,
    Flood.HEAD_LINES,
    Flood.INFORMATIONAL,
    Flood.CHUNK_EXTENSION,
    Flood.TRAILERS,
)
BODIES = (Flood.BODY_WITH_LENGTH, Flood.BODY_IN_CHUNKS, Flood.BODY_UNTIL_CLOSE)


class FloodingPeer:
    """Answers each request with a flood.

    Attributes
    ----------
    ended : trio.Event
        Set once a connection was closed by the client.
    """

    def __init__(self, flood: Flood, pause_s: float) -> None:
        self.flood = flood
        self.pause_s = pause_s
        self.sent = 0
        self.ended = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some()
        with suppress(trio.BrokenResourceError):
            await send_flood(_CountingStream(self, stream), self.flood, b"r1", self.pause_s)
        self.ended.set()


class _CountingStream:
    def __init__(self, peer: FloodingPeer, stream: trio.SocketStream) -> None:
        self._peer = peer
        self._stream = stream

    async def send_all(self, data: bytes) -> None:
        await self._stream.send_all(data)
        self._peer.sent += len(data)


@asynccontextmanager
async def flooding_peer(
    flood: Flood, pause_s: float = 0.0, lane: ExcessLane | None = LANE
) -> AsyncIterator[tuple[FloodingPeer, PeerPool]]:
    peer = FloodingPeer(flood, pause_s)
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(trio.serve_listeners, peer.serve, [listener]))
        port = listener.socket.getsockname()[1]
        correlation = Correlation(b"x-attempt-id")
        yield peer, PeerPool(HOST, port, correlation=correlation, lane=lane)
        nursery.cancel_scope.cancel()


async def read_answer(pool: PeerPool) -> int:
    """Return the bytes of the body."""
    exchange = await pool.send(GET)
    return sum([len(data) async for data in exchange.chunks()])


class TestBytesWithoutEnd:
    """Guards against memory and processor time without bound, and connections left open."""

    @pytest.mark.parametrize("flood", HEADS)
    async def test_head_without_end_is_given_up(self, flood: Flood) -> None:
        async with flooding_peer(flood) as (peer, pool):
            with trio.fail_after(8):
                with pytest.raises(ConnectionLost):
                    await read_answer(pool)
                await peer.ended.wait()
            assert peer.sent < MAX_BODY + SOCKET_BYTES
            assert len(pool.idle) == pool.open_exchanges == 0

    @pytest.mark.parametrize("flood", BODIES)
    async def test_body_without_end_is_given_up(
        self, flood: Flood, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("railtide.http.exchange.MAX_BODY_BYTES", MAX_BODY)
        async with flooding_peer(flood) as (peer, pool):
            with trio.fail_after(8):
                exchange = await pool.send(GET)
                received = 0
                with pytest.raises(AnswerTooLong):
                    async for data in exchange.chunks():
                        received += len(data)
                exchange.abandon()
                await peer.ended.wait()
            assert received <= MAX_BODY
            assert peer.sent < MAX_BODY + SOCKET_BYTES

    async def test_informational_answers_that_come_slowly_are_counted(self) -> None:
        async with flooding_peer(Flood.INFORMATIONAL, pause_s=0.001) as (peer, pool):
            with trio.fail_after(8):
                with pytest.raises(AnswerTooLong):
                    await read_answer(pool)
                await peer.ended.wait()

    async def test_some_informational_answers_are_allowed(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" * 8)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

        listener = await listen(HOST, 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            assert await read_answer(PeerPool(HOST, listener.socket.getsockname()[1])) == 2
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("flood", [Flood.REFUSAL, Flood.BODY_IN_TINY_CHUNKS])
    async def test_discarded_answer_without_end_closes_its_connection(self, flood: Flood) -> None:
        async with flooding_peer(flood) as (peer, pool):
            with trio.fail_after(8):
                exchange = await pool.send(GET)
                exchange.discard()
                await peer.ended.wait()
            assert peer.sent < MAX_BODY + SOCKET_BYTES

    @pytest.mark.parametrize("flood", [Flood.BODY_IN_TINY_CHUNKS, Flood.BODY_IN_CHUNKS])
    async def test_other_tasks_run_while_a_body_is_read(self, flood: Flood) -> None:
        """A body whose next part is always there must not keep the processor to itself."""
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                await trio.lowlevel.checkpoint()
                turns += 1

        async with (
            flooding_peer(flood, lane=None) as (_, pool),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(count_turns)
            exchange = await pool.send(GET)
            parts = 0
            async for _ in exchange.chunks():
                parts += 1
                if parts == 50:
                    break
            exchange.abandon()
            assert turns >= parts - 1
            nursery.cancel_scope.cancel()

    async def test_answer_that_was_given_up_meanwhile_ends(self) -> None:
        """Its connection must not be put back, although the rest of the body has arrived."""

        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            chunks = b"1\r\na\r\n" * 1_000 + b"0\r\n\r\n"
            await stream.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunks)
            await trio.sleep(5)

        listener = await listen(HOST, 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            pool = PeerPool(HOST, listener.socket.getsockname()[1])
            exchange = await pool.send(GET)
            with pytest.raises(ConnectionLost):
                async for _ in exchange.chunks():
                    exchange.abandon()
            assert len(pool.idle) == 0
            nursery.cancel_scope.cancel()


class TestIdleConnections:
    """Guards against bytes on idle connections that nobody reads, and connections left open."""

    async def test_peer_that_sends_on_an_idle_connection_is_disconnected(self) -> None:
        async with flooding_peer(Flood.AFTER_ANSWER, pause_s=0.001) as (peer, pool):
            with trio.fail_after(8):
                assert await read_answer(pool) == 2
                while not peer.ended.is_set():
                    close_stale([pool.idle])
                    await trio.sleep(0.01)
            assert len(pool.idle) == 0

    async def test_closed_and_expired_connections_are_dropped_and_others_kept(self) -> None:
        streams: list[trio.SocketStream] = []

        async def serve(stream: trio.SocketStream) -> None:
            streams.append(stream)
            await trio.sleep_forever()

        listener = await listen(HOST, 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            pool = PeerPool(HOST, listener.socket.getsockname()[1])
            for _ in range(3):
                await pool.connect()
            with trio.fail_after(8):
                while len(streams) < 3:
                    await trio.sleep(0.01)
                await streams[0].aclose()
                while len(pool.idle) == 3:
                    close_stale([pool.idle])
                    await trio.sleep(0.01)
            assert len(pool.idle) == 2
            expired = pool.idle.drop_expired()[0]
            expired.usable_until = trio.current_time()
            close_stale([pool.idle])
            assert len(pool.idle) == 1
            assert expired.stream.socket.fileno() < 0
            nursery.cancel_scope.cancel()

    async def test_no_connections_are_no_error(self) -> None:
        close_stale([])


class TestReadPace:
    """Guards against answers that take the processor from all others; on a virtual clock."""

    async def test_answer_within_its_allowance_never_waits(self, autojump_clock: MockClock) -> None:
        pace = ReadPace(ExcessLane())
        events_per_s = WORK_PER_S // CHUNK_WORK // 2
        for _ in range(events_per_s * 10):
            await trio.sleep(1 / events_per_s)
            began = trio.current_time()
            await pace.note(CHUNK_WORK)
            assert trio.current_time() == began

    async def test_burst_is_not_delayed(self, autojump_clock: MockClock) -> None:
        pace = ReadPace(ExcessLane())
        await pace.note(BURST_WORK)
        assert trio.current_time() == pytest.approx(0.0)

    @pytest.mark.parametrize("answers", [1, 5, 50])
    async def test_answers_without_pause_share_one_rate(
        self, autojump_clock: MockClock, answers: int
    ) -> None:
        lane = ExcessLane()
        work = [0] * answers

        async def read(number: int) -> None:
            pace = ReadPace(lane)
            while True:
                await pace.note(65_536)
                work[number] += 65_536

        with trio.move_on_after(10):
            async with trio.open_nursery() as nursery:
                for number in range(answers):
                    nursery.start_soon(read, number)
        allowed = answers * (BURST_WORK + 10 * WORK_PER_S) + 10 * LANE_WORK_PER_S
        assert sum(work) <= allowed
        assert max(work) <= 2 * min(work)
