"""The store's client over a slow link: late, truncated and missing answers."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, Handler, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.platform.tests.test_end_to_end import router_environment
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer
from railtide.standins.throttled_link import ThrottledLink
from railtide.telemetry.counters import Counters

TOPIC = "keyed.t"
LINK_BYTES_PER_S = 100_000
ONE_SECOND = bytes(LINK_BYTES_PER_S)
"""A value whose transfer takes one second."""
GUARD_S = 10.0
"""Longer than any test needs its link."""
DETECTION_S = 4.0
"""A dead connection must be detected within 3 s, the time within which a configuration has to be
applied. One more second allows for a busy machine."""


class FeedEnvironment:
    """A store behind a link, its client, and a feed whose records are collected."""

    def __init__(self, link: ThrottledLink, memory: MemoryStore, address: str) -> None:
        self.link = link
        self.memory = memory
        counters = Counters()
        self.client = PlatformStore(address, counters)
        self.records: list[KeyedRecord] = []
        self.counters = counters
        self.feed = Feed(
            self.client, TOPIC, FeedOptions(skip_superseded=True), Random(1), self.records.extend
        )

    @property
    def keys(self) -> list[str]:
        """Keys of the reported records, in order."""
        return [record.key for record in self.records]


@asynccontextmanager
async def feed_environment(handler: Handler | None = None) -> AsyncIterator[FeedEnvironment]:
    """Yield an environment whose feed has caught up once."""
    memory = MemoryStore()
    link = ThrottledLink(LINK_BYTES_PER_S)
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(handler or StoreServer(memory).handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        port = await link.open(nursery, HOST, listener.socket.getsockname()[1])
        env = FeedEnvironment(link, memory, f"{HOST}:{port}")
        nursery.start_soon(env.feed.run)
        await wait_until(lambda: env.feed.caught_up)
        yield env
        nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool], guard_s: float = GUARD_S) -> None:
    with trio.fail_after(guard_s):
        while not condition():
            await trio.sleep(0.01)


async def wait_until_received(link: ThrottledLink, count: float) -> None:
    """Wait until `count` more bytes have been received over the link."""
    target = link.down.forwarded_bytes + count
    await wait_until(lambda: link.down.forwarded_bytes >= target)


def failed_or_hedged_calls(env: FeedEnvironment) -> int:
    """Return the number of requests that failed or were hedged."""
    return env.counters.value("store_calls_unanswered") + env.counters.value("store_calls_hedged")


class TestSlowStore:
    async def test_timeout_grows_until_a_late_answer_arrives(self) -> None:
        async with feed_environment() as env:
            env.memory.delay_s = 1.6
            env.link.reset_connections()
            env.memory.put(TOPIC, "a", b"1")
            await wait_until(lambda: env.keys == ["a"])

    async def test_grown_timeout_ends_when_the_store_answers_again(self) -> None:
        async with feed_environment() as env:
            env.link.pause()
            for _ in range(2):
                with pytest.raises(LogUnavailable):
                    await env.client.newest(TOPIC)
            async with trio.open_nursery() as nursery:
                lost = trio.Event()
                nursery.start_soon(_read_until_lost, env.client)
                await trio.sleep(0.05)
                nursery.start_soon(_newest_until_lost, env.client, lost)
                await trio.sleep(0.05)
                env.link.blackhole_connections()
                env.link.resume()
                await env.client.newest(TOPIC)
                with trio.fail_after(2.0):
                    await lost.wait()


async def _read_until_lost(client: PlatformStore) -> None:
    """Have a request with the usual timeout in flight, so that another may have a longer one."""
    with pytest.raises(LogUnavailable):
        await client.read("keyed.other", 0, 1.0)


async def _newest_until_lost(client: PlatformStore, lost: trio.Event) -> None:
    with pytest.raises(LogUnavailable):
        await client.newest(TOPIC)
    lost.set()


class TestUnresponsiveStore:
    async def test_unresponsive_store_is_detected_and_found_again_in_time(self) -> None:
        async with feed_environment() as env:
            env.link.pause()
            await wait_until(lambda: not env.feed.reachable, DETECTION_S)
            env.memory.put(TOPIC, "a", b"1")
            env.link.blackhole_connections()
            env.link.resume()
            await wait_until(lambda: env.keys == ["a"], DETECTION_S)

    async def test_dead_connection_is_detected_in_time(self) -> None:
        async with feed_environment() as env:
            env.link.blackhole_connections()
            env.memory.put(TOPIC, "a", b"1")
            await wait_until(lambda: env.keys == ["a"], DETECTION_S)

    async def test_connection_that_dies_within_an_answer_is_detected_in_time(self) -> None:
        async with feed_environment() as env:
            opened = env.link.opened
            env.memory.put(TOPIC, "a", 2 * ONE_SECOND)
            await wait_until_received(env.link, len(ONE_SECOND))
            env.link.blackhole_connections()
            await wait_until(lambda: env.link.opened > opened, DETECTION_S)
            await wait_until(lambda: env.keys == ["a"])

    async def test_idle_connections_are_dropped_after_a_stall(self) -> None:
        async with feed_environment() as env:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(env.client.newest, TOPIC)
            failures = failed_or_hedged_calls(env)
            env.memory.put(TOPIC, "a", 2 * ONE_SECOND)
            await wait_until_received(env.link, len(ONE_SECOND))
            env.link.blackhole_connections()
            await wait_until(lambda: env.keys == ["a"])
            assert failed_or_hedged_calls(env) - failures == 1


class TestUnresponsiveStoreForLedgers:
    async def test_unresponsive_store_is_detected_in_time_by_the_ledgers(self) -> None:
        """Their hedged reads last longer, but the store must be reported unreachable before."""
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with router_environment(link=link) as env:
            await wait_until(lambda: env.node.roster.is_advertised() and env.node.budgets.reachable)
            link.pause()
            await wait_until(lambda: not env.node.budgets.reachable, DETECTION_S)
            link.blackhole_connections()
            link.resume()
            await wait_until(lambda: env.node.budgets.reachable, DETECTION_S)


class TestTrickle:
    async def test_trickling_answer_does_not_block_a_read(self) -> None:
        memory = MemoryStore()
        server = StoreServer(memory)
        trickles: list[bool] = []

        async def trickle_once(request: HttpRequest, responder: Responder) -> None:
            if b"/log-read" not in request.target or trickles:
                await server.handle(request, responder)
                return
            trickles.append(True)
            await responder.start(200, (), 100_000)
            while True:
                await responder.write(b"\0")
                await trio.sleep(0.2)

        async with feed_environment(trickle_once) as env:
            memory.put(TOPIC, "a", b"1")
            await wait_until(lambda: env.keys == ["a"])


class TestLargeAppend:
    async def test_append_that_takes_seconds_on_the_link_is_done_once(self) -> None:
        async with feed_environment() as env:
            with trio.fail_after(GUARD_S):
                assert await env.client.append(TOPIC, {"a": 2 * ONE_SECOND}) == 1
            assert env.memory.topic(TOPIC).end == 1


class TestBrokenAnswer:
    """An answer with two records breaks off within the second one."""

    @pytest.mark.parametrize("known", [True, False])
    async def test_complete_records_are_not_read_again(self, known: bool) -> None:
        async with feed_environment() as env:
            if known:
                await add_known_keys(env, ["a", "b"])
            before = env.link.down.forwarded_bytes
            for key in ("a", "b"):
                env.memory.put(TOPIC, key, ONE_SECOND)
            await wait_until_received(env.link, 1.5 * len(ONE_SECOND))
            env.link.reset_connections()
            await wait_until(lambda: env.keys[-1:] == ["b"])
            assert env.keys == ["a", "b"]
            assert env.link.down.forwarded_bytes - before < 2.7 * len(ONE_SECOND)

    async def test_feed_is_not_current_before_the_remaining_records_arrive(self) -> None:
        async with feed_environment() as env:
            await add_known_keys(env, ["a", "b"])
            for key in ("a", "b"):
                env.memory.put(TOPIC, key, ONE_SECOND)
            await wait_until_received(env.link, 1.5 * len(ONE_SECOND))
            env.link.pause()
            env.link.reset_connections()
            await wait_until(lambda: env.keys == ["a"])
            await trio.sleep(0.2)
            assert not env.feed.is_current()
            env.link.resume()
            await wait_until(lambda: env.keys == ["a", "b"] and env.feed.is_current())

    async def test_superseded_versions_are_not_read_after_one_break(self) -> None:
        async with feed_environment() as env:
            await add_known_keys(env, ["a"])
            before = env.link.down.forwarded_bytes
            for number in range(4):
                env.memory.put(TOPIC, "a", ONE_SECOND[1:] + b"%d" % number)
            await wait_until_received(env.link, 0.5 * len(ONE_SECOND))
            env.link.reset_connections()
            await wait_until(lambda: env.records != [] and env.records[-1].value[-1:] == b"3")
            assert env.link.down.forwarded_bytes - before < 3.5 * len(ONE_SECOND)

    @pytest.mark.parametrize("known", [True, False])
    async def test_reads_progress_over_connections_too_short_for_all_records(
        self, known: bool
    ) -> None:
        names = [f"k{n}" for n in range(6)]
        async with feed_environment() as env:
            if known:
                await add_known_keys(env, names)
            for name in names:
                env.memory.put(TOPIC, name, ONE_SECOND[: len(ONE_SECOND) // 2])
            await reset_often(env, lambda: env.keys == names)
            assert env.keys == names

    async def test_reads_progress_over_connections_too_short_for_the_newest(self) -> None:
        """There are more versions than keys, and a connection is too short for all newest ones."""
        versions = [("a", b"1"), ("b", b"1"), ("a", b"2")]
        async with feed_environment() as env:
            await add_known_keys(env, ["a", "b"])
            for key, end in versions:
                env.memory.put(TOPIC, key, ONE_SECOND[: len(ONE_SECOND) // 2] + end)
            await reset_often(env, lambda: len(env.keys) >= len(versions))
            assert [(record.key, record.value[-1:]) for record in env.records] == versions


async def reset_often(env: FeedEnvironment, is_done: Callable[[], bool]) -> None:
    """Reset the connections whenever 0.8 s worth of data has been received."""
    with trio.move_on_after(GUARD_S):
        while not is_done():
            target = env.link.down.forwarded_bytes + 0.8 * len(ONE_SECOND)
            await wait_until(
                lambda target=target: is_done() or env.link.down.forwarded_bytes >= target
            )
            env.link.reset_connections()


async def add_known_keys(env: FeedEnvironment, keys: list[str]) -> None:
    """Make keys known to the feed, then clear its collected records."""
    for key in keys:
        env.memory.put(TOPIC, key, b"0")
    await wait_until(lambda: env.keys == keys)
    env.records.clear()
