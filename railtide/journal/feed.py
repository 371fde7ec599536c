"""Follows a keyed topic, starting from the newest record of each key.

An offset is only valid in the era of the store in which it was read. When the era changes, the feed
starts again from the newest records and is not current until it has read them.
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
MAX_BACKOFF_S = 0.8
"""Bounds of the waits after failed calls; the desired state must arrive within a second of the
store's return."""
RESTART_S = 0.02
"""First wait before a restart after the history had expired, doubled with each further expiry.
Without it, a topic that is written faster than it is read would be requested continuously."""
LOST_LOG_INTERVAL_S = 3.0
"""Time between two log lines about a topic that stays lost. Each gives the latest reason, which
tells a store that doesn't answer from one whose answers break off. A router with four topics
writes about 80 lines a minute."""
LARGE_BYTES = 65_536
"""Answers up to this size are always read to the end: 0.1 s on a link of 5 Mbit/s."""
BASE64_RATIO = 4 / 3
"""Size of the newest records, which are base64-encoded, relative to the same records in a read."""


class _Superseded(Exception):  # noqa: N818 - control flow, not an error
    """Many of the unread records are superseded: reading the newest of each key takes less."""


@dataclass(frozen=True)
class FeedOptions:
    """How a topic is followed.

    Attributes
    ----------
    wait_s : float
        How long a read waits for a new record. It bounds how late an unresponsive store is noticed.
    pause_s : float
        Pause after each read, which bounds the number of calls for a busy topic.
    skip_superseded : bool
        Whether a record is of no use once its key has a newer one, and the absence of a key means
        nothing. Where a removal, or the last record before it, carries information, this must be
        False, and each record is read.
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
        Source of the jitter in retries.
    on_records : callable
        Called with new records, in order; after a gap in the history, with the newest of each key.
    on_newest : callable, optional
        Called with the set of all existing keys each time the newest records were read.
    pause_s_of : callable, optional
        Returns the current pause after a read; replaces `FeedOptions.pause_s`.

    Attributes
    ----------
    reachable : bool
        Whether the last call was answered.
    caught_up : bool
        Whether the topic has been read to its end at least once.
    lost_at, restored_at : float
        Trio time of the latest loss of the store, and of its latest return. A rise of the store's
        era counts as a loss and a return, since records missing from the copy may be written again.
    next_offset : int
        Offset from which the next read starts.
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
        self._is_offset_former = False
        self._keys: set[str] = set()
        self._may_abandon = True
        self._abandoned = False
        self._store = store
        self._topic = topic
        self._options = options
        self._on_records = on_records
        self._on_newest = on_newest
        self._pause_s_of = pause_s_of or (lambda: options.pause_s)
        self._backoff = Backoff(BACKOFF_S, MAX_BACKOFF_S, rng)
        self._restarts = Backoff(RESTART_S, MAX_BACKOFF_S, rng)
        self._lost_logged_at = -float("inf")
        self._read_scope: trio.CancelScope | None = None
        self._refreshed: trio.Event | None = None
        store.on_era_rise(self._cancel_read)

    def refresh(self) -> trio.Event:
        """Read up to the topic's present end; return an event that is set once this is done.

        A read that is still waiting for its answer is cancelled and repeated on a new connection,
        since its own may be dead. A read whose answer has begun continues; if that one is dead, the
        answer stalls and the read fails for that reason.
        """
        if self._refreshed is None:
            self._refreshed = trio.Event()
        if not self.freshness.is_reading():
            self._cancel_read()
        return self._refreshed

    def _cancel_read(self) -> None:
        if self._read_scope:
            self._read_scope.cancel()

    def is_current(self) -> bool:
        """Return whether all records known to exist are processed and the store is reachable."""
        is_caught_up = self.caught_up and self.reachable and self._refreshed is None
        return is_caught_up and self.freshness.unread_since is None

    async def run(self) -> None:
        """Follow the topic forever.

        If records can't be processed, the topic counts as lost until it was read again.
        """
        try:
            await self._run()
        except Exception as err:
            self.freshness.note_newer()
            self._note_lost(JournalError(f"the records were not processed: {err!r}"))
            raise

    async def _run(self) -> None:
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
                started = self._resume_abandoned(started)
                await trio.sleep(self._backoff.next_wait())
            except RecordsExpired as err:
                logger.bind(topic=self._topic, first=err.first).info("history-expired")
                self.freshness.note_newer()
                started = False
                await trio.sleep(self._restarts.next_wait())
            except _Superseded:
                started = False

    def _note_rise(self, err: EraRisen) -> None:
        """Record that the offset belongs to a former era; the newest records are read next."""
        self.freshness.note_newer()
        self._abandoned = False
        if self.reachable and not self._is_offset_former:
            self.lost_at = trio.current_time()
        self._is_offset_former = True
        logger.bind(topic=self._topic, offset=self.next_offset, reason=err.detail).debug(
            "offset-of-a-former-era"
        )

    def _check_era(self) -> None:
        """Raise `EraRisen` if the offset was read in another era than the store's present one."""
        if self._era is None:
            self._era = self._store.era
        if self._era != self._store.era:
            raise EraRisen(f"offset read in era {self._era}, store is in era {self._store.era}")

    def _resume_abandoned(self, started: bool) -> bool:
        """Resume the read that was abandoned for the newest records if these failed.

        A read keeps each record that arrived complete, whereas the newest records are kept by whole
        pages only. Over a connection that breaks repeatedly, only the read makes progress. The
        resumed read ends with its first record: read to the end after one such failure, it fetched
        three superseded versions of 300 KB.

        Returns
        -------
        bool
            Whether to continue with a read; otherwise the newest records are requested again.
        """
        if started or not self._abandoned:
            return started
        self._abandoned = False
        self._may_abandon = False
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
        self._abandoned = False
        self.caught_up = True
        self.freshness.note_newer()  # records appended since the first page are read next

    def _note_era(self) -> None:
        """Record that the records and the offset just read belong to the store's present era."""
        self._era = self._store.era
        if self._is_offset_former:
            self._is_offset_former = False
            self.restored_at = trio.current_time()

    async def _follow(self) -> None:
        """Read on from `next_offset` forever.

        After a read that did not wait and returned no records, the next one, which waits for new
        records, starts at once. With a pause between them, a newly started router learnt 1 s late
        that an upstream was leaving.
        """
        while True:
            self._check_era()
            refreshed = self._refreshed
            progress = ReadProgress(self._on_begun, not self._may_abandon, self._note_lost)
            self.freshness.watch(progress)
            wait_s = self._wait_s()
            with trio.CancelScope() as self._read_scope:
                page = await self._store.read(
                    self._topic, self.next_offset, wait_s, progress=progress
                )
            if self._read_scope.cancelled_caught:
                continue
            self.freshness.watch(None)
            self._check_progress(page)
            self._accept(page)
            if refreshed is not None and page.next_offset >= page.end:
                self._note_refreshed(refreshed)
            if page.records or wait_s:
                with trio.CancelScope() as self._read_scope:
                    await trio.sleep(self._pause_s_of())

    def _check_progress(self, page: KeyedPage) -> None:
        """Raise `LogUnavailable` for an answer that lacks the records that its end implies.

        It is retried with backoff: an immediate retry would get the same answer.
        """
        if page.next_offset <= self.next_offset < page.end:
            raise LogUnavailable("the answer lacks records before the end offset that it states")

    def _accept(self, page: KeyedPage) -> None:
        self._note_reachable()
        for record in page.records:
            if record.value:
                self._keys.add(record.key)
            else:
                self._keys.discard(record.key)
        if page.records:
            self._may_abandon = True
            self._on_records(page.records)
        self.next_offset = max(self.next_offset, page.next_offset)
        self._restarts.reset()
        if page.next_offset >= page.end:
            self.freshness.note_complete()

    def _on_begun(self, progress: ReadProgress) -> None:
        """Record that an answer has begun; abandon it if the newest records are less to read.

        Without this, after an outage or while versions are written faster than the link carries
        them, each version was read to its end although a newer one superseded it: two waiting
        versions of 500 KB took 1.6 s on a link of 5 Mbit/s, and the feed never caught up with one
        such version every 0.33 s.
        """
        waiting = progress.end - self.next_offset
        if waiting <= 0:
            return
        self.freshness.note_newer()
        if not self._options.skip_superseded:
            return
        is_large = progress.size is None or progress.size > LARGE_BYTES
        known = len(self._keys)
        if is_large and known and waiting > max(1, known * BASE64_RATIO) and self._may_abandon:
            self._abandoned = True
            raise _Superseded

    def _note_refreshed(self, refreshed: trio.Event) -> None:
        refreshed.set()
        if self._refreshed is refreshed:
            self._refreshed = None

    def _wait_s(self) -> float:
        """Return how long a read waits for a new record.

        It does not wait while a record is known to exist, nor while the store counts as lost, so
        that its return is noticed at once. That time separates records removed after the return
        from those that lapsed before it. With a waiting read and no new record, the return was
        noticed up to 2.3 s late, and a removed upstream was sent requests for as long.
        """
        is_due = self._refreshed is not None or self.freshness.unread_since is not None
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
            self._lost_logged_at = trio.current_time()
        elif trio.current_time() - self._lost_logged_at >= LOST_LOG_INTERVAL_S:
            lost_s = round(trio.current_time() - self.lost_at, 3)
            logger.bind(topic=self._topic, reason=err.detail, lost_s=lost_s).warning(
                "store-still-lost"
            )
            self._lost_logged_at = trio.current_time()
