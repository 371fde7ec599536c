"""Ends of answers in the soak: engines that are killed, and which seeds have them."""

from dataclasses import replace
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGSTOP

import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.standins.answers import Framing
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import PlatformEngine
from tests.edge_soak.callers import Callers
from tests.edge_soak.checks import broken_promises
from tests.edge_soak.endings import ENDINGS, plan_endings
from tests.edge_soak.fleet import EVENTS, GOOD_ENGINE, EngineServer, Fleet, World, open_fleet
from tests.edge_soak.proxy import LinkFault, open_link
from tests.edge_soak.run import INJECT_BY_NAME, Kind, faults_of_seed
from tests.edge_soak.series import CALM, is_calm
from tests.stream_order import StreamAttempt, complete_events, faults_of_single_run

REQUEST = HttpRequest(b"POST", b"/stream/x", ((b"host", b"h"), (b"x-attempt-id", b"a")), b"b")
STREAMS = 4
GAP_S = 0.2
DOWN_S = 0.3
KINDS = [kind for kind in Kind if kind is not Kind.ROLLBACKS]


async def body_of(port: int) -> bytes:
    """Return what is received of an answer, whether it is complete or not."""
    body = b""
    pool = PeerPool("127.0.0.1", port)
    try:
        async for chunk in (await pool.send(REQUEST)).chunks():
            body += chunk
    except HttpError:
        pass  # it broke off
    return body


class TestUnframedAnswers:
    async def test_events_name_no_version_and_run(self) -> None:
        engine = PlatformEngine("e0", GOOD_ENGINE, version="v1", unframed=True)
        async with trio.open_nursery() as nursery:
            server = EngineServer(engine)
            await nursery.start(server.run)
            bodies = [await body_of(server.port) for _ in range(2)]
            nursery.cancel_scope.cancel()
        for number, body in enumerate(bodies, start=1):
            assert faults_of_single_run(StreamAttempt("a", 0, body, True), EVENTS) == []
            assert all(event.endswith(b"@v1/e0.%d" % number) for event in complete_events(body))


class TestKilledEngine:
    async def test_it_listens_or_answers_after_a_kill(self) -> None:
        engine = PlatformEngine("e0", GOOD_ENGINE, unframed=True)
        async with trio.open_nursery() as nursery:
            server = EngineServer(engine)
            await nursery.start(server.run)
            link = await open_link(nursery, ("127.0.0.1", server.port))
            fleet = Fleet(World(engines=1), None, [], [engine], [link], servers=[server])
            received: list[bytes] = []

            async def receive() -> None:
                received.append(await body_of(link.port))

            nursery.start_soon(receive)
            with trio.fail_after(10):
                while not engine.open_requests:
                    await trio.sleep(0.01)
            server.kill()
            with trio.fail_after(10):
                while not received:
                    await trio.sleep(0.01)
            with pytest.raises(OSError, match="refused|connect"):
                await trio.open_tcp_stream("127.0.0.1", server.port)
            assert len(complete_events(received[0])) < EVENTS
            server.restart()
            with trio.fail_after(10):
                while not server.is_running:
                    await trio.sleep(0.01)
            assert len(complete_events(await body_of(link.port))) == EVENTS
            assert fleet.links_to(engine) == [link]
            nursery.cancel_scope.cancel()


class TestEngineReplacedDuringPause:
    async def test_router_takes_the_next_process_for_that_of_the_answer(
        self, tmp_path: Path
    ) -> None:
        """The next process listens when the router, which was stopped, learns of the end."""
        async with open_fleet(tmp_path, World(routers=1, engines=1)) as fleet:
            router, engine, server = fleet.routers[0], fleet.engines[0], fleet.servers[0]
            link = fleet.engine_links[0]
            with trio.fail_after(60):
                while not await router.is_ready():
                    await trio.sleep(0.1)
            callers = Callers(fleet, Random(1), disconnect_share=0.0)
            engine.script = replace(GOOD_ENGINE, gap_s=GAP_S, framing=Framing.CLOSE)
            link.set_fault(LinkFault.ONE_WAY)
            async with trio.open_nursery() as nursery:
                for _ in range(STREAMS):
                    pool = PeerPool("127.0.0.1", router.calls.port)
                    nursery.start_soon(callers.call, router, pool, "stream")
                while engine.open_requests < STREAMS:
                    await trio.sleep(0.001)
                router.send(SIGSTOP)
                link.set_fault(LinkFault.NONE)
                await trio.sleep(2.5 * GAP_S)
                server.kill()
                await trio.sleep(DOWN_S)
                server.restart()
                await trio.sleep(DOWN_S)
                router.send(SIGCONT)
            assert broken_promises(fleet, callers.attempts) == []


class TestLeavingEngine:
    async def test_its_next_process_is_listed_while_it_leaves(self) -> None:
        """In notices, seed 10102: routers then sent requests to an engine that said it leaves."""
        engine = PlatformEngine("e0", GOOD_ENGINE, leaving=True)
        store = MemoryStore()
        store.put("keyed.servers", "e0", b"{}")
        async with trio.open_nursery() as nursery:
            server = EngineServer(engine)
            await nursery.start(server.run)
            link = await open_link(nursery, ("127.0.0.1", server.port))
            fleet = Fleet(World(engines=1), store, [], [engine], [link], servers=[server])
            with trio.fail_after(30):
                await ENDINGS["unframed-kill"](fleet, Random(1), 0.2)
            nursery.cancel_scope.cancel()
        assert store.topic("keyed.servers").newest_by_key["e0"].value == b"{}"


class TestPlans:
    @pytest.mark.parametrize("kind", KINDS)
    def test_kind_has_no_ends_of_answers(self, kind: Kind) -> None:
        drawn = {planned.name for seed in range(1, 20) for planned in faults_of_seed(kind, seed)}
        assert drawn & set(ENDINGS)
        assert drawn <= set(INJECT_BY_NAME)

    def test_calm_seeds_have_engines_that_end(self) -> None:
        calm = [seed for seed in range(50) if is_calm(seed)]
        drawn = {p.name for seed in calm for p in faults_of_seed(Kind.SERIES, seed)}
        assert drawn <= set(CALM)

    def test_plans_of_a_seed_differ(self) -> None:
        seed = Random(1).randrange(1000)
        assert plan_endings(seed) == plan_endings(seed)
