"""One account's budget at one router: its allocation and the ledger changes it needs. No I/O."""

import math
from collections.abc import Callable
from dataclasses import asdict, dataclass

import trio
from loguru import logger

from railtide.budgets.account_loans import UnitNeeds
from railtide.budgets.account_log import (
    AccountState,
    LedgerLogSchedule,
    RefusalCause,
    proof_of,
    refusal_cause,
    state_of,
)
from railtide.budgets.allocation import Allocation, reserve, settle_reserve, take_back
from railtide.budgets.allocation_limits import AllocationLimits
from railtide.budgets.allocation_sizing import (
    Traffic,
    burst_units,
    excess_units,
    is_low,
    max_preallocated_units,
    pace_units,
    rate_at,
    record_request,
    target_units,
)
from railtide.budgets.expected_units import next_check_at
from railtide.budgets.ledger import (
    Holding,
    Ledger,
    charged_units,
    close_predecessor,
    committed,
    grant,
    is_same_report,
    ledger_from_bytes,
    ledger_to_bytes,
    reported_spend,
    return_unproved,
    set_holding,
    written_off,
)
from railtide.budgets.ordered_waits import OrderedWaits
from railtide.budgets.partition_view import PartitionView, StandalonePartition
from railtide.budgets.peer_reports import PeerReports
from railtide.budgets.process_context import ProcessContext
from railtide.budgets.shortfall_tracker import ShortfallTracker
from railtide.budgets.shortfalls import (
    is_renewal_due,
    near_term_units,
    spare_units,
    units_for_callers,
    units_to_return,
)
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, SpendLimit
from railtide.budgets.unit_queue import WaitingForUnits
from railtide.budgets.units import MAX_UNITS

__all__ = ["AccountBudget", "LedgerChange"]

LEDGER_CURRENT_S = 0.1
"""Age up to which a ledger without units to grant ends a wait. An older one is read again first, as
other routers return units meanwhile; that takes one update."""
READERS_RECHECK_S = 0.1
"""Time after which a request that only waits until others have read a grant checks again: the
interval in which the partition reads then."""
SHORTFALL_RETRIES = 2
"""How many retry intervals a refused request's shortfall stays reported: the caller's retry crosses
a network, and other routers read the ledgers on their own schedule."""


@dataclass(frozen=True)
class LedgerChange:
    """A change that this process makes to one account's ledger.

    Attributes
    ----------
    holding : Holding
        The holding of this process after the change.
    granted : int
        Units granted to this process.
    predecessor : Holding or None
        The closed holding of the instance's previous process.
    returned : dict of str to int
        Units returned from dead peers' holdings, by instance.
    ledger : Ledger
        The whole ledger after the change.
    """

    holding: Holding
    granted: int
    predecessor: Holding | None
    returned: dict[str, int]
    ledger: Ledger


class AccountBudget:
    """One account's budget at this router.

    Reserves units from the local allocation and plans the ledger changes that refill, report and
    return it.

    Parameters
    ----------
    account : str
    process : ProcessContext
    request_update : callable
        Triggers a read and an update of the ledger.
    horizon_s : callable
        Returns how many seconds of traffic the allocation should cover now.
    partition : PartitionView, optional
        The partition that holds the account's ledger.

    Attributes
    ----------
    prepaid : int or None
        The budget in force, units; None until a configuration sets it.
    loaded : bool
        Whether the ledger has been read.
    billed_requests : int
        Requests billed so far.
    limits : AllocationLimits
    loans : AccountLoans
        Units that other routers lend to this one.
    """

    def __init__(
        self,
        account: str,
        process: ProcessContext,
        request_update: Callable[[], None],
        horizon_s: Callable[[], float],
        partition: PartitionView | None = None,
    ) -> None:
        self.account = account
        self.allocation = Allocation()
        self._partition = partition or StandalonePartition()
        self.limits = AllocationLimits(self.allocation, process, self._partition)
        self.prepaid: int | None = None
        self.loaded = False
        self.billed_requests = 0
        self.times_lowered = 0
        self._process = process
        self._options = process.options
        self._traffic = Traffic()
        self._shortfalls = ShortfallTracker(process.incarnation)
        self._ledger = Ledger()
        self._ledger_read_at = -math.inf
        self._written_holding = Holding(process.incarnation)
        self._peers = PeerReports()
        self._reported_at = -math.inf
        self._is_rollback_pending = False
        self._must_report_again = False
        self._refill_refused_at = -math.inf
        self._request_update = request_update
        self._horizon_s = horizon_s
        self._schedule = LedgerLogSchedule(process.log_bucket)
        self._changed = trio.Event()
        self.loans = process.loans.of_account(account, self._unit_needs, self.wake)
        self._waits = OrderedWaits(process.counters)

    # -- requests -----------------------------------------------------------------------------

    def count_request(self, amount: int) -> None:
        """Record a request of this size, which the budget may cover, as traffic of the account.

        Allocations, spend limits and loans are sized by the traffic.
        """
        record_request(self._traffic, amount, trio.current_time(), self._options.rate_window_s)

    def try_reserve(self, amount: int) -> Allocation | None:
        """Reserve units that are granted or lent; return their allocation, None if too few are.

        Granted units are reserved only if the committed spend limits allow it.
        """
        if amount <= self._headroom() and reserve(self.allocation, amount):
            self._shortfalls.forget_refused(amount)
            return self.allocation
        if self.loans.try_reserve(amount):
            self._shortfalls.forget_refused(amount)
            return self.loans.allocation
        return None

    @property
    def loan_expected_at(self) -> float | None:
        """The Trio time at which a requested loan is expected; None if none was requested."""
        return self.loans.expected_at

    def _unit_needs(self) -> UnitNeeds:
        """Return what the account's requests need at this router."""
        waiting = tuple(self._shortfalls.waiting)
        return UnitNeeds(self._headroom(), waiting, self._traffic.typical, self.prepaid or 0)

    async def lend(self, wanted: int, minimum: int, until: float) -> int:
        """Reserve up to `wanted` units for another router, and at least `minimum`.

        Asks the ledger if there are fewer, and waits for them: half of the time for what is
        wanted, then for the minimum. Returns the units reserved, 0 if they don't suffice.
        """
        now = trio.current_time()
        units = self._reserve_to_lend(wanted, minimum)
        for amount, end in ((wanted, (now + until) / 2), (minimum, until)):
            if not units and end > now:
                units = await self._wait_to_lend(amount, wanted, minimum, end)
        if units or not self.is_known_exhausted(minimum):
            self.count_request(units or minimum)
        self.refill_if_low()
        return units

    async def _wait_to_lend(self, amount: int, wanted: int, minimum: int, until: float) -> int:
        """Wait for a grant of `amount`; return the units reserved as soon as they suffice."""
        self._shortfalls.waiting.append(amount)
        try:
            with trio.move_on_at(until):
                while not self.is_known_exhausted(amount):
                    self._request_update()
                    await self._changed.wait()
                    if units := self._reserve_to_lend(wanted, minimum):
                        return units
        finally:
            self._shortfalls.waiting.remove(amount)
        return 0

    def _reserve_to_lend(self, wanted: int, minimum: int) -> int:
        units = min(wanted, self._headroom(), self._unpromised())
        return units if units >= minimum and reserve(self.allocation, units) else 0

    def wait_s(self, amount: int) -> float | None:
        """Return the wait until the limits allow an amount, seconds; None if they never will."""
        return self.limits.wait_s(amount)

    def _headroom(self) -> int:
        """Return the units that may be reserved now."""
        return self.limits.headroom(self.prepaid or 0)

    def refill_if_low(self) -> None:
        """Request a refill if the allocation is below its low watermark."""
        if self.loans.is_borrowing:
            return
        if is_low(self.allocation.available, self._target(), self._options):
            self._request_update()

    async def wait_for(self, amount: int, until: float, latest: float) -> Allocation | None:
        """Reserve units as soon as there are enough; return their allocation.

        None if there are too few by `until` and none are under way then, or by `latest`.
        """
        self._shortfalls.waiting.append(amount)
        try:
            allocation = await self._wait_until_reserved(amount, until, latest)
        finally:
            self._shortfalls.waiting.remove(amount)
        if allocation is None:
            self._report_shortfall(amount)
        return allocation

    async def _wait_until_reserved(
        self, amount: int, until: float, latest: float
    ) -> Allocation | None:
        while not (allocation := self.try_reserve(amount)):
            if self.is_known_exhausted(amount):
                return None
            if not self.loans.is_borrowing:
                self._request_update()
            now = trio.current_time()
            check_at = until if now < until else next_check_at(self.units_expected_at, latest, now)
            if check_at is None:
                return None
            with trio.move_on_at(check_at):
                await self._changed.wait()
        return allocation

    # -- requests that wait in order (`LedgerOptions.waits_for_expected_units`) -------------------

    @property
    def units_expected_at(self) -> float:
        """Trio time at which units that were asked for are expected; infinite if none are."""
        if self._process.leaving or not self.can_be_granted():
            return math.inf
        if self._lacks_ungranted():
            return math.inf
        return self._partition.update_expected_at()

    def can_be_granted(self) -> bool:
        """Return whether the account's ledger can be changed now, as far as it decides that."""
        return self._partition.is_open() and not self._partition.is_resting(self.account)

    def _lacks_ungranted(self) -> bool:
        """Return whether the ledger, as read just now, can't cover the smallest waiting request."""
        age_s = trio.current_time() - self._ledger_read_at
        if self.prepaid is None or age_s > LEDGER_CURRENT_S:
            return False
        smallest = min(self._shortfalls.waiting, default=1)
        return self._ungranted() < max(1, smallest - self.allocation.available)

    async def wait_in_order(self, request: WaitingForUnits) -> Allocation | None:
        """Reserve a request's units; return None as soon as they can't come in time for it.

        Requests that wait get units in the order of `UnitQueue`, whoever is woken first.
        """
        self._waits.arrive(request, trio.current_time())
        self._shortfalls.waiting.append(request.amount)
        self._serve_in_order()
        if request.is_served:
            self._waits.note_result(request, trio.current_time())
            return request.allocation
        try:
            await self._wait_until_served(request)
        except trio.Cancelled:
            self._release_served(request)
            raise
        finally:
            if not request.is_served:
                self._waits.queue.remove(request)
                self._shortfalls.waiting.remove(request.amount)
        self._waits.note_result(request, trio.current_time())
        if not request.is_served:
            self._serve_in_order()
            self._report_shortfall(request.amount)
        return request.allocation

    async def _wait_until_served(self, request: WaitingForUnits) -> None:
        """Return when a request is served, or can't be served in time."""
        while not request.is_served:
            if self.is_known_exhausted(request.amount):
                return
            self._request_update()
            now = trio.current_time()
            check_at = next_check_at(self._expected_for(request, now), request.start_by, now)
            if check_at is None:
                return
            with trio.move_on_at(check_at) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                self._serve_in_order()

    def _release_served(self, request: WaitingForUnits) -> None:
        """Release the units of a request that was cancelled after it was served."""
        if request.is_served:
            settle_reserve(request.allocation, request.amount, 0)
            self.wake()

    def _serve_in_order(self) -> None:
        """Reserve units for the waiting requests that can have them, and wake those."""
        now = trio.current_time()
        while len(self._waits.queue):
            request = self._waits.serve_next(now, self._headroom(), self._reserve_for)
            if request is None:
                return
            self._shortfalls.waiting.remove(request.amount)
            self._notify_waiting()

    def _reserve_for(self, request: WaitingForUnits) -> bool:
        """Reserve a waiting request's units; return whether there were enough."""
        request.allocation = self.try_reserve(request.amount)
        return request.allocation is not None

    def _expected_for(self, request: WaitingForUnits, now: float) -> float:
        """Return when a waiting request's units are expected.

        Units may be under way, allocated but above a spend limit that grows, or kept for promises.
        """
        expected_at = self.units_expected_at
        if request.amount > self.allocation.available:
            return expected_at
        ahead = self._waits.units_ahead_of(request, now)
        wait_s = self.wait_s(ahead + request.amount)
        if wait_s is not None:
            expected_at = min(expected_at, now + (wait_s if wait_s > 0 else READERS_RECHECK_S))
        if request.amount <= self._headroom():
            expected_at = min(expected_at, self._waits.promises.next_end(now))
        return expected_at

    def note_units_arrived(self, units: int) -> None:
        """Record units that became available, for the rate at which callers are told to return."""
        if self._options.waits_for_expected_units:
            self._waits.note_arrival(units, trio.current_time())

    def note_units_released(self, units: int) -> None:
        """Give the units that a request left unused to those that wait."""
        self.note_units_arrived(units)
        self.wake()

    def note_loan_returned(self, lowered: int, units: int) -> None:
        """Keep the returned units of a loan, or release them if the budget was lowered since.

        `lowered` is `times_lowered` when the loan was made.
        """
        if lowered != self.times_lowered:
            take_back(self.allocation, units)
            self._request_update()
        else:
            self.note_units_released(units)

    def promise_return(self, request: WaitingForUnits) -> float | None:
        """Return after how many seconds a refused caller finds its units; None without a promise.

        Nothing is promised beyond what the budget has left, and nothing of an exhausted one.
        """
        if self.is_exhausted(request.amount):
            return None
        now = trio.current_time()
        left = self._budget_left() - self.allocation.reserved
        wait_s, in_hand = None, self.allocation.available
        if request.amount <= in_hand:
            wait_s = self.wait_s(self._waits.units_claimed(now) + request.amount)
        told_s = self._waits.promise(request, now, wait_s, self.units_expected_at, in_hand, left)
        if told_s is not None:
            self._request_update()
        return told_s

    def note_return(self, request: WaitingForUnits, told_s: float) -> None:
        """Ask for the units of a refused caller that was told to return, without keeping them.

        Where updates take longer than the goals allow, every request is refused at once. Without
        this none would wait when the ledger is changed, and no units would ever be asked for.
        """
        if not self.is_exhausted(request.amount):
            self._waits.expected_returns.add(request, trio.current_time() + told_s)
            self._request_update()

    def _unclaimed(self) -> int:
        """Return the available units less those for promises and for other expected returns."""
        return self._unpromised() - self._waits.expected_returns.units(trio.current_time())

    def _unpromised(self) -> int:
        """Return the available units less those kept for promises; negative if these lack units."""
        return self.allocation.available - self._waits.promises.units_kept(trio.current_time())

    def _ungranted(self) -> int:
        """Return the units of the budget that are in nobody's allocation."""
        return (self.prepaid or 0) - committed(self._ledger)

    def _report_shortfall(self, amount: int) -> None:
        """Report a shortfall that other routers can cover, for the caller's retry."""
        if (
            self._is_fresh()
            and not self.loans.is_borrowing
            and amount > self._unpromised()
            and not self.is_exhausted(amount)
        ):
            again_s = self._options.retry_after_s * SHORTFALL_RETRIES
            self._shortfalls.note_refused(amount, trio.current_time() + again_s)
            self._request_update()

    def exceeds_prepaid(self, amount: int) -> bool:
        """Return whether an amount exceeds the whole budget, whatever was spent of it."""
        return self.prepaid is not None and amount > self.prepaid

    def is_exhausted(self, amount: int) -> bool:
        """Return whether no router can cover an amount, as of the last ledger read."""
        if self.exceeds_prepaid(amount):
            return True
        if self.prepaid is None or not self.loaded:
            return False
        return self._budget_left() < amount

    def is_known_exhausted(self, amount: int) -> bool:
        """Return whether a ledger that was read recently shows that no router covers an amount."""
        return self.is_exhausted(amount) and (self.exceeds_prepaid(amount) or self._is_fresh())

    def _budget_left(self) -> int:
        """Return the units of the budget that are not known as spent."""
        return self._left() - (self.allocation.spent - self._written_holding.spent)

    def _is_fresh(self) -> bool:
        """Return whether the ledger was read recently enough to base a refusal on it."""
        return trio.current_time() - self._ledger_read_at <= 2 * self._options.read_interval_s

    def set_prepaid(self, prepaid: int) -> None:
        """Apply the configured budget; a lower one releases all unreserved units."""
        prepaid = min(prepaid, MAX_UNITS)
        if self.prepaid is not None and prepaid < self.prepaid:
            self.times_lowered += 1
            take_back(self.allocation, self.allocation.available)
            self.loans.give_back()
        self.prepaid = prepaid
        self._log_ledger()
        self._request_update()

    def return_unreserved(self) -> None:
        """Return all units that no request has reserved."""
        take_back(self.allocation, self.allocation.available)
        self._request_update()

    @property
    def is_returning(self) -> bool:
        """True while units have left the allocation but not yet the ledger."""
        return self.allocation.granted < self._written_holding.granted

    def log_refusal(
        self,
        amount: int,
        store_reached: bool,
        ledger_age_ms: int | None,
        **fields: object,
    ) -> None:
        """Log and count a refusal with its cause."""
        state = self._state()
        cause = refusal_cause(
            state, amount, self.allocation.available, store_reached, self.allocation.reserved
        )
        is_ordered = self._options.waits_for_expected_units
        if is_ordered and cause is RefusalCause.SPEND_LIMIT and amount <= self._headroom():
            cause = RefusalCause.KEPT
        self._process.counters.add(f"budget_refused_{cause.replace('-', '_')}")
        logger.bind(
            cause=cause,
            account=self.account,
            amount=amount,
            in_hand=self.allocation.available,
            borrowed=self.loans.allocation.available,
            reserved=self.allocation.reserved,
            headroom=self._headroom(),
            prepaid=self.prepaid,
            committed=committed(self._ledger),
            reported=reported_spend(self._ledger),
            written_off=state.written_off if state else None,
            store_reached=store_reached,
            ledger_age_ms=ledger_age_ms,
            **fields,
        ).info("budget-refused")

    def _state(self) -> AccountState | None:
        """Return the state of the budget's units, or None if budget or ledger is unknown."""
        if self.prepaid is None or not self.loaded:
            return None
        return state_of(self._ledger, self.prepaid)

    def _log_ledger(self) -> None:
        """Log the state of the budget's units when it first is known or changed significantly."""
        if self.prepaid is None or not self.loaded:
            return
        state = self._schedule.next(self._ledger, self.prepaid, trio.current_time())
        if state:
            logger.bind(account=self.account, **asdict(state)).info("ledger-state")

    # -- the ledger ---------------------------------------------------------------------------

    def apply_ledger(self, ledger: Ledger, own_append: ClockReading = NO_CLOCK_READING) -> None:
        """Apply the ledger as read now; for `own_append` see `PeerReports.observe`."""
        if not self.loaded:
            self._peers.forget()
        if self._is_rollback_pending:
            self._apply_rolled_back_ledger(ledger)
        self._peers.observe(ledger, own_append, self._process.clocks.read())
        self._ledger = ledger
        self._ledger_read_at = trio.current_time()
        self.loaded = True
        others = ledger.by_instance.items()
        peer_shortfalls = {
            held.incarnation: held.shortfall
            for instance, held in others
            if held.shortfall and instance != self._process.instance
        }
        self._shortfalls.update_seen(peer_shortfalls, self._ledger_read_at)
        self._log_ledger()

    def on_era_rise(self) -> None:
        """Handle a rise of the store's era: the next ledger comes from a rolled-back store."""
        self._is_rollback_pending = True
        self.limits.reports.on_era_rise()

    def _apply_rolled_back_ledger(self, ledger: Ledger) -> None:
        """Report this process's holding again, whatever the rolled-back ledger has of it.

        Observations of peers date from the previous era and prove nothing in this one.
        """
        self._is_rollback_pending = False
        own = ledger.by_instance.get(self._process.instance)
        incarnation = self._process.incarnation
        is_own = own is not None and own.incarnation == incarnation
        self._written_holding = own if is_own else Holding(incarnation)
        self._must_report_again = bool(self.allocation.granted or self.allocation.spent or is_own)
        self._peers.forget()

    @property
    def has_waiting_requests(self) -> bool:
        """True while requests wait for a ledger change that can be made now."""
        return (
            bool(self._shortfalls.waiting)
            and not self.loans.is_borrowing
            and self.can_be_granted()
            and not self.is_waiting_for_readers
        )

    @property
    def is_waiting_for_readers(self) -> bool:
        """True while requests only wait until other routers have read their grant."""
        if not self._partition.era or not self._shortfalls.waiting:
            return False
        kept = self._waits.promises.units_kept(trio.current_time())
        return self.limits.within_limits() - kept >= min(self._shortfalls.waiting)

    def is_due(self) -> bool:
        """Return whether this process should change the ledger."""
        if not self.loaded or self._is_unused() or self._partition.is_resting(self.account):
            return False
        wanting = self._wants_units() or self._is_report_due() or self._excess_units() > 0
        if wanting or self._returnable(self._ledger):
            return True
        return self._is_shortfall_report_due(self._shortfall())

    def _is_unused(self) -> bool:
        """Return whether the account never had traffic, units or preallocation at this router.

        Such an account needs no ledger change. Most accounts are unused at most routers of a large
        fleet; checking 40 of them in full twice a second took a third of an idle router's CPU time.
        """
        allocation = self.allocation
        is_unused = not (
            self._traffic.typical
            or allocation.granted
            or allocation.spent
            or self._written_holding.granted
        )
        return is_unused and not self._ledger.unproved and not self._process.routers()

    def wake(self) -> None:
        """Make the waiting requests try to reserve again."""
        if self._options.waits_for_expected_units:
            self._serve_in_order()
        self._notify_waiting()

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def plan(self) -> LedgerChange | None:
        """Return the next ledger change, or None if none is needed."""
        if not self.loaded:
            return None
        ledger = ledger_from_bytes(ledger_to_bytes(self._ledger))
        if not self._partition.is_open():
            return self._plan_report(ledger)
        process = self._process
        predecessor = close_predecessor(
            ledger, process.instance, process.incarnation, process.started_at, process.address
        )
        take_back(self.allocation, self._excess_units())
        own = self._holding()
        set_holding(ledger, process.instance, own)
        returned = {
            name: return_unproved(ledger, name, used)
            for name, used in self._returnable(ledger).items()
        }
        granted = self._grantable_units(ledger)
        units_lacking = max(0, self._shortfall() - granted)
        due = self._is_report_due() or self._is_shortfall_report_due(units_lacking)
        if not (predecessor or returned or granted or due):
            return None
        own.granted += granted
        own.shortfall = self._shortfalls.next_shortfall(units_lacking)
        own.limit = self._next_limit(own.granted)
        set_holding(ledger, process.instance, own)
        return LedgerChange(own, granted, predecessor, returned, ledger)

    def _plan_report(self, ledger: Ledger) -> LedgerChange | None:
        """Return a change that only reports this process's holding, in an era not yet open."""
        if not self._is_report_due():
            return None
        own = self._holding()
        own.limit = self._next_limit(own.granted)
        set_holding(ledger, self._process.instance, own)
        return LedgerChange(own, 0, None, {}, self._partition.to_write(self.account, ledger))

    def _holding(self) -> Holding:
        """Return the current holding of this process."""
        return Holding(
            self._process.incarnation,
            self.allocation.granted,
            self.allocation.spent,
            self.billed_requests,
            address=self._process.address,
            era=self._partition.era,
            read_offset=self._partition.own_read_offset if self._partition.era else 0,
        )

    def _returnable(self, ledger: Ledger) -> dict[str, int]:
        """Return the most that dead processes can have used, by instance, where units are left."""
        used_by_instance = {
            name: self._peers.max_used(dead.incarnation) for name, dead in ledger.unproved.items()
        }
        return {
            name: used
            for name, used in used_by_instance.items()
            if used is not None and used < ledger.unproved[name].granted
        }

    def _next_limit(self, granted: int) -> SpendLimit | None:
        """Return the next report's spend limit; it applies from now on, with the current one.

        It allows no more than is granted, which bounds its figures too.
        """
        now = trio.current_time()
        burst = burst_units(self._traffic, now, self._options) + sum(self._shortfalls.waiting)
        available = granted - self.allocation.spent - self.allocation.reserved
        pace = pace_units(self._traffic, available, burst, now, self._options)
        return self.limits.next_limit(min(burst, granted), min(pace, granted))

    def apply_change(self, change: LedgerChange) -> None:
        """Apply a change that was appended to the ledger."""
        self.allocation.granted += change.granted
        self.note_units_arrived(change.granted)
        self._written_holding = change.holding
        self._reported_at = trio.current_time()
        self._must_report_again = False
        self.limits.apply(change.holding.limit)
        if change.predecessor:
            self._log_closed_holding(change.predecessor)
        for instance, units in change.returned.items():
            self._process.counters.add("budget_units_returned", units)
            bound = logger.bind(account=self.account, instance=instance, units=units)
            bound.info("peers-hand-returned")

    def _log_closed_holding(self, predecessor: Holding) -> None:
        """Log and count how the previous process's holding was closed."""
        process = self._process
        charged = charged_units(predecessor, process.started_at)
        units, returned = charged - predecessor.spent, predecessor.granted - charged
        process.counters.add("budget_units_written_off", units)
        process.counters.add("budget_units_returned", returned)
        proof = proof_of(predecessor.limit, process.started_at, predecessor.spent)
        logger.bind(account=self.account, units=units, returned=returned, **asdict(proof)).info(
            "former-hand-closed"
        )

    def is_written(self, change: LedgerChange) -> bool:
        """Return whether the ledger contains a change; only this process writes its own holding."""
        return is_same_report(self._ledger.by_instance.get(self._process.instance), change.holding)

    def _grantable_units(self, ledger: Ledger) -> int:
        """Return how many of the wanted units the ledger can grant."""
        if self.prepaid is None or not self._wants_units():
            return 0
        missing = self._shortfalls.waiting_shortfall(self._unclaimed())
        below_target = self._target() - self.allocation.available - missing
        allocated = committed(ledger) - reported_spend(ledger)
        preallocatable = max(0, self._max_preallocated() - allocated)
        held_back = self._shortfalls.held_for_callers(trio.current_time())
        free = self.prepaid - committed(ledger) - missing - held_back
        wanted = missing + max(0, min(below_target, preallocatable, free))
        waiting = self._shortfalls.waiting
        minimum = max(0, min(waiting) - self._unpromised()) if waiting else 0
        amount = grant(ledger, self.prepaid, wanted, minimum)
        if not amount:
            self._refill_refused_at = trio.current_time()
        return amount

    # -- sizes --------------------------------------------------------------------------------

    def _left(self) -> int:
        """Return the units of the budget not reported as spent."""
        return max(0, (self.prepaid or 0) - reported_spend(self._ledger))

    def _target(self) -> int:
        """Return the allocation's target size, units."""
        if not self._process.preallocating or not self.prepaid:
            return 0
        return target_units(
            self._traffic,
            self._left(),
            self._process.routers(),
            trio.current_time(),
            self._options,
            self._horizon_s(),
            self._max_preallocated(),
        )

    def _max_preallocated(self) -> int:
        """Return the most units that all routers together may preallocate."""
        lost = written_off(self._ledger)
        return max_preallocated_units(self._left(), self.prepaid or 0, lost, self._options)

    def _wants_units(self) -> bool:
        """Return whether to ask for a grant; a refused refill waits for a read interval."""
        if self._process.leaving or self.loans.is_borrowing:
            return False
        if self._shortfalls.waiting_shortfall(self._unclaimed()) > 0:
            return True
        refused_recently = (
            trio.current_time() - self._refill_refused_at < self._options.read_interval_s
        )
        return not refused_recently and is_low(
            self.allocation.available, self._target(), self._options
        )

    def _excess_units(self) -> int:
        """Return the units to give back: all at shutdown, else what local traffic does not need."""
        if self._process.leaving:
            return self.allocation.available
        if self.is_returning:
            return 0
        for_returns = self.allocation.available - self._unclaimed()
        keep = self._target() + sum(self._shortfalls.waiting) + for_returns
        excess = excess_units(self.allocation.available, keep, self._traffic.typical, self._options)
        return max(excess, self._units_for_others())

    # -- shortfalls ---------------------------------------------------------------------------

    def _shortfall(self) -> int:
        """Return the units that waiting and retrying callers lack here, at most the budget."""
        if self._process.leaving or self.loans.is_borrowing:
            return 0
        lacking = self._shortfalls.total_shortfall(self._unpromised(), trio.current_time())
        return min(lacking, self.prepaid or 0)

    def _units_for_others(self) -> int:
        """Return the units that other routers lack and local traffic does not need."""
        now = trio.current_time()
        units_lacking = self._shortfall()
        others_shortfall = self._shortfalls.shortfall_of_others(units_lacking, now)
        if not others_shortfall or self.prepaid is None:
            return 0
        # Waiting requests take precedence over expected retries: units that were just granted to
        # them would be returned and granted again without end.
        available = self.allocation.available
        for_callers = max(
            units_for_callers(available, self._shortfalls.waiting),
            units_for_callers(available, self._shortfalls.pending_amounts(now)),
        )
        for_callers += self._waits.promises.units_kept(now)
        near_term = 0 if units_lacking else self._near_term_units()
        spare = spare_units(
            self.allocation.available, self._traffic.typical, near_term, for_callers
        )
        return units_to_return(others_shortfall, self.prepaid - committed(self._ledger), spare)

    def _is_shortfall_report_due(self, units_lacking: int) -> bool:
        """Return whether to report the local shortfall now."""
        age_s = trio.current_time() - self._reported_at
        return is_renewal_due(self._written_holding.shortfall, units_lacking, age_s)

    def _near_term_units(self) -> int:
        """Return the units that local traffic is likely to need in the near term."""
        traffic = self._traffic
        rate = rate_at(traffic, traffic.seen_at, self._options.rate_window_s)
        return near_term_units(rate, traffic.typical, trio.current_time() - traffic.seen_at)

    def _is_blocked_by_limit(self) -> bool:
        """Return whether a waiting request has enough units but exceeds the spend limit."""
        minimum = min(self._shortfalls.waiting, default=math.inf)
        return self.limits.within_limits() < minimum <= self.allocation.available

    def _is_report_due(self) -> bool:
        """Return whether to report spending or to renew the spend limit."""
        if self._must_report_again or self.is_returning or self._is_blocked_by_limit():
            return True
        if trio.current_time() - self._reported_at < self._options.report_interval_s:
            return False
        is_growing = self.limits.any_growing() and self.allocation.available > 0
        return is_growing or self.allocation.spent != self._written_holding.spent
