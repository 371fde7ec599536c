"""Router overhead against calling the upstream directly, and router CPU per stream chunk.

Run ``python -m bench.overhead``. Real processes on loopback; only ratios within one run compare.
"""

import os
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

import httpx
import trio

from bench.world import KEY, bench_world

CALLS = 240
CALLERS = (1, 8, 32)
STREAMS = (1, 16, 50)
CHUNKS = 200
TICKS = os.sysconf("SC_CLK_TCK")
PERCENT = 100


@dataclass(frozen=True)
class Latency:
    """Latency of a set of calls in milliseconds, and calls a second."""

    p50: float
    p99: float
    rate: float


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def body(tokens: int, stream: bool) -> dict:
    """Return a chat request."""
    message = {"role": "user", "content": f"bench tokens={tokens}"}
    return {"model": "brief", "messages": [message], "max_tokens": tokens, "stream": stream}


async def measure_calls(url: str, callers: int) -> Latency:
    """Return the latency of small calls from a number of concurrent callers."""
    times: list[float] = []

    async def caller(count: int, number: int) -> None:
        async with httpx.AsyncClient(timeout=30, trust_env=False) as client:
            for index in range(count):
                headers = KEY | {"x-request-id": f"d-{callers}-{number}-{index}"}
                started_at = time.perf_counter()
                answer = await client.post(url, json=body(1, False), headers=headers)
                assert answer.status_code == 200, answer.text
                times.append(time.perf_counter() - started_at)

    started_at = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            nursery.start_soon(caller, CALLS // callers, number)
    elapsed_s = time.perf_counter() - started_at
    quantiles = statistics.quantiles(times, n=PERCENT)
    return Latency(quantiles[49] * 1000, quantiles[98] * 1000, len(times) / elapsed_s)


async def read_streams(url: str, streams: int) -> None:
    """Read a number of concurrent streams to their end."""

    async def reader(number: int) -> None:
        headers = KEY | {"x-request-id": f"s-{streams}-{number}-{time.time_ns()}"}
        async with (
            httpx.AsyncClient(timeout=60, trust_env=False) as client,
            client.stream("POST", url, json=body(CHUNKS, True), headers=headers) as answer,
        ):
            whole = b"".join([data async for data in answer.aiter_raw()])
            assert whole.endswith(b"data: [DONE]\n\n"), whole[-200:]

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(reader, number)


def chunk_cost(url: str, streams: int, pid: int) -> float:
    """Return the CPU time of a process per chunk, microseconds."""
    before = cpu_seconds(pid)
    trio.run(read_streams, url, streams)
    return (cpu_seconds(pid) - before) / (streams * CHUNKS) * 1e6


def main() -> None:
    """Print both tables."""
    with bench_world(token_s=0.01) as world:
        direct = f"http://{world.engine.http}/v1/chat/completions"
        routed = f"http://{world.router.http}/v1/chat/completions"
        trio.run(measure_calls, routed, 1)
        print("callers  direct p50/p99 ms   routed p50/p99 ms   ratio p50  calls/router core-s")
        for callers in CALLERS:
            plain = trio.run(measure_calls, direct, callers)
            before = cpu_seconds(world.router.popen.pid)
            via = trio.run(measure_calls, routed, callers)
            used = cpu_seconds(world.router.popen.pid) - before
            print(
                f"{callers:7d}  {plain.p50:7.1f} {plain.p99:7.1f}     {via.p50:7.1f} {via.p99:7.1f}"
                f"     {via.p50 / plain.p50:8.2f}  {CALLS / used:10.0f}"
            )
        relay = world.start_module("bench.quart_relay", world.engine.http)
        relayed = f"http://{relay.http}/v1/chat/completions"
        print("streams  router us a chunk   plain quart relay us a chunk   ratio")
        for streams in STREAMS:
            ours = chunk_cost(routed, streams, world.router.popen.pid)
            plain = chunk_cost(relayed, streams, relay.popen.pid)
            print(f"{streams:7d}  {ours:17.0f}   {plain:28.0f}   {ours / plain:5.2f}")


if __name__ == "__main__":
    main()
