"""The units of one budget that are allocated to a router. Pure: no I/O, no clock.

`available` shrinks when a request reserves units and grows when it settles below its reserve.
`exposed` counts the reserves dispatched without a durable intent.
"""

from dataclasses import dataclass

__all__ = [
    "Allocation",
    "can_expose",
    "expose",
    "reserve",
    "settle_reserve",
    "take_back",
    "unexpose",
]


@dataclass
class Allocation:
    """Units granted to a router, and how many of them are spent, reserved and exposed."""

    granted: int = 0
    spent: int = 0
    reserved: int = 0
    exposed: int = 0
    exposure_limit: int = 0

    @property
    def available(self) -> int:
        """Units that a new request may reserve."""
        return self.granted - self.spent - self.reserved


def reserve(allocation: Allocation, amount: int) -> bool:
    """Reserve units; return False, with nothing changed, if too few are available.

    Examples
    --------
    >>> allocation = Allocation(granted=10)
    >>> reserve(allocation, 8), reserve(allocation, 8)
    (True, False)
    """
    if amount > allocation.available:
        return False
    allocation.reserved += amount
    return True


def settle_reserve(allocation: Allocation, amount: int, used: int) -> int:
    """End a reserve of `amount` with the units used, capped at it; return the units spent."""
    spent = min(used, amount)
    allocation.reserved -= amount
    allocation.spent += spent
    return spent


def take_back(allocation: Allocation, maximum: int) -> int:
    """Remove up to `maximum` available units, to return them to the budget; return how many."""
    amount = max(0, min(maximum, allocation.available))
    allocation.granted -= amount
    return amount


def can_expose(allocation: Allocation, amount: int) -> bool:
    """Return whether another `amount` may be dispatched before its intent is durable."""
    return allocation.exposed + amount <= allocation.exposure_limit


def expose(allocation: Allocation, amount: int) -> None:
    """Count units as dispatched without a durable intent."""
    allocation.exposed += amount


def unexpose(allocation: Allocation, amount: int) -> None:
    """Count units as covered by a durable intent."""
    allocation.exposed -= amount
