"""Tests of loans when the budget of their account is lowered."""

import trio

from railtide.loans.tests.lending_fleet import ACCOUNT, LendingFleet


class TestLowerBudget:
    async def test_units_returned_to_a_lender_are_not_spent_above_the_lower_budget(
        self, autojump_clock
    ) -> None:
        """Guards against a lender that spends what a borrower returned after the budget fell."""
        async with trio.open_nursery() as nursery:
            fleet = LendingFleet(nursery, 4_000)
            lender, borrower = fleet.add("l1"), fleet.add("b1", lends=False, loses=True)
            await trio.sleep(1)
            for _ in range(100):
                await borrower.request(20, 20)
                await trio.sleep(0.02)
            assert lender.lender.open_units > 500
            prepaid = borrower.spent + 100
            for router in (lender, borrower):
                router.source.set_prepaid({ACCOUNT: prepaid})
            await trio.sleep(0.05)
            assert lender.lender.open_units == 0
            for _ in range(200):
                await lender.request(20, 20)
            assert borrower.spent + lender.spent <= prepaid
            nursery.cancel_scope.cancel()
