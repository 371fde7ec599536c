"""End-to-end tests of limits that engines advertise in their answers.

Two overloaded engines advertised 1.5 and 1.3 requests a second. Three seconds later they got 30 and
23 requests within four seconds, since routers did not read the header.
"""

import math

import pytest
import trio

from railtide.platform.tests.router_fleet import (
    RouterFleet,
    max_within,
    open_router_fleet,
    wait_until,
)
from railtide.platform.tests.test_end_to_end import RouterEnvironment, body_of, router_environment
from railtide.upstreams.advertised_limit import UPDATE_LAG_S, AdvertisedLimit

WINDOW_S = 4.0
SETTLE_S = 3.0
"""Time after the first advertisement from which requests count."""


def allowed(per_s: float) -> float:
    """Return the largest number of arrivals within a window that the specification allows."""
    return 1.5 * WINDOW_S * per_s + 5


def limit_of(env: RouterEnvironment, name: str) -> AdvertisedLimit:
    return env.node.schedulers_by_pool["s"].by_name[name].limit


class TestLimitHeader:
    async def test_limit_is_applied_and_logged(self, lines) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            await wait_until(env.node.roster.is_advertised)
            for limit in ("40", "20.5", None):
                engine.limit = limit
                await body_of(await env.send("/safe/x"))
                assert limit_of(env, "e1").per_s == float(limit or math.inf)
        logged = [line for line in lines if line["event"] == "upstream-limit"]
        assert [(line["per_s"], line["before"]) for line in logged] == [
            (40, None),
            (20.5, 40),
            (None, 20.5),
        ]

    async def test_limit_in_a_refusal_is_applied(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", not_run=True)
            engine.limit = "2.5"
            await env.send("/safe/x")
            assert limit_of(env, "e1").per_s == 2.5

    async def test_limit_of_another_engine_at_the_address_is_ignored(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.name = "other"
            engine.limit = "2.5"
            await env.send("/safe/x")
            assert not limit_of(env, "e1").in_force

    async def test_lower_of_two_limits_applies(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.limit = "5\n2.5"
            await body_of(await env.send("/safe/x"))
            assert limit_of(env, "e1").per_s == 2.5

    @pytest.mark.parametrize("stated", ["", "-1", "nan", "inf", "1e3", "1,5", "1_0", "x"])
    async def test_invalid_value_changes_nothing(self, stated: str) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.limit = "2.5"
            await body_of(await env.send("/safe/x"))
            engine.limit = stated
            await body_of(await env.send("/safe/x"))
            assert limit_of(env, "e1").per_s == 2.5


async def arrivals_under_limits(fleet: RouterFleet, limits: dict[str, str], for_s: float) -> dict:
    """Return the times at which requests reached limited engines, once these count."""
    for name, limit in limits.items():
        fleet.engine_by_name[name].limit = limit
    counted_from = trio.current_time() + SETTLE_S
    await fleet.send_load(per_s=24, for_s=SETTLE_S + for_s)
    return {
        name: [a.at for a in fleet.engine_by_name[name].arrivals if a.at >= counted_from]
        for name in limits
    }


class TestAllRoutersTogether:
    async def test_upstream_gets_no_more_than_its_limit(self) -> None:
        async with open_router_fleet(routers=3, engines=3) as fleet:
            await fleet.send_load(per_s=24, for_s=0.5)
            limits = {"e0": "1.5", "e1": "1.3"}
            times_by_engine = await arrivals_under_limits(fleet, limits, for_s=5.0)
            for name, limit in limits.items():
                got = max_within(times_by_engine[name], WINDOW_S)
                assert got <= allowed(float(limit)), f"{name} got {got}"
            assert set(fleet.statuses) == {200}

    async def test_every_router_stops_limiting_after_the_end(self) -> None:
        async with open_router_fleet(routers=3, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.limit = "1.5"
            await fleet.send_load(per_s=24, for_s=3.0)
            engine.limit = None
            await fleet.send_load(per_s=24, for_s=2 * UPDATE_LAG_S)
            assert not any(fleet.upstreams(number)["e0"].limit.in_force for number in range(3))
            assert set(fleet.statuses) == {200}

    async def test_router_without_callers_learns_the_limit_and_its_end(self) -> None:
        async with open_router_fleet(routers=3, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.limit = "1.5"
            await fleet.send_load(per_s=24, for_s=4.0, routers=2)
            assert fleet.upstreams(2)["e0"].limit.per_s == 1.5
            engine.limit = None
            await fleet.send_load(per_s=24, for_s=2 * UPDATE_LAG_S, routers=2)
            assert not fleet.upstreams(2)["e0"].limit.in_force
