"""The commit protocol of a request: what must be durable before it is sent and before output.

This is output commit. A request without an idempotency key is sent at once, while its intent is
still being appended to the log, as long as the account's exposure limit allows it; output to the
caller waits until the intent is durable. A request with a key is sent only once its claim on the
key is durable.

References
----------
E. Elnozahy et al., "A survey of rollback-recovery protocols in message-passing systems", ACM
Computing Surveys 34(3), 2002.
"""

from abc import ABC, abstractmethod

import trio
from opentelemetry import trace

from railtide.budgets.errors import ExposureReached
from railtide.budgets.log_budget_source import LogReservation
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

__all__ = ["CommitProtocol", "KnownAnswer", "LogCommit", "answer_of_verdict", "log_commit"]

RETRY_SOON_S = 1.0
LOG_CHECK_S = 0.5


class KnownAnswer(Exception):  # noqa: N818 - not an error: the answer is available
    """The request was answered before; `answer` is the stored answer."""

    def __init__(self, answer: Answer) -> None:
        super().__init__("the request was answered before")
        self.answer = answer


def answer_of_verdict(verdict: Verdict) -> Answer:
    """Return the stored answer for an idempotency key that an earlier request claimed.

    Raises
    ------
    RequestInProgress, KeyReused, AnswerGone, OutcomeUnknown
        The key has no stored answer; the error says why.
    """
    if verdict.code == VerdictCode.KEY_MISMATCH:
        raise KeyReused("this Idempotency-Key was used for a different request")
    if verdict.code == VerdictCode.KEY_OPEN:
        raise RequestInProgress(
            "a request with this Idempotency-Key is in progress", retry_after=RETRY_SOON_S
        )
    if verdict.outcome == Outcome.UNKNOWN:
        raise OutcomeUnknown(
            "a request with this Idempotency-Key may have run and is not sent again"
        )
    if verdict.answer is None:
        raise AnswerGone("a request with this Idempotency-Key ran, but its answer is not stored")
    return verdict.answer


class CommitProtocol(ABC):
    """Orders sending, output and billing of one request against durable records."""

    bills_partial_answers = False
    """Whether an incomplete answer is billed at once, by what the caller was sent of it."""

    @property
    @abstractmethod
    def needs_bill(self) -> bool:
        """Whether the request must be billed."""

    @abstractmethod
    async def prepare(self) -> None:
        """Wait until the request may be sent; raises if it may not."""

    @abstractmethod
    async def extend(self, amount: int) -> bool:
        """Reserve units for another attempt; return False if the budget doesn't allow it."""

    @abstractmethod
    def check_ownership(self) -> None:
        """Raise `HolderFenced` if another router may have settled the request."""

    @abstractmethod
    async def wait_before_first_byte(self) -> None:
        """Wait until output to the caller may begin."""

    @abstractmethod
    async def wait_before_end(self, bill: Submission | None) -> None:
        """Wait until the end of the answer may be sent to the caller."""

    @abstractmethod
    def wasted_units(self, lost_attempts: int) -> int:
        """Return the units to count as used by attempts that got no answer."""

    @abstractmethod
    def bill(self, record: Bill) -> Submission | None:
        """Write the bill; return None where bills are aggregated before they are written."""


class LogCommit(CommitProtocol):
    """Commit protocol over the log: intent, extensions and bill are log entries.

    Parameters
    ----------
    call : Call
    reservation : LogReservation
    services : Services
    """

    def __init__(self, call: Call, reservation: LogReservation, services: Services) -> None:
        self._call = call
        self._reservation = reservation
        self._services = services
        self._options = services.options
        self._intent: Submission | None = None

    @property
    def needs_bill(self) -> bool:
        """Whether the log may hold an open intent of the request, so that it must be billed."""
        if self._intent is None:
            return False
        return self._intent.verdict is None or self._intent.verdict.ok

    # -- before the request is sent -----------------------------------------------------------

    async def prepare(self) -> None:
        """Write the intent and wait until the request may be sent.

        Raises
        ------
        KnownAnswer
            An earlier request claimed the key, and its answer is stored.
        RailtideError
            The request may not be sent.
        """
        if self._reservation.epoch.writer.fenced:
            raise HolderFenced("this router's incarnation was fenced", retry_after=RETRY_SOON_S)
        if self._call.key and (not self._call.repeatable or self._services.log_reachable()):
            await self._claim()
        else:
            await self._reserve_in_log(self._call.reserve)

    async def extend(self, amount: int) -> bool:
        """Reserve units for another attempt; see `CommitProtocol.extend`."""
        call = self._call
        extended = await self._services.extend(
            self._reservation, call.settings, amount, call.deadline
        )
        if not extended:
            return False
        await self._reserve_in_log(amount)
        return True

    def check_ownership(self) -> None:
        """Raise `HolderFenced` if another router may have settled the request.

        Once this holder is fenced, other routers settle its durable requests. After a pause of
        this process or a network partition it may be fenced without knowing, so a durable request
        is sent only while the last proof that the holder is not fenced is recent.
        """
        if self._may_be_settled_elsewhere():
            raise HolderFenced(
                "the log has not confirmed recently that this router is not fenced",
                retry_after=RETRY_SOON_S,
            )

    def _may_be_settled_elsewhere(self) -> bool:
        """Return whether others may have fenced this holder and settled the request."""
        unfenced_at = self._reservation.epoch.writer.unfenced_at
        age = trio.current_time() - max(unfenced_at, self._intent.submitted_at)
        return self._intent.durable and age > self._options.dispatch_window_s

    async def _claim(self) -> None:
        if not self._services.log_reachable():
            raise ClaimUnavailable(
                "the log is unreachable and can't record the claim", retry_after=RETRY_SOON_S
            )
        verdict = await self._wait_for_verdict(self._submit_intent(exposed=False))
        if verdict.code in (VerdictCode.KEY_OPEN, VerdictCode.KEY_USED, VerdictCode.KEY_MISMATCH):
            raise KnownAnswer(answer_of_verdict(verdict))
        self._require_accepted(verdict)

    async def _reserve_in_log(self, amount: int) -> None:
        """Write the intent or an extension; wait for its verdict only above the exposure limit."""
        exposed = self._reservation.try_expose(amount)
        if not exposed and not self._services.log_reachable():
            raise ExposureReached(
                "the log is unreachable and the account's exposure limit is reached",
                retry_after=RETRY_SOON_S,
            )
        if self._intent:
            submission = self._submit(Extend(self._call.request_id, amount, exposed), amount)
        else:
            submission = self._submit_intent(exposed)
        if not exposed:
            self._require_accepted(await self._wait_for_verdict(submission))

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

    async def _wait_for_verdict(self, submission: Submission) -> Verdict:
        """Return the verdict; raise if the log is unreachable or the dispatch window has passed."""
        until = submission.submitted_at + self._options.dispatch_window_s
        while submission.verdict is None:
            await submission.wait_at_most(LOG_CHECK_S)
            late = trio.current_time() > until
            if submission.verdict is None and (late or not self._services.log_reachable()):
                raise ClaimUnavailable(
                    "the log did not answer within the dispatch window", retry_after=RETRY_SOON_S
                )
        if trio.current_time() > until:
            raise ClaimUnavailable(
                "the log answered after the dispatch window", retry_after=RETRY_SOON_S
            )
        return submission.verdict

    @staticmethod
    def _require_accepted(verdict: Verdict) -> None:
        if verdict.fenced:
            raise HolderFenced("this router's incarnation was fenced", retry_after=RETRY_SOON_S)
        if not verdict.ok:
            raise ClaimUnavailable(f"the log refused the intent: {verdict.code}")

    def wasted_units(self, lost_attempts: int) -> int:
        """Return the whole reserve for each attempt; see `CommitProtocol.wasted_units`."""
        return self._call.reserve * lost_attempts

    def bill(self, record: Bill) -> Submission:
        """Append the bill after the intent; see `CommitProtocol.bill`."""
        return self._reservation.epoch.writer.submit(record)

    # -- before output goes to the caller -----------------------------------------------------

    async def wait_before_first_byte(self) -> None:
        """Wait until the intent is durable, as long as the log is reachable."""
        await self._wait_durable(self._intent)

    async def wait_before_end(self, bill: Submission) -> None:
        """Wait until the bill is durable, as long as the log is reachable.

        After a pause of this process the log is unreachable for a moment, while other routers may
        have settled the request; the bill is waited for in that case too.

        Raises
        ------
        HolderFenced
            Another router settled the request as not run, because it took this one for lost.
        """
        await self._wait_durable(bill)
        verdict = bill.verdict
        if verdict and verdict.code == VerdictCode.NOT_OPEN and verdict.outcome == Outcome.NOT_RUN:
            raise HolderFenced("another router settled the request as not run")

    async def _wait_durable(self, submission: Submission) -> None:
        until = trio.current_time() + self._options.commit_wait_s
        while not submission.durable and (
            self._services.log_reachable() or self._may_be_settled_elsewhere()
        ):
            left = until - trio.current_time()
            if left <= 0:
                self._services.counters.add("commit_waits_ended")
                return
            await submission.wait_at_most(left)


def log_commit(call: Call, reservation: LogReservation, services: Services) -> CommitProtocol:
    """Return the commit protocol of a request whose intent and bill are separate log entries."""
    return LogCommit(call, reservation, services)
