"""Tests of loans between routers: callers are served, and each failure of a loan."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from railtide.loans.tests.lending_fleet import LendingFleet, Router


@asynccontextmanager
async def open_fleet(prepaid: int = 100_000) -> AsyncIterator[LendingFleet]:
    async with trio.open_nursery() as nursery:
        yield LendingFleet(nursery, prepaid)
        nursery.cancel_scope.cancel()


async def send(
    router: Router, per_s: float, for_s: float, amount: int = 40, used: int = 25
) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(round(per_s * for_s)):
            nursery.start_soon(router.request, amount, used, 0.3)
            await trio.sleep(1 / per_s)


class TestLoad:
    async def test_account_is_served_where_compare_and_swap_always_loses(
        self, autojump_clock
    ) -> None:
        """Guards against a router that gets no units after its first second."""
        async with open_fleet() as fleet:
            lenders = [fleet.add(name) for name in ("l1", "l2", "l3")]
            borrower = fleet.add("b", lends=False, loses=True)
            await trio.sleep(3)
            await send(borrower, per_s=90, for_s=10)
            assert borrower.refused <= 9
            assert borrower.spent >= 890 * 25
            await trio.sleep(8)
            assert sum(lender.lender.open_units for lender in lenders) == 0
            assert sum(each.budget.allocation.spent for each in lenders) == borrower.spent
