"""Tests of railtide.journal.hedge."""

from dataclasses import dataclass, field
from random import Random

import pytest
import trio

from railtide.journal.backoff import Backoff
from railtide.journal.errors import EraRisen, LogUnavailable, RecordsExpired
from railtide.journal.hedge import Attempt, Claim, hedged

HEDGE_AFTER_S = 1.0
PAUSE_S = 0.1


@dataclass(eq=False)
class Scripted:
    """An attempt that waits and then answers over some time, or fails."""

    name: str
    begins_after_s: float
    takes_s: float = 0.0
    error: Exception | None = None
    began_at: list[float] = field(default_factory=list)
    breaks: bool = False

    async def __call__(self, claim: Claim) -> str:
        self.began_at.append(trio.current_time())
        await trio.sleep(self.begins_after_s)
        if self.error and not self.breaks:
            raise self.error
        claim()
        await trio.sleep(self.takes_s)
        if self.error:
            raise self.error
        return self.name


@dataclass
class HedgedCall:
    """A hedged call, and what it reported to `on_unresponsive`."""

    first: Scripted
    hedge: Scripted
    reports: list[LogUnavailable | None] = field(default_factory=list)

    async def run(self) -> str:
        backoff = Backoff(PAUSE_S, PAUSE_S, Random(1))
        return await hedged(self.first, self.hedge, HEDGE_AFTER_S, self.reports.append, backoff)


NEVER = float("inf")


class TestFirst:
    async def test_answer_in_time_is_not_hedged(self, autojump_clock) -> None:
        call = HedgedCall(Scripted("first", 0.5, takes_s=60.0), Scripted("hedge", 0.0))
        assert await call.run() == "first"
        assert call.hedge.began_at == []
        assert call.reports == []

    async def test_slow_answer_wins_although_a_hedge_was_made(self, autojump_clock) -> None:
        call = HedgedCall(Scripted("first", 1.6, takes_s=5.0), Scripted("hedge", 1.6))
        began = trio.current_time()
        assert await call.run() == "first"
        assert trio.current_time() - began == pytest.approx(6.6)
        assert len(call.hedge.began_at) == 1
        assert call.reports == [None]

    async def test_failure_is_raised_at_once(self, autojump_clock) -> None:
        lost = LogUnavailable("reset")
        call = HedgedCall(Scripted("first", 0.2, error=lost), Scripted("hedge", 0.0))
        with pytest.raises(LogUnavailable, match="reset"):
            await call.run()
        assert call.reports == []

    async def test_failure_while_a_hedge_is_answered_is_ignored(self, autojump_clock) -> None:
        lost = LogUnavailable("given up")
        first = Scripted("first", 2.0, error=lost)
        call = HedgedCall(first, Scripted("hedge", 0.1, takes_s=3.0))
        assert await call.run() == "hedge"


class TestHedges:
    async def test_dead_connection_costs_only_the_wait_for_the_hedge(self, autojump_clock) -> None:
        call = HedgedCall(Scripted("first", NEVER), Scripted("hedge", 0.004))
        began = trio.current_time()
        assert await call.run() == "hedge"
        assert trio.current_time() - began == pytest.approx(HEDGE_AFTER_S + 0.004)

    async def test_failed_hedges_are_reported_and_repeated(self, autojump_clock) -> None:
        lost = LogUnavailable("silent")
        call = HedgedCall(Scripted("first", 8.0, error=lost), Scripted("hedge", 1.0, error=lost))
        with pytest.raises(LogUnavailable):
            await call.run()
        assert call.reports[0] is None
        assert call.reports[1:] == [lost] * 6

    async def test_answer_that_breaks_off_is_the_answer(self, autojump_clock) -> None:
        broken = LogUnavailable("broke off")
        hedge = Scripted("hedge", 0.1, takes_s=1.0, error=broken, breaks=True)
        call = HedgedCall(Scripted("first", 1.5), hedge)
        with pytest.raises(LogUnavailable, match="broke off"):
            await call.run()
        assert len(hedge.began_at) == 1

    @pytest.mark.parametrize("raised", [EraRisen("risen"), RecordsExpired(7)])
    async def test_conclusive_error_ends_the_call(self, autojump_clock, raised: Exception) -> None:
        call = HedgedCall(Scripted("first", NEVER), Scripted("hedge", 0.1, error=raised))
        with pytest.raises(type(raised)):
            await call.run()

    async def test_only_one_of_two_simultaneous_answers_is_read(self, autojump_clock) -> None:
        both_begin = trio.Event()
        read: list[str] = []

        def attempt_of(name: str) -> Attempt[str]:
            async def attempt(claim: Claim) -> str:
                await both_begin.wait()
                claim()
                read.append(name)
                await trio.sleep(1.0)
                return name

            return attempt

        async with trio.open_nursery() as nursery:

            async def begin_both() -> None:
                await trio.sleep(HEDGE_AFTER_S + 0.5)
                both_begin.set()

            nursery.start_soon(begin_both)
            backoff = Backoff(PAUSE_S, PAUSE_S, Random(1))
            attempts = attempt_of("first"), attempt_of("hedge")
            name = await hedged(*attempts, HEDGE_AFTER_S, lambda err: None, backoff)
        assert read == [name]


class TestCancellation:
    async def test_cancelled_caller_cancels_all_attempts(self, autojump_clock) -> None:
        call = HedgedCall(Scripted("first", NEVER), Scripted("hedge", NEVER))
        with trio.move_on_after(5.0) as scope:
            await call.run()
        assert scope.cancelled_caught
