"""The processes of a play: a store, engines, routers of any build, and callers."""

import os
import resource
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.journal.errors import LogUnavailable
from railtide.platform.store import PlatformStore
from railtide.telemetry.counters import Counters
from tests.deployment.callers import CallersPlan
from tests.deployment.engine import EnginePlan
from tests.deployment.shape import (
    DOMAINS,
    Disruption,
    EngineSpec,
    RouterClass,
    Shape,
    desired_state,
)

__all__ = ["Deployment", "EngineProcess", "RouterProcess", "open_deployment", "start_callers"]

ROOT = Path(__file__).parents[2]
FIRST_NETWORK = 64
NETWORKS_PER_PREFIX = 200
NETWORKS = 60 * NETWORKS_PER_PREFIX
"""Loopback networks among which plays choose, so that several can run at a time."""
STORE_PORT = 7000
ENGINE_PORT = 8003
FRONT_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT, PEER_PORT = 8227, 8220, 8224, 9464, 7340
FIRST_ENGINE, FIRST_ROUTER = 100, 3
START_S = 90.0
POLL_S = 0.2
CALLER_NETWORK = 250
BOUNDS = {"retry_ratio": 0.2, "retry_slack": 202, "grace_s": 8, "ttl_max_s": 5}


def _network() -> str:
    """Return the first three parts of the addresses of this process's plays."""
    chosen = os.getpid() % NETWORKS
    return f"127.{FIRST_NETWORK + chosen // NETWORKS_PER_PREFIX}.{chosen % NETWORKS_PER_PREFIX}"


async def _open(arguments: list[str], log: Path, cwd: Path = ROOT, **env: str) -> trio.Process:
    """Start a process; a cancellation waits, so that the end of the play finds and kills it."""
    with log.open("ab") as file, trio.CancelScope(shield=True):
        return await trio.lowlevel.open_process(
            [sys.executable, "-m", *arguments],
            cwd=cwd,
            env=os.environ | env,
            stdout=file,
            stderr=file,
        )


@dataclass
class RouterProcess:
    """A router's process, which may be started again."""

    name: str
    host: str
    folder: Path
    build: Path
    max_fds: int
    process: trio.Process | None = None
    starting: trio.Lock = field(default_factory=trio.Lock)

    async def start(self) -> None:
        """Start a process, unless another disruption has started one already."""
        async with self.starting:
            if self.process is None or self.process.poll() is not None:
                await self._start()

    async def _start(self) -> None:
        self.process = await _open(
            [_program_of(self.build)],
            self.folder / f"{self.name}.log",
            self.build,
            RAILTIDE_BOOT=str(self.folder / f"{self.name}.yaml"),
            RAILTIDE_EDGE_METRICS_PORT=str(METRICS_PORT),
            RAILTIDE_EDGE_LOG_LEVEL="INFO",
            PYTHONPATH=str(self.build),
        )
        limit = (self.max_fds, self.max_fds)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        with trio.move_on_after(1):
            try:
                request = HttpRequest(b"GET", b"/ready", ((b"host", b"x"),))
                exchange = await PeerPool(self.host, READY_PORT).send(request)
                exchange.abandon()
                return exchange.status == 200
            except HttpError:
                return False
        return False


def _program_of(build: Path) -> str:
    """Return the module that runs a router; builds before 3 December have only the second one."""
    has_start = (build / "railtide" / "platform" / "start.py").exists()
    return "railtide.platform.start" if has_start else "railtide.platform.program"


@dataclass
class EngineProcess:
    """An engine's process; each life has a name of its own at the same address."""

    plan: EnginePlan
    store: str
    folder: Path
    life: int = 0
    process: trio.Process | None = None
    restarting: trio.Lock = field(default_factory=trio.Lock)

    @property
    def name(self) -> str:
        """Name of the present life."""
        return f"{self.plan.spec.name}-{self.life}"

    async def start(self) -> None:
        """Start the next life."""
        self.life += 1
        name = self.plan.spec.name
        self.process = await _open(
            [
                "tests.deployment.engine",
                msgspec.json.encode(self.plan).decode(),
                self.store,
                str(self.folder / f"{name}.jsonl"),
                str(self.life),
            ],
            self.folder / f"{name}.err",
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass
class Deployment:
    """The running processes."""

    folder: Path
    store: trio.Process
    store_address: str
    engines: list[EngineProcess] = field(default_factory=list)
    routers: list[RouterProcess] = field(default_factory=list)
    callers: list[trio.Process] = field(default_factory=list)

    def kill(self) -> None:
        """Kill all processes, also those that are stopped."""
        engines = [engine.process for engine in self.engines]
        routers = [router.process for router in self.routers]
        for process in [*self.callers, *routers, *engines, self.store]:
            if process and process.poll() is None:
                process.kill()

    async def until_ready(self) -> None:
        """Wait until all routers are ready."""
        with trio.fail_after(START_S):
            for router in self.routers:
                while not await router.is_ready():
                    await trio.sleep(POLL_S)


def _settings(name: str, host: str, domain: str, store: str, size: RouterClass) -> dict:
    listen = {"front": FRONT_PORT, "ready": READY_PORT, "directory": DIRECTORY_PORT}
    return {
        "node_name": name,
        "ip": host,
        "zone": domain,
        "listen": {key: f"{host}:{port}" for key, port in listen.items()},
        "platform": {"address": store, "parts": 24},
        "internal_ports": [PEER_PORT],
        "bounds": BOUNDS,
        "limits": {
            "cpu_share": size.cpu_share,
            "cores": size.cores,
            "memory_mb": size.memory_mb,
            "max_fds": size.max_fds,
            "link_mbps": size.link_mbps,
        },
    }


def _engine_specs(shape: Shape, network: str) -> list[EngineSpec]:
    desk = (shape.desk_slots, shape.desk_queue, shape.desk_work_s, 0, "v1")
    model = (shape.model_slots, shape.model_slots, shape.event_s, shape.events)
    services = [("desk", desk)] * shape.desks
    services += [
        ("model", (*model, shape.versions[number % len(shape.versions)]))
        for number in range(shape.models)
    ]
    return [
        EngineSpec(
            f"{service}{number}",
            service,
            DOMAINS[number % len(DOMAINS)],
            f"{network}.{FIRST_ENGINE + number}",
            ENGINE_PORT,
            *figures,
        )
        for number, (service, figures) in enumerate(services)
    ]


def _add_routers(deployment: Deployment, shape: Shape, network: str, build: Path) -> None:
    """Add the routers, those of the first class first, and write their settings."""
    sized = [
        (size, domain)
        for size in shape.routers
        for _ in range(size.per_domain)
        for domain in DOMAINS
    ]
    for number, (size, domain) in enumerate(sized):
        name, host = f"r{number}", f"{network}.{FIRST_ROUTER + number}"
        settings = _settings(name, host, domain, deployment.store_address, size)
        (deployment.folder / f"{name}.yaml").write_bytes(msgspec.json.encode(settings))
        router = RouterProcess(name, host, deployment.folder, build, size.max_fds)
        deployment.routers.append(router)


@asynccontextmanager
async def open_deployment(
    folder: Path,
    shape: Shape,
    build: Path,
    disruptions: tuple[Disruption, ...],
    seed: int,
) -> AsyncIterator[Deployment]:
    """Start the store, the engines and the routers; kill all processes at the end.

    Parameters
    ----------
    build : Path
        Checkout whose routers are started.
    """
    network = _network()
    store = await _open(
        ["tests.deployment.store", f"{network}.2", str(STORE_PORT)], folder / "store.err"
    )
    deployment = Deployment(folder, store, f"{network}.2:{STORE_PORT}")
    try:
        await _publish(deployment.store_address)
        for spec in _engine_specs(shape, network):
            plan = EnginePlan(spec, disruptions, seed)
            engine = EngineProcess(plan, deployment.store_address, folder)
            deployment.engines.append(engine)
            await engine.start()
        _add_routers(deployment, shape, network, build)
        for router in deployment.routers:
            await router.start()
        await deployment.until_ready()
        yield deployment
    finally:
        deployment.kill()


async def _publish(store: str) -> None:
    """Write the desired state, once the store listens."""
    client = PlatformStore(store, Counters())
    with trio.fail_after(START_S):
        while True:
            try:
                await client.append("keyed.op", {"config": msgspec.json.encode(desired_state(1))})
                return
            except LogUnavailable:
                await trio.sleep(POLL_S)


async def start_callers(deployment: Deployment, shape: Shape, seed: int, leaves: float) -> None:
    """Start a process of callers for each failure domain."""
    directories = tuple(f"{router.host}:{DIRECTORY_PORT}" for router in deployment.routers)
    for domain in DOMAINS:
        plan = CallersPlan(domain, shape.callers, shape.pause_s, directories, seed, leaves)
        arguments = [
            "tests.deployment.callers",
            msgspec.json.encode(plan).decode(),
            str(deployment.folder / f"callers-{domain}.jsonl"),
        ]
        log = deployment.folder / f"callers-{domain}.err"
        deployment.callers.append(await _open(arguments, log))
