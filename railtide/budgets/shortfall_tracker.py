"""What callers of an account lack at one router, and what other routers lack. No I/O."""

from collections.abc import Mapping

from railtide.budgets.shortfalls import (
    OwnShortfalls,
    PeerShortfalls,
    Shortfall,
    first_needs,
    forget_refused,
    note_refused,
    note_seen,
    units_refused,
)

__all__ = ["ShortfallTracker"]


class ShortfallTracker:
    """The needs of one account as one process knows them.

    Parameters
    ----------
    incarnation : str
        Of this process.

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
        """Count a request whose caller was told to come back."""
        note_refused(self._own, amount, until)

    def forget_refused(self, amount: int) -> None:
        """Drop a refused request of this size, since one was served."""
        forget_refused(self._own, amount)

    def note_seen(self, need_by_incarnation: Mapping[str, Shortfall], now: float) -> None:
        """Take the needs of other processes as they were read now."""
        note_seen(self._seen, need_by_incarnation, now)

    def callers(self, now: float) -> list[int]:
        """Return the units of each request that waits, or whose caller is to come back."""
        return self.waiting + units_refused(self._own, now)

    def missing(self, available: int) -> int:
        """Return the units that the waiting requests lack together."""
        return max(0, sum(self.waiting) - available)

    def lacking(self, available: int, now: float) -> int:
        """Return the units that all these requests lack together."""
        return max(0, sum(self.callers(now)) - available)

    def kept_for_callers(self, now: float) -> int:
        """Return the units in no hand that refused callers come back for, here or elsewhere."""
        return sum(units_refused(self._own, now)) + first_needs(self._seen, now)

    def of_others(self, lacking: int, now: float) -> int:
        """Return what others lack whose turn is before this process's own lack."""
        own = (lacking, self._incarnation) if lacking else None
        return first_needs(self._seen, now, own)

    def next_need(self, lacking: int) -> Shortfall | None:
        """Return the need of the next report."""
        if not lacking:
            return None
        self._count += 1
        return Shortfall(lacking, self._count)
