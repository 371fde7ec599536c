"""Reads a keyed topic up to the present when a decision needs its newest records."""

from collections.abc import Callable

import trio

from railtide.journal.errors import LogUnavailable, RecordsExpired
from railtide.journal.keyed import KeyedRecord, KeyedStore

__all__ = ["RecordReader"]


class RecordReader:
    """Reads the records of a topic that a feed follows with pauses.

    Parameters
    ----------
    store : KeyedStore
    topic : str
    start_of : callable
        Returns the offset up to which the feed has read.
    on_records : callable
        Called with the records, in order; the feed reads them again.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        start_of: Callable[[], int],
        on_records: Callable[[list[KeyedRecord]], None],
    ) -> None:
        self._store = store
        self._topic = topic
        self._start_of = start_of
        self._on_records = on_records
        self._lock = trio.Lock()
        self._requested = 0
        self._covered = 0

    async def read(self, timeout_s: float) -> None:
        """Read all records that exist now; concurrent calls share a read that covers them.

        Raises
        ------
        LogUnavailable
            The store did not answer in time.
        """
        self._requested += 1
        own_number = self._requested
        try:
            with trio.fail_after(timeout_s):
                async with self._lock:
                    if self._covered < own_number:
                        covered = self._requested
                        await self._read_to_end()
                        self._covered = covered
        except (trio.TooSlowError, RecordsExpired) as err:
            raise LogUnavailable("the records were not read in time") from err

    async def _read_to_end(self) -> None:
        try:
            await self._read_from(self._start_of())
        except RecordsExpired:
            page = await self._store.newest(self._topic)
            self._on_records(page.records)
            await self._read_from(page.end)

    async def _read_from(self, start: int) -> None:
        end = None
        while end is None or start < end:
            page = await self._store.read(self._topic, start, 0.0)
            self._on_records(page.records)
            if page.next_offset <= start < page.end:
                raise LogUnavailable("the answer lacks records before the end that it states")
            start, end = page.next_offset, page.end
