"""Tests of railtide.budgets.log_budget_source."""

import pytest
import trio

from railtide.budgets.errors import BudgetExhausted, BudgetUnavailable
from railtide.budgets.log_budget_source import Epoch, LogBudgetSource
from railtide.budgets.messages import Grant, GrantReturn
from railtide.configuration.models import AccountSettings
from railtide.journal.entries import Entry, Verdict, VerdictCode, decode_record
from railtide.journal.writer import Writer
from railtide.membership.messages import CloseHolder, Heartbeat

SETTINGS = AccountSettings(grant_min=100, grant_horizon_s=1, exposure_percent=50, budget_wait_s=0.5)


class Book:
    """A stand-in for the log that grants from a budget at once, or not at all."""

    def __init__(self, budget: int, reachable: bool = True) -> None:
        self.budget = budget
        self.reachable = reachable
        self.records = []
        self.epochs: list[Epoch] = []
        self.budgets = LogBudgetSource(self._open, lambda: self.reachable, lambda settings: 2)
        self.budgets.begin()

    def _open(self) -> Epoch:
        epoch = Epoch(Writer(f"h{len(self.epochs)}", self._on_entry))
        self.epochs.append(epoch)
        return epoch

    def _on_entry(self, entry: Entry, trace: str) -> None:
        self.records.append(decode_record(entry))

    def decide(self, fenced: bool = False) -> None:
        for epoch in self.epochs:
            for entry in epoch.writer.pending():
                self._decide(epoch, entry, fenced)

    def _decide(self, epoch: Epoch, entry: Entry, fenced: bool) -> None:
        record = decode_record(entry)
        code = VerdictCode.OK
        if isinstance(record, Grant):
            code = VerdictCode.OK if record.amount <= self.budget else VerdictCode.BUDGET_EXHAUSTED
            self.budget -= record.amount if code == VerdictCode.OK else 0
        verdict = Verdict(entry.seq, code, 0, available=self.budget, fenced=fenced)
        submission = epoch.writer.apply_verdict(verdict)
        self.budgets.apply_grant_verdict(epoch, submission)

    async def run(self) -> None:
        while True:
            await trio.sleep(0.05)
            self.decide()

    async def reserve(self, amount: int):
        deadline = trio.current_time() + 10
        return await self.budgets.reserve("acc", SETTINGS, amount, deadline)


@pytest.fixture
async def nursery_scope():
    async with trio.open_nursery() as nursery:
        yield nursery
        nursery.cancel_scope.cancel()


class TestReserve:
    async def test_waits_for_its_grant(self, autojump_clock, nursery_scope) -> None:
        book = Book(1000)
        nursery_scope.start_soon(book.run)
        held = await book.reserve(30)
        assert held.amount == 30
        assert book.budgets.epoch.allocation("acc").available == 70

    async def test_exhausted_budget_is_refused_with_its_code(
        self, autojump_clock, nursery_scope
    ) -> None:
        book = Book(20)
        nursery_scope.start_soon(book.run)
        with pytest.raises(BudgetExhausted) as refused:
            await book.reserve(30)
        assert refused.value.retry_after > 0

    async def test_last_units_are_asked_for_exactly(self, autojump_clock, nursery_scope) -> None:
        book = Book(40)
        nursery_scope.start_soon(book.run)
        assert (await book.reserve(35)).amount == 35

    async def test_unreachable_log_is_refused_at_once(self, autojump_clock) -> None:
        book = Book(1000, reachable=False)
        began = trio.current_time()
        with pytest.raises(BudgetUnavailable):
            await book.reserve(30)
        assert trio.current_time() == began

    async def test_hand_serves_on_in_an_outage(self, autojump_clock, nursery_scope) -> None:
        book = Book(1000)
        nursery_scope.start_soon(book.run)
        (await book.reserve(10)).settle(10)
        book.reachable = False
        assert await book.reserve(60)


class TestReservation:
    async def test_exposure_is_bounded_and_covered(self, autojump_clock, nursery_scope) -> None:
        book = Book(1000)
        nursery_scope.start_soon(book.run)
        held = [await book.reserve(30) for _ in range(2)]
        assert held[0].try_expose(30)
        assert not held[1].try_expose(30)
        held[0].cover(30)
        assert held[1].try_expose(30)

    async def test_settled_request_is_exposed_by_its_cost(
        self, autojump_clock, nursery_scope
    ) -> None:
        book = Book(1000)
        nursery_scope.start_soon(book.run)
        first = await book.reserve(45)
        second = await book.reserve(45)
        assert first.try_expose(45) and not second.try_expose(45)
        first.settle(5)
        assert second.try_expose(45)
        first.cover(45)
        second.cover(45)
        assert book.budgets.epoch.allocation("acc").exposed == 0

    async def test_settles_once(self, autojump_clock, nursery_scope) -> None:
        book = Book(1000)
        nursery_scope.start_soon(book.run)
        held = await book.reserve(30)
        assert held.settle(20) == 20
        assert held.settle(5) == 0
        assert book.budgets.epoch.allocation("acc").spent == 20

    async def test_extends_only_from_the_hand(self, autojump_clock, nursery_scope) -> None:
        book = Book(100)
        nursery_scope.start_soon(book.run)
        held = await book.reserve(60)
        assert held.extend(40)
        assert not held.extend(1)


class TestEpochs:
    async def test_fence_opens_a_new_epoch_and_closes_the_old_when_settled(
        self, autojump_clock, nursery_scope
    ) -> None:
        book = Book(1000)
        held = []

        async def reserve() -> None:
            held.append(await book.reserve(30))

        nursery_scope.start_soon(book.budgets.run)
        nursery_scope.start_soon(reserve)
        await trio.sleep(0.1)
        book.decide()
        await trio.sleep(0.1)
        book.budgets.epoch.writer.submit(Heartbeat())
        book.decide(fenced=True)
        await trio.sleep(2)
        assert len(book.epochs) == 2
        assert CloseHolder() not in book.records
        held[0].settle(10)
        await trio.sleep(2)
        assert book.records[-1] == CloseHolder()

    async def test_demand_returns_what_lies_idle(self, autojump_clock, nursery_scope) -> None:
        book = Book(1000)
        nursery_scope.start_soon(book.run)
        (await book.reserve(30)).settle(30)
        await trio.sleep(5)
        book.budgets.return_idle("acc")
        assert book.records[-1] == GrantReturn("acc", 70)
        assert book.budgets.epoch.allocation("acc").available == 0

    async def test_traffic_that_ends_gives_back(self, autojump_clock, nursery_scope) -> None:
        book = Book(100_000)
        nursery_scope.start_soon(book.run)
        nursery_scope.start_soon(book.budgets.run)
        for _ in range(50):
            (await book.reserve(100)).settle(100)
        await trio.sleep(25)
        assert book.budgets.epoch.allocation("acc").available <= 2 * SETTINGS.grant_min
