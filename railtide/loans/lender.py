"""The lending side: answers requests for loans from this router's own allocations."""

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from railtide.budgets.budget_source import BudgetReservation
from railtide.loans.errors import LenderLeaving
from railtide.loans.loan_book import MAX_BORROWERS, LoanBook
from railtide.loans.messages import LoanAnswer, LoanRequest, LoanReturn
from railtide.telemetry.counters import Counters

__all__ = ["Lender", "LendUnits"]

LendUnits = Callable[[str, int, int, float], Awaitable[BudgetReservation | None]]
"""Reserves units of an account to lend; see `LedgerBudgetSource.lend`."""
CHECK_INTERVAL_S = 5.0
"""Interval of the checks for loans that are not reported. There are none while nothing is lent."""


class Lender:
    """Lends units to other routers.

    A loan is an open reservation. It is settled by the borrower's report, and as spent without one.

    Parameters
    ----------
    lend : callable
    counters : Counters

    Attributes
    ----------
    leaving : bool
        Set by a shutdown: nothing more is lent.
    """

    def __init__(self, lend: LendUnits, counters: Counters) -> None:
        self.leaving = False
        self._lend = lend
        self._counters = counters
        self._book = LoanBook()
        self._under_way: dict[tuple[str, str, int], trio.Event] = {}
        self._has_lent = trio.Event()
        self._known_borrowers: dict[str, str] = {}
        self._noted_unreported = 0

    @property
    def open_units(self) -> int:
        """Units lent and not settled."""
        return self._book.open_units

    async def run(self) -> None:
        """Count loans as spent that are not reported in time, until cancelled."""
        while True:
            await self._has_lent.wait()
            await trio.sleep(CHECK_INTERVAL_S)
            self._book.end_unreported(trio.current_time())
            self._note_unreported("not-reported")
            if not self._book.open_units:
                self._has_lent = trio.Event()

    async def lend(self, request: LoanRequest) -> LoanAnswer:
        """Return the answer to a request; a repeated request gets the first answer.

        Raises
        ------
        LenderLeaving
            This router is shutting down.
        LoanOutdated
            The request is older than the answers that are remembered.
        """
        key = (request.borrower, request.incarnation, request.number)
        while True:
            units = self._book.units_of(*key)
            self._note_unreported("replaced")
            if units is not None:
                return LoanAnswer(units)
            if self.leaving:
                raise LenderLeaving("this router is leaving")
            if key not in self._under_way:
                return await self._lend_new(key, request)
            await self._under_way[key].wait()

    async def _lend_new(self, key: tuple[str, str, int], request: LoanRequest) -> LoanAnswer:
        done = self._under_way[key] = trio.Event()
        try:
            reservation = await self._lend(
                request.account, request.wanted, request.minimum, request.wait_s
            )
        finally:
            del self._under_way[key]
            done.set()
        if (units := self._book.units_of(*key)) is not None:
            # the borrower has given the request up meanwhile
            if reservation:
                reservation.settle(0)
            return LoanAnswer(units)
        self._book.add(*key, reservation, trio.current_time())
        self._note_unreported("too-many")
        if reservation is None:
            self._counters.add("loans_refused")
            return LoanAnswer(0)
        self._counters.add("loans_lent")
        self._counters.add("loan_units_lent", reservation.amount)
        self._has_lent.set()
        self._log_borrower(request)
        return LoanAnswer(reservation.amount)

    def take_return(self, message: LoanReturn) -> None:
        """Settle a loan by its borrower's report; a repeated report changes nothing."""
        returned = self._book.end(
            message.borrower,
            message.incarnation,
            message.number,
            message.unused,
            trio.current_time(),
        )
        self._counters.add("loan_units_returned", returned)
        self._note_unreported("replaced")

    def end_all(self) -> None:
        """Count all open loans as spent, at the end of a shutdown."""
        self.leaving = True
        self._book.end_all()
        self._note_unreported("leaving")

    def _note_unreported(self, reason: str) -> None:
        """Count and log the units of loans that counted as spent for want of a report."""
        units = self._book.unreported_units - self._noted_unreported
        if units:
            self._noted_unreported += units
            self._counters.add("loan_units_unreported", units)
            logger.bind(units=units, reason=reason).info("loans-unreported")

    def _log_borrower(self, request: LoanRequest) -> None:
        """Log the first loan to a process."""
        if self._known_borrowers.get(request.borrower) != request.incarnation:
            if len(self._known_borrowers) >= MAX_BORROWERS:
                self._known_borrowers.clear()
            self._known_borrowers[request.borrower] = request.incarnation
            logger.bind(borrower=request.borrower, account=request.account).info("lends-units")
