"""Graceful stops of a router, as its callers and its engines see them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import pytest
import trio

from railtide.edge.options import EdgeOptions
from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.platform.program import _shut_down
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.router_fleet import wait_until
from railtide.platform.tests.test_end_to_end import (
    ROUTES,
    RouterEnvironment,
    desired_state,
    router_environment,
)
from railtide.standins.platform import EngineScript, PlatformEngine

OPTIONS = EdgeOptions(shutdown_accept_s=0.4, shutdown_timeout_s=1.6)
LONG_S = 30.0
"""Longer than any stop here lasts."""
HEAD = b"host: h.example\r\nx-credential: k\r\nx-deadline-ms: 20000\r\n"


def request_bytes(number: int, body: bytes = b"", length: int | None = None) -> bytes:
    """Return a call that may not be repeated, in whole or with a part of its body."""
    length = len(body) if length is None else length
    return b"POST /once/x HTTP/1.1\r\n%sx-attempt-id: raw%d\r\ncontent-length: %d\r\n\r\n%s" % (
        HEAD,
        number,
        length,
        body,
    )


@dataclass
class StoppingRouter:
    """A router that can be stopped, with one engine.

    Attributes
    ----------
    statuses : dict of str to int
        By path and number of the request; 0 for a request without a complete answer.
    """

    env: RouterEnvironment
    engine: PlatformEngine
    statuses: dict[str, int] = field(default_factory=dict)

    async def send(self, name: str, path: str = "/once/x") -> None:
        """Send a request on a new connection, and record the status of a complete answer."""
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", name.encode()),
            (b"x-deadline-ms", b"20000"),
            (b"x-credential", b"k"),
        )
        pool = PeerPool(HOST, self.env.port)
        self.statuses[name] = -1
        try:
            exchange = await pool.send(HttpRequest(b"GET", path.encode(), headers, b""))
            async for _ in exchange.chunks():
                pass
            self.statuses[name] = exchange.status
        except HttpError:
            self.statuses[name] = 0
        finally:
            pool.close()

    def begin(self, name: str, path: str = "/once/x") -> None:
        """Send a request in the background."""
        self.env.nursery.start_soon(self.send, name, path)

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream(HOST, self.env.port)

    async def stop(self) -> None:
        """Stop the router as the program does, up to the end of its process."""
        await _shut_down(self.env.node, self.env.ingress, self.env.server)
        self.env.server_scope.cancel()
        await wait_until(lambda: -1 not in self.statuses.values())

    async def at_refusal(self) -> None:
        """Return once the router accepts no more requests."""
        await wait_until(lambda: self.env.ingress.refusing)

    @property
    def ran(self) -> int:
        return len(self.engine.ran)


@asynccontextmanager
async def stopping_router(
    slots: int = 8, options: EdgeOptions = OPTIONS, **script: object
) -> AsyncIterator[StoppingRouter]:
    routes = [route | {"timeout_ms": 20_000, "goal_ms": 15_000} for route in ROUTES]
    state = msgspec.json.decode(desired_state()) | {"routes": routes}
    async with router_environment(msgspec.json.encode(state), options=options) as env:
        engine = await env.add_engine("e1", **script)
        env.put_engine("e1", slots=slots)
        scheduler = env.node.schedulers_by_pool["s"]
        await wait_until(lambda: scheduler.by_name["e1"].instance.slots == slots)
        yield StoppingRouter(env, engine)


async def read_all(stream: trio.SocketStream) -> bytes:
    """Return what a connection brings up to its end, or up to its reset."""
    received = b""
    with trio.move_on_after(8):
        try:
            while data := await stream.receive_some(65_536):
                received += data
        except trio.BrokenResourceError:
            received += b"<reset>"
    return received


class TestRequestsThatWait:
    """Guards against connections that end without an answer for requests that no engine got."""

    async def test_request_without_a_slot_is_refused_before_the_end(self) -> None:
        async with stopping_router(slots=1, gap_s=LONG_S) as router:
            router.begin("first")
            await wait_until(lambda: router.ran == 1)
            router.begin("waits")
            await wait_until(lambda: router.env.node.open_calls == 2)
            await router.stop()
            assert router.statuses["waits"] == 503
            assert router.ran == 1

    async def test_request_that_waits_for_units_is_refused_before_the_end(self) -> None:
        async with stopping_router() as router:
            router.env.node.budgets.reserve = _wait_forever
            router.begin("waits")
            await wait_until(lambda: router.env.node.open_calls == 1)
            await router.stop()
            assert router.statuses == {"waits": 503}
            assert not router.engine.seen

    async def test_retry_without_a_slot_is_refused_before_the_end(self) -> None:
        async with stopping_router(not_run=True) as router:
            scheduler = router.env.node.schedulers_by_pool["s"]
            scheduler.reacquire = _wait_forever
            router.begin("waits")
            await wait_until(lambda: len(router.engine.seen) == 1)
            await router.stop()
            assert router.statuses == {"waits": 503}
            assert router.ran == 0

    async def test_request_that_waits_is_served_if_a_slot_becomes_free(self) -> None:
        async with stopping_router(slots=1, gap_s=0.3) as router:
            router.begin("first")
            await wait_until(lambda: router.ran == 1)
            router.begin("waits")
            await wait_until(lambda: router.env.node.open_calls == 2)
            await router.stop()
            assert router.statuses == {"first": 200, "waits": 200}

    async def test_engine_gets_nothing_that_usually_lasts_beyond_the_end(self) -> None:
        """Guards against a call that runs and is cut, though its caller could go elsewhere."""
        async with stopping_router(gap_s=3.0) as router:
            _set_usual_time(router, 3.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                await wait_until(lambda: router.env.node.leaving)
                await router.send("late")
                assert not router.env.ingress.refusing
            assert router.statuses == {"late": 503}
            assert not router.engine.seen

    async def test_requests_that_last_less_are_taken_until_the_acceptance_ends(self) -> None:
        async with stopping_router(gap_s=0.3) as router:
            _set_usual_time(router, 0.3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                await wait_until(lambda: router.env.node.leaving)
                await router.send("early")
            assert router.statuses == {"early": 200}

    async def test_lane_refuses_at_once_what_it_can_not_serve_before_the_end(self) -> None:
        async with stopping_router(slots=1, gap_s=LONG_S) as router:
            router.begin("first")
            await wait_until(lambda: router.ran == 1)
            _set_usual_time(router, 1.0)
            for number in range(4):
                router.begin(f"waits{number}")
            await wait_until(lambda: router.env.node.open_calls == 5)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                await wait_until(lambda: list(router.statuses.values()).count(503) >= 3)
                assert not router.env.ingress.refusing


class TestRequestsAtAnEngine:
    async def test_call_without_an_answer_is_reported_as_unknown(self) -> None:
        """Guards against a cut connection, from which a caller learns nothing."""
        async with stopping_router(gap_s=LONG_S) as router:
            router.begin("once")
            router.begin("safe", "/safe/x")
            await wait_until(lambda: router.ran == 2)
            await router.stop()
            assert router.statuses == {"once": 502, "safe": 502}
            assert router.ran == 2

    async def test_answer_before_the_end_is_complete(self) -> None:
        async with stopping_router(gap_s=1.0) as router:
            router.begin("early")
            await wait_until(lambda: router.ran == 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                await wait_until(lambda: router.env.node.leaving)
                router.begin("late")
            assert router.statuses == {"early": 200, "late": 200}

    async def test_stream_that_is_cut_does_not_look_complete(self) -> None:
        async with stopping_router(events=1000, gap_s=0.05) as router:
            router.begin("stream", "/stream/x")
            await wait_until(lambda: router.ran == 1)
            await router.stop()
            assert router.statuses == {"stream": 0}

    async def test_caller_that_stalls_within_its_answer_delays_nothing_further(self) -> None:
        async with stopping_router(body=b"x" * 12_000_000) as router:
            stream = await router.connect()
            await stream.send_all(request_bytes(1))
            assert await stream.receive_some(100)
            router.engine.script = EngineScript(gap_s=1.0)
            router.begin("other")
            await wait_until(lambda: router.ran == 2)
            with trio.fail_after(6):
                await router.stop()
            assert router.statuses == {"other": 200}
            assert not (await read_all(stream)).endswith(b"x" * 12_000_000)


class TestRequestsThatArrive:
    """Guards against connections that are closed while the router reads a request from them."""

    @pytest.mark.parametrize("length", [1_000, 200_000])
    async def test_request_whose_body_is_incomplete_is_refused_at_once(self, length: int) -> None:
        async with stopping_router() as router:
            stream = await router.connect()
            await stream.send_all(request_bytes(1, b"x" * 10, length))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                answer = await read_all(stream)
            assert answer.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0" in answer.lower()
            assert not answer.endswith(b"<reset>")

    async def test_rest_of_a_refused_body_does_not_cost_its_caller_the_answer(self) -> None:
        """Unread bytes would reset the connection, and with it what the caller has not read."""
        async with stopping_router() as router:
            stream = await router.connect()
            await stream.send_all(request_bytes(1, b"x" * 10, 50_000))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                await router.at_refusal()
                await trio.sleep(0.3)
                await stream.send_all(b"x" * 49_990)
                answer = await read_all(stream)
            assert answer.startswith(b"HTTP/1.1 503 ")

    async def test_request_whose_head_is_incomplete_is_refused(self) -> None:
        async with stopping_router() as router:
            stream = await router.connect()
            await stream.send_all(request_bytes(1)[:60])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                answer = await read_all(stream)
            assert answer.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0" in answer.lower()

    async def test_body_that_begins_after_the_acceptance_is_refused_at_once(self) -> None:
        async with stopping_router(gap_s=1.0) as router:
            router.begin("keeps the router running")
            stream = await router.connect()
            await wait_until(lambda: router.ran == 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                await router.at_refusal()
                await stream.send_all(request_bytes(1, b"x" * 10, 1_000))
                answer = await read_all(stream)
                assert router.env.node.open_calls == 1
            assert answer.startswith(b"HTTP/1.1 503 ")

    async def test_request_on_a_kept_connection_is_answered_in_its_last_moment(self) -> None:
        """The request has arrived, but the router decides to close before it reads."""
        async with stopping_router() as router:
            stream = await router.connect()
            await stream.send_all(request_bytes(1))
            assert (await stream.receive_some(65_536)).startswith(b"HTTP/1.1 200 ")
            await wait_until(lambda: bool(router.env.server.idle_scopes))
            router.env.ingress.refusing = router.env.server.closing = True
            stream.socket._sock.send(request_bytes(2))
            router.env.server.close_idle()
            assert (await read_all(stream)).startswith(b"HTTP/1.1 503 ")

    async def test_pipelined_requests_are_answered(self) -> None:
        async with stopping_router(gap_s=0.2) as router:
            stream = await router.connect()
            await stream.send_all(b"".join(request_bytes(number) for number in range(3)))
            await wait_until(lambda: router.ran == 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.stop)
                answers = await read_all(stream)
            assert answers.count(b"HTTP/1.1 ") == 3
            assert answers.lower().count(b"connection: close") == 1

    async def test_no_request_is_taken_once_the_last_one_has_ended(self) -> None:
        """Guards against a request taken between the end of the wait and the first refusal."""
        async with stopping_router(gap_s=LONG_S) as router:
            node, refusing = router.env.node, []
            node.lender.end_all = lambda: refusing.append(router.env.ingress.refusing)
            await router.stop()
            assert refusing == [True]


async def _wait_forever(*arguments: object) -> None:
    await trio.sleep_forever()


def _set_usual_time(router: StoppingRouter, seconds: float) -> None:
    """Let the scheduler have seen that requests usually last so long."""
    router.env.node.schedulers_by_pool["s"]._mean_service_s = seconds
