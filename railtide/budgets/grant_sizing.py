"""How much budget a router asks for, and how much it gives back. Pure."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = [
    "AdaptiveSizing",
    "Demand",
    "EqualShares",
    "FixedSizing",
    "GrantSizing",
    "exposure_of",
    "low_water",
]

NEAR_END_SHARE = 2
LOW_WATER_SHARE = 2
PERCENT = 100


@dataclass(frozen=True)
class Demand:
    """What a grant is sized on.

    Attributes
    ----------
    need : int
        Units that the waiting request needs beyond those available.
    rate : float
        Units reserved a second, lately.
    left : int or None
        Units left in the budget when last heard, if ever.
    holders : int
        Routers that callers of this account are sent to.
    """

    need: int
    rate: float
    left: int | None
    holders: int


class GrantSizing(ABC):
    """A policy for the size of grants.

    `returns_idle` says whether what traffic does not need goes back to the budget.
    """

    returns_idle = True

    @abstractmethod
    def size(self, demand: Demand) -> int:
        """Return the units to ask for, at least the need."""


class AdaptiveSizing(GrantSizing):
    """A horizon's worth of traffic, but near the end a share of what is left.

    Parameters
    ----------
    horizon_s : float
    minimum : int

    Examples
    --------
    >>> AdaptiveSizing(20, 10).size(Demand(need=5, rate=4.0, left=1000, holders=2))
    80
    >>> AdaptiveSizing(20, 10).size(Demand(need=5, rate=4.0, left=40, holders=2))
    10
    """

    def __init__(self, horizon_s: float, minimum: int) -> None:
        self._horizon_s = horizon_s
        self._minimum = minimum

    def size(self, demand: Demand) -> int:
        """Return the units to ask for; see `GrantSizing.size`."""
        wanted = max(demand.need, self._minimum, round(demand.rate * self._horizon_s))
        if demand.left is None:
            return wanted
        share = demand.left // (NEAR_END_SHARE * max(1, demand.holders))
        return max(demand.need, min(wanted, share))


class FixedSizing(GrantSizing):
    """Always the same size; for comparison."""

    def __init__(self, amount: int) -> None:
        self._amount = amount

    def size(self, demand: Demand) -> int:
        """Return the units to ask for; see `GrantSizing.size`."""
        return max(demand.need, self._amount)


class EqualShares(GrantSizing):
    """The whole of this router's equal share at once, and never more; for comparison."""

    returns_idle = False

    def __init__(self, share: int) -> None:
        self._left = share

    def size(self, demand: Demand) -> int:
        """Return the share the first time, 0 afterwards."""
        share, self._left = self._left, 0
        return share


def exposure_of(amount: int, percent: int) -> int:
    """Return the exposure of a grant, rounded down.

    Examples
    --------
    >>> exposure_of(80, 50)
    40
    """
    return amount * percent // PERCENT


def low_water(rate: float, horizon_s: float) -> int:
    """Return the units in hand below which a router asks for more ahead of need."""
    return round(rate * horizon_s / LOW_WATER_SHARE)
