"""End-to-end tests of engines that announce in their answers that they are leaving.

Routers sent requests to an engine up to 6.5 s after an answer had announced that it was leaving:
the header was not read, and the engine's record could not be read while the store was unavailable.
"""

import pytest
import trio

from railtide.platform.tests.router_fleet import open_router_fleet, wait_until
from railtide.platform.tests.test_end_to_end import body_of, router_environment
from railtide.standins.platform import EngineScript

STOP_S = 2.0
"""Time after the announcement within which its router must stop sending new requests."""


class TestLeavingHeader:
    async def test_it_is_logged_once(self, lines) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.leaving = True
            await body_of(await env.send("/safe/x"))
            await env.send("/safe/x")
        logged = [line for line in lines if line["event"] == "upstream-says-it-leaves"]
        assert [line["upstream"] for line in logged] == ["e1"]

    @pytest.mark.parametrize("value", [None, "0", "", "yes"])
    async def test_values_other_than_1_are_ignored(self, value: str | None) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.leaving_text = value
            for _ in range(2):
                assert (await env.send("/safe/x")).status == 200

    async def test_header_of_a_running_stream_counts(self) -> None:
        async with open_router_fleet(routers=1, engines=2, events=8, gap_s=0.1) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.leaving = True
            await fleet.send_load(per_s=6, for_s=2.0, path="/stream/x")
            announced_at = next(answer.at for answer in engine.answers if answer.notices)
            assert engine.arrivals[-1].at < announced_at + 0.1
            assert set(fleet.statuses) == {200}
            assert engine.cancelled_requests == 0

    async def test_header_of_a_refusal_counts(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.leaving = True
            engine.script = EngineScript(not_run=True)
            await fleet.send_load(per_s=30, for_s=1.0)
            assert len(engine.arrivals) == 1
            assert set(fleet.statuses) == {200}

    async def test_header_of_another_engine_at_the_address_is_ignored(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            before = engine.name
            engine.name, engine.leaving = "other", True
            await env.send("/safe/x")
            assert not env.node._pools.listed._left_by_name[before]

    async def test_new_incarnation_at_the_address_is_used(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", born=1)
            engine.leaving = True
            await body_of(await env.send("/safe/x"))
            assert (await env.send("/safe/x")).status == 503
            engine.leaving = False
            env.put_engine("e1", born=2)
            await wait_until(
                lambda: env.node.schedulers_by_pool["s"].by_name["e1"].instance.born == 2
            )
            assert (await env.send("/safe/x")).status == 200

    async def test_requests_are_refused_at_once_when_all_engines_leave(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            for engine in fleet.engine_by_name.values():
                engine.leaving = True
            await fleet.send_load(per_s=20, for_s=0.5)
            sent_at = trio.current_time()
            assert await fleet.send(0) == 503
            assert trio.current_time() - sent_at < 0.2
            assert sum(len(engine.arrivals) for engine in fleet.engine_by_name.values()) <= 3


STORE_LOST_S = 2.5
"""Time after which routers have noticed that the store is down."""


class TestClosedConnections:
    async def test_engine_that_closes_connections_in_an_outage_gets_no_new_request(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            fleet.store.down = True
            await trio.sleep(STORE_LOST_S)
            engine = fleet.engine_by_name["e0"]
            engine.closing = True
            await fleet.send_load(per_s=20, for_s=1.5)
            closed_at = engine.answers[0].at
            late = [a for a in engine.arrivals if a.at > closed_at + 0.2]
            assert not late, f"{len(late)} requests were sent too late"
            assert set(fleet.statuses) == {200}

    async def test_engine_that_closes_connections_is_used_while_the_store_is_read(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.closing = True
            await fleet.send_load(per_s=20, for_s=1.5)
            assert len(engine.arrivals) > 5
            assert set(fleet.statuses) == {200}

    async def test_engines_that_all_close_connections_are_used(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            fleet.store.down = True
            await trio.sleep(STORE_LOST_S)
            for engine in fleet.engine_by_name.values():
                engine.closing = True
            await fleet.send_load(per_s=20, for_s=1.5)
            assert set(fleet.statuses) == {200}


class TestRemovedEntry:
    async def test_engine_without_an_entry_is_dropped_on_a_running_clock(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            fleet.store.put("keyed.servers", "e0", b"")
            await wait_until(lambda: set(fleet.upstreams(0)) == {"e1"})


class TestStoreOutage:
    async def test_router_that_received_the_header_sends_no_new_request(self) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            fleet.store.down = True
            engine = fleet.engine_by_name["e0"]
            engine.leaving = True
            await fleet.send_load(per_s=20, for_s=1.0 + STOP_S + 1.0)
            announced_at = next(answer.at for answer in engine.answers if answer.notices)
            late = [a for a in engine.arrivals if a.at > announced_at + STOP_S]
            assert not late, f"{len(late)} requests were sent too late"
            assert set(fleet.statuses) == {200}
