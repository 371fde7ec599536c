"""Tests of railtide.requests.commit."""

import pytest
import trio

from railtide.budgets.log_budget_source import Epoch, LogReservation
from railtide.configuration.models import AccountSettings
from railtide.journal.entries import Verdict, VerdictCode
from railtide.journal.writer import Writer
from railtide.lanes.queue import Urgency
from railtide.membership.messages import Heartbeat
from railtide.requests.answer_cache import AnswerCache
from railtide.requests.call import Call, Prices
from railtide.requests.commit import KnownAnswer, LogCommit, answer_of_verdict
from railtide.requests.errors import (
    AnswerGone,
    HolderFenced,
    KeyReused,
    OutcomeUnknown,
    RequestInProgress,
)
from railtide.requests.messages import Answer, Outcome
from railtide.requests.options import RequestOptions
from railtide.requests.retry import RetryBudget
from railtide.requests.services import Services
from railtide.telemetry.counters import Counters

OPTIONS = RequestOptions(dispatch_window_s=6.0, commit_wait_s=1.0)


def call_with(key: str = "") -> Call:
    return Call(
        request_id="r",
        account="a",
        settings=AccountSettings(),
        pool="p",
        method="POST",
        path="/",
        content_type="",
        body=b"",
        prices=Prices(),
        reserve=10,
        prompt_tokens=0,
        urgency=Urgency.BULK,
        deadline=60.0,
        key=key,
    )


class Case:
    """A commit protocol with a writer whose verdicts are set by the test."""

    def __init__(self, key: str = "", exposure: int = 100) -> None:
        self.writer = Writer("h", lambda entry, trace: None)
        self.reachable = True
        epoch = Epoch(self.writer)
        allocation = epoch.allocation("a")
        allocation.granted, allocation.reserved, allocation.exposure_limit = 100, 10, exposure
        services = Services(
            None,
            OPTIONS,
            lambda pool: RetryBudget(),
            AnswerCache(),
            Counters(),
            lambda: self.reachable,
            None,
            None,
            None,
            None,
        )
        self.commit = LogCommit(call_with(key), LogReservation(epoch, "a", 10), services)

    def decide(self, code: str = VerdictCode.OK, **more: object) -> None:
        seq = self.writer.pending()[0].seq
        self.writer.apply_verdict(Verdict(seq, code, 0, **more))


class TestPrepare:
    async def test_request_without_key_does_not_wait_for_its_intent(self, autojump_clock) -> None:
        case = Case()
        await case.commit.prepare()
        assert len(case.writer.pending()) == 1

    async def test_request_above_the_exposure_limit_waits_for_its_intent(
        self, autojump_clock
    ) -> None:
        case = Case(exposure=0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.commit.prepare)
            await trio.sleep(0.5)
            assert len(nursery.child_tasks) == 1
            case.decide()

    async def test_request_with_a_used_key_gets_the_stored_answer(self, autojump_clock) -> None:
        case = Case(key="k")
        answer = Answer(200, "", b"x")
        with pytest.raises(KnownAnswer) as known:
            async with trio.open_nursery(strict_exception_groups=False) as nursery:
                nursery.start_soon(case.commit.prepare)
                await trio.sleep(0.5)
                case.decide(VerdictCode.KEY_USED, outcome=Outcome.DONE, answer=answer)
        assert known.value.answer == answer

    async def test_fenced_holder_sends_nothing(self, autojump_clock) -> None:
        case = Case()
        case.writer.submit(Heartbeat())
        case.decide(fenced=True)
        with pytest.raises(HolderFenced):
            await case.commit.prepare()


class TestCheckOwnership:
    async def test_durable_request_is_refused_after_an_old_confirmation(
        self, autojump_clock
    ) -> None:
        case = Case()
        await case.commit.prepare()
        case.decide()
        case.commit.check_ownership()
        await trio.sleep(OPTIONS.dispatch_window_s + 1)
        with pytest.raises(HolderFenced):
            case.commit.check_ownership()

    async def test_durable_request_is_allowed_after_a_new_confirmation(
        self, autojump_clock
    ) -> None:
        case = Case()
        await case.commit.prepare()
        case.decide()
        await trio.sleep(OPTIONS.dispatch_window_s + 1)
        case.writer.submit(Heartbeat())
        case.decide()
        case.commit.check_ownership()


class TestWaitBeforeOutput:
    async def test_first_byte_waits_for_the_intent_up_to_the_commit_wait(
        self, autojump_clock
    ) -> None:
        case = Case()
        await case.commit.prepare()
        began = trio.current_time()
        await case.commit.wait_before_first_byte()
        assert trio.current_time() - began == pytest.approx(OPTIONS.commit_wait_s, abs=0.1)

    async def test_first_byte_does_not_wait_while_the_log_is_down(self, autojump_clock) -> None:
        case = Case()
        await case.commit.prepare()
        case.reachable = False
        began = trio.current_time()
        await case.commit.wait_before_first_byte()
        assert trio.current_time() == began


class TestAnswerOfVerdict:
    @pytest.mark.parametrize(
        "code,outcome,error",
        [
            (VerdictCode.KEY_OPEN, "", RequestInProgress),
            (VerdictCode.KEY_MISMATCH, "", KeyReused),
            (VerdictCode.KEY_USED, Outcome.UNKNOWN, OutcomeUnknown),
            (VerdictCode.KEY_USED, Outcome.DONE, AnswerGone),
        ],
    )
    def test_raises_the_error_for_the_state_of_the_key(
        self, code: str, outcome: str, error: type
    ) -> None:
        with pytest.raises(error):
            answer_of_verdict(Verdict(1, code, 0, outcome=outcome))
