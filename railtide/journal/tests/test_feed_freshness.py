"""What a feed says of its freshness where records are known of that it has not read."""

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
            store.topic("t").forget()
            await trio.sleep(4.5)
            assert not feed.is_current()
            await trio.sleep(3.0)
            assert not feed.is_current(), "what came since the newest were read is not read yet"
            await trio.sleep(4.0)
            assert feed.is_current()
            nursery.cancel_scope.cancel()


class TestPages:
    async def test_rest_of_a_later_page_is_told_by_that_page(self, autojump_clock) -> None:
        progress = ReadProgress()
        for _ in range(2):
            progress.begin(1, 1000)
            await trio.sleep(2.0)
            progress.add_received(500)
            assert progress.remaining_s() == 2.0
            await trio.sleep(2.0)
            progress.add_received(500)


class TestFirstBytes:
    async def test_bytes_that_came_with_the_beginning_tell_no_rate(self, autojump_clock) -> None:
        """They had all the time before it; counted, a transfer of 3 s was told to take 0.8 s."""
        progress = ReadProgress()
        progress.begin(1, 1000, initial=400)
        await trio.sleep(0.01)
        assert progress.remaining_s() is None
        await trio.sleep(0.99)
        progress.add_received(100)
        assert progress.remaining_s() == 5.0
