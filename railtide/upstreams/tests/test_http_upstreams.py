"""Tests of railtide.upstreams.http_upstreams."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial

import pytest
import trio

from railtide.http.sockets import listen
from railtide.membership.instances import Instance
from railtide.standins.endless_answers import Flood, send_flood
from railtide.upstreams.client import RunState, UpstreamCall
from railtide.upstreams.errors import (
    AnswerMismatch,
    RefusalUnproven,
    UpstreamAnswerTooLong,
    UpstreamLost,
    UpstreamRefused,
)
from railtide.upstreams.http_upstreams import HttpUpstreams

CALL = UpstreamCall("r1", "GET", "/x", "text/plain", b"", 5.0)


class TestFraming:
    @pytest.mark.parametrize(
        ("framing", "framed"),
        [
            (b"content-length: 2\r\n\r\nok", True),
            (b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", True),
            (b"connection: close\r\n\r\nok", False),
        ],
    )
    async def test_answer_with_a_length_or_chunks_is_framed(
        self, framing: bytes, framed: bool
    ) -> None:
        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + framing)

        listener = await listen("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, answer, [listener])
            answer_of = await HttpUpstreams().open(
                Instance("e", "1", address, "z", "upstream"), CALL
            )
            assert answer_of.framed is framed
            assert b"".join([data async for data in answer_of.chunks()]) == b"ok"
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def upstream(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[Instance]:
    """Run a server that handles each connection with a function; yield it as an upstream."""
    listener = await listen("127.0.0.1", 0)
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield Instance("e", "1", address, "z", "upstream")
        nursery.cancel_scope.cancel()


def answer(status: int, body: bytes, *headers: bytes) -> bytes:
    lines = (b"HTTP/1.1 %d -" % status, *headers, b"content-length: %d" % len(body))
    return b"\r\n".join((*lines, b"", body))


class TestForeignAnswers:
    """Guards against the late copy of an answer that is taken for the answer to another request."""

    NOT_RUN = b"x-run: not-run"

    async def test_refusal_of_another_request_is_not_taken_for_a_refusal(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(answer(503, b"full", self.NOT_RUN, b"x-request-id: r0"))
            assert await stream.receive_some() == b""

        async with upstream(serve) as instance:
            with pytest.raises(AnswerMismatch):
                await HttpUpstreams().open(instance, CALL)

    async def test_refusal_without_an_id_is_not_taken_for_a_refusal(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(answer(503, b"full", self.NOT_RUN))
            assert await stream.receive_some() == b""

        async with upstream(serve) as instance:
            with pytest.raises(RefusalUnproven):
                await HttpUpstreams().open(instance, CALL)

    async def test_connection_of_a_refusal_is_not_used_again(self) -> None:
        """A late copy of the refusal would be taken for the answer to the next offer."""
        connections = 0

        async def serve(stream: trio.SocketStream) -> None:
            nonlocal connections
            connections += 1
            while await stream.receive_some():
                await stream.send_all(answer(503, b"full", self.NOT_RUN, b"x-request-id: r1"))

        async with upstream(serve) as instance:
            client = HttpUpstreams()
            for _ in range(2):
                with pytest.raises(UpstreamRefused):
                    await client.open(instance, CALL)
            assert connections == 2

    async def test_report_of_another_run_is_not_taken_for_that_of_a_request(self) -> None:
        """A late copy of "unknown" would settle a request as not run."""

        async def serve(stream: trio.SocketStream) -> None:
            copy = b""
            while data := await stream.receive_some():
                state = b"unknown" if b"/r1 " in data else b"running"
                own = answer(200, b'{"state":"%s"}' % state)
                await stream.send_all(copy + own)
                copy = own

        async with upstream(serve) as instance:
            client = HttpUpstreams()
            assert (await client.run_report(instance, "r1")).state is RunState.UNKNOWN
            assert (await client.run_report(instance, "r2")).state is RunState.RUNNING
            assert (await client.cancel(instance, "r3")).state is RunState.RUNNING

    async def test_answer_to_another_request_is_no_report(self) -> None:
        async def serve(stream: trio.SocketStream) -> None:
            await stream.receive_some()
            await stream.send_all(answer(200, b'{"id":"r0","object":"chat.completion"}'))

        async with upstream(serve) as instance:
            with pytest.raises(UpstreamLost):
                await HttpUpstreams().run_report(instance, "r1")


class TestBytesWithoutEnd:
    """Guards against reads of an upstream that never end, and memory without bound."""

    @staticmethod
    async def serve(stream: trio.SocketStream, flood: Flood, pause_s: float) -> None:
        await stream.receive_some()
        with suppress(trio.BrokenResourceError):
            await send_flood(stream, flood, b"r1", pause_s)

    @pytest.mark.parametrize("pause_s", [0.0, 0.001])
    @pytest.mark.parametrize("flood", [Flood.INFORMATIONAL, Flood.BODY_WITH_LENGTH])
    async def test_queries_end(
        self, flood: Flood, pause_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("railtide.upstreams.http_upstreams.ASK_S", 0.3)
        async with upstream(partial(self.serve, flood=flood, pause_s=pause_s)) as instance:
            client = HttpUpstreams()
            with trio.fail_after(8):
                for query in (client.run_report, client.cancel):
                    with pytest.raises(UpstreamLost):
                        await query(instance, "r1")
                with pytest.raises(UpstreamLost):
                    await client.load(instance)

    async def test_report_and_body_without_end_are_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("railtide.upstreams.http_upstreams.ASK_S", 30.0)
        monkeypatch.setattr("railtide.upstreams.http_upstreams.MAX_REPORT_BYTES", 1_000_000)
        monkeypatch.setattr("railtide.upstreams.http_upstreams.MAX_BODY_BYTES", 1_000_000)
        serve = partial(self.serve, flood=Flood.BODY_WITH_LENGTH, pause_s=0.0)
        async with upstream(serve) as instance:
            with trio.fail_after(8):
                with pytest.raises(UpstreamAnswerTooLong):
                    await HttpUpstreams().run_report(instance, "r1")
                answer_of = await HttpUpstreams().open(instance, CALL)
                with pytest.raises(UpstreamAnswerTooLong):
                    async for _ in answer_of.chunks():
                        pass
                await answer_of.aclose()
