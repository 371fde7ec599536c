"""The cover of a request in the log: its intent, its extensions, and what may go before them.

Output commit: a request without a key is sent at once, while its intent is on its way to the
log, as far as the account's exposure allows; output is held until the intent is durable. A
request with a key is sent only after its claim is durable.

References
----------
E. Elnozahy et al., "A survey of rollback-recovery protocols in message-passing systems", ACM
Computing Surveys 34(3), 2002.
"""

from abc import ABC, abstractmethod

import trio
from opentelemetry import trace

from railtide.budgets.errors import ExposureReached
from railtide.budgets.treasury import Reservation
from railtide.journal.entries import Verdict, VerdictCode
from railtide.journal.writer import Submission
from railtide.requests.call import Call
from railtide.requests.errors import (
    AnswerGone,
    ClaimUnavailable,
    HolderFenced,
    KeyReused,
    OutcomeUnknown,
    RequestInProgress,
)
from railtide.requests.messages import Answer, Bill, Extend, Intent, Outcome
from railtide.requests.services import Services
from railtide.telemetry.traceparent import traceparent_of

__all__ = ["Cover", "KnownAnswer", "LogCover", "answer_of_verdict", "log_cover"]

RETRY_SOON_S = 1.0
LOG_CHECK_S = 0.5


class KnownAnswer(Exception):  # noqa: N818 - not an error: the answer is there already
    """The request ran before and its answer is kept."""

    def __init__(self, answer: Answer) -> None:
        super().__init__("the answer is kept")
        self.answer = answer


def answer_of_verdict(verdict: Verdict) -> Answer:
    """Return the kept answer of a key that another request has.

    Raises
    ------
    RequestInProgress, KeyReused, AnswerGone, OutcomeUnknown
        What else is known of the key.
    """
    if verdict.code == VerdictCode.KEY_MISMATCH:
        raise KeyReused("this Idempotency-Key belongs to another request")
    if verdict.code == VerdictCode.KEY_OPEN:
        raise RequestInProgress("a request with this key is open", retry_after=RETRY_SOON_S)
    if verdict.outcome == Outcome.UNKNOWN:
        raise OutcomeUnknown("a request with this key may have run; it is not sent again")
    if verdict.answer is None:
        raise AnswerGone("a request with this key ran; its answer is not kept")
    return verdict.answer


class Cover(ABC):
    """What makes a request's budget safe before it is sent, and its bill after the answer."""

    bills_delivery = False
    """Whether a request without a whole answer is billed at once by what its caller was sent."""

    @property
    @abstractmethod
    def open(self) -> bool:
        """True if the request needs a bill."""

    @abstractmethod
    async def declare(self) -> None:
        """Return when the request may be sent; raises if it may not."""

    @abstractmethod
    async def extend(self, amount: int) -> bool:
        """Cover another try; return False if there is no budget for it."""

    @abstractmethod
    def check_fresh(self) -> None:
        """Raise `HolderFenced` if another router may have settled the request."""

    @abstractmethod
    async def hold_first_byte(self) -> None:
        """Return when output may begin."""

    @abstractmethod
    async def hold_end(self, bill: Submission | None) -> None:
        """Return when the answer may be ended."""

    @abstractmethod
    def waste_of(self, lost_tries: int) -> int:
        """Return the units to count as used by tries whose answers never came."""

    @abstractmethod
    def bill(self, record: Bill) -> Submission | None:
        """Write the bill; None where bills are written in sums."""


class LogCover(Cover):
    """The entries of the log that cover one request.

    Parameters
    ----------
    call : Call
    reservation : Reservation
    services : Services
    """

    def __init__(self, call: Call, reservation: Reservation, services: Services) -> None:
        self._call = call
        self._reservation = reservation
        self._services = services
        self._options = services.options
        self._intent: Submission | None = None

    @property
    def open(self) -> bool:
        """True if a request may be open in the log, so that it needs a bill."""
        if self._intent is None:
            return False
        return self._intent.verdict is None or self._intent.verdict.ok

    # -- before the request is sent -----------------------------------------------------------

    async def declare(self) -> None:
        """Write the intent; return when the request may be sent.

        Raises
        ------
        KnownAnswer
            Another request has the key, and its answer is kept.
        RailtideError
            The request may not be sent.
        """
        if self._reservation.epoch.writer.fenced:
            raise HolderFenced("this router's incarnation was fenced", retry_after=RETRY_SOON_S)
        if self._call.key and (not self._call.repeatable or self._services.log_reachable()):
            await self._claim()
        else:
            await self._cover(self._call.reserve)

    async def extend(self, amount: int) -> bool:
        """Reserve and cover another try; return False if there is no budget for it."""
        call = self._call
        extended = await self._services.extend(
            self._reservation, call.settings, amount, call.deadline
        )
        if not extended:
            return False
        await self._cover(amount)
        return True

    def check_fresh(self) -> None:
        """Refuse to send what another router may have settled, after a pause or a long cut.

        Once this holder is fenced its durable requests are settled by others. So a durable
        request is sent only while the last proof that the holder is not fenced is young.
        """
        if self._may_be_settled():
            raise HolderFenced("too long since the log was heard", retry_after=RETRY_SOON_S)

    def _may_be_settled(self) -> bool:
        """Return whether others may have fenced this holder and settled the request."""
        unfenced_at = self._reservation.epoch.writer.unfenced_at
        age = trio.current_time() - max(unfenced_at, self._intent.submitted_at)
        return self._intent.durable and age > self._options.dispatch_window_s

    async def _claim(self) -> None:
        if not self._services.log_reachable():
            raise ClaimUnavailable("the log can't record the claim", retry_after=RETRY_SOON_S)
        verdict = await self._wait(self._submit_intent(exposed=False))
        if verdict.code in (VerdictCode.KEY_OPEN, VerdictCode.KEY_USED, VerdictCode.KEY_MISMATCH):
            raise KnownAnswer(answer_of_verdict(verdict))
        self._check(verdict)

    async def _cover(self, amount: int) -> None:
        """Write the intent or its extension; wait for it only above the exposure."""
        exposed = self._reservation.try_expose(amount)
        if not exposed and not self._services.log_reachable():
            raise ExposureReached(
                "the log is down and the account's exposure is reached", retry_after=RETRY_SOON_S
            )
        if self._intent:
            submission = self._submit(Extend(self._call.request_id, amount, exposed), amount)
        else:
            submission = self._submit_intent(exposed)
        if not exposed:
            self._check(await self._wait(submission))

    def _submit_intent(self, exposed: bool) -> Submission:
        call = self._call
        record = Intent(
            call.request_id,
            call.account,
            call.reserve,
            call.pool,
            call.key,
            call.repeatable,
            call.digest,
            exposed,
        )
        self._intent = self._submit(record, call.reserve)
        return self._intent

    def _submit(self, record: Intent | Extend, amount: int) -> Submission:
        writer = self._reservation.epoch.writer
        submission = writer.submit(record, traceparent_of(trace.get_current_span()))
        submission.add_done_callback(lambda verdict: self._on_decided(verdict, record, amount))
        return submission

    def _on_decided(self, verdict: Verdict, record: Intent | Extend, amount: int) -> None:
        self._reservation.cover(amount)
        if verdict.ok:
            return
        self._services.counters.add("intents_refused")
        if record.exposed and verdict.code == VerdictCode.BUDGET_EXHAUSTED:
            self._services.counters.add("sent_intents_uncovered")

    async def _wait(self, submission: Submission) -> Verdict:
        """Return the verdict; give up when the log goes down or the time to send has passed."""
        until = submission.submitted_at + self._options.dispatch_window_s
        while submission.verdict is None:
            await submission.wait_at_most(LOG_CHECK_S)
            late = trio.current_time() > until
            if submission.verdict is None and (late or not self._services.log_reachable()):
                raise ClaimUnavailable("the log did not answer", retry_after=RETRY_SOON_S)
        if trio.current_time() > until:
            raise ClaimUnavailable("the log answered too late", retry_after=RETRY_SOON_S)
        return submission.verdict

    @staticmethod
    def _check(verdict: Verdict) -> None:
        if verdict.fenced:
            raise HolderFenced("this router's incarnation was fenced", retry_after=RETRY_SOON_S)
        if not verdict.ok:
            raise ClaimUnavailable(f"the log refused the intent: {verdict.code}")

    def waste_of(self, lost_tries: int) -> int:
        """Return a whole reserve for each try; see `Cover.waste_of`."""
        return self._call.reserve * lost_tries

    def bill(self, record: Bill) -> Submission:
        """Write the bill after the intent; see `Cover.bill`."""
        return self._reservation.epoch.writer.submit(record)

    # -- before output goes to the caller -----------------------------------------------------

    async def hold_first_byte(self) -> None:
        """Hold output until the intent is durable, as long as the log is reachable."""
        await self._hold(self._intent)

    async def hold_end(self, bill: Submission) -> None:
        """Hold the end of the answer until the bill is durable, as long as the log is reachable.

        After a pause the log is out of reach for a moment, while others may have settled the
        request; so it is waited for then, too.

        Raises
        ------
        HolderFenced
            Another router settled the request as not run, while this one was taken for lost.
        """
        await self._hold(bill)
        verdict = bill.verdict
        if verdict and verdict.code == VerdictCode.NOT_OPEN and verdict.outcome == Outcome.NOT_RUN:
            raise HolderFenced("another router settled this request as not run")

    async def _hold(self, submission: Submission) -> None:
        until = trio.current_time() + self._options.commit_wait_s
        while not submission.durable and (self._services.log_reachable() or self._may_be_settled()):
            left = until - trio.current_time()
            if left <= 0:
                self._services.counters.add("commit_waits_ended")
                return
            await submission.wait_at_most(left)


def log_cover(call: Call, reservation: Reservation, services: Services) -> Cover:
    """Return the cover of a request whose intent and bill go to the log one by one."""
    return LogCover(call, reservation, services)
