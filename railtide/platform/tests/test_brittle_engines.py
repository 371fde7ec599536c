"""End-to-end tests of engines that state how many rejections a second crash them."""

import pytest

from railtide.platform.tests.router_fleet import open_router_fleet
from railtide.platform.tests.test_end_to_end import RouterEnvironment, body_of, router_environment
from railtide.upstreams.brittleness import Brittleness


def brittleness_of(env: RouterEnvironment, name: str = "e1") -> Brittleness:
    return env.node.schedulers_by_pool["s"].by_name[name].brittleness


class TestHeader:
    async def test_statement_is_applied_and_logged(self, lines) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            for stated in ("5", "3", None):
                engine.brittle = stated
                await body_of(await env.send("/safe/x"))
                assert brittleness_of(env).per_s == (None if stated is None else int(stated))
        logged = [line["per_s"] for line in lines if line["event"] == "upstream-brittle"]
        assert logged == [5, 3, None]

    async def test_statement_in_a_refusal_is_applied(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", not_run=True)
            engine.brittle = "4"
            await env.send("/safe/x")
            assert brittleness_of(env).per_s == 4

    async def test_statement_of_another_engine_at_the_address_is_ignored(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.name, engine.brittle = "other", "4"
            await env.send("/safe/x")
            assert brittleness_of(env).per_s is None

    async def test_lower_of_two_statements_applies(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.brittle = "7\n4"
            await body_of(await env.send("/safe/x"))
            assert brittleness_of(env).per_s == 4

    @pytest.mark.parametrize("stated", ["", "-1", "0", "1000000000", "2.5", "nan", "x", "1_0"])
    async def test_unreadable_value_changes_nothing_and_is_logged_once(self, stated, lines) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.brittle = "4"
            assert await body_of(await env.send("/safe/x")) == b"ok"
            engine.brittle = stated
            for _ in range(3):
                assert await body_of(await env.send("/safe/x")) == b"ok"
            assert brittleness_of(env).per_s == 4
        assert [line["event"] for line in lines].count("notice-unreadable") == 1


class TestAllRoutersTogether:
    async def test_engine_is_sent_no_more_than_its_slots(self) -> None:
        """Guards against rejections by engines that let nothing wait."""
        async with open_router_fleet(routers=3, engines=2, gap_s=0.2) as fleet:
            engines = fleet.engine_by_name.values()
            for engine in engines:
                engine.brittle = "3"
            await fleet.send_load(per_s=10, for_s=1.0)
            rejected: list[str] = []
            for engine in engines:
                engine.capacity = 8
                engine.on_rejection = lambda: rejected.append("x")
            await fleet.send_load(per_s=150, for_s=2.0)
            assert len(rejected) <= 2
            assert fleet.statuses[200] > 60
