"""Policies for the size of the grants that a router asks for from the log. Pure."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = [
    "AdaptiveSizing",
    "Demand",
    "EqualShares",
    "FixedSizing",
    "GrantSizing",
    "exposure_of",
    "low_watermark",
]

NEAR_END_DIVISOR = 2
"""Near the end of a budget a grant is a router's equal share of the rest divided by this."""
LOW_WATERMARK_DIVISOR = 2
"""The low watermark is a horizon's worth of traffic divided by this."""
PERCENT = 100


@dataclass(frozen=True)
class Demand:
    """The inputs of a grant's size.

    Attributes
    ----------
    need : int
        Units that the waiting request needs beyond those available.
    rate : float
        Recent rate of reserved units, units a second.
    left : int or None
        Units left in the budget as of the last verdict; None before the first.
    holders : int
        Routers that callers of this account are sent to.
    """

    need: int
    rate: float
    left: int | None
    holders: int


class GrantSizing(ABC):
    """A policy for the size of grants.

    `returns_idle` tells whether units that traffic does not need are returned to the budget.
    """

    returns_idle = True

    @abstractmethod
    def size(self, demand: Demand) -> int:
        """Return the units to ask for."""


class AdaptiveSizing(GrantSizing):
    """Grants of a horizon's worth of traffic, or a share of the rest near the end of a budget.

    Parameters
    ----------
    horizon_s : float
        Seconds of traffic that a grant covers.
    minimum : int
        Minimum size while the budget lasts, units.

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
        share = demand.left // (NEAR_END_DIVISOR * max(1, demand.holders))
        return max(demand.need, min(wanted, share))


class FixedSizing(GrantSizing):
    """Grants of a fixed size, as a baseline for comparison."""

    def __init__(self, amount: int) -> None:
        self._amount = amount

    def size(self, demand: Demand) -> int:
        """Return the units to ask for; see `GrantSizing.size`."""
        return max(demand.need, self._amount)


class EqualShares(GrantSizing):
    """One grant of this router's equal share and none later, as a baseline for comparison."""

    returns_idle = False

    def __init__(self, share: int) -> None:
        self._left = share

    def size(self, demand: Demand) -> int:
        """Return the share the first time, 0 afterwards."""
        share, self._left = self._left, 0
        return share


def exposure_of(amount: int, percent: int) -> int:
    """Return the exposure limit of a grant, rounded down.

    Examples
    --------
    >>> exposure_of(80, 50)
    40
    """
    return amount * percent // PERCENT


def low_watermark(rate: float, horizon_s: float) -> int:
    """Return the available units below which a router asks for more ahead of need."""
    return round(rate * horizon_s / LOW_WATERMARK_DIVISOR)
