"""End-to-end tests on loopback: store, engines, one edge router, and a client."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import msgspec
import pytest
import trio

from railtide.clocks import SuspensionDetector
from railtide.edge.node import EdgeNode
from railtide.edge.options import EdgeOptions
from railtide.http.client import Exchange, PeerPool
from railtide.http.errors import ConnectionLost
from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, Handler, HttpServer
from railtide.http.sockets import listen
from railtide.membership.identity import Identity
from railtide.platform.desired_state import PlatformSources
from railtide.platform.ingress import Ingress
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.platform.upstreams import PlatformUpstreams
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import EngineScript, PlatformEngine, StoreServer, engine_entry
from railtide.standins.throttled_link import ThrottledLink
from railtide.telemetry.counters import Counters

ROUTE = {"host": "h.example", "service": "s", "timeout_ms": 3000, "goal_ms": 500}
ROUTES = [
    ROUTE | {"name": "safe", "path_prefix": "/safe/", "kind": "safe", "max_attempts": 2},
    ROUTE | {"name": "once", "path_prefix": "/once/", "kind": "unsafe"},
    ROUTE | {"name": "open", "path_prefix": "/open/", "kind": "safe", "public": True},
    ROUTE | {"name": "stream", "path_prefix": "/stream/", "kind": "streaming"},
    ROUTE
    | {
        "name": "resume",
        "path_prefix": "/resume/",
        "kind": "streaming",
        "resumable": True,
        "max_attempts": 2,
    },
    ROUTE | {"name": "short", "path_prefix": "/short/", "kind": "safe", "timeout_ms": 150},
]


def desired_state(version: int = 1, prepaid: int = 1000, keys: tuple[str, ...] = ("k",)) -> bytes:
    tenant = {"name": "t", "api_keys": keys, "prepaid": prepaid}
    state = {"version": version, "routes": ROUTES, "services": [{"name": "s"}], "tenants": [tenant]}
    return msgspec.json.encode(state)


@dataclass
class RouterEnvironment:
    """One router, its store and engines, and a client's connection pool to the router.

    Attributes
    ----------
    server_scope : trio.CancelScope
        The scope of the router's server; cancelling it cuts its connections.
    """

    store: MemoryStore
    node: EdgeNode
    pool: PeerPool
    port: int
    nursery: trio.Nursery
    ingress: Ingress
    server: HttpServer
    server_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    engine_by_name: dict[str, PlatformEngine] = field(default_factory=dict)
    server_by_engine: dict[str, HttpServer] = field(default_factory=dict)
    sent_count: int = 0
    address_by_engine: dict[str, str] = field(default_factory=dict)

    async def add_engine(self, name: str, born: int = 0, **script: object) -> PlatformEngine:
        engine = PlatformEngine(name, EngineScript(**script))
        server = HttpServer(engine.handle, ConnectionLimits())
        self.server_by_engine[name] = server
        port = await start_server(self.nursery, server)
        self.address_by_engine[name] = f"{HOST}:{port}"
        self.put_engine(name, **({"born": born} if born else {}))
        self.engine_by_name[name] = engine
        await self.wait_until_listed(name)
        return engine

    async def wait_until_listed(self, name: str) -> None:
        with trio.fail_after(5):
            while not self._is_listed(name):
                await trio.sleep(0.01)

    def put_engine(self, name: str, **fields: object) -> None:
        record = engine_entry(self.address_by_engine[name]) | fields
        self.store.put("keyed.servers", name, msgspec.json.encode(record))

    def stored_entry(self, name: str) -> bytes:
        return self.store.topic("keyed.servers").newest_by_key[name].value

    def _is_listed(self, name: str) -> bool:
        scheduler = self.node.schedulers_by_pool.get("s")
        return scheduler is not None and name in scheduler.by_name

    async def send(self, path: str, *headers: tuple[bytes, bytes], body: bytes = b"") -> Exchange:
        self.sent_count += 1
        base = (
            (b"host", b"h.example"),
            (b"x-attempt-id", b"r%d" % self.sent_count),
            (b"x-deadline-ms", b"2500"),
        )
        keyed = () if any(name == b"x-credential" for name, _ in headers) else KEY
        method = b"POST" if body else b"GET"
        with trio.fail_after(8):
            return await self.pool.send(
                HttpRequest(method, path.encode(), (*base, *keyed, *headers), body)
            )


KEY = ((b"x-credential", b"k"),)


async def serve(nursery: trio.Nursery, handler: Handler) -> int:
    return await start_server(nursery, HttpServer(handler, ConnectionLimits()))


async def start_server(nursery: trio.Nursery, server: HttpServer) -> int:
    listener = await listen(HOST, 0)
    nursery.start_soon(server.serve, listener)
    return listener.socket.getsockname()[1]


@asynccontextmanager
async def router_environment(
    state: bytes | None = None,
    suspensions: SuspensionDetector | None = None,
    link: ThrottledLink | None = None,
    store: MemoryStore | None = None,
    instance: str = "i1",
    options: EdgeOptions | None = None,
) -> AsyncIterator[RouterEnvironment]:
    """Yield a router that is ready; it reaches its store, which may be shared, over `link`."""
    store = store or MemoryStore()
    store.put("keyed.op", "config", state or desired_state())
    async with trio.open_nursery() as nursery:
        store_port = await serve(nursery, StoreServer(store).handle)
        if link:
            store_port = await link.open(nursery, HOST, store_port)
        upstreams = PlatformUpstreams()
        node = EdgeNode(
            Identity(instance, "z", f"{HOST}:1", f"life-{instance}"),
            PlatformStore(f"{HOST}:{store_port}", Counters()),
            PlatformSources(),
            upstreams,
            options or EdgeOptions(),
            Random(1),
            suspensions=suspensions,
        )
        upstreams.on_notice = node.apply_notice
        nursery.start_soon(node.run)
        ingress = Ingress(node, Random(1))
        server = HttpServer(ingress.handle, ConnectionLimits(), check_head=ingress.check_head)
        scope = trio.CancelScope()
        listener = await listen(HOST, 0)
        nursery.start_soon(_serve_within, scope, server, listener)
        port = listener.socket.getsockname()[1]
        with trio.fail_after(5):
            while not node.ready:
                await trio.sleep(0.01)
        pool = PeerPool(HOST, port)
        yield RouterEnvironment(store, node, pool, port, nursery, ingress, server, scope)
        nursery.cancel_scope.cancel()


async def _serve_within(
    scope: trio.CancelScope, server: HttpServer, listener: trio.SocketListener
) -> None:
    with scope:
        await server.serve(listener)


async def body_of(exchange: Exchange) -> bytes:
    with trio.fail_after(8):
        return b"".join([chunk async for chunk in exchange.chunks()])


class TestLoad:
    @staticmethod
    def has_load_report(env: RouterEnvironment) -> bool:
        return env.node.schedulers_by_pool["s"].by_name["e1"].report is not None

    async def test_answer_reports_the_load_of_its_engine(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            await body_of(await env.send("/safe/x"))
            assert self.has_load_report(env)

    async def test_load_of_another_engine_at_the_address_is_ignored(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.name = "other"
            await env.send("/safe/x")
            assert engine.seen and not self.has_load_report(env)

    async def test_load_in_an_answer_to_another_request_is_ignored(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", wrong_id=True)
            await env.send("/safe/x")
            assert engine.seen and not self.has_load_report(env)


class TestForwarding:
    async def test_request_and_answer_are_forwarded(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            answer = await env.send("/once/x?q=1", (b"x-other", b"1"), body=b"body")
            assert (answer.status, await body_of(answer)) == (200, b"ok")
            assert first_header(answer.headers, b"x-response-seal") == b"e1"
            seen = engine.seen[0]
            assert (seen.method, seen.target, seen.body) == (b"POST", b"/once/x?q=1", b"body")
            sent = dict(seen.headers)
            assert sent[b"x-tenant"] == b"t" and sent[b"x-expect-instance"] == b"e1"
            assert sent[b"x-attempt-id"] == b"r1" and sent[b"x-other"] == b"1"
            assert b"x-credential" not in sent
            assert 0 < int(sent[b"x-deadline-ms"]) <= 2500

    async def test_client_cannot_choose_its_account(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            await body_of(await env.send("/open/x", (b"x-tenant", b"other")))
            assert first_header(engine.seen[0].headers, b"x-tenant") is None

    @pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x", "/resume/x"])
    async def test_client_cannot_set_headers_that_routers_set(self, path: str) -> None:
        own = [b"X-Hold", b"x-pin-ms", b"X-KV-Backup", b"Kv-From", b"kv-fetch", b"X-Expect-Version"]
        own += [b"x-expect-instance", b"X-Request-Urgency", b"X-Tenant", b"x-deadline-ms"]
        forged = [(name, b"forged") for name in own for _ in range(2)]
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            assert (await env.send(path, *forged)).status == 200
            assert b"forged" not in [value for _, value in engine.seen[0].headers]

    @pytest.mark.parametrize("name", [b"x-model", b"x-length-hint", b"x-prompt-prefix", b"x-other"])
    async def test_other_client_headers_are_forwarded(self, name: bytes) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            assert (await env.send("/safe/x", (name, b"5e:7"))).status == 200
            assert first_header(engine.seen[0].headers, name) == b"5e:7"

    async def test_last_event_id_beyond_ascii_is_changed(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            await env.send("/resume/x", (b"last-event-id", b"\xe9"))
            assert first_header(engine.seen[0].headers, b"last-event-id") == b"\xe9"

    async def test_last_event_id_is_forwarded_only_for_resumable_streams(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", events=3)
            whole = await env.send("/stream/x", (b"last-event-id", b"2"))
            assert (await body_of(whole)).count(b"data:") == 3
            rest = await env.send("/resume/x", (b"last-event-id", b"2"))
            assert (await body_of(rest)).count(b"data:") == 1
            assert len(engine.ran) == 2

    async def test_unknown_key_and_route_are_refused(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            assert (await env.send("/safe/x", (b"x-credential", b"wrong"))).status == 401
            assert (await env.send("/nowhere/x")).status == 404
            assert engine.seen == []

    async def test_signed_failure_is_forwarded_after_a_retry(self) -> None:
        async with router_environment() as env:
            engines = [await env.add_engine(f"e{n}", status=500, body=b"bad") for n in (1, 2)]
            answer = await env.send("/safe/x")
            assert (answer.status, await body_of(answer)) == (500, b"bad")
            assert first_header(answer.headers, b"x-response-seal") is not None
            assert sum(len(engine.ran) for engine in engines) == 2


class TestLeavingEngine:
    async def test_idle_connections_to_a_removed_engine_are_closed(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            assert await body_of(await env.send("/safe/x")) == b"ok"
            server = env.server_by_engine["e1"]
            assert len(server.idle_scopes) == 1
            env.store.put("keyed.servers", "e1", b"")
            with trio.fail_after(5):
                while server.idle_scopes:
                    await trio.sleep(0.01)


class TestRetries:
    async def test_refused_request_is_sent_to_another_engine(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", not_run=True)
            await env.add_engine("e2")
            for _ in range(4):
                assert (await env.send("/safe/x")).status == 200

    async def test_refusals_do_not_count_as_attempts(self) -> None:
        """The route allows one attempt; two engines are full, and one has free slots."""
        async with router_environment() as env:
            full = [await env.add_engine(f"e{n}", not_run=True) for n in (1, 2)]
            free = await env.add_engine("e3")
            for _ in range(4):
                assert (await env.send("/once/x", body=b"b")).status == 200
            assert (len(free.ran), [engine.ran for engine in full]) == (4, [[], []])

    async def test_unsafe_request_is_not_retried(self) -> None:
        async with router_environment() as env:
            engines = [await env.add_engine(f"e{n}", wrong_id=True) for n in (1, 2)]
            answer = await env.send("/once/x", body=b"b")
            assert answer.status == 502
            assert sum(len(engine.ran) for engine in engines) == 1

    async def test_request_refused_by_its_engine_is_reported_as_not_run(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", not_run=True)
            answer = await env.send("/once/x", body=b"b")
            assert answer.status == 503
            assert first_header(answer.headers, b"retry-after") is not None
            assert engine.ran == []

    async def test_unsigned_answer_is_not_forwarded(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", unsigned=True)
            assert (await env.send("/once/x", body=b"b")).status == 502

    async def test_engine_whose_address_another_engine_has_is_not_used(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1")
            engine.name = "e9"
            assert (await env.send("/once/x", body=b"b")).status == 503
            assert env.node.schedulers_by_pool["s"].by_name["e1"].leaving


class TestStreams:
    async def test_all_events_are_forwarded(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", events=3)
            answer = await env.send("/stream/x")
            assert (await body_of(answer)).count(b"data:") == 3

    async def test_broken_stream_never_looks_complete(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", events=5, break_after=2)
            answer = await env.send("/stream/x")
            with pytest.raises(ConnectionLost):
                await body_of(answer)

    async def test_resumable_stream_continues_at_another_engine(self) -> None:
        async with router_environment() as env:
            first = await env.add_engine("e1", events=5, break_after=2)
            answer = await env.send("/resume/x")
            sealed_by = first_header(answer.headers, b"x-response-seal")
            second = await env.add_engine("e2", events=5)
            first.script = EngineScript(events=5, break_after=2)
            body = await env.send("/resume/x")
            assert await body_of(body) == b"".join(
                b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 6)
            )
            assert sealed_by == b"e1"
            assert second.ran

    async def test_disconnect_of_the_client_stops_the_engine(self) -> None:
        async with router_environment() as env:
            engine = await env.add_engine("e1", events=100, gap_s=0.05)
            answer = await env.send("/stream/x")
            answer.abandon()
            with trio.fail_after(5):
                while not engine.cancelled_requests:
                    await trio.sleep(0.01)

    async def test_route_timeout_ends_a_request(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", gap_s=5)
            assert (await env.send("/short/x")).status == 504


class TestBudgets:
    TOKENS = ((b"x-token-count", b"300,100"),)

    async def test_request_whose_maximum_cost_exceeds_the_balance_is_refused(self) -> None:
        async with router_environment(desired_state(prepaid=500)) as env:
            await env.add_engine("e1", events=3)
            assert (await env.send("/stream/x", *self.TOKENS)).status == 200
            refused = await env.send("/stream/x", *self.TOKENS)
            assert refused.status == 402

    async def test_answer_without_events_is_billed_at_its_maximum_size(self) -> None:
        async with router_environment(desired_state(prepaid=750)) as env:
            await env.add_engine("e1")
            assert (await env.send("/safe/x", *self.TOKENS)).status == 200
            assert (await env.send("/safe/x", *self.TOKENS)).status == 402

    async def test_request_without_a_cost_needs_no_ledger(self) -> None:
        async with router_environment() as env:
            await env.add_engine("e1")
            for part in env.node.budgets.partitions:
                part.loaded = False
            assert not env.node.ready
            assert (await env.send("/once/x", body=b"b")).status == 200

    async def test_raised_budget_applies_from_its_version_on(self) -> None:
        async with router_environment(desired_state(prepaid=100)) as env:
            await env.add_engine("e1", events=3)
            assert (await env.send("/stream/x", *self.TOKENS)).status == 402
            env.store.put("keyed.op", "config", desired_state(2, prepaid=5000))
            with trio.fail_after(5):
                while env.node.snapshot.version < 2:
                    await trio.sleep(0.01)
            assert (await env.send("/stream/x", *self.TOKENS)).status == 200

    async def test_older_version_is_never_applied(self) -> None:
        async with router_environment(desired_state(5)) as env:
            in_force: list[int] = []
            env.node.on_snapshot = lambda snapshot: in_force.append(snapshot.version)
            env.store.put("keyed.op", "config", desired_state(4, keys=("old",)))
            env.store.put("keyed.op", "config", b"not a desired state")
            env.store.put("keyed.op", "config", desired_state(6))
            with trio.fail_after(5):
                while env.node.snapshot.version < 6:
                    await trio.sleep(0.01)
            assert in_force == [6]
            assert "old" not in env.node.snapshot.account_by_key


class TestLogLines:
    """After a power failure the log did not show when a router was ready, nor which Retry-After its
    callers got: a slow recovery looked like an exhausted budget."""

    async def test_ready_is_logged_once(self, lines: list[dict[str, object]]) -> None:
        async with router_environment() as env:
            with trio.fail_after(5):
                while not (ready := [line for line in lines if line["event"] == "ready"]):
                    await trio.sleep(0.01)
            assert 0 <= ready[0]["since_start_s"] < 5
            env.node.leaving = True
            await trio.sleep(3 * env.node.options.settle_interval_s)
            env.node.leaving = False
            await trio.sleep(3 * env.node.options.settle_interval_s)
        assert [line["event"] for line in lines].count("ready") == 1

    async def test_request_line_holds_the_retry_after(self, lines: list[dict[str, object]]) -> None:
        async with router_environment(desired_state(prepaid=100)) as env:
            await env.add_engine("e1")
            assert (await env.send("/once/x", body=b"b")).status == 200
            refused = await env.send("/stream/x", *TestBudgets.TOKENS)
            served_line, refused_line = [line for line in lines if line["event"] == "request"]
            assert served_line["retry_after_s"] is None
            retry_after = first_header(refused.headers, b"retry-after")
            assert refused_line["retry_after_s"] == pytest.approx(float(retry_after), abs=0.01)


class TestLastAttempt:
    @pytest.mark.parametrize(
        ("path", "reason"), [("/safe/x", "tries-used"), ("/once/x", "once-only")]
    )
    async def test_reason_why_a_request_is_not_retried_is_logged(self, path, reason, lines) -> None:
        async with router_environment() as env:
            await env.add_engine("e1", status=500)
            await env.add_engine("e2", status=500)
            assert (await env.send(path)).status >= 500
            ends = [line for line in lines if line["event"] == "not-tried-again"]
            assert [(line["request_id"], line["reason"]) for line in ends] == [("r1", reason)]
