"""Tests of railtide.operators on logs that take longer to read than an operator waits for them."""

import pytest
import trio

from railtide.journal.client import LogClient, Page
from railtide.keeper.options import KeeperOptions
from railtide.operators import program
from railtide.operators.errors import NoVerdict
from railtide.operators.session import open_session
from railtide.standins.log import LogStore

PAGES = 20
PAGE_S = 0.05
WAIT_S = 0.5


class SlowLog(LogClient):
    """A log in memory that gives one record a read, each after a time."""

    def __init__(self, records: int, silent_from: int = 10**9) -> None:
        self.store = LogStore(lambda: 1)
        self.silent_from = silent_from
        for number in range(records):
            self.store.append("journal", b"%d" % number)

    async def append(self, stream: str, data: bytes) -> int:
        return self.store.append(stream, data)

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        await trio.sleep(PAGE_S)
        if start >= self.silent_from:
            await trio.sleep_forever()
        return await self.store.read(stream, start, 1, wait_s)


class TestLongLog:
    async def test_session_waits_as_long_as_records_come(self, autojump_clock) -> None:
        """One second of reading under a limit of half a second: each session was given up."""
        async with open_session(SlowLog(PAGES), KeeperOptions(), WAIT_S) as session:
            assert session.state.offset == PAGES - 1

    async def test_silent_log_is_given_up(self, autojump_clock) -> None:
        with trio.fail_after(10 * WAIT_S), pytest.RaisesGroup(NoVerdict):
            async with open_session(SlowLog(PAGES, silent_from=5), KeeperOptions(), WAIT_S):
                pass

    def test_bills_are_read_as_long_as_records_come(self, monkeypatch) -> None:
        monkeypatch.setattr(program, "open_http_log", lambda url, *more: SlowLog(PAGES))
        program.bills("account", log_url="http://log", timeout_s=WAIT_S)
