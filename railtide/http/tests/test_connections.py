"""Tests of railtide.http: what client and server report for each way a connection can end."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import pytest
import trio

from railtide.http.client import UNRESPONSIVE_S, Exchange, PeerPool
from railtide.http.correlation import Correlation
from railtide.http.errors import ConnectFailed, ConnectionLost, ForeignAnswer
from railtide.http.idle_connections import MAX_SKIPPED, MIN_REMEMBERED_IDS
from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen

GET = HttpRequest(b"GET", b"/a", ((b"host", b"x"),))
HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"
CORRELATION = Correlation(b"x-id")

Script = Callable[[trio.SocketStream], Awaitable[None]]


@asynccontextmanager
async def peer(script: Script) -> AsyncIterator[PeerPool]:
    """Run a server that handles each connection with a script; yield a pool for it."""

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):  # the client closes connections it can't reuse
            await script(stream)

    listener = await listen("127.0.0.1", 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield PeerPool("127.0.0.1", listener.socket.getsockname()[1], correlation=CORRELATION)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def server(handler, limits: ConnectionLimits | None = None) -> AsyncIterator[HttpServer]:
    """Run an HTTP server with a handler; yield it with its `port` set."""
    http_server = HttpServer(handler, limits or ConnectionLimits())
    listener = await listen("127.0.0.1", 0)
    http_server.port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(http_server.serve, listener)
        yield http_server
        nursery.cancel_scope.cancel()


def answers(*parts: bytes) -> Script:
    """Return a script that answers each request with the next of `parts`, then closes."""

    async def script(stream: trio.SocketStream) -> None:
        for part in parts:
            if not await stream.receive_some():
                return
            await stream.send_all(part)

    return script


class StreamResetDuringSend:
    """A stream that reports a reset to the sender, then some bytes and a close to the reader."""

    def __init__(self, received: bytes) -> None:
        self.socket = trio.socket.socket()
        self.parts = [received, b""]
        self.reset_reported = trio.Event()

    async def send_all(self, data: bytes) -> None:
        self.reset_reported.set()
        raise trio.BrokenResourceError

    async def receive_some(self, max_bytes: int) -> bytes:
        await self.reset_reported.wait()
        return self.parts.pop(0)


async def body_of(exchange: Exchange) -> bytes:
    return b"".join([chunk async for chunk in exchange.chunks()])


class TestExchange:
    async def test_connection_is_reused(self) -> None:
        async with peer(answers(WHOLE, WHOLE)) as pool:
            assert await body_of(await pool.send(GET)) == b"ok"
            second = await pool.send(GET)
            assert await body_of(second) == b"ok"
            assert second.reused and pool.opened == 1

    async def test_connection_with_surplus_bytes_is_not_reused(self) -> None:
        async with peer(answers(WHOLE + WHOLE, WHOLE)) as pool:
            await body_of(await pool.send(GET))
            await body_of(await pool.send(GET))
            assert pool.opened == 2

    async def test_closed_pool_keeps_no_connection(self) -> None:
        ended = trio.Event()

        async def script(stream: trio.SocketStream) -> None:
            for _ in range(2):
                await stream.receive_some()
                await stream.send_all(WHOLE)
            assert await stream.receive_some() == b""
            ended.set()

        async with peer(script) as pool:
            first = await pool.send(GET)
            assert await body_of(first) == b"ok"
            in_flight = await pool.send(GET)
            pool.close()
            assert await body_of(in_flight) == b"ok"
            with trio.fail_after(5):
                await ended.wait()

    async def test_unresponsive_idle_connections_fail_only_one_request(self) -> None:
        """Four idle connections become unresponsive for good; new connections work."""
        opened = 0

        async def script(stream: trio.SocketStream) -> None:
            nonlocal opened
            opened += 1
            becomes_unresponsive = opened <= 4
            while await stream.receive_some():
                await stream.send_all(WHOLE)
                if becomes_unresponsive:
                    await trio.sleep_forever()

        async with peer(script) as pool:
            exchanges = [await pool.send(GET) for _ in range(4)]
            for exchange in exchanges:
                await body_of(exchange)
            unanswered = 0
            for _ in range(5):
                with trio.move_on_after(2 * UNRESPONSIVE_S) as scope:
                    assert await body_of(await pool.send(GET)) == b"ok"
                unanswered += scope.cancelled_caught
            assert unanswered == 1

    async def test_idle_connection_with_unsolicited_bytes_is_not_reused(self) -> None:
        async def late(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(WHOLE)
            await trio.sleep(0.05)
            await stream.send_all(WHOLE)
            await stream.receive_some()

        async with peer(late) as pool:
            await body_of(await pool.send(GET))
            await trio.sleep(0.15)
            await body_of(await pool.send(GET))
            assert pool.opened == 2

    async def test_connection_close_header_is_respected(self) -> None:
        closing = HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
        async with peer(answers(closing)) as pool:
            await body_of(await pool.send(GET))
            await body_of(await pool.send(GET))
            assert pool.opened == 2

    async def test_truncated_body_is_a_lost_connection(self) -> None:
        async with peer(answers(HEAD + b"Content-Length: 9\r\n\r\nok")) as pool:
            exchange = await pool.send(GET)
            with pytest.raises(ConnectionLost):
                await body_of(exchange)

    async def test_chunked_body_without_last_chunk_is_a_lost_connection(self) -> None:
        part = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        async with peer(answers(part)) as pool:
            exchange = await pool.send(GET)
            with pytest.raises(ConnectionLost):
                await body_of(exchange)

    async def test_body_that_ends_with_the_close_is_complete(self) -> None:
        async with peer(answers(HEAD + b"\r\nok")) as pool:
            assert await body_of(await pool.send(GET)) == b"ok"

    async def test_body_that_ends_with_a_reset_is_a_lost_connection(self) -> None:
        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(HEAD + b"\r\nok")
            await trio.sleep(0.05)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            stream.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
            stream.socket.close()

        async with peer(script) as pool:
            exchange = await pool.send(GET)
            with pytest.raises(ConnectionLost):
                await body_of(exchange)

    async def test_reset_reported_to_the_sender_does_not_complete_the_body(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The kernel reports a reset only once. If it reports it to the sender of a long body, the
        reader receives the earlier bytes and then what looks like an orderly close.
        """

        async def connect(host: str, port: int, timeout_s: float) -> StreamResetDuringSend:
            return StreamResetDuringSend(HEAD + b"\r\nok")

        monkeypatch.setattr("railtide.http.client.connect_tcp_stream", connect)
        exchange = await PeerPool("127.0.0.1", 1).send(GET)
        with pytest.raises(ConnectionLost):
            await body_of(exchange)

    async def test_invalid_answer_is_a_lost_connection(self) -> None:
        async with peer(answers(b"\x00\x01garbage\r\n\r\n")) as pool:
            with pytest.raises(ConnectionLost):
                await pool.send(GET)

    async def test_close_without_an_answer_is_a_lost_connection(self) -> None:
        async with peer(answers()) as pool:
            with pytest.raises(ConnectionLost):
                await pool.send(GET)

    async def test_refused_connection_is_reported_as_not_sent(self) -> None:
        listener = await listen("127.0.0.1", 0)
        port = listener.socket.getsockname()[1]
        await listener.aclose()
        with pytest.raises(ConnectFailed):
            await PeerPool("127.0.0.1", port).send(GET)

    async def test_early_answer_stops_the_sending_of_a_long_body(self) -> None:
        async def early(stream: trio.SocketStream) -> None:
            await stream.receive_some(10)
            await stream.send_all(WHOLE)
            await trio.sleep_forever()

        long = HttpRequest(b"POST", b"/a", ((b"host", b"x"),), b"x" * 30_000_000)
        async with peer(early) as pool:
            exchange = await pool.send(long)
            assert await body_of(exchange) == b"ok"
            await body_of(await pool.send(GET))
            assert pool.opened == 2


class TestCorrelation:
    """Guards against answers that are taken for those to other requests."""

    REQUEST = HttpRequest(b"GET", b"/a", ((b"host", b"x"), (b"x-id", b"1")))

    @classmethod
    async def repeat_ids(cls, stream: trio.SocketStream) -> None:
        while data := await stream.receive_some():
            await stream.send_all(cls.with_id(data.split(b"x-id: ")[1].split(b"\r\n")[0]))

    @staticmethod
    def request(request_id: bytes) -> HttpRequest:
        return HttpRequest(b"GET", b"/a", ((b"host", b"x"), (b"x-id", request_id)))

    @staticmethod
    def with_id(request_id: bytes) -> bytes:
        return HEAD + b"X-Id: " + request_id + b"\r\nContent-Length: 2\r\n\r\nok"

    async def test_answer_without_an_id_is_taken_only_on_a_new_connection(self) -> None:
        async with peer(answers(self.with_id(b"1"), WHOLE)) as pool:
            await body_of(await pool.send(self.REQUEST))
            with pytest.raises(ForeignAnswer):
                await pool.send(self.request(b"2"))
        async with peer(answers(WHOLE, WHOLE)) as pool:
            for request_id in (b"1", b"2"):
                assert await body_of(await pool.send(self.request(request_id))) == b"ok"
            assert pool.opened == 2

    async def test_connection_with_a_foreign_answer_is_closed_at_once(self) -> None:
        closed = trio.Event()

        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(self.with_id(b"0"))
            assert await stream.receive_some() == b""
            closed.set()

        async with peer(script) as pool:
            with pytest.raises(ForeignAnswer):
                await pool.send(self.REQUEST)
            with trio.fail_after(1):
                await closed.wait()
            assert pool.open_exchanges == 0

    async def test_peer_has_stopped_before_the_request_can_go_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("railtide.http.exchange.HANG_UP_S", 5.0)
        stopped = False

        async def script(stream: trio.SocketStream) -> None:
            nonlocal stopped
            await stream.receive_some()
            await stream.send_all(self.with_id(b"0"))
            assert await stream.receive_some() == b""
            await trio.sleep(0.05)
            stopped = True

        async with peer(script) as pool:
            with pytest.raises(ForeignAnswer):
                await pool.send(self.REQUEST)
            assert stopped

    @pytest.mark.parametrize("parts", [1, 1000])
    async def test_peer_that_does_not_end_a_connection_is_not_waited_for(self, parts: int) -> None:
        async def script(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(self.with_id(b"0"))
            for _ in range(parts):
                await stream.send_all(bytes(65_536))
            await trio.sleep(5)

        async with peer(script) as pool:
            with pytest.raises(ForeignAnswer), trio.fail_after(2):
                await pool.send(self.REQUEST)

    async def test_answer_with_the_id_keeps_its_connection(self) -> None:
        async with peer(answers(self.with_id(b"1"), self.with_id(b"2"))) as pool:
            assert await body_of(await pool.send(self.REQUEST)) == b"ok"
            assert await body_of(await pool.send(self.request(b"2"))) == b"ok"
            assert pool.opened == 1

    async def test_copy_of_the_first_answer_is_not_taken_for_that_of_the_second_try(self) -> None:

        async def script(stream: trio.SocketStream) -> None:
            copy = b""
            while await stream.receive_some():
                await stream.send_all(copy + self.with_id(b"1"))
                copy = self.with_id(b"1")

        async with peer(script) as pool:
            for _ in range(3):
                exchange = await pool.send(self.REQUEST)
                assert await body_of(exchange) == b"ok" and not exchange.reused
            assert pool.opened == 3

    async def test_connections_that_carried_an_id_are_used_by_other_requests(self) -> None:
        async with peer(self.repeat_ids) as pool:
            for request_id in (b"1", b"1", b"2", b"3", b"2", b"4"):
                await body_of(await pool.send(self.request(request_id)))
            assert pool.opened == 2

    async def test_many_requests_with_one_id_leave_few_idle_connections(self) -> None:
        async with peer(self.repeat_ids) as pool:
            for _ in range(3 * MAX_SKIPPED):
                await body_of(await pool.send(self.REQUEST))
            assert len(pool.idle) <= MAX_SKIPPED + 1

    async def test_id_that_may_come_again_is_remembered_among_many_others(self) -> None:
        async with peer(self.repeat_ids) as pool:
            await body_of(await pool.send(self.request(b"a"), timeout_s=60.0))
            for number in range(2 * MIN_REMEMBERED_IDS):
                await body_of(await pool.send(self.request(b"%d" % number), timeout_s=0.0))
            assert pool.opened == 1
            await body_of(await pool.send(self.request(b"a"), timeout_s=60.0))
            assert pool.opened == 2

    async def test_ids_that_can_not_come_again_are_forgotten(self) -> None:
        count = 10 * MIN_REMEMBERED_IDS
        ids = [b"%d" % number for number in range(count)]
        async with peer(answers(*map(self.with_id, ids))) as pool:
            for request_id in ids:
                await body_of(await pool.send(self.request(request_id), timeout_s=0.0))
            (connection,) = pool.idle.drop_expired()
            assert connection.exchanges == count
            assert len(connection.repeated_until_by_id) <= MIN_REMEMBERED_IDS

    async def test_request_without_an_id_gets_no_answer_with_one(self) -> None:
        async with peer(answers(self.with_id(b"1"))) as pool:
            with pytest.raises(ForeignAnswer):
                await pool.send(GET)


class TestDiscard:
    """Guards against connections that are kept although part of an answer is still to come."""

    async def discard_one_of(self, *parts: bytes) -> tuple[int, bytes]:
        """Discard an answer whose later parts are late; return connections used, and the next."""

        async def script(stream: trio.SocketStream) -> None:
            while await stream.receive_some():
                for part in parts:
                    await stream.send_all(part)
                    await trio.sleep(0.1)

        async with peer(script) as pool:
            exchange = await pool.send(GET)
            exchange.discard()
            second = await pool.send(GET)
            return pool.opened, await body_of(second)

    async def test_whole_answer_keeps_its_connection(self) -> None:
        assert await self.discard_one_of(WHOLE) == (1, b"ok")

    @pytest.mark.parametrize(
        "parts",
        [
            (HEAD + b"Content-Length: 2\r\n\r\n", b"ok"),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", b"0\r\n\r\n"),
            (WHOLE + b"H",),
        ],
    )
    async def test_answer_that_goes_on_closes_its_connection(self, parts: tuple[bytes]) -> None:
        assert await self.discard_one_of(*parts) == (2, b"ok")


class TestServer:
    async def test_answers_with_length_and_in_chunks(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            if request.target == b"/s":
                await responder.start(200, (), None)
                await responder.write(b"a")
                await responder.write(b"b")
                await responder.finish()
            else:
                await responder.answer(200, (), request.body)

        async with server(handler) as http_server:
            pool = PeerPool("127.0.0.1", http_server.port)
            post = HttpRequest(b"POST", b"/e", ((b"host", b"x"),), b"body")
            assert await body_of(await pool.send(post)) == b"body"
            stream = HttpRequest(b"GET", b"/s", ((b"host", b"x"),))
            assert await body_of(await pool.send(stream)) == b"ab"
            assert pool.opened == 1

    async def test_unfinished_answer_is_cut_off(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.start(200, (), None)
            await responder.write(b"a")

        async with server(handler) as http_server:
            exchange = await PeerPool("127.0.0.1", http_server.port).send(GET)
            with pytest.raises(ConnectionLost):
                await body_of(exchange)

    async def test_connection_is_closed_if_the_end_of_an_answer_was_not_sent(self) -> None:
        """A deadline that expires at the end of an answer cancels the write of its last chunk. h11
        is DONE once the bytes are encoded, so the connection stayed open, the caller waited for the
        end, and it would have read the next answer as part of this one.
        """

        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.start(200, (), None)
            await responder.write(b"a")
            with trio.CancelScope() as passed:
                passed.cancel()
                await responder.finish()

        async with server(handler) as http_server:
            exchange = await PeerPool("127.0.0.1", http_server.port).send(GET)
            with trio.fail_after(5), pytest.raises(ConnectionLost):
                await body_of(exchange)

    @pytest.mark.parametrize("half", [True, False])
    async def test_disconnect_of_the_caller_cancels_its_handler(self, half: bool) -> None:
        cancelled = trio.Event()

        async def handler(request: HttpRequest, responder: Responder) -> None:
            try:
                await trio.sleep_forever()
            finally:
                cancelled.set()

        async with server(handler) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await trio.sleep(0.05)
            await (stream.send_eof() if half else stream.aclose())
            with trio.fail_after(5):
                await cancelled.wait()

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await trio.sleep(0.02)
            await responder.answer(200, (), request.target)

        async with server(handler) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(
                b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            seen = b""
            with trio.fail_after(5):
                while b"/2" not in seen:
                    seen += await stream.receive_some()
            assert seen.index(b"/1") < seen.index(b"/2")

    async def test_head_and_body_above_the_limits_are_refused(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        limits = ConnectionLimits(head_bytes=500, body_bytes=10)
        async with server(handler, limits) as http_server:
            big = HttpRequest(b"POST", b"/", ((b"host", b"x"),), b"x" * 11)
            assert (await PeerPool("127.0.0.1", http_server.port).send(big)).status == 413
            long = HttpRequest(b"GET", b"/" + b"x" * 900, ((b"host", b"x"),))
            assert (await PeerPool("127.0.0.1", http_server.port).send(long)).status == 431

    async def test_head_limit_of_a_new_configuration_holds_on_kept_connections(self) -> None:
        """A raised limit applied to new connections only: a head that arrived in two parts was
        refused by the limit in force when its connection was made."""

        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        limits = ConnectionLimits(head_bytes=500)
        long_head = b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"x" * 900
        async with server(handler, limits) as http_server:
            for max_head_bytes, status in ((2_000, b" 200 "), (500, b" 431 ")):
                stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
                limits.head_bytes = 500
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                assert b" 200 " in await stream.receive_some()
                limits.head_bytes = max_head_bytes
                await stream.send_all(long_head)
                await trio.sleep(0.05)
                if max_head_bytes > len(long_head):
                    await stream.send_all(b"\r\n\r\n")
                with trio.fail_after(5):
                    assert status in await stream.receive_some()

    async def test_possibly_outdated_limits_refuse_with_a_retry_interval(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        retry_intervals: list[float | None] = [0.25, 0.25, None, None]
        limits = ConnectionLimits(500, 10, retry_after_s=lambda: retry_intervals.pop(0))
        big = HttpRequest(b"POST", b"/", ((b"host", b"x"),), b"x" * 11)
        long = HttpRequest(b"GET", b"/" + b"x" * 900, ((b"host", b"x"),))
        async with server(handler, limits) as http_server:
            for status in (503, 413):
                for request in (big, long):
                    answer = await PeerPool("127.0.0.1", http_server.port).send(request)
                    assert answer.status == (431 if status == 413 and request is long else status)
                    retry_after = first_header(answer.headers, b"retry-after")
                    assert retry_after == (b"0.25" if status == 503 else None)
                    assert first_header(answer.headers, b"connection") == b"close"
            assert (await PeerPool("127.0.0.1", http_server.port).send(GET)).status == 200

    async def test_invalid_request_is_refused_without_a_retry_interval(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        async with server(handler, ConnectionLimits(retry_after_s=lambda: 0.25)) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(b"no request\r\n\r\n")
            with trio.fail_after(5):
                assert b" 400 " in await stream.receive_some()

    async def test_slow_head_times_out(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        async with server(handler, ConnectionLimits(head_timeout_s=0.1)) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(b"GET / HTTP/1.1\r\nHo")
            with trio.fail_after(5):
                assert b" 408 " in await stream.receive_some()

    async def test_closing_server_closes_connections_after_an_answer(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        async with server(handler) as http_server:
            http_server.closing = True
            pool = PeerPool("127.0.0.1", http_server.port)
            await body_of(await pool.send(GET))
            await body_of(await pool.send(GET))
            assert pool.opened == 2


class TestSlowBodies:
    """The time for a body grows with the bytes received; a body that stalls times out."""

    @staticmethod
    async def status_of(body_bytes: int, part_bytes: int, pause_s: float, limits) -> bytes:
        """Return the first line of the answer to a body sent in parts of `part_bytes`."""

        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, ())

        async with server(handler, limits) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % body_bytes
            )
            with suppress(trio.BrokenResourceError):
                for _ in range(body_bytes // part_bytes):
                    await stream.send_all(bytes(part_bytes))
                    await trio.sleep(pause_s)
            with trio.fail_after(5):
                return (await stream.receive_some()).partition(b"\r\n")[0]

    async def test_large_body_on_a_slow_link_is_read_completely(self) -> None:
        """With a fixed limit on the whole request it was answered with 408 on every retry."""
        limits = ConnectionLimits(head_timeout_s=0.2)
        status = await self.status_of(1_000_000, 50_000, 0.02, limits)
        assert status == b"HTTP/1.1 200 "

    async def test_stalled_body_times_out(self) -> None:
        limits = ConnectionLimits(head_timeout_s=0.1)
        async with server(None, limits) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab")
            with trio.fail_after(5):
                assert b" 408 " in await stream.receive_some()

    async def test_body_sent_byte_by_byte_times_out(self) -> None:
        limits = ConnectionLimits(head_timeout_s=0.1)
        assert b" 408 " in await self.status_of(60, 1, 0.02, limits)


class TestOldProtocol:
    """In HTTP/1.0 the close of the connection ends a body without a length."""

    async def test_answer_that_breaks_off_looks_complete(self) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            await responder.start(200, (), None)
            await responder.write(b"part")

        async with server(handler) as http_server:
            stream = await trio.open_tcp_stream("127.0.0.1", http_server.port)
            await stream.send_all(b"GET /a HTTP/1.0\r\n\r\n")
            with trio.fail_after(5), pytest.raises(trio.BrokenResourceError):
                while await stream.receive_some():
                    pass


class TestAnswersWithoutBody:
    @pytest.mark.parametrize(("method", "status"), [(b"GET", 204), (b"GET", 304), (b"HEAD", 200)])
    async def test_end_of_the_head_is_no_end_of_the_answer(
        self, method: bytes, status: int
    ) -> None:
        async def handler(request: HttpRequest, responder: Responder) -> None:
            stream = responder.hijack()
            await stream.send_all(f"HTTP/1.1 {status} x\r\n\r\n".encode())
            await trio.sleep_forever()

        async with server(handler) as http_server:
            pool = PeerPool("127.0.0.1", http_server.port)
            exchange = await pool.send(HttpRequest(method, b"/a", ((b"host", b"h"),)))
            with trio.fail_after(5):
                assert [part async for part in exchange.chunks()] == []
            assert exchange.framed
