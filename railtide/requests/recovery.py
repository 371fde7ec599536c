"""Recovery: learns what became of a lost holder's open requests and settles each once."""

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
from railtide.upstreams.client import PastRun, RunState, UpstreamClient
from railtide.upstreams.errors import UpstreamError, UpstreamLost
from railtide.wire.messages import OrphanMessage

__all__ = ["Recovery"]

OK_STATUS = 200
ENDED = (RunState.UNKNOWN, RunState.CANCELLED)
DRIFT = 1.1


class Recovery:
    """Settles orphans, one task for each.

    Parameters
    ----------
    budgets : LogBudgetSource
        Whose writer adopts and bills.
    scheduler_of : callable
        Returns the scheduler of a pool, for its upstreams.
    prices_of : callable
        Returns the prices in a pool.
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
        self._under_way: set[str] = set()

    async def recover(self, orphan: OrphanMessage) -> None:
        """Adopt an orphan and settle it; returns at once if that is under way here."""
        if orphan.request_id in self._under_way:
            return
        self._under_way.add(orphan.request_id)
        try:
            await self._adopt_and_settle(orphan)
        finally:
            self._under_way.discard(orphan.request_id)

    async def _adopt_and_settle(self, orphan: OrphanMessage) -> None:
        """Settle an orphan under one holder; if that ends meanwhile, others are handed it."""
        writer = self._budgets.epoch.writer
        patience_s = self._options.recovery_timeout_s
        verdict = await writer.submit(Adopt(orphan.request_id)).wait_at_most(patience_s)
        if verdict is None or not verdict.ok:
            return
        bill = await self._learn(orphan)
        if writer.fenced:
            return
        self._counters.add("requests_recovered")
        logger.info("recovered request {}: {}", orphan.request_id, bill.outcome)
        await writer.submit(bill).wait_at_most(patience_s)

    async def _learn(self, orphan: OrphanMessage) -> Bill:
        """Return the bill of an orphan once an upstream has told, or when time is up.

        That no upstream knows the request counts only after the dispatch window: until then its
        old holder, if it lives, may still send it.
        """
        runs: list[PastRun | None] = []
        began = trio.current_time()
        certain_at = began + DRIFT * self._options.dispatch_window_s
        while trio.current_time() < began + self._options.recovery_timeout_s:
            runs = await self._ask_all(orphan)
            done = [run for run in runs if run and run.state is RunState.DONE]
            if done:
                return self._bill_of(orphan, done[0], self._wasted(orphan, runs, done[0]))
            over = bool(runs) and all(run and run.state in ENDED for run in runs)
            if over and trio.current_time() > certain_at:
                break
            await trio.sleep(self._options.recovery_interval_s)
        return self._bill_of_lost(orphan, self._wasted(orphan, runs))

    async def _ask_all(self, orphan: OrphanMessage) -> list[PastRun | None]:
        """Return each upstream's word, None for one that did not answer."""
        scheduler = self._scheduler_of(orphan.pool)
        instances = [u.instance for u in scheduler.by_name.values()] if scheduler else []
        return [await self._ask(instance, orphan.request_id) for instance in instances]

    async def _ask(self, instance: Instance, request_id: str) -> PastRun | None:
        try:
            return await self._upstreams.past_run(instance, request_id)
        except UpstreamError:
            return None

    def _wasted(
        self, orphan: OrphanMessage, runs: list[PastRun | None], answered: PastRun | None = None
    ) -> int:
        """Return what the runs beside the answered one used; a silent upstream may have run."""
        prices = self._prices_of(orphan.pool)
        if answered is None and None in runs:
            return orphan.reserve
        others = [run for run in runs if run is not None and run is not answered]
        return sum(cost_of_run(prices, run, orphan.reserve) for run in others)

    def _bill_of(self, orphan: OrphanMessage, run: PastRun, wasted: int) -> Bill:
        body = run.body.encode()
        cost = min(orphan.reserve, self._cost(orphan, run, body))
        answer = Answer(run.status, run.content_type, body) if orphan.key else None
        return Bill(orphan.request_id, cost, Outcome.DONE, answer, wasted)

    def _cost(self, orphan: OrphanMessage, run: PastRun, body: bytes) -> int:
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
    def _bill_of_lost(orphan: OrphanMessage, wasted: int) -> Bill:
        """Return the bill of an orphan that no upstream answered whole.

        A call that may not be repeated keeps its key and its price: its old router may be paused
        and still send it.
        """
        if orphan.repeatable:
            return Bill(orphan.request_id, 0, Outcome.NOT_RUN, None, wasted)
        return Bill(orphan.request_id, orphan.reserve, Outcome.UNKNOWN)


def _usage(body: bytes, request_id: str) -> Usage:
    """Return the usage of a whole answer, streamed or not."""
    if not body.endswith(END_MARK):
        return usage_of_body(body, request_id)
    checker = StreamChecker(request_id)
    checker.feed(body)
    if checker.usage is None:
        raise UpstreamLost("the stream has no usage")
    return checker.usage
