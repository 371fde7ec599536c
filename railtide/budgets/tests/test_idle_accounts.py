"""Tests of accounts at rest: a router that keeps nothing ahead of need does no work for them."""

import pytest

from railtide.budgets.account_budget import AccountBudget
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.ledger import Holding, Ledger
from railtide.budgets.process_context import Holder
from railtide.budgets.shortfalls import Shortfall
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, NoClocks, SpendLimit

LIMIT = SpendLimit(ClockReading("boot", 1.0, 1.0), 1, 1, 1)
LEDGERS = {
    "nobody holds any": Ledger(),
    "others hold some": Ledger(5, 4, {"i2": Holding("i2-1", 300, 20, 2, LIMIT)}),
    "others lack some": Ledger(5, 4, {"i2": Holding("i2-1", 300, 20, 2, LIMIT, Shortfall(80, 1))}),
    "all is spent": Ledger(1000, 900),
}


def new_budget(routers: int, ledger: Ledger, spreading: bool = True) -> AccountBudget:
    holder = Holder("i1", "i1-1", lambda: routers, LedgerOptions(), NoClocks(), NO_CLOCK_READING)
    holder.spreading = spreading
    made = AccountBudget("a", holder, lambda: None, lambda: 10.0)
    made.set_prepaid(1000)
    made.take_ledger(ledger)
    return made


class TestAtRest:
    @pytest.mark.parametrize("ledger", LEDGERS.values(), ids=LEDGERS.keys())
    async def test_nothing_would_be_due(self, autojump_clock, ledger: Ledger) -> None:
        """What is left out is what the whole look would have said."""
        made = new_budget(0, ledger)
        assert not made.is_due()
        assert made._is_at_rest()
        assert not made._is_wanting() and not made._is_report_due() and made._idle() == 0
        assert not made._returnable(ledger) and not made._is_need_due(made._lacking())

    async def test_named_router_keeps_units_for_callers_that_come_anew(
        self, autojump_clock
    ) -> None:
        assert new_budget(2, LEDGERS["nobody holds any"]).is_due()

    async def test_first_request_ends_the_rest(self, autojump_clock) -> None:
        made = new_budget(0, LEDGERS["others hold some"])
        made.note(100)
        assert not made._is_at_rest()

    async def test_units_that_lie_here_end_the_rest(self, autojump_clock) -> None:
        made = new_budget(0, LEDGERS["nobody holds any"])
        made.allocation.granted = 50
        assert made.is_due()

    async def test_dead_process_that_a_peer_may_prove_ends_the_rest(self, autojump_clock) -> None:
        dead = Holding("i2-1", 300, 20, 2, LIMIT)
        assert not new_budget(0, Ledger(300, 20, {}, {"i2": dead}))._is_at_rest()
