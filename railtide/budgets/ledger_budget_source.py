"""A budget source over ledgers in the store: reserves from local allocations and refills them.

No request waits for the store while its account's allocation covers it.
"""

import math
from collections.abc import Callable
from functools import partial
from random import Random

import trio
import xxhash
from loguru import logger

from railtide.budgets.account_budget import AccountBudget
from railtide.budgets.account_loans import Loans, NoLoans
from railtide.budgets.allocation import Allocation, settle_reserve
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.budget_source import (
    NO_TERMS,
    BudgetReservation,
    BudgetSource,
    ReservationTerms,
)
from railtide.budgets.errors import BudgetExhausted, BudgetUnavailable
from railtide.budgets.ledger_keys import ledger_key
from railtide.budgets.ledger_partition import LedgerPartition
from railtide.budgets.peers import NoPeers, Peers
from railtide.budgets.process_context import ProcessContext
from railtide.budgets.return_promises import honoured_s
from railtide.budgets.spend_limit import Clocks, NoClocks
from railtide.budgets.unit_queue import WaitingForUnits
from railtide.configuration.models import AccountSettings
from railtide.journal.keyed import KeyedStore
from railtide.supervision import Supervisor
from railtide.telemetry.counters import Counters

__all__ = ["LedgerBudgetSource", "partition_of"]

UNPROMISED_SPREAD = (0.7, 1.0)
"""Shares of the longest `Retry-After` that a caller honours, within which callers without a promise
are told to return. Late, as more units come by then, and spread, so that they don't come together.
"""
RETURN_POLL_S = 0.02
"""Poll interval for returns to be written at shutdown."""


def partition_of(account: str, partitions: int) -> int:
    """Return the index of the partition that holds an account's ledger.

    Examples
    --------
    >>> partition_of("a", 1)
    0
    """
    return xxhash.xxh3_64_intdigest(account.encode()) % partitions


class LedgerReservation(BudgetReservation):
    """Units of an allocation reserved for one request."""

    def __init__(
        self,
        allocation: Allocation,
        amount: int,
        on_spent: Callable[[], None] = lambda: None,
        on_released: Callable[[int], None] = lambda _: None,
        waited_s: float = 0.0,
    ) -> None:
        self.amount = amount
        self.waited_s = waited_s
        self._on_released = on_released
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
        if spent < self.amount:
            self._on_released(self.amount - spent)
        return spent


class LedgerBudgetSource(BudgetSource):
    """Reserves from allocations that are granted in the ledgers.

    Parameters
    ----------
    store : KeyedStore
    instance, incarnation : str
        Identify this process.
    routers : callable
        Returns how many routers preallocate budgets; 0 if this one should not.
    options : LedgerOptions
    store_reached : callable, optional
        Returns whether other calls to the store are answered now; ledgers of accounts without
        traffic cause no calls.
    store_lost_at : callable, optional
        Returns the trio time at which they ceased to be answered last. A ledger that was read since
        then proves that only their connection is lost.
    clocks : Clocks, optional
        Prove what this process's predecessor can have spent.
    counters : Counters, optional
        Count refusals by cause, and units of dead processes.
    address : str, optional
        Where this process is listening; see `close_predecessor`.
    peers : Peers, optional
        The other routers; none unless given.
    loans : Loans, optional
        Units that other routers lend to this one; none unless given.

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
        loans: Loans | None = None,
        store_lost_at: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.refusals = 0
        self._started_at = trio.current_time()
        self._has_served = False
        self._options = options
        clocks = clocks or NoClocks()
        self._process = ProcessContext(
            instance,
            incarnation,
            routers,
            options,
            clocks,
            clocks.read(),
            counters or Counters(),
            address=address,
            peers=peers or NoPeers(),
            loans=loans or NoLoans(),
            store_reached=store_reached,
            store_lost_at=store_lost_at,
        )
        self._rng = Random(incarnation)
        self.partitions = [
            LedgerPartition(store, index, self._process, self._rng)
            for index in range(options.partitions)
        ]
        self._budget_by_account: dict[str, AccountBudget] = {}
        self._account_by_key: dict[str, str] = {}

    @property
    def ready(self) -> bool:
        """True once the ledgers of any partition were read.

        One is enough, since the store may fail to serve some partitions for long. Accounts in the
        others are refused until their partition is read.
        """
        return any(partition.loaded for partition in self.partitions)

    @property
    def reachable(self) -> bool:
        """True if the store answered the latest call of every partition."""
        return all(partition.reachable for partition in self.partitions)

    def enable_preallocation(self) -> None:
        """Preallocate from now on, as the number of routers is reliable."""
        self._process.preallocating = True
        for partition in self.partitions:
            partition.request_update()

    def read_offsets(self) -> tuple[int, ...]:
        """Return the offset up to which each partition was read, in the store's era."""
        return tuple(partition.own_read_offset for partition in self.partitions)

    def recheck_waiting(self) -> None:
        """Make requests that wait until others have read a report try again."""
        for partition in self.partitions:
            partition.recheck_waiting()

    # -- reserving ----------------------------------------------------------------------------

    async def reserve(
        self,
        account: str,
        settings: AccountSettings,
        amount: int,
        deadline: float,
        terms: ReservationTerms = NO_TERMS,
    ) -> LedgerReservation:
        """Return a reservation; see `BudgetSource.reserve`."""
        if amount == 0:
            return LedgerReservation(Allocation(), 0)
        budget = self._account(account)
        if budget.exceeds_prepaid(amount):
            raise self._refusal(budget, amount)
        is_traffic = not budget.is_known_exhausted(amount)
        if is_traffic:
            budget.count_request(amount)
        if self._options.waits_for_expected_units and not budget.loans.is_borrowing:
            return await self._reserve_in_order(budget, amount, deadline, terms)
        allocation = budget.try_reserve(amount)
        if is_traffic:
            budget.loans.note_request(amount)
        if allocation:
            budget.refill_if_low()
            return self._reserved(budget, allocation, amount)
        now = trio.current_time()
        waits = budget.loan_expected_at is not None or self._can_be_granted(budget)
        until = min(deadline, now + settings.budget_wait_s) if waits else now
        latest = min(deadline, now + self._options.grant_wait_s) if waits else now
        allocation = await budget.wait_for(amount, until, latest)
        if not allocation:
            raise self._refusal(budget, amount)
        return self._reserved(budget, allocation, amount)

    async def _reserve_in_order(
        self, budget: AccountBudget, amount: int, deadline: float, terms: ReservationTerms
    ) -> LedgerReservation:
        """Return a reservation, after waiting for expected units in the order of the queue."""
        began_at = trio.current_time()
        start_by = min(terms.start_by, deadline)
        request = WaitingForUnits(
            amount, terms.priority, start_by, began_at, terms.content, deadline
        )
        if not budget.is_known_exhausted(amount):
            budget.loans.note_request(amount)
        allocation = await budget.wait_in_order(request)
        if allocation is None:
            raise self._refusal_in_order(budget, request)
        budget.refill_if_low()
        return LedgerReservation(
            allocation,
            amount,
            partial(self._note_spent, budget),
            budget.note_units_released,
            trio.current_time() - began_at,
        )

    def _refusal_in_order(
        self, budget: AccountBudget, request: WaitingForUnits
    ) -> BudgetExhausted | BudgetUnavailable:
        """Return the refusal of a request, with its caller's own time of return."""
        now = trio.current_time()
        promised_s = budget.promise_return(request)
        told_s = promised_s
        if told_s is None:
            told_s = self._unpromised_return_s(budget, honoured_s(now, request.deadline))
            budget.note_return(request, told_s)
        fields = {
            "waited_ms": round((now - request.arrived_at) * 1000),
            "promised": promised_s is not None,
            "returned": request.has_promise,
        }
        return self._refusal(budget, request.amount, told_s, **fields)

    def _unpromised_return_s(self, budget: AccountBudget, honoured: float) -> float:
        """Return what a caller without a promise is told, seconds.

        In an outage of the store units come at its end, as far as the caller honours that.
        """
        partition = self._partition(budget.account)
        told_s = math.inf
        if not partition.is_open():
            told_s = max(self._options.retry_after_s, partition.closed_remaining_s())
        elif self._is_store_unreachable(partition):
            told_s = partition.outage_remaining_s()
        told_s *= 1 + self._rng.uniform(0, self._options.unreachable_retry_jitter)
        return told_s if told_s <= honoured else honoured * self._rng.uniform(*UNPROMISED_SPREAD)

    def _reserved(
        self, budget: AccountBudget, allocation: Allocation, amount: int
    ) -> LedgerReservation:
        return LedgerReservation(allocation, amount, partial(self._note_spent, budget))

    def _can_be_granted(self, budget: AccountBudget) -> bool:
        """Return whether a grant may be obtained now."""
        partition = self._partition(budget.account)
        return not self._is_store_unreachable(partition) and budget.can_be_granted()

    async def lend(
        self, key: str, wanted: int, minimum: int, wait_s: float
    ) -> LedgerReservation | None:
        """Return a reservation of up to `wanted` units for another router.

        None if there are fewer than `minimum`, also after a wait for a grant.

        Parameters
        ----------
        key : str
            Of the account's ledger.
        wanted, minimum : int
        wait_s : float
            Longest wait for a grant, seconds.
        """
        account = self._account_by_key.get(key)
        budget = self._budget_by_account.get(account) if account is not None else None
        if budget is None or self._process.leaving or minimum > (budget.prepaid or 0):
            return None
        wanted = min(wanted, budget.prepaid)
        now = trio.current_time()
        until = now + wait_s if self._can_be_granted(budget) else now
        units = await budget.lend(wanted, minimum, until)
        if not units:
            return None
        on_released = partial(budget.note_loan_returned, budget.times_lowered)
        return LedgerReservation(budget.allocation, units, on_released=on_released)

    def _note_spent(self, budget: AccountBudget) -> None:
        """End loans that are used up, and log the end of the first request that cost units.

        From then on budgets are in use.
        """
        budget.loans.note_spent()
        if self._has_served:
            return
        self._has_served = True
        since_start_s = round(trio.current_time() - self._started_at, 3)
        logger.bind(account=budget.account, since_start_s=since_start_s).info("serving")

    def _is_store_unreachable(self, partition: LedgerPartition) -> bool:
        """Return whether the store is unreachable, so that no grant can be obtained now."""
        return partition.loaded and not partition.is_reached()

    def _refusal(
        self,
        budget: AccountBudget,
        amount: int,
        told_s: float | None = None,
        **fields: object,
    ) -> BudgetExhausted | BudgetUnavailable:
        self.refusals += 1
        partition = self._partition(budget.account)
        budget.log_refusal(amount, partition.reachable, partition.ledger_age_ms, **fields)
        if budget.is_exhausted(amount):
            return BudgetExhausted(
                "the prepaid budget does not cover this request's maximum cost",
                retry_after=self._options.exhausted_retry_after_s,
            )
        if told_s is None:
            told_s = self._retry_after_s(partition, budget, amount)
        return BudgetUnavailable(
            "this router has too few units allocated and could not obtain more in time",
            retry_after=told_s,
        )

    def _retry_after_s(
        self, partition: LedgerPartition, budget: AccountBudget, amount: int
    ) -> float:
        if not partition.is_open():
            return max(self._options.retry_after_s, partition.closed_remaining_s())
        if not self._is_store_unreachable(partition):
            return self._options.retry_after_s
        wait_s = budget.wait_s(amount)
        if wait_s is not None:
            return wait_s
        return partition.outage_remaining_s() * (
            1 + self._rng.uniform(0, self._options.unreachable_retry_jitter)
        )

    def count_bill(self, account: str) -> None:
        """Count a request as billed; requests of accounts without a budget are not counted."""
        budget = self._budget_by_account.get(account)
        if budget:
            budget.billed_requests += 1

    # -- configuration and lifecycle ----------------------------------------------------------

    def set_prepaid(self, prepaid_by_account: dict[str, int]) -> None:
        """Apply the configured budgets; the budget of an account that is not named becomes 0."""
        for account, prepaid in prepaid_by_account.items():
            self._account(account).set_prepaid(prepaid)
        for account in self._budget_by_account.keys() - prepaid_by_account.keys():
            self._budget_by_account[account].set_prepaid(0)

    async def run(self, supervisor: Supervisor | None = None) -> None:
        """Maintain the allocations until cancelled; a supervisor restarts partitions that fail."""
        async with trio.open_nursery() as nursery:
            for index, partition in enumerate(self.partitions):
                if supervisor:
                    nursery.start_soon(supervisor.run, f"ledgers-{index}", partition.run)
                else:
                    nursery.start_soon(partition.run)

    async def return_all(self) -> None:
        """Return all unreserved units and wait until that is written, for a graceful shutdown."""
        self._process.leaving = True
        for budget in self._budget_by_account.values():
            budget.return_unreserved()
        while any(budget.is_returning for budget in self._budget_by_account.values()):
            await trio.sleep(RETURN_POLL_S)

    def _account(self, account: str) -> AccountBudget:
        budget = self._budget_by_account.get(account)
        if budget is None:
            budget = self._partition(account).budget_for(account)
            self._budget_by_account[account] = budget
            self._account_by_key[ledger_key(account)] = account
        return budget

    def _partition(self, account: str) -> LedgerPartition:
        return self.partitions[partition_of(account, len(self.partitions))]
