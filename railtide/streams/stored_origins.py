"""Knows at which software version each stream began, also for streams of other routers.

A router remembers the streams that it began. It records those that the agreed shares don't map to
their version in a topic of the store before their first event is passed on, so that the record
outlives the router. A router that is asked to resume a stream reads the records up to the present.
"""

import math
from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass
from random import Random

import trio
from loguru import logger

from railtide.configuration.errors import InvalidObject
from railtide.journal.errors import LogUnavailable
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord, KeyedStore
from railtide.streams.agreement import SharesAgreement
from railtide.streams.errors import StreamVersionUnknown
from railtide.streams.origins import StreamOrigins
from railtide.streams.record_reader import RecordReader
from railtide.streams.record_writer import RecordWriter
from railtide.streams.records import (
    StreamOrigin,
    origin_of,
    origin_value,
    parts_of_record_key,
    record_key,
    stream_key,
)
from railtide.telemetry.counters import Counters

__all__ = ["STREAMS_TOPIC", "StoredOrigins"]

STREAMS_TOPIC = "keyed.railtide-streams"
READ_WAIT_S = 2.0
READ_PAUSE_S = 2.0
"""Between two reads of the records. Only resumed streams need the newest ones, which are then read
at once."""
LOOKUP_S = 0.5
"""Longest wait of a resumed stream for the records."""
RECORD_WAIT_S = 0.25
"""Longest time for which a stream's first event is held back for its record."""
FLEET_APPENDS_PER_S = 100.0
"""Appends of records by all routers together."""
LIST_LAG_S = 5.0
"""For how long after an upstream left this router's list other routers may begin streams there."""
BACKLOG_S = 1.0
"""From the store's return until all routers have written the records that they could not write."""
PRUNE_INTERVAL_S = 1.0
REMOVAL_DELAY_S = 10.0
"""Longest time for which removals wait to share an append with records."""
FORMER_ROUTER_FACTOR = 2.0
"""After this multiple of the retention a record is removed for a router that no longer exists."""
RETRY_AFTER_S = 0.5
MAX_LIST_AGE_S = 1.75
"""Age up to which the list of upstreams proves that a pool has one version: the pause and the wait
of a read, and a margin for a slow answer."""
NEW_VERSION_S = 2.0
"""For how long streams don't begin at a version that has just been listed, where they need not:
routers whose list is older than `MAX_LIST_AGE_S` ask before they resume a stream."""


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
    number : int
        Number of its newest record; see `record_key`.
    """

    origin: StreamOrigin
    known_at: float
    is_own: bool
    is_recorded: bool
    number: int = 0


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
    list_age_s : callable, optional
        Returns for how long the list of upstreams may have lacked some, seconds.
    peer_versions : callable, optional
        Returns the versions that other routers list in a pool, None if they don't answer.
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
        list_age_s: Callable[[], float] = lambda: 0.0,
        peer_versions: Callable[[str], Awaitable[Set[str] | None]] | None = None,
    ) -> None:
        self._list_age_s = list_age_s
        self._peer_versions = peer_versions or _no_peer_versions
        self._listed_at_by_version: dict[tuple[str, str], float] = {}
        self._agreement = agreement
        self._versions_of = versions_of
        self._router_count = router_count
        self._is_owner = is_owner
        self._counters = counters
        self._began_at = trio.current_time()
        self._mixed_at_by_pool: dict[str, float] = {}
        self._stream_by_key: dict[str, _KnownStream] = {}
        options = FeedOptions(READ_WAIT_S, READ_PAUSE_S)
        self._feed = Feed(store, STREAMS_TOPIC, options, rng, self._apply_records)
        self._reader = RecordReader(
            store, STREAMS_TOPIC, lambda: self._feed.next_offset, self._apply_records
        )
        self._writer = RecordWriter(store, STREAMS_TOPIC, self._append_interval_s, rng)
        store.on_era_rise(self._write_again)

    async def run(self) -> None:
        """Follow the records of all routers and write this one's, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._writer.run)
            nursery.start_soon(self._run_pruning)

    def refresh(self) -> trio.Event:
        """Read the topic again now; see `Feed.refresh`."""
        return self._feed.refresh()

    @property
    def caught_up(self) -> bool:
        """True once the records of all routers were read to the end of the topic."""
        return self._feed.caught_up

    # -- queries ------------------------------------------------------------------------------

    async def version_of(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version at which a stream began; see `StreamOrigins.version_of`."""
        key = stream_key(account, attempt) if attempt else ""
        known = self._stream_by_key.get(key)
        only = self._only_version_of_all(pool) if known is None else None
        if only is not None and await self._is_only_version_now(pool, only):
            return only
        if known is None or not known.is_own:
            try:
                known = await self._read_stream(key)
            except LogUnavailable as err:
                self._counters.add("stream_lookups_failed")
                if only is not None and await self._others_list_only(pool, only):
                    return only
                if known is None:
                    raise _unknown("the records of streams can't be read now") from err
        if known:
            return known.origin.version if known.origin.pool == pool else None
        return self._version_without_record(pool, key)

    def _version_without_record(self, pool: str, key: str) -> str:
        """Return the version at which a stream began that has no record up to the present."""
        if not self._agreement.is_current or self._is_backlog_due():
            raise _unknown("other routers may still have records to write after an outage")
        only = self._only_version(pool)
        if only is not None:
            return only
        if self._agreement.is_outdated(pool):
            raise _unknown("the store was restored from a copy, which may lack the stream's record")
        shares = self._agreement.by_pool.get(pool)
        if not key:
            raise _unknown("the caller does not name the attempt that began the stream")
        if shares is None:
            raise _unknown("the versions' shares are not known yet")
        return shares.version_of(key)

    async def _is_only_version_now(self, pool: str, only: str) -> bool:
        """Return whether the only version that this router lists is known to be a pool's only one.

        A router that can't read the store knows no upstreams that joined since. While the store
        counts as reachable, the records of streams tell more than the other routers.
        """
        if self._list_age_s() <= MAX_LIST_AGE_S:
            return True
        return not self._feed.reachable and await self._others_list_only(pool, only)

    async def _others_list_only(self, pool: str, only: str) -> bool:
        """Return whether other routers answer, and list no other version of a pool."""
        versions = await self._peer_versions(pool)
        listed = None if versions is None else sorted(versions)
        logger.bind(pool=pool, only=only, listed_by_others=listed).info("versions-asked")
        return versions is not None and versions <= {only}

    def _is_backlog_due(self) -> bool:
        """Return whether records that an outage held up may still be missing."""
        return trio.current_time() < self._agreement.restored_at + BACKLOG_S

    def _only_version_of_all(self, pool: str) -> str | None:
        """Return the only version of a pool, None unless all earlier records are known."""
        return self._only_version(pool) if self._knows_all_records(pool) else None

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
        now = trio.current_time()
        versions = self._versions_of(pool)
        only = self._agreement.only_version_of(pool, versions)
        if only is None or versions - {only}:
            self._mixed_at_by_pool[pool] = now
        listed_at = self._listed_at_by_version
        for gone in [key for key in listed_at if key[0] == pool and key[1] not in versions]:
            del listed_at[gone]
        is_first_list = all(known_pool != pool for known_pool, _ in listed_at)
        for version in versions:
            listed_at.setdefault((pool, version), -math.inf if is_first_list else now)

    def _has_new_version(self, pool: str) -> bool:
        """Return whether a version was listed so recently that other routers may not know it."""
        new_since = trio.current_time() - NEW_VERSION_S
        listed = self._listed_at_by_version.items()
        return any(key[0] == pool and since > new_since for key, since in listed)

    async def _read_stream(self, key: str) -> _KnownStream | None:
        """Return what the present records tell of a stream that another router began.

        A record that was read earlier may have been replaced: before its first event, a stream can
        be sent to another version. While the store doesn't answer, that record still counts.

        Raises
        ------
        LogUnavailable
            The store did not answer in time.
        """
        await self._reader.read(LOOKUP_S)
        return self._stream_by_key.get(key)

    def preferred_version(self, pool: str, account: str, attempt: str) -> str | None:
        """Return the version that needs no record, while records take long or a version is new."""
        is_prompt = self._writer.is_prompt() and self._agreement.reachable
        if is_prompt and not self._has_new_version(pool):
            return None
        return self.version_without_record(pool, account, attempt)

    def version_without_record(self, pool: str, account: str, attempt: str) -> str | None:
        """Return what the shares assign; see `StreamOrigins.version_without_record`.

        While shares are changing, a stream may need a record at any version. Without it, the shares
        that hold decide.
        """
        shares = self._agreement.by_pool.get(pool)
        return shares.version_of(stream_key(account, attempt)) if shares else None

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
        number = former.number if former else 0
        if is_recorded and former.origin != origin:
            number += 1
        self._stream_by_key[key] = _KnownStream(
            origin, trio.current_time(), True, is_recorded or needs_record, number
        )
        if is_recorded or needs_record:
            self._counters.add("stream_records")
            self._writer.write(record_key(key, number), origin_value(origin))

    async def wait_until_recorded(self, account: str, attempt: str) -> bool:
        """Wait for the record of a stream; see `StreamOrigins.wait_until_recorded`."""
        key = stream_key(account, attempt)
        known = self._stream_by_key.get(key)
        newest = record_key(key, known.number if known else 0)
        if await self._writer.wait_until_stored(newest, RECORD_WAIT_S):
            return True
        self._counters.add("stream_records_late")
        logger.bind(attempt=attempt).warning("stream-record-late")
        return False

    # -- records ------------------------------------------------------------------------------

    def _apply_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            try:
                key, number = parts_of_record_key(record.key)
                if record.value:
                    self._apply_origin(key, number, origin_of(record))
                else:
                    self._apply_removal(key, number)
            except InvalidObject as err:
                logger.bind(key=record.key, error=err.detail).debug("stream-record-unreadable")

    def _apply_removal(self, key: str, number: int) -> None:
        known = self._stream_by_key.get(key)
        if known and not known.is_own and known.number == number:
            del self._stream_by_key[key]

    def _apply_origin(self, key: str, number: int, origin: StreamOrigin) -> None:
        """Apply a record, unless a newer one is known; a late write of this router's own is
        replaced by the present one.
        """
        known = self._stream_by_key.get(key)
        if known and number < known.number:
            return
        if known and known.is_own:
            own_key = record_key(key, known.number)
            if origin != known.origin and not self._writer.is_pending(own_key):
                self._writer.write(own_key, origin_value(known.origin))
            return
        since = known.known_at if known else trio.current_time()
        self._stream_by_key.pop(key, None)
        self._stream_by_key[key] = _KnownStream(origin, since, False, True, number)

    def _write_again(self) -> None:
        """Write all records again that a rolled back store may have lost."""
        for key, stream in self._stream_by_key.items():
            if stream.is_recorded:
                newest = record_key(key, stream.number)
                self._writer.write(newest, origin_value(stream.origin))

    async def _run_pruning(self) -> None:
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            self._prune()

    def _prune(self) -> None:
        """Forget streams that have ended, and remove their records."""
        now = trio.current_time()
        for key, stream in list(self._stream_by_key.items()):
            age_s = now - stream.known_at
            if age_s < self._agreement.retention_s:
                break
            if stream.is_own:
                del self._stream_by_key[key]
                if stream.is_recorded:
                    self._remove_records(key, stream.number)
            elif age_s >= self._agreement.retention_s * FORMER_ROUTER_FACTOR:
                del self._stream_by_key[key]
                if self._is_owner(key):
                    self._remove_records(key, stream.number)
        self._writer.write_due()

    def _remove_records(self, key: str, newest: int) -> None:
        """Remove the records of a stream, up to the newest one."""
        for number in range(newest + 1):
            self._writer.write(record_key(key, number), b"", REMOVAL_DELAY_S)


async def _no_peer_versions(pool: str) -> Set[str]:
    return frozenset()


def _unknown(detail: str) -> StreamVersionUnknown:
    return StreamVersionUnknown(detail, retry_after=RETRY_AFTER_S)
