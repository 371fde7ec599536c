"""Guards `railtide-edge` against crowds of clients that hold its memory until it is killed."""

import resource
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import msgspec
import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.platform.tests.hosts import HOST
from railtide.standins.platform import EngineScript, PlatformEngine, engine_entry
from tests.crowds.clients import BODY_BYTES, BODY_FORMS, FORMS, Target, gather_crowd
from tests.crowds.watch import ProcessWatch
from tests.test_edge_process import STATE, WAIT_S, EdgeSetup, edge_setup, free_ports, serve

pytestmark = pytest.mark.crowd

MEMORY_MB = 150
"""Memory of the smallest machines, at which the platform kills a process."""
MAX_FDS = 1_200
"""Leaves more connections to engines than a crowd of requests in progress holds."""
CROWD = 60
CROWDS = 4
HEADS = 1_500
"""More than there are descriptors."""
SLOTS = 256
LONG_S = 600.0
CALM_S = 0.5
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": BODY_BYTES,
    "header_timeout_ms": 30_000,
    "idle_timeout_ms": 30_000,
}
ROUTE = STATE["routes"][0] | {"kind": "unsafe", "timeout_ms": 60_000}
ROUTES = [
    ROUTE,
    ROUTE | {"name": "busy", "path_prefix": "/busy/", "service": "busy"},
    ROUTE | {"name": "long", "path_prefix": "/long/", "service": "long"},
    ROUTE | {"name": "stream", "path_prefix": "/stream/", "service": "stream", "kind": "streaming"},
]
SCRIPTS = {
    "busy": EngineScript(gap_s=LONG_S),
    "long": EngineScript(body=b"x" * BODY_BYTES),
    "stream": EngineScript(events=20, label="x" * 262_144),
}
HEADERS = ("x-attempt-id: c{number}", "x-token-count: 1,1")
LISTENERS = ("ready_port", "metrics_port", "directory_port", "peer_port")


class CrowdSetup:
    """A router that is watched, its engines, and the crowds it gets."""

    def __init__(self, setup: EdgeSetup, process: trio.Process, ports: dict[str, int]) -> None:
        self._setup = setup
        self._asked = 0
        self.process = process
        self.ports = ports
        self.watch = ProcessWatch(process.pid, set(ports.values()))

    def target(self, path: str = "/s/x", listener: str = "calls_port", key: str = "k") -> Target:
        """Return an address of the router and what is asked for there."""
        return Target(HOST, self.ports[listener], path, (*HEADERS, f"x-credential: {key}"))

    async def ask(self, body: bytes = b"body") -> None:
        """Get the whole answer to one request; a rejected request is sent again later."""
        with trio.fail_after(WAIT_S):
            while not await self.is_answered(body):
                await trio.sleep(CALM_S)

    async def is_answered(self, body: bytes) -> bool:
        """Return whether one request gets its whole answer."""
        self._asked += 1
        headers = (
            (b"host", HOST.encode()),
            (b"x-attempt-id", b"o%d" % self._asked),
            (b"x-credential", b"k"),
            (b"x-token-count", b"1,20"),
        )
        pool = PeerPool(HOST, self.ports["calls_port"])
        try:
            exchange = await pool.send(HttpRequest(b"POST", b"/s/x", headers, body))
            return (
                exchange.status == 200 and b"".join([c async for c in exchange.chunks()]) == b"ok"
            )
        except HttpError:
            return False

    def check(self) -> None:
        """Raise unless the process lives and stayed within its memory and descriptors."""
        self.watch.sample()
        assert self.process.poll() is None
        assert self.watch.peak_mb < MEMORY_MB
        assert self.watch.descriptors <= MAX_FDS


@asynccontextmanager
async def crowd_setup(folder: Path) -> AsyncIterator[CrowdSetup]:
    async with edge_setup(folder) as setup:
        routes = [route | {"host": HOST} for route in ROUTES]
        tenants = [STATE["tenants"][0] | {"prepaid": 10_000_000}]
        services = [{"name": "s"}, *({"name": name} for name in SCRIPTS)]
        state = {"routes": routes, "services": services, "tenants": tenants, "limits": LIMITS}
        setup.store.put("keyed.op", "config", msgspec.json.encode(STATE | state))
        setup.engine.script = EngineScript()
        for name, script in SCRIPTS.items():
            port = await serve(setup.nursery, PlatformEngine(name, script).handle)
            entry = engine_entry(f"127.0.0.1:{port}", name) | {"slots": SLOTS}
            setup.store.put("keyed.servers", name, msgspec.json.encode(entry))
        (peer_port,) = free_ports(1)
        limits = f"limits: {{memory_mb: {MEMORY_MB}, max_fds: {MAX_FDS}}}\n"
        stated = f"{limits}internal_ports: [{peer_port}, {peer_port}]\n"
        setup.settings.write_text(setup.settings.read_text() + stated)
        lookup = msgspec.yaml.decode(setup.settings.read_bytes())["listen"]["directory"]
        ports = {
            "calls_port": setup.calls_port,
            "ready_port": setup.ready_port,
            "metrics_port": setup.metrics_port,
            "directory_port": int(lookup.rpartition(":")[2]),
            "peer_port": peer_port,
        }
        process = await setup.start()
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        crowd = CrowdSetup(setup, process, ports)
        setup.nursery.start_soon(crowd.watch.run)
        try:
            yield crowd
        finally:
            setup.nursery.cancel_scope.cancel()
            process.kill()
            with trio.CancelScope(shield=True):
                await process.wait()


async def leave(streams: list[trio.SocketStream]) -> None:
    for stream in streams:
        await trio.aclose_forcefully(stream)


async def ask_beside_and_after(crowd: CrowdSetup, streams: list[trio.SocketStream]) -> None:
    """Check the router and get an answer from it, beside a crowd and once it has left."""
    crowd.check()
    await crowd.ask()
    await leave(streams)
    await crowd.ask()
    crowd.check()


async def play(folder: Path, form: str, count: int = CROWD, **target: str) -> None:
    """Send a crowd to a router, and ordinary requests beside it and after it."""
    async with crowd_setup(folder) as crowd:
        await crowd.ask()
        streams = await gather_crowd(crowd.target(**target), FORMS[form], count)
        await ask_beside_and_after(crowd, streams)


class TestCrowdOfCallers:
    """Guards against a process that is killed, or answers nobody, since clients hold its memory."""

    @pytest.mark.parametrize(
        "form",
        [
            *BODY_FORMS,
            "endless_trailers",
            "endless_extension",
            "repeated_departures",
        ],
    )
    async def test_bodies_take_the_memory(self, tmp_path: Path, form: str) -> None:
        await play(tmp_path, form, path="/busy/x")

    @pytest.mark.parametrize("path", ["/none/x", "/busy/x"])
    async def test_bodies_of_requests_that_are_not_allowed_take_the_memory(
        self, tmp_path: Path, path: str
    ) -> None:
        await play(tmp_path, "unfinished_body", path=path, key="unknown")

    async def test_unfinished_heads_take_the_descriptors(self, tmp_path: Path) -> None:
        await play(tmp_path, "unfinished_head", HEADS, path="/busy/x")

    @pytest.mark.parametrize("form", ["unread_answer", "unread_answers"])
    @pytest.mark.parametrize("path", ["/long/x", "/stream/x"])
    async def test_unread_answers_take_the_memory(
        self, tmp_path: Path, path: str, form: str
    ) -> None:
        await play(tmp_path, form, path=path)

    async def test_bodies_of_all_forms_take_the_memory(self, tmp_path: Path) -> None:
        async with crowd_setup(tmp_path) as crowd:
            streams: list[trio.SocketStream] = []

            async def gather(name: str, path: str) -> None:
                target = crowd.target(path)
                streams.extend(await gather_crowd(target, FORMS[name], CROWD // 4))

            async with trio.open_nursery() as gathering:
                for name in FORMS:
                    path = "/long/x" if name.startswith("unread") else "/busy/x"
                    gathering.start_soon(gather, name, path)
            await ask_beside_and_after(crowd, streams)


class TestCrowdsInSuccession:
    """Guards against memory that one crowd leaves behind and the next one adds to."""

    @pytest.mark.parametrize(
        ("form", "path"),
        [("whole_body", "/none/x"), ("pipelined_bodies", "/s/x"), ("unread_answer", "/long/x")],
    )
    async def test_memory_of_each_crowd_adds_up(self, tmp_path: Path, form: str, path: str) -> None:
        async with crowd_setup(tmp_path) as crowd:
            for _ in range(CROWDS):
                streams = await gather_crowd(crowd.target(path), FORMS[form], CROWD)
                crowd.check()
                await leave(streams)
            await crowd.ask()
            crowd.check()


class TestStopWithinACrowd:
    """Guards against a process that hangs in its shutdown while clients hold its connections."""

    @pytest.mark.parametrize("form", ["unfinished_body", "tiny_chunks", "unread_answer"])
    async def test_process_does_not_end(self, tmp_path: Path, form: str) -> None:
        path = "/long/x" if form == "unread_answer" else "/busy/x"
        async with crowd_setup(tmp_path) as crowd:
            await gather_crowd(crowd.target(path), FORMS[form], CROWD)
            crowd.process.send_signal(signal.SIGHUP)
            crowd.process.send_signal(signal.SIGTERM)
            with trio.fail_after(WAIT_S):
                assert await crowd.process.wait() == 0


class TestCrowdAtOtherListeners:
    """Guards against memory that is held through listeners other than the callers'."""

    @pytest.mark.parametrize("listener", LISTENERS)
    @pytest.mark.parametrize("form", ["unfinished_body", "unfinished_chunks", "sent_beyond_limit"])
    async def test_bodies_take_the_memory(self, tmp_path: Path, listener: str, form: str) -> None:
        await play(tmp_path, form, listener=listener)

    async def test_unread_metrics_take_the_memory(self, tmp_path: Path) -> None:
        await play(tmp_path, "unread_answers", listener="metrics_port")


class TestSingleRequestWithinLimits:
    """Guards against bounds that a client which keeps to the limits meets."""

    async def test_largest_legal_body_is_rejected_in_calm(self, tmp_path: Path) -> None:
        async with crowd_setup(tmp_path) as crowd:
            with trio.fail_after(WAIT_S):
                assert await crowd.is_answered(b"x" * BODY_BYTES)
            crowd.check()

    async def test_largest_legal_body_is_rejected_after_a_crowd(self, tmp_path: Path) -> None:
        async with crowd_setup(tmp_path) as crowd:
            target = crowd.target("/busy/x")
            await leave(await gather_crowd(target, FORMS["unfinished_body"], CROWD))
            await crowd.ask(b"x" * BODY_BYTES)
            crowd.check()

    async def test_rejection_does_not_reach_a_client_that_still_sends(self, tmp_path: Path) -> None:
        async with crowd_setup(tmp_path) as crowd:
            target = crowd.target("/busy/x")
            streams = await gather_crowd(target, FORMS["whole_body"], CROWD)
            rejections = 0
            for stream in streams:
                with trio.move_on_after(CALM_S), suppress(trio.BrokenResourceError):
                    head = await stream.receive_some()
                    assert head.startswith(b"HTTP/1.1 503 ") and b"\r\nretry-after: " in head
                    rejections += 1
            assert rejections
