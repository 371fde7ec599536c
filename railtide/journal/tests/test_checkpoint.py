"""Tests of railtide.journal.checkpoint."""

from railtide.journal import checkpoint
from railtide.journal.checkpoint import latest_checkpoint, parts_of, write_checkpoint
from railtide.journal.client import LogClient, Page
from railtide.journal.state import State
from railtide.standins.log import LogStore


class MemoryLog(LogClient):
    """A log in memory."""

    def __init__(self) -> None:
        self.store = LogStore(lambda: 1)

    async def append(self, stream: str, data: bytes) -> int:
        return self.store.append(stream, data)

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        return await self.store.read(stream, start, limit, wait_s)


class TestCheckpoint:
    async def test_none_is_found_in_an_empty_stream(self) -> None:
        assert await latest_checkpoint(MemoryLog(), "journal") is None

    async def test_newest_whole_one_is_found(self, monkeypatch) -> None:
        monkeypatch.setattr(checkpoint, "PART_BYTES", 16)
        log = MemoryLog()
        await write_checkpoint(log, "journal", parts_of(State(offset=3), "a"))
        await write_checkpoint(log, "journal", parts_of(State(offset=9), "b"))
        await write_checkpoint(log, "journal", parts_of(State(offset=12), "c")[:-1])
        assert (await latest_checkpoint(log, "journal")).offset == 9

    async def test_is_found_behind_expired_records(self) -> None:
        log = MemoryLog()
        for offset in range(5):
            await write_checkpoint(log, "journal", parts_of(State(offset=offset), "a"))
        log.store.expire("journal-checkpoints", 4)
        assert (await latest_checkpoint(log, "journal")).offset == 4
