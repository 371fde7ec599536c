"""An engine of the users' platform that crashes on some requests and restarts under a new id."""

from dataclasses import dataclass, field

import msgspec
import trio

from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine, engine_entry

__all__ = ["CRASH_PREFIX", "Arrival", "CrashingEngine"]

CRASH_PREFIX = b"crash"
"""An engine crashes on each request whose body begins with it."""
LISTEN_RETRY_S = 0.05
TOPIC = "keyed.servers"
ID = b"x-attempt-id"
PROMPT_PARTS = b"x-prompt-prefix"


@dataclass(frozen=True)
class Arrival:
    """A request as it reached one incarnation of an engine, and the trio time."""

    body: bytes
    incarnation: str
    at: float
    parts: tuple[bytes, ...] = ()


@dataclass
class CrashingEngine:
    """An engine whose process crashes and restarts at the same address.

    Parameters
    ----------
    store : MemoryStore
        Where it registers. The entry of a crashed incarnation is removed after `entry_ttl_s`.
    name : str
        An incarnation's id is this and a number; with `keeps_id` the id is the name alone, and
        the entry's `born` differs.
    crashing_parts : tuple of bytes
        Ids of prompt parts; it crashes on each request whose prompt contains one.
    host : str
    script : EngineScript
        How it answers requests that don't crash it.
    crash_after_s : float
        From the start of a run to the crash; negative if the engine no longer crashes.
    sends_head : bool
        Whether the head of the answer is sent before a crash.
    version : str or None
        See `PlatformEngine`.
    restart_delay_s : float
        From a crash to the next start.

    Attributes
    ----------
    crashed_at_by_incarnation : dict of str to float
        Trio times.
    arrivals : list of Arrival
        All requests received, in order.
    ran : list of str
        Ids of the requests that it started to run.
    """

    store: MemoryStore
    name: str
    host: str
    script: EngineScript = field(default_factory=EngineScript)
    crash_after_s: float = 0.06
    sends_head: bool = True
    restart_delay_s: float = 1.5
    entry_ttl_s: float = 3.6
    keeps_id: bool = False
    crashing_parts: tuple[bytes, ...] = ()
    version: str | None = None
    port: int = 0
    incarnations: int = 0
    crashes: int = 0
    crashed_at_by_incarnation: dict[str, float] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    _crashed: trio.Event = field(default_factory=trio.Event)

    @property
    def incarnation(self) -> str:
        """The name of the incarnation that runs, or ran last."""
        return f"{self.name}-{self.incarnations}"

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run one incarnation after another until cancelled; started once the first one listens."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._run_incarnation(
                    task_status if not self.incarnations else trio.TASK_STATUS_IGNORED
                )
                nursery.start_soon(self._expire_entry, self.incarnation)
                await trio.sleep(self.restart_delay_s)

    def crash(self) -> None:
        """Stop the process as SIGKILL does: connections and listener close at once."""
        self._crashed.set()

    async def _run_incarnation(self, task_status: trio.TaskStatus[None]) -> None:
        self.incarnations += 1
        self._crashed = trio.Event()
        engine = PlatformEngine(self._id(), self.script, ran=self.ran, version=self.version)
        async with trio.open_nursery() as nursery:
            listener = await self._listen()
            self.port = listener.socket.getsockname()[1]
            server = HttpServer(_Incarnation(self, engine).handle, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            self._write_entry()
            task_status.started()
            await self._crashed.wait()
            self.crashed_at_by_incarnation[self.incarnation] = trio.current_time()
            nursery.cancel_scope.cancel()

    async def _listen(self) -> trio.SocketListener:
        """Return a listener at the address, retrying while another socket still uses it."""
        while True:
            try:
                return await listen(self.host, self.port)
            except OSError:
                await trio.sleep(LISTEN_RETRY_S)

    def _id(self) -> str:
        return self.name if self.keeps_id else self.incarnation

    def _write_entry(self) -> None:
        entry = engine_entry(f"{self.host}:{self.port}")
        if self.keeps_id:
            entry["born"] = self.incarnations
        self.store.put(TOPIC, self._id(), msgspec.json.encode(entry))

    async def _expire_entry(self, incarnation: str) -> None:
        await trio.sleep(self.entry_ttl_s)
        if not self.keeps_id:
            self.store.put(TOPIC, incarnation, b"")


@dataclass
class _Incarnation:
    """One process of a crashing engine, which handles its requests."""

    host: CrashingEngine
    engine: PlatformEngine

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        parts = _parts_of(request)
        self.host.arrivals.append(
            Arrival(request.body, self.host.incarnation, trio.current_time(), parts)
        )
        crashes = request.body.startswith(CRASH_PREFIX) or set(parts) & set(
            self.host.crashing_parts
        )
        if self.host.crash_after_s < 0 or not crashes:
            self.engine.script = self.host.script
            await self.engine.handle(request, responder)
            return
        self.host.ran.append((first_header(request.headers, ID) or b"").decode())
        if self.host.sends_head:
            request_id = first_header(request.headers, ID) or b""
            await responder.start(200, ((ID, request_id), (b"x-response-seal", b"s")), None)
        await trio.sleep(self.host.crash_after_s)
        self.host.crashes += 1
        self.host.crash()
        await trio.sleep_forever()


def _parts_of(request: HttpRequest) -> tuple[bytes, ...]:
    """Return the ids of the parts of a request's prompt."""
    value = first_header(request.headers, PROMPT_PARTS) or b""
    return tuple(part.partition(b":")[0].strip() for part in value.split(b",") if part)
