"""A borrower and lenders in virtual time, on one store, over a client with faults."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger_budget_source import LedgerBudgetSource, LedgerReservation
from railtide.budgets.tests.test_ledger_budget_source import FakeClocks
from railtide.configuration.models import AccountSettings
from railtide.journal.keyed import AppendConflict, KeyedPage, KeyedStore
from railtide.journal.read_progress import ReadProgress
from railtide.loans.borrower import Borrower
from railtide.loans.errors import LoanError, LoanUnanswered
from railtide.loans.lender import Lender
from railtide.loans.loan_client import LoanClient
from railtide.loans.messages import (
    LoanAnswer,
    LoanRequest,
    LoanReturn,
    decode,
    encode,
)
from railtide.standins.keyed_store import MemoryStore
from railtide.telemetry.counters import Counters

__all__ = ["ACCOUNT", "SETTINGS", "LendingFleet", "LinkClient", "Router"]

ACCOUNT = "a"
SETTINGS = AccountSettings(budget_wait_s=0.1)
DELAY_S = 0.005


class LosingStore(KeyedStore):
    """One router's view of a store, in which its compare-and-swaps always lose.

    Attributes
    ----------
    calls : int
        Number of appends tried.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.calls = 0
        self._store = store

    @property
    def era(self) -> int | None:
        return self._store.era

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        self._store.on_era_rise(listener)

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        return await self._store.newest(topic, partition, progress)

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        return await self._store.read(topic, start, wait_s, partition, progress)

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        self.calls += 1
        await self._store.read(topic, 0, 0.0, partition)
        await trio.sleep(DELAY_S)
        raise AppendConflict("another router was first")


@dataclass
class LinkClient(LoanClient):
    """Passes messages to the lenders of a fleet.

    Attributes
    ----------
    cut : set of str
        Addresses that never answer.
    lost_answers : int
        Number of the next answers that are lost after the lender made them.
    repeats : int
        Number of the next messages that arrive twice.
    """

    fleet: "LendingFleet"
    cut: set[str] = field(default_factory=set)
    lost_answers: int = 0
    repeats: int = 0
    asks: list[tuple[float, str]] = field(default_factory=list)

    async def ask(self, address: str, request: LoanRequest, timeout_s: float) -> LoanAnswer:
        self.asks.append((trio.current_time(), address))
        message = decode(encode(request), LoanRequest)
        return await self._call(address, lambda lender: lender.lend(message), timeout_s)

    async def give_back(self, address: str, message: LoanReturn, timeout_s: float) -> None:
        async def take(lender: Lender) -> None:
            lender.take_return(message)

        await self._call(address, take, timeout_s)

    def close_idle(self) -> None:
        pass

    async def _call(self, address: str, call: Callable, timeout_s: float):
        with trio.move_on_after(timeout_s):
            await trio.sleep(DELAY_S)
            router = self.fleet.router_by_address.get(address)
            if address in self.cut:
                await trio.sleep_forever()
            if router is None:
                raise LoanUnanswered("refused")
            try:
                answer = await call(router.lender)
                if self.repeats:
                    self.repeats -= 1
                    assert await call(router.lender) == answer
            except LoanError as err:
                raise LoanUnanswered(err.detail) from err
            if self.lost_answers:
                self.lost_answers -= 1
                raise LoanUnanswered("the answer was lost")
            await trio.sleep(DELAY_S)
            return answer
        raise LoanUnanswered("no answer in time")


@dataclass(eq=False)
class Router:
    """One router's budgets with both sides of loans."""

    name: str
    source: LedgerBudgetSource
    borrower: Borrower
    lender: Lender
    client: LinkClient
    counters: Counters
    scope: trio.CancelScope
    store: KeyedStore
    refused: int = 0
    spent: int = 0

    async def reserve(self, amount: int) -> LedgerReservation:
        return await self.source.reserve(ACCOUNT, SETTINGS, amount, trio.current_time() + 9)

    async def request(self, amount: int, used: int, for_s: float = 0.0) -> bool:
        """Run a request; return whether it was served."""
        try:
            reservation = await self.reserve(amount)
        except BudgetError:
            self.refused += 1
            return False
        await trio.sleep(for_s)
        self.spent += reservation.settle(used)
        return True

    @property
    def budget(self):
        return self.source._account(ACCOUNT)


class LendingFleet:
    """Routers named l1, l2, ... that lend, and others that borrow."""

    def __init__(
        self, nursery: trio.Nursery, prepaid: int = 100_000, era: int | None = None
    ) -> None:
        self.store = MemoryStore(era)
        self.prepaid = prepaid
        self.router_by_address: dict[str, Router] = {}
        self._nursery = nursery

    def add(self, name: str, life: int = 1, *, lends: bool = True, loses: bool = False) -> Router:
        """Start a router; one that does not lend borrows."""
        counters, client = Counters(), LinkClient(self)
        store = LosingStore(self.store) if loses else self.store
        borrower = Borrower(
            name,
            f"{name}-{life}",
            lambda: {} if lends else {r.name: a for a, r in self.router_by_address.items()},
            client,
            counters,
        )
        source = LedgerBudgetSource(
            store,
            name,
            f"{name}-{life}",
            lambda: sum(1 for _ in self.router_by_address) if lends else 0,
            LedgerOptions(),
            lambda: not self.store.down,
            FakeClocks("boot"),
            counters,
            f"{name}:1",
            loans=borrower,
        )
        source.set_prepaid({ACCOUNT: self.prepaid})
        source.enable_preallocation()
        lender = Lender(source.lend, counters)
        scope = trio.CancelScope()
        router = Router(name, source, borrower, lender, client, counters, scope, store)
        if lends:
            self.router_by_address[f"{name}:2"] = router
        self._nursery.start_soon(self._run, router)
        return router

    async def _run(self, router: Router) -> None:
        with router.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(router.source.run)
                nursery.start_soon(router.borrower.run)
                nursery.start_soon(router.lender.run)

    def kill(self, router: Router) -> None:
        """End a router without a word; its requests under way still use what they reserved."""
        router.scope.cancel()
        self.router_by_address.pop(f"{router.name}:2", None)
