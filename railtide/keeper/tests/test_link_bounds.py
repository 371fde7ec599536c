"""Tests of what one link may make a keeper hold."""

import pytest
import trio
import trio.testing

from railtide.http.connection_memory import ConnectionMemory
from railtide.journal.client import Page
from railtide.keeper.relay import DirectLog
from railtide.keeper.server import MAX_OPEN_CALLS, serve_link
from railtide.keeper.tests.test_narrow_links import NarrowLog, keeper_of
from railtide.wire.errors import LinkLost
from railtide.wire.links import RECEIVE_CHUNK_BYTES, TcpLink
from railtide.wire.messages import ReadMessage

CALLS = 4 * MAX_OPEN_CALLS
SIZE = 4 * RECEIVE_CHUNK_BYTES


class CountingLog(NarrowLog):
    """A log that counts the calls that read it."""

    calls = 0

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        self.calls += 1
        return await super().read(stream, start, limit, wait_s)


async def send_reads(link: TcpLink) -> None:
    for number in range(CALLS):
        await link.send(ReadMessage(number, "other", 0, 1, 0.0))


async def expect_lost(link: TcpLink) -> None:
    with pytest.raises(LinkLost):
        await link.receive()


class TestCalls:
    async def test_replies_that_are_not_read_pile_up(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        log = CountingLog()
        near, far = trio.testing.lockstep_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_link, keeper_of(log), DirectLog(log), TcpLink(far))
            nursery.start_soon(send_reads, TcpLink(near))
            await trio.sleep(60)
            assert 0 < log.calls <= MAX_OPEN_CALLS
            nursery.cancel_scope.cancel()


class TestMessages:
    async def test_message_without_room_is_received(self) -> None:
        memory = ConnectionMemory(SIZE)
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(SIZE.to_bytes(4, "big"))
        with pytest.raises(LinkLost):
            await TcpLink(far, memory.open()).receive()
        assert memory.held == 0

    async def test_stalled_message_keeps_its_memory(
        self, autojump_clock: trio.testing.MockClock
    ) -> None:
        memory = ConnectionMemory(4 * SIZE)
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(SIZE.to_bytes(4, "big") + b"x")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(expect_lost, TcpLink(far, memory.open()))
            await trio.sleep(5)
            memory.open().resize(3 * SIZE)
        assert memory.evicted == 1
