"""A client declares the largest 64-bit integer as its maximum of output tokens; routers exit."""

import asyncio
import time

from review.rig_2.case import WITH_TROUBLE, desired_state, route, run
from review.rig_2.fleet import Fleet, Router
from review.rig_2.http1 import Connection, Request

LARGEST = 2**63 - 1
USUAL = 80
ROUTERS = 3
WORKERS = 8
"""Clients with a connection of their own at each router."""
WORK_S = 0.15
LENGTH_S = 24.0
RESTART_S = 1.0
"""Delay with which the platform starts a process again that has ended by itself."""
ALLOWED_LOSSES = 3
IN_TOUCH_S = 3.0


def plain_request() -> Request:
    """Return an unsafe request of another tenant."""
    headers = {"Host": "x.example", "X-Deadline-Ms": "2500", "X-Credential": "bystander-key"}
    return Request("POST", "/app/1", headers, b"order")


def generation(output_tokens: int) -> Request:
    """Return a request for a stream with a declared maximum of output tokens."""
    headers = {
        "Host": "x.example",
        "X-Deadline-Ms": "6000",
        "X-Credential": "declarer-key",
        "X-Model": "m",
        "X-Token-Count": f"120,{output_tokens}",
        "X-Prompt-Prefix": "5c1e07a2:60,91bd3f06:60",
    }
    return Request("POST", "/llm/stream", headers, b"prompt")


class Play:
    """One play, with the times at which the processes were started."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.began = 0.0
        self.started_at: dict[str, float] = {}
        self.own_ends: dict[str, int] = {}

    @property
    def is_over(self) -> bool:
        """Whether clients stop."""
        return time.monotonic() - self.began > LENGTH_S

    async def start(self, router: Router) -> None:
        """Start a router's process."""
        await router.start()
        self.started_at[router.name] = time.monotonic()

    async def restart_ended(self, router: Router) -> None:
        """Start a process again whenever it ends by itself; the script sends no signals."""
        while True:
            status = await router.wait()
            if self.is_over:
                return
            self.own_ends[router.name] = self.own_ends.get(router.name, 0) + 1
            self.fleet.note(f"{router.name} ended by itself with status {status}")
            await asyncio.sleep(RESTART_S)
            await self.start(router)

    async def work(self, router: Router) -> None:
        """Send plain requests one after another over a kept connection."""
        connection: Connection | None = None
        while not self.is_over:
            try:
                if connection is None or not connection.usable:
                    connection = await Connection.open(router.front)
                await self.fleet.call(router, connection, plain_request(), 2.5)
                await asyncio.sleep(0.02)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)

    async def generate(self, output_tokens: int, begin_s: float, interval_s: float) -> None:
        """Send generations of one declared size to the routers in turn."""
        await asyncio.sleep(begin_s)
        number = 0
        while not self.is_over:
            number += 1
            router = self.fleet.routers[number % ROUTERS]
            try:
                connection = await Connection.open(router.front)
                await self.fleet.call(router, connection, generation(output_tokens), 6.0)
                connection.close()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(interval_s)

    def losses(self) -> list[str]:
        """Return the attempts that were passed on from kept connections and got no answer."""
        ran = {run.attempt for run in self.fleet.runs if not run.rejected}
        return [
            sent.attempt
            for sent in self.fleet.sent
            if sent.kept
            and sent.attempt in ran
            and sent.response is not None
            and not sent.response.status
        ]


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether requests were lost."""
    routes = [
        route("llm", "llm", "streaming"),
        route("app", "app", "unsafe", timeout_ms=3000),
    ]
    budgets = {"declarer": 1_000_000, "bystander": 1_000_000}
    fleet.store.put("keyed.op", "config", desired_state(routes, budgets))
    for service in ("llm", "llm", "app", "app", "app"):
        await fleet.add_engine(service, work_s=WORK_S)
    played = Play(fleet)
    for _ in range(ROUTERS):
        await played.start(fleet.add_router())
    await fleet.wait_ready()
    await asyncio.sleep(IN_TOUCH_S + 1.0)
    played.began = time.monotonic()
    watchers = [asyncio.create_task(played.restart_ended(router)) for router in fleet.routers]
    workers = [played.work(router) for router in fleet.routers for _ in range(WORKERS)]
    largest = LARGEST if WITH_TROUBLE else USUAL
    usual = played.generate(USUAL, 0.0, 0.3)
    unlimited = played.generate(largest, 6.0, 0.25)
    await asyncio.gather(usual, unlimited, *workers)
    for watcher in watchers:
        watcher.cancel()
    lost = played.losses()
    fleet.note(f"passed on from kept connections and not answered: {len(lost)} {lost}")
    print(f"processes that ended by themselves: {played.own_ends}")
    print(f"requests passed on and not answered: {len(lost)}, allowed {ALLOWED_LOSSES}")
    return len(lost) > ALLOWED_LOSSES


if __name__ == "__main__":
    run(__file__, play)
