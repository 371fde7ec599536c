"""Tests of `ledger_budget_source`: no overspend under any fault, few false refusals."""

from dataclasses import dataclass, field
from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.errors import BudgetError, BudgetExhausted, BudgetUnavailable
from railtide.budgets.ledger import Holding, Ledger, committed, ledger_from_bytes, ledger_to_bytes
from railtide.budgets.ledger_budget_source import LedgerBudgetSource, partition_of
from railtide.budgets.spend_limit import ClockReading, Clocks
from railtide.configuration.models import AccountSettings
from railtide.standins.keyed_store import MemoryStore

ACCOUNT = "a"
SETTINGS = AccountSettings(budget_wait_s=0.2)
OPTIONS = LedgerOptions()
ROUTERS = ("i1", "i2", "i3")


@dataclass
class FakeClocks(Clocks):
    """Clocks of one boot, which began at a moment of the virtual clock; the time of day was set."""

    boot: str
    began_at: float = 0.0
    set_by_s: float = 0.0

    def read(self) -> ClockReading:
        now = trio.current_time()
        return ClockReading(self.boot, now - self.began_at, 1e9 + now + self.set_by_s)


def make_source(
    store: MemoryStore, name: str = "i1", life: str = "1", routers: int = 1, boot: str = ""
):
    return make_source_with(store, name, life, routers, FakeClocks(boot))


def make_source_with(
    store: MemoryStore, name: str, life: str, routers: int, clocks: Clocks, address: str = ""
):
    made = LedgerBudgetSource(
        store,
        name,
        f"{name}-{life}",
        lambda: routers,
        OPTIONS,
        lambda: not store.down,
        clocks,
        address=address or f"{name}:1",
    )
    made.set_prepaid({ACCOUNT: 1000})
    return made


def ledger_of(store: MemoryStore) -> Ledger:
    record = store.topic(OPTIONS.topic).newest_by_key.get(ACCOUNT)
    return ledger_from_bytes(record.value) if record else Ledger()


class TestReserve:
    async def test_grant_covers_later_requests_without_the_store(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        made.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(40)
            await trio.sleep(2)
            store.down = True
            await trio.sleep(2)
            (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(40)
            nursery.cancel_scope.cancel()

    async def test_store_away_refuses_at_once(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(1)
            store.down = True
            await trio.sleep(3)
            began = trio.current_time()
            with pytest.raises(BudgetUnavailable) as refused:
                await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            assert trio.current_time() == began
            assert OPTIONS.horizon_s - 3 <= refused.value.retry_after <= OPTIONS.horizon_s * 1.25
            nursery.cancel_scope.cancel()

    async def test_callers_come_back_by_the_outages_that_were_seen(self, autojump_clock) -> None:
        """Outages of four seconds: a caller refused a second into the sixth finds the store."""
        store = MemoryStore()
        made = make_source(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            for _ in range(5):
                await trio.sleep(2)
                store.down = True
                await trio.sleep(4)
                store.down = False
            await trio.sleep(2)
            store.down = True
            lost_at = trio.current_time()
            await trio.sleep(1.5)
            with pytest.raises(BudgetUnavailable) as refused:
                await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            back_at = trio.current_time() + refused.value.retry_after
            assert lost_at + 3.5 <= back_at <= lost_at + 8
            nursery.cancel_scope.cancel()

    async def test_ledger_read_long_ago_refuses_nobody(self, autojump_clock) -> None:
        store = MemoryStore()
        spent = Ledger(by_instance={"i2": Holding("i2-1", granted=1000, spent=990)})
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(spent))
        made = make_source(store, routers=0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(1)
            returned = Ledger(by_instance={"i2": Holding("i2-1", granted=100, spent=100)})
            store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(returned))
            await trio.sleep(OPTIONS.idle_read_s / 2)
            (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(50)
            nursery.cancel_scope.cancel()

    async def test_spent_budget_is_told_apart_from_one_in_other_hands(self, autojump_clock) -> None:
        store = MemoryStore()
        other = Ledger(by_instance={"i2": Holding("i2-1", granted=1000, spent=300)})
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(other))
        made = make_source(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            with pytest.raises(BudgetUnavailable):
                await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            spent = Ledger(by_instance={"i2": Holding("i2-1", granted=1000, spent=990)})
            store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(spent))
            await trio.sleep(2)
            with pytest.raises(BudgetExhausted):
                await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            nursery.cancel_scope.cancel()

    async def test_partition_that_is_down_refuses_its_own_accounts_only(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        options = LedgerOptions(partitions=2)
        made = LedgerBudgetSource(store, "i1", "i1-1", lambda: 1, options)
        names = {partition_of(name, 2): name for name in "abcdefgh"}
        made.set_prepaid(dict.fromkeys(names.values(), 1000))
        store.down_partitions = {1}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(1)
            assert made.ready
            await made.reserve(names[0], SETTINGS, 50, trio.current_time() + 9)
            with pytest.raises(BudgetUnavailable):
                await made.reserve(names[1], SETTINGS, 50, trio.current_time() + 9)
            store.down_partitions = set()
            await trio.sleep(1)
            await made.reserve(names[1], SETTINGS, 50, trio.current_time() + 9)
            nursery.cancel_scope.cancel()

    async def test_request_without_cost_needs_no_budget(self, autojump_clock) -> None:
        made = make_source(MemoryStore())
        assert (await made.reserve(ACCOUNT, SETTINGS, 0, 9.0)).amount == 0


class TestLedgers:
    async def test_lost_answer_is_learnt_by_reading(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        store.lose_answers = 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            nursery.cancel_scope.cancel()
        assert committed(ledger_of(store)) == 50

    async def test_learning_of_a_lost_answer_keeps_what_others_wrote_since(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        made = make_source(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(0.1)
            store.delay_s, store.lose_answers = 0.01, 1
            nursery.start_soon(made.reserve, ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            await trio.sleep(0.015)
            nursery.start_soon(made.reserve, ACCOUNT, SETTINGS, 10, trio.current_time() + 9)
            await trio.sleep(0.01)
            others = ledger_of(store)
            assert others.by_instance["i1"].granted == 50
            others.by_instance["i2"] = Holding("i2-1", granted=900)
            store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(others))
            await trio.sleep(2)
            assert ledger_of(store).by_instance["i1"].granted == 60
            assert ledger_of(store).by_instance["i2"].granted == 900
            nursery.cancel_scope.cancel()

    async def test_late_append_is_not_counted_twice(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        store.late_appends = 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            store.apply_late_appends()
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        assert committed(ledger_of(store)) == 50

    async def test_new_process_writes_off_the_hand_of_the_one_before(self, autojump_clock) -> None:
        store = MemoryStore()
        for life, expected in (("1", 50), ("2", 110)):
            made = make_source(store, life=life)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(made.run)
                await made.reserve(ACCOUNT, SETTINGS, int(life) * 10 + 40, 9.0)
                nursery.cancel_scope.cancel()
            assert committed(ledger_of(store)) == expected

    async def test_shutdown_gives_back_all_but_what_was_spent(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        made.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(30)
            await trio.sleep(2)
            assert committed(ledger_of(store)) > 30
            await made.return_all()
            assert committed(ledger_of(store)) == 30
            nursery.cancel_scope.cancel()

    async def test_lower_budget_takes_idle_units_back(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        made.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            (await made.reserve(ACCOUNT, SETTINGS, 200, trio.current_time() + 9)).settle(200)
            await trio.sleep(2)
            made.set_prepaid({ACCOUNT: 100})
            with pytest.raises(BudgetError):
                await made.reserve(ACCOUNT, SETTINGS, 10, trio.current_time() + 9)
            await trio.sleep(2)
            assert committed(ledger_of(store)) == 200
            nursery.cancel_scope.cancel()

    async def test_history_that_expired_is_read_again(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await made.reserve(ACCOUNT, SETTINGS, 10, trio.current_time() + 9)
            other = ledger_of(store)
            other.by_instance["i2"] = Holding("i2-1", granted=900)
            store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(other))
            store.topic(OPTIONS.topic).compact()
            with pytest.raises(BudgetUnavailable):
                await made.reserve(ACCOUNT, SETTINGS, 500, trio.current_time() + 9)
            nursery.cancel_scope.cancel()
        assert committed(ledger_of(store)) <= 1000

    async def test_unreadable_ledger_grants_nothing_and_the_rest_goes_on(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        store.put(OPTIONS.topic, "other", b"\xc1")
        made = make_source(store)
        made.set_prepaid({ACCOUNT: 1000, "other": 1000})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await made.reserve(ACCOUNT, SETTINGS, 10, trio.current_time() + 9)
            with pytest.raises(BudgetUnavailable):
                await made.reserve("other", SETTINGS, 10, trio.current_time() + 9)
            nursery.cancel_scope.cancel()

    async def test_refill_that_found_nothing_does_not_hold_back_a_request(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        others = Ledger(by_instance={"i2": Holding("i2-1", granted=500)})
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(others))
        made = make_source(store)
        made.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(1.01)
            (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(50)
            began = trio.current_time()
            await made.reserve(ACCOUNT, SETTINGS, 90, trio.current_time() + 9)
            assert trio.current_time() - began < OPTIONS.read_s / 10
            nursery.cancel_scope.cancel()

    async def test_idle_router_returns_its_share_as_the_budget_shrinks(
        self, autojump_clock
    ) -> None:
        store = MemoryStore()
        idle, busy = make_source(store, "i1", routers=2), make_source(store, "i2", routers=2)
        idle.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(idle.run)
            nursery.start_soon(busy.run)
            await trio.sleep(OPTIONS.horizon_s + 2)
            share = ledger_of(store).by_instance["i1"].granted
            (await busy.reserve(ACCOUNT, SETTINGS, 800, trio.current_time() + 9)).settle(800)
            await trio.sleep(4)
            assert ledger_of(store).by_instance["i1"].granted < share / 2
            nursery.cancel_scope.cancel()


class TestGrowth:
    async def test_hand_is_whole_again_only_as_long_behind_an_outage_as_it_lasted(
        self, autojump_clock
    ) -> None:
        """A loss of power often follows an outage; a router of 100 units a second, 8 s away."""
        store = MemoryStore()
        made = make_source(store)
        made.set_prepaid({ACCOUNT: 20_000})
        made.enable_preallocation()
        in_hand = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            for second in range(42):
                store.down = 20 <= second < 28
                for _ in range(5):
                    try:
                        until = trio.current_time() + 1
                        (await made.reserve(ACCOUNT, SETTINGS, 20, until)).settle(20)
                    except BudgetUnavailable:
                        pass
                    await trio.sleep(0.2)
                holding = ledger_of(store).by_instance["i1"]
                in_hand.append(holding.granted - holding.spent)
            nursery.cancel_scope.cancel()
        assert in_hand[19] > 800
        assert in_hand[30] < 0.6 * in_hand[19]
        assert in_hand[41] > 0.7 * in_hand[19]


class TestSpendLimit:
    """A router serves 100 units a second from a budget of 10,000 and is killed after 20 s."""

    async def _serve(self, made: LedgerBudgetSource, seconds: float) -> int:
        """Have 20 units reserved five times a second; return the units served."""
        served = 0
        for _ in range(round(seconds * 5)):
            try:
                (await made.reserve(ACCOUNT, SETTINGS, 20, trio.current_time() + 1)).settle(20)
                served += 20
            except BudgetUnavailable:
                pass
            await trio.sleep(0.2)
        return served

    async def _written_off(self, boots: tuple[str, str], away_s: float = 0.0) -> int:
        """Return the units that a kill and a restart after a second write off."""
        store = MemoryStore()
        spent = 0
        for life, boot in enumerate(boots):
            made = make_source(store, life=str(life), boot=boot)
            made.set_prepaid({ACCOUNT: 10_000})
            made.enable_preallocation()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(made.run)
                await trio.sleep(1)
                if not life:
                    spent = await self._serve(made, 20)
                    store.down = True
                    spent += await self._serve(made, away_s)
                nursery.cancel_scope.cancel()
            store.down = False
            await trio.sleep(1)
        return ledger_of(store).closed - spent

    async def test_kill_loses_seconds_of_traffic_in_place_of_the_hand(self, autojump_clock) -> None:
        assert await self._written_off(("boot", "another boot")) > 700
        assert 0 <= await self._written_off(("boot", "boot")) <= 400

    async def test_pace_that_counts_late_saves_a_second_of_traffic(self, autojump_clock) -> None:
        """The same kill: before the pace waited for the next report, 365 units were lost."""
        assert 0 <= await self._written_off(("boot", "boot")) <= 300

    async def test_kill_with_the_store_away_never_frees_what_was_spent(
        self, autojump_clock
    ) -> None:
        for away_s in (0.3, 2.0, 6.0):
            assert 0 <= await self._written_off(("boot", "boot"), away_s)

    async def test_report_under_way_does_not_lift_the_limit_in_force(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store, boot="boot")
        made.set_prepaid({ACCOUNT: 10_000})
        made.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await self._serve(made, 20)
            store.late_appends = 100
            for _ in range(2):
                with pytest.raises(BudgetUnavailable):
                    await made.reserve(ACCOUNT, SETTINGS, 700, trio.current_time() + 9)
            nursery.cancel_scope.cancel()

    async def test_hand_lasts_as_long_without_the_store(self, autojump_clock) -> None:
        store = MemoryStore()
        served_by_boot = {}
        for boot in ("", "boot"):
            made = make_source(store, name=f"i{boot}", boot=boot)
            made.set_prepaid({ACCOUNT: 10_000})
            made.enable_preallocation()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(made.run)
                await self._serve(made, 20)
                store.down = True
                served_by_boot[boot] = await self._serve(made, 8)
                nursery.cancel_scope.cancel()
            store.down = False
        assert served_by_boot["boot"] >= 0.95 * served_by_boot[""]

    async def test_request_beyond_the_pace_is_told_when_it_fits(self, autojump_clock) -> None:
        store = MemoryStore()
        made = make_source(store, boot="boot")
        made.set_prepaid({ACCOUNT: 10_000})
        made.enable_preallocation()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await self._serve(made, 20)
            store.down = True
            await trio.sleep(1.5)
            with pytest.raises(BudgetUnavailable) as refused:
                await made.reserve(ACCOUNT, SETTINGS, 700, trio.current_time() + 9)
            await trio.sleep(refused.value.retry_after + 0.01)
            await made.reserve(ACCOUNT, SETTINGS, 700, trio.current_time() + 9)
            nursery.cancel_scope.cancel()


@dataclass
class Fleet:
    """Routers over one store, what each truly spent, and faults drawn from a seed.

    With `shift_s` callers move on to another router after so many seconds, and some requests are
    so large that they need what lies in other hands.
    """

    shift_s: float = 0.0
    needs: int = 0
    store: MemoryStore = field(default_factory=MemoryStore)
    spent: int = 0
    served: int = 0
    lives: int = 0

    async def live(self, name: str, rng: Random) -> None:
        """Be a router that is killed and started again, for ever."""
        clocks = FakeClocks("boot")
        while True:
            self.lives += 1
            if rng.random() < 0.4:
                clocks = self._after_power_loss(rng)
            made = make_source_with(self.store, name, str(self.lives), 3, clocks)
            if rng.random() < 0.7:
                made.enable_preallocation()
            with trio.move_on_after(rng.uniform(0.5, 8.0)):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(made.run)
                    while True:
                        if self._has_traffic(name):
                            nursery.start_soon(self._request, made, rng)
                        await trio.sleep(rng.uniform(0.0, 0.4))

    def _has_traffic(self, name: str) -> bool:
        """Return whether callers use a router now."""
        if not self.shift_s:
            return True
        turn = int(trio.current_time() / self.shift_s) % len(ROUTERS)
        return name == ROUTERS[turn]

    def _amount(self, rng: Random) -> int:
        """Return the greatest cost of a request."""
        if self.shift_s and rng.random() < 0.2:
            return rng.randint(60, 300)
        return rng.randint(1, 60)

    def _note_needs(self) -> None:
        """Count the needs that the ledger tells of."""
        held = ledger_of(self.store).by_instance.values()
        self.needs += sum(1 for holding in held if holding.need)

    @staticmethod
    def _after_power_loss(rng: Random) -> FakeClocks:
        """Return clocks that began anew, the steady one anywhere, and at times with the old id."""
        boot = "boot" if rng.random() < 0.5 else f"boot-{rng.random()}"
        return FakeClocks(boot, trio.current_time() - rng.uniform(0.0, 40.0))

    async def _request(self, made: LedgerBudgetSource, rng: Random) -> None:
        amount = self._amount(rng)
        try:
            reserved = await made.reserve(ACCOUNT, SETTINGS, amount, trio.current_time() + 1)
        except BudgetError:
            self._note_needs()
            return
        used = rng.randint(0, amount)
        self.spent += used
        await trio.sleep(rng.uniform(0.0, 0.5))
        reserved.settle(used)
        self.served += 1

    async def break_store(self, rng: Random) -> None:
        """Let the store fail in all its ways, for ever."""
        while True:
            await trio.sleep(rng.uniform(0.1, 1.5))
            fault = rng.choice(["down", "lost", "late", "forget", "slow", "none"])
            self.store.down = fault == "down"
            self.store.lose_answers = 2 if fault == "lost" else 0
            self.store.late_appends = 1 if fault == "late" else 0
            self.store.delay_s = 0.2 if fault == "slow" else 0.004
            if fault == "forget":
                self.store.topic(OPTIONS.topic).compact()
            if rng.random() < 0.5:
                self.store.apply_late_appends()


def play(fleet: Fleet, seed: int) -> None:
    """Have a fleet's routers serve and die for 25 s, and check that the budget is kept."""

    async def run() -> None:
        rng = Random(seed)
        with trio.move_on_after(25):
            async with trio.open_nursery() as nursery:
                for name in ROUTERS:
                    nursery.start_soon(fleet.live, name, Random(rng.random()))
                nursery.start_soon(fleet.break_store, rng)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert fleet.spent <= 1000
    assert committed(ledger_of(fleet.store)) <= 1000
    assert fleet.served


class TestNoOverspend:
    @given(seed=st.integers(0, 10_000))
    def test_under_kills_and_a_store_that_fails_in_all_its_ways(self, seed: int) -> None:
        play(Fleet(), seed)

    @settings(max_examples=40)
    @given(seed=st.integers(0, 10_000))
    def test_with_needs_told_while_callers_move(self, seed: int) -> None:
        play(Fleet(shift_s=2.0), seed)

    def test_moving_callers_have_needs_told(self) -> None:
        fleets = [Fleet(shift_s=2.0) for _ in range(10)]
        for seed, fleet in enumerate(fleets):
            play(fleet, seed)
        assert sum(1 for fleet in fleets if fleet.needs) >= 5
