"""What a feed tells where pages of the newest records are gone on with after a break."""

from base64 import b64encode
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.telemetry.counters import Counters

LARGE = bytes(80_000)
GUARD_S = 8.0


class PagedStore:
    """A log whose newest records come a key a page, as the users' store gives 500 a page."""

    def __init__(self) -> None:
        self.log: list[tuple[str, bytes]] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.is_down = False
        self.loses_later_pages = False
        self.holds_reads_s = 0.0
        self.later_pages_lost = 0
        self.moved = trio.Event()

    def put(self, key: str, value: bytes) -> None:
        if value:
            self.newest_by_key[key] = (len(self.log), value)
        else:
            self.newest_by_key.pop(key, None)
        self.log.append((key, value))
        self.moved.set()
        self.moved = trio.Event()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if self.is_down:
            await responder.answer(503, ())
        elif parts.path == "/log-newest":
            await self._newest(query.get("after", ""), responder)
        else:
            await self._read(int(query["from"]), int(query["wait_ms"]) / 1000, responder)

    async def _newest(self, after: str, responder: Responder) -> None:
        if after and self.loses_later_pages:
            self.later_pages_lost += 1
            await responder.answer(503, ())
            return
        keys = sorted(key for key in self.newest_by_key if key > after)
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in ((key, self.newest_by_key[key]) for key in keys[:1])
        ]
        body = {"items": items, "has_more": len(keys) > 1, "end_offset": len(self.log)}
        await responder.answer(200, (), msgspec.json.encode(body))

    async def _read(self, start: int, wait_s: float, responder: Responder) -> None:
        await trio.sleep(self.holds_reads_s)
        if start >= len(self.log):
            with trio.move_on_after(wait_s):
                await self.moved.wait()
        if self.is_down:
            await responder.answer(503, ())
            return
        body = len(self.log).to_bytes(8, "big") + bytes(8)
        for key, value in self.log[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
        await responder.answer(200, (), body)


class Followed:
    """A feed, and all that it told, in order."""

    def __init__(self, address: str) -> None:
        self.told: list[KeyedRecord] = []
        self.keys_told: list[set[str]] = []
        self.next_offsets: list[int] = []
        client = PlatformStore(address, Counters())
        self.feed = Feed(
            client,
            "keyed.t",
            FeedOptions(skip_superseded=True),
            Random(1),
            self._take,
            self.keys_told.append,
        )

    def _take(self, records: list[KeyedRecord]) -> None:
        self.told += records
        self.next_offsets.append(self.feed.next_offset)

    def has_read(self, end: int) -> Callable[[], bool]:
        return lambda: self.feed.next_offset >= end and self.feed.is_current()


@asynccontextmanager
async def following(store: PagedStore) -> AsyncIterator[Followed]:
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(store.handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        followed = Followed(f"{HOST}:{listener.socket.getsockname()[1]}")
        nursery.start_soon(followed.feed.run)
        yield followed
        nursery.cancel_scope.cancel()


async def until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(GUARD_S):
        while not condition():
            await trio.sleep(0.01)


async def go_on_behind_a_break(store: PagedStore, followed: Followed) -> None:
    """Leave page 1 of the newest kept, and have the feed read on from the backlog past it."""
    await until(followed.has_read(2))
    store.is_down = True
    await until(lambda: not followed.feed.reachable)
    for _ in range(4):
        store.put("a", b"before" + LARGE)
    store.loses_later_pages = True
    store.is_down = False
    await until(followed.has_read(6))
    assert store.later_pages_lost >= 1
    store.loses_later_pages = False


async def be_away_for_a_backlog(store: PagedStore, followed: Followed) -> None:
    """Make the feed read the newest in place of a backlog once more, within 10 s of the break."""
    store.is_down = True
    await until(lambda: not followed.feed.reachable)
    for _ in range(5):
        store.put("b", b"later" + LARGE)
    end = len(store.log)
    store.is_down = False
    await until(followed.has_read(end))


def two_keys() -> PagedStore:
    store = PagedStore()
    store.put("a", b"first")
    store.put("b", b"first")
    return store


class TestGoingBack:
    async def test_control_without_a_break_nothing_is_told_twice(self) -> None:
        store = two_keys()
        async with following(store) as followed:
            await until(followed.has_read(2))
            store.put("a", b"")
            await until(followed.has_read(3))
            followed.told.clear()
            await be_away_for_a_backlog(store, followed)
            assert "a" not in {record.key for record in followed.told}

    async def test_removed_key_is_not_told_of_again(self) -> None:
        """An engine that left is listed again, at an address that may be another's by then."""
        store = two_keys()
        async with following(store) as followed:
            await go_on_behind_a_break(store, followed)
            store.put("a", b"")
            await until(followed.has_read(7))
            followed.told.clear()
            await be_away_for_a_backlog(store, followed)
            assert "a" not in {record.key for record in followed.told if record.value}

    async def test_newer_record_is_not_followed_by_an_older_one(self) -> None:
        store = two_keys()
        async with following(store) as followed:
            await go_on_behind_a_break(store, followed)
            store.put("a", b"after")
            await until(followed.has_read(7))
            await be_away_for_a_backlog(store, followed)
            offsets = [record.offset for record in followed.told if record.key == "a"]
            assert offsets == sorted(offsets)

    async def test_key_that_was_told_of_is_not_told_as_gone(self) -> None:
        """`UpstreamList.retain` takes each engine out that is not among the keys."""
        store = two_keys()
        async with following(store) as followed:
            await go_on_behind_a_break(store, followed)
            store.put("Z", b"engine")
            await until(followed.has_read(7))
            followed.keys_told.clear()
            await be_away_for_a_backlog(store, followed)
            assert followed.keys_told
            assert all("Z" in keys for keys in followed.keys_told)


class TestCurrent:
    async def test_view_with_an_old_page_is_not_current(self) -> None:
        """A version that is acknowledged between the pages is in none: refusals claim it is."""
        store = two_keys()
        store.loses_later_pages = True
        async with following(store) as followed:
            await until(lambda: store.later_pages_lost > 0)
            store.put("a", b"newer")
            store.holds_reads_s = 0.5
            await trio.sleep(0.5)
            store.loses_later_pages = False
            await until(lambda: followed.feed.caught_up)
            assert followed.told[0].value == b"first"
            assert not followed.feed.is_current()


class BreakingStore:
    """Newest records of which the first answer breaks off within its last item."""

    def __init__(self, keys: list[str]) -> None:
        self.keys = keys
        self.offset_by_key = {key: number for number, key in enumerate(keys)}
        self.asked_after: list[str] = []

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        query = parse_qs(urlsplit(request.target.decode()).query)
        after = query.get("after", [""])[0]
        self.asked_after.append(after)
        items = [
            {"key": key, "value": "YQ==", "offset": self.offset_by_key[key]}
            for key in self.keys
            if key > after
        ]
        end = 1 + max(self.offset_by_key.values())
        body = msgspec.json.encode({"items": items, "has_more": False, "end_offset": end})
        if len(self.asked_after) > 1:
            await responder.answer(200, (), body)
            return
        await responder.start(200, (), len(body))
        await responder.write(body[: body.rindex(b'"key"')])
        await responder.hijack().aclose()


@asynccontextmanager
async def client_of(store: BreakingStore) -> AsyncIterator[PlatformStore]:
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(store.handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        client = PlatformStore(f"{HOST}:{listener.socket.getsockname()[1]}", Counters())
        with pytest.raises(LogUnavailable):
            await client.newest("keyed.t")
        yield client
        nursery.cancel_scope.cancel()


class TestPartOfAPage:
    async def test_items_that_came_whole_are_not_asked_for_again(self) -> None:
        store = BreakingStore(["a", "b", "c"])
        async with client_of(store) as client:
            page = await client.newest("keyed.t")
        assert store.asked_after == ["", "b"]
        assert [record.key for record in page.records] == ["a", "b", "c"]

    async def test_what_changed_since_is_read_behind_it(self) -> None:
        """The part does not tell where the partition ended, and the rest tells of a later end."""
        store = BreakingStore(["a", "b", "c"])
        async with client_of(store) as client:
            store.offset_by_key["a"] = 3
            page = await client.newest("keyed.t")
        assert page.end <= 3

    async def test_items_in_no_order_of_keys_are_asked_for_again(self) -> None:
        store = BreakingStore(["c", "a", "b", "d"])
        async with client_of(store) as client:
            page = await client.newest("keyed.t")
        assert store.asked_after == ["", ""]
        assert {record.key for record in page.records} == {"a", "b", "c", "d"}
