"""Simulation of several routers before upstreams that crash when they reject too many requests."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from railtide.lanes.errors import LaneError
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import PoolScheduler, Slot, WaitingRequest
from railtide.membership.instances import Instance
from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.balancing import Affinity, PrefixAffinity, TwoChoices
from railtide.upstreams.brittleness import BrittleReport, BrittleShares
from railtide.upstreams.upstream_state import LoadReport

__all__ = ["BrittleEngine", "BrittleFleet"]

LATENCY_S = 0.002
RESTART_S = 3.0
LISTING_LAG_S = 0.5
"""Time until routers know that an upstream is down, or up again."""
MAX_ROSTER_LAG_S = 1.2
"""Longest time until a router knows which routers callers use: records arrive once a second."""


@dataclass
class BrittleEngine:
    """An upstream with slots and room for some that wait, which rejects all others.

    Attributes
    ----------
    rejections_per_s : int
        More rejections within a second crash it.
    states : bool
        Whether its answers state that.
    crashed_at : list of float
        Trio times of its crashes.
    """

    name: str
    slots: int
    room: int
    rejections_per_s: int
    rng: Random
    service_s: float = 0.1
    states: bool = True
    reports_load: bool = True
    running: int = 0
    waiting: int = 0
    life: int = 0
    is_up: bool = True
    crashed_at: list[float] = field(default_factory=list)
    rejected_at: deque[float] = field(default_factory=deque)
    _freed: trio.Event = field(default_factory=trio.Event)

    @property
    def instance(self) -> Instance:
        """Its present incarnation."""
        return Instance(
            self.name, f"{self.name}/{self.life}", "h:1", "a", "engine", "p", self.slots
        )

    def report(self) -> LoadReport | None:
        """Return what an answer reports of its load."""
        if not self.reports_load:
            return None
        return LoadReport(self.running, self.waiting, False, trio.current_time())

    async def run(self, on_start: Callable[[], None]) -> bool | None:
        """Run a request; return True if it was answered, False if rejected, None if lost."""
        life = self.life
        if not self.is_up:
            return None
        if self.running >= self.slots and self.waiting >= self.room:
            self._reject()
            return False
        self.waiting += 1
        while self.running >= self.slots and life == self.life:
            freed = self._freed
            await freed.wait()
        if life != self.life:
            return None
        self.waiting -= 1
        self.running += 1
        on_start()
        await trio.sleep(self.rng.uniform(0.5, 1.5) * self.service_s)
        if life != self.life:
            return None
        self.running -= 1
        self._wake()
        return True

    def _wake(self) -> None:
        self._freed.set()
        self._freed = trio.Event()

    def _reject(self) -> None:
        now = trio.current_time()
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - 1:
            self.rejected_at.popleft()
        if len(self.rejected_at) > self.rejections_per_s:
            self.crashed_at.append(now)
            self.is_up = False
            self.life += 1
            self.running = self.waiting = 0
            self.rejected_at.clear()
            self._wake()


class BrittleFleet:
    """Routers and brittle upstreams on a virtual clock.

    Parameters
    ----------
    routers, active : int
        Routers, and how many of them callers use.
    engines : list of BrittleEngine
    rng : random.Random
    """

    def __init__(
        self, routers: int, active: int, engines: list[BrittleEngine], rng: Random
    ) -> None:
        self.rng = rng
        self.engines = engines
        self.names = [f"r{number}" for number in range(routers)]
        self.traffic = RouterTraffic(tuple(self.names[:active]), tuple(self.names[active:]))
        self.known_traffic = dict.fromkeys(self.names, self.traffic)
        self.unreached: dict[str, set[str]] = {}
        self.sent = self.served = self.refused = 0
        self.schedulers = {name: self._scheduler(name) for name in self.names}
        self._list()

    def _scheduler(self, name: str) -> PoolScheduler:
        policy = PrefixAffinity(TwoChoices(Random(name)))
        scheduler = PoolScheduler(policy, urgent_share=0, trusts_list=True)
        scheduler.set_brittle_shares(BrittleShares(name, lambda: self.known_traffic[name]))
        return scheduler

    def _list(self) -> None:
        for name, scheduler in self.schedulers.items():
            unreached = self.unreached.get(name, set())
            up = [e.instance for e in self.engines if e.is_up and e.name not in unreached]
            scheduler.set_upstreams(up)

    def cut(self, share: float) -> None:
        """Have some routers reach only half of the upstreams."""
        names = [engine.name for engine in self.engines]
        for router in self.rng.sample(self.names, int(share * len(self.names))):
            self.unreached[router] = set(self.rng.sample(names, len(names) // 2))
        self._list()

    async def move_callers(self, interval_s: float) -> None:
        """Have callers use other routers from time to time, for ever; routers know it later."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(interval_s)
                active = sorted(self.rng.sample(self.names, self.rng.randint(1, len(self.names))))
                idle = [name for name in self.names if name not in active]
                self.traffic = RouterTraffic(tuple(active), tuple(idle))
                for name in self.names:
                    nursery.start_soon(self._learn_traffic, name, self.traffic)

    async def _learn_traffic(self, name: str, traffic: RouterTraffic) -> None:
        await trio.sleep(self.rng.uniform(0.0, MAX_ROSTER_LAG_S))
        self.known_traffic[name] = traffic

    async def restart_crashed(self) -> None:
        """Restart crashed upstreams after a while, for ever."""
        handled: set[tuple[str, int]] = set()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(0.05)
                for engine in self.engines:
                    if not engine.is_up and (engine.name, engine.life) not in handled:
                        handled.add((engine.name, engine.life))
                        nursery.start_soon(self._restart, engine)

    async def _restart(self, engine: BrittleEngine) -> None:
        await trio.sleep(LISTING_LAG_S)
        self._list()
        await trio.sleep(RESTART_S)
        engine.is_up = True
        await trio.sleep(LISTING_LAG_S)
        self._list()

    async def play(self, per_s: float, for_s: float) -> None:
        """Send requests, most of them to the routers that callers use."""
        ends_at = trio.current_time() + for_s
        weight_by_name = {name: self.rng.uniform(0.2, 1.0) for name in self.names}
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                weights = [weight_by_name[name] for name in self.traffic.active]
                router = self.rng.choices(self.traffic.active, weights)[0]
                if self.traffic.idle and self.rng.random() < 0.05:
                    router = self.rng.choice(self.traffic.idle)
                nursery.start_soon(self.serve, router)
                await trio.sleep(self.rng.expovariate(per_s))

    async def serve(self, router: str, goal_s: float = 0.5) -> None:
        """Run one request, with up to two retries after rejections."""
        self.sent += 1
        scheduler = self.schedulers[router]
        now = trio.current_time()
        waiting = WaitingRequest("a", Urgency.BULK, 1, 1, now + 5, Affinity(), now + goal_s)
        try:
            slot = await scheduler.acquire(waiting)
            for _ in range(3):
                if await self._send(scheduler, slot):
                    self.served += 1
                    scheduler.release(slot)
                    return
                scheduler.release(slot)
                slot = await scheduler.reacquire(waiting, slot.upstream)
            scheduler.release(slot)
        except LaneError:
            self.refused += 1

    async def _send(self, scheduler: PoolScheduler, slot: Slot) -> bool:
        """Send a request; its router learns what the upstream states as the answer begins."""
        name = slot.upstream.instance.name
        engine = next(engine for engine in self.engines if engine.name == name)
        sent_at = trio.current_time()
        incarnation = slot.upstream.instance.incarnation

        def notice(*, rejected: bool) -> None:
            known = scheduler.by_name.get(name)
            if known is None or known.instance.incarnation != incarnation:
                return
            if report := engine.report():
                scheduler.apply_load_report(name, report)
            stated = engine.rejections_per_s if engine.states else None
            scheduler.notices.apply_brittle_report(name, BrittleReport(stated, sent_at), rejected)

        def start() -> None:
            scheduler.note_answer_started(slot)
            notice(rejected=False)

        await trio.sleep(LATENCY_S)
        outcome = await engine.run(start)
        await trio.sleep(LATENCY_S)
        if outcome is False:
            notice(rejected=True)
        return bool(outcome)
