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
        Oldest first. The allocation has all of their units, and those of ended loans that were
        reserved when they were reported as used.

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
        self._paid = 0

    def add(self, loan: HeldLoan) -> None:
        """Make the units of a loan available."""
        self.allocation.granted += loan.units
        self.loans.append(loan)

    def end_used_up(self) -> list[EndedLoan]:
        """End the oldest loans that the units spent cover."""
        self._drop_paid()
        ended: list[EndedLoan] = []
        while self.loans and self.allocation.spent >= self.loans[0].units:
            loan = self.loans.pop(0)
            self._remove(loan, used=loan.units)
            ended.append(EndedLoan(loan, 0))
        return ended

    def end_unused(self, keep: int) -> list[EndedLoan]:
        """End the newest loans, as far as `keep` units stay available.

        With 0, all loans end. Units that requests have reserved are reported as used. They stay in
        the allocation, as what such a request leaves of its reserve is paid for.
        """
        self._drop_paid()
        allocation = self.allocation
        ended: list[EndedLoan] = []
        while self.loans:
            loan = self.loans[-1]
            unused = max(0, min(loan.units, allocation.available - keep))
            used = loan.units - unused
            in_use = allocation.spent + max(0, allocation.reserved - self._paid)
            if used > in_use or (keep and not unused):
                break
            self.loans.pop()
            self._remove(loan, used)
            ended.append(EndedLoan(loan, unused))
        return ended

    def _remove(self, loan: HeldLoan, used: int) -> None:
        """Take a loan out of the allocation, except for the reserved part of what was used."""
        spent = min(used, self.allocation.spent)
        self.allocation.spent -= spent
        self.allocation.granted -= loan.units - (used - spent)
        self._paid += used - spent

    def _drop_paid(self) -> None:
        """Take those units out of the allocation that are paid for and spent by now."""
        part = min(self._paid, self.allocation.spent)
        self._paid -= part
        self.allocation.spent -= part
        self.allocation.granted -= part
