"""Tests of railtide.requests.recovery."""

import trio

from railtide.budgets.log_budget_source import Epoch, LogBudgetSource
from railtide.journal.entries import Entry, Verdict, VerdictCode, decode_record
from railtide.journal.writer import Writer
from railtide.lanes.scheduler import PoolScheduler
from railtide.membership.instances import Instance
from railtide.requests.call import Prices
from railtide.requests.messages import Adopt, Bill, Outcome
from railtide.requests.options import RequestOptions
from railtide.requests.recovery import Recovery
from railtide.telemetry.counters import Counters
from railtide.upstreams.balancing import RoundRobin
from railtide.upstreams.client import RunReport, RunState, RunUsage
from railtide.upstreams.errors import UpstreamLost
from railtide.wire.messages import OrphanMessage

OPTIONS = RequestOptions(dispatch_window_s=2.0, recovery_timeout_s=20.0)
BODY = '{"id":"r","usage":{"prompt_tokens":3,"completion_tokens":4}}'
DONE = RunReport(RunState.DONE, RunUsage(3, 4), 200, "application/json", BODY)
UNKNOWN = RunReport(RunState.UNKNOWN)


class Case:
    """A recovery with upstreams that return the listed reports, and then repeat the last one."""

    def __init__(self, **reports: list[RunReport | None]) -> None:
        self.reports = reports
        self.records = []
        self.fenced = False
        scheduler = PoolScheduler(RoundRobin())
        scheduler.set_upstreams([Instance(n, "1", n, "a", "engine", "p") for n in reports])
        budgets = LogBudgetSource(self._open, lambda: True, lambda settings: 1)
        budgets.begin()
        self.recovery = Recovery(
            budgets, {"p": scheduler}.get, lambda pool: Prices(1, 2), self, OPTIONS, Counters()
        )

    def _open(self) -> Epoch:
        self.writer = Writer("h", self._on_entry)
        return Epoch(self.writer)

    def _on_entry(self, entry: Entry, trace: str) -> None:
        self.records.append(decode_record(entry))
        trio.lowlevel.spawn_system_task(self._decide, entry.seq)

    async def _decide(self, seq: int) -> None:
        self.writer.apply_verdict(Verdict(seq, VerdictCode.OK, 0, fenced=self.fenced))

    async def run_report(self, upstream: Instance, request_id: str) -> RunReport:
        reports = self.reports[upstream.name]
        report = reports.pop(0) if len(reports) > 1 else reports[0]
        if report is None:
            raise UpstreamLost
        return report

    async def bill(self, repeatable: bool = True) -> Bill:
        orphan = OrphanMessage("r", "acc", "p", 50, "", repeatable)
        await self.recovery.recover(orphan)
        assert self.records[0] == Adopt("r")
        return self.records[-1]


class TestRecovery:
    async def test_finished_run_is_billed_at_its_cost(self, autojump_clock) -> None:
        assert await Case(e=[DONE]).bill() == Bill("r", 11)

    async def test_running_request_is_awaited(self, autojump_clock) -> None:
        running = RunReport(RunState.RUNNING)
        assert (await Case(e=[running, running, DONE]).bill()).cost == 11

    async def test_unknown_request_is_not_run_only_after_the_dispatch_window(
        self, autojump_clock
    ) -> None:
        began = trio.current_time()
        bill = await Case(e=[UNKNOWN]).bill()
        assert (bill.cost, bill.outcome) == (0, Outcome.NOT_RUN)
        assert trio.current_time() - began > OPTIONS.dispatch_window_s

    async def test_request_that_arrives_within_the_window_is_found(self, autojump_clock) -> None:
        assert (await Case(e=[UNKNOWN, DONE]).bill()).outcome is Outcome.DONE

    async def test_call_that_may_not_be_repeated_stays_unknown(self, autojump_clock) -> None:
        bill = await Case(e=[UNKNOWN]).bill(repeatable=False)
        assert (bill.cost, bill.outcome) == (50, Outcome.UNKNOWN)

    async def test_unresponsive_upstream_counts_as_having_used_the_reserve(
        self, autojump_clock
    ) -> None:
        bill = await Case(e=[UNKNOWN], dead=[None]).bill()
        assert (bill.cost, bill.wasted) == (0, 50)

    async def test_other_runs_are_counted_as_waste(self, autojump_clock) -> None:
        cancelled = RunReport(RunState.CANCELLED, RunUsage(3, 1))
        bill = await Case(e=[DONE], other=[cancelled]).bill()
        assert (bill.cost, bill.wasted) == (11, 5)

    async def test_fenced_adopter_does_not_bill(self, autojump_clock) -> None:
        case = Case(e=[DONE])
        case.fenced = True
        assert await case.bill() == Adopt("r")
