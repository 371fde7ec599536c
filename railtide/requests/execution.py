"""Runs one request: slot, attempts at upstreams, retries, and the bill, also without an answer."""

import math
from contextlib import AbstractContextManager

import trio
from loguru import logger
from opentelemetry import trace

from railtide.budgets.log_budget_source import LogReservation
from railtide.budgets.messages import Waste
from railtide.containment.crash_detection import ProbeResult
from railtide.containment.errors import ContentHeld
from railtide.errors import ExecutionStatus, RailtideError
from railtide.journal.entries import Verdict, VerdictCode
from railtide.journal.writer import Submission
from railtide.lanes.scheduler import PoolScheduler, Slot, WaitingRequest
from railtide.membership.instances import Instance
from railtide.requests.call import AnswerSink, Call
from railtide.requests.errors import (
    ClaimUnavailable,
    DeadlineExceeded,
    HolderFenced,
    Interrupted,
    OutcomeUnknown,
)
from railtide.requests.guarded_attempts import GuardedAttempts
from railtide.requests.messages import Answer, Bill, Outcome
from railtide.requests.relay import Relayed
from railtide.requests.services import Services
from railtide.requests.shutdown import too_late
from railtide.requests.stream_version import StreamVersion
from railtide.requests.usage import cancel_and_get_cost
from railtide.router.errors import Draining
from railtide.telemetry.traceparent import traceparent_of
from railtide.upstreams.client import UpstreamCall
from railtide.upstreams.errors import (
    StreamMoved,
    UpstreamDisconnected,
    UpstreamError,
    UpstreamFailed,
    UpstreamLost,
    UpstreamMoved,
    UpstreamNotListening,
    UpstreamNotTried,
    UpstreamRefused,
    UpstreamUnreachable,
)
from railtide.upstreams.upstream_state import (
    Upstream,
    estimated_load,
    is_leaving,
    note_crash,
    note_failure,
    note_success,
)

__all__ = ["Execution"]

_tracer = trace.get_tracer("railtide.requests")


class Execution:
    """Runs one request whose budget is reserved.

    Parameters
    ----------
    call : Call
    reservation : LogReservation
    scheduler : PoolScheduler
        Scheduler of the call's pool.
    services : Services
        Services that all requests of this router share.
    sink : AnswerSink
    """

    def __init__(
        self,
        call: Call,
        reservation: LogReservation,
        scheduler: PoolScheduler,
        services: Services,
        sink: AnswerSink,
    ) -> None:
        self._call = call
        self._reservation = reservation
        self._scheduler = scheduler
        self._services = services
        self._sink = sink
        self._retries = services.retry_budget_of(call.pool)
        self._commit = services.make_commit(call, reservation, services)
        self._relay = services.make_relay(call, sink, services, self._before_first_byte)
        self._guarded = GuardedAttempts(call, services.guard, self._relay)
        self._waiting = WaitingRequest(
            call.account,
            call.urgency,
            call.settings.weight,
            call.reserve,
            call.deadline,
            call.affinity,
            trio.current_time() - reservation.waited_s + call.goal_s if call.goal_s else math.inf,
        )
        self._version = StreamVersion(call, self._waiting, services.origins, self._may_move_stream)
        self._slot: Slot | None = None
        self._settled = False
        self._bill: Submission | None = None
        self._sent_to: Instance | None = None
        self._lost_attempts: list[Instance] = []

    @property
    def _may_have_run(self) -> bool:
        return bool(self._sent_to or self._lost_attempts or self._settled)

    # -- the request --------------------------------------------------------------------------

    async def run(self) -> None:
        """Run the request and write its answer.

        Raises
        ------
        RailtideError
            The request failed; the error's `run` says whether it ran.
        KnownAnswer
            A finished request claimed its key, and the answer is stored.
        """
        try:
            with self._services.shutdown.limit(self._call.deadline) as scope:
                with self._before_sending():
                    self._waiting.preference = self._guarded.preference
                    await self._version.prepare()
                    self._slot = await self._scheduler.acquire(self._waiting)
                    await self._commit.prepare()
                await self._send_answer(await self._run_at_upstreams())
            if scope.cancelled_caught:
                if trio.current_time() < self._call.deadline:
                    raise self._shutdown_error()
                self._note_unfinished_answer()
                raise self._deadline_error()
        finally:
            self._close()

    def _before_sending(self) -> AbstractContextManager[None]:
        """Return the context of waits before an attempt; see `Shutdown.before_sending`."""
        return self._services.shutdown.before_sending(self._scheduler.usual_s)

    def _note_unfinished_answer(self) -> None:
        """Count a failure of an upstream that began an answer and did not end it in time.

        A stream may be long; any other answer ends soon after it began.
        """
        if self._sent_to and self._relay.head_at is not None and not self._call.stream:
            note_failure(self._slot.upstream, trio.current_time())
            self._services.counters.add("answers_unfinished")

    def _deadline_error(self) -> DeadlineExceeded | ClaimUnavailable:
        if self._may_have_run:
            return DeadlineExceeded("the deadline passed before the answer was complete")
        return ClaimUnavailable("the log did not answer before the deadline")

    def _shutdown_error(self) -> Interrupted | Draining:
        if self._may_have_run:
            return Interrupted("this router shut down before the answer was complete")
        return too_late()

    async def _send_answer(self, relayed: Relayed) -> None:
        """Bill the answer and send the caller the part of it that is not sent yet."""
        wasted = self._commit.wasted_units(len(self._lost_attempts))
        self._settle(relayed.cost, Outcome.DONE, relayed.answer, wasted)
        if self._bill:
            self._bill.add_done_callback(self._on_bill_decided)
        try:
            await self._commit.wait_before_end(self._bill)
        except HolderFenced as err:
            raise UpstreamLost(err.detail) from err
        self._cache_answer(relayed.answer)
        if not self._sink.started:
            answer = relayed.answer
            await self._sink.start(
                answer.status, answer.content_type, self._call.request_id, relayed.headers
            )
        await self._sink.write(relayed.unsent)
        await self._sink.finish()

    async def _before_first_byte(self) -> None:
        self._report_times()
        self._scheduler.note_answer_started(self._slot)
        await self._version.keep(self._slot.upstream.instance)
        await self._commit.wait_before_first_byte()

    # -- attempts -----------------------------------------------------------------------------

    async def _run_at_upstreams(self) -> Relayed:
        """Return the complete answer; no error says "not run" once an attempt may have run."""
        self._retries.earn()
        try:
            return await self._send_until_answered()
        except RailtideError as err:
            if self._may_have_run and err.run is ExecutionStatus.NOT_RUN:
                raise UpstreamLost("an earlier attempt of this request may have run") from err
            raise

    async def _send_until_answered(self) -> Relayed:
        attempt = 1
        while True:
            upstream = self._slot.upstream
            self._log_sent(upstream, attempt)
            try:
                relayed = await self._send_once(upstream.instance)
                note_success(upstream)
                self._guarded.note_answer(upstream.instance, relayed)
                self._report_stream_pauses()
                return relayed
            except UpstreamError as err:
                self._record_failure(upstream, err)
                failed = err
            try:
                await self._guarded.note_failure(upstream, failed)
                self._waiting.preference = self._guarded.preference
                with self._before_sending():
                    if not await self._prepare_retry(failed, attempt):
                        raise failed
                    self._scheduler.release(self._slot)
                    self._slot = await self._scheduler.reacquire(self._waiting, upstream)
            except RailtideError:
                if isinstance(failed, UpstreamFailed):
                    return failed.answer
                raise
            finally:
                del failed  # its traceback refers to this frame
            attempt += 1
            self._services.counters.add("retries")

    def _log_sent(self, upstream: Upstream, attempt: int) -> None:
        """Log where the request is sent, and the upstream's estimated load and pace."""
        report = upstream.report
        now = trio.current_time()
        expected = self._slot.expected
        logger.bind(
            request_id=self._call.request_id,
            upstream=upstream.instance.name,
            attempt=attempt,
            own_open=upstream.open_requests,
            load=estimated_load(upstream, now),
            load_age_ms=round((now - report.taken_at) * 1000) if report else None,
            content=self._call.content,
            parts=[part.of_account for part in self._call.parts],
            software_version=upstream.instance.software_version,
            resumes=self._call.resumption.attempt if self._call.resumption else "",
            after=self._relay.last_event_id,
            **(expected.log_fields() if expected else {}),
        ).info("request-sent")

    async def _send_once(self, upstream: Instance) -> Relayed:
        with _tracer.start_as_current_span("upstream.call") as span:
            span.set_attribute("railtide.upstream", upstream.name)
            self._commit.check_ownership()
            await self._guarded.check()
            await self._check_may_send()
            self._version.note_sent(upstream)
            self._sent_to = upstream
            with self._guarded.begin() as scope:
                sent = self._upstream_call(traceparent_of(span))
                try:
                    relayed = await self._relay.relay(upstream, sent)
                except UpstreamFailed as err:
                    if not err.answer.framed:
                        await self._check_end(err.answer)
                    raise
                finally:
                    self._report_times()
            if scope.cancelled_caught:
                raise UpstreamLost("upstreams crash on this request; its attempt was cancelled")
            if not relayed.framed:
                await self._check_end(relayed)
            self._sent_to = None
            return relayed

    async def _check_end(self, relayed: Relayed) -> None:
        """Raise if an answer that only the close of its connection ended may be incomplete.

        The connections of a killed process close in the same way. An upstream that is leaving may
        no longer listen while it completes its last answers.
        """
        upstream = self._slot.upstream
        if is_leaving(upstream):
            return
        observed = await self._services.upstreams.observe(upstream.instance, relayed.alive_at)
        if observed is not ProbeResult.CONNECTED:
            self._services.counters.add("answers_ended_with_upstream")
            raise UpstreamDisconnected("the upstream ended with the connection of its answer")
        logger.bind(
            request_id=self._call.request_id,
            upstream=upstream.instance.name,
            last_event=self._relay.last_event_id,
        ).info("answer-unframed")

    async def _check_may_send(self) -> None:
        """Raise if no answer would be of use any more, or none can be expected.

        The caller has left, the deadline passed, or the router shuts down before the answer usually
        ends. The first two may have become known in the turn of the event loop in which the wait
        before ended, or while the loop was late.
        """
        await self._sink.check_caller()
        if trio.current_time() >= self._call.deadline:
            raise self._deadline_error()
        self._services.shutdown.check_may_send(self._scheduler.usual_s)

    def _report_stream_pauses(self) -> None:
        """Report to the scheduler whether a complete stream paused for longer than its goal."""
        goal_s = self._call.pause_goal_s
        if goal_s:
            self._scheduler.note_stream(self._relay.longest_pause_s > goal_s)

    def _report_times(self) -> None:
        """Report to the scheduler how long the attempt took so far, also if it was cancelled."""
        times = self._relay.times
        timing = times.timing(trio.current_time()) if times else None
        if timing:
            self._scheduler.note_timing(self._slot, timing)

    def _upstream_call(self, traceparent: str) -> UpstreamCall:
        call = self._call
        remaining_s = max(0.0, call.deadline - trio.current_time())
        return UpstreamCall(
            call.request_id,
            call.method,
            call.path,
            call.content_type,
            call.body,
            remaining_s,
            traceparent,
            call.headers,
            call.rank,
            repeatable=call.repeatable,
        )

    def _record_failure(self, upstream: Upstream, err: UpstreamError) -> None:
        if not isinstance(err, UpstreamRefused):
            self._lost_attempts.append(upstream.instance)
        self._sent_to = None
        if isinstance(err, UpstreamMoved):
            upstream.leaving = True
        now = trio.current_time()
        if isinstance(err, UpstreamNotListening):
            note_crash(upstream, now)
        is_fault = not isinstance(err, UpstreamRefused) or now >= upstream.resting_until
        if is_fault and not isinstance(err, StreamMoved | UpstreamNotTried):
            note_failure(upstream, now)
        self._services.counters.add(f"attempts_failed_{err.code.replace('-', '_')}")
        logger.bind(
            request_id=self._call.request_id,
            upstream=upstream.instance.name,
            code=err.code,
            run=err.run,
            detail=err.detail,
            failures=upstream.failures,
            content=self._call.content,
            **(err.proof.log_fields() if isinstance(err, UpstreamRefused) else {}),
        ).info("attempt-failed")

    async def _prepare_retry(self, err: UpstreamError, attempt: int) -> bool:
        """Return whether the request may be sent again; reserve budget for another attempt.

        The error is raised by the caller: a frame in its traceback that also refers to it would
        keep what the attempt has read until the garbage is collected.
        """
        refused = isinstance(err, UpstreamRefused)
        if refused:
            err.retry_after = self._scheduler.retry_after_refusal(self._call.urgency)
        if isinstance(err, UpstreamNotTried):
            self._log_not_retried("no-descriptor")
            return False
        if not refused and not self._call.repeatable:
            self._log_not_retried("once-only")
            raise OutcomeUnknown(
                "the call may have run, may not be repeated and is not sent again"
            ) from err
        await self._check_quarantine()
        resumable = self._call.resumable and self._relay.resumable
        answer_begun = self._sink.started and not resumable
        send_limit = self._attempt_limit + self._services.options.max_extra_refusals
        if answer_begun or len(self._lost_attempts) >= self._attempt_limit or attempt >= send_limit:
            self._log_not_retried("answer-begun" if answer_begun else "tries-used")
            return False
        self._scheduler.check_version(self._waiting)
        if not self._may_retry(err):
            self._services.counters.add("retries_denied")
            self._log_not_retried("retry-budget")
            return False
        if not refused and not await self._commit.extend(self._call.reserve):
            self._log_not_retried("account-budget")
            return False
        return True

    @property
    def _attempt_limit(self) -> int:
        return self._call.max_attempts or self._services.options.max_attempts

    def _may_retry(self, err: UpstreamError) -> bool:
        """Take a retry from the pool's budget, unless nothing arrived or one was taken before."""
        return isinstance(err, UpstreamUnreachable | StreamMoved) or self._retries.try_spend()

    def _may_move_stream(self, version: str) -> bool:
        """Take a retry for a stream that should begin at another software version."""
        has_attempts = len(self._lost_attempts) + 1 < self._attempt_limit
        has_free = has_attempts and self._scheduler.has_free(self._call.urgency, version)
        return has_free and self._retries.try_spend()

    async def _check_quarantine(self) -> None:
        """Raise if the content is quarantined, which its last attempt may have caused."""
        try:
            await self._guarded.check()
        except ContentHeld:
            self._log_not_retried("content-held")
            raise

    def _log_not_retried(self, reason: str) -> None:
        """Log why a request whose attempt failed is not sent again."""
        logger.bind(request_id=self._call.request_id, reason=reason).info("not-tried-again")

    # -- the bill -----------------------------------------------------------------------------

    def _settle(
        self, cost: int, outcome: Outcome, answer: Answer | None = None, wasted: int = 0
    ) -> None:
        """Bill the request; only the first call has an effect."""
        if self._settled:
            return
        self._settled = True
        if cost > self._call.reserve:
            self._services.counters.add("costs_above_reserve")
        cost = min(cost, self._call.reserve)
        self._reservation.settle(cost + wasted)
        stored = answer if answer and self._is_stored_with_bill(answer) else None
        record = Bill(self._call.request_id, cost, outcome, stored, wasted)
        self._bill = self._commit.bill(record)

    def _is_stored_with_bill(self, answer: Answer) -> bool:
        max_bytes = self._call.settings.keep_answer_bytes
        return bool(self._call.key) and len(answer.body) <= max_bytes

    def _cache_answer(self, answer: Answer) -> None:
        call = self._call
        if call.key:
            self._services.answer_cache.put(call.account, call.key, call.digest, answer)

    def _on_bill_decided(self, verdict: Verdict) -> None:
        """Record as waste what ran after another router had settled the request as not run."""
        if verdict.code != VerdictCode.NOT_OPEN or verdict.outcome != Outcome.NOT_RUN:
            return
        record = self._bill.record
        writer = self._reservation.epoch.writer
        writer.submit(Waste(self._call.account, record.cost + record.wasted))

    def _close(self) -> None:
        """Release the slot, and bill a request that got no complete answer."""
        if self._slot:
            self._scheduler.release(self._slot)
        if not self._commit.needs_bill or self._settled:
            self._reservation.settle(0)
        elif self._commit.bills_partial_answers:
            outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
            self._settle(self._relay.delivered_cost(), outcome)
        elif not self._may_have_run:
            self._settle(0, Outcome.NOT_RUN)
        elif not self._call.repeatable:
            self._settle(self._call.reserve, Outcome.UNKNOWN)
        else:
            self._services.start_soon(self._settle_unanswered)

    async def _settle_unanswered(self) -> None:
        """Bill a repeatable request without a complete answer by what its attempts used.

        If a caller without a key disconnected, it is billed for the part of the answer that was
        passed on. All other use is recorded as wasted and not billed to the caller.
        """
        abandoned = self._sent_to is not None and not self._call.key
        attempts = [*self._lost_attempts, *([self._sent_to] if self._sent_to else [])]
        used = 0
        for upstream in attempts:
            used += await self._cancel_and_measure(upstream)
        cost = min(used, self._relay.delivered_cost()) if abandoned else 0
        outcome = Outcome.DONE if cost else Outcome.NOT_RUN
        self._settle(cost, outcome, None, used - cost)

    async def _cancel_and_measure(self, upstream: Instance) -> int:
        call = self._call
        return await cancel_and_get_cost(
            self._services.upstreams, upstream, call.request_id, call.prices, call.reserve
        )
