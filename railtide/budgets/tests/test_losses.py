"""Tests of how much of a budget repeated power losses write off.

Guards against budgets that are exhausted by a series of power losses: some routers lost power
through the day and all of them at its end for 1.5 s. Twelve seconds later 20 of 94 requests had
been served, where a quarter is required. In another run of the same day 262 requests then ended as
`budget-exhausted` and 38 as `budget-unavailable`: 558,785 units of the three largest accounts were
written off at once (242,778 of one holding, a fifth of that account's budget), since after a power
loss no clock proves what a dead process did not spend.

Cause: preallocation was bounded by a share of the remaining budget whatever had been lost before,
and was as large after seconds of traffic as after a minute. Each loss took its share again, and an
account was empty after three or four.
"""

from random import Random

import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger import Ledger, committed, ledger_from_bytes
from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.spend_limit import ClockReading, Clocks
from railtide.configuration.models import AccountSettings
from railtide.standins.keyed_store import MemoryStore

ACCOUNT = "a"
SETTINGS = AccountSettings(budget_wait_s=0.2)
OPTIONS = LedgerOptions()
AMOUNT = 20
"""Units of a request."""
RATE = 100
"""Units a second requested from each router."""
AWAY_S = 1.0
"""Time from a power loss to the next start."""


class BootClocks(Clocks):
    """Clocks that restarted with the machine's last boot."""

    def __init__(self, boot: str) -> None:
        self._boot = boot
        self._began_at = trio.current_time()

    def read(self) -> ClockReading:
        """Return the current reading."""
        now = trio.current_time()
        return ClockReading(self._boot, now - self._began_at, 1e9 + now)


class Machines:
    """Routers that repeatedly all lose power, and their callers.

    Attributes
    ----------
    asked, spent : int
        Units requested and spent, over all incarnations.
    """

    def __init__(self, budget: int, names: tuple[str, ...] = ("i1", "i2")) -> None:
        self.store = MemoryStore()
        self.asked = 0
        self.spent = 0
        self._budget = budget
        self._names = names
        self._boots = 0

    async def live(self, seconds: float, idle_s: float = 0.0) -> float:
        """Run all routers until they lose power; return the fraction of requests served.

        Callers arrive after `idle_s`.
        """
        before = self.asked, self.spent
        self._boots += 1
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for name in self._names:
                    nursery.start_soon(self._serve, name, idle_s)
        await trio.sleep(AWAY_S)
        return (self.spent - before[1]) / max(1, self.asked - before[0])

    async def _serve(self, name: str, idle_s: float) -> None:
        boot = f"{name}-{self._boots}"
        routers = len(self._names)
        source = LedgerBudgetSource(
            self.store, name, boot, lambda: routers, OPTIONS, clocks=BootClocks(boot)
        )
        source.set_prepaid({ACCOUNT: self._budget})
        source.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(source.run)
            await trio.sleep(idle_s)
            while True:
                nursery.start_soon(self._request, source)
                await trio.sleep(AMOUNT / RATE)

    async def _request(self, source: LedgerBudgetSource) -> None:
        self.asked += AMOUNT
        try:
            reserved = await source.reserve(ACCOUNT, SETTINGS, AMOUNT, trio.current_time() + 1)
        except BudgetError:
            return
        reserved.settle(AMOUNT)
        self.spent += AMOUNT

    @property
    def lost(self) -> int:
        """Units committed but never spent, while all routers are dead."""
        return committed(self.ledger) - self.spent

    @property
    def ledger(self) -> Ledger:
        """The account's stored ledger."""
        return ledger_from_bytes(self.store.topic(OPTIONS.topic).newest_by_key[ACCOUNT].value)


class TestRepeatedLosses:
    async def test_service_recovers_after_five_losses_of_all_routers(self, autojump_clock) -> None:
        """The budget is one and a half times what callers request in total.

        Without the loss bound 5% of the last requests were served; with it 68 to 71% in ten runs,
        which differ by the order of tasks.
        """
        machines = Machines(budget=16_000)
        for _ in range(5):
            await machines.live(8.0)
        assert await machines.live(12.0) >= 0.5

    async def test_account_with_seconds_of_traffic_loses_seconds_of_it(
        self, autojump_clock
    ) -> None:
        """Routers run for long, callers for 2.5 s: 795 units lost, 2,216 without growth limit."""
        machines = Machines(budget=21_000)
        await machines.live(22.5, idle_s=20.0)
        await machines.live(1.0)
        assert machines.lost <= 2 * RATE * 2.5 * 2

    @given(seed=st.integers(0, 10_000))
    def test_losses_together_stay_within_their_share_of_the_budget(self, seed: int) -> None:
        """Any number of losses at any times; without bound one seed lost 9,501 of 20,000 units."""
        machines = Machines(budget=20_000)

        async def run() -> None:
            rng = Random(seed)
            for _ in range(rng.randint(2, 8)):
                await machines.live(rng.uniform(0.5, 15.0), idle_s=rng.choice([0.0, 0.0, 5.0]))
            await machines.live(0.5)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        assert machines.lost <= 0.45 * 20_000
        assert committed(machines.ledger) <= 20_000
