"""Tests of railtide.platform.store: reads of the newest that take longer than pages are kept."""

from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from railtide.http.messages import HttpRequest
from railtide.http.server import ConnectionLimits, HttpServer, Responder
from railtide.http.sockets import listen
from railtide.journal.errors import LogUnavailable
from railtide.platform import store as store_module
from railtide.platform.store import PlatformStore
from railtide.platform.tests.hosts import HOST
from railtide.telemetry.counters import Counters

PAGES = 12
PAGE_DELAY_S = 0.05
TTL_S = 0.2
"""Instead of 10 s, in which a link of 5 Mbit/s carries 6.25 MB."""


class LongTopic:
    """A topic whose newest records span many pages; every eighth request is refused."""

    def __init__(self) -> None:
        self.calls = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls += 1
        await trio.sleep(PAGE_DELAY_S)
        if self.calls % 8 == 0:
            await responder.answer(503, ())
            return
        query = parse_qs(urlsplit(request.target.decode()).query)
        number = int(query["after"][0]) + 1 if "after" in query else 0
        items = [{"key": f"{number}", "value": "YQ==", "offset": number}]
        body = {"items": items, "has_more": number < PAGES - 1, "end_offset": PAGES}
        await responder.answer(200, (), msgspec.json.encode(body))


class TestLongNewest:
    async def test_received_pages_are_kept_however_long_the_read_takes(self, monkeypatch) -> None:
        """If the age counted from the first page, a long read over a bad link would never end."""
        monkeypatch.setattr(store_module, "RESUME_TTL_S", TTL_S)
        listener = await listen(HOST, 0)
        topic = LongTopic()
        async with trio.open_nursery() as nursery:
            server = HttpServer(topic.handle, ConnectionLimits())
            nursery.start_soon(server.serve, listener)
            store = PlatformStore(f"{HOST}:{listener.socket.getsockname()[1]}", Counters())
            found = 0
            while not found and topic.calls < 6 * PAGES:
                try:
                    found = len((await store.newest("keyed.t")).records)
                except LogUnavailable:
                    continue
            nursery.cancel_scope.cancel()
        assert found == PAGES
