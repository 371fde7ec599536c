"""Tests of unused accounts: a router that preallocates nothing does no work for them."""

import pytest

from railtide.budgets.account_budget import AccountBudget
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.ledger import Holding, Ledger
from railtide.budgets.process_context import ProcessContext
from railtide.budgets.shortfalls import Shortfall
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, NoClocks, SpendLimit

LIMIT = SpendLimit(ClockReading("boot", 1.0, 1.0), 1, 1, 1)
LEDGERS = {
    "nobody holds any": Ledger(),
    "others hold some": Ledger(5, 4, {"i2": Holding("i2-1", 300, 20, 2, LIMIT)}),
    "others lack some": Ledger(5, 4, {"i2": Holding("i2-1", 300, 20, 2, LIMIT, Shortfall(80, 1))}),
    "all is spent": Ledger(1000, 900),
}


def new_budget(routers: int, ledger: Ledger, preallocating: bool = True) -> AccountBudget:
    process = ProcessContext(
        "i1", "i1-1", lambda: routers, LedgerOptions(), NoClocks(), NO_CLOCK_READING
    )
    process.preallocating = preallocating
    budget = AccountBudget("a", process, lambda: None, lambda: 10.0)
    budget.set_prepaid(1000)
    budget.apply_ledger(ledger)
    return budget


class TestUnusedAccount:
    @pytest.mark.parametrize("ledger", LEDGERS.values(), ids=LEDGERS.keys())
    async def test_full_check_finds_nothing_due(self, autojump_clock, ledger: Ledger) -> None:
        """The shortcut for unused accounts agrees with the full check that it skips."""
        budget = new_budget(0, ledger)
        assert not budget.is_due()
        assert budget._is_unused()
        assert (
            not budget._wants_units()
            and not budget._is_report_due()
            and budget._excess_units() == 0
        )
        assert not budget._returnable(ledger) and not budget._is_shortfall_report_due(
            budget._shortfall()
        )

    async def test_listed_router_preallocates_for_new_callers(self, autojump_clock) -> None:
        assert new_budget(2, LEDGERS["nobody holds any"]).is_due()

    async def test_account_with_a_request_is_in_use(self, autojump_clock) -> None:
        budget = new_budget(0, LEDGERS["others hold some"])
        budget.count_request(100)
        assert not budget._is_unused()

    async def test_account_with_local_units_is_in_use(self, autojump_clock) -> None:
        budget = new_budget(0, LEDGERS["nobody holds any"])
        budget.allocation.granted = 50
        assert budget.is_due()

    async def test_account_with_an_unproved_holding_is_in_use(self, autojump_clock) -> None:
        dead = Holding("i2-1", 300, 20, 2, LIMIT)
        assert not new_budget(0, Ledger(300, 20, {}, {"i2": dead}))._is_unused()
