"""The follower: folds the records of the log into the state, in order and each once."""

from collections import deque
from collections.abc import Callable
from random import Random

import trio
from loguru import logger

from railtide.journal.backoff import Backoff
from railtide.journal.checkpoint import CheckpointReader
from railtide.journal.client import LogClient, LogRecord, Page
from railtide.journal.entries import batch_from_bytes
from railtide.journal.errors import LogUnavailable, RecordsExpired, UnreadableBatch
from railtide.journal.fold import FoldedEntry, fold
from railtide.journal.state import State
from railtide.keeper.options import KeeperOptions

__all__ = ["Follower"]


class Follower:
    """Follows one stream of the log.

    Parameters
    ----------
    log : LogClient
    options : KeeperOptions
    rng : random.Random
    on_folded : callable
        Called with the entries of each record after it has been folded.
    on_reachable : callable
        Called when the log becomes reachable or unreachable.
    on_restored : callable
        Called after the state has been replaced by a checkpoint.
    """

    def __init__(
        self,
        log: LogClient,
        options: KeeperOptions,
        rng: Random,
        on_folded: Callable[[list[FoldedEntry]], None],
        on_reachable: Callable[[bool], None],
        on_restored: Callable[[], None],
    ) -> None:
        self.state = State()
        self.reachable = False
        self.caught_up = False
        self.unreadable = 0
        self.tail: deque[LogRecord] = deque(maxlen=options.tail_records)
        self._log = log
        self._options = options
        self._backoff = Backoff(options.backoff_s, options.backoff_max_s, rng)
        self._on_folded = on_folded
        self._on_reachable = on_reachable
        self._on_restored = on_restored
        self._advanced = trio.Event()
        self._initial_head: int | None = None
        self._checkpoint: CheckpointReader | None = None
        self._limit = options.read_limit
        self._journal_read = 0

    @property
    def records_read(self) -> int:
        """Number of records read so far, of the journal and of the checkpoint being read."""
        checkpoint_records = self._checkpoint.records_read if self._checkpoint else 0
        return self._journal_read + checkpoint_records

    async def run(self) -> None:
        """Start from the newest checkpoint and follow the log until cancelled."""
        while True:
            try:
                await self._restore()
                await self._follow()
            except LogUnavailable:
                await self._back_off()
            except RecordsExpired:
                logger.warning("records expired before they were read; starting from a checkpoint")

    async def wait_for(self, offset: int) -> None:
        """Return once the state is folded up to `offset`."""
        while self.state.offset < offset:
            await self._advanced.wait()

    async def _restore(self) -> None:
        if self._checkpoint is None:
            self._checkpoint = CheckpointReader(self._log, self._options.stream)
        read_before = self._checkpoint.records_read
        try:
            checkpoint = await self._checkpoint.newest()
        except LogUnavailable:
            if self._checkpoint.records_read > read_before:
                self._backoff.reset()  # the log answers at times
            raise
        self._checkpoint = None
        if checkpoint and checkpoint.offset > self.state.offset:
            self.state = checkpoint
            self.tail.clear()
            self._on_restored()
            logger.info("state restored from the checkpoint at offset {}", checkpoint.offset)

    async def _follow(self) -> None:
        """Read and fold records; each failed read halves the number asked for, down to one.

        A reply too large for the link would fail again each time, so that the same records would
        never arrive and every attempt would use up the bandwidth they need.
        """
        options = self._options
        while True:
            try:
                page = await self._read()
            except LogUnavailable:
                self._limit = max(1, self._limit // 2)
                await self._back_off()
                continue
            self._limit = min(options.read_limit, 2 * self._limit)
            self._backoff.reset()
            self._fold_page(page)
            self._set_reachable(True)

    async def _read(self) -> Page:
        options = self._options
        start = self.state.offset + 1
        wait_s = options.read_wait_s if self.caught_up else 0
        return await self._log.read(options.stream, start, self._limit, wait_s)

    def _fold_page(self, page: Page) -> None:
        self._journal_read += len(page.records)
        for record in page.records:
            if record.offset != self.state.offset + 1:
                break
            self._fold_record(record)
        if self._initial_head is None:
            self._initial_head = page.head
        if self.state.offset + 1 >= self._initial_head:
            self.caught_up = True

    def _fold_record(self, record: LogRecord) -> None:
        try:
            entries = batch_from_bytes(record.data)
        except UnreadableBatch:
            self.unreadable += 1
            entries = []
        folded = fold(self.state, record.offset, record.stamp, entries)
        self.tail.append(record)
        self._advanced.set()
        self._advanced = trio.Event()
        self._on_folded(folded)

    async def _back_off(self) -> None:
        self._set_reachable(False)
        await trio.sleep(self._backoff.next_wait())

    def _set_reachable(self, reachable: bool) -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        logger.info("log {}", "reachable" if reachable else "unreachable")
        self._on_reachable(reachable)
