"""A feed: follows a keyed topic from its newest records on.

It goes back only with the store: an offset belongs to the era in which it was read. In another one
the feed starts anew from the newest records, and is not current until it has them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio
from loguru import logger

from railtide.journal.backoff import Backoff
from railtide.journal.errors import EraRisen, JournalError, LogUnavailable, RecordsExpired
from railtide.journal.freshness import Freshness
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedRecord, KeyedStore
from railtide.journal.read_progress import ReadProgress

__all__ = ["Feed", "FeedOptions"]

BACKOFF_S = 0.1
BACKOFF_MOST_S = 0.8
"""Waits after a failed call; a store that is back is found within the second that the desired
state has to spare."""
RESTART_S = 0.02
"""First wait after a history that had expired before it was read, doubled where the next has too:
a topic that is written faster than it is read would else be asked for without a pause."""
TELL_LOST_S = 3.0
"""Between two lines on a topic that stays lost: whether nothing comes or answers break off is told
by the latest reason. Four topics of a router make some 80 lines a minute."""
LARGE_BYTES = 65_536
"""An answer up to this size is read as it is: a tenth of a second of a link of 5 Mbit/s."""
ENCODED = 4 / 3
"""Size of the newest records, which come in base64, against the same records in a read."""


class _Superseded(Exception):  # noqa: N818 - a turn of the reading, not an error
    """Records that newer ones replace are waiting: the newest of each key are less to read."""


@dataclass(frozen=True)
class FeedOptions:
    """How a topic is followed.

    Attributes
    ----------
    wait_s : float
        How long a read waits for a record. It bounds how late a silent store is noticed.
    pause_s : float
        Least time between two reads, so that a busy topic costs a bounded number of calls.
    skip_superseded : bool
        Whether a record is of no use once there is a newer one of its key, and a key that is
        missing says nothing. Where a removal, or the last word before it, tells something, each
        record is read.
    """

    wait_s: float = 2.0
    pause_s: float = 0.0
    skip_superseded: bool = False


class Feed:
    """Follows one topic.

    Parameters
    ----------
    store : KeyedStore
    topic : str
    options : FeedOptions
    rng : random.Random
    on_records : callable
        Told of new records, in order; after a gap in the history, of the newest of each key.
    on_newest : callable, optional
        Told of all keys that exist, each time the newest records were read.
    pause_s_of : callable, optional
        Returns the least time between two reads now, in place of the option.

    Attributes
    ----------
    reachable : bool
        Whether the last call was answered.
    caught_up : bool
        Whether the topic was read to its end once.
    lost_at, restored_at : float
        Trio time of the latest loss of the store, and of its latest return. A store that came back
        older counts as lost and back: what is missing from it may come again.
    freshness : Freshness
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        options: FeedOptions,
        rng: Random,
        on_records: Callable[[list[KeyedRecord]], None],
        on_newest: Callable[[set[str]], None] | None = None,
        pause_s_of: Callable[[], float] | None = None,
    ) -> None:
        self.reachable = False
        self.caught_up = False
        self.lost_at = -float("inf")
        self.restored_at = -float("inf")
        self.next_offset = 0
        self.freshness = Freshness()
        self._era: int | None = None
        self._is_former = False
        self._keys: set[str] = set()
        self._may_leave = True
        self._left = False
        self._store = store
        self._topic = topic
        self._options = options
        self._on_records = on_records
        self._on_newest = on_newest
        self._pause_s_of = pause_s_of or (lambda: options.pause_s)
        self._backoff = Backoff(BACKOFF_S, BACKOFF_MOST_S, rng)
        self._restarts = Backoff(RESTART_S, BACKOFF_MOST_S, rng)
        self._told_lost_at = -float("inf")
        self._reading: trio.CancelScope | None = None
        self._fresh: trio.Event | None = None
        store.on_era_rise(self._give_up_reading)

    def refresh(self) -> trio.Event:
        """Read what is there now, on a new connection, and return an event set once it is taken.

        A read that has waited since before is given up: what it waits on may be gone. One whose
        answer comes goes on; if it is gone too, it stands still, and is given up for that.
        """
        if self._fresh is None:
            self._fresh = trio.Event()
        if not self.freshness.is_reading():
            self._give_up_reading()
        return self._fresh

    def _give_up_reading(self) -> None:
        if self._reading:
            self._reading.cancel()

    def is_current(self) -> bool:
        """Return whether all that the store has told of is taken, and the store is heard."""
        heard = self.caught_up and self.reachable and self._fresh is None
        return heard and self.freshness.unread_since is None

    async def run(self) -> None:
        """Follow for ever."""
        started = False
        while True:
            try:
                if not started:
                    await self._read_newest()
                    started = True
                await self._follow()
            except EraRisen as err:
                self._note_rise(err)
                started = False
            except (LogUnavailable, AppendConflict) as err:
                self._note_lost(err)
                started = self._go_back(started)
                await trio.sleep(self._backoff.next_wait())
            except RecordsExpired as err:
                logger.bind(topic=self._topic, first=err.first).info("history-expired")
                self.freshness.note_newer()
                started = False
                await trio.sleep(self._restarts.next_wait())
            except _Superseded:
                started = False

    def _note_rise(self, err: EraRisen) -> None:
        """Record that what was read is of a former era; the newest records are read anew."""
        self.freshness.note_newer()
        self._left = False
        if self.reachable and not self._is_former:
            self.lost_at = trio.current_time()
        self._is_former = True
        logger.bind(topic=self._topic, offset=self.next_offset, reason=err.detail).debug(
            "offset-of-a-former-era"
        )

    def _check_era(self) -> None:
        """Refuse to read on from an offset of another era than the store's."""
        if self._era is None:
            self._era = self._store.era
        if self._era != self._store.era:
            raise EraRisen(f"read in era {self._era}, the store is in {self._store.era}")

    def _go_back(self, started: bool) -> bool:
        """Read on where an answer was left if what replaces it breaks off; return whether started.

        Of an answer with records those that come whole are kept, of the newest only whole pages:
        over a connection that breaks again and again the first of the two moves on. It ends with
        one record: after one break of the newest, three replaced versions of 300 KB were read.
        """
        if started or not self._left:
            return started
        self._left = False
        self._may_leave = False
        return True

    async def _read_newest(self) -> None:
        progress = ReadProgress(on_unresponsive=self._note_lost)
        self.freshness.watch(progress)
        page = await self._store.newest(self._topic, progress=progress)
        self._note_reachable()
        self._note_era()
        self._keys = {record.key for record in page.records}
        if page.records:
            self._on_records(page.records)
        if self._on_newest:
            self._on_newest(set(self._keys))
        self.next_offset = page.end
        self._left = False
        self.caught_up = True
        self.freshness.note_newer()  # what came since the first page is read next

    def _note_era(self) -> None:
        """Record that what comes now is of the store's era, and so is the offset after it."""
        self._era = self._store.era
        if self._is_former:
            self._is_former = False
            self.restored_at = trio.current_time()

    async def _follow(self) -> None:
        """Read on for ever.

        After a read that did not wait and brought nothing the next one begins at once: it is the
        one that waits for news. With a pause between, a router that was just started learnt 1 s
        late that an upstream leaves.
        """
        while True:
            self._check_era()
            fresh = self._fresh
            progress = ReadProgress(self._note_begun, not self._may_leave, self._note_lost)
            self.freshness.watch(progress)
            wait_s = self._wait_s()
            with trio.CancelScope() as self._reading:
                page = await self._store.read(
                    self._topic, self.next_offset, wait_s, progress=progress
                )
            if self._reading.cancelled_caught:
                continue
            self.freshness.watch(None)
            self._check_progress(page)
            self._take(page)
            if fresh is not None and page.next_offset >= page.end:
                self._note_fresh(fresh)
            if page.records or wait_s:
                with trio.CancelScope() as self._reading:
                    await trio.sleep(self._pause_s_of())

    def _check_progress(self, page: KeyedPage) -> None:
        """Raise for an answer without the records that it tells of: asked again at once, it would
        be the same."""
        if page.next_offset <= self.next_offset < page.end:
            raise LogUnavailable("the answer lacks the records that it tells of")

    def _take(self, page: KeyedPage) -> None:
        self._note_reachable()
        for record in page.records:
            if record.value:
                self._keys.add(record.key)
            else:
                self._keys.discard(record.key)
        if page.records:
            self._may_leave = True
            self._on_records(page.records)
        self.next_offset = max(self.next_offset, page.next_offset)
        self._restarts.reset()
        if page.next_offset >= page.end:
            self.freshness.note_complete()

    def _note_begun(self, progress: ReadProgress) -> None:
        """Record that an answer has begun; leave it if the newest records are less to read.

        After an outage, or while versions come faster than a link carries them, each version was
        read to its end though a newer one replaced it: two versions of 500 KB that waited took
        1.6 s of a link of 5 Mbit/s, and a series of one each 0.33 s was never caught up with.
        """
        waiting = progress.end - self.next_offset
        if waiting <= 0:
            return
        self.freshness.note_newer()
        if not self._options.skip_superseded:
            return
        large = progress.size is None or progress.size > LARGE_BYTES
        known = len(self._keys)
        if large and known and waiting > max(1, known * ENCODED) and self._may_leave:
            self._left = True
            raise _Superseded

    def _note_fresh(self, fresh: trio.Event) -> None:
        fresh.set()
        if self._fresh is fresh:
            self._fresh = None

    def _wait_s(self) -> float:
        """Return how long a read waits for a record: not at all while one is known to be there.

        Nor while the store counts as away.

        What was removed after its return is then told from what lapsed before it: the return was
        noticed up to 2.3 s late where no record came (an upstream was sent work for so much longer
        than it may be).
        """
        is_due = self._fresh is not None or self.freshness.unread_since is not None
        return self._options.wait_s if self.reachable and not is_due else 0.0

    def _note_reachable(self) -> None:
        self._backoff.reset()
        if not self.reachable:
            self.reachable = True
            self.restored_at = trio.current_time()
            logger.bind(topic=self._topic, offset=self.next_offset).info("store-reached")

    def _note_lost(self, err: JournalError) -> None:
        if self.reachable:
            self.reachable = False
            self.lost_at = trio.current_time()
            logger.bind(topic=self._topic, reason=err.detail).warning("store-lost")
            self._told_lost_at = trio.current_time()
        elif trio.current_time() - self._told_lost_at >= TELL_LOST_S:
            lost_s = round(trio.current_time() - self.lost_at, 3)
            logger.bind(topic=self._topic, reason=err.detail, lost_s=lost_s).warning(
                "store-still-lost"
            )
            self._told_lost_at = trio.current_time()
