"""End-to-end tests of engines that refuse requests with a Retry-After, which starts a rest.

An engine that had refused with 503 and a Retry-After of 3 s got up to five more requests from the
same router within that time. Only its ejection kept requests away, and the successful end of any
stream that had begun earlier ended the ejection.
"""

import pytest
import trio

from railtide.http.errors import ConnectionLost
from railtide.http.messages import first_header
from railtide.lanes.pool_notices import MAX_REST_S
from railtide.platform.tests.router_fleet import open_router_fleet
from railtide.platform.tests.test_end_to_end import body_of, router_environment
from railtide.standins.platform import EngineScript

REST_S = 3.0
GRACE_S = 0.5
"""Time after a refusal in which further requests are tolerated."""
MAX_DURING_REST = 2
STREAM_DEADLINE_MS = 4_000
"""Streams of 2 s take over 2.5 s on a busy machine."""


class TestRetryAfter:
    async def test_engine_gets_no_requests_until_its_retry_after(self) -> None:
        async with open_router_fleet(routers=1, engines=2, events=10, gap_s=0.2) as fleet:
            engine = fleet.engine_by_name["e0"]
            fleet.deadline_ms = STREAM_DEADLINE_MS
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send_load, 6, 2.0, 1, "/stream/x")
                await trio.sleep(1.8)
                engine.rest = str(REST_S)
                fleet.engine_by_name["e1"].script = EngineScript()
                await fleet.send_load(per_s=20, for_s=REST_S + 0.5, path="/safe/x")
            refused_at = next(answer.at for answer in engine.answers if answer.notices)
            within = [
                a for a in engine.arrivals if refused_at + GRACE_S <= a.at <= refused_at + REST_S
            ]
            assert len(within) <= MAX_DURING_REST, f"{len(within)} requests arrived"
            assert set(fleet.statuses) == {200}

    async def test_engine_is_used_again_after_its_rest(self) -> None:
        async with open_router_fleet(routers=2, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.rest = "1.5"
            await fleet.send_load(per_s=20, for_s=0.5)
            engine.rest = None
            await fleet.send_load(per_s=20, for_s=1.5)
            refused_at = [answer.at for answer in engine.answers if answer.notices]
            assert len(refused_at) <= 4
            later = [a for a in engine.arrivals if a.at >= refused_at[0] + 1.5]
            assert len(later) >= 3
            assert set(fleet.statuses) == {200}

    async def test_refusal_is_no_failure_of_the_engine(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            for _ in range(4):
                engine.rest = "0.05"
                assert (await env.send("/safe/x")).status == 503
                await trio.sleep(0.1)
            assert env.node.schedulers_by_pool["s"].by_name["e1"].failures == 0
            engine.rest = None
            assert (await env.send("/safe/x")).status == 200

    async def test_stream_that_breaks_off_during_a_rest_is_a_failure(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", events=5, gap_s=0.1, break_after=3)
            begun = await env.send("/stream/x")
            engine.rest = "2"
            await env.send("/safe/x")
            with pytest.raises(ConnectionLost):
                await body_of(begun)
            assert env.node.schedulers_by_pool["s"].by_name["e1"].failures == 1

    async def test_later_end_of_two_rests_applies(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            scheduler = env.node.schedulers_by_pool["s"]
            scheduler.notices.apply_rest("e1", 3.0)
            until_before = scheduler.by_name["e1"].resting_until
            scheduler.notices.apply_rest("e1", 1.0)
            assert scheduler.by_name["e1"].resting_until == until_before

    @pytest.mark.parametrize("rest", ["0", "", "-1", "nan", "Thu, 03 Dec 2026 12:00:00 GMT"])
    async def test_invalid_value_starts_no_rest(self, rest: str) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.rest = rest
            await env.send("/safe/x")
            engine.rest = None
            assert (await env.send("/safe/x")).status == 200

    async def test_length_of_a_rest_is_limited(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.rest = "1000000"
            await env.send("/safe/x")
            resting_until = env.node.schedulers_by_pool["s"].by_name["e1"].resting_until
            assert resting_until <= trio.current_time() + MAX_REST_S

    async def test_rest_applies_to_one_router(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.rest = "2"
            assert await fleet.send(0) == 503
            engine.rest = None
            assert await fleet.send(1) == 200


class TestAllEnginesResting:
    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
    async def test_requests_are_refused_at_once_until_the_first_rest_ends(self, path: str) -> None:
        """Their Retry-After is the end of the shorter rest, 1.5 s."""
        async with router_environment() as env:
            for name, rest in (("e1", "1.5"), ("e2", "9")):
                (await env.add_engine(name)).rest = rest
            for _ in range(2):
                await env.send(path)
            sent_at = trio.current_time()
            refused = await env.send(path)
            assert refused.status == 503
            assert trio.current_time() - sent_at < 0.2
            retry_after_s = float(first_header(refused.headers, b"retry-after"))
            assert 1.0 <= retry_after_s <= 1.5
            assert sum(len(engine.arrivals) for engine in env.engine_by_name.values()) == 2
            env.engine_by_name["e1"].rest = None
            await trio.sleep(retry_after_s)
            assert (await env.send(path)).status == 200

    async def test_refusal_of_the_last_engine_holds_the_retry_after(self) -> None:
        async with router_environment() as env:
            (await env.add_engine("e1")).rest = "1.5"
            env.node._retries_of("s")._saved = -100.0
            refused = await env.send("/safe/x")
            assert refused.status == 503
            assert 1.0 <= float(first_header(refused.headers, b"retry-after")) <= 1.5

    async def test_request_waits_for_the_end_of_a_short_rest(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.rest = "0.3"
            await env.send("/once/x")
            engine.rest = None
            assert (await env.send("/once/x")).status == 200

    async def test_ejected_engine_serves_while_the_others_rest(self) -> None:
        async with router_environment() as env:
            for name in ("e1", "e2"):
                await env.add_engine(name)
            scheduler = env.node.schedulers_by_pool["s"]
            scheduler.by_name["e1"].ejected_until = trio.current_time() + 30
            scheduler.notices.apply_rest("e2", 30)
            assert (await env.send("/safe/x")).status == 200
            assert len(env.engine_by_name["e1"].arrivals) == 1
