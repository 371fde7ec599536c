"""Shortfalls: units of a budget that a process lacks and that others return for it. Pure.

A request whose maximum cost is neither allocated here nor left in the ledger is refused, though
units may be idle at other routers. The router that refused it reports the shortfall in its holding.
Routers that read it return the units that their own near-term traffic does not need, and no refill
ahead of need takes these, so they are in the ledger when the caller retries at any router.

Units reserved by open requests are never returned, and a shortfall permits no spending: returned
units leave the allocation before the return is written, and only a grant brings them back.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "Shortfall",
    "PeerShortfalls",
    "OwnShortfalls",
    "prior_shortfalls",
    "forget_refused",
    "is_renewal_due",
    "note_refused",
    "update_seen",
    "near_term_units",
    "spare_units",
    "units_for_callers",
    "units_refused",
    "units_to_return",
]

RENEWAL_INTERVAL_S = 0.5
"""Seconds between two reports of a shortfall; an allocation with traffic reports as often."""

SHORTFALL_TTL_S = 1.5
"""Seconds after which a shortfall that was not renewed is ignored: three renewals. Bounds how long
one of a dead process delays refills, without comparing clocks of machines."""

NEAR_TERM_S = 1.0
"""Seconds of its own traffic that a router keeps when others lack units: about the time to get
units back if it returned too many."""

IDLE_GAP_FACTOR = 3.0
"""An account counts as idle after this many mean gaps without a request: with random arrivals one
gap in twenty is as long."""

GROWTH_FACTOR = 2.0
"""A shortfall that grew by this factor is reported at once, any other growth at the next renewal;
otherwise each refusal would cost a write."""


class Shortfall(msgspec.Struct, array_like=True, frozen=True):
    """The units that a process lacks.

    Attributes
    ----------
    units : int
        Units beyond its allocation.
    count : int
        Raised with each report; an unchanged count shows that the process has stopped renewing.
    """

    units: int
    count: int


@dataclass
class OwnShortfalls:
    """The refused requests of this process whose callers are expected to retry.

    Attributes
    ----------
    refused : list of tuple of (float, int)
        Until when a retry is expected, and the units of the request.
    """

    refused: list[tuple[float, int]] = field(default_factory=list)


@dataclass
class PeerShortfalls:
    """The shortfalls reported by other processes.

    Attributes
    ----------
    by_incarnation : dict of str to tuple of (Shortfall, float)
        Each shortfall, and when it was first read with its count, by the reader's clock.
    """

    by_incarnation: dict[str, tuple[Shortfall, float]] = field(default_factory=dict)


def note_refused(own: OwnShortfalls, amount: int, until: float) -> None:
    """Record a refused request whose caller was told to retry; one per size is kept.

    Examples
    --------
    >>> own = OwnShortfalls()
    >>> note_refused(own, 30, until=1.0)
    >>> note_refused(own, 30, until=2.0)
    >>> own.refused
    [(2.0, 30)]
    """
    forget_refused(own, amount)
    own.refused.append((until, amount))


def forget_refused(own: OwnShortfalls, amount: int) -> None:
    """Forget a refused request of this size, if there is one, as one was served."""
    for entry in own.refused:
        if entry[1] == amount:
            own.refused.remove(entry)
            return


def units_refused(own: OwnShortfalls, now: float) -> list[int]:
    """Return the units of each refused request whose retry is still expected.

    Examples
    --------
    >>> units_refused(OwnShortfalls([(1.0, 30), (2.0, 40)]), now=1.5)
    [40]
    """
    own.refused = [entry for entry in own.refused if entry[0] > now]
    return [amount for _, amount in own.refused]


def update_seen(
    seen: PeerShortfalls, shortfall_by_incarnation: Mapping[str, Shortfall], now: float
) -> None:
    """Update the shortfalls of other processes, as read from the ledger now."""
    known = seen.by_incarnation
    seen.by_incarnation = {
        incarnation: (
            known[incarnation] if _is_known(known, incarnation, shortfall) else (shortfall, now)
        )
        for incarnation, shortfall in shortfall_by_incarnation.items()
    }


def _is_known(
    known: Mapping[str, tuple[Shortfall, float]], incarnation: str, shortfall: Shortfall
) -> bool:
    return incarnation in known and known[incarnation][0].count == shortfall.count


def prior_shortfalls(seen: PeerShortfalls, now: float, own: tuple[int, str] | None = None) -> int:
    """Return the units that other processes lack with priority over this process.

    The smallest shortfall has priority, as it is the likeliest to be covered; ties are broken by
    incarnation. So all processes decide alike and no two wait for each other.

    Parameters
    ----------
    seen : PeerShortfalls
    now : float
    own : tuple of (int, str), optional
        The units that this process lacks, and its incarnation.

    Examples
    --------
    >>> seen = PeerShortfalls({"b": (Shortfall(50, count=1), 0.0)})
    >>> prior_shortfalls(seen, now=1.0), prior_shortfalls(seen, now=1.0, own=(40, "a"))
    (50, 0)
    >>> prior_shortfalls(seen, now=2.0)
    0
    """
    total = 0
    for incarnation, (shortfall, since) in seen.by_incarnation.items():
        is_first = own is None or (shortfall.units, incarnation) < own
        if is_first and now - since <= SHORTFALL_TTL_S:
            total += shortfall.units
    return total


def units_for_callers(available: int, amounts: Iterable[int]) -> int:
    """Return the available units that local waiting requests can use, smallest first.

    Examples
    --------
    >>> units_for_callers(100, [90, 20, 30])
    50
    """
    used = 0
    for amount in sorted(amounts):
        if used + amount > available:
            break
        used += amount
    return used


def near_term_units(rate: float, typical: float, idle_s: float) -> int:
    """Return the units that local traffic is likely to need in the near term.

    Parameters
    ----------
    rate : float
        Rate as of the latest request, units a second.
    typical : float
        Average request size, units.
    idle_s : float
        Seconds since the latest request.

    Examples
    --------
    >>> near_term_units(rate=30.0, typical=10.0, idle_s=0.5)
    30
    >>> near_term_units(rate=30.0, typical=10.0, idle_s=2.0)
    0
    """
    is_idle = idle_s * rate > IDLE_GAP_FACTOR * typical
    return 0 if is_idle else round(rate * NEAR_TERM_S)


def spare_units(available: int, typical: float, near_term: int, for_callers: int) -> int:
    """Return the available units that neither waiting callers nor near-term traffic need.

    An allocation smaller than a typical request is of no use to that traffic.

    Examples
    --------
    >>> spare_units(100, typical=10.0, near_term=30, for_callers=0)
    70
    >>> spare_units(100, typical=10.0, near_term=30, for_callers=90)
    10
    >>> spare_units(100, typical=200.0, near_term=30, for_callers=0)
    100
    """
    kept = near_term if available >= typical else 0
    return max(0, available - max(kept, for_callers))


def units_to_return(shortfall: int, ungranted: int, spare: int) -> int:
    """Return the units to return: what others lack beyond what is left to be granted.

    Ledgers are changed one after another, so each return lowers what the next has to return.

    Examples
    --------
    >>> units_to_return(shortfall=80, ungranted=30, spare=100)
    50
    """
    return max(0, min(spare, shortfall - max(0, ungranted)))


def is_renewal_due(written: Shortfall | None, shortfall: int, age_s: float) -> bool:
    """Return whether the local shortfall should be reported now.

    Examples
    --------
    >>> is_renewal_due(Shortfall(30, count=1), shortfall=40, age_s=0.2)
    False
    >>> is_renewal_due(Shortfall(30, count=1), shortfall=60, age_s=0.2)
    True
    """
    if not shortfall:
        return False
    return (
        written is None or age_s >= RENEWAL_INTERVAL_S or shortfall >= GROWTH_FACTOR * written.units
    )
