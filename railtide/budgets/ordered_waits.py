"""The waiting requests of one account and the promises to its refused callers, together. No I/O."""

import math
from collections.abc import Callable

from railtide.budgets.return_promises import (
    ArrivalRate,
    ExpectedReturns,
    ReturnPromises,
    note_arrival,
    promised_per_s,
    rate_at,
)
from railtide.budgets.unit_queue import Priority, UnitQueue, WaitingForUnits
from railtide.telemetry.counters import Counters

__all__ = ["OrderedWaits"]


class OrderedWaits:
    """Decides which waiting request may take units, and what refused callers are promised.

    Parameters
    ----------
    counters : Counters
        Count waits by result, and promises made, kept, broken and unclaimed.

    Attributes
    ----------
    queue : UnitQueue
    promises : ReturnPromises
    expected_returns : ExpectedReturns
    """

    def __init__(self, counters: Counters) -> None:
        self.queue = UnitQueue()
        self.promises = ReturnPromises()
        self.expected_returns = ExpectedReturns()
        self._arrivals = ArrivalRate()
        self._wanted_by_priority: dict[Priority, ArrivalRate] = {}
        self._counters = counters
        self._unclaimed_counted = 0

    def arrive(self, request: WaitingForUnits, now: float) -> None:
        """Queue a request; the caller of an earlier one is recognised."""
        wanted = self._wanted_by_priority.setdefault(request.priority, ArrivalRate())
        note_arrival(wanted, request.amount, now)
        self.expected_returns.remove(request.content)
        promise = self.promises.claim(request.content, request.amount, now)
        if promise:
            request.promised_at = promise.due_at
        self.queue.add(request)
        self._count_unclaimed()

    def serve_next(
        self, now: float, reservable: int, reserve: Callable[[WaitingForUnits], bool]
    ) -> WaitingForUnits | None:
        """Serve and return the next request that may have its units; see `UnitQueue.serve_next`."""
        returned = self.queue.returned()
        return self.queue.serve_next(
            now, lambda request: reservable - self._kept_from(request, now, returned), reserve
        )

    def _kept_from(
        self, request: WaitingForUnits, now: float, returned: list[WaitingForUnits]
    ) -> int:
        """Return the units kept for others; a returned caller goes before later promises.

        A caller that returned early has no precedence yet, but its units are still kept for it.
        """
        for_returned = sum(
            other.amount for other in returned if other.promised_at < request.promised_at
        )
        return for_returned + self.promises.units_kept(now, before=request.promised_at)

    def units_ahead_of(self, request: WaitingForUnits, now: float) -> int:
        """Return the units that go to others before a waiting request."""
        return self.queue.units_ahead_of(request, now) + self._kept_from(request, now, [])

    def units_claimed(self, now: float) -> int:
        """Return the units of all waiting requests and promises."""
        waiting = sum(request.amount for request in self.queue.in_order(now))
        return waiting + self.promises.units_kept(now)

    def _wanted_per_s(self, request: WaitingForUnits, now: float) -> float:
        """Return the units a second that requests at least as urgent ask for."""
        return sum(
            rate_at(wanted, now)
            for priority, wanted in self._wanted_by_priority.items()
            if priority <= request.priority
        )

    def note_arrival(self, units: int, now: float) -> None:
        """Record units that became available."""
        if units > 0:
            note_arrival(self._arrivals, units, now)

    def promise(
        self,
        request: WaitingForUnits,
        now: float,
        limit_wait_s: float | None,
        first_at: float,
        in_hand: int,
        left: int,
    ) -> float | None:
        """Promise a refused caller a time; return it in seconds from now, None without a promise.

        Parameters
        ----------
        request : WaitingForUnits
        now : float
        limit_wait_s : float or None
            Wait until the spend limits allow all units ahead and the request's; None if too few are
            allocated.
        first_at : float
            When the next units are expected; infinite if none are under way.
        in_hand : int
            Units that are allocated and not reserved.
        left : int
            Units of the budget that are neither spent nor reserved here.
        """
        waiting = self.units_claimed(now) - self.promises.units_kept(now)
        spare = max(0, in_hand - waiting)
        if limit_wait_s is not None:
            due_at, expected = self.promises.due_at_limit(limit_wait_s, now), spare
        else:
            lacking = max(0, waiting - in_hand)
            per_s = promised_per_s(rate_at(self._arrivals, now), self._wanted_per_s(request, now))
            due_at = self.promises.due_at_rate(request, now, first_at, lacking, per_s)
            expected = spare - lacking
            if math.isfinite(due_at):
                expected += per_s * (due_at - now)
        promise = self.promises.make(request, now, due_at, min(expected, left - waiting))
        self._count_unclaimed()
        if promise is None:
            return None
        self._counters.add("budget_promises_made")
        return promise.due_at - now

    def note_result(self, request: WaitingForUnits, now: float) -> None:
        """Count how a request's wait ended, and whether a promise was kept."""
        result = "served" if request.is_served else "refused"
        if now > request.arrived_at:
            self._counters.add(f"budget_waits_{result}")
        elif not request.is_served:
            self._counters.add("budget_waits_refused_at_once")
        if request.has_promise and request.is_served:
            self._counters.add("budget_promises_kept")
        elif request.has_promise:
            is_due = now >= request.promised_at
            self._counters.add("budget_promises_broken" if is_due else "budget_promises_unclaimed")

    def _count_unclaimed(self) -> None:
        ended = self.promises.unclaimed - self._unclaimed_counted
        if ended:
            self._unclaimed_counted = self.promises.unclaimed
            self._counters.add("budget_promises_unclaimed", ended)
