"""Time to the first byte and to the end of a stream under each rule of commit.

Run ``python -m bench.commit``. Compares three paths through routers of one deployment with a direct
call of the engine: output held until intent and bill are durable; nothing held, the bill follows
the answer; claim before dispatch.
"""

import statistics
import time
from dataclasses import dataclass, field

import httpx

from bench.overhead import body
from bench.world import KEY, bench_world, wait_until_served

ROUNDS = 40
TOKENS = 10
MS = 1000


@dataclass
class Times:
    """Milliseconds from the request to the first byte and to the end."""

    first: list[float] = field(default_factory=list)
    end: list[float] = field(default_factory=list)


def measure(client: httpx.Client, url: str, headers: dict[str, str], times: Times) -> None:
    """Read one stream and add its times; raises AssertionError for an incomplete one."""
    started_at = time.perf_counter()
    with client.stream("POST", url, json=body(TOKENS, True), headers=KEY | headers) as answer:
        chunks = answer.iter_raw()
        next(chunks)
        times.first.append((time.perf_counter() - started_at) * MS)
        whole = b"".join(chunks)
    times.end.append((time.perf_counter() - started_at) * MS)
    assert whole.endswith(b"[DONE]\n\n"), whole[-100:]


def main() -> None:
    """Print the table; the paths take turns, so that drift of the machine affects all alike."""
    with bench_world(token_s=0.01) as world:
        no_hold_router = world.start_router("i2", "b", [world.keeper], commit_wait_s=0)
        wait_until_served(no_hold_router.http)
        route = "/v1/chat/completions"
        paths = {
            "engine itself": (world.engine.http, "x-request-id"),
            "held (output commit)": (world.router.http, ""),
            "nothing held": (no_hold_router.http, ""),
            "claim before dispatch": (world.router.http, "idempotency-key"),
        }
        times = {name: Times() for name in paths}
        with httpx.Client(timeout=30, trust_env=False) as client:
            for number in range(ROUNDS):
                for name, (address, header) in paths.items():
                    headers = {header: f"{name}-{number}"} if header else {}
                    measure(client, f"http://{address}{route}", headers, times[name])
        print("way                      first byte ms p50   end ms p50")
        for name, seen in times.items():
            first, end = statistics.median(seen.first), statistics.median(seen.end)
            print(f"{name:23s}  {first:17.1f}   {end:10.1f}")


if __name__ == "__main__":
    main()
