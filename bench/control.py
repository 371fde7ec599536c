"""Control cost of a node: CPU, appends and appended bytes, idle and per request, and memory.

Run ``python -m bench.control``.
"""

import time
from pathlib import Path

import httpx
import trio

from bench.overhead import body, cpu_seconds
from bench.world import KEY, bench_world

IDLE_S = 10.0
REQUESTS = 400
CALLERS = 8
KB = 1024


def memory_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB
    return 0.0


def status(address: str) -> dict:
    """Return a keeper's status, as its admin address reports it."""
    return httpx.get(f"http://{address}/admin/status", trust_env=False).json()


async def load(url: str) -> None:
    """Send small requests from concurrent callers."""

    async def caller(count: int) -> None:
        async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
            for _ in range(count):
                answer = await client.post(url, json=body(1, False), headers=KEY)
                assert answer.status_code == 200, answer.text

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(caller, REQUESTS // CALLERS)


def main() -> None:
    """Print the table."""
    with bench_world(token_s=0.005) as world:
        keeper, router = world.keeper, world.router
        pids = {"keeper": keeper.popen.pid, "router": router.popen.pid}
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        seen = status(keeper.http)
        time.sleep(IDLE_S)
        idle = status(keeper.http)
        for name, pid in pids.items():
            share = (cpu_seconds(pid) - before[name]) / IDLE_S * 100
            print(f"idle {name}: {share:.2f}% of a core, {memory_mb(pid):.0f} MB")
        appended = (idle["bytes_appended"] - seen["bytes_appended"]) / IDLE_S
        appends = (idle["appends"] - seen["appends"]) / IDLE_S
        print(f"idle: {appended:.0f} B/s appended, {appends:.2f} appends/s")
        started_at = time.perf_counter()
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        trio.run(load, f"http://{router.http}/v1/chat/completions")
        elapsed_s = time.perf_counter() - started_at
        busy = status(keeper.http)
        for name, pid in pids.items():
            used = (cpu_seconds(pid) - before[name]) / REQUESTS * 1e6
            print(f"{name}: {used:.0f} us CPU a request, {memory_mb(pid):.0f} MB")
        appended = (busy["bytes_appended"] - idle["bytes_appended"]) / REQUESTS
        appends = (busy["appends"] - idle["appends"]) / elapsed_s
        rate = REQUESTS / elapsed_s
        print(
            f"{appended:.0f} B appended a request, {appends:.1f} appends/s at {rate:.0f} requests/s"
        )


if __name__ == "__main__":
    main()
