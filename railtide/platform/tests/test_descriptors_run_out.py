"""Whole routers for which no further socket can be opened for a while."""

import errno

import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.router_fleet import open_router_fleet, wait_until

WITHOUT_S = 1.5


class TestNoSocketCanBeOpened:
    @pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS])
    async def test_router_ends_or_cuts_requests_of_kept_connections(
        self, number: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with open_router_fleet(2, 2) as fleet:
            pools = [PeerPool(HOST, port) for port in fleet.ports]
            statuses: list[int] = []

            async def ask(pool: PeerPool) -> None:
                try:
                    exchange = await pool.send(fleet.request("/safe/x"))
                    async for _ in exchange.chunks():
                        pass
                    statuses.append(exchange.status)
                except HttpError:
                    statuses.append(0)

            for pool in pools:
                await ask(pool)

            def fail(*arguments: object) -> None:
                raise OSError(number, "none left")

            with monkeypatch.context() as patch:
                patch.setattr(trio.socket, "socket", fail)
                for links in fleet.links:
                    links.forget(fleet.upstreams(0)["e0"].instance)
                ends_at = trio.current_time() + WITHOUT_S
                while trio.current_time() < ends_at:
                    for pool in pools:
                        await ask(pool)
                    await trio.sleep(0.02)
            assert set(statuses) <= {200, 503}
            await wait_until(lambda: all(node.ready for node in fleet.nodes))
            assert [await fleet.send(number) for number in range(2)] == [200, 200]
