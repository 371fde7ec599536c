"""Engines that say in their answers that they leave, over the whole path.

Routers sent requests to an engine up to 6.5 seconds after an answer had told them that it leaves:
its record did not come while the store was away, and what the answer said was not read.
"""

from railtide.platform.tests.router_fleet import open_router_fleet
from railtide.platform.tests.test_whole_path import body_of, world

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
