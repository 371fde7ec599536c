"""Property test: loans, kills, lost answers and repeats never overspend a budget."""

from random import Random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.loans.tests.lending_fleet import ACCOUNT, LendingFleet, Router

PREPAID = 4_000
LENDERS = ("l1", "l2", "l3")
BORROWERS = ("b1", "b2", "b3")
MOST_AMOUNT = 60
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "requests",
                "requests",
                "requests",
                "kill-borrower",
                "kill-lender",
                "answers-lost",
                "repeats",
                "link-cut",
                "link-back",
                "store-away",
                "store-back",
                "lower-budget",
                "raise-budget",
                "borrower-leaves",
                "lender-leaves",
            )
        ),
        st.integers(0, 2),
        st.floats(0.0, 4.0),
    ),
    min_size=10,
    max_size=40,
)


class Schedule:
    """Plays drawn steps on a fleet."""

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.fleet = LendingFleet(nursery, PREPAID)
        self.routers: list[Router] = []
        self.by_name: dict[str, Router] = {}
        self.lives = 1
        self._nursery = nursery
        self._rng = Random(seed)
        for name in (*LENDERS, *BORROWERS):
            self.start(name)

    def start(self, name: str) -> None:
        is_lender = name in LENDERS
        router = self.fleet.add(name, self.lives, lends=is_lender, loses=name == "b1")
        self.by_name[name] = router
        self.routers.append(router)

    def restart(self, name: str) -> None:
        self.fleet.kill(self.by_name[name])
        self.lives += 1
        self.start(name)

    async def play(self, kind: str, number: int) -> None:
        await getattr(self, kind.replace("-", "_"))(LENDERS[number], BORROWERS[number])

    async def requests(self, lender: str, borrower: str) -> None:
        for _ in range(self._rng.randrange(1, 60)):
            amount = self._rng.randrange(1, MOST_AMOUNT)
            used = self._rng.choice((amount, self._rng.randrange(amount + 1)))
            name = self._rng.choice((borrower, borrower, borrower, lender))
            request = self.by_name[name].request
            self._nursery.start_soon(request, amount, used, self._rng.uniform(0, 2))
            await trio.sleep(self._rng.choice((0.0, 0.02)))

    async def kill_borrower(self, lender: str, borrower: str) -> None:
        self.restart(borrower)

    async def kill_lender(self, lender: str, borrower: str) -> None:
        self.restart(lender)

    async def answers_lost(self, lender: str, borrower: str) -> None:
        self.by_name[borrower].client.lost_answers = 2

    async def repeats(self, lender: str, borrower: str) -> None:
        self.by_name[borrower].client.repeats = 20

    async def link_cut(self, lender: str, borrower: str) -> None:
        self.by_name[borrower].client.cut.add(f"{lender}:2")

    async def link_back(self, lender: str, borrower: str) -> None:
        self.by_name[borrower].client.cut.clear()

    async def store_away(self, lender: str, borrower: str) -> None:
        self.fleet.store.down = True

    async def store_back(self, lender: str, borrower: str) -> None:
        self.fleet.store.down = False

    async def lower_budget(self, lender: str, borrower: str) -> None:
        self.set_prepaid(PREPAID // 2)

    async def raise_budget(self, lender: str, borrower: str) -> None:
        self.set_prepaid(PREPAID)

    async def borrower_leaves(self, lender: str, borrower: str) -> None:
        await self.by_name[borrower].borrower.return_all(0.5)
        self.restart(borrower)

    async def lender_leaves(self, lender: str, borrower: str) -> None:
        self.by_name[lender].lender.end_all()

    def set_prepaid(self, units: int) -> None:
        for router in self.by_name.values():
            router.source.set_prepaid({ACCOUNT: units})

    @property
    def spent(self) -> int:
        return sum(router.spent for router in self.routers)


async def play(steps: list[tuple[str, int, float]], seed: int) -> Schedule:
    async with trio.open_nursery() as nursery:
        schedule = Schedule(nursery, seed)
        await trio.sleep(1)
        for kind, number, pause_s in steps:
            await schedule.play(kind, number)
            await trio.sleep(pause_s)
            assert schedule.spent <= PREPAID
        schedule.fleet.store.down = False
        for router in schedule.by_name.values():
            router.client.cut.clear()
        await trio.sleep(75)
        assert schedule.spent <= PREPAID
        for router in schedule.by_name.values():
            assert router.lender.open_units == 0
            assert router.budget.allocation.reserved == 0
            assert not router.budget.loans.is_active
        nursery.cancel_scope.cancel()
    return schedule


def run(steps: list[tuple[str, int, float]], seed: int) -> Schedule:
    return trio.run(play, steps, seed, clock=trio.testing.MockClock(autojump_threshold=0))


class TestNoOverspend:
    @settings(max_examples=30)
    @given(STEPS, st.integers(0, 10_000))
    def test_spent_units_never_exceed_the_budget(
        self, steps: list[tuple[str, int, float]], seed: int
    ) -> None:
        run(steps, seed)

    def test_schedules_use_loans_and_most_of_the_budget(self) -> None:
        """Guards against a property that holds since nothing is lent or little is spent."""
        steps = [("requests", number % 3, 0.5) for number in range(20)]
        schedules = [run(steps, seed) for seed in range(5)]
        for schedule in schedules:
            lent = sum(r.counters.value("loan_units_lent") for r in schedule.routers)
            assert lent > PREPAID / 2
            assert schedule.spent > 0.9 * PREPAID
