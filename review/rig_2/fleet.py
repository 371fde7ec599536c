"""Starts the system's routers as processes, with a store and engines on loopback addresses."""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from review.rig_2.engine import Engine, Run
from review.rig_2.http1 import Connection, Request, Response
from review.rig_2.store import Store

ROOT = Path(__file__).parents[2]
COMMAND = ("python3", "-m", "railtide.platform.start")
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
STORE_PORT, ENGINE_PORT, FRONT_PORT, READY_PORT = 8223, 8080, 8227, 8220
START_S = 30.0
BOUNDS = {
    "stable_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "ttl_max_s": 5,
}


def free_network() -> str:
    """Return the first three parts of loopback addresses that nothing listens at."""
    for _ in range(100):
        network = f"127.{64 + secrets.randbelow(128)}.{1 + secrets.randbelow(250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.1", STORE_PORT))
                return network
            except OSError:
                continue
    raise SystemExit(2)


@dataclass
class Router:
    """One router, whose process may be started again."""

    name: str
    host: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    exits: list[int] = field(default_factory=list)

    @property
    def front(self) -> str:
        """Address for client requests."""
        return f"{self.host}:{FRONT_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start a process with the command of the deploy file."""
        env = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        env |= {"RAILTIDE_BOOT": str(self.settings), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end of the process; return and record its exit status."""
        status = await self.process.wait()
        self.exits.append(status)
        return status

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            connection = await Connection.open(f"{self.host}:{READY_PORT}", 0.5)
        except (OSError, TimeoutError):
            return False
        response = await connection.send(Request("GET", "/ready", {"Host": "x"}), 0.5)
        connection.close()
        return response.status == 200


@dataclass
class Sent:
    """One attempt of a client."""

    attempt: str
    router: str
    target: str
    sent: float
    kept: bool
    response: Response | None = None
    answered: float = 0.0


class Fleet:
    """A small deployment: a store, engines, and routers on machines of their own addresses."""

    def __init__(self, folder: Path, memory_mb: int = 300, link_mbps: float = 1000.0) -> None:
        self.folder = folder
        self.network = free_network()
        self.store = Store()
        self.runs: list[Run] = []
        self.sent: list[Sent] = []
        self.notes: list[tuple[float, str]] = []
        self.engines: list[Engine] = []
        self.routers: list[Router] = []
        self.began = time.monotonic()
        self._memory_mb = memory_mb
        self._link_mbps = link_mbps
        self._attempts = 0

    def note(self, text: str) -> None:
        """Record what the script did or saw."""
        self.notes.append((time.monotonic(), text))

    async def open(self) -> None:
        """Start the store."""
        await self.store.start(f"{self.network}.1", STORE_PORT)

    async def add_engine(self, service: str, **options: object) -> Engine:
        """Start an engine."""
        number = len(self.engines)
        address = f"{self.network}.{100 + number}:{ENGINE_PORT}"
        engine = Engine(f"i-{number:04d}", service, address, self.store, self.runs, **options)
        self.engines.append(engine)
        await engine.start()
        return engine

    def add_router(self) -> Router:
        """Write the settings of one more router."""
        number = len(self.routers)
        host = f"{self.network}.{10 + number}"
        settings = self.folder / f"router-{number}.yaml"
        zones = {"a": "r", "b": "r", "c": "r"}
        zone = "abc"[number % 3]
        fields = {
            "node_name": f"edge-{zone}-{number}",
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge", "registry"],
            "ip": host,
            "zone": zone,
            "region": "r",
            "zones": zones,
            "listen": {
                "front": f"{host}:{FRONT_PORT}",
                "ready": f"{host}:{READY_PORT}",
                "control": f"{host}:8229",
                "directory": f"{host}:8224",
            },
            "internal_ports": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": self._memory_mb,
                "max_fds": 4100,
                "link_mbps": self._link_mbps,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.network}.1:{STORE_PORT}",
                "form": "log",
                "parts": 24,
                "keep_s": 300,
            },
        }
        settings.write_text(json.dumps(fields))  # JSON is YAML
        router = Router(fields["node_name"], host, settings, self.folder / f"router-{number}.log")
        self.routers.append(router)
        return router

    async def wait_ready(self) -> None:
        """Return once all routers are ready; exit with 2 if they are not in time."""
        until = time.monotonic() + START_S
        while not all([await router.is_ready() for router in self.routers]):
            if time.monotonic() > until:
                self.note("the routers did not become ready")
                raise SystemExit(2)
            await asyncio.sleep(0.1)

    def next_attempt(self) -> str:
        """Return a new attempt id."""
        self._attempts += 1
        return f"{self._attempts:016x}"

    async def call(
        self, router: Router, connection: Connection, request: Request, timeout_s: float
    ) -> Sent:
        """Send one attempt over a connection and record it."""
        attempt = request.headers.setdefault("X-Attempt-Id", self.next_attempt())
        sent = Sent(attempt, router.name, request.target, time.monotonic(), connection.carried > 0)
        self.sent.append(sent)
        sent.response = await connection.send(request, timeout_s)
        sent.answered = time.monotonic()
        return sent

    def note_unconnected(self, router: Router, request: Request) -> None:
        """Record an attempt for which no connection could be made."""
        now = time.monotonic()
        self.sent.append(Sent(self.next_attempt(), router.name, request.target, now, False))

    async def close(self) -> None:
        """Kill the routers that still run."""
        for router in self.routers:
            router.send(signal.SIGKILL)
            if router.process is not None and router.process.returncode is None:
                await router.wait()

    def write_record(self, path: Path) -> None:
        """Write what was sent, answered and run, in the order of time."""
        lines = [(at, f"note     {text}") for at, text in self.notes]
        for sent in self.sent:
            lines.append((sent.sent, f"sent     {sent.attempt} {sent.target} to {sent.router}"))
            if sent.response:
                state = "complete" if sent.response.complete else "incomplete"
                text = f"answered {sent.attempt} status {sent.response.status} {state}"
                lines.append((sent.answered, text))
        for run in self.runs:
            what = "rejected" if run.rejected else "run"
            lines.append((run.began, f"{what:8} {run.attempt} {run.path} at {run.engine}"))
        text = "".join(f"{at - self.began:9.3f} {line}\n" for at, line in sorted(lines))
        path.write_text(text)


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Return a folder for settings and logs; LOGS=1 keeps it for a look afterwards."""
    folder = tempfile.mkdtemp(prefix="review-")
    try:
        yield Path(folder)
    finally:
        if "LOGS" in os.environ:
            print(folder)
        else:
            shutil.rmtree(folder)
