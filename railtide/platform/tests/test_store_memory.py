"""Tests of railtide.platform.store: what responses without end hold of a router's memory."""

import tracemalloc
from base64 import b64encode
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from itertools import count
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.errors import LogUnavailable
from railtide.platform import store as store_module
from railtide.platform import store_responses
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer
from railtide.telemetry.counters import Counters

TOPICS = 16
PART_BYTES = 65_536
MAX_RESPONSE_BYTES = 1_000_000
MAX_HELD_BYTES = 2 * MAX_RESPONSE_BYTES
MAX_TRACED_BYTES = 10_000_000
"""Responses, reads between their pages, and what each connection has read."""
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffff\r\n"
PAGE_HEADER = (9).to_bytes(8, "big") + bytes(8)
EMPTY_RECORD = b"\x00\x00\x00\x01\x00"
HUGE_LENGTH = b"\xff\xff\xff\xff"
VALUE_BYTES = 100_000


@pytest.fixture(autouse=True)
def low_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_responses, "MAX_RESPONSE_BYTES", MAX_RESPONSE_BYTES)
    monkeypatch.setattr(store_module, "MAX_HELD_BYTES", MAX_HELD_BYTES)


class FaultyStore:
    """Answers like a store, or as a test states.

    Attributes
    ----------
    prefix, part : bytes
        Begin of a body, and what follows it without end.
    value : bytes
        If not empty, pages of one record with this value follow each other without end.
    body : bytes
        If not empty, the body of each answer.
    is_sound : bool
    """

    def __init__(self, prefix: bytes = b"", part: bytes = b"", value: bytes = b"") -> None:
        self.prefix = prefix
        self.part = part * (PART_BYTES // len(part)) if part else b""
        self.value = b64encode(value).decode()
        self.body = b""
        self.is_sound = False
        self.memory = MemoryStore()
        self.memory.put("keyed.t0", "a", b"1")

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.is_sound:
            await StoreServer(self.memory).handle(request, responder)
        elif self.body:
            await responder.answer(200, (), self.body)
        elif self.value:
            await self._answer_page(request, responder)
        else:
            await self._send_without_end(responder)

    async def _answer_page(self, request: HttpRequest, responder: Responder) -> None:
        query = parse_qs(urlsplit(request.target.decode()).query)
        number = int(query["after"][0]) + 1 if "after" in query else 1_000_000
        items = [{"key": f"{number}", "value": self.value, "offset": number}]
        body = {"items": items, "has_more": True, "end_offset": 10_000_000}
        await responder.answer(200, (), msgspec.json.encode(body))

    async def _send_without_end(self, responder: Responder) -> None:
        stream = responder.hijack()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(HEAD + self.prefix)
            for _ in count():
                await stream.send_all(self.part)


@asynccontextmanager
async def client_of(faulty: FaultyStore) -> AsyncIterator[PlatformStore]:
    listener = await listen(HOST, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(HttpServer(faulty.handle, ConnectionLimits()).serve, listener)
        yield PlatformStore(f"{HOST}:{listener.socket.getsockname()[1]}", Counters())
        nursery.cancel_scope.cancel()


@contextmanager
def traced_peak() -> Iterator[Callable[[], int]]:
    """Yield a function that returns the most bytes held at a time since the begin."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


async def read_all_topics(store: PlatformStore, operation: str) -> int:
    """Read all topics at the same time; return how many reads failed."""
    failed = 0

    async def read(topic: str) -> None:
        nonlocal failed
        try:
            if operation == "newest":
                await store.newest(topic)
            else:
                await store.read(topic, 0, 0.0)
        except LogUnavailable:
            failed += 1

    async with trio.open_nursery() as nursery:
        for number in range(TOPICS):
            nursery.start_soon(read, f"keyed.t{number}")
    return failed


class TestResponsesOfAllTopics:
    """Guards against responses that are bounded each, but not together."""

    @pytest.mark.parametrize(
        ("operation", "prefix", "part"),
        [
            ("newest", b'{"items": [{"key": "', b"a"),
            ("read", PAGE_HEADER + HUGE_LENGTH, b"a"),
            ("read", PAGE_HEADER, EMPTY_RECORD),
        ],
        ids=["one-key", "one-record", "empty-records"],
    )
    async def test_bodies_without_end(self, operation: str, prefix: bytes, part: bytes) -> None:
        faulty = FaultyStore(prefix, part)
        async with client_of(faulty) as store:
            with traced_peak() as peak, trio.fail_after(20):
                await read_all_topics(store, operation)
                peak_bytes = peak()
            faulty.is_sound = True
            assert [record.key for record in (await store.newest("keyed.t0")).records] == ["a"]
        assert peak_bytes < MAX_TRACED_BYTES

    async def test_body_of_tiny_items(self) -> None:
        """Guards against a page of legal size whose items take many times its size."""
        faulty = FaultyStore()
        faulty.body = b'{"items": [0%b]}' % (b",0" * (MAX_RESPONSE_BYTES // 2 - 20))
        async with client_of(faulty) as store:
            with traced_peak() as peak, trio.fail_after(20):
                await read_all_topics(store, "newest")
                peak_bytes = peak()
            faulty.is_sound = True
            assert [record.key for record in (await store.newest("keyed.t0")).records] == ["a"]
        assert peak_bytes < MAX_TRACED_BYTES

    async def test_pages_without_end(self) -> None:
        faulty = FaultyStore(value=bytes(VALUE_BYTES))
        async with client_of(faulty) as store:
            with traced_peak() as peak, trio.fail_after(20):
                assert await read_all_topics(store, "newest") == TOPICS
                peak_bytes = peak()
            faulty.is_sound = True
            assert [record.key for record in (await store.newest("keyed.t0")).records] == ["a"]
        assert peak_bytes < MAX_TRACED_BYTES
