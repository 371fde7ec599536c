"""Tests of an edge router that sheds load, on loopback."""

from random import Random

import msgspec

from railtide.edge.link_load import Demand
from railtide.edge.load_shedding import LoadShedding, load_shedding_for
from railtide.http.client import PeerPool
from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer
from railtide.http.sockets import listen
from railtide.http.traffic import Traffic
from railtide.platform.ingress import Ingress
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.test_end_to_end import (
    KEY,
    RouterEnvironment,
    router_environment,
)
from railtide.telemetry.counters import Counters

DEMAND = Demand(received=10_000, sent=10_000)


class ShedRouter:
    """A second front of a router, with load shedding."""

    def __init__(self, setup: RouterEnvironment) -> None:
        self.node = setup.node
        self.traffic, self.counters = Traffic(), Counters()
        self.shedding: LoadShedding = load_shedding_for(
            5.0, 20.0, self.traffic, Traffic(whole=self.traffic), self.counters, Random(1)
        )
        self.node.shedding = self.shedding
        self.ingress = Ingress(self.node, Random(1))
        self.number = 0

    async def open(self, setup: RouterEnvironment) -> None:
        server = HttpServer(
            self.ingress.handle, ConnectionLimits(), self.traffic, self.ingress.check_head
        )
        listener = await listen(HOST, 0)
        setup.nursery.start_soon(server.serve, listener)
        self.pool = PeerPool(HOST, listener.socket.getsockname()[1])

    def fill(self) -> None:
        """Let the link look full."""
        self.traffic.received += 10_000_000
        for _ in range(200):
            self.shedding.link.note_demand(DEMAND)

    async def send(self, path: bytes = b"/safe/x", *headers: tuple[bytes, bytes]):
        self.number += 1
        base = ((b"host", b"h.example"), (b"x-attempt-id", b"s%d" % self.number), *KEY)
        exchange = await self.pool.send(HttpRequest(b"POST", path, (*base, *headers), b"body"))
        body = b"".join([chunk async for chunk in exchange.chunks()])
        return exchange, body


class TestFullLink:
    async def test_request_is_rejected_before_it_does_anything(self) -> None:
        async with router_environment() as setup:
            engine = await setup.add_engine("e1")
            router = ShedRouter(setup)
            await router.open(setup)
            assert (await router.send())[0].status == 200
            router.fill()
            reached = len(engine.seen)
            exchange, body = await router.send()
            assert exchange.status == 503
            assert float(first_header(exchange.headers, b"retry-after")) > 0.2
            assert first_header(exchange.headers, b"x-attempt-id") == b"s2"
            problem = msgspec.json.decode(body)
            assert (problem["code"], problem["run"]) == ("link-full", "not-run")
            assert len(engine.seen) == reached
            assert setup.node.counters.value("answers_link_full") == 1

    async def test_invalid_requests_are_refused_as_before(self) -> None:
        async with router_environment() as setup:
            router = ShedRouter(setup)
            await router.open(setup)
            router.fill()
            assert (await router.send(b"/unknown"))[0].status == 404

    async def test_link_counts_in_the_load_that_other_routers_see(self) -> None:
        async with router_environment() as setup:
            router = ShedRouter(setup)
            assert setup.node._load_per_s() == 0.0
            router.traffic.sent += 312_500
            assert setup.node._load_per_s() >= 0.9 * setup.node.options.capacity

    async def test_router_without_shedding_admits_everything(self) -> None:
        async with router_environment() as setup:
            ingress = Ingress(setup.node, Random(1))
            assert ingress.check_head(HttpRequest(b"POST", b"/safe/x", ()), 4) is None
            assert setup.node._load_per_s() == 0.0
