"""Recovery of requests whose router was lost: asks upstreams for the outcome and settles each."""

from collections.abc import Callable

import trio
from loguru import logger

from railtide.budgets.log_budget_source import LogBudgetSource
from railtide.lanes.scheduler import PoolScheduler
from railtide.membership.instances import Instance
from railtide.requests.answers import END_MARK, StreamChecker, usage_of_body
from railtide.requests.call import Prices, Usage, cost_of
from railtide.requests.messages import Adopt, Answer, Bill, Outcome
from railtide.requests.options import RequestOptions
from railtide.requests.usage import cost_of_run
from railtide.telemetry.counters import Counters
from railtide.upstreams.client import RunReport, RunState, UpstreamClient
from railtide.upstreams.errors import UpstreamError, UpstreamLost
from railtide.wire.messages import OrphanMessage

__all__ = ["Recovery"]

OK_STATUS = 200
ENDED_STATES = (RunState.UNKNOWN, RunState.CANCELLED)
CLOCK_DRIFT_FACTOR = 1.1


class Recovery:
    """Settles orphans, which are open requests whose holder is fenced; one task for each.

    Parameters
    ----------
    budgets : LogBudgetSource
        Its writer adopts and bills.
    scheduler_of : callable
        Returns the scheduler of a pool, for its upstreams.
    prices_of : callable
        Returns the prices of a pool.
    upstreams : UpstreamClient
    options : RequestOptions
    counters : Counters
    """

    def __init__(
        self,
        budgets: LogBudgetSource,
        scheduler_of: Callable[[str], PoolScheduler | None],
        prices_of: Callable[[str], Prices],
        upstreams: UpstreamClient,
        options: RequestOptions,
        counters: Counters,
    ) -> None:
        self._budgets = budgets
        self._scheduler_of = scheduler_of
        self._prices_of = prices_of
        self._upstreams = upstreams
        self._options = options
        self._counters = counters
        self._in_progress: set[str] = set()

    async def recover(self, orphan: OrphanMessage) -> None:
        """Adopt an orphan and settle it; return at once if another task here is doing so."""
        if orphan.request_id in self._in_progress:
            return
        self._in_progress.add(orphan.request_id)
        try:
            await self._adopt_and_settle(orphan)
        finally:
            self._in_progress.discard(orphan.request_id)

    async def _adopt_and_settle(self, orphan: OrphanMessage) -> None:
        """Settle an orphan as this holder; if the holder is fenced meanwhile, another adopts it."""
        writer = self._budgets.epoch.writer
        timeout_s = self._options.recovery_timeout_s
        verdict = await writer.submit(Adopt(orphan.request_id)).wait_at_most(timeout_s)
        if verdict is None or not verdict.ok:
            return
        bill = await self._determine_bill(orphan)
        if writer.fenced:
            return
        self._counters.add("requests_recovered")
        logger.info("recovered request {}: {}", orphan.request_id, bill.outcome)
        await writer.submit(bill).wait_at_most(timeout_s)

    async def _determine_bill(self, orphan: OrphanMessage) -> Bill:
        """Return the bill of an orphan once an upstream reports its outcome, or after a timeout.

        That no upstream knows the request is conclusive only after the dispatch window: until then
        its former holder, if it is still running, may send it.
        """
        runs: list[RunReport | None] = []
        began = trio.current_time()
        conclusive_at = began + CLOCK_DRIFT_FACTOR * self._options.dispatch_window_s
        while trio.current_time() < began + self._options.recovery_timeout_s:
            runs = await self._query_all(orphan)
            done = [run for run in runs if run and run.state is RunState.DONE]
            if done:
                return self._bill_answered(
                    orphan, done[0], self._wasted_units(orphan, runs, done[0])
                )
            ended = bool(runs) and all(run and run.state in ENDED_STATES for run in runs)
            if ended and trio.current_time() > conclusive_at:
                break
            await trio.sleep(self._options.recovery_interval_s)
        return self._bill_unanswered(orphan, self._wasted_units(orphan, runs))

    async def _query_all(self, orphan: OrphanMessage) -> list[RunReport | None]:
        """Return the report of each upstream, None for one that did not answer."""
        scheduler = self._scheduler_of(orphan.pool)
        instances = [u.instance for u in scheduler.by_name.values()] if scheduler else []
        return [await self._query(instance, orphan.request_id) for instance in instances]

    async def _query(self, instance: Instance, request_id: str) -> RunReport | None:
        try:
            return await self._upstreams.run_report(instance, request_id)
        except UpstreamError:
            return None

    def _wasted_units(
        self, orphan: OrphanMessage, runs: list[RunReport | None], answered: RunReport | None = None
    ) -> int:
        """Return the units used by all runs but the answered one.

        Without an answered run, an unresponsive upstream counts as having used the reserve.
        """
        prices = self._prices_of(orphan.pool)
        if answered is None and None in runs:
            return orphan.reserve
        others = [run for run in runs if run is not None and run is not answered]
        return sum(cost_of_run(prices, run, orphan.reserve) for run in others)

    def _bill_answered(self, orphan: OrphanMessage, run: RunReport, wasted: int) -> Bill:
        body = run.body.encode()
        cost = min(orphan.reserve, self._cost(orphan, run, body))
        answer = Answer(run.status, run.content_type, body) if orphan.key else None
        return Bill(orphan.request_id, cost, Outcome.DONE, answer, wasted)

    def _cost(self, orphan: OrphanMessage, run: RunReport, body: bytes) -> int:
        prices = self._prices_of(orphan.pool)
        if run.status != OK_STATUS:
            return 0
        if prices.call:
            return prices.call
        try:
            return cost_of(prices, _usage(body, orphan.request_id))
        except UpstreamLost:
            return orphan.reserve

    @staticmethod
    def _bill_unanswered(orphan: OrphanMessage, wasted: int) -> Bill:
        """Return the bill of an orphan for which no upstream has a complete answer.

        A call that may not be repeated keeps its key and is billed its price: its former router
        may be paused and still send it.
        """
        if orphan.repeatable:
            return Bill(orphan.request_id, 0, Outcome.NOT_RUN, None, wasted)
        return Bill(orphan.request_id, orphan.reserve, Outcome.UNKNOWN)


def _usage(body: bytes, request_id: str) -> Usage:
    """Return the usage of a complete answer, streamed or not."""
    if not body.endswith(END_MARK):
        return usage_of_body(body, request_id)
    checker = StreamChecker(request_id, max_events=len(body))
    checker.feed(body)
    if checker.usage is None:
        raise UpstreamLost("the stored stream has no usage event")
    return checker.usage
