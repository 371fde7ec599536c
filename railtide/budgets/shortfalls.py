"""What a process lacks of a budget, told in the ledger, and what others return for it. Pure.

A request whose greatest cost is neither in hand nor left in the ledger is refused, though units may
lie idle in other routers' hands. The router that refused it writes what it lacks into its holding.
Whoever reads that returns what its own traffic of the next moments leaves, and no refill ahead of
need takes it, so the units are in the ledger when the caller comes back, at whichever router.

Units that requests under way have reserved are never returned, and a need lets nobody spend: what
is returned leaves the hand before it is written, and only a grant in the ledger brings it back.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "Shortfall",
    "PeerShortfalls",
    "OwnShortfalls",
    "first_needs",
    "forget_refused",
    "is_renewal_due",
    "note_refused",
    "note_seen",
    "soon_units",
    "spare_units",
    "units_for_callers",
    "units_refused",
    "units_to_return",
]

RENEW_S = 0.5
"""Between two reports of a need, seconds: as often as a hand with traffic reports anyway."""

SILENT_S = 1.5
"""A need that was not renewed for so long, seconds, no longer counts: three renewals. So one of a
dead process holds up refills for no longer, and no clocks are compared."""

SOON_S = 1.0
"""Seconds of its own traffic that a router keeps from what others lack: about as long as units take
to come back to it if it gave too much."""

IDLE_GAPS = 3.0
"""An account that sent nothing for so many of its usual pauses is taken to be idle: of requests at
random one pause in twenty is as long."""

GROWN = 2.0
"""A need that grew by so much is told at once, other growth at the next report, since each refusal
would cost a write."""


class Shortfall(msgspec.Struct, array_like=True, frozen=True):
    """What a process lacks.

    Attributes
    ----------
    units : int
        Beyond what it has in hand.
    count : int
        Raised with each report, so that one of a process that is gone can be told.
    """

    units: int
    count: int


@dataclass
class OwnShortfalls:
    """The requests that this process refused for want of units and whose callers come back.

    Attributes
    ----------
    refused : list of tuple of (float, int)
        Until when a caller is waited for, and the units of its request.
    """

    refused: list[tuple[float, int]] = field(default_factory=list)


@dataclass
class PeerShortfalls:
    """The needs of other processes, as far as they are renewed.

    Attributes
    ----------
    by_incarnation : dict of str to tuple of (Shortfall, float)
        Each need and when it was first read with its count, by the reader's clock.
    """

    by_incarnation: dict[str, tuple[Shortfall, float]] = field(default_factory=dict)


def note_refused(own: OwnShortfalls, amount: int, until: float) -> None:
    """Count a request whose caller was told to come back; a repeat of the same size counts once.

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
    """Drop a refused request of this size, since one was served; there may be none."""
    for entry in own.refused:
        if entry[1] == amount:
            own.refused.remove(entry)
            return


def units_refused(own: OwnShortfalls, now: float) -> list[int]:
    """Return the units of each refused request whose caller is waited for.

    Examples
    --------
    >>> units_refused(OwnShortfalls([(1.0, 30), (2.0, 40)]), now=1.5)
    [40]
    """
    own.refused = [entry for entry in own.refused if entry[0] > now]
    return [amount for _, amount in own.refused]


def note_seen(
    seen: PeerShortfalls, need_by_incarnation: Mapping[str, Shortfall], now: float
) -> None:
    """Take the needs of others as they were read now."""
    known = seen.by_incarnation
    seen.by_incarnation = {
        incarnation: known[incarnation] if _is_known(known, incarnation, need) else (need, now)
        for incarnation, need in need_by_incarnation.items()
    }


def _is_known(
    known: Mapping[str, tuple[Shortfall, float]], incarnation: str, need: Shortfall
) -> bool:
    return incarnation in known and known[incarnation][0].count == need.count


def first_needs(seen: PeerShortfalls, now: float, own: tuple[int, str] | None = None) -> int:
    """Return the units that others lack whose turn is before this process's own need.

    Who lacks least goes first, as it is the likeliest to be served; between equals the incarnation
    decides, so that all processes choose alike and no two wait for each other.

    Parameters
    ----------
    seen : PeerShortfalls
    now : float
    own : tuple of (int, str), optional
        The units that this process lacks, and its incarnation.

    Examples
    --------
    >>> seen = PeerShortfalls({"b": (Shortfall(50, count=1), 0.0)})
    >>> first_needs(seen, now=1.0), first_needs(seen, now=1.0, own=(40, "a"))
    (50, 0)
    >>> first_needs(seen, now=2.0)
    0
    """
    total = 0
    for incarnation, (need, since) in seen.by_incarnation.items():
        is_first = own is None or (need.units, incarnation) < own
        if is_first and now - since <= SILENT_S:
            total += need.units
    return total


def units_for_callers(available: int, amounts: Iterable[int]) -> int:
    """Return the units in hand that a process's own waiting callers can use, small ones first.

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


def soon_units(rate: float, typical: float, silent_s: float) -> int:
    """Return the units that a process's own traffic of the next moments is likely to need.

    Parameters
    ----------
    rate : float
        Units a second as of the last request.
    typical : float
        Units of a usual request.
    silent_s : float
        Seconds since that request.

    Examples
    --------
    >>> soon_units(rate=30.0, typical=10.0, silent_s=0.5)
    30
    >>> soon_units(rate=30.0, typical=10.0, silent_s=2.0)
    0
    """
    is_idle = silent_s * rate > IDLE_GAPS * typical
    return 0 if is_idle else round(rate * SOON_S)


def spare_units(available: int, typical: float, soon: int, for_callers: int) -> int:
    """Return the units in hand beyond those for waiting callers and the traffic of next moments.

    What does not cover a usual request is of no use to that traffic.

    Examples
    --------
    >>> spare_units(100, typical=10.0, soon=30, for_callers=0)
    70
    >>> spare_units(100, typical=10.0, soon=30, for_callers=90)
    10
    >>> spare_units(100, typical=200.0, soon=30, for_callers=0)
    100
    """
    kept = soon if available >= typical else 0
    return max(0, available - max(kept, for_callers))


def units_to_return(lacking: int, ungranted: int, spare: int) -> int:
    """Return the units to give back: what others lack beyond what nobody holds.

    Each return lowers that for the next, since ledgers are changed one after another.

    Examples
    --------
    >>> units_to_return(lacking=80, ungranted=30, spare=100)
    50
    """
    return max(0, min(spare, lacking - max(0, ungranted)))


def is_renewal_due(written: Shortfall | None, lacking: int, age_s: float) -> bool:
    """Return whether others should be told now of the units that are lacking here.

    Examples
    --------
    >>> is_renewal_due(Shortfall(30, count=1), lacking=40, age_s=0.2)
    False
    >>> is_renewal_due(Shortfall(30, count=1), lacking=60, age_s=0.2)
    True
    """
    if not lacking:
        return False
    return written is None or age_s >= RENEW_S or lacking >= GROWN * written.units
