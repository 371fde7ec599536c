"""Tests of railtide.journal.checkpoint."""

from random import Random

import trio

from railtide.journal import checkpoint
from railtide.journal.checkpoint import checkpoint_parts, latest_checkpoint, write_checkpoint
from railtide.journal.client import LogClient, Page
from railtide.journal.errors import LogUnavailable
from railtide.journal.state import State
from railtide.keeper.follower import Follower
from railtide.keeper.options import KeeperOptions
from railtide.standins.log import LogStore


class MemoryLog(LogClient):
    """A log in memory."""

    def __init__(self) -> None:
        self.store = LogStore(lambda: 1)
        self.records_read = 0

    async def append(self, stream: str, data: bytes) -> int:
        return self.store.append(stream, data)

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        page = await self.store.read(stream, start, limit, wait_s)
        self.records_read += len(page.records)
        return page


class BrokenLog(MemoryLog):
    """A log whose link breaks at every fifth call and on answers of more than 64 records."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        await trio.sleep(0.01)
        self.calls += 1
        page = await super().read(stream, start, limit, wait_s)
        if self.calls % 5 == 0 or len(page.records) > 64:
            raise LogUnavailable("the link broke")
        return page


def follower_of(log: LogClient) -> Follower:
    def ignore(*args: object) -> None:
        pass

    return Follower(log, KeeperOptions(), Random(1), ignore, ignore, ignore)


class TestCheckpoint:
    async def test_none_is_found_in_an_empty_stream(self) -> None:
        assert await latest_checkpoint(MemoryLog(), "journal") is None

    async def test_newest_complete_one_is_found(self, monkeypatch) -> None:
        monkeypatch.setattr(checkpoint, "PART_BYTES", 16)
        log = MemoryLog()
        await write_checkpoint(log, "journal", checkpoint_parts(State(offset=3), "a"))
        await write_checkpoint(log, "journal", checkpoint_parts(State(offset=9), "b"))
        await write_checkpoint(log, "journal", checkpoint_parts(State(offset=12), "c")[:-1])
        assert (await latest_checkpoint(log, "journal")).offset == 9

    async def test_is_found_after_expired_records(self) -> None:
        log = MemoryLog()
        for offset in range(5):
            await write_checkpoint(log, "journal", checkpoint_parts(State(offset=offset), "a"))
        log.store.expire("journal-checkpoints", 4)
        assert (await latest_checkpoint(log, "journal")).offset == 4

    async def test_only_the_newest_is_read(self, monkeypatch) -> None:
        """Guards against reading all ten checkpoints to find the last one."""
        monkeypatch.setattr(checkpoint, "PART_BYTES", 16)
        log = MemoryLog()
        for offset in range(10):
            parts = checkpoint_parts(State(offset=offset), "a")
            await write_checkpoint(log, "journal", parts)
        assert (await latest_checkpoint(log, "journal")).offset == 9
        assert log.records_read <= len(parts) + 1

    async def test_parts_of_two_writers_may_interleave(self, monkeypatch) -> None:
        monkeypatch.setattr(checkpoint, "PART_BYTES", 16)
        log = MemoryLog()
        for pair in zip(
            checkpoint_parts(State(offset=5), "a"),
            checkpoint_parts(State(offset=5), "b"),
            strict=True,
        ):
            await write_checkpoint(log, "journal", list(pair))
        assert (await latest_checkpoint(log, "journal")).offset == 5


class TestBrokenLink:
    async def test_start_keeps_the_parts_already_read(self, monkeypatch, autojump_clock) -> None:
        """If each break discarded all parts, no checkpoint would ever be complete."""
        monkeypatch.setattr(checkpoint, "PART_BYTES", 1)
        log = BrokenLog()
        parts = checkpoint_parts(State(offset=3), "a")
        assert len(parts) > 32
        for number in range(4):
            log.store.append("journal", b"%d" % number)
        for _ in range(10):
            await write_checkpoint(log, "journal", parts)
        follower = follower_of(log)
        with trio.move_on_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                while not follower.caught_up:
                    await trio.sleep(0.1)
                nursery.cancel_scope.cancel()
        assert follower.caught_up and follower.state.offset == 3

    async def test_broken_read_is_retried_with_fewer_records(self, autojump_clock) -> None:
        """If each retry requested the same 512 records, it would never succeed."""
        log = BrokenLog()
        for number in range(1_000):
            log.store.append("journal", b"%d" % number)
        follower = follower_of(log)
        with trio.move_on_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                while not follower.caught_up:
                    await trio.sleep(0.1)
                nursery.cancel_scope.cancel()
        assert follower.caught_up and follower.state.offset == 999
