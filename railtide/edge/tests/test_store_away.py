"""A store that becomes unreachable while all routers read a new version."""

from random import Random

import trio

from railtide.edge.freshness import ConfigurationFreshness
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedPage
from railtide.journal.read_progress import ReadProgress
from railtide.standins.keyed_store import MemoryStore


class VanishingStore(MemoryStore):
    """Becomes unresponsive during its first answer with a record, and unreachable from then on."""

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        page = await super().read(topic, start, wait_s, partition, progress)
        if page.records:
            self.down = True
            raise LogUnavailable("nothing moved")
        return page


class TestUnreachableStore:
    async def test_store_lost_during_an_answer_makes_no_router_outdated(
        self, autojump_clock
    ) -> None:
        """Guards against all routers answering 503 on `/ready` while the store is unreachable.

        An unreachable store is unreachable for all routers alike, so none of them may count as
        outdated.
        """
        store = VanishingStore()
        feed = Feed(store, "t", FeedOptions(), Random(1), lambda records: None)
        freshness = ConfigurationFreshness(feed, 2.0, 1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(feed.run)
            await trio.sleep(1.0)
            store.put("t", "a", b"1")
            await trio.sleep(10.0)
            assert not feed.reachable
            assert not freshness.is_behind()
            nursery.cancel_scope.cancel()
