"""A client account's balance as the log's order decides it. Pure: no I/O, no clock."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = [
    "Balance",
    "Holding",
    "available",
    "bill_late",
    "close_holding",
    "fence_holding",
    "return_units",
    "grant",
    "open_reserve",
    "settle",
    "stranded",
    "waste",
]


@dataclass
class Holding:
    """What one holder has of one budget.

    Attributes
    ----------
    remaining : int
        Units granted, less those billed and returned; open reserves are part of it.
    exposure : int
        Most units the holder may have dispatched without a durable intent.
    reserved : int
        Sum of the reserves of the holder's open intents.
    fenced : bool
        True when the holder may take nothing new.
    """

    remaining: int = 0
    exposure: int = 0
    reserved: int = 0
    fenced: bool = False


@dataclass
class Balance:
    """A budget: what was paid in, billed, used without a bill, and who holds the rest.

    `wasted` counts upstream work whose answer never came; it is not billed to the caller, but it
    was used, so it can't be spent again.
    """

    topped_up: int = 0
    billed: int = 0
    wasted: int = 0
    by_holder: dict[str, Holding] = field(default_factory=dict)
    top_up_ids: dict[str, None] = field(default_factory=dict)


def available(balance: Balance) -> int:
    """Return the units that are neither billed, wasted nor in any hand.

    Examples
    --------
    >>> available(Balance(topped_up=100, billed=30, by_holder={"a": Holding(remaining=20)}))
    50
    """
    held = sum(holding.remaining for holding in balance.by_holder.values())
    return balance.topped_up - balance.billed - balance.wasted - held


def grant(balance: Balance, holder: str, amount: int, exposure: int) -> bool:
    """Move `amount` into the holder's hand if the budget covers it at this point of the log.

    Returns
    -------
    bool
        False, with nothing changed, if the budget is short or the holder is fenced.

    References
    ----------
    P. O'Neil, "The escrow transactional method", ACM TODS 11(4), 1986.

    Examples
    --------
    >>> balance = Balance(topped_up=10)
    >>> grant(balance, "a", 8, 2), grant(balance, "b", 8, 2)
    (True, False)
    """
    if amount > available(balance):
        return False
    holding = balance.by_holder.setdefault(holder, Holding())
    if holding.fenced:
        return False
    holding.remaining += amount
    holding.exposure = max(holding.exposure, exposure)
    return True


def return_units(balance: Balance, holder: str, amount: int) -> bool:
    """Return unreserved units to the budget; False if the holder has not that many.

    A fence has already given back what its holder returned meanwhile, so a late return of a
    fenced holder is refused: taking it would free what is withheld.
    """
    holding = balance.by_holder.get(holder)
    if holding is None or holding.fenced:
        return False
    if amount > holding.remaining - holding.reserved:
        return False
    holding.remaining -= amount
    return True


def open_reserve(balance: Balance, holder: str, amount: int) -> bool:
    """Reserve units of a holding for a request; False if the holding can't cover it."""
    holding = balance.by_holder.get(holder)
    if holding is None or holding.reserved + amount > holding.remaining:
        return False
    holding.reserved += amount
    return True


def settle(balance: Balance, holder: str, reserve: int, cost: int, wasted: int = 0) -> int:
    """Bill `cost` and count `wasted` (together at most `reserve`), and end that reserve.

    Returns
    -------
    int
        The units billed.

    Examples
    --------
    >>> balance = Balance(topped_up=10)
    >>> grant(balance, "a", 8, 0) and open_reserve(balance, "a", 5)
    True
    >>> settle(balance, "a", 5, 3), balance.by_holder["a"].remaining
    (3, 5)
    """
    holding = balance.by_holder[holder]
    billed = min(cost, reserve)
    lost = min(wasted, reserve - billed)
    holding.reserved -= reserve
    holding.remaining -= billed + lost
    balance.billed += billed
    balance.wasted += lost
    return billed


def bill_late(balance: Balance, holder: str, cost: int) -> int:
    """Bill from the unreserved part of a holding; return the units it had to give."""
    billed = _take_unreserved(balance, holder, cost)
    balance.billed += billed
    return billed


def waste(balance: Balance, holder: str, amount: int) -> int:
    """Count units of a holding as used without a bill; return how many it had to give."""
    lost = _take_unreserved(balance, holder, amount)
    balance.wasted += lost
    return lost


def _take_unreserved(balance: Balance, holder: str, most: int) -> int:
    holding = balance.by_holder.get(holder)
    if holding is None:
        return 0
    taken = min(most, holding.remaining - holding.reserved)
    holding.remaining -= taken
    return taken


def fence_holding(balance: Balance, holder: str) -> int:
    """End a holding, keeping back all that its holder may still spend.

    A fenced holder may have dispatched its open intents and, beyond those, at most its exposure.
    Both are withheld; the rest goes back to the budget. This needs no clock: a holder that wakes
    after any pause can have spent no more than what is withheld.

    Returns
    -------
    int
        The units given back to the budget.

    Examples
    --------
    >>> balance = Balance(topped_up=100)
    >>> grant(balance, "a", 50, 10) and open_reserve(balance, "a", 5)
    True
    >>> fence_holding(balance, "a"), available(balance)
    (35, 85)
    """
    holding = balance.by_holder.get(holder)
    if holding is None or holding.fenced:
        return 0
    withheld = min(holding.remaining, holding.reserved + holding.exposure)
    freed = holding.remaining - withheld
    holding.remaining = withheld
    holding.fenced = True
    return freed


def close_holding(balance: Balance, holder: str) -> int:
    """Remove a holding and return the units that go back to the budget.

    Units reserved for open intents stay with the holding until those are settled.
    """
    holding = balance.by_holder.get(holder)
    if holding is None:
        return 0
    freed = holding.remaining - holding.reserved
    holding.remaining = holding.reserved
    holding.exposure = 0
    holding.fenced = True
    if holding.remaining == 0:
        del balance.by_holder[holder]
    return freed


def _fenced_holdings(balance: Balance) -> Iterator[Holding]:
    return (holding for holding in balance.by_holder.values() if holding.fenced)


def stranded(balance: Balance) -> int:
    """Return the units withheld for fenced holders."""
    return sum(holding.remaining for holding in _fenced_holdings(balance))
