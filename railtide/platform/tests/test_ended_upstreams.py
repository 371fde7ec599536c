"""Answers that only the close of their connection ends, of upstreams whose processes end."""

from dataclasses import dataclass
from functools import partial

import msgspec
import pytest
import trio

from railtide.http.client import Exchange
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.platform.tests.test_answer_endings import EVENTS, events, read
from railtide.platform.tests.test_end_to_end import HOST, RouterEnvironment, router_environment
from railtide.standins.answers import Framing, RawAnswer
from railtide.standins.platform import engine_entry

NAME = "ending"
ID = b"x-attempt-id"
SENT = 8
"""Requests, of which the upstream that ends gets one at least."""


@dataclass
class EndingEngine:
    """Sends parts of an answer without framing, and then ends as a killed process does, or not."""

    listener: trio.SocketListener
    parts: list[bytes]
    ends: bool
    notices: Headers = ()
    runs: int = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.runs += 1
        request_id = first_header(request.headers, ID) or b""
        answer = RawAnswer(responder.hijack(), Framing.CLOSE, 0)
        await answer.start(200, ((ID, request_id), (b"x-response-seal", b"s"), *self.notices))
        for part in self.parts:
            await answer.write(part)
        if self.ends:
            self.listener.socket.close()


async def add_ending_engine(
    env: RouterEnvironment, parts: list[bytes], ends: bool = True, notices: Headers = ()
) -> EndingEngine:
    listener = await listen(HOST, 0)
    address = f"{HOST}:{listener.socket.getsockname()[1]}"
    engine = EndingEngine(listener, parts, ends, notices)
    server = HttpServer(engine.handle, ConnectionLimits())
    env.nursery.start_soon(partial(_serve_until_closed, server, listener))
    env.store.put("keyed.servers", NAME, msgspec.json.encode(engine_entry(address)))
    await env.wait_until_listed(NAME)
    return engine


async def _serve_until_closed(server: HttpServer, listener: trio.SocketListener) -> None:
    try:
        await server.serve(listener)
    except* (trio.ClosedResourceError, OSError):
        pass  # the process ended


async def outcome(exchange: Exchange) -> tuple[int, bytes, bool]:
    return exchange.status, *await read(exchange)


class TestStreamOfEndedUpstream:
    @pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
    async def test_end_of_the_process_is_taken_for_the_end_of_the_stream(self, path: str) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [events(2)])
            assert await outcome(await env.send(path)) == (200, events(2), False)

    async def test_resumable_stream_does_not_continue_at_another_upstream(self) -> None:
        async with router_environment() as env:
            engine = await add_ending_engine(env, [events(2)])
            await env.add_engine("e", events=EVENTS)
            for _ in range(SENT):
                assert await outcome(await env.send("/resume/x")) == (200, events(EVENTS), True)
            assert engine.runs == 1

    async def test_stream_of_a_live_upstream_is_broken_off(self) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [events(EVENTS)], ends=False)
            assert await outcome(await env.send("/stream/x")) == (200, events(EVENTS), True)

    async def test_last_stream_of_a_leaving_upstream_is_broken_off(self) -> None:
        leaving = ((b"server-leaving", b"1"),)
        async with router_environment() as env:
            await add_ending_engine(env, [events(EVENTS)], notices=leaving)
            assert await outcome(await env.send("/stream/x")) == (200, events(EVENTS), True)


class TestPlainAnswerOfEndedUpstream:
    async def test_part_of_a_body_is_passed_on_as_the_whole(self) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [b"par"])
            assert (await env.send("/once/x", body=b"b")).status == 502

    async def test_repeatable_request_is_not_sent_to_another_upstream(self) -> None:
        async with router_environment() as env:
            engine = await add_ending_engine(env, [b"par"])
            await env.add_engine("e", body=b"whole")
            for _ in range(SENT):
                assert await outcome(await env.send("/safe/x")) == (200, b"whole", True)
            assert engine.runs == 1

    async def test_answer_of_a_live_upstream_is_rejected(self) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [b"whole"], ends=False)
            assert await outcome(await env.send("/once/x", body=b"b")) == (200, b"whole", True)
