"""Sockets that can't be opened, and connections beyond a share of the descriptors."""

import errno
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.connect import connect_tcp_stream
from railtide.http.descriptors import DescriptorShare
from railtide.http.errors import ConnectionLost, NoDescriptor
from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen

HOST = "127.0.0.1"
REQUEST = HttpRequest(b"GET", b"/x", ((b"host", b"x"),))


class Served:
    """A server whose requests wait until they are released."""

    def __init__(self, limit: float) -> None:
        self.released = trio.Event()
        self.server = HttpServer(self.handle, ConnectionLimits(), share=DescriptorShare(limit))
        self.port = 0
        self.in_progress = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.in_progress += 1
        await self.released.wait()
        await responder.answer(200, ())


@asynccontextmanager
async def served(limit: float) -> AsyncIterator[Served]:
    one = Served(limit)
    listener = await listen(HOST, 0)
    one.port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.server.serve, listener)
        yield one
        nursery.cancel_scope.cancel()


async def ask(pool: PeerPool) -> int:
    exchange = await pool.send(REQUEST)
    async for _ in exchange.chunks():
        pass
    return exchange.status


class TestConnect:
    @pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
    async def test_socket_that_cannot_be_opened_is_no_failure_of_the_connection(
        self, number: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(*arguments: object) -> None:
            raise OSError(number, "none left")

        monkeypatch.setattr(trio.socket, "socket", fail)
        with pytest.raises(NoDescriptor):
            await connect_tcp_stream(HOST, 1)


class TestServer:
    async def test_request_in_progress_is_cut_or_a_new_connection_waits(
        self, lines: list[dict]
    ) -> None:
        async with served(2) as one, trio.open_nursery() as nursery:
            statuses: list[int] = []

            async def ask_and_note() -> None:
                statuses.append(await ask(PeerPool(HOST, one.port)))

            for _ in range(2):
                nursery.start_soon(ask_and_note)
            with trio.fail_after(2):
                while one.in_progress < 2:
                    await trio.sleep(0.01)
                for _ in range(3):
                    with pytest.raises(ConnectionLost):
                        await ask(PeerPool(HOST, one.port))
            one.released.set()
            with trio.fail_after(2):
                while len(statuses) < 2 or one.server.share.held:
                    await trio.sleep(0.01)
            assert statuses == [200, 200] and one.server.share.refused == 3
            assert await ask(PeerPool(HOST, one.port)) == 200
            await trio.sleep(2.2)
        told = [(line["event"], line.get("refused")) for line in lines]
        assert told == [("connections-refused", None), ("connections-accepted", 3)]

    async def test_idle_connections_keep_new_ones_out(self) -> None:
        async with served(4) as one:
            one.released.set()
            streams = [await trio.open_tcp_stream(HOST, one.port) for _ in range(4)]
            await trio.sleep(0.05)
            assert [await ask(PeerPool(HOST, one.port)) for _ in range(6)] == [200] * 6
            assert await streams[0].receive_some() == b""
            assert not one.server.share.refused

    async def test_connections_are_kept_while_few_are_left(self) -> None:
        async with served(1) as one:
            one.released.set()
            exchange = await PeerPool(HOST, one.port).send(REQUEST)
            assert first_header(exchange.headers, b"connection") == b"close"


class TestClient:
    async def test_descriptor_is_not_given_back(self) -> None:
        async with served(8) as one:
            share = DescriptorShare(2)
            pool = PeerPool(HOST, one.port, share=share)
            with trio.move_on_after(0.1):
                await ask(pool)
            assert share.held == 0
            one.released.set()
            assert await ask(pool) == 200
            assert share.held == 1
            (await pool.send(REQUEST)).abandon()
            assert share.held == 0
            await pool.connect()
            pool.close()
            assert share.held == 0

    async def test_connection_beyond_the_share_is_made(self) -> None:
        async with served(8) as one:
            pool = PeerPool(HOST, one.port, share=DescriptorShare(0))
            with pytest.raises(NoDescriptor):
                await ask(pool)

    async def test_idle_connections_of_other_pools_keep_the_share_used_up(self) -> None:
        async with served(8) as one:
            one.released.set()
            share = DescriptorShare(1)
            first = PeerPool(HOST, one.port, share=share)
            share.reclaimers.append(first.drop_idle)
            assert await ask(first) == 200
            assert await ask(PeerPool(HOST, one.port, share=share)) == 200
