"""Test environment of several routers with one store and scripted engines."""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio

from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer
from railtide.membership.identity import Identity
from railtide.platform.desired_state import PlatformSources
from railtide.platform.ingress import Ingress
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.test_end_to_end import desired_state, serve, start_server
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine, StoreServer, engine_entry
from railtide.telemetry.counters import Counters

__all__ = ["RouterFleet", "max_within", "open_router_fleet", "wait_until"]

PREPAID_TOKENS = 10_000_000


@dataclass
class RouterFleet:
    """Routers, engines and the store that they share.

    Attributes
    ----------
    statuses : Counter
        Statuses of all answers to callers; 0 for a request without a complete answer.
    """

    store: MemoryStore
    nursery: trio.Nursery
    store_port: int = 0
    nodes: list[EdgeNode] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    engine_by_name: dict[str, PlatformEngine] = field(default_factory=dict)
    statuses: Counter = field(default_factory=Counter)
    sent_count: int = 0

    async def add_engine(self, name: str, **script: object) -> PlatformEngine:
        """Start an engine and write its entry to the store."""
        engine = PlatformEngine(name, EngineScript(**script))
        server = HttpServer(engine.handle, ConnectionLimits())
        port = await start_server(self.nursery, server)
        entry = engine_entry(f"{HOST}:{port}")
        self.store.put("keyed.servers", name, msgspec.json.encode(entry))
        self.engine_by_name[name] = engine
        return engine

    async def add_router(self) -> None:
        """Start a router and wait until it is ready and knows all engines."""
        number = len(self.nodes)
        upstreams = PlatformUpstreams()
        node = EdgeNode(
            Identity(f"i{number}", f"z{number % 3}", f"{HOST}:{number + 1}", f"life{number}"),
            PlatformStore(f"{HOST}:{self.store_port}", Counters()),
            PlatformSources(),
            upstreams,
            EdgeOptions(),
            Random(number),
        )
        upstreams.on_notice = node.apply_notice
        self.nodes.append(node)
        self.nursery.start_soon(node.run)
        self.ports.append(await serve(self.nursery, Ingress(node, Random(number)).handle))
        await wait_until(
            lambda: node.ready and len(self.upstreams(number)) == len(self.engine_by_name)
        )

    def upstreams(self, router: int) -> dict[str, object]:
        """Return the upstreams that a router knows, by name."""
        scheduler = self.nodes[router].schedulers_by_pool.get("s")
        return scheduler.by_name if scheduler else {}

    async def send(self, router: int, path: str = "/safe/x") -> int:
        """Send a request and read its answer; return the status, 0 without a complete answer."""
        self.sent_count += 1
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", b"r%d" % self.sent_count),
            (b"x-deadline-ms", b"2500"),
            (b"x-credential", b"k"),
        )
        status = 0
        pool = PeerPool(HOST, self.ports[router])
        with trio.move_on_after(4):
            try:
                exchange = await pool.send(HttpRequest(b"GET", path.encode(), headers))
                async for _ in exchange.chunks():
                    pass
                status = exchange.status
            except HttpError:
                status = 0
        pool.close()
        self.statuses[status] += 1
        return status

    async def send_load(
        self, per_s: float, for_s: float, routers: int = 0, path: str = "/safe/x"
    ) -> None:
        """Send requests to the first `routers` routers in turn; 0 stands for all of them."""
        ends_at = trio.current_time() + for_s
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                nursery.start_soon(self.send, number % (routers or len(self.nodes)), path)
                number += 1
                await trio.sleep(1 / per_s)


@asynccontextmanager
async def open_router_fleet(routers: int, engines: int, **script: object) -> AsyncIterator:
    """Yield a fleet whose routers are ready and know one another."""
    store = MemoryStore()
    store.put("keyed.op", "config", desired_state(prepaid=PREPAID_TOKENS))
    async with trio.open_nursery() as nursery:
        fleet = RouterFleet(store, nursery)
        fleet.store_port = await serve(nursery, StoreServer(store).handle)
        for number in range(engines):
            await fleet.add_engine(f"e{number}", **script)
        for _ in range(routers):
            await fleet.add_router()
        await wait_until(lambda: all(len(node.roster.live()) == routers for node in fleet.nodes))
        yield fleet
        nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool], within_s: float = 8.0) -> None:
    """Wait until a condition is true."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.01)


def max_within(times: list[float], window_s: float) -> int:
    """Return the largest number of times within any window of this length."""
    return max((sum(at <= t < at + window_s for t in times) for at in times), default=0)
