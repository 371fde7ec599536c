"""The interface through which an account's budget uses units that other routers lend. No I/O."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from railtide.budgets.allocation import Allocation

__all__ = ["AccountLoans", "Loans", "NoLoans", "UnitNeeds"]


@dataclass(frozen=True)
class UnitNeeds:
    """What an account's requests need at this router.

    Attributes
    ----------
    available : int
        Granted units that may be reserved now.
    waiting : tuple of int
        Units of each request that waits.
    typical : float
        Average request size, units.
    prepaid : int
        The budget in force, units; 0 if there is none.
    """

    available: int
    waiting: tuple[int, ...]
    typical: float
    prepaid: int


class AccountLoans(ABC):
    """Units of one account that other routers have lent to this one.

    Attributes
    ----------
    allocation : Allocation
        The lent units; written to no ledger.
    """

    allocation: Allocation

    @property
    @abstractmethod
    def is_borrowing(self) -> bool:
        """True while units come from other routers, so that none are asked of the ledger."""

    @property
    @abstractmethod
    def expected_at(self) -> float | None:
        """The Trio time at which a requested loan is expected, or None if there is none."""

    @abstractmethod
    def try_reserve(self, amount: int) -> bool:
        """Reserve lent units if there are enough."""

    @abstractmethod
    def note_request(self, amount: int) -> None:
        """Note a request of this size, and ask for a loan if the units left are few."""

    @abstractmethod
    def note_spent(self) -> None:
        """End the loans that are used up now."""

    @abstractmethod
    def give_back(self) -> None:
        """End all loans, for example since the budget was lowered."""


class Loans(ABC):
    """Makes the loans of each account."""

    @abstractmethod
    def of_account(
        self, account: str, needs: Callable[[], UnitNeeds], wake: Callable[[], None]
    ) -> AccountLoans:
        """Return an account's loans.

        Parameters
        ----------
        account : str
        needs : callable
            Returns what the account's requests need now.
        wake : callable
            Makes the waiting requests try to reserve again.
        """


class _NoAccountLoans(AccountLoans):
    def __init__(self) -> None:
        self.allocation = Allocation()

    @property
    def is_borrowing(self) -> bool:
        """False."""
        return False

    @property
    def expected_at(self) -> None:
        """None."""
        return None

    def try_reserve(self, amount: int) -> bool:
        """Return False."""
        return False

    def note_request(self, amount: int) -> None:
        """Do nothing."""

    def note_spent(self) -> None:
        """Do nothing."""

    def give_back(self) -> None:
        """Do nothing."""


class NoLoans(Loans):
    """No loans: for a router that does not borrow."""

    def of_account(
        self, account: str, needs: Callable[[], UnitNeeds], wake: Callable[[], None]
    ) -> AccountLoans:
        """Return loans that never come."""
        return _NoAccountLoans()
