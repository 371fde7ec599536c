"""A treasury over ledgers in the store: reserves from grants in hand, and keeps the hands filled.

No request waits for the store while the hand covers it. One task changes the ledgers of all
accounts in one compare-and-swap; a call whose answer was lost is settled by reading on.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio
from loguru import logger

from railtide.budgets.errors import BudgetExhausted, BudgetUnavailable
from railtide.budgets.hand import Hand, reserve, settle_reserve, take_back
from railtide.budgets.ledger import (
    Holding,
    Ledger,
    account_for,
    close_former,
    committed,
    grant,
    ledger_from_bytes,
    ledger_to_bytes,
    reported_spend,
)
from railtide.budgets.source import BudgetSource, Reserved
from railtide.configuration.models import AccountSettings
from railtide.journal.errors import LogUnavailable, RecordsExpired
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedStore

__all__ = ["LedgerOptions", "LedgerTreasury"]

TYPICAL_WEIGHT = 0.1
"""Weight of the latest request in the usual size of requests."""
RETURN_TICK_S = 0.02
"""Between two looks at whether a return is written, at a shutdown."""


@dataclass(frozen=True)
class LedgerOptions:
    """How the hands are kept, in seconds and shares.

    Attributes
    ----------
    topic : str
        The keyed topic of the ledgers.
    horizon_s : float
        A hand holds at least about this much of the account's traffic: how long a router serves
        without the store, and what a kill writes off. The users' cuts last 7 to 9 s.
    most_share : float
        Most of what is left of a budget that lies in the hands of all routers together ahead of
        need: what a kill of all of them writes off.
    spread_share : float
        The part of what is left that is spread over all routers alike. Callers keep their
        connections, so an account's traffic is at few routers; the others need enough for a
        caller that comes anew.
    refill_share : float
        A hand below this share of its target is refilled.
    return_share : float
        A hand above this multiple of its target returns the rest.
    least_requests : float
        Typical requests that a hand must cover to be worth keeping. Below it nothing is kept
        ahead of need, so that the end of a budget does not lie in hands too small to use.
    report_share : float
        Share of its target that a hand reports once it was spent.
    read_s : float
        Longest time between two looks at the ledgers, for what others need.
    rate_window_s : float
        Over which the traffic of an account is averaged.
    tend_s : float
        Time between two looks at all hands.
    retry_s : float
        Wait after a failed call to the store, and before a refused grant is asked for again.
    retry_after_s : float
        When a caller refused for a budget in other hands should come back.
    exhausted_retry_after_s : float
        The same when the budget is spent: only a top-up helps.
    """

    topic: str = "keyed.railtide-ledger"
    horizon_s: float = 14.0
    most_share: float = 0.35
    spread_share: float = 0.15
    refill_share: float = 0.75
    return_share: float = 1.4
    least_requests: float = 1.0
    report_share: float = 0.3
    read_s: float = 1.0
    rate_window_s: float = 8.0
    tend_s: float = 0.5
    retry_s: float = 0.1
    retry_after_s: float = 0.5
    exhausted_retry_after_s: float = 2.0


@dataclass
class _Account:
    """One account's hand, and what is known of its traffic and its ledger.

    Attributes
    ----------
    written : Holding
        This process's holding as the ledger has it. `hand.granted` is never above
        `written.granted`; what it is below is on its way back.
    billed_requests : int
        Requests billed so far.
    typical : float
        Units of a usual request, averaged.
    refused_at : float
        Trio time of the latest grant that was not to be had.
    """

    written: Holding
    hand: Hand = field(default_factory=Hand)
    prepaid: int | None = None
    billed_requests: int = 0
    rate: float = 0.0
    seen_at: float = 0.0
    typical: float = 0.0
    needs: list[int] = field(default_factory=list)
    refused_at: float = -math.inf
    changed: trio.Event = field(default_factory=trio.Event)

    def wake(self) -> None:
        """Wake the requests that wait for a grant."""
        self.changed.set()
        self.changed = trio.Event()


class LedgerReservation(Reserved):
    """Units of a hand kept back for one request."""

    def __init__(self, known: _Account, amount: int) -> None:
        self.amount = amount
        self._known = known
        self._settled = False

    def settle(self, used: int) -> int:
        """End the reservation; see `Reserved.settle`."""
        if self._settled:
            return 0
        self._settled = True
        return settle_reserve(self._known.hand, self.amount, used)


@dataclass(frozen=True)
class _Change:
    """An append that is tried until it is known to be in the ledgers, or never to be.

    `amount_by_account` is what it grants to this process, `lost_by_account` what it writes off
    of the process before.
    """

    expected_end: int
    holding_by_account: dict[str, Holding]
    amount_by_account: dict[str, int]
    lost_by_account: dict[str, int]
    value_by_key: dict[str, bytes]


class LedgerTreasury(BudgetSource):
    """Hands out reservations from hands that are granted in the ledgers.

    Parameters
    ----------
    store : KeyedStore
    instance, incarnation : str
        Of this process.
    routers : callable
        Returns how many routers share the budgets.
    options : LedgerOptions

    Attributes
    ----------
    ready, reachable : bool
        Whether the ledgers were read once, and whether the store answered last.
    spreading : bool
        Whether `routers` is to be relied on, so that budgets are spread over all of them.
    """

    def __init__(
        self,
        store: KeyedStore,
        instance: str,
        incarnation: str,
        routers: Callable[[], int],
        options: LedgerOptions,
    ) -> None:
        self.ready = False
        self.reachable = False
        self.grants = 0
        self.conflicts = 0
        self.refusals = 0
        self.spreading = False
        self._store = store
        self._instance = instance
        self._incarnation = incarnation
        self._routers = routers
        self._options = options
        self._by_account: dict[str, _Account] = {}
        self._ledger_by_account: dict[str, Ledger] = {}
        self._end: int | None = None
        self._unsure: _Change | None = None
        self._asked = trio.Event()
        self._leaving = False
        self._read_at = -math.inf

    # -- reserving ----------------------------------------------------------------------------

    async def reserve(
        self, account: str, settings: AccountSettings, amount: int, deadline: float
    ) -> LedgerReservation:
        """Return a reservation; see `BudgetSource.reserve`."""
        known = self._account(account)
        if amount == 0:
            return LedgerReservation(known, 0)
        self._note_rate(known, amount)
        if not reserve(known.hand, amount):
            await self._wait_for_grant(account, known, settings, amount, deadline)
        elif self._is_low(account, known):
            self._asked.set()
        return LedgerReservation(known, amount)

    async def _wait_for_grant(
        self,
        account: str,
        known: _Account,
        settings: AccountSettings,
        amount: int,
        deadline: float,
    ) -> None:
        now = trio.current_time()
        away = self.ready and not self.reachable
        until = now if away else min(deadline, now + settings.budget_wait_s)
        known.needs.append(amount)
        try:
            with trio.move_on_at(until):
                while not reserve(known.hand, amount):
                    if self._is_spent(account, known, amount):
                        break
                    self._asked.set()
                    await known.changed.wait()
                else:
                    return
        finally:
            known.needs.remove(amount)
        raise self._refusal(account, known, amount)

    def _is_spent(self, account: str, known: _Account, amount: int) -> bool:
        """Return whether no hand of any router can cover the amount, as of the last read."""
        if known.prepaid is None or not self.ready:
            return False
        left = known.prepaid - reported_spend(self._ledger(account))
        own_unreported = known.hand.spent - known.written.spent
        return left - own_unreported < amount

    def _refusal(
        self, account: str, known: _Account, amount: int
    ) -> BudgetExhausted | BudgetUnavailable:
        self.refusals += 1
        logger.bind(
            account=account,
            amount=amount,
            in_hand=known.hand.available,
            prepaid=known.prepaid,
            committed=committed(self._ledger(account)),
            reported=reported_spend(self._ledger(account)),
            store_reached=self.reachable,
        ).info("budget-refused")
        if self._is_spent(account, known, amount):
            return BudgetExhausted(
                "the prepaid budget does not cover this request's greatest cost",
                retry_after=self._options.exhausted_retry_after_s,
            )
        return BudgetUnavailable(
            "no budget is in hand, and none is to be had in time",
            retry_after=self._options.retry_after_s,
        )

    def count_bill(self, account: str) -> None:
        """Count a request as billed."""
        self._account(account).billed_requests += 1

    # -- configuration ------------------------------------------------------------------------

    def set_prepaid(self, prepaid_by_account: dict[str, int]) -> None:
        """Take the budgets in force; a lower one takes back what lies idle in the hand."""
        for account, prepaid in prepaid_by_account.items():
            known = self._account(account)
            if known.prepaid is not None and prepaid < known.prepaid:
                take_back(known.hand, known.hand.available)
            known.prepaid = prepaid
        for account in self._by_account.keys() - prepaid_by_account.keys():
            self._by_account[account].prepaid = 0
        self._asked.set()

    # -- the ledgers --------------------------------------------------------------------------

    async def run(self) -> None:
        """Tend the hands for ever."""
        while True:
            with trio.move_on_after(self._options.tend_s):
                await self._asked.wait()
            self._asked = trio.Event()
            try:
                await self._tend()
            except LogUnavailable as err:
                self._note_reachable(False, err.detail)
                await trio.sleep(self._options.retry_s)
                if self._unsure or any(known.needs for known in self._by_account.values()):
                    self._asked.set()

    async def _tend(self) -> None:
        if self._end is None:
            await self._restore()
        stale = trio.current_time() - self._read_at > self._options.read_s
        if self._unsure is None and not stale and not self._something_due():
            return
        await self._catch_up()
        while True:
            change = self._unsure or self._plan()
            if change is None:
                break
            try:
                await self._apply(change)
                break
            except AppendConflict:
                self.conflicts += 1
                await self._catch_up()
        self._wake_all()

    async def _restore(self) -> None:
        page = await self._store.newest(self._options.topic)
        self._note_reachable(True, "")
        self._take(page)
        self._end = page.end
        self.ready = True

    async def _catch_up(self) -> None:
        """Read what others wrote, and learn what became of an append without an answer."""
        try:
            page = await self._store.read(self._options.topic, self._end, 0.0)
        except RecordsExpired:
            logger.bind(topic=self._options.topic).info("history-expired")
            page = await self._store.newest(self._options.topic)
            self._end = page.end
        self._note_reachable(True, "")
        self._read_at = trio.current_time()
        self._take(page)
        if page.records:
            self._end = max(self._end, page.records[-1].offset + 1)
        self._settle_unsure()

    def _settle_unsure(self) -> None:
        """Learn from the ledgers what became of an append without an answer.

        Once the partition has moved past the append's condition it is there or never will be;
        only this process writes its own holding, so that tells which.
        """
        change = self._unsure
        if change is None or self._end <= change.expected_end:
            return
        self._unsure = None
        account, holding = next(iter(change.holding_by_account.items()), ("", None))
        if holding and self._ledger(account).by_instance.get(self._instance) == holding:
            self._take_grants(change)

    def _take(self, page: KeyedPage) -> None:
        for record in page.records:
            try:
                self._ledger_by_account[record.key] = ledger_from_bytes(record.value)
            except msgspec.DecodeError as err:
                logger.bind(account=record.key, offset=record.offset, error=str(err)).error(
                    "ledger-unreadable"
                )

    async def _apply(self, change: _Change) -> None:
        again = self._unsure is not None
        self._unsure = change
        try:
            end = await self._store.append(
                self._options.topic, change.value_by_key, change.expected_end
            )
        except AppendConflict:
            if not again:
                self._unsure = None
            raise
        self._unsure = None
        self._end = end
        for account, value in change.value_by_key.items():
            self._ledger_by_account[account] = ledger_from_bytes(value)
        self._take_grants(change)

    def _something_due(self) -> bool:
        now = trio.current_time()
        return any(
            self._wanted(account, known, now)
            or self._idle(account, known)
            or self._is_returning(known)
            or self._is_report_due(account, known)
            for account, known in self._by_account.items()
        )

    @staticmethod
    def _is_returning(known: _Account) -> bool:
        return known.hand.granted < known.written.granted

    def _is_report_due(self, account: str, known: _Account) -> bool:
        """Return whether so much was spent that others should know."""
        unreported = known.hand.spent - known.written.spent
        return unreported > self._options.report_share * max(
            self._target(account, known), known.typical
        )

    def _plan(self) -> _Change | None:
        """Return the next change of the ledgers, or None if none is needed."""
        change = _Change(self._end, {}, {}, {}, {})
        for account in sorted(self._ledger_by_account.keys() | self._by_account.keys()):
            self._plan_account(account, change)
        return change if change.value_by_key else None

    def _plan_account(self, account: str, change: _Change) -> None:
        known = self._account(account)
        ledger = ledger_from_bytes(ledger_to_bytes(self._ledger(account)))
        lost = close_former(ledger, self._instance, self._incarnation)
        take_back(known.hand, self._idle(account, known))
        own = Holding(
            self._incarnation, known.hand.granted, known.hand.spent, known.billed_requests
        )
        account_for(ledger, self._instance, own)
        amount = self._grantable(account, known, ledger)
        due = self._is_returning(known) or self._is_report_due(account, known)
        if not (lost or amount or due):
            return
        own.granted += amount
        account_for(ledger, self._instance, own)
        change.value_by_key[account] = ledger_to_bytes(ledger)
        change.holding_by_account[account] = own
        change.amount_by_account[account] = amount
        change.lost_by_account[account] = lost

    def _grantable(self, account: str, known: _Account, ledger: Ledger) -> int:
        """Return the units that the ledger can grant of those wanted."""
        now = trio.current_time()
        if known.prepaid is None or self._leaving or not self._wanted(account, known, now):
            return 0
        missing = self._missing(known)
        short = self._target(account, known) - known.hand.available - missing
        ahead = min(max(0, short), self._ahead(known, ledger))
        amount = grant(ledger, known.prepaid, missing + ahead, self._need(known))
        if not amount:
            known.refused_at = now
        return amount

    def _ahead(self, known: _Account, ledger: Ledger) -> int:
        """Return the units that may still go into hands ahead of need."""
        left = known.prepaid - reported_spend(ledger)
        in_hands = committed(ledger) - reported_spend(ledger)
        return max(0, round(left * self._options.most_share) - in_hands)

    def _take_grants(self, change: _Change) -> None:
        for account, holding in change.holding_by_account.items():
            known = self._account(account)
            amount = change.amount_by_account[account]
            known.hand.granted += amount
            known.written = holding
            self.grants += amount > 0
            lost = change.lost_by_account[account]
            if lost:
                logger.bind(account=account, units=lost).info("former-hand-written-off")

    def _wake_all(self) -> None:
        for known in self._by_account.values():
            if known.needs:
                known.wake()

    # -- sizes --------------------------------------------------------------------------------

    def _need(self, known: _Account) -> int:
        """Return the units that waiting requests lack, at least for the smallest of them."""
        if not known.needs:
            return 0
        return max(0, min(known.needs) - known.hand.available)

    def _target(self, account: str, known: _Account) -> int:
        """Return the units that should be in hand."""
        if not known.prepaid or not self.spreading:
            return 0
        left = max(0, known.prepaid - reported_spend(self._ledger(account)))
        spread = left * self._options.spread_share / self._routers()
        by_rate = self._decayed_rate(known) * self._options.horizon_s
        target = min(max(by_rate, spread), left * self._options.most_share / 2)
        return round(target) if target >= known.typical * self._options.least_requests else 0

    def _is_low(self, account: str, known: _Account) -> bool:
        level = self._target(account, known) * self._options.refill_share
        return known.hand.available < level

    def _missing(self, known: _Account) -> int:
        """Return the units that the waiting requests lack together."""
        return max(0, sum(known.needs) - known.hand.available)

    def _wanted(self, account: str, known: _Account, now: float) -> bool:
        """Return whether to ask for units; not while a refusal is fresh."""
        if self._leaving or now - known.refused_at < self._options.retry_s:
            return False
        return self._missing(known) > 0 or self._is_low(account, known)

    def _idle(self, account: str, known: _Account) -> int:
        """Return the units that are too many in this hand."""
        keep = self._target(account, known) + sum(known.needs)
        available = known.hand.available
        if available <= max(keep * self._options.return_share, known.typical / 2):
            return 0
        return available - keep

    # -- small parts --------------------------------------------------------------------------

    def _account(self, account: str) -> _Account:
        known = self._by_account.get(account)
        if known is None:
            known = _Account(Holding(self._incarnation))
            self._by_account[account] = known
        return known

    def _ledger(self, account: str) -> Ledger:
        return self._ledger_by_account.get(account) or Ledger()

    def _note_rate(self, known: _Account, amount: int) -> None:
        known.rate = self._decayed_rate(known) + amount / self._options.rate_window_s
        known.typical += (amount - known.typical) * TYPICAL_WEIGHT
        known.seen_at = trio.current_time()

    def _decayed_rate(self, known: _Account) -> float:
        """Return the exponentially weighted rate as of now, units a second."""
        passed = trio.current_time() - known.seen_at
        return known.rate * math.exp(-passed / self._options.rate_window_s)

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self.reachable:
            self.reachable = reachable
            event = "ledger-store-reached" if reachable else "ledger-store-lost"
            logger.bind(topic=self._options.topic, reason=reason).info(event)

    async def give_back_all(self) -> None:
        """Return all that no request has reserved, for a graceful shutdown."""
        self._leaving = True
        for known in self._by_account.values():
            take_back(known.hand, known.hand.available)
        self._asked.set()
        while any(self._is_returning(known) for known in self._by_account.values()):
            await trio.sleep(RETURN_TICK_S)
