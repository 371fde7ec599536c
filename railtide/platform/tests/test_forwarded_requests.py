"""Requests that another router sends to the engine, as their callers and the engine see them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import msgspec
import pytest
import trio

from railtide.forwarding.client import ForwardingClient
from railtide.forwarding.errors import NotForwarded
from railtide.forwarding.messages import (
    FORWARD_PATH,
    KEY_BYTES,
    OUTCOME_HEADER,
    PROOF_HEADER,
    ForwardedRequest,
    PathQuery,
    encode,
    proof_of,
)
from railtide.forwarding.peer_choice import ForwardingPeer
from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import ConnectionLost
from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer
from railtide.loans.handler import LoanHandler
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.router_fleet import RouterFleet, open_router_fleet, wait_until
from railtide.platform.tests.test_end_to_end import body_of, start_server
from railtide.settings import parse_endpoint
from railtide.standins.answers import Framing
from railtide.standins.platform import EngineScript
from railtide.upstreams.paths import PathState

PATHS = ["/safe/x", "/once/x", "/stream/x", "/resume/x"]


@asynccontextmanager
async def cut_off_fleet(
    *cut: int, routers: int = 3, engines: int = 1, refuses: bool = True, **script: object
) -> AsyncIterator[RouterFleet]:
    """Yield a fleet in which some routers have just been cut off, and know it."""
    async with open_router_fleet(routers=routers, engines=engines) as fleet:
        fleet.cut_off(*(cut or (0,)), refuses=refuses)
        for router in cut or (0,):
            for _ in range(2 * engines):
                await fleet.send(router)
        for engine in fleet.engine_by_name.values():
            engine.script = EngineScript(**script)
            engine.seen.clear()
            engine.ran.clear()
        fleet.statuses.clear()
        yield fleet


def path_state(fleet: RouterFleet, router: int, engine: str = "e0") -> PathState:
    return fleet.upstreams(router)[engine].path


def forwarded_by(fleet: RouterFleet, router: int) -> int:
    return fleet.nodes[router].counters.value("forwards_answered")


async def open_request(
    fleet: RouterFleet, path: str, *headers: tuple[bytes, bytes], body: bytes = b""
) -> Exchange:
    """Send a request to the first router; return it once its answer has begun."""
    with trio.fail_after(4):
        return await PeerPool(HOST, fleet.ports[0]).send(fleet.request(path, *headers, body=body))


class TestAnswers:
    @pytest.mark.parametrize("path", PATHS)
    async def test_request_and_answer_are_unchanged(self, path: str) -> None:
        async with cut_off_fleet(body=b"whole", events=3 if "s" in path[1:3] else 0) as fleet:
            assert path_state(fleet, 0) is PathState.FORWARDED
            answer = await open_request(fleet, path + "?q=1", (b"x-other", b"1"), body=b"body")
            body = await body_of(answer)
            engine = fleet.engine_by_name["e0"]
            assert answer.status == 200 and body in (b"whole", engine.script.body) or b"x3" in body
            assert first_header(answer.headers, b"x-response-seal") == b"e0"
            assert not [name for name, _ in answer.headers if name.startswith(b"railtide")]
            (seen,) = engine.seen
            assert (seen.method, seen.target, seen.body) == (
                b"POST",
                path.encode() + b"?q=1",
                b"body",
            )
            sent = dict(seen.headers)
            assert sent[b"x-tenant"] == b"t" and sent[b"x-expect-instance"] == b"e0"
            assert sent[b"x-other"] == b"1" and b"x-credential" not in sent
            assert 0 < int(sent[b"x-deadline-ms"]) <= 2500
            assert not [name for name, _ in seen.headers if name.startswith(b"railtide")]

    async def test_events_are_passed_on_as_they_arrive(self) -> None:
        async with cut_off_fleet(events=3, gap_s=0.3) as fleet:
            exchange = await open_request(fleet, "/stream/x")
            arrived = [trio.current_time() async for _ in exchange.chunks()]
            assert arrived[2] - arrived[0] > 0.5

    @pytest.mark.parametrize("framing", list(Framing))
    async def test_answer_that_breaks_off_does_not_look_complete(self, framing: Framing) -> None:
        broken = {"break_after": 2, "framing": framing, "reset": True}
        async with cut_off_fleet(events=5, **broken) as fleet:
            exchange = await open_request(fleet, "/stream/x")
            with pytest.raises(ConnectionLost):
                await body_of(exchange)

    async def test_two_answers_in_one_body_are_not_passed_on(self) -> None:
        async with cut_off_fleet(body=b"x", framing=Framing.CLOSE, extra=True) as fleet:
            assert await fleet.send(0, "/once/x") == 502

    async def test_broken_stream_is_resumed(self) -> None:
        async with cut_off_fleet(engines=2, events=6) as fleet:
            scripts = [EngineScript(events=6, break_after=3)]
            for engine in fleet.engine_by_name.values():
                engine.next_scripts = scripts
            body = await body_of(await open_request(fleet, "/resume/x"))
            assert body == b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 7))


class TestNotRun:
    async def test_forwarder_that_dies_leaves_a_once_only_call_unknown(self) -> None:
        """Guards against "not run" for a call that an engine has, and against a second run."""
        async with cut_off_fleet(gap_s=1.0) as fleet:
            engine = fleet.engine_by_name["e0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/once/x")
                await wait_until(lambda: len(engine.ran) == 1)
                for scope in fleet.peer_scopes[1:]:
                    scope.cancel()
            assert fleet.statuses == {502: 1}
            assert len(engine.ran) == 1

    async def test_engine_that_dies_leaves_a_once_only_call_unknown(self) -> None:
        async with cut_off_fleet(gap_s=1.0) as fleet:
            engine = fleet.engine_by_name["e0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/once/x")
                await wait_until(lambda: len(engine.ran) == 1)
                fleet.engine_scopes["e0"].cancel()
            assert fleet.statuses == {502: 1}

    async def test_forwarder_that_dies_does_not_cost_a_repeatable_call(self) -> None:
        async with cut_off_fleet(gap_s=1.0) as fleet:
            engine = fleet.engine_by_name["e0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/safe/x")
                await wait_until(lambda: len(engine.ran) == 1)
                busy = next(n for n in (1, 2) if fleet.nodes[n].open_calls)
                fleet.peer_scopes[busy].cancel()
            assert fleet.statuses == {200: 1}

    async def test_forwarder_that_is_gone_is_passed_over(self) -> None:
        async with cut_off_fleet(routers=4) as fleet:
            first = next(n for n in (1, 2, 3) if forwarded_by(fleet, n))
            fleet.peer_scopes[first].cancel()
            assert [await fleet.send(0, "/once/x") for _ in range(3)] == [200] * 3
            assert len(fleet.engine_by_name["e0"].ran) == 3

    async def test_refusal_of_the_engine_is_reported_as_not_run(self) -> None:
        async with cut_off_fleet(not_run=True) as fleet:
            assert await fleet.send(0, "/once/x") == 503
            assert fleet.engine_by_name["e0"].ran == []

    async def test_engine_failure_is_passed_on_with_its_seal(self) -> None:
        async with cut_off_fleet(status=500, body=b"broken") as fleet:
            answer = await open_request(fleet, "/once/x")
            assert (answer.status, await body_of(answer)) == (500, b"broken")
            assert first_header(answer.headers, b"x-response-seal") == b"e0"


class TestRetryBudget:
    """The share of retries protects engines; an attempt that reached none does not count."""

    @pytest.mark.parametrize("refuses", [True, False])
    async def test_attempt_without_a_connection_takes_no_retry(self, refuses: bool) -> None:
        async with open_router_fleet(routers=1, engines=2) as fleet:
            node = fleet.nodes[0]
            node.options = replace(node.options, retries_per_request=0.0, retry_slack=0.0)
            fleet.links[0].refuses = refuses
            fleet.links[0].cut = {"e0"}
            assert [await fleet.send(0, "/once/x") for _ in range(4)] == [200] * 4

    async def test_refusal_by_an_engine_takes_a_retry(self) -> None:
        async with open_router_fleet(routers=1, engines=2, not_run=True) as fleet:
            node = fleet.nodes[0]
            node.options = replace(node.options, retries_per_request=0.0, retry_slack=0.0)
            assert await fleet.send(0, "/once/x") == 503
            assert sum(len(engine.seen) for engine in fleet.engine_by_name.values()) == 1


class TestHops:
    async def test_router_that_is_cut_off_forwards_nothing(self) -> None:
        async with cut_off_fleet(0, 1, routers=3) as fleet:
            assert [await fleet.send(number % 2) for number in range(6)] == [200] * 6
            assert (forwarded_by(fleet, 0), forwarded_by(fleet, 1)) == (0, 0)

    async def test_requests_end_at_once_if_all_are_cut_off(self) -> None:
        async with cut_off_fleet(0, 1, 2, refuses=False) as fleet:
            await wait_until(lambda: path_state(fleet, 0) is PathState.UNREACHABLE)
            began = trio.current_time()
            assert await fleet.send(0) == 503
            assert trio.current_time() - began < 0.2
            assert not fleet.engine_by_name["e0"].seen
            assert fleet.nodes[0].counters.value("answers_no_upstream") >= 1

    async def test_engines_that_are_gone_get_no_requests_through_others(self) -> None:
        """Guards against requests that go round all routers while a whole pool is down."""
        async with open_router_fleet(routers=3, engines=2) as fleet:
            for name in ("e0", "e1"):
                fleet.engine_scopes[name].cancel()
            await fleet.send_load(per_s=20, for_s=2.0)
            received = [node.counters.value("forwards_received") for node in fleet.nodes]
            assert received == [0] * 3
            assert set(fleet.statuses) == {503}

    async def test_disconnect_of_the_caller_reaches_the_engine(self) -> None:
        async with cut_off_fleet(gap_s=5.0) as fleet:
            engine = fleet.engine_by_name["e0"]
            with trio.move_on_after(0.3):
                await open_request(fleet, "/safe/x")
            await wait_until(lambda: engine.cancelled_requests == 1, within_s=0.5)

    async def test_deadline_ends_the_request_everywhere(self) -> None:
        async with cut_off_fleet(gap_s=5.0) as fleet:
            engine = fleet.engine_by_name["e0"]
            began = trio.current_time()
            assert await fleet.send(0, "/short/x") == 504
            assert trio.current_time() - began < 0.5
            await wait_until(lambda: engine.cancelled_requests == 1, within_s=0.5)
            assert int(first_header(engine.seen[0].headers, b"x-deadline-ms")) <= 150

    async def test_shutdown_of_the_forwarder_interrupts_nothing(self) -> None:
        async with cut_off_fleet(gap_s=0.5, routers=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/once/x")
                await wait_until(lambda: len(engine.ran) == 1)
                await fleet.nodes[1].drain()
                assert fleet.nodes[1].open_calls == 0
            assert fleet.statuses == {200: 1}

    async def test_leaving_router_is_asked_no_more(self) -> None:
        async with cut_off_fleet(routers=3) as fleet:
            fleet.nodes[1].leaving = True
            assert [await fleet.send(0) for _ in range(4)] == [200] * 4
            assert forwarded_by(fleet, 2) >= 4


class TestSenders:
    """Guards against requests to engines from anyone but a router of the roster."""

    @staticmethod
    def message(fleet: RouterFleet, sender: str = "i0", incarnation: str = "life0") -> bytes:
        inner = fleet.request("/safe/x")
        return encode(
            ForwardedRequest(
                sender, incarnation, "e0", "e0", 1.0, b"GET", inner.target, inner.headers, b""
            )
        )

    @staticmethod
    async def outcome(
        fleet: RouterFleet, body: bytes, proof: bytes, path: bytes = FORWARD_PATH
    ) -> tuple[int, bytes | None]:
        address = fleet.nodes[1].options.peer_address
        headers = ((b"host", b"x"), (PROOF_HEADER, proof))
        request = HttpRequest(b"POST", path, headers, body)
        exchange = await PeerPool(*parse_endpoint(address)).send(request)
        return exchange.status, first_header(exchange.headers, OUTCOME_HEADER)

    async def test_router_of_the_roster_is_served(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            body = self.message(fleet)
            proof = proof_of(fleet.nodes[0].forwarding.key, "life1", FORWARD_PATH, body)
            assert await self.outcome(fleet, body, proof) == (200, b"answered")

    @pytest.mark.parametrize(
        ("sender", "incarnation", "receiver"),
        [("i0", "life0", "life0"), ("i0", "life9", "life1"), ("i9", "life0", "life1")],
    )
    async def test_other_senders_and_receivers_are_refused(
        self, sender: str, incarnation: str, receiver: str
    ) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            body = self.message(fleet, sender, incarnation)
            proof = proof_of(fleet.nodes[0].forwarding.key, receiver, FORWARD_PATH, body)
            assert await self.outcome(fleet, body, proof) == (403, b"not-sent")
            assert not fleet.engine_by_name["e0"].seen

    @pytest.mark.parametrize("key", [b"", bytes(KEY_BYTES)])
    async def test_message_with_another_key_is_refused(self, key: bytes) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            body = self.message(fleet)
            proof = proof_of(key, "life1", FORWARD_PATH, body)
            assert await self.outcome(fleet, body, proof) == (403, b"not-sent")
            assert not fleet.engine_by_name["e0"].seen

    @pytest.mark.parametrize("path", [b"/forward", b"/paths"])
    @pytest.mark.parametrize("body", [b"", b"\xff" * 20, b"\x93\x01\x02\x03"])
    async def test_invalid_message_is_refused(self, path: bytes, body: bytes) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            assert await self.outcome(fleet, body, b"", path) == (400, b"not-sent")

    async def test_headers_of_a_caller_ask_for_nothing(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            forged = ((PROOF_HEADER, b"0"), (OUTCOME_HEADER, b"answered"))
            assert (await open_request(fleet, "/safe/x", *forged)).status == 200
            assert forwarded_by(fleet, 1) == 0

    async def test_router_without_a_key_is_refused(self) -> None:
        """A router of an earlier release has none in its record."""
        async with open_router_fleet(routers=2, engines=1) as fleet:
            sighting = fleet.nodes[1].roster._sightings_by_instance["i0"]
            sighting.member = msgspec.structs.replace(sighting.member, forwarding_key=b"")
            body = self.message(fleet)
            proof = proof_of(b"", "life1", FORWARD_PATH, body)
            assert await self.outcome(fleet, body, proof) == (403, b"not-sent")

    async def test_router_that_is_cut_off_refuses(self) -> None:
        async with cut_off_fleet(1) as fleet:
            body = self.message(fleet)
            proof = proof_of(fleet.nodes[0].forwarding.key, "life1", FORWARD_PATH, body)
            assert await self.outcome(fleet, body, proof) == (503, b"not-sent")

    async def test_unknown_upstream_is_refused(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            body = encode(PathQuery("i0", "life0", "e9", "e9"))
            proof = proof_of(fleet.nodes[0].forwarding.key, "life1", b"/paths", body)
            assert await self.outcome(fleet, body, proof, b"/paths") == (503, b"not-sent")


class TestOlderRouters:
    async def test_answer_of_an_earlier_release_means_not_sent(self, nursery) -> None:
        """An earlier release answers loans only, at the same address."""
        server = HttpServer(LoanHandler(None).handle, ConnectionLimits(body_bytes=4_096))
        port = await start_server(nursery, server)
        client = ForwardingClient("i0", "life0", bytes(KEY_BYTES))
        peer = ForwardingPeer("i1", "life1", f"{HOST}:{port}", "z")
        async with open_router_fleet(routers=1, engines=1) as fleet:
            upstream = fleet.upstreams(0)["e0"].instance
            for body in (b"", b"x" * 8_000):
                request = fleet.request("/once/x", body=body)
                with pytest.raises(NotForwarded):
                    await client.forward(peer, upstream, request, 1.0)
            with pytest.raises(NotForwarded):
                await client.ask_path(peer, upstream)

    async def test_router_without_a_key_is_not_asked(self) -> None:
        async with open_router_fleet(routers=2, engines=1, forwards=False) as fleet:
            fleet.cut_off(0, refuses=True)
            await fleet.send(0)
            await wait_until(lambda: path_state(fleet, 0) is PathState.UNREACHABLE)
            began = trio.current_time()
            assert await fleet.send(0, "/once/x") == 503
            assert trio.current_time() - began < 0.2


class TestNotices:
    async def test_limit_counts_at_the_router_that_has_the_request(self) -> None:
        async with cut_off_fleet(routers=2) as fleet:
            fleet.engine_by_name["e0"].limit = "30"
            await fleet.send(0)
            assert [fleet.upstreams(n)["e0"].limit.per_s for n in (0, 1)] == [30, 30]

    async def test_rest_counts_at_the_router_that_sent(self) -> None:
        async with cut_off_fleet(routers=2) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.rest = "5"
            await fleet.send(0)
            engine.rest = None
            engine.seen.clear()
            fleet.upstreams(0)["e0"].resting_until = 0.0
            assert await fleet.send(0, "/once/x") == 503
            assert not engine.seen

    async def test_leaving_engine_is_noticed_at_both(self) -> None:
        async with cut_off_fleet(routers=2) as fleet:
            fleet.engine_by_name["e0"].leaving = True
            await fleet.send(0)
            assert [fleet.upstreams(n)["e0"].instance.state.value for n in (0, 1)] == [
                "leaving"
            ] * 2


class TestRequestsUnderWay:
    """An engine that a router has lost may still answer, but nothing of it arrives."""

    async def test_repeatable_one_is_sent_again_through_another_router(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.next_scripts = [EngineScript(gap_s=30.0)]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/safe/x")
                await wait_until(lambda: len(engine.ran) == 1)
                fleet.cut_off(0)
            assert fleet.statuses == {200: 1}
            assert len(engine.ran) == 2

    async def test_once_only_one_waits_for_its_answer(self) -> None:
        async with open_router_fleet(routers=2, engines=1) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.script = EngineScript(gap_s=2.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/once/x")
                await wait_until(lambda: len(engine.ran) == 1)
                fleet.cut_off(0)
            assert fleet.statuses == {200: 1}
            assert len(engine.ran) == 1

    async def test_slow_answer_of_an_engine_that_is_reached_is_waited_for(self) -> None:
        async with open_router_fleet(routers=2, engines=1, gap_s=2.0) as fleet:
            assert await fleet.send(0, "/safe/x") == 200
            assert len(fleet.engine_by_name["e0"].ran) == 1


class TestCrashes:
    async def test_path_that_refuses_is_no_crash(self) -> None:
        """Guards against contents held everywhere because one router lost its path."""
        async with open_router_fleet(routers=3, engines=1, gap_s=0.5) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.script = EngineScript(events=5, break_after=2, reset=True, gap_s=0.1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/stream/x")
                await wait_until(lambda: len(engine.ran) == 1)
                fleet.cut_off(0, refuses=True)
            await trio.sleep(1.0)
            assert fleet.nodes[0].counters.value("contents_marked") == 0

    @pytest.mark.parametrize("refuses", [True, False])
    async def test_crash_is_noticed_by_a_router_that_is_cut_off(self, refuses: bool) -> None:
        async with cut_off_fleet(events=50, gap_s=0.1, refuses=refuses) as fleet:
            engine = fleet.engine_by_name["e0"]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, "/stream/x")
                await wait_until(lambda: len(engine.ran) == 1)
                fleet.engine_scopes["e0"].cancel()
            await wait_until(lambda: fleet.nodes[0].counters.value("contents_marked") == 1)


class TestRecovery:
    async def test_direct_path_is_used_again_within_a_second(self) -> None:
        async with cut_off_fleet(engines=3) as fleet:
            fleet.links[0].cut.clear()
            await wait_until(
                lambda: all(u.path is PathState.DIRECT for u in fleet.upstreams(0).values()),
                within_s=1.0,
            )
            before = [forwarded_by(fleet, number) for number in (1, 2)]
            assert [await fleet.send(0) for _ in range(6)] == [200] * 6
            assert [forwarded_by(fleet, number) for number in (1, 2)] == before

    async def test_router_that_is_cut_off_is_advertised_last(self) -> None:
        async with open_router_fleet(routers=4, engines=1) as fleet:
            await wait_until(lambda: all(len(names) == 2 for names in advertised_names(fleet)))
            name = advertised_names(fleet)[0][0]
            cut = int(name[1:])
            fleet.cut_off(cut, refuses=True)
            await fleet.send(cut)
            await wait_until(
                lambda: not any(name in names for names in advertised_names(fleet)), within_s=3.0
            )


def advertised_names(fleet: RouterFleet) -> list[list[str]]:
    """Return which routers each router advertises."""
    return [[router.name for router in node.roster.advertised()] for node in fleet.nodes]


class TestStopOfTheForwarder:
    """Guards against forwarded requests that are cut without an answer to their callers."""

    @staticmethod
    def shorten(fleet: RouterFleet, router: int) -> None:
        """Let a router's shutdown last about a second."""
        node = fleet.nodes[router]
        node.options = replace(node.options, shutdown_accept_s=0.3, shutdown_timeout_s=0.8)

    @staticmethod
    async def stop(fleet: RouterFleet, router: int) -> None:
        """Stop a router's part for other routers, as the end of its process does."""
        await fleet.nodes[router].drain()
        fleet.peer_scopes[router].cancel()

    @pytest.mark.parametrize(("path", "status", "runs"), [("/once/x", 502, 1), ("/safe/x", 200, 2)])
    async def test_request_at_an_engine_at_the_end_is_answered(
        self, path: str, status: int, runs: int
    ) -> None:
        async with cut_off_fleet(routers=3) as fleet:
            engine = fleet.engine_by_name["e0"]
            engine.next_scripts = [EngineScript(gap_s=30.0)]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, path)
                await wait_until(lambda: len(engine.ran) == 1)
                busy = next(n for n in (1, 2) if fleet.nodes[n].open_calls)
                self.shorten(fleet, busy)
                await self.stop(fleet, busy)
            assert fleet.statuses == {status: 1}
            assert len(engine.ran) == runs

    @pytest.mark.parametrize("at_s", [0.0, 0.5])
    async def test_request_during_the_stop_is_forwarded_by_another(self, at_s: float) -> None:
        async with cut_off_fleet(routers=3) as fleet:
            engine = fleet.engine_by_name["e0"]
            fleet.nodes[1].options = replace(fleet.nodes[1].options, shutdown_accept_s=1.5)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.stop, fleet, 1)
                await wait_until(lambda: fleet.nodes[1].leaving)
                await trio.sleep(at_s)
                assert [await fleet.send(0, "/once/x") for _ in range(6)] == [200] * 6
            assert len(engine.ran) == 6

    async def test_request_without_another_forwarder_is_refused_as_not_run(self) -> None:
        async with cut_off_fleet(routers=2) as fleet:
            self.shorten(fleet, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.stop, fleet, 1)
                await wait_until(lambda: fleet.nodes[1].leaving)
                assert await fleet.send(0, "/once/x") == 503
            assert not fleet.engine_by_name["e0"].ran
