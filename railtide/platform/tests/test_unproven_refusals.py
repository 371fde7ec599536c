"""Engines whose answers promise that a request was not run, without proof of it."""

from railtide.platform.tests.router_fleet import open_router_fleet
from railtide.standins.platform import EngineScript

PROMISES = (408, 429, 503)
"""Statuses which promise that a request was not run; an engine proves that by a header. 421 is
proof by itself."""


class TestStatusWithoutProof:
    async def test_call_that_ran_is_answered_as_not_run(self) -> None:
        async with open_router_fleet(2, 1) as fleet:
            engine = fleet.engine_by_name["e0"]
            for is_forwarded in (False, True):
                if is_forwarded:
                    fleet.cut_off(0, refuses=True)
                    fleet.links[0].forget(fleet.upstreams(0)["e0"].instance)
                for path in ("/once/x", "/stream/x"):
                    for status in PROMISES:
                        engine.next_scripts = [EngineScript(status=status)]
                        assert await fleet.send(0, path) == 502
                        assert engine.ran.count(fleet.last_id) == 1
