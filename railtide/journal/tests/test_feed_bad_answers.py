"""Feeds whose store sends partial, missing or wrong answers."""

from random import Random

import trio

from railtide.journal.errors import RecordsExpired
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import AppendConflict, KeyedPage
from railtide.journal.read_progress import ReadProgress
from railtide.standins.keyed_store import MemoryStore


class BrokenOff(MemoryStore):
    """Returns only the first of several records, and remembers the `wait_s` of later reads."""

    def __init__(self) -> None:
        super().__init__()
        self.waits_s: list[float] = []
        self.answered_partly = False

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        if self.answered_partly:
            self.waits_s.append(wait_s)
        page = await super().read(topic, start, wait_s, partition, progress)
        records = page.records[:1]
        self.answered_partly = self.answered_partly or len(records) < len(page.records)
        return KeyedPage(records, page.end, start + len(records))


class TestPartialAnswer:
    async def test_records_known_to_exist_are_read_without_waiting(self, autojump_clock) -> None:
        """A store that became unresponsive during the answer is noticed after 1 s, not 2 + 1 s."""
        store = BrokenOff()
        store.put("t", "a", b"0")
        feed = Feed(store, "t", FeedOptions(wait_s=2.0), Random(1), lambda records: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await trio.sleep(0.5)
            store.put("t", "a", b"1")
            store.put("t", "a", b"2")
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert store.waits_s[0] == 0.0


class Expired(MemoryStore):
    """Answers each read with `RecordsExpired`, and counts the calls."""

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        await self._call(partition)
        raise RecordsExpired(start + 1)


class TestExpiredAgain:
    async def test_repeatedly_expired_history_is_retried_with_backoff(self, autojump_clock) -> None:
        store = Expired()
        store.delay_s = 0.004
        store.put("t", "a", b"0")
        feed = Feed(store, "t", FeedOptions(), Random(1), lambda records: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
        assert store.calls < 50


class EndAhead(MemoryStore):
    """States an end offset one record beyond those that it returns, on each read."""

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        await self._call(partition)
        if progress:
            progress.begin(start + 1, 16)
        return KeyedPage([], start + 1, start)


class TestEndAhead:
    async def test_answer_that_lacks_a_stated_record_is_retried_with_backoff(
        self, autojump_clock
    ) -> None:
        store = EndAhead()
        store.delay_s = 0.004
        store.put("t", "a", b"0")
        feed = Feed(store, "t", FeedOptions(), Random(1), lambda records: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
        assert store.calls < 50


class WrongRefusal(MemoryStore):
    """Answers one read with `AppendConflict`."""

    def __init__(self) -> None:
        super().__init__()
        self.wrong = 1

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        if self.wrong:
            self.wrong -= 1
            raise AppendConflict(0)
        return await super().read(topic, start, wait_s, partition, progress)


class TestWrongRefusal:
    async def test_conflict_on_a_read_does_not_end_the_router(self, autojump_clock) -> None:
        """`PlatformStore` raises it for a 412 on any call.

        Unhandled, it ended the nursery of all the router's tasks.
        """
        feed = Feed(WrongRefusal(), "t", FeedOptions(), Random(1), lambda records: None)
        with trio.move_on_after(5.0):
            await feed.run()
