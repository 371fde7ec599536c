"""Limits that an answer can't meet, met again by each try that begins from nothing."""

from collections.abc import Callable
from random import Random

import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.feed import Feed, FeedOptions
from railtide.journal.keyed import KeyedRecord
from railtide.platform.store import STALL_TIMEOUT_S, PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.standins.keyed_store import MemoryStore
from railtide.standins.platform import StoreServer
from railtide.standins.throttled_link import ThrottledLink
from railtide.telemetry.counters import Counters

TOPIC = "keyed.t"
LINK_BYTES_PER_S = 100_000
GUARD_S = 12.0


async def until(condition: Callable[[], bool]) -> bool:
    """Return whether a condition holds in the end."""
    with trio.move_on_after(GUARD_S):
        while not condition():
            await trio.sleep(0.01)
    return condition()


class TestSlowBody:
    async def test_answer_whose_body_begins_late_behind_its_head_comes_in_the_end(self) -> None:
        """The wait for a head doubles behind each try; that for what follows a head never does."""
        calls: list[bytes] = []

        async def slow(request: HttpRequest, responder: Responder) -> None:
            calls.append(request.target)
            body = b'{"items": [], "has_more": false, "end_offset": 0}'
            await responder.start(200, ((b"content-type", b"application/json"),), None)
            await trio.sleep(1.4 * STALL_TIMEOUT_S)
            await responder.write(body)
            await responder.finish()

        listener = await listen(HOST, 0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(HttpServer(slow, ConnectionLimits()).serve, listener)
            client = PlatformStore(f"{HOST}:{listener.socket.getsockname()[1]}", Counters())
            feed = Feed(client, TOPIC, FeedOptions(), Random(1), lambda records: None)
            nursery.start_soon(feed.run)
            came = await until(lambda: feed.caught_up)
            nursery.cancel_scope.cancel()
        assert came, f"{len(calls)} tries"


class TestStart:
    async def test_first_read_over_a_link_that_breaks_before_a_page_has_come_moves_on(
        self,
    ) -> None:
        """Pages are kept, and a page is up to 1 MB: a start that gets less at once gets nothing."""
        memory = MemoryStore()
        for number in range(8):
            memory.put(TOPIC, f"k{number}", bytes(20_000))
        link = ThrottledLink(LINK_BYTES_PER_S)
        told: list[KeyedRecord] = []
        listener = await listen(HOST, 0)
        async with trio.open_nursery() as nursery:
            server = HttpServer(StoreServer(memory).handle, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            port = await link.open(nursery, HOST, listener.socket.getsockname()[1])
            client = PlatformStore(f"{HOST}:{port}", Counters())
            feed = Feed(client, TOPIC, FeedOptions(), Random(1), told.extend)
            nursery.start_soon(feed.run)
            nursery.start_soon(_break_often, link)
            came = await until(lambda: feed.caught_up)
            passed = link.down.forwarded_bytes
            nursery.cancel_scope.cancel()
        assert came, f"{passed} bytes passed for 213,000"


async def _break_often(link: ThrottledLink) -> None:
    while True:
        aim = link.down.forwarded_bytes + 0.8 * LINK_BYTES_PER_S
        while link.down.forwarded_bytes < aim:
            await trio.sleep(0.01)
        link.reset_connections()
