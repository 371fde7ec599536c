"""Several routers over one store, before engines that answer by scripts."""

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
from railtide.platform.tests.test_whole_path import desired_state, listen_for, serve
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine, StoreServer, engine_entry
from railtide.telemetry.counters import Counters

__all__ = ["RouterFleet", "most_within", "open_router_fleet", "until"]

ENOUGH = 10_000_000


@dataclass
class RouterFleet:
    """Routers, engines and the store between them.

    Attributes
    ----------
    statuses : Counter
        Of all answers to callers; 0 for one that broke off.
    """

    store: MemoryStore
    nursery: trio.Nursery
    store_port: int = 0
    nodes: list[EdgeNode] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    engine_by_name: dict[str, PlatformEngine] = field(default_factory=dict)
    statuses: Counter = field(default_factory=Counter)
    ids: int = 0

    async def add_engine(self, name: str, **script: object) -> PlatformEngine:
        """Start an engine and list it."""
        engine = PlatformEngine(name, EngineScript(**script))
        server = HttpServer(engine.handle, ConnectionLimits())
        port = await listen_for(self.nursery, server)
        entry = engine_entry(f"{HOST}:{port}")
        self.store.put("keyed.servers", name, msgspec.json.encode(entry))
        self.engine_by_name[name] = engine
        return engine

    async def add_router(self) -> None:
        """Start a router and wait until it serves all engines."""
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
        await until(lambda: node.ready and len(self.upstreams(number)) == len(self.engine_by_name))

    def upstreams(self, router: int) -> dict[str, object]:
        """Return what a router knows of its upstreams."""
        scheduler = self.nodes[router].schedulers_by_pool.get("s")
        return scheduler.by_name if scheduler else {}

    async def ask(self, router: int, path: str = "/safe/x") -> int:
        """Send a request and read its answer; return its status, 0 if it broke off."""
        self.ids += 1
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", b"r%d" % self.ids),
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

    async def play(
        self, per_s: float, for_s: float, routers: int = 0, path: str = "/safe/x"
    ) -> None:
        """Send requests to the first routers in turn, to all unless a number is given."""
        ends_at = trio.current_time() + for_s
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                nursery.start_soon(self.ask, number % (routers or len(self.nodes)), path)
                number += 1
                await trio.sleep(1 / per_s)


@asynccontextmanager
async def open_router_fleet(routers: int, engines: int, **script: object) -> AsyncIterator:
    """Yield a fleet whose routers serve and know one another."""
    store = MemoryStore()
    store.put("keyed.op", "config", desired_state(prepaid=ENOUGH))
    async with trio.open_nursery() as nursery:
        fleet = RouterFleet(store, nursery)
        fleet.store_port = await serve(nursery, StoreServer(store).handle)
        for number in range(engines):
            await fleet.add_engine(f"e{number}", **script)
        for _ in range(routers):
            await fleet.add_router()
        await until(lambda: all(len(node.roster.live()) == routers for node in fleet.nodes))
        yield fleet
        nursery.cancel_scope.cancel()


async def until(condition: Callable[[], bool], within_s: float = 8.0) -> None:
    """Wait until something holds."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.01)


def most_within(times: list[float], window_s: float) -> int:
    """Return the most moments that lie within a window of this length."""
    return max((sum(at <= t < at + window_s for t in times) for at in times), default=0)
