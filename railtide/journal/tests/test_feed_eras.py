"""Tests of a feed whose store is rolled back to an older copy."""

import trio

from railtide.journal.tests.test_feed import Case
from railtide.standins.keyed_store import MemoryStore


class TestRise:
    async def test_reused_offsets_hide_no_record(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            copy = store.copy()
            for n in range(3):
                store.put("t", "a", b"%d" % n)
            await trio.sleep(0.5)
            store.roll_back(copy)
            for n in range(5):
                store.put("t", f"b{n}", b"1")
            await trio.sleep(0.5)
            assert case.seen[-5:] == [(f"b{n}", b"1") for n in range(5)]
            assert case.feed.next_offset == 5
            nursery.cancel_scope.cancel()

    async def test_next_offset_is_reset(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            copy = store.copy()
            store.put("t", "a", b"1")
            await trio.sleep(0.5)
            store.roll_back(copy)
            await trio.sleep(0.5)
            assert (case.feed.next_offset, case.listed[-1]) == (0, set())
            store.put("t", "b", b"1")
            await trio.sleep(0.5)
            assert case.seen[-1] == ("b", b"1")
            nursery.cancel_scope.cancel()

    async def test_feed_is_not_current_before_the_newest_records_are_read(
        self, autojump_clock
    ) -> None:
        store = MemoryStore(era=1)
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            assert case.feed.is_current()
            store.delay_s = 3.0
            store.roll_back(store.copy())
            await trio.sleep(2.5)
            assert not case.feed.is_current()
            await trio.sleep(4.0)
            assert case.feed.is_current()
            nursery.cancel_scope.cancel()

    async def test_rise_counts_as_loss_and_return(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(5.0)
            store.delay_s = 0.5
            store.roll_back(store.copy())
            risen_at = trio.current_time()
            await trio.sleep(0.2)
            assert case.feed.lost_at == risen_at > case.feed.restored_at
            await trio.sleep(2.0)
            assert risen_at < case.feed.restored_at <= risen_at + 1.0
            assert case.feed.reachable
            nursery.cancel_scope.cancel()

    async def test_rise_during_an_outage(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            copy = store.copy()
            store.put("t", "a", b"1")
            await trio.sleep(0.5)
            store.down = True
            await trio.sleep(3.0)
            lost_at = case.feed.lost_at
            store.roll_back(copy)
            await trio.sleep(1.0)
            store.down = False
            store.put("t", "b", b"1")
            await trio.sleep(2.0)
            assert case.seen[-1] == ("b", b"1")
            assert case.feed.lost_at == lost_at < case.feed.restored_at
            nursery.cancel_scope.cancel()

    async def test_two_rises_in_a_row(self, autojump_clock) -> None:
        store = MemoryStore(era=1)
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            copy = store.copy()
            store.delay_s = 0.3
            for n in range(2):
                store.put("t", "a", b"%d" % n)
                store.roll_back(copy)
                await trio.sleep(0.1)
            store.put("t", "b", b"1")
            await trio.sleep(2.0)
            assert case.seen[-1] == ("b", b"1")
            assert case.feed.is_current()
            nursery.cancel_scope.cancel()

    async def test_first_stated_era_is_no_rise(self, autojump_clock) -> None:
        store = MemoryStore()
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            store.era = 7
            await trio.sleep(9.0)
            assert len(case.listed) <= 2
            assert case.feed.is_current()
            nursery.cancel_scope.cancel()
