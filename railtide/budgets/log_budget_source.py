"""A budget source over the log: reserves from local allocations and refills them by grants.

All allocations of one incarnation of the router belong to one `Epoch`. A fence ends the epoch: its
open requests are still settled in it, but nothing new is reserved from it. When nothing is left to
settle it is closed, which frees all units that the fence had withheld.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import trio
from loguru import logger

from railtide.budgets.allocation import (
    Allocation,
    can_expose,
    expose,
    reserve,
    settle_reserve,
    take_back,
    unexpose,
)
from railtide.budgets.budget_source import (
    NO_TERMS,
    BudgetReservation,
    BudgetSource,
    ReservationTerms,
)
from railtide.budgets.errors import BudgetError, BudgetExhausted, BudgetUnavailable
from railtide.budgets.grant_sizing import (
    AdaptiveSizing,
    Demand,
    GrantSizing,
    exposure_of,
    low_watermark,
)
from railtide.budgets.messages import Grant, GrantReturn
from railtide.configuration.models import AccountSettings
from railtide.journal.entries import VerdictCode
from railtide.journal.writer import Submission, Writer
from railtide.membership.messages import CloseHolder

__all__ = ["Epoch", "LogReservation", "LogBudgetSource"]

ResultT = TypeVar("ResultT")

RATE_WINDOW_S = 5.0
"""Averaging window of an account's rate."""
GRANT_RETRY_INTERVAL_S = 0.05
"""Wait after a refused grant before asking again."""
RETRY_AFTER_S = 1.0
"""Retry-After when no grant could be obtained."""
MAINTENANCE_INTERVAL_S = 1.0
"""Time between two checks for idle units and ended epochs."""
BUSY_RETURN_DIVISOR = 2
"""A busy account that is asked to return its idle units returns them divided by this."""
BUSY_WINDOW_S = 1.0
"""An account is busy for this long after a request."""
EXHAUSTED_RETRY_AFTER_S = 5.0
"""Retry-After when the budget is exhausted."""


@dataclass
class Epoch:
    """One incarnation of the router as a writer of the log, with its allocations by account."""

    writer: Writer
    by_account: dict[str, Allocation] = field(default_factory=dict)
    open_reservations: int = 0

    def allocation(self, account: str) -> Allocation:
        """Return the account's allocation; created on first use."""
        return self.by_account.setdefault(account, Allocation())


class LogReservation(BudgetReservation):
    """Units of an epoch's allocation reserved for one request.

    Parameters
    ----------
    epoch : Epoch
    account : str
    amount : int
        The request's maximum cost, units.
    """

    def __init__(self, epoch: Epoch, account: str, amount: int) -> None:
        self.epoch = epoch
        self.account = account
        self.amount = amount
        self._exposed = 0
        self._settled = False
        epoch.open_reservations += 1

    @property
    def _allocation(self) -> Allocation:
        return self.epoch.allocation(self.account)

    def extend(self, amount: int) -> bool:
        """Reserve more units for another attempt; return False if too few are available."""
        if self.epoch.writer.fenced or not reserve(self._allocation, amount):
            return False
        self.amount += amount
        return True

    def try_expose(self, amount: int) -> bool:
        """Allow dispatch before the log covers `amount`; return False beyond the exposure limit."""
        if not can_expose(self._allocation, amount):
            return False
        expose(self._allocation, amount)
        self._exposed += amount
        return True

    def cover(self, amount: int) -> None:
        """Record that the log now covers `amount`, as far as that was exposed."""
        covered = min(amount, self._exposed)
        unexpose(self._allocation, covered)
        self._exposed -= covered

    def settle(self, used: int) -> int:
        """End the reservation with the units used; see `BudgetReservation.settle`.

        The exposure shrinks to the units used: the bill directly follows the intent in this
        holder's sequence, so no more than that can be missing from the log.
        """
        if self._settled:
            return 0
        self._settled = True
        self.cover(self._exposed - min(used, self._exposed))
        self.epoch.open_reservations -= 1
        return settle_reserve(self._allocation, self.amount, used)


@dataclass
class _Account:
    """State of an account that outlives epochs."""

    rate: float = 0.0
    seen_at: float = 0.0
    left: int | None = None
    grant_pending: bool = False
    changed: trio.Event = field(default_factory=trio.Event)


class LogBudgetSource(BudgetSource):
    """Reserves from allocations that are granted in the log.

    Parameters
    ----------
    open_epoch : callable
        Returns a new epoch whose writer has submitted its `OpenHolder`.
    log_reachable : callable
        Returns whether entries reach the log now.
    holders : callable
        Returns the number of routers that callers of an account are sent to.
    sizing : callable, optional
        Returns the grant sizing policy for an account's settings.
    """

    def __init__(
        self,
        open_epoch: Callable[[], Epoch],
        log_reachable: Callable[[], bool],
        holders: Callable[[AccountSettings], int],
        sizing: Callable[[AccountSettings], GrantSizing] | None = None,
    ) -> None:
        self.refusals = 0
        self.grants = 0
        self.returns = 0
        self.epoch: Epoch | None = None
        self.ended: list[Epoch] = []
        self._open_epoch = open_epoch
        self._log_reachable = log_reachable
        self._holders = holders
        self._sizing = sizing or _adaptive
        self._by_account: dict[str, _Account] = {}
        self._settings_by_account: dict[str, AccountSettings] = {}

    def begin(self) -> None:
        """Open the first epoch, once the log's time is known; later calls have no effect."""
        if self.epoch is None:
            self.epoch = self._open_epoch()

    # -- reserving ----------------------------------------------------------------------------

    async def reserve(
        self,
        account: str,
        settings: AccountSettings,
        amount: int,
        deadline: float,
        terms: ReservationTerms = NO_TERMS,
    ) -> LogReservation:
        """Return a reservation; see `BudgetSource.reserve`."""
        self._settings_by_account[account] = settings
        self._note_rate(account, amount)
        result = await self._reserve_or_wait(
            account, settings, amount, deadline, lambda: self._try_reserve(account, amount)
        )
        self._refill(account, settings)
        return result

    async def extend(
        self, reservation: LogReservation, settings: AccountSettings, amount: int, deadline: float
    ) -> bool:
        """Extend a reservation, asking for a grant if necessary; return whether that succeeded.

        Fails if the reservation's epoch has ended.
        """
        epoch = reservation.epoch

        def try_reserve() -> bool:
            return epoch is self.epoch and reservation.extend(amount)

        try:
            return await self._reserve_or_wait(
                reservation.account, settings, amount, deadline, try_reserve
            )
        except BudgetError:
            return False

    async def _reserve_or_wait(
        self,
        account: str,
        settings: AccountSettings,
        amount: int,
        deadline: float,
        try_reserve: Callable[[], ResultT | None],
    ) -> ResultT:
        """Call `try_reserve`, asking for grants in between, until its result is true; return it."""
        until = min(deadline, trio.current_time() + settings.budget_wait_s)
        exhausted = False
        while True:
            result = try_reserve()
            if result:
                return result
            now = trio.current_time()
            if now >= until or not self._log_reachable():
                raise self._refusal(exhausted)
            need = amount - self.epoch.allocation(account).available
            exhausted = await self._request_grant_until(account, settings, need, until) or exhausted

    def _try_reserve(self, account: str, amount: int) -> LogReservation | None:
        self._replace_fenced_epoch()
        if not reserve(self.epoch.allocation(account), amount):
            return None
        return LogReservation(self.epoch, account, amount)

    def _refusal(self, exhausted: bool) -> BudgetExhausted | BudgetUnavailable:
        self.refusals += 1
        if exhausted:
            return BudgetExhausted(
                "the prepaid budget does not cover this request's maximum cost",
                retry_after=EXHAUSTED_RETRY_AFTER_S,
            )
        return BudgetUnavailable(
            "this router has too few units allocated and could not obtain more in time",
            retry_after=RETRY_AFTER_S,
        )

    async def _request_grant_until(
        self, account: str, settings: AccountSettings, need: int, until: float
    ) -> bool:
        """Ask for a grant, or wait for a pending one; return whether it was refused."""
        state = self._account(account)
        if state.grant_pending:
            with trio.move_on_at(until):
                await state.changed.wait()
            return state.left is not None and state.left < need
        submission = self._request_grant(account, settings, need)
        if submission is None:
            with trio.move_on_at(until):
                await trio.sleep(GRANT_RETRY_INTERVAL_S)
            return True
        verdict = await submission.wait_at_most(until - trio.current_time())
        if verdict is None or verdict.code != VerdictCode.BUDGET_EXHAUSTED:
            return False
        if verdict.available < need:
            with trio.move_on_at(until):
                await trio.sleep(GRANT_RETRY_INTERVAL_S)
        return verdict.available < need

    # -- refilling ----------------------------------------------------------------------------

    def _refill(self, account: str, settings: AccountSettings) -> None:
        """Ask for a grant ahead of need when the allocation runs low."""
        state = self._account(account)
        level = low_watermark(state.rate, settings.grant_horizon_s)
        is_exhausted = state.left is not None and state.left <= 0
        if (
            self.epoch.allocation(account).available < level
            and not state.grant_pending
            and not is_exhausted
        ):
            self._request_grant(account, settings, 0)

    def _request_grant(
        self, account: str, settings: AccountSettings, need: int
    ) -> Submission | None:
        state = self._account(account)
        demand = Demand(need, state.rate, state.left, self._holders(settings))
        amount = self._sizing(settings).size(demand)
        if amount <= 0:
            return None
        state.grant_pending = True
        record = Grant(account, amount, exposure_of(amount, settings.exposure_percent))
        return self.epoch.writer.submit(record)

    def apply_grant_verdict(self, epoch: Epoch, submission: Submission) -> None:
        """Apply the verdict on a grant; other records are ignored."""
        record = submission.record
        if not isinstance(record, Grant):
            return
        state = self._account(record.account)
        state.grant_pending = False
        state.left = submission.verdict.available
        if submission.verdict.ok:
            self.grants += 1
            allocation = epoch.allocation(record.account)
            allocation.granted += record.amount
            allocation.exposure_limit = max(allocation.exposure_limit, record.exposure)
        state.changed.set()
        state.changed = trio.Event()

    # -- returning ----------------------------------------------------------------------------

    def return_idle(self, account: str) -> None:
        """Return an account's idle units, as another router was refused a grant."""
        if self.epoch is None or self.epoch.writer.fenced:
            return
        allocation = self.epoch.by_account.get(account)
        settings = self._settings_by_account.get(account)
        if allocation is None or settings is None or not self._sizing(settings).returns_idle:
            return
        busy = trio.current_time() - self._account(account).seen_at < BUSY_WINDOW_S
        maximum = allocation.available // BUSY_RETURN_DIVISOR if busy else allocation.available
        self._return(account, allocation, maximum)

    def return_all(self) -> None:
        """Return all unreserved units, for a graceful shutdown."""
        for account, allocation in self.epoch.by_account.items():
            self._return(account, allocation, allocation.available)

    def _return(self, account: str, allocation: Allocation, maximum: int) -> None:
        amount = take_back(allocation, maximum)
        if amount > 0:
            self.returns += 1
            self.epoch.writer.submit(GrantReturn(account, amount))

    async def run(self) -> None:
        """Return units that traffic no longer needs and close ended epochs, until cancelled."""
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            if self.epoch is None:
                continue
            self._replace_fenced_epoch()
            self._close_ended()
            for account, allocation in self.epoch.by_account.items():
                self._trim(account, allocation)

    def _trim(self, account: str, allocation: Allocation) -> None:
        settings = self._settings_by_account.get(account)
        if settings is None or not self._log_reachable():
            return
        if not self._sizing(settings).returns_idle:
            return
        rate = self._decayed_rate(self._account(account))
        keep = round(rate * settings.grant_horizon_s) + settings.grant_min
        if allocation.available > 2 * keep:
            self._return(account, allocation, allocation.available - keep)

    # -- epochs -------------------------------------------------------------------------------

    def _replace_fenced_epoch(self) -> None:
        if not self.epoch.writer.fenced or self.epoch.writer.closed:
            return
        logger.info("holder {} was fenced; opening a new epoch", self.epoch.writer.holder)
        self.ended.append(self.epoch)
        self.epoch = self._open_epoch()
        for state in self._by_account.values():
            state.grant_pending = False

    def _close_ended(self) -> None:
        for epoch in list(self.ended):
            writer = epoch.writer
            if epoch.open_reservations or writer.pending():
                continue
            if writer.closed:
                self.ended.remove(epoch)
            else:
                writer.closed = True
                writer.submit(CloseHolder())

    # -- rates --------------------------------------------------------------------------------

    def _account(self, account: str) -> _Account:
        return self._by_account.setdefault(account, _Account())

    def _note_rate(self, account: str, amount: int) -> None:
        state = self._account(account)
        state.rate = self._decayed_rate(state) + amount / RATE_WINDOW_S
        state.seen_at = trio.current_time()

    @staticmethod
    def _decayed_rate(state: _Account) -> float:
        """Return the exponentially weighted rate decayed to now, units a second."""
        elapsed = trio.current_time() - state.seen_at
        return state.rate * math.exp(-elapsed / RATE_WINDOW_S)


def _adaptive(settings: AccountSettings) -> GrantSizing:
    return AdaptiveSizing(settings.grant_horizon_s, settings.grant_min)
