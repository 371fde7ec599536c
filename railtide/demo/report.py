"""The demo's table: requests, latencies and budget of each client account."""

from dataclasses import dataclass
from math import ceil

from railtide.budgets.balance import available, stranded
from railtide.demo.deployment import Deployment
from railtide.demo.workload import Outcomes

__all__ = ["AccountRow", "account_rows", "format_table"]

EXHAUSTED = "budget-exhausted"
HEAD = (
    "account", "urgency", "requests", "answered", "out of budget", "false refusals",
    "p50 ms", "p99 ms", "prepaid", "billed", "overspend", "stranded",
)  # fmt: skip


@dataclass(frozen=True)
class AccountRow:
    """The row of one account; latencies are to the first byte, amounts in budget units."""

    account: str
    urgency: str
    requests: int
    answered: int
    out_of_budget: int
    false_refusals: int
    p50_ms: float
    p99_ms: float
    prepaid: int
    billed: int
    overspend: int
    stranded: int


def account_rows(
    deployment: Deployment, outcomes_by_account: dict[str, Outcomes]
) -> list[AccountRow]:
    """Return the row of each account."""
    rows = []
    for account in deployment.plan.accounts:
        outcomes = outcomes_by_account[account.name]
        balance = deployment.balances[account.name]
        refused = sum(outcomes.refused_by_code.values())
        exhausted = outcomes.refused_by_code[EXHAUSTED]
        used = balance.billed + balance.wasted
        rows.append(
            AccountRow(
                account.name,
                str(account.parameters.get("urgency", "bulk")),
                outcomes.requests,
                outcomes.answered,
                exhausted,
                refused - exhausted,
                _quantile(outcomes.first_byte_ms, 0.5),
                _quantile(outcomes.first_byte_ms, 0.99),
                balance.topped_up,
                balance.billed,
                max(0, used - balance.topped_up, -available(balance)),
                stranded(balance),
            )
        )
    return rows


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, ceil(share * len(ordered)) - 1)]


def format_table(title: str, accounts: list[AccountRow]) -> str:
    """Return the table as text."""
    rows = [HEAD, *(_cells(account) for account in accounts)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEAD))]
    printed = ["  ".join(c.rjust(w) for c, w in zip(row, widths, strict=True)) for row in rows]
    return "\n".join([title, *printed])


def _cells(row: AccountRow) -> tuple[str, ...]:
    return (
        row.account,
        row.urgency,
        str(row.requests),
        str(row.answered),
        str(row.out_of_budget),
        str(row.false_refusals),
        f"{row.p50_ms:.0f}",
        f"{row.p99_ms:.0f}",
        str(row.prepaid),
        str(row.billed),
        str(row.overspend),
        str(row.stranded),
    )
