"""Spend limits: bound what a process can have spent when it died, by shared clocks. Pure.

With each report to the ledger a process commits to a limit: from then on it uses no more of its
grant than a burst plus a pace over time, whether it reaches the store or not. Its successor on the
same machine reads the same clocks at its own start, when the predecessor was dead; units beyond the
limit at that time were never spent and go back to the budget. For a router that serves 100 units a
second and is back one second after a kill, over 700 units are written off without limits and at
most 400 with them (`test_ledger_budget_source.py`).

Notes
-----
The proof relies on the kernel's clock since boot, which continues across the end of a process and
across suspensions, and on the kernel's boot id. The id may survive a power loss although the clock
restarts, so the wall clock must have advanced by the same time: a proof needs both to agree, and a
wall clock that was set proves nothing. Without a proof the whole grant counts as spent. A process
that was frozen stays within its limit because it reads the clock for each request. A report that is
appended late is still valid: while two reports are in flight the process obeys both.
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
    "max_used",
    "max_used_within",
    "allowed_units",
    "wait_s",
]

MAX_CLOCK_S = 1e15
"""Upper bound of a valid clock value, seconds. No router writes a larger one, or none at all."""
COUNT = msgspec.Meta(ge=0)
FINITE = msgspec.Meta(ge=-MAX_CLOCK_S, le=MAX_CLOCK_S)
MAX_CLOCK_SKEW_S = 0.05
"""Maximum difference of the seconds elapsed by two clocks. The wall clock is slewed by at most
0.5 ms a second; setting it changes it by more."""


class ClockReading(msgspec.Struct, array_like=True, frozen=True):
    """The clocks of a machine at one moment.

    Attributes
    ----------
    boot : str
        Id of the boot from which the steady clock counts; empty if unknown.
    steady_s : float
        Seconds since boot, including suspensions.
    wall_s : float
        Wall-clock time, seconds since the epoch.
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
        """Return the current reading."""


class NoClocks(Clocks):
    """Clocks whose readings prove nothing."""

    def read(self) -> ClockReading:
        """Return a reading without a boot."""
        return NO_CLOCK_READING


class SpendLimit(msgspec.Struct, array_like=True, frozen=True):
    """The limit on its spending that a process commits to with a report.

    Attributes
    ----------
    made_at : ClockReading
        The clocks when the limit was made.
    used : int
        Units spent or reserved at that time.
    burst : int
        Units that may be used at once beyond `used`.
    pace : int
        Units a second that may be used beyond `used` and `burst`.
    pace_after_s : float
        Seconds after `made_at` from which the pace counts.
    """

    made_at: ClockReading
    used: Annotated[int, COUNT]
    burst: Annotated[int, COUNT]
    pace: Annotated[int, COUNT]
    pace_after_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_CLOCK_S)] = 0.0


def allowed_units(limit: SpendLimit, elapsed: float) -> int:
    """Return the units that may have been used `elapsed` seconds after the limit was made.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 0.0), used=100, burst=50, pace=20)
    >>> allowed_units(limit, 2.5)
    200
    >>> later = SpendLimit(limit.made_at, used=100, burst=50, pace=20, pace_after_s=0.5)
    >>> allowed_units(later, 2.5), allowed_units(later, 0.3)
    (190, 150)
    """
    paced_s = max(0.0, elapsed - limit.pace_after_s)
    return limit.used + limit.burst + int(limit.pace * paced_s)


def wait_s(limit: SpendLimit, units: int, elapsed: float) -> float:
    """Return the wait until a limit allows a total of `units`, seconds; infinite if it never does.

    Parameters
    ----------
    limit : SpendLimit
    units : int
        Units used in total.
    elapsed : float
        Seconds since the limit was made.

    Examples
    --------
    >>> made_at = ClockReading("boot", 10.0, 0.0)
    >>> limit = SpendLimit(made_at, 100, burst=50, pace=20, pace_after_s=0.5)
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
    """Return the seconds between two readings, or None if the clocks don't prove them.

    Examples
    --------
    >>> made_at = ClockReading("boot", 10.0, 1000.0)
    >>> elapsed_s(made_at, ClockReading("boot", 12.5, 1002.5))
    2.5
    >>> elapsed_s(made_at, ClockReading("another boot", 12.5, 1002.5))
    >>> elapsed_s(made_at, ClockReading("boot", 12.5, 1009.0))
    >>> elapsed_s(made_at, ClockReading("boot", 9.0, 999.0))
    """
    steady = until.steady_s - since.steady_s
    day = until.wall_s - since.wall_s
    if (
        not since.boot
        or since.boot != until.boot
        or steady < 0
        or abs(steady - day) > MAX_CLOCK_SKEW_S
    ):
        return None
    return steady


def max_used(limit: SpendLimit | None, granted: int, dead: ClockReading) -> int:
    """Return the most units of a grant that a process can have used before it died.

    Parameters
    ----------
    limit : SpendLimit or None
        Of the process's last report.
    granted : int
    dead : ClockReading
        The clocks at a time when the process was dead.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)
    >>> max_used(limit, 1000, ClockReading("boot", 12.5, 1002.5))
    200
    >>> max_used(limit, 1000, ClockReading("another boot", 12.5, 1002.5))
    1000
    """
    return max_used_within(limit, granted, elapsed_s(limit.made_at, dead) if limit else None)


def max_used_within(limit: SpendLimit | None, granted: int, elapsed: float | None) -> int:
    """Return the most units of a grant that can have been used `elapsed` seconds after a limit.

    These are all units without a limit or a proved time.

    Examples
    --------
    >>> limit = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)
    >>> max_used_within(limit, 1000, 2.5), max_used_within(limit, 1000, None)
    (200, 1000)
    """
    if limit is None or elapsed is None:
        return granted
    return min(granted, allowed_units(limit, elapsed))
