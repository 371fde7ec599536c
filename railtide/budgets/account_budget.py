"""One account's hand at one router, and what it wants of the account's ledger. No I/O."""

import math
from collections.abc import Callable
from dataclasses import asdict, dataclass

import trio
from loguru import logger

from railtide.budgets.account_log import (
    AccountState,
    LineSchedule,
    proof_of,
    refusal_cause,
    state_of,
)
from railtide.budgets.allocation import Allocation, reserve, take_back
from railtide.budgets.allocation_limits import AllocationLimits
from railtide.budgets.allocation_sizing import (
    Traffic,
    ahead_units,
    burst_units,
    idle_units,
    is_low,
    note_request,
    pace_units,
    rate_at,
    target_units,
)
from railtide.budgets.ledger import (
    Holding,
    Ledger,
    account_for,
    close_former,
    committed,
    grant,
    is_same_report,
    ledger_from_bytes,
    ledger_to_bytes,
    reported_spend,
    return_unproved,
    units_charged,
    written_off,
)
from railtide.budgets.partition_view import PartitionView, StandalonePartition
from railtide.budgets.peer_reports import PeerReports
from railtide.budgets.process_context import Holder
from railtide.budgets.shortfall_tracker import ShortfallTracker
from railtide.budgets.shortfalls import (
    is_renewal_due,
    soon_units,
    spare_units,
    units_for_callers,
    units_to_return,
)
from railtide.budgets.spend_limit import NO_CLOCK_READING, ClockReading, SpendLimit

__all__ = ["AccountBudget", "LedgerChange"]

NEED_RETRIES = 2
"""For how many times the wait that a refused caller is told its units are asked for: it comes over
a network, and others look at the ledgers in their own time."""


@dataclass(frozen=True)
class LedgerChange:
    """A change of one account's ledger by this process.

    `granted` is what it grants to the process, `former` the holding that it closes of the process
    before, `returned` what it returns of dead peers' holdings, by instance.
    """

    holding: Holding
    granted: int
    former: Holding | None
    returned: dict[str, int]
    ledger: Ledger


class AccountBudget:
    """One account's hand.

    Parameters
    ----------
    account : str
    holder : Holder
    ask : callable
        Has the ledger read and changed now.
    horizon_s : callable
        Returns for how many seconds of traffic the hand is to last now.
    place : PartitionView, optional
        The partition of the account's ledger.

    Attributes
    ----------
    prepaid : int or None
        The budget in force; None before a configuration names it.
    loaded : bool
        Whether the ledger was read once.
    billed_requests : int
        Requests billed so far.
    bounds : AllocationLimits
    """

    def __init__(
        self,
        account: str,
        holder: Holder,
        ask: Callable[[], None],
        horizon_s: Callable[[], float],
        place: PartitionView | None = None,
    ) -> None:
        self.account = account
        self.allocation = Allocation()
        self._place = place or StandalonePartition()
        self.bounds = AllocationLimits(self.allocation, holder, self._place)
        self.prepaid: int | None = None
        self.loaded = False
        self.billed_requests = 0
        self._holder = holder
        self._options = holder.options
        self._traffic = Traffic()
        self._needs = ShortfallTracker(holder.incarnation)
        self._ledger = Ledger()
        self._ledger_at = -math.inf
        self._written = Holding(holder.incarnation)
        self._peers = PeerReports()
        self._reported_at = -math.inf
        self._is_copy_due = False
        self._is_to_say_again = False
        self._refill_refused_at = -math.inf
        self._ask = ask
        self._horizon_s = horizon_s
        self._schedule = LineSchedule(holder.lines)
        self._changed = trio.Event()

    # -- requests -----------------------------------------------------------------------------

    def note(self, amount: int) -> None:
        """Count a request in the account's traffic."""
        note_request(self._traffic, amount, trio.current_time(), self._options.rate_window_s)

    def try_reserve(self, amount: int) -> bool:
        """Reserve units if they are in hand and within what the process has bound itself to."""
        if amount <= self._headroom() and reserve(self.allocation, amount):
            self._needs.forget_refused(amount)
            return True
        return False

    def wait_s(self, amount: int) -> float | None:
        """Return when the pace allows an amount that is in hand, seconds; None if it is not."""
        return self.bounds.wait_s(amount)

    def _headroom(self) -> int:
        """Return the units that may be reserved now."""
        return self.bounds.headroom(self.prepaid or 0)

    def ask_if_low(self) -> None:
        """Have the hand refilled ahead of need."""
        if is_low(self.allocation.available, self._target(), self._options):
            self._ask()

    async def wait_for(self, amount: int, until: float) -> bool:
        """Reserve units as soon as they are granted; return False if they are not in time."""
        self._needs.waiting.append(amount)
        try:
            with trio.move_on_at(until):
                while not self.try_reserve(amount):
                    if self._is_fresh() and self.is_spent(amount):
                        return False
                    self._ask()
                    await self._changed.wait()
                return True
        finally:
            self._needs.waiting.remove(amount)
        self._note_lack(amount)
        return False

    def _note_lack(self, amount: int) -> None:
        """Have others told that a caller comes back for units that lie in their hands."""
        if self._is_fresh() and amount > self.allocation.available and not self.is_spent(amount):
            again_s = self._options.retry_after_s * NEED_RETRIES
            self._needs.note_refused(amount, trio.current_time() + again_s)
            self._ask()

    def is_spent(self, amount: int) -> bool:
        """Return whether no hand of any router can cover an amount, as of the last read."""
        if self.prepaid is None or not self.loaded:
            return False
        own_unreported = self.allocation.spent - self._written.spent
        return self._left() - own_unreported < amount

    def _is_fresh(self) -> bool:
        """Return whether the ledger was read lately, so that a refusal may rest on it."""
        return trio.current_time() - self._ledger_at <= 2 * self._options.read_s

    def set_prepaid(self, prepaid: int) -> None:
        """Take the budget in force; a lower one takes back what lies idle in the hand."""
        if self.prepaid is not None and prepaid < self.prepaid:
            take_back(self.allocation, self.allocation.available)
        self.prepaid = prepaid
        self._log_ledger()
        self._ask()

    def return_unreserved(self) -> None:
        """Return all that no request has reserved."""
        take_back(self.allocation, self.allocation.available)
        self._ask()

    @property
    def is_returning(self) -> bool:
        """True while units are out of the hand and not yet out of the ledger."""
        return self.allocation.granted < self._written.granted

    def log_refusal(self, amount: int, store_reached: bool, ledger_age_ms: int | None) -> None:
        """Say and count what a refusal rests on."""
        state = self._state()
        cause = refusal_cause(
            state, amount, self.allocation.available, store_reached, self.allocation.reserved
        )
        self._holder.counters.add(f"budget_refused_{cause.replace('-', '_')}")
        logger.bind(
            cause=cause,
            account=self.account,
            amount=amount,
            in_hand=self.allocation.available,
            reserved=self.allocation.reserved,
            headroom=self._headroom(),
            prepaid=self.prepaid,
            committed=committed(self._ledger),
            reported=reported_spend(self._ledger),
            written_off=state.written_off if state else None,
            store_reached=store_reached,
            ledger_age_ms=ledger_age_ms,
        ).info("budget-refused")

    def _state(self) -> AccountState | None:
        """Return where the budget's units are, None if it or its ledger is not known."""
        if self.prepaid is None or not self.loaded:
            return None
        return state_of(self._ledger, self.prepaid)

    def _log_ledger(self) -> None:
        """Say where the budget's units are, once it is known and when that has changed much."""
        if self.prepaid is None or not self.loaded:
            return
        state = self._schedule.next(self._ledger, self.prepaid, trio.current_time())
        if state:
            logger.bind(account=self.account, **asdict(state)).info("ledger-state")

    # -- the ledger ---------------------------------------------------------------------------

    def take_ledger(self, ledger: Ledger, own_append: ClockReading = NO_CLOCK_READING) -> None:
        """Take the ledger as it was read now; see `PeerReports.observe`."""
        if not self.loaded:
            self._peers.forget()
        if self._is_copy_due:
            self._take_copy(ledger)
        self._peers.observe(ledger, own_append, self._holder.clocks.read())
        self._ledger = ledger
        self._ledger_at = trio.current_time()
        self.loaded = True
        others = ledger.by_instance.items()
        needs = {
            held.incarnation: held.need
            for instance, held in others
            if held.need and instance != self._holder.instance
        }
        self._needs.note_seen(needs, self._ledger_at)
        self._log_ledger()

    def note_rise(self) -> None:
        """Record that the next ledger is one of a store that came back older."""
        self._is_copy_due = True
        self.bounds.reports.note_rise()

    def _take_copy(self, ledger: Ledger) -> None:
        """Have what this process holds said again, whatever the copy has of it.

        What is known of peers was read in the former era and proves nothing.
        """
        self._is_copy_due = False
        own = ledger.by_instance.get(self._holder.instance)
        incarnation = self._holder.incarnation
        is_own = own is not None and own.incarnation == incarnation
        self._written = own if is_own else Holding(incarnation)
        self._is_to_say_again = bool(self.allocation.granted or self.allocation.spent or is_own)
        self._peers.forget()

    @property
    def is_waited_for(self) -> bool:
        """True while requests wait for a change of the ledger that can be made."""
        return bool(self._needs.waiting) and self._place.is_open() and not self.is_held_unread

    @property
    def is_held_unread(self) -> bool:
        """True while requests wait for others to have read what was granted for them."""
        if not self._place.era or not self._needs.waiting:
            return False
        return self.bounds.within_limits() >= min(self._needs.waiting)

    def is_due(self) -> bool:
        """Return whether the ledger should be changed."""
        if not self.loaded or self._is_at_rest():
            return False
        wanting = self._is_wanting() or self._is_report_due() or self._idle() > 0
        if wanting or self._returnable(self._ledger):
            return True
        return self._is_need_due(self._lacking())

    def _is_at_rest(self) -> bool:
        """Return whether no request of the account ever came here, and nothing of it lies here.

        Nothing is due then at a router that keeps nothing ahead of need. Most routers of a large
        fleet are such ones for most accounts, and look twice a second: with 40 accounts it took a
        third of an idle router's processor time.
        """
        allocation = self.allocation
        is_unused = not (
            self._traffic.typical or allocation.granted or allocation.spent or self._written.granted
        )
        return is_unused and not self._ledger.unproved and not self._holder.routers()

    def wake(self) -> None:
        """Have the waiting requests look at the hand again."""
        self._changed.set()
        self._changed = trio.Event()

    def plan(self) -> LedgerChange | None:
        """Return the next change of the ledger, or None if it needs none."""
        if not self.loaded:
            return None
        ledger = ledger_from_bytes(ledger_to_bytes(self._ledger))
        if not self._place.is_open():
            return self._plan_saying(ledger)
        holder = self._holder
        former = close_former(
            ledger, holder.instance, holder.incarnation, holder.started, holder.address
        )
        take_back(self.allocation, self._idle())
        own = self._holding()
        account_for(ledger, holder.instance, own)
        returned = {
            name: return_unproved(ledger, name, used)
            for name, used in self._returnable(ledger).items()
        }
        granted = self._grantable(ledger)
        lacking = max(0, self._lacking() - granted)
        due = self._is_report_due() or self._is_need_due(lacking)
        if not (former or returned or granted or due):
            return None
        own.granted += granted
        own.need = self._needs.next_need(lacking)
        own.limit = self._next_limit()
        account_for(ledger, holder.instance, own)
        return LedgerChange(own, granted, former, returned, ledger)

    def _plan_saying(self, ledger: Ledger) -> LedgerChange | None:
        """Return what this process says of itself in an era that is not open."""
        if not self._is_report_due():
            return None
        own = self._holding()
        own.limit = self._next_limit()
        account_for(ledger, self._holder.instance, own)
        return LedgerChange(own, 0, None, {}, self._place.as_written(self.account, ledger))

    def _holding(self) -> Holding:
        """Return what this process holds, as of now."""
        return Holding(
            self._holder.incarnation,
            self.allocation.granted,
            self.allocation.spent,
            self.billed_requests,
            address=self._holder.address,
            era=self._place.era,
            read=self._place.read_end if self._place.era else 0,
        )

    def _returnable(self, ledger: Ledger) -> dict[str, int]:
        """Return what dead processes can have used, by instance, where that is not all."""
        used_by_instance = {
            name: self._peers.used_at_most(dead.incarnation)
            for name, dead in ledger.unproved.items()
        }
        return {
            name: used
            for name, used in used_by_instance.items()
            if used is not None and used < ledger.unproved[name].granted
        }

    def _next_limit(self) -> SpendLimit | None:
        """Return the limit of the next report, kept to from now on beside the one in force."""
        now = trio.current_time()
        burst = burst_units(self._traffic, now, self._options) + sum(self._needs.waiting)
        return self.bounds.next_limit(burst, pace_units(self._traffic, now, self._options))

    def take(self, change: LedgerChange) -> None:
        """Take a change that is in the ledger now."""
        self.allocation.granted += change.granted
        self._written = change.holding
        self._reported_at = trio.current_time()
        self._is_to_say_again = False
        self.bounds.take(change.holding.limit)
        if change.former:
            self._log_closed(change.former)
        for instance, units in change.returned.items():
            self._holder.counters.add("budget_units_returned", units)
            bound = logger.bind(account=self.account, instance=instance, units=units)
            bound.info("peers-hand-returned")

    def _log_closed(self, former: Holding) -> None:
        """Say and count what became of the hand of the process before."""
        holder = self._holder
        charged = units_charged(former, holder.started)
        units, returned = charged - former.spent, former.granted - charged
        holder.counters.add("budget_units_written_off", units)
        holder.counters.add("budget_units_returned", returned)
        proof = proof_of(former.limit, holder.started)
        logger.bind(account=self.account, units=units, returned=returned, **asdict(proof)).info(
            "former-hand-closed"
        )

    def is_written(self, change: LedgerChange) -> bool:
        """Return whether the ledger as read has a change; only this process writes its holding."""
        return is_same_report(self._ledger.by_instance.get(self._holder.instance), change.holding)

    def _grantable(self, ledger: Ledger) -> int:
        """Return the units that the ledger can grant of those wanted."""
        if self.prepaid is None or not self._is_wanting():
            return 0
        missing = self._needs.missing(self.allocation.available)
        short = self._target() - self.allocation.available - missing
        in_hands = committed(ledger) - reported_spend(ledger)
        ahead = max(0, self._most_ahead() - in_hands)
        kept = self._needs.kept_for_callers(trio.current_time())
        free = self.prepaid - committed(ledger) - missing - kept
        wanted = missing + max(0, min(short, ahead, free))
        waiting = self._needs.waiting
        least = max(0, min(waiting) - self.allocation.available) if waiting else 0
        amount = grant(ledger, self.prepaid, wanted, least)
        if not amount:
            self._refill_refused_at = trio.current_time()
        return amount

    # -- sizes --------------------------------------------------------------------------------

    def _left(self) -> int:
        """Return the units of the budget that nobody has reported as spent."""
        return max(0, (self.prepaid or 0) - reported_spend(self._ledger))

    def _target(self) -> int:
        """Return the units that should be in hand."""
        if not self._holder.spreading or not self.prepaid:
            return 0
        return target_units(
            self._traffic,
            self._left(),
            self._holder.routers(),
            trio.current_time(),
            self._options,
            self._horizon_s(),
            self._most_ahead(),
        )

    def _most_ahead(self) -> int:
        """Return the units that may lie in all hands together ahead of need."""
        lost = written_off(self._ledger)
        return ahead_units(self._left(), self.prepaid or 0, lost, self._options)

    def _is_wanting(self) -> bool:
        """Return whether to ask for units; ahead of need not while a refusal is fresh."""
        if self._holder.leaving:
            return False
        if self._needs.missing(self.allocation.available) > 0:
            return True
        fresh = trio.current_time() - self._refill_refused_at < self._options.read_s
        return not fresh and is_low(self.allocation.available, self._target(), self._options)

    def _idle(self) -> int:
        """Return the units to give back: all at a shutdown, else what the traffic needs no more."""
        if self._holder.leaving:
            return self.allocation.available
        if self.is_returning:
            return 0
        keep = self._target() + sum(self._needs.waiting)
        idle = idle_units(self.allocation.available, keep, self._traffic.typical, self._options)
        return max(idle, self._recalled())

    # -- needs --------------------------------------------------------------------------------

    def _lacking(self) -> int:
        """Return the units that callers here lack together."""
        if self._holder.leaving:
            return 0
        return self._needs.lacking(self.allocation.available, trio.current_time())

    def _recalled(self) -> int:
        """Return the units in hand that others lack and the traffic here does not."""
        now = trio.current_time()
        lacking = self._lacking()
        theirs = self._needs.of_others(lacking, now)
        if not theirs or self.prepaid is None:
            return 0
        for_callers = units_for_callers(self.allocation.available, self._needs.callers(now))
        soon = 0 if lacking else self._soon()
        spare = spare_units(self.allocation.available, self._traffic.typical, soon, for_callers)
        return units_to_return(theirs, self.prepaid - committed(self._ledger), spare)

    def _is_need_due(self, lacking: int) -> bool:
        """Return whether others should know what is lacking here."""
        age_s = trio.current_time() - self._reported_at
        return is_renewal_due(self._written.need, lacking, age_s)

    def _soon(self) -> int:
        """Return the units that the traffic here is likely to need in the next moments."""
        traffic = self._traffic
        rate = rate_at(traffic, traffic.seen_at, self._options.rate_window_s)
        return soon_units(rate, traffic.typical, trio.current_time() - traffic.seen_at)

    def _is_held_by_limit(self) -> bool:
        """Return whether a waiting request is in hand and beyond the limit."""
        least = min(self._needs.waiting, default=math.inf)
        return self.bounds.within_limits() < least <= self.allocation.available

    def _is_report_due(self) -> bool:
        """Return whether others should know what was spent, or the limit is to be renewed."""
        if self._is_to_say_again or self.is_returning or self._is_held_by_limit():
            return True
        if trio.current_time() - self._reported_at < self._options.report_s:
            return False
        is_growing = self.bounds.are_growing() and self.allocation.available > 0
        return is_growing or self.allocation.spent != self._written.spent
