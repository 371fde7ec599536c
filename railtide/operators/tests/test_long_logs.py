"""Tests of railtide.operators on logs that take longer to read than the operator's timeout."""

import pytest
import trio

from railtide.journal.client import LogClient, Page
from railtide.keeper.options import KeeperOptions
from railtide.operators import program
from railtide.operators.errors import NoVerdict
from railtide.operators.session import open_session
from railtide.standins.log import LogStore

RECORDS = 20
READ_S = 0.05
WAIT_S = 0.5


class SlowLog(LogClient):
    """A log in memory that returns one record per read, each after `READ_S`."""

    def __init__(self, records: int, unresponsive_from: int = 10**9) -> None:
        self.store = LogStore(lambda: 1)
        self.unresponsive_from = unresponsive_from
        for number in range(records):
            self.store.append("journal", b"%d" % number)

    async def append(self, stream: str, data: bytes) -> int:
        return self.store.append(stream, data)

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        await trio.sleep(READ_S)
        if start >= self.unresponsive_from:
            await trio.sleep_forever()
        return await self.store.read(stream, start, 1, wait_s)


class TestLongLog:
    async def test_session_waits_as_long_as_records_arrive(self, autojump_clock) -> None:
        """Reading takes 1 s with a timeout of 0.5 s: if the timeout applied to the whole log, no
        session would succeed."""
        async with open_session(SlowLog(RECORDS), KeeperOptions(), WAIT_S) as session:
            assert session.state.offset == RECORDS - 1

    async def test_session_fails_on_an_unresponsive_log(self, autojump_clock) -> None:
        with trio.fail_after(10 * WAIT_S), pytest.RaisesGroup(NoVerdict):
            async with open_session(SlowLog(RECORDS, unresponsive_from=5), KeeperOptions(), WAIT_S):
                pass

    def test_bills_are_read_as_long_as_records_arrive(self, monkeypatch) -> None:
        monkeypatch.setattr(program, "open_http_log", lambda url, *more: SlowLog(RECORDS))
        program.bills("account", log_url="http://log", timeout_s=WAIT_S)
