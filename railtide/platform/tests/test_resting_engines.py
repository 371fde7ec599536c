"""Engines that refuse and ask for a rest, over the whole path.

An engine that had refused with 503 and asked for 3 s got up to five more requests from that router
in that time. Only its ejection kept requests away, and that ended with each stream that had begun
before and came to a good end.
"""

import pytest
import trio

from railtide.http.errors import ConnectionLost
from railtide.http.messages import first_header
from railtide.lanes.pool_notices import MAX_REST_S
from railtide.platform.tests.router_fleet import open_router_fleet
from railtide.platform.tests.test_whole_path import body_of, world
from railtide.standins.platform import EngineScript

REST_S = 3.0
GRACE_S = 0.5
"""After a refusal, until what comes counts."""
MOST_IN_A_REST = 2


class TestRest:
    async def test_engine_is_left_alone_for_as_long_as_it_asks(self) -> None:
        async with open_router_fleet(routers=1, engines=2, events=10, gap_s=0.2) as fleet:
            engine = fleet.engine_by_name["e0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.play, 6, 2.0, 1, "/stream/x")
                await trio.sleep(1.8)
                engine.rest = str(REST_S)
                fleet.engine_by_name["e1"].script = EngineScript()
                await fleet.play(per_s=20, for_s=REST_S + 0.5, path="/safe/x")
            asked_at = next(answer.at for answer in engine.answers if answer.notices)
            within = [a for a in engine.arrivals if asked_at + GRACE_S <= a.at <= asked_at + REST_S]
            assert len(within) <= MOST_IN_A_REST, f"{len(within)} requests came"
            assert set(fleet.statuses) == {200}

    async def test_it_is_used_again_after_its_rest(self) -> None:
        async with open_router_fleet(routers=2, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.rest = "1.5"
            await fleet.play(per_s=20, for_s=0.5)
            engine.rest = None
            await fleet.play(per_s=20, for_s=1.5)
            asked_at = [answer.at for answer in engine.answers if answer.notices]
            assert len(asked_at) <= 4
            later = [a for a in engine.arrivals if a.at >= asked_at[0] + 1.5]
            assert len(later) >= 3
            assert set(fleet.statuses) == {200}

    async def test_refusal_is_no_failure_of_it(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            for _ in range(4):
                engine.rest = "0.05"
                assert (await w.ask("/safe/x")).status == 503
                await trio.sleep(0.1)
            assert w.node.schedulers_by_pool["s"].by_name["e1"].failures == 0
            engine.rest = None
            assert (await w.ask("/safe/x")).status == 200

    async def test_stream_that_breaks_off_within_a_rest_is_a_failure_of_it(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1", events=5, gap_s=0.1, break_after=3)
            begun = await w.ask("/stream/x")
            engine.rest = "2"
            await w.ask("/safe/x")
            with pytest.raises(ConnectionLost):
                await body_of(begun)
            assert w.node.schedulers_by_pool["s"].by_name["e1"].failures == 1

    async def test_later_end_of_two_holds(self) -> None:
        async with world() as w:
            await w.add_engine("e1")
            scheduler = w.node.schedulers_by_pool["s"]
            scheduler.notices.apply_rest("e1", 3.0)
            until_before = scheduler.by_name["e1"].resting_until
            scheduler.notices.apply_rest("e1", 1.0)
            assert scheduler.by_name["e1"].resting_until == until_before

    @pytest.mark.parametrize("rest", ["0", "", "-1", "nan", "Thu, 03 Dec 2026 12:00:00 GMT"])
    async def test_what_is_no_time_asks_for_no_rest(self, rest: str) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.rest = rest
            await w.ask("/safe/x")
            engine.rest = None
            assert (await w.ask("/safe/x")).status == 200

    async def test_very_long_rest_is_cut_short(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.rest = "1000000"
            await w.ask("/safe/x")
            resting_until = w.node.schedulers_by_pool["s"].by_name["e1"].resting_until
            assert resting_until <= trio.current_time() + MAX_REST_S

    async def test_one_router_rests_for_itself_alone(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.rest = "2"
            assert await fleet.ask(0) == 503
            engine.rest = None
            assert await fleet.ask(1) == 200


class TestAllRest:
    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
    async def test_requests_are_refused_at_once_until_the_first_is_back(self, path: str) -> None:
        """The refusal says when: 1.5 s after the engine that asks for the shorter rest."""
        async with world() as w:
            for name, rest in (("e1", "1.5"), ("e2", "9")):
                (await w.add_engine(name)).rest = rest
            for _ in range(2):
                await w.ask(path)
            began = trio.current_time()
            refused = await w.ask(path)
            assert refused.status == 503
            assert trio.current_time() - began < 0.2
            told_s = float(first_header(refused.headers, b"retry-after"))
            assert 1.0 <= told_s <= 1.5
            assert sum(len(engine.arrivals) for engine in w.engine_by_name.values()) == 2
            w.engine_by_name["e1"].rest = None
            await trio.sleep(told_s)
            assert (await w.ask(path)).status == 200

    async def test_caller_of_the_last_one_that_refuses_is_told_when_too(self) -> None:
        async with world() as w:
            (await w.add_engine("e1")).rest = "1.5"
            w.node._retries_of("s")._saved = -100.0
            refused = await w.ask("/safe/x")
            assert refused.status == 503
            assert 1.0 <= float(first_header(refused.headers, b"retry-after")) <= 1.5

    async def test_short_rest_is_waited_for_within_the_goal(self) -> None:
        async with world() as w:
            engine = await w.add_engine("e1")
            engine.rest = "0.3"
            await w.ask("/once/x")
            engine.rest = None
            assert (await w.ask("/once/x")).status == 200

    async def test_ejected_one_serves_while_the_others_rest(self) -> None:
        async with world() as w:
            for name in ("e1", "e2"):
                await w.add_engine(name)
            scheduler = w.node.schedulers_by_pool["s"]
            scheduler.by_name["e1"].ejected_until = trio.current_time() + 30
            scheduler.notices.apply_rest("e2", 30)
            assert (await w.ask("/safe/x")).status == 200
            assert len(w.engine_by_name["e1"].arrivals) == 1
