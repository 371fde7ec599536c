"""A small deployment of real processes for benchmarks."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

import httpx

from tests.processes import Deployment, deployment

__all__ = ["KEY", "bench_world", "wait_until_served"]

KEY = {"authorization": "Bearer bench-key"}
READY_S = 20.0


@contextmanager
def bench_world(token_s: float) -> Iterator[Deployment]:
    """Yield one engine, keeper and router, and an account with an ample budget."""
    with deployment() as world:
        world.start_platform()
        world.engine = world.start_engine("e1", "a", "brief-pool", token_s)
        world.keeper = world.start_keeper("i1", "a")
        world.router = world.start_router("i1", "a", [world.keeper])
        world.publish("model", "brief", {"pool": "brief-pool"})
        world.publish("template", "base", {"models": ["brief"], "grant_min": 1_000_000})
        world.publish_account("bench", "bench-key", 1_000_000_000, exposure_percent=100)
        wait_until_served(world.router.http)
        yield world


def wait_until_served(router: str) -> None:
    """Return once a router serves the bench account; raises TimeoutError after `READY_S`."""
    body = {"model": "brief", "messages": [{"role": "user", "content": "tokens=1"}]}
    url = f"http://{router}/v1/chat/completions"
    until = time.monotonic() + READY_S
    while time.monotonic() < until:
        if httpx.post(url, json=body, headers=KEY, trust_env=False).status_code == 200:
            return
        time.sleep(0.1)
    raise TimeoutError(f"router {router} did not serve within {READY_S} s")
