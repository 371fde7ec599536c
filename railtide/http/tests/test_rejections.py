"""Tests of requests that a server rejects by their head, and of counted bytes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from railtide.errors import RailtideError
from railtide.http.client import PeerPool
from railtide.http.messages import HttpRequest
from railtide.http.server import MAX_DISCARDED_BODY, ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.http.traffic import PACKET_BYTES, Traffic

HOST = "127.0.0.1"
HEADERS = ((b"host", b"x"),)
HEAD = b"POST /no HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n"


class Rejecting:
    """A server that rejects requests to `/no`, and keeps what its handler got."""

    def __init__(self) -> None:
        self.traffic = Traffic()
        self.handled: list[HttpRequest] = []
        self.lengths: list[int] = []
        self.server = HttpServer(self._handle, ConnectionLimits(), self.traffic, self._check)
        self.port = 0

    def _check(self, request: HttpRequest, length: int) -> RailtideError | None:
        self.lengths.append(length)
        return RailtideError("no") if request.target == b"/no" else None

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        self.handled.append(request)
        await responder.answer(503 if request.rejection else 200, (), b"x" * 3_000)


@asynccontextmanager
async def rejecting() -> AsyncIterator[Rejecting]:
    made = Rejecting()
    listener = await listen(HOST, 0)
    made.port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.server.serve, listener)
        yield made
        nursery.cancel_scope.cancel()


async def status_of(pool: PeerPool, target: bytes, body: bytes) -> int:
    with trio.fail_after(5):
        exchange = await pool.send(HttpRequest(b"POST", target, HEADERS, body))
        async for _ in exchange.chunks():
            pass
    return exchange.status


class TestHeadCheck:
    async def test_rejected_request_reaches_the_handler_without_its_body(self) -> None:
        async with rejecting() as made:
            assert await status_of(PeerPool(HOST, made.port), b"/no", b"b" * 9_200) == 503
            assert made.lengths == [9_200]
            assert made.handled[0].body == b""
            assert made.handled[0].rejection

    async def test_connection_stays_usable_after_a_short_body(self) -> None:
        """A new connection would cost the link more than the rest of the body."""
        async with rejecting() as made:
            pool = PeerPool(HOST, made.port)
            assert await status_of(pool, b"/no", b"b" * 9_200) == 503
            assert await status_of(pool, b"/yes", b"body") == 200
            assert made.handled[1].body == b"body"
            assert pool.opened == 1

    @pytest.mark.parametrize("expects", [b"", b"Expect: 100-continue\r\n"])
    async def test_answer_does_not_wait_for_a_body_that_was_not_sent(self, expects: bytes) -> None:
        length = 100 if expects else MAX_DISCARDED_BODY + 1
        async with rejecting() as made:
            stream = await trio.open_tcp_stream(HOST, made.port)
            await stream.send_all(HEAD % length + expects + b"\r\n")
            received = b""
            with trio.fail_after(2):
                while data := await stream.receive_some():
                    received += data
            assert received.startswith(b"HTTP/1.1 503")
            assert b"connection: close" in received.lower()

    async def test_all_requests_are_admitted_by_default(self) -> None:
        assert (
            HttpServer(Rejecting()._handle, ConnectionLimits()).check_head(
                HttpRequest(b"GET", b"/no", HEADERS), 0
            )
            is None
        )


class TestTraffic:
    async def test_both_ends_count_the_same_bytes(self) -> None:
        async with rejecting() as made:
            traffic = Traffic()
            await status_of(PeerPool(HOST, made.port, traffic), b"/yes", b"b" * 9_200)
            assert 9_200 < made.traffic.received < 10_500
            assert 3_000 < made.traffic.sent < 4_000
            assert traffic.sent == pytest.approx(made.traffic.received, abs=400)
            assert traffic.received == pytest.approx(made.traffic.sent, abs=400)

    def test_small_writes_cost_a_packet_and_an_acknowledgement_each(self) -> None:
        traffic = Traffic()
        for _ in range(15):
            traffic.note_sent(50)
        assert traffic.sent == 15 * (50 + PACKET_BYTES)
        assert traffic.received == 15 * PACKET_BYTES

    def test_part_is_counted_in_the_whole(self) -> None:
        whole = Traffic()
        part = Traffic(whole=whole)
        part.note_received(100)
        whole.note_received(100)
        assert (part.received, whole.received) == (140, 280)

    def test_end_of_a_connection_counts_nothing(self) -> None:
        traffic = Traffic()
        traffic.note_received(0)
        assert (traffic.received, traffic.sent) == (0, 0)
