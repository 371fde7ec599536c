"""The client of the platform's store: keyed topics over HTTP."""

from base64 import b64decode
from urllib.parse import quote

import msgspec
import trio
from loguru import logger

from railtide.http.client import PeerPool
from railtide.http.errors import HttpError
from railtide.http.messages import HttpRequest
from railtide.journal.errors import LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedRecord, KeyedStore
from railtide.telemetry.counters import Counters

__all__ = ["PlatformStore", "page_of"]

ANSWER_S = 1.0
"""Longest wait for an answer, beyond what a read asks for. The store answers in 4 ms, 240 ms when
it is slow; a silent one is noticed while the desired state may still be late."""
LENGTH_BYTES = 4
OFFSET_BYTES = 8


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


class PlatformStore(KeyedStore):
    """Keyed topics of the platform's store.

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
        self._told_unreadable: set[str] = set()

    async def newest(self, topic: str, partition: int = 0) -> KeyedPage:
        """Return the newest records; see `KeyedStore.newest`."""
        records: list[KeyedRecord] = []
        end: int | None = None
        items = 0
        after = ""
        while True:
            target = f"/log-newest?topic={topic}&part={partition}" + after
            page = _decode(await self._call(b"GET", target, b"", ANSWER_S), _Newest)
            end = page.end_offset if end is None else end
            items += len(page.items)
            known = len(records)
            records += [record for item in page.items if (record := _record_of(item))]
            if not page.has_more:
                break
            if len(records) == known:
                raise LogUnavailable("a whole page of the newest records is unreadable")
            after = f"&after={quote(records[-1].key, safe='')}"
        unreadable = items - len(records)
        self._tell_unreadable(topic, unreadable)
        ordered = sorted(records, key=lambda record: record.offset)
        return KeyedPage(ordered, end, end, unreadable)

    async def read(self, topic: str, start: int, wait_s: float, partition: int = 0) -> KeyedPage:
        """Return records; see `KeyedStore.read`."""
        wait_ms = round(wait_s * 1000)
        target = f"/log-read?topic={topic}&part={partition}&from={start}&wait_ms={wait_ms}"
        data = await self._call(b"GET", target, b"", ANSWER_S + wait_s)
        page = page_of(data, start)
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
        target = f"/log-append?topic={topic}&part={partition}"
        if expected_end is not None:
            target += f"&expected_offset={expected_end}"
        body = b"".join(_record_bytes(key, value) for key, value in values_by_key.items())
        return _decode(await self._call(b"POST", target, body, ANSWER_S), _Appended).end_offset

    # -- calls --------------------------------------------------------------------------------

    async def _call(self, method: bytes, target: str, body: bytes, timeout_s: float) -> bytes:
        self._counters.add("store_calls")
        self._counters.add("store_bytes_sent", len(body))
        request = HttpRequest(method, target.encode(), ((b"host", self._host),), body)
        body = bytearray()
        try:
            with trio.fail_after(timeout_s):
                status = await self._exchange(request, body)
        except (HttpError, trio.TooSlowError) as err:
            self._counters.add("store_calls_unanswered")
            self._counters.add("store_bytes_discarded", len(body))
            call = target.partition("?")[0]
            reason = f"{call}: {type(err).__name__}, {len(body)} bytes of the answer had come"
            raise LogUnavailable(reason) from err
        self._counters.add("store_bytes_received", len(body))
        self._check(status, bytes(body))
        return bytes(body)

    async def _exchange(self, request: HttpRequest, body: bytearray) -> int:
        """Fill in the answer's body as it comes and return its status."""
        exchange = await self._pool.send(request)
        try:
            async for chunk in exchange.chunks():
                body += chunk
        finally:
            exchange.abandon()
        return exchange.status

    def _check(self, status: int, body: bytes) -> None:
        if status == 200:
            return
        self._counters.add(f"store_answers_{status}")
        if status == 412:
            raise AppendConflict(_decode(body, _Appended).end_offset)
        if status == 410:
            raise RecordsExpired(_decode(body, _Expired).first)
        raise LogUnavailable(f"the store answered {status}")


def _decode(body: bytes, kind: type) -> msgspec.Struct:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as err:
        raise LogUnavailable(f"the store's answer is unreadable: {err}") from err


def _record_of(item: msgspec.Raw) -> KeyedRecord | None:
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


def page_of(data: bytes, start: int) -> KeyedPage:
    """Return the page in an answer: the end, the first kept offset, then records from `start`.

    A page that was cut short is no answer. A whole record without a key and a value is another
    writer's, and is passed over: read again, it would be the same for ever.

    Raises
    ------
    LogUnavailable
        The page was cut short.
    """
    if len(data) < 2 * OFFSET_BYTES:
        raise LogUnavailable("the store's answer is cut short")
    end = int.from_bytes(data[:OFFSET_BYTES], "big")
    records = []
    at = 2 * OFFSET_BYTES
    offset = start
    while at < len(data):
        body_at = at + LENGTH_BYTES
        at = body_at + int.from_bytes(data[at:body_at], "big")
        if len(data) < max(at, body_at):
            raise LogUnavailable("the store's answer is cut short")
        record = _keyed_record(data[body_at:at], offset)
        if record:
            records.append(record)
        offset += 1
    return KeyedPage(records, end, offset, offset - start - len(records))


def _keyed_record(content: bytes, offset: int) -> KeyedRecord | None:
    """Return the key and value in a record's content, None where it holds none."""
    name_end = 1 + content[0] if content else 1
    if len(content) < name_end:
        return None
    try:
        return KeyedRecord(content[1:name_end].decode(), content[name_end:], offset)
    except UnicodeDecodeError:
        return None
