"""The freshness that a feed reports while it knows of records that it has not read."""

from random import Random

import trio

from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.read_progress import ReadProgress
from railtide.standins.keyed_store import MemoryStore


class TestExpiredHistory:
    async def test_feed_is_not_current_before_the_newest_have_come(self, autojump_clock) -> None:
        store = MemoryStore()
        store.put("t", "a", b"0")
        feed = Feed(store, "t", FeedOptions(), Random(1), lambda records: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await trio.sleep(0.5)
            assert feed.is_current()
            store.delay_s = 3.0
            store.put("t", "a", b"1")
            store.topic("t").compact()
            await trio.sleep(4.5)
            assert not feed.is_current()
            await trio.sleep(3.0)
            assert not feed.is_current(), "records appended since the newest read are unread"
            await trio.sleep(4.0)
            assert feed.is_current()
            nursery.cancel_scope.cancel()


class TestPages:
    async def test_remaining_time_of_a_later_page_ignores_earlier_pages(
        self, autojump_clock
    ) -> None:
        progress = ReadProgress()
        for _ in range(2):
            progress.begin(1, 1000)
            await trio.sleep(2.0)
            progress.add_received(500)
            assert progress.remaining_s() == 2.0
            await trio.sleep(2.0)
            progress.add_received(500)


class TestFirstBytes:
    async def test_initial_bytes_do_not_count_for_the_rate(self, autojump_clock) -> None:
        """They arrived before the start; counted, a read of 3 s was estimated at 0.8 s."""
        progress = ReadProgress()
        progress.begin(1, 1000, initial=400)
        await trio.sleep(0.01)
        assert progress.remaining_s() is None
        await trio.sleep(0.99)
        progress.add_received(100)
        assert progress.remaining_s() == 5.0
