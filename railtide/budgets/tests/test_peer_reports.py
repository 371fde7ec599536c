"""Tests of `peer_reports`: bounds that a peer proves for a process that lost power.

Guards against writing off whole holdings after power losses of some routers, though surviving peers
know how long the dead ones can have lived: a quarter of a day's budgets was lost that way.
"""

from collections.abc import Callable
from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.account_budget import AccountBudget
from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger import (
    Holding,
    Ledger,
    close_predecessor,
    committed,
    ledger_to_bytes,
    return_unproved,
)
from railtide.budgets.peer_reports import PeerReports
from railtide.budgets.process_context import ProcessContext
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, Clocks, SpendLimit
from railtide.budgets.tests.test_ledger_budget_source import (
    ACCOUNT,
    OPTIONS,
    SETTINGS,
    FakeClocks,
    ledger_of,
    make_source_with,
)
from railtide.standins.keyed_store import MemoryStore

BUDGET = 20_000
AMOUNT = 20
RATE = 100
ADDRESS = "b:1"
LIMIT = SpendLimit(ClockReading("theirs", 70.0, 70.0), used=100, burst=50, pace=20)


def at(seconds: float) -> ClockReading:
    """Return a reading of the observer's clocks."""
    return ClockReading("own", seconds, 1e9 + seconds)


def dead(spent: int = 100) -> Holding:
    """Return the last holding of a process that committed to `LIMIT`."""
    return Holding("b1", granted=1000, spent=spent, limit=LIMIT, address=ADDRESS)


def closed(former: Holding) -> Ledger:
    """Return a ledger in which the next process closed the holding without a proof."""
    ledger = Ledger(by_instance={"b": former})
    close_predecessor(ledger, "b", "b2", NO_CLOCK_READING, ADDRESS)
    return ledger


class TestBound:
    def test_time_counts_from_the_observers_append_to_the_first_sight_of_the_next_process(
        self,
    ) -> None:
        peers = PeerReports()
        peers.observe(Ledger(), NO_CLOCK_READING, at(0.0))
        peers.observe(Ledger(by_instance={"b": dead()}), at(1.0), at(2.0))
        peers.observe(closed(dead()), at(4.0), at(5.0))
        peers.observe(closed(dead()), at(8.0), at(9.0))
        assert peers.max_used("b1") == 100 + 50 + 20 * 4

    def test_later_report_counts_from_a_later_append(self) -> None:
        peers = PeerReports()
        peers.observe(Ledger(), NO_CLOCK_READING, at(0.0))
        peers.observe(Ledger(by_instance={"b": dead(spent=90)}), at(1.0), at(2.0))
        peers.observe(Ledger(by_instance={"b": dead()}), at(3.0), at(4.0))
        peers.observe(closed(dead()), at(4.5), at(5.0))
        assert peers.max_used("b1") == 100 + 50 + 20 * 2

    def test_report_present_at_the_first_read_proves_nothing(self) -> None:
        peers = PeerReports()
        peers.observe(Ledger(by_instance={"b": dead()}), at(1.0), at(1.5))
        peers.observe(closed(dead()), at(2.0), at(2.5))
        assert peers.max_used("b1") == 1000

    def test_ledger_that_was_not_read_in_between_proves_nothing(self) -> None:
        peers = PeerReports()
        peers.observe(Ledger(), NO_CLOCK_READING, at(0.0))
        peers.forget()
        peers.observe(Ledger(by_instance={"b": dead()}), at(1.0), at(1.5))
        peers.observe(closed(dead()), at(2.0), at(2.5))
        assert peers.max_used("b1") == 1000

    def test_clock_that_was_set_proves_nothing(self) -> None:
        peers = PeerReports()
        peers.observe(Ledger(), NO_CLOCK_READING, at(0.0))
        peers.observe(Ledger(by_instance={"b": dead()}), at(1.0), at(1.5))
        peers.observe(closed(dead()), at(2.0), ClockReading("own", 2.5, 1e9 + 9.0))
        assert peers.max_used("b1") == 1000


class TestReturn:
    def test_is_made_once(self) -> None:
        ledger = closed(dead())
        assert (ledger.closed, ledger.billed) == (1000, 100)
        assert return_unproved(ledger, "b", 250) == 750
        assert (ledger.closed, ledger.billed, ledger.unproved) == (250, 100, {})

    def test_never_frees_what_was_reported(self) -> None:
        ledger = closed(dead(spent=300))
        assert return_unproved(ledger, "b", 250) == 700

    def test_is_not_made_for_a_machine_at_another_address(self) -> None:
        ledger = Ledger(by_instance={"b": dead()})
        close_predecessor(ledger, "b", "b2", NO_CLOCK_READING, "elsewhere:1")
        assert (ledger.closed, ledger.unproved) == (1000, {})

    def test_older_holding_of_an_instance_stays_closed(self) -> None:
        ledger = closed(dead())
        ledger.by_instance["b"] = Holding("b2", granted=500, spent=1, limit=LIMIT, address=ADDRESS)
        close_predecessor(ledger, "b", "b3", NO_CLOCK_READING, ADDRESS)
        assert ledger.unproved["b"].incarnation == "b2"
        assert ledger.closed == 1500


class Pair:
    """A router that survives and one that loses power, both with callers."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.spent = 0

    async def serve(self, name: str, life: str, boot: str, seconds: float) -> None:
        """Run a router for a number of seconds."""
        clocks = FakeClocks(boot, trio.current_time())
        source = make_source_with(self.store, name, life, 2, clocks)
        source.set_prepaid({ACCOUNT: BUDGET})
        source.enable_preallocation()
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(source.run)
                while True:
                    nursery.start_soon(self._request, source.reserve)
                    await trio.sleep(AMOUNT / RATE)

    async def _request(self, reserve: Callable) -> None:
        try:
            reserved = await reserve(ACCOUNT, SETTINGS, AMOUNT, trio.current_time() + 1)
        except BudgetError:
            return
        reserved.settle(AMOUNT)
        self.spent += AMOUNT

    async def lost_in_seconds(self, away_s: float, cut_s: float) -> int:
        """Return the units lost by a power loss of one router.

        The store is unreachable for the last `cut_s` seconds before it, and the router is down for
        `away_s` seconds.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.serve, "i1", "1", "own", 30.0)
            nursery.start_soon(self.serve, "i2", "1", "b1", 20.0)
            await trio.sleep(20.0 - cut_s)
            self.store.down = cut_s > 0
            await trio.sleep(cut_s)
            self.store.down = False
            await trio.sleep(away_s)
            await self.serve("i2", "2", "b2", 30.0 - 20.0 - away_s)
        held = ledger_of(self.store).by_instance.values()
        return (
            committed(ledger_of(self.store)) - sum(h.granted - h.spent for h in held) - self.spent
        )


class TestPowerLossWithSurvivingPeer:
    async def test_loses_seconds_of_traffic_not_the_allocation(self, autojump_clock) -> None:
        """Without a peer's proof the whole holding, 969 units, was lost; 487 to 589 in ten runs
        with it."""
        lost = await Pair().lost_in_seconds(away_s=2.0, cut_s=0.0)
        assert -2 * AMOUNT <= lost <= 700

    async def test_after_an_outage_never_frees_spent_units(self, autojump_clock) -> None:
        for away_s, cut_s in ((1.0, 1.0), (1.0, 4.0), (3.0, 6.0)):
            assert await Pair().lost_in_seconds(away_s, cut_s) >= -2 * AMOUNT


class TestObserver:
    """Router `i1` reads what `i2` wrote; `i2` spends 100 units a second after its report."""

    @staticmethod
    def _dead(made_at: float) -> Holding:
        limit = SpendLimit(ClockReading("theirs", made_at, made_at), used=0, burst=0, pace=RATE)
        return Holding("i2-1", granted=900, spent=0, limit=limit, address="i2:1")

    def _put(self, store: MemoryStore, ledger: Ledger) -> None:
        held = ledger_of(store).by_instance.get("i1")
        if held:
            ledger.by_instance["i1"] = held
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(ledger))

    async def test_unconfirmed_append_proves_nothing(self, autojump_clock) -> None:
        """The other's report is made while an append of this router is not yet applied."""
        store = MemoryStore()
        source = make_source_with(store, "i1", "1", 2, FakeClocks("own"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(source.run)
            (await source.reserve(ACCOUNT, SETTINGS, 10, trio.current_time() + 1)).settle(10)
            await trio.sleep(3)
            reported_at = trio.current_time()
            await trio.sleep(4)
            store.late_appends = 1_000
            with pytest.raises(BudgetError):
                await source.reserve(ACCOUNT, SETTINGS, 20, trio.current_time() + 1)
            self._put(store, Ledger(by_instance={"i2": self._dead(reported_at)}))
            store.late_appends = 0
            await trio.sleep(2)
            ledger = ledger_of(store)
            close_predecessor(ledger, "i2", "i2-2", NO_CLOCK_READING, "i2:1")
            closed_at = trio.current_time()
            self._put(store, ledger)
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        assert RATE * (closed_at - reported_at) <= ledger_of(store).closed <= 900

    async def test_ledger_after_an_unreadable_one_counts_as_first_read(
        self, autojump_clock
    ) -> None:
        process = ProcessContext("i1", "i1-1", lambda: 2, OPTIONS, SteadyClocks(), at(0.0))
        budget = AccountBudget(ACCOUNT, process, lambda: None, lambda: 10.0)
        budget.set_prepaid(BUDGET)
        budget.apply_ledger(Ledger(), NO_CLOCK_READING)
        budget.loaded = False
        budget.apply_ledger(Ledger(by_instance={"i2": self._dead(0.0)}), at(1.0))
        unproved = Ledger(closed=900, unproved={"i2": self._dead(0.0)})
        budget.apply_ledger(unproved, at(2.0))
        assert not budget.is_due() or budget.plan().returned == {}


class SteadyClocks(Clocks):
    """Clocks that never advance."""

    def read(self) -> ClockReading:
        """Return the same reading every time."""
        return at(3.0)


class Losses:
    """Three routers that lose power at random times while the store fails and clocks are set."""

    def __init__(self, rng: Random) -> None:
        self.store = MemoryStore()
        self.spent = 0
        self._rng = rng
        self._lives = 0

    async def live(self, name: str) -> None:
        """Run a router that loses power repeatedly."""
        rng = self._rng
        while True:
            self._lives += 1
            clocks = FakeClocks(f"boot-{self._lives}", trio.current_time() - rng.uniform(0, 9))
            source = make_source_with(self.store, name, str(self._lives), 3, clocks)
            source.enable_preallocation()
            with trio.move_on_after(rng.uniform(0.5, 6.0)):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(source.run)
                    nursery.start_soon(self._set_clock, clocks)
                    while True:
                        nursery.start_soon(self._request, source.reserve)
                        await trio.sleep(rng.uniform(0.0, 0.2))
            await trio.sleep(rng.uniform(0.0, 1.0))

    async def _set_clock(self, clocks: FakeClocks) -> None:
        await trio.sleep(self._rng.uniform(0.0, 20.0))
        clocks.set_by_s = self._rng.uniform(-5.0, 5.0)

    async def _request(self, reserve: Callable) -> None:
        amount = self._rng.randint(1, 25)
        try:
            reserved = await reserve(ACCOUNT, SETTINGS, amount, trio.current_time() + 1)
        except BudgetError:
            return
        self.spent += amount
        await trio.sleep(self._rng.uniform(0.0, 0.5))
        reserved.settle(amount)

    async def break_store(self) -> None:
        """Make the store unreachable, slow, late or lose answers, in random order."""
        rng = self._rng
        while True:
            await trio.sleep(rng.uniform(0.1, 1.5))
            fault = rng.choice(["down", "lost", "late", "slow", "none", "none"])
            self.store.down = fault == "down"
            self.store.lose_answers = 2 if fault == "lost" else 0
            self.store.late_appends = 1 if fault == "late" else 0
            self.store.delay_s = 0.2 if fault == "slow" else 0.004
            if rng.random() < 0.5:
                self.store.apply_late_appends()


class TestNoOverspend:
    @given(seed=st.integers(0, 10_000))
    def test_under_power_losses_that_peers_survive(self, seed: int) -> None:
        losses = Losses(Random(seed))

        async def run() -> None:
            with trio.move_on_after(30):
                async with trio.open_nursery() as nursery:
                    for name in ("i1", "i2", "i3"):
                        nursery.start_soon(losses.live, name)
                    nursery.start_soon(losses.break_store)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert losses.spent <= 1000
        assert committed(ledger_of(losses.store)) <= 1000
