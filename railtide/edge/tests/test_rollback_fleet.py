"""No unit is spent twice when the store is rolled back to a copy, whichever routers die meanwhile.

The cost of all requests that ran is compared with the budget. Routers have their real budgets and
roster, on one in-memory store that loses answers, applies appends late, is rolled back to copies
and is unreachable for some routers.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.ledger import ledger_from_bytes
from railtide.budgets.rollback import OPENINGS_KEY, EraOpening, openings_from_bytes
from railtide.edge.tests.rollback_fleet import ACCOUNT, PREPAID, Machine, RollbackFleet

EXAMPLES = int(os.environ.get("RAILTIDE_EXAMPLES", "30"))
"""Number of random histories."""
MACHINES = 3
SETTLED_S = 6.0
SPEND_DOWN_S = 24.0
START_S = 0.5
"""Time between the end of a process and the start of the next one."""
TOPIC = LedgerOptions().topic


def play(scenario: Callable[[RollbackFleet], object], seed: int = 1, pause_s: float = 0.1) -> int:
    """Have callers spend during a scenario and then until little is left; return the units spent.

    After the scenario all faults are removed, and all processes run.
    """
    spent: list[int] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = RollbackFleet(nursery, MACHINES, seed)
            await trio.sleep(SETTLED_S)
            for machine in fleet.machines:
                for _ in range(2):
                    nursery.start_soon(fleet.call, machine, pause_s, 100)
            await scenario(fleet)
            fleet.memory.down = False
            fleet.memory.apply_late_appends()
            for machine in fleet.machines:
                if machine.store:
                    machine.store.cut = False
                fleet.start(machine)
            await trio.sleep(SPEND_DOWN_S)
            spent.append(fleet.spent)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return spent[0]


async def restart(fleet: RollbackFleet, *machines: Machine) -> None:
    """Kill processes at the same time, and start new ones."""
    for machine in machines:
        machine.kill()
    await trio.sleep(START_S)
    for machine in machines:
        fleet.start(machine)


def openings_of(fleet: RollbackFleet) -> list[EraOpening]:
    return openings_from_bytes(fleet.memory.topic(TOPIC).newest_by_key[OPENINGS_KEY].value)


class TestDeaths:
    @pytest.mark.parametrize("count", range(MACHINES + 1))
    @pytest.mark.parametrize("seed", range(5))
    def test_allocations_of_routers_killed_at_the_rollback_are_accounted(
        self, count: int, seed: int
    ) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(3.0)
            fleet.memory.roll_back(copy)
            await restart(fleet, *fleet.machines[:count])

        assert play(scenario, seed) <= PREPAID

    @pytest.mark.parametrize("seed", range(5))
    def test_allocations_of_routers_killed_in_the_lost_seconds_are_accounted(
        self, seed: int
    ) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(1.5)
            await restart(fleet, fleet.machines[0])
            await trio.sleep(1.0)
            await restart(fleet, fleet.machines[1])
            fleet.memory.roll_back(copy)

        assert play(scenario, seed) <= PREPAID

    def test_units_granted_unseen_by_other_routers_are_not_spent_again(self) -> None:
        """A grant is spent at once, and its router dies before another router reads of it."""

        async def scenario(fleet: RollbackFleet) -> None:
            dying = fleet.machines[0]
            copy = fleet.memory.copy()
            for _ in range(8):
                await dying.spend(1_000)
                if dying.spent > 4_000:
                    break
            dying.kill()
            fleet.memory.roll_back(copy)

        assert play(scenario, pause_s=0.05) <= PREPAID

    def test_new_router_leaves_the_opening_to_survivors(self) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(2.0)
            fleet.memory.roll_back(copy)
            for machine in fleet.machines[1:]:
                machine.store.cut = True
            await restart(fleet, fleet.machines[0])
            await trio.sleep(4.5)
            for machine in fleet.machines[1:]:
                machine.store.cut = False
            await trio.sleep(8.0)
            assert openings_of(fleet)[-1].is_known

        assert play(scenario) <= PREPAID

    @pytest.mark.parametrize("seed", range(5))
    def test_all_routers_die_and_the_store_is_rolled_back_again(self, seed: int) -> None:
        """Routers that start in between survive a rollback, but know nothing of the time before."""

        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(3.0)
            fleet.memory.roll_back(copy)
            await restart(fleet, *fleet.machines)
            await trio.sleep(4.0)
            fleet.memory.roll_back(copy)

        assert play(scenario, seed) <= PREPAID

    def test_little_is_withheld_if_another_router_survives(self) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(3.0)
            fleet.memory.roll_back(copy)
            await restart(fleet, fleet.machines[0])
            await trio.sleep(5.0)
            opening = openings_of(fleet)[-1]
            assert (opening.era, opening.gone, opening.is_known) == (2, 1, True)
            assert 0 < opening.share <= 0.02

        assert 0.9 * PREPAID < play(scenario, pause_s=0.05) <= PREPAID

    def test_nothing_is_withheld_if_all_survive(self) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(3.0)
            fleet.memory.roll_back(copy)
            await trio.sleep(5.0)
            assert openings_of(fleet)[-1] == EraOpening(2, 0.0, gone=0, is_known=True)

        assert 0.98 * PREPAID < play(scenario, pause_s=0.05) <= PREPAID

    def test_killing_all_without_a_rollback_withholds_nothing(self) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            await restart(fleet, *fleet.machines)
            await trio.sleep(5.0)
            assert [opening.era for opening in openings_of(fleet)] == [1]

        assert play(scenario) <= PREPAID


class TestLateRouters:
    def test_router_that_learns_of_the_rollback_late_reports_its_holding_late(self) -> None:
        """It serves from its allocation while it is cut off, and the era is opened without it."""

        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(2.0)
            late = fleet.machines[0]
            late.store.cut = True
            fleet.memory.roll_back(copy)
            await trio.sleep(6.0)
            late.store.cut = False
            await trio.sleep(2.0)
            newest = fleet.memory.topic(TOPIC).newest_by_key[ACCOUNT]
            held = ledger_from_bytes(newest.value).by_instance[late.name]
            assert (held.era, held.incarnation) == (2, f"{late.name}-1")

        assert play(scenario) <= PREPAID

    def test_late_append_of_the_former_era_changes_nothing(self) -> None:
        async def scenario(fleet: RollbackFleet) -> None:
            copy = fleet.memory.copy()
            await trio.sleep(2.0)
            fleet.memory.late_appends = 3
            await trio.sleep(0.2)
            fleet.memory.late_appends = 0
            fleet.memory.roll_back(copy)
            for _ in range(200):
                await trio.sleep(0.05)
                fleet.memory.apply_late_appends_to(TOPIC)

        assert play(scenario) <= PREPAID


@dataclass(frozen=True)
class Event:
    """A step of a history: after a pause, something happens to a machine for a time."""

    after_s: float
    kind: str
    machine: int
    for_s: float


KINDS = (
    "copy",
    "rollback",
    "rollback-and-kill",
    "kill",
    "restart",
    "cut",
    "down",
    "lose-answers",
    "late-appends",
    "set-clock",
)
EVENTS = st.builds(
    Event,
    st.floats(0.0, 2.5),
    st.sampled_from(KINDS),
    st.integers(0, MACHINES - 1),
    st.floats(0.05, 6.0),
)


class History:
    """Plays random events on a fleet."""

    def __init__(self, events: list[Event]) -> None:
        self._events = events

    async def play(self, fleet: RollbackFleet) -> None:
        self._copy = fleet.memory.copy()
        async with trio.open_nursery() as nursery:
            for event in self._events:
                await trio.sleep(event.after_s)
                await self._do(fleet, fleet.machines[event.machine], event, nursery)

    async def _do(
        self, fleet: RollbackFleet, machine: Machine, event: Event, nursery: trio.Nursery
    ) -> None:
        memory = fleet.memory
        if event.kind == "copy":
            self._copy = memory.copy()
        elif event.kind == "rollback":
            memory.roll_back(self._copy)
        elif event.kind == "rollback-and-kill":
            machine.kill()
            memory.roll_back(self._copy)
        elif event.kind == "kill":
            machine.kill()
        elif event.kind == "restart":
            nursery.start_soon(restart, fleet, machine)
        elif event.kind == "cut":
            nursery.start_soon(self._cut, machine, event.for_s)
        elif event.kind == "down":
            nursery.start_soon(self._disconnect_store, fleet, event.for_s)
        elif event.kind == "lose-answers":
            memory.lose_answers = 1 + event.machine
        elif event.kind == "late-appends":
            memory.late_appends = 1 + event.machine
            nursery.start_soon(self._do_late, fleet, event.for_s)
        else:
            machine.clocks.step_s += event.for_s - 3.0

    async def _cut(self, machine: Machine, for_s: float) -> None:
        store = machine.store
        store.cut = True
        await trio.sleep(for_s)
        store.cut = False

    async def _disconnect_store(self, fleet: RollbackFleet, for_s: float) -> None:
        fleet.memory.down = True
        await trio.sleep(for_s / 2)
        fleet.memory.down = False

    async def _do_late(self, fleet: RollbackFleet, for_s: float) -> None:
        await trio.sleep(for_s)
        fleet.memory.apply_late_appends()


class TestHistories:
    @settings(max_examples=EXAMPLES)
    @given(st.lists(EVENTS, min_size=2, max_size=10), st.integers(0, 1000))
    def test_no_unit_is_spent_twice(self, events: list[Event], seed: int) -> None:
        assert play(History(events).play, seed) <= PREPAID
