"""Tests of railtide.keeper.appender."""

from random import Random

import trio

from railtide.journal.client import LogClient, Page
from railtide.journal.entries import make_entry
from railtide.journal.errors import LogUnavailable
from railtide.journal.state import HolderStatus
from railtide.keeper.appender import Appender
from railtide.keeper.follower import Follower
from railtide.keeper.options import KeeperOptions
from railtide.membership.messages import Heartbeat, OpenHolder
from railtide.requests.messages import Answer, Bill
from railtide.standins.log import LogStore
from railtide.standins.throttled_stream import THROTTLED_BYTES_PER_S

ANSWER_TIMEOUT_S = 5.0


class FlakyLog(LogClient):
    """An in-memory log whose next appends have the given faults."""

    def __init__(self, *faults: str) -> None:
        self.store = LogStore(lambda: 1_000)
        self.faults = list(faults)

    async def append(self, stream: str, data: bytes) -> int:
        await trio.sleep(0.001)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "never-arrived":
            raise LogUnavailable
        offset = self.store.append(stream, data)
        if fault == "answer-lost":
            await trio.sleep(ANSWER_TIMEOUT_S)
            raise LogUnavailable
        if fault == "arrived-twice":
            offset = self.store.append(stream, data)
        return offset

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        await trio.sleep(0.001)
        return await self.store.read(stream, start, limit, wait_s)


class Node:
    """A follower and an appender on one log."""

    def __init__(self, log: LogClient) -> None:
        options = KeeperOptions()
        rng = Random(1)
        self.refused = []
        self.follower = Follower(
            log, options, rng, self._on_folded, lambda reachable: None, lambda: None
        )
        self.appender = Appender(log, self.follower, options, rng, self.refused.extend)

    def _on_folded(self, folded_entries) -> None:
        for folded in folded_entries:
            self.appender.discard_decided(folded.holder, folded.verdict.seq)

    async def append_all(self, *entries) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.appender.run)
            for entry in entries:
                self.appender.add(entry)
            while self.appender.pending():
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


def entries(since: int = 0):
    return (
        make_entry("h", 1, 0, OpenHolder("i", "d", "", "router", since)),
        make_entry("h", 2, 0, Heartbeat()),
    )


class TestAppender:
    async def test_each_entry_is_folded_once_despite_append_faults(self, autojump_clock) -> None:
        for fault in ("", "never-arrived", "answer-lost", "arrived-twice"):
            node = Node(FlakyLog(fault))
            await node.append_all(*entries())
            assert node.follower.state.by_holder["h"].last_seq == 2
            assert node.follower.state.by_holder["h"].status == HolderStatus.OPEN

    async def test_lost_answer_costs_no_timeout(self, autojump_clock) -> None:
        node = Node(FlakyLog("answer-lost"))
        began = trio.current_time()
        await node.append_all(*entries())
        assert trio.current_time() - began < 1
        assert node.appender.answers_lost == 1

    async def test_two_keepers_may_append_the_same_entries(self, autojump_clock) -> None:
        log = FlakyLog()
        nodes = [Node(log), Node(log)]
        async with trio.open_nursery() as nursery:
            for node in nodes:
                nursery.start_soon(node.append_all, *entries())
        assert nodes[0].follower.state.by_holder["h"].last_seq == 2

    async def test_entries_of_an_unknown_holder_are_refused(self, autojump_clock) -> None:
        node = Node(FlakyLog())
        unknown = make_entry("unknown", 2, 0, Heartbeat())
        await node.append_all(*entries(), unknown)
        assert node.refused == [unknown]

    async def test_large_entries_are_split_into_several_appends(self, autojump_clock) -> None:
        """A single append of all exceeds its timeout on a narrow link, and so does each retry."""
        log = NarrowLog()
        node = Node(log)
        answer = Answer(200, "application/json", bytes(65_536))
        bills = [make_entry("h", seq, 0, Bill("r", 1, "done", answer)) for seq in range(2, 102)]
        with trio.fail_after(60):
            await node.append_all(entries()[0], *bills)
        assert node.follower.state.by_holder["h"].last_seq == 101
        assert node.appender.bytes_appended < 1.1 * 100 * 65_536


class NarrowLog(FlakyLog):
    """A log behind a link of 5 Mbit/s, whose appends time out after 5 s."""

    async def append(self, stream: str, data: bytes) -> int:
        took_s = len(data) / THROTTLED_BYTES_PER_S
        await trio.sleep(min(took_s, ANSWER_TIMEOUT_S))
        if took_s > ANSWER_TIMEOUT_S:
            raise LogUnavailable
        return self.store.append(stream, data)


class LongLog(NarrowLog):
    """A growing log full of other keepers' records: reading it takes 26 s over the link."""

    def __init__(self) -> None:
        super().__init__()
        for _ in range(2_000):
            self.store.append("journal", bytes(8_192))

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> Page:
        page = await self.store.read(stream, start, min(limit, 64), wait_s)
        await trio.sleep(sum(len(record.data) for record in page.records) / THROTTLED_BYTES_PER_S)
        return page


class TestLaggingFold:
    async def test_appended_entries_are_not_sent_again(self, autojump_clock) -> None:
        """Entries appended again every 5 s during a long read would lengthen the log for all."""
        node = Node(LongLog())
        began = trio.current_time()
        await node.append_all(*entries())
        assert trio.current_time() - began > 20
        assert node.appender.appends == 1
        assert node.follower.state.by_holder["h"].last_seq == 2

    async def test_later_entries_do_not_wait_for_the_fold(self, autojump_clock) -> None:
        log = LongLog()
        node = Node(log)
        opening, heartbeat = entries()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.append_all, opening)
            await trio.sleep(1)
            node.appender.add(heartbeat)
            await trio.sleep(6)
            assert log.store.appends == 2_002
        assert node.follower.state.by_holder["h"].last_seq == 2

    async def test_entry_skipped_by_the_fold_is_sent_again(self, autojump_clock) -> None:
        """The fold skips an entry whose predecessor has not arrived yet."""
        node = Node(FlakyLog())
        opening, heartbeat = entries()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.append_all, opening, make_entry("h", 3, 0, Heartbeat()))
            await trio.sleep(1)
            assert node.follower.state.by_holder["h"].last_seq == 1
            node.appender.add(heartbeat)
            with trio.move_on_after(30):
                while node.appender.pending():
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert node.follower.state.by_holder["h"].last_seq == 3
