"""Client of the platform's store: keyed topics over HTTP."""

from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Annotated
from urllib.parse import quote

import msgspec
import trio
from loguru import logger

from railtide.errors import RailtideError
from railtide.http.client import PeerPool
from railtide.http.descriptors import DescriptorShare
from railtide.http.errors import HttpError, Stalled
from railtide.http.messages import HttpRequest
from railtide.http.read_pace import ExcessLane
from railtide.http.stall import MIN_BYTES, StallWatch
from railtide.http.traffic import PeerKind, Traffic
from railtide.journal.backoff import Backoff
from railtide.journal.eras import EraTracker
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.hedge import Claim, hedged
from railtide.journal.keyed import (
    MAX_OFFSET,
    MAX_RECORD_BYTES,
    AppendConflict,
    KeyedPage,
    KeyedRecord,
    KeyedStore,
)
from railtide.journal.read_progress import ReadProgress
from railtide.journal.response_timeouts import ResponseTimeouts
from railtide.platform.partial_json import complete_items
from railtide.platform.store_responses import (
    OK,
    BufferedResponse,
    FirstRecordReceived,
    PageResponse,
    StoreResponse,
    era_header,
)
from railtide.requests.answer_memory import AnswerMemory, HeldAnswer
from railtide.telemetry.counters import Counters
from railtide.upstreams.errors import UpstreamAnswerTooLong

__all__ = ["PlatformStore"]

READ_PATH = "/log-read"
PRECONDITION_FAILED = 412
GONE = 410

FIRST_BYTE_TIMEOUT_S = 1.0
"""Usual timeout for the first byte of a response, on top of the wait that a read asks for. The
store responds within 4 ms, within 240 ms when it is slow. An unresponsive store is detected in less
time than a router has to apply a new desired state."""
MAX_FIRST_BYTE_TIMEOUT_S = 8.0
"""All reads share the store's bandwidth: 1,100 routers that read a desired state of 500 KB at once
through 80 MB/s are served within 7 s."""
STALL_TIMEOUT_S = 1.0
"""Time within which a response that has begun must bring more data. Above the pause after two
losses of the same TCP segment (0.2 s and 0.4 s), and as short as `FIRST_BYTE_TIMEOUT_S` so that a
dead connection is detected as soon."""
HEDGE_DELAY_S = 0.1
MAX_HEDGE_DELAY_S = 0.8
"""Bounds of the backoff between hedged requests; the same as between the retries of a feed."""
SMALL_APPEND_BYTES = 65_536
"""At 5 Mbit/s a body of this size leaves the system's send buffers within 0.1 s."""
RESUME_TTL_S = 10.0
"""Age, since the latest page, up to which an interrupted read of the newest records is resumed.
Half of the shortest retention in the specification, so that later records can still be read. The
whole read may take any time: if records expire meanwhile, the next read raises `RecordsExpired`."""
LENGTH_BYTES = 4
MAX_HELD_BYTES = 33_554_432
"""Memory of all responses in progress: twice the largest one, which is copied to be decoded. As
much is held by reads of the newest records between their pages."""
RECORD_BYTES = 512
"""Memory of one of the newest records besides its value."""


Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: Offset


class _Newest(msgspec.Struct):
    """Items are decoded one by one, so that a malformed one does not affect the others."""

    items: list[msgspec.Raw]
    has_more: bool = False
    end_offset: Offset = 0


class _Appended(msgspec.Struct):
    end_offset: Offset


class _Expired(msgspec.Struct):
    first: Offset


@dataclass(frozen=True)
class _Operation:
    """A request to the store.

    Attributes
    ----------
    start : int or None
        Offset of the first record to read.
    long_poll_s : float
        How long the store may wait for a record before it responds to a read, seconds.
    """

    method: bytes
    path: str
    topic: str
    partition: int
    query: str = ""
    body: bytes = b""
    start: int | None = None
    long_poll_s: float = 0.0
    is_conditional: bool = False

    @property
    def target(self) -> bytes:
        read = (
            ""
            if self.start is None
            else f"&from={self.start}&wait_ms={self.long_poll_s * 1000:.0f}"
        )
        return f"{self.path}?topic={self.topic}&part={self.partition}{read}{self.query}".encode()

    @property
    def timeout_key(self) -> str | None:
        """Key of the adaptive first-byte timeout, None if the usual timeout always applies.

        The usual one applies to small appends: their outcome can be read from the topic, and a
        store that loses the responses of a third of them is not slow. A large append may have to
        wait until its own body has left the system's send buffers.
        """
        is_small_append = 0 < len(self.body) <= SMALL_APPEND_BYTES
        return None if is_small_append else f"{self.path} {self.topic} {self.partition}"


@dataclass
class _NewestRead:
    """A read of the newest records that is in progress or was interrupted.

    Attributes
    ----------
    received_at : float
        Trio time of the latest page.
    end : int or None
        Offset from which later records are to be read.
    item_count : int
        Items that were received, readable or not.
    after : str
        Query parameter that asks for the next page.
    bytes_held : int
        Memory of the records.
    is_given_up : bool
    """

    received_at: float
    end: int | None = None
    item_count: int = 0
    records: list[KeyedRecord] = field(default_factory=list)
    after: str = ""
    bytes_held: int = 0
    is_given_up: bool = False

    def give_up(self) -> None:
        """Drop the records; the read fails after its present page."""
        self.records = []
        self.bytes_held = 0
        self.is_given_up = True

    def add(self, page: _Newest) -> None:
        """Add a complete page.

        Raises
        ------
        LogUnavailable
            No item is readable, so the key to continue after is unknown.
        """
        decoded = [record for item in page.items if (record := _decode_item(item))]
        if page.has_more and not decoded:
            raise LogUnavailable("a page of the newest records has no readable item")
        self.end = page.end_offset if self.end is None else self.end
        self.received_at = trio.current_time()
        self._add_records(decoded, len(page.items))
        if page.has_more:
            self._continue_after(decoded[-1])

    def add_partial(self, items: list[bytes]) -> bool:
        """Add the complete items of a truncated page; return whether they are kept.

        They are kept only if there are at least two and their keys ascend, since the next page is
        asked for by key. The end offset comes at the end of a response and is missing here. It is
        greater than the offset of every record in the page, so reading from the offset after the
        highest one misses nothing.
        """
        decoded = [record for item in items if (record := _decode_item(item))]
        keys = [record.key for record in decoded]
        if len(keys) < 2 or keys != sorted(set(keys)):
            return False
        if self.end is None:
            self.end = 1 + max(record.offset for record in decoded)
        self.received_at = trio.current_time()
        self._add_records(decoded, len(items))
        self._continue_after(decoded[-1])
        return True

    def _add_records(self, decoded: list[KeyedRecord], item_count: int) -> None:
        self.item_count += item_count
        self.records += decoded
        self.bytes_held += sum(RECORD_BYTES + len(record.value) for record in decoded)

    def _continue_after(self, record: KeyedRecord) -> None:
        self.after = f"&after={quote(record.key, safe='')}"


class PlatformStore(KeyedStore):
    """Keyed topics of the platform's store.

    The era of a response is checked before the rest of it is used; see `EraTracker`.

    Timeouts bound the gaps of an operation and never its total time; see `StallWatch`.

    Parameters
    ----------
    address : str
        host:port.
    counters : Counters
        Counts operations and bytes by outcome.
    traffic : Traffic, optional
        Counts the bytes of all connections.
    share : DescriptorShare, optional
        Of the connections; unlimited by default.
    max_record_bytes : int, optional
        See `KeyedStore`.
    """

    def __init__(
        self,
        address: str,
        counters: Counters,
        traffic: Traffic | None = None,
        share: DescriptorShare | None = None,
        max_record_bytes: int = MAX_RECORD_BYTES,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.max_record_bytes = max_record_bytes
        self._traffic = traffic or Traffic()
        self._pool = PeerPool(host, int(port), self._traffic, lane=ExcessLane(), share=share)
        self._memory = AnswerMemory(MAX_HELD_BYTES)
        self._host = address.encode()
        self._counters = counters
        self._timeouts = ResponseTimeouts(FIRST_BYTE_TIMEOUT_S, MAX_FIRST_BYTE_TIMEOUT_S)
        self._rng = Random(address)
        self._newest_read_by_partition: dict[tuple[str, int], _NewestRead] = {}
        self._topics_reported_unreadable: set[str] = set()
        self._eras = EraTracker(counters)
        self._eras.on_era_rise(self._newest_read_by_partition.clear)

    @property
    def era(self) -> int | None:
        """Current era of the store; see `KeyedStore.era`."""
        return self._eras.current

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        """Add a listener; see `KeyedStore.on_era_rise`."""
        self._eras.on_era_rise(listener)

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return the newest records; see `KeyedStore.newest`.

        The pages of an interrupted read are kept, and the next read continues after them.
        """
        newest_read = self._resume_or_start(topic, partition)
        more_pages = True
        while more_pages:
            operation = _Operation(b"GET", "/log-newest", topic, partition, newest_read.after)
            page = await self._next_page(operation, newest_read, progress)
            newest_read.add(page)
            more_pages = page.has_more
            self._keep(topic, partition, newest_read)
        self._newest_read_by_partition.pop((topic, partition), None)
        unreadable = newest_read.item_count - len(newest_read.records)
        self._report_unreadable(topic, unreadable)
        ordered = sorted(newest_read.records, key=lambda record: record.offset)
        return KeyedPage(ordered, newest_read.end, newest_read.end, unreadable)

    async def _next_page(
        self, operation: _Operation, newest_read: _NewestRead, progress: ReadProgress | None
    ) -> _Newest:
        """Return the next page; the complete items of a truncated one are kept."""
        response = BufferedResponse(progress)
        try:
            await self._stream_hedged(operation, response, progress)
        except EraRisen:
            raise
        except LogUnavailable:
            if response.status == OK and newest_read.add_partial(complete_items(response.body)):
                self._counters.add("store_answers_kept_in_part")
                self._keep(operation.topic, operation.partition, newest_read)
            raise
        return _decode(bytes(response.body), _Newest)

    def _keep(self, topic: str, partition: int, newest_read: _NewestRead) -> None:
        """Keep what a read has received, or give the largest read up if all take too much memory.

        Raises
        ------
        LogUnavailable
            This read was given up.
        """
        reads = self._newest_read_by_partition
        reads[(topic, partition)] = newest_read
        if sum(each.bytes_held for each in reads.values()) > MAX_HELD_BYTES:
            largest = max(reads, key=lambda key: reads[key].bytes_held)
            reads.pop(largest).give_up()
        if newest_read.is_given_up:
            reads.pop((topic, partition), None)
            raise LogUnavailable(f"{topic}: the newest records take too much memory")

    def _resume_or_start(self, topic: str, partition: int) -> _NewestRead:
        kept = self._newest_read_by_partition.get((topic, partition))
        if kept and trio.current_time() - kept.received_at <= RESUME_TTL_S:
            return kept
        return _NewestRead(trio.current_time())

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        """Return records; see `KeyedStore.read`."""
        operation = _Operation(b"GET", READ_PATH, topic, partition, start=start, long_poll_s=wait_s)
        response = PageResponse(start, progress)
        reader = response.reader
        try:
            await self._stream_hedged(operation, response, progress)
        except FirstRecordReceived:
            pass  # the reader holds it
        except EraRisen:
            raise
        except LogUnavailable:
            if not reader.has_records:
                raise
            self._counters.add("store_answers_kept_in_part")
        if not reader.is_complete and not reader.has_records:
            raise LogUnavailable("the store's response is truncated")
        page = reader.page()
        # Kept pages may be older than the records just read, and must not be returned after them.
        self._newest_read_by_partition.pop((topic, partition), None)
        self._report_unreadable(topic, page.unreadable)
        return page

    def _report_unreadable(self, topic: str, count: int) -> None:
        """Count unreadable records, and log the first ones of each topic."""
        if not count:
            return
        self._counters.add("store_records_unreadable", count)
        if topic not in self._topics_reported_unreadable:
            self._topics_reported_unreadable.add(topic)
            logger.bind(topic=topic, records=count).error("records-unreadable")

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        """Append records; see `KeyedStore.append`."""
        for key, value in values_by_key.items():
            self.check_record(key, value)
        query = "" if expected_end is None else f"&expected_offset={expected_end}"
        body = b"".join(_encode_record(key, value) for key, value in values_by_key.items())
        operation = _Operation(
            b"POST", "/log-append", topic, partition, query, body, is_conditional=bool(query)
        )
        return _decode(await self._response_body(operation), _Appended).end_offset

    # -- requests -----------------------------------------------------------------------------

    async def _response_body(self, operation: _Operation) -> bytes:
        response = BufferedResponse()
        await self._stream(operation, response)
        return bytes(response.body)

    async def _stream_hedged(
        self, operation: _Operation, response: StoreResponse, progress: ReadProgress | None
    ) -> None:
        """Send a request, hedged by more requests while there is no response.

        Without `progress` the request is not hedged. Abandoning a request that has no response
        yet gives up its place in the queue of a slow store: where a response took 1.6 s, every
        attempt of 1.0 s was in vain, and a longer one was abandoned 0.1 s before its response,
        since the response to another request had begun.
        """
        if progress is None:
            await self._stream(operation, response)
            return

        def on_no_response(err: LogUnavailable | None) -> None:
            if err is None:
                self._counters.add("store_calls_hedged")
                self._timeouts.note_timeout(operation.timeout_key)
                self._pool.drop_idle()
            progress.note_unresponsive(err or LogUnavailable(f"{operation.path}: no response yet"))

        async def send_first(claim: Claim) -> None:
            await self._stream(operation, response, MAX_FIRST_BYTE_TIMEOUT_S, claim)

        async def send_hedge(claim: Claim) -> None:
            await self._stream(replace(operation, long_poll_s=0.0), response, claim=claim)

        backoff = Backoff(HEDGE_DELAY_S, MAX_HEDGE_DELAY_S, self._rng)
        await hedged(
            send_first,
            send_hedge,
            operation.long_poll_s + FIRST_BYTE_TIMEOUT_S,
            on_no_response,
            backoff,
        )

    async def _stream(
        self,
        operation: _Operation,
        response: StoreResponse,
        fixed_timeout_s: float | None = None,
        claim: Claim = lambda: None,
    ) -> None:
        """Send a request, and feed the body to `response` as it arrives.

        `fixed_timeout_s` replaces the adaptive timeout for the first byte.
        """
        self._counters.add("store_calls")
        self._counters.add("store_bytes_sent", len(operation.body))
        first_byte_timeout_s = self._timeouts.timeout_s(operation.timeout_key)
        watch = StallWatch(
            operation.long_poll_s + (fixed_timeout_s or first_byte_timeout_s),
            max(STALL_TIMEOUT_S, first_byte_timeout_s),
        )
        rises = self._eras.rises
        if fixed_timeout_s is None:
            self._timeouts.note_sent(watch, first_byte_timeout_s, operation.long_poll_s)
        try:
            with watch, self._memory.holding() as held:
                await self._exchange(operation, response, watch, held, rises, claim)
        except (HttpError, UpstreamAnswerTooLong) as err:
            self._note_failure(operation, watch, err)
            self._eras.check_unchanged(rises)
            raise LogUnavailable(f"{operation.path}: {err.code}, {err.detail}") from err
        finally:
            self._timeouts.note_ended(watch)
        self._counters.add("store_bytes_received", watch.received)
        self._eras.check_unchanged(rises)
        self._raise_for_status(operation, response)

    def _note_failure(self, operation: _Operation, watch: StallWatch, err: RailtideError) -> None:
        self._counters.add("store_calls_unanswered")
        self._counters.add("store_bytes_discarded", watch.received)
        if isinstance(err, Stalled):
            self._pool.drop_idle()
            if watch.received < MIN_BYTES:
                self._timeouts.note_timeout(operation.timeout_key)

    async def _exchange(
        self,
        operation: _Operation,
        response: StoreResponse,
        watch: StallWatch,
        held: HeldAnswer,
        rises: int,
        claim: Claim,
    ) -> None:
        request = HttpRequest(
            operation.method, operation.target, ((b"host", self._host),), operation.body
        )
        exchange = await self._pool.send(request, watch)
        try:
            self._eras.accept(era_header(exchange))
            self._eras.check_unchanged(rises)
            claim()
            response.begin(exchange)
            first_byte_s = max(0.0, watch.took_s - operation.long_poll_s)
            if not operation.long_poll_s:
                self._traffic.on_first_byte(PeerKind.STORE, watch.took_s)
            async for chunk in exchange.chunks():
                self._timeouts.note_first_byte(operation.timeout_key, first_byte_s)
                response.feed(chunk)
                held.resize(response.bytes_held)
            self._timeouts.note_first_byte(operation.timeout_key, first_byte_s)
        finally:
            exchange.abandon()

    def _raise_for_status(self, operation: _Operation, response: StoreResponse) -> None:
        """Raise the error for an unsuccessful response.

        412 and 410 carry an offset only in response to a conditional append and to a read.
        """
        if response.status == OK:
            return
        self._counters.add(f"store_answers_{response.status}")
        if response.status == PRECONDITION_FAILED and operation.is_conditional:
            raise AppendConflict(_decode(response.refusal, _Appended).end_offset)
        if response.status == GONE and operation.path == READ_PATH:
            raise RecordsExpired(_decode(response.refusal, _Expired).first)
        raise LogUnavailable(f"the store responded with status {response.status}")


def _decode(body: bytes, kind: type) -> msgspec.Struct:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as err:
        raise LogUnavailable(f"the store's response can't be decoded: {err}") from err


def _decode_item(item: msgspec.Raw | bytes) -> KeyedRecord | None:
    """Return one of the newest records, None if it is malformed."""
    try:
        decoded = msgspec.json.decode(item, type=_Item)
        return KeyedRecord(decoded.key, b64decode(decoded.value, validate=True), decoded.offset)
    except ValueError:
        return None


def _encode_record(key: str, value: bytes) -> bytes:
    """Return a record in binary form: its length, the key's length and the key, then the value."""
    key_bytes = key.encode()
    content = bytes([len(key_bytes)]) + key_bytes + value
    return len(content).to_bytes(LENGTH_BYTES, "big") + content
