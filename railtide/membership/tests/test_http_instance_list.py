"""Tests of railtide.membership.http_instance_list: timeouts limit stalls, not the whole call."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import msgspec
import pytest
import trio

from railtide.membership import http_instance_list as module
from railtide.membership.errors import InstanceListUnavailable
from railtide.membership.http_instance_list import HttpInstanceList, open_http_instance_list
from railtide.membership.instances import Instance

TIMEOUT_S = 0.4
CHUNKS = 20
INSTANCES = [
    Instance(f"engine-{number:05}", "1", "10.1.2.3:8000", "z", "engine") for number in range(1_000)
]


@asynccontextmanager
async def list_of(monkeypatch, pauses_s: list[float]) -> AsyncIterator[HttpInstanceList]:
    """Yield the client of a list that is sent in chunks, with a pause after each."""
    monkeypatch.setattr(module, "TIMEOUT_S", TIMEOUT_S)
    body = msgspec.json.encode(INSTANCES)

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        size = -(-len(body) // len(pauses_s))
        with suppress(trio.BrokenResourceError):
            await stream.send_all(head)
            for number, pause_s in enumerate(pauses_s):
                await stream.send_all(body[number * size : (number + 1) * size])
                await trio.sleep(pause_s)

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, [listener])
        yield open_http_instance_list(f"http://127.0.0.1:{port}")
        nursery.cancel_scope.cancel()


class TestTimeout:
    async def test_list_takes_as_long_as_its_bytes_need(self, monkeypatch) -> None:
        async with list_of(monkeypatch, [0.05] * CHUNKS) as instances:
            assert await instances.fetch() == INSTANCES

    async def test_stalled_list_times_out(self, monkeypatch) -> None:
        async with list_of(monkeypatch, [60.0, 0.0]) as instances:
            with trio.fail_after(20), pytest.raises(InstanceListUnavailable):
                await instances.fetch()
