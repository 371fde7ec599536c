"""Routers' budgets and roster in virtual time, on one store that can be rolled back to copies.

Each router has its own connection to the store: it learns of a new era from its own answers, and
may be cut off.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import trio

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.spend_limit import ClockReading, Clocks
from railtide.configuration.models import AccountSettings
from railtide.edge.peers import RosterPeers
from railtide.journal.eras import EraTracker
from railtide.journal.errors import EraRisen, LogUnavailable
from railtide.journal.keyed import KeyedPage, KeyedStore
from railtide.journal.read_progress import ReadProgress
from railtide.membership.roster import Member, Roster, RosterOptions
from railtide.standins.keyed_store import MemoryStore
from railtide.telemetry.counters import Counters

__all__ = ["ACCOUNT", "PREPAID", "Machine", "RollbackFleet"]

T = TypeVar("T")
ACCOUNT = "a"
PREPAID = 30_000
SETTINGS = AccountSettings(budget_wait_s=0.4)
ANSWER_DELAY_S = 0.004
CALL_TIMEOUT_S = 1.0
"""Time after which a router that is cut off abandons a call."""


class RouterStore(KeyedStore):
    """One router's connection to the store.

    Attributes
    ----------
    cut : bool
        Whether no answer arrives.
    """

    def __init__(self, memory: MemoryStore) -> None:
        self.cut = False
        self._memory = memory
        self._eras = EraTracker(Counters())

    @property
    def era(self) -> int | None:
        return self._eras.current

    def on_era_rise(self, listener: Callable[[], None]) -> None:
        self._eras.on_era_rise(listener)

    async def newest(
        self, topic: str, partition: int = 0, progress: ReadProgress | None = None
    ) -> KeyedPage:
        return await self._call(lambda: self._memory.newest(topic, partition, progress))

    async def read(
        self,
        topic: str,
        start: int,
        wait_s: float,
        partition: int = 0,
        progress: ReadProgress | None = None,
    ) -> KeyedPage:
        return await self._call(
            lambda: self._memory.read(topic, start, wait_s, partition, progress)
        )

    async def append(
        self,
        topic: str,
        values_by_key: dict[str, bytes],
        expected_end: int | None = None,
        partition: int = 0,
    ) -> int:
        return await self._call(
            lambda: self._memory.append(topic, values_by_key, expected_end, partition)
        )

    async def _call(self, call: Callable[[], Awaitable[T]]) -> T:
        rises = self._eras.rises
        await self._check_connection()
        answer, error = None, None
        try:
            answer = await call()
        except EraRisen as err:
            raise LogUnavailable("the store went away") from err
        except LogUnavailable:
            raise
        except Exception as err:
            error = err
        await self._check_connection()
        self._eras.accept(str(self._memory.era))
        self._eras.check_unchanged(rises)
        if error:
            raise error
        return answer

    async def _check_connection(self) -> None:
        if self.cut:
            await trio.sleep(CALL_TIMEOUT_S)
            raise LogUnavailable("cut off")


@dataclass
class SteppedClocks(Clocks):
    """A machine's clocks, which outlive its processes; the time of day can be stepped."""

    boot: str
    step_s: float = 0.0

    def read(self) -> ClockReading:
        now = trio.current_time()
        return ClockReading(self.boot, now, 1e9 + now + self.step_s)


@dataclass
class Machine:
    """A machine and the router process on it, if one runs.

    Attributes
    ----------
    spent : int
        Units spent by all its processes.
    """

    name: str
    memory: MemoryStore
    rng: Random
    spent: int = 0
    starts: int = 0
    clocks: SteppedClocks = field(default_factory=lambda: SteppedClocks(""))
    store: RouterStore | None = None
    budgets: LedgerBudgetSource | None = None
    roster: Roster | None = None
    scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Run a process until it is killed."""
        self.starts += 1
        incarnation = f"{self.name}-{self.starts}"
        self.store = RouterStore(self.memory)
        member = Member(incarnation, f"{self.name}:1", self.name, 0, 100.0)
        self.roster = Roster(
            self.store,
            self.name,
            member,
            RosterOptions(),
            self.rng,
            read_offsets=lambda: self.budgets.read_offsets(),
        )
        self.budgets = LedgerBudgetSource(
            self.store,
            self.name,
            incarnation,
            self._sharing,
            LedgerOptions(),
            lambda: not self.memory.down,
            self.clocks,
            address=f"{self.name}:1",
            peers=RosterPeers(self.roster),
        )
        self.roster.on_update = self.budgets.recheck_waiting
        self.budgets.set_prepaid({ACCOUNT: PREPAID})
        self.budgets.enable_preallocation()
        with trio.CancelScope() as self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.budgets.run)
                nursery.start_soon(self.roster.run, lambda: self.budgets.ready)
                await trio.sleep_forever()

    def _sharing(self) -> int:
        return len(self.roster.advertised()) if self.roster.is_advertised() else 0

    def kill(self) -> None:
        """End its process and lose its state."""
        if self.scope:
            self.scope.cancel()
        self.scope, self.budgets = None, None

    async def spend(self, amount: int) -> int:
        """Run a request and return what it cost, 0 if it was refused."""
        current = self.budgets
        if current is None:
            return 0
        try:
            reserved = await current.reserve(ACCOUNT, SETTINGS, amount, trio.current_time() + 1.0)
        except BudgetError:
            return 0
        if self.budgets is not current:
            return 0  # killed while the request waited
        cost = reserved.settle(amount)
        self.spent += cost
        return cost


class RollbackFleet:
    """Machines that share one store.

    Parameters
    ----------
    nursery : trio.Nursery
    machines : int
    seed : int
    """

    def __init__(self, nursery: trio.Nursery, machines: int, seed: int) -> None:
        self.memory = MemoryStore(era=1)
        self.memory.delay_s = ANSWER_DELAY_S
        self._nursery = nursery
        self._rng = Random(seed)
        self.machines = [
            Machine(f"m{n}", self.memory, Random(seed + n), clocks=SteppedClocks(f"boot-{n}"))
            for n in range(machines)
        ]
        for machine in self.machines:
            self.start(machine)

    @property
    def spent(self) -> int:
        """Units spent from the budget."""
        return sum(machine.spent for machine in self.machines)

    def start(self, machine: Machine) -> None:
        """Start a process on a machine that runs none."""
        if machine.scope is None:
            self._nursery.start_soon(machine.run)

    async def call(self, machine: Machine, pause_s: float, amount: int) -> None:
        """Call one machine repeatedly, until cancelled."""
        while True:
            await machine.spend(self._rng.randint(1, amount))
            await trio.sleep(self._rng.uniform(0, 2 * pause_s))
