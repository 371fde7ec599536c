"""Knows at which software version each stream began, also for streams of other routers.

A router remembers the streams that it began. It records those that the agreed shares don't map to
their version in a topic of the store before their first event is passed on, so that the record
outlives the router. A router that is asked to resume a stream reads the records up to the present.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

import trio
from loguru import logger

from railtide.configuration.errors import InvalidObject
from railtide.journal.backoff import Backoff
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord, KeyedStore
from railtide.streams.agreement import SharesAgreement
from railtide.streams.errors import StreamVersionUnknown
from railtide.streams.records import StreamOrigin, origin_of, origin_value, stream_key
from railtide.telemetry.counters import Counters

__all__ = ["STREAMS_TOPIC", "NoOrigins", "StreamOrigins", "StoredOrigins"]

STREAMS_TOPIC = "keyed.railtide-streams"
READ_WAIT_S = 2.0
READ_PAUSE_S = 2.0
"""Between two reads of the records. Only resumed streams need the newest ones, which are then read
at once."""
LOOKUP_S = 0.5
"""Longest wait of a resumed stream for the records: a read takes milliseconds, and up to 0.45 s
behind a link of 5 Mbit/s that is full."""
RECORD_WAIT_S = 0.25
"""Longest time for which a stream's first event is held back for its record."""
PROMPT_S = 0.05
"""An append that takes longer means that the store may be lost: it usually takes some milliseconds.
Streams that were sent to a version that needs a record by then may go on without one."""
MAX_APPEND_INTERVAL_S = 0.25
"""Longest interval of appends at which records are stored before the first events."""
FLEET_APPENDS_PER_S = 100.0
"""Appends of records by all routers together: a sixth of the smallest store's limit."""
MAX_BATCH = 200
BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.2
LIST_LAG_S = 5.0
"""For how long after an upstream left this router's list other routers may begin streams there."""
BACKLOG_S = 1.0
"""From the store's return until all routers have written the records that they could not write:
the longest backoff, and an append."""
MIN_RETENTION_S = 30.0
PRUNE_INTERVAL_S = 1.0
REMOVAL_DELAY_S = 10.0
"""Longest time for which removals wait to share an append with records."""
FORMER_ROUTER_FACTOR = 2.0
"""After this multiple of the retention a record is removed for a router that no longer exists."""
RETRY_AFTER_S = 0.5


class StreamOrigins(ABC):
    """Where streams began."""

    @abstractmethod
    async def version_of(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which an attempt began a stream; None if that doesn't matter.

        Raises
        ------
        StreamVersionUnknown
            It is not known, and the pool's upstreams may differ.
        """

    @abstractmethod
    def preferred_version(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which a new stream should begin, None for any."""

    @abstractmethod
    def note_sent(self, origin: StreamOrigin, account: str, attempt: str) -> None:
        """Record that an attempt was sent to a version, where a stream may now begin."""

    @abstractmethod
    async def wait_until_recorded(self, account: str, attempt: str) -> bool:
        """Wait for the record of a stream, if it needs one; return whether it is stored in time."""

    @abstractmethod
    def version_without_record(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which a stream needs no record, None if there is none."""


class NoOrigins(StreamOrigins):
    """For upstreams that state no software version."""

    async def version_of(self, pool: str, account: str, attempt: str) -> str | None:
        """Return None; see `StreamOrigins.version_of`."""
        return None

    def preferred_version(self, pool: str, account: str, attempt: str) -> str | None:
        """Return None; see `StreamOrigins.preferred_version`."""
        return None

    def note_sent(self, origin: StreamOrigin, account: str, attempt: str) -> None:
        """Do nothing; see `StreamOrigins.note_sent`."""

    async def wait_until_recorded(self, account: str, attempt: str) -> bool:
        """Return True at once; see `StreamOrigins.wait_until_recorded`."""
        return True

    def version_without_record(self, pool: str, account: str, attempt: str) -> str | None:
        """Return None; see `StreamOrigins.version_without_record`."""
        return None


@dataclass
class _KnownStream:
    """A stream that began lately.

    Attributes
    ----------
    known_at : float
        Trio time at which this router began it or read its record.
    is_own : bool
        Whether this router began it.
    is_recorded : bool
        Whether the store has a record of it, or will have.
    """

    origin: StreamOrigin
    known_at: float
    is_own: bool
    is_recorded: bool


@dataclass
class _PendingRecord:
    """A record that is not stored yet; an empty value removes it."""

    value: bytes
    due_at: float
    stored: trio.Event


class StoredOrigins(StreamOrigins):
    """Origins of streams that all routers share through the store.

    Parameters
    ----------
    store : KeyedStore
    agreement : SharesAgreement
    versions_of : callable
        Returns the software versions of a pool's listed upstreams.
    router_count : callable
        Returns how many routers may record streams.
    is_owner : callable
        Returns whether this router removes the record of a router that no longer exists.
    rng : random.Random
    counters : Counters
    """

    def __init__(
        self,
        store: KeyedStore,
        agreement: SharesAgreement,
        versions_of: Callable[[str], frozenset[str]],
        router_count: Callable[[], int],
        is_owner: Callable[[str], bool],
        rng: Random,
        counters: Counters,
    ) -> None:
        self._store = store
        self._agreement = agreement
        self._versions_of = versions_of
        self._router_count = router_count
        self._is_owner = is_owner
        self._counters = counters
        self._began_at = trio.current_time()
        self._mixed_at_by_pool: dict[str, float] = {}
        self._stream_by_key: dict[str, _KnownStream] = {}
        self._pending: dict[str, _PendingRecord] = {}
        self._write_due = trio.Event()
        self._is_prompt = True
        self._lookup_lock = trio.Lock()
        self._lookups_begun = 0
        self._lookups_covered = 0
        self._backoff = Backoff(BACKOFF_S, MAX_BACKOFF_S, rng)
        options = FeedOptions(READ_WAIT_S, READ_PAUSE_S)
        self._feed = Feed(store, STREAMS_TOPIC, options, rng, self._apply_records)
        store.on_era_rise(self._write_again)

    async def run(self) -> None:
        """Follow the records of all routers and write this one's, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._run_writes)
            nursery.start_soon(self._run_pruning)

    def refresh(self) -> trio.Event:
        """Read the topic again now; see `Feed.refresh`."""
        return self._feed.refresh()

    @property
    def caught_up(self) -> bool:
        """True once the records of all routers were read to the end of the topic."""
        return self._feed.caught_up

    @property
    def _retention_s(self) -> float:
        return max(MIN_RETENTION_S, self._agreement.retention_s)

    # -- queries ------------------------------------------------------------------------------

    async def version_of(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which a stream began; see `StreamOrigins.version_of`."""
        key = stream_key(account, attempt) if attempt else ""
        known = self._stream_by_key.get(key)
        if known is None and self._knows_all_records(pool):
            only = self._only_version(pool)
            if only is not None:
                return only
        if known is None or not known.is_own:
            known = await self._read_stream(key, known)
        if known:
            return known.origin.version if known.origin.pool == pool else None
        return self._version_without_record(pool, key)

    def _version_without_record(self, pool: str, key: str) -> str:
        """Return the version at which a stream began that has no record up to the present."""
        if not self._agreement.reachable or self._is_backlog_due():
            raise _unknown("other routers may still have records to write after an outage")
        only = self._only_version(pool)
        if only is not None:
            return only
        shares = self._agreement.by_pool.get(pool)
        if not key:
            raise _unknown("the caller does not name the attempt that began the stream")
        if shares is None:
            raise _unknown("the versions' shares are not known yet")
        return shares.version_of(key)

    def _is_backlog_due(self) -> bool:
        """Return whether records that an outage held up may still be missing."""
        return trio.current_time() < self._agreement.restored_at + BACKLOG_S

    def _only_version(self, pool: str) -> str | None:
        """Return the version at which all streams of a pool began, None if they may differ."""
        versions = self._versions_of(pool)
        only = self._agreement.only_version_of(pool, versions)
        if only is None or versions - {only}:
            return None
        origins = (stream.origin for stream in self._stream_by_key.values())
        others = any(origin.pool == pool and origin.version != only for origin in origins)
        return None if others else only

    def _knows_all_records(self, pool: str) -> bool:
        """Return whether the records were read since a pool's list last had other versions."""
        mixed_at = self._mixed_at_by_pool.get(pool, self._began_at)
        return self._feed.freshness.read_at >= mixed_at + LIST_LAG_S

    def note_versions(self, pool: str) -> None:
        """Note which versions a pool has now; to be called several times a second."""
        versions = self._versions_of(pool)
        only = self._agreement.only_version_of(pool, versions)
        if only is None or versions - {only}:
            self._mixed_at_by_pool[pool] = trio.current_time()

    async def _read_stream(self, key: str, known: _KnownStream | None) -> _KnownStream | None:
        """Return what the present records tell of a stream that another router began.

        A record that was read earlier may have been replaced: before its first event, a stream can
        be sent to another version. While the store doesn't answer, that record still counts.
        """
        try:
            await self._read_records()
        except StreamVersionUnknown:
            if known is None:
                raise
        return self._stream_by_key.get(key)

    async def _read_records(self) -> None:
        """Read the records up to the present; concurrent lookups share a read that covers them."""
        self._lookups_begun += 1
        own_number = self._lookups_begun
        try:
            with trio.fail_after(LOOKUP_S):
                async with self._lookup_lock:
                    if self._lookups_covered < own_number:
                        covered = self._lookups_begun
                        await self._read_to_end()
                        self._lookups_covered = covered
        except (trio.TooSlowError, LogUnavailable, RecordsExpired, EraRisen) as err:
            self._counters.add("stream_lookups_failed")
            raise _unknown("the records of streams can't be read now") from err

    async def _read_to_end(self) -> None:
        try:
            await self._read_from(self._feed.next_offset)
        except RecordsExpired:
            page = await self._store.newest(STREAMS_TOPIC)
            self._apply_records(page.records)
            await self._read_from(page.end)

    async def _read_from(self, start: int) -> None:
        end = None
        while end is None or start < end:
            page = await self._store.read(STREAMS_TOPIC, start, 0.0)
            self._apply_records(page.records)
            if page.next_offset <= start < page.end:
                raise LogUnavailable("the answer lacks records before the end that it states")
            start, end = page.next_offset, page.end

    def preferred_version(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version that needs no record, while records take long."""
        if self._records_promptly():
            return None
        return self.version_without_record(pool, account, attempt)

    def version_without_record(self, pool: str, account: str, attempt: str) -> str | None:
        """Return what the shares assign; see `StreamOrigins.version_without_record`.

        While shares are changing, a stream may need a record at any version. Without it, the shares
        that hold decide.
        """
        shares = self._agreement.by_pool.get(pool)
        return shares.version_of(stream_key(account, attempt)) if shares else None

    def _records_promptly(self) -> bool:
        """Return whether a record that is due now would be stored in time for the first event."""
        now = trio.current_time()
        interval_s = self._append_interval_s()
        oldest = min((pending.due_at for pending in self._pending.values()), default=now)
        return (
            self._is_prompt
            and self._agreement.reachable
            and interval_s <= MAX_APPEND_INTERVAL_S
            and now - oldest <= PROMPT_S + interval_s
        )

    def _append_interval_s(self) -> float:
        return self._router_count() / FLEET_APPENDS_PER_S

    # -- streams of this router ---------------------------------------------------------------

    def note_sent(self, origin: StreamOrigin, account: str, attempt: str) -> None:
        """Remember where an attempt was sent, and record it if necessary."""
        key = stream_key(account, attempt)
        former = self._stream_by_key.pop(key, None)
        shares = self._agreement.by_pool.get(origin.pool)
        is_recorded = former is not None and former.is_recorded
        needs_record = shares is None or shares.needs_record(key, origin.version)
        self._stream_by_key[key] = _KnownStream(
            origin, trio.current_time(), True, is_recorded or needs_record
        )
        if is_recorded or needs_record:
            self._counters.add("stream_records")
            self._write(key, origin_value(origin))

    async def wait_until_recorded(self, account: str, attempt: str) -> bool:
        """Wait for the record of a stream; see `StreamOrigins.wait_until_recorded`."""
        pending = self._pending.get(stream_key(account, attempt))
        if pending is None:
            return True
        with trio.move_on_after(RECORD_WAIT_S):
            await pending.stored.wait()
            return True
        self._counters.add("stream_records_late")
        logger.bind(attempt=attempt).warning("stream-record-late")
        return False

    # -- records ------------------------------------------------------------------------------

    def _apply_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            known = self._stream_by_key.get(record.key)
            if not record.value:
                if known and not known.is_own:
                    del self._stream_by_key[record.key]
                continue
            try:
                self._apply_origin(record.key, origin_of(record), known)
            except InvalidObject as err:
                logger.bind(key=record.key, error=err.detail).debug("stream-record-unreadable")

    def _apply_origin(self, key: str, origin: StreamOrigin, known: _KnownStream | None) -> None:
        """Apply a record; a late write of this router's own is replaced by the present one."""
        if known and known.is_own:
            if origin != known.origin and key not in self._pending:
                self._write(key, origin_value(known.origin))
            return
        since = known.known_at if known else trio.current_time()
        self._stream_by_key.pop(key, None)
        self._stream_by_key[key] = _KnownStream(origin, since, False, True)

    def _write(self, key: str, value: bytes, delay_s: float = 0.0) -> None:
        former = self._pending.get(key)
        stored = former.stored if former else trio.Event()
        self._pending[key] = _PendingRecord(value, trio.current_time() + delay_s, stored)
        if not delay_s:
            self._write_due.set()

    def _write_again(self) -> None:
        """Write all records again that a rolled back store may have lost."""
        for key, stream in self._stream_by_key.items():
            if stream.is_recorded:
                self._write(key, origin_value(stream.origin))

    async def _run_writes(self) -> None:
        """Write pending records, each again until the store has acknowledged it."""
        while True:
            await self._write_due.wait()
            batch = dict(list(self._pending.items())[:MAX_BATCH])
            began = trio.current_time()
            try:
                await self._store.append(
                    STREAMS_TOPIC, {key: pending.value for key, pending in batch.items()}
                )
            except LogUnavailable:
                self._is_prompt = False
                await trio.sleep(self._backoff.next_wait())
                continue
            self._backoff.reset()
            self._is_prompt = trio.current_time() - began <= PROMPT_S
            self._note_stored(batch)
            await trio.sleep(self._append_interval_s())

    def _note_stored(self, batch: Mapping[str, _PendingRecord]) -> None:
        for key, stored in batch.items():
            if self._pending.get(key) is stored:
                del self._pending[key]
                stored.stored.set()
        if not any(pending.value for pending in self._pending.values()):
            self._write_due = trio.Event()

    async def _run_pruning(self) -> None:
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            self._prune()

    def _prune(self) -> None:
        """Forget streams that have ended, and remove their records."""
        now = trio.current_time()
        for key, stream in list(self._stream_by_key.items()):
            age_s = now - stream.known_at
            if age_s < self._retention_s:
                break
            if stream.is_own:
                del self._stream_by_key[key]
                if stream.is_recorded:
                    self._write(key, b"", REMOVAL_DELAY_S)
            elif age_s >= self._retention_s * FORMER_ROUTER_FACTOR:
                del self._stream_by_key[key]
                if self._is_owner(key):
                    self._write(key, b"", REMOVAL_DELAY_S)
        if any(pending.due_at <= now for pending in self._pending.values()):
            self._write_due.set()


def _unknown(detail: str) -> StreamVersionUnknown:
    return StreamVersionUnknown(detail, retry_after=RETRY_AFTER_S)
