"""Tests of the in-memory store's rollback to a copy, and of the era in the HTTP answers."""

import pytest
import trio

from railtide.http.client import PeerPool
from railtide.http.messages import HttpRequest, first_header
from railtide.http.server import ConnectionLimits, HttpServer
from railtide.http.sockets import listen
from railtide.http.stall import StallWatch
from railtide.journal.errors import EraRisen, RecordsExpired
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer

HOST = "127.0.0.1"


class TestMemoryStore:
    async def test_rollback_removes_records_after_the_copy_in_all_topics(self) -> None:
        store = MemoryStore(era=1)
        store.put("t", "a", b"1")
        copy = store.copy()
        store.put("t", "a", b"2")
        store.put("u", "b", b"1")
        store.roll_back(copy)
        page = await store.newest("t")
        assert ([(r.key, r.value) for r in page.records], page.end) == ([("a", b"1")], 1)
        assert (await store.newest("u")).end == 0
        assert store.era == 2

    async def test_offsets_are_reused_and_a_copy_can_be_restored_twice(self) -> None:
        store = MemoryStore(era=1)
        copy = store.copy()
        for n in range(2):
            assert await store.append("t", {"a": b"%d" % n}) == 1
            store.roll_back(copy)
        assert (await store.newest("t")).records == []
        assert store.era == 3

    async def test_offset_of_a_former_era_is_refused(self) -> None:
        store = MemoryStore(era=1)
        store.put("t", "a", b"1")
        copy = store.copy()
        store.put("t", "a", b"2")
        store.roll_back(copy)
        with pytest.raises(RecordsExpired) as refused:
            await store.read("t", 2, 0.0)
        assert refused.value.first == 0
        assert (await store.read("t", 1, 0.0)).records == []

    async def test_store_without_eras_returns_no_records_past_the_end(self) -> None:
        assert (await MemoryStore().read("t", 2, 0.0)).records == []

    async def test_rollback_wakes_waiting_reads(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        copy = store.copy()
        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_during_a_rollback, store)
                await trio.sleep(0.1)
                store.roll_back(copy)

    @staticmethod
    async def _read_during_a_rollback(store: MemoryStore) -> None:
        with pytest.raises(EraRisen):
            await store.read("t", 0, 30.0)

    async def test_call_in_progress_fails_without_effect(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        store.delay_s = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._append_during_a_rollback, store)
            await trio.sleep(0.5)
            store.roll_back({})
        assert store.topic("t").end == 0

    @staticmethod
    async def _append_during_a_rollback(store: MemoryStore) -> None:
        with pytest.raises(EraRisen):
            await store.append("t", {"a": b"1"})

    async def test_rollbacks_notify_listeners(self) -> None:
        store = MemoryStore(era=1)
        eras: list[int | None] = []
        store.on_era_rise(lambda: eras.append(store.era))
        store.roll_back(store.copy())
        store.roll_back(store.copy())
        assert eras == [2, 3]


class TestStoreServer:
    @pytest.mark.parametrize(
        ("target", "status"),
        [
            (b"/log-newest?topic=t&part=0", 200),
            (b"/log-read?topic=t&part=0&from=0", 200),
            (b"/log-read?topic=t&part=0&from=7", 410),
            (b"/log-append?topic=t&part=0&expected_offset=7", 412),
            (b"/log-newest?topic=t&part=1", 503),
        ],
    )
    @pytest.mark.parametrize("era", [None, 3])
    async def test_all_answers_carry_the_era(
        self, target: bytes, status: int, era: int | None
    ) -> None:
        store = MemoryStore(era=era)
        store.down_partitions = {1}
        listener = await listen(HOST, 0)
        port = listener.socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            server = HttpServer(StoreServer(store).handle, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            with StallWatch(5.0, 5.0) as watch:
                request = HttpRequest(b"GET", target, ((b"host", b"s"),), b"")
                exchange = await PeerPool(HOST, port).send(request, watch)
                era_header = first_header(exchange.headers, b"store-era")
                answer_status = exchange.status
                exchange.abandon()
            nursery.cancel_scope.cancel()
        assert era_header == (None if era is None else b"3")
        assert answer_status == (200 if era is None and status == 410 else status)
