"""Tests of what the proofs of a budget rest on: whose report it is, when made, and whether written.

What users would see: an account that spends more than its prepaid budget. Three orders of events
lead there, each traced from the reading of the code and shown below.

1. A router is cut off from the store and lives. A second machine of its name takes its place and
   closes its hand. A peer takes the new name-bearer for a proof of death and returns the hand to
   the budget, while the router goes on to spend it. Before peers returned hands it stayed closed.
2. A router of an earlier release rewrites a ledger and drops a field from another's limit. The peer
   takes the same report for a new one, made behind a later append of its own, so that it counts
   seconds too few.
3. The answer to an append is lost that returns a dead process's hand in one account, in which this
   process holds nothing, and renews the limit of another. The process takes it for not written,
   and forgets the limit that the ledger holds.
"""

import msgspec
import trio

from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger import (
    Holding,
    Ledger,
    close_former,
    ledger_from_bytes,
    ledger_to_bytes,
)
from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.peer_reports import PeerReports
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, SpendLimit, units_at
from railtide.budgets.tests.test_ledger_budget_source import (
    ACCOUNT,
    OPTIONS,
    SETTINGS,
    FakeClocks,
    ledger_of,
    make_source_with,
)
from railtide.journal.keyed import KeyedPage
from railtide.journal.read_progress import ReadProgress
from railtide.standins.keyed_store import MemoryStore

OTHER_ACCOUNT = "b"


class CutStore(MemoryStore):
    """One router's way to a store; while it is `down`, the others still reach the store."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__()
        self._store = store

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        """Return what the store returns."""
        await self._call(partition)
        return await self._store.newest(topic, partition)

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        """Return what the store returns."""
        await self._call(partition)
        return await self._store.append(topic, values_by_key, expected_end, partition)


class Spender:
    """Callers of one account at one router."""

    def __init__(self, made: LedgerBudgetSource, account: str = ACCOUNT) -> None:
        self.spent = 0
        self._made = made
        self._account = account

    async def spend(self, amount: int, pause_s: float, seconds: float = 1e9) -> None:
        """Ask for an amount again and again."""
        with trio.move_on_after(seconds):
            while True:
                await self._request(amount)
                await trio.sleep(pause_s)

    async def _request(self, amount: int) -> None:
        deadline = trio.current_time() + 1
        try:
            reserved = await self._made.reserve(self._account, SETTINGS, amount, deadline)
        except BudgetError:
            return
        reserved.settle(amount)
        self.spent += amount


class TestSecondMachineOfAName:
    async def test_hand_of_a_router_that_lives_is_not_returned(self, autojump_clock) -> None:
        """Before peers returned hands 991 of 1,000 units were spent; 1,201 with it."""
        store = MemoryStore()
        way = CutStore(store)
        peer = make_source_with(store, "i1", "1", 2, FakeClocks("own"))
        cut = make_source_with(way, "i2", "1", 2, FakeClocks("b1"))
        second = make_source_with(store, "i2", "2", 2, FakeClocks("b2"), address="elsewhere:1")
        at_peer, at_cut, at_second = Spender(peer), Spender(cut), Spender(second)
        async with trio.open_nursery() as nursery:
            for made in (peer, cut):
                made.enable_preallocation()
                nursery.start_soon(made.run)
            nursery.start_soon(at_peer.spend, 1, 0.5, 10)
            await at_cut.spend(10, 0.5, 12)
            way.down = True
            nursery.start_soon(second.run)
            await at_second.spend(1, 10, 3)
            nursery.start_soon(at_cut.spend, 10, 0.5, 20)
            await at_peer.spend(10, 0.1, 20)
            nursery.cancel_scope.cancel()
        assert at_peer.spent + at_cut.spent + at_second.spent <= 1000


class _EarlierLimit(msgspec.Struct, array_like=True, frozen=True):
    """A limit as the release before `SpendLimit.pace_after_s` knows it."""

    made: ClockReading
    used: int
    burst: int
    pace: int


class _EarlierHolding(msgspec.Struct, array_like=True):
    """A holding with such a limit."""

    incarnation: str
    granted: int = 0
    spent: int = 0
    requests: int = 0
    limit: _EarlierLimit | None = None


class _EarlierLedger(msgspec.Struct, array_like=True):
    """A ledger as that release knows it."""

    closed: int = 0
    billed: int = 0
    by_instance: dict[str, _EarlierHolding] = {}


def rewritten(ledger: Ledger) -> Ledger:
    """Return a ledger as it is behind a write of the earlier release."""
    earlier = msgspec.msgpack.decode(ledger_to_bytes(ledger), type=_EarlierLedger)
    return ledger_from_bytes(msgspec.msgpack.encode(earlier))


class TestReportThatAnEarlierReleaseRewrote:
    def test_is_still_the_report_that_was_seen_first(self) -> None:
        """8 s lie between the append before the report and the end; 1 s behind the rewriting."""
        limit = SpendLimit(ClockReading("theirs", 70.0, 70.0), 100, 50, pace=20, pace_after_s=0.5)
        reported = Ledger(by_instance={"b": Holding("b1", 1000, 100, limit=limit)})
        carried = rewritten(reported)
        closed = Ledger(closed=1000, billed=100, unproved=carried.by_instance)
        peers = PeerReports()
        peers.observe(Ledger(), NO_CLOCK_READING, self._at(0.0))
        peers.observe(reported, self._at(1.0), self._at(2.0))
        peers.observe(carried, self._at(8.0), self._at(8.5))
        peers.observe(closed, self._at(8.8), self._at(9.0))
        assert peers.used_at_most("b1") >= units_at(limit, 8.0)

    @staticmethod
    def _at(seconds: float) -> ClockReading:
        return ClockReading("own", seconds, 1e9 + seconds)


class TestLostAnswerToTwoAccounts:
    async def test_limit_in_the_ledger_is_kept_to(self, autojump_clock) -> None:
        """The process spent 51 units beyond the limit by which its successor would bound it."""
        store = MemoryStore()
        clocks = FakeClocks("own")
        made = make_source_with(store, "i1", "1", 0, clocks)
        made.set_prepaid({ACCOUNT: 1000, OTHER_ACCOUNT: 200_000})
        made.enable_preallocation()
        callers = Spender(made, OTHER_ACCOUNT)
        beyond: list[int] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            with trio.move_on_after(13):
                async with trio.open_nursery() as steady:
                    steady.start_soon(callers.spend, 10, 0.1)
                    await trio.sleep(10)
                    self._put_dead_peer(store)
            await self._lose_the_answer_to_its_return(store, callers)
            store.down = True
            nursery.start_soon(callers.spend, 10, 0.01)
            await trio.sleep(2)
            store.late_appends = 1_000_000
            store.down = False
            for _ in range(100):
                await trio.sleep(0.01)
                beyond.append(callers.spent - self._most(store, clocks))
            nursery.cancel_scope.cancel()
        assert max(beyond) <= 0

    @staticmethod
    def _put_dead_peer(store: MemoryStore) -> None:
        limit = SpendLimit(ClockReading("theirs", 1.0, 1.0), used=0, burst=5, pace=1)
        dead = Holding("i2-1", granted=100, spent=1, limit=limit, address="i2:1")
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(Ledger(by_instance={"i2": dead})))

    @staticmethod
    async def _lose_the_answer_to_its_return(store: MemoryStore, callers: Spender) -> None:
        ledger = ledger_of(store)
        close_former(ledger, "i2", "i2-2", NO_CLOCK_READING, "i2:1")
        store.lose_answers = 1
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(ledger))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.spend, 10, 0.1)
            while store.lose_answers:
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()

    @staticmethod
    def _most(store: MemoryStore, clocks: FakeClocks) -> int:
        record = store.topic(OPTIONS.topic).newest_by_key[OTHER_ACCOUNT]
        limit = ledger_from_bytes(record.value).by_instance["i1"].limit
        return units_at(limit, clocks.read().steady_s - limit.made.steady_s)
