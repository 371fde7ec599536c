"""The loans that a borrower holds for one account, in an allocation of their own. Pure.

Units of several loans are interchangeable within the allocation. A loan ends with a report of how
many of its units were not used; these units leave the allocation first.
"""

from dataclasses import dataclass

from railtide.budgets.allocation import Allocation

__all__ = ["EndedLoan", "HeldLoan", "HeldLoans"]


@dataclass(frozen=True)
class HeldLoan:
    """A loan in use: its lender's name and address, its number and its units."""

    lender: str
    address: str
    number: int
    units: int


@dataclass(frozen=True)
class EndedLoan:
    """A loan that is to be reported to its lender, with the units that were not used."""

    loan: HeldLoan
    unused: int


class HeldLoans:
    """The loans held for one account.

    Attributes
    ----------
    allocation : Allocation
    loans : list of HeldLoan
        Oldest first; all of their units are in the allocation.

    Examples
    --------
    >>> held = HeldLoans()
    >>> held.add(HeldLoan("i1", "h:1", 1, 100))
    >>> held.allocation.spent = 30
    >>> [ended.unused for ended in held.end_unused(keep=0)], held.allocation.granted
    ([70], 0)
    """

    def __init__(self) -> None:
        self.allocation = Allocation()
        self.loans: list[HeldLoan] = []

    def add(self, loan: HeldLoan) -> None:
        """Make the units of a loan available."""
        self.allocation.granted += loan.units
        self.loans.append(loan)

    def end_used_up(self) -> list[EndedLoan]:
        """End the oldest loans that the units spent cover."""
        ended: list[EndedLoan] = []
        while self.loans and self.allocation.spent >= self.loans[0].units:
            loan = self.loans.pop(0)
            self._remove(loan, used=loan.units)
            ended.append(EndedLoan(loan, 0))
        return ended

    def end_unused(self, keep: int) -> list[EndedLoan]:
        """End the newest loans, as far as `keep` units stay available and no reserve is touched."""
        ended: list[EndedLoan] = []
        while self.loans:
            loan = self.loans[-1]
            unused = min(loan.units, self.allocation.available - keep)
            used = loan.units - unused
            if unused <= 0 or used > self.allocation.spent:
                break
            self.loans.pop()
            self._remove(loan, used)
            ended.append(EndedLoan(loan, unused))
        return ended

    def end_all(self) -> list[EndedLoan]:
        """End all loans; units that requests have reserved are reported as used.

        They stay in the allocation, as what such a request leaves of its reserve is paid for.
        """
        unused = self.allocation.available
        self.allocation.granted -= unused
        ended: list[EndedLoan] = []
        while self.loans:
            loan = self.loans.pop()
            part = min(loan.units, unused)
            unused -= part
            ended.append(EndedLoan(loan, part))
        return ended

    def _remove(self, loan: HeldLoan, used: int) -> None:
        self.allocation.granted -= loan.units
        self.allocation.spent -= used
