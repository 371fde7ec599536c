"""`railtide-edge` as a process beside an engine that sends bytes without end: its peak memory."""

from collections import Counter
from pathlib import Path

import msgspec
import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.platform.tests.hosts import HOST
from railtide.standins.endless_answers import Flood
from railtide.standins.platform import EngineScript, PlatformEngine, engine_entry
from tests.test_edge_process import STATE, EdgeSetup, edge_setup, serve

MEMORY_MB = 150
"""Memory at which the platform kills a process of the smallest machines."""
ROUTE = STATE["routes"][0] | {"timeout_ms": 2_500}
ROUTES = [
    ROUTE | {"name": "plain", "path_prefix": "/plain/", "kind": "safe", "max_attempts": 2},
    ROUTE | {"name": "stream", "path_prefix": "/stream/"},
]
CALLERS = 24
LOAD_S = 5.0


def peak_mb(pid: int) -> float:
    """Return the largest resident memory of a process so far."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (line,) = [line for line in lines if line.startswith("VmHWM:")]
    return int(line.split()[1]) / 1024


async def call(setup: EdgeSetup, caller: int, path: bytes, statuses: Counter) -> None:
    """Send one request after another; count their statuses, 0 for one without a whole answer."""
    pool = PeerPool(HOST, setup.calls_port)
    number = 0
    while True:
        number += 1
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", b"c%dx%d" % (caller, number)),
            (b"x-credential", b"k"),
            (b"x-deadline-ms", b"2500"),
        )
        status = 0
        try:
            exchange = await pool.send(HttpRequest(b"POST", path, headers, b"body"))
            async for _ in exchange.chunks():
                pass
            status = exchange.status
        except HttpError:
            await trio.sleep(0.05)
        statuses[status] += 1


class TestPeakMemory:
    """Guards against bytes that a router holds until the platform kills it."""

    @pytest.mark.parametrize(
        ("flood", "path"),
        [
            (Flood.BODY_IN_CHUNKS, b"/plain/x"),
            (Flood.BODY_UNTIL_CLOSE, b"/plain/x"),
            (Flood.EVENT, b"/stream/x"),
            (Flood.INFORMATIONAL, b"/plain/x"),
        ],
    )
    async def test_process_stays_below_its_limit(
        self, tmp_path: Path, flood: Flood, path: bytes
    ) -> None:
        statuses: Counter[int] = Counter()
        async with edge_setup(tmp_path) as setup:
            state = STATE | {"routes": ROUTES}
            setup.store.put("keyed.op", "config", msgspec.json.encode(state))
            limits = f"limits: {{memory_mb: {MEMORY_MB}}}\n"
            setup.settings.write_text(setup.settings.read_text() + limits)
            flooding = PlatformEngine("e2", EngineScript(flood=flood))
            port = await serve(setup.nursery, flooding.handle)
            entry = engine_entry(f"127.0.0.1:{port}")
            setup.store.put("keyed.servers", "e2", msgspec.json.encode(entry))
            setup.engine.script = (
                EngineScript(events=4, gap_s=0.02)
                if path[1:2] == b"s"
                else (EngineScript(gap_s=0.02))
            )
            process = await setup.start()
            with trio.move_on_after(LOAD_S):
                async with trio.open_nursery() as nursery:
                    for caller in range(CALLERS):
                        nursery.start_soon(call, setup, caller, path, statuses)
            peak = peak_mb(process.pid)
            is_running = process.poll() is None
            process.kill()
            await process.wait()
        assert is_running
        assert len(flooding.runs) >= 2
        assert statuses[200] > len(flooding.runs)
        assert peak < MEMORY_MB


STREAM_FLOODS = (
    Flood.EVENT,
    Flood.EVENTS,
    Flood.OLD_EVENTS,
    Flood.BLANK_EVENTS,
    Flood.COMMENTS,
)
PLAIN_FLOODS = tuple(flood for flood in Flood if flood not in STREAM_FLOODS)
MIXED_FLOODS = {"s": STREAM_FLOODS, "plain": PLAIN_FLOODS}
"""Floods of the engines of each service. Those of one kind take most of one kind of memory."""
BODY_FLOODS = {"s": (Flood.EVENT,) * 8, "plain": (Flood.BODY_IN_CHUNKS,) * 8}
HEAD_FLOODS = {"s": (Flood.HEAD_LINES,) * 8, "plain": (Flood.TRAILERS,) * 8}
SERVED_S = 20.0
"""Time within which requests are answered again once the engines are sound."""


async def add_engines(
    setup: EdgeSetup, floods_by_service: dict[str, tuple[Flood, ...]]
) -> list[PlatformEngine]:
    """Add an engine for each flood to the pools of two services; return them."""
    engines = []
    for service, floods in floods_by_service.items():
        for number, flood in enumerate(floods):
            engine = PlatformEngine(f"{service}-{flood}-{number}", EngineScript(flood=flood))
            port = await serve(setup.nursery, engine.handle)
            entry = engine_entry(f"127.0.0.1:{port}", service)
            setup.store.put("keyed.servers", engine.name, msgspec.json.encode(entry))
            engines.append(engine)
    return engines


async def send_until_served(setup: EdgeSetup, path: bytes) -> None:
    """Send requests until one is answered with 200."""
    statuses: Counter[int] = Counter()
    with trio.fail_after(SERVED_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, setup, CALLERS * 10, path, statuses)
            while not statuses[200]:
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()


class TestManyEngines:
    """Guards against floods that are bounded each, but not together."""

    @pytest.mark.parametrize(
        "floods_by_service",
        [MIXED_FLOODS, BODY_FLOODS, HEAD_FLOODS],
        ids=["mixed", "bodies", "heads"],
    )
    async def test_all_engines_of_two_pools_send_without_end(
        self, tmp_path: Path, floods_by_service: dict[str, tuple[Flood, ...]]
    ) -> None:
        async with edge_setup(tmp_path) as setup:
            routes = [ROUTES[0] | {"service": "plain"}, ROUTES[1]]
            state = STATE | {
                "routes": routes,
                "services": [{"name": name} for name in floods_by_service],
            }
            setup.store.put("keyed.op", "config", msgspec.json.encode(state))
            limits = f"limits: {{memory_mb: {MEMORY_MB}}}\n"
            setup.settings.write_text(setup.settings.read_text() + limits)
            engines = await add_engines(setup, floods_by_service)
            setup.engine.script = EngineScript(flood=Flood.EVENT)
            process = await setup.start()
            statuses: Counter[int] = Counter()
            with trio.move_on_after(LOAD_S):
                async with trio.open_nursery() as nursery:
                    for caller in range(3 * CALLERS):
                        path = (b"/plain/x", b"/stream/x")[caller % 2]
                        nursery.start_soon(call, setup, caller, path, statuses)
            for engine in [setup.engine, *engines]:
                is_stream = engine is setup.engine or engine.name.startswith("s-")
                engine.script = EngineScript(events=4) if is_stream else EngineScript()
            is_running = process.poll() is None
            for path in (b"/plain/x", b"/stream/x"):
                await send_until_served(setup, path)
            peak = peak_mb(process.pid)
            process.kill()
            await process.wait()
        assert is_running
        assert sum(bool(engine.runs) for engine in engines) >= len(engines) - 4
        assert peak < MEMORY_MB
