"""Tests of railtide.demo."""

import subprocess
import sys
from collections import Counter
from types import SimpleNamespace

from railtide.budgets.balance import Balance, Holding
from railtide.demo.deployment import Account
from railtide.demo.report import lines_of, table_of
from railtide.demo.workload import Seen


def made_with(balance: Balance) -> SimpleNamespace:
    plan = SimpleNamespace(accounts=(Account("acc", 100, {"urgency": "urgent"}),))
    return SimpleNamespace(plan=plan, balances={"acc": balance})


class TestReport:
    def test_exhausted_budget_is_no_false_refusal(self) -> None:
        seen = Seen(5, 2, Counter({"budget-exhausted": 2, "queue-full": 1}), [10.0, 30.0])
        line = lines_of(made_with(Balance(topped_up=100, billed=60)), {"acc": seen})[0]
        assert (line.out_of_budget, line.false_refusals) == (2, 1)
        assert (line.p50_ms, line.p99_ms) == (10.0, 30.0)

    def test_overspend_and_stranded_are_shown(self) -> None:
        held = {"h": Holding(remaining=7, fenced=True)}
        balance = Balance(topped_up=100, billed=90, wasted=15, by_holder=held)
        line = lines_of(made_with(balance), {"acc": Seen()})[0]
        assert line.overspend == 12
        assert line.stranded == 7
        assert "stranded" in table_of("title", [line])


class TestProgram:
    def test_ends_in_a_table_for_each_user(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "railtide.demo.program", "--seconds", "2"],
            capture_output=True,
            text=True,
            timeout=90,
        )
        assert done.returncode == 0, done.stderr
        assert "Bortolini" in done.stdout and "Pantry Compact" in done.stdout
        assert done.stdout.count("overspend") == 2
