"""Reads that no single attempt can finish within its timeout or its connection's lifetime.

Without adaptive timeouts and kept records, every attempt starts again and fails in the same way.
"""

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


async def wait_until(condition: Callable[[], bool]) -> bool:
    """Return whether a condition becomes true within `GUARD_S`."""
    with trio.move_on_after(GUARD_S):
        while not condition():
            await trio.sleep(0.01)
    return condition()


class TestSlowBody:
    async def test_answer_whose_body_follows_its_head_late_is_received(self) -> None:
        """The timeout for the head doubles after failed attempts; the one for the body must too."""
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
            is_caught_up = await wait_until(lambda: feed.caught_up)
            nursery.cancel_scope.cancel()
        assert is_caught_up, f"{len(calls)} attempts"


class TestStart:
    async def test_first_read_over_a_link_that_breaks_within_each_page_progresses(
        self,
    ) -> None:
        """Only complete pages of up to 1 MB were kept, so short connections read nothing."""
        memory = MemoryStore()
        for number in range(8):
            memory.put(TOPIC, f"k{number}", bytes(20_000))
        link = ThrottledLink(LINK_BYTES_PER_S)
        reported: list[KeyedRecord] = []
        listener = await listen(HOST, 0)
        async with trio.open_nursery() as nursery:
            server = HttpServer(StoreServer(memory).handle, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            port = await link.open(nursery, HOST, listener.socket.getsockname()[1])
            client = PlatformStore(f"{HOST}:{port}", Counters())
            feed = Feed(client, TOPIC, FeedOptions(), Random(1), reported.extend)
            nursery.start_soon(feed.run)
            nursery.start_soon(_reset_often, link)
            is_caught_up = await wait_until(lambda: feed.caught_up)
            received = link.down.forwarded_bytes
            nursery.cancel_scope.cancel()
        assert is_caught_up, f"{received} bytes were transferred for 213,000"


async def _reset_often(link: ThrottledLink) -> None:
    while True:
        target = link.down.forwarded_bytes + 0.8 * LINK_BYTES_PER_S
        while link.down.forwarded_bytes < target:
            await trio.sleep(0.01)
        link.reset_connections()
