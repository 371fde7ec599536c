"""Grant policies on a virtual clock: adaptive grants, fixed grants, equal static shares.

Run ``python -m bench.policy``. Real budget sources and the real fold; the log is in memory with a
delay, and each router can be cut off from it. A false refusal is one made while the budget,
including all routers' allocations, would have covered the request.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from railtide.budgets.balance import available
from railtide.budgets.errors import BudgetError
from railtide.budgets.grant_sizing import AdaptiveSizing, EqualShares, FixedSizing, GrantSizing
from railtide.budgets.log_budget_source import Epoch, LogBudgetSource
from railtide.budgets.messages import TopUp
from railtide.configuration.messages import Proposal
from railtide.configuration.models import AccountSettings
from railtide.journal.entries import Entry, VerdictCode
from railtide.journal.fold import fold
from railtide.journal.state import State
from railtide.journal.writer import Writer
from railtide.membership.messages import OpenHolder
from railtide.requests.messages import Bill, Intent

ROUTERS = 4
SECONDS = 60.0
LOG_INTERVAL_S = 0.02
ACCOUNT = "pantry"
SHORT = AccountSettings(grant_horizon_s=5, grant_min=200, budget_wait_s=0.5)
LONG = AccountSettings(grant_horizon_s=30, grant_min=200, budget_wait_s=0.5)
FIXED_GRANT = 2_000
MAX_RESERVE = 100


@dataclass
class Node:
    """One router: its budget source, and whether it reaches the log."""

    name: str
    reachable: bool = True
    budgets: LogBudgetSource | None = None
    writers: list[Writer] = field(default_factory=list)


class InMemoryLog:
    """An in-memory log and fold; entries of a node that is cut off wait at its writer."""

    def __init__(self) -> None:
        self.state = State()
        self.nodes: dict[str, Node] = {}
        self._operator = Writer("operator", lambda entry, trace: self._fold([entry]))
        self._operator.submit(OpenHolder("operator", "", "", "operator", 0))
        self._operator.submit(Proposal("account", ACCOUNT, 0, b"{}"))

    def top_up(self, units: int, name: str) -> None:
        """Add to the budget."""
        self._operator.submit(TopUp(ACCOUNT, units, name))

    def _fold(self, entries: list[Entry]) -> None:
        for folded in fold(self.state, self.state.offset + 1, 1, entries):
            if folded.verdict.code == VerdictCode.BUDGET_EXHAUSTED:
                for node in self.nodes.values():
                    if node.reachable:
                        node.budgets.return_idle(ACCOUNT)
            node = self.nodes.get(folded.holder)
            if node:
                writer = node.writers[0]
                submission = writer.apply_verdict(folded.verdict)
                node.budgets.apply_grant_verdict(node.budgets.epoch, submission)

    async def run(self) -> None:
        """Fold the pending entries of all reachable nodes, every `LOG_INTERVAL_S`."""
        while True:
            await trio.sleep(LOG_INTERVAL_S)
            for node in self.nodes.values():
                if node.reachable:
                    self._fold([e for writer in node.writers for e in writer.pending()])

    def add_node(self, name: str, sizing: Callable[[], GrantSizing]) -> Node:
        """Add a node with its own budget source and return it."""
        node = Node(name)

        def open_epoch() -> Epoch:
            writer = Writer(name, lambda entry, trace: None)
            node.writers.append(writer)
            writer.submit(OpenHolder(name, "", "", "router", 0))
            return Epoch(writer)

        policy = sizing()
        node.budgets = LogBudgetSource(
            open_epoch, lambda: node.reachable, lambda settings: ROUTERS, lambda settings: policy
        )
        node.budgets.begin()
        self.nodes[name] = node
        return node


@dataclass(frozen=True)
class Policy:
    """A policy of grant sizes, and the account settings used with it."""

    sizing: Callable[[], GrantSizing]
    settings: AccountSettings


@dataclass
class Result:
    """Counts of one run; `overspend` and `left_allocated` are in units."""

    served: int = 0
    refused: int = 0
    false_refusals: int = 0
    overspend: int = 0
    left_allocated: int = 0


class Trial:
    """One scenario under one policy."""

    def __init__(self, policy: Policy, budget: int, seed: int) -> None:
        self.settings = policy.settings
        self.log = InMemoryLog()
        self.result = Result()
        self.paid = budget
        self.used = 0
        self._rng = Random(seed)
        self.log.top_up(budget, "first")
        self.nodes = [self.log.add_node(f"r{n}", policy.sizing) for n in range(ROUTERS)]

    async def request(self, node: Node, number: int) -> None:
        """Reserve, run and settle one request, or count its refusal."""
        reserve = self._rng.randint(40, MAX_RESERVE)
        cost = self._rng.randint(10, reserve)
        deadline = trio.current_time() + 5
        try:
            held = await node.budgets.reserve(ACCOUNT, self.settings, reserve, deadline)
        except BudgetError:
            self.result.refused += 1
            self.result.false_refusals += self.paid - self.used >= reserve
            return
        writer = held.epoch.writer
        writer.submit(Intent(f"{node.name}-{number}", ACCOUNT, reserve, "pool"))
        await trio.sleep(self._rng.uniform(0.1, 0.6))
        held.settle(cost)
        writer.submit(Bill(f"{node.name}-{number}", cost))
        self.used += cost
        self.result.served += 1

    async def traffic(self, rates: list[float]) -> None:
        """Send requests to each node at its rate, in requests a second."""
        async with trio.open_nursery() as nursery:
            for node, rate in zip(self.nodes, rates, strict=True):
                nursery.start_soon(self._caller, node, rate)

    async def _caller(self, node: Node, rate: float) -> None:
        number = 0
        until = trio.current_time() + SECONDS
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self._rng.expovariate(rate))
                number += 1
                nursery.start_soon(self.request, node, number)

    def finish(self) -> Result:
        """Return the figures of the run."""
        balance = self.log.state.by_account[ACCOUNT]
        self.result.overspend = max(0, self.used - self.paid)
        self.result.left_allocated = self.paid - balance.billed - available(balance)
        return self.result


async def uneven_load(trial: Trial) -> None:
    """Uneven load, and plenty of budget for three quarters of it."""
    await trial.traffic([12.0, 6.0, 3.0, 1.0])


async def partition_and_top_up(trial: Trial) -> None:
    """One node is cut off for half a minute; the budget is topped up meanwhile."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trial.traffic, [12.0, 6.0, 3.0, 1.0])
        await trio.sleep(15)
        trial.nodes[0].reachable = False
        await trio.sleep(10)
        trial.log.top_up(20_000, "second")
        trial.paid += 20_000
        await trio.sleep(20)
        trial.nodes[0].reachable = True


async def outage(trial: Trial) -> None:
    """The log is down for eight seconds."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trial.traffic, [12.0, 6.0, 3.0, 1.0])
        await trio.sleep(20)
        for node in trial.nodes:
            node.reachable = False
        await trio.sleep(8)
        for node in trial.nodes:
            node.reachable = True


async def near_empty(trial: Trial) -> None:
    """The budget ends half way; every unit counts."""
    await trial.traffic([8.0, 4.0, 2.0, 1.0])


SCENARIOS: dict[str, tuple[Callable, int]] = {
    "plain": (uneven_load, 120_000),
    "partition+top-up": (partition_and_top_up, 300_000),
    "log outage": (outage, 120_000),
    "near empty": (near_empty, 16_000),
}


def policies(budget: int) -> dict[str, Policy]:
    """Return the policies by name."""
    return {
        "adaptive 5 s": Policy(lambda: AdaptiveSizing(5.0, SHORT.grant_min), SHORT),
        "adaptive 30 s": Policy(lambda: AdaptiveSizing(30.0, LONG.grant_min), LONG),
        "fixed": Policy(lambda: FixedSizing(FIXED_GRANT), SHORT),
        "equal shares": Policy(lambda: EqualShares(budget // ROUTERS), SHORT),
    }


def run_trial(scenario: Callable, policy: Policy, budget: int) -> Result:
    """Return the result of one run."""

    async def run() -> Result:
        trial = Trial(policy, budget, seed=11)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trial.log.run)
            for node in trial.nodes:
                nursery.start_soon(node.budgets.run)
            await scenario(trial)
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        return trial.finish()

    return trio.run(run, clock=MockClock(autojump_threshold=0))


def main() -> None:
    """Print the table."""
    logger.remove()
    print("scenario           policy         served  refused  false refusals  overspend  in hands")
    for name, (scenario, budget) in SCENARIOS.items():
        for policy_name, policy in policies(budget).items():
            result = run_trial(scenario, policy, budget)
            print(
                f"{name:18s} {policy_name:13s} {result.served:7d} {result.refused:8d}"
                f" {result.false_refusals:15d} {result.overspend:10d} {result.left_allocated:9d}"
            )


if __name__ == "__main__":
    main()
