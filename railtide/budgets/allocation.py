"""The part of one budget that a router has in hand. Pure.

`available` shrinks when a request is reserved and grows when it is settled below its reserve.
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
    """Units granted and what became of them."""

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
    """Reserve units; False if not so many are available.

    Examples
    --------
    >>> hand = Allocation(granted=10)
    >>> reserve(hand, 8), reserve(hand, 8)
    (True, False)
    """
    if amount > allocation.available:
        return False
    allocation.reserved += amount
    return True


def settle_reserve(allocation: Allocation, amount: int, used: int) -> int:
    """End a reserve at what was used, at most the reserve; return the units spent."""
    spent = min(used, amount)
    allocation.reserved -= amount
    allocation.spent += spent
    return spent


def take_back(allocation: Allocation, most: int) -> int:
    """Remove up to `most` available units from the hand, for a return; return how many."""
    amount = max(0, min(most, allocation.available))
    allocation.granted -= amount
    return amount


def can_expose(allocation: Allocation, amount: int) -> bool:
    """Return whether so much more may be dispatched before its intent is durable."""
    return allocation.exposed + amount <= allocation.exposure_limit


def expose(allocation: Allocation, amount: int) -> None:
    """Count units as dispatched without a durable intent."""
    allocation.exposed += amount


def unexpose(allocation: Allocation, amount: int) -> None:
    """Count units as covered by a durable intent."""
    allocation.exposed -= amount
