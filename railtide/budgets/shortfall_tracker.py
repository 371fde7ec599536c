"""Tracks the units of one account that callers lack at this router and at others. No I/O."""

from collections.abc import Mapping

from railtide.budgets.shortfalls import (
    OwnShortfalls,
    PeerShortfalls,
    Shortfall,
    forget_refused,
    note_refused,
    prior_shortfalls,
    units_refused,
    update_seen,
)

__all__ = ["ShortfallTracker"]


class ShortfallTracker:
    """The shortfalls of one account that one process knows of.

    Parameters
    ----------
    incarnation : str
        The incarnation of this process.

    Attributes
    ----------
    waiting : list of int
        Units of each request that waits for a grant.
    """

    def __init__(self, incarnation: str) -> None:
        self.waiting: list[int] = []
        self._incarnation = incarnation
        self._own = OwnShortfalls()
        self._seen = PeerShortfalls()
        self._count = 0

    def note_refused(self, amount: int, until: float) -> None:
        """Record a refused request whose caller was told to retry."""
        note_refused(self._own, amount, until)

    def forget_refused(self, amount: int) -> None:
        """Forget a refused request of this size, as one was served."""
        forget_refused(self._own, amount)

    def update_seen(self, shortfall_by_incarnation: Mapping[str, Shortfall], now: float) -> None:
        """Update the shortfalls of other processes, as read from the ledger now."""
        update_seen(self._seen, shortfall_by_incarnation, now)

    def pending_amounts(self, now: float) -> list[int]:
        """Return the units of each request that waits or whose caller is expected to retry."""
        return self.waiting + units_refused(self._own, now)

    def waiting_shortfall(self, available: int) -> int:
        """Return the units that the waiting requests lack in total."""
        return max(0, sum(self.waiting) - available)

    def total_shortfall(self, available: int, now: float) -> int:
        """Return the units that waiting requests and expected retries lack in total."""
        return max(0, sum(self.pending_amounts(now)) - available)

    def held_for_callers(self, now: float) -> int:
        """Return the ungranted units to leave for refused callers' retries, here or elsewhere."""
        return sum(units_refused(self._own, now)) + prior_shortfalls(self._seen, now)

    def shortfall_of_others(self, shortfall: int, now: float) -> int:
        """Return the units that other processes lack that take priority over this process."""
        own = (shortfall, self._incarnation) if shortfall else None
        return prior_shortfalls(self._seen, now, own)

    def next_shortfall(self, shortfall: int) -> Shortfall | None:
        """Return the shortfall for the next report, with a new count."""
        if not shortfall:
            return None
        self._count += 1
        return Shortfall(shortfall, self._count)
