"""Tests of engines whose entries are removed while routers can't read the store.

A missing entry may belong to an engine that left, or may merely have expired during an outage.
Routers sent requests for two more seconds from the moment at which they read that it was missing.
"""

from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import msgspec
import pytest
import trio

from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.edge.tests.rollback_fleet import RouterStore
from railtide.lanes.errors import LaneError
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import WaitingRequest
from railtide.membership.identity import Identity
from railtide.platform.desired_state import PlatformSources
from railtide.platform.tests.test_end_to_end import desired_state
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import engine_entry
from railtide.upstreams.balancing import Affinity
from tests.matrix.schedule import fix_schedule

DRAIN_S = 2.0
"""Time after the store's acknowledgement of a departure until which requests may arrive: the
shortest that deployments state."""
STABLE_S = 3.0
"""Time without a disturbance after which the bound holds for a router: likewise."""
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
SEND_INTERVAL_S = 0.05
TOPIC = "keyed.servers"


class Disturbances:
    """The periods in which something was disturbed."""

    def __init__(self) -> None:
        self._periods: list[list[float]] = []

    @contextmanager
    def during(self):
        period = [trio.current_time(), float("inf")]
        self._periods.append(period)
        try:
            yield
        finally:
            period[1] = trio.current_time()

    def is_calm_at(self, at: float) -> bool:
        """Return whether there was no disturbance in the last `STABLE_S`."""
        return not any(begin <= at and at - STABLE_S < end for begin, end in self._periods)


@dataclass
class Router:
    """A router with its own connection to the store, and the requests that it would send."""

    node: EdgeNode
    store: RouterStore
    sent: list[tuple[float, str]] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    disturbances: Disturbances = field(default_factory=Disturbances)

    async def send_requests(self) -> None:
        while True:
            await trio.sleep(SEND_INTERVAL_S)
            now = trio.current_time()
            request = WaitingRequest("t", Urgency.BULK, 1, 1, now + 1.0, Affinity())
            try:
                scheduler = self.node.schedulers_by_pool["s"]
                slot = await scheduler.acquire(request)
            except (KeyError, LaneError):
                self.refused.append(now)
                continue
            self.sent.append((now, slot.upstream.instance.name))
            scheduler.release(slot)

    async def cut(self, for_s: float) -> None:
        """Cut the router's connection to the store."""
        with self.disturbances.during():
            self.store.cut = True
            try:
                await trio.sleep(for_s)
            finally:
                self.store.cut = False


class Fleet:
    """Routers and the entries of engines in one store.

    Attributes
    ----------
    left_at : dict of str to float
        When the store acknowledged the departure of each engine that left.
    """

    def __init__(self, nursery: trio.Nursery, rng: Random, routers: int, engines: int) -> None:
        self.memory = MemoryStore(era=1)
        self.memory.delay_s = 0.004
        self.memory.put("keyed.op", "config", desired_state())
        self.nursery = nursery
        self.rng = rng
        self.names = [f"e{number}" for number in range(engines)]
        self.left_at: dict[str, float] = {}
        self.disturbances = Disturbances()
        self._seq = 0
        for name in self.names:
            nursery.start_soon(self._write_heartbeats, name, rng.uniform(0, HEARTBEAT_S))
        self.routers = [self._start_router(number) for number in range(routers)]

    def _start_router(self, number: int) -> Router:
        store = RouterStore(self.memory)
        address = f"10.0.0.{number + 1}:80"
        identity = Identity(f"i{number}", f"z{number}", address, f"life{number}")
        node = EdgeNode(
            identity, store, PlatformSources(), PlatformUpstreams(), EdgeOptions(), Random(number)
        )
        router = Router(node, store)
        self.nursery.start_soon(node.run)
        self.nursery.start_soon(router.send_requests)
        return router

    def write(self, name: str, state: str = "ready") -> None:
        """Write an engine's entry, unless the store is down."""
        if self.memory.down:
            return
        self._seq += 1
        number = self.names.index(name) + 1
        entry = engine_entry(f"10.1.0.{number}:80") | {"seq": self._seq, "state": state}
        self.memory.put(TOPIC, name, msgspec.json.encode(entry))

    async def _write_heartbeats(self, name: str, after_s: float) -> None:
        self.write(name)
        await trio.sleep(after_s)
        while name not in self.left_at:
            self.write(name)
            await trio.sleep(HEARTBEAT_S)

    async def leave(self, name: str, is_announced: bool) -> None:
        """Have an engine leave; its departure is acknowledged at once."""
        self.left_at[name] = trio.current_time()
        if is_announced:
            self.write(name, "draining")
            await trio.sleep(DRAIN_S)
        self.memory.put(TOPIC, name, b"")

    async def outage(self, for_s: float, loses_entries: bool) -> None:
        """Take the store down; entries that are not renewed may expire meanwhile."""
        with self.disturbances.during():
            self.memory.down = True
            try:
                await trio.sleep(for_s)
                if loses_entries and for_s >= EXPIRY_S:
                    for name in self.names:
                        self.memory.put(TOPIC, name, b"")
            finally:
                self.memory.down = False

    async def compact(self) -> None:
        """Drop the history of the engines' entries."""
        with self.disturbances.during():
            self.memory.topic(TOPIC).compact()

    def late_requests(self) -> list[str]:
        """Return a line for each request that a calm router sent to an engine that had left."""
        return [
            f"{router.node.identity.instance} sent to {name} {at - self.left_at[name]:.2f} s "
            "after the acknowledgement of its departure"
            for router in self.routers
            for at, name in router.sent
            if name in self.left_at
            and at > self.left_at[name] + DRAIN_S
            and router.disturbances.is_calm_at(at)
            and self.disturbances.is_calm_at(at)
        ]

    def refusals(self, since: float) -> int:
        """Return how many requests were refused after a trio time."""
        return sum(at >= since for router in self.routers for at in router.refused)


async def run_fleet(
    seed: int, routers: int, engines: int, play: Callable, for_s: float = 20.0
) -> Fleet:
    """Run a fleet through the disturbances that `play` makes, and a calm period after them."""
    fix_schedule(seed)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, Random(f"departures {seed}"), routers, engines)
        await trio.sleep(8.0)
        served_from = trio.current_time()
        with trio.move_on_after(for_s):
            async with trio.open_nursery() as disturbances:
                disturbances.start_soon(play, fleet, disturbances)
                await trio.sleep_forever()
        await trio.sleep(8.0)
        nursery.cancel_scope.cancel()
    assert fleet.refusals(served_from) == 0
    return fleet


class TestRemovedDuringACut:
    @pytest.mark.parametrize("cut_s", [1.3, 2.2, 4.1, 4.5, 4.9, 5.3, 5.7, 8.1])
    async def test_router_that_reads_late_sends_no_request_to_a_removed_engine(
        self, autojump_clock, cut_s: float
    ) -> None:
        async def play(fleet: Fleet, nursery: trio.Nursery) -> None:
            nursery.start_soon(fleet.routers[0].cut, cut_s)
            await trio.sleep(cut_s - 0.2)
            await fleet.leave("e1", is_announced=False)

        fleet = await run_fleet(1, routers=1, engines=4, play=play)
        assert not fleet.late_requests()

    async def test_entries_that_expired_with_the_store_cause_no_refusal(
        self, autojump_clock
    ) -> None:
        async def play(fleet: Fleet, nursery: trio.Nursery) -> None:
            await fleet.outage(6.0, loses_entries=True)

        fleet = await run_fleet(2, routers=2, engines=4, play=play)
        last_s = trio.current_time() - 2.0
        used = {name for router in fleet.routers for at, name in router.sent if at > last_s}
        assert used == set(fleet.names)

    @pytest.mark.parametrize("outage_s", [4.0, 4.3, 4.6, 4.9, 5.2])
    async def test_store_that_is_lost_again_after_its_return_causes_no_refusal(
        self, autojump_clock, outage_s: float
    ) -> None:
        async def play(fleet: Fleet, nursery: trio.Nursery) -> None:
            await fleet.outage(outage_s, loses_entries=True)
            while not fleet.routers[0].node._upstream_feed.reachable:
                await trio.sleep(0.01)
            await fleet.routers[0].cut(5.0)

        await run_fleet(3, routers=1, engines=1, play=play)


async def play_drawn_disturbances(fleet: Fleet, nursery: trio.Nursery) -> None:
    """Cut routers, take the store down, drop its history, and let a third of the engines leave."""
    rng = fleet.rng
    leaving = rng.sample(fleet.names, len(fleet.names) // 3)

    async def leave(name: str) -> None:
        await trio.sleep(rng.uniform(0, 16))
        while fleet.memory.down or not fleet.disturbances.is_calm_at(trio.current_time()):
            await trio.sleep(0.1)
        await fleet.leave(name, is_announced=rng.random() < 0.5)

    async def cut(router: Router) -> None:
        while True:
            await trio.sleep(rng.uniform(0, 6))
            await router.cut(rng.uniform(0.3, 8.0))

    async def disturb_store() -> None:
        await trio.sleep(rng.uniform(0, 5))
        if rng.random() < 0.5:
            await fleet.outage(rng.uniform(0.5, 6.0), rng.random() < 0.5)
        if rng.random() < 0.5:
            await fleet.compact()

    for name in leaving:
        nursery.start_soon(leave, name)
    for router in fleet.routers:
        nursery.start_soon(cut, router)
    nursery.start_soon(disturb_store)


class TestDrawnDisturbances:
    @pytest.mark.parametrize("seed", range(24))
    async def test_calm_router_sends_no_request_to_an_engine_that_left(
        self, autojump_clock, seed: int
    ) -> None:
        rng = Random(seed)
        routers, engines = rng.randint(1, 3), rng.randint(3, 9)
        fleet = await run_fleet(seed, routers, engines, play_drawn_disturbances)
        assert not fleet.late_requests()
