"""Tests of railtide.budgets.account_log: what the lines on a budget say, and how often.

After a loss of power of all routers callers were refused, and the lines said only that units were
"spent or written off" and how many a dead process had not reported. Whether its clocks had proved
anything, and what a budget looked like when the new processes first read it, stood nowhere.
"""

import pytest
import trio

from railtide.budgets.account_log import (
    BURST_LINES,
    LEAST_S,
    AccountState,
    ClockProof,
    LineAllowance,
    RefusalCause,
    is_news,
    proof_of,
    refusal_cause,
    state_of,
)
from railtide.budgets.allocation_sizing import LedgerOptions
from railtide.budgets.errors import BudgetError
from railtide.budgets.ledger import Holding, Ledger, ledger_to_bytes
from railtide.budgets.ledger_budget_source import LedgerBudgetSource
from railtide.budgets.spend_limit import ClockReading, Clocks, SpendLimit
from railtide.configuration.models import AccountSettings
from railtide.standins.keyed_store import MemoryStore
from railtide.telemetry.counters import Counters

ACCOUNT = "a"
SETTINGS = AccountSettings(budget_wait_s=0.2)
OPTIONS = LedgerOptions()
BOOT_S = 100.0


class FixedClocks(Clocks):
    """Clocks of one boot that began `BOOT_S` before the virtual clock."""

    def __init__(self, boot: str) -> None:
        self._boot = boot

    def read(self) -> ClockReading:
        now = trio.current_time()
        return ClockReading(self._boot, BOOT_S + now, 1e9 + now)


def of(lines: list[dict], event: str) -> list[dict]:
    return [line for line in lines if line["event"] == event]


def make_source(store: MemoryStore, counters: Counters, life: str = "2", prepaid: int = 1000):
    made = LedgerBudgetSource(
        store,
        "i1",
        f"i1-{life}",
        lambda: 1,
        OPTIONS,
        lambda: not store.down,
        FixedClocks("boot"),
        counters,
    )
    made.set_prepaid({ACCOUNT: prepaid})
    return made


class TestState:
    def test_parts_of_a_budget_add_up_to_it(self) -> None:
        held = {"i1": Holding("i1-1", granted=300, spent=100), "i2": Holding("i2-1", granted=50)}
        state = state_of(Ledger(closed=400, billed=150, by_instance=held), prepaid=1000)
        assert state == AccountState(1000, spent=250, written_off=250, in_hands=250, left=250)
        parts = state.spent + state.written_off + state.in_hands + state.left
        assert parts == state.prepaid

    def test_lowered_budget_has_less_than_nothing_left(self) -> None:
        assert state_of(Ledger(closed=400, billed=400), prepaid=100).left == -300


class TestNews:
    def test_small_changes_of_use_are_none(self) -> None:
        before = AccountState(1000, spent=100, written_off=0, in_hands=200, left=700)
        assert not is_news(before, AccountState(1000, 150, 0, 180, 670))
        assert is_news(before, AccountState(1000, 100, 0, 99, 801))
        assert is_news(before, AccountState(1000, 200, 0, 200, 600))

    def test_any_write_off_and_any_other_budget_is(self) -> None:
        before = AccountState(1000, spent=100, written_off=0, in_hands=200, left=700)
        assert is_news(before, AccountState(1000, 100, 1, 199, 700))
        assert is_news(before, AccountState(1001, 100, 0, 200, 701))
        assert is_news(None, before)

    def test_lines_of_many_accounts_are_bounded_and_come_later(self) -> None:
        allowance = LineAllowance()
        assert sum(allowance.take(10.0) for _ in range(1000)) == BURST_LINES
        assert not allowance.take(10.0)
        assert allowance.take(11.0)


class TestProof:
    LIMIT = SpendLimit(ClockReading("boot", 10.0, 1000.0), used=100, burst=50, pace=20)

    def test_clocks_that_agree_prove_the_time(self) -> None:
        proof = proof_of(self.LIMIT, ClockReading("boot", 12.5, 1002.5))
        assert (proof.clocks, proof.since_report_s) == (ClockProof.PROVED, 2.5)

    def test_each_reason_for_none_is_told(self) -> None:
        another = proof_of(self.LIMIT, ClockReading("boot 2", 1.5, 1004.0))
        assert (another.clocks, another.since_report_s) == (ClockProof.ANOTHER_BOOT, 4.0)
        anew = proof_of(self.LIMIT, ClockReading("boot", 1.5, 1004.0))
        assert (anew.clocks, anew.since_report_s) == (ClockProof.CLOCKS_DISAGREE, 4.0)
        unknown = proof_of(self.LIMIT, ClockReading("", 0.0, 0.0))
        assert (unknown.clocks, unknown.since_report_s) == (ClockProof.BOOT_UNKNOWN, None)
        unbound = proof_of(None, ClockReading("boot", 1.5, 1004.0))
        assert (unbound.clocks, unbound.since_report_s) == (ClockProof.NO_LIMIT, None)


class TestCause:
    STATE = AccountState(1000, spent=300, written_off=400, in_hands=200, left=100)

    def cause(self, amount: int, in_hand: int = 0, reached: bool = True) -> RefusalCause:
        return refusal_cause(self.STATE, amount, in_hand, reached)

    def test_units_in_the_ledger_and_in_hands(self) -> None:
        assert self.cause(100) is RefusalCause.IN_LEDGER
        assert self.cause(150, in_hand=50) is RefusalCause.IN_LEDGER
        assert self.cause(101) is RefusalCause.IN_OTHER_HANDS
        assert self.cause(100, reached=False) is RefusalCause.IN_LEDGER_AWAY
        assert self.cause(101, reached=False) is RefusalCause.IN_OTHER_HANDS_AWAY

    def test_write_off_is_told_apart_from_spending(self) -> None:
        assert self.cause(301) is RefusalCause.WRITTEN_OFF
        assert self.cause(700) is RefusalCause.WRITTEN_OFF
        assert self.cause(701) is RefusalCause.SPENT

    def test_limit_of_the_process_and_unread_ledger(self) -> None:
        assert self.cause(50, in_hand=60) is RefusalCause.SPEND_LIMIT
        assert refusal_cause(None, 50, 0, True) is RefusalCause.LEDGER_UNREAD


class TestLines:
    async def test_ledger_is_told_at_the_first_read_and_after_a_write_off(
        self, autojump_clock, lines: list[dict]
    ) -> None:
        store = MemoryStore()
        held = {"i2": Holding("i2-1", granted=300, spent=100)}
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(Ledger(400, 150, held)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_source(store, Counters()).run)
            await trio.sleep(LEAST_S)
            state = {"prepaid": 1000, "spent": 250, "written_off": 250}
            state |= {"in_hands": 200, "left": 300}
            expected = {"event": "ledger-state", "account": ACCOUNT} | state
            assert of(lines, "ledger-state") == [expected]
            store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(Ledger(700, 250)))
            await trio.sleep(LEAST_S)
            written_off = [line["written_off"] for line in of(lines, "ledger-state")]
            assert written_off == [250, 450]
            await trio.sleep(10 * LEAST_S)
            assert len(of(lines, "ledger-state")) == 2
            nursery.cancel_scope.cancel()

    async def test_ledgers_that_change_at_each_read_are_told_every_few_seconds(
        self, autojump_clock, lines: list[dict]
    ) -> None:
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_source(store, Counters()).run)
            for closed in range(30):
                store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(Ledger(closed)))
                await trio.sleep(1)
            nursery.cancel_scope.cancel()
        assert 5 <= len(of(lines, "ledger-state")) <= 30 / LEAST_S + 1

    @pytest.mark.parametrize(
        ("boot", "clocks", "units", "returned"),
        [("boot", "proved", 140, 760), ("before", "another-boot", 900, 0)],
    )
    async def test_closed_hand_says_what_the_clocks_proved(
        self, autojump_clock, lines: list[dict], boot: str, clocks: str, units: int, returned: int
    ) -> None:
        """Of 900 units a burst of 100 and two seconds at 20 can have been spent."""
        store, counters = MemoryStore(), Counters()
        now = trio.current_time()
        made = ClockReading(boot, BOOT_S + now - 2.0, 1e9 + now - 2.0)
        limit = SpendLimit(made, used=100, burst=100, pace=20)
        dead = Holding("i1-1", granted=1000, spent=100, limit=limit)
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(Ledger(by_instance={"i1": dead})))
        async with trio.open_nursery() as nursery:
            new = make_source(store, counters)
            new.enable_preallocation()
            nursery.start_soon(new.run)
            await trio.sleep(3)
            nursery.cancel_scope.cancel()
        (line,) = of(lines, "former-hand-closed")
        assert line["clocks"] == clocks
        assert line["since_report_s"] == pytest.approx(2.0, abs=0.01)
        assert (line["units"], line["returned"]) == (units, returned)
        assert counters.value("budget_units_written_off") == units
        assert counters.value("budget_units_returned") == returned

    async def test_refusal_says_its_cause_and_is_counted_by_it(
        self, autojump_clock, lines: list[dict]
    ) -> None:
        store, counters = MemoryStore(), Counters()
        store.put(OPTIONS.topic, ACCOUNT, ledger_to_bytes(Ledger(closed=980, billed=300)))
        made = make_source(store, counters)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(1)
            with pytest.raises(BudgetError):
                await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            nursery.cancel_scope.cancel()
        (line,) = of(lines, "budget-refused")
        assert (line["cause"], line["written_off"]) == ("written-off", 680)
        assert counters.value("budget_refused_written_off") == 1

    async def test_refusal_before_the_ledger_was_read_says_so(
        self, autojump_clock, lines: list[dict]
    ) -> None:
        store = MemoryStore()
        store.down = True
        made = make_source(store, Counters())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            with pytest.raises(BudgetError):
                await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)
            nursery.cancel_scope.cancel()
        (line,) = of(lines, "budget-refused")
        assert line["cause"] == "ledger-unread"

    async def test_first_request_with_a_cost_is_told_once(
        self, autojump_clock, lines: list[dict]
    ) -> None:
        store = MemoryStore()
        made = make_source(store, Counters())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.run)
            await trio.sleep(1)
            (await made.reserve(ACCOUNT, SETTINGS, 0, 9.0)).settle(0)
            (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(0)
            assert of(lines, "serving") == []
            await trio.sleep(1)
            for _ in range(2):
                (await made.reserve(ACCOUNT, SETTINGS, 50, trio.current_time() + 9)).settle(40)
            nursery.cancel_scope.cancel()
        (line,) = of(lines, "serving")
        assert line["account"] == ACCOUNT
        assert line["since_start_s"] == pytest.approx(2.0, abs=0.1)
