"""Engines that say in their answers that they leave, over the whole path.

Routers sent requests to an engine up to 6.5 seconds after an answer had told them that it leaves:
its record did not come while the store was away, and what the answer said was not read.
"""

import pytest
import trio

from railtide.platform.tests.router_fleet import open_router_fleet, until
from railtide.platform.tests.test_whole_path import body_of, world
from railtide.standins.platform import EngineScript

DRAIN_S = 2.0
"""After an answer that says so, until its router may send no new request."""


class TestWord:
    async def test_it_is_told_in_a_line_once(self, lines) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.leaving = True
            await body_of(await w.ask("/safe/x"))
            await w.ask("/safe/x")
        told = [line for line in lines if line["event"] == "upstream-says-it-leaves"]
        assert [line["upstream"] for line in told] == ["e1"]

    @pytest.mark.parametrize("told", [None, "0", "", "yes"])
    async def test_anything_but_1_says_nothing(self, told: str | None) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.leaving_text = told
            for _ in range(2):
                assert (await w.ask("/safe/x")).status == 200

    async def test_stream_goes_on_and_its_head_counts(self) -> None:
        async with open_router_fleet(routers=1, engines=2, events=8, gap_s=0.1) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.leaving = True
            await fleet.play(per_s=6, for_s=2.0, path="/stream/x")
            told_at = next(answer.at for answer in engine.answers if answer.notices)
            assert engine.arrivals[-1].at < told_at + 0.1
            assert set(fleet.statuses) == {200}
            assert engine.cancelled_requests == 0

    async def test_refusal_says_it_too(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.leaving = True
            engine.script = EngineScript(not_run=True)
            await fleet.play(per_s=30, for_s=1.0)
            assert len(engine.arrivals) == 1
            assert set(fleet.statuses) == {200}

    async def test_another_engine_at_the_address_says_nothing_of_it(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            before = engine.name
            engine.name, engine.leaving = "other", True
            await w.ask("/safe/x")
            assert not w.node._pools.listed._left_by_name[before]

    async def test_new_life_at_the_address_is_not_bound(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1", born=1)
            engine.leaving = True
            await body_of(await w.ask("/safe/x"))
            assert (await w.ask("/safe/x")).status == 503
            engine.leaving = False
            w.put_engine("e1", born=2)
            await until(lambda: w.node.schedulers_by_pool["s"].by_name["e1"].instance.born == 2)
            assert (await w.ask("/safe/x")).status == 200

    async def test_where_all_leave_requests_are_refused_at_once(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            for engine in fleet.engine_by_name.values():
                engine.leaving = True
            await fleet.play(per_s=20, for_s=0.5)
            began = trio.current_time()
            assert await fleet.ask(0) == 503
            assert trio.current_time() - began < 0.2
            assert sum(len(engine.arrivals) for engine in fleet.engine_by_name.values()) <= 3


class TestWhileTheStoreIsAway:
    async def test_router_that_was_told_sends_nothing_new(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            fleet.store.down = True
            engine = fleet.engine_by_name["e0"]
            engine.leaving = True
            await fleet.play(per_s=20, for_s=1.0 + DRAIN_S + 1.0)
            told_at = next(answer.at for answer in engine.answers if answer.notices)
            late = [a for a in engine.arrivals if a.at > told_at + DRAIN_S]
            assert not late, f"{len(late)} requests were sent later"
            assert set(fleet.statuses) == {200}
