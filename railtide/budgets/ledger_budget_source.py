"""A treasury over ledgers in the store: reserves from grants in hand, and keeps the hands filled.

No request waits for the store while the hand of its account covers it.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import trio
import xxhash
from loguru import logger

from railtide.budgets.account_budget import AccountBudget
from railtide.budgets.allocation import Allocation, settle_reserve
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.budget_source import BudgetReservation, BudgetSource
from railtide.budgets.errors import BudgetExhausted, BudgetUnavailable
from railtide.budgets.ledger_partition import LedgerPartition
from railtide.budgets.peers import NoPeers, Peers
from railtide.budgets.process_context import Holder
from railtide.budgets.spend_limit import Clocks, NoClocks
from railtide.configuration.models import AccountSettings
from railtide.journal.keyed import KeyedStore
from railtide.telemetry.counters import Counters

__all__ = ["LedgerBudgetSource", "partition_of"]

RETURN_TICK_S = 0.02
"""Between two looks at whether a return is written, at a shutdown."""


def partition_of(account: str, partitions: int) -> int:
    """Return the partition that holds an account's ledger.

    Examples
    --------
    >>> partition_of("a", 1)
    0
    """
    return xxhash.xxh3_64_intdigest(account.encode()) % partitions


class LedgerReservation(BudgetReservation):
    """Units of a hand kept back for one request."""

    def __init__(
        self, allocation: Allocation, amount: int, on_spent: Callable[[], None] = lambda: None
    ) -> None:
        self.amount = amount
        self._allocation = allocation
        self._on_spent = on_spent
        self._settled = False

    def settle(self, used: int) -> int:
        """End the reservation; see `BudgetReservation.settle`."""
        if self._settled:
            return 0
        self._settled = True
        spent = settle_reserve(self._allocation, self.amount, used)
        if spent:
            self._on_spent()
        return spent


class LedgerBudgetSource(BudgetSource):
    """Hands out reservations from hands that are granted in the ledgers.

    Parameters
    ----------
    store : KeyedStore
    instance, incarnation : str
        Of this process.
    routers : callable
        Returns how many routers keep budgets in hand, 0 if this one is not to.
    options : LedgerOptions
    store_reached : callable, optional
        Returns whether other calls to the store are answered now; an account without traffic
        makes none.
    clocks : Clocks, optional
        By which what a process before this one can have spent is proved.
    counters : Counters, optional
        Of refusals by cause, and of units of dead processes.
    address : str, optional
        Where this process listens already; see `close_former`.
    peers : Peers, optional
        The other routers; there are none unless given.

    Attributes
    ----------
    refusals : int
    partitions : list of LedgerPartition
    """

    def __init__(
        self,
        store: KeyedStore,
        instance: str,
        incarnation: str,
        routers: Callable[[], int],
        options: LedgerOptions,
        store_reached: Callable[[], bool] = lambda: True,
        clocks: Clocks | None = None,
        counters: Counters | None = None,
        address: str = "",
        peers: Peers | None = None,
    ) -> None:
        self.refusals = 0
        self._began_at = trio.current_time()
        self._has_served = False
        self._store_reached = store_reached
        self._options = options
        clocks = clocks or NoClocks()
        self._holder = Holder(
            instance,
            incarnation,
            routers,
            options,
            clocks,
            clocks.read(),
            counters or Counters(),
            address=address,
            peers=peers or NoPeers(),
        )
        self._rng = Random(incarnation)
        self.partitions = [
            LedgerPartition(store, index, self._holder, self._rng)
            for index in range(options.partitions)
        ]
        self._by_account: dict[str, AccountBudget] = {}

    @property
    def ready(self) -> bool:
        """True once ledgers were read.

        One partition is enough, since the store may serve some and not others for long; accounts
        in the others are refused until theirs is read.
        """
        return any(part.loaded for part in self.partitions)

    @property
    def reachable(self) -> bool:
        """True unless the store did not answer a partition's last call."""
        return all(part.reachable for part in self.partitions)

    def enable_preallocation(self) -> None:
        """Keep hands ahead of need from now on, since the number of routers is known."""
        self._holder.spreading = True
        for part in self.partitions:
            part.ask()

    def read_offsets(self) -> tuple[int, ...]:
        """Return up to which offset each partition was read, in the store's era."""
        return tuple(part.read_end for part in self.partitions)

    def recheck_waiting(self) -> None:
        """Have requests that wait for others to read a report look again."""
        for part in self.partitions:
            part.recheck_waiting()

    # -- reserving ----------------------------------------------------------------------------

    async def reserve(
        self, account: str, settings: AccountSettings, amount: int, deadline: float
    ) -> LedgerReservation:
        """Return a reservation; see `BudgetSource.reserve`."""
        if amount == 0:
            return LedgerReservation(Allocation(), 0)
        known = self._account(account)
        known.note(amount)
        if known.try_reserve(amount):
            known.ask_if_low()
            return self._reserved(known, amount)
        now = trio.current_time()
        part = self._partition(account)
        waits = not self._is_away(part) and part.is_open()
        until = min(deadline, now + settings.budget_wait_s) if waits else now
        if not await known.wait_for(amount, until):
            raise self._refusal(known, amount)
        return self._reserved(known, amount)

    def _reserved(self, known: AccountBudget, amount: int) -> LedgerReservation:
        return LedgerReservation(known.allocation, amount, partial(self._note_spent, known.account))

    def _note_spent(self, account: str) -> None:
        """Say when the first request with a cost has ended: from then on budgets are in use."""
        if self._has_served:
            return
        self._has_served = True
        since_start_s = round(trio.current_time() - self._began_at, 3)
        logger.bind(account=account, since_start_s=since_start_s).info("serving")

    def _is_away(self, part: LedgerPartition) -> bool:
        """Return whether the store would not answer a question for a grant."""
        return part.loaded and not (part.reachable and self._store_reached())

    def _refusal(self, known: AccountBudget, amount: int) -> BudgetExhausted | BudgetUnavailable:
        self.refusals += 1
        part = self._partition(known.account)
        known.log_refusal(amount, part.reachable, part.ledger_age_ms)
        if known.is_spent(amount):
            return BudgetExhausted(
                "the prepaid budget does not cover this request's greatest cost",
                retry_after=self._options.exhausted_retry_after_s,
            )
        return BudgetUnavailable(
            "no budget is in hand, and none is to be had in time",
            retry_after=self._retry_after_s(part, known, amount),
        )

    def _retry_after_s(self, part: LedgerPartition, known: AccountBudget, amount: int) -> float:
        if not part.is_open():
            return max(self._options.retry_after_s, part.closed_left_s())
        if not self._is_away(part):
            return self._options.retry_after_s
        wait_s = known.wait_s(amount)
        if wait_s is not None:
            return wait_s
        return part.outage_left_s() * (1 + self._rng.uniform(0, self._options.away_retry_spread))

    def count_bill(self, account: str) -> None:
        """Count a request as billed; one of an account without a budget costs nothing."""
        known = self._by_account.get(account)
        if known:
            known.billed_requests += 1

    # -- configuration and life ---------------------------------------------------------------

    def set_prepaid(self, prepaid_by_account: dict[str, int]) -> None:
        """Take the budgets in force; an account that is not named has none left."""
        for account, prepaid in prepaid_by_account.items():
            self._account(account).set_prepaid(prepaid)
        for account in self._by_account.keys() - prepaid_by_account.keys():
            self._by_account[account].set_prepaid(0)

    async def run(self) -> None:
        """Tend the hands for ever."""
        async with trio.open_nursery() as nursery:
            for part in self.partitions:
                nursery.start_soon(part.run)

    async def return_all(self) -> None:
        """Return all that no request has reserved, for a graceful shutdown."""
        self._holder.leaving = True
        for known in self._by_account.values():
            known.return_unreserved()
        while any(known.is_returning for known in self._by_account.values()):
            await trio.sleep(RETURN_TICK_S)

    def _account(self, account: str) -> AccountBudget:
        known = self._by_account.get(account)
        if known is None:
            known = self._partition(account).budget(account)
            self._by_account[account] = known
        return known

    def _partition(self, account: str) -> LedgerPartition:
        return self.partitions[partition_of(account, len(self.partitions))]
