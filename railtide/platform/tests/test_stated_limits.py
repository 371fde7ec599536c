"""Limits that engines state in their answers, over the whole path.

Two engines in need stated 1.5 and 1.3 requests a second, and three seconds later got 30 and 23
within four seconds: no router read what they stated.
"""

import math

import pytest
import trio

from railtide.platform.tests.router_fleet import RouterFleet, most_within, open_router_fleet, until
from railtide.platform.tests.test_whole_path import World, body_of, world
from railtide.upstreams.advertised_limit import UPDATE_LAG_S, AdvertisedLimit

WINDOW_S = 4.0
STABLE_S = 3.0
"""From when on after its first word the users count what an upstream gets."""


def allowed(per_s: float) -> float:
    """Return the most arrivals within a window that the users allow."""
    return 1.5 * WINDOW_S * per_s + 5


def limit_of(w: World, name: str) -> AdvertisedLimit:
    return w.node.schedulers_by_pool["s"].by_name[name].limit


class TestWhatAnswersState:
    async def test_it_is_known_and_told_in_a_line(self, lines) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            await until(w.node.roster.is_advertised)
            for limit in ("40", "20.5", None):
                engine.limit = limit
                await body_of(await w.ask("/safe/x"))
                assert limit_of(w, "e1").per_s == float(limit or math.inf)
        told = [line for line in lines if line["event"] == "upstream-limit"]
        assert [(line["per_s"], line["before"]) for line in told] == [
            (40, None),
            (20.5, 40),
            (None, 20.5),
        ]

    async def test_refusal_states_it_too(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1", not_run=True)
            engine.limit = "2.5"
            await w.ask("/safe/x")
            assert limit_of(w, "e1").per_s == 2.5

    async def test_another_engine_at_the_address_states_nothing_for_it(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.name = "other"
            engine.limit = "2.5"
            await w.ask("/safe/x")
            assert not limit_of(w, "e1").in_force

    async def test_of_two_in_one_answer_the_lower_holds(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.limit = "5\n2.5"
            await body_of(await w.ask("/safe/x"))
            assert limit_of(w, "e1").per_s == 2.5

    @pytest.mark.parametrize("stated", ["", "-1", "nan", "inf", "1e3", "1,5", "1_0", "x"])
    async def test_what_is_no_decimal_number_changes_nothing(self, stated: str) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.limit = "2.5"
            await body_of(await w.ask("/safe/x"))
            engine.limit = stated
            await body_of(await w.ask("/safe/x"))
            assert limit_of(w, "e1").per_s == 2.5


async def arrivals_under(fleet: RouterFleet, limits: dict[str, str], for_s: float) -> dict:
    """Return when requests reached engines under their limits, from when on that counts."""
    for name, limit in limits.items():
        fleet.engine_by_name[name].limit = limit
    counted_from = trio.current_time() + STABLE_S
    await fleet.play(per_s=24, for_s=STABLE_S + for_s)
    return {
        name: [a.at for a in fleet.engine_by_name[name].arrivals if a.at >= counted_from]
        for name in limits
    }


class TestAllRoutersTogether:
    async def test_upstream_gets_no_more_than_it_states(self) -> None:
        async with open_router_fleet(routers=3, engines=3) as fleet:
            await fleet.play(per_s=24, for_s=0.5)
            limits = {"e0": "1.5", "e1": "1.3"}
            times_by_engine = await arrivals_under(fleet, limits, for_s=5.0)
            for name, limit in limits.items():
                got = most_within(times_by_engine[name], WINDOW_S)
                assert got <= allowed(float(limit)), f"{name} got {got}"
            assert set(fleet.statuses) == {200}

    async def test_every_router_uses_it_again_after_its_end(self) -> None:
        async with open_router_fleet(routers=3, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.limit = "1.5"
            await fleet.play(per_s=24, for_s=3.0)
            engine.limit = None
            await fleet.play(per_s=24, for_s=2 * UPDATE_LAG_S)
            assert not any(fleet.upstreams(number)["e0"].limit.in_force for number in range(3))
            assert set(fleet.statuses) == {200}

    async def test_router_without_callers_hears_of_it_and_of_its_end(self) -> None:
        async with open_router_fleet(routers=3, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.limit = "1.5"
            await fleet.play(per_s=24, for_s=4.0, routers=2)
            assert fleet.upstreams(2)["e0"].limit.per_s == 1.5
            engine.limit = None
            await fleet.play(per_s=24, for_s=2 * UPDATE_LAG_S, routers=2)
            assert not fleet.upstreams(2)["e0"].limit.in_force
