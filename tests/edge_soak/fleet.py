"""The processes under soak, the platform's stand-ins before them, and the links between."""

import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL

import msgspec
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine, StoreServer
from tests.edge_soak.proxy import Link, open_link
from tests.test_edge_process import HOST, free_ports, serve

__all__ = ["EVENTS", "GOOD_ENGINE", "Fleet", "Router", "open_fleet", "prepaid_of", "state"]

ROUTERS = 3
ENGINES = 2
EVENTS = 6
"""Events of each answer."""
GOOD_ENGINE = EngineScript(events=EVENTS, gap_s=0.03)
PREPAID = 8_000
TOP_UP = 500
ROUTE = {"host": "h.example", "timeout_ms": 4000, "goal_ms": 500, "service": "s"}
ROUTES = [
    ROUTE | {"name": "safe", "path_prefix": "/safe/", "kind": "safe", "max_attempts": 2},
    ROUTE | {"name": "once", "path_prefix": "/once/", "kind": "unsafe"},
    ROUTE | {"name": "stream", "path_prefix": "/stream/", "kind": "streaming"},
    ROUTE
    | {
        "name": "resume",
        "path_prefix": "/resume/",
        "kind": "streaming",
        "resumable": True,
        "max_attempts": 2,
    },
]


def prepaid_of(version: int) -> int:
    """Return the budget that a version of the desired state names."""
    return PREPAID + TOP_UP * version


def state(version: int) -> bytes:
    """Return a desired state: each version brings a key, and drops the last but one."""
    keys = [f"k{version}", f"k{version - 1}"]
    tenant = {"name": "t", "api_keys": keys, "prepaid": prepaid_of(version)}
    made = {"version": version, "routes": ROUTES, "services": [{"name": "s"}], "tenants": [tenant]}
    return msgspec.json.encode(made)


@dataclass
class Router:
    """One router: its process, which may be replaced, and the links that lead to and from it.

    Attributes
    ----------
    lifetime : int
        Counts its processes.
    graceful_ends : list of int
        Exit codes of processes that were sent SIGTERM and nothing else.
    changing : trio.Lock
        Held while the process is ended and started again.
    """

    name: str
    settings: Path
    ready_port: int
    lookup_port: int
    metrics_port: int
    address: str
    calls: Link
    store: Link
    process: trio.Process | None = None
    lifetime: int = 0
    graceful_ends: list[int] = field(default_factory=list)
    changing: trio.Lock = field(default_factory=trio.Lock)

    async def is_ready(self) -> bool:
        """Return whether the process says that it serves."""
        request = HttpRequest(b"GET", b"/ready", ((b"host", b"x"),))
        with trio.move_on_after(1):
            try:
                exchange = await PeerPool(HOST, self.ready_port).send(request)
            except HttpError:
                return False
            exchange.abandon()
            return exchange.status == 200
        return False

    async def start(self) -> None:
        """Start a process in place of the one before."""
        env = os.environ | {
            "RAILTIDE_BOOT": str(self.settings),
            "RAILTIDE_EDGE_METRICS_PORT": str(self.metrics_port),
            "RAILTIDE_EDGE_LOG_LEVEL": "INFO",
        }
        program = [sys.executable, "-m", "railtide.platform.program"]
        log = (self.settings.parent / f"{self.name}.log").open("ab")
        with log:
            self.process = await trio.lowlevel.open_process(
                program, env=env, stdout=log, stderr=DEVNULL
            )
        self.lifetime += 1

    async def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        await self.process.wait()

    async def pause(self, seconds: float) -> None:
        """Stop the process for a while."""
        process = self.process
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def leave(self) -> None:
        """Ask the process to end, and note how it did."""
        process = self.process
        process.send_signal(signal.SIGTERM)
        self.graceful_ends.append(await process.wait())


@dataclass
class Fleet:
    """All of one seed's world."""

    store: MemoryStore
    routers: list[Router]
    engines: list[PlatformEngine]
    engine_links: list[Link]
    version: int = 1

    def publish(self) -> None:
        """Write the next desired state, as the operator does."""
        self.version += 1
        self.store.put("keyed.op", "config", state(self.version))


async def _router(nursery: trio.Nursery, folder: Path, name: str, store_port: int) -> Router:
    calls, ready, lookup, metrics = free_ports(4)
    store = await open_link(nursery, ("127.0.0.1", store_port))
    settings = folder / f"{name}.yaml"
    settings.write_text(f"""
node_name: {name}
ip: {HOST}
zone: z{name}
listen: {{front: "{HOST}:{calls}", ready: "{HOST}:{ready}", directory: "{HOST}:{lookup}"}}
platform: {{address: "127.0.0.1:{store.port}", parts: 4}}
""")
    link = await open_link(nursery, (HOST, calls))
    address = f"{HOST}:{calls}"
    return Router(name, settings, ready, lookup, metrics, address, link, store)


@asynccontextmanager
async def open_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Yield a fleet whose processes run, and end those that it started."""
    store = MemoryStore()
    store.put("keyed.op", "config", state(1))
    async with trio.open_nursery() as nursery:
        store_port = await serve(nursery, StoreServer(store).handle)
        fleet = Fleet(store, [], [], [])
        for number in range(ENGINES):
            engine = PlatformEngine(f"e{number}", GOOD_ENGINE)
            port = await serve(nursery, engine.handle)
            link = await open_link(nursery, ("127.0.0.1", port))
            record = {"service": "s", "address": f"127.0.0.1:{link.port}", "slots": 8}
            store.put("keyed.servers", engine.name, msgspec.json.encode(record))
            fleet.engines.append(engine)
            fleet.engine_links.append(link)
        for number in range(ROUTERS):
            fleet.routers.append(await _router(nursery, folder, f"r{number}", store_port))
        try:
            for router in fleet.routers:
                await router.start()
            yield fleet
        finally:
            with trio.CancelScope(shield=True):
                for router in fleet.routers:
                    if router.process is not None and router.process.poll() is None:
                        await router.kill()
            nursery.cancel_scope.cancel()
