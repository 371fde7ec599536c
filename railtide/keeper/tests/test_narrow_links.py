"""Tests of railtide.keeper over narrow links, where transfers outlast the idle timeouts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest
import trio
import trio.testing

from railtide.configuration.objects import Versioned
from railtide.journal.checkpoint import PART_BYTES, checkpoint_parts, latest_checkpoint
from railtide.journal.client import LogClient, LogRecord, Page
from railtide.journal.errors import LogUnavailable
from railtide.journal.state import HolderState, State
from railtide.keeper.keeper import Keeper
from railtide.keeper.options import KeeperOptions
from railtide.keeper.relay import DirectLog, PeerLog
from railtide.keeper.server import serve_link
from railtide.membership.identity import Identity
from railtide.membership.instances import Instance, InstanceList
from railtide.standins.log import LogStore
from railtide.standins.throttled_stream import THROTTLED_BYTES_PER_S, throttled_stream_pair
from railtide.wire.links import TcpLink, memory_link_pair
from railtide.wire.messages import MembersMessage, ObjectMessage, SubscribeMessage

RECORDS = 512
RECORD_BYTES = 8_192
STREAM = KeeperOptions().stream


class NarrowLog(LogClient):
    """An in-memory log behind a link of 5 Mbit/s."""

    def __init__(self) -> None:
        self.store = LogStore(lambda: 1)

    async def append(self, stream: str, data: bytes) -> int:
        await trio.sleep(len(data) / THROTTLED_BYTES_PER_S)
        return self.store.append(stream, data)

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        page = await self.store.read(stream, start, limit, wait_s)
        await trio.sleep(sum(len(record.data) for record in page.records) / THROTTLED_BYTES_PER_S)
        return page


class NoInstances(InstanceList):
    async def fetch(self) -> list[Instance]:
        return []


def keeper_of(log: LogClient) -> Keeper:
    identity = Identity("k", "d", "k:1", "1")
    return Keeper(identity, log, NoInstances(), KeeperOptions(), Random(1))


@asynccontextmanager
async def peer_log(log: LogClient, keeper: Keeper) -> AsyncIterator[PeerLog]:
    """Yield the log accessed through a keeper over a link of 5 Mbit/s."""
    async with trio.open_nursery() as nursery:
        near, far = throttled_stream_pair(nursery)
        nursery.start_soon(serve_link, keeper, DirectLog(log), TcpLink(far))
        yield PeerLog(TcpLink(near))
        nursery.cancel_scope.cancel()


class TestPeerLog:
    async def test_long_tail_is_read_completely(self, autojump_clock) -> None:
        """Four megabytes take 6.7 s on the link, more than a timeout of 3 s for a whole reply."""
        log = NarrowLog()
        keeper = keeper_of(log)
        keeper.state.offset = RECORDS - 1
        data = bytes(RECORD_BYTES)
        keeper.follower.tail.extend(LogRecord(offset, 1, data) for offset in range(RECORDS))
        start = 0
        async with peer_log(log, keeper) as peer:
            while start < RECORDS:
                page = await peer.read(STREAM, start, RECORDS, 0.0)
                start = page.records[-1].offset + 1
        assert start == RECORDS

    async def test_replies_before_a_lost_link_are_kept(self, autojump_clock) -> None:
        """Links that last 1 s carry a tail of 6.7 s, since each reply is complete in less."""
        log = NarrowLog()
        keeper = keeper_of(log)
        keeper.state.offset = RECORDS - 1
        data = bytes(RECORD_BYTES)
        keeper.follower.tail.extend(LogRecord(offset, 1, data) for offset in range(RECORDS))
        start, links = 0, 0
        while start < RECORDS and links < 20:
            links += 1
            async with peer_log(log, keeper) as peer:
                with trio.move_on_after(1):
                    while start < RECORDS:
                        page = await peer.read(STREAM, start, RECORDS, 0.0)
                        start = page.records[-1].offset + 1
        assert start == RECORDS

    async def test_record_larger_than_a_reply_is_read(self, autojump_clock) -> None:
        log = NarrowLog()
        keeper = keeper_of(log)
        keeper.state.offset = 0
        keeper.follower.tail.append(LogRecord(0, 1, bytes(6 * THROTTLED_BYTES_PER_S)))
        async with peer_log(log, keeper) as peer:
            page = await peer.read(STREAM, 0, RECORDS, 0.0)
        assert len(page.records[0].data) == 6 * THROTTLED_BYTES_PER_S

    async def test_large_checkpoint_is_read_through_a_peer(self, autojump_clock) -> None:
        """Four megabytes cross the peer's own link to the log first, then the link to the peer."""
        log = NarrowLog()
        state = State(offset=7)
        state.by_holder = {
            f"holder-{number}": HolderState("i" * 4_000, "d", "a", "router", 0)
            for number in range(1_000)
        }
        for part in checkpoint_parts(state, "a"):
            log.store.append(f"{STREAM}-checkpoints", part)
        async with peer_log(log, keeper_of(log)) as peer:
            found = await latest_checkpoint(peer, STREAM)
        assert found and found.offset == 7

    async def test_unresponsive_peer_times_out(self, autojump_clock) -> None:
        async with trio.open_nursery() as nursery:
            near, _ = throttled_stream_pair(nursery)
            began = trio.current_time()
            with pytest.raises(LogUnavailable), trio.fail_after(60):
                await PeerLog(TcpLink(near)).read(STREAM, 0, 1, 0.0)
            assert trio.current_time() - began < 5
            nursery.cancel_scope.cancel()

    async def test_peer_that_receives_nothing_times_out(self, autojump_clock) -> None:
        near, _ = trio.testing.lockstep_stream_pair()
        began = trio.current_time()
        with pytest.raises(LogUnavailable), trio.fail_after(60):
            await PeerLog(TcpLink(near)).append(STREAM, bytes(100))
        assert trio.current_time() - began < 5

    async def test_part_of_a_checkpoint_is_appended_through_a_peer(self, autojump_clock) -> None:
        log = NarrowLog()
        async with peer_log(log, keeper_of(log)) as peer:
            await peer.append(STREAM, bytes(PART_BYTES))
        assert len(log.store.records(STREAM)) == 1


class TestSubscription:
    async def test_more_objects_than_queued_events_reach_a_router(self, autojump_clock) -> None:
        """Guards against closing each link that has more than 50,000 messages to carry."""
        keeper = keeper_of(NarrowLog())
        objects = keeper.state.catalog.by_kind_and_name
        objects.update({("account", f"a{n}"): Versioned(b"{}", 1, n) for n in range(60_000)})
        near, far = memory_link_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_link, keeper, DirectLog(NarrowLog()), far)
            await near.send(SubscribeMessage())
            names = set()
            with trio.fail_after(60):
                while len(names) < len(objects):
                    message = await near.receive()
                    if isinstance(message, ObjectMessage):
                        names.add(message.name)
            nursery.cancel_scope.cancel()

    async def test_slow_router_receives_only_the_newest(self, autojump_clock) -> None:
        """Of 40 member lists of 1 MB each for a link of 5 Mbit/s, only the newest is of use."""
        keeper = keeper_of(NarrowLog())
        async with trio.open_nursery() as nursery:
            near, far = throttled_stream_pair(nursery)
            nursery.start_soon(serve_link, keeper, DirectLog(NarrowLog()), TcpLink(far))
            link = TcpLink(near)
            await link.send(SubscribeMessage())
            await link.receive()
            for number in range(40):
                keeper.listed = [
                    Instance(f"{number}-{n}", "l" * 40, "10.1.2.3:80", "z", "engine")
                    for n in range(6_000)
                ]
                keeper._announce_members()
                await trio.sleep(0.1)
            began = trio.current_time()
            while True:
                message = await link.receive()
                if isinstance(message, MembersMessage) and message.instances:
                    if message.instances[0].name.startswith("39-"):
                        break
            assert trio.current_time() - began < 6
            nursery.cancel_scope.cancel()
