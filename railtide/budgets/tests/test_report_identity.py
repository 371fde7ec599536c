"""Tests of what spending bounds rely on: whose report it is, when it was made, if it was written.

Each guards against an account that spends more than its prepaid budget, by one order of events:

1. A router is cut off from the store but alive. A second machine starts under its instance name and
   closes its holding. A peer takes the new process for a proof of death and returns the holding to
   the budget, while the first router continues to spend it.
2. A router of an earlier release rewrites a ledger and drops a field from another router's limit. A
   peer takes this for a new report made after its own latest append, so that it assumes too short a
   time of spending.
3. The answer is lost to an append that returns a dead process's units in one account, in which this
   process holds nothing, and renews its limit in another. The process assumes that the append was
   not written and forgets the limit that is in the ledger.
"""

import msgspec
import trio

from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger import (
    Holding,
    Ledger,
    close_predecessor,
    ledger_from_bytes,
    ledger_to_bytes,
)
from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.peer_reports import PeerReports
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, SpendLimit, allowed_units
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
    """One router's connection to a store; while it is `down`, others still reach the store."""

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

    def __init__(self, source: LedgerBudgetSource, account: str = ACCOUNT) -> None:
        self.spent = 0
        self._source = source
        self._account = account

    async def spend(self, amount: int, pause_s: float, seconds: float = 1e9) -> None:
        """Spend an amount repeatedly."""
        with trio.move_on_after(seconds):
            while True:
                await self._request(amount)
                await trio.sleep(pause_s)

    async def _request(self, amount: int) -> None:
        deadline = trio.current_time() + 1
        try:
            reserved = await self._source.reserve(self._account, SETTINGS, amount, deadline)
        except BudgetError:
            return
        reserved.settle(amount)
        self.spent += amount


class TestSecondMachineWithSameInstanceName:
    async def test_holding_of_a_live_router_is_not_returned(self, autojump_clock) -> None:
        """Returned on such a false proof, 1,201 of 1,000 units were spent; 991 if not returned."""
        store = MemoryStore()
        way = CutStore(store)
        peer = make_source_with(store, "i1", "1", 2, FakeClocks("own"))
        cut = make_source_with(way, "i2", "1", 2, FakeClocks("b1"))
        second = make_source_with(store, "i2", "2", 2, FakeClocks("b2"), address="elsewhere:1")
        at_peer, at_cut, at_second = Spender(peer), Spender(cut), Spender(second)
        async with trio.open_nursery() as nursery:
            for source in (peer, cut):
                source.enable_preallocation()
                nursery.start_soon(source.run)
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
    """A limit as known to the release before `SpendLimit.pace_after_s`."""

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
    """A ledger as known to that release."""

    closed: int = 0
    billed: int = 0
    by_instance: dict[str, _EarlierHolding] = {}


def rewritten(ledger: Ledger) -> Ledger:
    """Return a ledger as it is after a write by the earlier release."""
    earlier = msgspec.msgpack.decode(ledger_to_bytes(ledger), type=_EarlierLedger)
    return ledger_from_bytes(msgspec.msgpack.encode(earlier))


class TestReportRewrittenByEarlierRelease:
    def test_is_the_report_first_seen(self) -> None:
        """The process may have lived for 8 s since the peer's append; the rewrite is 1 s old."""
        limit = SpendLimit(ClockReading("theirs", 70.0, 70.0), 100, 50, pace=20, pace_after_s=0.5)
        reported = Ledger(by_instance={"b": Holding("b1", 1000, 100, limit=limit)})
        copied = rewritten(reported)
        closed = Ledger(closed=1000, billed=100, unproved=copied.by_instance)
        peers = PeerReports()
        peers.observe(Ledger(), NO_CLOCK_READING, self._at(0.0))
        peers.observe(reported, self._at(1.0), self._at(2.0))
        peers.observe(copied, self._at(8.0), self._at(8.5))
        peers.observe(closed, self._at(8.8), self._at(9.0))
        assert peers.max_used("b1") >= allowed_units(limit, 8.0)

    @staticmethod
    def _at(seconds: float) -> ClockReading:
        return ClockReading("own", seconds, 1e9 + seconds)


class TestLostAnswerForTwoAccounts:
    async def test_limit_in_the_ledger_is_obeyed(self, autojump_clock) -> None:
        """Without it the process spent 51 units beyond the limit that its successor relies on."""
        store = MemoryStore()
        clocks = FakeClocks("own")
        source = make_source_with(store, "i1", "1", 0, clocks)
        source.set_prepaid({ACCOUNT: 1000, OTHER_ACCOUNT: 200_000})
        source.enable_preallocation()
        callers = Spender(source, OTHER_ACCOUNT)
        beyond: list[int] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(source.run)
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
        close_predecessor(ledger, "i2", "i2-2", NO_CLOCK_READING, "i2:1")
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
        return allowed_units(limit, clocks.read().steady_s - limit.made_at.steady_s)
