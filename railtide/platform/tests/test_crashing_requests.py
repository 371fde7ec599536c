"""A request that crashes every engine that runs it, and the requests that run beside it.

A client sent the same content again every one to three seconds, each time with a new id and to any
router. Routers took each for a new request, and retries carried it to further engines: eight
incarnations crashed within 13 s, and all requests that ran on them broke off. Routers did not know
that two requests were the same, and did not distinguish a crashed engine from a broken answer.
"""

import socket
import struct
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import msgspec
import pytest
import trio

from railtide.containment.crash_detection import ProbeResult
from railtide.containment.registry import TOPIC
from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.http.sockets import listen
from railtide.membership.identity import Identity
from railtide.membership.instances import Instance
from railtide.platform.desired_state import PlatformSources
from railtide.platform.ingress import Ingress
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.test_end_to_end import desired_state, serve
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.answers import Framing
from railtide.standins.crashing_engine import CRASH_PREFIX, CrashingEngine
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, StoreServer, engine_entry
from railtide.telemetry.counters import Counters

ROUTERS = 3
ENGINES = 5
GOOD_SCRIPT = EngineScript(events=8, gap_s=0.03)
MAX_CRASHES = 3
QUARANTINE_S = 0.5
"""After the third crash, until no router forwards the content any more; 3 s are permitted."""
MIN_SERVED_SHARE = 0.95
"""Share of the other requests that are served: one in flight at two crashes has no attempt left."""
CRASHING_BODY = CRASH_PREFIX + b" the same each time"


@dataclass
class CrashingFleet:
    """Routers that share a store, and engines that can crash."""

    store: MemoryStore
    store_port: int
    nursery: trio.Nursery
    engines: list[CrashingEngine]
    nodes: list[EdgeNode] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    statuses_by_body: dict[bytes, list[int]] = field(default_factory=dict)
    refusals_by_body: dict[bytes, list[str]] = field(default_factory=dict)
    sent_count: int = 0

    async def add_router(self) -> None:
        """Start a router and wait until it is ready and knows all engines."""
        number = len(self.nodes)
        upstreams = PlatformUpstreams()
        node = EdgeNode(
            Identity(f"i{number}", "z", f"{HOST}:{number + 1}", f"life{number}"),
            PlatformStore(f"{HOST}:{self.store_port}", Counters()),
            PlatformSources(),
            upstreams,
            EdgeOptions(),
            Random(number),
        )
        upstreams.on_notice = node.apply_notice
        self.nodes.append(node)
        self.scopes.append(trio.CancelScope())
        self.nursery.start_soon(self._run, node, self.scopes[-1])
        self.ports.append(await serve(self.nursery, Ingress(node, Random(number)).handle))
        with trio.fail_after(5):
            while not node.ready or len(node.schedulers_by_pool["s"].by_name) < ENGINES:
                await trio.sleep(0.01)

    @staticmethod
    async def _run(node: EdgeNode, scope: trio.CancelScope) -> None:
        with scope:
            await node.run()

    async def send(
        self, router: int, body: bytes, path: str = "/resume/x", parts: bytes = b""
    ) -> int:
        """Send a request; return its status, 0 without a complete answer."""
        self.sent_count += 1
        headers = (
            (b"host", b"h.example"),
            (b"x-attempt-id", b"r%d" % self.sent_count),
            (b"x-deadline-ms", b"2500"),
            (b"x-credential", b"k"),
            *(((b"x-prompt-prefix", parts),) if parts else ()),
        )
        status = 0
        pool = PeerPool(HOST, self.ports[router])
        with trio.move_on_after(4):
            try:
                exchange = await pool.send(HttpRequest(b"POST", path.encode(), headers, body))
                answer = b"".join([chunk async for chunk in exchange.chunks()])
                status = exchange.status
                if status == 503:
                    code = msgspec.json.decode(answer)["code"]
                    self.refusals_by_body.setdefault(body, []).append(code)
            except HttpError:
                status = 0
        pool.close()
        self.statuses_by_body.setdefault(body, []).append(status)
        return status

    def crash_times(self) -> list[float]:
        """Return the times at which engines crashed, in order."""
        return sorted(
            at for engine in self.engines for at in engine.crashed_at_by_incarnation.values()
        )

    def arrivals(self, body: bytes) -> list[float]:
        """Return the times at which a body reached engines, in order."""
        return sorted(a.at for engine in self.engines for a in engine.arrivals if a.body == body)


@asynccontextmanager
async def crashing_fleet(**engine: object) -> AsyncIterator[CrashingFleet]:
    store = MemoryStore()
    store.put("keyed.op", "config", desired_state(prepaid=1_000_000))
    async with trio.open_nursery() as nursery:
        store_port = await serve(nursery, StoreServer(store).handle)
        engines = [
            CrashingEngine(store, f"e{n}", HOST, GOOD_SCRIPT, **engine) for n in range(ENGINES)
        ]
        for one in engines:
            nursery.start_soon(one.run)
        fleet = CrashingFleet(store, store_port, nursery, engines)
        for _ in range(ROUTERS):
            await fleet.add_router()
        yield fleet
        nursery.cancel_scope.cancel()


async def send_other_requests(
    fleet: CrashingFleet, seconds: float, interval_s: float = 0.1
) -> None:
    """Send requests with different bodies to the routers in turn."""
    ends_at = trio.current_time() + seconds
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < ends_at:
            number += 1
            nursery.start_soon(fleet.send, number % ROUTERS, b"innocent %d" % number)
            await trio.sleep(interval_s)


class TestRequestThatCrashesItsEngines:
    def test_it_crashes_three_engines_and_other_requests_are_served(self) -> None:
        async def scenario() -> None:
            async with crashing_fleet() as fleet:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send_other_requests, fleet, 8.0)
                    for number in range(16):
                        nursery.start_soon(fleet.send, number % ROUTERS, CRASHING_BODY)
                        await trio.sleep(0.5)
                crash_times = fleet.crash_times()
                assert len(crash_times) == MAX_CRASHES, f"{len(crash_times)} engines crashed"
                late_arrivals = [
                    at
                    for at in fleet.arrivals(CRASHING_BODY)
                    if at > crash_times[MAX_CRASHES - 1] + QUARANTINE_S
                ]
                assert not late_arrivals, f"forwarded {len(late_arrivals)} more times"
                others = [s for body, s in fleet.statuses_by_body.items() if body != CRASHING_BODY]
                assert not any(503 in statuses for statuses in others)
                served = sum(200 in statuses for statuses in others)
                assert served >= MIN_SERVED_SHARE * len(others), f"{served} of {len(others)}"

        trio.run(scenario)


async def send_crashing_requests(fleet: CrashingFleet, times: int, path: str = "/resume/x") -> None:
    """Send the crashing content to the routers in turn, one request after another."""
    for number in range(times):
        await fleet.send(number % ROUTERS, CRASHING_BODY, path)


class TestKindsOfRequests:
    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/resume/x", "/open/x"])
    @pytest.mark.parametrize("begins", [True, False])
    async def test_three_engines_crash_on_any_route(self, path: str, begins: bool) -> None:
        async with crashing_fleet(sends_head=begins) as fleet:
            await send_crashing_requests(fleet, 9, path)
            assert len(fleet.crash_times()) == MAX_CRASHES
            assert fleet.statuses_by_body[CRASHING_BODY][-1] == 503

    async def test_restart_under_the_same_id_is_another_incarnation(self) -> None:
        async with crashing_fleet(keeps_id=True, restart_delay_s=0.05) as fleet:
            await send_crashing_requests(fleet, 9)
            assert len(fleet.crash_times()) == MAX_CRASHES

    async def test_engine_that_restarts_at_once_counts_as_crashed(self) -> None:
        async with crashing_fleet(restart_delay_s=0.0) as fleet:
            for number in range(9):
                await fleet.send(number % ROUTERS, CRASHING_BODY)
                await trio.sleep(0.5)
            assert len(fleet.crash_times()) <= MAX_CRASHES + 1

    async def test_copies_in_flight_at_several_routers_crash_one_engine(self) -> None:
        async with crashing_fleet() as fleet:
            await send_crashing_requests(fleet, 1, "/once/x")
            await send_crashing_requests(fleet, 1, "/once/x")
            await trio.sleep(0.3)
            async with trio.open_nursery() as nursery:
                for router in range(ROUTERS):
                    nursery.start_soon(fleet.send, router, CRASHING_BODY, "/once/x")
            assert len(fleet.crash_times()) == MAX_CRASHES


class TestSecondAttempt:
    async def test_second_attempt_waits_for_the_probe_of_the_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        probe = PlatformUpstreams.probe

        async def probe_far_away(upstreams: PlatformUpstreams, upstream: Instance) -> ProbeResult:
            await trio.sleep(0.02)
            return await probe(upstreams, upstream)

        monkeypatch.setattr(PlatformUpstreams, "probe", probe_far_away)
        async with crashing_fleet(crash_after_s=0.005) as fleet:
            for _ in range(3):
                await fleet.send(0, CRASHING_BODY, "/safe/x")
            assert len(fleet.crash_times()) == MAX_CRASHES


class TestFleet:
    async def test_quarantine_survives_a_killed_router_and_reaches_a_new_one(self) -> None:
        async with crashing_fleet() as fleet:
            await send_crashing_requests(fleet, 6)
            fleet.scopes[0].cancel()
            await fleet.add_router()
            assert await fleet.send(ROUTERS, CRASHING_BODY) == 503
            assert len(fleet.crash_times()) == MAX_CRASHES

    async def test_crash_during_an_outage_of_the_store_counts(self) -> None:
        async with crashing_fleet() as fleet:
            await send_crashing_requests(fleet, 1, "/once/x")
            fleet.store.down = True
            await fleet.send(1, CRASHING_BODY, "/once/x")
            await trio.sleep(0.5)
            fleet.store.down = False
            await trio.sleep(1.5)
            await send_crashing_requests(fleet, 6, "/once/x")
            assert len(fleet.crash_times()) == MAX_CRASHES

    async def test_lost_and_late_writes(self) -> None:
        async with crashing_fleet() as fleet:
            fleet.store.lose_answers = 2
            fleet.store.late_appends = 1
            for number in range(9):
                await fleet.send(number % ROUTERS, CRASHING_BODY, "/once/x")
                await trio.sleep(0.2)
            fleet.store.apply_late_appends()
            assert len(fleet.crash_times()) == MAX_CRASHES


class TestOtherRequests:
    async def test_identical_requests_in_flight_with_it_are_served(self) -> None:
        async with crashing_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    nursery.start_soon(fleet.send, number % ROUTERS, b"same", "/safe/x")
                    if number % 6 == 0:
                        nursery.start_soon(fleet.send, number % ROUTERS, CRASHING_BODY, "/safe/x")
                    await trio.sleep(0.1)
            assert len(fleet.crash_times()) == MAX_CRASHES
            assert 503 not in fleet.statuses_by_body[b"same"]

    async def test_killed_engines_quarantine_no_content(self) -> None:
        async with crashing_fleet() as fleet:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_other_requests, fleet, 5.0, 0.03)
                for number in range(8):
                    await trio.sleep(0.6)
                    fleet.engines[number % ENGINES].crash()
            codes = [code for codes in fleet.refusals_by_body.values() for code in codes]
            assert "content-held" not in codes

    async def test_broken_answers_of_live_engines_record_no_crash(self) -> None:
        async with crashing_fleet() as fleet:
            for engine in fleet.engines:
                engine.script = replace(GOOD_SCRIPT, break_after=2)
            for number in range(30):
                await fleet.send(number % ROUTERS, b"same each time")
            await trio.sleep(0.3)
            assert fleet.store.topic(TOPIC).end == 0
            assert 503 not in fleet.statuses_by_body[b"same each time"]


class TestEvidence:
    async def test_answer_that_only_a_close_ends_clears_no_suspicion(self) -> None:
        async with crashing_fleet() as fleet:
            await fleet.send(0, CRASHING_BODY, "/safe/x")
            marks = fleet.store.topic(TOPIC)
            with trio.fail_after(5):
                while marks.end < 2:
                    await trio.sleep(0.01)
            for framing, cleared in [(Framing.CLOSE, 0), (Framing.CHUNKED, 2)]:
                for engine in fleet.engines:
                    engine.script = EngineScript(framing=framing)
                    engine.crash_after_s = -1.0
                assert await fleet.send(0, CRASHING_BODY, "/safe/x") == 200
                await trio.sleep(0.3)
                assert marks.end == 2 + cleared

    async def test_exit_of_a_draining_engine_is_no_crash(self) -> None:
        async with crashing_fleet() as fleet:
            for engine in fleet.engines:
                engine.script = replace(GOOD_SCRIPT, gap_s=0.2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.send, 0, b"under way")
                with trio.fail_after(5):
                    while not any(engine.arrivals for engine in fleet.engines):
                        await trio.sleep(0.01)
                (busy,) = [engine for engine in fleet.engines if engine.arrivals]
                entry = engine_entry(f"{HOST}:{busy.port}") | {"state": "draining"}
                fleet.store.put("keyed.servers", busy.incarnation, msgspec.json.encode(entry))
                await trio.sleep(0.5)
                busy.crash()
            await trio.sleep(0.3)
            assert fleet.store.topic(TOPIC).end == 0


class TestCrashedEngine:
    async def test_listed_address_without_a_listener_is_tried_once(self) -> None:
        async with crashing_fleet(restart_delay_s=60.0) as fleet:
            fleet.engines[0].crash()
            for number in range(30):
                await fleet.send(0, b"%d" % number, "/safe/x")
            counted = fleet.nodes[0].counters.value("attempts_failed_upstream_refused")
            assert counted <= 1
            assert not fleet.refusals_by_body


class TestProbe:
    """What a connection to an engine's address proves about the engine."""

    @staticmethod
    async def probe(port: int) -> ProbeResult:
        engine = Instance("e", "e", f"{HOST}:{port}", "z", "engine")
        return await PlatformUpstreams().probe(engine)

    async def test_engine_that_closes_its_listener_after_its_connections_is_refused(self) -> None:
        """A thread closes the listener: a task of a busy process might do so after the probe."""
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
            stops = threading.Timer(0.005, listener.close)
            stops.start()
            assert await self.probe(port) is ProbeResult.REFUSED
            stops.join()

    async def test_engine_that_resets_excess_connections_is_alive(self, nursery) -> None:
        listener = await listen(HOST, 0)

        async def reset(stream: trio.SocketStream) -> None:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.socket.close()

        nursery.start_soon(trio.serve_listeners, reset, [listener])
        assert await self.probe(listener.socket.getsockname()[1]) is ProbeResult.CONNECTED

    async def test_unresponsive_engine_is_alive(self, nursery) -> None:
        listener = await listen(HOST, 0)
        assert await self.probe(listener.socket.getsockname()[1]) is ProbeResult.CONNECTED
