"""Bounds what dead peers can have spent, by this process's own clocks.

A process that starts on a machine whose clocks restarted can't tell how long its predecessor lived
after its last report, so the whole holding would count as spent. A surviving peer can tell: if the
report follows one of the peer's own appends, its writer had read that append, since a report is
appended only if nothing was appended after what its writer had read. So the report was made after
the peer sent that append. Once the instance's next process appears in the ledger, the writer is
dead. The peer's clocks measure the seconds between the two, and the writer's spend limit tells how
much it can have spent within them.

Notes
-----
A report may be appended late, repeated, or copied into ledgers that others write: it was made after
the peer's append all the same. A writer that was frozen reads its own clock for each request when
it resumes. A peer that has just started has no earlier append and proves nothing; neither does one
whose clocks disagree, because its machine was suspended or its wall clock was set. A one-way
network failure only delays what the peer reads, which makes its bound larger. If no peer survived,
nothing is proved. Assumptions: a steady clock continues while its machine runs, and an address
belongs to one machine, where the next process can't listen while the previous one is alive.
"""

from dataclasses import dataclass

from railtide.budgets.ledger import Holding, Ledger, is_same_report
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, elapsed_s, max_used_within

__all__ = ["PeerReports"]

CLOCK_RATE_MARGIN = 0.001
"""Maximum difference in rate of two machines' clocks: each is slewed by up to 0.5 ms a second."""


@dataclass(frozen=True)
class _Report:
    """A process's last report and a time before it was made, by this process's clocks."""

    holding: Holding
    after: ClockReading


class PeerReports:
    """Tracks the last reports of other processes in one account's ledger.

    Examples
    --------
    >>> from railtide.budgets.spend_limit import SpendLimit
    >>> limit = SpendLimit(ClockReading("theirs", 70.0, 0.0), used=10, burst=5, pace=2)
    >>> peers = PeerReports()
    >>> peers.observe(Ledger(), NO_CLOCK_READING, ClockReading("own", 1.0, 1.0))
    >>> dead = Holding("b1", granted=100, spent=10, limit=limit)
    >>> alive = Ledger(by_instance={"b": dead})
    >>> peers.observe(alive, ClockReading("own", 1.5, 1.5), ClockReading("own", 2.0, 2.0))
    >>> closed = Ledger(closed=100, billed=10, unproved={"b": dead})
    >>> peers.observe(closed, ClockReading("own", 3.0, 3.0), ClockReading("own", 4.5, 4.5))
    >>> peers.max_used("b1")
    21
    """

    def __init__(self) -> None:
        self._report_by_incarnation: dict[str, _Report] | None = None
        self._used_by_incarnation: dict[str, int] = {}

    def forget(self) -> None:
        """Discard all observations, after ledgers were missed and changes may be unknown."""
        self._report_by_incarnation = None
        self._used_by_incarnation = {}

    def observe(self, ledger: Ledger, own_append: ClockReading, now: ClockReading) -> None:
        """Process a ledger that was read.

        Parameters
        ----------
        ledger : Ledger
        own_append : ClockReading
            The clocks before this process sent its latest append to the partition that was known to
            be in it at the previous read.
        now : ClockReading
            The clocks after the ledger was read.
        """
        first = self._report_by_incarnation is None
        known = self._report_by_incarnation or {}
        after = NO_CLOCK_READING if first else own_append
        holdings = [*ledger.by_instance.values(), *ledger.unproved.values()]
        self._report_by_incarnation = {
            held.incarnation: _known_or_new(known.get(held.incarnation), held, after)
            for held in holdings
        }
        self._used_by_incarnation = {
            dead.incarnation: self._max_used(dead, now) for dead in ledger.unproved.values()
        }

    def _max_used(self, dead: Holding, now: ClockReading) -> int:
        """Return the most units that a dead process can have used, as of first seeing its death."""
        known = self._used_by_incarnation.get(dead.incarnation)
        if known is not None:
            return known
        elapsed = elapsed_s(self._report_by_incarnation[dead.incarnation].after, now)
        if elapsed is not None:
            elapsed *= 1 + CLOCK_RATE_MARGIN
        return max_used_within(dead.limit, dead.granted, elapsed)

    def max_used(self, incarnation: str) -> int | None:
        """Return the most units that a dead process can have used; None if it is unknown."""
        return self._used_by_incarnation.get(incarnation)


def _known_or_new(known: _Report | None, holding: Holding, after: ClockReading) -> _Report:
    """Return the known report if the holding repeats it, else a new one."""
    if known and is_same_report(known.holding, holding):
        return known
    return _Report(holding, after)
