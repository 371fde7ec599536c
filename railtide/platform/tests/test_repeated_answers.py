"""Engines that send some of their answers a second time, where the next answer is due."""

from itertools import combinations

import pytest
import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer
from railtide.http.sockets import listen
from railtide.membership.instances import Instance
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.router_fleet import RouterFleet, open_router_fleet
from railtide.platform.upstreams import engine_connections
from railtide.standins.platform import EngineRun, EngineScript, PlatformEngine
from railtide.standins.repeated_answers import RepeatedAnswers

STOP_S = 0.4
"""How soon an engine must be told to stop once its request goes on at another one."""


def repeat_once(fleet: RouterFleet) -> None:
    """Let the engines send the next answer that is followed by another one a second time."""
    copies = fleet.repeated_answers.values()
    for repeated in copies:
        repeated.is_repeated = lambda answer: not any(one.count for one in copies)


def repeat_first(fleet: RouterFleet, part: bytes) -> None:
    """Let each engine send its first answer that contains some bytes a second time."""
    for repeated in fleet.repeated_answers.values():
        repeated.is_repeated = lambda answer, one=repeated: part in answer and not one.count


def copies_sent(fleet: RouterFleet) -> int:
    return sum(one.count for one in fleet.repeated_answers.values())


def mismatches(fleet: RouterFleet, router: int = 0) -> int:
    return fleet.nodes[router].counters.value("attempts_failed_answer_mismatch")


def runs(fleet: RouterFleet) -> list[EngineRun]:
    return [run for engine in fleet.engine_by_name.values() for run in engine.runs]


def longest_overlap_s(fleet: RouterFleet) -> float:
    """Return for how long two runs of the same request were in progress at the same time."""
    pairs = [(a, b) for a, b in combinations(runs(fleet), 2) if a.request_id == b.request_id]
    overlaps = [min(a.ended_at, b.ended_at) - max(a.began_at, b.began_at) for a, b in pairs]
    return max(overlaps, default=0.0)


async def fleet_with_kept_connections(fleet: RouterFleet, is_forwarded: bool, path: str) -> None:
    """Send enough requests from the first router that each engine's connections are kept."""
    if is_forwarded:
        fleet.cut_off(0, refuses=True)
        for _ in range(2 * len(fleet.engine_by_name)):
            await fleet.send(0)
    async with trio.open_nursery() as nursery:
        for _ in range(2 * len(fleet.engine_by_name)):
            nursery.start_soon(fleet.send, 0, path)


@pytest.mark.parametrize("is_forwarded", [False, True])
class TestForeignAnswer:
    """The late copy of an earlier answer comes where that to a new request is due.

    The router read the copy to its end and kept the connection. The engine went on with the new
    request, which the router had sent to another engine.
    """

    async def test_no_engine_is_left_at_work_on_a_request_that_went_to_another(
        self, is_forwarded: bool
    ) -> None:
        async with open_router_fleet(2, 2, events=2, gap_s=0.05) as fleet:
            await fleet_with_kept_connections(fleet, is_forwarded, "/resume/x")
            repeat_once(fleet)
            for engine in fleet.engine_by_name.values():
                engine.script = EngineScript(events=20, gap_s=0.05)
            await fleet.send(0, "/resume/x")
            assert longest_overlap_s(fleet) <= STOP_S
            assert fleet.statuses[200] == sum(fleet.statuses.values())
            assert (copies_sent(fleet), mismatches(fleet)) == (1, 1)

    async def test_later_requests_get_no_answer_that_was_left_on_a_connection(
        self, is_forwarded: bool
    ) -> None:
        async with open_router_fleet(2, 2, gap_s=0.3) as fleet:
            await fleet_with_kept_connections(fleet, is_forwarded, "/safe/x")
            repeat_once(fleet)
            async with trio.open_nursery() as nursery:
                for _ in range(12):
                    nursery.start_soon(fleet.send, 0, "/safe/x")
                    await trio.sleep(0.05)
            assert fleet.statuses[200] == sum(fleet.statuses.values())
            assert (copies_sent(fleet), mismatches(fleet)) == (1, 1)

    async def test_call_that_may_not_be_repeated_runs_once_and_is_not_called_refused(
        self, is_forwarded: bool
    ) -> None:
        async with open_router_fleet(2, 1, gap_s=0.05) as fleet:
            await fleet_with_kept_connections(fleet, is_forwarded, "/once/x")
            repeat_once(fleet)
            fleet.statuses.clear()
            assert await fleet.send(0, "/once/x") == 502
            assert len([run for run in runs(fleet) if run.request_id == fleet.last_id]) <= 1
            for _ in range(6):
                assert await fleet.send(0, "/once/x") == 200
            assert (copies_sent(fleet), mismatches(fleet)) == (1, 1)


@pytest.mark.parametrize("is_forwarded", [False, True])
class TestSecondOffer:
    """A request is offered to an engine again while a late copy of its first answer is to come.

    Both offers have the same id. The copy was taken for the answer to the second one: of a refused
    request that the engine then ran, the caller was told that it had not run.
    """

    async def test_request_that_runs_is_not_called_refused(self, is_forwarded: bool) -> None:
        async with open_router_fleet(2, 1, gap_s=0.05) as fleet:
            await fleet_with_kept_connections(fleet, is_forwarded, "/once/x")
            repeat_first(fleet, b"x-not-executed")
            engine = fleet.engine_by_name["e0"]
            engine.next_scripts = [EngineScript(not_run=True)]
            assert await fleet.send(0, "/once/x") == 200
            assert engine.ran.count(fleet.last_id) == 1

    async def test_failure_of_the_first_run_is_not_taken_for_that_of_the_second(
        self, is_forwarded: bool
    ) -> None:
        async with open_router_fleet(2, 1, gap_s=0.05) as fleet:
            await fleet_with_kept_connections(fleet, is_forwarded, "/safe/x")
            repeat_first(fleet, b" 500 ")
            engine = fleet.engine_by_name["e0"]
            engine.next_scripts = [EngineScript(status=500, gap_s=0.05)]
            assert await fleet.send(0, "/safe/x") == 200
            assert engine.ran.count(fleet.last_id) == 2

    async def test_other_requests_go_on_over_the_connection_of_a_refusal(
        self, is_forwarded: bool
    ) -> None:
        async with open_router_fleet(2, 1) as fleet:
            await fleet_with_kept_connections(fleet, is_forwarded, "/once/x")
            engine = fleet.engine_by_name["e0"]
            accepted = fleet.repeated_answers["e0"].accepted
            for _ in range(8):
                engine.next_scripts = [EngineScript(not_run=True)]
                assert await fleet.send(0, "/once/x") == 200
            assert fleet.repeated_answers["e0"].accepted - accepted <= 2


class TestEvidenceOfRefusals:
    async def test_proof_of_a_refusal_is_missing_from_its_line(self, lines: list[dict]) -> None:
        async with open_router_fleet(1, 1) as fleet:
            engine = fleet.engine_by_name["e0"]
            await fleet.send(0, "/once/x")
            engine.next_scripts = [EngineScript(not_run=True)]
            assert await fleet.send(0, "/once/x") == 200
            fleet.links[0].forget(fleet.upstreams(0)["e0"].instance)
            fleet.cut_off(0, refuses=True)
            assert await fleet.send(0, "/once/x") == 503
        failed = [line for line in lines if line["event"] == "attempt-failed"]
        assert (failed[0]["proof"], failed[0]["answered"], failed[0]["carried"]) == (
            "answer",
            503,
            1,
        )
        assert failed[-1]["proof"] == "no-connection"

    async def test_answer_to_a_request_that_was_refused_goes_unnoticed(
        self, lines: list[dict]
    ) -> None:
        async with open_router_fleet(1, 1) as fleet:
            repeat_first(fleet, b" 200 ")
            await fleet.send(0, "/once/x")
            ran = fleet.last_id
            fleet.nodes[0].note_refused(ran, "upstream-refused")
            await fleet.send(0, "/once/x")
            assert fleet.nodes[0].counters.value("refusals_contradicted") == 1
        told = [line for line in lines if line["event"] == "refusal-contradicted"]
        assert [(line["request_id"], line["status"]) for line in told] == [(ran, 200)]


class TestConnections:
    async def test_request_is_offered_again_over_another_connection_until_it_times_out(
        self,
    ) -> None:
        """Guards against a router whose connections to the engines don't match the ids."""
        listener = RepeatedAnswers(await listen(HOST, 0), lambda answer: False)
        port = listener.port
        upstream = Instance("e0", "e0/1", f"{HOST}:{port}", "z", "engine")
        transport = engine_connections()

        async def offer(request_id: bytes, timeout_s: float) -> None:
            headers = ((b"host", b"x"), (b"x-attempt-id", request_id))
            request = HttpRequest(b"GET", b"/x", headers)
            (await transport.send(upstream, request, timeout_s)).discard()

        async with trio.open_nursery() as nursery:
            server = HttpServer(PlatformEngine("e0").handle, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            await offer(b"a", 60.0)
            for number in range(200):
                await offer(b"%d" % number, 0.0)
            assert listener.accepted == 1
            await offer(b"a", 60.0)
            assert listener.accepted == 2
            nursery.cancel_scope.cancel()
