"""How much a process can have spent by the time it died, proved by a clock that outlives it. Pure.

With each report to the ledger a process binds itself: of its grant it will have used no more than
a burst and a pace since then, whether the store is reached or not. The process that follows on the
same machine reads the same steady clock at its own start, when its predecessor was dead; the units
beyond that line were never spent and go back to the budget.

Notes
-----
The proof rests on the kernel's steady clock, which goes on over the end of a process, and on the
id that the kernel gives each boot. After a loss of power, or on another machine, the ids differ:
nothing is proved, and the whole grant counts as spent. A frozen process wakes up to the time that
has passed, since it looks at the clock for each request. A report that lands late says what held
when it was made, and still holds: while two reports are under way the process keeps to both.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

__all__ = ["NO_CLOCK", "SpendLimit", "SteadyClock", "most_used", "units_at"]


@dataclass(frozen=True)
class SteadyClock:
    """A clock that goes on over the end of a process.

    Attributes
    ----------
    clock_id : str
        Equal for processes whose readings can be compared; empty if that can't be told.
    now : callable
        Returns the reading, seconds.
    """

    clock_id: str
    now: Callable[[], float]


NO_CLOCK = SteadyClock("", lambda: 0.0)


class SpendLimit(msgspec.Struct, array_like=True, frozen=True):
    """What a process binds itself to.

    Attributes
    ----------
    clock_id : str
        Of the clock that `made_at` is read from.
    made_at : float
        When the limit was made, seconds.
    used : int
        Units spent or reserved then.
    burst : int
        Units that may be used at once beyond `used`.
    pace : int
        Units a second that may be used beyond that.
    """

    clock_id: str
    made_at: float
    used: int
    burst: int
    pace: int


def units_at(limit: SpendLimit, now: float) -> int:
    """Return the units that may have been used at a reading of the limit's clock.

    Examples
    --------
    >>> units_at(SpendLimit("boot", made_at=10.0, used=100, burst=50, pace=20), now=12.5)
    200
    """
    return limit.used + limit.burst + int(limit.pace * max(0.0, now - limit.made_at))


def most_used(
    limits: Iterable[SpendLimit | None], granted: int, clock_id: str, dead_at: float
) -> int:
    """Return the units of a grant that a process can have used until it was dead.

    Parameters
    ----------
    limits : iterable of SpendLimit or None
        All of them held; None is no limit.
    granted : int
    clock_id : str
        Of the clock that `dead_at` is read from; empty for none.
    dead_at : float
        A reading when the process was dead.

    Examples
    --------
    >>> limit = SpendLimit("boot", made_at=10.0, used=100, burst=50, pace=20)
    >>> most_used([limit], 1000, "boot", dead_at=12.5)
    200
    >>> most_used([limit], 1000, "another boot", dead_at=12.5)
    1000
    >>> most_used([limit], 1000, "boot", dead_at=9.0)
    1000
    """
    most = granted
    for limit in limits:
        if limit and clock_id and limit.clock_id == clock_id and dead_at >= limit.made_at:
            most = min(most, units_at(limit, dead_at))
    return most
