"""Tests of the eras that railtide.platform.store reads from the store's answers."""

from contextlib import nullcontext

import pytest
import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import Responder
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict
from railtide.journal.read_progress import ReadProgress
from railtide.platform.store import PlatformStore
from railtide.platform.tests.test_store import client_of
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer

RECORD_COUNT = 700
"""More records than fit in one page of the newest."""


class EraServer:
    """A server whose answers state the given eras in turn; the last one is repeated."""

    def __init__(self, memory: MemoryStore, *eras: str | None) -> None:
        self._left = list(eras)
        self.handle = StoreServer(memory, self._next).handle

    def _next(self) -> str | None:
        return self._left.pop(0) if len(self._left) > 1 else self._left[0]


def put_many(memory: MemoryStore) -> None:
    for n in range(RECORD_COUNT):
        memory.put("t", f"k{n}", b"1")


class TestEraRise:
    async def test_era_is_read_from_each_answer(self) -> None:
        memory = MemoryStore(era=4)
        async with client_of(StoreServer(memory).handle) as store:
            assert store.era is None
            with pytest.raises(AppendConflict):
                await store.append("t", {"a": b"1"}, expected_end=5)
            assert store.era == 4

    async def test_store_without_eras_has_none(self) -> None:
        async with client_of(StoreServer(MemoryStore()).handle) as store:
            await store.append("t", {"a": b"1"})
            assert store.era is None

    async def test_listeners_are_notified(self) -> None:
        memory = MemoryStore(era=1)
        eras: list[int | None] = []
        async with client_of(StoreServer(memory).handle) as store:
            store.on_era_rise(lambda: eras.append(store.era))
            await store.newest("t")
            memory.roll_back(memory.copy())
            with pytest.raises(EraRisen):
                await store.newest("t")
            await store.newest("t")
        assert eras == [2]

    async def test_refusal_in_a_new_era_is_not_reported_as_a_refusal(self) -> None:
        """A conflict or an expired offset in a new era says nothing about the request."""
        memory = MemoryStore(era=1)
        async with client_of(StoreServer(memory).handle) as store:
            copy = memory.copy()
            assert await store.append("t", {"a": b"1"}, expected_end=0) == 1
            memory.roll_back(copy)
            with pytest.raises(EraRisen):
                await store.append("t", {"a": b"2"}, expected_end=1)
            with pytest.raises(AppendConflict):
                await store.append("t", {"a": b"2"}, expected_end=1)
            memory.roll_back(copy)
            with pytest.raises(EraRisen):
                await store.read("t", 1, 0.0)
            with pytest.raises(RecordsExpired):
                await store.read("t", 1, 0.0)

    async def test_append_done_in_a_new_era_has_an_unknown_outcome(self) -> None:
        memory = MemoryStore(era=1)
        async with client_of(StoreServer(memory).handle) as store:
            await store.newest("t")
            memory.roll_back(memory.copy())
            with pytest.raises(EraRisen):
                await store.append("t", {"a": b"1"})
        assert memory.topic("t").end == 1

    async def test_request_sent_before_a_rise_seen_by_another_request_fails(self) -> None:
        """It was sent before the other's answer, and its own answer is of the new era too."""
        memory = MemoryStore(era=1)
        async with client_of(StoreServer(memory).handle) as store:
            await store.newest("t")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_until_rise, store)
                await trio.sleep(0.05)
                memory.era = 2
                with pytest.raises(EraRisen):
                    await store.newest("u")
                memory.put("t", "a", b"1")

    @staticmethod
    async def _read_until_rise(store) -> None:
        with pytest.raises(EraRisen):
            await store.read("t", 0, 30.0)

    async def test_records_received_before_a_rise_seen_by_another_request_are_discarded(
        self,
    ) -> None:
        memory = MemoryStore(era=1)
        memory.put("t", "a", b"1")
        begun = trio.Event()
        server = StoreServer(memory)

        async def handle(request: HttpRequest, responder: Responder) -> None:
            if not request.target.startswith(b"/log-read"):
                await server.handle(request, responder)
                return
            body = (2).to_bytes(8, "big") + bytes(8) + (3).to_bytes(4, "big") + b"\x01a1"
            await responder.start(200, ((b"store-era", b"1"),), len(body) + 9)
            await responder.write(body)
            begun.set()
            await trio.sleep(0.1)
            await responder.hijack().aclose()

        async with client_of(handle) as store:
            await store.newest("t")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_until_rise, store)
                await begun.wait()
                memory.era = 2
                with pytest.raises(EraRisen):
                    await store.newest("u")

    async def test_items_received_before_a_rise_seen_by_another_request_are_discarded(self) -> None:
        memory = MemoryStore(era=1)
        begun = trio.Event()
        server = StoreServer(memory)
        targets: list[bytes] = []
        prefix = b'{"items":[{"key":"a","value":"","offset":0},{"key":"b","value":"","offset":1},'

        async def handle(request: HttpRequest, responder: Responder) -> None:
            targets.append(request.target)
            if len(targets) > 1:
                await server.handle(request, responder)
                return
            await responder.start(200, ((b"store-era", b"1"),), len(prefix) + 9)
            await responder.write(prefix)
            begun.set()
            await trio.sleep(0.1)
            await responder.hijack().aclose()

        async with client_of(handle) as store:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._newest_until_rise, store)
                await begun.wait()
                memory.era = 2
                with pytest.raises(EraRisen):
                    await store.newest("u")
            await store.newest("t")
        assert b"after" not in targets[-1]

    async def _newest_until_rise(self, store: PlatformStore) -> None:
        with pytest.raises(EraRisen):
            await store.newest("t")

    async def test_answer_of_a_new_era_reports_no_progress(self) -> None:
        """Its reader would take the reported end offset for one of the era of the request."""
        memory = MemoryStore(era=1)
        memory.put("t", "a", b"1")
        begun: list[ReadProgress] = []
        async with client_of(StoreServer(memory).handle) as store:
            await store.newest("t")
            memory.roll_back(memory.copy())
            for expected in (0, 1):
                with nullcontext() if expected else pytest.raises(EraRisen):
                    await store.read("t", 0, 0.0, progress=ReadProgress(begun.append))
                assert len(begun) == expected

    async def test_pages_of_a_broken_read_are_dropped(self) -> None:
        memory = MemoryStore(era=1)
        put_many(memory)
        server = StoreServer(memory)
        targets: list[bytes] = []

        async def handle(request: HttpRequest, responder: Responder) -> None:
            targets.append(request.target)
            if b"after=" in request.target and len(targets) == 2:
                await responder.answer(503, ((b"store-era", b"1"),))
                return
            await server.handle(request, responder)

        async with client_of(handle) as store:
            with pytest.raises(LogUnavailable):
                await store.newest("t")
            memory.roll_back({})
            memory.put("t", "new", b"1")
            with pytest.raises(EraRisen):
                await store.read("u", 0, 0.0)
            page = await store.newest("t")
        assert [record.key for record in page.records] == ["new"]
        assert b"after" not in targets[-1]


class TestInvalidEras:
    async def test_answer_with_a_lower_era_is_rejected(self) -> None:
        memory = MemoryStore()
        async with client_of(EraServer(memory, "2", "1", "2").handle) as store:
            await store.newest("t")
            with pytest.raises(LogUnavailable) as lower:
                await store.append("t", {"a": b"1"}, expected_end=7)
            assert not isinstance(lower.value, EraRisen)
            await store.newest("t")
            assert store.era == 2

    @pytest.mark.parametrize("header", [None, "", "two", "-3"])
    async def test_answer_with_a_missing_or_malformed_era_is_rejected(
        self, header: str | None
    ) -> None:
        memory = MemoryStore()
        async with client_of(EraServer(memory, "2", header, "2").handle) as store:
            await store.newest("t")
            with pytest.raises(LogUnavailable) as bad:
                await store.newest("t")
            assert not isinstance(bad.value, EraRisen)
            await store.newest("t")
            assert store.era == 2

    @pytest.mark.parametrize("header", [None, "x"])
    async def test_store_without_a_valid_era_is_used(self, header: str | None) -> None:
        async with client_of(EraServer(MemoryStore(), header).handle) as store:
            assert await store.append("t", {"a": b"1"}) == 1
            assert (await store.newest("t")).end == 1

    async def test_alternating_eras_rise_once(self) -> None:
        memory = MemoryStore()
        rises: list[int | None] = []
        async with client_of(EraServer(memory, "1", "2", "1", "2", "1", "2").handle) as store:
            store.on_era_rise(lambda: rises.append(store.era))
            outcomes = [await self._outcome(store) for _ in range(6)]
        assert outcomes == ["", "EraRisen", "LogUnavailable", "", "LogUnavailable", ""]
        assert rises == [2]

    @staticmethod
    async def _outcome(store) -> str:
        try:
            await store.newest("t")
        except LogUnavailable as err:
            return type(err).__name__
        return ""
