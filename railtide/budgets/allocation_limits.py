"""How much of one allocation a process may use now, by its own reports. No I/O."""

import math

from railtide.budgets.allocation import Allocation
from railtide.budgets.partition_view import PartitionView
from railtide.budgets.process_context import ProcessContext
from railtide.budgets.rollback import max_unread_units
from railtide.budgets.spend_limit import SpendLimit, allowed_units, wait_s
from railtide.budgets.unread_reports import UnreadReports

__all__ = ["AllocationLimits"]


class AllocationLimits:
    """The limits on the use of one allocation.

    A process spends no more than each report that peers may still rely on allows, so that they can
    bound its spending after its death.

    Parameters
    ----------
    allocation : Allocation
    process : ProcessContext
    partition : PartitionView

    Attributes
    ----------
    reports : UnreadReports
    """

    def __init__(
        self, allocation: Allocation, process: ProcessContext, partition: PartitionView
    ) -> None:
        self.reports = UnreadReports()
        self._allocation = allocation
        self._process = process
        self._partition = partition
        self._limits: list[SpendLimit] = []

    def headroom(self, prepaid: int) -> int:
        """Return how many units may be reserved now, of a budget of `prepaid` units."""
        allocation = self._allocation
        return min(
            self.within_limits(),
            self._max_by_readers(prepaid) - allocation.spent - allocation.reserved,
        )

    def within_limits(self) -> int:
        """Return the units that the spend limits allow, at most the available ones."""
        allocation = self._allocation
        now_s = self._process.clocks.read().steady_s
        allowed = [allowed_units(limit, now_s - limit.made_at.steady_s) for limit in self._limits]
        return min([allocation.granted, *allowed]) - allocation.spent - allocation.reserved

    def _max_by_readers(self, prepaid: int) -> float:
        """Return the units that may be used in total, given what other routers have read.

        A grant that is spent before any other router has read it would be granted again if this
        process died and the store rolled back, as no surviving record of it would be left.
        """
        if not self._partition.era:
            return math.inf
        end = self._partition.min_read_offset()
        self.reports.mark_read(end)
        if math.isinf(end):
            return math.inf
        unread = max_unread_units(prepaid, self._process.routers())
        return self.reports.allowed_units(self._process.clocks.read().steady_s) + unread

    def wait_s(self, amount: int) -> float | None:
        """Return the wait until the limits allow an amount, seconds.

        None if the amount is not available or no limit will ever allow it.
        """
        allocation = self._allocation
        if amount > allocation.available or not self._limits:
            return None
        used = allocation.spent + allocation.reserved + amount
        now_s = self._process.clocks.read().steady_s
        waits_s = [wait_s(limit, used, now_s - limit.made_at.steady_s) for limit in self._limits]
        return max(waits_s) if math.isfinite(max(waits_s)) else None

    def any_growing(self) -> bool:
        """Return whether a limit grows with time."""
        return any(limit.pace for limit in self._limits)

    def next_limit(self, burst: int, pace: int) -> SpendLimit | None:
        """Return the limit for the next report; it applies from now on, with the current one."""
        made_at = self._process.clocks.read()
        if not made_at.boot:
            return None
        used = self._allocation.spent + self._allocation.reserved
        limit = SpendLimit(made_at, used, burst, pace, self._process.options.pace_after_s)
        self._limits = [*self._limits[:1], limit]
        return limit

    def apply(self, limit: SpendLimit | None) -> None:
        """Replace the limits by that of a report that is in the ledger now."""
        self._limits = [limit] if limit else []
