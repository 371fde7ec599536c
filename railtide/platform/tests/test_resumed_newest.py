"""Records that a feed reports when it resumes an interrupted read of the newest records."""

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
    """A log whose pages of the newest records hold one key each; the real store's hold 500."""

    def __init__(self) -> None:
        self.log: list[tuple[str, bytes]] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.is_down = False
        self.refuses_later_pages = False
        self.read_delay_s = 0.0
        self.refused_pages = 0
        self.appended = trio.Event()

    def put(self, key: str, value: bytes) -> None:
        if value:
            self.newest_by_key[key] = (len(self.log), value)
        else:
            self.newest_by_key.pop(key, None)
        self.log.append((key, value))
        self.appended.set()
        self.appended = trio.Event()

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
        if after and self.refuses_later_pages:
            self.refused_pages += 1
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
        await trio.sleep(self.read_delay_s)
        if start >= len(self.log):
            with trio.move_on_after(wait_s):
                await self.appended.wait()
        if self.is_down:
            await responder.answer(503, ())
            return
        body = len(self.log).to_bytes(8, "big") + bytes(8)
        for key, value in self.log[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
        await responder.answer(200, (), body)


class FeedRecorder:
    """A feed, and all records and key sets that it reports, in order."""

    def __init__(self, address: str) -> None:
        self.reported: list[KeyedRecord] = []
        self.reported_keys: list[set[str]] = []
        self.next_offsets: list[int] = []
        client = PlatformStore(address, Counters())
        self.feed = Feed(
            client,
            "keyed.t",
            FeedOptions(skip_superseded=True),
            Random(1),
            self._collect,
            self.reported_keys.append,
        )

    def _collect(self, records: list[KeyedRecord]) -> None:
        self.reported += records
        self.next_offsets.append(self.feed.next_offset)

    def has_caught_up_to(self, end: int) -> Callable[[], bool]:
        return lambda: self.feed.next_offset >= end and self.feed.is_current()


@asynccontextmanager
async def recorded_feed(store: PagedStore) -> AsyncIterator[FeedRecorder]:
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        server = HttpServer(store.handle, ConnectionLimits())
        nursery.start_soon(server.serve, listener)
        recorder = FeedRecorder(f"{HOST}:{listener.socket.getsockname()[1]}")
        nursery.start_soon(recorder.feed.run)
        yield recorder
        nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(GUARD_S):
        while not condition():
            await trio.sleep(0.01)


async def resume_after_interruption(store: PagedStore, recorder: FeedRecorder) -> None:
    """Make the client keep page 1 of the newest, and the feed continue by reading the log."""
    await wait_until(recorder.has_caught_up_to(2))
    store.is_down = True
    await wait_until(lambda: not recorder.feed.reachable)
    for _ in range(4):
        store.put("a", b"before" + LARGE)
    store.refuses_later_pages = True
    store.is_down = False
    await wait_until(recorder.has_caught_up_to(6))
    assert store.refused_pages >= 1
    store.refuses_later_pages = False


async def reread_newest_after_outage(store: PagedStore, recorder: FeedRecorder) -> None:
    """Make the feed read the newest records again, within 10 s of the interruption."""
    store.is_down = True
    await wait_until(lambda: not recorder.feed.reachable)
    for _ in range(5):
        store.put("b", b"later" + LARGE)
    end = len(store.log)
    store.is_down = False
    await wait_until(recorder.has_caught_up_to(end))


def store_with_two_keys() -> PagedStore:
    store = PagedStore()
    store.put("a", b"first")
    store.put("b", b"first")
    return store


class TestRecordOrder:
    async def test_removed_key_is_not_reported_again_without_an_interruption(self) -> None:
        store = store_with_two_keys()
        async with recorded_feed(store) as recorder:
            await wait_until(recorder.has_caught_up_to(2))
            store.put("a", b"")
            await wait_until(recorder.has_caught_up_to(3))
            recorder.reported.clear()
            await reread_newest_after_outage(store, recorder)
            assert "a" not in {record.key for record in recorder.reported}

    async def test_removed_key_is_not_reported_again_after_an_interruption(self) -> None:
        """A removed engine would be listed again, at an address that another may have by then."""
        store = store_with_two_keys()
        async with recorded_feed(store) as recorder:
            await resume_after_interruption(store, recorder)
            store.put("a", b"")
            await wait_until(recorder.has_caught_up_to(7))
            recorder.reported.clear()
            await reread_newest_after_outage(store, recorder)
            assert "a" not in {record.key for record in recorder.reported if record.value}

    async def test_newer_record_is_not_followed_by_an_older_one(self) -> None:
        store = store_with_two_keys()
        async with recorded_feed(store) as recorder:
            await resume_after_interruption(store, recorder)
            store.put("a", b"after")
            await wait_until(recorder.has_caught_up_to(7))
            await reread_newest_after_outage(store, recorder)
            offsets = [record.offset for record in recorder.reported if record.key == "a"]
            assert offsets == sorted(offsets)

    async def test_known_key_is_not_reported_as_removed(self) -> None:
        """`UpstreamList.retain` removes each engine that is not among the keys."""
        store = store_with_two_keys()
        async with recorded_feed(store) as recorder:
            await resume_after_interruption(store, recorder)
            store.put("Z", b"engine")
            await wait_until(recorder.has_caught_up_to(7))
            recorder.reported_keys.clear()
            await reread_newest_after_outage(store, recorder)
            assert recorder.reported_keys
            assert all("Z" in keys for keys in recorder.reported_keys)


class TestFreshness:
    async def test_feed_that_resumed_an_old_page_is_not_current(self) -> None:
        """A version written between two pages is in neither, so refusals would use an older one."""
        store = store_with_two_keys()
        store.refuses_later_pages = True
        async with recorded_feed(store) as recorder:
            await wait_until(lambda: store.refused_pages > 0)
            store.put("a", b"newer")
            store.read_delay_s = 0.5
            await trio.sleep(0.5)
            store.refuses_later_pages = False
            await wait_until(lambda: recorder.feed.caught_up)
            assert recorder.reported[0].value == b"first"
            assert not recorder.feed.is_current()


class BreakingStore:
    """A store whose first answer breaks off within its last item."""

    def __init__(self, keys: list[str]) -> None:
        self.keys = keys
        self.offset_by_key = {key: number for number, key in enumerate(keys)}
        self.requested_after: list[str] = []

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        query = parse_qs(urlsplit(request.target.decode()).query)
        after = query.get("after", [""])[0]
        self.requested_after.append(after)
        items = [
            {"key": key, "value": "YQ==", "offset": self.offset_by_key[key]}
            for key in self.keys
            if key > after
        ]
        end = 1 + max(self.offset_by_key.values())
        body = msgspec.json.encode({"items": items, "has_more": False, "end_offset": end})
        if len(self.requested_after) > 1:
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


class TestTruncatedPage:
    async def test_complete_items_are_not_read_again(self) -> None:
        store = BreakingStore(["a", "b", "c"])
        async with client_of(store) as client:
            page = await client.newest("keyed.t")
        assert store.requested_after == ["", "b"]
        assert [record.key for record in page.records] == ["a", "b", "c"]

    async def test_end_does_not_pass_records_that_changed_since(self) -> None:
        """The truncated page lacks the end offset, and the next page states a later one."""
        store = BreakingStore(["a", "b", "c"])
        async with client_of(store) as client:
            store.offset_by_key["a"] = 3
            page = await client.newest("keyed.t")
        assert page.end <= 3

    async def test_items_without_ascending_keys_are_read_again(self) -> None:
        store = BreakingStore(["c", "a", "b", "d"])
        async with client_of(store) as client:
            page = await client.newest("keyed.t")
        assert store.requested_after == ["", ""]
        assert {record.key for record in page.records} == {"a", "b", "c", "d"}
