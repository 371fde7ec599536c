"""Advertised limits in the schedulers of a fleet: they are respected, used and ended."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import pytest
import trio

from railtide.lanes.errors import DeadlineTooNear, LaneError, NoUpstream
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import PoolScheduler, Slot, WaitingRequest
from railtide.membership.instances import Instance
from railtide.membership.router_selection import RouterTraffic
from railtide.upstreams.advertised_limit import UPDATE_LAG_S, LimitReport, LimitUpdate
from railtide.upstreams.balancing import Affinity, PrefixAffinity, TwoChoices
from railtide.upstreams.limit_shares import (
    PROBE_AFTER_S,
    PROBE_STAGGER_S,
    LimitShares,
    limit_routers,
)

WINDOW_S = 4.0
COUNT_AFTER_S = 3.0
"""Time after a limit is first advertised from which on arrivals count against it."""
NOTICE_GRACE_S = 0.5
"""Time after an answer with a limit from which on its router must respect the limit."""


def allowed(per_s: float) -> float:
    """Return the required upper bound of arrivals within a window."""
    return 1.5 * WINDOW_S * per_s + 5


@dataclass
class Engine:
    """An upstream that may advertise a limit, with the arrivals at it."""

    name: str
    limit: float = math.inf
    first_advertised_at: float = math.inf
    lost_share: float = 0.0
    slowest_s: float = 0.3
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    notified_at_by_router: dict[str, float] = field(default_factory=dict)

    def advertise(self, limit: float) -> None:
        """Advertise another limit from now on; infinite for none."""
        self.limit = limit
        if math.isfinite(limit):
            self.first_advertised_at = min(self.first_advertised_at, trio.current_time())
        else:
            self.first_advertised_at = math.inf
            self.notified_at_by_router.clear()

    def counted(self) -> list[float]:
        """Return the times of the arrivals that count against the limit."""
        counted_from = self.first_advertised_at + COUNT_AFTER_S
        return [
            at
            for at, router in self.arrivals
            if at
            >= max(counted_from, self.notified_at_by_router.get(router, math.inf) + NOTICE_GRACE_S)
        ]

    def most_in_a_window(self) -> int:
        """Return the maximum number of counted arrivals within one window."""
        times = self.counted()
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


class Router:
    """One router's scheduler, and its view of the fleet."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.traffic = fleet.traffic()
        self.scheduler = PoolScheduler(
            PrefixAffinity(TwoChoices(Random(name))), urgent_share=0, trusts_list=True
        )
        shares = LimitShares(name, lambda: self.traffic)
        self.scheduler.set_limit_shares(shares)
        instances = [
            Instance(engine, engine, f"{engine}:1", "a", "engine", "p", 24)
            for engine in fleet.engine_by_name
        ]
        self.scheduler.set_upstreams(instances)


class Fleet:
    """Routers and engines on a virtual clock."""

    def __init__(self, routers: int, named: int, engines: int, rng: Random) -> None:
        self.rng = rng
        self.names = [f"r{n}" for n in range(routers)]
        self.named = self.names[:named]
        self.engine_by_name = {f"e{n}": Engine(f"e{n}") for n in range(engines)}
        self.routers = [Router(name, self) for name in self.names]
        self.served = 0
        self.refused_after: list[float] = []
        self.retry_afters: list[float] = []

    async def serve(self, router: Router, key: str = "", goal_s: float = 0.5) -> bool:
        """Run a request, with one retry if its answer is lost; return whether it was served."""
        now = trio.current_time()
        waiting = WaitingRequest("a", Urgency.BULK, 1, 1, now + 5, Affinity(key), now + goal_s)
        try:
            slot = await router.scheduler.acquire(waiting)
            if not await self._run(router, slot):
                tried = slot.upstream
                router.scheduler.release(slot)
                slot = await router.scheduler.reacquire(waiting, tried)
                await self._run(router, slot)
        except LaneError as err:
            self.refused_after.append(trio.current_time() - now)
            self.retry_afters.append(err.retry_after)
            return False
        router.scheduler.release(slot)
        self.served += 1
        return True

    async def _run(self, router: Router, slot: Slot) -> bool:
        """Run a request at an engine; return whether its answer came."""
        name = slot.upstream.instance.name
        engine = self.engine_by_name[name]
        sent_at = trio.current_time()
        engine.arrivals.append((sent_at, router.name))
        advertised = engine.limit
        await trio.sleep(self.rng.uniform(0.05, engine.slowest_s))
        if self.rng.random() < engine.lost_share:
            return False
        if math.isfinite(advertised):
            engine.notified_at_by_router.setdefault(router.name, trio.current_time())
        router.scheduler.notices.apply_limit_report(name, LimitReport(advertised, sent_at))
        await trio.sleep(self.rng.uniform(0.0, 1.0))
        return True

    async def play(self, per_s: float, for_s: float, named_only: bool = False) -> None:
        """Send requests to the routers, most of them to the named ones."""
        ends_at = trio.current_time() + for_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                stays = not named_only and self.rng.random() < 0.1
                names = self.names if stays else self.named
                router = self.routers[self.names.index(self.rng.choice(names))]
                nursery.start_soon(self.serve, router, self.rng.choice(["", "k1", "k2"]))
                await trio.sleep(self.rng.expovariate(per_s))

    async def share_updates(self, max_delay_s: float = 2.0) -> None:
        """Deliver each router's updates to all others once a second, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(1.0)
                for router in self.routers:
                    updates = router.scheduler.notices.limit_updates()
                    after_s = self.rng.uniform(0, max_delay_s)
                    nursery.start_soon(self._deliver, router, updates, after_s)

    async def _deliver(self, sender: Router, updates: list[LimitUpdate], after_s: float) -> None:
        await trio.sleep(after_s)
        for router in self.routers:
            for update in updates if router is not sender else []:
                router.scheduler.notices.apply_limit_update(update, trio.current_time())

    async def change_views(self, named: list[str], within_s: float) -> None:
        """Change the named routers; each router learns of it after a random delay."""
        self.named = named
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                nursery.start_soon(self._learn_view, router, self.rng.uniform(0, within_s))

    async def _learn_view(self, router: Router, after_s: float) -> None:
        await trio.sleep(after_s)
        router.traffic = self.traffic()

    def traffic(self) -> RouterTraffic:
        """Return which routers callers use now."""
        return RouterTraffic(tuple(self.named), tuple(n for n in self.names if n not in self.named))


def waiting_for(goal_s: float, urgency: Urgency = Urgency.BULK) -> WaitingRequest:
    """Return a request that waits for up to `goal_s` seconds."""
    now = trio.current_time()
    return WaitingRequest("a", urgency, 1, 1, now + 60, Affinity(), now + goal_s)


async def _for_a_while(work: Callable[[], Awaitable[None]], for_s: float) -> None:
    with trio.move_on_after(for_s):
        await work()


def used_by(fleet: Fleet, engine: Engine, since: float) -> set[str]:
    """Return the routers that have sent an engine a request since a trio time."""
    return {router for at, router in engine.arrivals if at >= since}


class TestBound:
    @pytest.mark.parametrize("seed", range(24))
    async def test_random_fleets_respect_advertised_limits(self, seed, autojump_clock) -> None:
        rng = Random(seed)
        routers = rng.randint(1, 24)
        named = rng.randint(1, routers)
        fleet = Fleet(routers, named, engines=rng.randint(1, 5), rng=rng)
        limited = list(fleet.engine_by_name.values())[: rng.randint(1, 3)]
        for engine in fleet.engine_by_name.values():
            engine.lost_share = rng.choice([0.0, 0.0, 0.3])
            engine.slowest_s = rng.choice([0.1, 0.4, 3.0])
        await fleet.play(per_s=40, for_s=1.0)
        for engine in limited:
            engine.advertise(round(rng.uniform(0.2, 6.0), 1))
        advertised = [engine.limit for engine in limited]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.play, rng.uniform(5, 80), 25.0)
            if rng.random() < 0.7:
                nursery.start_soon(_for_a_while, fleet.share_updates, rng.uniform(5, 25))
            await trio.sleep(8.0)
            changed = [name for name in fleet.named if name != rng.choice(fleet.named)]
            nursery.start_soon(fleet.change_views, changed or fleet.named, 2.0)
        for engine, per_s in zip(limited, advertised, strict=True):
            assert engine.most_in_a_window() <= allowed(per_s), f"{engine.name} at {per_s}"

    async def test_retries_and_prefix_affinity_respect_the_limit(self, autojump_clock) -> None:
        fleet = Fleet(1, 1, engines=2, rng=Random(1))
        home, other = fleet.engine_by_name.values()
        other.lost_share = 1.0
        home.advertise(1.5)
        await fleet.play(per_s=20, for_s=20.0)
        assert home.most_in_a_window() <= allowed(1.5)

    async def test_lower_limit_is_respected_at_once(self, autojump_clock) -> None:
        fleet = Fleet(3, 3, engines=2, rng=Random(1))
        engine = fleet.engine_by_name["e0"]
        engine.advertise(6.0)
        await fleet.play(per_s=40, for_s=6.0)
        engine.advertise(0.5)
        lowered_at = trio.current_time()
        await fleet.play(per_s=40, for_s=10.0)
        later = [at for at, _ in engine.arrivals if at >= lowered_at + 1.0]
        assert len(later) <= 9 * 0.5 + 3


class TestService:
    async def test_nothing_is_refused_while_others_have_room(self, autojump_clock) -> None:
        fleet = Fleet(7, 3, engines=5, rng=Random(1))
        for name in ("e0", "e1"):
            fleet.engine_by_name[name].advertise(1.5)
        await fleet.play(per_s=40, for_s=20.0)
        assert fleet.refused_after == []

    async def test_limits_of_all_upstreams_are_used_and_the_rest_is_refused_at_once(
        self, autojump_clock
    ) -> None:
        """Five upstreams with a limit of 1.5 requests per second, and four times as many."""
        fleet = Fleet(3, 3, engines=5, rng=Random(1))
        for engine in fleet.engine_by_name.values():
            engine.advertise(1.5)
        await fleet.play(per_s=30, for_s=20.0, named_only=True)
        assert fleet.served >= 0.8 * 5 * 1.5 * 20
        assert sum(after_s < 0.01 for after_s in fleet.refused_after) > 0.8 * len(
            fleet.refused_after
        )
        assert max(fleet.refused_after) <= 0.5
        assert max(fleet.retry_afters) <= 2.0

    async def test_router_without_a_share_refuses_at_once(self, autojump_clock) -> None:
        fleet = Fleet(8, 8, engines=1, rng=Random(1))
        fleet.engine_by_name["e0"].advertise(0.5)
        for router in fleet.routers:
            await fleet.serve(router)
        refused = 0
        for router in fleet.routers:
            waiting = WaitingRequest("a", Urgency.BULK, 1, 1, math.inf, Affinity())
            with trio.move_on_after(0):
                try:
                    await router.scheduler.acquire(waiting)
                except NoUpstream as err:
                    assert err.retry_after <= 1
                    refused += 1
        assert refused == 6


class TestWaiting:
    async def test_new_limit_refuses_waiting_requests_beyond_it_at_once(
        self, autojump_clock
    ) -> None:
        """All slots are in use, and the limit allows two of eight waiting requests in time."""
        fleet = Fleet(1, 1, engines=1, rng=Random(1))
        (router,) = fleet.routers
        scheduler = router.scheduler
        taken = [await scheduler.acquire(waiting_for(30.0)) for _ in range(24)]
        scheduler._mean_service_s = 0.5
        served: list[Urgency] = []
        refused: list[tuple[Urgency, float]] = []

        async def wait(urgency: Urgency) -> None:
            began = trio.current_time()
            try:
                scheduler.release(await scheduler.acquire(waiting_for(2.5, urgency)))
                served.append(urgency)
            except DeadlineTooNear as err:
                assert err.retry_after >= 0.5
                refused.append((urgency, trio.current_time() - began))

        async with trio.open_nursery() as nursery:
            for urgency in (Urgency.URGENT, Urgency.BULK) * 4:
                nursery.start_soon(wait, urgency)
            await trio.sleep(0.1)
            scheduler.notices.apply_limit_report(
                "e0", LimitReport(1.0, sent_at=trio.current_time())
            )
            await trio.lowlevel.checkpoint()
            scheduler.release(taken.pop())
        assert served == [Urgency.URGENT] * 2
        assert sorted(refused) == [(Urgency.URGENT, 0.1)] * 2 + [(Urgency.BULK, 0.1)] * 4

    async def test_waiting_requests_that_another_upstream_can_serve_are_not_refused(
        self, autojump_clock
    ) -> None:
        fleet = Fleet(1, 1, engines=2, rng=Random(1))
        scheduler = fleet.routers[0].scheduler
        taken = [await scheduler.acquire(waiting_for(30.0)) for _ in range(48)]
        scheduler._mean_service_s = 0.5
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(scheduler.acquire, waiting_for(2.0))
            await trio.sleep(0.1)
            scheduler.notices.apply_limit_report(
                "e0", LimitReport(1.0, sent_at=trio.current_time())
            )
            for slot in taken:
                scheduler.release(slot)


class TestRest:
    async def test_rest_of_an_upstream_with_a_limit_is_respected(self, autojump_clock) -> None:
        fleet = Fleet(1, 1, engines=1, rng=Random(1))
        scheduler = fleet.routers[0].scheduler
        engine = fleet.engine_by_name["e0"]
        engine.advertise(4.0)
        await fleet.play(per_s=20, for_s=2.0)
        scheduler.notices.apply_rest("e0", 3.0)
        asked_at = trio.current_time()
        await fleet.play(per_s=20, for_s=5.0)
        assert [at for at, _ in engine.arrivals if at > asked_at][0] >= asked_at + 3.0


class TestEnd:
    async def test_routers_with_a_share_use_the_upstream_again_at_once(
        self, autojump_clock
    ) -> None:
        fleet = Fleet(3, 3, engines=2, rng=Random(1))
        engine = fleet.engine_by_name["e0"]
        engine.advertise(1.0)
        await fleet.play(per_s=30, for_s=5.0)
        ended_at = trio.current_time()
        engine.advertise(math.inf)
        await fleet.play(per_s=30, for_s=8.0)
        assert used_by(fleet, engine, ended_at) == set(fleet.names)
        late = [at for at, _ in engine.arrivals if at >= ended_at + 4]
        assert len(late) >= 0.3 * 30 * 4

    async def test_routers_without_a_share_use_the_upstream_again_by_probing(
        self, autojump_clock
    ) -> None:
        fleet = Fleet(8, 8, engines=2, rng=Random(1))
        engine = fleet.engine_by_name["e0"]
        engine.advertise(1.0)
        await fleet.play(per_s=40, for_s=6.0)
        ended_at = trio.current_time()
        engine.advertise(math.inf)
        await fleet.play(per_s=40, for_s=PROBE_AFTER_S + 5 * PROBE_STAGGER_S + 4)
        assert used_by(fleet, engine, ended_at) == set(fleet.names)

    async def test_updates_let_all_routers_use_the_upstream_again_soon(
        self, autojump_clock
    ) -> None:
        fleet = Fleet(24, 12, engines=3, rng=Random(1))
        engine = fleet.engine_by_name["e0"]
        engine.advertise(1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.share_updates)
            await fleet.play(per_s=60, for_s=6.0)
            ended_at = trio.current_time()
            engine.advertise(math.inf)
            await fleet.play(per_s=120, for_s=UPDATE_LAG_S + 6.0)
            assert used_by(fleet, engine, ended_at) >= set(fleet.named)
            nursery.cancel_scope.cancel()

    async def test_upstream_is_used_again_if_routers_with_a_share_are_idle(
        self, autojump_clock
    ) -> None:
        fleet = Fleet(8, 8, engines=1, rng=Random(1))
        engine = fleet.engine_by_name["e0"]
        engine.advertise(0.5)
        sharing = limit_routers("e0", fleet.names, 0.5)
        others = [router for router in fleet.routers if router.name not in sharing]
        for router in fleet.routers:
            await fleet.serve(router)
        engine.advertise(math.inf)
        ended_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.share_updates)
            while trio.current_time() < ended_at + PROBE_AFTER_S + UPDATE_LAG_S + 6:
                for router in others:
                    nursery.start_soon(fleet.serve, router)
                await trio.sleep(0.2)
            assert used_by(fleet, engine, ended_at) == {router.name for router in others}
            nursery.cancel_scope.cancel()
