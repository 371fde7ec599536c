"""Engines that refuse and ask for a rest, over the whole path.

An engine that had refused with 503 and asked for 3 s got up to five more requests from that router
in that time. Only its ejection kept requests away, and that ended with each stream that had begun
before and came to a good end.
"""

import trio

from railtide.platform.tests.router_fleet import open_router_fleet
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
