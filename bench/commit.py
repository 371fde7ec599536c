"""Time to the first byte and to the end of a stream under each rule of commit.

Run ``python -m bench.commit``. Three ways through routers of one deployment, and the engine itself:
output held for intent and bill; nothing held (bill after the answer); claim before dispatch.
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
    """Milliseconds to the first byte and to the end."""

    first: list[float] = field(default_factory=list)
    end: list[float] = field(default_factory=list)


def measure(client: httpx.Client, url: str, headers: dict[str, str], times: Times) -> None:
    """Read one stream."""
    began = time.perf_counter()
    with client.stream("POST", url, json=body(TOKENS, True), headers=KEY | headers) as answer:
        chunks = answer.iter_raw()
        next(chunks)
        times.first.append((time.perf_counter() - began) * MS)
        whole = b"".join(chunks)
    times.end.append((time.perf_counter() - began) * MS)
    assert whole.endswith(b"[DONE]\n\n"), whole[-100:]


def main() -> None:
    """Print the table; the ways take turns, so that drift hits all alike."""
    with bench_world(token_s=0.01) as world:
        unheld = world.start_router("i2", "b", [world.keeper], commit_wait_s=0)
        wait_until_served(unheld.http)
        path = "/v1/chat/completions"
        ways = {
            "engine itself": (world.engine.http, "x-request-id"),
            "held (output commit)": (world.router.http, ""),
            "nothing held": (unheld.http, ""),
            "claim before dispatch": (world.router.http, "idempotency-key"),
        }
        times = {name: Times() for name in ways}
        with httpx.Client(timeout=30, trust_env=False) as client:
            for number in range(ROUNDS):
                for name, (address, header) in ways.items():
                    headers = {header: f"{name}-{number}"} if header else {}
                    measure(client, f"http://{address}{path}", headers, times[name])
        print("way                      first byte ms p50   end ms p50")
        for name, seen in times.items():
            first, end = statistics.median(seen.first), statistics.median(seen.end)
            print(f"{name:23s}  {first:17.1f}   {end:10.1f}")


if __name__ == "__main__":
    main()
