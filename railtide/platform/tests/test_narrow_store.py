"""The store's client behind a narrow link: slow, broken and silent answers."""

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
from railtide.platform.tests.test_whole_path import world
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer
from railtide.standins.throttled_link import ThrottledLink
from railtide.telemetry.counters import Counters

TOPIC = "keyed.t"
LINK_BYTES_PER_S = 100_000
SECOND = bytes(LINK_BYTES_PER_S)
"""A value that takes the link a second."""
GUARD_S = 10.0
"""No test needs its link for so long."""
NOTICE_S = 4.0
"""A connection that falls silent is noticed within 3 s: the time that a configuration has to come
into force. A second more is for the test's own machine."""


class Followed:
    """A store behind a link, its client, and a feed whose records are kept."""

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
        """Keys of the records, in the order in which they came."""
        return [record.key for record in self.records]


@asynccontextmanager
async def followed(handler: Handler | None = None) -> AsyncIterator[Followed]:
    """Yield a feed that has read its topic once."""
    memory = MemoryStore()
    link = ThrottledLink(LINK_BYTES_PER_S)
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(handler or StoreServer(memory).handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        port = await link.open(nursery, HOST, listener.socket.getsockname()[1])
        known = Followed(link, memory, f"{HOST}:{port}")
        nursery.start_soon(known.feed.run)
        await until(lambda: known.feed.caught_up)
        yield known
        nursery.cancel_scope.cancel()


async def until(condition: Callable[[], bool], guard_s: float = GUARD_S) -> None:
    with trio.fail_after(guard_s):
        while not condition():
            await trio.sleep(0.01)


async def until_passed(link: ThrottledLink, count: float) -> None:
    """Wait until so many more bytes have come through the link."""
    aim = link.down.forwarded_bytes + count
    await until(lambda: link.down.forwarded_bytes >= aim)


def silent_calls(f: Followed) -> int:
    """Return the calls that were given up, or that others were made beside."""
    return f.counters.value("store_calls_unanswered") + f.counters.value("store_calls_hedged")


class TestSlowStore:
    async def test_answer_that_begins_late_is_waited_for_in_the_end(self) -> None:
        async with followed() as f:
            f.memory.delay_s = 1.6
            f.link.reset_connections()
            f.memory.put(TOPIC, "a", b"1")
            await until(lambda: f.keys == ["a"])

    async def test_call_of_before_a_return_waits_no_longer_than_a_first_one(self) -> None:
        async with followed() as f:
            f.link.pause()
            for _ in range(2):
                with pytest.raises(LogUnavailable):
                    await f.client.newest(TOPIC)
            async with trio.open_nursery() as nursery:
                lost = trio.Event()
                nursery.start_soon(_read_or_lose, f.client)
                await trio.sleep(0.05)
                nursery.start_soon(_newest_or_lost, f.client, lost)
                await trio.sleep(0.05)
                f.link.blackhole_connections()
                f.link.resume()
                await f.client.newest(TOPIC)
                with trio.fail_after(2.0):
                    await lost.wait()


async def _read_or_lose(client: PlatformStore) -> None:
    """Be under way with a usual wait, so that another call may wait longer."""
    with pytest.raises(LogUnavailable):
        await client.read("keyed.other", 0, 1.0)


async def _newest_or_lost(client: PlatformStore, lost: trio.Event) -> None:
    with pytest.raises(LogUnavailable):
        await client.newest(TOPIC)
    lost.set()


class TestSilence:
    async def test_silent_store_is_noticed_in_time_and_found_again(self) -> None:
        async with followed() as f:
            f.link.pause()
            await until(lambda: not f.feed.reachable, NOTICE_S)
            f.memory.put(TOPIC, "a", b"1")
            f.link.blackhole_connections()
            f.link.resume()
            await until(lambda: f.keys == ["a"], NOTICE_S)

    async def test_connection_that_fell_silent_is_noticed_in_time(self) -> None:
        async with followed() as f:
            f.link.blackhole_connections()
            f.memory.put(TOPIC, "a", b"1")
            await until(lambda: f.keys == ["a"], NOTICE_S)

    async def test_connection_that_falls_silent_within_an_answer_is_noticed_in_time(self) -> None:
        async with followed() as f:
            opened = f.link.opened
            f.memory.put(TOPIC, "a", 2 * SECOND)
            await until_passed(f.link, len(SECOND))
            f.link.blackhole_connections()
            await until(lambda: f.link.opened > opened, NOTICE_S)
            await until(lambda: f.keys == ["a"])

    async def test_silence_within_an_answer_is_not_met_again_on_idle_connections(self) -> None:
        async with followed() as f:
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    nursery.start_soon(f.client.newest, TOPIC)
            silences = silent_calls(f)
            f.memory.put(TOPIC, "a", 2 * SECOND)
            await until_passed(f.link, len(SECOND))
            f.link.blackhole_connections()
            await until(lambda: f.keys == ["a"])
            assert silent_calls(f) - silences == 1


class TestSilentLedgers:
    async def test_silent_store_is_noticed_in_time_by_the_ledgers(self) -> None:
        """Their reads go on for longer, beside others; that the store is away is known before."""
        link = ThrottledLink(LINK_BYTES_PER_S)
        async with world(link=link) as w:
            await until(lambda: w.node.roster.is_advertised() and w.node.budgets.reachable)
            link.pause()
            await until(lambda: not w.node.budgets.reachable, NOTICE_S)
            link.blackhole_connections()
            link.resume()
            await until(lambda: w.node.budgets.reachable, NOTICE_S)


class TestTrickle:
    async def test_answer_that_trickles_does_not_hold_a_read(self) -> None:
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

        async with followed(trickle_once) as f:
            memory.put(TOPIC, "a", b"1")
            await until(lambda: f.keys == ["a"])


class TestLargeAppend:
    async def test_append_that_takes_the_link_for_long_is_done_once(self) -> None:
        async with followed() as f:
            with trio.fail_after(GUARD_S):
                assert await f.client.append(TOPIC, {"a": 2 * SECOND}) == 1
            assert f.memory.topic(TOPIC).end == 1


class TestBrokenAnswer:
    """An answer with two records breaks off within the second."""

    @pytest.mark.parametrize("known", [True, False])
    async def test_whole_records_of_a_read_are_not_read_again(self, known: bool) -> None:
        async with followed() as f:
            if known:
                await put_small(f, ["a", "b"])
            before = f.link.down.forwarded_bytes
            for key in ("a", "b"):
                f.memory.put(TOPIC, key, SECOND)
            await until_passed(f.link, 1.5 * len(SECOND))
            f.link.reset_connections()
            await until(lambda: f.keys[-1:] == ["b"])
            assert f.keys == ["a", "b"]
            assert f.link.down.forwarded_bytes - before < 2.7 * len(SECOND)

    async def test_feed_is_not_current_before_the_rest_has_come(self) -> None:
        async with followed() as f:
            await put_small(f, ["a", "b"])
            for key in ("a", "b"):
                f.memory.put(TOPIC, key, SECOND)
            await until_passed(f.link, 1.5 * len(SECOND))
            f.link.pause()
            f.link.reset_connections()
            await until(lambda: f.keys == ["a"])
            await trio.sleep(0.2)
            assert not f.feed.is_current()
            f.link.resume()
            await until(lambda: f.keys == ["a", "b"] and f.feed.is_current())

    async def test_versions_are_not_all_read_behind_one_break_of_the_newest(self) -> None:
        async with followed() as f:
            await put_small(f, ["a"])
            before = f.link.down.forwarded_bytes
            for number in range(4):
                f.memory.put(TOPIC, "a", SECOND[1:] + b"%d" % number)
            await until_passed(f.link, 0.5 * len(SECOND))
            f.link.reset_connections()
            await until(lambda: f.records != [] and f.records[-1].value[-1:] == b"3")
            assert f.link.down.forwarded_bytes - before < 3.5 * len(SECOND)

    @pytest.mark.parametrize("known", [True, False])
    async def test_connection_that_never_lives_for_all_records_moves_on(self, known: bool) -> None:
        names = [f"k{n}" for n in range(6)]
        async with followed() as f:
            if known:
                await put_small(f, names)
            for name in names:
                f.memory.put(TOPIC, name, SECOND[: len(SECOND) // 2])
            await break_often(f, lambda: f.keys == names)
            assert f.keys == names

    async def test_connection_that_never_lives_for_the_newest_moves_on(self) -> None:
        """More versions are waiting than keys, and the newest of each are too much for one life."""
        versions = [("a", b"1"), ("b", b"1"), ("a", b"2")]
        async with followed() as f:
            await put_small(f, ["a", "b"])
            for key, end in versions:
                f.memory.put(TOPIC, key, SECOND[: len(SECOND) // 2] + end)
            await break_often(f, lambda: len(f.keys) >= len(versions))
            assert [(record.key, record.value[-1:]) for record in f.records] == versions


async def break_often(f: Followed, over: Callable[[], bool]) -> None:
    """Reset the connections whenever four fifths of a second of the link have come."""
    with trio.move_on_after(GUARD_S):
        while not over():
            aim = f.link.down.forwarded_bytes + 0.8 * len(SECOND)
            await until(lambda aim=aim: over() or f.link.down.forwarded_bytes >= aim)
            f.link.reset_connections()


async def put_small(f: Followed, keys: list[str]) -> None:
    """Make keys known to the feed, and forget that it has told of them."""
    for key in keys:
        f.memory.put(TOPIC, key, b"0")
    await until(lambda: f.keys == keys)
    f.records.clear()
