"""What processes can have spent that died without a proof of their own, by a peer's clocks.

A process that follows on a machine whose clocks began anew can't tell how long its predecessor
lived after its last report, so all that it held counts as spent. A peer that lived through it can:
the last report was appended after an append of the peer's own, and under the condition that
nothing came between what its writer had read and itself. So its writer had read the peer's append
before it made the report, and the report was made after the peer sent that append. When the next
process of the instance is seen in the ledger, the writer is dead. The peer's own clocks tell the
seconds between the two, in which the writer's limit says how much it can have spent.

Notes
-----
The report may be written late, be repeated, or be carried on in ledgers that others write: it was
made after the peer's append all the same. A writer that was frozen looks at its own clock for each
request when it wakes. A peer that starts has no append of its own after it and proves nothing; nor
does one whose clocks disagree, as when its machine was suspended or the time of day was set. A
one-way cut only delays what the peer sees, so that its bound grows. When nobody lived, nothing is
proved. What it rests on: a steady clock goes on while its machine runs, and one address belongs to
one machine, whose next process could not listen there while the former lived.
"""

from dataclasses import dataclass

from railtide.budgets.ledger import Holding, Ledger, is_same_report
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, elapsed_s, most_used_within

__all__ = ["PeerReports"]

RATE_MARGIN = 0.001
"""By how much the clocks of two machines may differ in rate: each is slewed by 0.5 ms a second."""


@dataclass(frozen=True)
class _Report:
    """A process's last report and a moment, by this process's clocks, before it was made."""

    holding: Holding
    after: ClockReading


class PeerReports:
    """The last reports of other processes in one account's ledger.

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
    >>> peers.used_at_most("b1")
    21
    """

    def __init__(self) -> None:
        self._report_by_incarnation: dict[str, _Report] | None = None
        self._used_by_incarnation: dict[str, int] = {}

    def forget(self) -> None:
        """Start anew: a ledger was not read, so that it is not known what changed in between."""
        self._report_by_incarnation = None
        self._used_by_incarnation = {}

    def observe(self, ledger: Ledger, own_append: ClockReading, now: ClockReading) -> None:
        """Take the ledger as it was read.

        Parameters
        ----------
        ledger : Ledger
        own_append : ClockReading
            The clocks before this process sent the latest of its appends to the partition that
            were known to be in it when the ledger was read the time before.
        now : ClockReading
            The clocks when the ledger had been read.
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
            dead.incarnation: self._used_at_most(dead, now) for dead in ledger.unproved.values()
        }

    def _used_at_most(self, dead: Holding, now: ClockReading) -> int:
        """Return what a dead process can have used; the first sight of its death counts."""
        known = self._used_by_incarnation.get(dead.incarnation)
        if known is not None:
            return known
        elapsed = elapsed_s(self._report_by_incarnation[dead.incarnation].after, now)
        if elapsed is not None:
            elapsed *= 1 + RATE_MARGIN
        return most_used_within(dead.limit, dead.granted, elapsed)

    def used_at_most(self, incarnation: str) -> int | None:
        """Return the units that a dead process can have used, or None if it is not known."""
        return self._used_by_incarnation.get(incarnation)


def _known_or_new(known: _Report | None, holding: Holding, after: ClockReading) -> _Report:
    """Return what is known of a report, or the new one."""
    if known and is_same_report(known.holding, holding):
        return known
    return _Report(holding, after)
