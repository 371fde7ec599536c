"""The interface through which requests reserve and settle budget."""

from abc import ABC, abstractmethod

from railtide.configuration.models import AccountSettings

__all__ = ["BudgetSource", "BudgetReservation"]


class BudgetReservation(ABC):
    """Units reserved for one request until it is settled.

    Attributes
    ----------
    amount : int
        The request's maximum cost, units.
    """

    amount: int

    @abstractmethod
    def settle(self, used: int) -> int:
        """End the reservation with the units used; return the units spent.

        Only the first call has an effect; later ones return 0.
        """


class BudgetSource(ABC):
    """Reserves units of client accounts' prepaid budgets."""

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
            The request's maximum cost, units.
        deadline : float
            Trio time after which the caller no longer needs an answer.

        Raises
        ------
        BudgetExhausted
            The budget does not cover the amount.
        BudgetUnavailable
            Not enough units could be allocated in time.
        """
