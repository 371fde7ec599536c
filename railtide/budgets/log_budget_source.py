"""The treasury of a router: reserves from what is in hand, and keeps the hand filled.

All that one incarnation of the router has in hand belongs to one `Epoch`. A fence ends the
epoch: its open requests are settled in it, nothing new is reserved from it, and when nothing is
left to settle it is closed, which gives back all that the fence had withheld.
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
from railtide.budgets.budget_source import BudgetReservation, BudgetSource
from railtide.budgets.errors import BudgetError, BudgetExhausted, BudgetUnavailable
from railtide.budgets.grant_sizing import (
    AdaptiveSizing,
    Demand,
    GrantSizing,
    exposure_of,
    low_water,
)
from railtide.budgets.messages import Grant, GrantReturn
from railtide.configuration.models import AccountSettings
from railtide.journal.entries import VerdictCode
from railtide.journal.writer import Submission, Writer
from railtide.membership.messages import CloseHolder

__all__ = ["Epoch", "LogReservation", "LogBudgetSource"]

Taken = TypeVar("Taken")

RATE_WINDOW_S = 5.0
RETRY_GRANT_S = 0.05
RETRY_AFTER_S = 1.0
TEND_S = 1.0
IDLE_KEEP_SHARE = 2
BUSY_S = 1.0
EXHAUSTED_RETRY_AFTER_S = 5.0


@dataclass
class Epoch:
    """One incarnation of the router at the log, and its hands by account."""

    writer: Writer
    by_account: dict[str, Allocation] = field(default_factory=dict)
    open_reservations: int = 0

    def allocation(self, account: str) -> Allocation:
        """Return the account's hand."""
        return self.by_account.setdefault(account, Allocation())


class LogReservation(BudgetReservation):
    """Units reserved for one request, from reserve to settlement.

    Parameters
    ----------
    epoch : Epoch
    account : str
    amount : int
        The request's greatest cost.
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
        """Reserve more units for another try; False if they are not in hand."""
        if self.epoch.writer.fenced or not reserve(self._allocation, amount):
            return False
        self.amount += amount
        return True

    def try_expose(self, amount: int) -> bool:
        """Claim the right to send before the log covers `amount`, if the limit allows it."""
        if not can_expose(self._allocation, amount):
            return False
        expose(self._allocation, amount)
        self._exposed += amount
        return True

    def cover(self, amount: int) -> None:
        """Say that the log covers `amount` now, if it was exposed."""
        covered = min(amount, self._exposed)
        unexpose(self._allocation, covered)
        self._exposed -= covered

    def settle(self, used: int) -> int:
        """End the reservation at what was used; return the units spent. Only the first counts.

        What is still exposed shrinks to what was used: the bill stands right after the intent in
        this holder's sequence, so no more than that can be missing from the log.
        """
        if self._settled:
            return 0
        self._settled = True
        self.cover(self._exposed - min(used, self._exposed))
        self.epoch.open_reservations -= 1
        return settle_reserve(self._allocation, self.amount, used)


@dataclass
class _Account:
    """What a treasury remembers of an account across epochs."""

    rate: float = 0.0
    seen_at: float = 0.0
    left: int | None = None
    asking: bool = False
    changed: trio.Event = field(default_factory=trio.Event)


class LogBudgetSource(BudgetSource):
    """Hands out reservations and tends the hands.

    Parameters
    ----------
    open_epoch : callable
        Returns a new epoch whose writer has submitted its `OpenHolder`.
    log_reachable : callable
        Whether entries reach the log now.
    holders : callable
        Number of routers that callers of an account are sent to.
    sizing : callable, optional
        Returns the sizing policy for an account's settings.
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
        """Open the first epoch, once the log's time is known; later calls do nothing."""
        if self.epoch is None:
            self.epoch = self._open_epoch()

    # -- reserving ----------------------------------------------------------------------------

    async def reserve(
        self, account: str, settings: AccountSettings, amount: int, deadline: float
    ) -> LogReservation:
        """Return a reservation; see `BudgetSource.reserve`."""
        self._settings_by_account[account] = settings
        self._note_rate(account, amount)
        taken = await self._obtain(
            account, settings, amount, deadline, lambda: self._take(account, amount)
        )
        self._refill(account, settings)
        return taken

    async def extend(
        self, reservation: LogReservation, settings: AccountSettings, amount: int, deadline: float
    ) -> bool:
        """Add to a reservation, asking for a grant if need be; return whether it was done.

        Only the reservation's own epoch can extend it.
        """
        epoch = reservation.epoch

        def take() -> bool:
            return epoch is self.epoch and reservation.extend(amount)

        try:
            return await self._obtain(reservation.account, settings, amount, deadline, take)
        except BudgetError:
            return False

    async def _obtain(
        self,
        account: str,
        settings: AccountSettings,
        amount: int,
        deadline: float,
        take: Callable[[], Taken | None],
    ) -> Taken:
        """Return what `take` returns once it is true, asking for grants until then."""
        until = min(deadline, trio.current_time() + settings.budget_wait_s)
        exhausted = False
        while True:
            taken = take()
            if taken:
                return taken
            now = trio.current_time()
            if now >= until or not self._log_reachable():
                raise self._refusal(exhausted)
            need = amount - self.epoch.allocation(account).available
            exhausted = await self._ask_until(account, settings, need, until) or exhausted

    def _take(self, account: str, amount: int) -> LogReservation | None:
        self._leave_fenced_epoch()
        if not reserve(self.epoch.allocation(account), amount):
            return None
        return LogReservation(self.epoch, account, amount)

    def _refusal(self, exhausted: bool) -> BudgetExhausted | BudgetUnavailable:
        self.refusals += 1
        if exhausted:
            return BudgetExhausted(
                "the prepaid budget does not cover this request's greatest cost",
                retry_after=EXHAUSTED_RETRY_AFTER_S,
            )
        return BudgetUnavailable(
            "no budget is in hand, and the log can't be asked in time", retry_after=RETRY_AFTER_S
        )

    async def _ask_until(
        self, account: str, settings: AccountSettings, need: int, until: float
    ) -> bool:
        """Ask for a grant, or wait for one asked for already; return whether it was refused."""
        known = self._account(account)
        if known.asking:
            with trio.move_on_at(until):
                await known.changed.wait()
            return known.left is not None and known.left < need
        submission = self._ask(account, settings, need)
        if submission is None:
            with trio.move_on_at(until):
                await trio.sleep(RETRY_GRANT_S)
            return True
        verdict = await submission.wait_at_most(until - trio.current_time())
        if verdict is None or verdict.code != VerdictCode.BUDGET_EXHAUSTED:
            return False
        if verdict.available < need:
            with trio.move_on_at(until):
                await trio.sleep(RETRY_GRANT_S)
        return verdict.available < need

    # -- filling ------------------------------------------------------------------------------

    def _refill(self, account: str, settings: AccountSettings) -> None:
        """Ask ahead of need when the hand runs low."""
        known = self._account(account)
        level = low_water(known.rate, settings.grant_horizon_s)
        dry = known.left is not None and known.left <= 0
        if self.epoch.allocation(account).available < level and not known.asking and not dry:
            self._ask(account, settings, 0)

    def _ask(self, account: str, settings: AccountSettings, need: int) -> Submission | None:
        known = self._account(account)
        demand = Demand(need, known.rate, known.left, self._holders(settings))
        amount = self._sizing(settings).size(demand)
        if amount <= 0:
            return None
        known.asking = True
        record = Grant(account, amount, exposure_of(amount, settings.exposure_percent))
        return self.epoch.writer.submit(record)

    def apply_grant_verdict(self, epoch: Epoch, submission: Submission) -> None:
        """Learn from a grant's verdict."""
        record = submission.record
        if not isinstance(record, Grant):
            return
        known = self._account(record.account)
        known.asking = False
        known.left = submission.verdict.available
        if submission.verdict.ok:
            self.grants += 1
            allocation = epoch.allocation(record.account)
            allocation.granted += record.amount
            allocation.exposure_limit = max(allocation.exposure_limit, record.exposure)
        known.changed.set()
        known.changed = trio.Event()

    # -- giving back --------------------------------------------------------------------------

    def return_idle(self, account: str) -> None:
        """Return what lies idle, because another router was refused a grant."""
        if self.epoch is None or self.epoch.writer.fenced:
            return
        allocation = self.epoch.by_account.get(account)
        settings = self._settings_by_account.get(account)
        if allocation is None or settings is None or not self._sizing(settings).returns_idle:
            return
        busy = trio.current_time() - self._account(account).seen_at < BUSY_S
        most = allocation.available // IDLE_KEEP_SHARE if busy else allocation.available
        self._return(account, allocation, most)

    def return_all(self) -> None:
        """Return all that is not reserved; for a graceful shutdown."""
        for account, allocation in self.epoch.by_account.items():
            self._return(account, allocation, allocation.available)

    def _return(self, account: str, allocation: Allocation, most: int) -> None:
        amount = take_back(allocation, most)
        if amount > 0:
            self.returns += 1
            self.epoch.writer.submit(GrantReturn(account, amount))

    async def run(self) -> None:
        """Tend the hands for ever: return what traffic no longer needs, close ended epochs."""
        while True:
            await trio.sleep(TEND_S)
            if self.epoch is None:
                continue
            self._leave_fenced_epoch()
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

    def _leave_fenced_epoch(self) -> None:
        if not self.epoch.writer.fenced or self.epoch.writer.closed:
            return
        logger.info("holder {} was fenced; opening a new one", self.epoch.writer.holder)
        self.ended.append(self.epoch)
        self.epoch = self._open_epoch()
        for known in self._by_account.values():
            known.asking = False

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
        known = self._account(account)
        known.rate = self._decayed_rate(known) + amount / RATE_WINDOW_S
        known.seen_at = trio.current_time()

    @staticmethod
    def _decayed_rate(known: _Account) -> float:
        """Return the exponentially weighted rate as of now, units a second."""
        passed = trio.current_time() - known.seen_at
        return known.rate * math.exp(-passed / RATE_WINDOW_S)


def _adaptive(settings: AccountSettings) -> GrantSizing:
    return AdaptiveSizing(settings.grant_horizon_s, settings.grant_min)
