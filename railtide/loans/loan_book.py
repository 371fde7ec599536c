"""A lender's record of the loans it made: each is answered once and settled once. Pure."""

from collections import OrderedDict
from dataclasses import dataclass, field

from railtide.budgets.budget_source import BudgetReservation
from railtide.loans.errors import LoanOutdated

__all__ = ["MAX_BORROWERS", "MAX_LOANS", "LentLoan", "LoanBook"]

MAX_BORROWERS = 256
"""Borrowers remembered. Beyond it, the loans of the one that asked the longest ago are settled."""
MAX_LOANS = 128
"""Loans remembered of one borrower, open or ended. A borrower has a few dozen loans open at most,
and repeats a message for some seconds."""
UNREPORTED_S = 60.0
"""Time after which a loan without a report counts as spent. Longer than a borrower holds a loan
and repeats its report; the longest requests take 15 s."""


@dataclass(eq=False)
class LentLoan:
    """One loan.

    Attributes
    ----------
    units : int
        Units lent; 0 for a request that got none.
    lent_at : float
    reservation : BudgetReservation or None
        Holds the units at the lender; None once settled.
    """

    units: int
    lent_at: float
    reservation: BudgetReservation | None


@dataclass(eq=False)
class _Borrower:
    incarnation: str
    forgotten_number: int = 0
    loan_by_number: OrderedDict[int, LentLoan] = field(default_factory=OrderedDict)


class LoanBook:
    """The loans of one lender.

    Attributes
    ----------
    open_units : int
        Units lent and not settled.
    unreported_units : int
        Units of loans that counted as spent for want of a report.
    """

    def __init__(self) -> None:
        self.open_units = 0
        self.unreported_units = 0
        self._borrower_by_name: OrderedDict[str, _Borrower] = OrderedDict()

    @property
    def open_loans(self) -> int:
        """The number of loans that are not settled."""
        return sum(
            loan.reservation is not None
            for borrower in self._borrower_by_name.values()
            for loan in borrower.loan_by_number.values()
        )

    def units_of(self, name: str, incarnation: str, number: int) -> int | None:
        """Return the units that a request got, or None if it is new.

        Raises
        ------
        LoanOutdated
            The number may have been answered and forgotten.
        """
        borrower = self._borrower(name, incarnation)
        loan = borrower.loan_by_number.get(number)
        if loan is not None:
            return loan.units
        if number <= borrower.forgotten_number:
            raise LoanOutdated(f"loan {number} is older than those remembered")
        return None

    def add(
        self,
        name: str,
        incarnation: str,
        number: int,
        reservation: BudgetReservation | None,
        now: float,
    ) -> None:
        """Record the answer to a new request; no reservation stands for 0 units."""
        units = reservation.amount if reservation else 0
        borrower = self._borrower(name, incarnation)
        borrower.loan_by_number[number] = LentLoan(units, now, reservation)
        self.open_units += units
        if len(borrower.loan_by_number) > MAX_LOANS:
            self._forget_one_of(borrower)

    def _forget_one_of(self, borrower: _Borrower) -> None:
        """Forget the oldest loan that has ended, or the oldest of all if none has."""
        loans = borrower.loan_by_number
        ended = (number for number, loan in loans.items() if loan.reservation is None)
        number = next(ended, next(iter(loans)))
        borrower.forgotten_number = max(borrower.forgotten_number, number)
        self._settle_unreported(loans.pop(number))

    def end(self, name: str, incarnation: str, number: int, unused: int, now: float) -> int:
        """Settle a loan by its borrower's report; return the units that came back.

        A loan that ended before stays as it is. The number of an unknown loan is recorded, so that
        a late request with it, which its borrower has given up, gets no units.
        """
        borrower = self._borrower(name, incarnation)
        loan = borrower.loan_by_number.get(number)
        if loan is None:
            if number > borrower.forgotten_number:
                self.add(name, incarnation, number, None, now)
            return 0
        if loan.reservation is None:
            return 0
        returned = min(unused, loan.units)
        self._settle(loan, loan.units - returned)
        return returned

    def end_unreported(self, now: float) -> None:
        """Settle the loans that were not reported in time."""
        for borrower in self._borrower_by_name.values():
            for loan in borrower.loan_by_number.values():
                if now - loan.lent_at >= UNREPORTED_S:
                    self._settle_unreported(loan)

    def end_all(self) -> None:
        """Settle all loans as spent, as this lender shuts down."""
        for borrower in self._borrower_by_name.values():
            self._end_all_of(borrower)

    def _borrower(self, name: str, incarnation: str) -> _Borrower:
        """Return the record of a borrowing process.

        The loans of a former process of the same instance count as spent: it has died or will not
        report to this lender any more.
        """
        borrower = self._borrower_by_name.get(name)
        if borrower is None or borrower.incarnation != incarnation:
            if borrower is not None:
                self._end_all_of(borrower)
            borrower = self._borrower_by_name[name] = _Borrower(incarnation)
        self._borrower_by_name.move_to_end(name)
        while len(self._borrower_by_name) > MAX_BORROWERS:
            _, oldest = self._borrower_by_name.popitem(last=False)
            self._end_all_of(oldest)
        return borrower

    def _end_all_of(self, borrower: _Borrower) -> None:
        for loan in borrower.loan_by_number.values():
            self._settle_unreported(loan)

    def _settle_unreported(self, loan: LentLoan) -> None:
        if loan.reservation is not None:
            self._settle(loan, loan.units)
            self.unreported_units += loan.units

    def _settle(self, loan: LentLoan, used: int) -> None:
        reservation, loan.reservation = loan.reservation, None
        reservation.settle(used)
        self.open_units -= loan.units
