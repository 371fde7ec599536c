"""Where requests get their budget from: the interface of all budget sources."""

from abc import ABC, abstractmethod

from railtide.configuration.models import AccountSettings

__all__ = ["BudgetSource", "BudgetReservation"]


class BudgetReservation(ABC):
    """Units kept back for one request until it is settled.

    Attributes
    ----------
    amount : int
        The request's greatest cost, units.
    """

    amount: int

    @abstractmethod
    def settle(self, used: int) -> int:
        """End the reservation at what was used; return the units spent. Only the first counts."""


class BudgetSource(ABC):
    """Hands out reservations."""

    @abstractmethod
    async def reserve(
        self, account: str, settings: AccountSettings, amount: int, deadline: float
    ) -> BudgetReservation:
        """Return a reservation.

        Parameters
        ----------
        account : str
        settings : AccountSettings
        amount : int
            The request's greatest cost, units.
        deadline : float
            Trio time after which the request is of no use.

        Raises
        ------
        BudgetExhausted
            The budget does not cover it.
        BudgetUnavailable
            That can't be told in time.
        """
