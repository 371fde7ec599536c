"""Tests of railtide.journal.feed."""

from random import Random

import trio

from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord
from railtide.standins.keyed_store import MemoryStore


class Case:
    """A feed whose records are kept."""

    def __init__(self, store: MemoryStore, wait_s: float = 1.0) -> None:
        self.seen: list[tuple[str, bytes]] = []
        self.listed: list[set[str]] = []
        options = FeedOptions(wait_s=wait_s)
        self.feed = Feed(store, "t", options, Random(1), self._take, self.listed.append)

    def _take(self, records: list[KeyedRecord]) -> None:
        self.seen += [(record.key, record.value) for record in records]


class TestFeed:
    async def test_newest_first_then_each_change(self, autojump_clock) -> None:
        store = MemoryStore()
        store.put("t", "a", b"0")
        store.put("t", "a", b"1")
        case = Case(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            store.put("t", "b", b"2")
            await trio.sleep(0.5)
            assert case.seen == [("a", b"1"), ("b", b"2")]
            nursery.cancel_scope.cancel()

    async def test_outage_loses_nothing_and_is_dated(self, autojump_clock) -> None:
        store = MemoryStore()
        case = Case(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            store.down = True
            await trio.sleep(5)
            assert not case.feed.reachable
            store.put("t", "a", b"1")
            store.down = False
            await trio.sleep(2)
            assert case.seen == [("a", b"1")]
            assert case.feed.reachable and case.feed.back_at > case.feed.lost_at
            nursery.cancel_scope.cancel()

    async def test_forgotten_history_is_replaced_by_the_newest(self, autojump_clock) -> None:
        store = MemoryStore()
        case = Case(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            store.down = True
            await trio.sleep(2)
            store.put("t", "a", b"1")
            store.put("t", "b", b"2")
            store.put("t", "a", b"")
            store.topic("t").forget()
            store.down = False
            await trio.sleep(3)
            assert case.seen == [("b", b"2")]
            assert case.listed[-1] == {"b"}
            nursery.cancel_scope.cancel()

    async def test_return_is_noticed_without_a_record(self, autojump_clock) -> None:
        """A read behind the return waited for a record; until one came, the store counted as away.

        A record removed meanwhile was taken to have lapsed 2 s longer, and its upstream, which had
        left, was sent a request 2,049 ms behind its leaving, of 2,000 that are allowed.
        """
        store = MemoryStore()
        case = Case(store, wait_s=2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.feed.run)
            await trio.sleep(0.5)
            store.down = True
            await trio.sleep(5)
            assert not case.feed.reachable
            returned_at = trio.current_time()
            store.down = False
            await trio.sleep(3)
            assert case.feed.reachable
            assert case.feed.back_at - returned_at < 1.0
            nursery.cancel_scope.cancel()
