"""A silent store behind an answer of which a part came; answers of no use."""

from random import Random

import trio

from railtide.journal.errors import RecordsExpired
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import AppendConflict, KeyedPage
from railtide.journal.read_progress import ReadProgress
from railtide.standins.keyed_store import MemoryStore


class BrokenOff(MemoryStore):
    """Of two records that wait the first comes; how long each read behind it waits is kept."""

    def __init__(self) -> None:
        super().__init__()
        self.waits_s: list[float] = []
        self.had_part = False

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        if self.had_part:
            self.waits_s.append(wait_s)
        page = await super().read(topic, start, wait_s, partition, progress)
        records = page.records[:1]
        self.had_part = self.had_part or len(records) < len(page.records)
        return KeyedPage(records, page.end, start + len(records))


class TestPart:
    async def test_rest_that_is_known_to_be_there_is_not_waited_for(self, autojump_clock) -> None:
        """A store that fell silent within the answer is noticed 1 s later, not 2 + 1 s later."""
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
    """Has lost its history, and says so of each read; counts what it is asked."""

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
    async def test_history_that_ends_before_it_is_read_costs_no_call_after_another(
        self, autojump_clock
    ) -> None:
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
    """Says that there is one record more than it gives, each time."""

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
    async def test_answer_without_the_record_that_it_tells_of_is_not_asked_for_at_once(
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
    """Answers one read as it would a condition that did not hold."""

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
    async def test_refusal_of_another_call_does_not_end_the_router(self, autojump_clock) -> None:
        """`PlatformStore` raises so for a 412 to any call; it ends the nursery of all duties."""
        feed = Feed(WrongRefusal(), "t", FeedOptions(), Random(1), lambda records: None)
        with trio.move_on_after(5.0):
            await feed.run()
