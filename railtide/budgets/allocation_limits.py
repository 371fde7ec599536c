"""What a process may use of one hand now, by what it has bound itself to. No I/O."""

import math

from railtide.budgets.allocation import Allocation
from railtide.budgets.partition_view import PartitionView
from railtide.budgets.process_context import Holder
from railtide.budgets.rollback import unread_units
from railtide.budgets.spend_limit import SpendLimit, units_at, wait_s
from railtide.budgets.unread_reports import UnreadReports

__all__ = ["AllocationLimits"]


class AllocationLimits:
    """The limits on one hand.

    Parameters
    ----------
    hand : Allocation
    holder : Holder
    place : PartitionView

    Attributes
    ----------
    reports : UnreadReports
    """

    def __init__(self, allocation: Allocation, holder: Holder, place: PartitionView) -> None:
        self.reports = UnreadReports()
        self._allocation = allocation
        self._holder = holder
        self._place = place
        self._limits: list[SpendLimit] = []

    def headroom(self, prepaid: int) -> int:
        """Return the units that may be reserved now, of a budget of `prepaid` units."""
        allocation = self._allocation
        return min(
            self.within_limits(), self._readable(prepaid) - allocation.spent - allocation.reserved
        )

    def within_limits(self) -> int:
        """Return the units that the limits leave, or that are in hand if that is less."""
        allocation = self._allocation
        now_s = self._holder.clocks.read().steady_s
        allowed = [units_at(limit, now_s - limit.made.steady_s) for limit in self._limits]
        return min([allocation.granted, *allowed]) - allocation.spent - allocation.reserved

    def _readable(self, prepaid: int) -> float:
        """Return the units that may be used in all, by what the others have read.

        Were a grant spent before any other router has read it, and lost with this process when the
        store comes back older, nobody would know of it, and it would be granted again.
        """
        if not self._place.era:
            return math.inf
        end = self._place.min_read_offset()
        self.reports.note_read(end)
        if math.isinf(end):
            return math.inf
        unread = unread_units(prepaid, self._holder.routers())
        return self.reports.units_at(self._holder.clocks.read().steady_s) + unread

    def wait_s(self, amount: int) -> float | None:
        """Return when the limits allow an amount that is in hand, seconds; None if it is not."""
        allocation = self._allocation
        if amount > allocation.available or not self._limits:
            return None
        used = allocation.spent + allocation.reserved + amount
        now_s = self._holder.clocks.read().steady_s
        waits_s = [wait_s(limit, used, now_s - limit.made.steady_s) for limit in self._limits]
        return max(waits_s) if math.isfinite(max(waits_s)) else None

    def are_growing(self) -> bool:
        """Return whether a limit allows more as time goes on."""
        return any(limit.pace for limit in self._limits)

    def next_limit(self, burst: int, pace: int) -> SpendLimit | None:
        """Return the limit of the next report, kept to from now on beside the one in force."""
        made = self._holder.clocks.read()
        if not made.boot:
            return None
        used = self._allocation.spent + self._allocation.reserved
        limit = SpendLimit(made, used, burst, pace, self._holder.options.pace_after_s)
        self._limits = [*self._limits[:1], limit]
        return limit

    def take(self, limit: SpendLimit | None) -> None:
        """Keep to the limit of a report that is in the ledger now, and to no former one."""
        self._limits = [limit] if limit else []
