"""Tests of railtide.requests.cover."""

import pytest
import trio

from railtide.budgets.treasury import Epoch, Reservation
from railtide.configuration.models import AccountSettings
from railtide.journal.entries import Verdict, VerdictCode
from railtide.journal.writer import Writer
from railtide.lanes.queue import Urgency
from railtide.membership.messages import Heartbeat
from railtide.requests.call import Call, Prices
from railtide.requests.cover import KnownAnswer, LogCover, answer_of_verdict
from railtide.requests.errors import (
    AnswerGone,
    HolderFenced,
    KeyReused,
    OutcomeUnknown,
    RequestInProgress,
)
from railtide.requests.messages import Answer, Outcome
from railtide.requests.options import RequestOptions
from railtide.requests.replays import Replays
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
    """A cover with a writer whose verdicts the test gives."""

    def __init__(self, key: str = "", exposure: int = 100) -> None:
        self.writer = Writer("h", lambda entry, trace: None)
        self.reachable = True
        epoch = Epoch(self.writer)
        hand = epoch.hand("a")
        hand.granted, hand.reserved, hand.exposure_limit = 100, 10, exposure
        services = Services(
            None,
            OPTIONS,
            lambda pool: RetryBudget(),
            Replays(),
            Counters(),
            lambda: self.reachable,
            None,
            None,
            None,
            None,
        )
        self.cover = LogCover(call_with(key), Reservation(epoch, "a", 10), services)

    def decide(self, code: str = VerdictCode.OK, **more: object) -> None:
        seq = self.writer.pending()[0].seq
        self.writer.apply_verdict(Verdict(seq, code, 0, **more))


class TestDeclare:
    async def test_request_without_key_goes_before_its_intent(self, autojump_clock) -> None:
        case = Case()
        await case.cover.declare()
        assert len(case.writer.pending()) == 1

    async def test_above_the_exposure_it_waits_for_its_intent(self, autojump_clock) -> None:
        case = Case(exposure=0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(case.cover.declare)
            await trio.sleep(0.5)
            assert len(nursery.child_tasks) == 1
            case.decide()

    async def test_key_waits_for_its_claim_and_learns_of_the_other(self, autojump_clock) -> None:
        case = Case(key="k")
        answer = Answer(200, "", b"x")
        with pytest.raises(KnownAnswer) as known:
            async with trio.open_nursery(strict_exception_groups=False) as nursery:
                nursery.start_soon(case.cover.declare)
                await trio.sleep(0.5)
                case.decide(VerdictCode.KEY_USED, outcome=Outcome.DONE, answer=answer)
        assert known.value.answer == answer

    async def test_fenced_holder_sends_nothing(self, autojump_clock) -> None:
        case = Case()
        case.writer.submit(Heartbeat())
        case.decide(fenced=True)
        with pytest.raises(HolderFenced):
            await case.cover.declare()


class TestCheckFresh:
    async def test_old_proof_of_a_durable_request_is_not_trusted(self, autojump_clock) -> None:
        case = Case()
        await case.cover.declare()
        case.decide()
        case.cover.check_fresh()
        await trio.sleep(OPTIONS.dispatch_window_s + 1)
        with pytest.raises(HolderFenced):
            case.cover.check_fresh()

    async def test_new_proof_is(self, autojump_clock) -> None:
        case = Case()
        await case.cover.declare()
        case.decide()
        await trio.sleep(OPTIONS.dispatch_window_s + 1)
        case.writer.submit(Heartbeat())
        case.decide()
        case.cover.check_fresh()


class TestHold:
    async def test_first_byte_waits_for_the_intent_within_bounds(self, autojump_clock) -> None:
        case = Case()
        await case.cover.declare()
        began = trio.current_time()
        await case.cover.hold_first_byte()
        assert trio.current_time() - began == pytest.approx(OPTIONS.commit_wait_s, abs=0.1)

    async def test_nothing_is_held_while_the_log_is_down(self, autojump_clock) -> None:
        case = Case()
        await case.cover.declare()
        case.reachable = False
        began = trio.current_time()
        await case.cover.hold_first_byte()
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
    def test_says_what_is_known(self, code: str, outcome: str, error: type) -> None:
        with pytest.raises(error):
            answer_of_verdict(Verdict(1, code, 0, outcome=outcome))
