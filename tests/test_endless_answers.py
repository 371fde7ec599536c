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
