"""Tests of railtide.upstreams.transport."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.lowlevel
import trio.testing

from railtide.containment.crash_detection import ProbeResult
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen, reset_on_close
from railtide.membership.instances import Instance
from railtide.standins.answers import Framing, RawAnswer
from railtide.upstreams.transport import DirectTransport

HOST = "127.0.0.1"
PAUSE_S = 0.4


async def answer(request: HttpRequest, responder: Responder) -> None:
    await responder.answer(200, ())


async def reject(stream: trio.SocketStream) -> None:
    reset_on_close(stream.socket)
    stream.socket.close()


class Process:
    """A server that ends as a killed process does, and can be followed by another one."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self.port = 0

    async def start(self) -> None:
        listener = await listen(HOST, self.port)
        self.port = listener.socket.getsockname()[1]
        self._scope, self._ended = trio.CancelScope(), trio.Event()
        self._nursery.start_soon(self._serve, listener, self._scope, self._ended)

    async def end(self) -> None:
        self._scope.cancel()
        await self._ended.wait()

    @staticmethod
    async def _serve(
        listener: trio.SocketListener, scope: trio.CancelScope, ended: trio.Event
    ) -> None:
        with scope:
            await HttpServer(answer, ConnectionLimits()).serve(listener)
        listener.socket.close()
        ended.set()


@asynccontextmanager
async def running_process() -> AsyncIterator[tuple[Process, Instance]]:
    async with trio.open_nursery() as nursery:
        process = Process(nursery)
        await process.start()
        yield process, Instance("u", "u-1", f"{HOST}:{process.port}", "a", "upstream")
        nursery.cancel_scope.cancel()


async def close_idle(transport: DirectTransport, upstream: Instance, closed_by: str) -> None:
    """Have the ended connections closed, by the sweep or by a request that leaves a new one."""
    if closed_by == "sweep":
        transport.close_stale()
        return
    host = upstream.address.encode()
    request = HttpRequest(b"GET", b"/", ((b"host", host),), b"")
    exchange = await transport.send(upstream, request, 1.0)
    async for _ in exchange.chunks():
        pass


class TestObserve:
    @pytest.mark.parametrize("has_witness", [False, True])
    async def test_live_process_counts_as_ended(self, has_witness: bool) -> None:
        async with running_process() as (_, upstream):
            transport = DirectTransport()
            if has_witness:
                await transport.keep_witness(upstream)
            assert await transport.observe(upstream, trio.current_time()) is ProbeResult.CONNECTED

    @pytest.mark.parametrize("has_witness", [False, True])
    async def test_ended_process_counts_as_alive(self, has_witness: bool) -> None:
        async with running_process() as (process, upstream):
            transport = DirectTransport()
            if has_witness:
                await transport.keep_witness(upstream)
            await process.end()
            assert await transport.observe(upstream, trio.current_time()) is ProbeResult.REFUSED

    async def test_process_that_replaced_it_is_taken_for_it(self) -> None:
        async with running_process() as (process, upstream):
            transport = DirectTransport()
            await transport.keep_witness(upstream)
            await process.end()
            await process.start()
            assert await transport.probe(upstream) is ProbeResult.CONNECTED
            assert await transport.observe(upstream, trio.current_time()) is ProbeResult.REFUSED

    @pytest.mark.parametrize("closed_by", ["sweep", "request"])
    async def test_end_of_the_process_is_forgotten_with_its_connection(
        self, closed_by: str
    ) -> None:
        async with running_process() as (process, upstream):
            transport = DirectTransport()
            since = trio.current_time()
            await transport.keep_witness(upstream)
            await process.end()
            await process.start()
            await close_idle(transport, upstream, closed_by)
            assert await transport.observe(upstream, since) is ProbeResult.REFUSED

    @pytest.mark.parametrize("closed_by", ["sweep", "request"])
    async def test_process_that_ended_before_the_request_is_taken_for_its_own(
        self, closed_by: str
    ) -> None:
        async with running_process() as (process, upstream):
            transport = DirectTransport()
            await transport.keep_witness(upstream)
            await process.end()
            await process.start()
            await close_idle(transport, upstream, closed_by)
            await trio.lowlevel.checkpoint()
            since = trio.current_time()
            await transport.keep_witness(upstream)
            assert await transport.observe(upstream, since) is ProbeResult.CONNECTED

    async def test_one_cut_connection_of_a_live_process_counts_as_its_end(self) -> None:
        async with running_process() as (_, upstream):
            transport = DirectTransport()
            await transport.connect(upstream)
            await transport.connect(upstream)
            since = trio.current_time()
            transport._pool(upstream).idle.cut_at = since
            assert await transport.observe(upstream, since) is ProbeResult.CONNECTED

    async def test_witness_that_this_side_has_closed_counts_as_an_end(self) -> None:
        async with running_process() as (_, upstream):
            transport = DirectTransport()
            await transport.keep_witness(upstream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._check_alive, transport, upstream)
                await trio.testing.wait_all_tasks_blocked()
                transport.forget(upstream)

    @staticmethod
    async def _check_alive(transport: DirectTransport, upstream: Instance) -> None:
        assert await transport.observe(upstream, trio.current_time()) is ProbeResult.CONNECTED

    async def test_rejected_witness_counts_as_an_end(self) -> None:
        """An upstream resets the connections beyond its limit."""
        async with trio.open_nursery() as nursery:
            listener = await listen(HOST, 0)
            nursery.start_soon(trio.serve_listeners, reject, [listener])
            port = listener.socket.getsockname()[1]
            upstream = Instance("u", "u-1", f"{HOST}:{port}", "a", "upstream")
            transport = DirectTransport()
            await transport.keep_witness(upstream)
            assert await transport.observe(upstream, trio.current_time()) is ProbeResult.CONNECTED
            nursery.cancel_scope.cancel()

    async def test_idle_timeout_of_the_upstream_counts_as_its_end(self) -> None:
        async with trio.open_nursery() as nursery:
            is_idle = trio.Event()

            async def close_when_idle(stream: trio.SocketStream) -> None:
                await is_idle.wait()

            listener = await listen(HOST, 0)
            nursery.start_soon(trio.serve_listeners, close_when_idle, [listener])
            port = listener.socket.getsockname()[1]
            upstream = Instance("u", "u-1", f"{HOST}:{port}", "a", "upstream")
            transport = DirectTransport()
            await transport.keep_witness(upstream)
            transport._pool(upstream).idle.all()[0].usable_until = trio.current_time()
            is_idle.set()
            assert await transport.observe(upstream, trio.current_time()) is ProbeResult.CONNECTED
            nursery.cancel_scope.cancel()

    async def test_each_of_many_answers_at_once_makes_a_connection(self) -> None:
        async with running_process() as (_, upstream):
            transport = DirectTransport()
            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(transport.keep_witness, upstream)
            assert transport._pool(upstream).opened == 1

    async def test_each_answer_makes_a_connection(self) -> None:
        async with running_process() as (_, upstream):
            transport = DirectTransport()
            for _ in range(5):
                await transport.keep_witness(upstream)
            assert len(transport._pool(upstream).idle) == 1


class TestObserveAfterPause:
    """Of this process, during which the other one may have ended and been replaced."""

    @pytest.mark.parametrize("has_later_witness", [False, True])
    async def test_process_that_replaced_it_is_taken_for_it(self, has_later_witness: bool) -> None:
        async with running_process() as (process, upstream), trio.open_nursery() as nursery:
            transport = DirectTransport()
            nursery.start_soon(transport.watch_pauses)
            await trio.testing.wait_all_tasks_blocked()
            since = trio.current_time()
            await process.end()
            await process.start()
            time.sleep(PAUSE_S)  # noqa: ASYNC251 - the pause
            await trio.lowlevel.checkpoint()
            if has_later_witness:
                await transport.keep_witness(upstream)
            assert await transport.observe(upstream, since) is ProbeResult.UNKNOWN
            nursery.cancel_scope.cancel()

    async def test_answer_that_ends_later_counts_as_cut(self) -> None:
        async with trio.open_nursery() as nursery:
            may_end = trio.Event()

            async def answer_late(request: HttpRequest, responder: Responder) -> None:
                await RawAnswer(responder.hijack(), Framing.CLOSE, 0).start(200, ())
                await may_end.wait()

            listener = await listen(HOST, 0)
            server = HttpServer(answer_late, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            port = listener.socket.getsockname()[1]
            upstream = Instance("u", "u-1", f"{HOST}:{port}", "a", "upstream")
            transport = DirectTransport()
            nursery.start_soon(transport.watch_pauses)
            request = HttpRequest(b"GET", b"/", ((b"host", b"h"),), b"")
            exchange = await transport.send(upstream, request, 1.0)
            time.sleep(PAUSE_S)  # noqa: ASYNC251 - the pause
            await trio.sleep(0.05)
            may_end.set()
            async for _ in exchange.chunks():
                pass
            assert await transport.observe(upstream, exchange.alive_at) is ProbeResult.CONNECTED
            nursery.cancel_scope.cancel()

    async def test_witness_from_before_it_proves_nothing(self) -> None:
        async with running_process() as (_, upstream), trio.open_nursery() as nursery:
            transport = DirectTransport()
            nursery.start_soon(transport.watch_pauses)
            await trio.testing.wait_all_tasks_blocked()
            since = trio.current_time()
            await transport.keep_witness(upstream)
            time.sleep(PAUSE_S)  # noqa: ASYNC251 - the pause
            await trio.lowlevel.checkpoint()
            assert await transport.observe(upstream, since) is ProbeResult.CONNECTED
            nursery.cancel_scope.cancel()
