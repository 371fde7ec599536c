"""Property test of each return by a peer: never below what the dead process had truly used.

In the property test of `test_peer_reports.py` lives of 0.5 to 6 s and requests that exhaust the
budget leave a peer nothing to return: in 60 seeds not one unit was returned. Here lives are long
enough for hands to be larger than what a limit allows in the seconds until the next process, and
each return is held against the use of that one process, not the sum against the budget.
"""

from random import Random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger import Holding, Ledger, ledger_from_bytes
from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.tests.test_ledger_budget_source import (
    ACCOUNT,
    OPTIONS,
    SETTINGS,
    FakeClocks,
    make_source_with,
)
from railtide.budgets.tests.test_peer_reports import Losses

BUDGET = 9_000
EXAMPLES = 25
"""Days of a minute, of 0.6 s each; about 90 returns in all."""
NAMES = ("i1", "i2", "i3")


class LongLosses(Losses):
    """Routers with steady callers, which live for seconds to half a minute.

    Attributes
    ----------
    used_by_incarnation : dict of str to int
        Units that each process reserved, of which none comes back.
    """

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self.used_by_incarnation: dict[str, int] = {}

    async def live(self, name: str) -> None:
        """Be a router that loses power again and again."""
        rng = self._rng
        while True:
            self._lives += 1
            clocks = FakeClocks(f"boot-{self._lives}", trio.current_time() - rng.uniform(0, 9))
            made = make_source_with(self.store, name, str(self._lives), len(NAMES), clocks)
            made.set_prepaid({ACCOUNT: BUDGET})
            made.enable_preallocation()
            with trio.move_on_after(rng.uniform(4.0, 25.0)):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(made.run)
                    nursery.start_soon(self._set_clock, clocks)
                    await self._call(made, f"{name}-{self._lives}")
            await trio.sleep(rng.uniform(0.0, 1.0))

    async def _set_clock(self, clocks: FakeClocks) -> None:
        await trio.sleep(self._rng.uniform(0.0, 60.0))
        clocks.set_by_s = self._rng.uniform(-5.0, 5.0)

    async def _call(self, made: LedgerBudgetSource, incarnation: str) -> None:
        self.used_by_incarnation[incarnation] = 0
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._spend, made, incarnation)
                await trio.sleep(self._rng.uniform(0.1, 0.2))

    async def _spend(self, made: LedgerBudgetSource, incarnation: str) -> None:
        amount = self._rng.randint(1, 25)
        try:
            reserved = await made.reserve(ACCOUNT, SETTINGS, amount, trio.current_time() + 1)
        except BudgetError:
            return
        self.used_by_incarnation[incarnation] += amount
        await trio.sleep(self._rng.uniform(0.0, 0.5))
        reserved.settle(amount)

    def returns(self) -> list[tuple[Holding, int]]:
        """Return each holding that peers returned a part of, and the units left as spent of it."""
        records = self.store.topic(OPTIONS.topic).records
        ledgers = [Ledger(), *(ledger_from_bytes(record.value) for record in records)]
        changes = zip(ledgers, ledgers[1:], strict=False)
        return [one for before, after in changes for one in _returned_by(before, after)]


def _returned_by(before: Ledger, after: Ledger) -> list[tuple[Holding, int]]:
    """Return what one change of a ledger returned, if it is all that it did to closed units."""
    gone = [name for name in before.unproved if name not in after.unproved]
    returned = before.closed - after.closed
    if len(gone) != 1 or returned <= 0:
        return []
    dead = before.unproved[gone[0]]
    return [(dead, dead.granted - returned)]


def losses_of(seed: int) -> LongLosses:
    """Return losses that lasted for a minute."""
    losses = LongLosses(Random(seed))

    async def run() -> None:
        with trio.move_on_after(60):
            async with trio.open_nursery() as nursery:
                for name in NAMES:
                    nursery.start_soon(losses.live, name)
                nursery.start_soon(losses.break_store)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return losses


class TestReturnedBounds:
    @settings(max_examples=EXAMPLES)
    @given(seed=st.integers(0, 10_000))
    def test_cover_what_the_dead_process_used(self, seed: int) -> None:
        losses = losses_of(seed)
        for dead, left in losses.returns():
            assert left >= losses.used_by_incarnation[dead.incarnation]

    def test_returns_are_made(self) -> None:
        """Else the test above shows nothing."""
        assert sum(len(losses_of(seed).returns()) for seed in range(8)) >= 4
