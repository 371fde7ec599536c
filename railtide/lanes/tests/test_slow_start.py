"""Slow start in the schedulers of a fleet: the rate at cold upstreams is bounded and used."""

import math
from dataclasses import replace
from random import Random

import pytest
import trio
from msgspec.structs import replace as replaced

from railtide.lanes.errors import DeadlineTooNear, LaneError, NoUpstream
from railtide.lanes.queue import Urgency
from railtide.lanes.scheduler import PoolScheduler, WaitingRequest
from railtide.membership.instances import Instance
from railtide.upstreams.balancing import Affinity, PrefixAffinity, TwoChoices
from railtide.upstreams.slow_start import SlowStart, SlowStartShares
from railtide.upstreams.upstream_state import LoadReport

SLOW_START = SlowStart(per_s=7.7, for_s=3.0)
MAX_ARRIVALS = 7.7 * 1.5 + 5
"""Required upper bound of arrivals within a second at a cold engine."""
NEVER_WARM = 1e6


def engine(name: str, domain: str = "a", warm_at: float = 0.0) -> Instance:
    made = Instance(name, name, f"{name}:1", domain, "engine", "p", 24)
    return replaced(made, warm_at=warm_at)


class Fleet:
    """The schedulers of some routers over the same engines; records arrivals by engine."""

    def __init__(self, routers: int, engines: list[Instance]) -> None:
        self.names = [f"r{n}" for n in range(routers)]
        self.arrived_at: dict[str, list[float]] = {}
        self.refused: list[float] = []
        self.schedulers = [self._scheduler(name, engines) for name in self.names]

    def _scheduler(self, name: str, engines: list[Instance]) -> PoolScheduler:
        choice = PrefixAffinity(TwoChoices(Random(name)))
        made = PoolScheduler(choice, urgent_share=0, trusts_list=True)
        shares = SlowStartShares(name, lambda: self.names)
        made.set_slow_start(SLOW_START, shares.interval_s)
        made.set_upstreams(engines)
        return made

    async def serve(self, scheduler: PoolScheduler, goal_s: float = 0.5) -> bool:
        """Run a request that takes 0.2 s; return whether it got a slot."""
        now = trio.current_time()
        waiting = WaitingRequest("a", Urgency.BULK, 1, 1, now + 5, Affinity(), now + goal_s)
        try:
            slot = await scheduler.acquire(waiting)
        except LaneError:
            self.refused.append(trio.current_time() - now)
            return False
        self.arrived_at.setdefault(slot.upstream.instance.name, []).append(trio.current_time())
        await trio.sleep(0.2)
        scheduler.release(slot)
        return True

    def most_in_a_second(self, name: str) -> int:
        times = self.arrived_at.get(name, [])
        return max((sum(at <= t < at + 1 for t in times) for at in times), default=0)


async def play(fleet: Fleet, per_s: float, for_s: float, seed: int = 1) -> None:
    rng = Random(seed)
    async with trio.open_nursery() as nursery:
        until = trio.current_time() + for_s
        while trio.current_time() < until:
            nursery.start_soon(fleet.serve, rng.choice(fleet.schedulers))
            await trio.sleep(rng.expovariate(per_s))


class TestOneColdAmongWarm:
    async def test_least_loaded_cold_engine_is_not_overloaded(self, autojump_clock) -> None:
        """Twenty routers, nine busy engines, and a cold one that returns without load."""
        warm = [engine(f"e{n}") for n in range(9)]
        fleet = Fleet(20, [*warm, engine("cold", warm_at=NEVER_WARM)])
        for scheduler in fleet.schedulers:
            for name in scheduler.by_name:
                busy = 0 if name == "cold" else 12
                scheduler.apply_load_report(
                    name, LoadReport(busy, 0, False, trio.current_time() + 9)
                )
        await play(fleet, per_s=150, for_s=8)
        assert fleet.refused == []
        assert fleet.most_in_a_second("cold") <= 7.7
        assert len(fleet.arrived_at["cold"]) >= 0.5 * 7 * 8  # it must warm up

    async def test_without_slow_start_it_is_overloaded(self, autojump_clock) -> None:
        """The same without slow start: the failure that the test above guards against."""
        warm = [engine(f"e{n}") for n in range(9)]
        fleet = Fleet(20, [*warm, engine("cold", warm_at=NEVER_WARM)])
        for scheduler in fleet.schedulers:
            scheduler.set_slow_start(SlowStart(), lambda name, per_s: 0.0)
            for name in scheduler.by_name:
                busy = 0 if name == "cold" else 12
                scheduler.apply_load_report(
                    name, LoadReport(busy, 0, False, trio.current_time() + 9)
                )
        await play(fleet, per_s=150, for_s=8)
        assert fleet.most_in_a_second("cold") > MAX_ARRIVALS

    async def test_retries_and_prefix_affinity_respect_the_bound(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1"), engine("cold", "b", warm_at=NEVER_WARM)])
        (scheduler,) = fleet.schedulers
        sent = 0
        for _ in range(60):
            waiting = WaitingRequest("a", Urgency.BULK, 1, 1, math.inf, Affinity("k"), math.inf)
            slot = await scheduler.acquire(waiting)
            again = await scheduler.reacquire(waiting, scheduler.by_name["e1"])
            sent += sum(s.upstream.instance.name == "cold" for s in (slot, again))
            scheduler.release(slot)
            scheduler.release(again)
        assert sent <= 8


class TestAllCold:
    async def test_requests_beyond_the_rate_are_refused_at_once(self, autojump_clock) -> None:
        """Ten engines that can serve 7.7 requests per second each, and three times as many."""
        fleet = Fleet(12, [engine(f"e{n}", warm_at=NEVER_WARM) for n in range(10)])
        await play(fleet, per_s=230, for_s=10)
        served = sum(len(times) for times in fleet.arrived_at.values())
        assert served >= 0.8 * 7 * 10 * 10
        assert max(fleet.most_in_a_second(name) for name in fleet.arrived_at) <= 7.7
        assert sum(after_s == 0 for after_s in fleet.refused) > 0.8 * len(fleet.refused)
        assert max(fleet.refused) <= 0.5

    async def test_request_waits_for_the_interval_if_its_goal_allows(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1", warm_at=NEVER_WARM)])
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(fleet.serve, fleet.schedulers[0])
        assert fleet.refused == []
        first, second, third = fleet.arrived_at["e1"]
        assert second - first >= 1 / 7.7 and third - second >= 1 / 7.7

    async def test_waiting_requests_are_served_when_the_warm_up_ends(self, autojump_clock) -> None:
        slow = replace(SLOW_START, per_s=0.1)
        fleet = Fleet(1, [engine("e1", warm_at=trio.current_time() + 1)])
        (scheduler,) = fleet.schedulers
        scheduler.set_slow_start(slow, lambda name, per_s: 1 / per_s)
        await fleet.serve(scheduler)
        began = trio.current_time()
        assert await fleet.serve(scheduler, goal_s=math.inf)
        assert fleet.arrived_at["e1"][1] - began == pytest.approx(0.8)

    async def test_router_without_a_share_refuses_at_once(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1", warm_at=NEVER_WARM)])
        (scheduler,) = fleet.schedulers
        scheduler.set_slow_start(SLOW_START, lambda name, per_s: math.inf)
        waiting = WaitingRequest("a", Urgency.BULK, 1, 1, math.inf, Affinity())
        with pytest.raises(NoUpstream) as refused:
            await scheduler.acquire(waiting)
        assert refused.value.retry_after <= 1

    async def test_refused_request_gets_a_retry_after(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1", warm_at=NEVER_WARM)])
        (scheduler,) = fleet.schedulers
        scheduler.set_slow_start(SlowStart(0.5, 3.0), lambda name, per_s: 2.0)
        await fleet.serve(scheduler)
        now = trio.current_time()
        waiting = WaitingRequest("a", Urgency.BULK, 1, 1, now + 5, Affinity(), now + 0.5)
        with pytest.raises(DeadlineTooNear) as refused:
            await scheduler.acquire(waiting)
        assert refused.value.retry_after == pytest.approx(1.8)


class TestColdUpstreams:
    async def test_upstream_listed_after_the_first_list_is_cold(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1")])
        (scheduler,) = fleet.schedulers
        scheduler.set_upstreams([engine("e1"), engine("e2")])
        now = trio.current_time()
        assert scheduler.by_name["e1"].cold_until <= now
        assert scheduler.by_name["e2"].cold_until == now + 3

    async def test_upstreams_of_a_domain_are_cold_after_its_drain(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1", "a"), engine("e2", "b")])
        (scheduler,) = fleet.schedulers
        scheduler.set_drained(frozenset({"a"}))
        await trio.sleep(5)
        scheduler.set_drained(frozenset())
        now = trio.current_time()
        assert scheduler.by_name["e1"].cold_until == now + 3
        assert scheduler.by_name["e2"].cold_until <= now

    async def test_pool_without_slow_start_has_no_cold_upstreams(self, autojump_clock) -> None:
        fleet = Fleet(1, [engine("e1", warm_at=NEVER_WARM)])
        (scheduler,) = fleet.schedulers
        scheduler.set_slow_start(SlowStart(), lambda name, per_s: math.inf)
        for _ in range(24):
            assert await fleet.serve(scheduler)
