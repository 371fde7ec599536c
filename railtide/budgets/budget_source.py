"""The interface through which requests reserve and settle budget."""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from railtide.budgets.unit_queue import Priority
from railtide.configuration.models import AccountSettings

__all__ = ["NO_TERMS", "BudgetSource", "BudgetReservation", "ReservationTerms"]


@dataclass(frozen=True)
class ReservationTerms:
    """What decides on the order of requests that lack units, and for how long one waits.

    Attributes
    ----------
    priority : Priority
        Lane and rank; the lowest goes first.
    start_by : float
        Latest trio time at which it can start and usually still meet its goal; infinite without a
        goal.
    content : str
        Digest by which a returning caller is recognised; empty if it isn't tracked.
    """

    priority: Priority = (0, 0)
    start_by: float = math.inf
    content: str = ""


NO_TERMS = ReservationTerms()


class BudgetReservation(ABC):
    """Units reserved for one request until it is settled.

    Attributes
    ----------
    amount : int
        The request's maximum cost, units.
    waited_s : float
        Seconds that it waited for units beyond the wait that every account's settings allow; they
        count towards its goal.
    """

    amount: int
    waited_s: float = 0.0

    @abstractmethod
    def settle(self, used: int) -> int:
        """End the reservation with the units used; return the units spent.

        Only the first call has an effect; later ones return 0.
        """


class BudgetSource(ABC):
    """Reserves units of client accounts' prepaid budgets."""

    @abstractmethod
    async def reserve(
        self,
        account: str,
        settings: AccountSettings,
        amount: int,
        deadline: float,
        terms: ReservationTerms = NO_TERMS,
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
        terms : ReservationTerms, optional
            A source that serves requests in the order of their arrival ignores them.

        Raises
        ------
        BudgetExhausted
            The budget does not cover the amount.
        BudgetUnavailable
            Not enough units could be allocated in time.
        """
