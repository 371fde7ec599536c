"""The client of the platform's store: keyed topics over HTTP."""

from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from urllib.parse import quote

import msgspec
import trio
from loguru import logger

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError, Stalled
from railtide.http.messages import HttpRequest
from railtide.http.stall import LEAST_BYTES, StallWatch
from railtide.journal.backoff import Backoff
from railtide.journal.eras import EraTracker
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.hedge import Claim, hedged
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedRecord, KeyedStore
from railtide.journal.read_progress import ReadProgress
from railtide.journal.response_timeouts import ResponseTimeouts
from railtide.platform.answers import (
    OK,
    FirstRecordCame,
    PageAnswer,
    StoreAnswer,
    WholeAnswer,
    era_told,
)
from railtide.platform.items import whole_items
from railtide.telemetry.counters import Counters

__all__ = ["PlatformStore"]

READ = "/log-read"
CONFLICT = 412
EXPIRED = 410

HEAD_S = 1.0
"""Usual wait for an answer's first byte, beyond what a read asks for. The store answers in 4 ms,
240 ms when it is slow; a silent one is noticed while the desired state may still be late."""
MOST_HEAD_S = 8.0
"""Longest such wait. All reads share one rate: 1,100 routers that read a desired state of 500 KB
at once through 80 MB a second are served within 7 s."""
STALL_S = 1.0
"""Within this time an answer that has begun brings more. Above the pause after a segment that is
lost and lost again when it is repeated (0.2 and 0.4 s), and as soon as `HEAD_S` for a connection
that falls silent."""
PAUSE_S = 0.1
PAUSE_MOST_S = 0.8
"""Waits between two calls beside one that is silent; as between a feed's tries."""
SMALL_BYTES = 65_536
"""Body of an append up to which it leaves the system's buffers within 0.1 s, at 5 Mbit/s."""
RESUME_S = 10.0
"""For how long after the last page that came the pages of a read that broke off are kept. Half of
the shortest history on the users' sheets: what came since can still be read. How long the whole
takes has no bound; records that expired meanwhile are told by the next read."""
LENGTH_BYTES = 4


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    """Each item is decoded by itself: one that can't be read does not take the others with it."""

    items: list[msgspec.Raw]
    has_more: bool = False
    end_offset: int = 0


class _Appended(msgspec.Struct):
    end_offset: int


class _Expired(msgspec.Struct):
    first: int


@dataclass(frozen=True)
class _Ask:
    """A call.

    Attributes
    ----------
    start : int or None
        Offset of the first record that a read asks for.
    held_s : float
        For how long a read asks the store to hold its answer until a record comes, seconds.
    """

    method: bytes
    call: str
    topic: str
    partition: int
    query: str = ""
    body: bytes = b""
    start: int | None = None
    held_s: float = 0.0
    is_conditional: bool = False

    @property
    def target(self) -> bytes:
        read = "" if self.start is None else f"&from={self.start}&wait_ms={self.held_s * 1000:.0f}"
        return f"{self.call}?topic={self.topic}&part={self.partition}{read}{self.query}".encode()

    @property
    def subject(self) -> str | None:
        """What waits for its answers by itself, None for what always waits as usual.

        What became of an append is learnt by reading, and a store that loses the answers of a third
        of them is not slow. A large one waits for its own bytes, which the system still keeps.
        """
        is_small_append = 0 < len(self.body) <= SMALL_BYTES
        return None if is_small_append else f"{self.call} {self.topic} {self.partition}"


@dataclass
class _Pages:
    """Pages of the newest records, as far as they have come."""

    came_at: float
    end: int | None = None
    items: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    after: str = ""

    def add(self, page: _Newest) -> None:
        """Take the next page.

        Raises
        ------
        LogUnavailable
            None of its items can be read, so it is not known how to go on.
        """
        read = [record for item in page.items if (record := _record_of(item))]
        if page.has_more and not read:
            raise LogUnavailable("a whole page of the newest records is unreadable")
        self.end = page.end_offset if self.end is None else self.end
        self.came_at = trio.current_time()
        self.items += len(page.items)
        self.records += read
        if page.has_more:
            self._go_on_after(read[-1])

    def add_part(self, items: list[bytes]) -> bool:
        """Take the items that came of a page which broke off; return whether any is kept.

        They are kept only where they show that they come in the order of their keys. Where the
        partition ended is told at the answer's end; it is behind each record of the page, so that
        reading on from after the last of them misses nothing.
        """
        read = [record for item in items if (record := _record_of(item))]
        keys = [record.key for record in read]
        if len(keys) < 2 or keys != sorted(set(keys)):
            return False
        if self.end is None:
            self.end = 1 + max(record.offset for record in read)
        self.came_at = trio.current_time()
        self.items += len(items)
        self.records += read
        self._go_on_after(read[-1])
        return True

    def _go_on_after(self, record: KeyedRecord) -> None:
        self.after = f"&after={quote(record.key, safe='')}"


class PlatformStore(KeyedStore):
    """Keyed topics of the platform's store.

    Each answer's era is taken before anything else of it; see `EraTracker`.

    A call is bounded by silence and never as a whole: see `StallWatch`.

    Parameters
    ----------
    address : str
        host:port.
    counters : Counters
        Calls are counted by kind and by outcome.
    """

    def __init__(self, address: str, counters: Counters) -> None:
        host, _, port = address.rpartition(":")
        self._pool = PeerPool(host, int(port))
        self._host = address.encode()
        self._counters = counters
        self._timeouts = ResponseTimeouts(HEAD_S, MOST_HEAD_S)
        self._rng = Random(address)
        self._pages_by_topic: dict[tuple[str, int], _Pages] = {}
        self._told_unreadable: set[str] = set()
        self._eras = EraTracker(counters)
        self._eras.on_era_rise(self._pages_by_topic.clear)

    @property
    def era(self) -> int | None:
        """The era of the newest answer; see `KeyedStore.era`."""
        return self._eras.current

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        """Have a listener told; see `KeyedStore.on_era_rise`."""
        self._eras.on_era_rise(listener)

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return the newest records; see `KeyedStore.newest`.

        Pages that have come are kept when a later one breaks off, and the next read goes on there.
        """
        pages = self._resumed(topic, partition)
        more = True
        while more:
            ask = _Ask(b"GET", "/log-newest", topic, partition, pages.after)
            page = await self._next_page(ask, pages, progress)
            pages.add(page)
            more = page.has_more
            self._pages_by_topic[(topic, partition)] = pages
        self._pages_by_topic.pop((topic, partition), None)
        unreadable = pages.items - len(pages.records)
        self._tell_unreadable(topic, unreadable)
        ordered = sorted(pages.records, key=lambda record: record.offset)
        return KeyedPage(ordered, pages.end, pages.end, unreadable)

    async def _next_page(self, ask: _Ask, pages: _Pages, progress: ReadProgress | None) -> _Newest:
        """Return a page; of one that breaks off the items that came whole are kept."""
        answer = WholeAnswer(progress)
        try:
            await self._stream_hedged(ask, answer, progress)
        except EraRisen:
            raise
        except LogUnavailable:
            if answer.status == OK and pages.add_part(whole_items(answer.body)):
                self._counters.add("store_answers_kept_in_part")
                self._pages_by_topic[(ask.topic, ask.partition)] = pages
            raise
        return _decode(bytes(answer.body), _Newest)

    def _resumed(self, topic: str, partition: int) -> _Pages:
        known = self._pages_by_topic.get((topic, partition))
        if known and trio.current_time() - known.came_at <= RESUME_S:
            return known
        return _Pages(trio.current_time())

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        """Return records; see `KeyedStore.read`."""
        ask = _Ask(b"GET", READ, topic, partition, start=start, held_s=wait_s)
        answer = PageAnswer(start, progress)
        reader = answer.reader
        try:
            await self._stream_hedged(ask, answer, progress)
        except FirstRecordCame:
            pass  # the page holds it
        except EraRisen:
            raise
        except LogUnavailable:
            if not reader.has_records:
                raise
            self._counters.add("store_answers_kept_in_part")
        if not reader.is_whole and not reader.has_records:
            raise LogUnavailable("the store's answer is cut short")
        page = reader.page()
        self._pages_by_topic.pop((topic, partition), None)  # what is read after them outdates them
        self._tell_unreadable(topic, page.unreadable)
        return page

    def _tell_unreadable(self, topic: str, count: int) -> None:
        """Count records that can't be read, and say so once for a topic."""
        if not count:
            return
        self._counters.add("store_records_unreadable", count)
        if topic not in self._told_unreadable:
            self._told_unreadable.add(topic)
            logger.bind(topic=topic, records=count).error("records-unreadable")

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        """Append records; see `KeyedStore.append`."""
        query = "" if expected_end is None else f"&expected_offset={expected_end}"
        body = b"".join(_record_bytes(key, value) for key, value in values_by_key.items())
        ask = _Ask(
            b"POST", "/log-append", topic, partition, query, body, is_conditional=bool(query)
        )
        return _decode(await self._call(ask), _Appended).end_offset

    # -- calls --------------------------------------------------------------------------------

    async def _call(self, ask: _Ask) -> bytes:
        """Return the body of a whole answer."""
        answer = WholeAnswer()
        await self._stream(ask, answer)
        return bytes(answer.body)

    async def _stream_hedged(
        self, ask: _Ask, answer: StoreAnswer, progress: ReadProgress | None
    ) -> None:
        """Make a call, and others beside it while it stays silent, if a reader follows it.

        A call that was given up for its silence lost its place at a store that answers slowly: of
        one that takes 1.6 s an answer each try of 1.0 s was in vain, and a longer one was cut off
        0.1 s before its answer by the first word of another.
        """
        if progress is None:
            await self._stream(ask, answer)
            return

        def note_silent(err: LogUnavailable | None) -> None:
            if err is None:
                self._counters.add("store_calls_hedged")
                self._timeouts.note_timeout(ask.subject)
                self._pool.drop_idle()
            progress.note_unresponsive(err or LogUnavailable(f"{ask.call}: no answer yet"))

        async def first(claim: Claim) -> None:
            await self._stream(ask, answer, MOST_HEAD_S, claim)

        async def beside(claim: Claim) -> None:
            await self._stream(replace(ask, held_s=0.0), answer, claim=claim)

        pauses = Backoff(PAUSE_S, PAUSE_MOST_S, self._rng)
        await hedged(first, beside, ask.held_s + HEAD_S, note_silent, pauses)

    async def _stream(
        self,
        ask: _Ask,
        answer: StoreAnswer,
        longest_s: float | None = None,
        claim: Claim = lambda: None,
    ) -> None:
        """Make a call, and hand on the body of a good answer as it comes.

        With `longest_s` the wait for its beginning is that, whatever is usual.
        """
        self._counters.add("store_calls")
        self._counters.add("store_bytes_sent", len(ask.body))
        head_s = self._timeouts.timeout_s(ask.subject)
        watch = StallWatch(ask.held_s + (longest_s or head_s), max(STALL_S, head_s))
        rises = self._eras.rises
        if longest_s is None:
            self._timeouts.note_sent(watch, head_s, ask.held_s)
        try:
            with watch:
                await self._exchange(ask, answer, watch, rises, claim)
        except HttpError as err:
            self._note_unanswered(ask, watch, err)
            self._eras.check_unchanged(rises)
            raise LogUnavailable(f"{ask.call}: {err.code}, {err.detail}") from err
        finally:
            self._timeouts.note_ended(watch)
        self._counters.add("store_bytes_received", watch.received)
        self._eras.check_unchanged(rises)
        self._check(ask, answer)

    def _note_unanswered(self, ask: _Ask, watch: StallWatch, err: HttpError) -> None:
        self._counters.add("store_calls_unanswered")
        self._counters.add("store_bytes_discarded", watch.received)
        if isinstance(err, Stalled):
            self._pool.drop_idle()
            if watch.received < LEAST_BYTES:
                self._timeouts.note_timeout(ask.subject)

    async def _exchange(
        self, ask: _Ask, answer: StoreAnswer, watch: StallWatch, rises: int, claim: Claim
    ) -> None:
        request = HttpRequest(ask.method, ask.target, ((b"host", self._host),), ask.body)
        exchange = await self._pool.send(request, watch)
        try:
            self._eras.accept(era_told(exchange))
            self._eras.check_unchanged(rises)
            claim()
            answer.begin(exchange)
            took_s = max(0.0, watch.took_s - ask.held_s)
            async for chunk in exchange.chunks():
                self._timeouts.note_first_byte(ask.subject, took_s)
                answer.take(chunk)
            self._timeouts.note_first_byte(ask.subject, took_s)
        finally:
            exchange.abandon()

    def _check(self, ask: _Ask, answer: StoreAnswer) -> None:
        """Raise what an answer that is not good says, if it can say that of the call."""
        if answer.status == OK:
            return
        self._counters.add(f"store_answers_{answer.status}")
        if answer.status == CONFLICT and ask.is_conditional:
            raise AppendConflict(_decode(answer.refusal, _Appended).end_offset)
        if answer.status == EXPIRED and ask.call == READ:
            raise RecordsExpired(_decode(answer.refusal, _Expired).first)
        raise LogUnavailable(f"the store answered {answer.status}")


def _decode(body: bytes, kind: type) -> msgspec.Struct:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as err:
        raise LogUnavailable(f"the store's answer is unreadable: {err}") from err


def _record_of(item: msgspec.Raw | bytes) -> KeyedRecord | None:
    """Return one of the newest records, None for one that can't be read."""
    try:
        read = msgspec.json.decode(item, type=_Item)
        return KeyedRecord(read.key, b64decode(read.value, validate=True), read.offset)
    except ValueError:
        return None


def _record_bytes(key: str, value: bytes) -> bytes:
    """Return a record: its length, the key's length and the key, then the value."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return len(content).to_bytes(LENGTH_BYTES, "big") + content
