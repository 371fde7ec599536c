"""Tests of railtide.demo."""

import subprocess
import sys
from collections import Counter
from types import SimpleNamespace

from railtide.budgets.balance import Balance, Holding
from railtide.demo.deployment import Account
from railtide.demo.report import account_rows, format_table
from railtide.demo.workload import Outcomes


def deployment_with(balance: Balance) -> SimpleNamespace:
    plan = SimpleNamespace(accounts=(Account("acc", 100, {"urgency": "urgent"}),))
    return SimpleNamespace(plan=plan, balances={"acc": balance})


class TestReport:
    def test_exhausted_budget_is_no_false_refusal(self) -> None:
        outcomes = Outcomes(5, 2, Counter({"budget-exhausted": 2, "queue-full": 1}), [10.0, 30.0])
        row = account_rows(deployment_with(Balance(topped_up=100, billed=60)), {"acc": outcomes})[0]
        assert (row.out_of_budget, row.false_refusals) == (2, 1)
        assert (row.p50_ms, row.p99_ms) == (10.0, 30.0)

    def test_overspend_and_stranded_are_shown(self) -> None:
        holdings = {"h": Holding(remaining=7, fenced=True)}
        balance = Balance(topped_up=100, billed=90, wasted=15, by_holder=holdings)
        row = account_rows(deployment_with(balance), {"acc": Outcomes()})[0]
        assert row.overspend == 12
        assert row.stranded == 7
        assert "stranded" in format_table("title", [row])


class TestProgram:
    def test_prints_a_table_for_each_user(self) -> None:
        finished = subprocess.run(
            [sys.executable, "-m", "railtide.demo.program", "--seconds", "2"],
            capture_output=True,
            text=True,
            timeout=90,
        )
        assert finished.returncode == 0, finished.stderr
        assert "Bortolini" in finished.stdout and "Pantry Compact" in finished.stdout
        assert finished.stdout.count("overspend") == 2
