"""A tenant's name takes more than 255 bytes; routers exit once the tenant sends requests."""

import asyncio
import time

from review.rig_2.case import WITH_TROUBLE, desired_state, route, run
from review.rig_2.fleet import Fleet, Router, Sent
from review.rig_2.http1 import Connection, Request

LONG_NAME = (
    "Муниципальное бюджетное общеобразовательное учреждение «Средняя общеобразовательная школа "
    "№ 14 с углублённым изучением отдельных предметов» городского округа"
)
SHORT_NAME = "МБОУ «Средняя общеобразовательная школа № 14»"
KEY = "school-key"
ROUTERS = 3
WORKERS = 8
"""Clients of another tenant with a connection of their own at each router."""
WORK_S = 0.15
BEGIN_S = 6.0
INTERVAL_S = 0.25
LENGTH_S = 24.0
RESTART_S = 1.0
"""Delay with which the platform starts a process again that has ended by itself."""
ALLOWED_LOSSES = 3
IN_TOUCH_S = 3.0


def order() -> Request:
    """Return an unsafe request of another tenant."""
    headers = {"Host": "x.example", "X-Deadline-Ms": "2500", "X-Credential": "bystander-key"}
    return Request("POST", "/app/1", headers, b"order")


def generation() -> Request:
    """Return a request of the tenant with the long name."""
    headers = {
        "Host": "x.example",
        "X-Deadline-Ms": "6000",
        "X-Credential": KEY,
        "X-Model": "m",
        "X-Token-Count": "120,80",
        "X-Prompt-Prefix": "5c1e07a2:60,91bd3f06:60",
    }
    return Request("POST", "/llm/stream", headers, b"prompt")


def configuration() -> dict[str, object]:
    """Return the desired state, the same from the start to the end."""
    routes = [
        route("llm", "llm", "streaming"),
        route("app", "app", "unsafe", timeout_ms=3000),
    ]
    name = LONG_NAME if WITH_TROUBLE else SHORT_NAME
    state = desired_state(routes, {"bystander": 1_000_000, name: 1_000_000})
    state["tenants"][1]["api_keys"] = [KEY]
    return state


class Play:
    """One play, in which no signals are sent."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.began = time.monotonic()
        self.own_ends: dict[str, int] = {}
        self.first_end_at: dict[str, float] = {}

    @property
    def is_over(self) -> bool:
        """Whether clients stop."""
        return time.monotonic() - self.began > LENGTH_S

    async def restart_ended(self, router: Router) -> None:
        """Start a process again whenever it ends by itself."""
        while True:
            status = await router.wait()
            if self.is_over:
                return
            self.first_end_at.setdefault(router.name, time.monotonic())
            self.own_ends[router.name] = self.own_ends.get(router.name, 0) + 1
            self.fleet.note(f"{router.name} ended by itself with status {status}")
            await asyncio.sleep(RESTART_S)
            await router.start()

    async def work(self, router: Router) -> None:
        """Send the other tenant's requests one after another over a kept connection."""
        connection: Connection | None = None
        while not self.is_over:
            try:
                if connection is None or not connection.usable:
                    connection = await Connection.open(router.front)
                await self.fleet.call(router, connection, order(), 2.5)
                await asyncio.sleep(0.02)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)

    async def generate(self) -> None:
        """Send generations to the routers in turn."""
        await asyncio.sleep(BEGIN_S)
        number = 0
        while not self.is_over:
            number += 1
            router = self.fleet.routers[number % ROUTERS]
            try:
                connection = await Connection.open(router.front)
                await self.fleet.call(router, connection, generation(), 6.0)
                connection.close()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(INTERVAL_S)

    def losses(self) -> list[Sent]:
        """Return the requests of kept connections that ran and got no answer.

        Only those to the first process of each router, which had run undisturbed for 10 s.
        """
        ran = {run.attempt for run in self.fleet.runs if not run.rejected}
        return [
            sent
            for sent in self.fleet.sent
            if sent.kept
            and sent.sent < self.first_end_at.get(sent.router, 0.0)
            and sent.attempt in ran
            and sent.response
            and not sent.response.status
        ]


async def play(fleet: Fleet) -> bool:
    """Play the case; return whether requests were lost."""
    fleet.store.put("keyed.op", "config", configuration())
    for service in ("llm", "llm", "app", "app", "app"):
        await fleet.add_engine(service, work_s=WORK_S)
    for _ in range(ROUTERS):
        await fleet.add_router().start()
    await fleet.wait_ready()
    await asyncio.sleep(IN_TOUCH_S + 1.0)
    played = Play(fleet)
    watchers = [asyncio.create_task(played.restart_ended(router)) for router in fleet.routers]
    workers = [played.work(router) for router in fleet.routers for _ in range(WORKERS)]
    await asyncio.gather(played.generate(), *workers)
    for watcher in watchers:
        watcher.cancel()
    lost = len(played.losses())
    served = sum(run.path == "/llm/stream" for run in fleet.runs)
    result = (
        f"processes that ended by themselves: {played.own_ends}; requests passed on and not "
        f"answered: {lost}, allowed {ALLOWED_LOSSES}; generations run: {served}"
    )
    fleet.note(result)
    print(result)
    return lost > ALLOWED_LOSSES


if __name__ == "__main__":
    run(__file__, play)
