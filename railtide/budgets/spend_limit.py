"""How much a process can have spent by the time it died, proved by clocks that outlive it. Pure.

With each report to the ledger a process binds itself: of its grant it will have used no more than
a burst and a pace since then, whether the store is reached or not. The process that follows on the
same machine reads the same clocks at its own start, when its predecessor was dead; the units beyond
that line were never spent and go back to the budget. Of a router that serves 100 units a second and
is back a second after a kill, over 700 units are written off without this and at most 400 with it
(`test_ledger_budget_source.py`).

Notes
-----
The proof rests on the kernel's clock since boot, which goes on over the end of a process and over a
suspension, and on the id that the kernel gives each boot. Where the id survives a loss of power,
that clock begins anew, so the time of day must have gone on by as much: both must say how long ago
the report was made, and one that was set alone proves nothing. Without a proof the whole grant
counts as spent. A frozen process wakes up to the time that has passed, since it looks at the clock
for each request. A report that lands late says what held when it was made, and still holds: while
two reports are under way the process keeps to both.
"""

import math
from abc import ABC, abstractmethod
from typing import Annotated

import msgspec

__all__ = [
    "NO_CLOCK_READING",
    "Clocks",
    "NoClocks",
    "ClockReading",
    "SpendLimit",
    "elapsed_s",
    "most_used",
    "most_used_within",
    "units_at",
    "wait_s",
]

MOST_S = 1e15
"""Seconds that no clock tells. A record with more, or with no number, is none of a router's."""
COUNT = msgspec.Meta(ge=0)
FINITE = msgspec.Meta(ge=-MOST_S, le=MOST_S)
AGREE_S = 0.05
"""By how much two clocks may tell a time of seconds apart. The time of day is slewed by 0.5 ms a
second at most; when it is set, it is by more."""


class ClockReading(msgspec.Struct, array_like=True, frozen=True):
    """The clocks of a machine at one moment.

    Attributes
    ----------
    boot : str
        Id of the boot that the steady clock counts from; empty if it is not known.
    steady_s : float
        The clock since boot, seconds; suspensions count in it.
    wall_s : float
        The time of day, seconds since the epoch.
    """

    boot: str
    steady_s: Annotated[float, FINITE]
    wall_s: Annotated[float, FINITE]


NO_CLOCK_READING = ClockReading("", 0.0, 0.0)
"""A reading that proves nothing."""


class Clocks(ABC):
    """The clocks of a machine."""

    @abstractmethod
    def read(self) -> ClockReading:
        """Return what they say now."""


class NoClocks(Clocks):
    """Clocks that prove nothing."""

    def read(self) -> ClockReading:
        """Return a reading without a boot."""
        return NO_CLOCK_READING


class SpendLimit(msgspec.Struct, array_like=True, frozen=True):
    """What a process binds itself to.

    Attributes
    ----------
    made : ClockReading
        When the limit was made.
    used : int
        Units spent or reserved then.
    burst : int
        Units that may be used at once beyond `used`.
    pace : int
        Units a second that may be used beyond that.
    pace_after_s : float
        Seconds after the limit was made from which the pace counts.
    """

    made: ClockReading
    used: Annotated[int, COUNT]
    burst: Annotated[int, COUNT]
    pace: Annotated[int, COUNT]
    pace_after_s: Annotated[float, msgspec.Meta(ge=0, le=MOST_S)] = 0.0


def units_at(limit: SpendLimit, elapsed: float) -> int:
    """Return the units that may have been used so many seconds after the limit was made.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 0.0), used=100, burst=50, pace=20)
    >>> units_at(limit, 2.5)
    200
    >>> later = SpendLimit(limit.made, used=100, burst=50, pace=20, pace_after_s=0.5)
    >>> units_at(later, 2.5), units_at(later, 0.3)
    (190, 150)
    """
    paced_s = max(0.0, elapsed - limit.pace_after_s)
    return limit.used + limit.burst + int(limit.pace * paced_s)


def wait_s(limit: SpendLimit, units: int, elapsed: float) -> float:
    """Return how long from now on a limit stays below an amount that is used in all, seconds.

    Examples
    --------
    >>> made = ClockReading("boot", 10.0, 0.0)
    >>> limit = SpendLimit(made, 100, burst=50, pace=20, pace_after_s=0.5)
    >>> wait_s(limit, 170, elapsed=0.25), wait_s(limit, 170, elapsed=2.0), wait_s(limit, 140, 0.0)
    (1.25, 0.0, 0.0)
    """
    missing = units - limit.used - limit.burst
    if missing <= 0:
        return 0.0
    if not limit.pace:
        return math.inf
    return max(0.0, limit.pace_after_s + missing / limit.pace - elapsed)


def elapsed_s(since: ClockReading, until: ClockReading) -> float | None:
    """Return the seconds between two readings, or None if they don't prove them.

    Examples
    --------
    >>> made = ClockReading("boot", 10.0, 1000.0)
    >>> elapsed_s(made, ClockReading("boot", 12.5, 1002.5))
    2.5
    >>> elapsed_s(made, ClockReading("another boot", 12.5, 1002.5))
    >>> elapsed_s(made, ClockReading("boot", 12.5, 1009.0))
    >>> elapsed_s(made, ClockReading("boot", 9.0, 999.0))
    """
    steady = until.steady_s - since.steady_s
    day = until.wall_s - since.wall_s
    if not since.boot or since.boot != until.boot or steady < 0 or abs(steady - day) > AGREE_S:
        return None
    return steady


def most_used(limit: SpendLimit | None, granted: int, dead: ClockReading) -> int:
    """Return the units of a grant that a process can have used until it was dead.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)
    >>> most_used(limit, 1000, ClockReading("boot", 12.5, 1002.5))
    200
    >>> most_used(limit, 1000, ClockReading("another boot", 12.5, 1002.5))
    1000
    """
    return most_used_within(limit, granted, elapsed_s(limit.made, dead) if limit else None)


def most_used_within(limit: SpendLimit | None, granted: int, elapsed: float | None) -> int:
    """Return the units of a grant that can have been used in so many seconds after a limit.

    Without a limit, or a time that is proved, that is all of them.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)
    >>> most_used_within(limit, 1000, 2.5), most_used_within(limit, 1000, None)
    (200, 1000)
    """
    if limit is None or elapsed is None:
        return granted
    return min(granted, units_at(limit, elapsed))
