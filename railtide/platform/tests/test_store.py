"""Tests of railtide.platform.store, against the stand-in of the store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio

from railtide.http.errors import CallerGone
from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, Handler, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.errors import LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer
from railtide.telemetry.counters import Counters


@asynccontextmanager
async def client_of(handler: Handler) -> AsyncIterator[PlatformStore]:
    listener = await listen(HOST, 0)
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(HttpServer(handler, ConnectionLimits()).serve, listener)
        yield PlatformStore(f"{HOST}:{port}", Counters())
        nursery.cancel_scope.cancel()


class TestCalls:
    async def test_records_come_back_as_they_were_appended(self) -> None:
        async with client_of(StoreServer(MemoryStore()).handle) as store:
            assert await store.append("keyed.t", {"a": b"1", "b": b"\x00\xff"}) == 2
            page = await store.read("keyed.t", 0, 0.0)
            assert [(r.key, r.value, r.offset) for r in page.records] == [
                ("a", b"1", 0),
                ("b", b"\x00\xff", 1),
            ]
            assert await store.append("keyed.t", {"a": b""}, expected_end=2) == 3
            newest = await store.newest("keyed.t")
            assert ([r.key for r in newest.records], newest.end) == (["b"], 3)

    @pytest.mark.parametrize("size", [1, 1_500])
    async def test_newest_records_of_many_pages_come_whole(self, size: int) -> None:
        memory = MemoryStore()
        for n in range(1_200):
            memory.put("keyed.t", f"k{n}", b"%d" % n * size)
        async with client_of(StoreServer(memory).handle) as store:
            page = await store.newest("keyed.t")
        assert [(r.key, r.offset) for r in page.records] == [(f"k{n}", n) for n in range(1_200)]
        assert page.end == 1_200

    async def test_page_that_is_full_tells_where_the_next_begins(self) -> None:
        memory = MemoryStore()
        for n in range(5):
            memory.put("keyed.t", f"k{n}", bytes(400_000))
        async with client_of(StoreServer(memory).handle) as store:
            first = await store.read("keyed.t", 0, 0.0)
            second = await store.read("keyed.t", first.next_offset, 0.0)
        assert ([r.offset for r in first.records], first.end) == ([0, 1], 5)
        assert ([r.offset for r in second.records], second.next_offset) == ([2, 3], 4)

    async def test_record_that_is_larger_than_a_page_comes_alone(self) -> None:
        memory = MemoryStore()
        memory.put("keyed.t", "a", bytes(1_500_000))
        memory.put("keyed.t", "b", b"1")
        async with client_of(StoreServer(memory).handle) as store:
            page = await store.read("keyed.t", 0, 0.0)
            assert ([r.key for r in page.records], page.next_offset) == (["a"], 1)

    async def test_lost_condition_and_expired_history_are_told_apart(self) -> None:
        memory = MemoryStore()
        async with client_of(StoreServer(memory).handle) as store:
            await store.append("keyed.t", {"a": b"1"})
            with pytest.raises(AppendConflict) as conflict:
                await store.append("keyed.t", {"a": b"2"}, expected_end=0)
            assert conflict.value.end == 1
            memory.topic("keyed.t").compact()
            with pytest.raises(RecordsExpired) as expired:
                await store.read("keyed.t", 0, 0.0)
            assert expired.value.first == 1

    async def test_long_read_ends_with_the_first_record(self) -> None:
        memory = MemoryStore()
        async with client_of(StoreServer(memory).handle) as store:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.read, "keyed.t", 0, 30.0)
                await trio.sleep(0.05)
                memory.put("keyed.t", "a", b"1")

    @pytest.mark.parametrize("status", [429, 500, 503, 507])
    async def test_refusals_are_no_answer(self, status: int) -> None:
        async def refuse(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(status, ())

        async with client_of(refuse) as store:
            with pytest.raises(LogUnavailable, match=str(status)):
                await store.newest("keyed.t")

    @pytest.mark.parametrize("body", [b"", b"not json", b'{"items": 3}'])
    async def test_unreadable_answers_are_no_answer(self, body: bytes) -> None:
        async def garble(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, (), body)

        async with client_of(garble) as store:
            with pytest.raises(LogUnavailable):
                await store.newest("keyed.t")

    async def test_cut_record_is_no_answer(self) -> None:
        async def cut(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, (), bytes(16) + b"\x00\x00\x00\x09abc")

        async with client_of(cut) as store:
            with pytest.raises(LogUnavailable):
                await store.read("keyed.t", 0, 0.0)

    @pytest.mark.parametrize("length", [0, 8, 15])
    async def test_cut_head_of_a_page_is_no_answer(self, length: int) -> None:
        """An answer without a length that was cut off looked like an empty page that ends at 0."""

        async def cut(request: HttpRequest, responder: Responder) -> None:
            await responder.answer(200, (), bytes(length))

        async with client_of(cut) as store:
            with pytest.raises(LogUnavailable):
                await store.read("keyed.t", 0, 0.0)

    async def test_nobody_there_is_no_answer(self) -> None:
        listener = await listen(HOST, 0)
        port = listener.socket.getsockname()[1]
        await listener.aclose()
        with pytest.raises(LogUnavailable):
            await PlatformStore(f"{HOST}:{port}", Counters()).newest("keyed.t")


class TestProgress:
    """What has come is not asked for again."""

    async def test_records_that_came_whole_are_kept_of_an_answer_that_breaks_off(self) -> None:
        record = b"\x00\x00\x00\x03\x01ax"
        head = (9).to_bytes(8, "big") + bytes(8)

        async def cut(request: HttpRequest, responder: Responder) -> None:
            await responder.start(200, (), 1000)
            await responder.write(head + record + record + record[:5])
            raise CallerGone("the connection ends here")

        async with client_of(cut) as store:
            page = await store.read("keyed.t", 4, 0.0)
        assert [record.offset for record in page.records] == [4, 5]
        assert (page.next_offset, page.end) == (6, 9)

    async def test_a_read_of_the_newest_goes_on_behind_the_pages_that_came(self) -> None:
        asked: list[str] = []

        async def two_pages(request: HttpRequest, responder: Responder) -> None:
            target = request.target.decode()
            asked.append(target.partition("after=")[2])
            if len(asked) in (2, 3):
                await responder.answer(503, ())
                return
            key = "b" if "after=" in target else "a"
            item = {"key": key, "value": "eA==", "offset": 1 + len(asked)}
            end = 10 + len(asked)
            page = {"items": [item], "has_more": key == "a", "end_offset": end}
            await responder.answer(200, (), msgspec.json.encode(page))

        async with client_of(two_pages) as store:
            for _ in range(2):
                with pytest.raises(LogUnavailable):
                    await store.newest("keyed.t")
            page = await store.newest("keyed.t")
            await store.newest("keyed.t")
        assert [record.key for record in page.records] == ["a", "b"]
        assert page.end == 11, "records from the first page's end on are read after it"
        assert asked == ["", "a", "a", "a", "", "a"]

    async def test_pages_of_long_ago_are_not_gone_on_with(self, monkeypatch) -> None:
        monkeypatch.setattr("railtide.platform.store.RESUME_TTL_S", -1.0)
        asked: list[str] = []

        async def refuse_second(request: HttpRequest, responder: Responder) -> None:
            asked.append(request.target.decode().partition("after=")[2])
            if asked[-1]:
                await responder.answer(503, ())
                return
            page = {"items": [{"key": "a", "value": "eA==", "offset": 1}], "has_more": True}
            await responder.answer(200, (), msgspec.json.encode(page))

        async with client_of(refuse_second) as store:
            for _ in range(2):
                with pytest.raises(LogUnavailable):
                    await store.newest("keyed.t")
        assert asked == ["", "a", "", "a"]
