"""Brittle upstreams in the schedulers of a fleet: crashes are few, and room is used."""

import os
from random import Random

import pytest
import trio

from railtide.lanes.admission import BlockReason
from railtide.lanes.tests.brittle_fleet import BrittleEngine, BrittleFleet
from railtide.upstreams.brittleness import MAX_HOLD_S, BrittleReport

STABLE_S = 3.0
"""After an upstream first states that it is brittle, until it lets fewer requests wait."""
ROOM_BEFORE = 24
MOVE_INTERVAL_S = 3.0
"""Time after which callers use other routers."""
MAX_PER_S = 150.0
"""Most requests a second of a simulation; upstreams are slower where that is less than the load."""
SEEDS = range(int(os.environ.get("RAILTIDE_BRITTLE_SEEDS", "8")))


def most_crashes(engines: int) -> float:
    """Return the crashes that the platform allows while the upstreams are brittle."""
    return 2 + engines / 10


def drawn_fleet(rng: Random, *, states: bool = True) -> BrittleFleet:
    slots = rng.choice([4, 6, 24, 64])
    count, rejections = rng.randint(3, 12), rng.choice([2, 4, 8, 20])
    engines = [
        BrittleEngine(
            f"e{number}",
            slots,
            ROOM_BEFORE,
            rejections,
            rng,
            service_s=rng.choice([0.025, 0.1, 0.4]),
            states=states,
            reports_load=rng.random() < 0.7,
        )
        for number in range(count)
    ]
    routers = rng.randint(1, 16)
    return BrittleFleet(routers, rng.randint(1, routers), engines, rng)


def slots_per_s(fleet: BrittleFleet) -> float:
    """Return the requests a second that fill all slots."""
    return sum(engine.slots / engine.service_s for engine in fleet.engines)


async def play_brittle(fleet: BrittleFleet, utilization: float, for_s: float = 15.0) -> None:
    """Play a load; the upstreams let hardly any request wait once they have said so for a while."""
    per_s = min(utilization * slots_per_s(fleet), MAX_PER_S)
    scale = per_s / (utilization * slots_per_s(fleet))
    for engine in fleet.engines:
        engine.service_s /= scale
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.restart_crashed)
        async with trio.open_nursery() as playing:
            playing.start_soon(fleet.play, per_s, for_s)
            await trio.sleep(STABLE_S)
            for engine in fleet.engines:
                engine.room = fleet.rng.randint(0, 2)
        nursery.cancel_scope.cancel()


def crashes(fleet: BrittleFleet) -> int:
    return sum(len(engine.crashed_at) for engine in fleet.engines)


class TestCrashes:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("utilization", [0.5, 1.0, 3.0])
    async def test_few_crash_under_any_load(self, seed, utilization, autojump_clock) -> None:
        rng = Random(seed)
        fleet = drawn_fleet(rng)
        if rng.random() < 0.3:
            fleet.cut(share=0.5)
        await play_brittle(fleet, utilization)
        assert crashes(fleet) <= most_crashes(len(fleet.engines))

    @pytest.mark.parametrize("seed", SEEDS)
    async def test_few_crash_while_callers_move(self, seed, autojump_clock) -> None:
        """Guards against slots that one router uses before another one has given them up."""
        fleet = drawn_fleet(Random(seed))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.move_callers, MOVE_INTERVAL_S)
            await play_brittle(fleet, 1.0)
            nursery.cancel_scope.cancel()
        assert crashes(fleet) <= most_crashes(len(fleet.engines))

    async def test_load_crashes_upstreams_that_do_not_say_so(self, autojump_clock) -> None:
        """The load of the test above must be one that crashes them."""
        counts = []
        for seed in SEEDS[:8]:
            fleet = drawn_fleet(Random(seed), states=False)
            await play_brittle(fleet, 3.0)
            counts.append(crashes(fleet) > most_crashes(len(fleet.engines)))
        assert sum(counts) >= 4

    async def test_crash_of_one_does_not_crash_the_others_in_turn(self, autojump_clock) -> None:
        rng = Random(1)
        engines = [BrittleEngine(f"e{n}", 6, 0, 3, rng, service_s=0.05) for n in range(4)]
        fleet = BrittleFleet(4, 3, engines, rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.restart_crashed)
            async with trio.open_nursery() as playing:
                playing.start_soon(fleet.play, 300.0, 20.0)
                await trio.sleep(5.0)
                engines[0].is_up, engines[0].running = False, 0
                engines[0].life += 1
            nursery.cancel_scope.cancel()
        assert crashes(fleet) <= 2


class TestUse:
    @pytest.mark.parametrize("seed", range(8))
    async def test_load_below_the_slots_is_served(self, seed, autojump_clock) -> None:
        """Guards against refusals while upstreams have room."""
        fleet = drawn_fleet(Random(seed))
        for engine in fleet.engines:
            engine.service_s = 0.1
        await play_brittle(fleet, 0.3)
        assert fleet.served >= 0.97 * fleet.sent

    async def test_full_load_uses_most_slots(self, autojump_clock) -> None:
        rng = Random(1)
        engines = [BrittleEngine(f"e{n}", 24, 0, 8, rng) for n in range(4)]
        fleet = BrittleFleet(6, 3, engines, rng)
        await play_brittle(fleet, 1.5)
        assert fleet.served >= 0.7 * 15 * slots_per_s(fleet)


class TestEnd:
    async def test_router_uses_the_waiting_room_again(self, autojump_clock) -> None:
        rng = Random(1)
        engine = BrittleEngine("e0", 6, 24, 4, rng)
        fleet = BrittleFleet(2, 2, [engine], rng)
        scheduler = fleet.schedulers["r0"]
        upstream = scheduler.by_name["e0"]
        brittle = scheduler._upstreams.admission.brittle
        scheduler.notices.apply_brittle_report("e0", BrittleReport(4, 1.0), rejected=True)
        now = trio.current_time()
        assert brittle.max_open(upstream, now) == 3
        assert scheduler.block_reason("e0") is BlockReason.BRITTLE
        scheduler.notices.apply_brittle_report("e0", BrittleReport(None, 2.0), rejected=False)
        assert brittle.max_open(upstream, now) == 6
        assert scheduler.block_reason("e0") is None

    async def test_older_answer_ends_nothing(self, autojump_clock) -> None:
        rng = Random(1)
        fleet = BrittleFleet(1, 1, [BrittleEngine("e0", 6, 24, 4, rng)], rng)
        scheduler = fleet.schedulers["r0"]
        scheduler.notices.apply_brittle_report("e0", BrittleReport(4, 2.0), rejected=False)
        scheduler.notices.apply_brittle_report("e0", BrittleReport(None, 1.0), rejected=False)
        assert scheduler.by_name["e0"].brittleness.per_s == 4

    async def test_stop_after_rejections_is_bounded(self, autojump_clock) -> None:
        rng = Random(1)
        fleet = BrittleFleet(1, 1, [BrittleEngine("e0", 6, 24, 1, rng)], rng)
        scheduler = fleet.schedulers["r0"]
        for _ in range(50):
            scheduler.notices.apply_brittle_report("e0", BrittleReport(1, 1.0), rejected=True)
        held_for_s = scheduler.by_name["e0"].brittleness.held_until - trio.current_time()
        assert held_for_s <= MAX_HOLD_S

    async def test_new_incarnation_counts_as_brittle_like_its_pool(self, autojump_clock) -> None:
        rng = Random(1)
        engines = [BrittleEngine(f"e{n}", 6, 24, 4, rng) for n in range(2)]
        fleet = BrittleFleet(2, 2, engines, rng)
        scheduler = fleet.schedulers["r0"]
        scheduler.notices.apply_brittle_report("e0", BrittleReport(4, 1.0), rejected=False)
        engines[1].life += 1
        fleet._list()
        brittle = scheduler._upstreams.admission.brittle
        assert brittle.max_open(scheduler.by_name["e1"], trio.current_time()) == 3
