"""Answers that only the close of their connection ends, of upstreams whose processes end."""

from dataclasses import dataclass, field

import msgspec
import pytest
import trio

from railtide.containment.crash_detection import ProbeResult
from railtide.forwarding.transport import ForwardingTransport
from railtide.http.client import Exchange, PeerPool
from railtide.http.messages import Headers, HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.membership.instances import Instance
from railtide.platform.tests.router_fleet import open_router_fleet, wait_until
from railtide.platform.tests.test_answer_endings import EVENTS, events, read
from railtide.platform.tests.test_end_to_end import HOST, RouterEnvironment, router_environment
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.answers import Framing, RawAnswer
from railtide.standins.platform import engine_entry

NAME = "ending"
ID = b"x-attempt-id"
HEAD_TO_BODY_S = 0.05
SENT = 8
"""Requests, of which the upstream that ends gets one at least."""


@dataclass
class EndingEngine:
    """Sends parts of an answer without framing; then its process ends, or not.

    Attributes
    ----------
    restarts : bool
        Whether another process has its address at once.
    """

    parts: list[bytes]
    ends: bool
    restarts: bool
    notices: Headers = ()
    status: int = 200
    runs: int = 0
    process: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def serve(self, listener: trio.SocketListener) -> None:
        port = listener.socket.getsockname()[1]
        with self.process:
            await HttpServer(self.handle, ConnectionLimits()).serve(listener)
        listener.socket.close()
        if self.restarts:
            successor = HttpServer(self.misdirect, ConnectionLimits())
            await successor.serve(await listen(HOST, port))

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.runs += 1
        request_id = first_header(request.headers, ID) or b""
        answer = RawAnswer(responder.hijack(), Framing.CLOSE, 0)
        headers = ((ID, request_id), (b"x-response-seal", b"s"), *self.notices)
        await answer.start(self.status, headers)
        await trio.sleep(HEAD_TO_BODY_S)
        for part in self.parts:
            await answer.write(part)
        if self.ends:
            self.process.cancel()
            await trio.sleep_forever()

    async def misdirect(self, request: HttpRequest, responder: Responder) -> None:
        await responder.answer(421, ((ID, first_header(request.headers, ID) or b""),))


async def add_ending_engine(
    env: RouterEnvironment,
    parts: list[bytes],
    ends: bool = True,
    restarts: bool = False,
    notices: Headers = (),
    status: int = 200,
) -> EndingEngine:
    listener = await listen(HOST, 0)
    address = f"{HOST}:{listener.socket.getsockname()[1]}"
    engine = EndingEngine(parts, ends, restarts, notices, status)
    env.nursery.start_soon(engine.serve, listener)
    env.store.put("keyed.servers", NAME, msgspec.json.encode(engine_entry(address)))
    await env.wait_until_listed(NAME)
    return engine


async def outcome(exchange: Exchange) -> tuple[int, bytes, bool]:
    return exchange.status, *await read(exchange)


class TestStreamOfEndedUpstream:
    @pytest.mark.parametrize("restarts", [False, True])
    @pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
    async def test_end_of_the_process_is_taken_for_the_end_of_the_stream(
        self, path: str, restarts: bool
    ) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [events(2)], restarts=restarts)
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

    async def test_slow_connection_of_the_witness_delays_events(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def keep_witness(upstreams: PlatformUpstreams, upstream: Instance) -> None:
            await trio.sleep_forever()

        monkeypatch.setattr(PlatformUpstreams, "keep_witness", keep_witness)
        async with router_environment() as env:
            await add_ending_engine(env, [events(EVENTS)], ends=False)
            with trio.fail_after(5):
                assert await outcome(await env.send("/stream/x")) == (200, events(EVENTS), True)

    async def test_lines_do_not_tell_where_a_stream_went_on_and_how_it_ended(
        self, lines: list[dict[str, object]]
    ) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [events(EVENTS)], ends=False)
            exchange = await env.send("/resume/x", (b"last-event-id", b"3"), (b"resumes", b"r0"))
            assert await outcome(exchange) == (200, events(EVENTS).removeprefix(events(3)), True)
        told = {line["event"]: line for line in lines}
        assert told["request-sent"]["after"] == "3"
        assert told["answer-unframed"]["last_event"] == str(EVENTS)

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

    async def test_part_of_a_failure_is_passed_on_as_the_whole(self) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [b"par"], status=500)
            assert (await env.send("/once/x", body=b"b")).status == 502

    async def test_failure_of_a_live_upstream_is_rejected(self) -> None:
        async with router_environment() as env:
            await add_ending_engine(env, [b"whole"], ends=False, status=500)
            assert await outcome(await env.send("/once/x", body=b"b")) == (500, b"whole", True)

    async def test_deadline_during_the_check_says_that_nothing_ran(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def observe(
            upstreams: PlatformUpstreams, upstream: Instance, since: float
        ) -> ProbeResult:
            return await trio.sleep_forever()

        monkeypatch.setattr(PlatformUpstreams, "observe", observe)
        async with router_environment() as env:
            await add_ending_engine(env, [b"whole"], ends=False)
            answer = await env.send("/once/x", body=b"b")
            assert answer.status == 504


class TestForwardedAnswerOfEndedUpstream:
    @pytest.mark.parametrize("ends", [True, False])
    async def test_end_of_the_process_is_taken_for_the_end_of_the_stream(
        self, ends: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The successor listens by the time at which the router with the request asks."""

        async def probe(transport: ForwardingTransport, upstream: Instance) -> ProbeResult:
            return ProbeResult.CONNECTED

        monkeypatch.setattr(ForwardingTransport, "probe", probe)
        async with open_router_fleet(routers=2, engines=0) as fleet:
            listener = await listen(HOST, 0)
            address = f"{HOST}:{listener.socket.getsockname()[1]}"
            engine = EndingEngine([events(2)], ends, restarts=ends)
            fleet.nursery.start_soon(engine.serve, listener)
            fleet.links[0].cut, fleet.links[0].refuses = {NAME}, True
            fleet.store.put("keyed.servers", NAME, msgspec.json.encode(engine_entry(address)))
            await wait_until(lambda: all(NAME in fleet.upstreams(router) for router in (0, 1)))
            exchange = await PeerPool(HOST, fleet.ports[0]).send(fleet.request("/stream/x"))
            assert await outcome(exchange) == (200, events(2), not ends)
            assert engine.runs == 1
