"""Serves a call: replays a stored answer, or reserves budget and runs the request."""

import math
from collections.abc import Callable
from dataclasses import replace

import trio

from railtide.budgets.budget_source import ReservationTerms
from railtide.budgets.errors import BudgetError
from railtide.budgets.log_budget_source import LogBudgetSource
from railtide.lanes.errors import LaneError, NoUpstream
from railtide.lanes.scheduler import PoolScheduler
from railtide.requests.call import AnswerSink, Call
from railtide.requests.commit import KnownAnswer, answer_of_verdict
from railtide.requests.errors import HolderFenced
from railtide.requests.execution import Execution
from railtide.requests.messages import Answer, Lookup
from railtide.requests.services import Services

__all__ = ["Dispatcher"]

RETRY_AFTER_S = 1.0
AGAIN = "-again"


class Dispatcher:
    """Serves the calls of one router.
    Parameters
    ----------
    budgets : LogBudgetSource
    scheduler_of : callable
        Returns the scheduler of a pool, or None for an unknown pool.
    services : Services
    """

    def __init__(
        self,
        budgets: LogBudgetSource,
        scheduler_of: Callable[[str], PoolScheduler | None],
        services: Services,
    ) -> None:
        self._budgets = budgets
        self._scheduler_of = scheduler_of
        self._services = services

    async def serve(self, call: Call, sink: AnswerSink) -> None:
        """Answer a call.

        Raises
        ------
        RailtideError
            The call failed; the error's `run` says whether it ran. Nothing was written to the
            caller unless `sink.started`.
        """
        cached = self._services.answer_cache.find(call.account, call.key, call.digest)
        if call.key and cached:
            await self._replay(call, cached, sink)
            return
        try:
            await self._serve_new(call, sink)
        except KnownAnswer as known:
            await self._replay(call, known.answer, sink)

    async def _replay(self, call: Call, answer: Answer, sink: AnswerSink) -> None:
        self._services.counters.add("answers_replayed")
        await sink.start(answer.status, answer.content_type, call.request_id)
        await sink.write(answer.body)
        await sink.finish()

    async def _serve_new(self, call: Call, sink: AnswerSink) -> None:
        try:
            await self._run(call, sink)
        except HolderFenced:
            await self._run(replace(call, request_id=call.request_id + AGAIN), sink)
        except (BudgetError, LaneError):
            if call.key:
                await self._look_up(call)
            raise

    async def _run(self, call: Call, sink: AnswerSink) -> None:
        scheduler = self._scheduler_of(call.pool)
        if scheduler is None:
            raise NoUpstream("no upstream of the pool is known", retry_after=RETRY_AFTER_S)
        with self._services.shutdown.before_sending(scheduler.usual_s):
            await self._services.guard.check(call.content, call.parts)
            reservation = await self._budgets.reserve(
                call.account, call.settings, call.reserve, call.deadline, _terms_of(call, scheduler)
            )
        await Execution(call, reservation, scheduler, self._services, sink).run()

    async def _look_up(self, call: Call) -> None:
        """Raise the outcome that the log knows for the key of a call that can't run now."""
        if not self._services.log_reachable():
            return
        record = Lookup(call.account, call.key, call.digest)
        submission = self._budgets.epoch.writer.submit(record)
        verdict = await submission.wait_at_most(self._services.options.commit_wait_s)
        if verdict is not None and not verdict.ok and not verdict.fenced:
            raise KnownAnswer(answer_of_verdict(verdict))


def _terms_of(call: Call, scheduler: PoolScheduler) -> ReservationTerms:
    """Return a call's terms, as of its arrival."""
    start_by = math.inf
    if call.goal_s:
        start_by = trio.current_time() + call.goal_s - scheduler.first_byte_s
    return ReservationTerms((int(call.urgency), call.rank), start_by, call.content)
